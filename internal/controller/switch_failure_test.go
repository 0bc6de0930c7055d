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

// topologyText declares what stand-ins make up: two zones, two switches of two racks each.
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

// switchFailure is a switch that fails under gangs, on stand-ins.
type switchFailure struct {
	*testCluster
	tree           *topology.Tree
	mu             sync.Mutex
	failedBlock    topology.Block
	lostMachines   []string // machines marked as lost
	reportedBlocks []string // blocks that controllers said had failed
}

func (o *switchFailure) blockOf(m *emulator.Machine) topology.Block {
	b, _ := o.tree.Locate(m.Type.ID, m.Type.Addr, m.Type.Zone)
	return b
}

// inside reports whether a machine is in a block.
func (o *switchFailure) inside(m *emulator.Machine, b topology.Block) bool {
	return b != 0 && o.tree.Common(o.blockOf(m), b) == b
}

// fail cuts a switch off, or part of it, or brings all of it back.
func (o *switchFailure) fail(b topology.Block, keep int) {
	o.mu.Lock()
	o.failedBlock = b
	o.mu.Unlock()
	for _, m := range o.cloud.Up() {
		hang := o.inside(m, b)
		if hang && keep > 0 {
			keep--
			hang = false
		}
		m.Hang(hang)
	}
}

// TestSwitchFailure: a switch dies with gangs inside it and across it, comes back
// half, flaps, dies in an outage of the state service and as the leader ends. No rule is
// broken, all gangs run whole elsewhere before long, no machine that works is given up,
// and one line tells of the switch.
func TestSwitchFailure(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		fails func(ctx context.Context, o *switchFailure, s topology.Block)
		flaps bool // it is never away for so long that a machine counts as lost
	}{
		{"dies", func(_ context.Context, o *switchFailure, s topology.Block) { o.fail(s, 0) }, false},
		{"comes back half", func(ctx context.Context, o *switchFailure, s topology.Block) {
			o.fail(s, 0)
			wait.For(ctx, 40*time.Second)
			o.fail(s, 3)
		}, false},
		{"flaps", func(ctx context.Context, o *switchFailure, s topology.Block) {
			for range 3 {
				o.fail(s, 0)
				wait.For(ctx, 7*time.Second) // with two reports' time, less than what counts as lost
				o.fail(0, 0)
				wait.For(ctx, 8*time.Second)
			}
		}, true},
		{"dies in an outage", func(ctx context.Context, o *switchFailure, s topology.Block) {
			for _, l := range o.links {
				l.SetDown(true)
			}
			wait.For(ctx, 4*time.Second)
			o.fail(s, 0)
			wait.For(ctx, 12*time.Second)
			o.store.Extend()
			for _, l := range o.links {
				l.SetDown(false)
			}
		}, false},
		{"dies and the leader ends", func(ctx context.Context, o *switchFailure, s topology.Block) {
			o.fail(s, 0)
			wait.For(ctx, 10*time.Second)
			for i := range 3 {
				c := o.controller(i)
				c.cache.Lock()
				leads, _ := c.cache.Records().Leader()
				c.cache.Unlock()
				if leads.Member == c.set.Member {
					o.crash(i)
					wait.For(ctx, 5*time.Second)
					o.startController(ctx, i)
					return
				}
			}
		}, false},
	} {
		for _, under := range []wire.JobID{"wk-000001", "wk-000002"} { // inside one switch, and across two
			t.Run(fmt.Sprint(tc.name, " under ", under), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runSwitchFailure(t, tc.fails, under, tc.flaps) })
			})
		}
	}
}

func runSwitchFailure(t *testing.T, fails func(context.Context, *switchFailure, topology.Block), under wire.JobID, flaps bool) {
	tree, err := topology.Parse([]byte(topologyText()), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	cluster := newTestCluster(t, 11)
	o := &switchFailure{testCluster: cluster, tree: tree}
	cluster.noRandomFaults, cluster.reliableMessages, cluster.topology, cluster.cloud.Most = true, true, tree, 32
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 3 * time.Minute }
	cluster.unreachable = func(m *emulator.Machine) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.inside(m, o.failedBlock)
	}
	cluster.onLog = func(msg string, a map[string]any) {
		o.mu.Lock()
		defer o.mu.Unlock()
		switch {
		case msg == "machine phase changed" && a["why"] == "lost":
			o.lostMachines = append(o.lostMachines, fmt.Sprint(a["machine"]))
		case strings.HasPrefix(msg, "block failed"):
			o.reportedBlocks = append(o.reportedBlocks, fmt.Sprint(a["block"]))
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cluster.start(ctx, 24, 0)
	gangs := []wire.JobID{"wk-000000", "wk-000001", "wk-000002"}
	finished := 0
	for i, tasks := range []int{4, 10, 18} {
		spec := &wire.JobSpec{
			ID:         gangs[i],
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
		cluster.group.Go(func() { cluster.runUser(ctx, spec, 0, &finished) })
		wait.For(ctx, 2*time.Second)
	}
	whole := func() bool {
		return !slices.ContainsFunc(gangs, func(g wire.JobID) bool { return !cluster.world.Whole(g) })
	}
	longest := func(limit int) int {
		for s := range limit {
			if whole() {
				return s
			}
			wait.For(ctx, time.Second)
		}
		return -1
	}
	if longest(90) < 0 {
		t.Fatal("the gangs do not run to begin with")
	}
	machines := map[wire.MachineID]*emulator.Machine{}
	for _, m := range cluster.cloud.Up() {
		machines[m.Type.ID] = m
	}
	first := machines[slices.Min(slices.Collect(maps.Keys(cluster.world.On(under))))]
	s := tree.Parent(o.blockOf(first))
	began := time.Now()
	fails(ctx, o, s)
	wait.For(ctx, time.Second)
	after := longest(150)
	o.mu.Lock()
	t.Logf(
		"whole again %.0f s after %s failed under %s; failed: %v, lost: %v",
		time.Since(began).Seconds(),
		tree.Path(s),
		under,
		o.reportedBlocks,
		o.lostMachines,
	)
	if after < 0 {
		t.Error("the gangs do not run whole again")
	}
	for _, id := range o.lostMachines {
		m := machines[wire.MachineID(id)]
		if flaps || m != nil && !o.inside(m, s) {
			t.Errorf("%s was given up, which works", id)
		}
	}
	for _, b := range o.reportedBlocks {
		if b != tree.Path(s) {
			t.Errorf("%s is said to have failed", b)
		}
	}
	o.mu.Unlock()
	cluster.shutDown(cancel)
	for _, b := range cluster.world.Broken {
		t.Errorf("broken: %s", b)
	}
}
