// Package metrics keeps counters, gauges and latency histograms, and writes them in the text format that
// Prometheus reads. The names of metrics get the prefix "maddermill_".
//
// A [Set] has one lock. It is not held while gauges are read, which may take locks of their own.
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

// maxMicroseconds is the longest duration that a histogram distinguishes: a minute.
const maxMicroseconds = 60_000_000

// significantDigits is the precision of histograms.
const significantDigits = 2

// Set is a set of metrics.
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

// Add adds n to a counter, which starts at zero.
func (s *Set) Add(name string, n int64) {
	s.mu.Lock()
	s.counters[name] += n
	s.mu.Unlock()
}

// Gauge registers a value that is read when the metrics are written. A later registration of the same
// name replaces an earlier one.
func (s *Set) Gauge(name string, read func() float64) {
	s.mu.Lock()
	s.gauges[name] = read
	s.mu.Unlock()
}

// Observe adds a duration to a histogram. Durations out of the range of 1 µs to a minute count as its
// bounds.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		s.histograms[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds)) // can't fail: the value is in range
	s.mu.Unlock()
}

// Text returns the metrics in the text format: counters, histograms as summaries in seconds, and gauges,
// each by name.
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
