package kvstore

import (
	"math"
	"testing"

	"golang.org/x/time/rate"
)

// TestChangeBudget checks that each successful change raises the rate, up to maxRateShare of the total, and
// that an exceeded limit halves it, down to the fair share.
func TestChangeBudget(t *testing.T) {
	const total, count = 30, 3
	b := newChangeBudget(total, count, 12)
	expect := func(step string, want rate.Limit) {
		t.Helper()
		if got := b.limiter.Limit(); math.Abs(float64(got-want)) > 1e-9 {
			t.Errorf("%s: %v changes per second, want %v", step, got, want)
		}
	}
	expect("initially", 10)
	b.decrease()
	expect("limit exceeded at the fair share", 10)
	b.increase(10)
	expect("after 10 changes", 15)
	b.increase(100)
	expect("after 100 more changes", total*maxRateShare)
	b.decrease()
	expect("limit exceeded", total*maxRateShare/2)
	b.decrease()
	expect("limit exceeded again", 10)
	if got := newChangeBudget(total, 1, 12); got.maxRate != total {
		t.Errorf("single controller: at most %v changes per second, want its share of %v", got.maxRate, total)
	}
}
