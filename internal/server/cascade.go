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

// Pace of FollowDependencies.
const (
	dependenciesInterval = time.Second
	// maxPendingCascades is how many cancellations that follow from others may be on their way at once.
	maxPendingCascades = 64
	// maxResolvedPerRound is how many archived dependencies are read in a round.
	maxResolvedPerRound = 16
)

// FollowDependencies does, until ctx ends, what follows from dependencies in the background. Whether a job is
// ready or cancelled with an ancestor every controller derives from the records at once; here the
// cancellation is made durable in the job's own record, by the controller that leads, so that the archive
// keeps it, and dependencies that were archived before their dependents were known are read back. It
// returns ctx's error.
func (s *JobServer) FollowDependencies(ctx context.Context, leading func() bool) error {
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

// logReleased counts the jobs whose last dependency was done since the last call, and logs them where that
// is asked for.
func (s *JobServer) logReleased(log bool) {
	var released []wire.JobID
	s.Cache.Read(func(l *ledger.Ledger) { released = l.DrainReleased() })
	s.stats.Add("jobs_released_total", int64(len(released)))
	for _, id := range released {
		if log {
			s.log.Info("job ready", "job", id)
		}
	}
}

// cancelWithAncestors enqueues the cancellation of jobs with a cancelled ancestor. cascades has those on
// their way.
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

// cascadeChange returns the change that cancels a job with its ancestor.
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

// resolveArchivedDependencies reads how jobs ended that are archived and that active jobs name.
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
		status, err := s.Archived(ctx, id)
		switch {
		case errors.Is(err, ErrNoSuchJob):
			s.log.Error("a job waits for one that is neither on record nor archived", "awaits", id)
		case err != nil:
			s.log.Debug("archived dependency not read", "job", id, "err", err)
		default:
			s.Cache.Read(func(l *ledger.Ledger) { l.ResolveDependency(id, finalRecordOf(status)) })
		}
	}
}
