package leader

import (
	"context"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
)

// gangStartTimeout is how long the start of a gang may wait in the committer's queue.
const gangStartTimeout = 2 * time.Second

// gangStart is the start of a gang that has been enqueued and is not yet known to be in the records.
type gangStart struct {
	change *committer.Change
	tasks  int
}

// runGangPlacement places gangs until ctx ends, and then abandons the pending starts.
func (t *term) runGangPlacement(ctx context.Context) {
	for ctx.Err() == nil {
		t.placeGangs(time.Now()) //nolint:contextcheck // the queue policy, called under the lock, has its own deadline
		wait.For(ctx, gangPlacementInterval)
	}
	t.abandonGangStarts()
}

// placeGangs places multi-task gangs on the machines of all controllers, and plans capacity for the gangs
// that wait.
func (t *term) placeGangs(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	if !t.startupGraceOver(now) {
		return
	}
	for id, start := range t.gangStarts {
		if !start.change.Pending() {
			l.Scheduler.AdjustPlannedStarts(id, -start.tasks)
			delete(t.gangStarts, id)
		}
	}
	for _, placed := range placement.PlaceGangs(l.Scheduler.Snapshot(now)) {
		t.enqueueGangStart(placed, now)
	}
	if now.Sub(t.gangCapacityPlannedAt) > l.Scheduler.SnapshotInterval(t.gangCapacityPlanDuration) {
		t.planGangCapacity(now)
	}
}

// startupGraceOver reports whether the workers have had time to connect to a controller. After a start of
// this controller, often together with all others, few workers have; a gang placed too early would be
// restricted to their machines. The caller holds the cache's lock.
func (t *term) startupGraceOver(now time.Time) bool {
	l := t.leader
	grace := l.set.Cluster.Workers.Report.Duration()*5/4 + time.Second
	return now.Sub(l.Cache.SyncedAt()) <= settings.MaxSyncAge && now.Sub(l.startedAt) >= grace
}

// enqueueGangStart enqueues the change that claims the machines of a placed gang. The caller holds the
// cache's lock.
func (t *term) enqueueGangStart(placed placement.GangStart, now time.Time) {
	l := t.leader
	job, parts := placed.Entry.Job, placed.Parts
	id, tasks := job.ID, job.Pending()
	change := &committer.Change{
		Class:     committer.StartClass(placed.Entry.Overdue),
		ExpiresAt: now.Add(gangStartTimeout),
		Priority:  job.Priority(),
		OnCommit:  func() { l.log.Info("gang started", "job", id, "tasks", tasks, "machines", len(parts)) },
		Draft: func(txn *ledger.Transaction) error {
			job := l.records().Job(id)
			if job == nil || !l.hasCapacity(job, parts) {
				return ledger.ErrPreconditionFailed
			}
			return txn.ClaimGang(job, parts)
		},
	}
	l.Scheduler.AdjustPlannedStarts(id, tasks)
	t.gangStarts[id] = gangStart{change: change, tasks: tasks}
	l.Committer.Enqueue(change)
}

// hasCapacity reports whether the chosen machines still have capacity for all parts of a gang: the
// controllers that the machines report to may have placed other tasks there since. The caller holds the
// cache's lock.
func (l *Leader) hasCapacity(job *ledger.Job, parts []ledger.GangAllocation) bool {
	for _, part := range parts {
		if l.records().FreeResources(part.Target).CountFitting(job.Need, part.Count) < part.Count {
			return false
		}
	}
	return true
}

// planGangCapacity reserves capacity for overdue gangs and plans preemption for gangs. The caller holds the
// cache's lock.
func (t *term) planGangCapacity(now time.Time) {
	startedAt := time.Now()
	t.gangCapacityPlannedAt = now
	t.leader.Scheduler.ReserveForOverdueGangs(now)
	t.leader.Scheduler.PlanPreemptionForGangs(now)
	t.gangCapacityPlanDuration = time.Since(startedAt)
}

// abandonGangStarts ends gang placement and no longer counts the pending starts, so that other starts of
// those gangs may be attempted. If a pending start is committed after all, the other starts of that gang
// fail their preconditions.
func (t *term) abandonGangStarts() {
	t.leader.Cache.Lock()
	defer t.leader.Cache.Unlock()
	for id, start := range t.gangStarts {
		t.leader.Scheduler.AdjustPlannedStarts(id, -start.tasks)
	}
}
