package leader

import (
	"time"

	"maddermill/internal/scheduler/estimate"
	"maddermill/wire"
)

// machine is the leader's view of a machine, merged from the cloud, the records, and the heartbeats to
// all controllers.
type machine struct {
	wire.ListedMachine
	requestedAt time.Time // when it was requested from the cloud, or else first seen
	idleSince   time.Time // zero while it has claims

	// State at its last heartbeat to any controller.
	lastHeartbeat    time.Time     // zero: none yet, the machine is booting
	reportsTo        wire.MemberID // the controller that received the heartbeat
	reclaimNotice    bool          // the cloud has announced a spot reclaim
	faulty           bool          // classified as faulty
	quarantineReason string        // the evidence; set only if quarantine is enabled
	unreachableFor   time.Duration // how long it has received no response to its heartbeats

	reclaimCounted bool // counted in Dependencies.SpotReclaims
}

// kind returns the machine's type and zone, by which boot times and faulty machines are counted.
func (m *machine) kind() estimate.MachineKind {
	return estimate.MachineKind{Type: m.Type, Zone: m.Zone}
}

// booting reports whether no heartbeat of the machine has been received yet.
func (m *machine) booting() bool { return m.lastHeartbeat.IsZero() }
