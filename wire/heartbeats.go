package wire

// TaskState is a task's state on its machine.
type TaskState string

// The states of tasks on machines.
const (
	TaskFetching TaskState = "fetching" // the image
	TaskWaiting  TaskState = "waiting"  // for its gang
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // a checkpoint, as it was stopped
	TaskExited   TaskState = "ended"
)

// Cause is why a task exited, or was not started.
type Cause string

// The causes of exits.
const (
	CauseDone             Cause = "done"       // completed
	CausePreempted        Cause = "halted"     // by a stop
	CauseGangPeerLost     Cause = "mates_gone" // a task of its gang is gone
	CauseGangIncomplete   Cause = "incomplete" // its gang was not complete in time
	CauseError            Cause = "error"      // failed
	CauseInsufficientRoom Cause = "full"       // refused: the machine has no room for it
	CauseBusy             Cause = "busy"       // refused: the machine is busy
	CauseNotFound         Cause = "no_such"    // refused: the worker does not know the job
)

// TaskStatus is one attempt of a task in a heartbeat. Cause and Saved are of exited tasks.
type TaskStatus struct {
	Task    TaskID    `json:"piece"`
	Attempt Attempt   `json:"try"`
	State   TaskState `json:"status"`
	Cause   Cause     `json:"cause,omitempty"`
	Saved   bool      `json:"saved,omitempty"`
}

// Heartbeat is a worker's periodic message: POST /v1/report. Tasks are all that are on the machine, with
// those that exited and that no controller has had it forget yet.
type Heartbeat struct {
	Machine       MachineID         `json:"millstone"`
	Addr          string            `json:"endpoint"`
	Type          MachineTypeName   `json:"build"`
	Zone          Zone              `json:"yard"`
	Spot          bool              `json:"loaners"`
	Epoch         AgentEpoch        `json:"shift"`
	Sequence      HeartbeatSequence `json:"tally"`
	FencingToken  FencingToken      `json:"warrant"`
	ReclaimNotice *Seconds          `json:"recall_s"`
	Tasks         []TaskStatus      `json:"pieces"`
}

// Op is the operation of a command.
type Op string

// The operations.
const (
	OpStart  Op = "run"
	OpStop   Op = "stop"  // within the command's grace
	OpForget Op = "clear" // the exit is on record
)

// Command has a worker start, stop or forget one attempt of a task. Grace is of a stop.
type Command struct {
	Op      Op       `json:"verb"`
	Task    TaskID   `json:"piece"`
	Attempt Attempt  `json:"try"`
	Grace   *Seconds `json:"leeway_s,omitempty"`
}

// HeartbeatResponse answers a heartbeat with commands under a fencing token. A worker that has accepted a
// higher token ignores them.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"warrant"`
	Commands     []Command    `json:"orders"`
}

// Redirect is the body of a 421 answer: the controller to report to, if one is known.
type Redirect struct {
	ReportTo MemberID `json:"foreman,omitempty"`
}
