package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/policy"
	"maddermill/wire"
)

// Errors that users are told of.
var (
	ErrNoSuchJob     = errors.New("no such job")
	ErrUnschedulable = errors.New("can never run")
)

// JobServerParts are what the server of users works with.
type JobServerParts struct {
	Cache     *watchcache.Cache
	Committer *committer.Committer
	Policies  *policymanager.Manager
	Archiver  *archiver.Archiver
	Deadlines *deadlinetracker.Tracker
}

// JobServer serves users' requests.
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

func (c *JobServer) led() *ledger.Ledger { return c.Cache.Records() }

// Loaded reports whether the records have been read.
func (c *JobServer) Loaded() bool {
	c.Cache.Lock()
	defer c.Cache.Unlock()
	return c.Cache.Loaded()
}

// loadWait is how long a submission waits for the records of a controller that just started.
const loadWait = time.Second

// loading waits until the records are read, for which no more than loadWait is taken.
func (c *JobServer) loading(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	return c.Cache.WaitForRevision(ctx, 0)
}

// Submit accepts a job, or tells of one that is known. created is true when
// this call made it durable.
func (c *JobServer) Submit(ctx context.Context, spec *wire.JobSpec) (st wire.JobStatus, created bool, err error) {
	if err := c.loading(ctx); err != nil {
		return st, false, err
	}
	c.Cache.Lock()
	_, over := c.led().ArchivedState(spec.ID)
	known := over || c.led().Job(spec.ID) != nil
	var verdict error
	if !known {
		verdict = c.Admit(spec, time.Now())
	}
	c.Cache.Unlock()
	if verdict != nil {
		if !errors.Is(verdict, ErrUnschedulable) {
			return st, false, verdict
		}
		// A job that was accepted is never refused, whatever changed since.
		st, err := c.Status(ctx, spec.ID)
		if errors.Is(err, ErrNoSuchJob) {
			err = verdict
		}
		return st, false, err
	}
	if !known {
		at := wire.UnixMillis(time.Now().UnixMilli())
		err = c.Committer.CommitNow(ctx, func(d *ledger.Transaction) error {
			return d.SubmitToGallery(spec, at, c.Deadlines.GalleryOf(spec, ""))
		})
		switch {
		case err == nil:
			c.log.Info("job accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
			c.stats.Add("jobs_accepted_total", 1)
			return c.accepted(spec.ID), true, nil
		case errors.Is(err, ledger.ErrTooLarge):
			return st, false, errors.Join(ErrUnschedulable, err)
		case !errors.Is(err, ledger.ErrPreconditionFailed):
			return st, false, err
		}
	}
	st, err = c.Status(ctx, spec.ID)
	return st, false, err
}

// accepted tells of a job that this controller has just made durable, as the records are now: where
// the answer of the state service was slow, its user may have been told more elsewhere.
func (c *JobServer) accepted(id wire.JobID) wire.JobStatus {
	c.Cache.Lock()
	defer c.Cache.Unlock()
	if over, ok := c.led().ArchivedState(id); ok {
		return over.Status(id)
	}
	if j := c.led().Job(id); j != nil {
		return wire.JobStatus{ID: id, Status: j.Status()}
	}
	return wire.JobStatus{ID: id, Status: wire.Queued}
}

// errNotAdmitted: the policy refuses a job for good.
var errNotAdmitted = errors.New("not admitted by the policy")

// Admit tells, under the mirror's lock, whether a job that is not known can ever run and is admitted now.
func (c *JobServer) Admit(s *wire.JobSpec, now time.Time) error {
	if err := c.feasible(s); err != nil {
		return err
	}
	return c.admit(s, now)
}

// admit asks the policy about a job that is not known, if it has a say.
func (c *JobServer) admit(s *wire.JobSpec, now time.Time) error {
	if !c.Policies.HasPolicy(c.led()) {
		return nil
	}
	need := ledger.NewResources(s.CPUs, s.GPUs, s.MemoryGB)
	a := policy.Admission{Now: now.UnixMilli(), Names: []string{string(s.Team), string(s.Class), string(s.Image)},
		Job: placement.JobOf(s, need, wire.UnixMillis(now.UnixMilli()))}
	a.Job.Class, a.Job.Image = 1, 2
	sum := ledger.Resources{}.Add(need, s.Tasks)
	c.led().EachActive(func(j *ledger.Job) {
		pending := uint32(j.Pending())
		a.AllJobs, a.AllTasks = a.AllJobs+1, a.AllTasks+pending
		if j.Spec.Team == s.Team {
			a.TeamJobs, a.TeamTasks = a.TeamJobs+1, a.TeamTasks+pending
			sum = sum.Add(j.Need, j.Claimed+int(pending))
		}
	})
	if t := c.set.FindTeam(s.Team); t != nil {
		a.Guaranteed = !scheduler.OverGuarantee(t, sum)
	}
	switch c.Policies.Admit(c.led(), &a, now) {
	case policy.PutOff:
		return kvstore.ErrUnreachable
	case policy.Refuse:
		return errors.Join(ErrUnschedulable, errNotAdmitted)
	}
	return nil
}

// feasible tells whether a job can ever run.
func (c *JobServer) feasible(s *wire.JobSpec) error {
	t := c.set.FindTeam(s.Team)
	if t == nil {
		return errors.Join(ErrUnschedulable, errors.New("unknown team"))
	}
	if len(c.led().MachineTypes()) == 0 {
		return kvstore.ErrUnreachable // machine types aren't known yet
	}
	need := ledger.NewResources(s.CPUs, s.GPUs, s.MemoryGB)
	tasks := s.Tasks
	if s.Shape == wire.Array {
		tasks = 1
	}
	whole := ledger.Resources{}.Add(need, tasks)
	limit := ledger.NewResources(t.CPUsMax, t.GPUsMax, 0)
	if t.CPUsMax > 0 && whole.CPU > limit.CPU || t.GPUsMax > 0 && whole.GPU > limit.GPU {
		return errors.Join(ErrUnschedulable, errors.New("over the team's limit"))
	}
	for _, f := range c.led().MachineTypes() {
		if !ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB).Fits(need) {
			continue
		}
		for _, z := range f.Zones {
			if ledger.Allowed(s, f.Name, z, false) {
				return nil
			}
		}
	}
	return errors.Join(ErrUnschedulable, errors.New("no allowed machine type fits a task"))
}

