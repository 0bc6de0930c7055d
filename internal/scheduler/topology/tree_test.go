package topology

import (
	"strings"
	"testing"

	"maddermill/wire"
)

const smallTopology = `# A small sample topology.
level { name: "zone" cost: 16 }
level { name: "switch" cost: 4 }
level { name: "rack" cost: 1 }
first: IMAGE
closer_wait_s: 5
block {
  name: "a"
  block {
    name: "s1"
    prefix: "10.1.0.0/16"
    block { name: "r1" prefix: "10.1.1.0/24" machine: "host-9" }
    # the second rack
    block { name: "r2" prefix: ["10.1.2.0/24", "10.1.3.0/24"] }
  }
}
`

// TestLocate checks that a machine's name takes precedence over prefixes and the longest prefix over shorter ones, and
// that a machine which nothing matches, or whose zone is not that of its block, is not located.
func TestLocate(t *testing.T) {
	tree, err := Parse([]byte(smallTopology), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		machine  wire.MachineID
		endpoint string
		zone     wire.Zone
		want     string
		known    bool
	}{
		{"host-1", "10.1.1.7:9000", "a", "a/s1/r1", true},
		{"host-1", "10.1.3.7:9000", "a", "a/s1/r2", true},
		{"host-1", "10.1.99.7:9000", "a", "a/s1", true},
		{"host-1", "[::ffff:10.1.1.7]:9000", "a", "a/s1/r1", true},
		{"host-9", "192.168.0.1:9000", "a", "a/s1/r1", true},
		{"host-1", "10.1.1.7:9000", "b", "b", false},
		{"host-1", "10.9.1.7:9000", "a", "a", false},
		{"host-1", "nonsense", "a", "a", false},
		{"host-1", "10.1.1.7:9000", "elsewhere", "", false},
	} {
		b, known := tree.Locate(tc.machine, tc.endpoint, tc.zone)
		if got := tree.Path(b); got != tc.want || known != tc.known {
			t.Errorf("%s at %s in %s: %q, %v; want %q, %v", tc.machine, tc.endpoint, tc.zone, got, known, tc.want, tc.known)
		}
	}
	// A machine that is not located differs from all others at every level below the zone.
	r1, _ := tree.ByPath("a/s1/r1")
	s1, _ := tree.ByPath("a/s1")
	a, _ := tree.ByPath("a")
	b, _ := tree.ByPath("b")
	for _, tc := range []struct {
		x, y Block
		want Cost
	}{{r1, r1, 1}, {s1, r1, 2}, {s1, s1, 2}, {a, r1, 6}, {a, a, 6}, {b, r1, 22}, {0, r1, 22}, {0, 0, 22}} {
		if got := tree.PairCost(tc.x, tc.y); got != tc.want*costUnit {
			t.Errorf("%q and %q: %d, want %d", tree.Path(tc.x), tree.Path(tc.y), got, tc.want*costUnit)
		}
	}
}

// TestErrorsNameLineAndField checks that every kind of mistake is reported with its line and field, and that all
// mistakes of a file are reported together.
func TestErrorsNameLineAndField(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown zone", `name: "a"`, `name: "c"`, `line 7: block.name: unknown zone "c"`},
		{"host bits", `"10.1.1.0/24"`, `"10.1.1.1/24"`, `line 12: prefix: "10.1.1.1/24" of a/s1/r1 has host bits set`},
		{"a prefix in two blocks", `"10.1.3.0/24"`, `"10.1.1.0/24"`,
			`line 14: prefix: 10.1.1.0/24 is in two blocks: a/s1/r1 and a/s1/r2`},
		{"no network", `"10.1.0.0/16"`, `"10.1.0.0"`, `line 11: prefix: "10.1.0.0" of a/s1 is not a network prefix`},
		{"a name twice", `name: "r2"`, `name: "r1"`, `line 14: block.name: duplicate rack name "r1"`},
		{"a machine twice", `prefix: ["10.1.2.0/24", "10.1.3.0/24"]`, `machine: "host-9"`,
			`line 14: machine: "host-9" is in two blocks`},
		{"a slash", `name: "s1"`, `name: "s/1"`, `line 9: block.name: "s/1" of a switch`},
		{"cost", `cost: 4`, `cost: -4`, `line 3: level.cost: must be`},
		{"level twice", `name: "rack"`, `name: "zone"`, `line 4: level.name: "zone" is empty or a duplicate`},
		{"wait", `closer_wait_s: 5`, `closer_wait_s: -5`, `line 6: closer_wait_s: must be`},
		{"too deep", `machine: "host-9"`, `block { name: "d" block { name: "e" } }`,
			`is nested deeper than the levels allow`},
		{"misspelt field", `closer_wait_s`, `closer_weight_s`, `unknown field`},
	} {
		text := strings.Replace(smallTopology, tc.old, tc.new, 1)
		if _, err := Parse(
			[]byte(text),
			[]wire.Zone{"a", "b"},
		); err == nil ||
			!strings.Contains(strings.ReplaceAll(err.Error(), "\u00a0", " "), tc.want) {
			t.Errorf("%s: %v, want %q", tc.name, err, tc.want)
		}
	}
	text := strings.NewReplacer(`"10.1.1.0/24"`, `"10.1.1.1/24"`, `cost: 4`, `cost: -4`).Replace(smallTopology)
	if _, err := Parse([]byte(text), []wire.Zone{"a"}); strings.Count(err.Error(), "line ") != 2 {
		t.Errorf("two mistakes are reported as %v", err)
	}
}

// FuzzParse checks that no input makes Parse panic and that an accepted topology locates any machine.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallTopology))
	f.Add([]byte(`level { name: "zone" } block { name: "a" prefix: "::/0" }`))
	f.Add([]byte(`block: [{ name: "a" }, < name: "b" >]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		tree, err := Parse(b, []wire.Zone{"a", "b"})
		if err != nil {
			return
		}
		x, _ := tree.Locate("host-9", "10.1.1.7:9000", "a")
		y, _ := tree.Locate("host-9", "[2001:db8::1]:9000", "b")
		if tree.PairCost(x, y) != tree.PairCost(y, x) || tree.Path(x) == "" {
			t.Error("costs or located blocks are inconsistent")
		}
	})
}
