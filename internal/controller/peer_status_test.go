package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// withCancellations returns an answer whose status lists a job cancelled since a revision.
func withCancellations(answer peer.Response, since wire.Revision, complete bool) peer.Response {
	answer.Status.CancelledSince, answer.Status.CancellationsComplete = since, complete
	answer.Status.CancelledJobs = []wire.JobID{"wk-000001"}
	return answer
}

// TestPeersConfirmCancellations checks how long a controller in an outage may rely on its records: until the
// oldest answer of its peers, if all of them have loaded their records and confirm that no cancellation was
// acknowledged that its own records lack, and otherwise until its own last sync.
func TestPeersConfirmCancellations(t *testing.T) {
	t.Parallel()
	now := time.Now()
	own, older, newer := now.Add(-time.Minute), now.Add(-2*time.Second), now.Add(-time.Second)
	for _, tc := range []struct {
		name  string
		peers []peer.Response
		want  time.Time
	}{
		{"no answer", nil, own},
		{"one of two answers", []peer.Response{peerAnswer("m-1", older, 5, true, 0)}, own},
		{
			"both confirm, the older answer counts",
			[]peer.Response{peerAnswer("m-1", older, 5, true, 0), peerAnswer("m-2", newer, 7, true, 0)},
			older,
		},
		{
			"one acknowledged a cancellation that the records lack",
			[]peer.Response{peerAnswer("m-1", older, 8, true, 0), peerAnswer("m-2", older, 7, true, 0)},
			own,
		},
		{
			"one lists the cancellations since the revision of the records",
			[]peer.Response{
				withCancellations(peerAnswer("m-1", older, 9, true, 0), 7, true),
				peerAnswer("m-2", newer, 7, true, 0),
			},
			older,
		},
		{
			"one lists only cancellations since a later revision",
			[]peer.Response{
				withCancellations(peerAnswer("m-1", older, 9, true, 0), 8, true),
				peerAnswer("m-2", newer, 7, true, 0),
			},
			own,
		},
		{
			"one has an incomplete list",
			[]peer.Response{
				withCancellations(peerAnswer("m-1", older, 9, true, 0), 7, false),
				peerAnswer("m-2", newer, 7, true, 0),
			},
			own,
		},
		{
			"one has restarted and not yet loaded its records",
			[]peer.Response{peerAnswer("m-1", older, 0, false, 0), peerAnswer("m-2", older, 7, true, 0)},
			own,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController(t)
			watchcache.SetStateForTest(t, c.cache, 0, own)
			c.cache.Records().AdvanceRevision(7)
			for _, answer := range tc.peers {
				c.mergePeerStatus(answer)
			}
			got, ok := c.membership.CancellationsConfirmedUntil(7, now)
			if !ok {
				got = own
			}
			if !got.Equal(tc.want) {
				t.Errorf("cancellations confirmed until: got %v ago, want %v ago", now.Sub(got), now.Sub(tc.want))
			}
		})
	}
}

// TestCancellationsListedBeforeTheirJobs checks that jobs and workflows that a peer lists as cancelled count as
// cancelled when the controller learns of their jobs later, by a reload or by the watch, without the
// cancellation itself. Otherwise their tasks would keep running, since the peer's status still confirms that
// the controller's records have all cancellations.
func TestCancellationsListedBeforeTheirJobs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(t)
		jobs := []wire.JobID{"wk-000001", "wk-000002", "wk-000003", "wk-000004"} // the last two are steps of the workflow
		answer := withCancellations(peerAnswer("m-1", time.Now(), 90, true, 0), 0, true)
		answer.Status.CancelledJobs, answer.Status.CancelledWorkflows = jobs[:2], []wire.WorkflowID{"wf-000001"}
		c.mergePeerStatus(answer)
		ctx := t.Context()
		add := func(id wire.JobID, fields string) {
			value := fmt.Appendf(nil, `{"spec":{"id":"%s","pieces":1},"at":1%s}`, id, fields)
			txn := wire.Txn{Then: []wire.Change{{Put: "mm1/j/" + string(id), Value: value}}}
			if _, err := c.store.Commit(ctx, txn); err != nil {
				t.Fatal(err)
			}
		}
		const step = `,"of":"wf-000001"`
		add(jobs[0], "")
		add(jobs[2], step)
		go func() { _ = c.cache.Watch(ctx) }() // loads all records first
		time.Sleep(5 * time.Second)
		add(jobs[1], "")
		add(jobs[3], step)
		time.Sleep(5 * time.Second)
		c.cache.Read(func(l *ledger.Ledger) {
			for _, id := range jobs {
				if job := l.Job(id); job == nil || !job.Cancelling || job.Pending() > 0 {
					t.Errorf("%s: got %+v, want it cancelling with no task pending", id, job)
				}
			}
		})
	})
}

