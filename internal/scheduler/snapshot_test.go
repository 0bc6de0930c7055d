package scheduler_test

import (
	"testing"
	"time"

	"maddermill/internal/testing/controllertest"
)

// TestSnapshotIntervalFollowsQuota verifies that snapshots that take long are taken less often, so
// that they use no more than their part of the controller's CPU quota, but at least every five
// seconds, and that a snapshot of typical duration is taken every second.
func TestSnapshotIntervalFollowsQuota(t *testing.T) {
	for _, tc := range []struct {
		share      float64
		took, want time.Duration
	}{
		{0.12, 10 * time.Millisecond, time.Second},
		{0.12, 100 * time.Millisecond, 3333 * time.Millisecond},
		{0.12, time.Second, 5 * time.Second},
		{0, 400 * time.Millisecond, 1600 * time.Millisecond}, // no quota
	} {
		p := controllertest.New(t, 0)
		p.Set.Cluster.Quota.CPUShare = tc.share
		if got := p.Scheduler.SnapshotInterval(tc.took).Truncate(time.Millisecond); got != tc.want {
			t.Errorf("CPU share %v, snapshot duration %v: interval %v, want %v", tc.share, tc.took, got, tc.want)
		}
	}
}
