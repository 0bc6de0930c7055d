// Package topology holds the declared topology of machines: a tree of zones, switches, racks and whatever
// other blocks operators name. Tree locates machines and packs gangs onto machines that are close
// together (Pack, exactly); Health detects blocks that failed as a whole. The package does no I/O, is
// given the time, and has no locks. docs/topology.md describes the file and the behaviour.
package topology

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"

	"maddermill/wire"
)

// Block is a block of a tree; 0: none, as of a machine that is not located.
type Block int32

// Cost is the cost of the distance between tasks of a gang, in thousandths of the unit of the file, which
// states it for a pair of tasks.
type Cost int64

const costUnit = 1000

// Stated returns the cost in the unit of the file.
func (c Cost) Stated() float64 { return float64(c) / costUnit }

// Level is one kind of block, outermost first.
type Level struct {
	Name string
	Cost Cost // of a pair of tasks in different blocks of the level
}

// First is what goes first when a gang is placed.
type First int

// The choices: machines nearest to having the image (the paper's ranks, section 5), or
// the closest machines.
const (
	ImageFirst First = iota
	ClosenessFirst
)

type block struct {
	name   string
	level  int // of the tree's levels
	parent Block
	zone   wire.Zone
}

// Tree is a declared topology. It doesn't change.
type Tree struct {
	First      First
	CloserWait time.Duration // how long a gang waits for a place closer than there is now

	levels []Level
	apart  []Cost // of a pair that is in different blocks of a level, and so of all inner ones
	blocks []block
	byAddr bart.Table[Block]
	byName map[wire.MachineID]Block
	zones  map[wire.Zone]Block
}

// machineCost is what a pair on different machines costs where all levels are the same.
const machineCost = costUnit

const (
	maxBlocks   = 100_000
	maxLevels   = 16
	defaultWait = 5 * time.Second // of a gang for closer machines
	maxCost     = 1e6             // of a level, in the unit of the file
)

// Levels lists the levels, outermost first.
func (t *Tree) Levels() []Level { return t.levels }

// Blocks lists all blocks, each after the one that it is in.
func (t *Tree) Blocks() []Block {
	out := make([]Block, 0, len(t.blocks)-1)
	for i := 1; i < len(t.blocks); i++ {
		out = append(out, Block(i))
	}
	return out
}

// Name returns a block's own name.
func (t *Tree) Name(b Block) string { return t.blocks[b].name }

// Parent returns the block that a block is in, 0 for a zone.
func (t *Tree) Parent(b Block) Block { return t.blocks[b].parent }

// Level returns the name of a block's level.
func (t *Tree) Level(b Block) string { return t.levels[t.blocks[b].level].Name }

// Path returns the names of a block and all that it is in, outermost first: "soar/switch-2/rack-5".
func (t *Tree) Path(b Block) string {
	var names []string
	for ; b != 0; b = t.blocks[b].parent {
		names = append(names, t.blocks[b].name)
	}
	slices.Reverse(names)
	return strings.Join(names, "/")
}

// ByPath returns a block by its path.
func (t *Tree) ByPath(path string) (Block, bool) {
	for _, b := range t.Blocks() {
		if t.Path(b) == path {
			return b, true
		}
	}
	return 0, false
}

// Locate returns a machine's block: by its name if the file lists it, else by the address of its worker's
// endpoint, the longest prefix first. A machine in another zone than its block is not located: it gets
// the zone itself, or 0 for an unknown zone.
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

// Apart returns the cost of a pair of tasks on two machines of these blocks: the sum over the levels in
// which they are apart, and over their being two machines.
func (t *Tree) Apart(a, b Block) Cost {
	return t.within(t.Common(a, b))
}

// Common returns the innermost block that two blocks are both in, 0 if there is none.
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

// within is what a pair on two machines costs whose innermost common block it is.
func (t *Tree) within(b Block) Cost {
	if b == 0 {
		return t.apart[0]
	}
	return t.apart[t.blocks[b].level+1]
}
