package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"maddermill/wire"
)

const cancelledWorkflow = wire.WorkflowID("wf-000001")

// cancelRandomly applies random cancellations, not ordered by revision. It returns the cancelled jobs by revision,
// and the revision at which the workflow was cancelled, 0 if it was not.
func cancelRandomly(l *Ledger, rng *rand.Rand) (jobs map[wire.Revision]wire.JobID, workflow wire.Revision) {
	jobs = map[wire.Revision]wire.JobID{}
	for i := range rng.IntN(3 * maxCancellations) {
		at := wire.Revision(1 + rng.IntN(10_000))
		if jobs[at] != "" {
			continue
		}
		id := wire.JobID(fmt.Sprintf("wk-%06d", i))
		jobs[at] = id
		l.Apply(Event{
			Key:     jobKey(id),
			Version: at,
			Value:   fmt.Appendf(nil, `{"spec":{"id":"%s","pieces":1},"at":1,"state":"cancelled"}`, id),
		})
	}
	if rng.IntN(2) == 0 {
		workflow = wire.Revision(1 + rng.IntN(10_000))
		l.Apply(Event{
			Key:     workflowKey(cancelledWorkflow),
			Version: workflow,
			Value:   []byte(`{"spec":{},"state":"cancelled"}`),
		})
	}
	return jobs, workflow
}

// TestCancelledSince compares the cancellations since a revision with a list of all of them: a result that is
// reported as complete must be, even if the records are loaded in any order and there are more cancellations than
// the ledger keeps.
func TestCancelledSince(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	completeResults := 0
	for range 60 {
		l := New(Limits{ValueBytes: 4096, TxnOps: 12})
		jobs, workflow := cancelRandomly(l, rng)
		newest := workflow
		for at := range jobs {
			newest = max(newest, at)
		}
		if got := l.LastCancel(); got != newest {
			t.Fatalf("got the newest cancellation at %d, want %d", got, newest)
		}
		for range 50 {
			since := wire.Revision(rng.IntN(10_100))
			got, complete := l.CancelledSince(since)
			if !complete {
				continue
			}
			completeResults++
			var want []wire.JobID
			for at, id := range jobs {
				if at > since {
					want = append(want, id)
				}
			}
			slices.Sort(got.Jobs)
			slices.Sort(want)
			if !slices.Equal(got.Jobs, want) || slices.Contains(got.Workflows, cancelledWorkflow) != (workflow > since) {
				t.Fatalf(
					"since %d (a workflow at %d): got %d jobs and workflows %v, want %d jobs",
					since, workflow, len(got.Jobs), got.Workflows, len(want),
				)
			}
		}
	}
	if completeResults < 300 {
		t.Errorf("got a complete list %d times, want at least 300", completeResults)
	}
}
