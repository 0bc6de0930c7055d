package emulator

import (
	"sync"
	"time"

	"maddermill/wire"
)

// defaultFetchTime is how long an image is fetched unless World.Fetch says otherwise.
const defaultFetchTime = 3 * time.Second

// responseTimeout is the age of a heartbeat from which its response is dropped.
const responseTimeout = 4 * time.Second

// machineTask is an attempt of a task on a machine.
type machineTask struct {
	attempt      wire.Attempt
	state        wire.TaskState
	cause        wire.Cause // of the exit
	saved        bool       // whether it exited with a checkpoint
	until        time.Time  // when the state ends
	missingSince time.Time  // since when a running gang's task misses another; zero: it doesn't
}

// exit ends the attempt.
func (t *machineTask) exit(cause wire.Cause) { t.state, t.cause = wire.TaskExited, cause }

// Machine emulates a worker and its machine. The caller carries its heartbeats to a controller:
// it sends what Heartbeat returns and hands the response to Answer.
type Machine struct {
	World *World
	Type  wire.ListedMachine
	// Lease is how long after the last answered heartbeat the worker kills its tasks.
	Lease time.Duration
	// Run returns how long a task runs.
	Run func(wire.TaskID) time.Duration
	// GPUs is the machine's number of GPUs.
	GPUs float64

	mu sync.Mutex // guards the fields below; taken before World.mu

	epoch    wire.AgentEpoch
	sequence wire.HeartbeatSequence
	token    wire.FencingToken // the highest seen
	renewed  time.Time         // when the lease was last renewed
	tasks    map[wire.TaskID]*machineTask
	gone     bool
	hung     bool
}

// Boot starts the worker. The caller holds m.mu or has m to itself.
func (m *Machine) Boot() {
	m.epoch, m.tasks, m.renewed = 1, map[wire.TaskID]*machineTask{}, time.Now()
}

// Destroy ends the machine and its tasks.
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

// Hang begins or ends a hang, in which the machine does nothing and answers nobody.
func (m *Machine) Hang(hung bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.hung, m.World.hung[m.Type.ID] = hung, hung
}

// kill ends and forgets all tasks. m.mu and World.mu are held.
func (m *Machine) kill() {
	for id, t := range m.tasks {
		if t.state != wire.TaskExited && t.state != wire.TaskFetching {
			m.World.remove(id)
		}
		delete(m.tasks, id)
	}
}

