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
	"maddermill/wire"
)

// sharedCluster is a quiet cluster in which plain jobs and workflows run side by side.
type sharedCluster struct {
	*testCluster
	ctx    context.Context
	nextID int // of plain jobs

	doneMu sync.Mutex // guards doneAt
	doneAt map[wire.JobID]time.Time
}

// newSharedCluster starts a cluster with so many machines, which runs until cancel is called.
func newSharedCluster(t *testing.T, machines int) (s *sharedCluster, cancel context.CancelFunc) {
	t.Helper()
	return newSharedClusterWith(t, machines, func(*sharedCluster) {})
}

// newSharedClusterWith is newSharedCluster with what is set up before the controllers start.
func newSharedClusterWith(
	t *testing.T,
	machines int,
	setUp func(*sharedCluster),
) (s *sharedCluster, cancel context.CancelFunc) {
	t.Helper()
	s = &sharedCluster{testCluster: newQuietCluster(t, 3), doneAt: map[wire.JobID]time.Time{}}
	s.cloud.Most = machines
	s.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Second }
	s.emulateSteps(func(id wire.JobID) {
		s.doneMu.Lock()
		defer s.doneMu.Unlock()
		s.doneAt[id] = time.Now()
	})
	setUp(s)
	s.ctx, cancel = context.WithCancel(t.Context())
	s.start(s.ctx, machines, 0)
	wait.For(s.ctx, 12*time.Second)
	return s, cancel
}

// submitJobs submits plain jobs that are like those of a scattered step, and returns their names.
func (s *sharedCluster) submitJobs(n int, team wire.Team, priority wire.Priority, gpus float64) (ids []wire.JobID) {
	for range n {
		spec := &wire.JobSpec{
			ID:       jobID(s.nextID),
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
		s.nextID++
		ids = append(ids, spec.ID)
		s.group.Go(func() { s.submitUntilAccepted(spec) })
	}
	return ids
}

// submitUntilAccepted submits a job to the first controller until it is accepted.
func (s *sharedCluster) submitUntilAccepted(spec *wire.JobSpec) {
	for s.ctx.Err() == nil {
		if _, _, err := s.controller(0).Jobs.Submit(s.ctx, spec); err == nil {
			return
		}
		wait.For(s.ctx, time.Second)
	}
}

// submitScatter submits a workflow of one scattered step of n runs, and returns the names of its jobs.
func (s *sharedCluster) submitScatter(
	n int,
	team wire.Team,
	priority wire.Priority,
	gpus int,
) (ids []wire.JobID) {
	hints := ""
	if gpus > 0 {
		hints = fmt.Sprintf(", hints: {CUDARequirement: {cudaDeviceCountMin: %d}}", gpus)
	}
	document := "inputs: {x: 'int[]'}\noutputs: []\nsteps:\n" +
		"  s: {run: {class: CommandLineTool, baseCommand: touch, inputs: {a: int}, outputs: []" + hints + "}, " +
		"scatter: a, in: {a: x}, out: []}\n"
	inputs, err := json.Marshal(map[string]any{"x": make([]int, n)})
	if err != nil {
		s.t.Error(err)
	}
	const id = wire.WorkflowID("wf-000001")
	spec := workflowSpec(id, document, inputs)
	spec.Team, spec.Priority, spec.Window = team, priority, wire.MaxWindow
	s.submitWorkflow(s.ctx, spec)
	for i := range n {
		ids = append(ids, workflow.StepJobID(id, fmt.Sprintf("s[%d]", i), 0))
	}
	return ids
}

// completionTime returns when the share of jobs were done, from a time on; an hour if not all are done.
func (s *sharedCluster) completionTime(from time.Time, ids []wire.JobID, share float64) time.Duration {
	s.doneMu.Lock()
	defer s.doneMu.Unlock()
	var all []time.Duration
	for _, id := range ids {
		if at, ok := s.doneAt[id]; ok {
			all = append(all, at.Sub(from))
		}
	}
	if len(all) < len(ids) {
		return time.Hour
	}
	slices.Sort(all)
	return all[int(share*float64(len(all)-1))].Round(time.Second)
}

// TestStepsScheduledLikeJobs: the same work as plain jobs and as a workflow's steps, side by side on the same
// machines, is done at the same times, in the same order of priority and under the same limit of its
// team. A wide workflow does not keep a job of high priority waiting.
func TestStepsScheduledLikeJobs(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		machines int
		run      func(t *testing.T, s *sharedCluster)
	}{
		{"same priority", 3, stepsAtTheSamePriority},
		{"higher priority", 2, stepsAtHigherPriority},
		{"wide workflow", 3, jobBesideWideWorkflow},
		{"team limit", 6, stepsOfLimitedTeam}, // the team may have 4 of the 12 accelerators; the world checks
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, cancel := newSharedCluster(t, tc.machines)
				tc.run(t, s)
				s.shutDown(cancel)
				s.reportBrokenRules()
			})
		})
	}
}

