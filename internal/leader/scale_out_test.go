package leader

import (
	"context"
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/leader/cloud"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// scaleOutFollowing scales out by three machines while the cache watches the store.
func scaleOutFollowing(t *testing.T, active *term) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = active.leader.Cache.Watch(ctx) }() // returns the error of ctx
	option := autoscale.MachineOption{Type: "g2", Zone: "a"}
	return active.scaleOut(ctx, []autoscale.ScaleOut{{MachineOption: option, Count: 3}})
}

// TestScaleOutFollowsItsRecord checks that a request for machines is recorded before it is sent, that only the
// current leader's term can write the record, and that a successor repeats the request with the same ID.
// Otherwise a leader that was paused between plan and request would provision machines in addition to its
// successor, and a successor would provision machines again that the list does not show yet.
func TestScaleOutFollowsItsRecord(t *testing.T) {
	l := newTestLeader(t)
	firstCloud := &recordingCloud{fail: cloud.ErrRefused} // the request fails
	first := newTerm(l, firstCloud, recordLeader(t, l, 7))
	if err := scaleOutFollowing(t, first); err == nil || len(firstCloud.requests) != 1 {
		t.Fatalf("first leader: got requests %v, error %v, want one request and an error", firstCloud.requests, err)
	}

	successorVersion := recordLeader(t, l, 8)
	staleCloud := &recordingCloud{}
	first.cloud = staleCloud
	if err := scaleOutFollowing(t, first); err == nil || len(staleCloud.requests) > 0 {
		t.Errorf("deposed leader: got requests %v, error %v, want none and an error", staleCloud.requests, err)
	}

	successorCloud := &recordingCloud{}
	successor := newTerm(l, successorCloud, successorVersion)
	successor.recentIntents, _ = l.records().ScaleOutIntents()
	successor.unresolvedIntents = successor.recentIntents
	err := successor.resolveIntents(t.Context())
	if err != nil || len(successorCloud.requests) != 1 || successorCloud.requests[0] != firstCloud.requests[0] {
		t.Errorf("successor: got requests %v, error %v, want %v", successorCloud.requests, err, firstCloud.requests)
	}
	if got := len(successor.machines); got != 3 {
		t.Errorf("successor: got %d machines, want 3", got)
	}

	// A controller that is elected again with the fencing token of an earlier term does not reuse request IDs.
	reelectedCloud := &recordingCloud{}
	err = scaleOutFollowing(t, newTerm(l, reelectedCloud, recordLeader(t, l, 7)))
	if err != nil || len(reelectedCloud.requests) != 1 || reelectedCloud.requests[0] == firstCloud.requests[0] {
		t.Errorf("elected again: got requests %v, error %v, want one different from %v",
			reelectedCloud.requests, err, firstCloud.requests)
	}

	successor.recordVersion = recordLeader(t, l, 8)
	successor.renewedAt = time.Now().Add(-time.Minute)
	err = successor.requestMachines(t.Context(), successor.recentIntents[0])
	if err == nil || len(successorCloud.requests) != 1 {
		t.Errorf("lease possibly expired: got requests %v, error %v, want none and an error",
			successorCloud.requests[1:], err)
	}
}

// TestHeartbeatBeforeScaleOutAnswer checks a machine whose heartbeats arrive before the cloud's response to the
// scale-out request and before any list shows it. It must count as up from its first heartbeat on, and
// neither the response nor the list may reset it to booting.
func TestHeartbeatBeforeScaleOutAnswer(t *testing.T) {
	l := newTestLeader(t)
	version := recordLeader(t, l, 7)
	now := time.Now()
	watchcache.SetStateForTest(t, l.Cache, 7, now)
	const early, late = wire.MachineID("r-7-1-0"), wire.MachineID("r-7-1-1")
	heartbeat := &wire.Heartbeat{Machine: early, Type: "g2", Zone: "a", Epoch: 1, Sequence: 1}
	l.Registry.Register(heartbeat, now).Reconcile(heartbeat, nil, 7, now)
	active := newTerm(l, &recordingCloud{}, version)
	active.observe(now)
	reported := active.machines[early]
	if reported == nil || reported.booting() {
		t.Fatal("the leader does not treat a machine that sends heartbeats as up")
	}
	intent := ledger.ScaleOutIntent{
		ScaleOutRequest: wire.ScaleOutRequest{Request: "r-7-1", Type: "g2", Zone: "a", Count: 2},
		At:              wire.UnixMillis(now.UnixMilli()),
	}
	if err := active.requestMachines(t.Context(), intent); err != nil {
		t.Fatal(err)
	}
	if active.machines[early] != reported || reported.booting() || len(active.machines) != 2 ||
		!active.machines[late].booting() {
		t.Errorf("after the cloud's response: got %+v, want %s up and %s booting", active.machines, early, late)
	}
	active.observe(now.Add(time.Second))
	if active.machines[early].booting() || !active.machines[late].booting() {
		t.Errorf("after the next step: got %+v, want %s up and %s booting", active.machines, early, late)
	}
}
