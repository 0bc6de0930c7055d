package controller

import (
	"context"
	"time"

	"maddermill/internal/membership"

	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// crash ends a controller's process, if it is up.
func (cluster *testCluster) crash(i int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.controllers[i] != nil {
		cluster.cancels[i]()
		cluster.controllers[i] = nil
	}
}

// pause has a controller's process pause: what it sends and is sent waits, and it finds out by its own clock
// afterwards.
func (cluster *testCluster) pause(ctx context.Context, i int, d time.Duration) {
	cluster.links[i].Freeze(d)
	pausedAt := time.Now()
	wait.For(ctx, d)
	if c := cluster.controller(i); c != nil {
		membership.SetLastRanForTest(cluster.t, c.membership, pausedAt)
	}
}

// deliverHeartbeats sets whether a machine's heartbeats reach the controllers.
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

// cutMesh cuts a controller from the other controllers, or reconnects it.
func (cluster *testCluster) cutMesh(i int, cut bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.meshCut[i] = cut
}

// loseMeshForAll cuts all controllers from each other.
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

// partitionZone cuts off a zone with a controller in it.
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

// isolate cuts a controller from the state service, and from the other controllers if cutMesh is set.
func (cluster *testCluster) isolate(i int, cutMesh bool) (end func()) {
	set := func(on bool) {
		cluster.links[i].SetDown(on)
		cluster.cutMesh(i, on && cutMesh)
	}
	set(true)
	return func() { set(false) }
}

// storeOutage has the state service down for all controllers.
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

// slowStore has each request to the state service take so long; 0: as usual.
func (cluster *testCluster) slowStore(d time.Duration) {
	for _, link := range cluster.links {
		link.SetSlow(d)
	}
}

// delayTransactions has transactions get no answer for which delay returns a time, after which they
// are carried out; nil: none.
func (cluster *testCluster) delayTransactions(delay func(wire.Txn) time.Duration) {
	for _, link := range cluster.links {
		link.SetLate(delay)
	}
}

// randomFaults are the faults that injectFault chooses from. Each makes something go wrong for about
// length, where it applies at controller i. The order belongs to the meaning of a seed.
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

// injectFault makes one thing go wrong for a while.
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

// crashLeaders has the leader crash, and the next, and the next.
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

// isolateOne cuts a controller from the state service and its peers. Users and workers still reach it.
func (cluster *testCluster) isolateOne(ctx context.Context, i int, length time.Duration) {
	end := cluster.isolate(i, true)
	wait.For(ctx, 2*length)
	end()
}

// isolateThenOutage has one controller lose the state service, and then all, for longer than a
// cancellation may take.
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

// loseCloudAndWatches has the cloud down, and watches of the state service fall behind.
func (cluster *testCluster) loseCloudAndWatches(ctx context.Context, _ int, length time.Duration) {
	cluster.store.Forget()
	cluster.cloud.SetDown(true)
	wait.For(ctx, length)
	cluster.cloud.SetDown(false)
}

// loseHalfOfTheAnswers has half of the transactions get no answer, of which many are carried out
// after newer ones.
func (cluster *testCluster) loseHalfOfTheAnswers(ctx context.Context, _ int, length time.Duration) {
	for _, link := range cluster.links {
		link.SetLossy(0.5)
	}
	wait.For(ctx, length)
	for _, link := range cluster.links {
		link.SetLossy(cluster.lossShare)
	}
}

// delayAnswers has transactions be carried out at once, of which half get no answer.
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
