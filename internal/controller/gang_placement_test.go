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

// gangPlacements holds the costs of the placements of gangs and their waits.
type gangPlacements struct {
	gangs   int
	optimal int             // gangs placed at the least cost that is possible on empty machines
	cost    float64         // total placement cost
	minCost float64         // total of the least costs on empty machines
	waits   []time.Duration // from the submission of a gang until all its tasks run
}

// add adds the placements of another run.
func (p *gangPlacements) add(other gangPlacements) {
	p.gangs, p.optimal = p.gangs+other.gangs, p.optimal+other.optimal
	p.cost, p.minCost = p.cost+other.cost, p.minCost+other.minCost
	p.waits = append(p.waits, other.waits...)
}

// waitQuantile returns the quantile q, from 0 to 1, of the waits.
func (p *gangPlacements) waitQuantile(q float64) time.Duration {
	slices.Sort(p.waits)
	return p.waits[int(q*float64(len(p.waits)-1))]
}

// gangQueue is a run of a queue of gangs and arrays on 32 machines in eight racks.
type gangQueue struct {
	*testCluster
	ctx       context.Context
	rng       *rand.Rand
	tree      *topology.Tree // of the machines; the controllers know it only if it is declared to them
	jobs      int
	finished  int
	submitted map[wire.JobID]time.Time // gangs that have not been running completely yet
	tasks     map[wire.JobID]int
	result    gangPlacements
}

// runGangQueue runs a queue of jobs and records where each gang is placed. declared holds the options that
// precede the topology in the file that the controllers are given; if it is empty, they are given no topology.
func runGangQueue(t *testing.T, seed uint64, declared string) gangPlacements {
	t.Helper()
	tree, err := topology.Parse([]byte(topologyText()), []wire.Zone{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	q := &gangQueue{
		testCluster: newQuietCluster(t, seed),
		ctx:         ctx,
		rng:         rand.New(rand.NewPCG(seed, 7)),
		tree:        tree,
		submitted:   map[wire.JobID]time.Time{},
		tasks:       map[wire.JobID]int{},
	}
	q.cloud.Most = 32
	if declared != "" {
		if q.topology, err = topology.Parse([]byte(declared+topologyText()), []wire.Zone{"a", "b"}); err != nil {
			t.Fatal(err)
		}
	}
	q.start(ctx, 32, 0)
	wait.For(ctx, 10*time.Second)
	for second := range 300 {
		if second%3 == 0 && second < 200 {
			q.submitJob(wire.Gang, 2+q.rng.IntN(9))
		}
		if second%20 == 10 && second < 200 {
			q.submitJob(wire.Array, 1+q.rng.IntN(8))
		}
		wait.For(ctx, time.Second)
		for id := range q.submitted {
			if q.world.GangFullyPlaced(id) {
				q.recordPlacement(id)
				delete(q.submitted, id)
			}
		}
	}
	q.shutDown(cancel)
	q.reportBrokenRules()
	return q.result
}

// submitJob starts a user who submits a job and polls it until it ends.
func (q *gangQueue) submitJob(shape wire.Shape, tasks int) {
	spec := &wire.JobSpec{
		ID:       jobID(q.jobs),
		Class:    "c",
		Team:     "free",
		Shape:    shape,
		Priority: wire.High,
		Tasks:    tasks,
		CPUs:     2,
		GPUs:     1,
		MemoryGB: 4,
		Image:    wire.Image(fmt.Sprint("img-", q.rng.IntN(2))),
		ImageGB:  2,
		Spot:     true,
		Estimate: 30,
	}
	if shape == wire.Array {
		spec.Priority = wire.Normal
	} else {
		q.submitted[spec.ID], q.tasks[spec.ID] = time.Now(), tasks
	}
	q.jobs++
	q.group.Go(func() { q.runUser(q.ctx, spec, 0, &q.finished) })
}

// recordPlacement adds the cost and the wait of a gang that runs completely for the first time.
func (q *gangQueue) recordPlacement(id wire.JobID) {
	var blocks []topology.Block
	var counts []int
	var empty []topology.MachineOption
	tasks := q.world.On(id)
	for _, machine := range q.cloud.Up() {
		block, _ := q.tree.Locate(machine.Type.ID, machine.Type.Addr, machine.Type.Zone)
		if n := tasks[machine.Type.ID]; n > 0 {
			blocks, counts = append(blocks, block), append(counts, n)
		}
		empty = append(empty, topology.MachineOption{Machine: machine.Type.ID, Block: block, Room: 2})
	}
	_, minCost, _ := q.tree.Pack(topology.Gang{Tasks: q.tasks[id]}, empty)
	cost := q.tree.PlacementCost(blocks, counts)
	q.result.gangs++
	if cost <= minCost {
		q.result.optimal++
	}
	q.result.cost += cost.FileUnits()
	q.result.minCost += minCost.FileUnits()
	q.result.waits = append(q.result.waits, time.Since(q.submitted[id]))
}

// TestGangPlacementCloseness compares the placement of gangs without and with a declared topology, for both
// priorities of closeness and cached images. With a topology at least 1.5 times as many gangs must be placed
// optimally, at no more than three quarters of the cost, and at least nine tenths as many gangs must run.
func TestGangPlacementCloseness(t *testing.T) {
	t.Parallel()
	run := func(declared string) (all gangPlacements) {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) { all.add(runGangQueue(t, seed+1, declared)) })
		}
		t.Logf(
			"%-42q %d gangs, optimal share %.2f, cost %.2f times the least, wait %v (p50), %v (p90)",
			declared,
			all.gangs,
			float64(all.optimal)/float64(all.gangs),
			all.cost/all.minCost,
			all.waitQuantile(0.5).Round(time.Second),
			all.waitQuantile(0.9).Round(time.Second),
		)
		return all
	}
	without := run("")
	for _, declared := range []string{"first: IMAGE closer_wait_s: 10 ", "first: CLOSENESS closer_wait_s: 10 "} {
		with := run(declared)
		if with.gangs < without.gangs*9/10 || with.optimal*2 < without.optimal*3 || with.cost > without.cost*3/4 {
			t.Errorf(
				"%s: got %d gangs, %d optimal, cost %.2f; want >= 9/10, >= 3/2 and <= 3/4 of %d, %d, %.2f without a topology",
				declared,
				with.gangs,
				with.optimal,
				with.cost,
				without.gangs,
				without.optimal,
				without.cost,
			)
		}
	}
	if testing.Verbose() {
		for _, first := range []string{"IMAGE", "CLOSENESS"} {
			for _, wait := range []int{0, 5, 20} {
				run(fmt.Sprintf("first: %s closer_wait_s: %d ", first, wait))
			}
		}
	}
}
