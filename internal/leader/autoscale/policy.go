package autoscale

import (
	"cmp"
	"slices"

	"maddermill/policy"
	"maddermill/wire"
)

// ApplyPolicy has a policy decide on a plan: it is told what there is of each kind of machine and
// what the plan would do, and answers with what is to be done.
func ApplyPolicy(in *Input, plan Plan, decide func(*policy.Fleet) []policy.Change) Plan {
	f, kinds := summarize(in, plan)
	if len(kinds) == 0 {
		return plan
	}
	out := Plan{}
	mine := map[wire.MachineID]bool{}
	for _, id := range plan.Drain {
		mine[id] = true
	}
	idle := map[MachineOption][]*Machine{}
	for i := range in.Units {
		if u := &in.Units[i]; u.isIdle() {
			idle[u.option()] = append(idle[u.option()], u)
		}
	}
	for i, c := range decide(f) {
		o := kinds[i]
		if c.Hire > 0 {
			out.ScaleOut = append(out.ScaleOut, ScaleOut{o, int(c.Hire)})
		}
		// Those that the plan gives back go first, then those that are idle for longest.
		units := idle[o]
		slices.SortFunc(units, func(a, b *Machine) int {
			if mine[a.ID] != mine[b.ID] {
				if mine[a.ID] {
					return -1
				}
				return 1
			}
			return cmp.Or(a.IdleSince.Compare(b.IdleSince), cmp.Compare(a.ID, b.ID))
		})
		for _, u := range units[:min(len(units), int(c.Drain))] {
			out.Drain = append(out.Drain, u.ID)
		}
	}
	return out
}

// idle: it has no task and could be given back.
func (m *Machine) isIdle() bool { return !m.IdleSince.IsZero() && !m.Booting }

// summarize is what a policy sees of a plan, and the kinds that it sees in their order.
func summarize(in *Input, plan Plan) (*policy.Fleet, []MachineOption) {
	f := &policy.Fleet{Now: in.Now.UnixMilli(), Most: uint32(in.MaxMachines)}
	for i := range in.Queue {
		f.Waiting += uint32(max(0, in.Queue[i].Job.Pending()))
	}
	var kinds []MachineOption
	for sku, fl := range in.Flavors {
		for _, z := range fl.Zones {
			if kinds = append(kinds, MachineOption{sku, z, false}); in.Spot {
				kinds = append(kinds, MachineOption{sku, z, true})
			}
		}
	}
	slices.SortFunc(kinds, func(a, b MachineOption) int {
		spot := func(o MachineOption) int {
			if o.Spot {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(spot(a), spot(b)))
	})
	var names policy.Namer
	at := map[MachineOption]*policy.Kind{}
	f.Kinds = make([]policy.Kind, len(kinds))
	for i, o := range kinds {
		k := &f.Kinds[i]
		k.Type, k.Zone, k.Price, k.Boot = names.Number(
			string(o.Type),
		), names.Number(
			string(o.Zone),
		), int64(
			in.price(o)*1e6,
		), uint32(
			in.Flavors[o.Type].Boot.Duration().Seconds(),
		)
		if o.Spot {
			k.Spot = 1
		}
		if in.OutOfCapacity != nil && in.OutOfCapacity(o) {
			k.Refused = 1
		}
		at[o] = k
	}
	f.Names = names.Names
	option := map[wire.MachineID]MachineOption{}
	for i := range in.Units {
		u := &in.Units[i]
		k := at[u.option()]
		if option[u.ID] = u.option(); k == nil {
			continue
		}
		switch {
		case u.Booting:
			k.Booting++
		default:
			k.Up++
		}
		if u.isIdle() {
			k.Idle++
		}
	}
	for _, n := range plan.ScaleOut {
		if k := at[n.MachineOption]; k != nil {
			k.Hire += uint32(n.Count)
		}
	}
	for _, id := range plan.Drain {
		if k := at[option[id]]; k != nil {
			k.Drain++
		}
	}
	return f, kinds
}
