package crashloop

import (
	"cmp"
	"slices"

	"maddermill/wire"
)

// QuarantineReason is why a machine is judged faulty in a few words; "" where machines are not judged by
// evidence.
func (t *Tracker) QuarantineReason(m wire.MachineID) string {
	if t.judge == nil {
		return ""
	}
	return t.judge.Digest(m)
}

// Judgements explains all machines of a list that there is something to tell of, the worst first.
func (t *Tracker) Judgements(machines []wire.MachineID) []wire.Judgement {
	out := []wire.Judgement{}
	if t.judge == nil {
		return out
	}
	for _, m := range machines {
		if x, ok := t.judge.Explain(m); ok {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b wire.Judgement) int {
		return cmp.Or(cmp.Compare(b.ProbabilityFaulty, a.ProbabilityFaulty), cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Machine, b.Machine))
	})
	return out
}

// QuarantineEnabled reports whether machines are judged by evidence.
func (t *Tracker) QuarantineEnabled() bool { return t.judge != nil }
