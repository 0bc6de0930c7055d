package placement_test

import (
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
)

// TestImageCacheEvictsLeastRecentlyUsed verifies that a full cache evicts the least recently used
// image, and that a fetch is counted until it exceeds the maximum age.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	images := placement.NewImageCache(10)
	images.RecordUse("a", 4)
	images.RecordUse("b", 4)
	images.RecordUse("a", 4)
	images.RecordUse("c", 4)
	if images.Has("b") || !images.Has("a") || !images.Has("c") {
		t.Errorf("cached images: %v, want a and c", images.Names())
	}
	images.StartFetch("d", start)
	if n := images.ActiveFetches(start.Add(time.Minute), time.Minute); n != 1 {
		t.Errorf("%d fetches at the maximum age, want 1", n)
	}
	if n := images.ActiveFetches(start.Add(61*time.Second), time.Minute); n != 0 {
		t.Errorf("%d fetches beyond the maximum age, want 0", n)
	}
}
