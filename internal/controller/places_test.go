package controller

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// inHall is a controller that holds the machines of the made-up hall, three a rack, but
// for those on some networks.
func inHall(t *testing.T, now time.Time, elsewhere ...string) *Controller {
	t.Helper()
	tree, err := topology.Parse([]byte(hallText()), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	c := quietCore(t, 0)
	c.TopologyTracker.Set(tree)
	c.cache.SetForTest(1, now)
	for z, zone := range []wire.Zone{"a", "b"} {
		for rack := 1; rack <= 4; rack++ {
			for m := 1; m <= 3; m++ {
				id := wire.MachineID(fmt.Sprintf("host-%d%d%d", z, rack, m))
				r := &wire.Heartbeat{
					Machine:      id,
					Addr:         fmt.Sprintf("127.%d.%d.%d:9000", z+1, rack, m),
					Type:         "g2",
					Zone:         zone,
					Epoch:        1,
					Sequence:     1,
					FencingToken: 1,
				}
				if !slices.ContainsFunc(elsewhere, func(net string) bool { return strings.HasPrefix(r.Addr, net) }) {
					c.registry.Register(r, now).Reconcile(r, nil, 1, now)
				}
			}
		}
	}
	return c
}

// isDown reports whether the first switch of zone a is avoided.
func isDown(c *Controller) bool {
	_, up := c.TopologyTracker.Locate("host-011", "127.1.1.1:9000", "a")
	return !up
}

// TestTopologyIsReadAgain: a changed file is taken over, also when told to; a wrong or missing
// one leaves the one before in force.
func TestTopologyIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hall.txtpb")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(hallText())
	c := quietCore(t, 0)
	tree, err := topologytracker.Read(path, c.set.Cluster.Zones)
	if err != nil {
		t.Fatal(err)
	}
	c.TopologyTracker.Set(tree)
	ctx, cancel := context.WithCancel(t.Context())
	again, done := make(chan os.Signal), make(chan error)
	go func() { done <- c.TopologyTracker.Reload(ctx, path, again) }()
	blocks := func() int {
		c.cache.Lock()
		defer c.cache.Unlock()
		return len(c.TopologyTracker.Tree().Blocks())
	}
	before := blocks()
	write(strings.Replace(hallText(), "127.1.1.0/24", "127.1.1.1/24", 1))
	again <- os.Interrupt
	again <- os.Interrupt // the first has been dealt with
	if blocks() != before {
		t.Error("a wrong file is taken")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	again <- os.Interrupt
	again <- os.Interrupt
	if blocks() != before {
		t.Error("no file is taken for an empty one")
	}
	write(`level { name: "zone" cost: 1 } block { name: "a" }`)
	again <- os.Interrupt
	again <- os.Interrupt
	if blocks() != 2 {
		t.Errorf("%d blocks after the file changed", blocks())
	}
	cancel()
	<-done
}

// TestGangsThatPartAreTheirBlocks: gangs that lose mates while all their machines answer speak
// against the block that they share, wherever they were seen; one whose machine fell silent,
// is taken back or that was told to stop does not.
func TestGangsThatPartAreTheirBlocks(t *testing.T) {
	for _, tc := range []struct {
		name    string
		explain func(c *Controller, j *ledger.Job, w *reconcile.Worker, now time.Time)
		down    bool
	}{
		{"no other reason", func(*Controller, *ledger.Job, *reconcile.Worker, time.Time) {}, true},
		{"a machine fell silent", func(_ *Controller, _ *ledger.Job, w *reconcile.Worker, now time.Time) {
			w.LastHeartbeat = now.Add(-time.Minute)
		}, false},
		{"a machine is taken back", func(_ *Controller, _ *ledger.Job, w *reconcile.Worker, now time.Time) {
			w.ReclaimAt = now.Add(time.Minute)
		}, false},
		{"a task failed", func(c *Controller, j *ledger.Job, w *reconcile.Worker, now time.Time) {
			c.failures.Failed(j, 0, w.ID, "", now)
		}, false},
		{"told to stop", func(_ *Controller, j *ledger.Job, _ *reconcile.Worker, _ time.Time) { j.Stop = 1 }, false},
	} {
		now := time.Now().Add(time.Hour) // long after the hall was declared
		c := inHall(t, now)
		for i := range 3 { // gangs over the two racks of a switch
			id := fmt.Sprintf("wk-%06d", i)
			c.cache.Records().Apply(ledger.Event{Key: "mm1/j/" + id, Version: wire.Revision(i + 1), Value: []byte(fmt.Sprintf(
				`{"spec":{"id":"%s","pieces":2,"shape":"gang","owner":"free","cores":1},"at":1,"a":1,"c":[[1,"host-01%d","a",1,1,0,1],[1,"host-02%d","a",1,1,1,1]]}`,
				id,
				i+1,
				i+1,
			))})
			j := c.cache.Records().Job(wire.JobID(id))
			if tc.name == "told to stop" {
				tc.explain(c, j, nil, now)
			}
			c.TopologyTracker.ObservePartition(j, 1, now)
		}
		later := now.Add(2*c.set.SilentAfter() + time.Second)
		c.registry.Each(func(w *reconcile.Worker) { w.LastHeartbeat = later })
		c.cache.SetForTest(c.cache.Token(), later)
		for i := range 3 {
			id := wire.JobID(fmt.Sprintf("wk-%06d", i))
			tc.explain(c, c.cache.Records().Job(id), c.registry.Worker(wire.MachineID(fmt.Sprintf("host-01%d", i+1))), later)
		}
		c.TopologyTracker.DetectFailedBlocks(later)
		if isDown(c) != tc.down {
			t.Errorf("%s: down %v", tc.name, !tc.down)
		}
		if told := c.TopologyTracker.Partitions(later); (len(told) == 3) != tc.down {
			t.Errorf("%s: peers are told of %v", tc.name, told)
		}
		if tc.down { // a peer that hears of them comes to the same
			o := inHall(t, later)
			o.TopologyTracker.MergePartitions(c.TopologyTracker.Partitions(later), later)
			o.TopologyTracker.DetectFailedBlocks(later)
			if !isDown(o) {
				t.Error("a peer does not avoid the block")
			}
		}
	}
}

// TestMachinesOfASilentPeerAreNotABlock: machines that report to a controller that is itself
// silent are looking for another one; their silence counts only once they had the time.
func TestMachinesOfASilentPeerAreNotABlock(t *testing.T) {
	now := time.Now().Add(time.Hour) // long after the hall was declared
	c := inHall(t, now, "127.1.1.", "127.1.2.")
	p := peer.Status{Version: peer.Version, Member: "m-1", Loaded: true}
	inHall(t, now).registry.Each(func(w *reconcile.Worker) {
		if c.registry.Worker(w.ID) == nil {
			p.Machines = append(p.Machines, peer.Machine{ID: w.ID, Zone: w.Zone, Endpoint: w.Addr, Session: 1, Token: 1})
		}
	})
	c.heardPeer(peer.Answer{Status: p, AsOf: now})
	pass := func(seconds int) (down bool) {
		for range seconds {
			now = now.Add(time.Second)
			c.cache.SetForTest(c.cache.Token(), now)
			c.registry.Each(func(w *reconcile.Worker) { w.LastHeartbeat = now })
			c.TopologyTracker.DetectFailedBlocks(now)
		}
		return isDown(c)
	}
	if pass(int(c.set.SilentAfter().Seconds() + c.set.HeartbeatGrace().Seconds())) {
		t.Error("a switch is said to have failed with the controller that heard it")
	}
	if !pass(30) {
		t.Error("they are silent for long, and their switch is not said to have failed")
	}
}

// TestTopologyView: what is told of the hall has each machine at its place, and a gang with the
// block that holds it.
func TestTopologyView(t *testing.T) {
	now := time.Now()
	c := inHall(t, now)
	c.cache.Records().Apply(ledger.Event{Key: "mm1/j/wk-000001", Version: 1, Value: []byte(
		`{"spec":{"id":"wk-000001","pieces":2,"shape":"gang","owner":"free","cores":1},"at":1,"a":1,"c":[[1,"host-011","a",1,1,0,1],[1,"host-021","a",1,1,1,1]]}`,
	)})
	v, ok := c.Topology(now)
	if !ok {
		t.Fatal("nothing is told")
	}
	b, err := v.AppendLines(nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := wire.DecodeTopology(b)
	if err != nil || len(got.Blocks) != 14 || len(got.Machines) != 24 || len(got.Gangs) != 1 {
		t.Fatalf("%d blocks, %d machines, %d gangs, %v", len(got.Blocks), len(got.Machines), len(got.Gangs), err)
	}
	if g := got.Gangs[0]; g.Block != "a/sa0" || g.Cost != 2 || len(g.Machines) != 2 {
		t.Errorf("the gang is told as %+v", g)
	}
	if s := got.Blocks[1]; s.Path != "a/sa0" || s.Machines != 6 || s.Empty != 4 || s.Down {
		t.Errorf("its switch is told as %+v", s)
	}
}
