package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// newGalleryRegister is a register of two galleries by class and one by its jobs.
func newGalleryRegister(t *testing.T, revision int, free, capped, some time.Time) *deadline.Register {
	text := fmt.Sprintf("revision: %d\nmargin_s: 20\n", revision)
	for _, g := range []struct {
		name, team, of string
		date           time.Time
	}{{"of-free", "free", `class: "c"`, free}, {"of-capped", "capped", `class: "c"`, capped},
		{"of-some-1", "free", `job: "wk-000001" job: "wk-000002" job: "wk-000003"`, some}, {"of-some-2", "capped", `job: "wk-000004" job: "wk-000005" job: "wk-000006"`, some}} {
		if !g.date.IsZero() {
			text += fmt.Sprintf(
				"gallery { name: %q team: %q promised: %q %s }\n",
				g.name,
				g.team,
				g.date.Format(time.RFC3339),
				g.of,
			)
		}
	}
	r, err := deadline.Parse([]byte(text), []wire.Team{"free", "capped"})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestGalleriesSurviveRestarts: controllers end at each step in which galleries change, and are back at
// once, while a date is moved twice by new editions of the register that not all controllers have.
// Every accepted job is tied to one gallery, exactly once and for good, also those accepted before
// the galleries were known; every promise is on record as it was made; and each gallery ends as what
// is on record says, not as who looked when.
func TestGalleriesSurviveRestarts(t *testing.T) {
	t.Parallel()
	for n, kind := range []string{"register", "gallery", "gallery state", "gallery binding", "exit"} {
		for m, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRestartScenario(t, uint64(20+n), []time.Duration{50 * time.Millisecond, time.Second}[(n+m)%2])
					r.archiving = false
					began := time.Now()
					in := func(d time.Duration) time.Time { return began.Add(d) }
					var registers [3]*deadline.Register
					first := newGalleryRegister(t, 1, in(260*time.Second), in(250*time.Second), in(100*time.Second))
					second := newGalleryRegister(t, 2, in(260*time.Second), in(120*time.Second), in(100*time.Second))
					third := newGalleryRegister(t, 3, in(260*time.Second), in(280*time.Second), in(100*time.Second))
					give := func(i int, reg *deadline.Register) {
						r.mu.Lock()
						registers[i] = reg
						r.mu.Unlock()
						if c := r.controller(i); c != nil {
							c.Deadlines.Set(reg)
						}
					}
					r.configure = func(c *Controller) {
						for i := range 3 {
							if c.set.Member == newTestSettings(t, i).Member {
								r.mu.Lock()
								reg := registers[i]
								r.mu.Unlock()
								if reg != nil {
									c.Deadlines.Set(reg)
								}
							}
						}
					}
					ties := map[wire.JobID]wire.GalleryName{}
					states := map[wire.GalleryName]ledger.GalleryState{}
					r.store.Seen = func(c wire.Change) { r.checkGalleryChange(t, c, ties, states) }
					r.onStep = func(i int, step string) {
						if step == kind+side {
							r.crashAndRestart(i)
						}
					}
					at := 0
					r.runAndCheck(24, func() {
						switch at++; at {
						case 15: // some jobs are there by then
							for i := range 3 {
								give(i, first)
							}
						case 40:
							give(0, second)
							give(1, second)
						case 70:
							give(2, third)
						}
					})
					r.checkGalleriesAtEnd(t, ties, states)
				})
			})
		}
	}
}

// checkGalleryChange looks at every change that the state service takes.
func (r *restartScenario) checkGalleryChange(
	t *testing.T,
	c wire.Change,
	ties map[wire.JobID]wire.GalleryName,
	states map[wire.GalleryName]ledger.GalleryState,
) {
	l := ledger.New(Limits(newTestSettings(t, 0)))
	if id, ok := strings.CutPrefix(c.Put, ledger.Prefix+"j/"); ok {
		l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: 1})
		if j := l.Job(wire.JobID(id)); j != nil {
			if old := ties[j.ID]; old != "" && old != j.Gallery {
				t.Errorf("%s goes from %q to %q", id, old, j.Gallery)
			}
			ties[j.ID] = j.Gallery
		}
	}
	if name, ok := strings.CutPrefix(c.Put, ledger.Prefix+"p/"); ok {
		l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: 1})
		g := l.Gallery(wire.GalleryName(name))
		if old := states[g.Name]; old != g.State &&
			(old == ledger.GalleryKept || old == ledger.GalleryBroken || old == ledger.GalleryWithdrawn) {
			t.Errorf("%s goes from %q to %q", name, old, g.State)
		}
		states[g.Name] = g.State
	}
}

// checkGalleriesAtEnd looks at the records at the end.
func (r *restartScenario) checkGalleriesAtEnd(
	t *testing.T,
	ties map[wire.JobID]wire.GalleryName,
	states map[wire.GalleryName]ledger.GalleryState,
) {
	records := map[string]ledger.Event{}
	for _, it := range r.store.Items() {
		if strings.HasPrefix(it.Key, ledger.Prefix) && !ledger.Transient(it.Key) {
			records[it.Key] = ledger.Event{Key: it.Key, Value: it.Value, Version: it.Version}
		}
	}
	l, problems := ledger.Verify(records, Limits(newTestSettings(t, 0)))
	if len(problems) > 0 {
		t.Errorf("records: %v", problems)
	}
	for id := range r.users {
		g := ties[id]
		byClass := wire.GalleryName("of-free")
		if spec := r.world.Spec(id); spec.Team == "capped" {
			byClass = "of-capped"
		}
		named := strings.HasPrefix(string(g), "of-some")
		if g != byClass && !named && !(g == "" && r.users[id].status == wire.Done) { // it was done before the register came
			t.Errorf("%s is tied to %q, want %q", id, g, byClass)
		}
	}
	capped := l.Gallery("of-capped")
	if capped == nil || len(capped.Promises) < 1 || capped.Promises[0].Why != "" {
		t.Fatalf("gallery %+v", capped)
	}
	l.EachGallery(func(g *ledger.Gallery) {
		if g.Date().Time().Before(time.Now().Add(-30*time.Second)) && !g.Ended() {
			t.Errorf("%s is %q long after its date", g.Name, g.State)
		}
		if g.Jobs == nil {
			return
		}
		skew := time.Duration(newTestSettings(t, 0).Cluster.SkewMillis * float64(time.Millisecond))
		late := g.Jobs.Ended.Time().Sub(g.Date().Time()) > 2*skew
		left := g.Jobs.Jobs - g.Jobs.Done - g.Jobs.Cancelled
		if want := late || left > 0; want != (g.State == ledger.GalleryBroken) && g.State != ledger.GalleryWithdrawn {
			t.Errorf("%s is %q with %+v, promised for %v", g.Name, g.State, *g.Jobs, g.Date().Time())
		}
	})
	r.t.Logf("%d jobs, galleries %v, the capped one's dates %d", len(ties), states, len(capped.Promises))
}
