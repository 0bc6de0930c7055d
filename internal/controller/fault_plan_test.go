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

// faultPlan describes a meeting of troubles: which jobs come, what goes wrong when, and what must
// hold besides the rules. Users ask all controllers at once whenever something became of their job.
type faultPlan struct {
	name           string
	machines       int // up at the start
	maxMachines    int // that the cloud gives at the most
	adjustSettings func(*settings.Settings)
	prepare        func(cluster *testCluster) // changes the stand-ins before anything begins
	jobs           int
	submitInterval time.Duration                             // between two submissions
	spec           func(rng *rand.Rand, i int) *wire.JobSpec // a job; what is left out is filled in
	cancelAfter    func(rng *rand.Rand, i int) time.Duration // after its acceptance; 0: never
	events         []faultEvent
	faultsUntil    time.Duration       // all events are over by then
	settleWithin   time.Duration       // and all jobs so much later
	check          func(run *faultRun) // checked at the end, if given
}

// faultEvent is what goes wrong at a time.
type faultEvent struct {
	at time.Duration
	do func(run *faultRun)
}

// faultRun is one play of a plan.
type faultRun struct {
	*testCluster
	plan *faultPlan
	ctx  context.Context

	usersMu  sync.Mutex
	accepted map[wire.JobID]bool
	final    map[wire.JobID]wire.Status
}

// run plays a plan by a seed.
func (p *faultPlan) run(t *testing.T, seed uint64) {
	cluster := newTestClusterOf(t, seed, 3, p.adjustSettings)
	cluster.noRandomFaults, cluster.reliableMessages, cluster.archiving = true, true, seed%2 == 0
	cluster.cloud.Most = max(p.maxMachines, p.machines)
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Second }
	run := &faultRun{testCluster: cluster, plan: p, accepted: map[wire.JobID]bool{}, final: map[wire.JobID]wire.Status{}}
	if p.prepare != nil {
		p.prepare(cluster)
	}
	ctx, cancel := context.WithCancel(t.Context())
	run.ctx = ctx
	cluster.start(ctx, p.machines, 0)
	rng := rand.New(rand.NewPCG(seed, 8))
	for i := range p.jobs {
		spec := p.spec(rng, i)
		fillSpec(spec, i)
		after := time.Duration(0)
		if p.cancelAfter != nil {
			after = p.cancelAfter(rng, i)
		}
		cluster.group.Go(func() {
			wait.For(ctx, 6*time.Second+time.Duration(i)*p.submitInterval)
			run.submitAndPoll(spec, after)
		})
	}
	for _, e := range p.events {
		cluster.group.Go(func() {
			wait.For(ctx, e.at+time.Millisecond)
			e.do(run)
		})
	}
	cluster.advance(p.faultsUntil)
	for end := time.Now().Add(p.settleWithin); time.Now().Before(end) && !run.allFinal(); {
		cluster.advance(time.Second)
	}
	if !run.allFinal() {
		for i := range p.jobs {
			if id := jobID(i); run.finalStatus(id) == "" {
				t.Errorf("seed %d: %s is not over: accepted %v, %q", seed, id, run.accepted[id], run.observed.latestOf(id))
			}
		}
	}
	if p.check != nil {
		p.check(run)
	}
	cluster.shutDownAndCheck(cancel)
}

// fillSpec completes a job's description.
func fillSpec(s *wire.JobSpec, i int) {
	s.ID, s.Class, s.Image, s.ImageGB, s.Estimate = jobID(i), "c", "img-0", 2, 20
	s.CPUs, s.MemoryGB, s.Spot = 1, 1, true
	if s.Team == "" {
		s.Team = "free"
	}
	if s.Shape == "" {
		s.Shape = wire.Array
	}
	if s.Priority == "" {
		s.Priority = wire.Normal
	}
	s.Tasks = max(1, s.Tasks)
	if s.GPUs == 0 {
		s.GPUs = 1
	}
}

// allFinal reports whether all jobs are.
func (run *faultRun) allFinal() bool {
	run.usersMu.Lock()
	defer run.usersMu.Unlock()
	return len(run.final) == run.plan.jobs
}

func (run *faultRun) finalStatus(id wire.JobID) wire.Status {
	run.usersMu.Lock()
	defer run.usersMu.Unlock()
	return run.final[id]
}

