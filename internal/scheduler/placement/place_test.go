package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/model"
	"maddermill/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func jobs(t *testing.T, rng *rand.Rand, l *ledger.Ledger, n int) []placement.Entry {
	t.Helper()
	var out []placement.Entry
	for i := range n {
		s := &wire.JobSpec{
			ID:       wire.JobID(fmt.Sprintf("wk-%06d", i)),
			Class:    "c",
			Team:     []wire.Team{"free", "capped"}[rng.IntN(2)],
			Shape:    wire.Array,
			Priority: []wire.Priority{wire.Production, wire.High, wire.Normal, wire.BestEffort}[rng.IntN(4)],
			Tasks:    1 + rng.IntN(6),
			CPUs:     float64(1 + rng.IntN(4)),
			GPUs:     float64(rng.IntN(3)),
			MemoryGB: 1,
			Image: wire.Image(
				fmt.Sprint("i", rng.IntN(4)),
			),
			ImageGB: float64(rng.IntN(40)),
			Spot:    rng.IntN(2) == 0,
			OneZone: rng.IntN(4) == 0,
			Spread:  rng.IntN(4) == 0,
		}
		if rng.IntN(4) == 0 {
			s.Shape, s.Tasks = wire.Gang, 1+rng.IntN(2)
		}
		d := l.NewTransaction()
		if err := d.Submit(s, wire.UnixMillis(rng.IntN(100))); err != nil {
			t.Fatal(err)
		}
		txn, _ := d.Request()
		l.Apply(ledger.Event{Key: txn.Then[0].Put, Value: txn.Then[0].Value, Version: wire.Revision(i + 1)})
		taken := rng.IntN(2) * rng.IntN(2)
		out = append(
			out,
			placement.Entry{
				Job:           l.Job(s.ID),
				OverGuarantee: rng.IntN(2) == 0,
				StartsPlanned: &taken,
				Waiting:       time.Duration(rng.IntN(20)) * time.Second,
				LatestStart:   start.Add(time.Duration(rng.IntN(30)) * time.Second),
				Retry:         start.Add(time.Duration(rng.IntN(8)-6) * time.Second),
				Overdue:       rng.IntN(4) == 0,
			},
		)
	}
	placement.Order(out)
	return out
}

func machine(rng *rand.Rand, id int) *placement.Machine {
	m := &placement.Machine{
		ID:      wire.MachineID(fmt.Sprint("host-", id)),
		Type:    "g",
		Zone:    []wire.Zone{"a", "b"}[rng.IntN(2)],
		Spot:    rng.IntN(2) == 0,
		Total:   ledger.NewResources(8, 4, 16),
		Images:  placement.NewImages(100),
		Usable:  rng.IntN(5) > 0,
		FetchGB: 1,
	}
	m.Free = ledger.NewResources(float64(rng.IntN(9)), float64(rng.IntN(5)), 16)
	if used := (ledger.Resources{CPU: m.Total.CPU - m.Free.CPU, GPU: m.Total.GPU - m.Free.GPU}); rng.IntN(2) == 0 {
		m.Busy = []placement.ExpectedRelease{{Until: start.Add(time.Duration(rng.IntN(20)) * time.Second), Room: used}}
	}
	for i := range 4 {
		switch rng.IntN(4) {
		case 0:
			m.Images.Use(wire.Image(fmt.Sprint("i", i)), 5)
		case 1:
			if rng.IntN(3) == 0 {
				m.Images.StartFetch(wire.Image(fmt.Sprint("i", i)), start.Add(-time.Duration(rng.IntN(90))*time.Second))
			}
		}
	}
	return m
}

