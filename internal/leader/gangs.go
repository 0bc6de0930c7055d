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

// gangStartTimeout is how long a gang's start may wait in the committer's queue.
const gangStartTimeout = 2 * time.Second

// gangStart is a gang's start that has been enqueued and is not known to be in the records yet.
type gangStart struct {
	change *committer.Change
	tasks  int
}

// placeGangsUntilDone places gangs until ctx ends, and then abandons the starts under way.
func (t *term) placeGangsUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		t.placeGangs(time.Now()) //nolint:contextcheck // the queue policy, called under the lock, has a deadline of its own
		wait.For(ctx, gangPlacementInterval)
	}
	t.abandonGangStarts()
}

// placeGangs places the gangs of several tasks over all machines, and plans room for those that wait.
func (t *term) placeGangs(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	if !t.machinesReport(now) {
		return
	}
	for id, start := range t.gangStarts {
		if !start.change.Pending() {
			l.Scheduler.CountStarted(id, -start.tasks)
			delete(t.gangStarts, id)
		}
	}
	for _, placed := range placement.PlaceGangs(l.Scheduler.Snapshot(now)) {
		t.enqueueGangStart(placed, now)
	}
	if now.Sub(t.gangRoomPlannedAt) > l.Scheduler.SnapshotInterval(t.gangRoomPlanTime) {
		t.planGangRoom(now)
	}
}

// machinesReport reports whether the workers have had the time to find a controller. After the start
// of a controller, and often of all of them, they have yet to; a gang placed before would be placed on
// a few of the machines. The caller holds the cache's lock.
func (t *term) machinesReport(now time.Time) bool {
	l := t.leader
	settled := l.set.Cluster.Workers.Report.Duration()*5/4 + time.Second
	return now.Sub(l.Cache.SyncedAt()) <= settings.StartContact && now.Sub(l.startedAt) >= settled
}

// enqueueGangStart enqueues the claims of a placed gang. The caller holds the cache's lock.
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
			if job == nil || !l.haveRoom(job, parts) {
				return ledger.ErrPreconditionFailed
			}
			return txn.ClaimGang(job, parts)
		},
	}
	l.Scheduler.CountStarted(id, tasks)
	t.gangStarts[id] = gangStart{change: change, tasks: tasks}
	l.Committer.Enqueue(change)
}

// haveRoom reports whether the machines of a gang's parts still have room for them: the controllers
// that they report to may have placed other tasks there since. The caller holds the cache's lock.
func (l *Leader) haveRoom(job *ledger.Job, parts []ledger.GangPart) bool {
	for _, part := range parts {
		if l.records().Free(part.Target).Times(job.Need, part.Count) < part.Count {
			return false
		}
	}
	return true
}

// planGangRoom reserves room for overdue gangs and plans preemption for gangs. The caller holds the
// cache's lock.
func (t *term) planGangRoom(now time.Time) {
	startedAt := time.Now()
	t.gangRoomPlannedAt = now
	t.leader.Scheduler.ReserveForOverdueGangs(now)
	t.leader.Scheduler.PlanPreemptionForGangs(now)
	t.gangRoomPlanTime = time.Since(startedAt)
}

// abandonGangStarts ends gang placement: the gangs whose starts are under way may be started by
// anyone. If such a start is committed after all, others for the same gang are refused.
func (t *term) abandonGangStarts() {
	t.leader.Cache.Lock()
	defer t.leader.Cache.Unlock()
	for id, start := range t.gangStarts {
		t.leader.Scheduler.CountStarted(id, -start.tasks)
	}
}
