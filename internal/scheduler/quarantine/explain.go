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

// displayName returns the name of a cause as shown to users.
func (c SuspectedCause) displayName() string {
	if c.Kind == CauseTask {
		return fmt.Sprintf("%d of %s", c.Task, c.Name)
	}
	return c.Name
}

// Explain returns the assessment of a machine with its evidence: the failures there and their possible causes. It
// returns false if there is nothing to explain: no failure there is retained and the machine isn't slow.
func (d *Detector) Explain(m wire.MachineID) (wire.Judgement, bool) {
	d.runInference()
	machine := machineCause(m)
	out := wire.Judgement{
		Machine:           m,
		PriorFaulty:       d.priors.FaultyFraction,
		ProbabilityFaulty: d.priors.FaultyFraction,
		Completed:         int(d.completed[machine]),
		BackgroundRate:    d.backgroundRate,
	}
	out.Slow, out.Slowdown = d.Slow(m)
	b := d.beliefs[machine]
	if b == nil {
		return out, out.Slow
	}
	diagnosis := d.Diagnose(m)
	out.Faulty, out.ProbabilityFaulty, out.FailureRate = diagnosis.Faulty, diagnosis.Probability, diagnosis.FailureRate
	for _, f := range b.failures {
		out.Failures = append(out.Failures, d.explainFailure(f))
	}
	return out, true
}

// explainFailure returns a failure with the current beliefs about its possible causes.
func (d *Detector) explainFailure(f *failure) wire.JudgedFailure {
	out := wire.JudgedFailure{At: wire.UnixMillis(f.At.UnixMilli()), Job: f.Job, Task: f.Task}
	for _, b := range f.beliefs() {
		out.Parties = append(out.Parties, wire.JudgedParty{
			Kind:        b.Kind.String(),
			Name:        b.displayName(),
			Prior:       d.prior(b.Kind),
			Probability: b.probability,
			Completed:   int(d.completed[b.SuspectedCause]),
			Failed:      len(b.failures),
		})
	}
	return out
}

const (
	// maxSummaryBytes limits the length of a summary, which is stored in the small record of a machine's phase.
	maxSummaryBytes = 200
	// summaryEllipsis ends a summary that doesn't list all jobs.
	summaryEllipsis = " and others"
)

// Summary returns a one-line version of Explain for the record of the machine's phase; "" if there is nothing to
// explain.
func (d *Detector) Summary(m wire.MachineID) string {
	judgement, ok := d.Explain(m)
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
		if len(text)+len(f.Job)+len(summaryEllipsis) > maxSummaryBytes {
			return text + summaryEllipsis
		}
		named = append(named, f.Job)
		text += " " + string(f.Job)
	}
	return text
}

// WriteJudgement writes a judgement as text, with a table of the evidence. It returns the errors of w.
func WriteJudgement(w io.Writer, j *wire.Judgement) error {
	var text strings.Builder
	writeDiagnosis(&text, j)
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

// writeDiagnosis writes whether the machine is considered faulty, and whether it is slow.
func writeDiagnosis(text *strings.Builder, j *wire.Judgement) {
	switch {
	case j.Faulty:
		fmt.Fprintf(text, "%s is considered faulty: it fails about %.0f%% of its tasks.\n", j.Machine, 100*j.FailureRate)
	case j.ProbabilityFaulty > likelyThreshold:
		fmt.Fprintf(text, "%s is suspected: it is probably faulty, but this is not confirmed yet.\n", j.Machine)
	case len(j.Failures) > 0:
		fmt.Fprintf(text, "%s is not considered faulty.\n", j.Machine)
	}
	if j.Slow {
		fmt.Fprintf(text, "%s is slow: its tasks take %.1f times as long as tasks of the same job or class elsewhere.\n",
			j.Machine, j.Slowdown)
	}
}

// causeSummary is a possible cause of a machine's failures, with the number of failures that it may explain.
type causeSummary struct {
	wire.JudgedParty
	failures int
}

// summarizeCauses returns the possible causes of a machine's failures, the most probable first.
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

// writeCauses writes the probabilities, the causes to which the failures are attributed, and the causes that are
// ruled out: the machine, and other causes that several failures have in common.
func writeCauses(text *strings.Builder, j *wire.Judgement) {
	fmt.Fprintf(text, "The probability that it is faulty was %.3g before the evidence (prior) and is %.3g now.\n",
		j.PriorFaulty, j.ProbabilityFaulty)
	fmt.Fprintf(text, "%d tasks completed there and %d failures there are retained; ", j.Completed, len(j.Failures))
	fmt.Fprintf(text, "%.2g%% of all tasks fail without an identifiable cause.\n", 100*j.BackgroundRate)
	var likely, ruledOut []string
	for _, c := range summarizeCauses(j) {
		switch {
		case c.Probability > likelyThreshold:
			likely = append(likely, fmt.Sprintf("%s %s (%d of its failures, %.3g)", c.Kind, c.Name, c.failures, c.Probability))
		case c.Kind == CauseMachine.String() || c.failures > 1:
			ruledOut = append(ruledOut, fmt.Sprintf("%s %s (%.2g)", c.Kind, c.Name, c.Probability))
		}
	}
	if len(likely) == 0 {
		likely = []string{"no recurring cause, as far as known"}
	}
	fmt.Fprintf(text, "Its failures are attributed to: %s.\n", strings.Join(likely, "; "))
	if len(ruledOut) > 0 {
		fmt.Fprintf(text, "Ruled out: %s.\n", strings.Join(ruledOut, "; "))
	}
}

// writeTable writes a row for each possible cause of each failure.
func writeTable(w io.Writer, j *wire.Judgement) error {
	var rows strings.Builder
	fmt.Fprintln(&rows, "time\tjob\ttask\tcause\tcompleted\tfailed\tprior\tposterior")
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
