package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// simulation is a cluster of fixed size. Each second, all machines send a heartbeat and the leader
// places gangs. Tasks end after their run time.
type simulation struct {
	t        *testing.T
	l        *ledger.Ledger
	bound    time.Duration // waiting bound; 0: none
	now      time.Time
	machines []*placement.Machine
	started  map[string]time.Time // when attempts were first seen running
	queue    []*simulatedJob
	version  wire.Revision
	next     int                            // number of the next job
	waits    map[wire.Class][]time.Duration // waiting times of the jobs that have started all tasks
}

// simulatedJob is a job and the run time of its tasks.
type simulatedJob struct {
	id  wire.JobID
	run time.Duration
}

// newSimulation returns a cluster with the given number of empty machines in two zones.
func newSimulation(t *testing.T, machines int, bound time.Duration) *simulation {
	t.Helper()
	s := &simulation{
		t:       t,
		bound:   bound,
		now:     start,
		started: map[string]time.Time{},
		waits:   map[wire.Class][]time.Duration{},
		l: ledger.New(
			ledger.Limits{
				ValueBytes: 1 << 20,
				TxnOps:     4096,
				TxnBytes:   1 << 24,
				TeamMax:    map[wire.Team]ledger.Resources{"capped": ledger.NewResources(0, 20, 0)},
			},
		),
	}
	s.apply(
		ledger.Event{
			Key:   ledger.MachineTypeKey("g"),
			Value: []byte(`{"sku":"g","cores":8,"accelerators":2,"ram_gb":32,"yards":["a","b"]}`),
		},
	)
	for i := range machines {
		m := &placement.Machine{
			ID:        wire.MachineID(fmt.Sprintf("host-%03d", i)),
			Type:      "g",
			Zone:      []wire.Zone{"a", "b"}[i%2],
			Epoch:     1,
			Token:     1,
			Usable:    true,
			Owned:     true,
			Total:     ledger.NewResources(8, 2, 32),
			Images:    placement.NewImageCache(100),
			FetchGBps: 0.25,
		}
		m.Images.RecordUse("i", 5)
		s.machines = append(s.machines, m)
	}
	return s
}

// apply applies an event to the records.
func (s *simulation) apply(e ledger.Event) {
	s.version++
	e.Version = s.version
	s.l.Apply(e)
}

// commit applies a transaction and reports whether prepare accepted it.
func (s *simulation) commit(prepare func(d *ledger.Transaction) error) bool {
	d := s.l.NewTransaction()
	if prepare(d) != nil {
		return false
	}
	txn, err := d.Request()
	if err != nil {
		s.t.Fatal(err)
	}
	s.version++
	for _, c := range txn.Then {
		s.l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: s.version})
	}
	return true
}

// submit adds a job whose tasks have the given run time.
func (s *simulation) submit(spec wire.JobSpec, run time.Duration) {
	spec.ID = wire.JobID(fmt.Sprintf("wk-%06d", s.next))
	spec.Priority, spec.Image, spec.ImageGB = wire.Normal, "i", 5
	if spec.Team == "" {
		spec.Team = "t"
	}
	s.next++
	s.commit(func(d *ledger.Transaction) error { return d.Submit(&spec, wire.UnixMillis(s.now.UnixMilli())) })
	s.queue = append(s.queue, &simulatedJob{spec.ID, run})
}

// step advances the simulation by one second.
func (s *simulation) step() {
	s.now = s.now.Add(time.Second)
	s.endTasks()
	v := &placement.Snapshot{Now: s.now, RemainingTeamQuota: s.l.RemainingTeamQuota, Queue: s.pending(),
		Machines: s.machines,
		Limits:   placement.Limits{MaxColdStarts: 1 << 20, AssumedFetchTime: time.Minute, ReserveAfter: 5 * time.Second}}
	placement.Order(v.Queue)
	s.updateMachines()
	v.HeadReservations = placement.ReserveForHead(v, nil)
	v.ReserveForPlaceableGangs()
	if s.bound > 0 {
		v.GangReservations = placement.ReserveForOverdueGangs(v)
		v.ReserveTeamQuota()
	}
	for _, m := range s.machines { // heartbeats precede the leader's pass
		for _, st := range placement.PlaceOnMachine(v, m) {
			s.start(st, m)
		}
	}
	for _, g := range placement.PlaceGangs(v) {
		if s.commit(func(d *ledger.Transaction) error { return d.ClaimGang(g.Entry.Job, g.Parts) }) {
			s.recordWait(g.Entry.Job)
		}
	}
}

