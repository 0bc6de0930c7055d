// Package scheduler decides which tasks run on which machines. It maintains the snapshot of
// machines and queue that placement decisions are based on, computes the queue order and each job's
// latest start, and selects claims to preempt (PAPER, section 4.2; docs/DESIGN.md).
//
// Files:
//
//   - scheduler.go: the Scheduler and its per-job state
//   - snapshot.go: when snapshots are taken and how they are kept up to date
//   - machines.go: the machines of a snapshot, local and of peers
//   - queue.go: the queue of a snapshot
//   - latest_start.go: latest start times, from objectives and the waiting bound
//   - preempt.go: preemption for single tasks and, on request of the leader, for gangs
//   - reservations.go: capacity reserved by the leader for overdue gangs
//
// A Scheduler has no lock of its own: except for Preempt, which acquires the watch cache lock, its
// methods must be called with that lock held. It does not write records: its callers persist its
// decisions, and a write may be rejected.
package scheduler

import (
	"log/slog"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/metrics"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// Dependencies are the components of a controller that a scheduler reads from.
type Dependencies struct {
	Cache        *watchcache.Cache
	Membership   *membership.Membership
	Registry     *reconcile.Registry
	Failures     *crashloop.Tracker
	RunTimes     *estimate.RunTimes
	SpotReclaims *estimate.SpotReclaims
	Topology     *topologytracker.Tracker
	Policies     *policymanager.Manager
	Deadlines    *deadlinetracker.Tracker
}

// Scheduler decides which tasks run on which machines. Its state is guarded by the watch cache
// lock.
type Scheduler struct {
	set          *settings.Settings
	cache        *watchcache.Cache
	membership   *membership.Membership
	registry     *reconcile.Registry
	failures     *crashloop.Tracker
	runTimes     *estimate.RunTimes
	spotReclaims *estimate.SpotReclaims
	topology     *topologytracker.Tracker
	policies     *policymanager.Manager
	deadlines    *deadlinetracker.Tracker
	stats        *metrics.Set
	log          *slog.Logger

	jobs map[wire.JobID]*jobState

	snapshot         *placement.Snapshot // nil: the next decision takes a new one
	snapshotAt       time.Time           // when snapshot was taken
	snapshotDuration time.Duration       // how long it took to take snapshot
	snapshotsTaken   int

	// quarantineSuspended holds the machine types and zones with too many faulty machines for
	// quarantine to apply.
	quarantineSuspended map[estimate.MachineKind]bool
	// headReservations are the machines reserved for the head of the queue.
	headReservations map[wire.MachineID]wire.JobID
	// preempting holds the machines with preemption in progress, on any controller.
	preempting map[wire.MachineID]preemptionReservation
	// requestedPreemptions is the subset of preempting that this controller, as the leader, asks
	// peers to carry out.
	requestedPreemptions map[wire.MachineID]preemptionReservation
	gangReservations     gangReservations
}

// jobState is the state a scheduler keeps for an active job between snapshots.
type jobState struct {
	pendingSince  time.Time // as observed by this controller; zero if no task is pending
	startsPlanned int       // tasks that are decided to start but not yet recorded as started
}

// New returns a scheduler without a snapshot.
func New(set *settings.Settings, p Dependencies, stats *metrics.Set, log *slog.Logger) *Scheduler {
	return &Scheduler{
		set:                  set,
		cache:                p.Cache,
		membership:           p.Membership,
		registry:             p.Registry,
		failures:             p.Failures,
		runTimes:             p.RunTimes,
		spotReclaims:         p.SpotReclaims,
		topology:             p.Topology,
		policies:             p.Policies,
		deadlines:            p.Deadlines,
		stats:                stats,
		log:                  log,
		jobs:                 map[wire.JobID]*jobState{},
		quarantineSuspended:  map[estimate.MachineKind]bool{},
		headReservations:     map[wire.MachineID]wire.JobID{},
		preempting:           map[wire.MachineID]preemptionReservation{},
		requestedPreemptions: map[wire.MachineID]preemptionReservation{},
	}
}

// records returns the cached records.
func (s *Scheduler) records() *ledger.Ledger { return s.cache.Records() }

// job returns the state of a job and creates it on first use.
func (s *Scheduler) job(id wire.JobID) *jobState {
	j := s.jobs[id]
	if j == nil {
		j = new(jobState)
		s.jobs[id] = j
	}
	return j
}

// AdjustPlannedStarts adds tasks to the number of planned starts of a job, so that other decisions do not
// start the same tasks. Once the starts are recorded or abandoned, callers pass a negative number.
func (s *Scheduler) AdjustPlannedStarts(id wire.JobID, tasks int) { s.job(id).startsPlanned += tasks }

// ForgetJob discards the state of a job that is no longer in the records.
func (s *Scheduler) ForgetJob(id wire.JobID) { delete(s.jobs, id) }
