package scheduler_test

import (
	"testing"
	"time"

	"maddermill/internal/testing/controllertest"
)

// TestSnapshotIntervalFollowsQuota: a snapshot that takes long to take is taken less often, so that
// it uses no more than its part of the controller's share of a processor, but never too rarely for
// placement; one of usual duration is taken each second.
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
			t.Errorf("share %v, %v to take: the next after %v, want %v", tc.share, tc.took, got, tc.want)
		}
	}
}
