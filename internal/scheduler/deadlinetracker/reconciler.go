package deadlinetracker

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

const (
	// reconcileInterval is the time between two passes of the reconciler.
	reconcileInterval = time.Second
	// assignInterval is the time between two searches for jobs without a gallery.
	assignInterval = 5 * time.Second
	// changeTimeout bounds how long a change waits in the committer's queue.
	changeTimeout = 5 * time.Second
	// maxChangesPerPass bounds the changes of a pass, because they share the committer's budget with task starts.
	maxChangesPerPass = 8
	// peerStatusMaxAge is the age beyond which a peer's status is ignored.
	peerStatusMaxAge = 5 * time.Second
	// maxLoggedGalleries bounds the galleries listed in a warning.
	maxLoggedGalleries = 20
)

// isReconciler reports whether this controller reconciles the records: the leader does, or, if other controllers have
// a newer revision of the register, the first of those by name. When it was always the leader, jobs accepted before
// the register was read stayed unassigned if only another controller had the revision in force. If two controllers
// consider themselves the reconciler, their changes only conflict. The caller holds the cache's lock.
func (t *Tracker) isReconciler(now time.Time) bool {
	leader, _ := t.records().Leader()
	newest, reconciler, leaderRevision := t.RegisterRevision(), t.settings.Member, t.RegisterRevision()
	for _, p := range t.Membership.Peers() {
		if now.Sub(p.AsOf) > peerStatusMaxAge {
			continue
		}
		revision := p.Status.RegisterEdition
		if revision > newest || revision == newest && p.Status.Member < reconciler {
			newest, reconciler = revision, p.Status.Member
		}
		if p.Status.Member == leader.Member {
			leaderRevision = revision
		}
	}
	if leaderRevision == newest {
		reconciler = leader.Member
	}
	return reconciler == t.settings.Member
}

// Run reconciles the records while this controller is the reconciler, until ctx ends. It takes the cache's lock.
func (t *Tracker) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, reconcileInterval)
		t.Cache.Lock()
		if now := time.Now(); t.Cache.SyncedWithin(now, settings.MaxSyncAge) && t.isReconciler(now) {
			t.runPass(now)
		}
		t.Cache.Unlock()
	}
	return ctx.Err()
}

// pass is one reconciliation pass. It runs under the cache's lock.
type pass struct {
	*Tracker
	now     time.Time
	budget  int  // changes that may still be enqueued
	inForce bool // the register has the revision on record
}

// runPass enqueues the changes that bring the records up to date. The caller holds the cache's lock.
func (t *Tracker) runPass(now time.Time) {
	for name, change := range t.pending {
		if !change.Pending() {
			delete(t.pending, name)
		}
	}
	if format, _ := t.records().Format(); format.Format < ledger.GalleryFormat {
		return
	}
	t.UpdateRemainingWork(now)
	p := &pass{
		Tracker: t,
		now:     now,
		budget:  maxChangesPerPass,
		inForce: t.register != nil && t.register.Revision == t.records().Register(),
	}
	p.upgradeRegister()
	if p.inForce {
		p.applyRegister()
		p.assignJobs()
	}
	t.logOvercommitment(p.updateGalleries(), now)
}

// enqueue enqueues a change of a gallery unless another one is pending. onCommit may be nil.
func (p *pass) enqueue(name wire.GalleryName, onCommit func(), draft func(*ledger.Transaction) error) {
	if change := p.pending[name]; change != nil && change.Pending() {
		return
	}
	p.budget--
	change := &committer.Change{
		Class:     committer.ClassStart,
		ExpiresAt: p.now.Add(changeTimeout),
		OnCommit:  onCommit,
		Draft:     draft,
	}
	p.pending[name] = change
	p.Committer.Enqueue(change)
}

// upgradeRegister records the register's revision if it is newer than the one on record.
func (p *pass) upgradeRegister() {
	if p.register == nil || p.register.Revision <= p.records().Register() {
		return
	}
	revision := p.register.Revision
	onCommit := func() { p.log.Info("register in force", "revision", revision) }
	p.enqueue("", onCommit, func(txn *ledger.Transaction) error { return txn.UpgradeRegister(revision) })
}

