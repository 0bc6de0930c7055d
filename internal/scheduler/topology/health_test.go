package topology

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maddermill/wire"
)

// fleet simulates machines that send a heartbeat every 3 s unless they are silent.
type fleet struct {
	t              *testing.T
	tree           *Tree
	health         *Health
	now            time.Time
	connectedSince time.Time // of the observer
	heartbeats     map[string][]MachineHeartbeat
	silent         map[string]int // number of silent machines by block
	log            []string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	tree := testTree(t, 2, 2)
	f := &fleet{
		t:              t,
		tree:           tree,
		health:         NewHealth(tree, 8*time.Second),
		now:            time.Unix(1000, 0),
		connectedSince: time.Unix(0, 0),
		heartbeats:     map[string][]MachineHeartbeat{},
		silent:         map[string]int{},
	}
	for _, b := range tree.Blocks() {
		if tree.blocks[b].level == 2 {
			for range 4 {
				f.heartbeats[tree.Name(b)] = append(f.heartbeats[tree.Name(b)], MachineHeartbeat{b, f.now})
			}
		}
	}
	return f
}

// advance moves the time forward, evaluates the blocks every second and logs the changes.
func (f *fleet) advance(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		var all []MachineHeartbeat
		for name, list := range f.heartbeats {
			for i := range list {
				if i >= f.silent[name] && (f.now.Unix()+int64(i))%3 == 0 {
					list[i].At = f.now
				}
			}
			all = append(all, list...)
		}
		for _, v := range f.health.DetectFailedBlocks(f.now, f.connectedSince, all) {
			what := "up"
			if v.Down {
				what = "down"
			}
			f.log = append(f.log, fmt.Sprintf("%s %s", f.tree.Path(v.Block), what))
		}
	}
}

// expectChanges compares the logged changes with those expected, and clears the log.
func (f *fleet) expectChanges(what string, log ...string) {
	f.t.Helper()
	if strings.Join(f.log, ", ") != strings.Join(log, ", ") {
		f.t.Errorf("%s: got %q, want %q", what, f.log, log)
	}
	f.log = nil
}

// TestSwitchFails checks that when all eight machines of a switch fall silent, the switch alone is reported as failed,
// not its racks or its zone, and that it is up again once half of its machines have been reachable for the recovery
// time.
func TestSwitchFails(t *testing.T) {
	f := newFleet(t)
	f.advance(30)
	f.expectChanges("no failures")
	f.silent = map[string]int{"r0-0-0": 4, "r0-0-1": 4}
	f.advance(15)
	f.expectChanges("a switch fails", "a/s0-0 down")
	rack, _ := f.tree.ByPath("a/s0-0/r0-0-1")
	if other, _ := f.tree.ByPath("a/s0-1/r0-1-0"); !f.health.Down(rack) || f.health.Down(other) {
		t.Error("want the blocks within the switch down, and no others")
	}
	f.silent = map[string]int{"r0-0-0": 4, "r0-0-1": 1}
	f.advance(60)
	f.expectChanges("three of eight machines are reachable again")
	f.silent = map[string]int{"r0-0-0": 3, "r0-0-1": 1}
	f.advance(7)
	f.expectChanges("half is reachable again, for less than the recovery time")
	f.advance(10)
	f.expectChanges("half is reachable again", "a/s0-0 up")
}

// TestFlappingSwitchRecoversLater checks that each fault doubles the time for which a switch's machines must be
// reachable before it is up again.
func TestFlappingSwitchRecoversLater(t *testing.T) {
	f := newFleet(t)
	recoverySeconds := func() int {
		f.silent = map[string]int{"r0-0-0": 4, "r0-0-1": 4}
		f.advance(20)
		f.silent = nil
		f.log = nil
		for i := range 200 {
			if f.advance(1); len(f.log) > 0 {
				f.log = nil
				return i
			}
		}
		return 200
	}
	first, second, third := recoverySeconds(), recoverySeconds(), recoverySeconds()
	if first > 12 || second < first*3/2 || third < second*3/2 {
		t.Errorf("recovered after %d, %d and %d s, want growing times", first, second, third)
	}
}

// TestSilenceThatIsNotABlocks checks that no block is reported as failed when the observer itself was disconnected,
// when nearly all machines are silent, when single machines in several blocks are, or when machines of a block fail one
// after another.
func TestSilenceThatIsNotABlocks(t *testing.T) {
	f := newFleet(t)
	f.advance(5)
	f.silent = map[string]int{"r0-0-0": 4, "r0-0-1": 4, "r0-1-0": 4, "r0-1-1": 4, "r1-0-0": 4, "r1-0-1": 4, "r1-1-0": 4}
	f.advance(30)
	f.expectChanges("nearly all are silent")

	f = newFleet(t)
	f.advance(5)
	f.silent = map[string]int{"r0-0-0": 1, "r0-1-1": 2, "r1-0-1": 1}
	f.advance(60)
	f.expectChanges("some machines fail")

	f = newFleet(t)
	f.advance(5)
	for n := 1; n <= 4; n++ {
		f.silent = map[string]int{"r0-0-0": n}
		f.advance(10)
	}
	f.advance(60)
	f.expectChanges("a rack's machines fail in turn over half a minute")

	f = newFleet(t)
	f.advance(5)
	f.silent = map[string]int{"r0-0-0": 4, "r0-0-1": 4}
	f.advance(5)
	f.connectedSince = f.now // the observer was disconnected until now
	f.advance(7)
	f.expectChanges("the observer was disconnected")
	f.advance(10)
	f.expectChanges("the observer is connected, and the switch is still silent", "a/s0-0 down")
}

// TestPartitionedGangsFailBlock checks that a block whose machines are reachable is down for some time once several
// gangs lost peers in it. Repeated losses by one gang are not enough.
func TestPartitionedGangsFailBlock(t *testing.T) {
	f := newFleet(t)
	s, _ := f.tree.ByPath("a/s0-0")
	for i := range 10 {
		f.health.ObservePartition(s, "wk-000001", f.now.Add(time.Duration(i)*time.Second))
	}
	f.advance(20)
	f.expectChanges("one gang")
	for i := range 3 {
		f.health.ObservePartition(s, wire.JobID(fmt.Sprintf("wk-%06d", i)), f.now)
	}
	f.advance(2)
	f.expectChanges("three gangs", "a/s0-0 down")
	f.advance(100)
	f.expectChanges("during the backoff")
	f.advance(30)
	f.expectChanges("after the backoff", "a/s0-0 up")
}

// TestBlockWhoseMachinesLeft checks that a failed block all of whose machines have left is up again after
// forgetFaultsAfter, since there is no evidence for or against it.
func TestBlockWhoseMachinesLeft(t *testing.T) {
	f := newFleet(t)
	f.advance(5)
	f.silent = map[string]int{"r0-0-0": 4}
	f.advance(15)
	f.expectChanges("a rack fails", "a/s0-0/r0-0-0 down")
	delete(f.heartbeats, "r0-0-0")
	f.advance(500)
	f.expectChanges("its machines have left")
	f.advance(200)
	f.expectChanges("much later", "a/s0-0/r0-0-0 up")
}
