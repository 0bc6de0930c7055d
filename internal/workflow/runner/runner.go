// Package runner is the part of a controller that drives workflows: it accepts them, submits the jobs of
// their steps as they become ready, and reports their status (docs/cwl.md).
//
// Which controller drives a workflow follows from the workflow's name and the controllers that are reachable.
// Two that drive one for a while do no harm, as each step's job has an id of its own; a workflow that
// nobody drives is taken up within driveInterval. The fields driven and inspected of a Runner are guarded by
// the watch cache's lock.
package runner

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/server"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// Parts are the parts of the controller that a Runner uses.
type Parts struct {
	Cache      *watchcache.Cache
	Committer  *committer.Committer
	Membership *membership.Membership
	Failures   *crashloop.Tracker
	Scheduler  *scheduler.Scheduler
	Jobs       *server.JobServer
	Archiver   *archiver.Archiver
	Deadlines  *deadlinetracker.Tracker
}

// Runner drives workflows. It is off until Set.
type Runner struct {
	settings  *settings.Settings
	keyValues kvstore.Store
	Parts
	stats *metrics.Set
	log   *slog.Logger

	store stepdata.Store // nil: workflows are off
	// Guarded by the watch cache's lock:
	driven    map[wire.WorkflowID]*drivenRun
	inspected map[wire.WorkflowID]*inspection // driven elsewhere, whose status was requested here
}

// New returns a Runner with workflows off.
func New(set *settings.Settings, records kvstore.Store, p Parts, stats *metrics.Set, log *slog.Logger) *Runner {
	return &Runner{settings: set, keyValues: records, Parts: p, stats: stats, log: log}
}

// records returns the records, for whoever holds the watch cache's lock.
func (r *Runner) records() *ledger.Ledger { return r.Cache.Records() }

// inspection is a workflow that another controller drives, replayed here for its status.
type inspection struct {
	// turn has a place for the one request that uses run and revision. The others wait for theirs only as
	// long as their own time lasts, which they could not with a mutex.
	turn        chan struct{}
	run         *workflow.Run
	revision    wire.Revision
	requestedAt time.Time // when its status was last requested

	archiveMissed atomic.Bool // the last pass could not read some of what is archived
}

// newInspection returns the inspection of a workflow that nobody has replayed yet.
func newInspection() *inspection { return &inspection{turn: make(chan struct{}, 1)} }

// drivenRun is a workflow that this controller drives.
type drivenRun struct {
	run      *workflow.Run
	revision wire.Revision     // of the record that it was made from
	retryAt  time.Time         // no step before, after an error
	steps    []wire.StepStatus // all of them, as of the last whole pass; nil before the first

	archiveMissed atomic.Bool // the last pass could not read some of what is archived
}

// Bounds of driving workflows.
const (
	driveInterval   = time.Second
	driveRetryAfter = 5 * time.Second // after an error
	// abandonAfterRounds is after how many rounds of failures on several machines a step's job is
	// cancelled. A user's own job is not: its user may know better.
	abandonAfterRounds = 3
	// stepShare is the share of a controller's changes that submitting steps may take, so that a wide
	// workflow leaves capacity for users and starts.
	stepShare = 0.25
)

// Errors of users' requests.
var (
	// ErrNoWorkflows means that the service runs without workflows.
	ErrNoWorkflows = errors.New("workflows are not switched on")
	// ErrNotFailed means that a workflow can't be resumed.
	ErrNotFailed = errors.New("only a workflow that failed can be resumed")
)

// Set switches workflows on, before Run. What steps pass to each other is kept in store.
func (r *Runner) Set(store stepdata.Store) {
	r.store, r.driven, r.inspected = store, map[wire.WorkflowID]*drivenRun{}, map[wire.WorkflowID]*inspection{}
}

// Run drives this controller's part of the workflows, until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, driveInterval)
		r.Cache.Lock()
		var own []*ledger.Workflow
		if r.store != nil && r.Cache.SyncedWithin(time.Now(), settings.StartContact) {
			own = r.ownWorkflows(time.Now())
		}
		r.Cache.Unlock()
		budget := max(1, int(r.settings.StateLimits().WriteRPS/float64(r.settings.Cluster.Count)*stepShare))
		for i, w := range own {
			// What is left of the budget is shared among those that are left.
			share := max(1, budget/(len(own)-i))
			if budget <= 0 {
				share = 0
			}
			n, err := r.drive(ctx, w, share)
			budget -= n
			if err != nil && ctx.Err() == nil {
				r.log.Warn("workflow does not move on", "workflow", w.ID, "err", err)
			}
		}
	}
	return ctx.Err()
}

