package scheduler

import (
	"context"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// room is a machine that is being emptied for tasks of a job.
type room struct {
	job   wire.JobID
	tasks int
	until time.Time
}

// makeRoomFor is how long a machine is kept for the job it was emptied for.
const makeRoomFor = 20 * time.Second

// Preempt stops lower work on this controller's machines for higher work that
// no machine has room for.
func (s *Scheduler) Preempt(ctx context.Context) error {
	for s.set.Operators.Preempt && ctx.Err() == nil {
		wait.For(ctx, time.Second)
		s.cache.Lock()
		if now := time.Now(); s.cache.SyncedWithin(now, settings.StartContact) {
			s.makeRoom(now)
		}
		s.cache.Unlock()
	}
	return ctx.Err()
}

func (s *Scheduler) makeRoom(now time.Time) {
	v := s.Snapshot(now)
	for _, x := range placement.Evict(v) {
		if w := s.registry.Worker(x.Machine.ID); x.Machine.Owned && w != nil {
			s.making[w.ID] = room{x.Entry.Job.ID, 1, now.Add(makeRoomFor)}
			s.stopAll(w, x.Victims, x.Entry.Job.ID)
		}
	}
}

// stopAll has a worker told to stop what is in the way of a job.
func (s *Scheduler) stopAll(w *reconcile.Worker, victims []placement.Victim, job wire.JobID) {
	for _, victim := range victims {
		h := victim.Held
		w.Stop(h)
		s.log.Info("tasks preempted",
			"job", h.Job.ID, "task", h.First, "tasks", h.Count, "attempt", h.Attempt, "machine", w.ID, "for", job)
		s.stats.Add("preemptions_total", 1)
	}
}

// A gang of several tasks needs room on many machines at once, which different
// controllers hold. The fleet's leader, who places it, chooses them and tells the
// holders with its status; each stops what is in the way on its own machines and keeps
// the room for the gang. Where that message does not arrive, nothing is stopped.

// PlanPreemptionForGangs chooses machines to be emptied for gangs that no room is found for.
func (s *Scheduler) PlanPreemptionForGangs(now time.Time) {
	if !s.set.Operators.Preempt {
		return
	}
	v := s.Snapshot(now)
	for _, x := range placement.PlanPreemption(v) {
		r := room{x.Job, x.Tasks, now.Add(makeRoomFor)}
		s.making[x.Machine.ID], s.asking[x.Machine.ID] = r, r
		v.HeadReservations[x.Machine.ID] = x.Job
		if w := s.registry.Worker(x.Machine.ID); w != nil && x.Machine.Owned {
			s.clearFor(w, x.Job, x.Tasks, now)
		}
	}
}

// PreemptionReservations lists the machines that holders are to empty.
func (s *Scheduler) PreemptionReservations(now time.Time) []peer.Reservation {
	var out []peer.Reservation
	for id, r := range s.asking {
		if now.After(r.until) {
			delete(s.asking, id)
			continue
		}
		out = append(
			out,
			peer.Reservation{Machine: id, Job: r.job, Tasks: r.tasks, RemainingMS: r.until.Sub(now).Milliseconds()},
		)
	}
	return out
}

// ObservePreemptionReservations does what the fleet's leader asks for on machines held here, once. now is
// when it was asked for, so that a late answer asks for nothing.
func (s *Scheduler) ObservePreemptionReservations(from wire.MemberID, list []peer.Reservation, asked, now time.Time) {
	leads, _ := s.led().Leader()
	if leads.Member != from || !s.set.Operators.Preempt || now.Sub(s.cache.SyncedAt()) > settings.StartContact {
		return
	}
	for _, x := range list {
		until := asked.Add(time.Duration(x.RemainingMS) * time.Millisecond)
		w := s.registry.Worker(x.Machine)
		if r, known := s.making[x.Machine]; w == nil || now.After(until) || known && r.job == x.Job {
			continue
		}
		if j := s.led().Job(x.Job); j != nil && j.Pending() > 0 {
			s.making[x.Machine] = room{x.Job, x.Tasks, until}
			if s.seen != nil {
				s.seen.HeadReservations[x.Machine] = x.Job
			}
			s.clearFor(w, x.Job, x.Tasks, now)
		}
	}
}

// clearFor stops what is in the way of tasks of a job on a machine held here. It goes
// by this controller's own ledger, and by the rules of preemption.
func (s *Scheduler) clearFor(w *reconcile.Worker, job wire.JobID, tasks int, now time.Time) {
	v := s.Snapshot(now)
	m := v.Machine(w.ID)
	at := slices.IndexFunc(v.Queue, func(e placement.Entry) bool { return e.Job.ID == job })
	if m == nil || at < 0 {
		return
	}
	victims, _ := placement.SelectVictims(&v.Queue[at], m.Free, tasks, s.victims(m, now))
	s.stopAll(w, victims, job)
}

// victims lists what may be stopped on a machine, from the ledger alone, so that
// every controller sees the same.
func (s *Scheduler) victims(m *placement.Machine, now time.Time) []placement.Victim {
	var out []placement.Victim
	for _, h := range s.led().ClaimsOn(m.ID) {
		spec := h.Job.Spec
		if spec.Shape == wire.Gang && spec.Tasks > 1 || h.Job.State != ledger.Active {
			continue
		}
		t := s.set.FindTeam(spec.Team)
		used := s.led().Used(spec.Team)
		out = append(
			out,
			placement.Victim{
				Held:     h,
				Promised: !s.canWait(h.Job, now),
				Saves:    spec.Checkpoint > 0,
				Ran:      now.Sub(s.runTimes.ClaimedSince(h, now)),
				Beyond:   t == nil || OverGuarantee(t, used),
			},
		)
	}
	return out
}

// OverGuarantee reports whether a team that uses so much is beyond its guarantee.
func OverGuarantee(t *settings.Team, used ledger.Resources) bool {
	limit := ledger.NewResources(t.CPUs, t.GPUs, 0)
	return t.CPUs == 0 && t.GPUs == 0 || t.CPUs > 0 && used.CPU > limit.CPU || t.GPUs > 0 && used.GPU > limit.GPU
}

// canWait reports whether a job that is stopped now can still meet an aim once a
// machine rented for it is up. Stopping work that has its own promise to keep
// only moves the damage.
func (s *Scheduler) canWait(j *ledger.Job, now time.Time) bool {
	guaranteed := s.set.FindTeam(j.Spec.Team)
	for _, o := range s.set.Cluster.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class ||
			o.Kind == "guarantee" && guaranteed != nil && (guaranteed.CPUs > 0 || guaranteed.GPUs > 0) {
			return false // its start is what its users wait for
		}
	}
	f, ok := s.led().MachineType(s.firstType(j))
	again := now
	if ok {
		again = now.Add(f.Boot.Duration())
	}
	if !s.aimBy(j, false, s.runTimes.Expected(j), again).IsZero() {
		return true
	}
	if j.Spec.Deadline != nil {
		return false
	}
	return !slices.ContainsFunc(
		s.set.Cluster.Objectives,
		func(o settings.Objective) bool { return o.Class == j.Spec.Class },
	)
}

// firstType is a machine type that the job may run on.
func (s *Scheduler) firstType(j *ledger.Job) wire.MachineTypeName {
	if len(j.Spec.Types) > 0 {
		return j.Spec.Types[0]
	}
	for name := range s.led().MachineTypes() {
		return name
	}
	return ""
}

// keptFor adds the machines being emptied to those withheld.
func (s *Scheduler) keptFor(now time.Time) map[wire.MachineID]wire.JobID {
	out := map[wire.MachineID]wire.JobID{}
	for m, j := range s.withheld {
		out[m] = j
	}
	for m, r := range s.making {
		j := s.led().Job(r.job)
		if now.After(r.until) || j == nil || j.Pending() == 0 {
			delete(s.making, m)
			continue
		}
		out[m] = r.job
	}
	return out
}
