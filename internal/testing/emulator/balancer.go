package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"maddermill/internal/wait"
)

// Parameters of the load balancer in front of the controllers, from the protocol.
const (
	probeInterval       = time.Second
	probeWindow         = 6 // probes in the sliding window
	maxFailuresInRow    = 2 // a node is removed after this many
	maxFailuresInWindow = 3 // or after this many in the window
	minSuccessesInRow   = 2 // a removed node is readmitted after this many

	minRemoval    = 3 * time.Second // initial removal time of a node
	maxRemoval    = time.Minute     // upper bound of the removal time, which doubles with each removal
	removalMemory = 2 * time.Minute // the removal time is reset after this long without a removal
	resetAfter    = 5 * time.Second // connections to a node are reset this long after its removal

	maxConnectAttempts = 3               // nodes tried per connection
	maxRefusedInRow    = 3               // a node is skipped after this many refused connections
	skipTime           = 3 * time.Second // how long the node is skipped
)

// Balancer emulates the load balancer between the users and the controllers, its nodes. It probes
// every node about once a second. A node is removed after two failed probes in a row or three
// among the last six, and readmitted after two successes in a row, but no sooner than 3 s after
// its removal; this time doubles with each further removal within two minutes, up to a minute.
// A node that was never healthy is admitted after one success.
type Balancer struct {
	// Probe probes a node and reports whether it succeeded.
	Probe func(node int) bool
	// Removals counts the removals of nodes.
	Removals int
	// Longest is the longest removal time of any node.
	Longest time.Duration

	mu    sync.Mutex // guards the fields below, Removals and Longest
	rng   *rand.Rand
	nodes []nodeHealth
}

// nodeHealth is the health of a node as the balancer tracks it.
type nodeHealth struct {
	known        bool // has been healthy at least once
	healthy      bool
	failures     int           // failed probes in a row
	successes    int           // successful probes in a row
	window       []bool        // results of the latest probes, at most probeWindow; true: success
	removed      time.Time     // time of the last removal
	removalTime  time.Duration // how long the node stays removed
	refused      int           // refused connections in a row
	skippedUntil time.Time
}

// NewBalancer returns a balancer that has not probed any of its nodes yet. The order in which it
// tries nodes for a connection is drawn from the seed.
func NewBalancer(nodes int, seed uint64, probe func(int) bool) *Balancer {
	return &Balancer{Probe: probe, rng: rand.New(rand.NewPCG(seed, 4)), nodes: make([]nodeHealth, nodes)}
}

// Run probes all nodes periodically until ctx ends.
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

// observe records the result of a probe, and removes or readmits the node if it is due. b.mu is held.
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
		if n.removalTime = min(2*n.removalTime, maxRemoval); n.removalTime == 0 || now.Sub(n.removed) > removalMemory {
			n.removalTime = minRemoval
		}
		n.healthy, n.removed = false, now
		b.Removals++
		b.Longest = max(b.Longest, n.removalTime)
	case !n.healthy && (!n.known && ok || n.successes >= minSuccessesInRow && now.Sub(n.removed) >= n.removalTime):
		n.known, n.healthy, n.window = true, true, nil
	}
}

// Resets reports whether a node was removed so long ago that its connections are reset.
func (b *Balancer) Resets(node int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := &b.nodes[node]
	return n.known && !n.healthy && time.Since(n.removed) >= resetAfter
}

// Connect tries at most maxConnectAttempts healthy nodes in random order, and returns the first
// that accepts the connection, or -1 if none does.
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
