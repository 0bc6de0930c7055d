package policy_test

import (
	"cmp"
	"fmt"
	"slices"

	"maddermill/policy"
)

// A policy returns the jobs of a pass, by their index, in the order in which they are to be served. This one
// serves, within a group, the jobs whose tasks are expected to end soonest first.
func ExamplePass() {
	shortest := func(pass *policy.Pass) []uint32 {
		order := policy.Builtin(pass)
		slices.SortStableFunc(order, func(x, y uint32) int {
			a, b := &pass.Jobs[x], &pass.Jobs[y]
			return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Expected, b.Expected))
		})
		return order
	}
	pass := &policy.Pass{Jobs: []policy.Job{
		{Group: 2, Expected: 1_000, StartBy: policy.Never, Due: policy.Never},
		{Group: 1, Expected: 60_000, StartBy: policy.Never, Due: policy.Never},
		{Group: 1, Expected: 30_000, StartBy: policy.Never, Due: policy.Never},
	}}
	fmt.Println(shortest(pass))
	// Output: [2 1 0]
}

// Builtin is the built-in policy: within a group, the jobs that must start the soonest to meet an aim first.
func ExampleBuiltin() {
	pass := &policy.Pass{Jobs: []policy.Job{
		{Group: 1, StartBy: 90_000, Due: policy.Never},
		{Group: 1, StartBy: 20_000, Due: policy.Never},
		{Group: 0, StartBy: policy.Never, Due: policy.Never},
	}}
	fmt.Println(policy.Builtin(pass))
	// Output: [2 1 0]
}
