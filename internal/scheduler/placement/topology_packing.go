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

// packingCache is what packing gangs by the topology derives from a snapshot.
type packingCache struct {
	minCosts map[string]topology.Cost // see minPackingCost, by what it depends on
	// waiting holds the gangs that have room and wait for a closer place.
	waiting map[wire.JobID]bool
	// idlePerBlock counts the usable machines that are empty, and partlyUsed lists those that are
	// neither empty nor full.
	idlePerBlock map[topology.Block]int
	partlyUsed   []*Machine
}

// The packing order is a number of three parts, the most significant first: the image rank, whether
// the machine is not spot, and what stays free beside the gang, in units of leftUnit.
const (
	leftBits = 17
	leftUnit = 10_000
)

// packingOrder returns how good a machine is among equally close ones, for topology.MachineOption.
func (o *gangOption) packingOrder() int64 {
	const maxLeft = 1<<leftBits - 1
	return int64(o.rank)<<(leftBits+1) | int64(onDemandLast(o.m))<<leftBits | min(o.left/leftUnit, maxLeft)
}

// topologyGang returns a gang in the form that topology packs.
func topologyGang(j *ledger.Job) topology.Gang {
	return topology.Gang{Tasks: j.GangSize(), OneZone: j.Spec.OneZone, MostIn: maxPerZone(j)}
}

// packGang places a gang where its tasks are closest together. With images first, as the paper's
// ranks ask (section 5), it uses only machines of at most the lowest rank that can hold the gang;
// with closeness first, all. A gang that could be packed closer were the machines empty waits for
// that, for at most the topology's bound.
func (s *Snapshot) packGang(e *Entry, options []gangOption) gangPlacement {
	g := topologyGang(e.Job)
	first := rankCached
	if s.Tree.First == topology.ClosenessFirst {
		first = rankBusy
	}
	slices.SortFunc(options, func(a, b gangOption) int {
		return cmp.Or(cmp.Compare(a.packingOrder(), b.packingOrder()), cmp.Compare(a.m.ID, b.m.ID))
	})
	tried := 0 // the room that was tried last
	for worst := first; worst <= rankBusy; worst++ {
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
			if s.packing.waiting == nil {
				s.packing.waiting = map[wire.JobID]bool{}
			}
			s.packing.waiting[e.Job.ID] = true
			return gangPlacement{}
		}
		return packedGang(options, counts)
	}
	return gangPlacement{}
}

// machineOptions returns the options of at most the rank worst in the form that topology packs, and
// the tasks that they have room for. Options are in packing order, and so of increasing rank: the
// result lists the first of them.
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

// packedGang returns the placement that gives counts[i] tasks to options[i].
func packedGang(options []gangOption, counts []int) gangPlacement {
	p := gangPlacement{rank: rankCached}
	for i, n := range counts {
		if n > 0 {
			p.rank = max(p.rank, options[i].rank)
			p.parts = append(p.parts, ledger.GangPart{Target: options[i].m.ClaimTarget(), Count: n})
		}
	}
	return p
}

// minPackingCost returns the least that placing a gang could cost were all machines empty. Gangs
// that are alike share the result.
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
		if n := m.Total.Times(j.Need, g.Tasks); n > 0 && m.Usable && ledger.Allowed(j.Spec, m.Type, m.Zone, m.Spot) {
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

// maxPartlyUsed bounds how many partly used machines are examined for one task.
const maxPartlyUsed = 32

// leftToGangs reports whether a machine is left to gangs for now: it is empty, so are others of its
// block, and a partly used machine elsewhere will do as well for a task of the entry. Like other
// waits for a better machine it lasts for Limits.DeferCold at most.
func (s *Snapshot) leftToGangs(e *Entry, m *Machine) bool {
	if s.Tree == nil || m.Free != m.Total || e.Waiting > s.Limits.DeferCold {
		return false
	}
	if s.packing.idlePerBlock == nil {
		s.countIdleBlocks()
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
		if s.open(e, o) && o.Free.Fits(e.Job.Need) && o.Images.rank(e.Job.Spec.Image) <= rank &&
			e.Job.ZoneRoom(o.Zone) > 0 {
			return true
		}
	}
	return false
}

// countIdleBlocks fills in idlePerBlock and partlyUsed.
func (s *Snapshot) countIdleBlocks() {
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

// packPreemption chooses, among the machines whose rank and loss are at most those given, the ones
// to empty for a gang that are closest together; nil if they can't hold it.
func (s *Snapshot) packPreemption(
	j *ledger.Job,
	options []preemptionOption,
	rank int,
	loss time.Duration,
) []PreemptionReservation {
	var in []topology.MachineOption
	var chosen []*preemptionOption // that in was made of
	for i := range options {
		if o := &options[i]; o.rank <= rank && o.loss <= loss {
			in = append(in, topology.MachineOption{
				Machine: o.m.ID,
				Block:   o.m.Block,
				Room:    o.room,
				Order:   min(int64(o.loss.Seconds()), topology.MostOrder),
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
