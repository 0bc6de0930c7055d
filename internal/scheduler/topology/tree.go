// Package topology knows where machines are: which zone, switch, rack or other block
// that operators name they are in. It chooses places for a gang that are close together
// and judges when a block as a whole has failed. It does no I/O and is told the time.
package topology

import (
	"errors"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"
	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"

	"maddermill/internal/scheduler/topology/topologypb"
	"maddermill/internal/settings/configfile"
	"maddermill/wire"
)

// Block is a block of a tree, 0 for none: a machine of unknown place.
type Block int32

// Cost is what it costs that tasks of a gang are apart, in thousandths of what the file
// states for a pair.
type Cost int64

const costUnit = 1000

// Stated is the cost in the unit of the file.
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
	mostBlocks  = 100_000
	mostLevels  = 16
	defaultWait = 5 * time.Second
	mostCost    = 1e6
)

// Parse reads and checks a topology in protobuf text format. zones are the platform's;
// with none given any zone is taken. All that is wrong is told at once, each with its line.
func Parse(text []byte, zones []wire.Zone) (*Tree, error) {
	var m topologypb.Topology
	if err := prototext.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	nodes, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	p := &parsing{
		t: &Tree{
			blocks:     make([]block, 1),
			byName:     map[wire.MachineID]Block{},
			zones:      map[wire.Zone]Block{},
			CloserWait: defaultWait,
		},
		prefixes: map[netip.Prefix]string{},
		names:    map[string]string{},
	}
	p.top(&m, nodes, zones)
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return p.t, nil
}

// parsing is a reading under way.
type parsing struct {
	t        *Tree
	prefixes map[netip.Prefix]string
	names    map[string]string // blocks by level and name, and where
	errs     []error
}

func (p *parsing) fail(n *ast.Node, field, format string, args ...any) {
	p.errs = append(p.errs, configfile.FieldError(n, field, format, args...))
}

// at is the i-th of nodes, nil if the text is laid out in a way that it isn't found.
func at(nodes []*ast.Node, i int) *ast.Node {
	if i < len(nodes) {
		return nodes[i]
	}
	return nil
}

func children(n *ast.Node) []*ast.Node {
	if n == nil {
		return nil
	}
	return n.Children
}

func (p *parsing) top(m *topologypb.Topology, nodes []*ast.Node, zones []wire.Zone) {
	t := p.t
	switch m.GetFirst() {
	case topologypb.First_CLOSENESS:
		t.First = ClosenessFirst
	case topologypb.First_IMAGE, topologypb.First_FIRST_UNSPECIFIED:
	default:
		p.fail(at(configfile.Fields(nodes, "first"), 0), "first", "%v is neither IMAGE nor CLOSENESS", m.GetFirst())
	}
	if m.CloserWaitS != nil {
		if w := *m.CloserWaitS; !(w >= 0 && w <= 3600) {
			p.fail(at(configfile.Fields(nodes, "closer_wait_s"), 0), "closer_wait_s", "must be from 0 to 3600")
		} else {
			t.CloserWait = wire.Seconds(w).Duration()
		}
	}
	levels := configfile.Fields(nodes, "level")
	if len(m.Level) == 0 || len(m.Level) > mostLevels {
		p.fail(nil, "level", "there must be from 1 to %d, the zones' first", mostLevels)
	}
	for i, l := range m.Level {
		if l.Name == "" || slices.ContainsFunc(t.levels, func(o Level) bool { return o.Name == l.Name }) {
			p.fail(at(levels, i), "level.name", "%q is empty or named twice", l.Name)
		}
		if !(l.Cost >= 0 && l.Cost <= mostCost) {
			p.fail(at(levels, i), "level.cost", "must be from 0 to %g", float64(mostCost))
			l.Cost = 0
		}
		t.levels = append(t.levels, Level{l.Name, Cost(math.Round(l.Cost * costUnit))})
	}
	t.apart = make([]Cost, len(t.levels)+1)
	t.apart[len(t.levels)] = machineCost
	for i := len(t.levels) - 1; i >= 0; i-- {
		t.apart[i] = t.apart[i+1] + t.levels[i].Cost
	}
	blocks := configfile.Fields(nodes, "block")
	for i, b := range m.Block {
		n := at(blocks, i)
		zone := wire.Zone(b.Name)
		if len(zones) > 0 && !slices.Contains(zones, zone) {
			p.fail(n, "block.name", "unknown zone %q", b.Name)
		}
		t.zones[zone] = p.block(b, n, 0, 0, zone)
	}
	for _, z := range zones {
		if t.zones[z] == 0 { // one that the file does not mention: all in it are of unknown place
			t.zones[z] = t.add(block{name: string(z), zone: z})
		}
	}
}

