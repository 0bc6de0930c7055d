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
	Room    int   // how many tasks it may take, above 0
	Order   int64 // from 0 to MaxOrder; lower values are preferred among equally close machines
}

// MaxOrder is the upper bound of MachineOption.Order.
const MaxOrder = 1 << 20

// Gang describes a gang to be placed.
type Gang struct {
	Tasks      int
	OneZone    bool // all tasks must be in one zone
	MaxPerZone int  // maximum number of tasks per zone; 0: no limit
}

// PlacementCost returns the cost of a placement: the sum of PairCost over all pairs of tasks that are on
// different machines.
//
//	cost = Σ over pairs {i,j} on machines x ≠ y of ( 1 + Σ over levels l, block_l(x) ≠ block_l(y) of cost_l )
//
// blocks and counts hold the block and the number of tasks of each machine used.
func (t *Tree) PlacementCost(blocks []Block, counts []int) Cost {
	var sum Cost
	for i := range blocks {
		for k := range i {
			sum += Cost(counts[i]*counts[k]) * t.PairCost(blocks[i], blocks[k])
		}
	}
	return sum
}

// score rates a partial placement; lower is better. waste breaks ties between placements of the same cost: it is the
// room left over in the blocks used, then the sum of the machines' orders.
type score struct {
	cost  Cost
	waste int64
}

// infeasible is the score of a placement that does not exist. A quarter of the largest Cost leaves room for additions.
var infeasible = score{cost: math.MaxInt64 / 4}

func (s score) less(other score) bool {
	return s.cost < other.cost || s.cost == other.cost && s.waste < other.waste
}

func (s score) add(other score) score { return score{s.cost + other.cost, s.waste + other.waste} }

const (
	// leftoverWeight is the waste per task that still fits into a block in use. It outweighs the machines' orders,
	// so that a small gang fills up a partly used block and leaves empty ones to larger gangs.
	leftoverWeight = MaxOrder << 8
	// maxLeftover bounds the leftover room that counts, in tasks.
	maxLeftover = 1 << 12
)

// node is a block or a machine in a packing.
type node struct {
	option       int       // index of a machine's option; -1 for a block
	block        Block     // 0 for a machine
	children     []int     // of a block
	room         int       // number of tasks that fit, capped at the size of the gang
	uncappedRoom int       // number of tasks that fit
	best         []score   // best score by number of tasks
	choices      [][]int16 // by child and number of tasks in the children up to it: how many tasks the child takes
}

// Pack places a gang at the least cost that the options allow and, among placements of that cost, with the least
// waste. counts holds the number of tasks that each option takes; ok is false if the gang does not fit.
//
// The result is exact. All pairs of tasks in different children of a block cost the same, and a pair that shares a
// child saves an amount that depends on the child only. The best score for k tasks in a block therefore follows from
// the best scores of its children: a bounded knapsack problem per block, solved bottom-up over the blocks with room.
func (t *Tree) Pack(g Gang, options []MachineOption) (counts []int, cost Cost, ok bool) {
	p := packing{
		tree:          t,
		gang:          g,
		blockNodes:    map[Block]int{},
		machineScores: map[machineKind][]score{},
		nodes:         make([]node, 0, len(options)+len(options)/8),
	}
	for i := range options {
		p.addMachine(i, &options[i])
	}
	if len(p.nodes) == 0 {
		return nil, 0, false
	}
	top := p.blockNodes[0]
	p.solve(top)
	root := &p.nodes[top]
	if g.OneZone {
		best := -1
		for _, z := range root.children {
			zone := &p.nodes[z]
			if zone.room >= g.Tasks && (best < 0 || zone.best[g.Tasks].less(p.nodes[best].best[g.Tasks])) {
				best = z
			}
		}
		if best < 0 {
			return nil, 0, false
		}
		top, root = best, &p.nodes[best]
	}
	if root.room < g.Tasks || root.best[g.Tasks].cost >= infeasible.cost {
		return nil, 0, false
	}
	counts = make([]int, len(options))
	p.assignTasks(top, g.Tasks, counts)
	return counts, root.best[g.Tasks].cost, true
}

// packing is the state of one call of Pack.
type packing struct {
	tree          *Tree
	gang          Gang
	nodes         []node
	blockNodes    map[Block]int           // indexes of the nodes of blocks
	machineScores map[machineKind][]score // node.best of machines, shared by those of the same kind
	choicePool    []int16                 // unused rest of the buffer for node.choices
}

