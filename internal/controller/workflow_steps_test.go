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

// sharedCluster is a cluster without injected faults in which plain jobs and workflows run concurrently.
type sharedCluster struct {
	*testCluster
	ctx    context.Context
	nextID int // number of the next plain job

	doneMu sync.Mutex // guards doneAt
	doneAt map[wire.JobID]time.Time
}

// newSharedCluster starts a cluster with the given number of machines. It runs until cancel is called.
func newSharedCluster(t *testing.T, machines int) (s *sharedCluster, cancel context.CancelFunc) {
	t.Helper()
	return newSharedClusterWith(t, machines, func(*sharedCluster) {})
}

// newSharedClusterWith is like newSharedCluster, but calls setUp before the controllers start.
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

// submitJobs submits n plain jobs with the same requests as the jobs of submitScatter, and returns their IDs.
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

// submitScatter submits a workflow with one step that is scattered into n runs, and returns the IDs of its jobs.
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

// completionTime returns how long after from the given share of the jobs was done, or an hour if any is not done.
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

// TestStepsScheduledLikeJobs checks that workflow steps and plain jobs with the same requests, run concurrently on
// the same machines, finish at the same pace and obey the same priorities and team limits. A workflow with
// many runs must not delay a high-priority job.
func TestStepsScheduledLikeJobs(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		machines int
		run      func(t *testing.T, s *sharedCluster)
	}{
		{"same priority", 3, checkEqualPriority},
		{"higher priority", 2, checkHighPrioritySteps},
		{"wide workflow", 3, checkJobDuringWideWorkflow},
		{"team limit", 6, checkTeamLimit}, // 4 of the 12 GPUs; emulator.World checks the limit
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

func checkEqualPriority(t *testing.T, s *sharedCluster) {
	t.Helper()
	// Submitting steps may use only a share of a controller's state changes, here three steps per second. Plain
	// jobs are submitted at the same rate, so that neither kind has a head start.
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
		"40 jobs and 40 steps on 24 slots: half of the jobs done after %v, half of the steps after %v; all after %v, %v",
		halfOfJobs,
		halfOfSteps,
		s.completionTime(from, jobs, 1),
		s.completionTime(from, steps, 1),
	)
	if d := halfOfSteps - halfOfJobs; d > 10*time.Second || d < -10*time.Second {
		t.Errorf("time from half of the jobs done to half of the steps done: got %v, want within ±10s", d)
	}
}

func checkHighPrioritySteps(t *testing.T, s *sharedCluster) {
	t.Helper()
	from := time.Now()
	jobs := s.submitJobs(60, "free", wire.Normal, 0)
	wait.For(s.ctx, 2*time.Second)
	steps := s.submitScatter(16, "free", wire.High, 0)
	wait.For(s.ctx, 4*time.Minute)
	stepsDone, jobsDone := s.completionTime(from, steps, 1), s.completionTime(from, jobs, 1)
	t.Logf("16 high-priority steps after 60 jobs on 16 slots: steps done after %v, jobs after %v", stepsDone, jobsDone)
	if stepsDone >= jobsDone {
		t.Errorf("high-priority steps: got done after %v, want before the jobs (%v)", stepsDone, jobsDone)
	}
}

func checkJobDuringWideWorkflow(t *testing.T, s *sharedCluster) {
	t.Helper()
	steps := s.submitScatter(300, "free", wire.Normal, 0)
	wait.For(s.ctx, 20*time.Second)
	// Every controller reports the workflow, whichever one executes it. As with any state, progress reaches all
	// controllers within 3 s, so the second round must report at least the maximum of the first. The first
	// runs finish about now.
	finished := 1
	for round := range 2 {
		for i := range 3 {
			got, err := s.controller(i).Workflows.Status(s.ctx, "wf-000001")
			if err != nil || len(got.Steps) != 1 || got.Steps[0].State != "running" || got.Steps[0].Total != 300 ||
				round == 1 && got.Steps[0].Finished < finished {
				t.Errorf("m-%d: got %+v, error %v; want a running step, >= %d of 300 runs finished", i, got, err, finished)
			}
			if round == 0 && err == nil && len(got.Steps) == 1 {
				finished = max(finished, got.Steps[0].Finished)
			}
		}
		wait.For(s.ctx, 3*time.Second)
	}
	from := time.Now()
	job := s.submitJobs(1, "free", wire.High, 0)
	wait.For(s.ctx, 5*time.Minute)
	jobDone := s.completionTime(from, job, 1)
	t.Logf(
		"high-priority job during a scatter of 300 on 24 slots: job done after %v, scatter after %v",
		jobDone,
		s.completionTime(from, steps, 1),
	)
	if jobDone > 45*time.Second {
		t.Errorf("high-priority job during a wide workflow: got done after %v, want <= 45s", jobDone)
	}
}

func checkTeamLimit(t *testing.T, s *sharedCluster) {
	t.Helper()
	from := time.Now()
	steps := s.submitScatter(8, "capped", wire.Normal, 1)
	wait.For(s.ctx, time.Second)
	jobs := s.submitJobs(8, "capped", wire.Normal, 1)
	wait.For(s.ctx, 4*time.Minute)
	stepsDone := s.completionTime(from, steps, 1)
	t.Logf(
		"8 jobs and 8 steps of a team limited to 4 GPUs: jobs done after %v, steps after %v",
		s.completionTime(from, jobs, 1),
		stepsDone,
	)
	if stepsDone == time.Hour {
		t.Error("steps of a team with a GPU limit: some are not done, want all done")
	}
}

// TestStepsPreemptedLikeJobs checks that preemption treats the tasks of a step and of an equal plain job on the
// same machine alike: both may be preempted by work of higher priority, at the same cost, and neither by work
// of the same priority.
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
		t.Fatalf("preemption victims: got %+v, want two with the same properties", victims)
	}
	for priority, want := range map[wire.Priority]int{wire.High: 2, wire.Normal: 0} {
		job := add(3+want, priority, "")
		preempted, room := placement.SelectVictims(&placement.Entry{Job: job}, ledger.Resources{}, 2, victims)
		if len(preempted) != want || room != want {
			t.Errorf("preemption by %s priority: got %d victims, room for %d tasks; want %d of each",
				priority, len(preempted), room, want)
		}
	}
}

// TestWorkflowChainLatency measures a chain of twenty steps. Each step may take 4 s longer than a plain job.
func TestWorkflowChainLatency(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, cancel := newSharedCluster(t, 2)
		from := time.Now()
		if !s.runWorkflow(s.ctx, "wf-000001", chainDocument(20, echoTool), "x: r", ledger.WorkflowDone) {
			t.Fatal("chain: the workflow did not end")
		}
		chain := s.completionTime(from, []wire.JobID{workflow.StepJobID("wf-000001", "s19", 0)}, 1)
		// The completion time of a job varies with the timing of heartbeats, so average several.
		var jobTime time.Duration
		for range 8 {
			submittedAt := time.Now()
			ids := s.submitJobs(1, "free", wire.High, 0)
			wait.For(s.ctx, time.Minute)
			jobTime += s.completionTime(submittedAt, ids, 1) / 8
		}
		s.shutDown(cancel)
		t.Logf("chain of 20 done after %v, %v per step; an equal plain job after %v", chain, chain/20, jobTime)
		if limit := 20 * (jobTime + 4*time.Second); chain > limit {
			t.Errorf("chain of 20: got done after %v, want <= %v (plain job: %v)", chain, limit, jobTime)
		}
	})
}

// chainDocument returns a workflow of n steps, each of which takes the output of the previous one as its input.
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
