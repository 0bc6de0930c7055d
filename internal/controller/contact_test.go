package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestReliedOn: in an outage, peers can vouch that no cancellation was told that
// this ledger lacks, but only all of them, and only with a ledger of their own.
func TestReliedOn(t *testing.T) {
	now := time.Now()
	old, fresh, fresher := now.Add(-time.Minute), now.Add(-2*time.Second), now.Add(-time.Second)
	for _, tc := range []struct {
		name  string
		peers []peer.Answer
		want  time.Time
	}{
		{"nobody answers", nil, old},
		{"one of two answers", []peer.Answer{answerOf("m-1", fresh, 5, true, 0)}, old},
		{"both vouch: the older answer counts", []peer.Answer{answerOf("m-1", fresh, 5, true, 0), answerOf("m-2", fresher, 7, true, 0)}, fresh},
		{"one told of a cancellation that this ledger lacks", []peer.Answer{answerOf("m-1", fresh, 8, true, 0), answerOf("m-2", fresh, 7, true, 0)}, old},
		{"one lists what this ledger lacks, from where it is", []peer.Answer{listing(answerOf("m-1", fresh, 9, true, 0), 7, true), answerOf("m-2", fresher, 7, true, 0)}, fresh},
		{"one lists what a newer ledger lacks", []peer.Answer{listing(answerOf("m-1", fresh, 9, true, 0), 8, true), answerOf("m-2", fresher, 7, true, 0)}, old},
		{"one can't list all", []peer.Answer{listing(answerOf("m-1", fresh, 9, true, 0), 7, false), answerOf("m-2", fresher, 7, true, 0)}, old},
		{"one has restarted and knows nothing", []peer.Answer{answerOf("m-1", fresh, 0, false, 0), answerOf("m-2", fresh, 7, true, 0)}, old},
	} {
		c := quietCore(t, 0)
		c.cache.SetForTest(0, old)
		c.cache.Records().AdvanceRevision(7)
		for _, a := range tc.peers {
			c.heardPeer(a)
		}
		got, ok := c.membership.CancellationsConfirmedUntil(7, now)
		if !ok {
			got = old
		}
		if !got.Equal(tc.want) {
			t.Errorf("%s: relied on %v ago, want %v", tc.name, now.Sub(got), now.Sub(tc.want))
		}
	}
}

// TestListedJobsThatComeLater: a peer lists a job or a workflow as cancelled of which these records
// don't hold all yet. When a job comes, by a reading of all records or by the watch, and its cancellation does not, it counts as
// cancelled: the status goes on vouching for the records, and its tasks would be kept up else.
func TestListedJobsThatComeLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quietCore(t, 0)
		ids := []wire.JobID{"wk-000001", "wk-000002", "wk-000003", "wk-000004"} // the later two are steps
		a := listing(answerOf("m-1", time.Now(), 90, true, 0), 0, true)
		a.Status.CancelledJobs, a.Status.CancelledWorkflows = ids[:2], []wire.WorkflowID{"wf-000001"}
		c.heardPeer(a)
		ctx, cancel := context.WithCancel(t.Context())
		add := func(id wire.JobID, more string) {
			value := fmt.Appendf(nil, `{"spec":{"id":"%s","pieces":1},"at":1%s}`, id, more)
			if _, err := c.store.Commit(
				ctx,
				wire.Txn{Then: []wire.Change{{Put: "mm1/j/" + string(id), Value: value}}},
			); err != nil {
				t.Fatal(err)
			}
		}
		const step = `,"of":"wf-000001"`
		add(ids[0], "")
		add(ids[2], step)
		go func() { _ = c.cache.Watch(ctx) }() // which reads all records first
		time.Sleep(5 * time.Second)
		add(ids[1], "")
		add(ids[3], step)
		time.Sleep(5 * time.Second)
		c.cache.Read(func(l *ledger.Ledger) {
			for _, id := range ids {
				if j := l.Job(id); j == nil || !j.Cancelling || j.Pending() > 0 {
					t.Errorf("%s counts as %+v", id, j)
				}
			}
		})
		cancel()
	})
}

func listing(a peer.Answer, since wire.Revision, whole bool) peer.Answer {
	a.Status.Since, a.Status.CancellationsComplete, a.Status.CancelledJobs = since, whole, []wire.JobID{"wk-000001"}
	return a
}

// TestHealthy: a controller that alone is refused sends users elsewhere; one that
// shares an outage with all others stays, since leaving would gain nobody anything.
func TestHealthy(t *testing.T) {
	now := time.Now()
	c := quietCore(t, 0)
	// Controllers that ended three times within seconds were removed by the balancer for up to a
	// minute, since each refused a probe while it read the records.
	if !c.Healthy() {
		t.Error("not healthy while it reads the records and nobody else is known to be better off")
	}
	c.heardPeer(answerOf("m-1", now, 0, true, 100*time.Millisecond))
	if c.Healthy() {
		t.Error("healthy before the ledger was read, beside one that is in touch")
	}
	c.cache.SetForTest(0, now)
	if !c.Healthy() {
		t.Error("not healthy for want of a token, which users need none of")
	}
	c.cache.SetForTest(1, now)
	if !c.Healthy() {
		t.Error("not healthy in touch with the state service")
	}
	c.cache.SetForTest(c.cache.Token(), now.Add(-10*time.Second))
	c.heardPeer(answerOf("m-1", now, 0, true, 10*time.Second))
	if !c.Healthy() {
		t.Error("not healthy in an outage that all share")
	}
	c.heardPeer(answerOf("m-2", now, 0, true, 100*time.Millisecond))
	if c.Healthy() {
		t.Error("healthy while only this controller is refused")
	}
}

// TestCancellationsAreVouchedFor: the revision a controller vouches with is never
// below that of a cancellation that its ledger holds.
func TestCancellationsAreVouchedFor(t *testing.T) {
	c := quietCore(t, 0)
	value := `{"spec":{"id":"wk-000001","pieces":1},"at":1,"state":"cancelled"}`
	c.cache.Records().Apply(ledger.Event{Key: "mm1/j/wk-000001", Value: []byte(value), Version: 9})
	if got := c.status().Cancelled; got < 9 {
		t.Errorf("vouches with %d after a cancellation at 9", got)
	}
}

// TestRedirect: a controller that alone is cut off from the state service sends a
// worker to a peer in touch, but not again and again: a worker that can't reach
// the peer must still be answered before its lease ends.
func TestRedirect(t *testing.T) {
	now := time.Now()
	c := quietCore(t, 0)
	c.cache.SetForTest(1, now.Add(-8*time.Second))
	r := &wire.Heartbeat{Machine: "host-1", Epoch: 1, Sequence: 1}
	if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 200 {
		t.Errorf("%d with no peer in touch", a.Status)
	}
	c.heardPeer(answerOf("m-1", time.Now(), 0, true, 100*time.Millisecond))
	r.Sequence = 2
	if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 421 || a.Redirect.ReportTo != "m-1" {
		t.Errorf("%d %q with a peer in touch", a.Status, a.Redirect.ReportTo)
	}
	r.Sequence = 3
	if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 200 {
		t.Errorf("%d for a worker that came back", a.Status)
	}
	c.cache.SetForTest(c.cache.Token(), now.Add(-time.Hour))
	r.Sequence = 4
	if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 421 {
		t.Errorf("%d long after a cancellation may have been missed", a.Status)
	}
}
