package leader

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/state/watchcache"

	"maddermill/internal/settings"
	"maddermill/wire"
)

// TestSilenceDuringOwnPauseIsIgnored checks that a leader whose process was paused does not terminate machines
// whose heartbeats it could not receive during the pause. A read of the store may complete first after the
// pause, so that the leader appears to have been in sync all along.
func TestSilenceDuringOwnPauseIsIgnored(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name         string
		lastRan      time.Duration // how long ago the process last ran
		runningSince time.Duration // how long ago the process resumed after a pause; 0: never paused
		lost         bool
	}{
		{"never paused", 0, 0, true},
		{"paused until now", time.Minute, 0, false},
		{"paused until 5 s ago", 0, 5 * time.Second, false},
		{"paused until a minute ago", 0, time.Minute, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLeader(t)
			watchcache.SetStateForTest(t, l.Cache, 0, now)
			membership.SetLastRanForTest(t, l.Membership, now.Add(-tc.lastRan))
			if tc.runningSince > 0 {
				membership.SetLastRanForTest(t, l.Membership, now.Add(-tc.runningSince-time.Minute))
				for at := now.Add(-tc.runningSince); at.Before(now); at = at.Add(time.Second) {
					l.Membership.RunningSince(at)
				}
			}
			active := newTerm(l, nil, 0)
			active.startedAt = now.Add(-time.Hour)
			active.observingSince = now.Add(-time.Hour)
			active.machines["host-1"] = &machine{
				ListedMachine: wire.ListedMachine{ID: "host-1", Zone: "a"},
				lastHeartbeat: now.Add(-40 * time.Second),
				reportsTo:     "m-0",
			}
			active.terminateUnhealthy(now)
			if got := len(active.phaseChanges) > 0; got != tc.lost {
				t.Errorf("terminated as lost: got %v, want %v", got, tc.lost)
			}
		})
	}
}

// TestShareOfFaultyReturnsIsBounded checks that at most a fraction of a kind's machines is terminated as faulty
// within faultyReturnWindow, no matter how many are faulty, and that repeated steps select the same machines.
func TestShareOfFaultyReturnsIsBounded(t *testing.T) {
	const machines, faulty, want = 30, 9, 3
	l := newTestLeader(t)
	l.set.Operators.Quarantine = settings.Quarantine{On: true, MaxFaultyShare: 0.1}
	active := newTerm(l, nil, 0)
	for i := range machines {
		id := wire.MachineID(fmt.Sprint("host-", i))
		active.machines[id] = &machine{
			ListedMachine: wire.ListedMachine{ID: id, Type: "g2", Zone: "a"},
			faulty:        i < faulty,
		}
	}
	returned := func(now time.Time) (n int) {
		for _, m := range active.machines {
			if m.faulty && active.allowFaultyReturn(m, now) {
				n++
			}
		}
		return n
	}
	now := time.Now()
	for step := range 3 {
		if got := returned(now); got != want {
			t.Errorf("step %d: got %d of %d returned, want %d", step, got, machines, want)
		}
	}
	if got := returned(now.Add(faultyReturnWindow + time.Minute)); got != want {
		t.Errorf("after the window: got %d of %d returned, want %d", got, machines, want)
	}
}
