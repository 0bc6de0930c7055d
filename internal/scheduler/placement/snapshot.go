// Package placement decides which pending tasks start on which machines, and which running tasks
// are preempted for them. It contains the deterministic core of the scheduler: it performs no I/O,
// does not read the clock (the time is Snapshot.Now) and does not write to the records.
//
// # Order of choice
//
// PlaceOnMachine serves one machine that reports free capacity. Following MixApart (PAPER, section
// 4.2; docs/DESIGN.md), the jobs of one group of the queue (same priority, same side of the team's
// guarantee, both overdue or both not) are offered the capacity in this order:
//
//  1. Cached: the machine has the job's image cached.
//  2. Fetching: the machine is fetching the image for another task.
//  3. Cold: the machine fetches the image for this task. At most one fetch runs on a machine, and
//     at most Limits.MaxColdStarts on the machines of one controller.
//
// A cold start is deferred in three cases: another machine with the image cached has free capacity
// (deferToCachedMachine, for Limits.MaxColdStartDelay), preemption is about to free a machine for
// the job (deferToPreemption, for half of that), or machines with the image cached will have
// capacity before the job's latest start while a fetch would end after it (cachedCapacityInTime).
//
// Some capacity is not offered to every job: machines reserved for the head of the queue
// (ReserveForHead), for gangs that are about to start (Snapshot.ReserveForPlaceableGangs) and for
// overdue gangs (ReserveForOverdueGangs). Idle machines with accelerators, up to
// IdleAcceleratorReserve, are not offered to jobs that need none. With a topology, empty machines
// of a block are not offered to single tasks while a partly used machine is suitable.
//
// # Gangs
//
// A gang of several tasks starts as a whole or not at all. PlaceGangs places gangs on all machines;
// with a topology, their tasks are packed closely (topology_packing.go). PlanPreemption chooses the
// machines to preempt on for gangs that do not fit, and PlanEvictions those for single tasks.
//
// # Concurrency
//
// Nothing here is synchronized. A Snapshot must be used by one goroutine at a time; the functions
// modify its counters, indexes, reservations and the free resources of its machines.
package placement

