package topology

import (
	"errors"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"

	"maddermill/internal/scheduler/topology/topologypb"
	"maddermill/internal/settings/configfile"
	"maddermill/wire"
)

// maxCloserWaitSeconds bounds how long a gang may wait for a closer placement.
const maxCloserWaitSeconds = 3600

// Parse parses and validates a topology in protobuf text format. zones are the zones of the platform; if it is empty,
// any zone is accepted. The error joins all mistakes, each with its line.
func Parse(text []byte, zones []wire.Zone) (*Tree, error) {
	var m topologypb.Topology
	if err := prototext.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	nodes, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	p := &fileParser{
		tree: &Tree{
			blocks:     make([]block, 1),
			byName:     map[wire.MachineID]Block{},
			zones:      map[wire.Zone]Block{},
			CloserWait: defaultCloserWait,
		},
		prefixes:   map[netip.Prefix]string{},
		blockPaths: map[string]string{},
	}
	p.parse(&m, nodes, zones)
	if len(p.errors) > 0 {
		return nil, errors.Join(p.errors...)
	}
	return p.tree, nil
}

// fileParser converts the message of a topology file to a Tree and collects all errors.
type fileParser struct {
	tree       *Tree
	prefixes   map[netip.Prefix]string // paths of blocks by prefix
	blockPaths map[string]string       // paths of blocks by "level/name"
	errors     []error
}

// addError adds an error about a field of a node; a nil node stands for the whole file.
func (p *fileParser) addError(n *ast.Node, field, format string, args ...any) {
	p.errors = append(p.errors, configfile.FieldError(n, field, format, args...))
}

// nodeAt returns nodes[i], or nil if the layout of the text yields fewer nodes than the message has fields.
func nodeAt(nodes []*ast.Node, i int) *ast.Node {
	if i < len(nodes) {
		return nodes[i]
	}
	return nil
}

// children returns the children of a node, which may be nil.
func children(n *ast.Node) []*ast.Node {
	if n == nil {
		return nil
	}
	return n.Children
}

// parse fills the tree from the message of the file.
func (p *fileParser) parse(m *topologypb.Topology, nodes []*ast.Node, zones []wire.Zone) {
	p.parsePriority(m, nodes)
	p.parseLevels(m, configfile.Fields(nodes, "level"))
	blocks := configfile.Fields(nodes, "block")
	for i, b := range m.Block {
		n := nodeAt(blocks, i)
		zone := wire.Zone(b.Name)
		if len(zones) > 0 && !slices.Contains(zones, zone) {
			p.addError(n, "block.name", "unknown zone %q", b.Name)
		}
		p.tree.zones[zone] = p.addBlock(b, n, 0, 0, zone)
	}
	for _, z := range zones {
		if p.tree.zones[z] == 0 { // a zone that the file omits: none of its machines are located
			p.tree.zones[z] = p.tree.appendBlock(block{name: string(z), zone: z})
		}
	}
}

// parsePriority reads the placement priority and how long a gang waits for a closer placement.
func (p *fileParser) parsePriority(m *topologypb.Topology, nodes []*ast.Node) {
	switch m.GetFirst() {
	case topologypb.First_CLOSENESS:
		p.tree.Priority = ClosenessFirst
	case topologypb.First_IMAGE, topologypb.First_FIRST_UNSPECIFIED:
	default:
		node := nodeAt(configfile.Fields(nodes, "first"), 0)
		p.addError(node, "first", "%v is neither IMAGE nor CLOSENESS", m.GetFirst())
	}
	if m.CloserWaitS == nil {
		return
	}
	if w := *m.CloserWaitS; w >= 0 && w <= maxCloserWaitSeconds {
		p.tree.CloserWait = wire.Seconds(w).Duration()
		return
	}
	p.addError(nodeAt(configfile.Fields(nodes, "closer_wait_s"), 0), "closer_wait_s", "must be from 0 to 3600")
}

