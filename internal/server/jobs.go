package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// Errors that users get as answers. They may be joined with an error that holds the reason.
var (
	ErrNoSuchJob     = errors.New("no such job")
	ErrUnschedulable = errors.New("can never run")
)

// maxWaitingForShown is how many of the jobs that a job waits for its status names.
const maxWaitingForShown = 20

// loadWait is how long a submission waits for the records of a controller that has just started.
const loadWait = time.Second

// JobServerParts are the components that a JobServer works with.
type JobServerParts struct {
	Cache     *watchcache.Cache
	Committer *committer.Committer
	Policies  *policymanager.Manager
	Archiver  *archiver.Archiver
	Deadlines *deadlinetracker.Tracker
}

// JobServer answers users' requests: submissions, polls and cancellations. All are idempotent. An answer
// is given only after what it says is durable; while that can't be had the error is or wraps
// kvstore.ErrUnreachable, and the user is to try again.
type JobServer struct {
	set *settings.Settings
	JobServerParts
	stats *metrics.Set
	log   *slog.Logger
}

// NewJobServer returns a server of users' requests.
func NewJobServer(set *settings.Settings, p JobServerParts, stats *metrics.Set, log *slog.Logger) *JobServer {
	return &JobServer{set: set, JobServerParts: p, stats: stats, log: log}
}

// records are the replicated records; the cache's lock must be held while they are used.
func (s *JobServer) records() *ledger.Ledger { return s.Cache.Records() }

// Loaded reports whether the records have been loaded.
func (s *JobServer) Loaded() bool {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	return s.Cache.Loaded()
}

// waitLoaded waits until the records are loaded, for at most loadWait.
func (s *JobServer) waitLoaded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	return s.Cache.WaitForRevision(ctx, 0)
}

// Submit accepts a job, or returns the status of one that is known already. created is true if this call
// made the job durable. The error is ErrUnschedulable with the reason if the job is refused for good.
func (s *JobServer) Submit(ctx context.Context, spec *wire.JobSpec) (st wire.JobStatus, created bool, err error) {
	if err := s.waitLoaded(ctx); err != nil {
		return st, false, err
	}
	//nolint:contextcheck // the policy is asked under the lock, within its own time limit
	known, refusal := s.checkSubmission(spec)
	if !known && refusal == nil {
		refusal = s.accept(ctx, spec)
	}
	switch {
	case !known && refusal == nil:
		return s.acceptedStatus(spec.ID), true, nil
	case errors.Is(refusal, ledger.ErrPreconditionFailed):
		refusal = nil // the job was submitted elsewhere meanwhile
	case refusal != nil && !refusedForGood(refusal):
		return st, false, refusal
	}
	// A job that was accepted is never refused later, whatever has changed since.
	st, err = s.Status(ctx, spec.ID)
	if refusal != nil && errors.Is(err, ErrNoSuchJob) {
		err = refusal
	}
	return st, false, err
}

// refusedForGood reports whether a submission was refused for what it says, and not for now.
func refusedForGood(refusal error) bool {
	return errors.Is(refusal, ErrUnschedulable) || errors.Is(refusal, ledger.ErrTooManyDependencies)
}

// accept makes a job durable that the records don't know and that may run. The error is that of
// commitSubmission, or says why the job can't be accepted for the jobs that it names.
func (s *JobServer) accept(ctx context.Context, spec *wire.JobSpec) error {
	named, err := s.resolveDependencies(ctx, spec)
	if err != nil {
		return err
	}
	return s.commitSubmission(ctx, spec, named)
}

// checkSubmission reports whether the records know a job and, if not, why it can't be accepted; nil if it can.
func (s *JobServer) checkSubmission(spec *wire.JobSpec) (known bool, refusal error) {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	_, archived := s.records().ArchivedState(spec.ID)
	if archived || s.records().Job(spec.ID) != nil {
		return true, nil
	}
	return false, s.Admit(spec, time.Now())
}