// TestHealthy checks that a controller fails its health check if it has lost the state service and a peer has
// not, and passes it if all controllers have, since no peer could serve users better.
func TestHealthy(t *testing.T) {
	t.Parallel()
	now := time.Now()
	c := newTestController(t)
	check := func(when string, want bool) {
		t.Helper()
		if got := c.Healthy(); got != want {
			t.Errorf("%s: got healthy %v, want %v", when, got, want)
		}
	}
	// When controllers that load their records failed the health check regardless of their peers, the
	// balancer removed controllers that crashed three times within seconds for up to a minute.
	check("while loading the records, no peer known to be in sync", true)
	c.mergePeerStatus(peerAnswer("m-1", now, 0, true, 100*time.Millisecond))
	check("while loading the records, a peer is in sync", false)
	watchcache.SetStateForTest(t, c.cache, 0, now)
	check("in sync, without a fencing token, which user requests don't need", true)
	watchcache.SetStateForTest(t, c.cache, 1, now)
	check("in sync", true)
	watchcache.SetStateForTest(t, c.cache, c.cache.Token(), now.Add(-10*time.Second))
	c.mergePeerStatus(peerAnswer("m-1", now, 0, true, 10*time.Second))
	check("in an outage of all controllers", true)
	c.mergePeerStatus(peerAnswer("m-2", now, 0, true, 100*time.Millisecond))
	check("in an outage of this controller alone", false)
}

// TestStatusCoversKnownCancellations checks that the revision up to which a controller's status confirms
// cancellations is not below that of any cancellation in its records.
func TestStatusCoversKnownCancellations(t *testing.T) {
	t.Parallel()
	c := newTestController(t)
	value := `{"spec":{"id":"wk-000001","pieces":1},"at":1,"state":"cancelled"}`
	c.cache.Records().Apply(ledger.Event{Key: "mm1/j/wk-000001", Value: []byte(value), Version: 9})
	if got := c.status().LastCancellation; got < 9 {
		t.Errorf("revision up to which the status confirms cancellations: got %d, want >= 9", got)
	}
}

// TestRedirect checks that a controller that has lost the state service redirects a worker to a peer that is in
// sync, but not repeatedly: a worker that can't reach the peer must get an answer before its lease ends.
func TestRedirect(t *testing.T) {
	t.Parallel()
	now := time.Now()
	c := newTestController(t)
	watchcache.SetStateForTest(t, c.cache, 1, now.Add(-8*time.Second))
	heartbeat := &wire.Heartbeat{Machine: "host-1", Epoch: 1, Sequence: 1}
	if got := c.Heartbeats.Heartbeat(t.Context(), heartbeat); got.Status != 200 {
		t.Errorf("with no peer in sync: got %d, want 200", got.Status)
	}
	c.mergePeerStatus(peerAnswer("m-1", time.Now(), 0, true, 100*time.Millisecond))
	heartbeat.Sequence = 2
	if got := c.Heartbeats.Heartbeat(t.Context(), heartbeat); got.Status != 421 || got.Redirect.ReportTo != "m-1" {
		t.Errorf("with a peer in sync: got %d to %q, want 421 to m-1", got.Status, got.Redirect.ReportTo)
	}
	heartbeat.Sequence = 3
	if got := c.Heartbeats.Heartbeat(t.Context(), heartbeat); got.Status != 200 {
		t.Errorf("a worker that came back after a redirect: got %d, want 200", got.Status)
	}
	watchcache.SetStateForTest(t, c.cache, c.cache.Token(), now.Add(-time.Hour))
	heartbeat.Sequence = 4
	if got := c.Heartbeats.Heartbeat(t.Context(), heartbeat); got.Status != 421 {
		t.Errorf("an hour after the last sync: got %d, want 421", got.Status)
	}
}
