// Command shortest is an example of a plug-in that orders jobs: within a group, the jobs with the
// shortest expected run time of a task go first.
package main

import (
	"cmp"
	"slices"

	"maddermill/policy"
)

func init() { policy.Serve(shortest) }

func shortest(p *policy.Pass) []uint32 {
	order := policy.Builtin(p)
	slices.SortStableFunc(order, func(x, y uint32) int {
		a, b := &p.Jobs[x], &p.Jobs[y]
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Expected, b.Expected))
	})
	return order
}

func main() {}
