// Package scheduler is the part of a controller that chooses what runs where. It keeps the snapshot
// of machines and of the queue that placement decides from, derives the queue's order and each
// job's latest start, and chooses what is preempted for what (PAPER, section 4.2; docs/DESIGN.md).
//
// The files, by what they do:
//
//   - scheduler.go: the Scheduler and what it remembers of jobs
//   - snapshot.go: when a snapshot is taken and how it is kept up to date
//   - machines.go: the machines of a snapshot, of this controller and of its peers
//   - queue.go: the queue of a snapshot
//   - latest_start.go: when jobs must start, by their objectives and the bound on waiting
//   - preempt.go: preemption for single tasks and, asked for by the leader, for gangs
//   - reservations.go: room reserved for overdue gangs by the leader
//
// A Scheduler has no lock of its own: except for Preempt, which takes it, its methods are called
// with the lock of the watch cache held. It writes no records. What it decides is made durable by
// its callers, and may be refused there.
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

// Parts are the parts of a controller that a scheduler reads from.
type Parts struct {
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

// Scheduler chooses what runs where. The lock of the watch cache guards its state.
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
	snapshotAt       time.Time           // when it was taken
	snapshotDuration time.Duration       // how long taking it took
	snapshotsTaken   int

	// quarantineSuspended holds the kinds of machines too many of which are judged faulty.
	quarantineSuspended map[estimate.Kind]bool
	// headReservations are the machines reserved for the head of the queue.
	headReservations map[wire.MachineID]wire.JobID
	// preempting are the machines that are being emptied, by whichever controller.
	preempting map[wire.MachineID]preemptionReservation
	// requested are those of them that this controller, as the leader, asks their holders to empty.
	requested        map[wire.MachineID]preemptionReservation
	gangReservations gangReservations
}

// jobState is what a scheduler remembers of an active job between snapshots.
type jobState struct {
	pendingSince  time.Time // as seen here; zero while no task is pending
	startsPlanned int       // tasks whose start is decided here but not yet in the records
}

// New returns a scheduler without a snapshot.
func New(set *settings.Settings, p Parts, stats *metrics.Set, log *slog.Logger) *Scheduler {
	return &Scheduler{
		set:                 set,
		cache:               p.Cache,
		membership:          p.Membership,
		registry:            p.Registry,
		failures:            p.Failures,
		runTimes:            p.RunTimes,
		spotReclaims:        p.SpotReclaims,
		topology:            p.Topology,
		policies:            p.Policies,
		deadlines:           p.Deadlines,
		stats:               stats,
		log:                 log,
		jobs:                map[wire.JobID]*jobState{},
		quarantineSuspended: map[estimate.Kind]bool{},
		headReservations:    map[wire.MachineID]wire.JobID{},
		preempting:          map[wire.MachineID]preemptionReservation{},
		requested:           map[wire.MachineID]preemptionReservation{},
	}
}

// records returns the cached records.
func (s *Scheduler) records() *ledger.Ledger { return s.cache.Records() }

// job returns the state of a job; the first call for a job creates it.
func (s *Scheduler) job(id wire.JobID) *jobState {
	j := s.jobs[id]
	if j == nil {
		j = new(jobState)
		s.jobs[id] = j
	}
	return j
}

// CountStarted records that the start of some tasks of a job is decided, or, below zero, that it is
// recorded or given up: other decisions must not start the same tasks meanwhile.
func (s *Scheduler) CountStarted(id wire.JobID, tasks int) { s.job(id).startsPlanned += tasks }

// ForgetJob drops the state of a job that is no longer among the records.
func (s *Scheduler) ForgetJob(id wire.JobID) { delete(s.jobs, id) }
