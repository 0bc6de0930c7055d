package ledger_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// TestGalleriesUnderStaleControllers: three controllers that lag behind, with different editions of
// the register, open galleries, change dates, tie jobs and end galleries; transactions land late.
// A tie is made once and to a gallery that is not over, dates are only ever added, an older edition
// has no say, a gallery that is over stays as it is, and counts agree with the jobs.
func TestGalleriesUnderStaleControllers(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 12))
		store := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
		var events []ledger.Event
		truth := ledger.New(limits)
		apply := func(txn wire.Txn) {
			before := map[wire.GalleryName]ledger.GalleryRecord{}
			truth.EachGallery(func(g *ledger.Gallery) { before[g.Name] = g.GalleryRecord })
			ties := map[wire.JobID]wire.GalleryName{}
			truth.EachActive(func(j *ledger.Job) { ties[j.ID] = j.Gallery })
			edition := truth.Register()
			rev, err := store.Apply(txn)
			if err != nil {
				kinds["conflict"]++
				return
			}
			for _, c := range txn.Then {
				e := ledger.Event{Key: c.Put, Value: c.Value, Version: rev}
				events = append(events, e)
				truth.Apply(e)
			}
			truth.EachActive(func(j *ledger.Job) {
				old, known := ties[j.ID]
				if old != "" && old != j.Gallery {
					t.Fatalf("seed %d: %s goes from %q to %q", seed, j.ID, old, j.Gallery)
				}
				if r, had := before[j.Gallery]; j.Gallery != "" && old == "" {
					if kinds["tie"]++; !had || r.State == ledger.GalleryKept || r.State == ledger.GalleryBroken ||
						r.State == ledger.GalleryWithdrawn {
						t.Fatalf("seed %d: %s (known %v) is tied to %q, which is %q", seed, j.ID, known, j.Gallery, r.State)
					}
				}
			})
			truth.EachGallery(func(g *ledger.Gallery) {
				old, had := before[g.Name]
				if !had {
					if kinds["open"]++; g.Register != edition {
						t.Fatalf("seed %d: edition %d opens %s under %d", seed, g.Register, g.Name, edition)
					}
					return
				}
				if len(g.Promises) < len(old.Promises) || !slices.Equal(g.Promises[:len(old.Promises)], old.Promises) {
					t.Fatalf("seed %d: dates of %s from %v to %v", seed, g.Name, old.Promises, g.Promises)
				}
				if len(g.Promises) > len(old.Promises) {
					if kinds["date"]++; g.Register != edition {
						t.Fatalf("seed %d: edition %d changes a date under %d", seed, g.Register, edition)
					}
				}
				if old.Jobs != nil && (g.State != old.State || g.Jobs == nil || *g.Jobs != *old.Jobs) {
					t.Fatalf("seed %d: %s was %q and is %q", seed, g.Name, old.State, g.State)
				}
				if old.Jobs == nil && g.Jobs != nil {
					kinds[string(g.State)]++
				}
			})
		}
		d := truth.NewTransaction()
		if err := d.UpgradeFormat(ledger.GalleryFormat, 0); err != nil {
			t.Fatal(err)
		}
		txn, _ := d.Request()
		apply(txn)
		ledgers := []*ledger.Ledger{ledger.New(limits), ledger.New(limits), ledger.New(limits)}
		var late []wire.Txn
		for step := range 260 {
			who := rng.IntN(3)
			l := ledgers[who]
			catchUp(l, events, len(events)-rng.IntN(min(len(events), 5)+1))
			d := l.NewTransaction()
			now := wire.UnixMillis(1000 + step)
			d.SetTime(now)
			name := wire.GalleryName(fmt.Sprint("g-", rng.IntN(5)))
			id := wire.JobID(fmt.Sprintf("wk-%06d", rng.IntN(12)))
			g, j := l.Gallery(name), l.Job(id)
			edition := step/80 + who%2 // they have different editions
			switch rng.IntN(8) {
			case 0:
				_ = d.UpgradeRegister(edition)
			case 1:
				_ = d.OpenGallery(name, "free", ledger.Promise{At: now, Date: now + 500}, edition)
			case 2:
				if g != nil {
					_ = d.ChangeDate(g, ledger.Promise{At: now, Date: wire.UnixMillis(2000 + rng.IntN(9))}, edition)
				}
			case 3, 4:
				if j == nil {
					_ = d.SubmitToGallery(
						&wire.JobSpec{ID: id, Team: "free", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1},
						now,
						[]*ledger.Gallery{nil, g}[rng.IntN(2)],
					)
				}
			case 5:
				if j != nil && g != nil {
					_ = d.AssignGallery(j, g)
				}
			case 6:
				if g != nil && rng.IntN(4) == 0 {
					_ = d.MoveGallery(
						g,
						[]ledger.GalleryState{ledger.GalleryAtRisk, ledger.GalleryOpen, ledger.GalleryKept, ledger.GalleryBroken}[rng.IntN(4)],
						"why",
						now,
					)
				}
				if g != nil && rng.IntN(12) == 0 {
					_ = d.WithdrawGallery(g, "gone", now, edition)
				}
			case 7:
				if j != nil {
					if _, err := d.Claim(j, target(1, 0), 1, nil); err == nil && rng.IntN(2) == 0 {
						_, _ = d.Cancel(j)
					}
				}
			}
			txn, err := d.Request()
			if err != nil || len(txn.Then) == 0 {
				continue
			}
			if rng.IntN(6) == 0 {
				late = append(late, txn)
				continue
			}
			apply(txn)
			if len(late) > 0 && rng.IntN(4) == 0 {
				apply(late[0])
				late = late[1:]
			}
		}
		if len(store.Problems) > 0 {
			t.Fatal(store.Problems)
		}
		records := map[string]ledger.Event{}
		for _, it := range store.Items() {
			records[it.Key] = ledger.Event{Key: it.Key, Value: it.Value, Version: it.Version}
		}
		again, problems := ledger.Verify(records, limits)
		if len(problems) > 0 {
			t.Fatalf("seed %d: %v", seed, problems)
		}
		truth.EachGallery(func(g *ledger.Gallery) {
			if o := again.Gallery(g.Name); o == nil || o.Count != g.Count {
				t.Fatalf("seed %d: %s counts %+v, read anew %+v", seed, g.Name, g.Count, o)
			}
		})
	}
	for _, kind := range []string{"conflict", "tie", "open", "date", "kept", "broken", "withdrawn"} {
		if kinds[kind] < 10 {
			t.Errorf("%d times %q: the histories show little", kinds[kind], kind)
		}
	}
}

