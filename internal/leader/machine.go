package leader

import (
	"time"

	"maddermill/internal/scheduler/estimate"
	"maddermill/wire"
)

// machine is a machine as the leader knows it from the cloud, the records, and the heartbeats to all
// controllers.
type machine struct {
	wire.ListedMachine
	requestedAt time.Time // when it was rented, or first seen
	idleSince   time.Time // zero while it has claims

	// What its last heartbeat to any controller said.
	lastHeartbeat    time.Time     // zero: it has sent none yet, and boots
	reportsTo        wire.MemberID // the controller that got it
	reclaimNotice    bool          // the cloud reclaims it
	faulty           bool          // it is judged faulty
	quarantineReason string        // the evidence, where machines are judged by it
	unreachableFor   time.Duration // for which no answer to its heartbeats has arrived there

	reclaimCounted bool // as a spot reclaim
}

// kind returns the machine's type and zone.
func (m *machine) kind() estimate.Kind { return estimate.Kind{Type: m.Type, Zone: m.Zone} }

// booting reports whether the machine has sent no heartbeat yet.
func (m *machine) booting() bool { return m.lastHeartbeat.IsZero() }
