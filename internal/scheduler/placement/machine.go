package placement

import (
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Limits of placement, from the settings.
type Limits struct {
	ColdStarts   int           // fetches in flight at a controller's machines
	FetchAssumed time.Duration // how long a start counts as fetching unseen
	ReserveAfter time.Duration // how long a gang heads the order before room is kept
	Starts       int           // jobs that a machine is given tasks of at once, 0: no bound
	DeferCold    time.Duration // how long a task waits for a machine that caches its image
}

// Machine is a machine as placement sees it.
type Machine struct {
	ID      wire.MachineID
	Type    wire.MachineTypeName
	Zone    wire.Zone
	Spot    bool
	Session wire.AgentEpoch
	Token   wire.FencingToken // the holding controller's
	Total   ledger.Resources
	Free    ledger.Resources
	Images  *Images
	Usable  bool // may be given tasks
	Owned   bool // reports to this controller
	Busy    []ExpectedRelease
	FetchGB float64        // a second
	Block   topology.Block // where it is, if a topology is declared
	Slow    bool           // its tasks take longer than others'
	Overdue bool           // its next report should have come: it may have stopped
	Faulty  bool           // it is judged to fail tasks that others would not
}

// ExpectedRelease is room that tasks take, and until when as far as can be foreseen.
type ExpectedRelease struct {
	Until time.Time
	Room  ledger.Resources
}

// ClaimTarget is the machine as claims name it.
func (m *Machine) ClaimTarget() ledger.ClaimTarget {
	return ledger.ClaimTarget{
		Machine: m.ID,
		Type:    m.Type,
		Zone:    m.Zone,
		Spot:    m.Spot,
		Session: m.Session,
		Token:   m.Token,
	}
}