// submitAndPoll submits a job, looks closely whenever something became of it, and perhaps cancels it.
func (run *faultRun) submitAndPoll(spec *wire.JobSpec, cancelAfter time.Duration) {
	run.world.Upload(spec)
	st := run.queryAny(run.ctx, spec.ID, submitRequest(spec))
	if run.ctx.Err() != nil {
		return
	}
	run.usersMu.Lock()
	run.accepted[spec.ID] = true
	run.usersMu.Unlock()
	run.queryAll(run.ctx, spec)
	began := time.Now()
	for run.ctx.Err() == nil && rank(st) < 2 {
		pause := 3 * time.Second
		if cancelAfter > 0 {
			pause = min(pause, max(0, cancelAfter-time.Since(began)))
		}
		wait.For(run.ctx, pause)
		if cancelAfter > 0 && time.Since(began) >= cancelAfter {
			st = run.queryAny(run.ctx, spec.ID, cancelRequest(spec.ID))
			continue
		}
		st = run.queryAny(run.ctx, spec.ID, statusRequest(spec.ID))
	}
	if run.ctx.Err() != nil {
		return
	}
	run.queryAll(run.ctx, spec)
	run.usersMu.Lock()
	run.final[spec.ID] = st
	run.usersMu.Unlock()
}

// Events.

func crashAt(at time.Duration, which func(run *faultRun) int, back time.Duration) faultEvent {
	return faultEvent{at, func(run *faultRun) {
		i := which(run)
		run.crash(i)
		wait.For(run.ctx, back)
		run.restart(run.ctx, i)
	}}
}

func currentLeader(run *faultRun) int { return run.leader() }

func controllerAt(i int) func(*faultRun) int { return func(*faultRun) int { return i } }

func crashAllAt(at, back time.Duration) faultEvent {
	return faultEvent{at, func(run *faultRun) {
		for i := range run.size {
			run.crash(i)
		}
		wait.For(run.ctx, back)
		for i := range run.size {
			run.restart(run.ctx, i)
		}
	}}
}

// during has something on for a while: what begin does, and what it returns ends.
func during(at, length time.Duration, begin func(run *faultRun) (end func())) faultEvent {
	return faultEvent{at, func(run *faultRun) {
		end := begin(run)
		wait.For(run.ctx, length)
		end()
	}}
}

func storeDown(run *faultRun) func() { return run.testCluster.storeOutage() }

func isolateLeader(cut bool) func(run *faultRun) func() {
	return func(run *faultRun) func() { return run.isolate(run.leader(), cut) }
}

// everyNthMachine has something done to every so manieth machine.
func everyNthMachine(every int, set func(run *faultRun, machine *emulator.Machine, on bool)) func(run *faultRun) func() {
	return func(run *faultRun) func() {
		var chosen []*emulator.Machine
		for i, machine := range run.cloud.Up() {
			if i%every == 0 {
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

// slowStore has each request to the state service take so long.
func slowStore(d time.Duration) func(run *faultRun) func() {
	return func(run *faultRun) func() {
		set := func(d time.Duration) {
			for _, l := range run.links {
				l.SetSlow(d)
			}
		}
		set(d)
		return func() { set(0) }
	}
}

// delayWrites has every so manieth transaction get no answer and be carried out after a time.
func delayWrites(every int, after func(n int) time.Duration) func(run *faultRun) func() {
	return func(run *faultRun) func() {
		var mu sync.Mutex
		seen := 0
		set := func(late func(wire.Txn) time.Duration) {
			for _, l := range run.links {
				l.SetLate(late)
			}
		}
		set(func(t wire.Txn) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if seen++; len(t.Then) == 0 || seen%every != 0 {
				return 0
			}
			return after(seen)
		})
		return func() { set(nil) }
	}
}

func afterOneMillisecond(int) time.Duration { return time.Millisecond }

func afterSeveralSeconds(n int) time.Duration {
	return 2*time.Second + time.Duration(n*7%11)*time.Second
}

// replayAt keeps copies of all reports for a while; all arrive at every controller so long after
// the next time that a controller begins to lead.
func replayAt(at, length, after time.Duration) faultEvent {
	return faultEvent{at, func(run *faultRun) { run.replayHeartbeats(run.ctx, length, after) }}
}
