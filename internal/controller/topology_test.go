package controller

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// newControllerWithTopology returns a controller with the topology of topologyText and three registered
// machines per rack, except those whose address begins with one of the prefixes in except.
func newControllerWithTopology(t *testing.T, now time.Time, except ...string) *Controller {
	t.Helper()
	tree, err := topology.Parse([]byte(topologyText()), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	c := newTestController(t)
	c.TopologyTracker.SetTree(tree)
	watchcache.SetStateForTest(t, c.cache, 1, now)
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
				if !slices.ContainsFunc(except, func(prefix string) bool { return strings.HasPrefix(r.Addr, prefix) }) {
					c.registry.Register(r, now).Reconcile(r, nil, 1, now)
				}
			}
		}
	}
	return c
}

// firstSwitchDown reports whether the controller regards the first switch of zone a as down.
func firstSwitchDown(c *Controller) bool {
	_, up := c.TopologyTracker.Locate("host-011", "127.1.1.1:9000", "a")
	return !up
}

// TestTopologyReload checks that a signal reloads the topology file, and that an invalid or missing file leaves
// the previous topology in effect.
func TestTopologyReload(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "topology.txtpb")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(topologyText())
	c := newTestController(t)
	tree, err := topologytracker.Read(path, c.set.Cluster.Zones)
	if err != nil {
		t.Fatal(err)
	}
	c.TopologyTracker.SetTree(tree)
	ctx, cancel := context.WithCancel(t.Context())
	signals, done := make(chan os.Signal), make(chan error)
	go func() { done <- c.TopologyTracker.WatchFile(ctx, path, signals) }()
	reload := func() {
		signals <- os.Interrupt
		signals <- os.Interrupt // accepted only once the first is handled
	}
	blocks := func() int {
		c.cache.Lock()
		defer c.cache.Unlock()
		return len(c.TopologyTracker.Tree().Blocks())
	}
	before := blocks()
	write(strings.Replace(topologyText(), "127.1.1.0/24", "127.1.1.1/24", 1))
	reload()
	if got := blocks(); got != before {
		t.Errorf("invalid file: got %d blocks, want %d", got, before)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	reload()
	if got := blocks(); got != before {
		t.Errorf("missing file: got %d blocks, want %d", got, before)
	}
	write(`level { name: "zone" cost: 1 } block { name: "a" }`)
	reload()
	if got := blocks(); got != 2 {
		t.Errorf("changed file: got %d blocks, want 2", got)
	}
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("Reload: got error %v, want nil or context.Canceled", err)
	}
}

// TestPartitionedGangsMarkBlockDown checks that a block is marked down when gangs that share it lose members
// although all their machines send heartbeats, whichever controller observed this. A gang does not count if one
// of its machines fell silent, is being reclaimed or failed a task, or if the gang was stopped.
func TestPartitionedGangsMarkBlockDown(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		stopped bool                                                                   // before the gangs lost members
		explain func(c *Controller, j *ledger.Job, w *reconcile.Worker, now time.Time) // adds another cause, if given
		down    bool
	}{
		{name: "no other reason", down: true},
		{name: "a machine fell silent", explain: func(_ *Controller, _ *ledger.Job, w *reconcile.Worker, now time.Time) {
			w.LastHeartbeat = now.Add(-time.Minute)
		}},
		{name: "a machine is reclaimed", explain: func(_ *Controller, _ *ledger.Job, w *reconcile.Worker, now time.Time) {
			w.ReclaimAt = now.Add(time.Minute)
		}},
		{name: "a task failed", explain: func(c *Controller, j *ledger.Job, w *reconcile.Worker, now time.Time) {
			c.failures.RecordFailure(j, 0, w.ID, "", now)
		}},
		{name: "stopped", stopped: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now().Add(time.Hour) // long after the topology was declared
			c := newControllerWithTopology(t, now)
			for i := range 3 {
				job := addGangOverTwoRacks(c, i)
				if tc.stopped {
					job.Stop = 1
				}
				c.TopologyTracker.ObservePartition(job, 1, now)
			}
			later := now.Add(2*c.set.HeartbeatTimeout() + time.Second)
			c.registry.Each(func(w *reconcile.Worker) { w.LastHeartbeat = later })
			watchcache.SetStateForTest(t, c.cache, c.cache.Token(), later)
			for i := range 3 {
				if tc.explain != nil {
					worker := c.registry.Worker(wire.MachineID(fmt.Sprintf("host-01%d", i+1)))
					tc.explain(c, c.cache.Records().Job(jobID(i)), worker, later)
				}
			}
			c.TopologyTracker.DetectFailedBlocks(later)
			if got := firstSwitchDown(c); got != tc.down {
				t.Errorf("switch down: got %v, want %v", got, tc.down)
			}
			partitions := c.TopologyTracker.Partitions(later)
			if (len(partitions) == 3) != tc.down {
				t.Errorf("partitions shared with peers: got %v, want three: %v", partitions, tc.down)
			}
			if tc.down {
				checkDownAtPeer(t, partitions, later)
			}
		})
	}
}

