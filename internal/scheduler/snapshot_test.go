package scheduler_test

import (
	"maddermill/internal/testing/controllertest"
	"testing"
	"time"
)

// TestPassesKeepToTheirShare: a pass over all machines that takes long is made less often,
// so that it takes no more than its part of the controller's share, but never too rarely
// for placement; one of usual length is made each second.
func TestPassesKeepToTheirShare(t *testing.T) {
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
			t.Errorf("share %v, a pass of %v: the next after %v, want %v", tc.share, tc.took, got, tc.want)
		}
	}
}