// TestPathAgainstModel compares the placement path with the plain model on
// random queues and machines.
func TestPathAgainstModel(t *testing.T) {
	nonEmpty, reserved := 0, 0
	for seed := uint64(1); seed <= 3000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000,
			TeamMax: map[wire.Team]ledger.Resources{"capped": ledger.NewResources(5, 3, 0)}})
		v := &placement.Snapshot{
			Now:              start,
			Queue:            jobs(t, rng, l, 1+rng.IntN(8)),
			TeamRoom:         l.RemainingTeamQuota,
			FetchesInFlight:  rng.IntN(3),
			Limits:           placement.Limits{ColdStarts: 2, FetchAssumed: time.Minute, DeferCold: 9 * time.Second},
			HeadReservations: map[wire.MachineID]wire.JobID{},
		}
		for i := range 3 {
			v.Machines = append(v.Machines, machine(rng, i))
		}
		if rng.IntN(3) == 0 {
			v.HeadReservations[v.Machines[rng.IntN(3)].ID] = v.Queue[0].Job.ID
		}
		v.Reserve()
		if len(v.Reserved) > 0 {
			reserved++
		}
		v.ReserveTeamLimits()
		if rng.IntN(3) == 0 {
			v.ReserveMachine(v.Machines[rng.IntN(3)].ID, v.Queue[rng.IntN(len(v.Queue))].Job.ID)
		}
		m := v.Machines[0]
		want := model.OnRoom(v, m)
		got := map[wire.JobID]int{}
		for _, s := range placement.PlaceOnMachine(v, m) {
			got[s.Job.ID] += s.Count
		}
		if !maps.Equal(got, want) {
			t.Fatalf("seed %d: placed %v, the model %v", seed, got, want)
		}
		if len(got) > 0 {
			nonEmpty++
		}
	}
	if nonEmpty < 500 || reserved < 200 {
		t.Errorf("only %d of 3000 cases place anything, %d reserve", nonEmpty, reserved)
	}
}

// TestGangIsWhole: a gang is placed whole, within every rule, or not at all.
func TestGangIsWhole(t *testing.T) {
	placed := 0
	for seed := uint64(1); seed <= 2000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		l := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000})
		s := &wire.JobSpec{
			ID:       "wk-000001",
			Class:    "c",
			Team:     "t",
			Shape:    wire.Gang,
			Priority: wire.High,
			Tasks:    2 + rng.IntN(5),
			CPUs:     2,
			GPUs:     1,
			MemoryGB: 1,
			Image:    "i1",
			Spot:     rng.IntN(2) == 0,
			OneZone:  rng.IntN(2) == 0,
			Spread:   rng.IntN(3) == 0,
		}
		d := l.NewTransaction()
		_ = d.Submit(s, 1)
		txn, _ := d.Request()
		l.Apply(ledger.Event{Key: txn.Then[0].Put, Value: txn.Then[0].Value, Version: 1})
		v := &placement.Snapshot{Now: start, TeamRoom: l.RemainingTeamQuota, Queue: []placement.Entry{{Job: l.Job(s.ID)}}}
		for i := range 5 {
			v.Machines = append(v.Machines, machine(rng, i))
		}
		free := map[wire.MachineID]ledger.Resources{}
		for _, m := range v.Machines {
			free[m.ID] = m.Free
		}
		starts := placement.PlaceGangs(v)
		if len(starts) == 0 {
			continue
		}
		parts := starts[0].Parts
		placed++
		if err := l.NewTransaction().ClaimGang(l.Job(s.ID), parts); err != nil {
			t.Fatalf("seed %d: %+v is refused: %v", seed, parts, err)
		}
		for _, p := range parts {
			if free[p.Site.Machine].Times(l.Job(s.ID).Need, 100) < p.Count {
				t.Fatalf("seed %d: %d tasks do not fit on %s", seed, p.Count, p.Site.Machine)
			}
		}
	}
	if placed < 200 {
		t.Errorf("only %d of 2000 gangs placed", placed)
	}
}

func TestImagesForgetTheLeastRecentlyUsed(t *testing.T) {
	c := placement.NewImages(10)
	c.Use("a", 4)
	c.Use("b", 4)
	c.Use("a", 4)
	c.Use("c", 4)
	if c.Has("b") || !c.Has("a") || !c.Has("c") {
		t.Errorf("cached: %v", c.Names())
	}
	c.StartFetch("d", start)
	if c.Fetches(start.Add(time.Minute), time.Minute) != 1 || c.Fetches(start.Add(61*time.Second), time.Minute) != 0 {
		t.Error("a mark must last for its age and no longer")
	}
}

