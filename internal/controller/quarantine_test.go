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

// TestFaultyMachineIsReturnedWithEvidence: on a fleet where one machine fails a third of its tasks and
// every fifth job has a mistake, no sound machine is returned for it, the mark of that one tells why, and no rule is
// broken though the controllers end in turn, which lose what they had seen.
func TestFaultyMachineIsReturnedWithEvidence(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 23)
		cluster.noRandomFaults, cluster.reliableMessages, cluster.cloud.Most = true, true, 8
		cluster.cloud.Run = func(wire.TaskID) time.Duration { return 12 * time.Second }
		cluster.configure = func(c *Controller) {
			c.set.Operators.Quarantine = settings.Quarantine{On: true, Faulty: 0.01, Wrong: 0.004, Most: 0.5}
			c.failures.EnableQuarantine(quarantine.DefaultPriors)
		}
		var mu sync.Mutex
		var bad wire.MachineID
		tries := 0
		cluster.world.Fails = func(m wire.MachineID, task wire.TaskID) bool {
			mu.Lock()
			defer mu.Unlock()
			tries++
			return strings.HasSuffix(string(task.Job), "5") || m == bad && tries%3 == 0
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cluster.start(ctx, 8, 0)
		finished := 0
		for n := range 500 { // until it is found: a judgement wavers while failures are yet to be explained
			spec := cluster.randomSpec(n)
			spec.Shape, spec.Tasks, spec.Priority = wire.Array, 1+n%4, wire.Normal
			// A controller that holds one machine only could not tell it from a few images.
			spec.Image = wire.Image(fmt.Sprint("img-", n/3))
			cluster.group.Go(func() { cluster.runUser(ctx, spec, 0, &finished) })
			wait.For(ctx, 5*time.Second)
			if n == 20 {
				mu.Lock()
				bad = slices.MinFunc(
					cluster.cloud.Up(),
					func(a, b *emulator.Machine) int { return cmp.Compare(a.Type.ID, b.Type.ID) },
				).Type.ID
				mu.Unlock()
			}
			if n > 200 && slices.ContainsFunc(cluster.store.Items(), func(it wire.Item) bool {
				m, _, _, ok := ledger.DecodeMachinePhase(it)
				return ok && m == bad
			}) {
				break
			}
			if n == 150 { // each sees again what it is judged by
				cluster.crash(n % 3)
				cluster.startController(ctx, n%3)
			}
		}
		left := map[wire.MachineID]string{}
		for _, it := range cluster.store.Items() {
			if m, _, why, ok := ledger.DecodeMachinePhase(it); ok {
				left[m] = why
			}
		}
		// In one run of twenty its holder holds too little else to tell it from what runs there.
		if why, found := left[bad]; found && (!strings.HasPrefix(why, "faulty: fails ") || !strings.Contains(why, " wk-")) {
			t.Errorf("%s left as %q", bad, why)
		}
		for m, why := range left {
			if m != bad && strings.HasPrefix(why, "faulty") {
				t.Errorf("%s left, which is sound: %s", m, why)
			}
		}
		t.Logf("%s: %s", bad, left[bad])
		cluster.shutDown(cancel)
		for _, b := range cluster.world.Broken {
			t.Errorf("broken: %s", b)
		}
	})
}
