package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"maddermill/internal/settings"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// meetingPlan describes a meeting of troubles: which jobs come, what goes wrong when, and what must
// hold besides the rules. Users ask all controllers at once whenever something became of their job.
type meetingPlan struct {
	name     string
	machines int // up at the start
	most     int // that the cloud gives at the most
	tune     func(*settings.Settings)
	world    func(h *history) // changes the stand-ins before anything begins
	jobs     int
	every    time.Duration                             // between two submissions
	spec     func(rng *rand.Rand, i int) *wire.JobSpec // a job; what is left out is filled in
	cancel   func(rng *rand.Rand, i int) time.Duration // after its acceptance; 0: never
	events   []meetingEvent
	troubled time.Duration       // all events are over by then
	settled  time.Duration       // and all jobs so much later
	holds    func(m *meetingRun) // checked at the end, if given
}

// meetingEvent is what goes wrong at a time.
type meetingEvent struct {
	at time.Duration
	do func(m *meetingRun)
}

// meetingRun is one play of a plan.
type meetingRun struct {
	*history
	plan *meetingPlan
	ctx  context.Context

	users    sync.Mutex
	accepted map[wire.JobID]bool
	final    map[wire.JobID]wire.Status
}

// play plays a plan by a seed.
func (p *meetingPlan) play(t *testing.T, seed uint64) {
	h := newHistoryOf(t, seed, 3, p.tune)
	h.quiet, h.calm, h.past = true, true, seed%2 == 0
	h.cloud.Most = max(p.most, p.machines)
	h.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Second }
	m := &meetingRun{history: h, plan: p, accepted: map[wire.JobID]bool{}, final: map[wire.JobID]wire.Status{}}
	if p.world != nil {
		p.world(h)
	}
	ctx, cancel := context.WithCancel(t.Context())
	m.ctx = ctx
	h.begin(ctx, p.machines, 0)
	rng := rand.New(rand.NewPCG(seed, 8))
	for i := range p.jobs {
		spec := p.spec(rng, i)
		fill(spec, i)
		after := time.Duration(0)
		if p.cancel != nil {
			after = p.cancel(rng, i)
		}
		h.group.Go(func() {
			wait.For(ctx, 6*time.Second+time.Duration(i)*p.every)
			m.user(spec, after)
		})
	}
	for _, e := range p.events {
		h.group.Go(func() {
			wait.For(ctx, e.at+time.Millisecond)
			e.do(m)
		})
	}
	h.pass(p.troubled)
	for end := time.Now().Add(p.settled); time.Now().Before(end) && !m.over(); {
		h.pass(time.Second)
	}
	if !m.over() {
		for i := range p.jobs {
			if id := jobID(i); m.finalOf(id) == "" {
				t.Errorf("seed %d: %s is not over: accepted %v, %q", seed, id, m.accepted[id], m.answers.asked(id))
			}
		}
	}
	if p.holds != nil {
		p.holds(m)
	}
	h.verdict(cancel)
}

