package deadline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// validRegister is a valid register, which tests modify.
const validRegister = `# what was promised
revision: 3
margin_s: 30
gallery {
  name: "couple-1"  team: "desk"  promised: "2026-12-05T18:00:00Z"
  job: "wk-000001"
}
gallery { name: "couple-2" team: "desk" promised: "2026-12-05T20:00:00+02:00"
  workflow: "wf-000001" class: "rush" complete: true }
gallery { name: "couple-3" team: "other" promised: "2026-12-06T18:00:00Z" class: "rush" why: "moved by the bride" }
`

// TestRegister checks that a register is parsed correctly and that each mistake is reported with its line, field and
// reason.
func TestRegister(t *testing.T) {
	teams := []wire.Team{"desk", "other"}
	r, err := Parse([]byte(validRegister), teams)
	if err != nil {
		t.Fatal(err)
	}
	entry := r.Entry("couple-2")
	if r.Revision != 3 || r.Margin != 30*time.Second || !entry.Complete ||
		!entry.Promised.Equal(r.Entry("couple-1").Promised) {
		t.Errorf("got %+v", r)
	}
	for _, tc := range []struct {
		spec     wire.JobSpec
		workflow wire.WorkflowID
		want     []wire.GalleryName
	}{
		{
			wire.JobSpec{ID: "wk-000001", Team: "desk", Class: "rush"},
			"wf-000001",
			[]wire.GalleryName{"couple-1", "couple-2"},
		},
		{wire.JobSpec{ID: "wk-000002", Team: "desk", Class: "rush"}, "", []wire.GalleryName{"couple-2"}},
		{wire.JobSpec{ID: "wk-000001", Team: "other", Class: "rush"}, "", []wire.GalleryName{"couple-3"}},
		{wire.JobSpec{ID: "wk-000002", Team: "other", Class: "calm"}, "", nil},
	} {
		if got := r.GalleriesOf(&tc.spec, tc.workflow); !slices.Equal(got, tc.want) {
			t.Errorf("%+v of workflow %q: got %v, want %v", tc.spec, tc.workflow, got, tc.want)
		}
	}
	for _, tc := range []struct{ old, new, want string }{
		{"revision: 3", "", "revision: is required"},
		{"margin_s: 30", "margin_s: -1", "margin_s: must be from 0"},
		{`name: "couple-1"`, `name: "couple 1"`, `line 4: name: "couple 1" must be 1 to 64`},
		{`name: "couple-2"`, `name: "couple-1"`, `line 8: name: duplicate gallery name "couple-1"`},
		{`team: "other"`, `team: "nobody"`, `line 10: team: unknown team "nobody"`},
		{"2026-12-06T18:00:00Z", "Friday", `line 10: promised: "Friday" is not an RFC 3339 time`},
		{`job: "wk-000001"`, `job: "wk-1"`, `line 4: job: "wk-1" is not a valid job ID`},
		{`job: "wk-000001"`, ``, `line 4: gallery: "couple-1" lists no job`},
		{`class: "rush" complete`, `job: "wk-000001" complete`,
			`line 8: job: wk-000001 is already listed in gallery "couple-1"`},
		{"gallery", "galery", "galery"},
	} {
		_, err := Parse([]byte(strings.Replace(validRegister, tc.old, tc.new, 1)), teams)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q in place of %q: got error %v, want %q", tc.new, tc.old, err, tc.want)
		}
	}
}

// FuzzRegister checks that no input makes Parse panic and that an accepted register is consistent.
func FuzzRegister(f *testing.F) {
	f.Add(validRegister)
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Parse([]byte(text), nil)
		if err == nil && r.Revision < 1 {
			t.Error("a register without a revision was accepted")
		}
		if err == nil {
			for i := range r.Entries {
				if e := &r.Entries[i]; r.Entry(e.Name) != e || !e.Name.Valid() || e.Promised.IsZero() && e.Name == "" {
					t.Errorf("inconsistent entry %+v", e)
				}
			}
		}
	})
}

