package autoscale

import (
	"cmp"
	"slices"

	"maddermill/policy"
	"maddermill/wire"
)

// microsPerUnit converts prices to those of a policy, which are in millionths.
const microsPerUnit = 1e6

// ApplyPolicy lets a fleet policy decide on a plan. The policy gets how many machines there are of each
// kind and what the plan would do with them, and returns one change for each kind. Only idle machines are
// drained: those of the plan first, then those idle for the longest.
func ApplyPolicy(in *Input, plan Plan, decide func(*policy.Fleet) []policy.Change) Plan {
	options := in.options()
	if len(options) == 0 {
		return plan
	}
	decided := Plan{}
	idle := in.idleForDrain(plan)
	for i, change := range decide(in.summarize(plan, options)) {
		option := options[i]
		if change.Hire > 0 {
			decided.ScaleOut = append(decided.ScaleOut, ScaleOut{MachineOption: option, Count: int(change.Hire)})
		}
		machines := idle[option]
		for _, m := range machines[:min(len(machines), int(change.Drain))] {
			decided.Drain = append(decided.Drain, m.ID)
		}
	}
	return decided
}

// idleForDrain returns the idle machines of each kind in the order in which they go: those that a plan
// drains, then those idle for the longest.
func (in *Input) idleForDrain(plan Plan) map[MachineOption][]*Machine {
	planned := map[wire.MachineID]bool{}
	for _, id := range plan.Drain {
		planned[id] = true
	}
	idle := map[MachineOption][]*Machine{}
	for i := range in.Machines {
		if m := &in.Machines[i]; m.isIdle() {
			idle[m.option()] = append(idle[m.option()], m)
		}
	}
	for _, machines := range idle {
		slices.SortFunc(machines, func(a, b *Machine) int {
			return cmp.Or(
				compareBool(!planned[a.ID], !planned[b.ID]),
				a.IdleSince.Compare(b.IdleSince),
				cmp.Compare(a.ID, b.ID),
			)
		})
	}
	return idle
}

// options returns all kinds of machines that may be rented, by type, zone, and spot last.
func (in *Input) options() []MachineOption {
	var options []MachineOption
	for name, machineType := range in.MachineTypes {
		for _, zone := range machineType.Zones {
			options = append(options, MachineOption{Type: name, Zone: zone})
			if in.Spot {
				options = append(options, MachineOption{Type: name, Zone: zone, Spot: true})
			}
		}
	}
	slices.SortFunc(options, func(a, b MachineOption) int {
		return cmp.Or(
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone),
			compareBool(a.Spot, b.Spot),
		)
	})
	return options
}

// summarize returns what a policy sees of a plan, with the kinds of machines in the order of options.
func (in *Input) summarize(plan Plan, options []MachineOption) *policy.Fleet {
	fleet := &policy.Fleet{
		Now:   in.Now.UnixMilli(),
		Most:  uint32(in.MaxMachines),
		Kinds: make([]policy.Kind, len(options)),
	}
	for i := range in.Queue {
		fleet.Waiting += uint32(max(0, in.Queue[i].Job.Pending()))
	}
	var names policy.Namer
	kinds := map[MachineOption]*policy.Kind{}
	for i, option := range options {
		fleet.Kinds[i] = in.kind(option, &names)
		kinds[option] = &fleet.Kinds[i]
	}
	fleet.Names = names.Names
	in.countMachines(kinds)
	countPlan(plan, kinds, in.Machines)
	return fleet
}

// kind returns a kind of machine in the form of policies, without counts.
func (in *Input) kind(option MachineOption, names *policy.Namer) policy.Kind {
	kind := policy.Kind{
		Type:  names.Number(string(option.Type)),
		Zone:  names.Number(string(option.Zone)),
		Price: int64(in.price(option) * microsPerUnit),
		Boot:  uint32(in.MachineTypes[option.Type].Boot.Duration().Seconds()),
	}
	if option.Spot {
		kind.Spot = 1
	}
	if in.OutOfCapacity != nil && in.OutOfCapacity(option) {
		kind.Refused = 1
	}
	return kind
}

// countMachines adds to the kinds how many machines there are.
func (in *Input) countMachines(kinds map[MachineOption]*policy.Kind) {
	for i := range in.Machines {
		m := &in.Machines[i]
		kind := kinds[m.option()]
		if kind == nil {
			continue
		}
		if m.Booting {
			kind.Booting++
		} else {
			kind.Up++
		}
		if m.isIdle() {
			kind.Idle++
		}
	}
}

// countPlan adds to the kinds how many of the machines a plan rents and returns.
func countPlan(plan Plan, kinds map[MachineOption]*policy.Kind, machines []Machine) {
	options := make(map[wire.MachineID]MachineOption, len(machines))
	for i := range machines {
		options[machines[i].ID] = machines[i].option()
	}
	for _, scaleOut := range plan.ScaleOut {
		if kind := kinds[scaleOut.MachineOption]; kind != nil {
			kind.Hire += uint32(scaleOut.Count)
		}
	}
	for _, id := range plan.Drain {
		if kind := kinds[options[id]]; kind != nil {
			kind.Drain++
		}
	}
}