// endTasks releases the claims whose run time has elapsed.
func (s *simulation) endTasks() {
	var ended []ledger.HeldClaim
	for _, m := range s.machines {
		for _, h := range s.l.ClaimsOn(m.ID) {
			run := s.runOf(h.Job.ID)
			if at := s.since(h); !s.now.Before(at.Add(run)) {
				ended = append(ended, h)
			}
		}
	}
	for _, h := range ended {
		var tasks []wire.TaskIndex
		for i := range h.Count {
			tasks = append(tasks, h.First+wire.TaskIndex(i))
		}
		s.commit(func(d *ledger.Transaction) error { _, err := d.ReleaseTasks(h.Job, h.Claim, tasks, true); return err })
	}
}

// pending removes ended jobs and returns entries for the jobs with pending tasks.
func (s *simulation) pending() []placement.Entry {
	var entries []placement.Entry
	left := s.queue[:0]
	for _, q := range s.queue {
		j := s.l.Job(q.id)
		if j == nil || j.State != ledger.Active {
			continue
		}
		left = append(left, q)
		if j.Pending() > 0 {
			entries = append(entries, s.entry(j, q.run))
		}
	}
	s.queue = left
	return entries
}

// entry returns the entry of a job whose objective is to start within a minute.
func (s *simulation) entry(j *ledger.Job, run time.Duration) placement.Entry {
	e := placement.Entry{Job: j, Waiting: s.now.Sub(j.Accepted.Time()), ExpectedRunTime: run}
	if objective := j.Accepted.Time().Add(60 * time.Second); objective.After(s.now) {
		e.LatestStart = objective
	}
	if s.bound > 0 {
		latest := placement.LatestStart(j.Accepted.Time(), s.bound, j.Spec.ImageGB, 0.25)
		if e.Overdue = !s.now.Before(latest); e.Overdue || e.LatestStart.IsZero() {
			e.LatestStart = latest
		}
	}
	return e
}

// updateMachines updates the machines' free resources and expected releases from the records.
func (s *simulation) updateMachines() {
	for _, m := range s.machines {
		m.Free, m.ExpectedReleases = s.l.FreeResources(m.ClaimTarget()), nil
		for _, h := range s.l.ClaimsOn(m.ID) {
			m.ExpectedReleases = append(m.ExpectedReleases, placement.ExpectedRelease{
				At:        s.since(h).Add(s.runOf(h.Job.ID)),
				Resources: ledger.Resources{}.Add(h.Job.Need, h.Count),
			})
		}
	}
}

// start claims tasks on a machine.
func (s *simulation) start(st placement.Start, m *placement.Machine) {
	p := ledger.GangAllocation{Target: m.ClaimTarget(), Count: st.Count}
	if s.commit(func(d *ledger.Transaction) error {
		if st.Job.Spec.Shape == wire.Gang {
			return d.ClaimGang(st.Job, []ledger.GangAllocation{p})
		}
		_, err := d.Claim(st.Job, p.Target, p.Count, nil)
		return err
	}) {
		s.recordWait(st.Job)
	}
	m.Free = s.l.FreeResources(m.ClaimTarget())
}

// since returns when a claim was first seen running.
func (s *simulation) since(h ledger.HeldClaim) time.Time {
	k := fmt.Sprint(h.Job.ID, h.Attempt)
	if _, ok := s.started[k]; !ok {
		s.started[k] = s.now
	}
	return s.started[k]
}

// runOf returns the run time of a job's tasks.
func (s *simulation) runOf(id wire.JobID) time.Duration {
	for _, q := range s.queue {
		if q.id == id {
			return q.run
		}
	}
	return 0
}

