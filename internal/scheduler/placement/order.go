package placement

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// Entry is a job in policy order.
type Entry struct {
	Job           *ledger.Job
	OverGuarantee bool // beyond its team's guarantee
	Retry         time.Time
	Avoid         func(wire.MachineID) bool
	Waiting       time.Duration // how long it has been pending
	StartsPlanned *int          // tasks whose start is decided but not yet in the ledger
	BackedOff     int           // tasks that are not to be tried now
	CrashLooping  bool          // it fails wherever it runs, as far as known
	Overdue       bool          // it must be placed now to begin within the bound on waiting
	AlmostOverdue bool          // it is late, has never begun, and there is hardly time left
	AvoidSpot     bool          // it is not to run on spot machines now, though it may
	Plain         bool          // it needs no accelerator, and may run on machines without any

	// Ahead is what late gangs of its team that come before it are kept of the team's limit.
	Ahead ledger.Resources
	keeps bool // it is counted in Ahead of others

	Expected    time.Duration // how long a task is expected to run
	LatestStart time.Time     // when tasks must start for the job to meet its aims
}

// pending is how many tasks there are to place.
func (e *Entry) pending() int {
	n := e.Job.Pending() - e.BackedOff
	taken := 0
	if e.StartsPlanned != nil {
		taken = *e.StartsPlanned
	}
	if e.CrashLooping && e.Job.Spec.Shape != wire.Gang {
		// One task is enough to find out whether it still fails.
		n = min(n, 1-e.Job.Claimed)
	}
	return max(0, n-taken)
}

// Order sorts entries by the job policy: priority, work within a guarantee before work beyond
// one, then the time by which it must start to meet an aim that it can still meet, then the
// fewest tasks that must start together, as the same room serves more such jobs, then arrival
// (policy.Builtin). Of a priority and standing, what is late comes first (late.go).
func Order(entries []Entry) { OrderBy(entries, time.Time{}, policy.Builtin) }

// OrderBy sorts entries as a policy says, which gets them in one pass and answers with an
// order that keeps to the groups.
func OrderBy(entries []Entry, now time.Time, decide func(*policy.Pass) []uint32) {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.group(), b.group()), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	in := slices.Clone(entries)
	for i, n := range decide(passOf(in, now)) {
		entries[i] = in[n]
	}
}

// JobOf is what a policy sees of a job's description.
func JobOf(s *wire.JobSpec, need ledger.Resources, accepted wire.UnixMillis) policy.Job {
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
			j.Flags |= 1 << bit // in the order of the flags' declaration, the first is not the job's own
		}
	}
	return j
}

// group is what no policy may change: priority, standing towards a guarantee, that of these a
// late job comes first, and that a job that is believed to fail wherever it runs comes after all
// others, as it must not cost them a machine. Placement takes jobs group by group.
func (e *Entry) group() uint32 {
	g := e.standing() << 1
	if !e.Overdue {
		g++
	}
	if e.CrashLooping {
		g += 32
	}
	return g
}

// standing is the priority, and whether the job is beyond its team's guarantee.
func (e *Entry) standing() uint32 {
	g := uint32(e.Job.Spec.Priority.Rank()+1) << 1 // 0: none that is known
	if e.OverGuarantee {
		g++
	}
	return g
}

// passOf is what a policy sees of entries, which are in the order of groups and ids.
func passOf(entries []Entry, now time.Time) *policy.Pass {
	p := &policy.Pass{Now: now.UnixMilli(), Jobs: make([]policy.Job, len(entries))}
	var names policy.Namer
	for i := range entries {
		e := &entries[i]
		s := e.Job.Spec
		j := JobOf(s, e.Job.Need, e.Job.Accepted)
		j.Group, j.StartBy, j.Waiting, j.Expected = e.group(), policy.Never, e.Waiting.Milliseconds(), e.Expected.Milliseconds()
		j.Pending, j.Together, j.Running = uint32(e.pending()), uint32(max(0, e.Job.GangSize())), uint32(e.Job.Claimed)
		j.Team, j.Class, j.Image = names.Number(
			string(s.Team),
		), names.Number(
			string(s.Class),
		), names.Number(
			string(s.Image),
		)
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

// class compares the groups of two entries.
func (e *Entry) class(o *Entry) int { return cmp.Compare(e.group(), o.group()) }
