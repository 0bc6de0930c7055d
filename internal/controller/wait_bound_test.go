package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/wait"
	"maddermill/wire"
)

// TestLargestJobStartsWithinWaitBound: beside small work of the same priority that alone would
// fill the fleet, the machines held by three controllers, the largest jobs begin within the bound on
// waiting, also while controllers end again and again. How long one waits without the bound varies
// with the order in which reports come; TestTheLargestBeginsWithinTheBound in internal/place has it
// in one order, and it starves.
func TestLargestJobStartsWithinWaitBound(t *testing.T) {
	t.Parallel()
	const bound = 240 * time.Second
	for _, tc := range []struct {
		name     string
		troubles bool
		large    wire.JobSpec
	}{
		{"a gang of six machines", false, wire.JobSpec{Shape: wire.Gang, Tasks: 6, GPUs: 2}},
		{"a gang of six machines, controllers end", true, wire.JobSpec{Shape: wire.Gang, Tasks: 6, GPUs: 2}},
		{"a gang in one zone, controllers end", true, wire.JobSpec{Shape: wire.Gang, Tasks: 4, GPUs: 2, OneZone: true}},
		{"an array, controllers end", true, wire.JobSpec{Shape: wire.Array, Tasks: 24, GPUs: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRestartScenario(t, 31, 300*time.Millisecond)
				r.archiving, r.duplicateMessages = false, false
				r.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
				r.configure = func(c *Controller) { c.set.Operators.WaitBound = bound }
				ctx, cancel := context.WithCancel(t.Context())
				r.start(ctx, 4, 0)
				r.onStart(ctx)
				spec := func(i int, s wire.JobSpec) *wire.JobSpec {
					s.ID = wire.JobID(fmt.Sprintf("wk-%06d", i))
					s.Class, s.Team, s.Priority, s.CPUs, s.MemoryGB, s.Image, s.ImageGB, s.Spot, s.Estimate = "c", "free", wire.Normal, 2, 4, "img-0", 2, true, 20
					return &s
				}
				// A tenth more than twelve machines do.
				for i := range 190 {
					r.group.Go(func() {
						wait.For(ctx, time.Duration(i)*1650*time.Millisecond+time.Millisecond)
						r.pollJob(spec(i, wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 2}))
					})
				}
				large := spec(900000, tc.large)
				const came = 60 * time.Second
				r.group.Go(func() {
					wait.For(ctx, came)
					r.pollJob(large)
				})
				r.minInterval, r.maxCrashes = 0, 1000
				began, begun := time.Now(), time.Duration(0)
				for at := range 320 {
					time.Sleep(time.Second)
					r.world.Check()
					if tc.troubles && at%45 == 44 { // oftener, starts themselves are undone (docs/waits.md)
						r.crashAndRestart(at / 45 % 3)
					}
					if on := r.world.Seen(large.ID); on == large.Tasks && begun == 0 {
						begun = time.Since(began) - came
					}
				}
				r.shutDown(cancel)
				t.Logf("%s: all of it has begun after %v (0: not at all)", tc.name, begun)
				if begun == 0 || begun > bound {
					t.Errorf("begun after %v (0: not at all)", begun)
				}
				if len(r.world.Broken) > 0 || len(r.store.Problems) > 0 {
					t.Errorf("%v %v", r.world.Broken, r.store.Problems)
				}
			})
		})
	}
}
