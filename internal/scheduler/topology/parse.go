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

// maxCloserWaitSeconds bounds how long a gang may wait for closer machines.
const maxCloserWaitSeconds = 3600

// Parse reads and checks a topology in protobuf text format. zones are the platform's;
// with none given any zone is accepted. The error joins all mistakes, each with its line.
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
			CloserWait: defaultWait,
		},
		prefixes: map[netip.Prefix]string{},
		names:    map[string]string{},
	}
	p.parse(&m, nodes, zones)
	if len(p.errors) > 0 {
		return nil, errors.Join(p.errors...)
	}
	return p.tree, nil
}

// fileParser is a file being parsed.
type fileParser struct {
	tree     *Tree
	prefixes map[netip.Prefix]string
	names    map[string]string // blocks by level and name, and where
	errors   []error
}

func (p *fileParser) addError(n *ast.Node, field, format string, args ...any) {
	p.errors = append(p.errors, configfile.FieldError(n, field, format, args...))
}

// nodeAt returns the i-th of nodes; nil if the text is laid out so that it isn't found.
func nodeAt(nodes []*ast.Node, i int) *ast.Node {
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

// parse reads the whole file into the tree.
func (p *fileParser) parse(m *topologypb.Topology, nodes []*ast.Node, zones []wire.Zone) {
	p.parseOrder(m, nodes)
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
		if p.tree.zones[z] == 0 { // the file does not mention it: no machine in it is located
			p.tree.zones[z] = p.tree.add(block{name: string(z), zone: z})
		}
	}
}

// parseOrder reads what goes first when a gang is placed, and how long it waits for closer machines.
func (p *fileParser) parseOrder(m *topologypb.Topology, nodes []*ast.Node) {
	switch m.GetFirst() {
	case topologypb.First_CLOSENESS:
		p.tree.First = ClosenessFirst
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

// parseLevels reads the levels and sums their costs from the innermost outwards.
func (p *fileParser) parseLevels(m *topologypb.Topology, nodes []*ast.Node) {
	t := p.tree
	if len(m.Level) == 0 || len(m.Level) > maxLevels {
		p.addError(nil, "level", "there must be from 1 to %d, the zones' first", maxLevels)
	}
	for i, l := range m.Level {
		if l.Name == "" || slices.ContainsFunc(t.levels, func(o Level) bool { return o.Name == l.Name }) {
			p.addError(nodeAt(nodes, i), "level.name", "%q is empty or named twice", l.Name)
		}
		if !(l.Cost >= 0 && l.Cost <= maxCost) { // not a number, too
			p.addError(nodeAt(nodes, i), "level.cost", "must be from 0 to %g", float64(maxCost))
			l.Cost = 0
		}
		t.levels = append(t.levels, Level{l.Name, Cost(math.Round(l.Cost * costUnit))})
	}
	t.apart = make([]Cost, len(t.levels)+1)
	t.apart[len(t.levels)] = machineCost
	for i := len(t.levels) - 1; i >= 0; i-- {
		t.apart[i] = t.apart[i+1] + t.levels[i].Cost
	}
}

// add appends a block to the tree.
func (t *Tree) add(b block) Block {
	t.blocks = append(t.blocks, b)
	return Block(len(t.blocks) - 1)
}

// addBlock adds a block and all within it, and returns it; 0 if there are too many.
func (p *fileParser) addBlock(b *topologypb.Block, n *ast.Node, level int, parent Block, zone wire.Zone) Block {
	t := p.tree
	if len(t.blocks) >= maxBlocks {
		if len(t.blocks) == maxBlocks {
			p.addError(n, "block", "there are more than %d", maxBlocks)
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
		p.addError(n, "block.name", "%q of a %s is empty or has a slash or a space", b.Name, kind)
	case p.names[kind+"/"+b.Name] != "":
		p.addError(n, "block.name", "%s %q is named twice: in %s and in %s", kind, b.Name, p.names[kind+"/"+b.Name], path)
	default:
		p.names[kind+"/"+b.Name] = path
	}
	if level >= len(t.levels) {
		p.addError(n, "block", "%s is deeper than there are levels", path)
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

// addPrefixes adds the networks whose machines are in a block.
func (p *fileParser) addPrefixes(prefixes []string, nodes []*ast.Node, id Block, path string) {
	for i, text := range prefixes {
		node := nodeAt(nodes, i)
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			p.addError(node, "prefix", "%q of %s is not a network in the form 10.1.4.0/24", text, path)
			continue
		}
		if prefix != prefix.Masked() {
			p.addError(node, "prefix", "%q of %s has host bits set; the network is %s", text, path, prefix.Masked())
			continue
		}
		if other, twice := p.prefixes[prefix]; twice {
			p.addError(node, "prefix", "%s is in two blocks: %s and %s", text, other, path)
			continue
		}
		p.prefixes[prefix] = path
		p.tree.byAddr.Insert(prefix, id)
	}
}

// addMachines adds the machines that are in a block by their names.
func (p *fileParser) addMachines(names []string, nodes []*ast.Node, id Block, path string) {
	for i, name := range names {
		node := nodeAt(nodes, i)
		m := wire.MachineID(name)
		if name == "" {
			p.addError(node, "machine", "%s has one without a name", path)
		} else if other, twice := p.tree.byName[m]; twice {
			p.addError(node, "machine", "%q is in two blocks: %s and %s", name, p.tree.Path(other), path)
		} else {
			p.tree.byName[m] = id
		}
	}
}
