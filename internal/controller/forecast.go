package controller

import (
	"slices"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/mesh"
	"maddermill/internal/place"
	"maddermill/wire"
)

// Owners' estimates are often wrong by half, and on some days all in the same
// direction. What tasks of a class really took corrects them.

// priorWeight is how many tasks' worth the estimates themselves count.
const priorWeight = 4

type classSums map[wire.Class]*mesh.ClassSum

func (s classSums) note(class wire.Class, ran, estimate time.Duration) {
	o := s[class]
	if o == nil {
		o = &mesh.ClassSum{Class: class}
		s[class] = o
	}
	// Older tasks fade, so that a change of mood is followed.
	o.Ran = o.Ran*0.98 + ran.Seconds()
	o.Estimated = o.Estimated*0.98 + estimate.Seconds()
	o.Count = o.Count*0.98 + 1
}

// correction is what estimates of a class are to be multiplied by, from what
// all controllers have seen.
func (c *Core) correction(class wire.Class) float64 {
	var ran, estimated, count float64
	add := func(o *mesh.ClassSum) {
		ran, estimated, count = ran+o.Ran, estimated+o.Estimated, count+o.Count
	}
	if o := c.classes[class]; o != nil {
		add(o)
	}
	for _, p := range c.peers {
		for i := range p.status.Classes {
			if o := &p.status.Classes[i]; o.Class == class {
				add(o)
			}
		}
	}
	if count == 0 || estimated == 0 {
		return 1
	}
	prior := priorWeight * estimated / count
	return min(4, max(0.25, (ran+prior)/(estimated+prior)))
}

// expected is how long a task of the job will run.
func (c *Core) expected(j *ledger.Job) time.Duration {
	return time.Duration(float64(j.Spec.Estimate.Duration()) * c.correction(j.Spec.Class))
}

// startBy is when the job's tasks must start for it to meet the strictest of
// its aims that can still be met; the zero time when none can.
func (c *Core) startBy(j *ledger.Job, beyond bool, expected time.Duration, now time.Time) time.Time {
	accepted := j.Accepted.Time()
	var best time.Time
	consider := func(t time.Time) {
		if t.After(now) && (best.IsZero() || t.Before(best)) {
			best = t
		}
	}
	for _, o := range c.set.Cluster.Objectives {
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

// claimedSince is when a claim was first seen here.
func (c *Core) claimedSince(h ledger.Held, now time.Time) time.Time {
	key := claimKey{h.Machine, h.Job.ID, h.Attempt, h.First}
	since, ok := c.claimed[key]
	if !ok {
		since = now
		c.claimed[key] = now
	}
	return since
}

// until is when a claim's tasks are expected to be over. One that has outlived
// its expectation may take half as long again as it is over already.
func (c *Core) until(h ledger.Held, now time.Time) time.Time {
	if h.Job.Spec.Shape == wire.Service {
		return now.Add(24 * time.Hour)
	}
	end := c.claimedSince(h, now).Add(c.expected(h.Job))
	if over := now.Sub(end); over > 0 {
		end = now.Add(over/2 + 5*time.Second)
	}
	return end
}

// busy is what the claims on a machine take, and until when.
func (c *Core) busy(id wire.MachineID, now time.Time) []place.Busy {
	var out []place.Busy
	for _, h := range c.led.HeldBy(id) {
		out = append(out, place.Busy{Until: c.until(h, now), Room: ledger.Resources{}.Add(h.Job.Need, h.Count)})
	}
	return out
}

// forgetClaims drops what is noted of claims that are over.
func (c *Core) forgetClaims() {
	for key := range c.claimed {
		if !slices.ContainsFunc(c.led.HeldBy(key.machine), func(h ledger.Held) bool {
			return h.Job.ID == key.job && h.Attempt == key.attempt && h.First == key.first
		}) {
			delete(c.claimed, key)
		}
	}
}
