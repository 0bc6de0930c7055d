package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"maddermill/wire"
)

// TestCancelledSince compares what is told of cancellations with a plain list of all: whatever is
// told to be whole is, also when records are read in any order and there are more than are kept.
func TestCancelledSince(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	wholes := 0
	for range 60 {
		l := New(Limits{ValueBytes: 4096, TxnOps: 12})
		all := map[wire.Revision]wire.JobID{}
		newest := wire.Revision(0)
		for i := range rng.IntN(3 * maxCancellations) {
			at := wire.Revision(1 + rng.IntN(10_000))
			if all[at] != "" {
				continue
			}
			id := wire.JobID(fmt.Sprintf("wk-%06d", i))
			all[at], newest = id, max(newest, at)
			l.Apply(
				Event{
					Key:     jobKey(id),
					Version: at,
					Value:   fmt.Appendf(nil, `{"spec":{"id":"%s","pieces":1},"at":1,"state":"cancelled"}`, id),
				},
			)
		}
		const flow = wire.WorkflowID("wf-000001")
		workflow := wire.Revision(0)
		if rng.IntN(2) == 0 {
			workflow = wire.Revision(1 + rng.IntN(10_000))
			l.Apply(Event{Key: workflowKey(flow), Version: workflow, Value: []byte(`{"spec":{},"state":"cancelled"}`)})
		}
		if l.LastCancel() != max(newest, workflow) {
			t.Fatalf("the newest cancellation is at %d, told as %d", max(newest, workflow), l.LastCancel())
		}
		for range 50 {
			since := wire.Revision(rng.IntN(10_100))
			got, whole := l.CancelledSince(since)
			if !whole {
				continue
			}
			wholes++
			var want []wire.JobID
			for at, id := range all {
				if at > since {
					want = append(want, id)
				}
			}
			slices.Sort(got.Jobs)
			slices.Sort(want)
			if !slices.Equal(got.Jobs, want) || slices.Contains(got.Workflows, flow) != (workflow > since) {
				t.Fatalf(
					"since %d (a workflow at %d): told %d and %v, and %d were cancelled",
					since,
					workflow,
					len(got.Jobs),
					got.Workflows,
					len(want),
				)
			}
		}
	}
	if wholes < 300 {
		t.Errorf("whole %d times", wholes)
	}
}
