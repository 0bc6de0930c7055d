package estimate

import (
	"testing"
	"time"
)

// TestTakings: the estimate follows how often machines are taken, stays near the usual where few
// were watched, and forgets a wave; a watcher that stood still doesn't count the hours.
func TestTakings(t *testing.T) {
	now := time.Unix(0, 0)
	var e SpotReclaims
	watch := func(machines int, length time.Duration, perHour float64) {
		due := 0.0
		for range int(length / time.Second) {
			now = now.Add(time.Second)
			e.CountMachineTime(machines, now)
			for due += float64(machines) * perHour / 3600; due >= 1; due-- {
				e.Observe()
			}
		}
	}
	near := func(what string, low, high float64) {
		t.Helper()
		if got := e.PerHour(); got < low || got > high {
			t.Errorf("%s: %.2f an hour, want %.1f to %.1f", what, got, low, high)
		}
	}
	near("nothing seen", 1, 1)
	watch(3, 10*time.Minute, 0)
	near("three quiet machines", 0.8, 1)
	watch(600, 10*time.Minute, 15)
	near("many taken", 11, 15)
	before := e.hours
	now = now.Add(time.Hour)
	e.CountMachineTime(600, now)
	if e.hours > before {
		t.Error("an hour of standing still counts as watched")
	}
	watch(600, 20*time.Minute, 1.8)
	near("calm again", 1.4, 2.2)
}