// applyRegister opens galleries and changes dates according to the register. updateGalleries handles withdrawn
// galleries.
func (p *pass) applyRegister() {
	revision := p.register.Revision
	for i := range p.register.Entries {
		if p.budget <= 0 {
			return
		}
		entry := &p.register.Entries[i]
		g := p.records().Gallery(entry.Name)
		switch {
		case p.rejected[entry.Name] == revision:
		case g == nil && entry.Promised.Before(p.now):
			p.rejected[entry.Name] = revision
			p.log.Warn("gallery not opened: its date has passed", "gallery", entry.Name, "promised", entry.Promised)
		case g == nil:
			p.openGallery(entry)
		case !g.Ended() && g.Date() != dateOf(entry):
			p.changeDate(entry)
		}
	}
}

// dateOf returns the promised date of an entry in the form of the records.
func dateOf(entry *deadline.Entry) wire.UnixMillis {
	return wire.UnixMillis(entry.Promised.UnixMilli())
}

// promise returns the promise to record for an entry.
func (p *pass) promise(entry *deadline.Entry) ledger.Promise {
	return ledger.Promise{At: wire.UnixMillis(p.now.UnixMilli()), Date: dateOf(entry), Reason: entry.Why}
}

// openGallery enqueues the opening of a gallery.
func (p *pass) openGallery(entry *deadline.Entry) {
	revision, promise := p.register.Revision, p.promise(entry)
	onCommit := func() {
		p.log.Info("gallery opened", "gallery", entry.Name, "team", entry.Team, "promised", entry.Promised)
	}
	p.enqueue(entry.Name, onCommit, func(txn *ledger.Transaction) error {
		return txn.OpenGallery(entry.Name, entry.Team, promise, revision)
	})
}

// changeDate enqueues a change of a gallery's date. If the gallery has had too many dates already, the change is not
// retried under the same revision of the register.
func (p *pass) changeDate(entry *deadline.Entry) {
	revision, promise := p.register.Revision, p.promise(entry)
	onCommit := func() {
		p.log.Info("date changed", "gallery", entry.Name, "promised", entry.Promised, "why", entry.Why)
	}
	p.enqueue(entry.Name, onCommit, func(txn *ledger.Transaction) error {
		g := p.records().Gallery(entry.Name)
		if g == nil {
			return ledger.ErrPreconditionFailed
		}
		err := txn.AddPromise(g, promise, revision)
		if errors.Is(err, ledger.ErrDateLimit) && p.rejected[entry.Name] != revision {
			p.rejected[entry.Name] = revision
			p.log.Warn("date not changed", "gallery", entry.Name, "err", err)
		}
		return err
	})
}

// assignJobs assigns galleries to jobs that were accepted before the register listed them.
func (p *pass) assignJobs() {
	if p.now.Sub(p.assignedAt) < assignInterval {
		return
	}
	p.assignedAt = p.now
	p.records().EachActive(func(j *ledger.Job) {
		if j.Gallery != "" || p.budget <= 0 {
			return
		}
		if g := p.GalleryOf(j.Spec, j.Workflow); g != nil {
			p.budget--
			p.assign(j.ID, g.Name)
		}
	})
	if p.budget <= 0 {
		p.assignedAt = time.Time{} // search again in the next pass, as there may be more
	}
}

// assign enqueues the assignment of a job to a gallery.
func (p *pass) assign(id wire.JobID, name wire.GalleryName) {
	p.Committer.Enqueue(&committer.Change{
		Class:     committer.ClassStart,
		ExpiresAt: p.now.Add(assignInterval),
		Draft: func(txn *ledger.Transaction) error {
			j, g := p.records().Job(id), p.records().Gallery(name)
			if j == nil || g == nil {
				return ledger.ErrPreconditionFailed
			}
			return txn.AssignGallery(j, g)
		},
	})
}

// updateGalleries enqueues the state changes of galleries and archives those that have ended, until the budget is
// used up. It returns the remaining work of the galleries that have not ended.
func (p *pass) updateGalleries() []deadline.Load {
	var loads []deadline.Load
	p.records().EachGallery(func(g *ledger.Gallery) {
		if p.budget <= 0 {
			return
		}
		if g.Ended() {
			p.archive(g)
			return
		}
		work := p.remaining[g.Name].machineSeconds
		loads = append(loads, deadline.Load{Name: g.Name, Date: g.Date().Time(), Work: work})
		p.updateState(g)
	})
	return loads
}