// TestEvaluateByTheRecord checks that the final state of a gallery does not depend on when it is evaluated: with pauses
// of any length and clocks that are off by up to the bound, it is kept if all jobs were done by the date and broken
// otherwise. Before, it may change only with a reason.
func TestEvaluateByTheRecord(t *testing.T) {
	date := time.Unix(1_800_000_000, 0)
	const skew = 100 * time.Millisecond
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 8))
		n := 1 + rng.IntN(4)
		var ends []time.Duration // of the jobs, after the date
		last := -time.Hour
		for range n {
			d := time.Duration(rng.IntN(240)-200) * time.Second
			ends, last = append(ends, d), max(last, d)
		}
		want := ledger.GalleryKept
		if last > 0 {
			want = ledger.GalleryBroken
		}
		state, ended := ledger.GalleryOpen, ledger.GalleryOpen
		// The intervals between evaluations vary from seconds to minutes.
		for at := -300 * time.Second; at < 400*time.Second; at += time.Duration(1+rng.IntN(1+rng.IntN(200))) * time.Second {
			f := Progress{
				Date:         date,
				State:        state,
				Count:        ledger.GalleryCount{Jobs: n},
				MinRemaining: 20 * time.Second,
				Complete:     rng.IntN(2) == 0,
			}
			for _, e := range ends {
				if e <= at {
					f.Count.Done++
					// Each end was recorded by a controller with a clock error.
					f.Count.Ended = max(
						f.Count.Ended,
						wire.UnixMillis(date.Add(e+time.Duration(rng.IntN(201)-100)*time.Millisecond).UnixMilli()),
					)
				}
			}
			off := time.Duration(rng.IntN(201)-100) * time.Millisecond
			to, why := Evaluate(&f, 30*time.Second, skew, date.Add(at+off))
			if to != state && why == "" {
				t.Fatalf("seed %d: state changed to %q without a reason", seed, to)
			}
			if state = to; to == ledger.GalleryKept || to == ledger.GalleryBroken {
				ended = to
				break
			}
		}
		if ended != want {
			t.Fatalf("seed %d: last job done %v after the date: got state %q, want %q", seed, last, ended, want)
		}
	}
}

// TestAtRiskAndBack checks that a gallery is at risk once its slack is below the margin and the boot time, until the
// slack exceeds twice that, and that a gallery without remaining jobs is not at risk.
func TestAtRiskAndBack(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		left  int
		slack time.Duration
		was   ledger.GalleryState
		want  ledger.GalleryState
	}{
		{2, 50 * time.Second, ledger.GalleryOpen, ledger.GalleryOpen},
		{2, 39 * time.Second, ledger.GalleryOpen, ledger.GalleryAtRisk},
		{2, 60 * time.Second, ledger.GalleryAtRisk, ledger.GalleryAtRisk},
		{2, 90 * time.Second, ledger.GalleryAtRisk, ledger.GalleryOpen},
		{0, 5 * time.Second, ledger.GalleryAtRisk, ledger.GalleryOpen},
	} {
		f := Progress{
			Date:         now.Add(time.Minute + tc.slack),
			State:        tc.was,
			Count:        ledger.GalleryCount{Jobs: 5, Done: 5 - tc.left},
			MinRemaining: time.Minute,
			BootTime:     10 * time.Second,
		}
		if got, _ := Evaluate(&f, 30*time.Second, 0, now); got != tc.want {
			t.Errorf("%+v: got %q, want %q", tc, got, tc.want)
		}
	}
}

// TestOvercommitted checks that galleries are reported if and only if no order of the work meets all dates, by
// comparison with all permutations.
func TestOvercommitted(t *testing.T) {
	now := time.Unix(0, 0)
	overcommitted := 0
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var loads []Load
		for i := range 1 + rng.IntN(5) {
			loads = append(
				loads,
				Load{
					wire.GalleryName(fmt.Sprint("g", i)),
					now.Add(time.Duration(1+rng.IntN(100)) * time.Second),
					float64(1 + rng.IntN(40)),
				},
			)
		}
		possible := false
		permute(loads, func(order []Load) {
			sum, ok := 0.0, true
			for _, l := range order {
				sum += l.Work
				ok = ok && sum <= l.Date.Sub(now).Seconds()
			}
			possible = possible || ok
		})
		if got := Overcommitted(loads, now); (len(got) == 0) != possible {
			t.Fatalf("seed %d: got %v of %v, possible %v", seed, got, loads, possible)
		}
		if !possible {
			overcommitted++
		}
	}
	if overcommitted < 100 || overcommitted > 400 {
		t.Errorf("got %d of 500 overcommitted, want 100 to 400", overcommitted)
	}
}

// permute calls f with every permutation of list.
func permute(list []Load, f func([]Load)) {
	if len(list) == 0 {
		f(nil)
		return
	}
	for i := range list {
		rest := slices.Delete(slices.Clone(list), i, i+1)
		permute(rest, func(order []Load) { f(append([]Load{list[i]}, order...)) })
	}
}