// TestOrderIsThePolicy compares the order with a plain sort by what the design says, on random
// queues.
func TestOrderIsThePolicy(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	now := time.Unix(1_800_000_000, 0)
	plain := func(a, b placement.Entry) bool {
		mark := map[bool]int{true: 1}
		for _, c := range [][2]int64{
			{int64(mark[a.CrashLooping]), int64(mark[b.CrashLooping])},
			{int64(a.Job.Spec.Priority.Rank()), int64(b.Job.Spec.Priority.Rank())},
			{int64(mark[a.OverGuarantee]), int64(mark[b.OverGuarantee])},
			{plainStart(a) / 10_000, plainStart(b) / 10_000},
			{int64(a.Job.GangSize()), int64(b.Job.GangSize())},
			{plainStart(a), plainStart(b)},
			{int64(a.Job.Accepted), int64(b.Job.Accepted)},
		} {
			if c[0] != c[1] {
				return c[0] < c[1]
			}
		}
		return a.Job.ID < b.Job.ID
	}
	for range 50 {
		var queue []placement.Entry
		for i := range rng.IntN(80) {
			j := &ledger.Job{
				ID:       wire.JobID(fmt.Sprintf("wk-%06d", rng.IntN(1000)*1000+i)),
				Accepted: wire.UnixMillis(rng.IntN(4)),
				Spec: &wire.JobSpec{Shape: []wire.Shape{wire.Array, wire.Gang}[rng.IntN(2)], Tasks: 1 + rng.IntN(3),
					Priority: []wire.Priority{wire.Production, wire.High, wire.Normal, wire.BestEffort}[rng.IntN(4)]},
			}
			e := placement.Entry{Job: j, OverGuarantee: rng.IntN(3) == 0, CrashLooping: rng.IntN(5) == 0}
			if rng.IntN(4) > 0 {
				e.LatestStart = now.Add(time.Duration(rng.IntN(60)) * time.Second)
			}
			queue = append(queue, e)
		}
		placement.Order(queue)
		for i := 1; i < len(queue); i++ {
			if plain(queue[i], queue[i-1]) {
				t.Fatalf("%+v comes after %+v", queue[i], queue[i-1])
			}
		}
	}
}

func plainStart(e placement.Entry) int64 {
	if e.LatestStart.IsZero() {
		return 1 << 60
	}
	return e.LatestStart.UnixMilli()
}

// TestGangsAvoidOverdueMachines: a gang takes machines whose report is overdue, though they cache its image,
// only where others do not do. One that has stopped would cost the whole gang its start.
func TestGangsAvoidOverdueMachines(t *testing.T) {
	for _, others := range []int{1, 2, 3} {
		l := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000})
		s := &wire.JobSpec{
			ID:       "wk-000001",
			Class:    "c",
			Team:     "t",
			Shape:    wire.Gang,
			Priority: wire.High,
			Tasks:    2,
			CPUs:     8,
			MemoryGB: 1,
			Image:    "i1",
		}
		d := l.NewTransaction()
		if err := d.Submit(s, 1); err != nil {
			t.Fatal(err)
		}
		txn, _ := d.Request()
		l.Apply(ledger.Event{Key: txn.Then[0].Put, Value: txn.Then[0].Value, Version: 1})
		v := &placement.Snapshot{Now: start, TeamRoom: l.RemainingTeamQuota, Queue: []placement.Entry{{Job: l.Job(s.ID)}}}
		for i := range 2 + others {
			m := &placement.Machine{
				ID:      wire.MachineID(fmt.Sprint("host-", i)),
				Type:    "g",
				Zone:    "a",
				Total:   ledger.NewResources(8, 4, 16),
				Free:    ledger.NewResources(8, 4, 16),
				Images:  placement.NewImages(100),
				Usable:  true,
				FetchGB: 1,
				Overdue: i < 2,
			}
			if m.Overdue {
				m.Images.Use("i1", 5)
			}
			v.Machines = append(v.Machines, m)
		}
		starts := placement.PlaceGangs(v)
		if len(starts) != 1 {
			t.Fatalf("%d others: %d gangs placed", others, len(starts))
		}
		overdue := 0
		for _, p := range starts[0].Parts {
			if v.Machine(p.Site.Machine).Overdue {
				overdue++
			}
		}
		if want := max(0, 2-others); overdue != want {
			t.Errorf("%d others: %d machines are overdue, want %d", others, overdue, want)
		}
	}
}
