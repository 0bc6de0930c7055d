package topology

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"maddermill/wire"
)

// testTree returns a topology of the zones a and b with some switches per zone and racks per switch.
func testTree(tb testing.TB, switches, racks int) *Tree {
	tb.Helper()
	var b strings.Builder
	b.WriteString(`level { name: "zone" cost: 16 } level { name: "switch" cost: 4 } level { name: "rack" cost: 1 }`)
	for z := range 2 {
		fmt.Fprintf(&b, "\nblock { name: %q", string(rune('a'+z)))
		for s := range switches {
			fmt.Fprintf(&b, "\n block { name: \"s%d-%d\"", z, s)
			for r := range racks {
				fmt.Fprintf(
					&b,
					"\n  block { name: \"r%d-%d-%d\" prefix: \"10.%d.%d.0/24\" }",
					z,
					s,
					r,
					z*100+(s*racks+r)/256,
					(s*racks+r)%256,
				)
			}
			b.WriteString(" }")
		}
		b.WriteString(" }")
	}
	tree, err := Parse([]byte(b.String()), []wire.Zone{"a", "b"})
	if err != nil {
		tb.Fatal(err)
	}
	return tree
}

// bruteForceMinCost returns the least cost of a gang over all valid placements; -1 if there is none.
func bruteForceMinCost(t *Tree, g Gang, options []MachineOption) Cost {
	best := Cost(-1)
	counts := make([]int, len(options))
	on := make([]Block, len(options))
	for i := range options {
		on[i] = options[i].Block
	}
	var try func(i, left int)
	try = func(i, left int) {
		if left == 0 {
			if c := t.PlacementCost(on, counts); isValidPlacement(t, g, options, counts) && (best < 0 || c < best) {
				best = c
			}
			return
		}
		if i == len(options) {
			return
		}
		for k := 0; k <= min(left, options[i].Room); k++ {
			counts[i] = k
			try(i+1, left-k)
		}
		counts[i] = 0
	}
	try(0, g.Tasks)
	return best
}

// isValidPlacement checks a placement against the options and the gang's rules, independently of Pack.
func isValidPlacement(t *Tree, g Gang, options []MachineOption, counts []int) bool {
	sum, zones := 0, map[wire.Zone]int{}
	for i, k := range counts {
		if k < 0 || k > options[i].Room {
			return false
		}
		if k > 0 {
			zones[t.blocks[options[i].Block].zone] += k
		}
		sum += k
	}
	for _, k := range zones {
		if g.MaxPerZone > 0 && k > g.MaxPerZone || g.OneZone && k != g.Tasks {
			return false
		}
	}
	return sum == g.Tasks
}

// TestPackIsExact checks against brute force that a gang is placed if and only if a valid placement exists, that the
// placement is valid, and that its cost is the least possible. The random small fleets include partly occupied blocks,
// machines whose rack is unknown, machines of different room, and all zone rules.
func TestPackIsExact(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 1))
	tree := testTree(t, 2, 2)
	blocks := tree.Blocks()
	placed, spread := 0, 0
	for range 3000 {
		var options []MachineOption
		used := blocks[rng.IntN(len(blocks)-4):]
		for i := range 1 + rng.IntN(10) {
			options = append(
				options,
				MachineOption{
					Machine: wire.MachineID(fmt.Sprint("m", i)),
					Block:   used[rng.IntN(min(6, len(used)))],
					Room:    1 + rng.IntN(3),
					Order:   int64(rng.IntN(5)),
				},
			)
		}
		g := Gang{Tasks: 2 + rng.IntN(5)}
		switch rng.IntN(4) {
		case 0:
			g.OneZone = true
		case 1:
			g.MaxPerZone = (g.Tasks + 1) / 2
		}
		want := bruteForceMinCost(tree, g, options)
		counts, cost, ok := tree.Pack(g, options)
		if ok != (want >= 0) {
			t.Fatalf("%+v in %+v: placed %v, least cost %d", g, options, ok, want)
		}
		if !ok {
			continue
		}
		placed++
		on := make([]Block, len(options))
		for i := range options {
			on[i] = options[i].Block
		}
		if !isValidPlacement(tree, g, options, counts) || tree.PlacementCost(on, counts) != cost {
			t.Fatalf("%+v in %+v: %v breaks a rule or does not cost %d", g, options, counts, cost)
		}
		if cost != want {
			t.Fatalf("%+v in %+v: cost %d, the least is %d", g, options, cost, want)
		}
		if cost > 0 {
			spread++
		}
	}
	if placed < 1000 || spread < 500 {
		t.Errorf("only %d gangs placed, %d of them on several machines", placed, spread)
	}
}

// TestSmallGangLeavesLargeBlockWhole checks that of equally close placements the one in the fullest block is chosen, at
// every level.
func TestSmallGangLeavesLargeBlockWhole(t *testing.T) {
	tree := testTree(t, 2, 2)
	in := func(path string, machines, room int) (out []MachineOption) {
		b, ok := tree.ByPath(path)
		if !ok {
			t.Fatal(path)
		}
		for i := range machines {
			out = append(out, MachineOption{Machine: wire.MachineID(fmt.Sprint(path, i)), Block: b, Room: room})
		}
		return out
	}
	for _, tc := range []struct {
		whole, full []MachineOption
	}{
		// The only rack with room for eight tasks, and one with room for three.
		{in("a/s0-0/r0-0-0", 8, 1), in("a/s0-1/r0-1-0", 3, 1)},
		// A rack with room for two in the only switch with room for ten, and a rack with room for three in a switch
		// that is full otherwise.
		{append(in("a/s0-0/r0-0-0", 8, 1), in("a/s0-0/r0-0-1", 2, 1)...), in("a/s0-1/r0-1-0", 3, 1)},
	} {
		counts, _, ok := tree.Pack(Gang{Tasks: 2}, append(slices.Clone(tc.whole), tc.full...))
		sum := 0
		for _, k := range counts[len(tc.whole):] {
			sum += k
		}
		if !ok || sum != 2 {
			t.Errorf("two tasks placed as %v, want both in the fuller block", counts)
		}
	}
}

// BenchmarkPack measures placing a gang of 64 tasks on fleets of different sizes.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tree := testTree(b, n/256+1, 8) // about 32 machines per rack, in two zones
			var leaves []Block
			for _, x := range tree.Blocks() {
				if tree.blocks[x].level == 2 {
					leaves = append(leaves, x)
				}
			}
			rng := rand.New(rand.NewPCG(1, 1))
			var options []MachineOption
			for i := range n {
				options = append(options, MachineOption{Block: leaves[i%len(leaves)], Room: 1 + rng.IntN(2)})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := tree.Pack(Gang{Tasks: 64}, options); !ok {
					b.Fatal("not placed")
				}
			}
		})
	}
}