// Heartbeat advances the tasks to now and returns the next heartbeat and when it was begun, or
// nil if the machine is destroyed or hangs.
func (m *Machine) Heartbeat() (heartbeat *wire.Heartbeat, begun time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.hung {
		return nil, time.Time{}
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	now := time.Now()
	m.expireLease(now)
	for id, t := range m.tasks {
		m.step(id, t, now)
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

// expireLease kills the tasks and begins a new epoch if the lease is over. m.mu and World.mu
// are held.
func (m *Machine) expireLease(now time.Time) {
	if now.Sub(m.renewed) > m.Lease {
		m.World.Lapsed += len(m.tasks)
		m.kill()
		m.epoch++
		m.sequence, m.renewed = 0, now
	}
}

// Lapse ends the lease now if its time is over, rather than with the next heartbeat.
func (m *Machine) Lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.hung {
		return
	}
	m.World.mu.Lock()
	defer m.World.mu.Unlock()
	m.expireLease(time.Now())
}

// fetchTime returns how long the image of a task is fetched.
func (m *Machine) fetchTime(t wire.TaskID) time.Duration {
	if m.World.Fetch != nil {
		return m.World.Fetch(m.Type.ID, t)
	}
	return defaultFetchTime
}

// step advances a task to its state now. m.mu and World.mu are held.
func (m *Machine) step(id wire.TaskID, t *machineTask, now time.Time) {
	spec := m.World.specs[id.Job]
	gang := spec != nil && spec.Shape == wire.Gang && spec.Tasks > 1
	if t.state == wire.TaskFetching && now.After(t.until) {
		m.startTask(id, t, gang, now)
	}
	if gang {
		m.stepGang(id, t, spec, now)
		if t.state == wire.TaskRunning && !t.missingSince.IsZero() {
			return // nothing completes while the gang is incomplete
		}
	}
	if t.state == wire.TaskRunning && now.After(t.until) {
		m.complete(id, t, spec, gang)
	}
	if t.state == wire.TaskSaving && now.After(t.until) {
		t.exit(wire.CausePreempted)
		t.saved = true
		m.World.remove(id)
	}
}

// startTask starts a task whose image has been fetched; a gang's task first waits for the others.
// m.mu and World.mu are held.
func (m *Machine) startTask(id wire.TaskID, t *machineTask, gang bool, now time.Time) {
	m.World.start(m, id)
	if !gang {
		t.state, t.until = wire.TaskRunning, now.Add(m.Run(id))
		return
	}
	m.World.gangTasks[id] = gangTask{attempt: t.attempt, machine: m.Type.ID}
	t.state, t.until = wire.TaskWaiting, now.Add(gangWaitTimeout)
}

// stepGang advances a gang's task that waits for the others, misses one, or has completed with
// them. m.mu and World.mu are held.
func (m *Machine) stepGang(id wire.TaskID, t *machineTask, spec *wire.JobSpec, now time.Time) {
	w := m.World
	if t.state == wire.TaskRunning && w.done[id] {
		t.exit(wire.CauseDone) // with the others
		w.remove(id)           // if it was started once more
	}
	if t.state != wire.TaskWaiting && t.state != wire.TaskRunning {
		return
	}
	complete := w.gangComplete(spec, t.attempt)
	switch {
	case t.state == wire.TaskWaiting && complete:
		t.state, t.until = wire.TaskRunning, now.Add(m.Run(wire.TaskID{Job: id.Job}))
		t.missingSince = time.Time{}
	case t.state == wire.TaskWaiting && now.After(t.until):
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

// complete ends a task that has run for its time, with an error or done. The tasks of a gang
// complete together. m.mu and World.mu are held.
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

// Answer handles the response to the heartbeat of an agent epoch that was begun at a time: it renews
// the lease from then on and carries out the commands. A response is dropped if it is older than
// responseTimeout, of an earlier epoch, or under a lower fencing token than seen before.
func (m *Machine) Answer(begun time.Time, epoch wire.AgentEpoch, p *wire.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.gone || m.hung || epoch != m.epoch || p.FencingToken < m.token || now.Sub(begun) > responseTimeout {
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

// execute carries out a command; one that does not fit the task's state is passed over, and the
// next heartbeat shows that state. m.mu and World.mu are held.
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

// assign begins an attempt of a task, or has it exit at once if its job is unknown or there is
// no room. m.mu and World.mu are held.
func (m *Machine) assign(c wire.Command, now time.Time) {
	t := &machineTask{attempt: c.Attempt, state: wire.TaskFetching, until: now.Add(m.fetchTime(c.Task))}
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

// stop ends an attempt, after a checkpoint if it can write one within the command's grace
// period. m.mu and World.mu are held.
func (m *Machine) stop(c wire.Command, t *machineTask, now time.Time) {
	spec := m.World.specs[c.Task.Job]
	switch {
	case t.state == wire.TaskRunning && m.World.done[c.Task]:
		t.exit(wire.CauseDone) // with the gang's others, a moment ago
		m.World.remove(c.Task)
		return
	case t.state == wire.TaskRunning && spec.Checkpoint > 0 && *c.Grace >= spec.Save:
		t.state, t.until = wire.TaskSaving, now.Add(spec.Save.Duration())
		return
	case t.state == wire.TaskSaving && *c.Grace > 0:
		return
	}
	if t.state != wire.TaskFetching {
		m.World.remove(c.Task)
	}
	t.exit(wire.CausePreempted)
}
