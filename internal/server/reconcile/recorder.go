package reconcile

import (
	"context"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"time"

	"maddermill/internal/membership/completion"
	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/wire"
)

const (
	// recordInterval is how often the completion log is checked for completions to record.
	recordInterval = 300 * time.Millisecond
	// peerJobsDelay is how long after an outage a controller leaves the completions of its peers' jobs to them,
	// so that the controllers do not all write the same records.
	peerJobsDelay = 4 * time.Second
)

// Recorder records the completions that were reported during an outage of the state service as soon as it is
// available again, whichever controller the machines report to by then: the leases of most workers have
// expired, and they report again only seconds later. It also removes recorded completions from the completion
// log.
type Recorder struct {
	completions *completion.Log
	cache       *watchcache.Cache
	committer   *committer.Committer
	limits      ledger.Limits
	stats       *metrics.Set
	log         *slog.Logger

	// The cache's lock guards the fields below.
	syncedSince time.Time // start of the current contact with the state service; zero if there is none
	recording   map[wire.JobID][]*committer.Change
}

// NewRecorder returns a recorder that is idle until Run is called. The limits specify the number of controllers
// and the index of this one.
func NewRecorder(
	completions *completion.Log,
	cache *watchcache.Cache,
	w *committer.Committer,
	limits ledger.Limits,
	stats *metrics.Set,
	log *slog.Logger,
) *Recorder {
	return &Recorder{
		completions: completions,
		cache:       cache,
		committer:   w,
		limits:      limits,
		stats:       stats,
		log:         log,
		recording:   map[wire.JobID][]*committer.Change{},
	}
}

// Run records and prunes completions until ctx ends, and returns ctx's error.
func (r *Recorder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, recordInterval)
		r.cache.Read(func(records *ledger.Ledger) { r.record(records, time.Now()) })
	}
	return ctx.Err()
}

// record prunes the completion log and enqueues changes for the unrecorded completions. The caller must hold
// the cache lock.
func (r *Recorder) record(records *ledger.Ledger, now time.Time) {
	if !r.cache.SyncedWithin(now, settings.MaxSyncAge) {
		r.syncedSince = time.Time{}
		return
	}
	if r.syncedSince.IsZero() {
		r.syncedSince = now
	}
	r.completions.Prune(records, r.cache.SyncedAt())
	maps.DeleteFunc(r.recording, func(_ wire.JobID, changes []*committer.Change) bool {
		return !slices.ContainsFunc(changes, (*committer.Change).Pending)
	})
	for id, exits := range r.unrecorded(records, now) {
		r.log.Info("completions recorded", "job", id, "tasks", len(exits))
		r.stats.Add("completions_recorded_total", int64(len(exits)))
		r.recording[id] = ExitChanges(r.cache, exits)
		for _, change := range r.recording[id] {
			r.committer.Enqueue(change)
		}
	}
}

// unrecorded returns the completions that this controller should record now, by job.
func (r *Recorder) unrecorded(records *ledger.Ledger, now time.Time) map[wire.JobID][]TaskExit {
	exits := map[wire.JobID][]TaskExit{}
	r.completions.EachUnrecorded(func(done peer.Completion) {
		if r.recording[done.Job] != nil || !r.ownsJob(done.Job) && now.Sub(r.syncedSince) < peerJobsDelay {
			return
		}
		if claim, ok := completion.ClaimOf(records, done); ok {
			exit := TaskExit{Held: claim, Task: done.Task, Cause: wire.CauseDone, LostClaim: true}
			exits[done.Job] = append(exits[done.Job], exit)
		}
	})
	return exits
}

// ownsJob reports whether this controller is the first choice to record a job's completions.
func (r *Recorder) ownsJob(id wire.JobID) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32()%uint32(max(1, r.limits.ControllerCount))) == r.limits.ControllerIndex
}
