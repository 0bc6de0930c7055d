package controller

import (
	"context"
	"slices"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/mesh"
	"maddermill/internal/place"
	"maddermill/internal/settings"
	"maddermill/internal/workers"
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

// preempt stops lower work on this controller's machines for higher work that
// no machine has room for.
func (c *Core) preempt(ctx context.Context) error {
	for c.set.Operators.Preempt && ctx.Err() == nil {
		sleep(ctx, time.Second)
		c.mu.Lock()
		if now := time.Now(); c.loaded && now.Sub(c.contact) < startContact {
			c.makeRoom(now)
		}
		c.mu.Unlock()
	}
	return ctx.Err()
}

func (c *Core) makeRoom(now time.Time) {
	v := c.view(now)
	for _, x := range place.Evict(v) {
		if w := c.workers[x.Machine.ID]; x.Machine.Mine && w != nil {
			c.making[w.ID] = room{x.Entry.Job.ID, 1, now.Add(makeRoomFor)}
			c.stopAll(w, x.Victims, x.Entry.Job.ID)
		}
	}
}

// stopAll has a worker told to stop what is in the way of a job.
func (c *Core) stopAll(w *workers.Worker, victims []place.Victim, job wire.JobID) {
	for _, victim := range victims {
		h := victim.Held
		w.Stop(h)
		c.log.Info("preempt", "job", h.Job.ID, "task", h.First, "tasks", h.Count, "attempt", h.Attempt, "machine", w.ID, "for", job)
		c.Stats.Add("preemptions_total", 1)
	}
}

// A gang of several tasks needs room on many machines at once, which different
// controllers hold. The fleet's leader, who places it, chooses them and tells the
// holders with its status; each stops what is in the way on its own machines and keeps
// the room for the gang. Where that message does not arrive, nothing is stopped.

// makeRoomForGangs chooses machines to be emptied for gangs that no room is found for.
func (c *Core) makeRoomForGangs(now time.Time) {
	if !c.set.Operators.Preempt {
		return
	}
	v := c.view(now)
	for _, x := range place.MakeRoom(v) {
		r := room{x.Job, x.Tasks, now.Add(makeRoomFor)}
		c.making[x.Machine.ID], c.asking[x.Machine.ID] = r, r
		v.Withheld[x.Machine.ID] = x.Job
		if w := c.workers[x.Machine.ID]; w != nil && x.Machine.Mine {
			c.clearFor(w, x.Job, x.Tasks, now)
		}
	}
}

// asked lists the machines that holders are to empty.
func (c *Core) asked(now time.Time) []mesh.Emptying {
	var out []mesh.Emptying
	for id, r := range c.asking {
		if now.After(r.until) {
			delete(c.asking, id)
			continue
		}
		out = append(out, mesh.Emptying{Machine: id, Job: r.job, Tasks: r.tasks, LeftMS: r.until.Sub(now).Milliseconds()})
	}
	return out
}

// hearEmptying does what the fleet's leader asks for on machines held here, once. now is
// when it was asked for, so that a late answer asks for nothing.
func (c *Core) hearEmptying(from wire.MemberID, list []mesh.Emptying, asked, now time.Time) {
	leads, _ := c.led.Leader()
	if leads.Member != from || !c.set.Operators.Preempt || now.Sub(c.contact) > startContact {
		return
	}
	for _, x := range list {
		until := asked.Add(time.Duration(x.LeftMS) * time.Millisecond)
		w := c.workers[x.Machine]
		if r, known := c.making[x.Machine]; w == nil || now.After(until) || known && r.job == x.Job {
			continue
		}
		if j := c.led.Job(x.Job); j != nil && j.Pending() > 0 {
			c.making[x.Machine] = room{x.Job, x.Tasks, until}
			if c.seen != nil {
				c.seen.Withheld[x.Machine] = x.Job
			}
			c.clearFor(w, x.Job, x.Tasks, now)
		}
	}
}

// clearFor stops what is in the way of tasks of a job on a machine held here. It goes
// by this controller's own ledger, and by the rules of preemption.
func (c *Core) clearFor(w *workers.Worker, job wire.JobID, tasks int, now time.Time) {
	v := c.view(now)
	m := v.Machine(w.ID)
	at := slices.IndexFunc(v.Queue, func(e place.Entry) bool { return e.Job.ID == job })
	if m == nil || at < 0 {
		return
	}
	victims, _ := place.Clear(&v.Queue[at], m.Free, tasks, c.victims(m, now))
	c.stopAll(w, victims, job)
}

// victims lists what may be stopped on a machine, from the ledger alone, so that
// every controller sees the same.
func (c *Core) victims(m *place.Machine, now time.Time) []place.Victim {
	var out []place.Victim
	for _, h := range c.led.HeldBy(m.ID) {
		s := h.Job.Spec
		if s.Shape == wire.Gang && s.Tasks > 1 || h.Job.State != ledger.Active || !c.canWait(h.Job, now) {
			continue
		}
		t := c.set.Team(s.Team)
		used := c.led.Used(s.Team)
		out = append(out, place.Victim{Held: h, Saves: s.Checkpoint > 0, Ran: now.Sub(c.claimedSince(h, now)),
			Beyond: t == nil || beyond(t, used)})
	}
	return out
}

// beyond reports whether a team that uses so much is beyond its guarantee.
func beyond(t *settings.Team, used ledger.Resources) bool {
	limit := ledger.NewResources(t.CPUs, t.GPUs, 0)
	return t.CPUs == 0 && t.GPUs == 0 || t.CPUs > 0 && used.CPU > limit.CPU || t.GPUs > 0 && used.GPU > limit.GPU
}

// canWait reports whether a job that is stopped now can still meet an aim once a
// machine rented for it is up. Stopping work that has its own promise to keep
// only moves the damage.
func (c *Core) canWait(j *ledger.Job, now time.Time) bool {
	guaranteed := c.set.Team(j.Spec.Team)
	for _, o := range c.set.Cluster.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class ||
			o.Kind == "guarantee" && guaranteed != nil && (guaranteed.CPUs > 0 || guaranteed.GPUs > 0) {
			return false // its start is what its users wait for
		}
	}
	f, ok := c.led.Flavor(firstType(c, j))
	again := now
	if ok {
		again = now.Add(f.Boot.Duration())
	}
	if !c.startBy(j, false, c.expected(j), again).IsZero() {
		return true
	}
	if j.Spec.Deadline != nil {
		return false
	}
	return !slices.ContainsFunc(c.set.Cluster.Objectives, func(o settings.Objective) bool { return o.Class == j.Spec.Class })
}

// firstType is a machine type that the job may run on.
func firstType(c *Core, j *ledger.Job) wire.MachineSKU {
	if len(j.Spec.Types) > 0 {
		return j.Spec.Types[0]
	}
	for name := range c.led.Flavors() {
		return name
	}
	return ""
}

// keptFor adds the machines being emptied to those withheld.
func (c *Core) keptFor(now time.Time) map[wire.MachineID]wire.JobID {
	out := map[wire.MachineID]wire.JobID{}
	for m, j := range c.withheld {
		out[m] = j
	}
	for m, r := range c.making {
		j := c.led.Job(r.job)
		if now.After(r.until) || j == nil || j.Pending() == 0 {
			delete(c.making, m)
			continue
		}
		out[m] = r.job
	}
	return out
}
