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

// beside is a calm deployment in which plain jobs and workflows run side by side.
type beside struct {
	*history
	ctx  context.Context
	mu   sync.Mutex
	done map[wire.JobID]time.Time
	next int
}

func newBeside(t *testing.T, ctx context.Context, machines int) *beside {
	h := newHistory(t, 3)
	b := &beside{history: h, ctx: ctx, done: map[wire.JobID]time.Time{}}
	h.quiet, h.calm, h.cloud.Most = true, true, machines
	h.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Second }
	h.runSteps(func(id wire.JobID) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.done[id] = time.Now()
	})
	h.begin(ctx, machines, 0)
	wait.For(ctx, 12*time.Second)
	return b
}

// plain submits jobs that are as a scattered step's, and returns their ids.
func (b *beside) plain(n int, team wire.Team, priority wire.Priority, gpus float64) (ids []wire.JobID) {
	for range n {
		spec := &wire.JobSpec{
			ID:       wire.JobID(fmt.Sprintf("wk-%06d", b.next)),
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
		b.next++
		ids = append(ids, spec.ID)
		b.group.Go(func() {
			b.askJob(spec)
		})
	}
	return ids
}

func (b *beside) askJob(spec *wire.JobSpec) {
	for b.ctx.Err() == nil {
		if _, _, err := b.core(0).Jobs.Submit(b.ctx, spec); err == nil {
			return
		}
		wait.For(b.ctx, time.Second)
	}
}

// scatter submits a workflow of one scattered step, and returns its jobs' ids.
func (b *beside) scatter(
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
	askAny(b.ctx, b.history, string(id), func(ctx context.Context, c *Controller) (wire.WorkflowStatus, error) {
		st, _, err := c.Workflows.Submit(ctx, spec)
		return st, err
	})
	for i := range n {
		ids = append(ids, workflow.JobOf(id, fmt.Sprintf("s[%d]", i), 0))
	}
	return ids
}

// after is when the share of jobs were done, from a time on.
func (b *beside) after(from time.Time, ids []wire.JobID, share float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []time.Duration
	for _, id := range ids {
		if at, ok := b.done[id]; ok {
			all = append(all, at.Sub(from))
		}
	}
	if len(all) < len(ids) {
		return time.Hour
	}
	slices.Sort(all)
	return all[int(share*float64(len(all)-1))].Round(time.Second)
}

// TestStepsAreOrdinaryJobs: the same work as plain jobs and as a workflow's steps, side by
// side on the same machines, is done at the same times, in the same order of urgency and
// under the same limit of its team; a wide workflow does not keep an urgent claim waiting.
func TestStepsAreOrdinaryJobs(t *testing.T) {
	in := func(machines int, f func(b *beside)) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			b := newBeside(t, ctx, machines)
			f(b)
			b.finish(cancel)
			for _, x := range b.world.Broken {
				t.Errorf("broken: %s", x)
			}
		})
	}
	in(3, func(b *beside) {
		// Steps are submitted at the pace that their part of the changes allows, here three a
		// second; so are the plain jobs. Neither arrives before the other.
		from := time.Now()
		steps := b.scatter("wf-000001", 40, "free", wire.Normal, 0)
		var plain []wire.JobID
		for range 40 {
			wait.For(b.ctx, time.Second/3)
			plain = append(plain, b.plain(1, "free", wire.Normal, 0)...)
		}
		wait.For(b.ctx, 3*time.Minute)
		p, s := b.after(from, plain, 0.5), b.after(from, steps, 0.5)
		t.Logf(
			"40 and 40 on 24 places: half done after %v as plain jobs, %v as steps; all after %v and %v",
			p,
			s,
			b.after(from, plain, 1),
			b.after(from, steps, 1),
		)
		if d := s - p; d > 10*time.Second || d < -10*time.Second {
			t.Error("steps and plain jobs are not served alike")
		}
	})
	in(2, func(b *beside) {
		from := time.Now()
		plain := b.plain(60, "free", wire.Normal, 0)
		wait.For(b.ctx, 2*time.Second)
		urgent := b.scatter("wf-000001", 16, "free", wire.High, 0)
		wait.For(b.ctx, 4*time.Minute)
		t.Logf(
			"16 urgent steps behind 60 normal jobs on 16 places: done after %v, the jobs after %v",
			b.after(from, urgent, 1),
			b.after(from, plain, 1),
		)
		if b.after(from, urgent, 1) >= b.after(from, plain, 1) {
			t.Error("urgent steps come after normal jobs")
		}
	})
	in(3, func(b *beside) {
		wide := b.scatter("wf-000001", 300, "free", wire.Normal, 0)
		wait.For(b.ctx, 20*time.Second)
		// Whoever drives it, all can tell of it. What was driven last is told of with up to 3 s of
		// lag, as any state: who told less than another catches up. The first steps end about now.
		most := 1
		for round := range 2 {
			for i := range 3 {
				st, err := b.core(i).Workflows.Status(b.ctx, "wf-000001")
				if err != nil || len(st.Steps) != 1 || st.Steps[0].State != "running" || st.Steps[0].Total != 300 ||
					round == 1 && st.Steps[0].Finished < most {
					t.Errorf("m-%d tells %+v, %v; %d were over 3 s ago", i, st, err, most)
				}
				if round == 0 && err == nil && len(st.Steps) == 1 {
					most = max(most, st.Steps[0].Finished)
				}
			}
			wait.For(b.ctx, 3*time.Second)
		}
		from := time.Now()
		claim := b.plain(1, "free", wire.High, 0)
		wait.For(b.ctx, 5*time.Minute)
		t.Logf(
			"an urgent claim beside a scatter of 300 on 24 places: done after %v; the scatter after %v",
			b.after(from, claim, 1),
			b.after(from, wide, 1),
		)
		if b.after(from, claim, 1) > 45*time.Second {
			t.Error("an urgent claim waits for a wide workflow")
		}
	})
	in(6, func(b *beside) { // the team may have 4 of the 12 accelerators; the world checks
		from := time.Now()
		steps := b.scatter("wf-000001", 8, "capped", wire.Normal, 1)
		wait.For(b.ctx, time.Second)
		plain := b.plain(8, "capped", wire.Normal, 1)
		wait.For(b.ctx, 4*time.Minute)
		t.Logf(
			"8 and 8 of a team limited to 4: done after %v as plain jobs, %v as steps",
			b.after(from, plain, 1),
			b.after(from, steps, 1),
		)
		if b.after(from, steps, 1) == time.Hour {
			t.Error("steps of a team with a limit do not end")
		}
	})
}

