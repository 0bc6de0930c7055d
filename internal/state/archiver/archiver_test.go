package archiver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

var limits = ledger.Limits{ValueBytes: 2048, TxnOps: 12, TxnBytes: kvstore.MaxTxnBytes}

// testHost implements Host as a leader without other work.
type testHost struct {
	t     *testing.T
	store *emulator.Store

	mu      sync.Mutex // guards the fields below
	records *ledger.Ledger
	leading bool
	allRead bool
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	h := &testHost{
		t:       t,
		store:   emulator.NewStore(limits.TxnOps, limits.ValueBytes),
		records: ledger.New(limits),
		leading: true,
		allRead: true,
	}
	h.apply(wire.Txn{Then: []wire.Change{
		{Put: ledger.LeaderKey, Value: []byte(`{"by":"m-0","token":1}`)},
		{Put: ledger.TokenKey, Value: []byte(`{"n":3,"by":"m-0","r":2}`)},
	}})
	return h
}

func (h *testHost) Read(f func(*ledger.Ledger)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.records)
}

func (h *testHost) Leading() bool             { return h.leading }
func (h *testHost) AllSupportFormat(int) bool { return h.allRead }
func (h *testHost) SpareCapacity() int        { return limits.TxnOps }

func (h *testHost) Commit(_ context.Context, t wire.Txn) (wire.Revision, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision, err := h.store.Apply(t)
	if err != nil {
		return 0, err
	}
	for _, change := range t.Then {
		h.records.Apply(ledger.Event{Key: change.Put + change.Delete, Value: change.Value, Version: revision})
	}
	return revision, nil
}

// apply commits a transaction.
func (h *testHost) apply(t wire.Txn) {
	h.t.Helper()
	if _, err := h.Commit(h.t.Context(), t); err != nil {
		h.t.Fatal(err)
	}
}

// commit builds a transaction with change and commits it.
func (h *testHost) commit(change func(*ledger.Transaction) error) {
	h.t.Helper()
	txn := h.records.NewTransaction()
	if err := change(txn); err != nil {
		h.t.Fatal(err)
	}
	request, err := txn.Request()
	if err != nil {
		h.t.Fatal(err)
	}
	h.apply(request)
}

// addJobs submits n jobs, numbered from a number on, and cancels all but the first active ones.
func (h *testHost) addJobs(from, n, active int) {
	h.t.Helper()
	for i := range n {
		id := jobID(from + i)
		h.commit(func(txn *ledger.Transaction) error {
			spec := &wire.JobSpec{
				ID: id, Class: "c", Team: "t", Shape: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 1, Image: "i",
			}
			return txn.Submit(spec, 1)
		})
		if i >= active {
			h.commit(func(txn *ledger.Transaction) error {
				_, err := txn.Cancel(h.records.Job(id))
				return err
			})
		}
	}
}

