package placement

import (
	"cmp"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Entry is a waiting job in the queue.
type Entry struct {
	Job           *ledger.Job
	OverGuarantee bool                      // the job exceeds its team's guarantee
	Retry         time.Time                 // no task starts before, after failures
	Avoid         func(wire.MachineID) bool // machines that the job has failed on; nil: none
	Waiting       time.Duration             // how long it has been pending
	StartsPlanned *int                      // tasks whose start is decided but not yet recorded; nil: 0
	BackedOff     int                       // pending tasks that are not to be tried now
	CrashLooping  bool                      // it fails wherever it runs, as far as is known
	Overdue       bool                      // it must start now to begin within the bound on waiting
	AlmostOverdue bool                      // it is overdue, has never begun and has hardly any time left
	AvoidSpot     bool                      // it is not to run on spot machines now, though it may
	Plain         bool                      // it needs no accelerator and may run on machines without any

	// Ahead is the part of the team's limit that is reserved for overdue gangs of the team that
	// come before the job (ReserveTeamLimits).
	Ahead         ledger.Resources
	reservesLimit bool // the job is counted in Ahead of those after it

	Expected    time.Duration // how long a task is expected to run
	LatestStart time.Time     // the latest start that meets the job's objectives; zero: none
}

// pending returns how many tasks there are to place.
func (e *Entry) pending() int {
	n := e.Job.Pending() - e.BackedOff
	planned := 0
	if e.StartsPlanned != nil {
		planned = *e.StartsPlanned
	}
	if e.CrashLooping && e.Job.Spec.Shape != wire.Gang {
		// One task is enough to find out whether it still fails.
		n = min(n, 1-e.Job.Claimed)
	}
	return max(0, n-planned)
}

// crashLoopingGroup is added to the group of crash-looping jobs, so that they come after all others
// and cost them no machine.
const crashLoopingGroup = 32

// group returns the part of the order that no policy may change: priority, standing towards the
// team's guarantee, overdue jobs first, crash-looping jobs last. Placement serves the queue group
// by group.
func (e *Entry) group() uint32 {
	g := e.standing() << 1
	if !e.Overdue {
		g++
	}
	if e.CrashLooping {
		g += crashLoopingGroup
	}
	return g
}

// standing returns the priority and whether the job exceeds its team's guarantee, as a number: the
// lower goes first.
func (e *Entry) standing() uint32 {
	g := uint32(e.Job.Priority().Rank()+1) << 1 // 0: no known priority
	if e.OverGuarantee {
		g++
	}
	return g
}

// compareGroup compares the groups of two entries.
func (e *Entry) compareGroup(o *Entry) int { return cmp.Compare(e.group(), o.group()) }
