// Package deadlinetracker is the component of a controller that tracks galleries, groups of jobs with one promised
// completion date each (docs/promises.md). It assigns jobs to galleries as they are accepted. While this controller is
// the reconciler, it also brings the records up to date with the operators' register, records which promises are at
// risk, kept or broken, and warns of dates that the cluster can't meet.
//
// The reconciler is the leader, or another controller with a newer register (Tracker.isReconciler). All persistent
// state is in the records, and each change is conditioned on the one before it: the next reconciler continues where
// the last one ended, and if two controllers consider themselves the reconciler, their changes only conflict.
//
// A Tracker has no lock of its own. Its methods are called under the watch cache's lock, except for SetRegister,
// WatchFile and Run, which take that lock.
package deadlinetracker

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/settings/configfile"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// Parts holds the components that a Tracker depends on.
type Parts struct {
	Cache      *watchcache.Cache
	Committer  *committer.Committer
	RunTimes   *estimate.RunTimes
	Membership *membership.Membership
	Registry   *reconcile.Registry
}

// Tracker tracks the galleries and their deadlines.
type Tracker struct {
	settings *settings.Settings
	Parts
	stats *metrics.Set
	log   *slog.Logger

	register  *deadline.Register // nil: no register has been set
	remaining map[wire.GalleryName]remainingWork

	// State of the reconciler.
	pending              map[wire.GalleryName]*committer.Change // by gallery; "": the change of the register's revision
	rejected             map[wire.GalleryName]int               // revisions whose entry could not be recorded, by gallery
	assignedAt           time.Time                              // when jobs without a gallery were last searched for
	loggedOvercommitment string                                 // the galleries listed in the last warning
}

// remainingWork is the remaining work of a gallery.
type remainingWork struct {
	longestJob     time.Duration // longest expected duration of its jobs, including the image fetch
	hasPending     bool          // some tasks have not been placed yet
	machineSeconds float64       // total run time, in seconds of a whole machine
}

const (
	// runTimeMarginNum / runTimeMarginDen is the safety factor on expected run times.
	runTimeMarginNum = 5
	runTimeMarginDen = 4
	// maxTasksPerMachine bounds how many tasks of a job are assumed to share a machine.
	maxTasksPerMachine = 1 << 20
)

// New returns a tracker without a register.
func New(set *settings.Settings, p Parts, stats *metrics.Set, log *slog.Logger) *Tracker {
	return &Tracker{
		settings:  set,
		Parts:     p,
		stats:     stats,
		log:       log,
		remaining: map[wire.GalleryName]remainingWork{},
		rejected:  map[wire.GalleryName]int{},
		pending:   map[wire.GalleryName]*committer.Change{},
	}
}

// records returns the cached records. The caller holds the cache's lock while it uses them.
func (t *Tracker) records() *ledger.Ledger { return t.Cache.Records() }

// SetRegister replaces the register. It takes the cache's lock.
func (t *Tracker) SetRegister(r *deadline.Register) {
	t.Cache.Lock()
	defer t.Cache.Unlock()
	t.register, t.assignedAt = r, time.Time{}
	clear(t.rejected)
}

// Read reads and validates a register file. If set is nil, any team is accepted. Errors name file, line and reason.
func Read(path string, set *settings.Settings) (*deadline.Register, error) {
	var teams []wire.Team
	if set != nil {
		for _, team := range set.Cluster.Teams {
			teams = append(teams, team.Name)
		}
	}
	return configfile.Read(path, func(text []byte) (*deadline.Register, error) { return deadline.Parse(text, teams) })
}

// WatchFile reads the register file whenever it changes, until ctx ends. If the file is invalid or missing, the last
// valid register stays in force.
func (t *Tracker) WatchFile(ctx context.Context, path string) error {
	return configfile.Follow(ctx, path, nil, func() {
		r, err := Read(path, t.settings)
		if err != nil {
			t.stats.Add("registers_refused_total", 1)
			t.log.Error("register not taken; the one before stays", "err", strings.ReplaceAll(err.Error(), "\n", "; "))
			return
		}
		t.SetRegister(r)
		t.log.Info("register read", "file", path, "register", r.String())
	})
}

// RegisterRevision returns the revision of the register, 0 if none has been set.
func (t *Tracker) RegisterRevision() int {
	if t.register == nil {
		return 0
	}
	return t.register.Revision
}

// GalleryOf returns the gallery to assign to a job that is being accepted, nil if there is none: the first one that
// the register lists for the job and that is on record and has not ended. The gallery must be on record so that a
// controller whose register differs from the others' can't assign jobs to a gallery that was never opened. workflow is
// empty if the job belongs to none.
func (t *Tracker) GalleryOf(spec *wire.JobSpec, workflow wire.WorkflowID) *ledger.Gallery {
	for _, name := range t.register.GalleriesOf(spec, workflow) {
		if g := t.records().Gallery(name); g != nil && !g.Ended() && g.Team == spec.Team {
			return g
		}
	}
	return nil
}

// UpdateRemainingWork recomputes the remaining work of all galleries from the active jobs.
func (t *Tracker) UpdateRemainingWork(now time.Time) {
	clear(t.remaining)
	t.records().EachActive(func(j *ledger.Job) {
		if j.Gallery == "" {
			return
		}
		machineType, pending := t.machineTypeFor(j), j.Pending()
		duration := t.RunTimes.ExpectedRunTime(j) * runTimeMarginNum / runTimeMarginDen
		if pending > 0 {
			duration += placement.FetchTime(j.Spec.ImageGB, machineType.FetchGBps)
		}
		work := t.remaining[j.Gallery]
		work.longestJob = max(work.longestJob, duration)
		work.hasPending = work.hasPending || pending > 0
		total := ledger.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
		if perMachine := total.CountFitting(j.Need, maxTasksPerMachine); perMachine > 0 {
			work.machineSeconds += float64(pending+j.Claimed) / float64(perMachine) * duration.Seconds()
		}
		t.remaining[j.Gallery] = work
	})
}

// machineTypeFor returns the first machine type, by name, that a job may run on; the zero value if there is none.
func (t *Tracker) machineTypeFor(j *ledger.Job) wire.MachineType {
	var first wire.MachineType
	for name, machineType := range t.records().MachineTypes() {
		if j.Spec.Types != nil && !slices.Contains(j.Spec.Types, name) {
			continue
		}
		if first.Name == "" || name < first.Name {
			first = machineType
		}
	}
	return first
}

// LatestStart returns when a job must start for its gallery to be done by the promised date: the date less the
// longest remaining duration of the gallery's jobs. It returns false if the job's gallery has ended or it has none.
func (t *Tracker) LatestStart(j *ledger.Job) (time.Time, bool) {
	g := t.records().Gallery(j.Gallery)
	if j.Gallery == "" || g == nil || g.Ended() {
		return time.Time{}, false
	}
	return g.Date().Time().Add(-t.remaining[j.Gallery].longestJob), true
}

// CountGalleries returns how many galleries have not ended, and how many of them are at risk.
func CountGalleries(l *ledger.Ledger) (open, atRisk int) {
	l.EachGallery(func(g *ledger.Gallery) {
		if g.Ended() {
			return
		}
		open++
		if g.State == ledger.GalleryAtRisk {
			atRisk++
		}
	})
	return open, atRisk
}