// Status tells a job's state, at least as new as the call.
func (c *JobServer) Status(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	c.Cache.Lock()
	over, ok := c.led().ArchivedState(id)
	ok = ok && c.Cache.Loaded()
	c.Cache.Unlock()
	if ok {
		return over.Status(id), nil // it stays so for ever
	}
	if r, ok := c.Archiver.CachedFinal(id); ok {
		return r.Status(id), nil // so does this
	}
	if err := c.Cache.ReadIndex(ctx); err != nil {
		return wire.JobStatus{}, err
	}
	c.Cache.Lock()
	if over, ok := c.led().ArchivedState(id); ok {
		c.Cache.Unlock()
		return over.Status(id), nil
	}
	j := c.led().Job(id)
	if j == nil {
		// At a revision after the call came, the job was either archived and the filter says
		// so, or unknown.
		c.Cache.Unlock()
		return c.Archived(ctx, id)
	}
	defer c.Cache.Unlock()
	return statusOf(j), nil
}

func statusOf(j *ledger.Job) wire.JobStatus {
	done, running := j.Done, j.Claimed
	return wire.JobStatus{ID: j.ID, Status: j.Status(), Done: &done, Running: &running}
}

// Cancel cancels a job and tells its final state.
func (c *JobServer) Cancel(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	st, err := c.Status(ctx, id)
	if err != nil || st.Status == wire.Done || st.Status == wire.Cancelled {
		return wire.JobStatus{ID: id, Status: st.Status}, err
	}
	err = c.Committer.CommitNow(ctx, func(d *ledger.Transaction) error {
		j := c.led().Job(id)
		if j == nil {
			return ledger.ErrPreconditionFailed // over since, and archived
		}
		_, err := d.Cancel(j)
		return err
	})
	if err != nil && !errors.Is(err, ledger.ErrPreconditionFailed) {
		return wire.JobStatus{}, err
	}
	if st, err = c.Status(ctx, id); err != nil || st.Status != wire.Done && st.Status != wire.Cancelled {
		return wire.JobStatus{}, kvstore.ErrUnreachable
	}
	c.log.Info("job cancelled", "job", id, "status", st.Status)
	return wire.JobStatus{ID: id, Status: st.Status}, nil
}

// Archived tells the final state of a job that fresh records don't hold.
func (c *JobServer) Archived(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	st, err := c.Archiver.Final(ctx, id)
	switch {
	case errors.Is(err, archiver.ErrUnknown):
		err = ErrNoSuchJob
	case err != nil:
		err = errors.Join(kvstore.ErrUnreachable, err)
	}
	return st, err
}
