package placement

import (
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Limits are the bounds of placement, from the settings.
type Limits struct {
	ColdStarts   int           // image fetches in flight at one controller's machines
	FetchAssumed time.Duration // how long a start counts as fetching before a heartbeat confirms it
	ReserveAfter time.Duration // how long a gang waits before room is reserved for it
	Starts       int           // jobs that one call of PlaceOnMachine starts tasks of; 0: no bound
	DeferCold    time.Duration // how long a task waits for a machine that caches its image
}

// Machine is the state of a machine that decisions are made from.
type Machine struct {
	ID    wire.MachineID
	Type  wire.MachineTypeName
	Zone  wire.Zone
	Spot  bool
	Block topology.Block // where it is, if a topology is declared
	Epoch wire.AgentEpoch
	Token wire.FencingToken // of the controller that the machine reports to

	Total   ledger.Resources
	Free    ledger.Resources
	Busy    []ExpectedRelease // what its claims take
	Images  *Images
	FetchGB float64 // image fetch rate in GB a second; 0: unknown

	Usable  bool // may be given tasks
	Owned   bool // reports to this controller
	Slow    bool // its tasks take longer than others'
	Overdue bool // its next heartbeat should have arrived: it may have stopped
	Faulty  bool // judged to fail tasks that would succeed elsewhere
}

// ExpectedRelease is room that claimed tasks take and when they are expected to release it.
type ExpectedRelease struct {
	Until time.Time
	Room  ledger.Resources
}

// ClaimTarget returns the machine in the form that claims name it by.
func (m *Machine) ClaimTarget() ledger.ClaimTarget {
	return ledger.ClaimTarget{
		Machine: m.ID,
		Type:    m.Type,
		Zone:    m.Zone,
		Spot:    m.Spot,
		Epoch:   m.Epoch,
		Token:   m.Token,
	}
}
