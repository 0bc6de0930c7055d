package wire

// TaskState is a task's state on its machine.
type TaskState string

// The states of a task on its machine.
const (
	TaskFetching TaskState = "fetching" // fetching the image
	TaskWaiting  TaskState = "waiting"  // waiting for the other tasks of its gang
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // saving a checkpoint after a stop
	TaskExited   TaskState = "ended"
)

// Cause is the reason why a task exited or was not started.
type Cause string

// The exit causes.
const (
	CauseDone             Cause = "done"       // completed
	CausePreempted        Cause = "halted"     // stopped by a command
	CauseGangPeerLost     Cause = "mates_gone" // another task of its gang is gone
	CauseGangIncomplete   Cause = "incomplete" // timed out waiting for the rest of its gang
	CauseError            Cause = "error"      // failed
	CauseInsufficientRoom Cause = "full"       // refused: insufficient free resources
	CauseBusy             Cause = "busy"       // refused: the machine is busy
	CauseNotFound         Cause = "no_such"    // refused: the worker does not know the job
)

// TaskStatus is the state of one attempt of a task in a heartbeat. Cause and Saved are set for exited tasks.
type TaskStatus struct {
	Task    TaskID    `json:"piece"`
	Attempt Attempt   `json:"try"`
	State   TaskState `json:"status"`
	Cause   Cause     `json:"cause,omitempty"`
	Saved   bool      `json:"saved,omitempty"`
}

// Heartbeat is a worker's periodic report to a controller: POST /v1/report. Tasks lists all tasks on the
// machine, including exited ones until a controller sends OpForget for them.
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

// The operations of commands.
const (
	OpStart  Op = "run"
	OpStop   Op = "stop"  // within the command's grace period
	OpForget Op = "clear" // discard an exited task, whose exit is recorded
)

// Command tells a worker to start, stop or forget one attempt of a task. Grace is the grace period of a stop.
type Command struct {
	Op      Op       `json:"verb"`
	Task    TaskID   `json:"piece"`
	Attempt Attempt  `json:"try"`
	Grace   *Seconds `json:"leeway_s,omitempty"`
}

// HeartbeatResponse is the response to a heartbeat: commands and the fencing token that authorizes them. A
// worker that has accepted a higher token ignores them.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"warrant"`
	Commands     []Command    `json:"orders"`
}

// Redirect is the body of a 421 response: the controller to report to, if known.
type Redirect struct {
	ReportTo MemberID `json:"foreman,omitempty"`
}
