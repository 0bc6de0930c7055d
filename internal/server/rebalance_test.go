package server

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// TestRebalance checks that a controller that serves most of the workers redirects some to the one that serves
// the fewest, a few at a time and each worker at most once per redirectInterval. A controller with a fair
// share, or whose peers are not synced, redirects none. Without this, after two of three controllers had
// failed, the third once served nine of ten workers, and its share of the change budget limited the whole
// cluster.
func TestRebalance(t *testing.T) {
	for _, tc := range []struct {
		name       string
		theirs     [2]int        // workers of each peer
		syncAge    time.Duration // of the peers
		redirected int           // per snapshot
		to         wire.MemberID
	}{
		{"most workers here", [2]int{0, 4}, 0, 3, "m-1"},
		{"evenly shared", [2]int{28, 31}, 0, 0, ""},
		{"peers not synced", [2]int{0, 0}, time.Minute, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestHeartbeatServer(t)
			for i, n := range tc.theirs {
				a := controllertest.Answer(wire.MemberID(fmt.Sprintf("m-%d", i+1)), time.Now(), 0, true, tc.syncAge)
				for range n {
					a.Status.Machines = append(a.Status.Machines, peer.Machine{Epoch: 1})
				}
				s.Membership.ObserveStatus(a.Status, a.AsOf)
			}
			heartbeatAll(t, s, 1)
			s.Scheduler.InvalidateSnapshot()
			s.Scheduler.Snapshot(time.Now())
			if n, to := heartbeatAll(t, s, 2); n != tc.redirected || to != tc.to {
				t.Errorf("%d redirected to %q, want %d to %q", n, to, tc.redirected, tc.to)
			}
			if tc.redirected > 0 {
				checkNotRedirected(t, s)
			}
		})
	}
}

// newTestHeartbeatServer returns a server whose records are loaded and synced.
func newTestHeartbeatServer(t *testing.T) *HeartbeatServer {
	t.Helper()
	p := controllertest.New(t, 0)
	watchcache.SetStateForTest(t, p.Cache, 1, time.Now())
	parts := HeartbeatServerDependencies{
		Cache:       p.Cache,
		Committer:   p.Committer,
		Membership:  p.Membership,
		Registry:    p.Registry,
		Failures:    p.Failures,
		Topology:    p.Topology,
		Scheduler:   p.Scheduler,
		Completions: p.Completions,
		Exchange:    p.Exchange,
	}
	return NewHeartbeatServer(p.Set, parts, p.Stats, p.Log)
}

// heartbeatAll sends one heartbeat from each of 30 workers and returns how many were redirected, and to which
// member the last one was.
func heartbeatAll(t *testing.T, s *HeartbeatServer, sequence wire.HeartbeatSequence) (n int, to wire.MemberID) {
	t.Helper()
	const workers = 30
	for i := range workers {
		if a := s.Heartbeat(t.Context(), testHeartbeat(i, sequence)); a.Status == statusMisdirected {
			n, to = n+1, a.Redirect.ReportTo
		}
	}
	return n, to
}

// testHeartbeat returns a heartbeat of the worker with the given number.
func testHeartbeat(worker int, sequence wire.HeartbeatSequence) *wire.Heartbeat {
	id := wire.MachineID(fmt.Sprint("host-", worker))
	return &wire.Heartbeat{Machine: id, Epoch: 1, Sequence: sequence, FencingToken: 1}
}

// checkNotRedirected checks, on a server with a large surplus, that neither a recently redirected worker nor
// one with a start in progress is redirected.
func checkNotRedirected(t *testing.T, s *HeartbeatServer) {
	t.Helper()
	s.surplus.count = 100
	if a := s.Heartbeat(t.Context(), testHeartbeat(0, 3)); a.Status != statusOK {
		t.Errorf("status %d for a worker that returned after a redirect, want 200", a.Status)
	}
	s.records().Apply(ledger.Event{
		Key:     "mm1/j/wk-000001",
		Version: 5,
		Value: []byte(`{"spec":{"id":"wk-000001","pieces":1,"shape":"array"},` +
			`"at":1,"a":1,"c":[[0,1,1,"host-20","a",1,1]]}`),
	})
	a := s.Heartbeat(t.Context(), testHeartbeat(20, 3))
	if a.Status != statusOK || len(a.Response.Commands) != 1 {
		t.Errorf("answer %+v for a worker with a start in progress, want 200 and one command", a)
	}
}
