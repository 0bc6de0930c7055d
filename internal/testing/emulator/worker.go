package emulator

import (
	"slices"
	"sync"
	"time"

	"maddermill/wire"
)

// World is what really happens on the machines, and what the rules say of it.
type World struct {
	mu      sync.Mutex
	specs   map[wire.JobID]*wire.JobSpec
	on      map[wire.TaskID]wire.MachineID // machines that tasks are on
	zoneOf  map[wire.TaskID]wire.Zone
	mates   map[wire.TaskID]mate // gangs' tasks that have their image
	hung    map[wire.MachineID]bool
	TeamMax map[wire.Team]float64 // GPUs
	done    map[wire.TaskID]bool
	seen    map[wire.JobID]map[wire.TaskIndex]bool
	told    map[wire.JobID]toldState
	CancelS time.Duration
	Broken  []string
	Starts  int
	Lapsed  int // tasks that ended with a lease
	Again   int // starts of tasks that had completed

	Finished func(wire.TaskID)                               // called before a task is reported as done, if given
	Fails    func(wire.MachineID, wire.TaskID) bool          // a task ends with an error there, if given
	Fetch    func(wire.MachineID, wire.TaskID) time.Duration // of an image, if not usualFetch
}

// mate is a gang's task as its mates see it.
type mate struct {
	attempt wire.Attempt
	on      wire.MachineID
}

// Times after which a gang's task gives up: waiting for its mates, and missing one.
const (
	gangWait = 30 * time.Second
	gangPeer = 5 * time.Second
)

type toldState struct {
	status wire.Status
	at     time.Time
}

// NewWorld returns a world in which nothing has happened.
func NewWorld(cancel time.Duration) *World {
	return &World{
		specs:   map[wire.JobID]*wire.JobSpec{},
		on:      map[wire.TaskID]wire.MachineID{},
		zoneOf:  map[wire.TaskID]wire.Zone{},
		mates:   map[wire.TaskID]mate{},
		hung:    map[wire.MachineID]bool{},
		TeamMax: map[wire.Team]float64{},
		done:    map[wire.TaskID]bool{},
		seen:    map[wire.JobID]map[wire.TaskIndex]bool{},
		told:    map[wire.JobID]toldState{},
		CancelS: cancel,
	}
}

// Upload makes a job's description known to the workers.
func (w *World) Upload(s *wire.JobSpec) {
	w.mu.Lock()
	w.specs[s.ID] = s
	w.mu.Unlock()
}

// Known reports whether a job's description was uploaded.
func (w *World) Known(job wire.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job] != nil
}

// Spec is a job's description as it was uploaded.
func (w *World) Spec(job wire.JobID) *wire.JobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job]
}

func (w *World) broke(rule string) { w.Broken = append(w.Broken, rule) }

// ObserveAnswer notes what a user was told of a job and checks it.
func (w *World) ObserveAnswer(id wire.JobID, status wire.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.told[id]
	if (before.status == wire.Done || before.status == wire.Cancelled) && status != before.status {
		w.broke("went_back " + string(id))
	}
	if status == wire.Done && before.status != wire.Done {
		for i := range w.specs[id].Tasks {
			if !w.done[wire.TaskID{Job: id, Index: wire.TaskIndex(i)}] {
				w.broke("not_done " + string(id))
			}
		}
	}
	if before.status != status {
		w.told[id] = toldState{status, time.Now()}
	}
}

func (w *World) start(m *Machine, t wire.TaskID) {
	spec := w.specs[t.Job]
	w.Starts++
	if w.done[t] {
		w.Again++
	}
	if o, ok := w.on[t]; ok {
		w.broke("ran_twice " + t.String() + " on " + string(o) + " and " + string(m.Type.ID))
	}
	if spec.Zone != nil && *spec.Zone != m.Type.Zone || m.Type.Spot && !spec.Spot ||
		spec.Types != nil && !slices.Contains(spec.Types, m.Type.Type) {
		w.broke("wrong_place " + t.String())
	}
	here := 1
	for o, z := range w.zoneOf {
		if o.Job == t.Job && o != t {
			if z == m.Type.Zone {
				here++
			} else if spec.OneZone {
				w.broke("wrong_place " + t.String() + " not together")
			}
		}
	}
	if spec.Spread && here > (spec.Tasks+1)/2 {
		w.broke("wrong_place " + t.String() + " not spread")
	}
	w.on[t], w.zoneOf[t] = m.Type.ID, m.Type.Zone
	if w.seen[t.Job] == nil {
		w.seen[t.Job] = map[wire.TaskIndex]bool{}
	}
	w.seen[t.Job][t.Index] = true
	used := 0.0
	for o := range w.on {
		if s := w.specs[o.Job]; s.Team == spec.Team {
			used += s.GPUs
		}
	}
	if limit := w.TeamMax[spec.Team]; limit > 0 && used > limit {
		w.broke("quota " + string(spec.Team))
	}
	w.checkCancelled(t)
}

