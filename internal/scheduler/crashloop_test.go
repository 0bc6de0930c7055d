package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// TestMistakenJobBesideBadMachine: failures of one job on several machines, whichever
// controllers saw them, speak against the job; of several jobs on one machine against
// the machine. On a day with mistaken jobs nineteen good machines were returned: each
// controller knew only of its own machines, and a cancelled job counted as a witness.
func TestMistakenJobBesideBadMachine(t *testing.T) {
	c := controllertest.New(t, 0)
	led := c.Cache.Records()
	now := time.Now()
	c.Cache.SetForTest(0, now)
	const bad, good, other = wire.MachineID("host-bad"), wire.MachineID("host-good"), wire.MachineID("host-other")
	fail := func(j *ledger.Job, m wire.MachineID, task wire.TaskIndex, at time.Time) {
		c.Failures.Failed(j, task, m, "", at)
	}
	faulty := func(m wire.MachineID) bool { return c.Failures.Faulty(led, m, now) }
	mistaken, cancelled := controllertest.AddJob(led, 1, wire.Array, 20), controllertest.AddJob(led, 2, wire.Array, 1)
	one, two := controllertest.AddJob(led, 3, wire.Array, 1), controllertest.AddJob(led, 4, wire.Array, 1)
	fail(mistaken, good, 0, now)
	fail(cancelled, good, 0, now)
	if !faulty(good) {
		t.Error("two jobs failed there, neither known to fail elsewhere: not held against the machine")
	}
	// A peer saw one of them fail elsewhere; the other's user gives up.
	c.Failures.MergeSuspects(led, []peer.Suspect{{Job: mistaken.ID, Machines: []wire.MachineID{"host-far"}}}, now)
	if _, suspect := c.Failures.CrashLooping(mistaken.ID); !suspect || faulty(good) {
		t.Errorf("suspect %v, machine faulty %v after a peer told of a second machine", suspect, faulty(good))
	}
	led.Apply(
		ledger.Event{
			Key:     "mm1/j/wk-000002",
			Version: 9,
			Value:   []byte(`{"spec":{"id":"wk-000002","pieces":1,"shape":"array"},"at":1,"state":"cancelled"}`),
		},
	)
	fail(one, bad, 0, now)
	fail(mistaken, bad, 1, now)
	if faulty(bad) {
		t.Error("one job's failure and a suspect's are held against a machine")
	}
	fail(two, bad, 0, now)
	if !faulty(bad) || faulty(good) || faulty(other) {
		t.Errorf("faulty: %v %v %v, want only the first", faulty(bad), faulty(good), faulty(other))
	}

	order := func(at time.Time) []placement.Entry {
		c.Scheduler.InvalidateSnapshot()
		return c.Scheduler.Snapshot(at).Queue
	}
	entry := func(id wire.JobID, at time.Time) *placement.Entry {
		queue := order(at)
		for i := range queue {
			if queue[i].Job.ID == id {
				return &queue[i]
			}
		}
		return nil
	}
	// It rests for longer each time, is tried with one task, after all others, and
	// nothing is rented for it.
	rest, last := time.Duration(0), now
	for range 4 {
		e := entry(mistaken.ID, last)
		if !e.CrashLooping || e.Retry.Sub(last) <= rest {
			t.Fatalf("suspect %v, rests %v after %v", e.CrashLooping, e.Retry.Sub(last), rest)
		}
		rest = e.Retry.Sub(last)
		last = e.Retry
		fail(mistaken, other, 0, last)
	}
	queue := order(now)
	if got := queue[len(queue)-1].Job.ID; got != mistaken.ID {
		t.Errorf("%s comes last, want the suspect", got)
	}
	plan := autoscale.ComputePlan(
		&autoscale.Input{
			Now:   last.Add(time.Hour),
			Queue: []placement.Entry{*entry(mistaken.ID, last)},
			Flavors: map[wire.MachineTypeName]wire.MachineType{
				"g2": {Name: "g2", CPUs: 8, Price: 1, Boot: 20, Zones: []wire.Zone{"a"}},
			},
			TeamRoom:      func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
			OutOfCapacity: func(autoscale.MachineOption) bool { return false },
		},
	)
	if len(plan.ScaleOut) > 0 {
		t.Errorf("rents %v for a suspect", plan.ScaleOut)
	}
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
		Queue:    []placement.Entry{*entry(mistaken.ID, last)},
		Limits:   placement.Limits{ColdStarts: 9},
		Machines: []*placement.Machine{m},
		TeamRoom: func(_ *ledger.Job, _ ledger.Resources, most int) int { return most },
	}
	if s := placement.PlaceOnMachine(v, m); len(s) != 1 || s[0].Count != 1 {
		t.Errorf("a suspect of 20 tasks is tried with %v", s)
	}
	// A task of it completes: it is as good as any other.
	led.Apply(
		ledger.Event{
			Key:     "mm1/j/wk-000001",
			Version: 10,
			Value: []byte(
				`{"spec":{"id":"wk-000001","pieces":20,"shape":"array","owner":"free","cores":1},"at":1,"a":1,"d":"BAA="}`,
			),
		},
	)
	if e := entry(mistaken.ID, last); e.CrashLooping {
		t.Error("still suspect after a task completed")
	}
}

// TestBadTaskOfAGoodArray: a task that fails everywhere rests while the array's other
// tasks go on.
func TestBadTaskOfAGoodArray(t *testing.T) {
	c := controllertest.New(t, 0)
	led := c.Cache.Records()
	now := time.Now()
	j := controllertest.AddJob(led, 1, wire.Array, 8)
	for i := range 3 {
		c.Failures.Failed(j, 5, wire.MachineID(fmt.Sprint("host-", i)), "", now)
	}
	led.Apply(
		ledger.Event{
			Key:     "mm1/j/wk-000001",
			Version: 9,
			Value: []byte(
				`{"spec":{"id":"wk-000001","pieces":8,"shape":"array","owner":"free","cores":1},"at":1,"a":1,"d":"AQ=="}`,
			),
		},
	)
	queue := c.Scheduler.Snapshot(now).Queue
	if len(queue) != 1 || queue[0].CrashLooping || queue[0].BackedOff != 1 {
		t.Fatalf("%+v, want no suspect and one task at rest", queue)
	}
	d := led.NewTransaction()
	got, err := d.Claim(
		j,
		ledger.ClaimTarget{Machine: "host-9", Zone: "a", Session: 1, Token: 1},
		8,
		c.Failures.BackedOff(j.ID),
	)
	if got != 6 || err != nil {
		t.Errorf("%d tasks claimed (%v), want all but the one done and the one at rest", got, err)
	}
	resting := func(after time.Duration) int { return c.Failures.RetryState(j, now.Add(after)).BackedOff }
	if resting(time.Second) != 1 || resting(10*time.Second) != 0 {
		t.Error("the task does not rest for a while and then come back")
	}
}
