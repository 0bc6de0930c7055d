package ledger_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// archiveRace is two controllers that both believe to lead and archive the same jobs.
type archiveRace struct {
	rng     *rand.Rand
	store   *emulator.Store
	events  []ledger.Event
	leaders []*ledger.Ledger
	ids     []wire.JobID // in the order of their positions in the filter
	delayed []archiveRequest
}

// archiveRequest is a transaction that archives jobs and was not committed yet.
type archiveRequest struct {
	txn     *ledger.Transaction
	request wire.Txn
	ledger  *ledger.Ledger
	job     wire.JobID // one of the jobs, which are all on one page
}

// newArchiveRace returns a race for a number of done jobs.
func newArchiveRace(t *testing.T, blind string, jobs int) *archiveRace {
	t.Helper()
	roomy := limits
	roomy.TxnOps = 40
	r := &archiveRace{
		rng:     rand.New(rand.NewPCG(6, 6)),
		store:   emulator.NewStore(roomy.TxnOps, roomy.ValueBytes),
		leaders: []*ledger.Ledger{ledger.New(roomy), ledger.New(roomy)},
	}
	if blind != "" {
		r.store.Blind = map[string]bool{blind: true}
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
		if len(request.Then) == roomy.TxnOps || i == jobs-1 {
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

// commit commits a request. Only changes of records become events.
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

// finish commits one of the delayed requests as the archiver does, and reports whether the store took it.
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

// group returns up to a dozen archivable jobs of one page, from a random position.
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

// run archives all jobs and returns how many transactions the store refused. After many steps the
// controllers see everything at once, so that the race ends.
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
		if _, err := txn.Archive(group); err != nil {
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

// pages returns the number of pages in the store, and whether each begins where the one before it ends.
func (r *archiveRace) pages(t *testing.T) (count int, adjacent bool) {
	t.Helper()
	adjacent = true
	low := uint32(0)
	for _, it := range r.store.Items() {
		if !strings.HasPrefix(it.Key, ledger.FilterPrefix) {
			continue
		}
		var p archive.Page
		if err := json.Unmarshal(it.Value, &p); err != nil {
			t.Fatal(err)
		}
		count++
		adjacent = adjacent && p.Low == low
		low = p.High + 1
	}
	return count, adjacent
}

// missing returns how many of the jobs the filter in the store does not contain.
func (r *archiveRace) missing() int {
	missing := 0
	for _, id := range r.ids {
		if p, _ := readPage(r.store, id); !p.Covers(string(id)) || !p.MayHold(string(id)) {
			missing++
		}
	}
	return missing
}

// TestPagesAreSplitUnderRaces: two controllers that both believe to lead archive jobs at once, with pages
// that the other has changed or split since, and with transactions that are committed late. In the end
// every job is archived and in the filter as it is stored, whose pages are adjacent. Without the
// conditions on pages jobs are missing in it.
func TestPagesAreSplitUnderRaces(t *testing.T) {
	for _, blind := range []string{"", "mma1/f/"} {
		t.Run("without conditions on "+blind, func(t *testing.T) {
			r := newArchiveRace(t, blind, 900)
			conflicts := r.run(t)
			pages, adjacent := r.pages(t)
			if !adjacent && blind == "" {
				t.Error("the pages are not adjacent")
			}
			if missing := r.missing(); (missing > 0) != (blind != "") {
				t.Errorf("got %d of %d jobs missing in the filter, want some: %v", missing, len(r.ids), blind != "")
			}
			if pages < 4 || conflicts < 20 {
				t.Errorf("got %d pages and %d conflicts, want at least 4 and 20", pages, conflicts)
			}
		})
	}
}
