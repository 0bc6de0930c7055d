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

// Errors returned to users. They may be joined with an error that states the reason.
var (
	ErrNoSuchJob     = errors.New("no such job")
	ErrUnschedulable = errors.New("can never run")
)

// maxWaitingForShown bounds the unfinished dependencies that a job's status lists.
const maxWaitingForShown = 20

// loadWait is how long a submission waits for a controller that has just started to load its records.
const loadWait = time.Second

// JobServerDependencies are the components that a JobServer uses.
type JobServerDependencies struct {
	Cache     *watchcache.Cache
	Committer *committer.Committer
	Policies  *policymanager.Manager
	Archiver  *archiver.Archiver
	Deadlines *deadlinetracker.Tracker
}

// JobServer answers users' requests: submissions, polls and cancellations. All are idempotent. A result is
// returned only once it is durable; while that is not possible the error is or wraps kvstore.ErrUnreachable,
// and the user should retry.
type JobServer struct {
	set *settings.Settings
	JobServerDependencies
	stats *metrics.Set
	log   *slog.Logger
}

// NewJobServer returns a server for users' requests.
func NewJobServer(set *settings.Settings, p JobServerDependencies, stats *metrics.Set, log *slog.Logger) *JobServer {
	return &JobServer{set: set, JobServerDependencies: p, stats: stats, log: log}
}

// records returns the replicated records. The caller must hold the cache lock while using them.
func (s *JobServer) records() *ledger.Ledger { return s.Cache.Records() }

// Loaded reports whether the records have been loaded.
func (s *JobServer) Loaded() bool {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	return s.Cache.Loaded()
}

// waitLoaded waits up to loadWait until the records are loaded.
func (s *JobServer) waitLoaded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	return s.Cache.WaitForRevision(ctx, 0)
}

// Submit accepts a job, or returns the status of a job that is already known. created is true if this call made
// the job durable. The error is ErrUnschedulable with the reason if the job is rejected permanently.
func (s *JobServer) Submit(ctx context.Context, spec *wire.JobSpec) (st wire.JobStatus, created bool, err error) {
	if err := s.waitLoaded(ctx); err != nil {
		return st, false, err
	}
	//nolint:contextcheck // the policy runs under the lock, within its own time limit
	known, refusal := s.checkSubmission(spec)
	if !known && refusal == nil {
		refusal = s.accept(ctx, spec)
	}
	switch {
	case !known && refusal == nil:
		return s.acceptedStatus(spec.ID), true, nil
	case errors.Is(refusal, ledger.ErrPreconditionFailed):
		refusal = nil // another controller accepted the job in the meantime
	case refusal != nil && !permanentRefusal(refusal):
		return st, false, refusal
	}
	// An accepted job is never rejected later, whatever has changed since.
	st, err = s.Status(ctx, spec.ID)
	if refusal != nil && errors.Is(err, ErrNoSuchJob) {
		err = refusal
	}
	return st, false, err
}

// permanentRefusal reports whether a submission was rejected because of its content rather than a temporary
// condition.
func permanentRefusal(refusal error) bool {
	return errors.Is(refusal, ErrUnschedulable) || errors.Is(refusal, ledger.ErrTooManyDependencies)
}

// accept makes a job durable that passed checkSubmission. The error is that of commitSubmission, or states why
// the job cannot be accepted with its dependencies.
func (s *JobServer) accept(ctx context.Context, spec *wire.JobSpec) error {
	named, err := s.resolveDependencies(ctx, spec)
	if err != nil {
		return err
	}
	return s.commitSubmission(ctx, spec, named)
}

// checkSubmission reports whether the records contain a job and, if not, why it cannot be accepted; refusal is
// nil if it can.
func (s *JobServer) checkSubmission(spec *wire.JobSpec) (known bool, refusal error) {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	_, archived := s.records().FinalRecordOf(spec.ID)
	if archived || s.records().Job(spec.ID) != nil {
		return true, nil
	}
	return false, s.Admit(spec, time.Now())
}

// commitSubmission makes a job durable. The error is ledger.ErrPreconditionFailed if the job has been accepted
// in the meantime, ErrUnschedulable if its record would be too large, or ledger.ErrTooManyDependencies if its
// dependencies make it too large.
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
	case errors.Is(err, ledger.ErrUnknownDependency): // a dependency was archived in the meantime
		return errors.Join(kvstore.ErrUnreachable, err)
	}
	return err
}

// acceptedStatus returns the current status, by the records, of a job that this controller has just made
// durable. If the state service was slow, another controller may already have returned a later status to the
// user.
func (s *JobServer) acceptedStatus(id wire.JobID) wire.JobStatus {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	if final, ok := s.records().FinalRecordOf(id); ok {
		return final.Status(id)
	}
	if job := s.records().Job(id); job != nil {
		return wire.JobStatus{ID: id, Status: job.Status()}
	}
	return wire.JobStatus{ID: id, Status: wire.Queued}
}

// Status returns the status of a job, at least as recent as the call (a linearizable read). Cached final
// statuses are returned without reading the state service, as they never change. The error is ErrNoSuchJob if
// the job is not known.
func (s *JobServer) Status(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	s.Cache.Lock()
	final, archived := s.records().FinalRecordOf(id)
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
	// The records are of a revision after the call, so the job either was archived, and the archive's filter
	// contains it, or is unknown.
	return s.ArchivedStatus(ctx, id)
}

// recordedStatus returns the status of a job by the records, if they contain it.
func (s *JobServer) recordedStatus(id wire.JobID) (wire.JobStatus, bool) {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	if final, ok := s.records().FinalRecordOf(id); ok {
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

// Cancel cancels a job and returns its final status: cancelled, or done if it had completed before. The error
// is ErrNoSuchJob if the job is not known, kvstore.ErrUnreachable if the final status is not yet durable.
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

// commitCancellation makes the cancellation of a job durable. If an earlier version wrote a record larger than
// the state service now accepts, the record is first rewritten in parts.
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

// commitOnJob commits a change to a job in the records. The error is ledger.ErrPreconditionFailed if the job is
// not there because it has ended and was archived.
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

// isFinal reports whether a job's status can no longer change.
func isFinal(status wire.Status) bool { return status == wire.Done || status == wire.Cancelled }

// ArchivedStatus returns the final status of a job that is not in the records, which must be up to date. The error is
// ErrNoSuchJob if the archive does not contain it either; other errors wrap kvstore.ErrUnreachable.
func (s *JobServer) ArchivedStatus(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	st, err := s.Archiver.Final(ctx, id)
	switch {
	case errors.Is(err, archiver.ErrUnknown):
		err = ErrNoSuchJob
	case err != nil:
		err = errors.Join(kvstore.ErrUnreachable, err)
	}
	return st, err
}
