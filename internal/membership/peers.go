package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/wire"
)

// recentStatus is how long ago a peer's status may have been asked for to count as its present one.
const recentStatus = 3 * time.Second

// syncedMS is how long ago a peer's last sync may be, in milliseconds, for it to reach the state service.
const syncedMS = 1500

// Peer is the status that another controller shared last. It does not change.
type Peer struct {
	Status peer.Status
	AsOf   time.Time // the latest time that the status can be relied on to describe
}

// HeartbeatAt returns when the peer last got a heartbeat of a machine in its status.
func (p *Peer) HeartbeatAt(m *peer.Machine) time.Time {
	return p.AsOf.Add(-time.Duration(m.AgeMS) * time.Millisecond)
}

// recent reports whether the status counts as the peer's present one.
func (p *Peer) recent(now time.Time) bool { return now.Sub(p.AsOf) < recentStatus }

// PeerState is another controller as configured, with its status if that is recent.
type PeerState struct {
	Member wire.MemberID
	Peer   *Peer // nil: it shared none lately
}

// ObserveStatus merges the status that a peer gave when it was asked at a time.
func (m *Membership) ObserveStatus(s peer.Status, asked time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(s, asked)
}

// observe is ObserveStatus; the lock must be held.
func (m *Membership) observe(s peer.Status, asOf time.Time) {
	m.peers[s.Member] = &Peer{s, asOf}
	m.sorted = slices.SortedFunc(maps.Values(m.peers), func(a, b *Peer) int {
		return cmp.Compare(a.Status.Member, b.Status.Member)
	})
}

// ObserveProbe notes that a peer asked for this controller's status over the mesh.
func (m *Membership) ObserveProbe(id wire.MemberID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProbe[id] = now
}

// Peers returns all peers that were ever observed, by name. The list must not be changed.
func (m *Membership) Peers() []*Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sorted
}

// Peer returns one peer; nil: it was never observed.
func (m *Membership) Peer(id wire.MemberID) *Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[id]
}

// Others returns all other controllers as configured.
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
func (m *Membership) allConfigured() bool { return len(m.opt.Others) == m.opt.Count-1 }

// ReachablePeers returns the peers that can take workers, by name.
func (m *Membership) ReachablePeers(now time.Time) []wire.MemberID {
	var reachable []wire.MemberID
	for _, p := range m.Peers() {
		if p.recent(now) && p.Status.Loaded && p.Status.ContactMS < m.opt.Contact.Milliseconds()/2 {
			reachable = append(reachable, p.Status.Member)
		}
	}
	return reachable
}

// PeersReachStore reports whether some other controller reaches the state service now.
func (m *Membership) PeersReachStore(now time.Time) bool {
	return slices.ContainsFunc(m.Peers(), func(p *Peer) bool {
		return p.recent(now) && p.Status.Loaded && p.Status.ContactMS < syncedMS
	})
}

// LastStatusAt returns the time of the most recent status of any peer; zero: there is none.
func (m *Membership) LastStatusAt() time.Time {
	var last time.Time
	for _, p := range m.Peers() {
		if p.AsOf.After(last) {
			last = p.AsOf
		}
	}
	return last
}

// CancellationsConfirmedUntil returns the time until which every other controller confirms that it has
// acknowledged no cancellation that records at a revision lack; false: one of them does not confirm
// it. The cancellations that peers list must have been merged into the records before.
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