// TestStepsAreStoppedAlike: a step's task and a plain job's of the same kind on one machine are
// the same to preemption: both may be stopped for urgent work, at the same loss, and neither for
// work of their own priority.
func TestStepsAreStoppedAlike(t *testing.T) {
	c := quietCore(t, 0)
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

// TestChainOfTwenty measures what a chain takes beyond its steps' own times.
func TestChainOfTwenty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newBeside(t, ctx, 2)
		doc := "inputs: {x: string}\noutputs: {o: {type: string, outputSource: s19/o}}\nsteps:\n"
		for i := range 20 {
			from := "x"
			if i > 0 {
				from = fmt.Sprintf("s%d/o", i-1)
			}
			doc += fmt.Sprintf("  s%d: {run: %s, in: {a: %s}, out: [o]}\n", i, echoTool, from)
		}
		from := time.Now()
		if !b.flow(ctx, "wf-000001", doc, "x: r", ledger.WorkflowDone) {
			t.Fatal("it does not end")
		}
		last := b.after(from, []wire.JobID{workflow.JobOf("wf-000001", "s19", 0)}, 1)
		// One job alone is now early, now late beside the reports: several are taken.
		var alone time.Duration
		for range 8 {
			one := time.Now()
			ids := b.plain(1, "free", wire.High, 0)
			wait.For(ctx, time.Minute)
			alone += b.after(one, ids, 1) / 8
		}
		b.finish(cancel)
		t.Logf("a chain of 20 is done after %v, %v a step; a plain job of the same after %v", last, last/20, alone)
		if last > 20*(alone+4*time.Second) {
			t.Errorf("a chain of 20 takes %v, a job %v", last, alone)
		}
	})
}

// countedJobs answers at once: each step's job is done as soon as it is submitted.
type countedJobs struct {
	store stepdata.Store
	known map[wire.JobID]bool
	ended ledger.WorkflowState
}

func (c *countedJobs) StepState(id wire.JobID) workflow.JobState {
	if c.known[id] {
		return workflow.Done
	}
	return workflow.Unknown
}
func (c *countedJobs) SubmitStep(ctx context.Context, _ wire.WorkflowID, s *wire.JobSpec) error {
	c.known[s.ID] = true
	_, err := c.store.Put(ctx, workflow.ResultName(s.ID), strings.NewReader(`{"code":0,"outputs":{"o":"x"}}`))
	return err
}
func (c *countedJobs) CancelStep(context.Context, wire.JobID) error { return nil }
func (c *countedJobs) EndWorkflow(_ context.Context, _ wire.WorkflowID, s ledger.WorkflowState, _ string) error {
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
	drive := func(b *testing.B, doc string, in any, jobs *countedJobs) {
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
	fresh := func() *countedJobs { return &countedJobs{store: new(stepdata.Mem), known: map[wire.JobID]bool{}} }
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
