package server

import (
	"hash/fnv"
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/wire"
)

// redirectInterval is the minimum time between two redirects of the same worker. Without it a worker that
// cannot reach the other controller could lose its lease.
const redirectInterval = 12 * time.Second

// redirect returns a redirect to a peer that is synced with the state service, or status 503 if there is none.
// The peer is chosen by a hash of the machine's name, so that workers spread over the peers.
func (s *HeartbeatServer) redirect(id wire.MachineID, now time.Time) HeartbeatAnswer {
	peers := s.Membership.ReachablePeers(now)
	if len(peers) == 0 {
		return unavailable
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return redirectTo(peers[int(h.Sum32()%uint32(len(peers)))])
}

// redirectTo returns the answer that redirects a worker to a member.
func redirectTo(id wire.MemberID) HeartbeatAnswer {
	return HeartbeatAnswer{Status: statusMisdirected, Redirect: wire.Redirect{ReportTo: id}}
}

// redirectToSyncedPeer redirects a worker to a peer while only this controller is cut off from the state
// service and so can neither start nor complete tasks. A worker that cannot reach the peer returns and is
// answered here for as long as that is safe. The caller must hold the cache lock.
func (s *HeartbeatServer) redirectToSyncedPeer(w *reconcile.Worker, now time.Time) (HeartbeatAnswer, bool) {
	if now.Sub(s.Cache.SyncedAt()) <= settings.MaxSyncAge || now.Sub(w.RedirectedAt) <= redirectInterval {
		return HeartbeatAnswer{}, false
	}
	answer := s.redirect(w.ID, now)
	if answer.Status != statusMisdirected {
		return HeartbeatAnswer{}, false
	}
	w.RedirectedAt = now
	return answer, true
}
