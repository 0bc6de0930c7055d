// Package deadlinetracker is the part of a controller that keeps galleries, work with one promised date each
// (docs/promises.md): it assigns jobs to them as they are accepted and, while it is the keeper of the records,
// brings these up to the operators' register, records which promises are at risk, kept or broken, and warns of
// dates that the cluster can't all meet.
//
// The keeper is the leader, or another controller with a newer register (Tracker.isKeeper). All that lasts is
// in the records, and each change is conditioned on the one before: the next keeper goes on where this one
// ended, and two that both take themselves for the keeper only conflict.
//
// A Tracker has no lock: but for Set, Reload and Run, which take it, its methods are called under the watch
// cache's lock.
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

// Parts are the components that the tracker works with.
type Parts struct {
	Cache      *watchcache.Cache
	Committer  *committer.Committer
	RunTimes   *estimate.RunTimes
	Membership *membership.Membership
	Registry   *reconcile.Registry
}

// Tracker is the component of a controller that keeps galleries.
type Tracker struct {
	set *settings.Settings
	Parts
	stats *metrics.Set
	log   *slog.Logger

	register  *deadline.Register // nil: no register is given
	remaining map[wire.GalleryName]remainingWork

	// State of the keeper.
	pending              map[wire.GalleryName]*committer.Change // by gallery; "": that of the register's revision
	rejected             map[wire.GalleryName]int               // revisions whose date could not be recorded
	assignedAt           time.Time                              // when jobs were last searched for assignments
	loggedOvercommitment string                                 // the galleries last warned of
}

// remainingWork is what remains of a gallery.
type remainingWork struct {
	longest        time.Duration // of its jobs, each with its image fetch
	hasPending     bool          // some tasks are not on a machine yet
	machineSeconds float64       // for which it takes whole machines
}

// Margins and bounds of what remains.
const (
	// runTimeMarginNum and runTimeMarginDen are the factor on expected run times, 5/4.
	runTimeMarginNum = 5
	runTimeMarginDen = 4
	// maxTasksPerMachine bounds how many tasks of a job are counted on one machine.
	maxTasksPerMachine = 1 << 20
)

// New returns a tracker without a register.
func New(set *settings.Settings, p Parts, stats *metrics.Set, log *slog.Logger) *Tracker {
	return &Tracker{
		set:       set,
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

// Set takes over a register. It takes the cache's lock.
func (t *Tracker) Set(r *deadline.Register) {
	t.Cache.Lock()
	defer t.Cache.Unlock()
	t.register, t.assignedAt = r, time.Time{}
	clear(t.rejected)
}

// Read reads and checks a register's file; set may be nil, for any teams. An error names file, line and reason.
func Read(path string, set *settings.Settings) (*deadline.Register, error) {
	var teams []wire.Team
	if set != nil {
		for _, team := range set.Cluster.Teams {
			teams = append(teams, team.Name)
		}
	}
	return configfile.Read(path, func(text []byte) (*deadline.Register, error) { return deadline.Parse(text, teams) })
}

// Reload reads the register's file again when it changes, until ctx ends. A file that is wrong, or gone, leaves
// the register that was read last in force.
func (t *Tracker) Reload(ctx context.Context, path string) error {
	return configfile.Follow(ctx, path, nil, func() {
		r, err := Read(path, t.set)
		if err != nil {
			t.stats.Add("registers_refused_total", 1)
			t.log.Error("register not taken; the one before stays", "err", strings.ReplaceAll(err.Error(), "\n", "; "))
			return
		}
		t.Set(r)
		t.log.Info("register read", "file", path, "register", r.String())
	})
}

// RegisterEdition returns the revision of the register that was given; 0: none.
func (t *Tracker) RegisterEdition() int {
	if t.register == nil {
		return 0
	}
	return t.register.Revision
}

// GalleryOf returns the gallery that a job, perhaps of a workflow, is to be assigned to as it is accepted, nil
// if none: the first that the register names for it and that is on record and has not ended. The record decides:
// a register that differs from other controllers' can't assign jobs to a gallery that nobody opened.
func (t *Tracker) GalleryOf(spec *wire.JobSpec, workflow wire.WorkflowID) *ledger.Gallery {
	for _, name := range t.register.GalleriesOf(spec, workflow) {
		if g := t.records().Gallery(name); g != nil && !g.Ended() && g.Team == spec.Team {
			return g
		}
	}
	return nil
}

// Reconcile computes what remains of every gallery, from the jobs that are active.
func (t *Tracker) Reconcile(now time.Time) {
	clear(t.remaining)
	t.records().EachActive(func(j *ledger.Job) {
		if j.Gallery == "" {
			return
		}
		machineType, pending := t.machineTypeFor(j), j.Pending()
		duration := t.RunTimes.Expected(j) * runTimeMarginNum / runTimeMarginDen
		if pending > 0 {
			duration += placement.FetchTime(j.Spec.ImageGB, machineType.FetchGBps)
		}
		work := t.remaining[j.Gallery]
		work.longest = max(work.longest, duration)
		work.hasPending = work.hasPending || pending > 0
		total := ledger.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
		if perMachine := total.CountFitting(j.Need, maxTasksPerMachine); perMachine > 0 {
			work.machineSeconds += float64(pending+j.Claimed) / float64(perMachine) * duration.Seconds()
		}
		t.remaining[j.Gallery] = work
	})
}

// machineTypeFor returns the first machine type by name that a job may run on; the zero type if there is none.
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

// LatestStart returns when a job must start for its gallery to be done by the promised date: all jobs of a
// gallery share the time that its longest one leaves. False if it is assigned to none that goes on.
func (t *Tracker) LatestStart(j *ledger.Job) (time.Time, bool) {
	g := t.records().Gallery(j.Gallery)
	if j.Gallery == "" || g == nil || g.Ended() {
		return time.Time{}, false
	}
	return g.Date().Time().Add(-t.remaining[j.Gallery].longest), true
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
