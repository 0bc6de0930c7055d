package scheduler

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// startBy is when the job's tasks must start for it to meet the strictest of its aims that can
// still be met, or to begin within the bound on waiting; whether that bound leaves no more time;
// and whether what is else left alone may be stopped for it. It is the zero time if none can be
// met and nothing bounds waiting.
func (s *Scheduler) startBy(e *placement.Entry, now time.Time) (by time.Time, late, pressed bool) {
	j := e.Job
	by = s.aimBy(j, e.OverGuarantee, e.Expected, now)
	if date, ok := s.deadlines.LatestStart(j); ok && date.After(now) && (by.IsZero() || date.Before(by)) {
		by = date // one that can't be kept any more presses no longer
	}
	bound := s.set.Operators.WaitBound
	if bound <= 0 {
		return by, false, false
	}
	f, _ := s.led().MachineType(s.firstType(j))
	latest := placement.LatestStart(j.Accepted.Time(), bound, j.Spec.ImageGB, f.FetchGBps)
	if late = !e.CrashLooping && !now.Before(latest); late || by.IsZero() || latest.Before(by) {
		by = latest
	}
	return by, late, late && j.Attempt() == 0 && placement.AlmostOverdue(latest, bound, now)
}

// aimBy is when the job's tasks must start for it to meet the strictest of its aims that can
// still be met; the zero time when none can.
func (s *Scheduler) aimBy(j *ledger.Job, beyond bool, expected time.Duration, now time.Time) time.Time {
	accepted := j.Accepted.Time()
	var best time.Time
	consider := func(t time.Time) {
		if t.After(now) && (best.IsZero() || t.Before(best)) {
			best = t
		}
	}
	for _, o := range s.set.Cluster.Objectives {
		if o.Class != "" && o.Class != j.Spec.Class {
			continue
		}
		within := o.Within.Duration()
		switch o.Kind {
		case "wait":
			consider(accepted.Add(within))
		case "guarantee":
			if !beyond {
				consider(accepted.Add(within))
			}
		case "finished":
			consider(accepted.Add(within - expected*3/2))
		}
	}
	if j.Spec.Deadline != nil {
		consider(accepted.Add(j.Spec.Deadline.Duration() - expected*5/4))
	}
	return best
}

// ExpectedReleases is what the claims on a machine take, and until when.
func (s *Scheduler) ExpectedReleases(id wire.MachineID, now time.Time) []placement.ExpectedRelease {
	var out []placement.ExpectedRelease
	for _, h := range s.led().ClaimsOn(id) {
		out = append(
			out,
			placement.ExpectedRelease{Until: s.runTimes.Until(h, now), Room: ledger.Resources{}.Add(h.Job.Need, h.Count)},
		)
	}
	return out
}
