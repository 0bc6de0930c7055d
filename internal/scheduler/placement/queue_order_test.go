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

// TestOrderMatchesPolicy compares Order with a sort by the criteria of the design, on random
// queues.
func TestOrderMatchesPolicy(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	now := time.Unix(1_800_000_000, 0)
	less := func(a, b placement.Entry) bool {
		bit := map[bool]int{true: 1}
		for _, c := range [][2]int64{
			{int64(bit[a.CrashLooping]), int64(bit[b.CrashLooping])},
			{int64(a.Job.Spec.Priority.Rank()), int64(b.Job.Spec.Priority.Rank())},
			{int64(bit[a.OverGuarantee]), int64(bit[b.OverGuarantee])},
			{startMillis(a) / 10_000, startMillis(b) / 10_000},
			{int64(a.Job.GangSize()), int64(b.Job.GangSize())},
			{startMillis(a), startMillis(b)},
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
			if less(queue[i], queue[i-1]) {
				t.Fatalf("%+v is ordered after %+v", queue[i], queue[i-1])
			}
		}
	}
}

// startMillis returns an entry's latest start, or a time after all others if it has none.
func startMillis(e placement.Entry) int64 {
	if e.LatestStart.IsZero() {
		return 1 << 60
	}
	return e.LatestStart.UnixMilli()
}
