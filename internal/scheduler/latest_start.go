package scheduler

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// startUrgency describes how urgently a job must start.
type startUrgency struct {
	// latestStart is when the tasks must start for the job to meet the strictest of its objectives
	// that are still achievable, or to start within the waiting bound; zero if neither applies.
	latestStart time.Time
	// overdue reports that the job must start now to stay within the waiting bound.
	overdue bool
	// almostOverdue reports that protected claims may be preempted for the job (placement.Victim).
	almostOverdue bool
}

// startUrgency returns how urgently a job must start, as of now.
func (s *Scheduler) startUrgency(e *placement.Entry, now time.Time) startUrgency {
	j := e.Job
	latest := s.latestStartForObjectives(j, e.OverGuarantee, e.ExpectedRunTime, now)
	// A deadline that can no longer be met makes the job no more urgent.
	if date, ok := s.deadlines.LatestStart(j); ok && date.After(now) && (latest.IsZero() || date.Before(latest)) {
		latest = date
	}
	bound := s.set.Operators.MaxWait
	if bound <= 0 {
		return startUrgency{latestStart: latest}
	}
	machineType, _ := s.records().MachineType(s.firstMachineType(j))
	forBound := placement.LatestStart(j.EligibleSince().Time(), bound, j.Spec.ImageGB, machineType.FetchGBps)
	overdue := !e.CrashLooping && !now.Before(forBound)
	if overdue || latest.IsZero() || forBound.Before(latest) {
		latest = forBound
	}
	return startUrgency{
		latestStart:   latest,
		overdue:       overdue,
		almostOverdue: overdue && j.Attempt() == 0 && placement.AlmostOverdue(forBound, bound, now),
	}
}

// Objective kinds, as spelled in the settings.
const (
	objectiveWait      = "wait"      // jobs of a class start within a time
	objectiveGuarantee = "guarantee" // jobs within their team's guarantee start within a time
	objectiveFinished  = "finished"  // jobs of a class finish within a time
)

// latestStartForObjectives returns when the job's tasks must start for it to meet the strictest of
// its objectives that are still achievable, or the zero time if none is. expected is the expected
// run time of a task; as a safety margin, objectives assume 1.5 times that and deadlines 1.25
// times. Objectives count from the time the job became eligible to start. Deadlines count from its
// submission and include those of dependent jobs.
func (s *Scheduler) latestStartForObjectives(
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

// firstMachineType returns a machine type that the job may run on, or "" if there is none.
func (s *Scheduler) firstMachineType(j *ledger.Job) wire.MachineTypeName {
	if len(j.Spec.Types) > 0 {
		return j.Spec.Types[0]
	}
	for name := range s.records().MachineTypes() {
		return name
	}
	return ""
}