func stepsAtTheSamePriority(t *testing.T, s *sharedCluster) {
	t.Helper()
	// Steps are submitted at the pace that their share of the changes allows, here three a second; so are
	// the plain jobs. Neither arrives before the other.
	from := time.Now()
	steps := s.submitScatter(40, "free", wire.Normal, 0)
	var jobs []wire.JobID
	for range 40 {
		wait.For(s.ctx, time.Second/3)
		jobs = append(jobs, s.submitJobs(1, "free", wire.Normal, 0)...)
	}
	wait.For(s.ctx, 3*time.Minute)
	halfOfJobs, halfOfSteps := s.completionTime(from, jobs, 0.5), s.completionTime(from, steps, 0.5)
	t.Logf(
		"40 and 40 on 24 places: half done after %v as plain jobs, %v as steps; all after %v and %v",
		halfOfJobs,
		halfOfSteps,
		s.completionTime(from, jobs, 1),
		s.completionTime(from, steps, 1),
	)
	if d := halfOfSteps - halfOfJobs; d > 10*time.Second || d < -10*time.Second {
		t.Errorf("half of the steps done after half of the jobs: got %v, want within 10s", d)
	}
}

func stepsAtHigherPriority(t *testing.T, s *sharedCluster) {
	t.Helper()
	from := time.Now()
	jobs := s.submitJobs(60, "free", wire.Normal, 0)
	wait.For(s.ctx, 2*time.Second)
	steps := s.submitScatter(16, "free", wire.High, 0)
	wait.For(s.ctx, 4*time.Minute)
	stepsDone, jobsDone := s.completionTime(from, steps, 1), s.completionTime(from, jobs, 1)
	t.Logf("16 steps of high priority behind 60 jobs on 16 places: done after %v, the jobs after %v", stepsDone, jobsDone)
	if stepsDone >= jobsDone {
		t.Errorf("steps of high priority: got done after %v, want before the jobs, %v", stepsDone, jobsDone)
	}
}

func jobBesideWideWorkflow(t *testing.T, s *sharedCluster) {
	t.Helper()
	steps := s.submitScatter(300, "free", wire.Normal, 0)
	wait.For(s.ctx, 20*time.Second)
	// All controllers report the workflow, whichever runs it. The latest progress is known everywhere within 3 s, as
	// any state: who reports less than another catches up. The first steps end about now.
	over := 1
	for round := range 2 {
		for i := range 3 {
			got, err := s.controller(i).Workflows.Status(s.ctx, "wf-000001")
			if err != nil || len(got.Steps) != 1 || got.Steps[0].State != "running" || got.Steps[0].Total != 300 ||
				round == 1 && got.Steps[0].Finished < over {
				t.Errorf("m-%d: got %+v, error %v; want a running step, >= %d of 300 runs over", i, got, err, over)
			}
			if round == 0 && err == nil && len(got.Steps) == 1 {
				over = max(over, got.Steps[0].Finished)
			}
		}
		wait.For(s.ctx, 3*time.Second)
	}
	from := time.Now()
	job := s.submitJobs(1, "free", wire.High, 0)
	wait.For(s.ctx, 5*time.Minute)
	jobDone := s.completionTime(from, job, 1)
	t.Logf(
		"a job of high priority beside a scatter of 300 on 24 places: done after %v; the scatter after %v",
		jobDone,
		s.completionTime(from, steps, 1),
	)
	if jobDone > 45*time.Second {
		t.Errorf("job of high priority beside a wide workflow: got done after %v, want <= 45s", jobDone)
	}
}

