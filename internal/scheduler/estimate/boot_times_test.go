package estimate

import (
	"testing"
	"time"
)

// TestBoots: a machine is overdue once those rented with it are up, not while all are
// late; one that never comes is given up.
func TestBoots(t *testing.T) {
	now := time.Now()
	const stated = 40 * time.Second
	kind := Kind{"g2", "a"}
	for _, tc := range []struct {
		name    string
		others  []time.Duration // how long ago others were rented, each up after took
		took    time.Duration
		age     time.Duration
		overdue bool
		givenUp bool
	}{
		{"alone", nil, 0, 100 * time.Second, false, false},
		{"alone, far too long", nil, 0, 130 * time.Second, false, true},
		{"the others are up", []time.Duration{90 * time.Second, 90 * time.Second, 90 * time.Second, 90 * time.Second}, stated, 90 * time.Second, true, false},
		{"the others are up, and it is young", []time.Duration{50 * time.Second, 50 * time.Second, 50 * time.Second, 50 * time.Second}, stated, 50 * time.Second, false, false},
		{"only earlier ones are up", []time.Duration{300 * time.Second, 300 * time.Second, 300 * time.Second, 300 * time.Second}, stated, 100 * time.Second, false, false},
		{"all took three times as long", []time.Duration{130 * time.Second, 130 * time.Second, 130 * time.Second, 130 * time.Second}, 3 * stated, 130 * time.Second, false, false},
		{"all are up at once: the stated time still holds", []time.Duration{50 * time.Second, 50 * time.Second, 50 * time.Second, 50 * time.Second}, time.Second, 50 * time.Second, false, false},
	} {
		var b BootTimes
		for _, ago := range tc.others {
			b.Observe(kind, now.Add(-ago), now.Add(tc.took-ago))
		}
		if got := b.Overdue(kind, now.Add(-tc.age), stated, now); got != tc.overdue {
			t.Errorf("%s: overdue %v", tc.name, got)
		}
		if got := tc.age > b.BootTimeout(kind, stated); got != tc.givenUp {
			t.Errorf("%s: given up %v", tc.name, got)
		}
	}
}
