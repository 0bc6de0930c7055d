package controller

import (
	"io"
	"log/slog"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
	"testing"
	"testing/synctest"
	"time"
)

func quietCore(t testing.TB, member int) *Controller {
	t.Helper()
	set := testSettings(t, member)
	link := emulator.NewLink(emulator.NewStore(set.Cluster.State.TxnOps, set.ValueBytes()), uint64(member+1))
	return New(set, link, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// coreOn is a controller that says nothing, on a store.
func coreOn(t testing.TB, s kvstore.Store) *Controller {
	return New(testSettings(t, 0), s, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// answerOf is what a peer tells that was asked at a time.
var answerOf = controllertest.Answer

// TestReportsFromBeforeAStandstill: what waited at the door while the process stood
// still is refused; workers gave it up long ago and report elsewhere.
func TestReportsFromBeforeAStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quietCore(t, 0)
		now := time.Now()
		c.cache.SetForTest(1, now)
		c.membership.SetRunningForTest(now.Add(-50 * time.Second))
		r := &wire.Heartbeat{Machine: "host-1", Epoch: 1, Sequence: 1}
		if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 503 {
			t.Errorf("%d for a report from before", a.Status)
		}
		time.Sleep(time.Second)
		if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status != 200 {
			t.Errorf("%d for a report from after", a.Status)
		}
	})
}
