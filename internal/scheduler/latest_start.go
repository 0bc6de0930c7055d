package scheduler

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// startBounds say how urgent a job's start is.
type startBounds struct {
	// latest is when the tasks must start for the job to meet the strictest of its objectives that
	// can still be met, or to begin within the bound on waiting; zero: neither applies.
	latest time.Time
	// overdue says that the bound on waiting leaves no more time.
	overdue bool
	// almostOverdue says that promised claims may be preempted for the job (placement.Victim).
	almostOverdue bool
}

// startBounds returns how urgent a job's start is at now.
func (s *Scheduler) startBounds(e *placement.Entry, now time.Time) startBounds {
	j := e.Job
	latest := s.latestForObjectives(j, e.OverGuarantee, e.Expected, now)
	// A date that can't be kept any more makes nothing urgent.
	if date, ok := s.deadlines.LatestStart(j); ok && date.After(now) && (latest.IsZero() || date.Before(latest)) {
		latest = date
	}
	bound := s.set.Operators.WaitBound
	if bound <= 0 {
		return startBounds{latest: latest}
	}
	machineType, _ := s.records().MachineType(s.firstType(j))
	forBound := placement.LatestStart(j.EligibleSince().Time(), bound, j.Spec.ImageGB, machineType.FetchGBps)
	overdue := !e.CrashLooping && !now.Before(forBound)
	if overdue || latest.IsZero() || forBound.Before(latest) {
		latest = forBound
	}
	return startBounds{
		latest:        latest,
		overdue:       overdue,
		almostOverdue: overdue && j.Attempt() == 0 && placement.AlmostOverdue(forBound, bound, now),
	}
}

// The kinds of objectives, as the settings name them.
const (
	objectiveWait      = "wait"      // jobs of a class start in time
	objectiveGuarantee = "guarantee" // jobs within their team's guarantee start in time
	objectiveFinished  = "finished"  // jobs of a class end in time
)

// latestForObjectives returns when the job's tasks must start for it to meet the strictest of its
// objectives that can still be met; the zero time if none can. expected is how long a task runs; as
// a margin it is taken half longer for an objective, and a quarter longer for a deadline. Objectives count from
// when the job could first start, deadlines from its submission, also those of the jobs that need it.
func (s *Scheduler) latestForObjectives(
	j *ledger.Job,
	overGuarantee bool,
	expected time.Duration,
	now time.Time,
) time.Time {
	eligible := j.EligibleSince().Time()
	var earliest time.Time
	consider := func(t time.Time) {
		if t.After(now) && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	for _, o := range s.set.Cluster.Objectives {
		if o.Class != "" && o.Class != j.Spec.Class {
			continue
		}
		within := o.Within.Duration()
		switch o.Kind {
		case objectiveWait:
			consider(eligible.Add(within))
		case objectiveGuarantee:
			if !overGuarantee {
				consider(eligible.Add(within))
			}
		case objectiveFinished:
			consider(eligible.Add(within - expected*3/2))
		}
	}
	if due := j.DueBy(); !due.IsZero() {
		consider(due.Add(-expected * 5 / 4))
	}
	return earliest
}

// firstType returns a machine type that the job may run on; "" if there is none.
func (s *Scheduler) firstType(j *ledger.Job) wire.MachineTypeName {
	if len(j.Spec.Types) > 0 {
		return j.Spec.Types[0]
	}
	for name := range s.records().MachineTypes() {
		return name
	}
	return ""
}
