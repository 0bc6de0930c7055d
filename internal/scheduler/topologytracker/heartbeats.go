package topologytracker

import (
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// workerFailoverAfter is how long a peer may be silent before its workers fail over to another controller.
const workerFailoverAfter = 4 * time.Second

// lastHeartbeat is the last heartbeat of a machine that any controller received.
type lastHeartbeat struct {
	endpoint  string
	zone      wire.Zone
	at        time.Time
	reclaimed bool // the cloud provider announced that it reclaims the machine
}

// heartbeats holds the last heartbeat of each machine.
type heartbeats map[wire.MachineID]lastHeartbeat

// observe records a machine's heartbeat unless a newer one is known.
func (h heartbeats) observe(id wire.MachineID, last lastHeartbeat) {
	if !last.at.Before(h[id].at) {
		h[id] = last
	}
}

// collectHeartbeats returns the last heartbeats of all machines that are neither terminating nor terminated. If a peer
// is silent, its machines are left out while they may still be failing over to another controller: their silence is
// due to the peer.
func (t *Tracker) collectHeartbeats(records *ledger.Ledger, now time.Time) heartbeats {
	all := make(heartbeats, t.registry.Len())
	t.registry.Each(func(w *reconcile.Worker) {
		if records.MachinePhase(w.ID) == "" {
			all.observe(w.ID, lastHeartbeat{w.Addr, w.Zone, w.LastHeartbeat, !w.ReclaimAt.IsZero()})
		}
	})
	for _, p := range t.membership.Peers() {
		t.collectFromPeer(all, p, records, now)
	}
	return all
}

// collectFromPeer merges the heartbeats that a peer received into all.
func (t *Tracker) collectFromPeer(all heartbeats, p *membership.Peer, records *ledger.Ledger, now time.Time) {
	silence := now.Sub(p.AsOf)
	failingOver := silence > workerFailoverAfter && silence < t.settings.HeartbeatTimeout()+t.settings.HeartbeatGrace()
	for i := range p.Status.Machines {
		m := &p.Status.Machines[i]
		at := p.HeartbeatAt(m)
		if known, ok := all[m.ID]; failingOver && (!ok || !known.at.After(at)) {
			delete(all, m.ID)
			continue
		}
		if records.MachinePhase(m.ID) == "" {
			all.observe(m.ID, lastHeartbeat{m.Endpoint, m.Zone, at, m.ReclaimMS != 0})
		}
	}
}
