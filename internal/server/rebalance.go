package server

import (
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/wire"
)

// The workers that report to a controller use its share of the change budget, its CPU and its sockets. Workers
// leave a controller on their own only when it fails, so after several failures one controller would serve
// nearly all of them. Rebalancing redirects some of its workers to the peer with the fewest.

// surplus is how many workers a controller should redirect, and to which peer.
type surplus struct {
	count int
	to    wire.MemberID
}

// measureSurplus compares the number of workers that report here with the numbers of the synced peers. Up to a
// fifth above the mean is tolerated, as a redirect costs the worker a heartbeat. The caller must hold the cache
// lock.
func (s *HeartbeatServer) measureSurplus(now time.Time) surplus {
	recent := 2*s.set.Cluster.Workers.Report.Duration() + time.Second
	mine := 0
	s.Registry.Each(func(w *reconcile.Worker) {
		if now.Sub(w.LastHeartbeat) < recent {
			mine++
		}
	})
	sum, members, fewest := mine, 1, mine
	var to wire.MemberID
	for _, id := range s.Membership.ReachablePeers(now) {
		theirs := 0
		peer := s.Membership.Peer(id)
		for i := range peer.Status.Machines {
			if peer.Status.Machines[i].HeartbeatAgeMS < recent.Milliseconds() {
				theirs++
			}
		}
		sum += theirs
		members++
		if theirs < fewest {
			fewest, to = theirs, id
		}
	}
	over := mine - sum*6/(5*members) - 2
	if to == "" || over <= 0 {
		return surplus{}
	}
	return surplus{count: max(1, over/5), to: to} // gradually: the next snapshot shows the effect
}

// rebalance redirects a worker to another controller if this one serves too many and the worker has no start or
// exit in progress that the redirect would delay. The surplus is measured once per scheduler snapshot. The
// caller must hold the cache lock.
func (s *HeartbeatServer) rebalance(
	w *reconcile.Worker,
	findings *reconcile.Reconciliation,
	now time.Time,
) (HeartbeatAnswer, bool) {
	if taken := s.Scheduler.SnapshotsTaken(); taken != s.surplusSnapshot {
		s.surplus, s.surplusSnapshot = s.measureSurplus(now), taken
	}
	claimed := 0
	for _, claim := range s.records().ClaimsOn(w.ID) {
		claimed += claim.Count
	}
	changing := len(findings.Exits)+len(findings.TakeOver) > 0 || len(findings.Reported) != claimed
	if s.surplus.count <= 0 || now.Sub(w.RedirectedAt) < redirectInterval || changing || !w.ReclaimAt.IsZero() {
		return HeartbeatAnswer{}, false
	}
	s.surplus.count--
	w.RedirectedAt = now
	return redirectTo(s.surplus.to), true
}
