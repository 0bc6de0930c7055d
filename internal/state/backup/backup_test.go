package backup

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

var limits = ledger.Limits{ValueBytes: 2048, TxnOps: 8, TxnBytes: kvstore.MaxTxnBytes,
	TeamMax: map[wire.Team]ledger.Resources{"capped": ledger.NewResources(0, 4, 0)}}

// fixture is a state service with machines and jobs, some of which are finished or archived.
type fixture struct {
	t       *testing.T
	store   *emulator.Store
	link    *emulator.Link
	records *ledger.Ledger
	next    int // number of the last job added

	revision wire.Revision
	state    map[string]string                   // current value by key
	history  map[wire.Revision]map[string]string // state by revision
}

// newFixture returns a fixture with the given number of jobs.
func newFixture(t *testing.T, jobs int) *fixture {
	t.Helper()
	f := &fixture{
		t:       t,
		store:   emulator.NewStore(limits.TxnOps, limits.ValueBytes),
		records: ledger.New(limits),
		state:   map[string]string{},
		history: map[wire.Revision]map[string]string{},
	}
	f.link = emulator.NewLink(f.store, 1)
	f.apply(wire.Txn{Then: []wire.Change{
		{Put: ledger.LeaderKey, Value: []byte(`{"by":"m-0","token":1}`)},
		{Put: ledger.TokenKey, Value: []byte(`{"n":3,"by":"m-0","r":2}`)},
	}}, nil)
	f.commit(func(txn *ledger.Transaction) error { return txn.UpgradeFormat(ledger.ArchiveFormat, 0) })
	for range jobs {
		f.addJob()
	}
	return f
}

// apply commits a transaction and updates the fixture. err is the error from building the transaction; it
// fails the test unless nil.
func (f *fixture) apply(t wire.Txn, err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
	rev, err := f.store.Apply(t)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, c := range t.Then {
		f.records.Apply(ledger.Event{Key: c.Put + c.Delete, Value: c.Value, Version: rev})
		if c.Delete != "" {
			delete(f.state, c.Delete)
		} else if !ledger.Transient(c.Put) {
			f.state[c.Put] = string(c.Value)
		}
	}
	f.history[rev], f.revision = maps.Clone(f.state), rev
}

// commit builds a transaction with change and applies it.
func (f *fixture) commit(change func(*ledger.Transaction) error) {
	f.t.Helper()
	txn := f.records.NewTransaction()
	if err := change(txn); err != nil {
		f.t.Fatal(err)
	}
	f.apply(txn.Request())
}

// addJob adds a job. It cancels every second job and archives every third of the cancelled ones. With some
// of the other jobs a machine is added and terminated; the rest are claimed.
func (f *fixture) addJob() {
	f.next++
	id := wire.JobID(fmt.Sprintf("wk-%06d", f.next))
	team := wire.Team([]string{"free", "capped"}[f.next%2])
	f.commit(func(txn *ledger.Transaction) error {
		return txn.Submit(&wire.JobSpec{
			ID:       id,
			Class:    "c",
			Team:     team,
			Shape:    wire.Array,
			Priority: wire.Normal,
			Tasks:    3,
			CPUs:     1,
			Image:    "i",
		}, 1)
	})
	switch {
	case f.next%2 == 0:
		f.commit(func(txn *ledger.Transaction) error { _, err := txn.Cancel(f.records.Job(id)); return err })
		if f.next%3 == 0 {
			if !f.records.FilterPageKnown(string(id)) {
				f.records.PutFilterPage(archive.EmptyPage(), 0, f.records.FilterAdditions())
			}
			var archived *ledger.Transaction
			f.commit(func(txn *ledger.Transaction) error {
				archived = txn
				_, err := txn.ArchiveJobs([]wire.JobID{id})
				return err
			})
			archived.Committed(f.revision)
		}
	case f.next%10 == 1:
		m := wire.MachineID(fmt.Sprintf("host-%06d", f.next))
		_, by := f.records.Leader()
		f.commit(func(txn *ledger.Transaction) error { return txn.SetMachinePhase(m, ledger.Terminating, "test", by) })
		f.commit(func(txn *ledger.Transaction) error { return txn.SetMachinePhase(m, ledger.Terminated, "test", by) })
	default:
		f.commit(func(txn *ledger.Transaction) error {
			target := ledger.ClaimTarget{Machine: "host-000002", Type: "g", Zone: "a", Epoch: 1, Token: 2}
			_, err := txn.Claim(f.records.Job(id), target, 2, nil)
			return err
		})
	}
}

