package topology

import (
	"cmp"
	"math"
	"slices"

	"maddermill/wire"
)

// MachineOption is a machine that may take some of a gang's tasks.
type MachineOption struct {
	Machine wire.MachineID
	Block   Block
	Room    int   // tasks that it may take, above 0
	Order   int64 // less is better among places that are equally close, from 0 to MostOrder
}

// MostOrder bounds Option.Order.
const MostOrder = 1 << 20

// Gang is what is to be placed.
type Gang struct {
	Tasks   int
	OneZone bool // all in one zone
	MostIn  int  // the most tasks in one zone; 0: any number
}

// CostOf is the cost of a placement: over all pairs of tasks, the sum of the costs of
// the levels in which the two are apart, and of their being on two machines.
//
//	cost = Σ over pairs {i,j} on machines x ≠ y of ( 1 + Σ over levels l, block_l(x) ≠ block_l(y) of cost_l )
//
// on and counts tell for each machine used its block and its tasks.
func (t *Tree) CostOf(on []Block, counts []int) Cost {
	var sum Cost
	for i := range on {
		for k := range i {
			sum += Cost(counts[i]*counts[k]) * t.Apart(on[i], on[k])
		}
	}
	return sum
}

// value is what a partial placement costs. Closeness goes first; waste, among equally
// close places, is the room left over in the blocks used and then the order of machines.
type value struct {
	cost  Cost
	waste int64
}

var never = value{cost: math.MaxInt64 / 4}

func (v value) less(o value) bool {
	return v.cost < o.cost || v.cost == o.cost && v.waste < o.waste
}

func (v value) add(o value) value { return value{v.cost + o.cost, v.waste + o.waste} }

// leftover is the weight of a task's room left over in a block that is used, against the
// orders of machines: a small gang goes where it fills a block, so that another stays
// whole for a larger one. It counts up to mostLeft tasks.
const (
	leftover = MostOrder << 8
	mostLeft = 1 << 12
)

// part is one block, or one machine, in a packing.
type part struct {
	option int   // of a machine, -1 for a block
	block  Block // of a block
	parts  []int // within a block
	room   int   // tasks, no more than the gang has
	free   int   // tasks
	best   []value
	picks  [][]int16 // by part and number of tasks so far: how many the part takes
}

// Pack chooses where a gang's tasks go so that the cost of the placement is the least
// that the options allow, and among those of that cost the waste is least. counts tells
// how many tasks each option takes; ok is false if there is no room.
//
// It is exact. Within a block every pair of tasks costs at least what pairs in different
// inner blocks do, less what is saved by those that share one, so that the best way to
// put k tasks into a block follows from the best ways to put fewer into its parts: a
// knapsack a block, from the inside out, over the blocks with room only.
func (t *Tree) Pack(g Gang, options []MachineOption) (counts []int, cost Cost, ok bool) {
	p := packing{
		t:     t,
		g:     g,
		at:    map[Block]int{},
		alike: map[machineKind][]value{},
		parts: make([]part, 0, len(options)+len(options)/8),
	}
	for i := range options {
		p.addMachine(i, &options[i])
	}
	if len(p.parts) == 0 {
		return nil, 0, false
	}
	top := p.at[0]
	p.solve(top)
	root := &p.parts[top]
	if g.OneZone {
		best := -1
		for _, z := range root.parts {
			zone := &p.parts[z]
			if zone.room >= g.Tasks && (best < 0 || zone.best[g.Tasks].less(p.parts[best].best[g.Tasks])) {
				best = z
			}
		}
		if best < 0 {
			return nil, 0, false
		}
		top, root = best, &p.parts[best]
	}
	if root.room < g.Tasks || root.best[g.Tasks].cost >= never.cost {
		return nil, 0, false
	}
	counts = make([]int, len(options))
	p.collect(top, g.Tasks, counts)
	return counts, root.best[g.Tasks].cost, true
}

