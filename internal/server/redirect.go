package server

import (
	"hash/fnv"
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/wire"
)

// redirectInterval is the least time between two redirects of one worker: a worker that can't reach the
// other controller must not lose its lease over it.
const redirectInterval = 12 * time.Second

// redirect names a peer that is synced with the state service, or answers 503 if there is none. The choice
// is by a hash of the machine's name, so that the workers spread over the peers.
func (s *HeartbeatServer) redirect(id wire.MachineID, now time.Time) HeartbeatAnswer {
	peers := s.Membership.ReachablePeers(now)
	if len(peers) == 0 {
		return unavailable
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return redirectTo(peers[int(h.Sum32()%uint32(len(peers)))])
}

// redirectTo is the answer that sends a worker to a member.
func redirectTo(id wire.MemberID) HeartbeatAnswer {
	return HeartbeatAnswer{Status: statusMisdirected, Redirect: wire.Redirect{ReportTo: id}}
}

// redirectToSyncedPeer redirects a worker to a peer while this controller alone is cut off from the state
// service and so can neither start nor end tasks. A worker that doesn't reach the peer comes back and is
// answered here for as long as that is safe. It needs the cache's lock.
func (s *HeartbeatServer) redirectToSyncedPeer(w *reconcile.Worker, now time.Time) (HeartbeatAnswer, bool) {
	if now.Sub(s.Cache.SyncedAt()) <= settings.StartContact || now.Sub(w.RedirectedAt) <= redirectInterval {
		return HeartbeatAnswer{}, false
	}
	answer := s.redirect(w.ID, now)
	if answer.Status != statusMisdirected {
		return HeartbeatAnswer{}, false
	}
	w.RedirectedAt = now
	return answer, true
}
