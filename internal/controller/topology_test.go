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

// newControllerWithTopology returns a controller with the topology of topologyText, to which three machines a
// rack report, but for those whose address begins with one of some prefixes.
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

// firstSwitchDown reports whether the first switch of zone a counts as down.
func firstSwitchDown(c *Controller) bool {
	_, up := c.TopologyTracker.Locate("host-011", "127.1.1.1:9000", "a")
	return !up
}

// TestTopologyReload: a changed file is loaded at a signal. A wrong or missing one leaves the topology
// before in force.
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
		signals <- os.Interrupt // by then the first has been dealt with
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
		t.Errorf("wrong file: got %d blocks, want %d", got, before)
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
		t.Errorf("Reload: got error %v, want that of its context", err)
	}
}

// TestPartitionedGangsMarkBlockDown: gangs that lose members while all their machines report are evidence
// against the block that they share, whichever controller saw them. A gang of which a machine fell silent, is
// reclaimed or failed a task, or that was stopped, is none.
func TestPartitionedGangsMarkBlockDown(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		stopped bool                                                                   // the gangs were stopped before
		explain func(c *Controller, j *ledger.Job, w *reconcile.Worker, now time.Time) // makes another reason, if given
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

// checkDownAtPeer checks that a peer that partitions are shared with comes to the same.
func checkDownAtPeer(t *testing.T, partitions []peer.GangPartition, now time.Time) {
	t.Helper()
	c := newControllerWithTopology(t, now)
	c.TopologyTracker.MergePartitions(partitions, now)
	c.TopologyTracker.DetectFailedBlocks(now)
	if !firstSwitchDown(c) {
		t.Error("switch down at a peer: got false, want true")
	}
}

// addGangOverTwoRacks adds the record of a gang with a task in each rack of the first switch.
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

// TestSilentPeerIsNotABlockFailure: machines that report to a controller that is itself silent
// are looking for another one; their silence counts only once they had the time for that.
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
		t.Error("switch down soon after the machines' controller fell silent: got true, want false")
	}
	if !downAfter(30) {
		t.Error("switch down after the machines were silent for long: got false, want true")
	}
}

// TestTopologyView: the view of the topology has each machine in its block, and a gang with the block that
// contains it.
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
		t.Fatal("got no view, want one")
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
