package placement_test

import (
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
)

// TestImagesForgetTheLeastRecentlyUsed: a full cache drops the image that was not used for longest,
// and a fetch counts until its age is reached.
func TestImagesForgetTheLeastRecentlyUsed(t *testing.T) {
	images := placement.NewImages(10)
	images.Use("a", 4)
	images.Use("b", 4)
	images.Use("a", 4)
	images.Use("c", 4)
	if images.Has("b") || !images.Has("a") || !images.Has("c") {
		t.Errorf("cached: %v", images.Names())
	}
	images.StartFetch("d", start)
	if n := images.Fetches(start.Add(time.Minute), time.Minute); n != 1 {
		t.Errorf("%d fetches at their greatest age, want 1", n)
	}
	if n := images.Fetches(start.Add(61*time.Second), time.Minute); n != 0 {
		t.Errorf("%d fetches past their greatest age, want 0", n)
	}
}
