package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// sharedCluster is a calm deployment in which plain jobs and workflows run side by side.
type sharedCluster struct {
	*testCluster
	ctx    context.Context
	mu     sync.Mutex
	doneAt map[wire.JobID]time.Time
	nextID int
}

func newSharedCluster(t *testing.T, ctx context.Context, machines int) *sharedCluster {
	cluster := newTestCluster(t, 3)
	b := &sharedCluster{testCluster: cluster, ctx: ctx, doneAt: map[wire.JobID]time.Time{}}
	cluster.noRandomFaults, cluster.reliableMessages, cluster.cloud.Most = true, true, machines
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Second }
	cluster.emulateSteps(func(id wire.JobID) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.doneAt[id] = time.Now()
	})
	cluster.start(ctx, machines, 0)
	wait.For(ctx, 12*time.Second)
	return b
}

// submitJobs submits jobs that are as a scattered step's, and returns their ids.
func (b *sharedCluster) submitJobs(n int, team wire.Team, priority wire.Priority, gpus float64) (ids []wire.JobID) {
	for range n {
		spec := &wire.JobSpec{
			ID:       wire.JobID(fmt.Sprintf("wk-%06d", b.nextID)),
			Class:    "c",
			Team:     team,
			Priority: priority,
			Shape:    wire.Array,
			Tasks:    1,
			CPUs:     1,
			GPUs:     gpus,
			MemoryGB: 0.25,
			Image:    "none",
			Spot:     true,
		}
		b.nextID++
		ids = append(ids, spec.ID)
		b.group.Go(func() {
			b.submitUntilAccepted(spec)
		})
	}
	return ids
}

func (b *sharedCluster) submitUntilAccepted(spec *wire.JobSpec) {
	for b.ctx.Err() == nil {
		if _, _, err := b.controller(0).Jobs.Submit(b.ctx, spec); err == nil {
			return
		}
		wait.For(b.ctx, time.Second)
	}
}

// submitScatter submits a workflow of one scattered step, and returns its jobs' ids.
func (b *sharedCluster) submitScatter(
	id wire.WorkflowID,
	n int,
	team wire.Team,
	priority wire.Priority,
	gpus int,
) (ids []wire.JobID) {
	needs := ""
	if gpus > 0 {
		needs = fmt.Sprintf(", hints: {CUDARequirement: {cudaDeviceCountMin: %d}}", gpus)
	}
	doc := workflowHead + "inputs: {x: 'int[]'}\noutputs: []\nsteps:\n  s: {run: {class: CommandLineTool, baseCommand: touch, inputs: {a: int}, outputs: []" + needs + "}, scatter: a, in: {a: x}, out: []}\n"
	list := make([]int, n)
	in, _ := json.Marshal(map[string]any{"x": list})
	spec := &wire.WorkflowSpec{
		ID:       id,
		Class:    "c",
		Team:     team,
		Priority: priority,
		Spot:     true,
		Window:   wire.MaxWindow,
		Entry:    "main.cwl",
		Bundle:   map[string]string{"main.cwl": doc},
		Inputs:   in,
	}
	retryUntilAnswered(b.ctx, b.testCluster, string(id), func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		st, _, err := c.Workflows.Submit(ctx, spec)
		return st, err
	})
	for i := range n {
		ids = append(ids, workflow.JobOf(id, fmt.Sprintf("s[%d]", i), 0))
	}
	return ids
}

// completionTime is when the share of jobs were done, from a time on.
func (b *sharedCluster) completionTime(from time.Time, ids []wire.JobID, share float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []time.Duration
	for _, id := range ids {
		if at, ok := b.doneAt[id]; ok {
			all = append(all, at.Sub(from))
		}
	}
	if len(all) < len(ids) {
		return time.Hour
	}
	slices.Sort(all)
	return all[int(share*float64(len(all)-1))].Round(time.Second)
}

