package server

import (
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/wire"
)

// A controller's share of the change budget, of the processor and of the sockets pays for the workers
// that report to it. Workers leave a controller by themselves only when it fails, so that after some
// failures one controller would serve nearly all of them. Rebalancing passes some on to the peer that
// serves the fewest.

// surplus is how many workers a controller should pass on, and to which peer.
type surplus struct {
	count int
	to    wire.MemberID
}

// measureSurplus compares the number of workers that report here with those of the synced peers. Up to a
// fifth more than the mean is left alone, as a redirect costs a heartbeat. It needs the cache's lock.
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
			if peer.Status.Machines[i].AgeMS < recent.Milliseconds() {
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
	return surplus{count: max(1, over/5), to: to} // a few at a time: the next snapshot shows the effect
}

// rebalance redirects a worker to another controller if this one serves too many and the worker has no
// start or exit under way that the redirect would delay. The surplus is measured once per snapshot of the
// scheduler. It needs the cache's lock.
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
