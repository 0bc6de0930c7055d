package emulator

import (
	"sync"
	"time"

	"maddermill/wire"
)

// defaultFetchTime is how long a machine fetches an image if World.Fetch is not set.
const defaultFetchTime = 3 * time.Second

// responseTimeout is the age of a heartbeat after which its response is ignored.
const responseTimeout = 4 * time.Second

// machineTask is one attempt to run a task on a machine.
type machineTask struct {
	attempt      wire.Attempt
	state        wire.TaskState
	cause        wire.Cause // of the exit
	saved        bool       // whether it wrote a checkpoint before it exited
	stateEnds    time.Time  // when the task leaves its state
	missingSince time.Time  // since when a peer of a running gang is missing; zero: none is
}

// exit ends the attempt with a cause.
func (t *machineTask) exit(cause wire.Cause) { t.state, t.cause = wire.TaskExited, cause }

// Machine emulates a worker and the machine it runs on. The caller is the transport: it sends what
// Heartbeat returns to a controller, and passes the response to HandleResponse.
type Machine struct {
	World *World
	Type  wire.ListedMachine
	// Lease is the time without a response to its heartbeats after which the worker kills its tasks.
	Lease time.Duration
	// Run returns the run time of a task.
	Run func(wire.TaskID) time.Duration
	// GPUs is the machine's number of GPUs.
	GPUs float64

	mu sync.Mutex // guards the fields below; taken before World.mu

	epoch     wire.AgentEpoch
	sequence  wire.HeartbeatSequence
	token     wire.FencingToken // the highest received so far
	renewed   time.Time         // start of the current lease
	tasks     map[wire.TaskID]*machineTask
	destroyed bool
	hung      bool
}

// Boot starts the worker. The caller holds m.mu or is the only user of m.
func (m *Machine) Boot() {
	m.epoch, m.tasks, m.renewed = 1, map[wire.TaskID]*machineTask{}, time.Now()
}

// Destroy deletes the machine, which ends its tasks.
func (m *Machine) Destroy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.destroyed = true
	m.kill()
}

// Gone reports whether the machine has been destroyed.
func (m *Machine) Gone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.destroyed
}

// Hang starts or ends a hang, during which the machine does nothing and responds to no peer.
func (m *Machine) Hang(hung bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.hung, m.World.hung[m.Type.ID] = hung, hung
}

// kill ends and removes all tasks. m.mu and World.mu are held.
func (m *Machine) kill() {
	for id, t := range m.tasks {
		if t.state != wire.TaskExited && t.state != wire.TaskFetching {
			m.World.remove(id)
		}
		delete(m.tasks, id)
	}
}