// TestStepsScheduledLikeJobs: the same work as plain jobs and as a workflow's steps, side by
// side on the same machines, is done at the same times, in the same order of urgency and
// under the same limit of its team; a wide workflow does not keep an urgent claim waiting.
func TestStepsScheduledLikeJobs(t *testing.T) {
	t.Parallel()
	in := func(machines int, f func(b *sharedCluster)) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			b := newSharedCluster(t, ctx, machines)
			f(b)
			b.shutDown(cancel)
			for _, x := range b.world.Broken {
				t.Errorf("broken: %s", x)
			}
		})
	}
	in(3, func(b *sharedCluster) {
		// Steps are submitted at the pace that their part of the changes allows, here three a
		// second; so are the plain jobs. Neither arrives before the other.
		from := time.Now()
		steps := b.submitScatter("wf-000001", 40, "free", wire.Normal, 0)
		var plain []wire.JobID
		for range 40 {
			wait.For(b.ctx, time.Second/3)
			plain = append(plain, b.submitJobs(1, "free", wire.Normal, 0)...)
		}
		wait.For(b.ctx, 3*time.Minute)
		p, s := b.completionTime(from, plain, 0.5), b.completionTime(from, steps, 0.5)
		t.Logf(
			"40 and 40 on 24 places: half done after %v as plain jobs, %v as steps; all after %v and %v",
			p,
			s,
			b.completionTime(from, plain, 1),
			b.completionTime(from, steps, 1),
		)
		if d := s - p; d > 10*time.Second || d < -10*time.Second {
			t.Error("steps and plain jobs are not served alike")
		}
	})
	in(2, func(b *sharedCluster) {
		from := time.Now()
		plain := b.submitJobs(60, "free", wire.Normal, 0)
		wait.For(b.ctx, 2*time.Second)
		urgent := b.submitScatter("wf-000001", 16, "free", wire.High, 0)
		wait.For(b.ctx, 4*time.Minute)
		t.Logf(
			"16 urgent steps behind 60 normal jobs on 16 places: done after %v, the jobs after %v",
			b.completionTime(from, urgent, 1),
			b.completionTime(from, plain, 1),
		)
		if b.completionTime(from, urgent, 1) >= b.completionTime(from, plain, 1) {
			t.Error("urgent steps come after normal jobs")
		}
	})
	in(3, func(b *sharedCluster) {
		wide := b.submitScatter("wf-000001", 300, "free", wire.Normal, 0)
		wait.For(b.ctx, 20*time.Second)
		// Whoever drives it, all can tell of it. What was driven last is told of with up to 3 s of
		// lag, as any state: who told less than another catches up. The first steps end about now.
		most := 1
		for round := range 2 {
			for i := range 3 {
				st, err := b.controller(i).Workflows.Status(b.ctx, "wf-000001")
				if err != nil || len(st.Steps) != 1 || st.Steps[0].State != "running" || st.Steps[0].Total != 300 ||
					round == 1 && st.Steps[0].Over < most {
					t.Errorf("m-%d tells %+v, %v; %d were over 3 s ago", i, st, err, most)
				}
				if round == 0 && err == nil && len(st.Steps) == 1 {
					most = max(most, st.Steps[0].Over)
				}
			}
			wait.For(b.ctx, 3*time.Second)
		}
		from := time.Now()
		claim := b.submitJobs(1, "free", wire.High, 0)
		wait.For(b.ctx, 5*time.Minute)
		t.Logf(
			"an urgent claim beside a scatter of 300 on 24 places: done after %v; the scatter after %v",
			b.completionTime(from, claim, 1),
			b.completionTime(from, wide, 1),
		)
		if b.completionTime(from, claim, 1) > 45*time.Second {
			t.Error("an urgent claim waits for a wide workflow")
		}
	})
	in(6, func(b *sharedCluster) { // the team may have 4 of the 12 accelerators; the world checks
		from := time.Now()
		steps := b.submitScatter("wf-000001", 8, "capped", wire.Normal, 1)
		wait.For(b.ctx, time.Second)
		plain := b.submitJobs(8, "capped", wire.Normal, 1)
		wait.For(b.ctx, 4*time.Minute)
		t.Logf(
			"8 and 8 of a team limited to 4: done after %v as plain jobs, %v as steps",
			b.completionTime(from, plain, 1),
			b.completionTime(from, steps, 1),
		)
		if b.completionTime(from, steps, 1) == time.Hour {
			t.Error("steps of a team with a limit do not end")
		}
	})
}

// TestStepsPreemptedLikeJobs: a step's task and a plain job's of the same kind on one machine are
// the same to preemption: both may be stopped for urgent work, at the same loss, and neither for
// work of their own priority.
func TestStepsPreemptedLikeJobs(t *testing.T) {
	t.Parallel()
	c := newTestController(t, 0)
	now := time.Now()
	job := func(i int, priority wire.Priority, more string) *ledger.Job {
		id := fmt.Sprintf("wk-%06d", i)
		c.cache.Records().Apply(ledger.Event{Key: "mm1/j/" + id, Version: wire.Revision(i + 1), Value: []byte(fmt.Sprintf(
			`{"spec":{"id":"%s","pieces":1,"shape":"array","urgency":"%s","owner":"free","cores":2},"at":1%s}`,
			id,
			priority,
			more,
		))})
		return c.cache.Records().Job(wire.JobID(id))
	}
	claim := `,"a":1,"c":[[1,"host-1","a",1,1,0,1]]`
	job(1, wire.Normal, claim)
	job(2, wire.Normal, claim+`,"of":"wf-000001"`)
	c.set.Operators.Preempt = true
	victims := c.scheduler.Snapshot(now).Victims(&placement.Machine{ID: "host-1"})
	if len(victims) != 2 || victims[0].Saves != victims[1].Saves || victims[0].Beyond != victims[1].Beyond ||
		victims[0].Ran != victims[1].Ran {
		t.Fatalf("to preemption they are %+v", victims)
	}
	for priority, want := range map[wire.Priority]int{wire.High: 2, wire.Normal: 0} {
		urgent := job(3+want, priority, "")
		stop, room := placement.SelectVictims(&placement.Entry{Job: urgent}, ledger.Resources{}, 2, victims)
		if len(stop) != want || room != want {
			t.Errorf("for %s work %d are stopped, for %d tasks", priority, len(stop), room)
		}
	}
}

