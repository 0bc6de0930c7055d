package estimate

import (
	"testing"
	"time"
)

// TestBootTimes: a machine is overdue once those requested with it are up, not while all are late; one that
// never comes up is given up.
func TestBootTimes(t *testing.T) {
	const stated = 40 * time.Second
	now := time.Now()
	kind := Kind{Type: "g2", Zone: "a"}
	for _, tc := range []struct {
		name           string
		othersAge      time.Duration // how long ago four others were requested, 0: there are none
		othersBootTime time.Duration
		age            time.Duration
		wantOverdue    bool
		wantGivenUp    bool
	}{
		{"alone", 0, 0, 100 * time.Second, false, false},
		{"alone, far too long", 0, 0, 130 * time.Second, false, true},
		{"the others are up", 90 * time.Second, stated, 90 * time.Second, true, false},
		{"the others are up, and it is young", 50 * time.Second, stated, 50 * time.Second, false, false},
		{"only earlier ones are up", 300 * time.Second, stated, 100 * time.Second, false, false},
		{"all took three times as long", 130 * time.Second, 3 * stated, 130 * time.Second, false, false},
		{"all are up at once: the stated time still holds", 50 * time.Second, time.Second, 50 * time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b BootTimes
			if tc.othersAge > 0 {
				requestedAt := now.Add(-tc.othersAge)
				for range 4 {
					b.Observe(kind, requestedAt, requestedAt.Add(tc.othersBootTime))
				}
			}
			if got := b.Overdue(kind, now.Add(-tc.age), stated, now); got != tc.wantOverdue {
				t.Errorf("overdue: got %v, want %v", got, tc.wantOverdue)
			}
			if got := tc.age > b.BootTimeout(kind, stated); got != tc.wantGivenUp {
				t.Errorf("given up: got %v, want %v", got, tc.wantGivenUp)
			}
		})
	}
}
