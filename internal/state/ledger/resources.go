package ledger

import "math"

// Resources are amounts in millionths (of a core, an accelerator, a GB), so that sums are exact.
type Resources struct{ CPU, GPU, Memory int64 }

// NewResources converts decimal amounts of cores, accelerators and GB.
func NewResources(cpus, gpus, memory float64) Resources {
	m := func(v float64) int64 { return int64(math.Round(v * 1e6)) }
	return Resources{m(cpus), m(gpus), m(memory)}
}

// Add returns r + n·o.
func (r Resources) Add(o Resources, n int) Resources {
	k := int64(n)
	return Resources{r.CPU + k*o.CPU, r.GPU + k*o.GPU, r.Memory + k*o.Memory}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Memory <= r.Memory
}

// CountFitting returns how many times o fits into r, at most limit. It may be negative if r has negative amounts.
func (r Resources) CountFitting(o Resources, limit int) int {
	n := int64(limit)
	n = countFittingAmount(r.CPU, o.CPU, n)
	n = countFittingAmount(r.GPU, o.GPU, n)
	n = countFittingAmount(r.Memory, o.Memory, n)
	return int(n)
}

// countFittingAmount returns how many times need fits into have, at most limit. A need of 0 fits limit times.
func countFittingAmount(have, need, limit int64) int64 {
	if need <= 0 {
		return limit
	}
	return min(limit, have/need)
}
