// Package placement decides which waiting tasks start on which machines, and which running tasks
// are preempted for them. It is the pure core of the scheduler: it does no I/O, reads no clock
// (the time is Snapshot.Now) and never writes to the records.
//
// # Order of choice
//
// PlaceOnMachine serves one machine that reports free room. Following MixApart (PAPER, section
// 4.2; docs/DESIGN.md), the jobs of one group of the queue (priority, standing towards the team's
// guarantee, overdue or not) are offered its room in this order:
//
//  1. Cached: the machine caches the job's image.
//  2. Fetching: the machine is fetching the image for another task.
//  3. Cold: the machine fetches the image for this task. At most one fetch runs on a machine, and
//     at most Limits.ColdStarts at the machines of one controller.
//
// A cold start is put off in three cases: another machine caches the image and has room
// (waitsForCached, for Limits.DeferCold), a machine that caches it is about to be emptied for the
// job (waitsForPreemption, for half of that), or machines that cache it will have room before the
// job's latest start while a fetch would end after it (roomInTime).
//
// Some room is not offered to a job at all: what is reserved for the head of the queue
// (ReserveForHead), for gangs that are about to start (Snapshot.Reserve) and for overdue gangs
// (ReserveForOverdueGangs); idle machines with accelerators, up to IdleReserve, to work that needs
// none; and, with a topology, empty machines of a block while a partly used machine will do.
//
// # Gangs
//
// A gang of several tasks starts whole or not at all. PlaceGangs places gangs over all machines;
// with a topology their tasks are packed closely (topology_packing.go). PlanPreemption chooses the
// machines to empty for gangs that have no room, Evict those for single tasks.
//
// # Concurrency
//
// Nothing here locks. A Snapshot belongs to one goroutine at a time; the functions change its
// counters, indexes, reservations and the free room of its machines.
package placement

import (
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// Snapshot is the state that decisions are made from. One snapshot serves many decisions: what
// they look up by image, machine or job is indexed once, on first use, so that the cost of a
// decision follows what it can change and not the size of the cluster.
type Snapshot struct {
	// Inputs, set by the caller and not changed here, except for the free room of machines.

	Now      time.Time
	Limits   Limits
	Queue    []Entry    // waiting jobs in policy order
	Machines []*Machine // all known machines, of all controllers
	// TeamRoom returns how many tasks of a job, up to most, its team's limit admits when the team
	// uses extra beside what the records say.
	TeamRoom func(j *ledger.Job, extra ledger.Resources, most int) int
	// Victims lists the claims on a machine that may be preempted; nil: preemption is off.
	Victims func(*Machine) []Victim
	// Prefer has a policy rank the machines that have room for gangs; nil, or a result of another
	// length than its argument: they are ordered by how well a gang fills them.
	Prefer func(*policy.Machines) []uint32
	// Tree is the declared topology; nil: there is none.
	Tree *topology.Tree

	// Reservations: room that only some jobs may take.

	// HeadReservations maps machines to the job that alone may take their room: the head of the
	// queue (ReserveForHead), or one that they are being emptied for (Evict, PlanPreemption).
	HeadReservations map[wire.MachineID]wire.JobID
	// Reserved counts, by machine, the tasks of gangs that are about to start there (Reserve).
	Reserved map[wire.MachineID]map[wire.JobID]int
	// GangReservations maps machines to the gang that their room is reserved for until all of the
	// gang's room is free (ReserveForOverdueGangs).
	GangReservations map[wire.MachineID]Reservation

	// Counters.

	FetchesInFlight int // image fetches at the machines of this controller, with those decided here
	Examined        int // entries and machines that decisions have examined

	// Derived from the above, each on first use.

	machines    machineIndex
	queue       queueIndex
	preemption  preemptionCache
	packing     packingCache
	accelerated acceleratorReserve
	ranks       map[wire.MachineID]uint32 // the ranks that Prefer gave machines
	// gangsWithRoom holds the gangs that Reserve found room for.
	gangsWithRoom map[wire.JobID]bool
}

// machineIndex finds the machines of a snapshot by id and by cached image.
type machineIndex struct {
	byID    map[wire.MachineID]*Machine
	byImage map[wire.Image][]*Machine // those that cache the image
}

// add indexes a machine.
func (x *machineIndex) add(m *Machine) {
	x.byID[m.ID] = m
	for i := range m.Images.cached {
		name := m.Images.cached[i].name
		x.byImage[name] = append(x.byImage[name], m)
	}
}

// queueIndex is what is derived from the queue of a snapshot.
type queueIndex struct {
	byJob    map[wire.JobID]*Entry
	onDemand []Entry           // the order on machines that are not spot, see onDemandFirst
	minNeed  *ledger.Resources // the least of each resource that any task needs
}

// machineIndex returns the index of the machines; the first call builds it.
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

// cachedOn lists the machines that cache an image.
func (s *Snapshot) cachedOn(name wire.Image) []*Machine {
	list := s.machineIndex().byImage[name]
	s.Examined += len(list)
	return list
}

// Machine returns a machine of the snapshot, or nil.
func (s *Snapshot) Machine(id wire.MachineID) *Machine { return s.machineIndex().byID[id] }

// UpdateMachine replaces what the snapshot says of a machine, or adds it, and returns the
// snapshot's machine. Images that a known machine caches since are found by the next snapshot.
func (s *Snapshot) UpdateMachine(m *Machine) *Machine {
	if old := s.Machine(m.ID); old != nil {
		*old = *m
		return old
	}
	s.Machines = append(s.Machines, m)
	s.machines.add(m)
	return m
}

// entry returns the entry of a waiting job, or nil.
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

// minNeed returns the least of each resource that any task in the queue needs.
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

// unboundedNeed is more of each resource than any machine has.
var unboundedNeed = ledger.Resources{CPU: 1 << 60, GPU: 1 << 60, Memory: 1 << 60}

// minResources returns the lesser of a and b for each resource.
func minResources(a, b ledger.Resources) ledger.Resources {
	return ledger.Resources{CPU: min(a.CPU, b.CPU), GPU: min(a.GPU, b.GPU), Memory: min(a.Memory, b.Memory)}
}
