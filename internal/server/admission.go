package server

import (
	"context"
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// tokenPollInterval is how often a heartbeat that waits for a newer fencing token checks for one.
const tokenPollInterval = 20 * time.Millisecond

// authorize reports whether this controller may act on a heartbeat. If not, refusal is the response to the
// worker. The caller must hold the cache lock.
func (s *HeartbeatServer) authorize(hb *wire.Heartbeat, now time.Time) (refusal HeartbeatAnswer, ok bool) {
	if !s.Cache.Loaded() || s.Cache.Token() == 0 {
		return unavailable, false
	}
	if s.Membership.RecentlyPaused(now) {
		// After a pause of this process the worker has already timed out and reports to another controller. A
		// start sent here would only take the task from that controller.
		return unavailable, false
	}
	if now.Sub(s.cancellationsConfirmedUntil(time.Now())) > s.set.HeartbeatGrace() {
		// A peer may have confirmed a cancellation to a user that these records lack, and every response to a
		// heartbeat renews the lease of tasks that must then stop.
		return s.redirect(hb.Machine, now), false
	}
	if s.records().MachinePhase(hb.Machine) == ledger.Terminated {
		return unavailable, false // the heartbeat was sent before the machine was terminated
	}
	return HeartbeatAnswer{}, true
}

// cancellationsConfirmedUntil returns the time up to which the records contain every cancellation confirmed to
// a user: the last sync with the state service or, during an outage, the time up to which every peer states
// that it confirmed no cancellation that these records lack. The caller must hold the cache lock.
func (s *HeartbeatServer) cancellationsConfirmedUntil(now time.Time) time.Time {
	syncedAt := s.Cache.SyncedAt()
	if syncedAt.IsZero() {
		return syncedAt
	}
	confirmed, ok := s.Membership.CancellationsConfirmedUntil(s.records().Revision(), now)
	if ok && confirmed.After(syncedAt) {
		return confirmed
	}
	return syncedAt
}

// chooseToken chooses the fencing token under which to command a worker. It keeps the current one while the
// worker has seen no higher one; otherwise it takes a newer token of this controller and may wait for it with
// the cache lock released. A worker that seems unreachable must show a token that it has not seen before; such
// a token is requested but not waited for. ok is false if ctx ended first.
func (s *HeartbeatServer) chooseToken(
	ctx context.Context,
	w *reconcile.Worker,
	hb *wire.Heartbeat,
) (token wire.FencingToken, ok bool) {
	if w.CommandToken != 0 && hb.FencingToken <= w.CommandToken {
		switch newest := s.Cache.Token(); {
		case w.ProvesReachable(w.CommandToken):
		case w.ProvesReachable(newest):
			return newest, true
		default:
			s.Cache.RequestToken(newest)
		}
		return w.CommandToken, true
	}
	for hb.FencingToken > s.Cache.Token() {
		s.Cache.RequestToken(hb.FencingToken)
		s.Cache.Unlock()
		wait.For(ctx, tokenPollInterval)
		s.Cache.Lock()
		if ctx.Err() != nil {
			return 0, false
		}
	}
	return s.Cache.Token(), true
}
