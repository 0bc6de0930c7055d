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

// TestPagesAreSplitUnderRaces: two controllers that both believe to lead move jobs at once, with
// pages that the other has changed or split since, and with transactions that land late. In the
// end every job is archived and let pass by the pages as they are stored, which lie side by side.
func TestPagesAreSplitUnderRaces(t *testing.T) {
	for _, blind := range []string{"", "mma1/f/"} {
		rng := rand.New(rand.NewPCG(6, 6))
		store := emulator.NewStore(40, limits.ValueBytes)
		roomy := limits
		roomy.TxnOps = 40
		if blind != "" {
			store.Blind = map[string]bool{blind: true}
		}
		var events []ledger.Event
		land := func(txn wire.Txn) (wire.Revision, error) {
			rev, err := store.Apply(txn)
			for _, c := range txn.Then {
				if err == nil && strings.HasPrefix(c.Put+c.Delete, ledger.Prefix) {
					events = append(events, ledger.Event{Key: c.Put + c.Delete, Value: c.Value, Version: rev})
				}
			}
			return rev, err
		}
		var ids []wire.JobID
		var first wire.Txn
		f, _ := json.Marshal(ledger.FormatRecord{Format: ledger.ArchiveFormat})
		first.Then = append(first.Then, wire.Change{Put: ledger.FormatKey, Value: f})
		for i := range 900 {
			id := wire.JobID(fmt.Sprintf("wk-%06d", i))
			ids = append(ids, id)
			first.Then = append(
				first.Then,
				wire.Change{
					Put: "mm1/j/" + string(id),
					Value: fmt.Appendf(
						nil,
						`{"spec":{"id":"%s","owner":"free","shape":"array","pieces":1,"cores":1},"at":1,"state":"done","d":"AQ=="}`,
						id,
					),
				},
			)
			if len(first.Then) == 40 || i == 899 {
				if _, err := land(first); err != nil {
					t.Fatal(err)
				}
				first.Then = nil
			}
		}
		slices.SortFunc(ids, func(a, b wire.JobID) int {
			return cmp.Compare(archive.Position(string(a)), archive.Position(string(b)))
		})
		leaders := []*ledger.Ledger{ledger.New(roomy), ledger.New(roomy)}
		type draft struct {
			d   *ledger.Transaction
			txn wire.Txn
			l   *ledger.Ledger
			id  wire.JobID
		}
		var late []draft
		finish := func(m draft) {
			rev, err := land(m.txn)
			catchUp(m.l, events, len(events))
			if err != nil {
				m.l.DropFilterPage(string(m.id))
			} else {
				m.d.Committed(rev)
			}
		}
		conflicts := 0
		for step := 0; ; step++ {
			l := leaders[rng.IntN(2)]
			if rng.IntN(3) == 0 || step > 3000 {
				catchUp(l, events, len(events))
			}
			at := rng.IntN(len(ids))
			var group []wire.JobID
			for _, id := range append(slices.Clone(ids[at:]), ids[:at]...) {
				if l.Archivable(id) {
					if !l.FilterPageKnown(string(id)) {
						p, version := readPage(store, id)
						l.PutFilterPage(p, version, l.FilterAdditions())
					}
					if len(group) > 0 && !l.FilterPage(group[0]).Covers(string(id)) || len(group) == 12 {
						break
					}
					group = append(group, id)
				}
			}
			if len(group) == 0 {
				if l == leaders[0] && step > 3000 {
					break
				}
				continue
			}
			d := l.NewTransaction()
			if _, err := d.Archive(group); err != nil {
				t.Fatal(err)
			}
			txn, err := d.Request()
			if err != nil {
				t.Fatal(err)
			}
			if late = append(late, draft{d, txn, l, group[0]}); rng.IntN(3) == 0 || step > 3000 {
				n := rng.IntN(len(late))
				before := len(events)
				finish(late[n])
				if len(events) == before {
					conflicts++
				}
				late = slices.Delete(late, n, n+1)
			}
		}
		lost, pages, low := 0, 0, uint32(0)
		for _, it := range store.Items() {
			if strings.HasPrefix(it.Key, ledger.FilterPrefix) {
				var p archive.Page
				if err := json.Unmarshal(it.Value, &p); err != nil {
					t.Fatal(err)
				}
				if pages++; p.Low != low && blind == "" {
					t.Errorf("a page begins at %x and the one before it ends before %x", p.Low, low)
				}
				low = p.High + 1
			}
		}
		for _, id := range ids {
			p, _ := readPage(store, id)
			if !p.Covers(string(id)) || !p.MayHold(string(id)) {
				lost++
			}
		}
		if broken := blind != ""; (lost > 0) != broken || pages < 4 || conflicts < 20 {
			t.Errorf(
				"without conditions on %q: %d of %d are not let pass, %d pages, %d conflicts",
				blind,
				lost,
				len(ids),
				pages,
				conflicts,
			)
		}
	}
}
