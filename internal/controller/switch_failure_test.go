package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// topologyText returns the declaration of the emulated machines' topology: two zones with two switches each,
// and two racks per switch.
func topologyText() string {
	var b strings.Builder
	b.WriteString(`level { name: "zone" cost: 16 } level { name: "switch" cost: 4 } level { name: "rack" cost: 1 }`)
	for z, zone := range []string{"a", "b"} {
		fmt.Fprintf(&b, "\nblock { name: %q", zone)
		for s := range 2 {
			fmt.Fprintf(&b, "\n block { name: \"s%s%d\"", zone, s)
			for r := range 2 {
				fmt.Fprintf(&b, "\n  block { name: \"r%s%d%d\" prefix: \"127.%d.%d.0/24\" }", zone, s, r, z+1, 2*s+r+1)
			}
			b.WriteString(" }")
		}
		b.WriteString(" }")
	}
	return b.String()
}

// switchFailure is a run in which a switch fails that connects machines of running gangs.
type switchFailure struct {
	*testCluster
	ctx   context.Context
	tree  *topology.Tree
	gangs []wire.JobID

	stateMu        sync.Mutex     // guards the fields below
	failedBlock    topology.Block // block whose machines hang; 0: none
	lostMachines   []string       // machines that controllers declared lost
	reportedBlocks []string       // blocks that controllers reported as failed
}

// blockOf returns the block of a machine.
func (f *switchFailure) blockOf(machine *emulator.Machine) topology.Block {
	block, _ := f.tree.Locate(machine.Type.ID, machine.Type.Addr, machine.Type.Zone)
	return block
}

// inside reports whether a machine is in a block.
func (f *switchFailure) inside(machine *emulator.Machine, block topology.Block) bool {
	return block != 0 && f.tree.Common(f.blockOf(machine), block) == block
}

// fail disconnects the machines of a block except for keep of them, and reconnects all other machines. Block 0
// reconnects all machines.
func (f *switchFailure) fail(block topology.Block, keep int) {
	f.stateMu.Lock()
	f.failedBlock = block
	f.stateMu.Unlock()
	for _, machine := range f.cloud.Up() {
		hang := f.inside(machine, block)
		if hang && keep > 0 {
			keep--
			hang = false
		}
		machine.Hang(hang)
	}
}

// switchFailureCase is a way in which a switch fails.
type switchFailureCase struct {
	name  string
	fail  func(f *switchFailure, block topology.Block)
	flaps bool // each interruption is too short for machines to be declared lost
}

// switchFailureCases are the cases of TestSwitchFailure.
var switchFailureCases = []switchFailureCase{
	{"fails", func(f *switchFailure, block topology.Block) { f.fail(block, 0) }, false},
	{"half comes back", func(f *switchFailure, block topology.Block) {
		f.fail(block, 0)
		wait.For(f.ctx, 40*time.Second)
		f.fail(block, 3)
	}, false},
	{"flaps", func(f *switchFailure, block topology.Block) {
		for range 3 {
			f.fail(block, 0)
			wait.For(f.ctx, 7*time.Second) // plus two heartbeat intervals, still below the time after which a machine is lost
			f.fail(0, 0)
			wait.For(f.ctx, 8*time.Second)
		}
	}, true},
	{"fails in an outage", func(f *switchFailure, block topology.Block) {
		end := f.storeOutage()
		wait.For(f.ctx, 4*time.Second)
		f.fail(block, 0)
		wait.For(f.ctx, 12*time.Second)
		end()
	}, false},
	{"fails and the leader crashes", func(f *switchFailure, block topology.Block) {
		f.fail(block, 0)
		wait.For(f.ctx, 10*time.Second)
		for i := range 3 {
			c := f.controller(i)
			c.cache.Lock()
			leader, _ := c.cache.Records().Leader()
			c.cache.Unlock()
			if leader.Member == c.set.Member {
				f.crash(i)
				wait.For(f.ctx, 5*time.Second)
				f.startController(f.ctx, i)
				return
			}
		}
	}, false},
}

// TestSwitchFailure checks the failure of a switch below which gangs run, entirely or in part. The switch fails,
// recovers by half, flaps, fails during an outage of the state service, or fails while the leader crashes. No
// invariant may be violated, all gangs must soon run completely on other machines, no reachable machine may be
// declared lost, and no other block may be reported as failed.
func TestSwitchFailure(t *testing.T) {
	t.Parallel()
	for _, tc := range switchFailureCases {
		for _, under := range []wire.JobID{"wk-000001", "wk-000002"} { // below one switch, and across two
			t.Run(fmt.Sprint(tc.name, " under ", under), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runSwitchFailure(t, tc, under) })
			})
		}
	}
}

