package estimate

import (
	"slices"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Owners' estimates are often wrong by half, and on some days all in the same
// direction. What tasks of a class really took corrects them.

// RunTimes corrects the owners' estimates of tasks' run times by what was observed, here and by peers,
// and remembers since when claims run. It has no lock: it is used under the watch cache's.
type RunTimes struct {
	peers   Peers
	classes map[wire.Class]*peer.ClassRunTimes // as observed here
	claimed map[claimKey]time.Time             // when a claim was first seen
}

// Peers is what run times need of the membership: what other controllers observed.
type Peers interface {
	Peers() []*membership.Peer
}

// NewRunTimes returns run times that have observed nothing yet.
func NewRunTimes(peers Peers) *RunTimes {
	return &RunTimes{peers: peers, classes: map[wire.Class]*peer.ClassRunTimes{}, claimed: map[claimKey]time.Time{}}
}

// priorWeight is how many tasks' worth the estimates themselves count.
const priorWeight = 4

// Observe records how long a task of a class ran that was estimated to run for a time.
func (r *RunTimes) Observe(class wire.Class, ran, estimate time.Duration) {
	o := r.classes[class]
	if o == nil {
		o = &peer.ClassRunTimes{Class: class}
		r.classes[class] = o
	}
	// Older tasks fade, so that a change of mood is followed.
	o.Ran = o.Ran*0.98 + ran.Seconds()
	o.Estimated = o.Estimated*0.98 + estimate.Seconds()
	o.Count = o.Count*0.98 + 1
}

// Classes lists the run times of classes as observed here, for peers.
func (r *RunTimes) Classes() []peer.ClassRunTimes {
	out := make([]peer.ClassRunTimes, 0, len(r.classes))
	for _, o := range r.classes {
		out = append(out, *o)
	}
	return out
}

// correction is what estimates of a class are to be multiplied by, from what
// all controllers have seen.
func (r *RunTimes) correction(class wire.Class) float64 {
	var ran, estimated, count float64
	add := func(o *peer.ClassRunTimes) {
		ran, estimated, count = ran+o.Ran, estimated+o.Estimated, count+o.Count
	}
	if o := r.classes[class]; o != nil {
		add(o)
	}
	for _, p := range r.peers.Peers() {
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
func (r *RunTimes) Expected(j *ledger.Job) time.Duration {
	return time.Duration(float64(j.Spec.Estimate.Duration()) * r.correction(j.Spec.Class))
}

type claimKey struct {
	machine wire.MachineID
	job     wire.JobID
	attempt wire.Attempt
	first   wire.TaskIndex
}

// ClaimedSince is when a claim was first seen here.
func (r *RunTimes) ClaimedSince(h ledger.HeldClaim, now time.Time) time.Time {
	key := claimKey{h.Machine, h.Job.ID, h.Attempt, h.First}
	since, ok := r.claimed[key]
	if !ok {
		since = now
		r.claimed[key] = now
	}
	return since
}

// Until is when a claim's tasks are expected to be over. One that has outlived
// its expectation may take half as long again as it is over already.
func (r *RunTimes) Until(h ledger.HeldClaim, now time.Time) time.Time {
	if h.Job.Spec.Shape == wire.Service {
		return now.Add(24 * time.Hour)
	}
	end := r.ClaimedSince(h, now).Add(r.Expected(h.Job))
	if over := now.Sub(end); over > 0 {
		end = now.Add(over/2 + 5*time.Second)
	}
	return end
}

// Prune drops claims that are over.
func (r *RunTimes) Prune(l *ledger.Ledger) {
	for key := range r.claimed {
		if !slices.ContainsFunc(l.ClaimsOn(key.machine), func(h ledger.HeldClaim) bool {
			return h.Job.ID == key.job && h.Attempt == key.attempt && h.First == key.first
		}) {
			delete(r.claimed, key)
		}
	}
}