// updateState enqueues a change of a gallery's state if the records imply another one.
func (p *pass) updateState(g *ledger.Gallery) {
	entry := p.register.Entry(g.Name)
	state, why := p.evaluate(g, entry)
	if state == g.State {
		return
	}
	name, at, revision := g.Name, wire.UnixMillis(p.now.UnixMilli()), p.records().Register()
	p.enqueue(name, func() { p.logState(name, state, why) }, func(txn *ledger.Transaction) error {
		g := p.records().Gallery(name)
		if g == nil {
			return ledger.ErrPreconditionFailed
		}
		// The records may have changed since the state was evaluated.
		if current, _ := p.evaluate(g, entry); current != state {
			return ledger.ErrPreconditionFailed
		}
		if state == ledger.GalleryWithdrawn {
			return txn.WithdrawGallery(g, why, at, revision)
		}
		return txn.SetGalleryState(g, state, why, at)
	})
}

// evaluate returns the state that a gallery should have at the time of the pass, and the reason for a change.
func (p *pass) evaluate(g *ledger.Gallery, entry *deadline.Entry) (ledger.GalleryState, string) {
	return deadline.Evaluate(p.progress(g, entry), p.margin(), p.maxClockSkew(), p.now)
}

// logState counts and logs a recorded change of a gallery's state.
func (p *pass) logState(name wire.GalleryName, state ledger.GalleryState, why string) {
	p.stats.Add("galleries_"+strings.ReplaceAll(string(state), " ", "_")+"_total", 1)
	switch state {
	case ledger.GalleryAtRisk, ledger.GalleryBroken:
		p.log.Warn("gallery "+string(state), "gallery", name, "why", why)
	case ledger.GalleryOpen:
		p.log.Info("gallery no longer at risk", "gallery", name, "why", why)
	default:
		p.log.Info("gallery "+string(state), "gallery", name, "why", why)
	}
}

// progress returns the progress of a gallery. entry is its entry in the register, nil if it has none.
func (p *pass) progress(g *ledger.Gallery, entry *deadline.Entry) *deadline.Progress {
	work := p.remaining[g.Name]
	progress := &deadline.Progress{
		Date:         g.Date().Time(),
		State:        g.State,
		Count:        g.Count,
		Complete:     entry != nil && entry.Complete,
		Withdrawn:    p.inForce && entry == nil,
		MinRemaining: work.longestJob,
	}
	if work.hasPending {
		for _, machineType := range p.records().MachineTypes() {
			progress.BootTime = max(progress.BootTime, machineType.Boot.Duration())
		}
	}
	return progress
}

// margin returns the slack below which a gallery is at risk.
func (t *Tracker) margin() time.Duration {
	if t.register == nil {
		return deadline.DefaultMargin
	}
	return t.register.Margin
}

// maxClockSkew returns the bound on the error of the controllers' clocks.
func (t *Tracker) maxClockSkew() time.Duration {
	return time.Duration(t.settings.Cluster.SkewMillis * float64(time.Millisecond))
}

// archive enqueues the archiving of a gallery that has ended, once its jobs have left the records.
func (p *pass) archive(g *ledger.Gallery) {
	if g.HasJobs() || !p.settings.Operators.Archive {
		return
	}
	name := g.Name
	p.enqueue(name, nil, func(txn *ledger.Transaction) error {
		g := p.records().Gallery(name)
		if g == nil {
			return ledger.ErrPreconditionFailed
		}
		return txn.ArchiveGallery(g)
	})
}

// logOvercommitment warns of galleries whose dates can't all be met with the present machines. It warns once for each
// distinct set of galleries.
func (t *Tracker) logOvercommitment(loads []deadline.Load, now time.Time) {
	machines := t.Registry.Len()
	for _, p := range t.Membership.Peers() {
		machines += len(p.Status.Machines)
	}
	if machines == 0 || len(loads) == 0 {
		return
	}
	for i := range loads {
		loads[i].Work /= float64(machines)
	}
	names := deadline.Overcommitted(loads, now)
	text := fmt.Sprint(names)
	if text == t.loggedOvercommitment {
		return
	}
	t.loggedOvercommitment = text
	if len(names) > 0 {
		t.log.Warn("more is promised than the fleet can do as it is",
			"galleries", names[:min(len(names), maxLoggedGalleries)], "of", len(names), "machines", machines)
	}
}
