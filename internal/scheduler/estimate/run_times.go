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
	// priorWeight is the weight of the owners' uncorrected estimates, as a number of observed tasks.
	priorWeight = 4
	// observationDecay is the factor by which each new task of a class reduces the weight of earlier ones, so that
	// the estimate follows changes.
	observationDecay = 0.98
	// minCorrection and maxCorrection bound the factor by which estimates are corrected.
	minCorrection = 0.25
	maxCorrection = 4
	// serviceHorizon is the expected remaining run time of a service's task at any time.
	serviceHorizon = 24 * time.Hour
	// minOverrunRemaining is the minimum expected remaining run time of a task that has exceeded its estimate.
	minOverrunRemaining = 5 * time.Second
)

// Peers provides the observations of other controllers.
type Peers interface {
	// Peers returns the other controllers with their last status.
	Peers() []*membership.Peer
}

// RunTimes corrects the owners' run time estimates by what this controller and its peers observed, and keeps the
// time since which each claim has been held. Estimates are often wrong by half, and on some days all in the same
// direction. It has no lock of its own: it is used under that of the watch cache.
type RunTimes struct {
	peers     Peers
	classes   map[wire.Class]*peer.ClassRunTimes // as observed by this controller
	firstSeen map[claimKey]time.Time             // when this controller first saw a claim
}

// claimKey identifies a claim.
type claimKey struct {
	machine wire.MachineID
	job     wire.JobID
	attempt wire.Attempt
	first   wire.TaskIndex
}

// NewRunTimes returns a RunTimes without observations.
func NewRunTimes(peers Peers) *RunTimes {
	return &RunTimes{
		peers:     peers,
		classes:   map[wire.Class]*peer.ClassRunTimes{},
		firstSeen: map[claimKey]time.Time{},
	}
}

// Observe records the run time of a task of a class, and the estimate of it.
func (r *RunTimes) Observe(class wire.Class, ran, estimate time.Duration) {
	observed := r.classes[class]
	if observed == nil {
		observed = &peer.ClassRunTimes{Class: class}
		r.classes[class] = observed
	}
	observed.ActualSeconds = observed.ActualSeconds*observationDecay + ran.Seconds()
	observed.EstimatedSeconds = observed.EstimatedSeconds*observationDecay + estimate.Seconds()
	observed.Count = observed.Count*observationDecay + 1
}

// Classes returns the run times observed by this controller, by class, to be shared with peers.
func (r *RunTimes) Classes() []peer.ClassRunTimes {
	out := make([]peer.ClassRunTimes, 0, len(r.classes))
	for _, observed := range r.classes {
		out = append(out, *observed)
	}
	return out
}

// correctionFactor returns the factor by which to multiply the estimates of a class, according to the observations
// of all controllers.
func (r *RunTimes) correctionFactor(class wire.Class) float64 {
	var ran, estimated, count float64 // sums: seconds, seconds, tasks
	add := func(observed *peer.ClassRunTimes) {
		ran += observed.ActualSeconds
		estimated += observed.EstimatedSeconds
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

// ExpectedRunTime returns the expected run time of a job's task.
func (r *RunTimes) ExpectedRunTime(j *ledger.Job) time.Duration {
	return time.Duration(float64(j.Spec.Estimate.Duration()) * r.correctionFactor(j.Spec.Class))
}

// FirstSeen returns when this controller first saw a claim, which is now if it hasn't seen it before.
func (r *RunTimes) FirstSeen(h ledger.HeldClaim, now time.Time) time.Time {
	key := claimKey{machine: h.Machine, job: h.Job.ID, attempt: h.Attempt, first: h.First}
	since, seen := r.firstSeen[key]
	if !seen {
		since = now
		r.firstSeen[key] = now
	}
	return since
}

// ExpectedEnd returns when a claim's tasks are expected to end. A claim that has exceeded its expected run time is
// expected to go on for half the time by which it has exceeded it, plus minOverrunRemaining.
func (r *RunTimes) ExpectedEnd(h ledger.HeldClaim, now time.Time) time.Time {
	if h.Job.Spec.Shape == wire.Service {
		return now.Add(serviceHorizon)
	}
	end := r.FirstSeen(h, now).Add(r.ExpectedRunTime(h.Job))
	if overrun := now.Sub(end); overrun > 0 {
		end = now.Add(overrun/2 + minOverrunRemaining)
	}
	return end
}

// Prune drops the claims that are no longer on record.
func (r *RunTimes) Prune(l *ledger.Ledger) {
	for key := range r.firstSeen {
		if !slices.ContainsFunc(l.ClaimsOn(key.machine), func(h ledger.HeldClaim) bool {
			return h.Job.ID == key.job && h.Attempt == key.attempt && h.First == key.first
		}) {
			delete(r.firstSeen, key)
		}
	}
}
