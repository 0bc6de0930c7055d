package controller

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/settings"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// outageOverlap is a scenario with two overlapping faults. First only the leader loses the state service, while
// other controllers acknowledge cancellations to users. Then the state service is down for all controllers, for
// longer than the limit of cancellations, while workers still report to the leader.
type outageOverlap struct {
	seed        uint64
	controllers int
	timing      [3]wire.Seconds // interval of heartbeats, length of workers' leases, limit of cancellations
	mesh        string          // "whole"; "cut" for the leader; "lost" for all controllers during the outage
	outageAfter time.Duration   // from the isolation of the leader to the outage for all controllers
	isolatedFor time.Duration   // length of the leader's isolation without the outage
	repeat      bool            // both faults are repeated 20 s after the state service is back
	afterCancel string          // fault at the controller that acknowledged a cancellation: see injectAfterCancel
	storeDelay  time.Duration   // delay of the state service's answers
}

// String describes the scenario. It is the name of the subtest.
func (o outageOverlap) String() string {
	return fmt.Sprintf(
		"%d controllers, timing %v, mesh %s, outage after %v, refused for %v, repeat %v, then %q, store delay %v, seed %d",
		o.controllers,
		o.timing,
		o.mesh,
		o.outageAfter,
		o.isolatedFor,
		o.repeat,
		o.afterCancel,
		o.storeDelay,
		o.seed,
	)
}

// run runs the scenario and returns the number of acknowledged cancellations.
func (o outageOverlap) run(t *testing.T) (acknowledged int) {
	t.Helper()
	cluster := newTestClusterOf(t, o.seed, o.controllers, func(s *settings.Settings) {
		workers := &s.Cluster.Workers
		workers.Report, workers.Lease, workers.Cancel = o.timing[0], o.timing[1], o.timing[2]
	})
	cluster.reliableMessages, cluster.archiving = true, o.seed%2 == 0
	// The worker's clock is slow by the largest skew that is allowed.
	cluster.cloud.Lease = time.Duration(float64(o.timing[1].Duration()) * 1.0005)
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Minute }
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 8, 0)
	var jobs []*wire.JobSpec
	for i := range 12 {
		spec := o.spec(i)
		jobs = append(jobs, spec)
		cluster.group.Go(func() { cluster.submit(ctx, spec) })
	}
	cluster.advance(40 * time.Second)
	rounds := 1
	if o.repeat {
		rounds = 2
	}
	for round := range rounds {
		o.runRound(ctx, cluster, jobs[6*round:6*round+6], &acknowledged)
	}
	cluster.shutDown(cancel)
	if o.mesh == "whole" && o.afterCancel == "" && cluster.world.Lapsed > 0 {
		t.Errorf(
			"got %d tasks lost with their leases, want 0: peers could confirm which jobs are cancelled",
			cluster.world.Lapsed,
		)
	}
	cluster.reportBrokenRules()
	return acknowledged
}

// spec returns job i of the scenario.
func (o outageOverlap) spec(i int) *wire.JobSpec {
	spec := &wire.JobSpec{
		ID:       jobID(i),
		Class:    "c",
		Team:     "free",
		Shape:    wire.Array,
		Priority: wire.Normal,
		Tasks:    1 + i%2,
		CPUs:     1,
		GPUs:     1,
		MemoryGB: 1,
		Image:    "img-0",
		ImageGB:  2,
		Spot:     true,
		Estimate: 600,
	}
	if i%4 == 3 {
		spec.Shape = wire.Gang
	}
	if i%3 == 1 {
		spec.Checkpoint, spec.Save = 5, 2
	}
	return spec
}

// runRound injects both faults once and cancels the given jobs: the first one as the leader's isolation
// begins, the others until the outage.
func (o outageOverlap) runRound(
	ctx context.Context,
	cluster *testCluster,
	jobs []*wire.JobSpec,
	acknowledged *int,
) {
	leader := cluster.leader()
	endIsolation := cluster.isolate(leader, o.mesh == "cut")
	cluster.slowStore(o.storeDelay)
	for k, spec := range jobs {
		cluster.group.Go(func() {
			wait.For(ctx, time.Millisecond+time.Duration(k)*o.outageAfter/5)
			by, ok := cluster.cancelElsewhere(ctx, spec.ID, leader)
			if !ok {
				return
			}
			cluster.mu.Lock()
			*acknowledged++
			cluster.mu.Unlock()
			o.injectAfterCancel(ctx, cluster, by)
		})
	}
	cluster.advance(o.outageAfter)
	endOutage := cluster.storeOutage()
	endMeshLoss := func() {}
	if o.mesh == "lost" {
		endMeshLoss = cluster.loseMeshForAll()
	}
	isolationLeft := max(0, o.isolatedFor-o.outageAfter)
	cluster.advance(isolationLeft)
	cluster.advance(cluster.world.CancelS + 12*time.Second - isolationLeft)
	endIsolation()
	endMeshLoss()
	endOutage()
	cluster.slowStore(0)
	cluster.advance(20 * time.Second)
}

