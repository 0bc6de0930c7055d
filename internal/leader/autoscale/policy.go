package autoscale

import (
	"cmp"
	"slices"

	"maddermill/policy"
	"maddermill/wire"
)

// microsPerUnit converts prices to the unit of policies, millionths.
const microsPerUnit = 1e6

// ApplyPolicy lets a fleet policy replace the decisions of a plan. The policy receives, for each machine
// option, the machine counts and the planned changes, and returns one change per option. Only idle machines
// are drained: those in the plan first, then the longest idle.
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

// idleForDrain returns the idle machines of each option in drain order: those that the plan drains, then
// the longest idle.
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

// options returns all machine options that may be provisioned, ordered by type and zone, on-demand before
// spot.
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

// summarize returns the policy's input for a plan, with the machine kinds in the order of options.
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
		fleet.Kinds[i] = in.policyKind(option, &names)
		kinds[option] = &fleet.Kinds[i]
	}
	fleet.Names = names.Names
	in.countMachines(kinds)
	countPlan(plan, kinds, in.Machines)
	return fleet
}

// policyKind returns a machine option in the representation of the policy interface, without counts.
func (in *Input) policyKind(option MachineOption, names *policy.Namer) policy.Kind {
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

// countMachines adds the numbers of existing machines to their kinds.
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

// countPlan adds the numbers of machines that a plan provisions and drains to their kinds.
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
