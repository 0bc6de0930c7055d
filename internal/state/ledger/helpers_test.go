package ledger_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// limits are those of a small store, with one team that has a quota.
var limits = ledger.Limits{
	ValueBytes: 2048,
	TxnOps:     8,
	TxnBytes:   kvstore.MaxTxnBytes,
	TeamMax:    map[wire.Team]ledger.Resources{"capped": ledger.NewResources(0, 4, 0)},
}

// target returns the claim target for a machine by number, under a token.
func target(machine int, token wire.FencingToken) ledger.ClaimTarget {
	return ledger.ClaimTarget{
		Machine: wire.MachineID(fmt.Sprintf("host-%d", machine)),
		Type:    "g2",
		Zone:    []wire.Zone{"a", "b"}[machine%2],
		Epoch:   1,
		Token:   token,
	}
}

// arraySpec returns an array of tasks that need one core each.
func arraySpec(id wire.JobID, tasks int) *wire.JobSpec {
	return &wire.JobSpec{
		ID:       id,
		Class:    "c",
		Team:     "free",
		Shape:    wire.Array,
		Priority: wire.Normal,
		Tasks:    tasks,
		CPUs:     1,
		Image:    "i",
	}
}

// readPage reads the filter page of a job from the store.
func readPage(store *emulator.Store, id wire.JobID) (*archive.Page, wire.Revision) {
	for _, it := range store.Items() {
		if strings.HasPrefix(it.Key, ledger.FilterPrefix) && it.Key > ledger.FilterKey(archive.Position(string(id))) {
			p := new(archive.Page)
			if err := exactjson.Unmarshal(it.Value, p); err != nil {
				panic(err)
			}
			return p, it.Version
		}
	}
	return archive.EmptyPage(), 0
}

// readPages loads the filter pages of jobs into a ledger, unless they are already loaded.
func readPages(l *ledger.Ledger, store *emulator.Store, ids ...wire.JobID) {
	for _, id := range ids {
		if !l.FilterPageKnown(string(id)) {
			page, version := readPage(store, id)
			l.PutFilterPage(page, version, l.FilterAdditions())
		}
	}
}

// catchUp applies the first upTo events to a ledger as a lagging watch would: all events of a revision are
// applied together.
func catchUp(l *ledger.Ledger, events []ledger.Event, upTo int) {
	for upTo > 0 && upTo < len(events) && events[upTo].Version == events[upTo-1].Version {
		upTo++
	}
	known := l.Revision()
	for _, e := range events[:upTo] {
		if e.Version > known {
			l.Apply(e)
			l.AdvanceRevision(e.Version)
		}
	}
}

// fixture is a store with a ledger that sees each commit immediately.
type fixture struct {
	store   *emulator.Store
	ledger  *ledger.Ledger
	changes int // number of committed changes
}

// newFixture returns an empty fixture.
func newFixture(limits ledger.Limits) *fixture {
	return &fixture{store: emulator.NewStore(limits.TxnOps, limits.ValueBytes), ledger: ledger.New(limits)}
}

// tryCommit commits a request and applies it to the ledger, or returns the store's error.
func (f *fixture) tryCommit(request wire.Txn) error {
	revision, err := f.store.Apply(request)
	if err != nil {
		return err
	}
	f.changes += len(request.Then)
	for _, c := range request.Then {
		f.ledger.Apply(ledger.Event{Key: cmp.Or(c.Put, c.Delete), Value: c.Value, Version: revision})
	}
	return nil
}

// commit commits a transaction, which must succeed.
func (f *fixture) commit(t *testing.T, txn *ledger.Transaction) {
	t.Helper()
	request, err := txn.Request()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.tryCommit(request); err != nil {
		t.Fatal(err, f.store.Problems)
	}
}

// run adds one transition to a transaction and commits it; both must succeed.
func (f *fixture) run(t *testing.T, transition func(*ledger.Transaction) error) {
	t.Helper()
	txn := f.ledger.NewTransaction()
	if err := transition(txn); err != nil {
		t.Fatal(err)
	}
	f.commit(t, txn)
}

// submit commits the submission of a job and returns the job.
func (f *fixture) submit(t *testing.T, spec *wire.JobSpec) *ledger.Job {
	t.Helper()
	f.run(t, func(txn *ledger.Transaction) error { return txn.Submit(spec, 1) })
	return f.ledger.Job(spec.ID)
}

// claimAll claims all tasks of a job on a machine, up to count per transaction.
func (f *fixture) claimAll(t *testing.T, j *ledger.Job, target ledger.ClaimTarget, count int) {
	t.Helper()
	for j.Pending() > 0 {
		f.run(t, func(txn *ledger.Transaction) error {
			_, err := txn.Claim(j, target, count, nil)
			return err
		})
	}
}
