package leader

import (
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
)

// gangStart is a gang's start on its way to the ledger.
type gangStart struct {
	change *committer.Change
	tasks  int
}

// placeGangs places the gangs of several tasks over all machines.
func (l *leader) placeGangs(now time.Time) {
	c := l.c
	c.Cache.Lock()
	defer c.Cache.Unlock()
	// After the start of a controller, and often of all of them, workers have yet to
	// find one each; a gang placed before would be placed on a few of the machines.
	if settled := c.set.Cluster.Workers.Report.Duration()*5/4 + time.Second; now.Sub(
		c.Cache.SyncedAt(),
	) > settings.StartContact ||
		now.Sub(c.boot) < settled {
		return
	}
	for id, g := range l.placing {
		select {
		case <-g.change.Done():
			c.Scheduler.CountStarted(id, -g.tasks)
			delete(l.placing, id)
		default:
		}
	}
	for _, g := range placement.PlaceGangs(c.Scheduler.Snapshot(now)) {
		j, parts := g.Entry.Job, g.Parts
		id, n := j.ID, j.Pending()
		made := func() { c.log.Info("gang started", "job", id, "tasks", n, "machines", len(parts)) }
		ch := &committer.Change{
			Class:     committer.StartClass(g.Entry.Overdue),
			ExpiresAt: now.Add(2 * time.Second),
			Priority:  j.Spec.Priority,
			OnCommit:  made,
			Draft: func(d *ledger.Transaction) error {
				j := c.led().Job(id)
				if j == nil ||
					slices.ContainsFunc(
						parts,
						func(p ledger.GangPart) bool { return c.led().Free(p.Site).Times(j.Need, p.Count) < p.Count },
					) {
					return ledger.ErrPreconditionFailed // a holder has given the room away meanwhile
				}
				return d.ClaimGang(j, parts)
			},
		}
		c.Scheduler.CountStarted(id, n)
		l.placing[id] = gangStart{ch, n}
		c.Committer.Enqueue(ch)
	}
	if now.Sub(l.madeRoom) > c.Scheduler.SnapshotInterval(l.roomTook) {
		began := time.Now()
		l.madeRoom = now
		c.Scheduler.ReserveForOverdueGangs(now)
		c.Scheduler.PlanPreemptionForGangs(now)
		l.roomTook = time.Since(began)
	}
}

// forgetPlacing ends a term: gangs on their way to the ledger are anyone's again.
// Should a start land after all, others for the same gang are refused.
func (l *leader) forgetPlacing() {
	l.c.Cache.Lock()
	defer l.c.Cache.Unlock()
	for id, g := range l.placing {
		l.c.Scheduler.CountStarted(id, -g.tasks)
	}
}
