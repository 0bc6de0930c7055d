package server

import (
	"context"
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// tokenPollInterval is how often a heartbeat that waits for a newer fencing token checks for it.
const tokenPollInterval = 20 * time.Millisecond

// authorize reports whether this controller may act on a heartbeat; if not, the answer is what the worker
// gets. It needs the cache's lock.
func (s *HeartbeatServer) authorize(hb *wire.Heartbeat, now time.Time) (refusal HeartbeatAnswer, ok bool) {
	if !s.Cache.Loaded() || s.Cache.Token() == 0 {
		return unavailable, false
	}
	if s.Membership.RecentlyPaused(now) {
		// The worker has long given up on this heartbeat and reports to another controller. A start here
		// would only take the task from others.
		return unavailable, false
	}
	if now.Sub(s.cancellationsConfirmedUntil(time.Now())) > s.set.HeartbeatGrace() {
		// A user may have been answered that a job is cancelled, and every answer to a heartbeat renews
		// the lease of tasks that must then end.
		return s.redirect(hb.Machine, now), false
	}
	if s.records().MachinePhase(hb.Machine) == ledger.Terminated {
		return unavailable, false // a heartbeat from before the machine was terminated
	}
	return HeartbeatAnswer{}, true
}

// cancellationsConfirmedUntil is the time up to which the records hold every cancellation that a user was
// answered: the last sync with the state service or, during an outage, the time up to which every peer
// has confirmed that it answered none that these records lack. It needs the cache's lock.
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

// chooseToken chooses the fencing token to command a worker under: the one used so far while the worker
// has seen no higher one, else a newer one of this controller, for which it may wait with the cache's lock
// released. A worker that seems unreachable is to show a token that it has not seen before; that one is
// requested but not waited for. ok is false if ctx ended first.
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
