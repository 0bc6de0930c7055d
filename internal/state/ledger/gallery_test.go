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

// galleryHistory is a random sequence of transactions by controllers whose ledgers lag behind and which have
// different editions of the register.
type galleryHistory struct {
	seed      uint64
	rng       *rand.Rand
	store     *emulator.Store
	events    []ledger.Event
	ledgers   []*ledger.Ledger // one per controller
	reference *ledger.Ledger   // sees every commit immediately
	delayed   []wire.Txn       // to be committed later
	seen      map[string]int   // how often each kind of change occurred
}

// galleryState is the state before a commit, with which the state after it is compared.
type galleryState struct {
	galleries map[wire.GalleryName]ledger.GalleryRecord
	jobs      map[wire.JobID]wire.GalleryName // the gallery of each active job
	register  int
}

// newGalleryHistory returns a history whose records have the gallery format.
func newGalleryHistory(t *testing.T, seed uint64, seen map[string]int) *galleryHistory {
	t.Helper()
	h := &galleryHistory{
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 12)),
		store:     emulator.NewStore(limits.TxnOps, limits.ValueBytes),
		ledgers:   []*ledger.Ledger{ledger.New(limits), ledger.New(limits), ledger.New(limits)},
		reference: ledger.New(limits),
		seen:      seen,
	}
	txn := h.reference.NewTransaction()
	if err := txn.UpgradeFormat(ledger.GalleryFormat, 0); err != nil {
		t.Fatal(err)
	}
	request, err := txn.Request()
	if err != nil {
		t.Fatal(err)
	}
	h.commit(t, request)
	return h
}

// run appends a number of random steps to the history.
func (h *galleryHistory) run(t *testing.T, steps int) {
	t.Helper()
	for step := range steps {
		controller := h.rng.IntN(3)
		l := h.ledgers[controller]
		catchUp(l, h.events, len(h.events)-h.rng.IntN(min(len(h.events), 5)+1))
		now := wire.UnixMillis(1000 + step)
		txn := l.NewTransaction()
		txn.SetTime(now)
		h.transition(txn, l, now, step/80+controller%2) // controllers have different editions
		request, err := txn.Request()
		if err != nil || len(request.Then) == 0 {
			continue
		}
		if h.rng.IntN(6) == 0 {
			h.delayed = append(h.delayed, request)
			continue
		}
		h.commit(t, request)
		if len(h.delayed) > 0 && h.rng.IntN(4) == 0 {
			h.commit(t, h.delayed[0])
			h.delayed = h.delayed[1:]
		}
	}
}

// transition adds a random transition to the transaction, or none. Refused transitions are expected.
func (h *galleryHistory) transition(txn *ledger.Transaction, l *ledger.Ledger, now wire.UnixMillis, register int) {
	name := wire.GalleryName(fmt.Sprint("g-", h.rng.IntN(5)))
	id := wire.JobID(fmt.Sprintf("wk-%06d", h.rng.IntN(12)))
	g, j := l.Gallery(name), l.Job(id)
	kind := h.rng.IntN(8)
	switch {
	case kind == 0:
		_ = txn.UpgradeRegister(register)
	case kind == 1:
		_ = txn.OpenGallery(name, "free", ledger.Promise{At: now, Date: now + 500}, register)
	case (kind == 3 || kind == 4) && j == nil:
		_ = txn.SubmitJob(ledger.Submission{
			Spec: arraySpec(id, 1), At: now, Gallery: []*ledger.Gallery{nil, g}[h.rng.IntN(2)],
		})
	case kind == 7 && j != nil:
		if _, err := txn.Claim(j, target(1, 0), 1, nil); err == nil && h.rng.IntN(2) == 0 {
			_, _ = txn.Cancel(j)
		}
	case g == nil:
	case kind == 2:
		_ = txn.AddPromise(g, ledger.Promise{At: now, Date: wire.UnixMillis(2000 + h.rng.IntN(9))}, register)
	case kind == 5 && j != nil:
		_ = txn.AssignGallery(j, g)
	case kind == 6:
		h.moveGallery(txn, g, now, register)
	}
}

