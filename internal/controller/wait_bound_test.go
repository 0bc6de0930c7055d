package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/wait"
	"maddermill/wire"
)

// waitBoundCase is a large job that competes with small jobs.
type waitBoundCase struct {
	name    string
	crashes bool // controllers crash repeatedly
	large   wire.JobSpec
}

// TestLargestJobStartsWithinWaitBound checks that the largest jobs start within the wait bound, also while
// controllers crash repeatedly. They compete with small jobs of the same priority that alone would fill the
// fleet, and the machines report to three controllers. Without the bound the wait depends on the order in
// which heartbeats arrive; a test of the package that places tasks has one order in which the job starves.
func TestLargestJobStartsWithinWaitBound(t *testing.T) {
	t.Parallel()
	for _, tc := range []waitBoundCase{
		{"gang of six machines", false, wire.JobSpec{Shape: wire.Gang, Tasks: 6, GPUs: 2}},
		{"gang of six machines, crashes", true, wire.JobSpec{Shape: wire.Gang, Tasks: 6, GPUs: 2}},
		{"gang in one zone, crashes", true, wire.JobSpec{Shape: wire.Gang, Tasks: 4, GPUs: 2, OneZone: true}},
		{"array, crashes", true, wire.JobSpec{Shape: wire.Array, Tasks: 24, GPUs: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWaitBound(t, tc) })
		})
	}
}

// fillWaitBoundSpec returns job i: spec with the ID and all fixed fields set.
func fillWaitBoundSpec(i int, spec wire.JobSpec) *wire.JobSpec {
	spec.ID = jobID(i)
	spec.Class, spec.Team, spec.Priority = "c", "free", wire.Normal
	spec.CPUs, spec.MemoryGB, spec.Spot = 2, 4, true
	spec.Image, spec.ImageGB, spec.Estimate = "img-0", 2, 20
	return &spec
}

// runWaitBound runs one case of TestLargestJobStartsWithinWaitBound.
func runWaitBound(t *testing.T, tc waitBoundCase) {
	t.Helper()
	const bound = 240 * time.Second
	const submittedAt = 60 * time.Second // of the large job
	r := newRestartScenario(t, 31, 300*time.Millisecond)
	r.archiving, r.duplicateMessages = false, false
	r.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
	r.configure = func(c *Controller) { c.set.Operators.MaxWait = bound }
	ctx, cancel := context.WithCancel(t.Context())
	r.start(ctx, 4, 0)
	r.onStart(ctx)
	for i := range 190 { // 10% more than the capacity of twelve machines
		r.group.Go(func() {
			wait.For(ctx, time.Duration(i)*1650*time.Millisecond+time.Millisecond)
			r.pollJob(ctx, fillWaitBoundSpec(i, wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 2}))
		})
	}
	large := fillWaitBoundSpec(900000, tc.large)
	r.group.Go(func() {
		wait.For(ctx, submittedAt)
		r.pollJob(ctx, large)
	})
	r.minInterval, r.maxCrashes = 0, 1000
	start, waited := time.Now(), time.Duration(0)
	for second := range 320 {
		time.Sleep(time.Second)
		r.world.Check()
		if tc.crashes && second%45 == 44 { // more frequent crashes undo the starts themselves (docs/waits.md)
			r.crashAndRestart(second / 45 % 3)
		}
		if started := r.world.Seen(large.ID); started == large.Tasks && waited == 0 {
			waited = time.Since(start) - submittedAt
		}
	}
	r.shutDownAndCheck(cancel)
	t.Logf("all tasks of the large job started after %v (0: not all)", waited)
	if waited == 0 || waited > bound {
		t.Errorf("all tasks of the large job started: got after %v (0: not all), want within %v", waited, bound)
	}
}
