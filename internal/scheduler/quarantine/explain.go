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

func (p SuspectedCause) name() string {
	if p.Kind == OfTask {
		return fmt.Sprintf("%d of %s", p.Task, p.Name)
	}
	return p.Name
}

// Explain tells what is believed of a machine and why; false if there is nothing to tell: no task
// failed there that is remembered, and it isn't slow.
func (j *Judge) Explain(m wire.MachineID) (wire.Judgement, bool) {
	j.settle()
	p := SuspectedCause{Kind: OfMachine, Name: string(m)}
	out := wire.Judgement{
		Machine:           m,
		PriorFaulty:       j.odds.Faulty,
		ProbabilityFaulty: j.odds.Faulty,
		Slowdown:          1,
		Completed:         int(j.done[p]),
		BackgroundRate:    j.accident,
	}
	out.Slow, out.Slowdown = j.Slow(m)
	b := j.belief[p]
	if b == nil {
		return out, out.Slow
	}
	out.Faulty, out.ProbabilityFaulty, out.FailureRate = j.Faulty(m)
	for _, f := range b.fail {
		x := wire.JudgedFailure{At: wire.UnixMillis(f.At.UnixMilli()), Job: f.Job, Task: f.Task}
		for _, o := range f.of[:f.n] {
			x.Parties = append(
				x.Parties,
				wire.JudgedParty{Kind: o.Kind.String(), Name: o.name(), Prior: j.prior(o.Kind), Probability: o.sure,
					Completed: int(j.done[o.SuspectedCause]), Failed: len(o.fail)},
			)
		}
		out.Failures = append(out.Failures, x)
	}
	return out, true
}

// mostDigest bounds a digest, in bytes: it goes into a machine's mark, beside little else.
const mostDigest = 200

// Digest is why a machine is judged as it is in a few words, to be kept with its mark.
func (j *Judge) Digest(m wire.MachineID) string {
	x, ok := j.Explain(m)
	if !ok {
		return ""
	}
	text := fmt.Sprintf(
		"fails %.0f%% of its tasks, probability %.4g; %d failed and %d done:",
		100*x.FailureRate,
		x.ProbabilityFaulty,
		len(x.Failures),
		x.Completed,
	)
	var seen []wire.JobID
	for _, f := range x.Failures {
		if slices.Contains(seen, f.Job) {
			continue
		}
		if len(text)+len(f.Job)+len(" and others") > mostDigest {
			return text + " and others"
		}
		seen = append(seen, f.Job)
		text += " " + string(f.Job)
	}
	return text
}

// likely is how sure it must be of a cause that a sentence names it.
const likely = 0.5

// Write explains a judgement in sentences and a table.
func Write(w io.Writer, j *wire.Judgement) {
	switch {
	case j.Faulty:
		fmt.Fprintf(w, "%s is judged faulty: it fails about %.0f%% of its tasks.\n", j.Machine, 100*j.FailureRate)
	case j.ProbabilityFaulty > likely:
		fmt.Fprintf(w, "%s is watched: it may be faulty, which has not stood for long enough.\n", j.Machine)
	case len(j.Failures) > 0:
		fmt.Fprintf(w, "%s is not held to be faulty.\n", j.Machine)
	}
	if j.Slow {
		fmt.Fprintf(
			w,
			"%s is slow: its tasks take %.1f times as long as their mates and their class elsewhere.\n",
			j.Machine,
			j.Slowdown,
		)
	}
	if len(j.Failures) == 0 {
		return
	}
	fmt.Fprintf(
		w,
		"The probability that it is faulty was %.3g before anything was seen and is %.3g now.\n",
		j.PriorFaulty,
		j.ProbabilityFaulty,
	)
	fmt.Fprintf(
		w,
		"%d tasks were done there and %d failed that are remembered; %.2g%% of all tasks fail by accident.\n",
		j.Completed,
		len(j.Failures),
		100*j.BackgroundRate,
	)
	type blamed struct {
		wire.JudgedParty
		failures int
	}
	var list []blamed
	for _, f := range j.Failures {
		for _, p := range f.Parties {
			at := slices.IndexFunc(list, func(b blamed) bool { return b.Kind == p.Kind && b.Name == p.Name })
			if at < 0 {
				at = len(list)
				list = append(list, blamed{JudgedParty: p})
			}
			list[at].failures++
		}
	}
	slices.SortStableFunc(list, func(a, b blamed) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(b.failures, a.failures))
	})
	var guilty, out []string
	for _, b := range list {
		text := fmt.Sprintf("%s %s", b.Kind, b.Name)
		if b.Probability > likely {
			guilty = append(guilty, fmt.Sprintf("%s (%d of its failures, %.3g)", text, b.failures, b.Probability))
		} else if b.Kind != "machine" && b.failures > 1 || b.Kind == "machine" {
			out = append(out, fmt.Sprintf("%s (%.2g)", text, b.Probability))
		}
	}
	if len(guilty) == 0 {
		guilty = []string{"nothing that comes again, as far as can be told"}
	}
	fmt.Fprintf(w, "Its failures are put down to: %s.\n", strings.Join(guilty, "; "))
	if len(out) > 0 {
		fmt.Fprintf(w, "Ruled out: %s.\n", strings.Join(out, "; "))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "at\tjob\ttask\tparty\tdone\tfailed\tbefore\tnow")
	for _, f := range j.Failures {
		head := fmt.Sprintf("%s\t%s\t%d", f.At.Time().UTC().Format(time.RFC3339), f.Job, f.Task)
		for _, p := range f.Parties {
			fmt.Fprintf(t, "%s\t%s %s\t%d\t%d\t%.2g\t%.2g\n", head, p.Kind, p.Name, p.Completed, p.Failed, p.Prior, p.Probability)
			head = "\t\t"
		}
	}
	t.Flush()
}
