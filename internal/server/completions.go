package server

import (
	"context"
	"time"

	"maddermill/internal/membership/completion"
	"maddermill/internal/membership/peer"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Minimum delays before a job is retried after an exit with the given cause.
const (
	notFoundBackoff       = 5 * time.Second // the worker does not know the job
	gangIncompleteBackoff = 2 * time.Second
)

// addCompletions adds the completions that a heartbeat reports to the completion log, even if the heartbeat is
// stale or may not be answered: a completion remains proof for its claim. The caller must hold the cache lock.
func (s *HeartbeatServer) addCompletions(hb *wire.Heartbeat, now time.Time) {
	for i := range hb.Tasks {
		task := &hb.Tasks[i]
		if task.State != wire.TaskExited || task.Cause != wire.CauseDone {
			continue
		}
		done := peer.Completion{
			Job:     task.Task.Job,
			Task:    task.Task.Index,
			Attempt: task.Attempt,
			Machine: hb.Machine,
			Epoch:   hb.Epoch,
		}
		if s.MayLackCompletion(done) {
			s.Completions.Add(done, !s.Cache.SyncedWithin(now, settings.MaxSyncAge), now)
		}
	}
}

// MayLackCompletion reports whether the records may lack a completion: they hold the claim that it
// completes, or they are not loaded, or they may be too old to contain that claim. The caller must hold the
// cache lock.
func (s *HeartbeatServer) MayLackCompletion(done peer.Completion) bool {
	return !s.Cache.SyncedWithin(time.Now(), settings.MaxSyncAge) || completion.HasClaim(s.records(), done)
}

// observeExits logs and counts the exits that a heartbeat proves, and passes them to the trackers of failures,
// images and topology. The caller must hold the cache lock.
func (s *HeartbeatServer) observeExits(w *reconcile.Worker, exits []reconcile.TaskExit, now time.Time) {
	images := s.Registry.Images(s.records(), w)
	for _, exit := range exits {
		job := exit.Held.Job
		s.log.Info("task exited", "job", job.ID, "task", exit.Task, "attempt", exit.Held.Attempt, "machine", w.ID,
			"cause", exit.Cause, "saved", exit.Saved, "session", w.Epoch)
		s.stats.Add("exits_total", 1)
		switch exit.Cause {
		case wire.CauseDone:
			s.Failures.RecordCompletion(job, exit.Task, w.ID, s.Topology.BlockOf(w), exit.RunTime, now)
			if exit.Held.Epoch == w.Epoch {
				images.RecordUse(job.Spec.Image, job.Spec.ImageGB)
			} else {
				s.stats.Add("completions_recalled_total", 1)
			}
		case wire.CauseError:
			s.Failures.RecordFailure(job, exit.Task, w.ID, s.Topology.BlockOf(w), now)
		case wire.CauseInsufficientRoom:
			w.CordonedUntil = now.Add(2 * s.set.Cluster.Workers.Report.Duration())
		case wire.CauseBusy:
			s.Failures.AvoidMachine(job.ID, w.ID, now)
		case wire.CauseNotFound:
			s.Failures.SetRetryTime(job.ID, now.Add(notFoundBackoff))
		case wire.CauseGangPeerLost:
			s.Topology.ObservePartition(job, exit.Held.Attempt, now)
		case wire.CauseGangIncomplete:
			s.Failures.SetRetryTime(job.ID, now.Add(gangIncompleteBackoff))
		case wire.CausePreempted:
			// No tracker is involved: the records already cause the job to be placed again.
		}
	}
}

const (
	// finishedSweepInterval is how often CompleteFinishedJobs examines the active jobs.
	finishedSweepInterval = 2 * time.Second
	// finishedExpiry is how long its changes may stay queued before they are dropped; the next sweep requests
	// them again.
	finishedExpiry = time.Second
)

// CompleteFinishedJobs completes, until ctx ends, active jobs whose tasks are all done, and returns ctx's
// error. Such a job remains active if two controllers recorded its last two tasks at the same time, as neither
// then saw the last one.
func (s *HeartbeatServer) CompleteFinishedJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, finishedSweepInterval)
		s.Cache.Read(func(records *ledger.Ledger) {
			records.EachActive(func(job *ledger.Job) {
				if job.Spec.Shape != wire.Service && job.Done == job.Spec.Tasks {
					s.Committer.Enqueue(s.completeChange(job.ID))
				}
			})
		})
	}
	return ctx.Err()
}

// completeChange returns the change that completes a job.
func (s *HeartbeatServer) completeChange(id wire.JobID) *committer.Change {
	return &committer.Change{
		Class:     committer.ClassStart,
		ExpiresAt: time.Now().Add(finishedExpiry),
		Draft: func(txn *ledger.Transaction) error {
			if job := s.records().Job(id); job != nil {
				return txn.CompleteJob(job)
			}
			return ledger.ErrPreconditionFailed
		},
	}
}