// newSwitchFailure returns a run that has not been started.
func newSwitchFailure(t *testing.T) *switchFailure {
	t.Helper()
	tree, err := topology.Parse([]byte(topologyText()), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	f := &switchFailure{testCluster: newQuietCluster(t, 11), tree: tree}
	f.topology, f.cloud.Most = tree, 32
	f.cloud.Run = func(wire.TaskID) time.Duration { return 3 * time.Minute }
	f.unreachable = func(machine *emulator.Machine) bool {
		f.stateMu.Lock()
		defer f.stateMu.Unlock()
		return f.inside(machine, f.failedBlock)
	}
	f.onLog = func(msg string, attributes map[string]any) {
		f.stateMu.Lock()
		defer f.stateMu.Unlock()
		switch {
		case msg == "machine phase changed" && attributes["why"] == "lost":
			f.lostMachines = append(f.lostMachines, fmt.Sprint(attributes["machine"]))
		case strings.HasPrefix(msg, "block failed"):
			f.reportedBlocks = append(f.reportedBlocks, fmt.Sprint(attributes["block"]))
		}
	}
	return f
}

// submitGangs has users submit gangs of 4, 10 and 18 tasks.
func (f *switchFailure) submitGangs(finished *int) {
	for i, tasks := range []int{4, 10, 18} {
		spec := &wire.JobSpec{
			ID:         jobID(i),
			Class:      "c",
			Team:       "free",
			Shape:      wire.Gang,
			Priority:   wire.High,
			Tasks:      tasks,
			CPUs:       2,
			GPUs:       1,
			MemoryGB:   4,
			Image:      "img-1",
			ImageGB:    2,
			Spot:       true,
			Estimate:   180,
			Checkpoint: 5,
			Save:       2,
		}
		f.gangs = append(f.gangs, spec.ID)
		f.group.Go(func() { f.runUser(f.ctx, spec, 0, finished) })
		wait.For(f.ctx, 2*time.Second)
	}
}

// waitUntilWhole waits until all gangs run completely, and reports whether they do within the given time.
func (f *switchFailure) waitUntilWhole(seconds int) bool {
	for range seconds {
		if !slices.ContainsFunc(f.gangs, func(gang wire.JobID) bool { return !f.world.GangFullyPlaced(gang) }) {
			return true
		}
		wait.For(f.ctx, time.Second)
	}
	return false
}

// runSwitchFailure runs one case of TestSwitchFailure, in which the switch of the gang's first machine fails.
func runSwitchFailure(t *testing.T, tc switchFailureCase, gang wire.JobID) {
	t.Helper()
	f := newSwitchFailure(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.ctx = ctx
	f.start(ctx, 24, 0)
	finished := 0
	f.submitGangs(&finished)
	if !f.waitUntilWhole(90) {
		t.Fatal("before the failure: got gangs that don't run completely within 90 s, want all complete")
	}
	machines := map[wire.MachineID]*emulator.Machine{}
	for _, machine := range f.cloud.Up() {
		machines[machine.Type.ID] = machine
	}
	first := machines[slices.Min(slices.Collect(maps.Keys(f.world.On(gang))))]
	block := f.tree.Parent(f.blockOf(first))
	failedAt := time.Now()
	tc.fail(f, block)
	wait.For(ctx, time.Second)
	whole := f.waitUntilWhole(150)
	t.Logf("%.0f s after %s failed under %s: whole %v", time.Since(failedAt).Seconds(), f.tree.Path(block), gang, whole)
	if !whole {
		t.Error("after the failure: got gangs that don't run completely within 150 s, want all complete")
	}
	f.checkReports(tc, block, machines)
	f.shutDown(cancel)
	f.reportBrokenRules()
}

// checkReports checks that only machines in the block were declared lost, none if the switch flaps, and that
// only the block was reported as failed.
func (f *switchFailure) checkReports(
	tc switchFailureCase,
	block topology.Block,
	machines map[wire.MachineID]*emulator.Machine,
) {
	f.t.Helper()
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	f.t.Logf("failed: %v, lost: %v", f.reportedBlocks, f.lostMachines)
	for _, id := range f.lostMachines {
		machine := machines[wire.MachineID(id)]
		if tc.flaps || machine != nil && !f.inside(machine, block) {
			f.t.Errorf("machine %s: got declared lost, want kept", id)
		}
	}
	for _, got := range f.reportedBlocks {
		if want := f.tree.Path(block); got != want {
			f.t.Errorf("block reported as failed: got %s, want %s", got, want)
		}
	}
}
