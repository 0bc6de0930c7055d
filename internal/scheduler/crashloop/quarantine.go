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

// blamePeriod is how long a failure counts against a machine where no quarantine is enabled.
const blamePeriod = 10 * time.Minute

// EnableQuarantine has machines judged by the likelihood of what failed where, and slow ones found. It is
// called before the tracker is used.
func (t *Tracker) EnableQuarantine(priors quarantine.Priors) { t.judge = quarantine.NewJudge(priors) }

// QuarantineEnabled reports whether machines are judged by likelihood.
func (t *Tracker) QuarantineEnabled() bool { return t.judge != nil }

// newOutcome returns the outcome of a job's task on a machine in a block, as a success of unknown duration.
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

// Faulty reports whether a machine is to blame for the failures of its tasks. Without a quarantine it is
// when several jobs failed there lately that are not crash-looping; failures of jobs that their user has
// cancelled since don't count.
func (t *Tracker) Faulty(l *ledger.Ledger, machine wire.MachineID, now time.Time) bool {
	if t.judge != nil {
		return t.judge.Verdict(machine).Faulty
	}
	jobs := 0
	for id, failedAt := range t.failedOn[machine] {
		j := l.Job(id)
		_, crashLooping := t.CrashLooping(id)
		switch {
		case now.Sub(failedAt) > blamePeriod || j == nil || j.State == ledger.Cancelled:
			delete(t.failedOn[machine], id)
		case !crashLooping:
			jobs++
		}
	}
	return jobs >= minToBlame
}

// Slow reports whether a machine's tasks take longer than others'; false without a quarantine.
func (t *Tracker) Slow(machine wire.MachineID) bool {
	if t.judge == nil {
		return false
	}
	slow, _ := t.judge.Slow(machine)
	return slow
}

// QuarantineReason returns in a few words why a machine is judged faulty; "" without a quarantine.
func (t *Tracker) QuarantineReason(m wire.MachineID) string {
	if t.judge == nil {
		return ""
	}
	return t.judge.Digest(m)
}

// Judgements explains the machines of a list of which failures or slowness are known, those most likely
// faulty first. It is empty, not nil, without a quarantine.
func (t *Tracker) Judgements(machines []wire.MachineID) []wire.Judgement {
	out := []wire.Judgement{}
	if t.judge == nil {
		return out
	}
	for _, m := range machines {
		if judgement, ok := t.judge.Explain(m); ok {
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

// FailuresToShare returns the latest failures on machines that report here, for peers; nil without a
// quarantine.
func (t *Tracker) FailuresToShare(now time.Time) []peer.Failure {
	if t.judge == nil {
		return nil
	}
	return t.judge.FailuresToShare(now)
}

// MergeFailures adds failures that a peer has shared; it does nothing without a quarantine.
func (t *Tracker) MergeFailures(list []peer.Failure) {
	if t.judge != nil {
		t.judge.MergeFailures(list)
	}
}
