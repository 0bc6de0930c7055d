package estimate

import (
	"slices"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

const (
	// priorWeight is the weight of the owners' estimates themselves, in observed tasks.
	priorWeight = 4
	// observationFade is the weight of older tasks of a class with each new one, so that a change is
	// followed.
	observationFade = 0.98
	// minCorrection and maxCorrection bound the factor by which estimates are corrected.
	minCorrection = 0.25
	maxCorrection = 4
	// serviceHorizon is how long a service's task is expected to go on from any time.
	serviceHorizon = 24 * time.Hour
	// overrunMargin is the least time that a task is expected to go on once it has outrun its estimate.
	overrunMargin = 5 * time.Second
)

// Peers is the part of the membership that run times use: what other controllers observed.
type Peers interface {
	// Peers returns the other controllers with their last status.
	Peers() []*membership.Peer
}

// RunTimes corrects the owners' estimates of run times by what was observed, here and by peers, and
// remembers since when claims run. Estimates are often wrong by half, and on some days all in the same
// direction. It has no lock: it is used under the watch cache's.
type RunTimes struct {
	peers     Peers
	classes   map[wire.Class]*peer.ClassRunTimes // as observed here
	firstSeen map[claimKey]time.Time             // when a claim was first seen here
}

// claimKey names a claim.
type claimKey struct {
	machine wire.MachineID
	job     wire.JobID
	attempt wire.Attempt
	first   wire.TaskIndex
}

// NewRunTimes returns run times that have observed nothing yet.
func NewRunTimes(peers Peers) *RunTimes {
	return &RunTimes{
		peers:     peers,
		classes:   map[wire.Class]*peer.ClassRunTimes{},
		firstSeen: map[claimKey]time.Time{},
	}
}

// Observe records how long a task of a class ran that was estimated to run for a time.
func (r *RunTimes) Observe(class wire.Class, ran, estimate time.Duration) {
	observed := r.classes[class]
	if observed == nil {
		observed = &peer.ClassRunTimes{Class: class}
		r.classes[class] = observed
	}
	observed.Ran = observed.Ran*observationFade + ran.Seconds()
	observed.Estimated = observed.Estimated*observationFade + estimate.Seconds()
	observed.Count = observed.Count*observationFade + 1
}

// Classes returns the run times of classes as observed here, to be shared with peers.
func (r *RunTimes) Classes() []peer.ClassRunTimes {
	out := make([]peer.ClassRunTimes, 0, len(r.classes))
	for _, observed := range r.classes {
		out = append(out, *observed)
	}
	return out
}

// correction returns the factor by which estimates of a class are to be multiplied, by what all
// controllers have observed.
func (r *RunTimes) correction(class wire.Class) float64 {
	var ran, estimated, count float64 // sums of seconds, and of tasks
	add := func(observed *peer.ClassRunTimes) {
		ran += observed.Ran
		estimated += observed.Estimated
		count += observed.Count
	}
	if observed := r.classes[class]; observed != nil {
		add(observed)
	}
	for _, p := range r.peers.Peers() {
		for i := range p.Status.Classes {
			if observed := &p.Status.Classes[i]; observed.Class == class {
				add(observed)
			}
		}
	}
	if count == 0 || estimated == 0 {
		return 1
	}
	prior := priorWeight * estimated / count
	return min(maxCorrection, max(minCorrection, (ran+prior)/(estimated+prior)))
}

// Expected returns how long a task of a job is expected to run.
func (r *RunTimes) Expected(j *ledger.Job) time.Duration {
	return time.Duration(float64(j.Spec.Estimate.Duration()) * r.correction(j.Spec.Class))
}

// ClaimedSince returns when a claim was first seen here, which is now if it has not been before.
func (r *RunTimes) ClaimedSince(h ledger.HeldClaim, now time.Time) time.Time {
	key := claimKey{machine: h.Machine, job: h.Job.ID, attempt: h.Attempt, first: h.First}
	since, seen := r.firstSeen[key]
	if !seen {
		since = now
		r.firstSeen[key] = now
	}
	return since
}

// Until returns when a claim's tasks are expected to end. One that has outrun its expectation is expected
// to take half as long again as it has outrun it by.
func (r *RunTimes) Until(h ledger.HeldClaim, now time.Time) time.Time {
	if h.Job.Spec.Shape == wire.Service {
		return now.Add(serviceHorizon)
	}
	end := r.ClaimedSince(h, now).Add(r.Expected(h.Job))
	if overrun := now.Sub(end); overrun > 0 {
		end = now.Add(overrun/2 + overrunMargin)
	}
	return end
}

// Prune drops the claims that the records no longer hold.
func (r *RunTimes) Prune(l *ledger.Ledger) {
	for key := range r.firstSeen {
		if !slices.ContainsFunc(l.ClaimsOn(key.machine), func(h ledger.HeldClaim) bool {
			return h.Job.ID == key.job && h.Attempt == key.attempt && h.First == key.first
		}) {
			delete(r.firstSeen, key)
		}
	}
}
