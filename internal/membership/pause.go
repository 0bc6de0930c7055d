package membership

import (
	"context"
	"time"

	"maddermill/internal/wait"
)

// A process may be paused for seconds or minutes while its clocks run on. What reached it meanwhile is
// old, what it had decided is old, and the silence of others in that time is its own. It finds out by
// how long it has not run.
const (
	pauseCheckInterval = 250 * time.Millisecond
	minPause           = 2 * time.Second        // a longer gap between two checks is a pause
	recentPause        = 500 * time.Millisecond // after a pause, requests may be as old as the pause
	maxSyncAge         = 3 * time.Second        // since the last sync, for the silence of others to count
)

// pauseDetector finds out since when this process has run without a pause. It has no lock.
type pauseDetector struct {
	lastRan      time.Time // when the process was last known to run; zero: not yet
	runningSince time.Time // when the last pause ended; zero: there was none
}

// check notes that the process runs now and returns the gap since it was last known to run if that is a
// pause, else 0.
func (d *pauseDetector) check(now time.Time) (pause time.Duration) {
	if gap := now.Sub(d.lastRan); gap > minPause && !d.lastRan.IsZero() {
		d.runningSince = now
		pause = gap
	}
	if now.After(d.lastRan) {
		d.lastRan = now
	}
	return pause
}

// DetectPauses notes that the process runs, until ctx ends.
func (m *Membership) DetectPauses(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, pauseCheckInterval)
		m.RunningSince(time.Now())
	}
	return ctx.Err()
}

// RunningSince returns since when the process has run without a pause; zero: since its start. Whoever
// judges by time passed calls it first: no goroutine can rely on another to run before it after a
// pause.
func (m *Membership) RunningSince(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pause := m.pauses.check(now); pause > 0 {
		m.log.Warn("process paused", "seconds", pause.Seconds())
		m.stats.Add("standstills_total", 1)
	}
	return m.pauses.runningSince
}

// RecentlyPaused reports whether a pause ended a moment ago, so that a request read now may have waited
// as long as that.
func (m *Membership) RecentlyPaused(now time.Time) bool {
	since := m.RunningSince(now)
	return !since.IsZero() && now.Sub(since) < recentPause
}

// SilenceCountsFrom returns since when the silence of machines counts, given that it did since a time
// and when the last sync was: not while this controller was out of touch with the state service or
// paused. Every judgement of silence calls it anew, since a pause may lie between two.
func (m *Membership) SilenceCountsFrom(since, syncedAt, now time.Time) time.Time {
	if now.Sub(syncedAt) > maxSyncAge {
		since = now
	}
	if running := m.RunningSince(now); running.After(since) {
		since = running
	}
	return since
}