func stepsOfLimitedTeam(t *testing.T, s *sharedCluster) {
	t.Helper()
	from := time.Now()
	steps := s.submitScatter(8, "capped", wire.Normal, 1)
	wait.For(s.ctx, time.Second)
	jobs := s.submitJobs(8, "capped", wire.Normal, 1)
	wait.For(s.ctx, 4*time.Minute)
	stepsDone := s.completionTime(from, steps, 1)
	t.Logf(
		"8 and 8 of a team limited to 4: done after %v as plain jobs, %v as steps",
		s.completionTime(from, jobs, 1),
		stepsDone,
	)
	if stepsDone == time.Hour {
		t.Error("steps of a team with a limit: got not all done, want all")
	}
}

// TestStepsPreemptedLikeJobs: a step's task and a plain job's of the same kind on one machine are the
// same to preemption: both may be stopped for work of higher priority, at the same loss, and neither for
// work of their own priority.
func TestStepsPreemptedLikeJobs(t *testing.T) {
	t.Parallel()
	c := newTestController(t)
	now := time.Now()
	add := func(i int, priority wire.Priority, fields string) *ledger.Job {
		const record = `{"spec":{"id":"%s","pieces":1,"shape":"array","urgency":"%s","owner":"free","cores":2},"at":1%s}`
		id := jobID(i)
		c.cache.Records().Apply(ledger.Event{
			Key:     "mm1/j/" + string(id),
			Version: wire.Revision(i + 1),
			Value:   fmt.Appendf(nil, record, id, priority, fields),
		})
		return c.cache.Records().Job(id)
	}
	const claim = `,"a":1,"c":[[1,"host-1","a",1,1,0,1]]`
	add(1, wire.Normal, claim)
	add(2, wire.Normal, claim+`,"of":"wf-000001"`)
	c.set.Operators.Preempt = true
	victims := c.scheduler.Snapshot(now).Victims(&placement.Machine{ID: "host-1"})
	if len(victims) != 2 || victims[0].SavesProgress != victims[1].SavesProgress ||
		victims[0].OverGuarantee != victims[1].OverGuarantee ||
		victims[0].RunTime != victims[1].RunTime {
		t.Fatalf("victims: got %+v, want two alike", victims)
	}
	for priority, want := range map[wire.Priority]int{wire.High: 2, wire.Normal: 0} {
		job := add(3+want, priority, "")
		stopped, tasks := placement.SelectVictims(&placement.Entry{Job: job}, ledger.Resources{}, 2, victims)
		if len(stopped) != want || tasks != want {
			t.Errorf("for %s work: got %d tasks stopped for %d tasks, want %d", priority, len(stopped), tasks, want)
		}
	}
}

// TestWorkflowChainLatency measures what a chain of twenty steps takes beyond the steps' own times.
func TestWorkflowChainLatency(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, cancel := newSharedCluster(t, 2)
		from := time.Now()
		if !s.runWorkflow(s.ctx, "wf-000001", chainDocument(20, echoTool), "x: r", ledger.WorkflowDone) {
			t.Fatal("chain: got no end, want one")
		}
		chain := s.completionTime(from, []wire.JobID{workflow.StepJobID("wf-000001", "s19", 0)}, 1)
		// When a job is done varies with the heartbeats: the average of several is taken.
		var alone time.Duration
		for range 8 {
			submittedAt := time.Now()
			ids := s.submitJobs(1, "free", wire.High, 0)
			wait.For(s.ctx, time.Minute)
			alone += s.completionTime(submittedAt, ids, 1) / 8
		}
		s.shutDown(cancel)
		t.Logf("a chain of 20 is done after %v, %v a step; a plain job of the same after %v", chain, chain/20, alone)
		if limit := 20 * (alone + 4*time.Second); chain > limit {
			t.Errorf("chain of 20: got done after %v, want <= %v (a job: %v)", chain, limit, alone)
		}
	})
}

// chainDocument returns a workflow of n steps, each of which has the output of the one before as its input.
func chainDocument(n int, tool string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "inputs: {x: string}\noutputs: {o: {type: string, outputSource: s%d/o}}\nsteps:\n", n-1)
	for i := range n {
		from := "x"
		if i > 0 {
			from = fmt.Sprintf("s%d/o", i-1)
		}
		fmt.Fprintf(&b, "  s%d: {run: %s, in: {a: %s}, out: [o]}\n", i, tool, from)
	}
	return b.String()
}
