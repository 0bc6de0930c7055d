package controller

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// faultyMachineRun is a run with one faulty machine, which fails a third of its tasks. Jobs whose ID ends in 5
// are faulty themselves and fail on any machine.
type faultyMachineRun struct {
	*testCluster
	failMu   sync.Mutex // guards the fields below
	faulty   wire.MachineID
	attempts int
}

// newFaultyMachineRun returns a run in which quarantine is enabled and no machine is faulty yet.
func newFaultyMachineRun(t *testing.T) *faultyMachineRun {
	t.Helper()
	run := &faultyMachineRun{testCluster: newQuietCluster(t, 23)}
	run.cloud.Most = 8
	run.cloud.Run = func(wire.TaskID) time.Duration { return 12 * time.Second }
	run.configure = func(c *Controller) {
		c.set.Operators.Quarantine = settings.Quarantine{On: true, FaultyShare: 0.01, WrongShare: 0.004, MaxFaultyShare: 0.5}
		c.failures.EnableQuarantine(quarantine.DefaultPriors)
	}
	run.world.Fails = func(machine wire.MachineID, task wire.TaskID) bool {
		run.failMu.Lock()
		defer run.failMu.Unlock()
		run.attempts++
		return strings.HasSuffix(string(task.Job), "5") || machine == run.faulty && run.attempts%3 == 0
	}
	return run
}

// breakMachine makes the running machine with the lowest ID faulty.
func (run *faultyMachineRun) breakMachine() {
	run.failMu.Lock()
	defer run.failMu.Unlock()
	run.faulty = slices.MinFunc(run.cloud.Up(), func(a, b *emulator.Machine) int {
		return cmp.Compare(a.Type.ID, b.Type.ID)
	}).Type.ID
}

// returnReasons returns the reasons of the machine phases on record, by machine.
func (run *faultyMachineRun) returnReasons() map[wire.MachineID]string {
	reasons := map[wire.MachineID]string{}
	for _, item := range run.store.Items() {
		if machine, _, reason, ok := ledger.DecodeMachinePhase(item); ok {
			reasons[machine] = reason
		}
	}
	return reasons
}

// TestFaultyMachineIsReturnedWithEvidence runs a fleet on which one machine fails a third of its tasks and some
// jobs always fail. No healthy machine may be returned as faulty, the recorded reason for returning the faulty
// one must name the evidence, and no rule may be violated although a controller crashes and loses the evidence
// that it has collected.
func TestFaultyMachineIsReturnedWithEvidence(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		run := newFaultyMachineRun(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		run.start(ctx, 8, 0)
		finished := 0
		for n := range 500 { // until it is found; verdicts may change while too few failures are known
			spec := run.randomSpec(n)
			spec.Shape, spec.Tasks, spec.Priority = wire.Array, 1+n%4, wire.Normal
			// With only a few images a controller of a single machine could not tell whether the image or the
			// machine is at fault.
			spec.Image = wire.Image(fmt.Sprint("img-", n/3))
			run.group.Go(func() { run.runUser(ctx, spec, 0, &finished) })
			wait.For(ctx, 5*time.Second)
			if n == 20 {
				run.breakMachine()
			}
			if _, found := run.returnReasons()[run.faulty]; n > 200 && found {
				break
			}
			if n == 150 { // the restarted controller must collect evidence anew
				run.crash(n % 3)
				run.startController(ctx, n%3)
			}
		}
		reasons := run.returnReasons()
		// In one of twenty runs the faulty machine is not found: its controller has too few other machines to
		// tell the machine's failures from those of the jobs on it.
		reason, found := reasons[run.faulty]
		if found && (!strings.HasPrefix(reason, "faulty: fails ") || !strings.Contains(reason, " wk-")) {
			t.Errorf(`faulty machine %s: got returned for %q, want "faulty: fails ..." with jobs`, run.faulty, reason)
		}
		for machine, reason := range reasons {
			if machine != run.faulty && strings.HasPrefix(reason, "faulty") {
				t.Errorf("healthy machine %s: got returned for %q, want another reason", machine, reason)
			}
		}
		t.Logf("%s: %s", run.faulty, reason)
		run.shutDown(cancel)
		run.reportBrokenRules()
	})
}
