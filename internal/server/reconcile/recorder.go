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
	// recordEvery is how often it is looked for completions to record.
	recordEvery = 300 * time.Millisecond
	// othersRecord is how long after an outage the completions of other controllers' jobs are left to
	// them, so that not all write the same records.
	othersRecord = 4 * time.Second
)

// Recorder records the completions that were reported while the state service was out of reach as
// soon as it is back, whoever holds the machines then: most of their workers have begun new sessions
// and report only seconds later. It also drops completions that are on record.
type Recorder struct {
	completed *completion.Log
	mirror    *watchcache.Cache
	writer    *committer.Committer
	limits    ledger.Limits
	stats     *metrics.Set
	log       *slog.Logger

	touched   time.Time // since when the state service is in reach; zero: it isn't
	recording map[wire.JobID][]*committer.Change
}

// NewRecorder returns a recorder that does nothing before Run. Limits tell which of how many
// controllers this one is.
func NewRecorder(
	completed *completion.Log,
	m *watchcache.Cache,
	w *committer.Committer,
	limits ledger.Limits,
	stats *metrics.Set,
	log *slog.Logger,
) *Recorder {
	return &Recorder{
		completed: completed,
		mirror:    m,
		writer:    w,
		limits:    limits,
		stats:     stats,
		log:       log,
		recording: map[wire.JobID][]*committer.Change{},
	}
}

// Run records and drops completions until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, recordEvery)
		r.mirror.Read(func(l *ledger.Ledger) { r.look(l, time.Now()) })
	}
	return ctx.Err()
}

// look is one look at the log, under the mirror's lock.
func (r *Recorder) look(l *ledger.Ledger, now time.Time) {
	if !r.mirror.SyncedWithin(now, settings.StartContact) {
		r.touched = time.Time{}
		return
	}
	if r.touched.IsZero() {
		r.touched = now
	}
	r.completed.Prune(l, r.mirror.SyncedAt())
	maps.DeleteFunc(r.recording, func(_ wire.JobID, changes []*committer.Change) bool {
		return !slices.ContainsFunc(changes, (*committer.Change).Pending)
	})
	for id, exits := range r.lacking(l, now) {
		r.log.Info("completions recorded", "job", id, "tasks", len(exits))
		r.stats.Add("completions_recorded_total", int64(len(exits)))
		r.recording[id] = ExitChanges(r.mirror, exits)
		for _, change := range r.recording[id] {
			r.writer.Enqueue(change)
		}
	}
}

// lacking is what this controller is to record now, by job.
func (r *Recorder) lacking(l *ledger.Ledger, now time.Time) map[wire.JobID][]TaskExit {
	out := map[wire.JobID][]TaskExit{}
	r.completed.EachUnrecorded(func(c peer.Completion) {
		if r.recording[c.Job] != nil || !r.mine(c.Job) && now.Sub(r.touched) < othersRecord {
			return
		}
		if held, ok := completion.ClaimOf(l, c); ok {
			out[c.Job] = append(out[c.Job], TaskExit{Held: held, Task: c.Task, Cause: wire.CauseDone, Recalled: true})
		}
	})
	return out
}

// mine reports whether a job's completions are this controller's to record first.
func (r *Recorder) mine(id wire.JobID) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32()%uint32(max(1, r.limits.ControllerCount))) == r.limits.ControllerIndex
}
