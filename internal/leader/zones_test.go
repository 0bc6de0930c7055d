package leader

import (
	"testing"
	"time"

	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// TestSilentZone: nothing is rented in a zone all of whose machines have fallen silent
// while others are heard; not so after a silence that the controller shares, nor for
// one machine, and a machine heard there ends it. On a day with a zone cut off, two
// hundred machines were rented there that could not report.
func TestSilentZone(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name    string
		silent  int // machines in zone b
		settled time.Duration
		later   time.Duration // when one is heard there again, 0: not
		dark    bool
	}{
		{"cut off", 3, time.Minute, 0, true},
		{"too few to judge", 2, time.Minute, 0, false},
		{"our own silence", 3, time.Second, 0, false},
		{"heard again", 3, time.Minute, time.Second, false},
	} {
		c := quiet(t)
		watchcache.SetStateForTest(t, c.Cache, 0, now)
		l := &leader{
			c:       c,
			began:   now.Add(-time.Hour),
			settled: now.Add(-tc.settled),
			units:   map[wire.MachineID]*unit{},
			dark:    map[wire.Zone]time.Time{},
		}
		add := func(id wire.MachineID, z wire.Zone, heard time.Time) {
			l.units[id] = &unit{ListedMachine: wire.ListedMachine{ID: id, Zone: z}, heard: heard}
		}
		for _, id := range []wire.MachineID{"a1", "a2", "a3"} {
			add(id, "a", now)
		}
		for _, id := range []wire.MachineID{"b1", "b2", "b3"}[:tc.silent] {
			add(id, "b", now.Add(-20*time.Second))
		}
		l.watchZones(now)
		if tc.later > 0 {
			add("b4", "b", now.Add(tc.later))
			l.watchZones(now.Add(tc.later))
		}
		if got := now.Before(l.dark["b"]); got != tc.dark || now.Before(l.dark["a"]) {
			t.Errorf("%s: left alone %v, want %v", tc.name, got, tc.dark)
		}
	}
}
