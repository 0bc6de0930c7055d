package ledger_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// archiveRace simulates two controllers that both believe to be the leader and archive the same jobs.
type archiveRace struct {
	rng     *rand.Rand
	store   *emulator.Store
	events  []ledger.Event
	leaders []*ledger.Ledger
	ids     []wire.JobID // ordered by position in the filter
	delayed []archiveRequest
}

// archiveRequest is a transaction that archives jobs and has not been committed yet.
type archiveRequest struct {
	txn     *ledger.Transaction
	request wire.Txn
	ledger  *ledger.Ledger
	job     wire.JobID // one of the jobs, which all belong to one filter page
}

// newArchiveRace returns a race for a number of done jobs. The store ignores conditions on keys with the prefix
// unchecked unless it is empty.
func newArchiveRace(t *testing.T, unchecked string, jobs int) *archiveRace {
	t.Helper()
	raceLimits := limits
	raceLimits.TxnOps = 40
	r := &archiveRace{
		rng:     rand.New(rand.NewPCG(6, 6)),
		store:   emulator.NewStore(raceLimits.TxnOps, raceLimits.ValueBytes),
		leaders: []*ledger.Ledger{ledger.New(raceLimits), ledger.New(raceLimits)},
	}
	if unchecked != "" {
		r.store.UncheckedPrefixes = map[string]bool{unchecked: true}
	}
	format, err := json.Marshal(ledger.FormatRecord{Format: ledger.ArchiveFormat})
	if err != nil {
		t.Fatal(err)
	}
	request := wire.Txn{Then: []wire.Change{{Put: ledger.FormatKey, Value: format}}}
	for i := range jobs {
		id := wire.JobID(fmt.Sprintf("wk-%06d", i))
		r.ids = append(r.ids, id)
		request.Then = append(request.Then, wire.Change{
			Put: "mm1/j/" + string(id),
			Value: fmt.Appendf(
				nil,
				`{"spec":{"id":"%s","owner":"free","shape":"array","pieces":1,"cores":1},"at":1,"state":"done","d":"AQ=="}`,
				id,
			),
		})
		if len(request.Then) == raceLimits.TxnOps || i == jobs-1 {
			if _, err := r.commit(request); err != nil {
				t.Fatal(err)
			}
			request.Then = nil
		}
	}
	slices.SortFunc(r.ids, func(a, b wire.JobID) int {
		return cmp.Compare(archive.Position(string(a)), archive.Position(string(b)))
	})
	return r
}

// commit commits a request. Only changes of keys under ledger.Prefix become events.
func (r *archiveRace) commit(request wire.Txn) (wire.Revision, error) {
	revision, err := r.store.Apply(request)
	if err != nil {
		return revision, err
	}
	for _, c := range request.Then {
		if key := c.Put + c.Delete; strings.HasPrefix(key, ledger.Prefix) {
			r.events = append(r.events, ledger.Event{Key: key, Value: c.Value, Version: revision})
		}
	}
	return revision, nil
}

// finish commits a random delayed request as the archiver does, and reports whether the store accepted it.
func (r *archiveRace) finish() (committed bool) {
	n := r.rng.IntN(len(r.delayed))
	a := r.delayed[n]
	r.delayed = slices.Delete(r.delayed, n, n+1)
	revision, err := r.commit(a.request)
	catchUp(a.ledger, r.events, len(r.events))
	if err != nil {
		a.ledger.DropFilterPage(string(a.job))
		return false
	}
	a.txn.Committed(revision)
	return true
}

// group returns up to twelve archivable jobs of one filter page, starting at a random position.
func (r *archiveRace) group(l *ledger.Ledger) []wire.JobID {
	var group []wire.JobID
	at := r.rng.IntN(len(r.ids))
	for _, id := range append(slices.Clone(r.ids[at:]), r.ids[:at]...) {
		if !l.Archivable(id) {
			continue
		}
		readPages(l, r.store, id)
		if len(group) > 0 && !l.FilterPage(group[0]).Covers(string(id)) || len(group) == 12 {
			break
		}
		group = append(group, id)
	}
	return group
}

// run archives all jobs and returns how many transactions the store rejected. After raceSteps steps the
// controllers no longer lag behind, so that the race ends.
func (r *archiveRace) run(t *testing.T) (conflicts int) {
	t.Helper()
	const raceSteps = 3000
	for step := 0; ; step++ {
		last := step > raceSteps
		l := r.leaders[r.rng.IntN(2)]
		if r.rng.IntN(3) == 0 || last {
			catchUp(l, r.events, len(r.events))
		}
		group := r.group(l)
		if len(group) == 0 {
			if last && l == r.leaders[0] {
				return conflicts
			}
			continue
		}
		txn := l.NewTransaction()
		if _, err := txn.ArchiveJobs(group); err != nil {
			t.Fatal(err)
		}
		request, err := txn.Request()
		if err != nil {
			t.Fatal(err)
		}
		r.delayed = append(r.delayed, archiveRequest{txn, request, l, group[0]})
		if (r.rng.IntN(3) == 0 || last) && !r.finish() {
			conflicts++
		}
	}
}

// pages returns the number of filter pages in the store, and whether each begins where the previous one ends.
func (r *archiveRace) pages(t *testing.T) (count int, adjacent bool) {
	t.Helper()
	adjacent = true
	low := uint32(0)
	for _, it := range r.store.Items() {
		if !strings.HasPrefix(it.Key, ledger.FilterPrefix) {
			continue
		}
		var p archive.Page
		if err := exactjson.Unmarshal(it.Value, &p); err != nil {
			t.Fatal(err)
		}
		count++
		adjacent = adjacent && p.Low == low
		low = p.High + 1
	}
	return count, adjacent
}

// missing returns how many of the jobs are missing from the filter in the store.
func (r *archiveRace) missing() int {
	missing := 0
	for _, id := range r.ids {
		if p, _ := readPage(r.store, id); !p.Covers(string(id)) || !p.MayContain(string(id)) {
			missing++
		}
	}
	return missing
}

// TestPagesAreSplitUnderRaces guards against lost updates of filter pages. Two controllers that both believe to
// be the leader archive jobs concurrently, from pages that the other has changed or split since, and some
// transactions are committed late. In the end every job must be archived and in the stored filter, whose pages
// must be adjacent. Without the conditions on pages jobs are missing from the filter.
func TestPagesAreSplitUnderRaces(t *testing.T) {
	for _, unchecked := range []string{"", "mma1/f/"} {
		t.Run("without conditions on "+unchecked, func(t *testing.T) {
			r := newArchiveRace(t, unchecked, 900)
			conflicts := r.run(t)
			pages, adjacent := r.pages(t)
			if !adjacent && unchecked == "" {
				t.Error("the pages are not adjacent")
			}
			if missing := r.missing(); (missing > 0) != (unchecked != "") {
				t.Errorf("got %d of %d jobs missing in the filter, want some: %v", missing, len(r.ids), unchecked != "")
			}
			if pages < 4 || conflicts < 20 {
				t.Errorf("got %d pages and %d conflicts, want at least 4 and 20", pages, conflicts)
			}
		})
	}
}
