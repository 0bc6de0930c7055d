package quarantine

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"maddermill/wire"
)

// TestFaultIsNamedByItsExplanation draws faults, has each judged, and names the fault from the text of the
// explanation of a machine that it hit, and from nothing else.
func TestFaultIsNamedByItsExplanation(t *testing.T) {
	for seed := range uint64(4) {
		for kind, addFault := range map[string]func(w *world){
			"machine": func(w *world) { w.rate[3] = 0.1 + 0.3*float64(seed) },
			"job":     func(w *world) { w.badJobs = 0.1 },
			"task":    func(w *world) { w.badTask = 0.3 },
			"image":   func(w *world) { w.images[5] = 0.9 },
			"block":   func(w *world) { w.blockRate[2] = 0.4 },
		} {
			t.Run(fmt.Sprintf("%s, seed %d", kind, seed), func(t *testing.T) {
				w := newWorld(100+seed, 64)
				w.accident = 0
				addFault(w)
				j := NewJudge(DefaultPriors)
				w.play(watchingRule{j}, 700)
				text := explainWorst(t, j, w.machines)
				if !strings.HasPrefix(namedCause(text), kind+" ") {
					t.Errorf("the fault is of a %s, and the explanation says\n%s", kind, text)
				}
			})
		}
	}
}

// explainWorst returns the explanation of the machine that failed most: for a fault of its own the faulty one.
func explainWorst(t *testing.T, j *Judge, machines int) string {
	t.Helper()
	failures, text := 0, ""
	for m := range machines {
		judgement, ok := j.Explain(wire.MachineID(fmt.Sprint("host-", m)))
		if !ok || len(judgement.Failures) <= failures {
			continue
		}
		var b strings.Builder
		if err := Write(&b, &judgement); err != nil {
			t.Fatal(err)
		}
		failures, text = len(judgement.Failures), b.String()
	}
	return text
}

// namedCause returns what an explanation puts a machine's failures down to, "" if it doesn't say.
func namedCause(text string) string {
	causes := regexp.MustCompile(`(?m)^Its failures are put down to: (.*)\.$`).FindStringSubmatch(text)
	if len(causes) != 2 {
		return ""
	}
	return causes[1]
}
