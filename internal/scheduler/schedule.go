// Package scheduler is the part of a controller that chooses what runs where: the picture of
// machines and of the queue that placement decides from, the order of the queue, and what is
// stopped for what (PAPER, section 4.2; docs/DESIGN.md).
//
// A Scheduler has no lock: but for its duty, it is used under the mirror's. What it decides is
// made durable by whoever asked, and may be refused there.
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

// Parts are what a scheduler looks at.
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

// Scheduler is that part of a controller.
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

	jobs     map[wire.JobID]*notes
	seen     *placement.Snapshot    // the picture that placement decides from, and
	seenAt   time.Time              // since when
	seenTook time.Duration          // how long its making took
	made     int                    // pictures so far
	doubted  map[estimate.Kind]bool // of which too many are said to be faulty
	withheld map[wire.MachineID]wire.JobID
	making   map[wire.MachineID]room
	asking   map[wire.MachineID]room // as the leader: what holders are asked to empty
	keeping  keeping                 // for late gangs
}

// notes is what is remembered of a job that waits.
type notes struct {
	since time.Time // pending since, as seen here
	taken int       // tasks whose start is decided here but not yet in the ledger
}

// New returns a scheduler that has looked at nothing.
func New(set *settings.Settings, p Parts, stats *metrics.Set, log *slog.Logger) *Scheduler {
	return &Scheduler{
		set:          set,
		cache:        p.Cache,
		membership:   p.Membership,
		registry:     p.Registry,
		failures:     p.Failures,
		runTimes:     p.RunTimes,
		spotReclaims: p.SpotReclaims,
		topology:     p.Topology,
		policies:     p.Policies,
		deadlines:    p.Deadlines,
		stats:        stats,
		log:          log,
		doubted:      map[estimate.Kind]bool{},
		jobs:         map[wire.JobID]*notes{},
		withheld:     map[wire.MachineID]wire.JobID{},
		making:       map[wire.MachineID]room{},
		asking:       map[wire.MachineID]room{},
	}
}

func (s *Scheduler) led() *ledger.Ledger { return s.cache.Records() }

func (s *Scheduler) notes(id wire.JobID) *notes {
	n := s.jobs[id]
	if n == nil {
		n = new(notes)
		s.jobs[id] = n
	}
	return n
}

// CountStarted notes that the start of some tasks of a job is on its way, or, below zero, that it no
// longer is: others must not be given the same tasks meanwhile.
func (s *Scheduler) CountStarted(id wire.JobID, tasks int) { s.notes(id).taken += tasks }

// ForgetJob drops what is known of a job that is no longer among the records.
func (s *Scheduler) ForgetJob(id wire.JobID) { delete(s.jobs, id) }

// InvalidateSnapshot has the next decision made from a new picture.
func (s *Scheduler) InvalidateSnapshot() { s.seen = nil }

// SnapshotsTaken counts the pictures made so far.
func (s *Scheduler) SnapshotsTaken() int { return s.made }

// Usable reports whether a machine held here may be given tasks. A worker just taken over
// must first report under our token, and one that does not hear answers begins nothing.
func (s *Scheduler) Usable(w *reconcile.Worker, now time.Time) bool {
	_, known := s.led().MachineType(w.Type)
	return known && w.Fresh && !w.Unreachable() && w.ReclaimAt.IsZero() && s.led().MachinePhase(w.ID) == "" &&
		!now.Before(w.CordonedUntil) &&
		(s.doubted[estimate.Kind{Type: w.Type, Zone: w.Zone}] || !s.failures.Faulty(s.led(), w.ID, now))
}
