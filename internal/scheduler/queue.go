package scheduler

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// queue returns the jobs with pending tasks in policy order. It also discards cached state of jobs,
// claims and machines that no longer exist.
func (s *Scheduler) queue(now time.Time) []placement.Entry {
	entries := s.pendingJobs(now)
	s.prune(now)
	s.deadlines.UpdateRemainingWork(now)
	s.markOverGuarantee(entries)
	for i := range entries {
		e := &entries[i]
		e.ExpectedRunTime = s.runTimes.ExpectedRunTime(e.Job)
		start := s.startUrgency(e, now)
		e.LatestStart, e.Overdue, e.AlmostOverdue = start.latestStart, start.overdue, start.almostOverdue
		e.NeedsNoAccelerator = !e.Overdue && placement.RunsWithoutAccelerator(e.Job, s.records().MachineTypes())
	}
	placement.OrderBy(entries, now, s.policies.OrderFunc(s.records(), now))
	return entries
}

// pendingJobs returns an entry for each active job with pending tasks.
func (s *Scheduler) pendingJobs(now time.Time) []placement.Entry {
	var entries []placement.Entry
	s.records().EachActive(func(j *ledger.Job) {
		state := s.job(j.ID)
		retry := s.failures.RetryState(j, now)
		if j.Pending() == 0 {
			state.pendingSince = time.Time{}
			return
		}
		if state.pendingSince.IsZero() {
			state.pendingSince = now
		}
		entries = append(entries, placement.Entry{
			Job:           j,
			RetryAt:       retry.NotBefore,
			Waiting:       now.Sub(state.pendingSince),
			StartsPlanned: &state.startsPlanned,
			BackedOff:     retry.BackedOffTasks,
			Avoid:         retry.Avoid,
			CrashLooping:  retry.CrashLooping,
		})
	})
	return entries
}

// prune discards cached state of ended jobs and claims and of removed machines.
func (s *Scheduler) prune(now time.Time) {
	for id := range s.jobs {
		if j := s.records().Job(id); j == nil || j.State != ledger.Active {
			delete(s.jobs, id)
		}
	}
	s.failures.Prune(s.records(), now)
	s.runTimes.Prune(s.records())
	for _, id := range s.registry.RemoveInactive(s.records(), now) {
		s.failures.ForgetMachine(id)
	}
}

// markOverGuarantee marks the jobs that exceed their team's guarantee when added to the team's
// claims and to its jobs earlier in the queue.
func (s *Scheduler) markOverGuarantee(entries []placement.Entry) {
	sum := map[wire.Team]ledger.Resources{}
	s.records().EachActive(func(j *ledger.Job) {
		sum[j.Spec.Team] = sum[j.Spec.Team].Add(j.Need, j.Claimed)
	})
	placement.Order(entries)
	for i := range entries {
		e := &entries[i]
		t := s.set.FindTeam(e.Job.Spec.Team)
		if t == nil {
			continue
		}
		used := sum[t.Name].Add(e.Job.Need, e.Job.Pending())
		if e.OverGuarantee = OverGuarantee(t, used); !e.OverGuarantee {
			sum[t.Name] = used
		}
	}
}

// OverGuarantee reports whether a team's resource usage exceeds its guarantee.
func OverGuarantee(t *settings.Team, used ledger.Resources) bool {
	limit := ledger.NewResources(t.CPUs, t.GPUs, 0)
	return t.CPUs == 0 && t.GPUs == 0 || t.CPUs > 0 && used.CPU > limit.CPU || t.GPUs > 0 && used.GPU > limit.GPU
}