// stateOf returns the values of the durable keys of a store, by key.
func stateOf(s *emulator.Store) map[string]string {
	out := map[string]string{}
	for _, it := range s.Items() {
		if !ledger.Transient(it.Key) {
			out[it.Key] = string(it.Value)
		}
	}
	return out
}

// TestExportIsOfOneRevision checks that an export made while records change restores exactly the records
// of the revision in its trailer, except for the format record, which gets a new era.
func TestExportIsOfOneRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 120)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 150 {
				f.addJob()
				time.Sleep(3 * time.Millisecond)
			}
		}()
		var file bytes.Buffer
		end, err := Export(t.Context(), f.link, &file, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		<-done
		want := f.history[end.Revision]
		if want == nil || end.Changes == 0 || maps.Equal(want, f.state) {
			t.Fatalf("revision %d with %d changes is not an intermediate revision", end.Revision, end.Changes)
		}
		other := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
		restore := func() error {
			_, err := Import(t.Context(), bytes.NewReader(file.Bytes()), emulator.NewLink(other, 2), limits, time.Now())
			return err
		}
		if err := restore(); err != nil {
			t.Fatal(err)
		}
		got := stateOf(other)
		if !strings.Contains(got[ledger.FormatKey], `"era":"`) {
			t.Errorf("no era in %s", got[ledger.FormatKey])
		}
		got[ledger.FormatKey] = want[ledger.FormatKey]
		if !maps.Equal(got, want) {
			t.Errorf("%d keys, want %d", len(got), len(want))
		}
		r, err := Verify(t.Context(), emulator.NewLink(other, 3), limits)
		if err != nil || len(r.Problems) > 0 || r.Archived == 0 {
			t.Errorf("got %+v, %v, want archived jobs and no problem", r, err)
		}
		if err := restore(); !errors.Is(err, ErrNotEmpty) {
			t.Errorf("second import: got %v, want %v", err, ErrNotEmpty)
		}
		if len(other.Problems) > 0 {
			t.Error(other.Problems[0])
		}
	})
}

// TestDamagedExport checks that a stream with any byte changed, truncated at any point, or with trailing
// data is rejected with the position of the damage, and that nothing is written.
func TestDamagedExport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 12)
		var file bytes.Buffer
		if _, err := Export(t.Context(), f.link, &file, time.Now()); err != nil {
			t.Fatal(err)
		}
		whole := file.Bytes()
		expectDamaged := func(what string, b []byte, at int) {
			store := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
			_, err := Import(context.Background(), bytes.NewReader(b), emulator.NewLink(store, 1), limits, time.Now())
			var damaged *DamagedError
			if !errors.As(err, &damaged) || damaged.Offset > int64(at) || len(store.Items()) > 0 {
				t.Errorf("%s at %d: %v, %d keys written", what, at, err, len(store.Items()))
			}
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for at := range whole {
			b := slices.Clone(whole)
			b[at] ^= byte(1 + rng.IntN(255))
			expectDamaged("changed", b, at)
			expectDamaged("cut", whole[:at], at)
		}
		expectDamaged("longer", append(slices.Clone(whole), 0), len(whole))
	})
}

// flakyLink fails after a number of commits, and may lose the responses of some commits before that.
type flakyLink struct {
	*emulator.Link
	commitsLeft    int // number of commits until it fails
	losesResponses bool
}

func (f *flakyLink) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	if f.commitsLeft--; f.commitsLeft < 0 {
		return 0, errors.New("connection failed")
	}
	rev, err := f.Link.Commit(ctx, t)
	if f.losesResponses && f.commitsLeft%3 == 0 && err == nil {
		return 0, kvstore.ErrUnknown
	}
	return rev, err
}

// TestImportContinues checks that an import that was interrupted before any of its transactions, or that
// lost their responses, can be continued, and that controllers do not use the records until it is complete.
func TestImportContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 40)
		var file bytes.Buffer
		if _, err := Export(t.Context(), f.link, &file, time.Now()); err != nil {
			t.Fatal(err)
		}
		store := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
		for n := 0; ; n++ {
			link := &flakyLink{emulator.NewLink(store, uint64(n)), n, n%2 == 0}
			_, err := Import(t.Context(), bytes.NewReader(file.Bytes()), link, limits, time.Now())
			l := ledger.New(limits)
			for _, it := range store.Items() {
				l.Apply(ledger.Event{Key: it.Key, Value: it.Value, Version: it.Version})
			}
			if err == nil {
				break
			}
			if len(store.Items()) > 0 && !errors.Is(l.CheckFormat(), ledger.ErrImporting) {
				t.Fatalf("after %d transactions controllers would use the records: %v", n, err)
			}
			if n > 100 {
				t.Fatal(err)
			}
		}
		got, want := stateOf(store), f.state
		got[ledger.FormatKey] = want[ledger.FormatKey]
		if !maps.Equal(got, want) {
			t.Errorf("%d keys, want %d", len(got), len(want))
		}
	})
}

