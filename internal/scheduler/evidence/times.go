package evidence

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Owners' estimates are often wrong by half, and on some days all in the same
// direction. What tasks of a class really took corrects them.

// priorWeight is how many tasks' worth the estimates themselves count.
const priorWeight = 4

// ran notes how long a task of a class ran that was estimated to run for a time.
func (b *Tracker) ran(class wire.Class, ran, estimate time.Duration) {
	o := b.classes[class]
	if o == nil {
		o = &peer.ClassSum{Class: class}
		b.classes[class] = o
	}
	// Older tasks fade, so that a change of mood is followed.
	o.Ran = o.Ran*0.98 + ran.Seconds()
	o.Estimated = o.Estimated*0.98 + estimate.Seconds()
	o.Count = o.Count*0.98 + 1
}

// Classes is what was seen here of the classes' run times, for peers.
func (b *Tracker) Classes() []peer.ClassSum {
	out := make([]peer.ClassSum, 0, len(b.classes))
	for _, o := range b.classes {
		out = append(out, *o)
	}
	return out
}

// correction is what estimates of a class are to be multiplied by, from what
// all controllers have seen.
func (b *Tracker) correction(class wire.Class) float64 {
	var ran, estimated, count float64
	add := func(o *peer.ClassSum) {
		ran, estimated, count = ran+o.Ran, estimated+o.Estimated, count+o.Count
	}
	if o := b.classes[class]; o != nil {
		add(o)
	}
	for _, p := range b.members.Peers() {
		for i := range p.Status.Classes {
			if o := &p.Status.Classes[i]; o.Class == class {
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

// Expected is how long a task of the job will run.
func (b *Tracker) Expected(j *ledger.Job) time.Duration {
	return time.Duration(float64(j.Spec.Estimate.Duration()) * b.correction(j.Spec.Class))
}

type claimKey struct {
	machine wire.MachineID
	job     wire.JobID
	attempt wire.Attempt
	first   wire.TaskIndex
}

// ClaimedSince is when a claim was first seen here.
func (b *Tracker) ClaimedSince(h ledger.HeldClaim, now time.Time) time.Time {
	key := claimKey{h.Machine, h.Job.ID, h.Attempt, h.First}
	since, ok := b.claimed[key]
	if !ok {
		since = now
		b.claimed[key] = now
	}
	return since
}

// Until is when a claim's tasks are expected to be over. One that has outlived
// its expectation may take half as long again as it is over already.
func (b *Tracker) Until(h ledger.HeldClaim, now time.Time) time.Time {
	if h.Job.Spec.Shape == wire.Service {
		return now.Add(24 * time.Hour)
	}
	end := b.ClaimedSince(h, now).Add(b.Expected(h.Job))
	if over := now.Sub(end); over > 0 {
		end = now.Add(over/2 + 5*time.Second)
	}
	return end
}

// forgetClaims drops what is noted of claims that are over.
func (b *Tracker) forgetClaims(l *ledger.Ledger) {
	for key := range b.claimed {
		if !slices.ContainsFunc(l.HeldBy(key.machine), func(h ledger.HeldClaim) bool {
			return h.Job.ID == key.job && h.Attempt == key.attempt && h.First == key.first
		}) {
			delete(b.claimed, key)
		}
	}
}
