package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/wire"
)

// maxStatusAge is the age up to which a peer's status counts as current.
const maxStatusAge = 3 * time.Second

// maxStoreSyncAgeMS is the age of a peer's last sync, in milliseconds, up to which it counts as connected to
// the state service.
const maxStoreSyncAgeMS = 1500

// Peer is the last known status of another controller. It is immutable.
type Peer struct {
	Status peer.Status
	AsOf   time.Time // the latest time for which the status is known to hold
}

// HeartbeatAt returns when the peer last received a heartbeat from a machine in its status.
func (p *Peer) HeartbeatAt(m *peer.Machine) time.Time {
	return p.AsOf.Add(-time.Duration(m.HeartbeatAgeMS) * time.Millisecond)
}

// recent reports whether the status counts as current.
func (p *Peer) recent(now time.Time) bool { return now.Sub(p.AsOf) < maxStatusAge }

// PeerState is a configured peer, with its status if that is current.
type PeerState struct {
	Member wire.MemberID
	Peer   *Peer // nil if there is no current status
}

// ObserveStatus stores a peer's response to a probe that was sent at sentAt.
func (m *Membership) ObserveStatus(s peer.Status, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(s, sentAt)
}

// observe implements ObserveStatus. The caller must hold m.mu.
func (m *Membership) observe(s peer.Status, asOf time.Time) {
	m.peers[s.Member] = &Peer{s, asOf}
	m.sorted = slices.SortedFunc(maps.Values(m.peers), func(a, b *Peer) int {
		return cmp.Compare(a.Status.Member, b.Status.Member)
	})
}

// ObserveProbe records that a peer probed this controller over the mesh.
func (m *Membership) ObserveProbe(id wire.MemberID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProbe[id] = now
}

// Peers returns all peers that were ever observed, ordered by name. The slice must not be modified.
func (m *Membership) Peers() []*Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sorted
}

// Peer returns a peer, or nil if it was never observed.
func (m *Membership) Peer(id wire.MemberID) *Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[id]
}

// Others returns all other configured controllers.
func (m *Membership) Others(now time.Time) []PeerState {
	var out []PeerState
	for _, id := range m.opt.Others {
		state := PeerState{Member: id}
		if p := m.Peer(id); p != nil && p.recent(now) {
			state.Peer = p
		}
		out = append(out, state)
	}
	return out
}

// allConfigured reports whether the configuration names every other controller of the deployment.
func (m *Membership) allConfigured() bool { return len(m.opt.Others) == m.opt.ControllerCount-1 }

// ReachablePeers returns the peers that workers can be moved to, ordered by name.
func (m *Membership) ReachablePeers(now time.Time) []wire.MemberID {
	var reachable []wire.MemberID
	for _, p := range m.Peers() {
		if p.recent(now) && p.Status.Loaded && p.Status.SyncAgeMS < m.opt.MaxSyncAge.Milliseconds()/2 {
			reachable = append(reachable, p.Status.Member)
		}
	}
	return reachable
}

// PeersReachStore reports whether at least one peer is currently connected to the state service.
func (m *Membership) PeersReachStore(now time.Time) bool {
	return slices.ContainsFunc(m.Peers(), func(p *Peer) bool {
		return p.recent(now) && p.Status.Loaded && p.Status.SyncAgeMS < maxStoreSyncAgeMS
	})
}

// LastStatusAt returns the time of the newest status of any peer, or zero if there is none.
func (m *Membership) LastStatusAt() time.Time {
	var last time.Time
	for _, p := range m.Peers() {
		if p.AsOf.After(last) {
			last = p.AsOf
		}
	}
	return last
}

// CancellationsConfirmedUntil returns the time up to which all other controllers confirm that they have
// acknowledged no cancellation that is missing from the records at rev, and false if one of them does not
// confirm it. The caller must already have merged the cancellations listed by the peers into the records.
func (m *Membership) CancellationsConfirmedUntil(rev wire.Revision, now time.Time) (time.Time, bool) {
	if !m.allConfigured() {
		return time.Time{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	until := now
	for _, id := range m.opt.Others {
		p := m.peers[id]
		if p == nil || !p.Status.ConfirmsCancellations(rev) {
			return time.Time{}, false
		}
		if p.AsOf.Before(until) {
			until = p.AsOf
		}
	}
	return until, true
}
