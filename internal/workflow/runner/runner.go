// Package runner is the part of a controller that drives workflows: it accepts them, submits the jobs of
// their steps as they become ready, and reports their status (docs/cwl.md).
//
// Each controller derives which workflows it drives from their ids and the controllers that are reachable, by
// rendezvous hashing. Two controllers that drive the same workflow for a while do no harm, because the ids of
// the steps' jobs are deterministic. A workflow without a driver gets one within driveInterval.
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

// Dependencies holds the components of the controller that a Runner uses.
type Dependencies struct {
	Cache      *watchcache.Cache
	Committer  *committer.Committer
	Membership *membership.Membership
	Failures   *crashloop.Tracker
	Scheduler  *scheduler.Scheduler
	Jobs       *server.JobServer
	Archiver   *archiver.Archiver
	Deadlines  *deadlinetracker.Tracker
}

// Runner drives workflows. It is disabled until Enable is called.
type Runner struct {
	settings  *settings.Settings
	keyValues kvstore.Store
	Dependencies
	stats *metrics.Set
	log   *slog.Logger

	store stepdata.Store // nil: workflows are disabled
	// Guarded by the watch cache's lock:
	driven    map[wire.WorkflowID]*drivenRun
	inspected map[wire.WorkflowID]*inspection // driven by other controllers, with their status requested here
}

// New returns a Runner with workflows disabled.
func New(
	cfg *settings.Settings,
	keyValues kvstore.Store,
	p Dependencies,
	stats *metrics.Set,
	log *slog.Logger,
) *Runner {
	return &Runner{settings: cfg, keyValues: keyValues, Dependencies: p, stats: stats, log: log}
}

// records returns the ledger. The caller holds the watch cache's lock.
func (r *Runner) records() *ledger.Ledger { return r.Cache.Records() }

// inspection is a read-only replay of a workflow that another controller drives, to report its status.
type inspection struct {
	// sem is a semaphore of size one that guards run and revision. Unlike with a mutex, a request can stop
	// waiting for it when its context ends.
	sem         chan struct{}
	run         *workflow.Run
	revision    wire.Revision
	requestedAt time.Time // when its status was last requested

	archiveReadFailed atomic.Bool // the last pass failed to read some archived job
}

// newInspection returns an inspection that has not replayed its workflow yet.
func newInspection() *inspection { return &inspection{sem: make(chan struct{}, 1)} }

// drivenRun is a workflow that this controller drives.
type drivenRun struct {
	run      *workflow.Run
	revision wire.Revision     // of the record that run was created from
	retryAt  time.Time         // no pass before this time, after an error
	steps    []wire.StepStatus // all steps, as of the last complete pass; nil before the first

	archiveReadFailed atomic.Bool // the last pass failed to read some archived job
}

// Parameters of driving workflows.
const (
	driveInterval   = time.Second
	driveRetryAfter = 5 * time.Second // after an error
	// abandonAfterRounds is the number of rounds of failures on several machines after which a step's job is
	// cancelled. Jobs that users submit themselves are not cancelled: their users may know how to proceed.
	abandonAfterRounds = 3
	// stepWriteShare is the share of a controller's write rate that submitting steps may use, so that a wide
	// workflow leaves capacity for users' requests and task starts.
	stepWriteShare = 0.25
)

// Errors returned to users.
var (
	// ErrDisabled means that workflows are disabled in this service.
	ErrDisabled = errors.New("workflows are disabled")
	// ErrNotFailed means that a workflow can't be resumed because it has not failed.
	ErrNotFailed = errors.New("only a workflow that failed can be resumed")
)

// Enable enables workflows, with the store of their steps' data. It is called before Run.
func (r *Runner) Enable(store stepdata.Store) {
	r.store, r.driven, r.inspected = store, map[wire.WorkflowID]*drivenRun{}, map[wire.WorkflowID]*inspection{}
}

