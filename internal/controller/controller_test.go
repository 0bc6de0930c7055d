package controller

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

func newTestController(t testing.TB, member int) *Controller {
	t.Helper()
	set := newTestSettings(t, member)
	link := emulator.NewLink(emulator.NewStore(set.Cluster.State.TxnOps, set.ValueBytes()), uint64(member+1))
	return New(set, link, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// newTestControllerOn is a controller that says nothing, on a store.
func newTestControllerOn(t testing.TB, s kvstore.Store) *Controller {
	return New(newTestSettings(t, 0), s, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// peerAnswer is what a peer tells that was asked at a time.
var peerAnswer = controllertest.Answer

// TestHeartbeatsFromBeforeAPause: what waited at the door while the process stood
// still is refused; workers gave it up long ago and report elsewhere.
func TestHeartbeatsFromBeforeAPause(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(t, 0)
		now := time.Now()
		c.cache.SetForTest(1, now)
		c.membership.SetRunningForTest(now.Add(-50 * time.Second))
		r := &wire.Heartbeat{Machine: "host-1", Session: 1, Sequence: 1}
		if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 503 {
			t.Errorf("%d for a report from before", a.Status)
		}
		time.Sleep(time.Second)
		if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 200 {
			t.Errorf("%d for a report from after", a.Status)
		}
	})
}
