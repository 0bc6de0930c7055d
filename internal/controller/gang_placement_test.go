package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// gangPlacements is what came of a queue of gangs.
type gangPlacements struct {
	gangs   int
	optimal int // at the least cost that the empty hall allows
	cost    float64
	minCost float64
	waits   []time.Duration // from submission until the gang runs whole
	elapsed time.Duration
}

func (s *gangPlacements) waitQuantile(share float64) time.Duration {
	slices.Sort(s.waits)
	return s.waits[int(share*float64(len(s.waits)-1))]
}

// runGangQueue plays a queue of mixed gangs and single tasks through controllers and workers,
// on 32 machines in eight racks, and looks where gangs run. declared is what controllers
// are told of the hall, "" for nothing.
func runGangQueue(t *testing.T, seed uint64, declared string) gangPlacements {
	hall, err := topology.Parse([]byte(topologyText()), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	cluster := newTestCluster(t, seed)
	cluster.noRandomFaults, cluster.reliableMessages, cluster.cloud.Most = true, true, 32
	if declared != "" {
		if cluster.topology, err = topology.Parse([]byte(declared+topologyText()), []wire.Zone{"a", "b"}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 32, 0)
	rng := rand.New(rand.NewPCG(seed, 7))
	wait.For(ctx, 10*time.Second)
	began := time.Now()
	var out gangPlacements
	finished, jobs := 0, 0
	submitted := map[wire.JobID]time.Time{}
	sizes := map[wire.JobID]int{}
	submit := func(shape wire.Shape, tasks int) {
		spec := &wire.JobSpec{
			ID:       wire.JobID(fmt.Sprintf("wk-%06d", jobs)),
			Class:    "c",
			Team:     "free",
			Shape:    shape,
			Priority: wire.High,
			Tasks:    tasks,
			CPUs:     2,
			GPUs:     1,
			MemoryGB: 4,
			Image:    wire.Image(fmt.Sprint("img-", rng.IntN(2))),
			ImageGB:  2,
			Spot:     true,
			Estimate: 30,
		}
		if shape == wire.Array {
			spec.Priority = wire.Normal
		} else {
			submitted[spec.ID], sizes[spec.ID] = time.Now(), tasks
		}
		jobs++
		cluster.group.Go(func() { cluster.runUser(ctx, spec, 0, &finished) })
	}
	looked := map[wire.JobID]bool{}
	for s := range 300 {
		if s%3 == 0 && s < 200 {
			submit(wire.Gang, 2+rng.IntN(9))
		}
		if s%20 == 10 && s < 200 {
			submit(wire.Array, 1+rng.IntN(8))
		}
		wait.For(ctx, time.Second)
		for id := range submitted {
			if looked[id] || !cluster.world.Whole(id) {
				continue
			}
			looked[id] = true
			var on []topology.Block
			var counts []int
			var empty []topology.MachineOption
			tasks := cluster.world.On(id)
			for _, m := range cluster.cloud.Up() {
				b, _ := hall.Locate(m.Type.ID, m.Type.Addr, m.Type.Zone)
				if n := tasks[m.Type.ID]; n > 0 {
					on, counts = append(on, b), append(counts, n)
				}
				empty = append(empty, topology.MachineOption{Machine: m.Type.ID, Block: b, Room: 2})
			}
			_, least, _ := hall.Pack(topology.Gang{Tasks: sizes[id]}, empty)
			cost := hall.CostOf(on, counts)
			out.gangs++
			if cost <= least {
				out.optimal++
			}
			out.cost += cost.Stated()
			out.minCost += least.Stated()
			out.waits = append(out.waits, time.Since(submitted[id]))
		}
	}
	out.elapsed = time.Since(began)
	cluster.shutDown(cancel)
	for _, b := range cluster.world.Broken {
		t.Errorf("broken: %s", b)
	}
	return out
}

// TestGangPlacementCloseness compares, through controllers and workers, where gangs run
// without a topology and with one, in each order of closeness and images. What is gained
// must be clear, and nothing may be lost.
func TestGangPlacementCloseness(t *testing.T) {
	t.Parallel()
	play := func(declared string) (all gangPlacements) {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				s := runGangQueue(t, seed+1, declared)
				all.gangs, all.optimal, all.cost, all.minCost = all.gangs+s.gangs, all.optimal+s.optimal, all.cost+s.cost, all.minCost+s.minCost
				all.waits = append(all.waits, s.waits...)
			})
		}
		t.Logf(
			"%-42q %d gangs, %.2f of them as tight as can be, cost %.2f of the least, wait %v (median), %v (nine in ten)",
			declared,
			all.gangs,
			float64(
				all.optimal,
			)/float64(
				all.gangs,
			),
			all.cost/all.minCost,
			all.waitQuantile(0.5).Round(time.Second),
			all.waitQuantile(0.9).Round(time.Second),
		)
		return all
	}
	without := play("")
	for _, declared := range []string{"first: IMAGE closer_wait_s: 10 ", "first: CLOSENESS closer_wait_s: 10 "} {
		with := play(declared)
		if with.gangs < without.gangs*9/10 || with.optimal*2 < without.optimal*3 || with.cost > without.cost*3/4 {
			t.Errorf("%s%+v; without a topology %+v", declared, with, without)
		}
	}
	if testing.Verbose() {
		for _, first := range []string{"IMAGE", "CLOSENESS"} {
			for _, wait := range []int{0, 5, 20} {
				play(fmt.Sprintf("first: %s closer_wait_s: %d ", first, wait))
			}
		}
	}
}
