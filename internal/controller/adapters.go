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
	_ archiver.Host       = host{}
	_ policymanager.Host  = host{}
	_ watchcache.Follower = cacheFollower{}
)

// host implements the interfaces in which the archiver and the manager of policy modules declare
// what they need of the controller. Read takes the cache's lock: no part may call it while it holds
// a lock of its own that it also takes inside of Read.
type host struct{ c *Controller }

// Read calls f with the cached records under the cache's lock.
func (h host) Read(f func(*ledger.Ledger)) { h.c.cache.Read(f) }

// Term returns the version of the leader record under which this controller leads the fleet, and
// false if it doesn't lead or has not synced with the state service for settings.StartContact.
func (h host) Term() (term wire.Revision, leads bool) {
	c := h.c
	c.cache.Read(func(l *ledger.Ledger) {
		var leader ledger.LeaderRecord
		leader, term = l.Leader()
		leads = term != 0 && leader.Member == c.set.Member && c.cache.SyncedWithin(time.Now(), settings.StartContact)
	})
	return term, leads
}

// Leading reports whether this controller leads the fleet; see Term.
func (h host) Leading() bool {
	_, leads := h.Term()
	return leads
}

// Others returns the policy modules that each of the other controllers has loaded.
func (h host) Others() (others []policymanager.Controller) {
	for _, o := range h.c.membership.Others(time.Now()) {
		other := policymanager.Controller{Member: o.Member, Reachable: o.Peer != nil}
		if o.Peer != nil {
			other.Modules = o.Peer.Status.Modules
		}
		others = append(others, other)
	}
	return others
}

// AllRead reports whether every controller of the deployment runs a version that reads a format of records,
// by the record of fencing tokens, which every start of a controller rewrites.
func (h host) AllRead(format int) (all bool) {
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

// SpareCapacity returns how many changes a best-effort transaction may have now.
func (h host) SpareCapacity() int { return h.c.committer.SpareCapacity() }

// Commit runs a transaction and waits until the cache shows its outcome.
func (h host) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	return h.c.committer.Commit(ctx, t)
}

// cacheFollower passes what the watch cache sees on to the parts. Its methods are called under the
// cache's lock and must not block.
type cacheFollower struct{ c *Controller }

// Loaded invalidates what was derived from the records, which were all read again.
func (f cacheFollower) Loaded() { f.c.scheduler.InvalidateSnapshot() }

// Advanced applies the peers' cancellations to the records, which have changed, and refreshes the
// machines that the changes concern.
func (f cacheFollower) Advanced(now time.Time) {
	// Peers confirm the cancellations they list for these records as well, which may have been
	// loaded again or have gained jobs since the peers' status came.
	for _, p := range f.c.membership.Peers() {
		f.c.cache.Records().MarkCancelling(cancellations(&p.Status))
	}
	f.c.scheduler.RefreshChangedMachines(now)
}

// JobArchived drops what is kept of a job that has left the records for the archive.
func (f cacheFollower) JobArchived(id wire.JobID, r ledger.FinalRecord) {
	f.c.archiver.CacheFinal(id, r)
	f.c.failures.ForgetJob(id)
	f.c.scheduler.ForgetJob(id)
}
