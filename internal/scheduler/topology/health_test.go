package topology

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maddermill/wire"
)

// hall is a fleet whose machines report every 3 s while they are heard.
type hall struct {
	t     *testing.T
	tree  *Tree
	h     *Health
	now   time.Time
	began time.Time // in touch since
	at    map[string][]MachineHeartbeat
	mute  map[string]int // machines of a block that are not heard
	log   []string
}

func newHall(t *testing.T) *hall {
	t.Helper()
	tree := testTree(t, 2, 2)
	x := &hall{
		t:     t,
		tree:  tree,
		h:     NewHealth(tree, 8*time.Second),
		now:   time.Unix(1000, 0),
		began: time.Unix(0, 0),
		at:    map[string][]MachineHeartbeat{},
		mute:  map[string]int{},
	}
	for _, b := range tree.Blocks() {
		if tree.blocks[b].level == 2 {
			for range 4 {
				x.at[tree.Name(b)] = append(x.at[tree.Name(b)], MachineHeartbeat{b, x.now})
			}
		}
	}
	return x
}

// pass lets seconds pass, with a judgement each, and logs what changes.
func (x *hall) pass(seconds int) {
	for range seconds {
		x.now = x.now.Add(time.Second)
		var all []MachineHeartbeat
		for name, list := range x.at {
			for i := range list {
				if i >= x.mute[name] && (x.now.Unix()+int64(i))%3 == 0 {
					list[i].At = x.now
				}
			}
			all = append(all, list...)
		}
		for _, v := range x.h.DetectFailedBlocks(x.now, x.began, all) {
			what := "up"
			if v.Down {
				what = "down"
			}
			x.log = append(x.log, fmt.Sprintf("%s %s", x.tree.Path(v.Block), what))
		}
	}
}

func (x *hall) want(what string, log ...string) {
	x.t.Helper()
	if strings.Join(x.log, ", ") != strings.Join(log, ", ") {
		x.t.Errorf("%s: %q, want %q", what, x.log, log)
	}
	x.log = nil
}

// TestSwitchFails: a switch of eight machines falls silent: one verdict for the switch, none
// for its racks or its zone. Half of it coming back is evidence enough, after a rest.
func TestSwitchFails(t *testing.T) {
	x := newHall(t)
	x.pass(30)
	x.want("a quiet hall")
	x.mute = map[string]int{"r0-0-0": 4, "r0-0-1": 4}
	x.pass(15)
	x.want("a switch dies", "a/s0-0 down")
	rack, _ := x.tree.ByPath("a/s0-0/r0-0-1")
	if other, _ := x.tree.ByPath("a/s0-1/r0-1-0"); !x.h.Down(rack) || x.h.Down(other) {
		t.Error("what is in the switch is down with it, and nothing else")
	}
	x.mute = map[string]int{"r0-0-0": 4, "r0-0-1": 1}
	x.pass(60)
	x.want("three of eight are back")
	x.mute = map[string]int{"r0-0-0": 3, "r0-0-1": 1}
	x.pass(7)
	x.want("half is back, for a moment")
	x.pass(10)
	x.want("half is back", "a/s0-0 up")
}

// TestFlappingSwitchRestsLonger: each fault doubles the time for which it must be heard.
func TestFlappingSwitchRestsLonger(t *testing.T) {
	x := newHall(t)
	down := func() int {
		x.mute = map[string]int{"r0-0-0": 4, "r0-0-1": 4}
		x.pass(20)
		x.mute = nil
		x.log = nil
		for i := range 200 {
			if x.pass(1); len(x.log) > 0 {
				x.log = nil
				return i
			}
		}
		return 200
	}
	first, second, third := down(), down(), down()
	if first > 12 || second < first*3/2 || third < second*3/2 {
		t.Errorf("used again after %d, %d and %d s", first, second, third)
	}
}

// TestSilenceThatIsNotABlocks: the observer's own silence, that of nearly all machines, of
// single machines here and there, or one after the other, is nobody's switch.
func TestSilenceThatIsNotABlocks(t *testing.T) {
	x := newHall(t)
	x.pass(5)
	x.mute = map[string]int{"r0-0-0": 4, "r0-0-1": 4, "r0-1-0": 4, "r0-1-1": 4, "r1-0-0": 4, "r1-0-1": 4, "r1-1-0": 4}
	x.pass(30)
	x.want("nearly all are silent")

	x = newHall(t)
	x.pass(5)
	x.mute = map[string]int{"r0-0-0": 1, "r0-1-1": 2, "r1-0-1": 1}
	x.pass(60)
	x.want("some machines fail")

	x = newHall(t)
	x.pass(5)
	for n := 1; n <= 4; n++ {
		x.mute = map[string]int{"r0-0-0": n}
		x.pass(10)
	}
	x.pass(60)
	x.want("a rack's machines fail in turn over half a minute")

	x = newHall(t)
	x.pass(5)
	x.mute = map[string]int{"r0-0-0": 4, "r0-0-1": 4}
	x.pass(5)
	x.began = x.now // it was out of touch itself
	x.pass(7)
	x.want("the observer was out of touch")
	x.pass(10)
	x.want("it is in touch, and the switch is still silent", "a/s0-0 down")
}

// TestGangsThatLoseMates: a block whose machines answer is avoided once several gangs lost
// mates there, for a time; one gang, however often, is not enough.
func TestGangsThatLoseMates(t *testing.T) {
	x := newHall(t)
	s, _ := x.tree.ByPath("a/s0-0")
	for i := range 10 {
		x.h.ObservePartition(s, "wk-000001", x.now.Add(time.Duration(i)*time.Second))
	}
	x.pass(20)
	x.want("one gang")
	for i := range 3 {
		x.h.ObservePartition(s, wire.JobID(fmt.Sprintf("wk-%06d", i)), x.now)
	}
	x.pass(2)
	x.want("three gangs", "a/s0-0 down")
	x.pass(100)
	x.want("while it rests")
	x.pass(30)
	x.want("after its rest", "a/s0-0 up")
}

// TestBlockWhoseMachinesLeft: once all of a failed block's machines have been returned
// nothing speaks for or against it, and after a while it is used again.
func TestBlockWhoseMachinesLeft(t *testing.T) {
	x := newHall(t)
	x.pass(5)
	x.mute = map[string]int{"r0-0-0": 4}
	x.pass(15)
	x.want("a rack dies", "a/s0-0/r0-0-0 down")
	delete(x.at, "r0-0-0")
	x.pass(500)
	x.want("its machines have left")
	x.pass(200)
	x.want("much later", "a/s0-0/r0-0-0 up")
}