// machineKind holds what the scores of a machine depend on.
type machineKind struct {
	room  int
	order int64
}

// newChoices returns a zeroed slice of n elements for node.choices.
func (p *packing) newChoices(n int) []int16 {
	if len(p.choicePool) < n {
		p.choicePool = make([]int16, max(n, 1<<14))
	}
	out := p.choicePool[:n:n]
	p.choicePool = p.choicePool[n:]
	return out
}

// addMachine adds the node of a machine, the i-th option, and those of the blocks that contain it.
func (p *packing) addMachine(i int, option *MachineOption) {
	room := min(option.Room, p.gang.Tasks)
	if room <= 0 {
		return
	}
	parent := p.blockNode(option.Block)
	p.nodes = append(p.nodes, node{option: i, room: room, uncappedRoom: option.Room})
	m := len(p.nodes) - 1
	kind := machineKind{room, min(max(option.Order, 0), MaxOrder)}
	best := p.machineScores[kind]
	if best == nil {
		best = make([]score, room+1)
		for k := 1; k <= room; k++ {
			best[k] = score{0, kind.order}
		}
		p.machineScores[kind] = best
	}
	p.nodes[m].best = best
	p.nodes[parent].children = append(p.nodes[parent].children, m)
}

// blockNode returns the index of a block's node. It adds the node and those of the block's ancestors if missing.
func (p *packing) blockNode(b Block) int {
	if i, ok := p.blockNodes[b]; ok {
		return i
	}
	parent := -1
	if b != 0 {
		parent = p.blockNode(p.tree.blocks[b].parent)
	}
	p.nodes = append(p.nodes, node{option: -1, block: b})
	i := len(p.nodes) - 1
	p.blockNodes[b] = i
	if parent >= 0 {
		p.nodes[parent].children = append(p.nodes[parent].children, i)
	}
	return i
}

// pairCount returns the number of pairs among k tasks.
func pairCount(k int) Cost { return Cost(k) * Cost(k-1) / 2 }

// solve computes the best scores and the choices of a block's node and of all nodes below it.
func (p *packing) solve(at int) {
	n := &p.nodes[at]
	if n.option >= 0 {
		return
	}
	for _, c := range n.children {
		p.solve(c)
	}
	// Sort the children so that the result does not depend on the order of the options.
	slices.SortFunc(n.children, func(a, b int) int {
		x, y := &p.nodes[a], &p.nodes[b]
		return cmp.Or(cmp.Compare(x.block, y.block), cmp.Compare(y.room, x.room), cmp.Compare(x.option, y.option))
	})
	pairCost := p.tree.pairCostWithin(n.block)
	// Two alternating buffers: the best scores without and with the next child.
	best, spare := append(make([]score, 0, p.gang.Tasks+1), score{}), make([]score, 0, p.gang.Tasks+1)
	n.choices = make([][]int16, 0, len(n.children))
	for _, c := range n.children {
		child := &p.nodes[c]
		n.uncappedRoom += child.uncappedRoom
		maxTasks := child.room
		if n.block == 0 && p.gang.MaxPerZone > 0 {
			maxTasks = min(maxTasks, p.gang.MaxPerZone)
		}
		next := spare[:min(p.gang.Tasks, len(best)-1+maxTasks)+1]
		choice := p.newChoices(len(next))
		for k := range next {
			next[k] = infeasible
			for take := max(0, k-len(best)+1); take <= min(maxTasks, k); take++ {
				s := child.best[take]
				s.cost -= pairCost * pairCount(take)
				if s = s.add(best[k-take]); s.less(next[k]) {
					next[k], choice[k] = s, int16(take)
				}
			}
		}
		best, spare = next, best
		n.choices = append(n.choices, choice)
	}
	n.room = len(best) - 1
	for k := 1; k < len(best); k++ {
		best[k].cost += pairCost * pairCount(k)
		if n.block != 0 {
			best[k].waste += int64(min(n.uncappedRoom-k, maxLeftover)) * leftoverWeight
		}
	}
	n.best = best
}

// assignTasks stores in counts how k tasks in a node are distributed over the options.
func (p *packing) assignTasks(at, k int, counts []int) {
	n := &p.nodes[at]
	if n.option >= 0 {
		counts[n.option] = k
		return
	}
	for i := len(n.children) - 1; i >= 0; i-- {
		take := int(n.choices[i][k])
		if take > 0 {
			p.assignTasks(n.children[i], take, counts)
		}
		k -= take
	}
}
