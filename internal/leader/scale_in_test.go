package leader

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestPendingReleasesAreNotRepeated checks that releases of claims on terminated machines are not enqueued
// again while they are pending, however long that takes, but are enqueued again after they were dropped.
// When they were enqueued every 3 s, the releases of a lost zone filled the queue for minutes.
func TestPendingReleasesAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLeader(t) // its committer is not running
		active := newTerm(l, nil, 0)
		var held []ledger.HeldClaim
		for i := range 3 {
			held = append(held, ledger.HeldClaim{
				Job: &ledger.Job{
					ID:   wire.JobID(fmt.Sprintf("wk-%06d", i)),
					Spec: &wire.JobSpec{Priority: wire.Normal},
				},
				Claim: ledger.Claim{Count: 2, Attempt: 1, Machine: "host-1", Epoch: 1, Token: 1},
			})
		}
		active.releaseClaims("host-1", held)
		pending := active.claimReleases["host-1"]
		time.Sleep(time.Minute)
		active.releaseClaims("host-1", held)
		if got := active.claimReleases["host-1"]; len(pending) != 3 || !slices.Equal(pending, got) {
			t.Errorf("got %d changes, then %d different ones, want 3 and then the same", len(pending), len(got))
		}
		for dropped := false; !dropped; { // fill the queue
			change := &committer.Change{Draft: func(*ledger.Transaction) error { return nil }}
			l.Committer.Enqueue(change)
			dropped = !change.Pending()
		}
		active.releaseClaims("host-2", held)
		dropped := active.claimReleases["host-2"]
		active.releaseClaims("host-2", held)
		if len(dropped) != 3 || slices.Equal(dropped, active.claimReleases["host-2"]) {
			t.Errorf("got %d dropped changes that were not enqueued again, want 3 enqueued again", len(dropped))
		}
	})
}
