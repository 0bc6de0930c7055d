package placement

import (
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Limits are limits of placement, derived from the settings.
type Limits struct {
	MaxColdStarts     int           // maximum image fetches in progress on one controller's machines
	AssumedFetchTime  time.Duration // how long a start counts as fetching without confirmation by a heartbeat
	ReserveAfter      time.Duration // how long a gang waits before capacity is reserved for it
	MaxJobs           int           // maximum jobs that one call of PlaceOnMachine starts tasks of; 0: unlimited
	MaxColdStartDelay time.Duration // how long a task waits for a machine that has its image cached
}

// Machine is the state of a machine in a snapshot.
type Machine struct {
	ID    wire.MachineID
	Type  wire.MachineTypeName
	Zone  wire.Zone
	Spot  bool
	Block topology.Block // location in the topology, if one is declared
	Epoch wire.AgentEpoch
	Token wire.FencingToken // of the controller that the machine reports to

	Total            ledger.Resources
	Free             ledger.Resources
	ExpectedReleases []ExpectedRelease // resources held by its claims
	Images           *ImageCache
	FetchGBps        float64 // image fetch rate in GB/s; 0: unknown

	Usable  bool // may be assigned tasks
	Owned   bool // reports to this controller
	Slow    bool // its tasks run longer than on other machines
	Overdue bool // its heartbeat is late: it may have failed
	Faulty  bool // considered to fail tasks that would succeed elsewhere
}

// ExpectedRelease describes resources held by claimed tasks and when they are expected to be
// released.
type ExpectedRelease struct {
	At        time.Time
	Resources ledger.Resources
}

// ClaimTarget identifies the machine in claims.
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
