package controller

import (
	"context"
	"time"

	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

var (
	_ archiver.Host       = hostAdapter{}
	_ policymanager.Host  = hostAdapter{}
	_ watchcache.Listener = cacheFollower{}
)

// hostAdapter implements the Host interfaces of the archiver and the policy manager, which declare what they
// need from the controller. Read takes the cache's lock: a component must not call Read while it holds a
// lock of its own that it also takes inside Read.
type hostAdapter struct{ c *Controller }

// Read calls f with the cached records while holding the cache's lock.
func (h hostAdapter) Read(f func(*ledger.Ledger)) { h.c.cache.Read(f) }

// Term returns the version of the leader record under which this controller is the leader, and false if
// it is not the leader or has not synced with the state service within settings.MaxSyncAge.
func (h hostAdapter) Term() (term wire.Revision, leads bool) {
	c := h.c
	c.cache.Read(func(l *ledger.Ledger) {
		var leader ledger.LeaderRecord
		leader, term = l.Leader()
		leads = term != 0 && leader.Member == c.set.Member && c.cache.SyncedWithin(time.Now(), settings.MaxSyncAge)
	})
	return term, leads
}

// Leading reports whether this controller is the leader; see Term.
func (h hostAdapter) Leading() bool {
	_, leads := h.Term()
	return leads
}

// Others returns the policy modules that each of the other controllers has loaded.
func (h hostAdapter) Others() (others []policymanager.Controller) {
	for _, o := range h.c.membership.Others(time.Now()) {
		other := policymanager.Controller{Member: o.Member, Reachable: o.Peer != nil}
		if o.Peer != nil {
			other.Modules = o.Peer.Status.Modules
		}
		others = append(others, other)
	}
	return others
}

// AllSupportFormat reports whether every controller of the deployment runs a version that supports a format of the
// records, according to the fencing token record, which each controller updates when it starts.
func (h hostAdapter) AllSupportFormat(format int) (all bool) {
	members := []wire.MemberID{h.c.set.Member}
	for _, p := range h.c.set.Peers {
		members = append(members, p.Member)
	}
	h.Read(func(l *ledger.Ledger) {
		token, _ := l.Token()
		all = token.AllRead(members, format)
	})
	return all && len(members) == h.c.set.Cluster.Count
}

// SpareCapacity returns how many changes a best-effort transaction may contain now.
func (h hostAdapter) SpareCapacity() int { return h.c.committer.SpareCapacity() }

// Commit executes a transaction and waits until the cache reflects its outcome.
func (h hostAdapter) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	return h.c.committer.Commit(ctx, t)
}

// cacheFollower forwards events of the watch cache to the components. Its methods are called under the
// cache's lock and must not block.
type cacheFollower struct{ c *Controller }

// Loaded invalidates state derived from the records after a full reload.
func (f cacheFollower) Loaded() { f.c.scheduler.InvalidateSnapshot() }

// Advanced applies the peers' cancellations to the changed records, and refreshes the machines that the
// changes affect.
func (f cacheFollower) Advanced(now time.Time) {
	// The cancellations listed by peers must be applied again: the records may have been reloaded, or may
	// contain new jobs, since the status of the peers arrived.
	for _, p := range f.c.membership.Peers() {
		f.c.cache.Records().MarkCancelling(cancellations(&p.Status))
	}
	f.c.scheduler.RefreshChangedMachines(now)
}

// JobArchived caches the final record of a job that has moved to the archive, and drops all other state
// of it.
func (f cacheFollower) JobArchived(id wire.JobID, r ledger.FinalRecord) {
	f.c.archiver.CacheFinal(id, r)
	f.c.failures.ForgetJob(id)
	f.c.scheduler.ForgetJob(id)
}
