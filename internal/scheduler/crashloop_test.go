package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// crashLoopCase contains a job that fails on every machine and a machine that fails every job.
type crashLoopCase struct {
	t          *testing.T
	parts      *controllertest.Parts
	records    *ledger.Ledger
	now        time.Time
	failingJob *ledger.Job // an array of 20 tasks that fail on every machine
}

// Machines of the test case.
const (
	faultyMachine  = wire.MachineID("host-bad")
	healthyMachine = wire.MachineID("host-good")
	otherMachine   = wire.MachineID("host-other")
)

// newCrashLoopCase returns the test case before any failure.
func newCrashLoopCase(t *testing.T) *crashLoopCase {
	t.Helper()
	p := controllertest.New(t, 0)
	c := &crashLoopCase{t: t, parts: p, records: p.Cache.Records(), now: time.Now()}
	watchcache.SetStateForTest(t, p.Cache, 0, c.now)
	c.failingJob = c.addJob(1, 20)
	return c
}

// addJob adds an array with the given number of tasks.
func (c *crashLoopCase) addJob(n, tasks int) *ledger.Job {
	return controllertest.AddJob(c.records, n, wire.Array, tasks)
}

// putJob replaces the record of a job.
func (c *crashLoopCase) putJob(id wire.JobID, version wire.Revision, record string) {
	c.records.Apply(ledger.Event{Key: "mm1/j/" + string(id), Version: version, Value: []byte(record)})
}

// fail records the failure of a task.
func (c *crashLoopCase) fail(j *ledger.Job, m wire.MachineID, task wire.TaskIndex, at time.Time) {
	c.parts.Failures.RecordFailure(j, task, m, "", at)
}

// faulty reports whether a machine is considered faulty.
func (c *crashLoopCase) faulty(m wire.MachineID) bool {
	return c.parts.Failures.Faulty(c.records, m, c.now)
}

// queue returns the queue of a new snapshot.
func (c *crashLoopCase) queue(at time.Time) []placement.Entry {
	c.parts.Scheduler.InvalidateSnapshot()
	return c.parts.Scheduler.Snapshot(at).Queue
}

// entry returns the entry of failingJob in a new snapshot.
func (c *crashLoopCase) entry(at time.Time) *placement.Entry {
	c.t.Helper()
	queue := c.queue(at)
	i := slices.IndexFunc(queue, func(e placement.Entry) bool { return e.Job.ID == c.failingJob.ID })
	if i < 0 {
		c.t.Fatalf("%s is not in the queue", c.failingJob.ID)
	}
	return &queue[i]
}

// TestCrashLoopingJobBesideFaultyMachine verifies that failures of one job on several machines,
// whichever controllers observed them, count against the job, and failures of several jobs on one
// machine count against the machine. When each controller considered only its own machines, and
// failures of cancelled jobs counted, nineteen healthy machines were returned in one day because of
// jobs that always fail.
func TestCrashLoopingJobBesideFaultyMachine(t *testing.T) {
	c := newCrashLoopCase(t)
	c.checkEvidence()
	last := c.checkBackoff()
	c.checkNothingRented(last)
	c.checkTriedWithOneTask(last)
	// Once one of its tasks completes, the job is no longer treated as crash-looping.
	c.putJob("wk-000001", 10,
		`{"spec":{"id":"wk-000001","pieces":20,"shape":"array","owner":"free","cores":1},"at":1,"a":1,"d":"BAA="}`)
	if c.entry(last).CrashLooping {
		t.Error("still crash-looping after a task completed")
	}
}

// checkEvidence makes jobs fail and checks which jobs and machines the failures count against.
func (c *crashLoopCase) checkEvidence() {
	c.t.Helper()
	cancelled, one, two := c.addJob(2, 1), c.addJob(3, 1), c.addJob(4, 1)
	c.fail(c.failingJob, healthyMachine, 0, c.now)
	c.fail(cancelled, healthyMachine, 0, c.now)
	if !c.faulty(healthyMachine) {
		c.t.Error("healthy machine not marked faulty after failures of two jobs that are not known to fail elsewhere")
	}
	// A peer reports that one job also failed elsewhere; the other job is cancelled by its user.
	suspects := []peer.CrashLoop{{Job: c.failingJob.ID, Machines: []wire.MachineID{"host-far"}}}
	c.parts.Failures.MergeSuspects(c.records, suspects, c.now)
	if _, looping := c.parts.Failures.CrashLooping(c.failingJob.ID); !looping || c.faulty(healthyMachine) {
		c.t.Errorf("crash-looping %v, machine faulty %v after a peer reported a second machine; want true, false",
			looping, c.faulty(healthyMachine))
	}
	c.putJob("wk-000002", 9, `{"spec":{"id":"wk-000002","pieces":1,"shape":"array"},"at":1,"state":"cancelled"}`)
	c.fail(one, faultyMachine, 0, c.now)
	c.fail(c.failingJob, faultyMachine, 1, c.now)
	if c.faulty(faultyMachine) {
		c.t.Error("machine marked faulty after failures of one job and of a crash-looping job")
	}
	c.fail(two, faultyMachine, 0, c.now)
	if !c.faulty(faultyMachine) || c.faulty(healthyMachine) || c.faulty(otherMachine) {
		c.t.Errorf("faulty machines: %v %v %v, want true false false",
			c.faulty(faultyMachine), c.faulty(healthyMachine), c.faulty(otherMachine))
	}
}

