package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// packingCache caches data about topology-aware packing that is derived from a snapshot.
type packingCache struct {
	minCosts map[string]topology.Cost // results of minPackingCost, by its inputs
	// waitingForCloser holds the gangs that fit but wait for a closer placement.
	waitingForCloser map[wire.JobID]bool
	// idlePerBlock counts the usable empty machines per block, and partlyUsed lists the usable
	// machines that are neither empty nor full.
	idlePerBlock map[topology.Block]int
	partlyUsed   []*Machine
}

// The packing order is a number with three parts, most significant first: the image rank, whether
// the machine is on-demand, and what is left free beside the gang, in units of leftoverUnit.
const (
	leftoverBits = 17
	leftoverUnit = 10_000
)

// packingOrder returns the preference of a machine among equally close ones, for
// topology.MachineOption; lower is better.
func (o *gangOption) packingOrder() int64 {
	const maxLeftover = 1<<leftoverBits - 1
	return int64(o.rank)<<(leftoverBits+1) | int64(onDemandLast(o.m))<<leftoverBits |
		min(o.leftover/leftoverUnit, maxLeftover)
}

// topologyGang converts a gang to the input of topology packing.
func topologyGang(j *ledger.Job) topology.Gang {
	return topology.Gang{Tasks: j.GangSize(), OneZone: j.Spec.OneZone, MaxPerZone: maxPerZone(j)}
}

// packGang places a gang's tasks as close together as possible. If the topology puts images first,
// as the paper's ranks require (section 5), it uses only machines up to the lowest rank that can
// hold the gang; if it puts closeness first, it uses all machines. A gang that could be packed
// closer if the machines were empty waits for that, up to the topology's limit.
func (s *Snapshot) packGang(e *Entry, options []gangOption) gangPlacement {
	g := topologyGang(e.Job)
	first := rankCached
	if s.Tree.Priority == topology.ClosenessFirst {
		first = rankContended
	}
	slices.SortFunc(options, func(a, b gangOption) int {
		return cmp.Or(cmp.Compare(a.packingOrder(), b.packingOrder()), cmp.Compare(a.m.ID, b.m.ID))
	})
	tried := 0 // capacity at the last attempt
	for worst := first; worst <= rankContended; worst++ {
		in, room := machineOptions(options, worst)
		if room < g.Tasks || room == tried {
			continue
		}
		tried = room
		counts, cost, ok := s.Tree.Pack(g, in)
		if !ok {
			continue
		}
		if cost > 0 && e.Waiting < s.Tree.CloserWait && cost > s.minPackingCost(e.Job, g) {
			if s.packing.waitingForCloser == nil {
				s.packing.waitingForCloser = map[wire.JobID]bool{}
			}
			s.packing.waitingForCloser[e.Job.ID] = true
			return gangPlacement{}
		}
		return packedGang(options, counts)
	}
	return gangPlacement{}
}

// machineOptions converts the options whose rank does not exceed worst to the input of topology
// packing, and returns the number of tasks they can hold. Options are in packing order and
// therefore in order of rank, so that result indexes match option indexes.
func machineOptions(options []gangOption, worst int) (in []topology.MachineOption, room int) {
	for i := range options {
		if o := &options[i]; o.rank <= worst {
			in = append(in, topology.MachineOption{
				Machine: o.m.ID,
				Block:   o.m.Block,
				Room:    o.room,
				Order:   o.packingOrder(),
			})
			room += o.room
		}
	}
	return in, room
}

// packedGang returns the placement that assigns counts[i] tasks to options[i].
func packedGang(options []gangOption, counts []int) gangPlacement {
	p := gangPlacement{rank: rankCached}
	for i, n := range counts {
		if n > 0 {
			p.rank = max(p.rank, options[i].rank)
			p.parts = append(p.parts, ledger.GangAllocation{Target: options[i].m.ClaimTarget(), Count: n})
		}
	}
	return p
}

