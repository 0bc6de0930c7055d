package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"maddermill/internal/settings"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// faultPlan describes a run with several overlapping faults: which jobs are submitted, which faults are
// injected when, and what must hold besides the invariants. A user queries all controllers concurrently
// after the job is accepted and after it is final.
type faultPlan struct {
	name           string
	machines       int // number of machines at the start
	maxMachines    int // most machines that the cloud provides; raised to machines if lower
	adjustSettings func(*settings.Settings)
	prepare        func(cluster *testCluster) // changes the cluster before its start, if not nil
	jobs           int
	submitInterval time.Duration                             // between two submissions
	spec           func(rng *rand.Rand, i int) *wire.JobSpec // returns job i; fillSpec adds missing fields
	cancelAfter    func(rng *rand.Rand, i int) time.Duration // delay after acceptance; 0: never
	events         []faultEvent
	faultsUntil    time.Duration       // when all events are over
	settleWithin   time.Duration       // limit from faultsUntil until all jobs are final
	check          func(run *faultRun) // called at the end, if not nil
}

// faultEvent is a fault that is injected at a given time.
type faultEvent struct {
	at     time.Duration // since the start of the run
	inject func(run *faultRun)
}

// faultRun is one run of a plan.
type faultRun struct {
	*testCluster
	plan *faultPlan
	ctx  context.Context

	usersMu  sync.Mutex // guards the fields below
	accepted map[wire.JobID]bool
	final    map[wire.JobID]wire.Status
}

// run runs the plan with the given seed.
func (p *faultPlan) run(t *testing.T, seed uint64) {
	t.Helper()
	cluster := newTestClusterOf(t, seed, 3, p.adjustSettings)
	cluster.noRandomFaults, cluster.reliableMessages, cluster.archiving = true, true, seed%2 == 0
	cluster.cloud.Most = max(p.maxMachines, p.machines)
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Second }
	if p.prepare != nil {
		p.prepare(cluster)
	}
	ctx, cancel := context.WithCancel(t.Context())
	run := &faultRun{
		testCluster: cluster,
		plan:        p,
		ctx:         ctx,
		accepted:    map[wire.JobID]bool{},
		final:       map[wire.JobID]wire.Status{},
	}
	cluster.start(ctx, p.machines, 0)
	run.startUsers()
	for _, e := range p.events {
		cluster.group.Go(func() {
			wait.For(ctx, e.at+time.Millisecond)
			e.inject(run)
		})
	}
	cluster.advance(p.faultsUntil)
	for end := time.Now().Add(p.settleWithin); time.Now().Before(end) && !run.allFinal(); {
		cluster.advance(time.Second)
	}
	run.checkAllFinal()
	if p.check != nil {
		p.check(run)
	}
	cluster.shutDownAndCheck(cancel)
}

// startUsers starts the users of the plan's jobs.
func (run *faultRun) startUsers() {
	p, rng := run.plan, rand.New(rand.NewPCG(run.seed, 8))
	for i := range p.jobs {
		spec := p.spec(rng, i)
		fillSpec(spec, i)
		cancelAfter := time.Duration(0)
		if p.cancelAfter != nil {
			cancelAfter = p.cancelAfter(rng, i)
		}
		run.group.Go(func() {
			wait.For(run.ctx, 6*time.Second+time.Duration(i)*p.submitInterval)
			run.submitAndPoll(spec, cancelAfter)
		})
	}
}

// fillSpec sets the ID and the fixed fields of job i, and the defaults of fields that are not set.
func fillSpec(spec *wire.JobSpec, i int) {
	spec.ID, spec.Class, spec.Image, spec.ImageGB, spec.Estimate = jobID(i), "c", "img-0", 2, 20
	spec.CPUs, spec.MemoryGB, spec.Spot = 1, 1, true
	if spec.Team == "" {
		spec.Team = "free"
	}
	if spec.Shape == "" {
		spec.Shape = wire.Array
	}
	if spec.Priority == "" {
		spec.Priority = wire.Normal
	}
	spec.Tasks = max(1, spec.Tasks)
	if spec.GPUs == 0 {
		spec.GPUs = 1
	}
}