// moveGallery occasionally moves a gallery to a random state.
func (h *galleryHistory) moveGallery(
	txn *ledger.Transaction, g *ledger.Gallery, now wire.UnixMillis, register int,
) {
	states := []ledger.GalleryState{
		ledger.GalleryAtRisk, ledger.GalleryOpen, ledger.GalleryKept, ledger.GalleryBroken,
	}
	if h.rng.IntN(4) == 0 {
		_ = txn.SetGalleryState(g, states[h.rng.IntN(4)], "why", now)
	}
	if h.rng.IntN(12) == 0 {
		_ = txn.WithdrawGallery(g, "gone", now, register)
	}
}

// state returns the current state of the reference ledger.
func (h *galleryHistory) state() galleryState {
	s := galleryState{
		galleries: map[wire.GalleryName]ledger.GalleryRecord{},
		jobs:      map[wire.JobID]wire.GalleryName{},
		register:  h.reference.Register(),
	}
	h.reference.EachGallery(func(g *ledger.Gallery) { s.galleries[g.Name] = g.GalleryRecord })
	h.reference.EachActive(func(j *ledger.Job) { s.jobs[j.ID] = j.Gallery })
	return s
}

// commit commits a request if the store accepts it, and checks the resulting records against those before it.
func (h *galleryHistory) commit(t *testing.T, request wire.Txn) {
	t.Helper()
	before := h.state()
	revision, err := h.store.Apply(request)
	if err != nil {
		h.seen["conflict"]++
		return
	}
	for _, c := range request.Then {
		e := ledger.Event{Key: c.Put, Value: c.Value, Version: revision}
		h.events = append(h.events, e)
		h.reference.Apply(e)
	}
	h.reference.EachActive(func(j *ledger.Job) { h.checkJob(t, before, j) })
	h.reference.EachGallery(func(g *ledger.Gallery) { h.checkGallery(t, before, g) })
}

// checkJob checks that a job is added to at most one gallery, which had not ended.
func (h *galleryHistory) checkJob(t *testing.T, before galleryState, j *ledger.Job) {
	t.Helper()
	old, known := before.jobs[j.ID]
	if old != "" && old != j.Gallery {
		t.Fatalf("seed %d: %s moved from gallery %q to %q", h.seed, j.ID, old, j.Gallery)
	}
	if j.Gallery == "" || old != "" {
		return
	}
	h.seen["assign"]++
	r, open := before.galleries[j.Gallery]
	if !open || r.State == ledger.GalleryKept || r.State == ledger.GalleryBroken || r.State == ledger.GalleryWithdrawn {
		t.Fatalf("seed %d: %s (known %v) was added to gallery %q in state %q", h.seed, j.ID, known, j.Gallery, r.State)
	}
}

// checkGallery checks that galleries and promises are only added by the edition in force, that promises are never
// changed, and that a gallery that has ended does not change.
func (h *galleryHistory) checkGallery(t *testing.T, before galleryState, g *ledger.Gallery) {
	t.Helper()
	old, known := before.galleries[g.Name]
	if !known {
		if h.seen["open"]++; g.Register != before.register {
			t.Fatalf("seed %d: edition %d opened %s while edition %d was in force", h.seed, g.Register, g.Name, before.register)
		}
		return
	}
	if len(g.Promises) < len(old.Promises) || !slices.Equal(g.Promises[:len(old.Promises)], old.Promises) {
		t.Fatalf("seed %d: promises of %s changed from %v to %v", h.seed, g.Name, old.Promises, g.Promises)
	}
	if len(g.Promises) > len(old.Promises) {
		if h.seen["date"]++; g.Register != before.register {
			t.Fatalf("seed %d: edition %d changed a date while edition %d was in force", h.seed, g.Register, before.register)
		}
	}
	if old.Jobs != nil && (g.State != old.State || g.Jobs == nil || *g.Jobs != *old.Jobs) {
		t.Fatalf("seed %d: ended gallery %s changed from state %q to %q", h.seed, g.Name, old.State, g.State)
	}
	if old.Jobs == nil && g.Jobs != nil {
		h.seen[string(g.State)]++
	}
}