func jobID(i int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", i)) }

// fill completes a job's description.
func fill(s *wire.JobSpec, i int) {
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

// over reports whether all jobs are.
func (m *meetingRun) over() bool {
	m.users.Lock()
	defer m.users.Unlock()
	return len(m.final) == m.plan.jobs
}

func (m *meetingRun) finalOf(id wire.JobID) wire.Status {
	m.users.Lock()
	defer m.users.Unlock()
	return m.final[id]
}

// user submits a job, looks closely whenever something became of it, and perhaps cancels it.
func (m *meetingRun) user(spec *wire.JobSpec, cancelAfter time.Duration) {
	m.world.Upload(spec)
	st := m.askOne(m.ctx, spec.ID, submission(spec))
	if m.ctx.Err() != nil {
		return
	}
	m.users.Lock()
	m.accepted[spec.ID] = true
	m.users.Unlock()
	m.askAll(m.ctx, spec)
	began := time.Now()
	for m.ctx.Err() == nil && rankOf(st) < 2 {
		pause := 3 * time.Second
		if cancelAfter > 0 {
			pause = min(pause, max(0, cancelAfter-time.Since(began)))
		}
		wait.For(m.ctx, pause)
		if cancelAfter > 0 && time.Since(began) >= cancelAfter {
			st = m.askOne(m.ctx, spec.ID, cancellation(spec.ID))
			continue
		}
		st = m.askOne(m.ctx, spec.ID, status(spec.ID))
	}
	if m.ctx.Err() != nil {
		return
	}
	m.askAll(m.ctx, spec)
	m.users.Lock()
	m.final[spec.ID] = st
	m.users.Unlock()
}

// Events.

func ending(at time.Duration, which func(m *meetingRun) int, back time.Duration) meetingEvent {
	return meetingEvent{at, func(m *meetingRun) {
		i := which(m)
		m.crash(i)
		wait.For(m.ctx, back)
		m.restart(m.ctx, i)
	}}
}

func theLeader(m *meetingRun) int { return m.leading() }

func controller(i int) func(*meetingRun) int { return func(*meetingRun) int { return i } }

func endingAll(at, back time.Duration) meetingEvent {
	return meetingEvent{at, func(m *meetingRun) {
		for i := range m.n {
			m.crash(i)
		}
		wait.For(m.ctx, back)
		for i := range m.n {
			m.restart(m.ctx, i)
		}
	}}
}

// during has something on for a while: what begin does, and what it returns ends.
func during(at, length time.Duration, begin func(m *meetingRun) (end func())) meetingEvent {
	return meetingEvent{at, func(m *meetingRun) {
		end := begin(m)
		wait.For(m.ctx, length)
		end()
	}}
}

func stateOut(m *meetingRun) func() { return m.history.outage() }

func leaderAlone(cut bool) func(m *meetingRun) func() {
	return func(m *meetingRun) func() { return m.alone(m.leading(), cut) }
}

// someMachines has something done to every so manieth machine.
func someMachines(every int, set func(m *meetingRun, machine *emulator.Machine, on bool)) func(m *meetingRun) func() {
	return func(m *meetingRun) func() {
		var chosen []*emulator.Machine
		for i, machine := range m.cloud.Up() {
			if i%every == 0 {
				chosen = append(chosen, machine)
				set(m, machine, true)
			}
		}
		return func() {
			for _, machine := range chosen {
				set(m, machine, false)
			}
		}
	}
}

func hung(_ *meetingRun, machine *emulator.Machine, on bool) { machine.Hang(on) }

func mute(m *meetingRun, machine *emulator.Machine, on bool) { m.speaks(machine.Type.ID, !on) }

func deaf(m *meetingRun, machine *emulator.Machine, on bool) { m.hears(machine.Type.ID, !on) }

// slowState has each request to the state service take so long.
func slowState(d time.Duration) func(m *meetingRun) func() {
	return func(m *meetingRun) func() {
		set := func(d time.Duration) {
			for _, l := range m.links {
				l.SetSlow(d)
			}
		}
		set(d)
		return func() { set(0) }
	}
}

// lateWrites has every so manieth transaction get no answer and be carried out after a time.
func lateWrites(every int, after func(n int) time.Duration) func(m *meetingRun) func() {
	return func(m *meetingRun) func() {
		var mu sync.Mutex
		seen := 0
		set := func(late func(wire.Txn) time.Duration) {
			for _, l := range m.links {
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

func atOnce(int) time.Duration { return time.Millisecond }

func seconds(n int) time.Duration { return 2*time.Second + time.Duration(n*7%11)*time.Second }

// heldReports keeps copies of all reports for a while; all arrive at every controller so long after
// the next time that a controller begins to lead.
func heldReports(at, length, after time.Duration) meetingEvent {
	return meetingEvent{at, func(m *meetingRun) { m.holdReports(m.ctx, length, after) }}
}
