package topologytracker

import (
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// switchAfter is how long a peer is silent before its workers may be looking for another controller.
const switchAfter = 4 * time.Second

// lastHeartbeat is a machine's last heartbeat, by whichever controller received it.
type lastHeartbeat struct {
	endpoint  string
	zone      wire.Zone
	at        time.Time
	reclaimed bool // the cloud has announced that it reclaims the machine
}

// heartbeats holds the last heartbeats of machines.
type heartbeats map[wire.MachineID]lastHeartbeat

// observe keeps the newer one of a machine's heartbeats.
func (h heartbeats) observe(id wire.MachineID, last lastHeartbeat) {
	if !last.at.Before(h[id].at) {
		h[id] = last
	}
}

// collectHeartbeats lists the last heartbeats of all machines that are neither terminating nor
// terminated. Machines of a peer that is itself silent are left out while they may still be looking
// for another controller: the silence is the peer's.
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

// collectFromPeer adds the heartbeats that a peer received.
func (t *Tracker) collectFromPeer(all heartbeats, p *membership.Peer, records *ledger.Ledger, now time.Time) {
	silence := now.Sub(p.AsOf)
	maySwitch := silence > switchAfter && silence < t.settings.SilentAfter()+t.settings.HeartbeatGrace()
	for i := range p.Status.Machines {
		m := &p.Status.Machines[i]
		at := p.HeartbeatAt(m)
		if known, ok := all[m.ID]; maySwitch && (!ok || !known.at.After(at)) {
			delete(all, m.ID)
			continue
		}
		if records.MachinePhase(m.ID) == "" {
			all.observe(m.ID, lastHeartbeat{m.Endpoint, m.Zone, at, m.ReclaimMS != 0})
		}
	}
}