// ownWorkflows lists the workflows that have not ended and that this controller drives, by weights that each
// controller has for each workflow, so that few change owners when a controller leaves.
func (r *Runner) ownWorkflows(now time.Time) []*ledger.Workflow {
	members := append(r.Membership.ReachablePeers(now), r.settings.Member)
	var out []*ledger.Workflow
	for id := range r.driven {
		if r.records().Workflow(id) == nil {
			delete(r.driven, id) // archived
		}
	}
	r.records().EachWorkflow(func(w *ledger.Workflow) {
		if w.State != ledger.WorkflowActive && (w.State != ledger.WorkflowCancelled || w.JobsEnded) {
			delete(r.driven, w.ID)
			return
		}
		best := slices.MaxFunc(members, func(a, b wire.MemberID) int {
			return cmp.Or(cmp.Compare(weight(a, w.ID), weight(b, w.ID)), cmp.Compare(a, b))
		})
		if best == r.settings.Member {
			out = append(out, w)
		} else {
			delete(r.driven, w.ID)
		}
	})
	slices.SortFunc(out, func(a, b *ledger.Workflow) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Priority.Rank(), b.Spec.Priority.Rank()),
			cmp.Compare(a.Accepted, b.Accepted),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

// goldenRatio64 spreads the hashes of names that end alike.
const goldenRatio64 = 0x9e3779b97f4a7c15

// weight is the weight of a controller for a workflow; the greatest drives it (rendezvous hashing).
func weight(m wire.MemberID, w wire.WorkflowID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(m) + "\x00" + string(w))) // a hash takes any write
	return h.Sum64() * goldenRatio64
}

// drive moves one workflow on and submits at most maxSubmitted of its steps.
func (r *Runner) drive(ctx context.Context, w *ledger.Workflow, maxSubmitted int) (submitted int, err error) {
	now := time.Now()
	d, err := r.takeUp(ctx, w)
	if d == nil || now.Before(d.retryAt) {
		return 0, err
	}
	if w.State == ledger.WorkflowCancelled {
		maxSubmitted = 0
	}
	d.archiveMissed.Store(false)
	submitted, ended, err := d.run.Step(ctx, now, maxSubmitted)
	if w.State == ledger.WorkflowCancelled && ctx.Err() == nil {
		err = cmp.Or(r.cancelSteps(ctx, w, d), err)
	}
	if err != nil {
		d.retryAt = now.Add(driveRetryAfter)
	}
	var steps []wire.StepStatus
	if !d.run.Cut() && !d.archiveMissed.Load() {
		steps = d.run.Steps(r.waitReason)
	}
	r.Cache.Lock()
	defer r.Cache.Unlock()
	if steps != nil {
		d.steps = steps
	}
	if r.driven[w.ID] = d; ended {
		delete(r.driven, w.ID)
	}
	r.stats.Add("workflow_steps_submitted_total", int64(submitted))
	return submitted, err
}

// takeUp returns the run of a workflow, resumed if it is not driven yet; nil if it can't be resumed now, or
// never: then the workflow has failed.
func (r *Runner) takeUp(ctx context.Context, w *ledger.Workflow) (*drivenRun, error) {
	r.Cache.Lock()
	d := r.driven[w.ID]
	r.Cache.Unlock()
	if d != nil && d.revision == w.Version { // else it was resumed or cancelled since
		return d, nil
	}
	d = &drivenRun{revision: w.Version}
	run, err := r.resume(ctx, w, &d.archiveMissed)
	if errors.Is(err, errNoDocuments) {
		return nil, err
	}
	if err != nil {
		// The documents were checked when the workflow was accepted, perhaps by another version.
		return nil, stepJobs{runner: r}.EndWorkflow(ctx, w.ID, ledger.WorkflowFailed, err.Error())
	}
	d.run = run
	return d, nil
}

// cancelSteps cancels the steps' jobs of a cancelled workflow, and deletes its record once none is left. A
// pass that could not read all of the archive may have missed some.
func (r *Runner) cancelSteps(ctx context.Context, w *ledger.Workflow, d *drivenRun) error {
	allGone, err := d.run.Cancel(ctx)
	if !allGone || d.archiveMissed.Load() || err != nil {
		return err
	}
	err = r.Committer.CommitNow(ctx, func(transaction *ledger.Transaction) error {
		if now := r.records().Workflow(w.ID); now != nil {
			return transaction.FinishCancelledWorkflow(now)
		}
		return ledger.ErrPreconditionFailed
	})
	if errors.Is(err, ledger.ErrPreconditionFailed) {
		return nil // another controller did
	}
	return err
}

// errNoDocuments means that a workflow's documents can't be read now.
var errNoDocuments = errors.New("documents can't be read")

// resume takes a workflow up from its documents and its steps' jobs.
func (r *Runner) resume(ctx context.Context, w *ledger.Workflow, archiveMissed *atomic.Bool) (*workflow.Run, error) {
	docs, err := r.documents(ctx, w)
	if err != nil {
		return nil, errors.Join(errNoDocuments, err)
	}
	return workflow.Resume(ctx, w, docs, stepJobs{r, w.Ended(), archiveMissed}, r.store)
}
