package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"maddermill/internal/clock"
	"maddermill/internal/desk"
	"maddermill/internal/settings"
	"maddermill/internal/standin"
	"maddermill/wire"
)

// meetingPlan describes a meeting of troubles: which jobs come, what goes wrong when, and what must
// hold besides the rules. Users ask all controllers at once whenever something became of their job.
type meetingPlan struct {
	name     string
	nodes    int // controllers; 3 if 0
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
	plan    *meetingPlan
	ctx     context.Context
	answers answers
	kept    []heldReport // copies of reports, while they are kept

	users     sync.Mutex
	keeping   bool
	accepted  map[wire.JobID]bool
	final     map[wire.JobID]wire.Status
	cancelled chan wire.JobID // at the end of its last task
}

type heldReport struct {
	report wire.Report
	at     time.Time
}

// play plays a plan by a seed.
func (p *meetingPlan) play(t *testing.T, seed uint64) {
	nodes := max(p.nodes, 3)
	h := newHistoryOf(t, seed, nodes, p.tune)
	h.quiet, h.calm, h.past = true, true, seed%2 == 0
	h.cloud.Most = max(p.most, p.machines)
	h.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Second }
	m := &meetingRun{history: h, plan: p, accepted: map[wire.JobID]bool{}, final: map[wire.JobID]wire.Status{}, cancelled: make(chan wire.JobID, 1000)}
	m.answers.latest = map[wire.JobID]wire.Status{}
	h.reported = m.keep
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
			clock.Sleep(ctx, 6*time.Second+time.Duration(i)*p.every)
			m.user(spec, after)
		})
	}
	for _, e := range p.events {
		h.group.Go(func() {
			clock.Sleep(ctx, e.at+time.Millisecond)
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

// answers is the plain model of what may be told of jobs: a job is unknown, then accepted, then
// done or cancelled, for ever. An answer may tell no less than one that came before it was asked for.
type answers struct {
	mu     sync.Mutex
	latest map[wire.JobID]wire.Status
}

const unknownJob wire.Status = ""

func rankOf(s wire.Status) int {
	switch s {
	case unknownJob:
		return 0
	case wire.Done, wire.Cancelled:
		return 2
	}
	return 1
}

// asked tells what is known when a question is asked.
func (a *answers) asked(id wire.JobID) wire.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latest[id]
}

// answered takes in an answer and reports whether it is one that may be given.
func (a *answers) answered(id wire.JobID, before, got wire.Status) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if rankOf(got) > rankOf(a.latest[id]) {
		a.latest[id] = got
	}
	return rankOf(got) > rankOf(before) || rankOf(got) == rankOf(before) && (rankOf(got) < 2 || got == before)
}

type request func(ctx context.Context, c *Core) (wire.JobStatus, error)

// ask asks one controller and checks what it says. A process that ends meanwhile answers nothing.
func (m *meetingRun) ask(id wire.JobID, at int, r request) (wire.Status, bool) {
	c := m.core(at)
	if c == nil {
		return "", false
	}
	before := m.answers.asked(id)
	ctx, cancel := context.WithTimeout(m.ctx, 5*time.Second)
	st, err := r(ctx, c)
	cancel()
	if m.core(at) != c || m.ctx.Err() != nil || err != nil && !errors.Is(err, desk.ErrNoSuchJob) {
		return "", false
	}
	got := st.Status
	if err != nil {
		got = unknownJob
	}
	if !m.answers.answered(id, before, got) {
		m.t.Errorf("%s: controller %d says %q, and %q was told before it was asked", id, at, got, before)
	}
	if got != unknownJob {
		m.world.Told(id, got)
	}
	return got, true
}

// askOne asks controllers in turn until one answers.
func (m *meetingRun) askOne(id wire.JobID, r request) wire.Status {
	for at := m.chance(m.n); m.ctx.Err() == nil; at = (at + 1) % m.n {
		if st, ok := m.ask(id, at, r); ok {
			return st
		}
		clock.Sleep(m.ctx, 500*time.Millisecond)
	}
	return ""
}

// askAll asks all controllers at once and again some milliseconds later, and repeats the submission
// at each.
func (m *meetingRun) askAll(spec *wire.JobSpec) {
	for i := range m.n {
		m.group.Go(func() {
			for _, pause := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 40 * time.Millisecond} {
				clock.Sleep(m.ctx, pause)
				m.ask(spec.ID, i, status(spec.ID))
			}
			m.ask(spec.ID, i, submission(spec))
		})
	}
}

