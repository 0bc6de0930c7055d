// Package metrics keeps counters, gauges and latency histograms, and exports them in the Prometheus text
// format. Metric names get the prefix "maddermill_".
//
// A [Set] has one lock. It is not held while gauges are read, because their functions may take other locks.
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

// maxMicroseconds is the largest value that a histogram records: one minute.
const maxMicroseconds = 60_000_000

// significantDigits is the number of significant decimal digits that a histogram keeps of a value.
const significantDigits = 2

// Set holds the metrics of a process. It is safe for concurrent use.
type Set struct {
	mu         sync.Mutex // guards the fields below
	counters   map[string]int64
	gauges     map[string]func() float64
	histograms map[string]*hdrhistogram.Histogram // in microseconds
}

// New returns an empty set.
func New() *Set {
	return &Set{
		counters:   map[string]int64{},
		gauges:     map[string]func() float64{},
		histograms: map[string]*hdrhistogram.Histogram{},
	}
}

// Add adds n to a counter. Counters start at zero.
func (s *Set) Add(name string, n int64) {
	s.mu.Lock()
	s.counters[name] += n
	s.mu.Unlock()
}

// Gauge registers a function that Text calls for the gauge's current value. A later registration under
// the same name replaces an earlier one.
func (s *Set) Gauge(name string, read func() float64) {
	s.mu.Lock()
	s.gauges[name] = read
	s.mu.Unlock()
}

// Observe records a duration in a histogram. Durations below 1 µs or above one minute are clamped to these
// bounds.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		s.histograms[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds)) // can't fail: the value is clamped to the range
	s.mu.Unlock()
}

// Text returns the metrics in the Prometheus text format: counters, histograms as summaries in seconds, and
// gauges, each group sorted by name.
func (s *Set) Text() []byte {
	s.mu.Lock()
	gauges := maps.Clone(s.gauges)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.counters)) {
		fmt.Fprintf(&b, "# TYPE maddermill_%s counter\nmaddermill_%s %d\n", name, name, s.counters[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.histograms)) {
		h := s.histograms[name]
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
