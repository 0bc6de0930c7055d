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

// mill is a plain simulation of a fleet that never grows: each second all machines report and
// the leader places gangs, and tasks end when they do.
type mill struct {
	t        *testing.T
	l        *ledger.Ledger
	bound    time.Duration
	now      time.Time
	machines []*placement.Machine
	at       map[string]time.Time // when attempts were first seen to run
	queue    []*job
	version  wire.Revision
	next     int
	begun    map[wire.Class][]time.Duration
}

type job struct {
	id  wire.JobID
	run time.Duration
}

func newMill(t *testing.T, machines int, bound time.Duration) *mill {
	s := &mill{
		t:     t,
		bound: bound,
		now:   start,
		at:    map[string]time.Time{},
		begun: map[wire.Class][]time.Duration{},
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
			ID:      wire.MachineID(fmt.Sprintf("host-%03d", i)),
			Type:    "g",
			Zone:    []wire.Zone{"a", "b"}[i%2],
			Session: 1,
			Token:   1,
			Usable:  true,
			Owned:   true,
			Total:   ledger.NewResources(8, 2, 32),
			Images:  placement.NewImages(100),
			FetchGB: 0.25,
		}
		m.Images.Use("i", 5)
		s.machines = append(s.machines, m)
	}
	return s
}

func (s *mill) apply(e ledger.Event) {
	s.version++
	e.Version = s.version
	s.l.Apply(e)
}

