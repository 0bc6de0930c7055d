package estimate

import (
	"testing"
	"time"
)

// TestSpotReclaims checks that the estimate follows the reclaim rate, stays near the prior with few observations,
// recovers after a burst of reclaims, and doesn't count the time during which the process was paused.
func TestSpotReclaims(t *testing.T) {
	now := time.Unix(0, 0)
	var s SpotReclaims
	observe := func(machines int, length time.Duration, perHour float64) {
		due := 0.0
		for range int(length / time.Second) {
			now = now.Add(time.Second)
			s.AddMachineTime(machines, now)
			for due += float64(machines) * perHour / 3600; due >= 1; due-- {
				s.RecordReclaim()
			}
		}
	}
	wantBetween := func(what string, low, high float64) {
		t.Helper()
		if got := s.PerHour(); got < low || got > high {
			t.Errorf("%s: got %.2f an hour, want %.1f to %.1f", what, got, low, high)
		}
	}
	wantBetween("nothing observed", 1, 1)
	observe(3, 10*time.Minute, 0)
	wantBetween("three machines and no reclaim", 0.8, 1)
	observe(600, 10*time.Minute, 15)
	wantBetween("many reclaims", 11, 15)
	before := s.machineHours
	now = now.Add(time.Hour)
	s.AddMachineTime(600, now)
	if s.machineHours > before {
		t.Errorf("after a pause of an hour: got %.1f machine hours, want at most %.1f", s.machineHours, before)
	}
	observe(600, 20*time.Minute, 1.8)
	wantBetween("few reclaims again", 1.4, 2.2)
}
