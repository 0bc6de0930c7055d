package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestRestartAtEachStep checks crashes of controllers at each step of an election, a takeover, a start, an
// exit, a change of a machine's phase, a scale-out and a scale-in. Controllers restart after 50 ms or 1 s, up
// to twelve times within two minutes, while duplicates of heartbeats, transactions and scale-outs arrive
// later. No invariant may be violated, and every user must get an answer soon after the crashes.
func TestRestartAtEachStep(t *testing.T) {
	t.Parallel()
	crashes := 0
	for n, kind := range []string{
		"leader", "token", "start", "exit", "machine phase", "scale-out record", "scale-out", "scale-in",
	} {
		for m, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					downtime := []time.Duration{50 * time.Millisecond, time.Second}[(n+m)%2]
					r := newRestartScenario(t, uint64(3+n), downtime)
					r.onStep = func(i int, step string) {
						if step == kind+side {
							r.crashAndRestart(i)
						}
					}
					r.runAndCheck(nil)
					crashes += r.crashes
				})
			})
		}
	}
	if crashes < 60 { // not every step occurs in every run
		t.Errorf("got %d crashes in all, want >= 60", crashes)
	}
}

// TestRestartWhileLoading checks controllers that crash repeatedly while they load the records, before the
// first page or between two pages.
func TestRestartWhileLoading(t *testing.T) {
	t.Parallel()
	for _, firstPage := range []bool{true, false} {
		t.Run(fmt.Sprint("first page ", firstPage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRestartScenario(t, 11, 300*time.Millisecond)
				for i, link := range r.links {
					link.Loads = func(first bool) {
						if first == firstPage {
							r.crashAndRestart(i)
						}
					}
				}
				r.maxCrashes = 20
				second := 0
				r.runAndCheck(func() {
					if second++; second%30 == 20 {
						r.crashAndRestart(second / 30 % 3)
					}
				})
			})
		})
	}
}

// TestRestartDuringOutage checks crashes of all controllers during an outage of the state service. It guards
// against a failure in which the load balancer removed all controllers, since they failed health checks until
// they had loaded the records, and users reached no controller for a long time after the outage.
func TestRestartDuringOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newRestartScenario(t, 5, 300*time.Millisecond)
		r.minInterval, r.maxCrashes = 0, 60
		second := 0
		var endOutage func()
		r.runAndCheck(func() {
			switch second++; {
			case second == 60:
				endOutage = r.storeOutage()
			case second == 85:
				endOutage()
			case second > 60 && second < 100 && second%6 == 0:
				for i := range 3 {
					r.crashAndRestart(i)
				}
			}
		})
		if r.balancer.Longest > 6*time.Second {
			t.Errorf("longest removal of a controller by the balancer: got %v, want <= 6s", r.balancer.Longest)
		}
	})
}
