package estimate

import (
	"testing"
	"time"
)

// TestBootTimes checks that a machine is overdue once others requested along with it are up, but not while all are
// late, and that a machine that never comes up is given up after a timeout.
func TestBootTimes(t *testing.T) {
	const nominal = 40 * time.Second
	now := time.Now()
	kind := MachineKind{Type: "g2", Zone: "a"}
	for _, tc := range []struct {
		name           string
		othersAge      time.Duration // how long ago four other machines were requested; 0: no others
		othersBootTime time.Duration
		age            time.Duration
		wantOverdue    bool
		wantGivenUp    bool
	}{
		{"alone", 0, 0, 100 * time.Second, false, false},
		{"alone, far too long", 0, 0, 130 * time.Second, false, true},
		{"the others are up", 90 * time.Second, nominal, 90 * time.Second, true, false},
		{"the others are up, and it is not late yet", 50 * time.Second, nominal, 50 * time.Second, false, false},
		{"only earlier ones are up", 300 * time.Second, nominal, 100 * time.Second, false, false},
		{"all took three times as long", 130 * time.Second, 3 * nominal, 130 * time.Second, false, false},
		{"all are up at once: nominal time still applies", 50 * time.Second, time.Second, 50 * time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b BootTimes
			if tc.othersAge > 0 {
				requestedAt := now.Add(-tc.othersAge)
				for range 4 {
					b.Observe(kind, requestedAt, requestedAt.Add(tc.othersBootTime))
				}
			}
			if got := b.Overdue(kind, now.Add(-tc.age), nominal, now); got != tc.wantOverdue {
				t.Errorf("overdue: got %v, want %v", got, tc.wantOverdue)
			}
			if got := tc.age > b.BootTimeout(kind, nominal); got != tc.wantGivenUp {
				t.Errorf("given up: got %v, want %v", got, tc.wantGivenUp)
			}
		})
	}
}
