package crashloop

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// failureWindow is how long a failure counts against a machine when quarantine is disabled.
const failureWindow = 10 * time.Minute

// EnableQuarantine turns on the detection of faulty machines by Bayesian inference, and of slow machines. It
// must be called before the tracker is used.
func (t *Tracker) EnableQuarantine(p quarantine.Priors) { t.detector = quarantine.NewDetector(p) }

// QuarantineEnabled reports whether faulty machines are detected by Bayesian inference.
func (t *Tracker) QuarantineEnabled() bool { return t.detector != nil }

// newOutcome returns the outcome of a task on a machine in a topology block, as a success of unknown duration.
func newOutcome(
	j *ledger.Job,
	task wire.TaskIndex,
	machine wire.MachineID,
	block string,
	now time.Time,
) *quarantine.Outcome {
	return &quarantine.Outcome{
		Machine: machine,
		Job:     j.ID,
		Task:    task,
		Array:   j.Spec.Shape == wire.Array && j.Spec.Tasks > 1,
		Image:   j.Spec.Image,
		Class:   j.Spec.Class,
		Block:   block,
		At:      now,
	}
}

// Faulty reports whether a machine is the likely cause of the failures of its tasks. When quarantine is
// disabled, a machine is faulty if at least minDistinctFailures jobs that aren't crash-looping failed there within
// failureWindow. Failures of jobs that have been cancelled since don't count.
func (t *Tracker) Faulty(l *ledger.Ledger, machine wire.MachineID, now time.Time) bool {
	if t.detector != nil {
		return t.detector.Diagnose(machine).Faulty
	}
	jobs := 0
	for id, failedAt := range t.failedOn[machine] {
		j := l.Job(id)
		_, crashLooping := t.CrashLooping(id)
		switch {
		case now.Sub(failedAt) > failureWindow || j == nil || j.State == ledger.Cancelled:
			delete(t.failedOn[machine], id)
		case !crashLooping:
			jobs++
		}
	}
	return jobs >= minDistinctFailures
}

// Slow reports whether tasks take longer on a machine than elsewhere; false when quarantine is disabled.
func (t *Tracker) Slow(machine wire.MachineID) bool {
	if t.detector == nil {
		return false
	}
	slow, _ := t.detector.Slow(machine)
	return slow
}

// QuarantineReason returns a one-line summary of why a machine is considered faulty; "" when quarantine is
// disabled.
func (t *Tracker) QuarantineReason(m wire.MachineID) string {
	if t.detector == nil {
		return ""
	}
	return t.detector.Summary(m)
}

// Judgements returns the assessments, with their evidence, of those given machines that have recorded failures
// or are slow, the most probably faulty first. It is empty, not nil, when quarantine is disabled.
func (t *Tracker) Judgements(machines []wire.MachineID) []wire.Judgement {
	out := []wire.Judgement{}
	if t.detector == nil {
		return out
	}
	for _, m := range machines {
		if judgement, ok := t.detector.Explain(m); ok {
			out = append(out, judgement)
		}
	}
	slices.SortFunc(out, func(a, b wire.Judgement) int {
		return cmp.Or(
			cmp.Compare(b.ProbabilityFaulty, a.ProbabilityFaulty),
			cmp.Compare(b.Slowdown, a.Slowdown),
			cmp.Compare(a.Machine, b.Machine),
		)
	})
	return out
}

// FailuresToShare returns the latest failures on machines that report to this controller, to be sent to peers;
// nil when quarantine is disabled.
func (t *Tracker) FailuresToShare(now time.Time) []peer.Failure {
	if t.detector == nil {
		return nil
	}
	return t.detector.FailuresToShare(now)
}

// MergeFailures adds failures that a peer shared. It does nothing when quarantine is disabled.
func (t *Tracker) MergeFailures(list []peer.Failure) {
	if t.detector != nil {
		t.detector.MergeFailures(list)
	}
}