// parseLevels reads the levels and accumulates their costs from the innermost one outwards.
func (p *fileParser) parseLevels(m *topologypb.Topology, nodes []*ast.Node) {
	t := p.tree
	if len(m.Level) == 0 || len(m.Level) > maxLevels {
		p.addError(nil, "level", "there must be 1 to %d levels, the first being that of the zones", maxLevels)
	}
	for i, l := range m.Level {
		if l.Name == "" || slices.ContainsFunc(t.levels, func(o Level) bool { return o.Name == l.Name }) {
			p.addError(nodeAt(nodes, i), "level.name", "%q is empty or a duplicate", l.Name)
		}
		if !(l.Cost >= 0 && l.Cost <= maxCost) { // also rejects NaN
			p.addError(nodeAt(nodes, i), "level.cost", "must be from 0 to %g", float64(maxCost))
			l.Cost = 0
		}
		t.levels = append(t.levels, Level{l.Name, Cost(math.Round(l.Cost * costUnit))})
	}
	t.pairCosts = make([]Cost, len(t.levels)+1)
	t.pairCosts[len(t.levels)] = crossMachineCost
	for i := len(t.levels) - 1; i >= 0; i-- {
		t.pairCosts[i] = t.pairCosts[i+1] + t.levels[i].Cost
	}
}

// appendBlock adds a block to the tree and returns its identifier.
func (t *Tree) appendBlock(b block) Block {
	t.blocks = append(t.blocks, b)
	return Block(len(t.blocks) - 1)
}

// addBlock adds a block and its descendants, and returns the block; 0 if there are too many.
func (p *fileParser) addBlock(b *topologypb.Block, n *ast.Node, level int, parent Block, zone wire.Zone) Block {
	t := p.tree
	if len(t.blocks) >= maxBlocks {
		if len(t.blocks) == maxBlocks {
			p.addError(n, "block", "there are more than %d blocks", maxBlocks)
			t.appendBlock(block{})
		}
		return 0
	}
	id := t.appendBlock(block{name: b.Name, level: level, parent: parent, zone: zone})
	path := t.Path(id)
	levelName := "block"
	if level < len(t.levels) {
		levelName = t.levels[level].Name
	}
	switch {
	case b.Name == "" || strings.ContainsAny(b.Name, "/ \t\n"):
		p.addError(n, "block.name", "%q of a %s is empty or contains a slash or whitespace", b.Name, levelName)
	case p.blockPaths[levelName+"/"+b.Name] != "":
		p.addError(n, "block.name", "duplicate %s name %q: %s and %s",
			levelName, b.Name, p.blockPaths[levelName+"/"+b.Name], path)
	default:
		p.blockPaths[levelName+"/"+b.Name] = path
	}
	if level >= len(t.levels) {
		p.addError(n, "block", "%s is nested deeper than the levels allow", path)
		return id
	}
	p.addPrefixes(b.Prefix, configfile.Fields(children(n), "prefix"), id, path)
	p.addMachines(b.Machine, configfile.Fields(children(n), "machine"), id, path)
	inner := configfile.Fields(children(n), "block")
	for i, c := range b.Block {
		p.addBlock(c, nodeAt(inner, i), level+1, id, zone)
	}
	return id
}

// addPrefixes adds the network prefixes of a block.
func (p *fileParser) addPrefixes(prefixes []string, nodes []*ast.Node, id Block, path string) {
	for i, text := range prefixes {
		node := nodeAt(nodes, i)
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			p.addError(node, "prefix", "%q of %s is not a network prefix such as 10.1.4.0/24", text, path)
			continue
		}
		if prefix != prefix.Masked() {
			p.addError(node, "prefix", "%q of %s has host bits set; the network is %s", text, path, prefix.Masked())
			continue
		}
		if other, duplicate := p.prefixes[prefix]; duplicate {
			p.addError(node, "prefix", "%s is in two blocks: %s and %s", text, other, path)
			continue
		}
		p.prefixes[prefix] = path
		p.tree.byAddr.Insert(prefix, id)
	}
}

// addMachines adds the machines that a block lists by name.
func (p *fileParser) addMachines(names []string, nodes []*ast.Node, id Block, path string) {
	for i, name := range names {
		node := nodeAt(nodes, i)
		m := wire.MachineID(name)
		if name == "" {
			p.addError(node, "machine", "%s lists a machine without a name", path)
		} else if other, duplicate := p.tree.byName[m]; duplicate {
			p.addError(node, "machine", "%q is in two blocks: %s and %s", name, p.tree.Path(other), path)
		} else {
			p.tree.byName[m] = id
		}
	}
}