func (s *mill) commit(draft func(d *ledger.Transaction) error) bool {
	d := s.l.NewTransaction()
	if draft(d) != nil {
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

func (s *mill) submit(spec wire.JobSpec, run time.Duration) {
	spec.ID = wire.JobID(fmt.Sprintf("wk-%06d", s.next))
	spec.Priority, spec.Image, spec.ImageGB = wire.Normal, "i", 5
	if spec.Team == "" {
		spec.Team = "t"
	}
	s.next++
	s.commit(func(d *ledger.Transaction) error { return d.Submit(&spec, wire.UnixMillis(s.now.UnixMilli())) })
	s.queue = append(s.queue, &job{spec.ID, run})
}

// second lets one pass.
func (s *mill) second() {
	s.now = s.now.Add(time.Second)
	var over []ledger.HeldClaim
	for _, m := range s.machines {
		for _, h := range s.l.ClaimsOn(m.ID) {
			run := s.runOf(h.Job.ID)
			if at := s.since(h); !s.now.Before(at.Add(run)) {
				over = append(over, h)
			}
		}
	}
	for _, h := range over {
		var tasks []wire.TaskIndex
		for i := range h.Count {
			tasks = append(tasks, h.First+wire.TaskIndex(i))
		}
		s.commit(func(d *ledger.Transaction) error { _, err := d.ReleaseTasks(h.Job, h.Claim, tasks, true); return err })
	}
	v := &placement.Snapshot{Now: s.now, TeamRoom: s.l.RemainingTeamQuota, Machines: s.machines,
		Limits: placement.Limits{ColdStarts: 1 << 20, FetchAssumed: time.Minute, ReserveAfter: 5 * time.Second}}
	left := s.queue[:0]
	for _, q := range s.queue {
		j := s.l.Job(q.id)
		if j == nil || j.State != ledger.Active {
			continue
		}
		left = append(left, q)
		if j.Pending() == 0 {
			continue
		}
		e := placement.Entry{Job: j, Waiting: s.now.Sub(j.Accepted.Time()), Expected: q.run}
		if aim := j.Accepted.Time().Add(60 * time.Second); aim.After(s.now) {
			e.LatestStart = aim
		}
		if s.bound > 0 {
			latest := placement.LatestStart(j.Accepted.Time(), s.bound, j.Spec.ImageGB, 0.25)
			if e.Overdue = !s.now.Before(latest); e.Overdue || e.LatestStart.IsZero() {
				e.LatestStart = latest
			}
		}
		v.Queue = append(v.Queue, e)
	}
	s.queue = left
	placement.Order(v.Queue)
	for _, m := range s.machines {
		m.Free, m.Busy = s.l.Free(m.ClaimTarget()), nil
		for _, h := range s.l.ClaimsOn(m.ID) {
			m.Busy = append(
				m.Busy,
				placement.ExpectedRelease{
					Until: s.since(h).Add(s.runOf(h.Job.ID)),
					Room:  ledger.Resources{}.Add(h.Job.Need, h.Count),
				},
			)
		}
	}
	v.HeadReservations = placement.ReserveForHead(v, nil)
	v.Reserve()
	if s.bound > 0 {
		v.GangReservations = placement.ReserveForOverdueGangs(v)
		v.ReserveTeamLimits()
	}
	for _, m := range s.machines { // reports come before the leader's pass
		for _, st := range placement.PlaceOnMachine(v, m) {
			p := ledger.GangPart{Site: m.ClaimTarget(), Count: st.Count}
			if s.commit(func(d *ledger.Transaction) error {
				if st.Job.Spec.Shape == wire.Gang {
					return d.ClaimGang(st.Job, []ledger.GangPart{p})
				}
				_, err := d.Claim(st.Job, p.Site, p.Count, nil)
				return err
			}) {
				s.mark(st.Job)
			}
			m.Free = s.l.Free(m.ClaimTarget())
		}
	}
	for _, g := range placement.PlaceGangs(v) {
		if s.commit(func(d *ledger.Transaction) error { return d.ClaimGang(g.Entry.Job, g.Parts) }) {
			s.mark(g.Entry.Job)
		}
	}
}

// since is when a claim was first seen.
func (s *mill) since(h ledger.HeldClaim) time.Time {
	k := fmt.Sprint(h.Job.ID, h.Attempt)
	if _, ok := s.at[k]; !ok {
		s.at[k] = s.now
	}
	return s.at[k]
}

func (s *mill) runOf(id wire.JobID) time.Duration {
	for _, q := range s.queue {
		if q.id == id {
			return q.run
		}
	}
	return 0
}

// mark notes when the last of a job's tasks began.
func (s *mill) mark(j *ledger.Job) {
	if j.Pending() == 0 {
		s.begun[j.Spec.Class] = append(s.begun[j.Spec.Class], s.now.Sub(j.Accepted.Time()))
	}
}

// TestTheLargestBeginsWithinTheBound: under smaller work of the same priority that alone would
// fill the fleet, the largest jobs begin within the bound on waiting: gangs of eight whole
// machines, gangs in one zone, arrays that would take half of the fleet, a gang of a team whose
// other jobs alone use all of its limit. Without the bound each kind waits far longer or for
// ever: once their aims were missed they came behind every newcomer.
func TestTheLargestBeginsWithinTheBound(t *testing.T) {
	const bound = 240 * time.Second
	for _, tc := range []struct {
		name    string
		large   wire.JobSpec
		small   wire.JobSpec
		starves bool // without the bound
	}{
		{"eight whole machines", wire.JobSpec{Shape: wire.Gang, Tasks: 8, GPUs: 2}, wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 2}, true},
		{"four in one zone", wire.JobSpec{Shape: wire.Gang, Tasks: 4, GPUs: 2, OneZone: true}, wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 1}, true},
		{"an array of half the fleet", wire.JobSpec{Shape: wire.Array, Tasks: 20, GPUs: 1}, wire.JobSpec{Shape: wire.Array, Tasks: 1, GPUs: 1}, true},
		{"a team at its limit", wire.JobSpec{Shape: wire.Gang, Tasks: 8, GPUs: 2, Team: "capped"}, wire.JobSpec{Shape: wire.Gang, Tasks: 1, GPUs: 2, Team: "capped"}, true},
	} {
		longest := map[bool]time.Duration{}
		unbegun := map[bool]int{}
		for _, bounded := range []bool{true, false} {
			s := newMill(t, 20, 0)
			if bounded {
				s.bound = bound
			}
			rng := rand.New(rand.NewPCG(3, 9))
			for i := range 700 {
				// Small work for a tenth more than there is room for.
				room := 20.0 * 2 / tc.small.GPUs / 40
				if tc.small.Team == "capped" {
					room = 20 / tc.small.GPUs / 40
				}
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
				s.second()
			}
			for _, d := range s.begun["large"] {
				longest[bounded] = max(longest[bounded], d)
			}
			unbegun[bounded] = 2 - len(s.begun["large"])
		}
		t.Logf("%s: the large wait %v at the most with the bound (%d not begun), %v without (%d not begun after 500 s)",
			tc.name, longest[true], unbegun[true], longest[false], unbegun[false])
		if unbegun[true] > 0 || longest[true] > bound {
			t.Errorf("%s: waited %v, %d not begun", tc.name, longest[true], unbegun[true])
		}
		if starved := unbegun[false] > 0 || longest[false] > bound; starved != tc.starves {
			t.Errorf("%s: without the bound %v, %d not begun: the case shows nothing", tc.name, longest[false], unbegun[false])
		}
	}
}
