package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"maddermill/internal/wait"
)

// The protocol's rules for the users' load balancer.
const (
	probeInterval       = time.Second
	probeWindow         = 6 // the latest probes that count
	maxFailuresInRow    = 2 // a node is removed with this many
	maxFailuresInWindow = 3 // or with this many in the window
	minSuccessesInRow   = 2 // a removed node returns with this many

	minRemoval    = 3 * time.Second // the shortest time for which a node is removed
	maxRemoval    = time.Minute     // doubled with each removal up to this
	removalMemory = 2 * time.Minute // it starts over after this time without a removal
	resetAfter    = 5 * time.Second // connections to a removed node are reset after this

	maxConnectAttempts = 3               // nodes tried for a connection
	maxRefusedInRow    = 3               // a node is skipped after this many refused connections
	skipTime           = 3 * time.Second // for this long
)

// Balancer emulates the users' load balancer, by the protocol's rules: every node is probed
// about once a second; one is removed after two failures in a row or three among the last six
// probes, and returns after two successes in a row, but no sooner than 3 s after its removal,
// a time that doubles with each further removal within two minutes, up to a minute. One success
// is enough for a node that was never healthy.
type Balancer struct {
	// Probe reports whether a probe of the node succeeds.
	Probe func(node int) bool
	// Removals counts how often nodes were removed.
	Removals int
	// Longest is the longest time for which a node was removed.
	Longest time.Duration

	mu    sync.Mutex // guards the fields below, Removals and Longest
	rng   *rand.Rand
	nodes []nodeHealth
}

// nodeHealth is what the balancer knows of a node.
type nodeHealth struct {
	known        bool // it was healthy once
	healthy      bool
	failures     int    // failed probes in a row
	successes    int    // successful probes in a row
	window       []bool // the latest probes, probeWindow at most; true: successful
	removed      time.Time
	removal      time.Duration // how long it is removed
	refused      int           // refused connections in a row
	skippedUntil time.Time
}

// NewBalancer returns a balancer of a number of nodes that has probed none of them. It draws the
// order in which nodes are tried from the seed.
func NewBalancer(nodes int, seed uint64, probe func(int) bool) *Balancer {
	return &Balancer{Probe: probe, rng: rand.New(rand.NewPCG(seed, 4)), nodes: make([]nodeHealth, nodes)}
}

// Run probes until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range b.nodes {
			ok := b.Probe(i)
			b.mu.Lock()
			b.observe(&b.nodes[i], ok, time.Now())
			b.mu.Unlock()
		}
		wait.For(ctx, probeInterval)
	}
}

// observe records the result of a probe and removes or returns the node by it. b.mu is held.
func (b *Balancer) observe(n *nodeHealth, ok bool, now time.Time) {
	n.window = append(n.window, ok)
	n.window = n.window[max(0, len(n.window)-probeWindow):]
	if ok {
		n.successes, n.failures = n.successes+1, 0
	} else {
		n.successes, n.failures = 0, n.failures+1
	}
	failuresInWindow := 0
	for _, ok := range n.window {
		if !ok {
			failuresInWindow++
		}
	}
	switch {
	case n.healthy && (n.failures >= maxFailuresInRow || failuresInWindow >= maxFailuresInWindow):
		if n.removal = min(2*n.removal, maxRemoval); n.removal == 0 || now.Sub(n.removed) > removalMemory {
			n.removal = minRemoval
		}
		n.healthy, n.removed = false, now
		b.Removals++
		b.Longest = max(b.Longest, n.removal)
	case !n.healthy && (!n.known && ok || n.successes >= minSuccessesInRow && now.Sub(n.removed) >= n.removal):
		n.known, n.healthy, n.window = true, true, nil
	}
}

// Resets reports whether a node has been unhealthy for so long that its connections are reset.
func (b *Balancer) Resets(node int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := &b.nodes[node]
	return n.known && !n.healthy && time.Since(n.removed) >= resetAfter
}

// Connect tries healthy nodes in random order, maxConnectAttempts at most, and returns the first
// that accepts a connection, or -1.
func (b *Balancer) Connect(accepts func(node int) bool) int {
	b.mu.Lock()
	var healthy []int
	for i := range b.nodes {
		if n := &b.nodes[i]; n.healthy && !time.Now().Before(n.skippedUntil) {
			healthy = append(healthy, i)
		}
	}
	b.rng.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	b.mu.Unlock()
	for _, i := range healthy[:min(len(healthy), maxConnectAttempts)] {
		ok := accepts(i)
		b.mu.Lock()
		n := &b.nodes[i]
		if n.refused++; ok {
			n.refused = 0
		} else if n.refused >= maxRefusedInRow {
			n.refused, n.skippedUntil = 0, time.Now().Add(skipTime)
		}
		b.mu.Unlock()
		if ok {
			return i
		}
	}
	return -1
}
