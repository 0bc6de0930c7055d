// Package autoscale plans which machines to scale out and which to scale in. It is a pure function of
// its input: it does no I/O, reads no clock, holds no locks and keeps nothing between plans. The leader
// carries the plan out.
//
// ComputePlan packs the pending work, in policy order, into the machines that are up or boot, and into
// new ones where there is no room (packer for all jobs, jobPacking for one). It then adds the machines
// with accelerators that are to be in reserve, and drains machines that have been idle for longer than
// it would take to boot them again. ApplyPolicy lets a fleet policy of the operators change the plan.
//
// A plan never has more machines than Input.MaxMachines, never scales out kinds of machines that are out
// of capacity, and never drains a machine that has claims or boots. It need not be exact: what it
// foresees about running tasks are expectations, and the scheduler places tasks by itself.
package autoscale

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Machine is a machine as the leader knows it.
type Machine struct {
	ID        wire.MachineID
	Type      wire.MachineTypeName
	Zone      wire.Zone
	Spot      bool
	Booting   bool // it has sent no heartbeat yet
	Usable    bool // it takes tasks, or will when it is up
	Total     ledger.Resources
	Busy      []placement.ExpectedRelease // what its tasks take, and until when
	Caches    func(wire.Image) bool       // reports whether it has an image; nil: it is not known to have any
	Fetching  wire.Image                  // the image that it fetches now, "" if none
	IdleSince time.Time                   // zero while it has claims
}

// room returns the resources that are free at a time, as far as can be foreseen.
func (m *Machine) room(at time.Time) ledger.Resources {
	free := m.Total
	for _, release := range m.Busy {
		if release.Until.After(at) {
			free = free.Add(release.Room, -1)
		}
	}
	return free
}

// caches reports whether the machine is known to have an image.
func (m *Machine) caches(image wire.Image) bool { return m.Caches != nil && m.Caches(image) }

// claim takes the room of some tasks until they are expected to end.
func (m *Machine) claim(need ledger.Resources, tasks int, until time.Time) {
	m.Busy = append(m.Busy, placement.ExpectedRelease{Until: until, Room: ledger.Resources{}.Add(need, tasks)})
}

// isIdle reports whether the machine is up and has no claims, so that it could be returned.
func (m *Machine) isIdle() bool { return !m.IdleSince.IsZero() && !m.Booting }

// option returns the kind of the machine.
func (m *Machine) option() MachineOption {
	return MachineOption{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// MachineOption is a kind of machine that the cloud offers.
type MachineOption struct {
	Type wire.MachineTypeName
	Zone wire.Zone
	Spot bool
}

// ScaleOut is a number of machines of a kind to be rented.
type ScaleOut struct {
	MachineOption
	Count int
}

// Input is what a plan is made from.
type Input struct {
	Now          time.Time
	MachineTypes map[wire.MachineTypeName]wire.MachineType // the cloud's machine types at current prices
	Machines     []Machine                                 // all machines but those on their way out
	Queue        []placement.Entry                         // the pending jobs in policy order

	// TeamRoom returns how many tasks of a job, most of them at the most, its team's quota leaves room
	// for, beside the resources that the plan has given the team already.
	RemainingTeamQuota func(j *ledger.Job, extra ledger.Resources, most int) int
	// OutOfCapacity reports whether machines of a kind are not to be requested now.
	OutOfCapacity func(MachineOption) bool

	// Settings of the operators.
	Spot        bool    // spot machines may be rented
	MaxMachines int     // machines at once, 0: no bound
	IdleBoots   float64 // how long a machine may be idle, in boot times of its type
	Headroom    float64 // idle machines that are kept, as a share of those in use

	// PreferOneZone is set where a topology is declared: a gang's machines are wanted in one zone.
	PreferOneZone bool

	// MachinesExamined counts the machines that have been examined for a job: what the plan has cost.
	MachinesExamined int
}

// price returns the current price of a kind of machine.
func (in *Input) price(option MachineOption) float64 {
	machineType := in.MachineTypes[option.Type]
	if option.Spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// smallestNeed returns, of each resource, the least that a task of any pending job needs.
func (in *Input) smallestNeed() ledger.Resources {
	var smallest ledger.Resources
	for i := range in.Queue {
		need := in.Queue[i].Job.Need
		if i == 0 {
			smallest = need
		}
		smallest.CPU = min(smallest.CPU, need.CPU)
		smallest.GPU = min(smallest.GPU, need.GPU)
		smallest.Memory = min(smallest.Memory, need.Memory)
	}
	return smallest
}

// longestBoot returns the longest boot time of all machine types.
func (in *Input) longestBoot() time.Duration {
	var longest time.Duration
	for _, machineType := range in.MachineTypes {
		longest = max(longest, machineType.Boot.Duration())
	}
	return longest
}

// shortestBoot returns the shortest boot time of the machine types that a task of a job fits on, 0 if
// there is none.
func (in *Input) shortestBoot(j *ledger.Job) time.Duration {
	var shortest time.Duration
	for _, machineType := range in.MachineTypes {
		if boot := machineType.Boot.Duration(); (shortest == 0 || boot < shortest) &&
			resourcesOf(&machineType).Fits(j.Need) {
			shortest = boot
		}
	}
	return shortest
}

// resourcesOf returns the resources of a machine of a type.
func resourcesOf(machineType *wire.MachineType) ledger.Resources {
	return ledger.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}

// Plan is which machines to rent and which to return.
type Plan struct {
	ScaleOut []ScaleOut       // the largest number first
	Drain    []wire.MachineID // idle machines to be returned
}

// ComputePlan packs the pending work, in policy order, into the machines that are up or boot, rents what
// the rest needs and what is to be in reserve, and returns machines that have been idle for longer than
// it would take to boot them again.
func ComputePlan(in *Input) Plan {
	p := newPacker(in)
	for i := range in.Queue {
		p.place(&in.Queue[i])
	}
	reserves := in.idleReserves()
	p.scaleOutReserves(reserves)
	return Plan{ScaleOut: p.scaleOuts(), Drain: p.drains(reserves)}
}
