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

// newGalleryRegister returns a register with two galleries that select jobs by class and two that list their
// jobs. The dates are those of of-free, of of-capped and of both galleries that list jobs; galleries with a
// zero date are left out.
func newGalleryRegister(t *testing.T, revision int, free, capped, listed time.Time) *deadline.Register {
	t.Helper()
	text := fmt.Sprintf("revision: %d\nmargin_s: 20\n", revision)
	for _, g := range []struct {
		name, team, jobs string
		date             time.Time
	}{
		{"of-free", "free", `class: "c"`, free},
		{"of-capped", "capped", `class: "c"`, capped},
		{"of-some-1", "free", `job: "wk-000001" job: "wk-000002" job: "wk-000003"`, listed},
		{"of-some-2", "capped", `job: "wk-000004" job: "wk-000005" job: "wk-000006"`, listed},
	} {
		if !g.date.IsZero() {
			date := g.date.Format(time.RFC3339)
			text += fmt.Sprintf("gallery { name: %q team: %q promised: %q %s }\n", g.name, g.team, date, g.jobs)
		}
	}
	register, err := deadline.Parse([]byte(text), []wire.Team{"free", "capped"})
	if err != nil {
		t.Fatal(err)
	}
	return register
}

// galleryScenario is a restart scenario in which the controllers are given successive revisions of the gallery
// register.
type galleryScenario struct {
	*restartScenario
	registers [3]*deadline.Register           // by controller
	bindings  map[wire.JobID]wire.GalleryName // as last written to the state service
	states    map[wire.GalleryName]ledger.GalleryState
}

// newGalleryScenario returns a scenario whose controllers have no register yet.
func newGalleryScenario(t *testing.T, seed uint64, downtime time.Duration) *galleryScenario {
	t.Helper()
	g := &galleryScenario{
		restartScenario: newRestartScenario(t, seed, downtime),
		bindings:        map[wire.JobID]wire.GalleryName{},
		states:          map[wire.GalleryName]ledger.GalleryState{},
	}
	g.archiving = false
	g.configure = func(c *Controller) {
		for i := range g.registers {
			if c.set.Member != newTestSettings(t, i).Member {
				continue
			}
			g.mu.Lock()
			register := g.registers[i]
			g.mu.Unlock()
			if register != nil {
				c.Deadlines.SetRegister(register)
			}
		}
	}
	g.store.OnPut = g.checkChange
	return g
}

// setRegister sets the register of a controller, which it also gets after each restart.
func (g *galleryScenario) setRegister(i int, register *deadline.Register) {
	g.mu.Lock()
	g.registers[i] = register
	g.mu.Unlock()
	if c := g.controller(i); c != nil {
		c.Deadlines.SetRegister(register)
	}
}

// TestGalleriesSurviveRestarts crashes controllers as they send, or have the answer of, each kind of write that
// affects galleries, and restarts them soon. Meanwhile two new revisions of the register move a date, and not
// all controllers have the same revision.
// Every accepted job must be bound to one gallery, exactly once and permanently, even if it was accepted before
// the galleries were known. Every promise must stay on record unchanged, and the final state of each gallery
// must follow from the records, whichever controller decides it.
func TestGalleriesSurviveRestarts(t *testing.T) {
	t.Parallel()
	for n, kind := range []string{"register", "gallery", "gallery state", "gallery binding", "exit"} {
		for m, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				downtime := []time.Duration{50 * time.Millisecond, time.Second}[(n+m)%2]
				synctest.Test(t, func(t *testing.T) { runGalleries(t, uint64(20+n), kind+side, downtime) })
			})
		}
	}
}

// runGalleries runs one case of TestGalleriesSurviveRestarts.
func runGalleries(t *testing.T, seed uint64, crashStep string, downtime time.Duration) {
	t.Helper()
	g := newGalleryScenario(t, seed, downtime)
	startedAt := time.Now()
	in := func(d time.Duration) time.Time { return startedAt.Add(d) }
	first := newGalleryRegister(t, 1, in(260*time.Second), in(250*time.Second), in(100*time.Second))
	second := newGalleryRegister(t, 2, in(260*time.Second), in(120*time.Second), in(100*time.Second))
	third := newGalleryRegister(t, 3, in(260*time.Second), in(280*time.Second), in(100*time.Second))
	g.onStep = func(i int, step string) {
		if step == crashStep {
			g.crashAndRestart(i)
		}
	}
	seconds := 0
	g.runAndCheck(func() {
		switch seconds++; seconds {
		case 15: // some jobs are accepted by then
			for i := range 3 {
				g.setRegister(i, first)
			}
		case 40:
			g.setRegister(0, second)
			g.setRegister(1, second)
		case 70:
			g.setRegister(2, third)
		}
	})
	g.checkRecords()
}