// minPackingCost returns the minimum cost of placing a gang if all machines were empty. Gangs with
// the same constraints share the result.
func (s *Snapshot) minPackingCost(j *ledger.Job, g topology.Gang) topology.Cost {
	zone := wire.Zone("")
	if j.Spec.Zone != nil {
		zone = *j.Spec.Zone
	}
	key := fmt.Sprint(g, j.Need, j.Spec.Spot, zone, j.Spec.Types)
	if cost, known := s.packing.minCosts[key]; known {
		return cost
	}
	var in []topology.MachineOption
	for _, m := range s.Machines {
		s.Examined++
		if n := m.Total.CountFitting(j.Need, g.Tasks); n > 0 && m.Usable &&
			ledger.PlacementAllowed(j.Spec, m.Type, m.Zone, m.Spot) {
			in = append(in, topology.MachineOption{Machine: m.ID, Block: m.Block, Room: n})
		}
	}
	_, cost, _ := s.Tree.Pack(g, in)
	if s.packing.minCosts == nil {
		s.packing.minCosts = map[string]topology.Cost{}
	}
	s.packing.minCosts[key] = cost
	return cost
}

// maxPartlyUsed limits the partly used machines examined for one task.
const maxPartlyUsed = 32

// keepEmptyForGangs reports whether to keep a machine empty for gangs for now: the machine and
// others of its block are empty, and a partly used machine elsewhere is equally suitable for a task
// of the entry. Like other waits for a better machine, this is limited to Limits.MaxColdStartDelay.
func (s *Snapshot) keepEmptyForGangs(e *Entry, m *Machine) bool {
	if s.Tree == nil || m.Free != m.Total || e.Waiting > s.Limits.MaxColdStartDelay {
		return false
	}
	if s.packing.idlePerBlock == nil {
		s.indexMachineUsage()
	}
	if s.packing.idlePerBlock[m.Block] < 2 {
		return false
	}
	rank := m.Images.rank(e.Job.Spec.Image)
	for i, o := range s.packing.partlyUsed {
		if i == maxPartlyUsed {
			break
		}
		s.Examined++
		if s.available(e, o) && o.Free.Fits(e.Job.Need) && o.Images.rank(e.Job.Spec.Image) <= rank &&
			e.Job.ZoneRoom(o.Zone) > 0 {
			return true
		}
	}
	return false
}

// indexMachineUsage fills idlePerBlock and partlyUsed.
func (s *Snapshot) indexMachineUsage() {
	s.packing.idlePerBlock = map[topology.Block]int{}
	for _, m := range s.Machines {
		s.Examined++
		switch {
		case !m.Usable:
		case m.Free == m.Total:
			s.packing.idlePerBlock[m.Block]++
		case m.Free != (ledger.Resources{}):
			s.packing.partlyUsed = append(s.packing.partlyUsed, m)
		}
	}
}

// packPreemption chooses, among the machines whose rank and loss do not exceed the given ones,
// those closest together on which to preempt claims for a gang. It returns nil if they cannot hold
// the gang.
func (s *Snapshot) packPreemption(
	j *ledger.Job,
	options []preemptionOption,
	rank int,
	loss time.Duration,
) []PreemptionReservation {
	var in []topology.MachineOption
	var chosen []*preemptionOption // the options that in was built from
	for i := range options {
		if o := &options[i]; o.rank <= rank && o.loss <= loss {
			in = append(in, topology.MachineOption{
				Machine: o.m.ID,
				Block:   o.m.Block,
				Room:    o.room,
				Order:   min(int64(o.loss.Seconds()), topology.MaxOrder),
			})
			chosen = append(chosen, o)
		}
	}
	counts, _, ok := s.Tree.Pack(topologyGang(j), in)
	if !ok {
		return nil
	}
	var out []PreemptionReservation
	for i, n := range counts {
		if n > 0 {
			out = append(out, PreemptionReservation{chosen[i].m, j.ID, n})
		}
	}
	return out
}
