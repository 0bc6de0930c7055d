package ledger_test

import (
	"errors"
	"testing"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestRefusalNamesOperationAndRecord: the error of a refused transition contains the operation and the record
// and matches the sentinel error, and the transition adds no change to the transaction.
func TestRefusalNamesOperationAndRecord(t *testing.T) {
	f := newFixture(limits)
	j := f.submit(t, arraySpec("wk-000001", 1))
	for _, tc := range []struct {
		name       string
		transition func(*ledger.Transaction) error
		want       ledger.PreconditionError
	}{
		{
			"job on record",
			func(txn *ledger.Transaction) error { return txn.Submit(j.Spec, 1) },
			ledger.PreconditionError{Operation: "submit job", Record: "wk-000001"},
		},
		{
			"tasks not done",
			func(txn *ledger.Transaction) error { return txn.CompleteJob(j) },
			ledger.PreconditionError{Operation: "complete job", Record: "wk-000001"},
		},
		{
			"not the leader",
			func(txn *ledger.Transaction) error {
				return txn.SetMachinePhase("host-1", ledger.Terminating, "test", 7)
			},
			ledger.PreconditionError{Operation: "set machine phase leaving", Record: "host-1"},
		},
		{
			"format without galleries",
			func(txn *ledger.Transaction) error { return txn.OpenGallery("g", "free", ledger.Promise{}, 0) },
			ledger.PreconditionError{Operation: "open gallery", Record: "g"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			txn := f.ledger.NewTransaction()
			err := tc.transition(txn)
			var got *ledger.PreconditionError
			if !errors.As(err, &got) || *got != tc.want {
				t.Fatalf("got %v, want %v", err, &tc.want)
			}
			if !errors.Is(err, ledger.ErrPreconditionFailed) || errors.Is(err, ledger.ErrTooLarge) {
				t.Errorf("%v does not match ErrPreconditionFailed alone", err)
			}
			want := "ledger: " + tc.want.Operation + " " + tc.want.Record + ": precondition failed"
			if err.Error() != want {
				t.Errorf("got %q, want %q", err, want)
			}
			if request, err := txn.Request(); err != nil || len(request.Then) > 0 {
				t.Errorf("got changes %v and %v, want none", request.Then, err)
			}
		})
	}
}

// TestHotTransitionsReturnTheSentinel: claims and releases, which are retried in loops, return the sentinel
// error itself, since callers compare with ==.
func TestHotTransitionsReturnTheSentinel(t *testing.T) {
	f := newFixture(limits)
	j := f.submit(t, arraySpec("wk-000001", 1))
	f.claimAll(t, j, target(1, 1), 1)
	txn := f.ledger.NewTransaction()
	_, err := txn.Claim(j, target(2, 1), 1, nil)
	if err != ledger.ErrPreconditionFailed { //nolint:errorlint // the sentinel itself is tested
		t.Errorf("claim: got %v, want %v", err, ledger.ErrPreconditionFailed)
	}
	_, err = txn.ReleaseTasks(j, ledger.Claim{Machine: "host-2"}, []wire.TaskIndex{0}, ledger.TaskCompleted)
	if err != ledger.ErrPreconditionFailed { //nolint:errorlint // the sentinel itself is tested
		t.Errorf("release: got %v, want %v", err, ledger.ErrPreconditionFailed)
	}
}