// checkDownAtPeer checks that a peer that receives the partitions also marks the first switch down.
func checkDownAtPeer(t *testing.T, partitions []peer.GangPartition, now time.Time) {
	t.Helper()
	c := newControllerWithTopology(t, now)
	c.TopologyTracker.MergePartitions(partitions, now)
	c.TopologyTracker.DetectFailedBlocks(now)
	if !firstSwitchDown(c) {
		t.Error("switch down at a peer: got false, want true")
	}
}

// addGangOverTwoRacks adds the record of a gang with one task in each of the first switch's two racks.
func addGangOverTwoRacks(c *Controller, i int) *ledger.Job {
	const record = `{"spec":{"id":"%s","pieces":2,"shape":"gang","owner":"free","cores":1},"at":1,"a":1,` +
		`"c":[[1,"host-01%d","a",1,1,0,1],[1,"host-02%d","a",1,1,1,1]]}`
	id := jobID(i)
	c.cache.Records().Apply(ledger.Event{
		Key:     "mm1/j/" + string(id),
		Version: wire.Revision(i + 1),
		Value:   fmt.Appendf(nil, record, id, i+1, i+1),
	})
	return c.cache.Records().Job(id)
}

// TestSilentPeerIsNotABlockFailure checks that the machines of a controller that fell silent itself count as
// silent only once they have had time to find another controller.
func TestSilentPeerIsNotABlockFailure(t *testing.T) {
	t.Parallel()
	now := time.Now().Add(time.Hour) // long after the topology was declared
	c := newControllerWithTopology(t, now, "127.1.1.", "127.1.2.")
	status := peer.Status{Version: peer.Version, Member: "m-1", Loaded: true}
	newControllerWithTopology(t, now).registry.Each(func(w *reconcile.Worker) {
		if c.registry.Worker(w.ID) == nil {
			machine := peer.Machine{ID: w.ID, Zone: w.Zone, Endpoint: w.Addr, Epoch: 1, Token: 1}
			status.Machines = append(status.Machines, machine)
		}
	})
	c.mergePeerStatus(peer.Response{Status: status, AsOf: now})
	downAfter := func(seconds int) bool {
		for range seconds {
			now = now.Add(time.Second)
			watchcache.SetStateForTest(t, c.cache, c.cache.Token(), now)
			c.registry.Each(func(w *reconcile.Worker) { w.LastHeartbeat = now })
			c.TopologyTracker.DetectFailedBlocks(now)
		}
		return firstSwitchDown(c)
	}
	if downAfter(int(c.set.HeartbeatTimeout().Seconds() + c.set.HeartbeatGrace().Seconds())) {
		t.Error("switch down soon after the controller of its machines fell silent: got true, want false")
	}
	if !downAfter(30) {
		t.Error("switch down long after its machines fell silent: got false, want true")
	}
}

// TestTopologyView checks that the topology view lists each machine under its block, and a gang with the
// smallest block that contains all its machines.
func TestTopologyView(t *testing.T) {
	t.Parallel()
	now := time.Now()
	c := newControllerWithTopology(t, now)
	c.cache.Records().Apply(ledger.Event{Key: "mm1/j/wk-000001", Version: 1, Value: []byte(
		`{"spec":{"id":"wk-000001","pieces":2,"shape":"gang","owner":"free","cores":1},"at":1,"a":1,` +
			`"c":[[1,"host-011","a",1,1,0,1],[1,"host-021","a",1,1,1,1]]}`,
	)})
	view, ok := c.Topology(now)
	if !ok {
		t.Fatal("got no topology view, want one")
	}
	encoded, err := view.AppendLines(nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := wire.DecodeTopology(encoded)
	if err != nil || len(got.Blocks) != 14 || len(got.Machines) != 24 || len(got.Gangs) != 1 {
		t.Fatalf(
			"got %d blocks, %d machines, %d gangs, error %v; want 14, 24, 1, none",
			len(got.Blocks),
			len(got.Machines),
			len(got.Gangs),
			err,
		)
	}
	if gang := got.Gangs[0]; gang.Block != "a/sa0" || gang.Cost != 2 || len(gang.Machines) != 2 {
		t.Errorf("gang: got %+v, want block a/sa0, cost 2, two machines", gang)
	}
	if block := got.Blocks[1]; block.Path != "a/sa0" || block.Machines != 6 || block.Empty != 4 || block.Down {
		t.Errorf("switch: got %+v, want a/sa0 with 6 machines, 4 empty, not down", block)
	}
}