type packing struct {
	t     *Tree
	g     Gang
	parts []part
	at    map[Block]int           // the parts that are blocks
	alike map[machineKind][]value // best of machines that are alike
	picks []int16                 // room for the parts' picks
}

type machineKind struct {
	room  int
	order int64
}

// pick returns room for n picks.
func (p *packing) pick(n int) []int16 {
	if len(p.picks) < n {
		p.picks = make([]int16, max(n, 1<<14))
	}
	out := p.picks[:n:n]
	p.picks = p.picks[n:]
	return out
}

func (p *packing) addMachine(i int, o *MachineOption) {
	room := min(o.Room, p.g.Tasks)
	if room <= 0 {
		return
	}
	in := p.blockPart(o.Block)
	p.parts = append(p.parts, part{option: i, room: room, free: o.Room})
	m := len(p.parts) - 1
	alike := machineKind{room, min(max(o.Order, 0), MostOrder)}
	b := p.alike[alike]
	if b == nil {
		b = make([]value, room+1)
		for k := 1; k <= room; k++ {
			b[k] = value{0, alike.order}
		}
		p.alike[alike] = b
	}
	p.parts[m].best = b
	p.parts[in].parts = append(p.parts[in].parts, m)
}

// blockPart is the part of a block, made with those of all that it is in.
func (p *packing) blockPart(b Block) int {
	if i, ok := p.at[b]; ok {
		return i
	}
	in := -1
	if b != 0 {
		in = p.blockPart(p.t.blocks[b].parent)
	}
	p.parts = append(p.parts, part{option: -1, block: b})
	i := len(p.parts) - 1
	p.at[b] = i
	if in >= 0 {
		p.parts[in].parts = append(p.parts[in].parts, i)
	}
	return i
}

func pairs(k int) Cost { return Cost(k) * Cost(k-1) / 2 }

// solve works out best of a block: for each number of tasks the least value.
func (p *packing) solve(at int) {
	n := &p.parts[at]
	if n.option >= 0 {
		return
	}
	for _, c := range n.parts {
		p.solve(c)
	}
	// Parts in a fixed order, whatever order the options came in.
	slices.SortFunc(n.parts, func(a, b int) int {
		x, y := &p.parts[a], &p.parts[b]
		return cmp.Or(cmp.Compare(x.block, y.block), cmp.Compare(y.room, x.room), cmp.Compare(x.option, y.option))
	})
	apart := p.t.within(n.block)
	// Two buffers, by turns: what was best with the parts before, and with one more.
	best, other := append(make([]value, 0, p.g.Tasks+1), value{}), make([]value, 0, p.g.Tasks+1)
	n.picks = make([][]int16, 0, len(n.parts))
	for _, c := range n.parts {
		x := &p.parts[c]
		n.free += x.free
		most := x.room
		if n.block == 0 && p.g.MostIn > 0 {
			most = min(most, p.g.MostIn)
		}
		next := other[:min(p.g.Tasks, len(best)-1+most)+1]
		pick := p.pick(len(next))
		for k := range next {
			next[k] = never
			for take := max(0, k-len(best)+1); take <= min(most, k); take++ {
				v := x.best[take]
				v.cost -= apart * pairs(take)
				if v = v.add(best[k-take]); v.less(next[k]) {
					next[k], pick[k] = v, int16(take)
				}
			}
		}
		best, other = next, best
		n.picks = append(n.picks, pick)
	}
	n.room = len(best) - 1
	for k := 1; k < len(best); k++ {
		best[k].cost += apart * pairs(k)
		if n.block != 0 {
			best[k].waste += int64(min(n.free-k, mostLeft)) * leftover
		}
	}
	n.best = best
}

// collect notes what the options take of k tasks in a part.
func (p *packing) collect(at, k int, counts []int) {
	n := &p.parts[at]
	if n.option >= 0 {
		counts[n.option] = k
		return
	}
	for i := len(n.parts) - 1; i >= 0; i-- {
		take := int(n.picks[i][k])
		if take > 0 {
			p.collect(n.parts[i], take, counts)
		}
		k -= take
	}
}
