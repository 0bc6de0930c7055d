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

// scaleOutFollowing scales out by three machines while the cache follows the store.
func scaleOutFollowing(t *testing.T, active *term) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = active.leader.Cache.Watch(ctx) }() // it ends by ctx, with its error
	option := autoscale.MachineOption{Type: "g2", Zone: "a"}
	return active.scaleOut(ctx, []autoscale.ScaleOut{{MachineOption: option, Count: 3}})
}

// TestScaleOutFollowsItsRecord: a request for machines is on record before it is sent, only the leader's
// term can write that record, and a successor repeats the request under the same ID. Otherwise a leader
// that was paused with a plan in hand would rent beside its successor, and a successor would rent again
// what no list shows yet.
func TestScaleOutFollowsItsRecord(t *testing.T) {
	l := newTestLeader(t)
	firstCloud := &recordingCloud{fail: cloud.ErrRefused} // the answer is lost
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

	// A controller that leads again, under the fencing token of an earlier term, uses no ID again.
	againCloud := &recordingCloud{}
	err = scaleOutFollowing(t, newTerm(l, againCloud, recordLeader(t, l, 7)))
	if err != nil || len(againCloud.requests) != 1 || againCloud.requests[0] == firstCloud.requests[0] {
		t.Errorf("leading again: got requests %v, error %v, want one other than %v",
			againCloud.requests, err, firstCloud.requests)
	}

	successor.recordVersion = recordLeader(t, l, 8)
	successor.renewedAt = time.Now().Add(-time.Minute)
	err = successor.requestMachines(t.Context(), successor.recentIntents[0])
	if err == nil || len(successorCloud.requests) != 1 {
		t.Errorf("lease perhaps expired: got requests %v, error %v, want none and an error",
			successorCloud.requests[1:], err)
	}
}

// TestHeartbeatBeforeScaleOutAnswer: a machine may send heartbeats before the cloud has answered the
// request for it, and before any list shows it. It is used from its first heartbeat on, and neither the
// answer nor the list makes it one that boots.
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
		t.Fatal("the leader does not count on a machine that reports")
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
		t.Errorf("after the cloud's answer: got %+v, want %s up and %s booting", active.machines, early, late)
	}
	active.observe(now.Add(time.Second))
	if active.machines[early].booting() || !active.machines[late].booting() {
		t.Errorf("after the next step: got %+v, want %s up and %s booting", active.machines, early, late)
	}
}
