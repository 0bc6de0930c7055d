package quarantine

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"maddermill/wire"
)

// TestFaultIsNamedByItsExplanation injects faults of each kind and checks that the text of the explanation alone, of
// the machine with the most failures, attributes them to a cause of that kind.
func TestFaultIsNamedByItsExplanation(t *testing.T) {
	for seed := range uint64(4) {
		for kind, addFault := range map[string]func(c *simulatedCluster){
			"machine": func(c *simulatedCluster) { c.machineRate[3] = 0.1 + 0.3*float64(seed) },
			"job":     func(c *simulatedCluster) { c.badJobShare = 0.1 },
			"task":    func(c *simulatedCluster) { c.badTaskShare = 0.3 },
			"image":   func(c *simulatedCluster) { c.imageRate[5] = 0.9 },
			"block":   func(c *simulatedCluster) { c.blockRate[2] = 0.4 },
		} {
			t.Run(fmt.Sprintf("%s, seed %d", kind, seed), func(t *testing.T) {
				cluster := newSimulatedCluster(100+seed, 64)
				cluster.backgroundRate = 0
				addFault(cluster)
				d := NewDetector(DefaultPriors)
				cluster.simulate(observeOnlyRule{d}, 700)
				text := explainWorst(t, d, cluster.machines)
				if !strings.HasPrefix(namedCause(text), kind+" ") {
					t.Errorf("got no attribution to a %s, want one, in the explanation\n%s", kind, text)
				}
			})
		}
	}
}

// explainWorst returns the explanation of the machine with the most failures. If a machine is faulty, it is that one.
func explainWorst(t *testing.T, d *Detector, machines int) string {
	t.Helper()
	failures, text := 0, ""
	for m := range machines {
		judgement, ok := d.Explain(wire.MachineID(fmt.Sprint("host-", m)))
		if !ok || len(judgement.Failures) <= failures {
			continue
		}
		var b strings.Builder
		if err := WriteJudgement(&b, &judgement); err != nil {
			t.Fatal(err)
		}
		failures, text = len(judgement.Failures), b.String()
	}
	return text
}

// namedCause returns the causes to which an explanation attributes a machine's failures; "" if it doesn't say.
func namedCause(text string) string {
	causes := regexp.MustCompile(`(?m)^Its failures are attributed to: (.*)\.$`).FindStringSubmatch(text)
	if len(causes) != 2 {
		return ""
	}
	return causes[1]
}
