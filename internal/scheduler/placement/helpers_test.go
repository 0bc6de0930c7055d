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

// start is the time at which snapshots are taken.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// jobs returns a queue of n random jobs.
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
			Image:    wire.Image(fmt.Sprint("i", rng.IntN(4))),
			ImageGB:  float64(rng.IntN(40)),
			Spot:     rng.IntN(2) == 0,
			OneZone:  rng.IntN(4) == 0,
			Spread:   rng.IntN(4) == 0,
		}
		if rng.IntN(4) == 0 {
			s.Shape, s.Tasks = wire.Gang, 1+rng.IntN(2)
		}
		j := submitAt(t, l, s, wire.UnixMillis(rng.IntN(100)))
		planned := rng.IntN(2) * rng.IntN(2)
		out = append(
			out,
			placement.Entry{
				Job:           j,
				OverGuarantee: rng.IntN(2) == 0,
				StartsPlanned: &planned,
				Waiting:       time.Duration(rng.IntN(20)) * time.Second,
				LatestStart:   start.Add(time.Duration(rng.IntN(30)) * time.Second),
				RetryAt:       start.Add(time.Duration(rng.IntN(8)-6) * time.Second),
				Overdue:       rng.IntN(4) == 0,
			},
		)
	}
	placement.Order(out)
	return out
}

// machine returns a random machine.
func machine(rng *rand.Rand, id int) *placement.Machine {
	m := &placement.Machine{
		ID:        wire.MachineID(fmt.Sprint("host-", id)),
		Type:      "g",
		Zone:      []wire.Zone{"a", "b"}[rng.IntN(2)],
		Spot:      rng.IntN(2) == 0,
		Total:     ledger.NewResources(8, 4, 16),
		Images:    placement.NewImageCache(100),
		Usable:    rng.IntN(5) > 0,
		FetchGBps: 1,
	}
	m.Free = ledger.NewResources(float64(rng.IntN(9)), float64(rng.IntN(5)), 16)
	if used := (ledger.Resources{CPU: m.Total.CPU - m.Free.CPU, GPU: m.Total.GPU - m.Free.GPU}); rng.IntN(2) == 0 {
		m.ExpectedReleases = []placement.ExpectedRelease{
			{At: start.Add(time.Duration(rng.IntN(20)) * time.Second), Resources: used},
		}
	}
	for i := range 4 {
		switch rng.IntN(4) {
		case 0:
			m.Images.RecordUse(wire.Image(fmt.Sprint("i", i)), 5)
		case 1:
			if rng.IntN(3) == 0 {
				m.Images.StartFetch(wire.Image(fmt.Sprint("i", i)), start.Add(-time.Duration(rng.IntN(90))*time.Second))
			}
		}
	}
	return m
}

// submit adds a job to the records.
func submit(tb testing.TB, l *ledger.Ledger, s *wire.JobSpec) *ledger.Job {
	tb.Helper()
	return submitAt(tb, l, s, 1)
}

// submitAt adds a job with the given time of acceptance to the records.
func submitAt(tb testing.TB, l *ledger.Ledger, s *wire.JobSpec, accepted wire.UnixMillis) *ledger.Job {
	tb.Helper()
	d := l.NewTransaction()
	if err := d.Submit(s, accepted); err != nil {
		tb.Fatal(err)
	}
	txn, _ := d.Request()
	known, _ := l.Counts()
	l.Apply(ledger.Event{Key: txn.Then[0].Put, Value: txn.Then[0].Value, Version: wire.Revision(known + 1)})
	return l.Job(s.ID)
}

// newLedger returns empty records with small size limits and no team quotas.
func newLedger() *ledger.Ledger {
	return ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000})
}

// unlimited is a Snapshot.RemainingTeamQuota without team quotas.
func unlimited(_ *ledger.Job, _ ledger.Resources, most int) int { return most }
