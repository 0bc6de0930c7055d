package controller

import (
	"context"
	"time"

	"maddermill/internal/membership"

	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// crash stops a controller if it is up.
func (cluster *testCluster) crash(i int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.controllers[i] != nil {
		cluster.cancels[i]()
		cluster.controllers[i] = nil
	}
}

// pause emulates a pause of a controller's process. Messages to and from it are delayed until the pause is
// over, and the controller afterwards detects the pause from its own clock.
func (cluster *testCluster) pause(ctx context.Context, i int, d time.Duration) {
	cluster.links[i].Freeze(d)
	pausedAt := time.Now()
	wait.For(ctx, d)
	if c := cluster.controller(i); c != nil {
		membership.SetLastRanForTest(cluster.t, c.membership, pausedAt)
	}
}

// deliverHeartbeats sets whether heartbeats of a machine reach the controllers.
func (cluster *testCluster) deliverHeartbeats(machine wire.MachineID, delivered bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.losesHeartbeats[machine] = !delivered
}

// deliverResponses sets whether the responses to a machine's heartbeats reach it.
func (cluster *testCluster) deliverResponses(machine wire.MachineID, delivered bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.losesResponses[machine] = !delivered
}

// cutMesh disconnects a controller from the other controllers, or reconnects it.
func (cluster *testCluster) cutMesh(i int, cut bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.meshCut[i] = cut
}

// loseMeshForAll disconnects all controllers from each other. The returned function reconnects them.
func (cluster *testCluster) loseMeshForAll() (end func()) {
	set := func(cut bool) {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		for i := range cluster.meshCut {
			cluster.meshCut[i] = cut
		}
	}
	set(true)
	return func() { set(false) }
}

// partitionZone disconnects a zone, with one controller inside it, from the state service and from all
// machines and controllers outside it. The returned function ends the partition.
func (cluster *testCluster) partitionZone(zone wire.Zone, inside int) (end func()) {
	set := func(on bool) {
		cluster.links[inside].SetDown(on)
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		cluster.meshCut[inside] = on
		if on {
			cluster.partitionedZones[zone] = inside
		} else {
			delete(cluster.partitionedZones, zone)
		}
	}
	set(true)
	return func() { set(false) }
}

// isolate disconnects a controller from the state service, and from the other controllers if cutMesh is
// set. The returned function reconnects it.
func (cluster *testCluster) isolate(i int, cutMesh bool) (end func()) {
	set := func(on bool) {
		cluster.links[i].SetDown(on)
		cluster.cutMesh(i, on && cutMesh)
	}
	set(true)
	return func() { set(false) }
}

// storeOutage makes the state service unavailable to all controllers. The returned function ends the
// outage; the state service then renews all leases.
func (cluster *testCluster) storeOutage() (end func()) {
	for _, link := range cluster.links {
		link.SetDown(true)
	}
	return func() {
		cluster.store.Extend()
		for _, link := range cluster.links {
			link.SetDown(false)
		}
	}
}

// slowStore makes each request to the state service take the time d; 0 restores the usual delay.
func (cluster *testCluster) slowStore(d time.Duration) {
	for _, link := range cluster.links {
		link.SetSlow(d)
	}
}

// delayTransactions drops the response of each transaction for which delay returns a positive time, and
// applies the transaction after that time. A nil function ends this.
func (cluster *testCluster) delayTransactions(delay func(wire.Txn) time.Duration) {
	for _, link := range cluster.links {
		link.SetLate(delay)
	}
}

// randomFaults are the faults that injectFault chooses from. Each lasts for about length, and affects
// controller i if it affects a single one. Reordering the list changes the run of every seed.
var randomFaults = [...]func(cluster *testCluster, ctx context.Context, i int, length time.Duration){
	(*testCluster).crashOne,
	(*testCluster).crashOne,
	(*testCluster).crashAll,
	(*testCluster).loseStore,
	(*testCluster).loseStoreForAll,
	(*testCluster).hangWorker,
	(*testCluster).reclaimMachines,
	(*testCluster).loseMesh,
	(*testCluster).loseCloudAndWatches,
	(*testCluster).pauseLong,
	(*testCluster).pauseInOutage,
	(*testCluster).loseHalfOfTheAnswers,
	(*testCluster).loseResponsesToOne,
	(*testCluster).isolateThenOutage,
	(*testCluster).isolateOne,
	(*testCluster).loseHeartbeatsOfHalf,
	(*testCluster).partitionZoneB,
	(*testCluster).delayAnswers,
	(*testCluster).replayOldHeartbeats,
	(*testCluster).crashLeaders,
}

// injectFault injects one random fault with a random length of 2 to 26 s.
func (cluster *testCluster) injectFault(ctx context.Context) {
	i, length := cluster.randomInt(cluster.size), time.Duration(2+cluster.randomInt(25))*time.Second
	randomFaults[cluster.randomInt(len(randomFaults))](cluster, ctx, i, length)
}

func (cluster *testCluster) crashOne(ctx context.Context, i int, _ time.Duration) {
	cluster.crash(i)
	wait.For(ctx, 5*time.Second)
	if cluster.controller(i) == nil {
		cluster.startController(ctx, i)
	}
}

func (cluster *testCluster) crashAll(ctx context.Context, _ int, _ time.Duration) {
	for i := range cluster.size {
		cluster.crash(i)
	}
	wait.For(ctx, 8*time.Second)
	for i := range cluster.size {
		if cluster.controller(i) == nil {
			cluster.startController(ctx, i)
		}
	}
}

// crashLeaders crashes three leaders in succession.
func (cluster *testCluster) crashLeaders(ctx context.Context, _ int, _ time.Duration) {
	for range 3 {
		at := cluster.leader()
		cluster.crash(at)
		wait.For(ctx, 300*time.Millisecond)
		cluster.restart(ctx, at)
		wait.For(ctx, 7*time.Second)
	}
}

func (cluster *testCluster) loseStore(ctx context.Context, i int, length time.Duration) {
	cluster.links[i].SetDown(true)
	wait.For(ctx, length)
	cluster.links[i].SetDown(false)
}

func (cluster *testCluster) loseStoreForAll(ctx context.Context, _ int, length time.Duration) {
	end := cluster.storeOutage()
	wait.For(ctx, length)
	end()
}

func (cluster *testCluster) loseMesh(ctx context.Context, i int, length time.Duration) {
	cluster.cutMesh(i, true)
	wait.For(ctx, length)
	cluster.cutMesh(i, false)
}

// isolateOne disconnects a controller from the state service and its peers. Users and workers can still
// reach it.
func (cluster *testCluster) isolateOne(ctx context.Context, i int, length time.Duration) {
	end := cluster.isolate(i, true)
	wait.For(ctx, 2*length)
	end()
}

// isolateThenOutage disconnects one controller from the state service, and then all of them, for longer
// than the limit of cancellations.
func (cluster *testCluster) isolateThenOutage(ctx context.Context, i int, length time.Duration) {
	endIsolation := cluster.isolate(i, false)
	wait.For(ctx, length/2)
	endOutage := cluster.storeOutage()
	wait.For(ctx, cluster.world.CancelS+10*time.Second)
	endIsolation()
	endOutage()
}

func (cluster *testCluster) partitionZoneB(ctx context.Context, i int, length time.Duration) {
	end := cluster.partitionZone("b", i)
	wait.For(ctx, 2*length)
	end()
}

func (cluster *testCluster) pauseLong(ctx context.Context, i int, length time.Duration) {
	cluster.pause(ctx, i, 2*length)
}

func (cluster *testCluster) pauseInOutage(ctx context.Context, i int, length time.Duration) {
	end := cluster.storeOutage()
	cluster.group.Go(func() { cluster.pause(ctx, i, length+10*time.Second) })
	wait.For(ctx, length)
	end()
}

func (cluster *testCluster) hangWorker(ctx context.Context, _ int, length time.Duration) {
	up := cluster.cloud.Up()
	if len(up) == 0 {
		return
	}
	machine := up[cluster.randomInt(len(up))]
	machine.Hang(true)
	wait.For(ctx, length+5*time.Second)
	machine.Hang(false)
}

func (cluster *testCluster) reclaimMachines(context.Context, int, time.Duration) {
	cluster.cloud.Take(1 + cluster.randomInt(3))
}

// loseCloudAndWatches makes the cloud unavailable and compacts the log of the state service, so that
// watches of older revisions fail.
func (cluster *testCluster) loseCloudAndWatches(ctx context.Context, _ int, length time.Duration) {
	cluster.store.Forget()
	cluster.cloud.SetDown(true)
	wait.For(ctx, length)
	cluster.cloud.SetDown(false)
}

// loseHalfOfTheAnswers drops the responses of half of the transactions. Many of these transactions are
// applied after newer ones.
func (cluster *testCluster) loseHalfOfTheAnswers(ctx context.Context, _ int, length time.Duration) {
	for _, link := range cluster.links {
		link.SetLossy(0.5)
	}
	wait.For(ctx, length)
	for _, link := range cluster.links {
		link.SetLossy(cluster.lossProbability)
	}
}

// delayAnswers drops the responses of half of the transactions, which are applied a millisecond later.
func (cluster *testCluster) delayAnswers(ctx context.Context, _ int, length time.Duration) {
	cluster.delayTransactions(func(wire.Txn) time.Duration {
		return time.Duration(cluster.randomInt(2)) * time.Millisecond
	})
	wait.For(ctx, length)
	cluster.delayTransactions(nil)
}

func (cluster *testCluster) loseResponsesToOne(ctx context.Context, _ int, length time.Duration) {
	up := cluster.cloud.Up()
	if len(up) == 0 {
		return
	}
	machine := up[cluster.randomInt(len(up))].Type.ID
	cluster.deliverResponses(machine, false)
	wait.For(ctx, 2*length+10*time.Second)
	cluster.deliverResponses(machine, true)
}

func (cluster *testCluster) loseHeartbeatsOfHalf(ctx context.Context, _ int, length time.Duration) {
	var lost []*emulator.Machine
	for k, machine := range cluster.cloud.Up() {
		if k%2 == 0 {
			cluster.deliverHeartbeats(machine.Type.ID, false)
			lost = append(lost, machine)
		}
	}
	wait.For(ctx, length+10*time.Second)
	for _, machine := range lost {
		cluster.deliverHeartbeats(machine.Type.ID, true)
	}
}

func (cluster *testCluster) replayOldHeartbeats(ctx context.Context, _ int, length time.Duration) {
	cluster.replayHeartbeats(ctx, length, time.Duration(cluster.randomInt(20))*time.Second)
}
