package placement

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// Order sorts entries by the built-in job policy (policy.Builtin): by priority, then jobs within
// their team's guarantee before jobs over it, then overdue jobs first, then the latest start for an
// objective that is still achievable, then the fewest tasks that must start together, because the
// same capacity serves more such jobs, then the time of submission. Crash-looping jobs come after
// all others.
func Order(entries []Entry) { OrderBy(entries, time.Time{}, policy.Builtin) }

// OrderBy sorts entries by a policy. decide receives all entries, sorted by group and ID, and
// returns their indexes in the policy's order, which must not mix groups.
func OrderBy(entries []Entry, now time.Time, decide func(*policy.Pass) []uint32) {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.group(), b.group()), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	in := slices.Clone(entries)
	for i, n := range decide(policyPass(in, now)) {
		entries[i] = in[n]
	}
}

// PolicyJob converts a job's description to policy input.
func PolicyJob(s *wire.JobSpec, need ledger.Resources, accepted wire.UnixMillis) policy.Job {
	j := policy.Job{
		Due:      policy.Never,
		Accepted: int64(accepted),
		Tasks:    uint32(s.Tasks),
		Pending:  uint32(s.Tasks),
		Together: 1,
		CPU:      need.CPU,
		GPU:      need.GPU,
		Memory:   need.Memory,
	}
	if s.Shape == wire.Gang {
		j.Together = uint32(s.Tasks)
	}
	if s.Deadline != nil {
		j.Due = s.Deadline.Duration().Milliseconds()
	}
	for bit, set := range [...]bool{false, s.Shape == wire.Gang, s.Shape == wire.Service, s.Spot, s.OneZone, s.Spread} {
		if set {
			j.Flags |= 1 << bit // in the order of the policy flags; the first is not a property of the job
		}
	}
	return j
}

// policyPass converts entries, sorted by group and ID, to policy input.
func policyPass(entries []Entry, now time.Time) *policy.Pass {
	p := &policy.Pass{Now: now.UnixMilli(), Jobs: make([]policy.Job, len(entries))}
	var names policy.Namer
	for i := range entries {
		e := &entries[i]
		s := e.Job.Spec
		j := PolicyJob(s, e.Job.Need, e.Job.EligibleSince())
		j.Group = e.group()
		j.Waiting, j.Expected = e.Waiting.Milliseconds(), e.ExpectedRunTime.Milliseconds()
		j.Pending, j.Running = uint32(e.pending()), uint32(e.Job.Claimed)
		j.Together = uint32(max(0, e.Job.GangSize()))
		j.Team = names.Number(string(s.Team)) // numbers are assigned in the order of these calls
		j.Class = names.Number(string(s.Class))
		j.Image = names.Number(string(s.Image))
		j.StartBy = policy.Never
		if !e.LatestStart.IsZero() {
			j.StartBy = e.LatestStart.UnixMilli()
		}
		if e.OverGuarantee {
			j.Flags |= policy.Beyond
		}
		p.Jobs[i] = j
	}
	p.Names = names.Names
	return p
}

// onDemandFirst returns the queue in the order used for on-demand machines: within a group, jobs
// that may not run on spot machines go first.
func onDemandFirst(queue []Entry) []Entry {
	out := slices.Clone(queue)
	spot := func(e *Entry) int {
		if e.Job.Spec.Spot {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b Entry) int {
		return cmp.Or(a.compareGroup(&b), cmp.Compare(spot(&a), spot(&b)))
	})
	return out
}