func (w *World) checkCancelled(t wire.TaskID) {
	if told := w.told[t.Job]; told.status == wire.Cancelled && time.Since(told.at) > w.CancelS {
		w.broke("ran_cancelled " + t.String())
	}
}

// gangWhole reports whether all of a gang's tasks that are not done are there under one
// attempt, on machines that answer each other.
func (w *World) gangWhole(spec *wire.JobSpec, attempt wire.Attempt) bool {
	for i := range spec.Tasks {
		t := wire.TaskID{Job: spec.ID, Index: wire.TaskIndex(i)}
		if m, ok := w.mates[t]; !w.done[t] && (!ok || m.attempt != attempt || w.hung[m.on]) {
			return false
		}
	}
	return true
}

func (w *World) finish(t wire.TaskID) {
	if w.Finished != nil {
		w.Finished(t)
	}
	w.done[t] = true
	w.leave(t)
}

func (w *World) leave(t wire.TaskID) {
	delete(w.mates, t)
	delete(w.on, t)
	delete(w.zoneOf, t)
}

// Check looks at the tasks that are on machines now.
func (w *World) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.on {
		w.checkCancelled(t)
	}
}

// DoneTasks counts the completed tasks.
func (w *World) DoneTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done)
}

type runningTask struct {
	attempt wire.Attempt
	state   wire.TaskState
	cause   wire.Cause
	saved   bool
	until   time.Time // of the state
	missing time.Time // since when a gang's task misses one of its mates
}

// Machine stands in for a worker and its machine.
type Machine struct {
	World *World
	Type  wire.ListedMachine
	Lease time.Duration
	Run   func(wire.TaskID) time.Duration
	GPUs  float64

	mu      sync.Mutex
	session wire.AgentEpoch
	tally   wire.HeartbeatSequence
	token   wire.FencingToken
	renewed time.Time
	tasks   map[wire.TaskID]*runningTask
	gone    bool
	hung    bool
}

// Boot starts the worker.
func (m *Machine) Boot() {
	m.session, m.tasks, m.renewed = 1, map[wire.TaskID]*runningTask{}, time.Now()
}

// Destroy ends the machine and all on it.
func (m *Machine) Destroy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.gone = true
	m.kill()
}

// Gone reports whether the machine has been destroyed.
func (m *Machine) Gone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone
}

// Hang stops the machine from doing anything, or ends that.
func (m *Machine) Hang(hung bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.hung, m.World.hung[m.Type.ID] = hung, hung
}

func (m *Machine) kill() {
	for t, r := range m.tasks {
		if r.state != wire.TaskExited && r.state != wire.TaskFetching {
			m.World.leave(t)
		}
		delete(m.tasks, t)
	}
}