// TestWorkflowChainLatency measures what a chain takes beyond its steps' own times.
func TestWorkflowChainLatency(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newSharedCluster(t, ctx, 2)
		doc := "inputs: {x: string}\noutputs: {o: {type: string, outputSource: s19/o}}\nsteps:\n"
		for i := range 20 {
			from := "x"
			if i > 0 {
				from = fmt.Sprintf("s%d/o", i-1)
			}
			doc += fmt.Sprintf("  s%d: {run: %s, in: {a: %s}, out: [o]}\n", i, echoTool, from)
		}
		from := time.Now()
		if !b.runWorkflow(ctx, "wf-000001", doc, "x: r", ledger.WorkflowDone) {
			t.Fatal("it does not end")
		}
		last := b.completionTime(from, []wire.JobID{workflow.JobOf("wf-000001", "s19", 0)}, 1)
		// One job alone is now early, now late beside the reports: several are taken.
		var alone time.Duration
		for range 8 {
			one := time.Now()
			ids := b.submitJobs(1, "free", wire.High, 0)
			wait.For(ctx, time.Minute)
			alone += b.completionTime(one, ids, 1) / 8
		}
		b.shutDown(cancel)
		t.Logf("a chain of 20 is done after %v, %v a step; a plain job of the same after %v", last, last/20, alone)
		if last > 20*(alone+4*time.Second) {
			t.Errorf("a chain of 20 takes %v, a job %v", last, alone)
		}
	})
}

// instantJobs answers at once: each step's job is done as soon as it is submitted.
type instantJobs struct {
	store stepdata.Store
	known map[wire.JobID]bool
	ended ledger.WorkflowState
}

func (c *instantJobs) StepState(id wire.JobID) workflow.JobState {
	if c.known[id] {
		return workflow.Done
	}
	return workflow.Unknown
}
func (c *instantJobs) SubmitStep(ctx context.Context, _ wire.WorkflowID, s *wire.JobSpec) error {
	c.known[s.ID] = true
	_, err := c.store.Put(ctx, workflow.ResultName(s.ID), strings.NewReader(`{"code":0,"outputs":{"o":"x"}}`))
	return err
}
func (c *instantJobs) CancelStep(context.Context, wire.JobID) error { return nil }
func (c *instantJobs) EndWorkflow(_ context.Context, _ wire.WorkflowID, s ledger.WorkflowState, _ string) error {
	c.ended = s
	return nil
}

// BenchmarkWorkflow is what the driver of a workflow costs by itself: a chain of 20, scatters
// of 1,000 to 100,000, and taking one over whose steps are all done.
func BenchmarkWorkflow(b *testing.B) {
	tool := "{class: CommandLineTool, baseCommand: echo, inputs: {a: Any}, outputs: {o: string}}"
	chain := workflowHead + "inputs: {x: string}\noutputs: {o: {type: string, outputSource: s19/o}}\nsteps:\n"
	for i := range 20 {
		from := "x"
		if i > 0 {
			from = fmt.Sprintf("s%d/o", i-1)
		}
		chain += fmt.Sprintf("  s%d: {run: %s, in: {a: %s}, out: [o]}\n", i, tool, from)
	}
	wide := workflowHead + "inputs: {x: 'int[]'}\noutputs: {o: {type: 'string[]', outputSource: s/o}}\nsteps:\n  s: {run: " + tool + ", scatter: a, in: {a: x}, out: [o]}\n"
	drive := func(b *testing.B, doc string, in any, jobs *instantJobs) {
		inputs, _ := json.Marshal(in)
		w := &ledger.Workflow{ID: "wf-000001"}
		w.Spec = &wire.WorkflowSpec{ID: w.ID, Team: "t", Entry: "main.cwl", Window: 100}
		r, err := workflow.Resume(
			b.Context(),
			w,
			&workflow.Documents{Bundle: map[string]string{"main.cwl": doc}, Inputs: inputs},
			jobs,
			jobs.store,
		)
		if err != nil {
			b.Fatal(err)
		}
		for over := false; !over; {
			if _, over, err = r.Step(b.Context(), time.Now(), 100); err != nil {
				b.Fatal(err)
			}
		}
		if jobs.ended != ledger.WorkflowDone {
			b.Fatal(jobs.ended)
		}
	}
	fresh := func() *instantJobs { return &instantJobs{store: new(stepdata.Mem), known: map[wire.JobID]bool{}} }
	b.Run("chain/20", func(b *testing.B) {
		for b.Loop() {
			drive(b, chain, map[string]any{"x": "r"}, fresh())
		}
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(20*b.N), "µs/step")
	})
	for _, n := range []int{1000, 10_000, 100_000} {
		in := map[string]any{"x": make([]int, n)}
		jobs := fresh()
		b.Run(fmt.Sprint("scatter/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				jobs = fresh()
				drive(b, wide, in, jobs)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n*b.N), "µs/step")
		})
		b.Run(fmt.Sprint("takeover/", n), func(b *testing.B) {
			for b.Loop() {
				drive(b, wide, in, jobs)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n*b.N), "µs/step")
		})
	}
}