func (t *Tree) add(b block) Block {
	t.blocks = append(t.blocks, b)
	return Block(len(t.blocks) - 1)
}

func (p *parsing) block(b *topologypb.Block, n *ast.Node, level int, parent Block, zone wire.Zone) Block {
	t := p.t
	if len(t.blocks) >= mostBlocks {
		if len(t.blocks) == mostBlocks {
			p.fail(n, "block", "there are more than %d", mostBlocks)
			t.add(block{})
		}
		return 0
	}
	id := t.add(block{name: b.Name, level: level, parent: parent, zone: zone})
	path := t.Path(id)
	kind := "block"
	if level < len(t.levels) {
		kind = t.levels[level].Name
	}
	switch {
	case b.Name == "" || strings.ContainsAny(b.Name, "/ \t\n"):
		p.fail(n, "block.name", "%q of a %s is empty or has a slash or a space", b.Name, kind)
	case p.names[kind+"/"+b.Name] != "":
		p.fail(n, "block.name", "%s %q is named twice: in %s and in %s", kind, b.Name, p.names[kind+"/"+b.Name], path)
	default:
		p.names[kind+"/"+b.Name] = path
	}
	if level >= len(t.levels) {
		p.fail(n, "block", "%s is deeper than there are levels", path)
		return id
	}
	prefixes, machines, inner := configfile.Fields(
		children(n),
		"prefix",
	), configfile.Fields(
		children(n),
		"machine",
	), configfile.Fields(
		children(n),
		"block",
	)
	for i, text := range b.Prefix {
		node := at(prefixes, i)
		pfx, err := netip.ParsePrefix(text)
		if err != nil {
			p.fail(node, "prefix", "%q of %s is not a network in the form 10.1.4.0/24", text, path)
			continue
		}
		if pfx != pfx.Masked() {
			p.fail(node, "prefix", "%q of %s has host bits set; the network is %s", text, path, pfx.Masked())
			continue
		}
		if other, twice := p.prefixes[pfx]; twice {
			p.fail(node, "prefix", "%s is in two blocks: %s and %s", text, other, path)
			continue
		}
		p.prefixes[pfx] = path
		t.byAddr.Insert(pfx, id)
	}
	for i, name := range b.Machine {
		node := at(machines, i)
		m := wire.MachineID(name)
		if name == "" {
			p.fail(node, "machine", "%s has one without a name", path)
		} else if other, twice := t.byName[m]; twice {
			p.fail(node, "machine", "%q is in two blocks: %s and %s", name, t.Path(other), path)
		} else {
			t.byName[m] = id
		}
	}
	for i, c := range b.Block {
		p.block(c, at(inner, i), level+1, id, zone)
	}
	return id
}

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

// Name is a block's own name.
func (t *Tree) Name(b Block) string { return t.blocks[b].name }

// Parent is the block that a block is in, 0 for a zone.
func (t *Tree) Parent(b Block) Block { return t.blocks[b].parent }

// Level is the name of a block's level.
func (t *Tree) Level(b Block) string { return t.levels[t.blocks[b].level].Name }

// Path names a block and all that it is in, outermost first: "soar/switch-2/rack-5".
func (t *Tree) Path(b Block) string {
	var names []string
	for ; b != 0; b = t.blocks[b].parent {
		names = append(names, t.blocks[b].name)
	}
	slices.Reverse(names)
	return strings.Join(names, "/")
}

// ByPath finds a block by its path.
func (t *Tree) ByPath(path string) (Block, bool) {
	for _, b := range t.Blocks() {
		if t.Path(b) == path {
			return b, true
		}
	}
	return 0, false
}

// Locate tells a machine's block: by its name if the file lists it, else by the address
// of its worker's endpoint, the longest network first. A machine that is in a zone other
// than its block is of unknown place: the zone itself, or 0 for an unknown zone.
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

// Apart is what a pair of tasks costs that is on two machines of these blocks: the sum
// over the levels in which they are apart, and over their being two machines.
func (t *Tree) Apart(a, b Block) Cost {
	return t.within(t.Common(a, b))
}

// Common is the innermost block that two blocks are both in, 0 if there is none.
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