// verify checks the records in the store, and that the incrementally updated counts match them.
func (h *galleryHistory) verify(t *testing.T) {
	t.Helper()
	if len(h.store.Problems) > 0 {
		t.Fatal(h.store.Problems)
	}
	records := map[string]ledger.Event{}
	for _, it := range h.store.Items() {
		records[it.Key] = ledger.Event{Key: it.Key, Value: it.Value, Version: it.Version}
	}
	reloaded, problems := ledger.Verify(records, limits)
	if len(problems) > 0 {
		t.Fatalf("seed %d: %v", h.seed, problems)
	}
	h.reference.EachGallery(func(g *ledger.Gallery) {
		if o := reloaded.Gallery(g.Name); o == nil || o.Count != g.Count {
			t.Fatalf("seed %d: %s has counts %+v, but reloaded from the store %+v", h.seed, g.Name, g.Count, o)
		}
	})
}

// TestGalleriesUnderStaleControllers guards against transitions that are decided from stale records. Three
// controllers that lag behind, with different editions of the register, open galleries, change dates, add jobs
// and end galleries, and some transactions are committed late. A job must be added at most once and only to a
// gallery that has not ended, promises must only be appended, an older edition must change nothing, an ended
// gallery must not change, and counts must match the jobs.
func TestGalleriesUnderStaleControllers(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		h := newGalleryHistory(t, seed, seen)
		h.run(t, 260)
		h.verify(t)
	}
	for _, kind := range []string{"conflict", "assign", "open", "date", "kept", "broken", "withdrawn"} {
		if seen[kind] < 10 {
			t.Errorf("got %q %d times, want at least 10: the histories cover too little", kind, seen[kind])
		}
	}
	t.Log(seen)
}

// FuzzGalleryRecord: any value is either applied as a gallery's record as a whole or reported as a problem, and
// an applied record can be read without a panic.
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
			t.Errorf("%q was neither applied nor reported as a problem", value)
		}
	})
}

// TestGalleryFitsItsRecord guards against records that exceed the value size limit. However often a date is
// changed and however long the reasons are, the record must fit, and a date for which there is no room must be
// refused with ErrDateLimit.
func TestGalleryFitsItsRecord(t *testing.T) {
	small := limits
	small.ValueBytes = 4096
	l := ledger.New(small)
	version := wire.Revision(0)
	run := func(transition func(txn *ledger.Transaction) error) error {
		txn := l.NewTransaction()
		if err := transition(txn); err != nil {
			return err
		}
		request, err := txn.Request()
		version++
		for _, c := range request.Then {
			l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: version})
		}
		return err
	}
	why := string(make([]byte, 300))
	if err := run(func(txn *ledger.Transaction) error { return txn.UpgradeFormat(ledger.GalleryFormat, 0) }); err != nil {
		t.Fatal(err)
	}
	if err := run(func(txn *ledger.Transaction) error { return txn.UpgradeRegister(1) }); err != nil {
		t.Fatal(err)
	}
	name := wire.GalleryName("a-name-of-64-bytes-a-name-of-64-bytes-a-name-of-64-bytes-aaaaaaa")
	if err := run(func(txn *ledger.Transaction) error {
		return txn.OpenGallery(name, "free", ledger.Promise{At: 1e12, Date: 2e12, Reason: why}, 1)
	}); err != nil {
		t.Fatal(err)
	}
	var err error
	for i := 0; err == nil && i < 100; i++ {
		err = run(func(txn *ledger.Transaction) error {
			return txn.AddPromise(l.Gallery(name), ledger.Promise{At: 1e12, Date: wire.UnixMillis(2e12 + i + 1), Reason: why}, 1)
		})
	}
	if !errors.Is(err, ledger.ErrDateLimit) || len(l.Gallery(name).Promises) < 10 {
		t.Errorf("got %v after %d dates, want %v after 10 or more", err, len(l.Gallery(name).Promises), ledger.ErrDateLimit)
	}
}
