package ledger

import "math"

// Resources are amounts in millionths (of a core, of an accelerator, of a GB), so that sums are exact.
type Resources struct{ CPU, GPU, Memory int64 }

// NewResources converts decimal amounts: cores, accelerators and GB.
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

// Times returns how many o fit into r, at most limit. It is negative where r is.
func (r Resources) Times(o Resources, limit int) int {
	n := int64(limit)
	n = timesAmount(r.CPU, o.CPU, n)
	n = timesAmount(r.GPU, o.GPU, n)
	n = timesAmount(r.Memory, o.Memory, n)
	return int(n)
}

// timesAmount returns how often need goes into have, at most limit; nothing is needed if need is 0.
func timesAmount(have, need, limit int64) int64 {
	if need <= 0 {
		return limit
	}
	return min(limit, have/need)
}
