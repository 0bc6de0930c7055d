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

// randomPlan returns an input with random machines, and a plan that drains some of the idle machines and may
// scale out.
func randomPlan(rng *rand.Rand) (*Input, Plan) {
	zones := []wire.Zone{"a", "b"}
	in := &Input{
		Now:  now,
		Spot: rng.IntN(2) == 0,
		MachineTypes: map[wire.MachineTypeName]wire.MachineType{
			"g2": {Name: "g2", Price: 4, SpotPrice: 1, Zones: zones},
			"c8": {Name: "c8", Price: 2, SpotPrice: 1, Zones: []wire.Zone{"b"}},
		},
	}
	var plan Plan
	for i := range rng.IntN(30) {
		m := Machine{
			ID:      wire.MachineID(fmt.Sprintf("host-%02d", i)),
			Type:    "g2",
			Zone:    zones[rng.IntN(2)],
			Spot:    in.Spot && rng.IntN(2) == 0,
			Booting: rng.IntN(4) == 0,
		}
		if rng.IntN(2) == 0 {
			m.IdleSince = now.Add(-time.Duration(rng.IntN(900)) * time.Second)
			if m.isIdle() && rng.IntN(2) == 0 {
				plan.Drain = append(plan.Drain, m.ID)
			}
		}
		in.Machines = append(in.Machines, m)
	}
	if rng.IntN(2) == 0 {
		plan.ScaleOut = []ScaleOut{
			{MachineOption{Type: "c8", Zone: "b"}, 3},
			{MachineOption{Type: "g2", Zone: "a"}, 60},
		}
	}
	return in, plan
}

// drainOneMore is a fleet policy that provisions nothing and drains, of each kind, one idle machine more than
// the plan.
func drainOneMore(fleet *policy.Fleet) []policy.Change {
	changes := policy.BuiltinFleet(fleet)
	for i, kind := range fleet.Kinds {
		changes[i] = policy.Change{Drain: min(kind.Idle, kind.Drain+1)}
	}
	return changes
}

// TestApplyPolicy checks that the built-in policy does not change a plan, and that a policy that drains more
// machines than the plan drains only idle ones, those of the plan first.
func TestApplyPolicy(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	for range 100 {
		in, plan := randomPlan(rng)
		same := ApplyPolicy(in, plan, policy.BuiltinFleet)
		slices.Sort(same.Drain)
		slices.Sort(plan.Drain)
		if fmt.Sprint(same) != fmt.Sprint(plan) {
			t.Fatalf("built-in policy: got %v, want %v", same, plan)
		}
		more := ApplyPolicy(in, plan, drainOneMore)
		if len(more.ScaleOut) > 0 {
			t.Errorf("scale-out: got %v, want none", more.ScaleOut)
		}
		for _, id := range plan.Drain {
			if !slices.Contains(more.Drain, id) {
				t.Errorf("got %v drained, want them to include %s from the plan", more.Drain, id)
			}
		}
		for _, id := range more.Drain {
			at := slices.IndexFunc(in.Machines, func(m Machine) bool { return m.ID == id })
			if !in.Machines[at].isIdle() {
				t.Errorf("got %s drained, want idle machines only", id)
			}
		}
	}
}
