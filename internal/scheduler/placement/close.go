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

// gangOption is a machine that may take some of a gang's tasks.
type gangOption struct {
	m    *Machine
	room int   // tasks
	rank int   // of its image
	left int64 // see fit
}

// order is how good a machine is among equally close ones, for topology.Option.
func (o *gangOption) order() int64 {
	const most = 1<<17 - 1
	return int64(o.rank)<<18 | int64(own(o.m))<<17 | min(o.left/10_000, most)
}

// own is 0 for a cheap machine, which not all work may use.
func own(m *Machine) int {
	if m.Spot {
		return 0
	}
	return 1
}

// together is the gang as topology sees it.
func together(j *ledger.Job) topology.Gang {
	g := topology.Gang{Tasks: j.GangSize(), OneZone: j.Spec.OneZone}
	if j.Spec.Spread {
		g.MostIn = (j.Spec.Tasks + 1) / 2
	}
	return g
}

// closest places a gang where its tasks are closest together. With images first, as the
// paper's ranks ask (section 5), only machines are used that are no further from having
// the image than the nearest that can hold the gang; with closeness first, any. A gang
// that could sit closer were the machines empty waits for that, for a bounded time.
func (v *Snapshot) closest(e *Entry, options []gangOption) ([]ledger.GangPart, int) {
	j := e.Job
	g := together(j)
	first := rankCached
	if v.Tree.First == topology.ClosenessFirst {
		first = rankBusy
	}
	slices.SortFunc(options, func(a, b gangOption) int {
		return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.m.ID, b.m.ID))
	})
	tried := 0 // room
	for worst := first; worst <= rankBusy; worst++ {
		var in []topology.MachineOption
		room := 0
		for i := range options {
			if o := &options[i]; o.rank <= worst {
				in = append(in, topology.MachineOption{Machine: o.m.ID, Block: o.m.Block, Room: o.room, Order: o.order()})
				room += o.room
			}
		}
		if room < g.Tasks || room == tried {
			continue
		}
		tried = room
		counts, cost, ok := v.Tree.Pack(g, in)
		if !ok {
			continue
		}
		if cost > 0 && e.Waiting < v.Tree.CloserWait && cost > v.tightest(j, g) {
			if v.closerSoon == nil {
				v.closerSoon = map[wire.JobID]bool{}
			}
			v.closerSoon[j.ID] = true
			return nil, 0
		}
		var out []ledger.GangPart
		rank := rankCached
		for i, n := range counts {
			if n > 0 {
				rank = max(rank, options[i].rank)
				out = append(out, ledger.GangPart{Site: options[i].m.ClaimTarget(), Count: n})
			}
		}
		return out, rank
	}
	return nil, 0
}

// tightest is what a gang would cost at the least were all machines empty. Gangs that
// are alike share the answer.
func (v *Snapshot) tightest(j *ledger.Job, g topology.Gang) topology.Cost {
	zone := wire.Zone("")
	if j.Spec.Zone != nil {
		zone = *j.Spec.Zone
	}
	key := fmt.Sprint(g, j.Need, j.Spec.Spot, zone, j.Spec.Types)
	if cost, known := v.ideal[key]; known {
		return cost
	}
	var in []topology.MachineOption
	for _, m := range v.Machines {
		v.Examined++
		if n := m.Total.Times(j.Need, g.Tasks); n > 0 && m.Usable && ledger.Allowed(j.Spec, m.Type, m.Zone, m.Spot) {
			in = append(in, topology.MachineOption{Machine: m.ID, Block: m.Block, Room: n})
		}
	}
	_, cost, _ := v.Tree.Pack(g, in)
	if v.ideal == nil {
		v.ideal = map[string]topology.Cost{}
	}
	v.ideal[key] = cost
	return cost
}

// leftWhole reports whether a machine is left to gangs for now: it is empty, so are others
// of its block, and a machine elsewhere that is not will do as well for a task. Like other
// waits for a better machine it lasts a few reports at the most.
func (v *Snapshot) leftWhole(e *Entry, m *Machine) bool {
	if v.Tree == nil || m.Free != m.Total || e.Waiting > v.Limits.DeferCold {
		return false
	}
	if v.whole == nil {
		v.whole = map[topology.Block]int{}
		for _, o := range v.Machines {
			v.Examined++
			switch {
			case !o.Usable:
			case o.Free == o.Total:
				v.whole[o.Block]++
			case o.Free != (ledger.Resources{}):
				v.broken = append(v.broken, o)
			}
		}
	}
	if v.whole[m.Block] < 2 {
		return false
	}
	rank := m.Images.rank(e.Job.Spec.Image)
	looked := 0
	for _, o := range v.broken {
		v.Examined++
		if v.open(e, o) && o.Free.Fits(e.Job.Need) && o.Images.rank(e.Job.Spec.Image) <= rank &&
			e.Job.ZoneRoom(o.Zone) > 0 {
			return true
		}
		if looked++; looked == mostBroken {
			break
		}
	}
	return false
}

// mostBroken bounds how many partly used machines are looked at for one task.
const mostBroken = 32

// closer chooses, among machines that cost no more to empty than those chosen for a gang,
// the ones that are closest together. rank and loss are the furthest rank and the greatest
// loss of the choice.
func (v *Snapshot) closer(j *ledger.Job, options []roomOption, rank int, loss time.Duration) []PreemptionReservation {
	var in []topology.MachineOption
	var of []*roomOption
	for i := range options {
		if o := &options[i]; o.rank <= rank && o.loss <= loss {
			in = append(
				in,
				topology.MachineOption{
					Machine: o.m.ID,
					Block:   o.m.Block,
					Room:    o.room,
					Order:   min(int64(o.loss.Seconds()), topology.MostOrder),
				},
			)
			of = append(of, o)
		}
	}
	counts, _, ok := v.Tree.Pack(together(j), in)
	if !ok {
		return nil
	}
	var out []PreemptionReservation
	for i, n := range counts {
		if n > 0 {
			out = append(out, PreemptionReservation{of[i].m, j.ID, n})
		}
	}
	return out
}