// checkChange checks a write to the state service: it must not change an existing binding of a job to a
// gallery, or the state of a gallery that has ended.
func (g *galleryScenario) checkChange(change wire.Change) {
	l := ledger.New(Limits(newTestSettings(g.t, 0)))
	if id, ok := strings.CutPrefix(change.Put, ledger.Prefix+"j/"); ok {
		l.Apply(ledger.Event{Key: change.Put, Value: change.Value, Version: 1})
		if job := l.Job(wire.JobID(id)); job != nil {
			if old := g.bindings[job.ID]; old != "" && old != job.Gallery {
				g.t.Errorf("seed %d: gallery of %s: got %q, want it to stay %q", g.seed, id, job.Gallery, old)
			}
			g.bindings[job.ID] = job.Gallery
		}
	}
	if name, ok := strings.CutPrefix(change.Put, ledger.Prefix+"p/"); ok {
		l.Apply(ledger.Event{Key: change.Put, Value: change.Value, Version: 1})
		gallery := l.Gallery(wire.GalleryName(name))
		if old := g.states[gallery.Name]; old != gallery.State && isFinalGalleryState(old) {
			g.t.Errorf("seed %d: state of gallery %s: got %q, want it to stay %q", g.seed, name, gallery.State, old)
		}
		g.states[gallery.Name] = gallery.State
	}
}

// isFinalGalleryState reports whether a gallery state is final.
func isFinalGalleryState(s ledger.GalleryState) bool {
	return s == ledger.GalleryKept || s == ledger.GalleryBroken || s == ledger.GalleryWithdrawn
}

// checkRecords verifies the records at the end of the run, and the bindings and galleries in them.
func (g *galleryScenario) checkRecords() {
	g.t.Helper()
	records := map[string]ledger.Event{}
	for _, item := range g.store.Items() {
		if strings.HasPrefix(item.Key, ledger.Prefix) && !ledger.Transient(item.Key) {
			records[item.Key] = ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version}
		}
	}
	l, problems := ledger.Verify(records, Limits(newTestSettings(g.t, 0)))
	if len(problems) > 0 {
		g.t.Errorf("seed %d: records: got problems %v, want none", g.seed, problems)
	}
	g.checkBindings()
	capped := l.Gallery("of-capped")
	if capped == nil || len(capped.Promises) < 1 || capped.Promises[0].Reason != "" {
		g.t.Fatalf("seed %d: gallery of-capped: got %+v, want its first promise unchanged", g.seed, capped)
	}
	l.EachGallery(g.checkGallery)
	g.t.Logf("%d jobs bound, gallery states %v, %d promises of of-capped", len(g.bindings), g.states, len(capped.Promises))
}

// checkBindings checks that each accepted job is bound to the gallery of its team's class or to one that lists
// it. A job that was done before the controllers had a register may be unbound.
func (g *galleryScenario) checkBindings() {
	g.t.Helper()
	for id, user := range g.users {
		got, want := g.bindings[id], wire.GalleryName("of-free")
		if g.world.Spec(id).Team == "capped" {
			want = "of-capped"
		}
		listed := strings.HasPrefix(string(got), "of-some")
		if got != want && !listed && (got != "" || user.status != wire.Done) {
			g.t.Errorf("seed %d: gallery of %s: got %q, want %q", g.seed, id, got, want)
		}
	}
}

// checkGallery checks that a gallery has ended soon after its date, and is broken if and only if a job ended
// late, by more than twice the clock skew, or not at all. A withdrawn gallery may be either.
func (g *galleryScenario) checkGallery(gallery *ledger.Gallery) {
	date := gallery.Date().Time()
	if date.Before(time.Now().Add(-30*time.Second)) && !gallery.Ended() {
		g.t.Errorf(
			"seed %d: state of gallery %s long after its date: got %q, want a final one",
			g.seed,
			gallery.Name,
			gallery.State,
		)
	}
	if gallery.Jobs == nil {
		return
	}
	skew := time.Duration(newTestSettings(g.t, 0).Cluster.SkewMillis * float64(time.Millisecond))
	late := gallery.Jobs.Ended.Time().Sub(date) > 2*skew
	left := gallery.Jobs.Jobs - gallery.Jobs.Done - gallery.Jobs.Cancelled
	broken := late || left > 0
	if broken != (gallery.State == ledger.GalleryBroken) && gallery.State != ledger.GalleryWithdrawn {
		g.t.Errorf(
			"seed %d: state of gallery %s with %+v, promised for %v: got %q, want broken %v",
			g.seed,
			gallery.Name,
			*gallery.Jobs,
			date,
			gallery.State,
			broken,
		)
	}
}