// commitSubmission makes a job durable. The error is ledger.ErrPreconditionFailed if the job has become
// known meanwhile, ErrUnschedulable if its record would be too large, ledger.ErrTooManyDependencies if that is
// for the jobs that it names.
func (s *JobServer) commitSubmission(ctx context.Context, spec *wire.JobSpec, named dependencies) error {
	at := wire.UnixMillis(time.Now().UnixMilli())
	err := s.Committer.CommitNow(ctx, func(txn *ledger.Transaction) error {
		return txn.SubmitJob(ledger.Submission{
			Spec:     spec,
			At:       at,
			Gallery:  s.Deadlines.GalleryOf(spec, ""),
			Archived: named.archived,
		})
	})
	switch {
	case err == nil:
		s.log.Info("job accepted",
			"job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks, "awaits", len(spec.Dependencies))
		s.stats.Add("jobs_accepted_total", 1)
		return nil
	case errors.Is(err, ledger.ErrTooLarge):
		return errors.Join(ErrUnschedulable, err)
	case errors.Is(err, ledger.ErrUnknownDependency): // one was archived meanwhile
		return errors.Join(kvstore.ErrUnreachable, err)
	}
	return err
}

// acceptedStatus is the status of a job that this controller has just made durable, by the records as they
// are now: where the state service answered slowly, another controller may have answered the user with a
// later status.
func (s *JobServer) acceptedStatus(id wire.JobID) wire.JobStatus {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	if final, ok := s.records().ArchivedState(id); ok {
		return final.Status(id)
	}
	if job := s.records().Job(id); job != nil {
		return wire.JobStatus{ID: id, Status: job.Status()}
	}
	return wire.JobStatus{ID: id, Status: wire.Queued}
}

// Status returns the status of a job, at least as new as the call (a linearizable read). Final statuses
// that are cached are returned without a read of the state service, as they never change. The error is
// ErrNoSuchJob if the job is not known.
func (s *JobServer) Status(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	s.Cache.Lock()
	final, archived := s.records().ArchivedState(id)
	archived = archived && s.Cache.Loaded()
	s.Cache.Unlock()
	if archived {
		return final.Status(id), nil
	}
	if record, ok := s.Archiver.CachedFinal(id); ok {
		return record.Status(id), nil
	}
	if err := s.Cache.ReadIndex(ctx); err != nil {
		return wire.JobStatus{}, err
	}
	if st, ok := s.recordedStatus(id); ok {
		return st, nil
	}
	// The records are of a revision after the call, so that the job was either archived, which the
	// archive's filter then shows, or is unknown.
	return s.Archived(ctx, id)
}

// recordedStatus is the status of a job by the records, if they hold it.
func (s *JobServer) recordedStatus(id wire.JobID) (wire.JobStatus, bool) {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	if final, ok := s.records().ArchivedState(id); ok {
		return final.Status(id), true
	}
	job := s.records().Job(id)
	if job == nil {
		return wire.JobStatus{}, false
	}
	done, running := job.Done, job.Claimed
	status := wire.JobStatus{ID: job.ID, Status: job.Status(), Done: &done, Running: &running}
	if status.Status == wire.Queued {
		status.WaitingFor = job.WaitingFor()
		status.WaitingFor = status.WaitingFor[:min(len(status.WaitingFor), maxWaitingForShown)]
	}
	return status, true
}

// Cancel cancels a job and returns its final status: cancelled, or done if it was done before. The error is
// ErrNoSuchJob if the job is not known, kvstore.ErrUnreachable if the end is not yet durable.
func (s *JobServer) Cancel(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	st, err := s.Status(ctx, id)
	if err != nil || isFinal(st.Status) {
		return wire.JobStatus{ID: id, Status: st.Status}, err
	}
	err = s.commitCancellation(ctx, id)
	if err != nil && !errors.Is(err, ledger.ErrPreconditionFailed) {
		return wire.JobStatus{}, err
	}
	if st, err = s.Status(ctx, id); err != nil || !isFinal(st.Status) {
		return wire.JobStatus{}, kvstore.ErrUnreachable
	}
	s.log.Info("job cancelled", "job", id, "status", st.Status)
	return wire.JobStatus{ID: id, Status: st.Status}, nil
}

// commitCancellation makes the cancellation of a job durable. A record that an earlier version wrote larger
// than the state service takes by now is first written in parts.
func (s *JobServer) commitCancellation(ctx context.Context, id wire.JobID) error {
	for {
		err := s.commitOnJob(ctx, id, func(txn *ledger.Transaction, job *ledger.Job) error {
			_, err := txn.Cancel(job)
			return err
		})
		if !errors.Is(err, ledger.ErrTooLarge) {
			return err
		}
		if err := s.commitOnJob(ctx, id, (*ledger.Transaction).WriteParts); err != nil {
			return err
		}
	}
}

// commitOnJob commits a change of a job on record. The error is ledger.ErrPreconditionFailed if it is not: it
// ended since and was archived.
func (s *JobServer) commitOnJob(
	ctx context.Context,
	id wire.JobID,
	change func(*ledger.Transaction, *ledger.Job) error,
) error {
	return s.Committer.CommitNow(ctx, func(txn *ledger.Transaction) error {
		job := s.records().Job(id)
		if job == nil {
			return ledger.ErrPreconditionFailed
		}
		return change(txn, job)
	})
}

// isFinal reports whether a job's status can't change any more.
func isFinal(status wire.Status) bool { return status == wire.Done || status == wire.Cancelled }

// Archived returns the final status of a job that the records, which must be fresh, don't hold. The error
// is ErrNoSuchJob if the archive does not hold it either, else it wraps kvstore.ErrUnreachable.
func (s *JobServer) Archived(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	st, err := s.Archiver.Final(ctx, id)
	switch {
	case errors.Is(err, archiver.ErrUnknown):
		err = ErrNoSuchJob
	case err != nil:
		err = errors.Join(kvstore.ErrUnreachable, err)
	}
	return st, err
}
