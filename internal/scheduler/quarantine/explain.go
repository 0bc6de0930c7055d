package quarantine

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"maddermill/wire"
)

// displayName returns the name of a cause for users.
func (c SuspectedCause) displayName() string {
	if c.Kind == CauseTask {
		return fmt.Sprintf("%d of %s", c.Task, c.Name)
	}
	return c.Name
}

// Explain returns the judgement of a machine with the failures and causes that it follows from; false if
// there is none: no failure there is remembered, and it isn't slow.
func (j *Judge) Explain(m wire.MachineID) (wire.Judgement, bool) {
	j.settle()
	machine := machineCause(m)
	out := wire.Judgement{
		Machine:           m,
		PriorFaulty:       j.priors.Faulty,
		ProbabilityFaulty: j.priors.Faulty,
		Completed:         int(j.completed[machine]),
		BackgroundRate:    j.accidentRate,
	}
	out.Slow, out.Slowdown = j.Slow(m)
	b := j.beliefs[machine]
	if b == nil {
		return out, out.Slow
	}
	verdict := j.Verdict(m)
	out.Faulty, out.ProbabilityFaulty, out.FailureRate = verdict.Faulty, verdict.Probability, verdict.FailureRate
	for _, f := range b.failures {
		out.Failures = append(out.Failures, j.explainFailure(f))
	}
	return out, true
}

// explainFailure returns a failure with what is believed about its causes.
func (j *Judge) explainFailure(f *failure) wire.JudgedFailure {
	out := wire.JudgedFailure{At: wire.UnixMillis(f.At.UnixMilli()), Job: f.Job, Task: f.Task}
	for _, b := range f.beliefs() {
		out.Parties = append(out.Parties, wire.JudgedParty{
			Kind:        b.Kind.String(),
			Name:        b.displayName(),
			Prior:       j.prior(b.Kind),
			Probability: b.probability,
			Completed:   int(j.completed[b.SuspectedCause]),
			Failed:      len(b.failures),
		})
	}
	return out
}

const (
	// maxDigest bounds a digest, in bytes: it goes into the record of a machine's phase, beside little else.
	maxDigest = 200
	// digestEllipsis ends a digest that doesn't name all jobs.
	digestEllipsis = " and others"
)

// Digest returns in a few words why a machine is judged as it is, for the record of its phase; "" if there
// is no judgement.
func (j *Judge) Digest(m wire.MachineID) string {
	judgement, ok := j.Explain(m)
	if !ok {
		return ""
	}
	text := fmt.Sprintf("fails %.0f%% of its tasks, probability %.4g; %d failed and %d done:",
		100*judgement.FailureRate, judgement.ProbabilityFaulty, len(judgement.Failures), judgement.Completed)
	var named []wire.JobID
	for _, f := range judgement.Failures {
		if slices.Contains(named, f.Job) {
			continue
		}
		if len(text)+len(f.Job)+len(digestEllipsis) > maxDigest {
			return text + digestEllipsis
		}
		named = append(named, f.Job)
		text += " " + string(f.Job)
	}
	return text
}

// Write explains a judgement in sentences and a table. An error is that of w.
func Write(w io.Writer, j *wire.Judgement) error {
	var text strings.Builder
	writeVerdict(&text, j)
	if len(j.Failures) > 0 {
		writeCauses(&text, j)
		if err := writeTable(&text, j); err != nil {
			return fmt.Errorf("explain %s: %w", j.Machine, err)
		}
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return fmt.Errorf("explain %s: %w", j.Machine, err)
	}
	return nil
}

// writeVerdict writes whether the machine is faulty, and whether it is slow.
func writeVerdict(text *strings.Builder, j *wire.Judgement) {
	switch {
	case j.Faulty:
		fmt.Fprintf(text, "%s is judged faulty: it fails about %.0f%% of its tasks.\n", j.Machine, 100*j.FailureRate)
	case j.ProbabilityFaulty > likely:
		fmt.Fprintf(text, "%s is watched: it may be faulty, which has not stood for long enough.\n", j.Machine)
	case len(j.Failures) > 0:
		fmt.Fprintf(text, "%s is not held to be faulty.\n", j.Machine)
	}
	if j.Slow {
		fmt.Fprintf(text, "%s is slow: its tasks take %.1f times as long as their mates and their class elsewhere.\n",
			j.Machine, j.Slowdown)
	}
}

// causeSummary is a cause of a machine's failures, and of how many of them it may be the cause.
type causeSummary struct {
	wire.JudgedParty
	failures int
}

// summarizeCauses returns the causes of a machine's failures, the most probable first.
func summarizeCauses(j *wire.Judgement) []causeSummary {
	var list []causeSummary
	for _, f := range j.Failures {
		for _, p := range f.Parties {
			at := slices.IndexFunc(list, func(c causeSummary) bool { return c.Kind == p.Kind && c.Name == p.Name })
			if at < 0 {
				at = len(list)
				list = append(list, causeSummary{JudgedParty: p})
			}
			list[at].failures++
		}
	}
	slices.SortStableFunc(list, func(a, b causeSummary) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(b.failures, a.failures))
	})
	return list
}

// writeCauses writes the probabilities, and which causes the failures are put down to and which are ruled
// out: the machine, and others that several failures share.
func writeCauses(text *strings.Builder, j *wire.Judgement) {
	fmt.Fprintf(text, "The probability that it is faulty was %.3g before anything was seen and is %.3g now.\n",
		j.PriorFaulty, j.ProbabilityFaulty)
	fmt.Fprintf(text, "%d tasks were done there and %d failed that are remembered; ", j.Completed, len(j.Failures))
	fmt.Fprintf(text, "%.2g%% of all tasks fail by accident.\n", 100*j.BackgroundRate)
	var found, ruledOut []string
	for _, c := range summarizeCauses(j) {
		switch {
		case c.Probability > likely:
			found = append(found, fmt.Sprintf("%s %s (%d of its failures, %.3g)", c.Kind, c.Name, c.failures, c.Probability))
		case c.Kind == CauseMachine.String() || c.failures > 1:
			ruledOut = append(ruledOut, fmt.Sprintf("%s %s (%.2g)", c.Kind, c.Name, c.Probability))
		}
	}
	if len(found) == 0 {
		found = []string{"nothing that comes again, as far as can be told"}
	}
	fmt.Fprintf(text, "Its failures are put down to: %s.\n", strings.Join(found, "; "))
	if len(ruledOut) > 0 {
		fmt.Fprintf(text, "Ruled out: %s.\n", strings.Join(ruledOut, "; "))
	}
}

// writeTable writes a row for each cause of each failure.
func writeTable(w io.Writer, j *wire.Judgement) error {
	var rows strings.Builder
	fmt.Fprintln(&rows, "at\tjob\ttask\tparty\tdone\tfailed\tbefore\tnow")
	for _, f := range j.Failures {
		head := fmt.Sprintf("%s\t%s\t%d", f.At.Time().UTC().Format(time.RFC3339), f.Job, f.Task)
		for _, p := range f.Parties {
			fmt.Fprintf(&rows, "%s\t%s %s\t%d\t%d\t%.2g\t%.2g\n",
				head, p.Kind, p.Name, p.Completed, p.Failed, p.Prior, p.Probability)
			head = "\t\t"
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}
