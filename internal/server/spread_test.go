package server

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// TestSpread: a controller that holds most of the workers passes some on, to the one
// that holds the fewest, a few at a time and each at most once in a while; one with
// its share keeps them, and so does one whose peers are out of touch. After an end of
// two of three controllers the third once held nine of ten workers, and its share of
// changes was the bound of the whole cluster.
func TestSpread(t *testing.T) {
	const workers = 30
	for _, tc := range []struct {
		name    string
		theirs  [2]int
		contact time.Duration
		sent    int // in one picture
		to      wire.MemberID
	}{
		{"all here", [2]int{0, 4}, 0, 3, "m-1"},
		{"shared", [2]int{28, 31}, 0, 0, ""},
		{"peers out of touch", [2]int{0, 0}, time.Minute, 0, ""},
	} {
		p := controllertest.New(t, 0)
		p.Cache.SetForTest(1, time.Now())
		c := NewHeartbeatServer(
			p.Set,
			HeartbeatServerParts{
				Cache:       p.Cache,
				Committer:   p.Committer,
				Membership:  p.Membership,
				Registry:    p.Registry,
				Failures:    p.Failures,
				Topology:    p.Topology,
				Scheduler:   p.Scheduler,
				Completions: p.Completions,
				Exchange:    p.Exchange,
			},
			p.Stats,
			p.Log,
		)
		for i, n := range tc.theirs {
			a := controllertest.Answer(wire.MemberID(fmt.Sprintf("m-%d", i+1)), time.Now(), 0, true, tc.contact)
			for range n {
				a.Status.Machines = append(a.Status.Machines, peer.Machine{Session: 1})
			}
			c.Membership.ObserveStatus(a.Status, a.AsOf)
		}
		report := func(tally wire.HeartbeatSequence) (sent int, to wire.MemberID) {
			for i := range workers {
				r := &wire.Heartbeat{Machine: wire.MachineID(fmt.Sprint("host-", i)), Epoch: 1, Sequence: tally, FencingToken: 1}
				if a := c.Heartbeat(t.Context(), r); a.Status == 421 {
					sent, to = sent+1, a.Redirect.ReportTo
				}
			}
			return sent, to
		}
		report(1)
		c.Scheduler.InvalidateSnapshot()
		c.Scheduler.Snapshot(time.Now())
		if sent, to := report(2); sent != tc.sent || to != tc.to {
			t.Errorf("%s: %d sent to %q, want %d to %q", tc.name, sent, to, tc.sent, tc.to)
		}
		if tc.sent == 0 {
			continue
		}
		first := &wire.Heartbeat{Machine: "host-0", Epoch: 1, Sequence: 3, FencingToken: 1}
		c.surplus.count = 100
		if a := c.Heartbeat(t.Context(), first); a.Status != 200 {
			t.Errorf("%s: %d for a worker that has just been sent on and came back", tc.name, a.Status)
		}
		c.led().Apply(
			ledger.Event{
				Key:     "mm1/j/wk-000001",
				Version: 5,
				Value: []byte(
					`{"spec":{"id":"wk-000001","pieces":1,"shape":"array"},"at":1,"a":1,"c":[[0,1,1,"host-20","a",1,1]]}`,
				),
			},
		)
		busy := &wire.Heartbeat{Machine: "host-20", Epoch: 1, Sequence: 3, FencingToken: 1}
		if a := c.Heartbeat(t.Context(), busy); a.Status != 200 || len(a.Response.Commands) != 1 {
			t.Errorf("%s: %d for a worker whose start is under way", tc.name, a.Status)
		}
	}
}