// Heartbeat advances all tasks to the current time, and returns the next heartbeat and its time, or
// nil if the machine is destroyed or hung.
func (m *Machine) Heartbeat() (heartbeat *wire.Heartbeat, begun time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.destroyed || m.hung {
		return nil, time.Time{}
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	now := time.Now()
	m.expireLease(now)
	for id, t := range m.tasks {
		m.advance(id, t, now)
	}
	m.sequence++
	heartbeat = &wire.Heartbeat{
		Machine:      m.Type.ID,
		Addr:         m.Type.Addr,
		Type:         m.Type.Type,
		Zone:         m.Type.Zone,
		Spot:         m.Type.Spot,
		Epoch:        m.epoch,
		Sequence:     m.sequence,
		FencingToken: m.token,
	}
	for id, t := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks,
			wire.TaskStatus{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return heartbeat, now
}

// expireLease kills all tasks and starts a new agent epoch if the lease has expired. m.mu and
// World.mu are held.
func (m *Machine) expireLease(now time.Time) {
	if now.Sub(m.renewed) > m.Lease {
		m.World.Lapsed += len(m.tasks)
		m.kill()
		m.epoch++
		m.sequence, m.renewed = 0, now
	}
}

// Lapse checks now whether the lease has expired, instead of with the next heartbeat.
func (m *Machine) Lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.destroyed || m.hung {
		return
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.expireLease(time.Now())
}

// fetchTime returns how long the machine fetches the image of a task.
func (m *Machine) fetchTime(t wire.TaskID) time.Duration {
	if m.World.Fetch != nil {
		return m.World.Fetch(m.Type.ID, t)
	}
	return defaultFetchTime
}

// advance moves a task to the state that it has by now. m.mu and World.mu are held.
func (m *Machine) advance(id wire.TaskID, t *machineTask, now time.Time) {
	spec := m.World.specs[id.Job]
	gang := spec != nil && spec.Shape == wire.Gang && spec.Tasks > 1
	if t.state == wire.TaskFetching && now.After(t.stateEnds) {
		m.startTask(id, t, gang, now)
	}
	if gang {
		m.advanceGang(id, t, spec, now)
		if t.state == wire.TaskRunning && !t.missingSince.IsZero() {
			return // no task completes while the gang is incomplete
		}
	}
	if t.state == wire.TaskRunning && now.After(t.stateEnds) {
		m.complete(id, t, spec, gang)
	}
	if t.state == wire.TaskSaving && now.After(t.stateEnds) {
		t.exit(wire.CausePreempted)
		t.saved = true
		m.World.remove(id)
	}
}

// startTask starts a task whose image has been fetched. A task of a gang first waits for its peers.
// m.mu and World.mu are held.
func (m *Machine) startTask(id wire.TaskID, t *machineTask, gang bool, now time.Time) {
	m.World.start(m, id)
	if !gang {
		t.state, t.stateEnds = wire.TaskRunning, now.Add(m.Run(id))
		return
	}
	m.World.gangTasks[id] = gangTask{attempt: t.attempt, machine: m.Type.ID}
	t.state, t.stateEnds = wire.TaskWaiting, now.Add(gangWaitTimeout)
}

// advanceGang advances a task of a gang that waits for its peers, has lost one, or has completed
// together with them. m.mu and World.mu are held.
func (m *Machine) advanceGang(id wire.TaskID, t *machineTask, spec *wire.JobSpec, now time.Time) {
	w := m.World
	if t.state == wire.TaskRunning && w.done[id] {
		t.exit(wire.CauseDone) // together with its peers
		w.remove(id)           // in case it was started again
	}
	if t.state != wire.TaskWaiting && t.state != wire.TaskRunning {
		return
	}
	complete := w.gangComplete(spec, t.attempt)
	switch {
	case t.state == wire.TaskWaiting && complete:
		t.state, t.stateEnds = wire.TaskRunning, now.Add(m.Run(wire.TaskID{Job: id.Job}))
		t.missingSince = time.Time{}
	case t.state == wire.TaskWaiting && now.After(t.stateEnds):
		t.exit(wire.CauseGangIncomplete)
		w.remove(id)
	case complete || t.state == wire.TaskWaiting:
		t.missingSince = time.Time{}
	case t.missingSince.IsZero():
		t.missingSince = now
	case now.Sub(t.missingSince) > gangPeerTimeout:
		t.exit(wire.CauseGangPeerLost)
		w.remove(id)
	}
}

// complete ends a task whose run time is over, either as done or with an error. The tasks of a
// gang complete together. m.mu and World.mu are held.
func (m *Machine) complete(id wire.TaskID, t *machineTask, spec *wire.JobSpec, gang bool) {
	w := m.World
	if w.Fails != nil && w.Fails(m.Type.ID, id) {
		t.exit(wire.CauseError)
		w.remove(id)
		return
	}
	t.exit(wire.CauseDone)
	w.finish(id)
	if !gang {
		return
	}
	for i := range spec.Tasks {
		other := wire.TaskID{Job: id.Job, Index: wire.TaskIndex(i)}
		if w.gangTasks[other].attempt == t.attempt && !w.done[other] {
			w.finish(other)
		}
	}
}

// HandleResponse handles the response to a heartbeat, given the heartbeat's time and agent epoch: it renews
// the lease as of that time and executes the commands. It ignores the response if the heartbeat is
// older than responseTimeout or from an earlier epoch, or if the response carries a lower fencing
// token than an earlier one.
func (m *Machine) HandleResponse(begun time.Time, epoch wire.AgentEpoch, p *wire.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.destroyed || m.hung || epoch != m.epoch || p.FencingToken < m.token || now.Sub(begun) > responseTimeout {
		return
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.token = p.FencingToken
	m.renewed = begun
	for _, c := range p.Commands {
		m.execute(c, now)
	}
}

// execute executes a command. It ignores a command that does not apply to the task's state; the
// next heartbeat reports that state. m.mu and World.mu are held.
func (m *Machine) execute(c wire.Command, now time.Time) {
	t := m.tasks[c.Task]
	sameAttempt := t != nil && t.attempt == c.Attempt
	switch c.Op {
	case wire.OpStart:
		if t == nil || !sameAttempt && t.state == wire.TaskExited {
			m.assign(c, now)
		}
	case wire.OpStop:
		if sameAttempt && t.state != wire.TaskExited {
			m.stop(c, t, now)
		}
	case wire.OpForget:
		if sameAttempt && t.state == wire.TaskExited {
			delete(m.tasks, c.Task)
		}
	}
}

// assign starts an attempt of a task. The attempt exits immediately if the job's spec is unknown or
// the machine has too few free GPUs. m.mu and World.mu are held.
func (m *Machine) assign(c wire.Command, now time.Time) {
	t := &machineTask{attempt: c.Attempt, state: wire.TaskFetching, stateEnds: now.Add(m.fetchTime(c.Task))}
	used := 0.0
	for id, other := range m.tasks {
		if other.state != wire.TaskExited {
			used += m.World.specs[id.Job].GPUs
		}
	}
	if spec := m.World.specs[c.Task.Job]; spec == nil {
		t.exit(wire.CauseNotFound)
	} else if used+spec.GPUs > m.GPUs {
		t.exit(wire.CauseInsufficientRoom)
	}
	m.tasks[c.Task] = t
}

// stop ends an attempt, after writing a checkpoint if that is possible within the command's grace
// period. m.mu and World.mu are held.
func (m *Machine) stop(c wire.Command, t *machineTask, now time.Time) {
	spec := m.World.specs[c.Task.Job]
	switch {
	case t.state == wire.TaskRunning && m.World.done[c.Task]:
		t.exit(wire.CauseDone) // together with its peers, just before
		m.World.remove(c.Task)
		return
	case t.state == wire.TaskRunning && spec.Checkpoint > 0 && *c.Grace >= spec.Save:
		t.state, t.stateEnds = wire.TaskSaving, now.Add(spec.Save.Duration())
		return
	case t.state == wire.TaskSaving && *c.Grace > 0:
		return
	}
	if t.state != wire.TaskFetching {
		m.World.remove(c.Task)
	}
	t.exit(wire.CausePreempted)
}