func jobID(n int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", n)) }

// terminate adds n terminated machines of one series.
func (h *testHost) terminate(n int) {
	h.t.Helper()
	_, leader := h.records.Leader()
	for i := range n {
		machine := wire.MachineID(fmt.Sprintf("host-%06d", i))
		for _, phase := range []ledger.MachinePhase{ledger.Terminating, ledger.Terminated} {
			h.commit(func(txn *ledger.Transaction) error { return txn.SetMachinePhase(machine, phase, "test", leader) })
		}
	}
}

// newArchiver returns an Archiver for the host.
func (h *testHost) newArchiver(opt Options) *Archiver {
	return New(h, emulator.NewLink(h.store, 1), opt, metrics.New(), slog.New(slog.DiscardHandler))
}

// runFor runs an Archiver for a duration.
func runFor(t *testing.T, a *Archiver, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	if err := a.Run(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Run: got %v, want %v", err, context.DeadlineExceeded)
	}
}

// testOptions are options that keep two finished jobs in the records.
var testOptions = Options{
	Enabled:      true,
	KeptJobs:     2,
	MinCompacted: 10,
	TxnOps:       limits.TxnOps,
	Requests:     100,
	Changes:      100,
}

// archivedKeys returns how many jobs are in the archive.
func (h *testHost) archivedKeys() int {
	n := 0
	for _, item := range h.store.Items() {
		if _, ok := ledger.ArchivedJobID(item.Key); ok {
			n++
		}
	}
	return n
}

// TestRunMovesFinished checks that finished jobs except the newest, and terminated machines, are moved out
// of the records, and that every controller can still look up the final state of the jobs.
func TestRunMovesFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		const active, jobs = 3, 30
		h.addJobs(1, jobs, active)
		h.terminate(25)
		runFor(t, h.newArchiver(testOptions), 2*time.Minute)

		known, stillActive := h.records.Counts()
		if known != active+testOptions.KeptJobs || stillActive != active {
			t.Errorf("got %d jobs on record, %d of them active, want %d and %d",
				known, stillActive, active+testOptions.KeptJobs, active)
		}
		if got, want := h.archivedKeys(), jobs-active-testOptions.KeptJobs; got != want {
			t.Errorf("got %d archived jobs, want %d", got, want)
		}
		if got := h.records.CountTerminated(); got != 25 {
			t.Errorf("got %d compacted machines, want 25", got)
		}
		other := h.newArchiver(testOptions) // with an empty cache
		first := jobID(active + 1)
		status, err := other.Final(t.Context(), first)
		if err != nil || status.Status != wire.Cancelled || status.ID != first {
			t.Errorf("got %+v, %v, want %s cancelled", status, err, first)
		}
		if _, ok := other.CachedFinal(first); !ok {
			t.Error("a final state is not cached after it was read")
		}
		if _, err := other.Final(t.Context(), jobID(900_000)); !errors.Is(err, ErrUnknown) {
			t.Errorf("a job that never existed: got %v, want %v", err, ErrUnknown)
		}
		if w, err := other.Workflow(t.Context(), "wf-000001"); w != nil || err != nil {
			t.Errorf("a workflow that never existed: got %v, %v, want nil", w, err)
		}
	})
}

// TestRunMovesNothing checks that nothing is moved by a controller that is not the leader, if archiving is
// disabled, if transactions are too small, before all controllers can read the format, or before
// Options.SettlePeriod has passed since the format upgrade.
func TestRunMovesNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*testHost, *Options)
	}{
		{"not leading", func(h *testHost, _ *Options) { h.leading = false }},
		{"disabled", func(_ *testHost, opt *Options) { opt.Enabled = false }},
		{"small transactions", func(_ *testHost, opt *Options) { opt.TxnOps = minTxnChanges - 1 }},
		{"an older controller", func(h *testHost, _ *Options) { h.allRead = false }},
		{"an older format", func(_ *testHost, opt *Options) { opt.FormatUpTo = ledger.OldestFormat }},
		{"not settled", func(_ *testHost, opt *Options) { opt.SettlePeriod = time.Hour }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, opt := newTestHost(t), testOptions
				h.addJobs(1, 20, 0)
				tc.change(h, &opt)
				runFor(t, h.newArchiver(opt), time.Minute)
				if got := h.archivedKeys(); got != 0 {
					t.Errorf("got %d archived jobs, want none", got)
				}
			})
		})
	}
}

// TestReadsAreShed checks that archive reads beyond the rate limit are rejected and succeed when retried.
func TestReadsAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		h.addJobs(1, 30, 0)
		runFor(t, h.newArchiver(testOptions), time.Minute)
		opt := testOptions
		opt.Requests = 4 // readShare of which is one archive read per second
		a := h.newArchiver(opt)
		var shed []error
		for n := range 20 {
			if _, err := a.Final(t.Context(), jobID(n+1)); err != nil {
				shed = append(shed, err)
			}
		}
		if len(shed) < 10 {
			t.Fatalf("got %d of 20 reads shed, want most", len(shed))
		}
		for _, err := range shed {
			if !errors.Is(err, ErrUnavailable) || !strings.HasPrefix(err.Error(), "archiver: ") {
				t.Errorf("got %v, want %v", err, ErrUnavailable)
			}
		}
		time.Sleep(5 * time.Second)
		if _, err := a.Final(t.Context(), jobID(20)); err != nil {
			t.Errorf("a later read: got %v", err)
		}
	})
}
