// Package topology holds the declared network topology of the machines: a tree of blocks such as zones, switches and
// racks, whose levels operators define. Tree locates machines and places gangs on machines that are close together
// (Pack, which is exact). Health detects blocks that failed as a whole. The package does no I/O, takes the current
// time as a parameter and uses no locks. docs/topology.md describes the file format and the behaviour.
package topology

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"

	"maddermill/wire"
)

// Block identifies a block of a Tree. 0 stands for no block, as for a machine that is not located.
type Block int32

// Cost is the communication cost between tasks of a gang, in thousandths of the unit of the topology file. The file
// gives costs per pair of tasks.
type Cost int64

// costUnit is the Cost of one unit of the topology file.
const costUnit = 1000

// FileUnits returns the cost in the unit of the topology file.
func (c Cost) FileUnits() float64 { return float64(c) / costUnit }

// Level is a level of the tree, such as all racks.
type Level struct {
	Name string
	Cost Cost // of a pair of tasks in different blocks of the level
}

// PlacementPriority is the criterion that takes precedence when a gang is placed.
type PlacementPriority int

// ImageFirst prefers machines that are nearest to having the image (the ranks of the paper, section 5).
// ClosenessFirst prefers machines that are close to each other.
const (
	ImageFirst PlacementPriority = iota
	ClosenessFirst
)

// block is a node of a Tree.
type block struct {
	name   string
	level  int // index in the tree's levels
	parent Block
	zone   wire.Zone
}

// Tree is a declared topology. It is immutable.
type Tree struct {
	Priority   PlacementPriority
	CloserWait time.Duration // how long a gang waits for a closer placement than is possible now

	levels    []Level
	pairCosts []Cost // by level: of a pair in different blocks of that level, and so of all inner levels
	blocks    []block
	byAddr    bart.Table[Block]
	byName    map[wire.MachineID]Block
	zones     map[wire.Zone]Block
}

// crossMachineCost is the cost of a pair on different machines that share the blocks of all levels.
const crossMachineCost = costUnit

const (
	maxBlocks         = 100_000
	maxLevels         = 16
	defaultCloserWait = 5 * time.Second // how long a gang waits for a closer placement
	maxCost           = 1e6             // of a level, in the unit of the topology file
)

// Levels lists the levels, outermost first.
func (t *Tree) Levels() []Level { return t.levels }

// Blocks lists all blocks, parents before their children.
func (t *Tree) Blocks() []Block {
	out := make([]Block, 0, len(t.blocks)-1)
	for i := 1; i < len(t.blocks); i++ {
		out = append(out, Block(i))
	}
	return out
}

// Name returns a block's name without its path.
func (t *Tree) Name(b Block) string { return t.blocks[b].name }

// Parent returns the parent of a block, 0 for a zone.
func (t *Tree) Parent(b Block) Block { return t.blocks[b].parent }

// Level returns the name of a block's level.
func (t *Tree) Level(b Block) string { return t.levels[t.blocks[b].level].Name }

// Path returns the names of a block and its ancestors, outermost first: "soar/switch-2/rack-5".
func (t *Tree) Path(b Block) string {
	var names []string
	for ; b != 0; b = t.blocks[b].parent {
		names = append(names, t.blocks[b].name)
	}
	slices.Reverse(names)
	return strings.Join(names, "/")
}

// ByPath returns the block with a path, and whether there is one.
func (t *Tree) ByPath(path string) (Block, bool) {
	for _, b := range t.Blocks() {
		if t.Path(b) == path {
			return b, true
		}
	}
	return 0, false
}

// Locate returns the block of a machine: by the machine's name if the file lists it, else by the longest prefix that
// contains the address of the worker's endpoint. If nothing matches, or the block is in another zone than the
// machine, known is false and the block is that of the machine's zone, or 0 if the zone is unknown.
func (t *Tree) Locate(m wire.MachineID, endpoint string, zone wire.Zone) (b Block, known bool) {
	b, known = t.byName[m]
	if !known {
		if addr, err := netip.ParseAddrPort(endpoint); err == nil {
			b, known = t.byAddr.Lookup(addr.Addr().Unmap())
		}
	}
	if known && t.blocks[b].zone == zone {
		return b, true
	}
	return t.zones[zone], false
}

// PairCost returns the cost of a pair of tasks on two different machines in these blocks: crossMachineCost plus the
// costs of the levels at which the blocks differ.
func (t *Tree) PairCost(a, b Block) Cost {
	return t.pairCostWithin(t.Common(a, b))
}

// Common returns the lowest common ancestor of two blocks, which may be one of them; 0 if there is none.
func (t *Tree) Common(a, b Block) Block {
	for a != b {
		if a == 0 || b == 0 {
			return 0
		}
		x, y := &t.blocks[a], &t.blocks[b]
		if x.level >= y.level {
			a = x.parent
		}
		if y.level >= x.level {
			b = y.parent
		}
	}
	return a
}

// pairCostWithin returns the cost of a pair on two machines whose lowest common ancestor is b.
func (t *Tree) pairCostWithin(b Block) Cost {
	if b == 0 {
		return t.pairCosts[0]
	}
	return t.pairCosts[t.blocks[b].level+1]
}