// recordWait records the waiting time of a job once its last task has started.
func (s *simulation) recordWait(j *ledger.Job) {
	if j.Pending() == 0 {
		s.waits[j.Spec.Class] = append(s.waits[j.Spec.Class], s.now.Sub(j.Accepted.Time()))
	}
}

// largeJobsCase is a mix of large and small jobs of the same priority.
type largeJobsCase struct {
	name         string
	large, small wire.JobSpec
	starves      bool // without the waiting bound, large jobs wait longer than the bound
}

// largeWaits summarizes the waiting times of the large jobs.
type largeWaits struct {
	longest    time.Duration
	notStarted int // jobs that have not started by the end
}

// exceeds reports whether a job waited longer than the bound or did not start.
func (w largeWaits) exceeds(bound time.Duration) bool { return w.notStarted > 0 || w.longest > bound }

// run simulates 700 seconds with two large jobs and the given waiting bound; 0: none.
func (tc *largeJobsCase) run(t *testing.T, bound time.Duration) largeWaits {
	t.Helper()
	s := newSimulation(t, 20, bound)
	rng := rand.New(rand.NewPCG(3, 9))
	// Small jobs arrive at a rate that exceeds the capacity by a tenth.
	room := 20.0 * 2 / tc.small.GPUs / 40
	if tc.small.Team == "capped" {
		room = 20 / tc.small.GPUs / 40
	}
	for i := range 700 {
		for n := room * 1.1; n > 0; n-- {
			if rng.Float64() < n {
				small := tc.small
				small.Class = "small"
				s.submit(small, time.Duration(20+rng.IntN(40))*time.Second)
			}
		}
		if i == 60 || i == 200 {
			large := tc.large
			large.Class = "large"
			s.submit(large, 60*time.Second)
		}
		s.step()
	}
	w := largeWaits{notStarted: 2 - len(s.waits["large"])}
	for _, d := range s.waits["large"] {
		w.longest = max(w.longest, d)
	}
	return w
}

// TestLargeJobsStartWithinWaitingBound verifies that the largest jobs start within the waiting
// bound although smaller jobs of the same priority could fill the cluster: gangs of eight whole
// machines, gangs in one zone, arrays that need half of the cluster, and a gang of a team whose
// other jobs could use its whole quota. Without the bound, each kind waits far longer or forever,
// because jobs that have missed their objectives are ordered after every newly submitted job.
func TestLargeJobsStartWithinWaitingBound(t *testing.T) {
	const bound = 240 * time.Second
	for _, tc := range []largeJobsCase{
		{
			name:    "eight whole machines",
			large:   wire.JobSpec{Shape: wire.Gang, Tasks: 8, GPUs: 2},
			small:   wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 2},
			starves: true,
		},
		{
			name:    "four in one zone",
			large:   wire.JobSpec{Shape: wire.Gang, Tasks: 4, GPUs: 2, OneZone: true},
			small:   wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 1},
			starves: true,
		},
		{
			name:    "an array of half the cluster",
			large:   wire.JobSpec{Shape: wire.Array, Tasks: 20, GPUs: 1},
			small:   wire.JobSpec{Shape: wire.Array, Tasks: 1, GPUs: 1},
			starves: true,
		},
		{
			name:    "a team at its quota",
			large:   wire.JobSpec{Shape: wire.Gang, Tasks: 8, GPUs: 2, Team: "capped"},
			small:   wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 2, Team: "capped"},
			starves: true,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			with, without := tc.run(t, bound), tc.run(t, 0)
			t.Logf("large jobs wait at most %v with the bound (%d not started), %v without (%d not started after 500 s)",
				with.longest, with.notStarted, without.longest, without.notStarted)
			if with.exceeds(bound) {
				t.Errorf("large jobs waited up to %v, %d not started; want at most %v", with.longest, with.notStarted, bound)
			}
			if without.exceeds(bound) != tc.starves {
				t.Errorf("without the bound, large jobs waited up to %v, %d not started: the case does not exercise the bound",
					without.longest, without.notStarted)
			}
		})
	}
}
