package controller

// The tests of this package run on an emulated cluster: several controllers with all their
// components, a state service, a cloud, workers and users in one process, on the fake clock of a
// synctest bubble. Minutes of simulated time take milliseconds, and all randomness is derived from
// the seed of the test.
//
//   - cluster_test.go contains testCluster: its settings, start, run and shutdown.
//   - workers_test.go contains the heartbeat loop of a worker, with lost, delayed and duplicated
//     heartbeats and responses.
//   - users_test.go contains the users, who submit, poll and cancel jobs at any controller.
//   - rules_test.go contains the invariants. A job's state as users see it never goes backwards, and
//     the archive is consistent with the records. The invariants of machines (no task runs twice, a
//     cancelled task ends in time, a gang starts as a whole, a team stays within its limit, ...) are
//     checked by emulator.World.
//   - faults_test.go contains the faults: crashes, pauses, partitions and outages.
//   - steps_test.go names the steps of a controller's work, so that a fault can be injected at a step.
//   - restart_scenario_test.go contains a cluster whose controllers crash and restart while users poll
//     through a load balancer; fault_plan_test.go contains the building blocks of plans of several
//     faults.
//
// The environment variable HISTORY_SEEDS sets the number of seeds, and HISTORY_LOG writes the
// controllers' logs to stderr.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// settlePeriod is how long archiving is suspended after a change of the records' format.
const settlePeriod = 2 * time.Minute

// testCluster is an emulated cluster. The exported fields of the emulators and the fields above
// group must be set before start.
type testCluster struct {
	t     *testing.T
	seed  uint64
	size  int // number of controllers
	world *emulator.World
	store *emulator.Store
	cloud *emulator.Cloud
	links []*emulator.Link // connections of the controllers to the state service

	// Faults that are injected without an action of the test.
	noRandomFaults    bool    // run injects no faults
	reliableMessages  bool    // no heartbeat or response is delayed or lost, and idle machines are kept
	duplicateMessages bool    // messages that were processed may be delivered again later
	lossProbability   float64 // probability that the response of a transaction is lost
	pauseAtStep       string  // step at which a controller pauses once

	// Settings of the controllers.
	adjustSettings func(*settings.Settings) // changes the settings of all controllers, if not nil
	configure      func(*Controller)        // called with each new controller, if not nil
	archiving      bool                     // finished jobs are archived immediately
	formatUpTo     []int                    // newest record format of each controller; 0: the newest known
	topology       *topology.Tree           // declared to all controllers, if not nil
	stepData       stepdata.Store           // enables workflows, if not nil

	// Hooks, called if not nil.
	onStart     func(context.Context)                        // called by run before jobs are submitted
	onStep      func(i int, step string)                     // called at each step of controller i
	onHeartbeat func(at int, r *wire.Heartbeat)              // called with each heartbeat sent to controller at
	onLog       func(msg string, attributes map[string]any)  // called with each log line of a controller
	unreachable func(machine *emulator.Machine) (hangs bool) // called with each machine that starts

	group    sync.WaitGroup // all goroutines of the cluster
	observed observedStates

	mu               sync.Mutex // guards the fields below, and rng
	rng              *rand.Rand
	controllers      []*Controller     // nil while one is down
	runContexts      []context.Context // of the latest run of each controller
	cancels          []context.CancelFunc
	meshCut          []bool // whether each controller is disconnected from the others
	pausedAtStep     bool
	stopped          bool
	losesResponses   map[wire.MachineID]bool // machines whose heartbeats arrive but get no response
	losesHeartbeats  map[wire.MachineID]bool // machines whose heartbeats reach no controller
	partitionedZones map[wire.Zone]int       // partitioned zones, with the controller inside; -1: none
	capturing        bool                    // heartbeats are copied to captured
	captured         []wire.Heartbeat
}

// newTestSettings returns the settings of one of three controllers.
func newTestSettings(tb testing.TB, member int) *settings.Settings {
	tb.Helper()
	return controllertest.Settings(tb, member)
}

// newTestCluster returns a cluster with three controllers.
func newTestCluster(t *testing.T, seed uint64) *testCluster {
	t.Helper()
	return newTestClusterOf(t, seed, 3, nil)
}