func status(id wire.JobID) request {
	return func(ctx context.Context, c *Core) (wire.JobStatus, error) { return c.Users.Status(ctx, id) }
}

func submission(spec *wire.JobSpec) request {
	return func(ctx context.Context, c *Core) (wire.JobStatus, error) {
		st, _, err := c.Users.Submit(ctx, spec)
		return st, err
	}
}

func cancellation(id wire.JobID) request {
	return func(ctx context.Context, c *Core) (wire.JobStatus, error) { return c.Users.Cancel(ctx, id) }
}

// user submits a job, looks closely whenever something became of it, and perhaps cancels it.
func (m *meetingRun) user(spec *wire.JobSpec, cancelAfter time.Duration) {
	m.world.Upload(spec)
	st := m.askOne(spec.ID, submission(spec))
	if m.ctx.Err() != nil {
		return
	}
	m.users.Lock()
	m.accepted[spec.ID] = true
	m.users.Unlock()
	m.askAll(spec)
	began := time.Now()
	for m.ctx.Err() == nil && rankOf(st) < 2 {
		wait := 3 * time.Second
		if cancelAfter > 0 {
			wait = min(wait, max(0, cancelAfter-time.Since(began)))
		}
		clock.Sleep(m.ctx, wait)
		if cancelAfter > 0 && time.Since(began) >= cancelAfter {
			st = m.askOne(spec.ID, cancellation(spec.ID))
			continue
		}
		st = m.askOne(spec.ID, status(spec.ID))
	}
	if m.ctx.Err() != nil {
		return
	}
	m.askAll(spec)
	m.users.Lock()
	m.final[spec.ID] = st
	m.users.Unlock()
}

// keep keeps a copy of a report, while that is wanted.
func (m *meetingRun) keep(_ int, r *wire.Report) {
	m.users.Lock()
	defer m.users.Unlock()
	if m.keeping {
		m.kept = append(m.kept, heldReport{*r, time.Now()})
	}
}

// Events.

func ending(at time.Duration, which func(m *meetingRun) int, back time.Duration) meetingEvent {
	return meetingEvent{at, func(m *meetingRun) {
		i := which(m)
		m.crash(i)
		clock.Sleep(m.ctx, back)
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
		clock.Sleep(m.ctx, back)
		for i := range m.n {
			m.restart(m.ctx, i)
		}
	}}
}

// during has something on for a while: what begin does, and what it returns ends.
func during(at, length time.Duration, begin func(m *meetingRun) (end func())) meetingEvent {
	return meetingEvent{at, func(m *meetingRun) {
		end := begin(m)
		clock.Sleep(m.ctx, length)
		end()
	}}
}

func stateOut(m *meetingRun) func() { return m.history.outage() }

func leaderAlone(cut bool) func(m *meetingRun) func() {
	return func(m *meetingRun) func() { return m.alone(m.leading(), cut) }
}

// someMachines has something done to every so manieth machine.
func someMachines(every int, set func(m *meetingRun, machine *standin.Machine, on bool)) func(m *meetingRun) func() {
	return func(m *meetingRun) func() {
		var chosen []*standin.Machine
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

func hung(_ *meetingRun, machine *standin.Machine, on bool) { machine.Hang(on) }

func mute(m *meetingRun, machine *standin.Machine, on bool) { m.speaks(machine.Type.ID, !on) }

func deaf(m *meetingRun, machine *standin.Machine, on bool) { m.hears(machine.Type.ID, !on) }

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
	return meetingEvent{at, func(m *meetingRun) {
		m.users.Lock()
		m.keeping = true
		m.users.Unlock()
		clock.Sleep(m.ctx, length)
		m.users.Lock()
		m.keeping = false
		kept := m.kept
		m.users.Unlock()
		for _, before := m.leadership(); m.ctx.Err() == nil; clock.Sleep(m.ctx, 10*time.Millisecond) {
			if at, now := m.leadership(); at >= 0 && now > before {
				break
			}
		}
		clock.Sleep(m.ctx, after)
		for _, k := range kept {
			for i := range m.n {
				if c := m.core(i); c != nil {
					m.group.Go(func() {
						report := k.report
						_ = c.Workers.Report(m.ctx, &report)
					})
				}
			}
			clock.Sleep(m.ctx, time.Millisecond)
		}
	}}
}
