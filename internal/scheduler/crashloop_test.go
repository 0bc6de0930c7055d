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

// crashLoopCase is a job that fails on every machine beside a machine that fails every job.
type crashLoopCase struct {
	t        *testing.T
	parts    *controllertest.Parts
	records  *ledger.Ledger
	now      time.Time
	mistaken *ledger.Job // an array of 20 tasks that fail everywhere
}

// The machines of the case.
const (
	badMachine   = wire.MachineID("host-bad")
	goodMachine  = wire.MachineID("host-good")
	otherMachine = wire.MachineID("host-other")
)

// newCrashLoopCase returns the case without any failure.
func newCrashLoopCase(t *testing.T) *crashLoopCase {
	t.Helper()
	p := controllertest.New(t, 0)
	c := &crashLoopCase{t: t, parts: p, records: p.Cache.Records(), now: time.Now()}
	watchcache.SetStateForTest(t, p.Cache, 0, c.now)
	c.mistaken = c.addJob(1, 20)
	return c
}

// addJob adds an array of so many tasks.
func (c *crashLoopCase) addJob(n, tasks int) *ledger.Job {
	return controllertest.AddJob(c.records, n, wire.Array, tasks)
}

// putJob replaces the record of a job.
func (c *crashLoopCase) putJob(id wire.JobID, version wire.Revision, record string) {
	c.records.Apply(ledger.Event{Key: "mm1/j/" + string(id), Version: version, Value: []byte(record)})
}

// fail has a task of a job fail.
func (c *crashLoopCase) fail(j *ledger.Job, m wire.MachineID, task wire.TaskIndex, at time.Time) {
	c.parts.Failures.Failed(j, task, m, "", at)
}

// faulty reports whether a machine is judged faulty.
func (c *crashLoopCase) faulty(m wire.MachineID) bool {
	return c.parts.Failures.Faulty(c.records, m, c.now)
}

// queue returns the queue of a new snapshot.
func (c *crashLoopCase) queue(at time.Time) []placement.Entry {
	c.parts.Scheduler.InvalidateSnapshot()
	return c.parts.Scheduler.Snapshot(at).Queue
}

// entry returns the entry of the mistaken job in a new snapshot.
func (c *crashLoopCase) entry(at time.Time) *placement.Entry {
	c.t.Helper()
	queue := c.queue(at)
	i := slices.IndexFunc(queue, func(e placement.Entry) bool { return e.Job.ID == c.mistaken.ID })
	if i < 0 {
		c.t.Fatalf("%s is not in the queue", c.mistaken.ID)
	}
	return &queue[i]
}

// TestMistakenJobBesideBadMachine: failures of one job on several machines, whichever controllers
// saw them, are evidence against the job; those of several jobs on one machine, against the machine.
// When each controller knew only of its own machines, and cancelled jobs counted as evidence, a day
// with mistaken jobs had nineteen good machines returned.
func TestMistakenJobBesideBadMachine(t *testing.T) {
	c := newCrashLoopCase(t)
	c.checkEvidence()
	last := c.checkBackoff()
	c.checkNothingRented(last)
	c.checkTriedWithOneTask(last)
	// A task of it completes: it is as good as any other.
	c.putJob("wk-000001", 10,
		`{"spec":{"id":"wk-000001","pieces":20,"shape":"array","owner":"free","cores":1},"at":1,"a":1,"d":"BAA="}`)
	if c.entry(last).CrashLooping {
		t.Error("still crash-looping after a task completed")
	}
}