// Heartbeat lets time pass on the machine and returns its next report, or nil when
// it sends none. begun is when the report was begun.
func (m *Machine) Heartbeat() (r *wire.Heartbeat, begun time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.hung {
		return nil, time.Time{}
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	now := time.Now()
	m.lapse(now)
	for t, r := range m.tasks {
		m.step(t, r, now)
	}
	m.tally++
	rep := &wire.Heartbeat{
		Machine:      m.Type.ID,
		Addr:         m.Type.Addr,
		Type:         m.Type.Type,
		Zone:         m.Type.Zone,
		Spot:         m.Type.Spot,
		Epoch:        m.session,
		Sequence:     m.tally,
		FencingToken: m.token,
	}
	for t, r := range m.tasks {
		rep.Tasks = append(
			rep.Tasks,
			wire.TaskStatus{Task: t, Attempt: r.attempt, State: r.state, Cause: r.cause, Saved: r.saved},
		)
	}
	return rep, now
}

// lapse begins a new session if the lease is over.
func (m *Machine) lapse(now time.Time) {
	if now.Sub(m.renewed) > m.Lease {
		m.World.Lapsed += len(m.tasks)
		m.kill()
		m.session++
		m.tally, m.renewed = 0, now
	}
}

// Lapse has the lease end if its time is over; else it ends with the next report.
func (m *Machine) Lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.hung {
		return
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.lapse(time.Now())
}

// usualFetch is how long an image is fetched for, unless the world says otherwise.
const usualFetch = 3 * time.Second

func (m *Machine) fetch(t wire.TaskID) time.Duration {
	if m.World.Fetch != nil {
		return m.World.Fetch(m.Type.ID, t)
	}
	return usualFetch
}

func (m *Machine) step(t wire.TaskID, r *runningTask, now time.Time) {
	w := m.World
	spec := w.specs[t.Job]
	gang := spec != nil && spec.Shape == wire.Gang && spec.Tasks > 1
	if r.state == wire.TaskFetching && now.After(r.until) {
		w.start(m, t)
		if gang {
			w.mates[t] = mate{r.attempt, m.Type.ID}
			r.state, r.until = wire.TaskWaiting, now.Add(gangWait)
		} else {
			r.state, r.until = wire.TaskRunning, now.Add(m.Run(t))
		}
	}
	if gang && r.state == wire.TaskRunning && w.done[t] {
		r.state, r.cause = wire.TaskExited, wire.CauseDone // with its mates
		w.leave(t)                                         // if it was started once more
	}
	if gang && (r.state == wire.TaskWaiting || r.state == wire.TaskRunning) {
		whole := w.gangWhole(spec, r.attempt)
		switch {
		case r.state == wire.TaskWaiting && whole:
			r.state, r.until, r.missing = wire.TaskRunning, now.Add(m.Run(wire.TaskID{Job: t.Job})), time.Time{}
		case r.state == wire.TaskWaiting && now.After(r.until):
			r.state, r.cause = wire.TaskExited, wire.CauseGangIncomplete
			w.leave(t)
		case whole || r.state == wire.TaskWaiting:
			r.missing = time.Time{}
		case r.missing.IsZero():
			r.missing = now
		case now.Sub(r.missing) > gangPeer:
			r.state, r.cause = wire.TaskExited, wire.CauseGangPeerLost
			w.leave(t)
		}
		if r.state == wire.TaskRunning && !r.missing.IsZero() {
			return // nothing completes while the gang is not whole
		}
	}
	if r.state == wire.TaskRunning && now.After(r.until) && w.Fails != nil && w.Fails(m.Type.ID, t) {
		r.state, r.cause = wire.TaskExited, wire.CauseError
		w.leave(t)
	}
	if r.state == wire.TaskRunning && now.After(r.until) {
		r.state, r.cause = wire.TaskExited, wire.CauseDone
		w.finish(t)
		for i := 0; gang && i < spec.Tasks; i++ { // a gang's tasks complete together
			if o := (wire.TaskID{Job: t.Job, Index: wire.TaskIndex(i)}); w.mates[o].attempt == r.attempt && !w.done[o] {
				w.finish(o)
			}
		}
	}
	if r.state == wire.TaskSaving && now.After(r.until) {
		r.state, r.cause, r.saved = wire.TaskExited, wire.CausePreempted, true
		m.World.leave(t)
	}
}

// Answer takes the response to the report of a session and tally that was begun
// at the given time. A late one is dropped, as is one under a lower token.
func (m *Machine) Answer(begun time.Time, session wire.AgentEpoch, p *wire.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.gone || m.hung || session != m.session || p.FencingToken < m.token || now.Sub(begun) > 4*time.Second {
		return
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.token = p.FencingToken
	m.renewed = begun
	for _, c := range p.Commands {
		r := m.tasks[c.Task]
		same := r != nil && r.attempt == c.Attempt
		switch c.Op {
		case wire.OpStart:
			if same {
				continue
			}
			if r != nil && r.state != wire.TaskExited {
				continue // busy: the next report shows the other attempt
			}
			n := &runningTask{attempt: c.Attempt, state: wire.TaskFetching, until: now.Add(m.fetch(c.Task))}
			used := 0.0
			for t, o := range m.tasks {
				if o.state != wire.TaskExited {
					used += m.World.specs[t.Job].GPUs
				}
			}
			if spec := m.World.specs[c.Task.Job]; spec == nil {
				n.state, n.cause = wire.TaskExited, wire.CauseNotFound
			} else if used+spec.GPUs > m.GPUs {
				n.state, n.cause = wire.TaskExited, wire.CauseInsufficientRoom
			}
			m.tasks[c.Task] = n
		case wire.OpStop:
			if !same || r.state == wire.TaskExited {
				continue
			}
			spec := m.World.specs[c.Task.Job]
			if r.state == wire.TaskRunning && m.World.done[c.Task] {
				r.state, r.cause = wire.TaskExited, wire.CauseDone // with its mates, a moment ago
				m.World.leave(c.Task)
				continue
			}
			if r.state == wire.TaskRunning && spec.Checkpoint > 0 && *c.Grace >= spec.Save {
				r.state, r.until = wire.TaskSaving, now.Add(spec.Save.Duration())
				continue
			}
			if r.state == wire.TaskSaving && *c.Grace > 0 {
				continue
			}
			if r.state != wire.TaskFetching {
				m.World.leave(c.Task)
			}
			r.state, r.cause = wire.TaskExited, wire.CausePreempted
		case wire.OpForget:
			if same && r.state == wire.TaskExited {
				delete(m.tasks, c.Task)
			}
		}
	}
}

// Whole reports whether all of a gang runs, on machines that answer each other.
func (w *World) Whole(job wire.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.mates[wire.TaskID{Job: job}]
	return ok && w.gangWhole(w.specs[job], m.attempt)
}

// Seen counts a job's tasks that ever were on a machine.
func (w *World) Seen(job wire.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen[job])
}

// On counts a job's tasks by the machines that they are on.
func (w *World) On(job wire.JobID) map[wire.MachineID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[wire.MachineID]int{}
	for t, m := range w.on {
		if t.Job == job {
			out[m]++
		}
	}
	return out
}