// allFinal reports whether all jobs are done or cancelled.
func (run *faultRun) allFinal() bool {
	run.usersMu.Lock()
	defer run.usersMu.Unlock()
	return len(run.final) == run.plan.jobs
}

// checkAllFinal reports jobs that are not done or cancelled.
func (run *faultRun) checkAllFinal() {
	run.t.Helper()
	if run.allFinal() {
		return
	}
	for i := range run.plan.jobs {
		id := jobID(i)
		if run.finalStatus(id) == "" {
			run.t.Errorf(
				"seed %d: status of %s at the end (accepted %v): got %q, want it to be final",
				run.seed,
				id,
				run.isAccepted(id),
				run.observed.latestOf(id),
			)
		}
	}
}

// isAccepted reports whether a job was accepted.
func (run *faultRun) isAccepted(id wire.JobID) bool {
	run.usersMu.Lock()
	defer run.usersMu.Unlock()
	return run.accepted[id]
}

// finalStatus returns the final status of a job, or "" if it is not final yet.
func (run *faultRun) finalStatus(id wire.JobID) wire.Status {
	run.usersMu.Lock()
	defer run.usersMu.Unlock()
	return run.final[id]
}

// submitAndPoll acts as a user who submits a job and polls it until it is final, and cancels it if
// cancelAfter is positive.
func (run *faultRun) submitAndPoll(spec *wire.JobSpec, cancelAfter time.Duration) {
	run.world.Upload(spec)
	status := run.queryAny(run.ctx, spec.ID, submitRequest(spec))
	if run.ctx.Err() != nil {
		return
	}
	run.usersMu.Lock()
	run.accepted[spec.ID] = true
	run.usersMu.Unlock()
	run.queryAll(run.ctx, spec)
	acceptedAt := time.Now()
	for run.ctx.Err() == nil && rank(status) < 2 {
		pause := 3 * time.Second
		if cancelAfter > 0 {
			pause = min(pause, max(0, cancelAfter-time.Since(acceptedAt)))
		}
		wait.For(run.ctx, pause)
		if cancelAfter > 0 && time.Since(acceptedAt) >= cancelAfter {
			status = run.queryAny(run.ctx, spec.ID, cancelRequest(spec.ID))
			continue
		}
		status = run.queryAny(run.ctx, spec.ID, statusRequest(spec.ID))
	}
	if run.ctx.Err() != nil {
		return
	}
	run.queryAll(run.ctx, spec)
	run.usersMu.Lock()
	run.final[spec.ID] = status
	run.usersMu.Unlock()
}

// Events: crashes.

// restartDelay is the time from a crash of a controller to its restart.
const restartDelay = 300 * time.Millisecond

// crashAt returns an event that crashes the chosen controller and restarts it after the downtime.
func crashAt(at time.Duration, choose func(run *faultRun) int, downtime time.Duration) faultEvent {
	return faultEvent{at, func(run *faultRun) {
		i := choose(run)
		run.crash(i)
		wait.For(run.ctx, downtime)
		run.restart(run.ctx, i)
	}}
}

// currentLeader chooses the current leader.
func currentLeader(run *faultRun) int { return run.leader() }

// controllerAt chooses a controller by its index.
func controllerAt(i int) func(*faultRun) int { return func(*faultRun) int { return i } }

// crashAllAt returns an event that crashes all controllers and restarts them after the downtime.
func crashAllAt(at, downtime time.Duration) faultEvent {
	return faultEvent{at, func(run *faultRun) {
		for i := range run.size {
			run.crash(i)
		}
		wait.For(run.ctx, downtime)
		for i := range run.size {
			run.restart(run.ctx, i)
		}
	}}
}

