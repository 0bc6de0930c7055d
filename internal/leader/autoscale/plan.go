// Package autoscale computes which machines to add and which to remove. A plan is a pure function of its
// input: the package does no I/O, reads no clock, holds no locks and keeps no state between plans. The
// leader executes the plan.
//
// ComputePlan packs the pending jobs, in policy order, into the machines that are up or booting, and adds
// new machines for what does not fit (packer handles all jobs, jobPacking one). It then adds the machines
// missing from the accelerator reserve, and drains machines that have been idle for too long (see
// Input.IdleBoots). ApplyPolicy lets an operator-supplied fleet policy change the plan.
//
// A plan never exceeds Input.MaxMachines, never provisions machine options that are out of capacity, and
// never drains a machine that is booting or has claims. It is an approximation: the run times of running
// tasks are estimates, and the scheduler places tasks independently of the plan.
package autoscale

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Machine is a machine of the cluster, in the leader's view.
type Machine struct {
	ID               wire.MachineID
	Type             wire.MachineTypeName
	Zone             wire.Zone
	Spot             bool
	Booting          bool // no heartbeat received yet
	Usable           bool // it accepts tasks, or will once it is up
	Total            ledger.Resources
	ExpectedReleases []placement.ExpectedRelease // resources used by its tasks, and the expected time of their release
	Caches           func(wire.Image) bool       // reports whether an image is cached; nil: none is known to be
	Fetching         wire.Image                  // the image being fetched; "" means none
	IdleSince        time.Time                   // zero while it has claims
}

// freeAt returns the resources that are expected to be free at a given time.
func (m *Machine) freeAt(at time.Time) ledger.Resources {
	free := m.Total
	for _, release := range m.ExpectedReleases {
		if release.At.After(at) {
			free = free.Add(release.Resources, -1)
		}
	}
	return free
}

// caches reports whether an image is known to be cached on the machine.
func (m *Machine) caches(image wire.Image) bool { return m.Caches != nil && m.Caches(image) }

// claim reserves resources for a number of tasks until their expected end.
func (m *Machine) claim(need ledger.Resources, tasks int, until time.Time) {
	m.ExpectedReleases = append(m.ExpectedReleases, placement.ExpectedRelease{
		At:        until,
		Resources: ledger.Resources{}.Add(need, tasks),
	})
}

// isIdle reports whether the machine is up and has no claims, so that it can be drained.
func (m *Machine) isIdle() bool { return !m.IdleSince.IsZero() && !m.Booting }

// option returns the machine option that the machine was provisioned as.
func (m *Machine) option() MachineOption {
	return MachineOption{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// MachineOption is a combination of machine type, zone and purchase option (spot or on-demand).
type MachineOption struct {
	Type wire.MachineTypeName
	Zone wire.Zone
	Spot bool
}

// ScaleOut is a number of machines of one option to provision.
type ScaleOut struct {
	MachineOption
	Count int
}

// Input holds everything that a plan depends on.
type Input struct {
	Now          time.Time
	MachineTypes map[wire.MachineTypeName]wire.MachineType // the cloud's machine types with current prices
	Machines     []Machine                                 // all machines except those being terminated
	Queue        []placement.Entry                         // pending jobs in policy order

	// RemainingTeamQuota returns how many tasks of a job, at most maxTasks, still fit its team's quota if
	// extra, the resources that the plan has already given the team, counts as used.
	RemainingTeamQuota func(j *ledger.Job, extra ledger.Resources, maxTasks int) int
	// OutOfCapacity reports whether a machine option must not be requested for now.
	OutOfCapacity func(MachineOption) bool

	// Operator settings.
	Spot        bool    // spot machines may be provisioned
	MaxMachines int     // maximum cluster size; 0 means unlimited
	IdleBoots   float64 // maximum idle time of a machine, in boot times of its type
	Headroom    float64 // idle machines to keep, as a fraction of those in use

	// PreferOneZone is set if a topology is declared: the machines of a gang should be in one zone.
	PreferOneZone bool

	// MachinesExamined counts how often a machine was examined for a job. It measures the cost of the plan.
	MachinesExamined int
}

// price returns the current price of a machine option.
func (in *Input) price(option MachineOption) float64 {
	machineType := in.MachineTypes[option.Type]
	if option.Spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// smallestNeed returns, for each resource, the smallest amount that a task of any pending job needs.
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

// longestBoot returns the longest boot time of any machine type.
func (in *Input) longestBoot() time.Duration {
	var longest time.Duration
	for _, machineType := range in.MachineTypes {
		longest = max(longest, machineType.Boot.Duration())
	}
	return longest
}

// shortestBoot returns the shortest boot time of the machine types that a task of the job fits on, or 0 if
// it fits on none.
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

// resourcesOf returns the resources of a machine type.
func resourcesOf(machineType *wire.MachineType) ledger.Resources {
	return ledger.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}

// Plan lists the machines to provision and the machines to drain.
type Plan struct {
	ScaleOut []ScaleOut       // the largest count first
	Drain    []wire.MachineID // idle machines to terminate
}

// ComputePlan packs the pending jobs, in policy order, into the machines that are up or booting, plans new
// machines for the rest and for the accelerator reserve, and drains machines idle for too long.
func ComputePlan(in *Input) Plan {
	p := newPacker(in)
	for i := range in.Queue {
		p.place(&in.Queue[i])
	}
	reserves := in.idleReserves()
	p.scaleOutReserves(reserves)
	return Plan{ScaleOut: p.scaleOuts(), Drain: p.machinesToDrain(reserves)}
}
