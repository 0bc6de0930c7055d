package controller

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/mesh"
	"maddermill/internal/topology"
	"maddermill/internal/workers"
	"maddermill/wire"
)

// inHall is a controller that holds the machines of the made-up hall, three a rack, each of
// them in a gang with the next one of its rack.
func inHall(t *testing.T, now time.Time) *Core {
	t.Helper()
	tree, err := topology.Parse([]byte(hallText()), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	c := quietCore(t, 0)
	c.SetTopology(tree)
	c.loaded, c.token, c.contact = true, 1, now
	c.places.settled = now.Add(-time.Hour)
	for z, zone := range []wire.Zone{"a", "b"} {
		for rack := 1; rack <= 4; rack++ {
			for m := 1; m <= 3; m++ {
				id := wire.MachineID(fmt.Sprintf("host-%d%d%d", z, rack, m))
				r := &wire.Report{Machine: id, Addr: fmt.Sprintf("127.%d.%d.%d:9000", z+1, rack, m), Type: "g2", Zone: zone, Session: 1, Tally: 1, Token: 1}
				w := workers.NewWorker(r, now)
				w.Take(r, nil, 1, now)
				c.workers[id] = w
			}
		}
	}
	return c
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
	tree, err := ReadTopology(path, c.set.Cluster.Zones)
	if err != nil {
		t.Fatal(err)
	}
	c.SetTopology(tree)
	ctx, cancel := context.WithCancel(t.Context())
	again, done := make(chan os.Signal), make(chan error)
	go func() { done <- c.WatchTopology(ctx, path, again) }()
	blocks := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.places.tree.Blocks())
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
		explain func(c *Core, j *ledger.Job, w *workers.Worker, now time.Time)
		down    bool
	}{
		{"no other reason", func(*Core, *ledger.Job, *workers.Worker, time.Time) {}, true},
		{"a machine fell silent", func(_ *Core, _ *ledger.Job, w *workers.Worker, now time.Time) { w.Heard = now.Add(-time.Minute) }, false},
		{"a machine is taken back", func(_ *Core, _ *ledger.Job, w *workers.Worker, now time.Time) { w.Recall = now.Add(time.Minute) }, false},
		{"a task failed", func(c *Core, j *ledger.Job, w *workers.Worker, now time.Time) { c.notes(j.ID).failures.note(w.ID, now) }, false},
		{"told to stop", func(_ *Core, j *ledger.Job, _ *workers.Worker, _ time.Time) { j.Stop = 1 }, false},
	} {
		now := time.Now()
		c := inHall(t, now)
		for i := range 3 { // gangs over the two racks of a switch
			id := fmt.Sprintf("wk-%06d", i)
			c.led.Apply(ledger.Event{Key: "mm1/j/" + id, Version: wire.Revision(i + 1), Value: []byte(fmt.Sprintf(
				`{"spec":{"id":"%s","pieces":2,"shape":"gang","owner":"free","cores":1},"at":1,"a":1,"c":[[1,"host-01%d","a",1,1,0,1],[1,"host-02%d","a",1,1,1,1]]}`, id, i+1, i+1))})
			j := c.led.Job(wire.JobID(id))
			if tc.name == "told to stop" {
				tc.explain(c, j, nil, now)
			}
			c.parts(j, 1, now)
		}
		later := now.Add(2*c.silentAfter() + time.Second)
		for _, w := range c.workers {
			w.Heard = later
		}
		c.contact = later
		for i := range 3 {
			id := wire.JobID(fmt.Sprintf("wk-%06d", i))
			tc.explain(c, c.led.Job(id), c.workers[wire.MachineID(fmt.Sprintf("host-01%d", i+1))], later)
		}
		c.judgePlaces(later)
		s, _ := c.places.tree.ByPath("a/sa0")
		if c.places.health.Down(s) != tc.down {
			t.Errorf("%s: down %v", tc.name, !tc.down)
		}
		if told := c.partings(later); (len(told) == 3) != tc.down {
			t.Errorf("%s: peers are told of %v", tc.name, told)
		}
		if tc.down { // a peer that hears of them comes to the same
			o := inHall(t, later)
			o.hearPartings(c.partings(later), later)
			o.judgePlaces(later)
			if !o.places.health.Down(s) {
				t.Error("a peer does not avoid the block")
			}
		}
	}
}

// TestMachinesOfASilentPeerAreNotABlock: machines that report to a controller that is itself
// silent are looking for another one; their silence counts only once they had the time.
func TestMachinesOfASilentPeerAreNotABlock(t *testing.T) {
	now := time.Now()
	c := inHall(t, now)
	p := mesh.Status{Version: mesh.Version, Member: "m-1", Loaded: true}
	for id, w := range c.workers {
		if strings.HasPrefix(w.Addr, "127.1.1.") || strings.HasPrefix(w.Addr, "127.1.2.") {
			p.Machines = append(p.Machines, mesh.Machine{ID: id, Zone: w.Zone, Endpoint: w.Addr, Session: 1, Token: 1})
			delete(c.workers, id)
		}
	}
	c.heardPeer(mesh.Answer{Status: p, Asked: now})
	pass := func(seconds int) (down bool) {
		for range seconds {
			now = now.Add(time.Second)
			c.contact = now
			for _, w := range c.workers {
				w.Heard = now
			}
			c.judgePlaces(now)
		}
		s, _ := c.places.tree.ByPath("a/sa0")
		return c.places.health.Down(s)
	}
	if pass(int(c.silentAfter().Seconds() + c.set.ReportGrace().Seconds())) {
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
	c.led.Apply(ledger.Event{Key: "mm1/j/wk-000001", Version: 1, Value: []byte(
		`{"spec":{"id":"wk-000001","pieces":2,"shape":"gang","owner":"free","cores":1},"at":1,"a":1,"c":[[1,"host-011","a",1,1,0,1],[1,"host-021","a",1,1,1,1]]}`)})
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