// FuzzGalleryRecord: whatever a record holds, it is taken whole, or not, and what is taken can be
// looked at.
func FuzzGalleryRecord(f *testing.F) {
	f.Add(`{"team":"free","dates":[{"at":1,"date":2,"why":"x"}],"state":"at risk","since":3,"reg":1}`)
	f.Add(`{"dates":[]}`)
	f.Fuzz(func(t *testing.T, value string) {
		l, problems := ledger.Verify(
			map[string]ledger.Event{
				ledger.GalleryPrefix + "g": {Key: ledger.GalleryPrefix + "g", Value: []byte(value), Version: 5},
			},
			limits,
		)
		if g := l.Gallery("g"); g != nil {
			_, _ = g.Date(), g.Ended()
		} else if len(problems) == 0 {
			t.Errorf("%q is neither taken nor a problem", value)
		}
	})
}

// TestGalleryFitsItsRecord: however often a date is changed and however long the reasons are, the
// record fits a value, and the date that can't be added is refused with its reason.
func TestGalleryFitsItsRecord(t *testing.T) {
	small := limits
	small.ValueBytes = 4096
	l := ledger.New(small)
	version := wire.Revision(0)
	do := func(f func(d *ledger.Transaction) error) error {
		d := l.NewTransaction()
		if err := f(d); err != nil {
			return err
		}
		txn, err := d.Request()
		version++
		for _, c := range txn.Then {
			l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: version})
		}
		return err
	}
	long := string(make([]byte, 300))
	_ = do(func(d *ledger.Transaction) error { return d.UpgradeFormat(ledger.GalleryFormat, 0) })
	_ = do(func(d *ledger.Transaction) error { return d.UpgradeRegister(1) })
	name := wire.GalleryName("a-name-of-64-bytes-a-name-of-64-bytes-a-name-of-64-bytes-aaaaaaa")
	if err := do(func(d *ledger.Transaction) error {
		return d.OpenGallery(name, "free", ledger.Promise{At: 1e12, Date: 2e12, Why: long}, 1)
	}); err != nil {
		t.Fatal(err)
	}
	var err error
	for i := 0; err == nil && i < 100; i++ {
		err = do(func(d *ledger.Transaction) error {
			return d.ChangeDate(l.Gallery(name), ledger.Promise{At: 1e12, Date: wire.UnixMillis(2e12 + i + 1), Why: long}, 1)
		})
	}
	if !errors.Is(err, ledger.ErrManyDates) || len(l.Gallery(name).Promises) < 10 {
		t.Errorf("%v after %d dates", err, len(l.Gallery(name).Promises))
	}
}