// crashAtStep returns an onStep hook for a cluster that crashes a controller when it reaches the given
// step, up to the given number of times. The controller restarts after restartDelay.
func crashAtStep(step string, times int) func(cluster *testCluster) func(i int, step string) {
	return func(cluster *testCluster) func(int, string) {
		return func(i int, reached string) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			if reached != step || times == 0 || cluster.stopped {
				return
			}
			times--
			ctx := cluster.t.Context()
			cluster.group.Go(func() { // in a new goroutine: the hook runs within the controller that crashes
				cluster.crash(i)
				wait.For(ctx, restartDelay)
				cluster.restart(ctx, i)
			})
		}
	}
}

// repeated returns the given number of events, the first at first and then one per interval.
func repeated(times int, first, interval time.Duration, event func(at time.Duration) faultEvent) (out []faultEvent) {
	for i := range times {
		out = append(out, event(first+time.Duration(i)*interval))
	}
	return out
}

// Events: faults with a duration.

// lastingFault injects a fault and returns a function that ends it.
type lastingFault func(run *faultRun) (end func())

// during returns an event that injects a fault and ends it after length.
func during(at, length time.Duration, begin lastingFault) faultEvent {
	return faultEvent{at, func(run *faultRun) {
		end := begin(run)
		wait.For(run.ctx, length)
		end()
	}}
}

// storeDown makes the state service unavailable to all controllers.
func storeDown(run *faultRun) (end func()) { return run.storeOutage() }

// isolateLeader disconnects the leader from the state service, and from its peers if cutMesh is set.
func isolateLeader(cutMesh bool) lastingFault {
	return func(run *faultRun) (end func()) { return run.isolate(run.leader(), cutMesh) }
}

// slowStore makes each request to the state service take the time d.
func slowStore(d time.Duration) lastingFault {
	return func(run *faultRun) (end func()) {
		run.slowStore(d)
		return func() { run.slowStore(0) }
	}
}

// delayWrites drops the response of every nth transaction with writes and applies the transaction after
// the returned delay.
func delayWrites(n int, after func(count int) time.Duration) lastingFault {
	return func(run *faultRun) (end func()) {
		var mu sync.Mutex
		count := 0
		run.delayTransactions(func(t wire.Txn) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if count++; len(t.Then) == 0 || count%n != 0 {
				return 0
			}
			return after(count)
		})
		return func() { run.delayTransactions(nil) }
	}
}

func afterOneMillisecond(int) time.Duration { return time.Millisecond }

// afterSeveralSeconds returns a delay of 2 to 12 s.
func afterSeveralSeconds(count int) time.Duration {
	return 2*time.Second + time.Duration(count*7%11)*time.Second
}

// everyNthMachine injects a fault at every nth machine that is up.
func everyNthMachine(n int, set func(run *faultRun, machine *emulator.Machine, on bool)) lastingFault {
	return func(run *faultRun) (end func()) {
		var chosen []*emulator.Machine
		for i, machine := range run.cloud.Up() {
			if i%n == 0 {
				chosen = append(chosen, machine)
				set(run, machine, true)
			}
		}
		return func() {
			for _, machine := range chosen {
				set(run, machine, false)
			}
		}
	}
}

func hangMachine(_ *faultRun, machine *emulator.Machine, on bool) { machine.Hang(on) }

func loseHeartbeats(run *faultRun, machine *emulator.Machine, on bool) {
	run.deliverHeartbeats(machine.Type.ID, !on)
}

func loseResponses(run *faultRun, machine *emulator.Machine, on bool) {
	run.deliverResponses(machine.Type.ID, !on)
}

// replayAt returns an event that copies all heartbeats for the time length. All copies are delivered to
// every controller at the given time after the next leader election.
func replayAt(at, length, after time.Duration) faultEvent {
	return faultEvent{at, func(run *faultRun) { run.replayHeartbeats(run.ctx, length, after) }}
}
