package membership

import (
	"testing"
	"time"
)

// TestRunningSince checks that a gap of more than minPause between two checks counts as a pause.
func TestRunningSince(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	m := newMembership(t)
	for _, tc := range []struct {
		name   string
		now    time.Time
		want   time.Time
		recent bool
	}{
		{"first check", at(0), time.Time{}, false},
		{"a gap of minPause", at(minPause), time.Time{}, false},
		{"after a pause", at(10 * time.Second), at(10 * time.Second), true},
		{"a moment later", at(10*time.Second + recentPausePeriod - 1), at(10 * time.Second), true},
		{"no longer recent", at(10*time.Second + recentPausePeriod), at(10 * time.Second), false},
		{"an earlier time", at(9 * time.Second), at(10 * time.Second), true},
		{"after another pause", at(20 * time.Second), at(20 * time.Second), true},
	} {
		if got := m.RunningSince(tc.now); !got.Equal(tc.want) {
			t.Errorf("%s: running since %v, want %v", tc.name, got, tc.want)
		}
		if got := m.RecentlyPaused(tc.now); got != tc.recent {
			t.Errorf("%s: recently paused %v, want %v", tc.name, got, tc.recent)
		}
	}
}

// TestSilenceCountsFrom checks that silence does not count while this controller has lost contact with the
// state service, nor before the end of a pause.
func TestSilenceCountsFrom(t *testing.T) {
	start := time.Unix(1000, 0)
	since, now := start, start.Add(time.Minute)
	for _, tc := range []struct {
		name     string
		syncedAt time.Time
		lastRan  time.Time
		want     time.Time
	}{
		{"in contact", now.Add(-maxSilenceSyncAge), now, since},
		{"contact lost", now.Add(-maxSilenceSyncAge - 1), now, now},
		{"paused until now", now, now.Add(-minPause - 1), now},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newMembership(t)
			SetLastRanForTest(t, m, tc.lastRan)
			if got := m.SilenceCountsFrom(since, tc.syncedAt, now); !got.Equal(tc.want) {
				t.Errorf("counts from %v, want %v", got, tc.want)
			}
		})
	}
}
