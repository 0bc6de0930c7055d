// Command thrift is an example of a plug-in that plans the fleet: of machines that are not spot, it
// rents half as many as the built-in policy would and returns all idle ones.
package main

import "maddermill/policy"

func init() { policy.Plan(thrift) }

func thrift(f *policy.Fleet) []policy.Change {
	out := policy.BuiltinFleet(f)
	for i, k := range f.Kinds {
		if k.Spot == 0 {
			out[i] = policy.Change{Hire: (k.Hire + 1) / 2, Drain: k.Idle}
		}
	}
	return out
}

func main() {}
