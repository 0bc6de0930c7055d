package controller

import (
	"context"
	"slices"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/place"
	"maddermill/internal/settings"
	"maddermill/wire"
)

// room is a machine that is being emptied for a job.
type room struct {
	job   wire.JobID
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
	x := place.Evict(v)
	if x == nil || !x.Machine.Mine {
		return
	}
	w := c.workers[x.Machine.ID]
	c.making[w.ID] = room{x.Entry.Job.ID, now.Add(makeRoomFor)}
	v.Withheld[w.ID] = x.Entry.Job.ID
	for _, victim := range x.Victims {
		h := victim.Held
		w.Stop(h)
		c.log.Info("preempt", "job", h.Job.ID, "task", h.First, "tasks", h.Count, "attempt", h.Attempt, "machine", w.ID, "for", x.Entry.Job.ID)
		c.Stats.Add("preemptions_total", 1)
	}
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
