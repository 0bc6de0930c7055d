package membership

import (
	"context"
	"time"

	"maddermill/internal/wait"
)

// A process may be paused for seconds or minutes while its clocks continue. Afterwards, queued messages
// and earlier decisions are stale, and missing messages from that time say nothing about their senders. A
// pause is detected as a gap between two periodic checks.
const (
	pauseCheckInterval = 250 * time.Millisecond
	minPause           = 2 * time.Second        // longer gaps between two checks are pauses
	recentPausePeriod  = 500 * time.Millisecond // after a pause, when requests may be as old as the pause
	maxSilenceSyncAge  = 3 * time.Second        // maximum age of the last sync for silence to count
)

// pauseDetector determines since when this process has run without a pause. It is not safe for concurrent
// use.
type pauseDetector struct {
	lastRan      time.Time // when the process last called check; zero before the first call
	runningSince time.Time // end of the last pause; zero if there was none
}

// check records that the process is running now. It returns the gap since the previous check if that gap
// is a pause, else 0.
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

// DetectPauses checks for pauses of this process periodically until ctx ends.
func (m *Membership) DetectPauses(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, pauseCheckInterval)
		m.RunningSince(time.Now())
	}
	return ctx.Err()
}

// RunningSince returns the time since which the process has run without a pause, or zero if there was no
// pause since its start. Call it before every decision that depends on elapsed time: after a pause, the
// caller may run before the goroutine of DetectPauses.
func (m *Membership) RunningSince(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pause := m.pauses.check(now); pause > 0 {
		m.log.Warn("process paused", "seconds", pause.Seconds())
		m.stats.Add("standstills_total", 1)
	}
	return m.pauses.runningSince
}

// RecentlyPaused reports whether a pause ended less than recentPausePeriod ago. A request that is read now
// may have been queued throughout that pause.
func (m *Membership) RecentlyPaused(now time.Time) bool {
	since := m.RunningSince(now)
	return !since.IsZero() && now.Sub(since) < recentPausePeriod
}

// SilenceCountsFrom returns the time from which missing heartbeats of machines count, given the previous
// such time and the time of the last sync. Silence does not count while this controller was paused or had
// lost contact with the state service. Call it before each evaluation of silence, as a pause may have
// occurred since the previous one.
func (m *Membership) SilenceCountsFrom(since, syncedAt, now time.Time) time.Time {
	if now.Sub(syncedAt) > maxSilenceSyncAge {
		since = now
	}
	if running := m.RunningSince(now); running.After(since) {
		since = running
	}
	return since
}
