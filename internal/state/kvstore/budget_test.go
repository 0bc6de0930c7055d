package kvstore

import (
	"math"
	"testing"

	"golang.org/x/time/rate"
)

// TestChangeBudget: the rate grows with each change made, up to most of all changes, and a refusal halves
// it, down to the share.
func TestChangeBudget(t *testing.T) {
	const total, count = 30, 3
	b := newChangeBudget(total, count, 12)
	expect := func(step string, want rate.Limit) {
		t.Helper()
		if got := b.limiter.Limit(); math.Abs(float64(got-want)) > 1e-9 {
			t.Errorf("%s: %v changes a second, want %v", step, got, want)
		}
	}
	expect("at the start", 10)
	b.refused()
	expect("refused at the share", 10)
	b.granted(10)
	expect("10 changes made", 15)
	b.granted(100)
	expect("100 changes made", total*maxChangesShare)
	b.refused()
	expect("refused", total*maxChangesShare/2)
	b.refused()
	expect("refused again", 10)
	if got := newChangeBudget(total, 1, 12); got.maximum != total {
		t.Errorf("alone, at most %v changes a second, want its share of %v", got.maximum, total)
	}
}