// checkBackoff makes the crash-looping job fail repeatedly, and checks that its back-off increases
// each time and that it is ordered after all other jobs. It returns the earliest next retry.
func (c *crashLoopCase) checkBackoff() time.Time {
	c.t.Helper()
	backoff, last := time.Duration(0), c.now
	for range 4 {
		e := c.entry(last)
		if !e.CrashLooping || e.RetryAt.Sub(last) <= backoff {
			c.t.Fatalf("crash-looping %v, back-off %v, previously %v", e.CrashLooping, e.RetryAt.Sub(last), backoff)
		}
		backoff = e.RetryAt.Sub(last)
		last = e.RetryAt
		c.fail(c.failingJob, otherMachine, 0, last)
	}
	queue := c.queue(c.now)
	if got := queue[len(queue)-1].Job.ID; got != c.failingJob.ID {
		c.t.Errorf("last in the queue is %s, want the crash-looping %s", got, c.failingJob.ID)
	}
	return last
}

// checkNothingRented checks that no machine is rented for the crash-looping job.
func (c *crashLoopCase) checkNothingRented(last time.Time) {
	c.t.Helper()
	plan := autoscale.ComputePlan(&autoscale.Input{
		Now:   last.Add(time.Hour),
		Queue: []placement.Entry{*c.entry(last)},
		MachineTypes: map[wire.MachineTypeName]wire.MachineType{
			"g2": {Name: "g2", CPUs: 8, Price: 1, Boot: 20, Zones: []wire.Zone{"a"}},
		},
		RemainingTeamQuota: func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
		OutOfCapacity:      func(autoscale.MachineOption) bool { return false },
	})
	if len(plan.ScaleOut) > 0 {
		c.t.Errorf("plan rents machines for a crash-looping job: %v", plan.ScaleOut)
	}
}

// checkTriedWithOneTask checks that only one task of the crash-looping job starts where several
// would fit.
func (c *crashLoopCase) checkTriedWithOneTask(last time.Time) {
	c.t.Helper()
	m := &placement.Machine{
		ID:     "host-new",
		Type:   "g2",
		Usable: true,
		Total:  ledger.NewResources(8, 0, 0),
		Free:   ledger.NewResources(8, 0, 0),
		Images: placement.NewImageCache(10),
	}
	v := &placement.Snapshot{
		Now:                last.Add(time.Hour),
		Queue:              []placement.Entry{*c.entry(last)},
		Limits:             placement.Limits{MaxColdStarts: 9},
		Machines:           []*placement.Machine{m},
		RemainingTeamQuota: func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
	}
	if s := placement.PlaceOnMachine(v, m); len(s) != 1 || s[0].Count != 1 {
		c.t.Errorf("starts of a crash-looping job with 20 tasks: %v, want one task", s)
	}
}

// TestFailingTaskOfHealthyArrayIsBackedOff verifies that a task that fails on every machine is
// backed off while the other tasks of its array continue.
func TestFailingTaskOfHealthyArrayIsBackedOff(t *testing.T) {
	c := controllertest.New(t, 0)
	records := c.Cache.Records()
	now := time.Now()
	j := controllertest.AddJob(records, 1, wire.Array, 8)
	for i := range 3 {
		c.Failures.RecordFailure(j, 5, wire.MachineID(fmt.Sprint("host-", i)), "", now)
	}
	records.Apply(ledger.Event{
		Key:     "mm1/j/wk-000001",
		Version: 9,
		Value: []byte(
			`{"spec":{"id":"wk-000001","pieces":8,"shape":"array","owner":"free","cores":1},"at":1,"a":1,"d":"AQ=="}`,
		),
	})
	queue := c.Scheduler.Snapshot(now).Queue
	if len(queue) != 1 || queue[0].CrashLooping || queue[0].BackedOff != 1 {
		t.Fatalf("queue %+v, want one job that is not crash-looping and has one task backed off", queue)
	}
	target := ledger.ClaimTarget{Machine: "host-9", Zone: "a", Epoch: 1, Token: 1}
	got, err := records.NewTransaction().Claim(j, target, 8, c.Failures.BackedOff(j.ID))
	if got != 6 || err != nil {
		t.Errorf("%d tasks claimed (%v), want 6: all except the completed one and the one backed off", got, err)
	}
	backedOff := func(after time.Duration) int { return c.Failures.RetryState(j, now.Add(after)).BackedOffTasks }
	if backedOff(time.Second) != 1 || backedOff(10*time.Second) != 0 {
		t.Errorf("%d tasks backed off after 1s and %d after 10s, want 1 and 0",
			backedOff(time.Second), backedOff(10*time.Second))
	}
}
