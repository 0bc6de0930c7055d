package controller

import (
	"context"
	"time"

	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// host is the controller as the parts see it that state in an interface of their own what they
// need. Read takes the mirror's lock; no part may call it with a lock of its own held that it
// also takes under Read.
type host struct{ c *Controller }

// Read gives f the mirrored records.
func (h host) Read(f func(*ledger.Ledger)) { h.c.cache.Read(f) }

// Term is the version of the record under which this controller leads the fleet, and false if
// it doesn't or is out of touch.
func (h host) Term() (term wire.Revision, leads bool) {
	c := h.c
	c.cache.Read(func(l *ledger.Ledger) {
		var leader ledger.LeaderRecord
		leader, term = l.Leader()
		leads = term != 0 && leader.Member == c.set.Member && c.cache.SyncedWithin(time.Now(), settings.StartContact)
	})
	return term, leads
}

// Leading reports whether this controller leads the fleet, as far as it is in touch.
func (h host) Leading() bool { _, ok := h.Term(); return ok }

// Others tells what the other controllers say of modules.
func (h host) Others() (out []policymanager.Controller) {
	for _, o := range h.c.membership.Others(time.Now()) {
		other := policymanager.Controller{Member: o.Member, Reachable: o.Peer != nil}
		if o.Peer != nil {
			other.Modules = o.Peer.Status.Modules
		}
		out = append(out, other)
	}
	return out
}

// AllRead reports whether every controller says that it reads a format of records.
func (h host) AllRead(format int) bool { return h.c.membership.AllSupportFormat(format) }

// Spare is how many changes a transaction may have now that is in nobody's way.
func (h host) Spare() int { return h.c.committer.SpareCapacity() }

// Commit runs a transaction and waits until the mirror shows its outcome.
func (h host) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	return h.c.committer.Commit(ctx, t)
}

// follower is the controller as the mirror sees it.
type follower struct{ c *Controller }

func (f follower) Loaded() { f.c.scheduler.InvalidateSnapshot() }
func (f follower) Advanced(now time.Time) {
	// What peers list as cancelled they vouch with for these records as well: read anew, or with
	// jobs that were not known when the status came.
	for _, p := range f.c.membership.Peers() {
		f.c.cache.Records().MarkCancelling(listed(&p.Status))
	}
	f.c.scheduler.RefreshChangedMachines(now)
}
func (f follower) JobArchived(id wire.JobID, r ledger.FinalRecord) {
	f.c.archiver.CacheFinal(id, r)
	f.c.failures.ForgetJob(id)
	f.c.scheduler.ForgetJob(id)
}