// openJob is the beginning of the record of a job with two tasks.
const openJob = `{"spec":{"id":"wk-900001","owner":"free","shape":"array","pieces":2,"cores":1},"at":1`

// TestVerifyFinds checks that Verify reports no problem for valid records, and finds each kind of invalid
// record.
func TestVerifyFinds(t *testing.T) {
	for _, tc := range []struct{ key, value, what string }{
		{"", "", ""},
		{"mm1/j/wk-900001", openJob + `,"a":1,"c":[[1,"host-1","a",1,1,1,3]]}`, "not of this range"},
		{
			"mm1/j/wk-900001",
			openJob + `,"a":1,"c":[[1,"host-1","a",1,1,0,1],[1,"host-2","a",1,1,0,1]]}`,
			"claimed twice",
		},
		{"mm1/j/wk-900001", openJob + `,"a":1,"d":"AQ==","c":[[1,"host-1","a",1,1,0,1]]}`, "claimed and done"},
		{"mm1/j/wk-900001", openJob + `,"a":1,"c":[[1,"host-1","a",1,99,0,1]]}`, "under token 99"},
		{"mm1/j/wk-900001", openJob + `,"state":"done","d":"AQ=="}`, "done with 1 of 2"},
		{
			"mm1/j/wk-900001",
			`{"spec":{"id":"wk-900001","owner":"free","shape":"gang","pieces":2,"cores":1,"together":true},` +
				`"at":1,"a":2,"c":[[1,"host-1","a",1,1,0,1],[2,"host-2","b",1,1,1,1]]}`,
			"2 attempts",
		},
		{
			"mm1/j/wk-900001",
			`{"spec":{"id":"wk-900001","owner":"capped","shape":"array","pieces":9,"accelerators":1},` +
				`"at":1,"a":1,"c":[[1,"host-1","a",1,1,0,9]]}`,
			"over its limit",
		},
		{"mm1/j/wk-900001", `{"spec":`, ""},
		{
			"mm1/j/wk-000006",
			`{"spec":{"id":"wk-000006","owner":"free","shape":"array","pieces":2,"cores":1},` +
				`"at":1}`,
			"both archived",
		},
		{"mm1/t/wk-900001/1", `{"a":1}`, "job is not on record"},
		{"mma1/j/wk-900002", `{"s":"done","n":1}`, "filter"},
		{"mma1/j/wk-000006", `{"s":""}`, "not final"},
		{"mm1/m/host-7", `{"s":"leaning"}`, "leaning"},
		{"mm1/g/6/host-", `{"n":5,"w":"OjAAAAAAAAA="}`, "its parts have"},
		{"mm1/w/wf-000001", `{"spec":{"id":"wf-000001"},"doc":"ab","n":1,"at":1}`, "document"},
		{"mm1/zz", `1`, "no key"},
	} {
		t.Run(tc.key+" "+tc.what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 30)
				if tc.key != "" {
					value := tc.value
					if !strings.HasSuffix(value, "}") && value != "1" {
						value = `"` + value[:1] + `"` // JSON, but not a record
					}
					f.apply(wire.Txn{Then: []wire.Change{{Put: tc.key, Value: []byte(value)}}}, nil)
				}
				r, err := Verify(t.Context(), f.link, limits)
				if err != nil {
					t.Fatal(err)
				}
				found := slices.ContainsFunc(r.Problems, func(p ledger.Problem) bool { return strings.Contains(p.What, tc.what) })
				if want := tc.key != ""; found != want {
					t.Errorf("found %v, want %v: %v", found, want, r.Problems)
				}
			})
		})
	}
}

// FuzzRead checks that CheckExport handles arbitrary input without panicking and returns only a
// *DamagedError.
func FuzzRead(f *testing.F) {
	var file bytes.Buffer
	w, err := newStreamWriter(&file)
	if err != nil {
		f.Fatal(err)
	}
	if err := w.write(frame{Base: []Record{{"mm1/token", []byte("{}")}}}); err != nil {
		f.Fatal(err)
	}
	if _, err := w.close(3, 4); err != nil {
		f.Fatal(err)
	}
	f.Add(file.Bytes())
	f.Fuzz(func(t *testing.T, in []byte) {
		var damaged *DamagedError
		if _, err := CheckExport(bytes.NewReader(in)); err != nil && !errors.As(err, &damaged) {
			t.Errorf("%v", err)
		}
	})
}