// checkEvidence has jobs fail and checks what is held against the job and against machines.
func (c *crashLoopCase) checkEvidence() {
	c.t.Helper()
	cancelled, one, two := c.addJob(2, 1), c.addJob(3, 1), c.addJob(4, 1)
	c.fail(c.mistaken, goodMachine, 0, c.now)
	c.fail(cancelled, goodMachine, 0, c.now)
	if !c.faulty(goodMachine) {
		c.t.Error("two jobs failed there, neither known to fail elsewhere: not held against the machine")
	}
	// A peer saw one of them fail elsewhere; the other's user gives up.
	suspects := []peer.Suspect{{Job: c.mistaken.ID, Machines: []wire.MachineID{"host-far"}}}
	c.parts.Failures.MergeSuspects(c.records, suspects, c.now)
	if _, looping := c.parts.Failures.CrashLooping(c.mistaken.ID); !looping || c.faulty(goodMachine) {
		c.t.Errorf("crash-looping %v, machine faulty %v after a peer reported a second machine; want true, false",
			looping, c.faulty(goodMachine))
	}
	c.putJob("wk-000002", 9, `{"spec":{"id":"wk-000002","pieces":1,"shape":"array"},"at":1,"state":"cancelled"}`)
	c.fail(one, badMachine, 0, c.now)
	c.fail(c.mistaken, badMachine, 1, c.now)
	if c.faulty(badMachine) {
		c.t.Error("one job's failure and a crash-looping job's are held against a machine")
	}
	c.fail(two, badMachine, 0, c.now)
	if !c.faulty(badMachine) || c.faulty(goodMachine) || c.faulty(otherMachine) {
		c.t.Errorf("faulty: %v %v %v, want only the first",
			c.faulty(badMachine), c.faulty(goodMachine), c.faulty(otherMachine))
	}
}

// checkBackoff has the crash-looping job fail again and again, and checks that it is backed off for
// longer each time and comes after all others. It returns when the job may be tried next.
func (c *crashLoopCase) checkBackoff() time.Time {
	c.t.Helper()
	backoff, last := time.Duration(0), c.now
	for range 4 {
		e := c.entry(last)
		if !e.CrashLooping || e.Retry.Sub(last) <= backoff {
			c.t.Fatalf("crash-looping %v, backed off for %v after %v", e.CrashLooping, e.Retry.Sub(last), backoff)
		}
		backoff = e.Retry.Sub(last)
		last = e.Retry
		c.fail(c.mistaken, otherMachine, 0, last)
	}
	queue := c.queue(c.now)
	if got := queue[len(queue)-1].Job.ID; got != c.mistaken.ID {
		c.t.Errorf("%s comes last, want the crash-looping %s", got, c.mistaken.ID)
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
		c.t.Errorf("rents %v for a crash-looping job", plan.ScaleOut)
	}
}

// checkTriedWithOneTask checks that one task of the crash-looping job is started where there is room
// for more.
func (c *crashLoopCase) checkTriedWithOneTask(last time.Time) {
	c.t.Helper()
	m := &placement.Machine{
		ID:     "host-new",
		Type:   "g2",
		Usable: true,
		Total:  ledger.NewResources(8, 0, 0),
		Free:   ledger.NewResources(8, 0, 0),
		Images: placement.NewImages(10),
	}
	v := &placement.Snapshot{
		Now:      last.Add(time.Hour),
		Queue:    []placement.Entry{*c.entry(last)},
		Limits:   placement.Limits{ColdStarts: 9},
		Machines: []*placement.Machine{m},
		TeamRoom: func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
	}
	if s := placement.PlaceOnMachine(v, m); len(s) != 1 || s[0].Count != 1 {
		c.t.Errorf("a crash-looping job of 20 tasks is tried with %v, want one task", s)
	}
}

// TestBadTaskOfAGoodArray: a task that fails everywhere is backed off while the array's other tasks go
// on.
func TestBadTaskOfAGoodArray(t *testing.T) {
	c := controllertest.New(t, 0)
	records := c.Cache.Records()
	now := time.Now()
	j := controllertest.AddJob(records, 1, wire.Array, 8)
	for i := range 3 {
		c.Failures.Failed(j, 5, wire.MachineID(fmt.Sprint("host-", i)), "", now)
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
		t.Fatalf("%+v, want one job that is not crash-looping with one task backed off", queue)
	}
	site := ledger.ClaimTarget{Machine: "host-9", Zone: "a", Epoch: 1, Token: 1}
	got, err := records.NewTransaction().Claim(j, site, 8, c.Failures.BackedOff(j.ID))
	if got != 6 || err != nil {
		t.Errorf("%d tasks claimed (%v), want 6: all but the one done and the one backed off", got, err)
	}
	backedOff := func(after time.Duration) int { return c.Failures.RetryState(j, now.Add(after)).BackedOff }
	if backedOff(time.Second) != 1 || backedOff(10*time.Second) != 0 {
		t.Errorf("%d tasks backed off after 1s and %d after 10s, want 1 and 0",
			backedOff(time.Second), backedOff(10*time.Second))
	}
}