// Run drives the workflows that this controller owns until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, driveInterval)
		r.Cache.Lock()
		var own []*ledger.Workflow
		if r.store != nil && r.Cache.SyncedWithin(time.Now(), settings.MaxSyncAge) {
			own = r.ownWorkflows(time.Now())
		}
		r.Cache.Unlock()
		budget := max(1, int(r.settings.StateLimits().WriteRPS/float64(r.settings.Cluster.Count)*stepWriteShare))
		for i, w := range own {
			// The remaining budget is divided evenly among the remaining workflows.
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

// ownWorkflows lists the workflows for this controller to drive, by priority and time of acceptance: those that
// are active or whose cancelled steps remain to be swept. Rendezvous hashing assigns each workflow to a
// reachable controller, so that few workflows change owners when a controller leaves. Runs of other workflows
// are dropped.
func (r *Runner) ownWorkflows(now time.Time) []*ledger.Workflow {
	members := append(r.Membership.ReachablePeers(now), r.settings.Member)
	var owned []*ledger.Workflow
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
		owner := slices.MaxFunc(members, func(a, b wire.MemberID) int {
			return cmp.Or(cmp.Compare(weight(a, w.ID), weight(b, w.ID)), cmp.Compare(a, b))
		})
		if owner == r.settings.Member {
			owned = append(owned, w)
		} else {
			delete(r.driven, w.ID)
		}
	})
	slices.SortFunc(owned, func(a, b *ledger.Workflow) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Priority.Rank(), b.Spec.Priority.Rank()),
			cmp.Compare(a.Accepted, b.Accepted),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return owned
}

// goldenRatio64 is 2^64 divided by the golden ratio, for Fibonacci hashing: it spreads the hashes of names with
// the same ending.
const goldenRatio64 = 0x9e3779b97f4a7c15

// weight is the rendezvous hash of a controller and a workflow. The controller with the greatest weight drives
// the workflow.
func weight(member wire.MemberID, id wire.WorkflowID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(member) + "\x00" + string(id))) // a hash never returns an error
	return h.Sum64() * goldenRatio64
}

// drive makes one pass over a workflow and submits at most maxSubmitted of its steps.
func (r *Runner) drive(ctx context.Context, w *ledger.Workflow, maxSubmitted int) (submitted int, err error) {
	now := time.Now()
	d, err := r.acquireRun(ctx, w)
	if d == nil || now.Before(d.retryAt) {
		return 0, err
	}
	if w.State == ledger.WorkflowCancelled {
		maxSubmitted = 0
	}
	d.archiveReadFailed.Store(false)
	submitted, ended, err := d.run.Advance(ctx, now, maxSubmitted)
	if w.State == ledger.WorkflowCancelled && ctx.Err() == nil {
		err = cmp.Or(r.cancelSteps(ctx, w, d), err)
	}
	if err != nil {
		d.retryAt = now.Add(driveRetryAfter)
	}
	var steps []wire.StepStatus
	if !d.run.Interrupted() && !d.archiveReadFailed.Load() {
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

// acquireRun returns the run of a workflow, resuming it if this controller does not drive the current revision
// yet. It returns nil if the workflow can't be resumed. If its documents can be read but are not valid, it
// records the workflow as failed.
func (r *Runner) acquireRun(ctx context.Context, w *ledger.Workflow) (*drivenRun, error) {
	r.Cache.Lock()
	d := r.driven[w.ID]
	r.Cache.Unlock()
	if d != nil && d.revision == w.Version { // otherwise it was resumed or cancelled since
		return d, nil
	}
	d = &drivenRun{revision: w.Version}
	run, err := r.resume(ctx, w, &d.archiveReadFailed)
	if errors.Is(err, errNoDocuments) {
		return nil, err
	}
	if err != nil {
		// The documents were validated when the workflow was accepted, perhaps by another version.
		return nil, stepJobs{runner: r}.EndWorkflow(ctx, w.ID, ledger.WorkflowFailed, err.Error())
	}
	d.run = run
	return d, nil
}

// cancelSteps cancels the steps' jobs of a cancelled workflow, and records it as swept once none is active. After
// a pass that failed to read from the archive it does not, since jobs may have been missed.
func (r *Runner) cancelSteps(ctx context.Context, w *ledger.Workflow, d *drivenRun) error {
	allEnded, err := d.run.Cancel(ctx)
	if !allEnded || d.archiveReadFailed.Load() || err != nil {
		return err
	}
	err = r.Committer.CommitNow(ctx, func(txn *ledger.Transaction) error {
		if current := r.records().Workflow(w.ID); current != nil {
			return txn.FinishCancelledWorkflow(current)
		}
		return ledger.ErrPreconditionFailed
	})
	if errors.Is(err, ledger.ErrPreconditionFailed) {
		return nil // another controller has swept it
	}
	return err
}

// errNoDocuments means that a workflow's documents can't be read at present.
var errNoDocuments = errors.New("documents can't be read")

// resume recreates the run of a workflow from its documents. Passes then replay its steps' jobs.
func (r *Runner) resume(ctx context.Context, w *ledger.Workflow, readFailed *atomic.Bool) (*workflow.Run, error) {
	docs, err := r.documents(ctx, w)
	if err != nil {
		return nil, errors.Join(errNoDocuments, err)
	}
	return workflow.Resume(ctx, w, docs, stepJobs{r, w.Ended(), readFailed}, r.store)
}