import (
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// Snapshot is the state that placement decisions are based on. One snapshot serves many decisions:
// lookups by image, machine or job are indexed once, on first use, so that the cost of a decision
// depends on what it can change and not on the size of the cluster.
type Snapshot struct {
	// Inputs, set by the caller and not modified here, except for the free resources of machines.

	Now      time.Time
	Limits   Limits
	Queue    []Entry    // entries in policy order
	Machines []*Machine // machines of all controllers
	// RemainingTeamQuota returns how many tasks of a job, up to most, the team's quota allows if the team
	// uses extra resources beyond the recorded ones.
	RemainingTeamQuota func(j *ledger.Job, extra ledger.Resources, most int) int
	// Victims lists the claims on a machine that may be preempted. If nil, preemption is disabled.
	Victims func(*Machine) []Victim
	// Prefer calls a policy to rank the machines that have capacity for gangs. If it is nil, or its
	// result differs in length from its argument, machines are ordered by how well a gang fills
	// them.
	Prefer func(*policy.Machines) []uint32
	// Tree is the declared topology, or nil if there is none.
	Tree *topology.Tree

	// Reservations of capacity for certain jobs.

	// HeadReservations maps machines to the only job that may use their capacity: the head of the
	// queue (ReserveForHead), or a job that claims are being preempted for (PlanEvictions,
	// PlanPreemption).
	HeadReservations map[wire.MachineID]wire.JobID
	// PlannedGangTasks counts, per machine, the tasks of gangs that are about to start there
	// (ReserveForPlaceableGangs).
	PlannedGangTasks map[wire.MachineID]map[wire.JobID]int
	// GangReservations maps machines to the gang that they are reserved for until all of the gang's
	// capacity is free (ReserveForOverdueGangs).
	GangReservations map[wire.MachineID]Reservation

	// Counters.

	FetchesInFlight int // image fetches on this controller's machines, including those decided here
	Examined        int // entries and machines examined by decisions

	// Derived from the above, on first use.

	machines   machineIndex
	queue      queueIndex
	preemption preemptionCache
	packing    packingCache
	surplus    acceleratorSurplus
	ranks      map[wire.MachineID]uint32 // ranks assigned to machines by Prefer
	// placeableGangs holds the gangs that fit when ReserveForPlaceableGangs was called.
	placeableGangs map[wire.JobID]bool
}

// machineIndex indexes the machines of a snapshot by ID and by cached image.
type machineIndex struct {
	byID    map[wire.MachineID]*Machine
	byImage map[wire.Image][]*Machine // machines that have the image cached
}

// add adds a machine to the index.
func (x *machineIndex) add(m *Machine) {
	x.byID[m.ID] = m
	for i := range m.Images.cached {
		name := m.Images.cached[i].name
		x.byImage[name] = append(x.byImage[name], m)
	}
}

// queueIndex holds data derived from the queue of a snapshot.
type queueIndex struct {
	byJob    map[wire.JobID]*Entry
	onDemand []Entry           // order for on-demand machines, see onDemandFirst
	minNeed  *ledger.Resources // the minimum of each resource over all tasks
}

// machineIndex returns the index of the machines and builds it on first use.
func (s *Snapshot) machineIndex() *machineIndex {
	if x := &s.machines; x.byID == nil {
		x.byImage, x.byID = map[wire.Image][]*Machine{}, make(map[wire.MachineID]*Machine, len(s.Machines))
		for _, m := range s.Machines {
			s.Examined++
			x.add(m)
		}
	}
	return &s.machines
}

// machinesCaching lists the machines that have an image cached.
func (s *Snapshot) machinesCaching(name wire.Image) []*Machine {
	list := s.machineIndex().byImage[name]
	s.Examined += len(list)
	return list
}

// Machine returns a machine of the snapshot, or nil.
func (s *Snapshot) Machine(id wire.MachineID) *Machine { return s.machineIndex().byID[id] }

// UpdateMachine replaces or adds a machine and returns the snapshot's copy of it. Newly cached
// images of a known machine are not indexed until the next snapshot.
func (s *Snapshot) UpdateMachine(m *Machine) *Machine {
	if old := s.Machine(m.ID); old != nil {
		*old = *m
		return old
	}
	s.Machines = append(s.Machines, m)
	s.machines.add(m)
	return m
}

// entry returns the queue entry of a job, or nil.
func (s *Snapshot) entry(id wire.JobID) *Entry {
	if s.queue.byJob == nil {
		s.queue.byJob = make(map[wire.JobID]*Entry, len(s.Queue))
		for i := range s.Queue {
			s.queue.byJob[s.Queue[i].Job.ID] = &s.Queue[i]
		}
	}
	return s.queue.byJob[id]
}

// order returns the queue in the order in which a machine serves it.
func (s *Snapshot) order(m *Machine) []Entry {
	if m.Spot {
		return s.Queue
	}
	if s.queue.onDemand == nil {
		s.queue.onDemand = onDemandFirst(s.Queue)
	}
	return s.queue.onDemand
}

// minNeed returns the minimum of each resource over all tasks in the queue.
func (s *Snapshot) minNeed() ledger.Resources {
	if s.queue.minNeed == nil {
		least := unboundedNeed
		for i := range s.Queue {
			least = minResources(least, s.Queue[i].Job.Need)
		}
		s.queue.minNeed = &least
	}
	return *s.queue.minNeed
}

// unboundedNeed exceeds the resources of any machine.
var unboundedNeed = ledger.Resources{CPU: 1 << 60, GPU: 1 << 60, Memory: 1 << 60}

// minResources returns the minimum of a and b for each resource.
func minResources(a, b ledger.Resources) ledger.Resources {
	return ledger.Resources{CPU: min(a.CPU, b.CPU), GPU: min(a.GPU, b.GPU), Memory: min(a.Memory, b.Memory)}
}
