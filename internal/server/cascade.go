package server

import (
	"context"
	"errors"
	"time"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Timing and limits of MaintainDependencies.
const (
	dependenciesInterval = time.Second
	// maxPendingCascades bounds the cancellations caused by a cancelled ancestor that may be pending at once.
	maxPendingCascades = 64
	// maxResolvedPerRound bounds the archived dependencies read per round.
	maxResolvedPerRound = 16
)

// MaintainDependencies runs the background work that dependencies require until ctx ends, and returns ctx's
// error. Every controller derives from the records whether a job is ready or cancelled with an ancestor. The
// leader also writes such a cancellation to the job's own record, so that the archive keeps it. Dependencies
// that were archived before their dependents were loaded are read back from the archive.
func (s *JobServer) MaintainDependencies(ctx context.Context, leading func() bool) error {
	cascades := map[wire.JobID]*committer.Change{}
	for ctx.Err() == nil {
		wait.For(ctx, dependenciesInterval)
		s.logReleased(leading())
		s.resolveArchivedDependencies(ctx)
		if leading() {
			s.cancelWithAncestors(cascades)
		}
	}
	return ctx.Err()
}

// logReleased counts the jobs whose last dependency completed since the previous call, and logs them if log is
// set.
func (s *JobServer) logReleased(log bool) {
	var released []wire.JobID
	s.Cache.Read(func(l *ledger.Ledger) { released = l.DrainNewlyReady() })
	s.stats.Add("jobs_released_total", int64(len(released)))
	for _, id := range released {
		if log {
			s.log.Info("job ready", "job", id)
		}
	}
}

// cancelWithAncestors enqueues the cancellation of jobs with a cancelled ancestor. cascades holds the pending
// cancellations.
func (s *JobServer) cancelWithAncestors(cascades map[wire.JobID]*committer.Change) {
	for id, change := range cascades {
		if !change.Pending() {
			delete(cascades, id)
		}
	}
	var found []wire.JobID
	s.Cache.Read(func(l *ledger.Ledger) {
		for id := range l.AncestorCancelledJobs() {
			if len(found)+len(cascades) >= maxPendingCascades {
				return
			}
			if cascades[id] == nil {
				found = append(found, id)
			}
		}
	})
	for _, id := range found {
		cascades[id] = s.cascadeChange(id)
		s.Committer.Enqueue(cascades[id])
	}
}

// cascadeChange returns the change that cancels a job because an ancestor was cancelled.
func (s *JobServer) cascadeChange(id wire.JobID) *committer.Change {
	return &committer.Change{
		Class: committer.ClassRecord,
		Draft: func(txn *ledger.Transaction) error {
			job := s.records().Job(id)
			if job == nil || !job.AncestorCancelled {
				return ledger.ErrPreconditionFailed
			}
			_, err := txn.Cancel(job)
			return err
		},
		OnCommit: func() {
			s.stats.Add("jobs_cancelled_with_ancestor_total", 1)
			s.log.Info("job cancelled with an ancestor", "job", id)
		},
	}
}

// resolveArchivedDependencies reads from the archive the final states of dependencies that active jobs name but
// the records lack.
func (s *JobServer) resolveArchivedDependencies(ctx context.Context) {
	var missing []wire.JobID
	if !s.Loaded() {
		return
	}
	s.Cache.Read(func(l *ledger.Ledger) {
		for id := range l.MissingDependencies() {
			if missing = append(missing, id); len(missing) == maxResolvedPerRound {
				return
			}
		}
	})
	for _, id := range missing {
		status, err := s.ArchivedStatus(ctx, id)
		switch {
		case errors.Is(err, ErrNoSuchJob):
			s.log.Error("a job waits for one that is neither on record nor archived", "awaits", id)
		case err != nil:
			s.log.Debug("reading archived dependency failed", "job", id, "err", err)
		default:
			s.Cache.Read(func(l *ledger.Ledger) { l.ResolveDependency(id, finalRecordOf(status)) })
		}
	}
}
