package autoscale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"maddermill/policy"
	"maddermill/wire"
)

// TestDecide: the built-in policy's answer leaves a plan as it is, and of what another gives
// back only idle machines go, those of the plan first and then those that idle for longest.
func TestApplyPolicy(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	now := time.Unix(1_800_000_000, 0)
	for range 100 {
		in := &Input{Now: now, Spot: rng.IntN(2) == 0, Flavors: map[wire.MachineTypeName]wire.MachineType{
			"g2": {
				Name:      "g2",
				Price:     4,
				SpotPrice: 1,
				Zones:     []wire.Zone{"a", "b"},
			},
			"c8": {Name: "c8", Price: 2, SpotPrice: 1, Zones: []wire.Zone{"b"}},
		}}
		var plan Plan
		for i := range rng.IntN(30) {
			u := Machine{
				ID:      wire.MachineID(fmt.Sprintf("host-%02d", i)),
				Type:    "g2",
				Zone:    []wire.Zone{"a", "b"}[rng.IntN(2)],
				Spot:    in.Spot && rng.IntN(2) == 0,
				Booting: rng.IntN(4) == 0,
			}
			if rng.IntN(2) == 0 {
				u.IdleSince = now.Add(-time.Duration(rng.IntN(900)) * time.Second)
				if u.isIdle() && rng.IntN(2) == 0 {
					plan.Drain = append(plan.Drain, u.ID)
				}
			}
			in.Units = append(in.Units, u)
		}
		if rng.IntN(2) == 0 {
			plan.ScaleOut = []ScaleOut{{MachineOption{"c8", "b", false}, 3}, {MachineOption{"g2", "a", false}, 60}}
		}
		same := ApplyPolicy(in, plan, policy.BuiltinFleet)
		slices.Sort(same.Drain)
		slices.Sort(plan.Drain)
		if fmt.Sprint(same) != fmt.Sprint(plan) {
			t.Fatalf("%v, want %v", same, plan)
		}
		all := ApplyPolicy(in, plan, func(f *policy.Fleet) []policy.Change {
			out := policy.BuiltinFleet(f)
			for i, k := range f.Kinds {
				out[i] = policy.Change{Drain: min(k.Idle, k.Drain+1)}
			}
			return out
		})
		if len(all.ScaleOut) > 0 {
			t.Errorf("rents %v", all.ScaleOut)
		}
		for _, id := range plan.Drain {
			if !slices.Contains(all.Drain, id) {
				t.Errorf("%s is not given back, and others are: %v", id, all.Drain)
			}
		}
		for _, id := range all.Drain {
			if u := in.Units[slices.IndexFunc(in.Units, func(u Machine) bool { return u.ID == id })]; !u.isIdle() {
				t.Errorf("%s is given back and not idle", id)
			}
		}
	}
}
