package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"maddermill/internal/wait"
)

// Balancer stands in for the users' load balancer, by the protocol's rules: every node is probed
// about once a second; one is removed after two failures in a row or three among the last six
// probes, and comes back after two successes in a row, but no sooner than 3 s after its removal,
// a pause that doubles with each further removal within two minutes, up to a minute. One success
// is enough for a node that was never healthy.
type Balancer struct {
	Probe func(node int) bool // whether a probe of the node succeeds

	mu    sync.Mutex
	rng   *rand.Rand
	nodes []balanced
	// Removals counts how often nodes were removed, and Longest is the longest pause.
	Removals int
	Longest  time.Duration
}

type balanced struct {
	known, healthy   bool
	failed, answered int    // in a row
	last             []bool // the last six probes
	removed          time.Time
	pause            time.Duration
	refused          int       // connections in a row
	skipped          time.Time // until when
}

const (
	probeEvery   = time.Second
	firstPause   = 3 * time.Second
	longestPause = time.Minute
	remembered   = 2 * time.Minute
	triedAtOnce  = 3
	resetAfter   = 5 * time.Second
)

// NewBalancer returns a balancer that has probed nobody.
func NewBalancer(nodes int, seed uint64, probe func(int) bool) *Balancer {
	return &Balancer{Probe: probe, rng: rand.New(rand.NewPCG(seed, 4)), nodes: make([]balanced, nodes)}
}

// Run probes until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range b.nodes {
			ok := b.Probe(i)
			b.mu.Lock()
			b.took(&b.nodes[i], ok, time.Now())
			b.mu.Unlock()
		}
		wait.For(ctx, probeEvery)
	}
}

func (b *Balancer) took(n *balanced, ok bool, now time.Time) {
	n.last = append(n.last, ok)
	n.last = n.last[max(0, len(n.last)-6):]
	if ok {
		n.answered, n.failed = n.answered+1, 0
	} else {
		n.answered, n.failed = 0, n.failed+1
	}
	failures := 0
	for _, ok := range n.last {
		if !ok {
			failures++
		}
	}
	switch {
	case n.healthy && (n.failed >= 2 || failures >= 3):
		if n.pause = min(2*n.pause, longestPause); n.pause == 0 || now.Sub(n.removed) > remembered {
			n.pause = firstPause
		}
		n.healthy, n.removed = false, now
		b.Removals++
		b.Longest = max(b.Longest, n.pause)
	case !n.healthy && (!n.known && ok || n.answered >= 2 && now.Sub(n.removed) >= n.pause):
		n.known, n.healthy, n.last = true, true, nil
	}
}

// Resets reports whether a node has been unhealthy for so long that its connections are reset.
func (b *Balancer) Resets(node int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := &b.nodes[node]
	return n.known && !n.healthy && time.Since(n.removed) >= resetAfter
}

// Connect tries healthy nodes, three at the most, and returns the first that accepts, or -1.
func (b *Balancer) Connect(accepts func(node int) bool) int {
	b.mu.Lock()
	var fit []int
	for i := range b.nodes {
		if n := &b.nodes[i]; n.healthy && !time.Now().Before(n.skipped) {
			fit = append(fit, i)
		}
	}
	b.rng.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	b.mu.Unlock()
	for _, i := range fit[:min(len(fit), triedAtOnce)] {
		ok := accepts(i)
		b.mu.Lock()
		n := &b.nodes[i]
		if n.refused++; ok {
			n.refused = 0
		} else if n.refused >= 3 {
			n.refused, n.skipped = 0, time.Now().Add(3*time.Second)
		}
		b.mu.Unlock()
		if ok {
			return i
		}
	}
	return -1
}
