// Package metrics keeps counters and latency histograms and writes them in the
// text format that scrapers read.
package metrics

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Set is a set of metrics.
type Set struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]func() float64
	times    map[string]*hdrhistogram.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{
		counters: map[string]int64{},
		gauges:   map[string]func() float64{},
		times:    map[string]*hdrhistogram.Histogram{},
	}
}

// Add adds to a counter.
func (s *Set) Add(name string, n int64) {
	s.mu.Lock()
	s.counters[name] += n
	s.mu.Unlock()
}

// Gauge registers a value that is read when asked for.
func (s *Set) Gauge(name string, read func() float64) {
	s.mu.Lock()
	s.gauges[name] = read
	s.mu.Unlock()
}

// Observe notes a duration.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	h := s.times[name]
	if h == nil {
		h = hdrhistogram.New(1, 60_000_000, 2)
		s.times[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Microseconds()), 60_000_000))
	s.mu.Unlock()
}

// Text writes the set.
func (s *Set) Text() []byte {
	s.mu.Lock()
	gauges := maps.Clone(s.gauges)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.counters)) {
		fmt.Fprintf(&b, "# TYPE maddermill_%s counter\nmaddermill_%s %d\n", name, name, s.counters[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.times)) {
		h := s.times[name]
		fmt.Fprintf(&b, "# TYPE maddermill_%s summary\n", name)
		for _, q := range []float64{50, 90, 99} {
			fmt.Fprintf(&b, "maddermill_%s{quantile=\"%g\"} %g\n", name, q/100, float64(h.ValueAtQuantile(q))/1e6)
		}
		fmt.Fprintf(&b, "maddermill_%s_sum %g\nmaddermill_%s_count %d\n", name,
			h.Mean()*float64(h.TotalCount())/1e6, name, h.TotalCount())
	}
	s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		fmt.Fprintf(&b, "# TYPE maddermill_%s gauge\nmaddermill_%s %g\n", name, name, gauges[name]())
	}
	return []byte(b.String())
}
