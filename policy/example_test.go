package policy_test

import (
	"cmp"
	"fmt"
	"slices"

	"maddermill/policy"
)

// A policy returns the indexes of a pass's jobs in the order in which the jobs are served. Within a group, this
// policy serves the jobs with the shortest expected run time of a task first.
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

// Builtin is the built-in policy. Within a group, it serves the jobs with the earliest latest start first.
func ExampleBuiltin() {
	pass := &policy.Pass{Jobs: []policy.Job{
		{Group: 1, StartBy: 90_000, Due: policy.Never},
		{Group: 1, StartBy: 20_000, Due: policy.Never},
		{Group: 0, StartBy: policy.Never, Due: policy.Never},
	}}
	fmt.Println(policy.Builtin(pass))
	// Output: [2 1 0]
}