// injectAfterCancel injects the fault afterCancel: the controller that acknowledged a cancellation restarts
// immediately or during the outage, or the log of the state service is compacted, so that all controllers
// reload their records.
func (o outageOverlap) injectAfterCancel(ctx context.Context, cluster *testCluster, by int) {
	switch o.afterCancel {
	case "restart":
		cluster.crash(by)
		wait.For(ctx, 300*time.Millisecond)
		cluster.restart(ctx, by)
	case "restart in it":
		wait.For(ctx, o.outageAfter+10*time.Second)
		cluster.crash(by)
		wait.For(ctx, 300*time.Millisecond)
		cluster.restart(ctx, by)
	case "reload":
		cluster.store.Forget()
	}
}

// deploymentTimings are the heartbeat intervals, lease lengths and limits of cancellations that operators
// have reported for their deployments.
var deploymentTimings = [][3]wire.Seconds{{3, 30, 60}, {3, 36, 61}, {5, 30, 60}, {5, 36, 61}, {8, 45, 65}}

// outageOverlaps returns the sweep of all scenarios.
func outageOverlaps() (all []outageOverlap) {
	outages := []time.Duration{500 * time.Millisecond, 2 * time.Second, 9 * time.Second, 25 * time.Second}
	add := func(controllers int, timing [3]wire.Seconds, mesh string, outageAfter time.Duration, afterCancel string) {
		k := len(all)
		storeDelay := time.Duration(0)
		if k%5 == 4 {
			storeDelay = time.Duration(k%7) * 100 * time.Millisecond
		}
		all = append(all, outageOverlap{
			seed:        uint64(k + 1),
			controllers: controllers,
			timing:      timing,
			mesh:        mesh,
			outageAfter: outageAfter,
			isolatedFor: 14 * time.Second,
			repeat:      k%3 == 0,
			afterCancel: afterCancel,
			storeDelay:  storeDelay,
		})
	}
	for _, controllers := range []int{3, 7} {
		for _, timing := range deploymentTimings {
			for _, mesh := range []string{"whole", "cut", "lost"} {
				for _, outageAfter := range outages {
					for _, afterCancel := range []string{"", "restart", "restart in it", "reload"} {
						add(controllers, timing, mesh, outageAfter, afterCancel)
					}
				}
			}
		}
	}
	return all
}

// TestCancellationsAcrossOverlappingOutages sweeps over the state of the mesh, the start of the outage, the
// fault at the controller that acknowledged a cancellation, and the timing of all deployments. Whichever
// controller answers the workers, a cancelled job's tasks must end within the limit of cancellations, and if
// the leader still reaches its peers no other task may be lost. The test fails without the bound on answering
// workers while a controller is disconnected from the state service (settings.HeartbeatGrace), and if jobs that
// peers list as cancelled are not marked as cancelled. It runs the whole sweep if HISTORY_SEEDS is set,
// otherwise a part that contains each value.
func TestCancellationsAcrossOverlappingOutages(t *testing.T) {
	t.Parallel()
	all := outageOverlaps()
	acknowledged, step := 0, 17 // coprime to the number of values of each parameter
	if os.Getenv("HISTORY_SEEDS") != "" {
		step = 1
	}
	scenarios := 0
	for k := 0; k < len(all); k += step {
		t.Run(all[k].String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { acknowledged += all[k].run(t) })
		})
		scenarios++
	}
	t.Logf("%d scenarios, %d cancellations acknowledged", scenarios, acknowledged)
	if acknowledged < 4*scenarios {
		t.Errorf("got %d cancellations acknowledged in %d scenarios, want >= %d", acknowledged, scenarios, 4*scenarios)
	}
}
