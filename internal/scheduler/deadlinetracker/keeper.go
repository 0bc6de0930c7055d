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
	// reconcileInterval is the time between two passes of the keeper.
	reconcileInterval = time.Second
	// assignInterval is the time between two searches for jobs to be assigned.
	assignInterval = 5 * time.Second
	// changeTimeout is how long a change may wait in the committer's queue.
	changeTimeout = 5 * time.Second
	// maxChangesPerPass bounds the changes of a pass: they share the budget with starts.
	maxChangesPerPass = 8
	// peerStatusMaxAge is the age up to which a peer's status counts.
	peerStatusMaxAge = 5 * time.Second
	// maxLoggedGalleries bounds the galleries that a warning names.
	maxLoggedGalleries = 20
)

// isKeeper reports whether this controller is to keep the records: the leader is, or, if others have a newer
// edition of the register, the first of those by name. Two that both take themselves for it only conflict. A job
// accepted before the register came once stayed unassigned, since the only controller with the edition in force
// did not lead. The caller holds the cache's lock.
func (t *Tracker) isKeeper(now time.Time) bool {
	leader, _ := t.records().Leader()
	newest, keeper, leaderEdition := t.RegisterEdition(), t.set.Member, t.RegisterEdition()
	for _, p := range t.Membership.Peers() {
		if now.Sub(p.AsOf) > peerStatusMaxAge {
			continue
		}
		edition := p.Status.RegisterEdition
		if edition > newest || edition == newest && p.Status.Member < keeper {
			newest, keeper = edition, p.Status.Member
		}
		if p.Status.Member == leader.Member {
			leaderEdition = edition
		}
	}
	if leaderEdition == newest {
		keeper = leader.Member
	}
	return keeper == t.set.Member
}

// Run keeps the records while this controller is the keeper, until ctx ends. It takes the cache's lock.
func (t *Tracker) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, reconcileInterval)
		t.Cache.Lock()
		if now := time.Now(); t.Cache.SyncedWithin(now, settings.StartContact) && t.isKeeper(now) {
			t.runPass(now)
		}
		t.Cache.Unlock()
	}
	return ctx.Err()
}

// pass is one round of the keeper, under the cache's lock.
type pass struct {
	*Tracker
	now     time.Time
	budget  int  // changes that may still be enqueued
	inForce bool // the register is the one on record
}

// runPass enqueues the changes that the records lack. The caller holds the cache's lock.
func (t *Tracker) runPass(now time.Time) {
	for name, change := range t.pending {
		if !change.Pending() {
			delete(t.pending, name)
		}
	}
	if format, _ := t.records().Format(); format.Format < ledger.GalleryFormat {
		return
	}
	t.Reconcile(now)
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

// enqueue enqueues the change of a gallery, unless one is under way. onCommit may be nil.
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

// upgradeRegister records the revision of a newer register.
func (p *pass) upgradeRegister() {
	if p.register == nil || p.register.Revision <= p.records().Register() {
		return
	}
	revision := p.register.Revision
	onCommit := func() { p.log.Info("register in force", "revision", revision) }
	p.enqueue("", onCommit, func(txn *ledger.Transaction) error { return txn.UpgradeRegister(revision) })
}

// applyRegister opens galleries and changes dates as the register in force has them. Withdrawn galleries are
// handled by updateGalleries.
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
			p.log.Warn("gallery not opened: its date is over", "gallery", entry.Name, "promised", entry.Promised)
		case g == nil:
			p.openGallery(entry)
		case !g.Ended() && g.Date() != dateOf(entry):
			p.changeDate(entry)
		}
	}
}

// dateOf returns the promised date of an entry as it is recorded.
func dateOf(entry *deadline.Entry) wire.UnixMillis {
	return wire.UnixMillis(entry.Promised.UnixMilli())
}

// promise returns the promise of an entry as it is recorded now.
func (p *pass) promise(entry *deadline.Entry) ledger.Promise {
	return ledger.Promise{At: wire.UnixMillis(p.now.UnixMilli()), Date: dateOf(entry), Reason: entry.Why}
}

// openGallery records a gallery of the register.
func (p *pass) openGallery(entry *deadline.Entry) {
	revision, promise := p.register.Revision, p.promise(entry)
	onCommit := func() {
		p.log.Info("gallery opened", "gallery", entry.Name, "team", entry.Team, "promised", entry.Promised)
	}
	p.enqueue(entry.Name, onCommit, func(txn *ledger.Transaction) error {
		return txn.OpenGallery(entry.Name, entry.Team, promise, revision)
	})
}

// changeDate records another date of a gallery. A gallery with too many dates is not tried again under the same
// revision of the register.
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

// assignJobs assigns jobs to galleries that were accepted before the register named them.
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
		p.assignedAt = time.Time{} // there may be more
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

// updateGalleries records the states of galleries and archives those that have ended, until the budget is used
// up. It returns what remains of the galleries that go on.
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

// updateState records the state that a gallery has by what is on record, if that is another one.
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
		// What was decided may no longer hold by what is on record now.
		if current, _ := p.evaluate(g, entry); current != state {
			return ledger.ErrPreconditionFailed
		}
		if state == ledger.GalleryWithdrawn {
			return txn.WithdrawGallery(g, why, at, revision)
		}
		return txn.SetGalleryState(g, state, why, at)
	})
}

// evaluate returns the state that a gallery is to have, as of the pass, and why.
func (p *pass) evaluate(g *ledger.Gallery, entry *deadline.Entry) (ledger.GalleryState, string) {
	return deadline.Evaluate(p.facts(g, entry), p.margin(), p.skew(), p.now)
}

// logState counts and logs the recorded state of a gallery.
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

// facts returns what a gallery's state follows from; entry is that of the register, nil if it has none.
func (p *pass) facts(g *ledger.Gallery, entry *deadline.Entry) *deadline.Facts {
	work := p.remaining[g.Name]
	facts := &deadline.Facts{
		Date:      g.Date().Time(),
		State:     g.State,
		Count:     g.Count,
		Complete:  entry != nil && entry.Complete,
		Withdrawn: p.inForce && entry == nil,
		Need:      work.longest,
	}
	if work.hasPending {
		for _, machineType := range p.records().MachineTypes() {
			facts.Machines = max(facts.Machines, machineType.Boot.Duration())
		}
	}
	return facts
}

// margin returns the slack below which a gallery is at risk.
func (t *Tracker) margin() time.Duration {
	if t.register == nil {
		return deadline.DefaultMargin
	}
	return t.register.Margin
}

// skew returns by how much the controllers' clocks may be off.
func (t *Tracker) skew() time.Duration {
	return time.Duration(t.set.Cluster.SkewMillis * float64(time.Millisecond))
}

// archive moves a gallery that has ended out of the records once its jobs have left them.
func (p *pass) archive(g *ledger.Gallery) {
	if g.HasJobs() || !p.set.Operators.Archive {
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

// logOvercommitment warns, once for each set of them, of galleries whose dates the cluster as it is can't all
// meet.
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
