package controller

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/state/watchcache"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// newTestController returns the first of three controllers, with its own emulated state service and no running
// components. Its log is discarded.
func newTestController(tb testing.TB) *Controller {
	tb.Helper()
	set := newTestSettings(tb, 0)
	store := emulator.NewStore(set.StateLimits().TxnOps, set.StateLimits().ValueBytes)
	return New(set, emulator.NewLink(store, 1), slog.New(slog.DiscardHandler))
}

// newTestControllerOn returns the first of three controllers, with the given state service.
func newTestControllerOn(tb testing.TB, store kvstore.Store) *Controller {
	tb.Helper()
	return New(newTestSettings(tb, 0), store, slog.New(slog.DiscardHandler))
}

// peerAnswer returns a peer's answer to a probe; see controllertest.Answer.
var peerAnswer = controllertest.Answer

// TestHeartbeatsFromBeforeAPause checks that heartbeats that were queued while the process was paused are
// rejected: their workers timed out during the pause and report to other controllers.
func TestHeartbeatsFromBeforeAPause(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(t)
		now := time.Now()
		watchcache.SetStateForTest(t, c.cache, 1, now)
		membership.SetLastRanForTest(t, c.membership, now.Add(-50*time.Second))
		heartbeat := &wire.Heartbeat{Machine: "host-1", Epoch: 1, Sequence: 1}
		if got := c.Heartbeats.Heartbeat(t.Context(), heartbeat); got.Status != 503 {
			t.Errorf("heartbeat from before the pause: got %d, want 503", got.Status)
		}
		time.Sleep(time.Second)
		if got := c.Heartbeats.Heartbeat(t.Context(), heartbeat); got.Status != 200 {
			t.Errorf("heartbeat from after the pause: got %d, want 200", got.Status)
		}
	})
}