// newTestClusterOf returns a cluster with the given number of controllers, whose settings are changed
// by adjustSettings if it is not nil.
func newTestClusterOf(
	t *testing.T,
	seed uint64,
	size int,
	adjustSettings func(*settings.Settings),
) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t:                t,
		seed:             seed,
		size:             size,
		adjustSettings:   adjustSettings,
		rng:              rand.New(rand.NewPCG(seed, 2)),
		controllers:      make([]*Controller, size),
		runContexts:      make([]context.Context, size),
		cancels:          make([]context.CancelFunc, size),
		meshCut:          make([]bool, size),
		formatUpTo:       make([]int, size),
		losesResponses:   map[wire.MachineID]bool{},
		losesHeartbeats:  map[wire.MachineID]bool{},
		partitionedZones: map[wire.Zone]int{},
		observed:         observedStates{latest: map[wire.JobID]wire.Status{}},
	}
	set := cluster.settings(0)
	cluster.world = emulator.NewWorld(set.Cluster.Workers.Cancel.Duration())
	cluster.world.TeamMax["capped"] = 4
	cluster.store = emulator.NewStore(set.StateLimits().TxnOps, set.StateLimits().ValueBytes)
	cluster.cloud = &emulator.Cloud{
		World: cluster.world,
		Lag:   4 * time.Second,
		Lease: set.Cluster.Workers.Lease.Duration(),
		Most:  12,
		Run:   func(t wire.TaskID) time.Duration { return time.Duration(5+int(t.Index)*7%40) * time.Second },
		Types: []wire.MachineType{
			{
				Name:      "g2",
				CPUs:      8,
				GPUs:      2,
				MemoryGB:  32,
				CacheGB:   50,
				FetchGBps: 1,
				Price:     4,
				SpotPrice: 1,
				Boot:      20,
				Zones:     []wire.Zone{"a", "b"},
			},
		},
	}
	for i := range size {
		link := emulator.NewLink(cluster.store, seed*10+uint64(i))
		link.Step = func(t wire.Txn, applied bool) { cluster.reachStep(i, transactionStep(t, applied)) }
		cluster.links = append(cluster.links, link)
	}
	return cluster
}

// newQuietCluster returns a cluster with three controllers in which the only faults are those that
// the test injects.
func newQuietCluster(t *testing.T, seed uint64) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, seed)
	cluster.noRandomFaults, cluster.reliableMessages = true, true
	return cluster
}

// settings returns the settings of a controller.
func (cluster *testCluster) settings(i int) *settings.Settings {
	set := controllertest.SettingsOf(cluster.t, i, cluster.size)
	if cluster.adjustSettings != nil {
		cluster.adjustSettings(set)
	}
	return set
}

// randomInt returns a random integer in [0, n).
func (cluster *testCluster) randomInt(n int) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.rng.IntN(n)
}

// controller returns controller i, or nil while it is down.
func (cluster *testCluster) controller(i int) *Controller {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.controllers[i]
}

// logger returns the logger of a controller.
func (cluster *testCluster) logger(i int) *slog.Logger {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("HISTORY_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("member", i)
	}
	if cluster.onLog != nil {
		log = slog.New(logObserver{log.Handler(), cluster.onLog})
	}
	return log
}

// newController returns a controller with the settings of the cluster.
func (cluster *testCluster) newController(i int) *Controller {
	set := cluster.settings(i)
	if cluster.archiving {
		set.Operators.FormatUpTo = cluster.formatUpTo[i]
	}
	c := New(set, cluster.links[i], cluster.logger(i))
	if cluster.reliableMessages {
		c.set.Operators.IdleBoots = 1000
	}
	if cluster.archiving {
		options := archiverOptions(c.set)
		options.KeptJobs, options.MinCompacted, options.SettlePeriod = 0, 1, settlePeriod
		c.archiver = archiver.New(hostAdapter{c}, c.store, options, c.Stats, c.log)
	}
	if cluster.stepData != nil {
		c.Workflows.Enable(cluster.stepData)
	}
	if cluster.topology != nil {
		c.TopologyTracker.SetTree(cluster.topology)
	}
	if cluster.configure != nil {
		cluster.configure(c)
	}
	return c
}

// startController starts a controller, which must be down.
func (cluster *testCluster) startController(ctx context.Context, i int) {
	c := cluster.newController(i)
	ctx, cancel := context.WithCancel(ctx)
	cluster.mu.Lock()
	cluster.controllers[i], cluster.runContexts[i], cluster.cancels[i] = c, ctx, cancel
	cluster.mu.Unlock()
	c.registerComponents(pausableCloud{
		Cloud: cluster.cloud,
		link:  cluster.links[i],
		step:  func(step string) { cluster.reachStep(i, step) }, //nolint:contextcheck // it uses the context of the run
	})
	cluster.group.Go(func() { _ = c.Components.Run(ctx) })
	cluster.group.Go(func() {
		for ctx.Err() == nil {
			wait.For(ctx, time.Second)
			for other := range cluster.size {
				cluster.probe(ctx, c, i, other)
			}
		}
	})
}

// probe sends a probe from controller i to another over the mesh, if both are up, connected and not
// paused, and merges the answer.
func (cluster *testCluster) probe(ctx context.Context, c *Controller, i, other int) {
	p := cluster.controller(other)
	cluster.mu.Lock()
	cut := cluster.meshCut[i] || cluster.meshCut[other]
	cluster.mu.Unlock()
	if other == i || p == nil || cut || cluster.links[i].Frozen() > 0 || cluster.links[other].Frozen() > 0 {
		return
	}
	sentAt := time.Now()
	wait.For(ctx, 3*time.Millisecond)
	//nolint:contextcheck // mergePeerStatus takes no context
	c.mergePeerStatus(peer.Response{Status: p.answerProbe(c.probe(p.set.Member)), AsOf: sentAt})
}

