package placement

import (
	"cmp"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Entry is a job with pending tasks in the queue.
type Entry struct {
	Job                *ledger.Job
	OverGuarantee      bool                      // the job exceeds its team's guarantee
	RetryAt            time.Time                 // no task starts earlier, because of previous failures
	Avoid              func(wire.MachineID) bool // machines on which the job has failed; nil: none
	Waiting            time.Duration             // how long tasks have been pending
	StartsPlanned      *int                      // tasks decided to start but not yet recorded; nil: 0
	BackedOff          int                       // pending tasks that are currently in back-off
	CrashLooping       bool                      // the job fails on every machine, as far as is known
	Overdue            bool                      // the job must start now to start within the waiting bound
	AlmostOverdue      bool                      // the job is overdue, was never started and has little time left
	AvoidSpot          bool                      // the job allows spot machines but should not use them now
	NeedsNoAccelerator bool                      // the job needs no accelerator and may run on machines without any

	// ReservedQuota is the part of the team's quota that is reserved for the team's overdue gangs earlier
	// in the queue (ReserveTeamQuota).
	ReservedQuota ledger.Resources
	reservesQuota bool // the job is included in ReservedQuota of the entries after it

	ExpectedRunTime time.Duration // expected run time of a task
	LatestStart     time.Time     // the latest start that meets the job's objectives; zero: none
}

// pending returns the number of tasks to place.
func (e *Entry) pending() int {
	n := e.Job.Pending() - e.BackedOff
	planned := 0
	if e.StartsPlanned != nil {
		planned = *e.StartsPlanned
	}
	if e.CrashLooping && e.Job.Spec.Shape != wire.Gang {
		// A single task shows whether the job still fails.
		n = min(n, 1-e.Job.Claimed)
	}
	return max(0, n-planned)
}

// crashLoopingGroup is added to the group of crash-looping jobs, so that they come after all others
// and take no machine from them.
const crashLoopingGroup = 32

// group returns the part of the queue order that policies cannot change: priority, jobs within
// their guarantee before jobs over it, overdue jobs first, crash-looping jobs last. Placement
// serves the queue group by group.
func (e *Entry) group() uint32 {
	g := e.precedence() << 1
	if !e.Overdue {
		g++
	}
	if e.CrashLooping {
		g += crashLoopingGroup
	}
	return g
}

// precedence combines the priority and whether the job exceeds its team's guarantee into one
// number; lower values go first.
func (e *Entry) precedence() uint32 {
	g := uint32(e.Job.Priority().Rank()+1) << 1 // 0: unknown priority
	if e.OverGuarantee {
		g++
	}
	return g
}

// compareGroup compares the groups of two entries.
func (e *Entry) compareGroup(o *Entry) int { return cmp.Compare(e.group(), o.group()) }
