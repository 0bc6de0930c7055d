package quarantine

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"maddermill/wire"
)

// TestFaultIsNamedByItsExplanation draws faults, has each judged, and names the fault from the
// text of the explanation of a machine that it hit, and from nothing else.
func TestFaultIsNamedByItsExplanation(t *testing.T) {
	put := regexp.MustCompile(`(?m)^Its failures are put down to: (.*)\.$`)
	right, drawn := 0, 0
	for seed := range uint64(4) {
		for kind, fault := range map[string]func(w *world){
			"machine": func(w *world) { w.rate[3] = 0.1 + 0.3*float64(seed) },
			"job":     func(w *world) { w.badJobs = 0.1 },
			"task":    func(w *world) { w.badTask = 0.3 },
			"image":   func(w *world) { w.images[5] = 0.9 },
			"block":   func(w *world) { w.badBlock[2] = 0.4 },
		} {
			w := newWorld(100+seed, 64)
			w.accident = 0
			fault(w)
			j := NewJudge(DefaultPriors)
			w.play(watching{j}, 700)
			// The machine that failed most: for a fault of its own the faulty one.
			most, text := 0, ""
			for m := range 64 {
				if x, ok := j.Explain(wire.MachineID(fmt.Sprint("host-", m))); ok && len(x.Failures) > most {
					var b strings.Builder
					if err := Write(&b, &x); err != nil {
						t.Fatal(err)
					}
					most, text = len(x.Failures), b.String()
				}
			}
			drawn++
			named := put.FindStringSubmatch(text)
			if len(named) == 2 && named[1] != "" && strings.HasPrefix(named[1], kind+" ") {
				right++
				continue
			}
			t.Errorf("seed %d: the fault is of a %s, and the explanation says\n%s", seed, kind, text)
		}
	}
	t.Logf("%d of %d faults are named", right, drawn)
}

// watching judges and replaces nothing.
type watching struct{ *Judge }

func (r watching) see(o *Outcome) { r.Observe(o) }
func (r watching) faulty(m wire.MachineID) bool {
	r.Verdict(m) // it keeps judging as it would
	return false
}