// restart starts a controller if it is down.
func (cluster *testCluster) restart(ctx context.Context, i int) {
	if ctx.Err() == nil && cluster.controller(i) == nil {
		cluster.startController(ctx, i)
	}
}

// leader returns the index of the current leader, or 0 if there is none.
func (cluster *testCluster) leader() int {
	at, _ := cluster.leadership()
	return max(0, at)
}

// leadership returns the index of the current leader and the version of the leader record, from the
// most recent records that any controller has loaded. The index is -1 if there is no leader.
func (cluster *testCluster) leadership() (at int, newest wire.Revision) {
	at = -1
	for i := range cluster.size {
		c := cluster.controller(i)
		if c == nil {
			continue
		}
		c.cache.Read(func(l *ledger.Ledger) {
			record, version := l.Leader()
			if version <= newest {
				return
			}
			newest = version
			if _, err := fmt.Sscanf(string(record.Member), "m-%d", &at); err != nil && record.Member != "" {
				cluster.t.Errorf("leader record: member %q: %v", record.Member, err)
			}
		})
	}
	return at, newest
}

// start starts the given number of machines and all controllers. The response of each transaction is
// lost with the probability lossProbability.
func (cluster *testCluster) start(ctx context.Context, machines int, lossProbability float64) {
	cluster.lossProbability = lossProbability
	for _, link := range cluster.links {
		link.SetLossy(lossProbability)
	}
	cluster.cloud.Started = func(machine *emulator.Machine) {
		if cluster.unreachable != nil && cluster.unreachable(machine) {
			machine.Hang(true)
		}
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		if !cluster.stopped { // a machine may come up during shutdown, when nothing may be added to group
			cluster.group.Go(func() { cluster.runWorker(ctx, machine) })
		}
	}
	for i := range machines {
		cluster.cloud.Add("g2", []wire.Zone{"a", "b"}[i%2], i%2 == 1)
	}
	for i := range cluster.size {
		cluster.startController(ctx, i)
	}
}

// run starts the cluster, has users submit jobs during the first two thirds of the run, and shuts it
// down. It returns the number of jobs that finished.
func (cluster *testCluster) run(length time.Duration, jobs int, lossProbability float64) (finished int) {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	defer cancel()
	cluster.start(ctx, 4, lossProbability)
	if cluster.onStart != nil {
		cluster.onStart(ctx)
	}
	for i := range jobs {
		spec := cluster.randomSpec(i)
		// At least a millisecond: timers of two goroutines in a bubble that are due on creation run
		// with the same race detector context, which has crashed the race detector.
		after := time.Millisecond + time.Duration(cluster.randomInt(int(length/time.Second)*2/3))*time.Second
		cancelAfter := time.Duration(0)
		if cluster.randomInt(4) == 0 {
			cancelAfter = time.Duration(5+cluster.randomInt(60)) * time.Second
		}
		cluster.group.Go(func() {
			wait.For(ctx, after)
			cluster.runUser(ctx, spec, cancelAfter, &finished)
		})
	}
	end := time.After(length)
	for second := 0; ; second++ {
		select {
		case <-end:
			cluster.shutDown(cancel)
			return finished
		case <-time.After(time.Second):
			cluster.checkRules()
			if second%12 == 11 && !cluster.noRandomFaults && time.Duration(second)*time.Second < length*2/3 {
				cluster.group.Go(func() { cluster.injectFault(ctx) })
			}
		}
	}
}

// advance lets simulated time pass while it checks the invariants.
func (cluster *testCluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		cluster.checkRules()
	}
}

// shutDown stops the whole cluster and waits for messages that are still in flight.
func (cluster *testCluster) shutDown(cancel context.CancelFunc) {
	cluster.checkRules()
	cancel()
	for i := range cluster.size {
		cluster.crash(i)
	}
	cluster.mu.Lock()
	cluster.stopped = true
	cluster.mu.Unlock()
	cluster.group.Wait()
	time.Sleep(time.Minute)
}

// shutDownAndCheck stops the whole cluster and reports violated invariants.
func (cluster *testCluster) shutDownAndCheck(cancel context.CancelFunc) {
	cluster.t.Helper()
	cluster.shutDown(cancel)
	cluster.reportViolations()
}

// logObserver is a log handler that also passes each record to onLog.
type logObserver struct {
	slog.Handler
	onLog func(msg string, attributes map[string]any)
}

// Handle implements slog.Handler.
func (o logObserver) Handle(ctx context.Context, r slog.Record) error {
	attributes := map[string]any{}
	r.Attrs(func(a slog.Attr) bool {
		attributes[a.Key] = a.Value.Any()
		return true
	})
	o.onLog(r.Message, attributes)
	return o.Handler.Handle(ctx, r)
}

// Enabled implements slog.Handler.
func (o logObserver) Enabled(context.Context, slog.Level) bool { return true }

// seedCount returns the number of seeds to run: HISTORY_SEEDS if it is set, or 6.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("HISTORY_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 6
}
