package wire

// TaskState is a task's state on its machine.
type TaskState string

// The states of tasks on machines.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "waiting"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "ended"
)

// Cause tells why a task exited.
type Cause string

// The causes of exits.
const (
	CauseDone             Cause = "done"
	CausePreempted        Cause = "halted"
	CauseGangPeerLost     Cause = "mates_gone"
	CauseGangIncomplete   Cause = "incomplete"
	CauseError            Cause = "error"
	CauseInsufficientRoom Cause = "full"
	CauseBusy             Cause = "busy"
	CauseNotFound         Cause = "no_such"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task    TaskID    `json:"piece"`
	Attempt Attempt   `json:"try"`
	State   TaskState `json:"status"`
	Cause   Cause     `json:"cause,omitempty"`
	Saved   bool      `json:"saved,omitempty"`
}

// Heartbeat is what a worker tells of its machine.
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

// Op is what a command asks for.
type Op string

// The commands.
const (
	OpStart  Op = "run"
	OpStop   Op = "stop"
	OpForget Op = "clear"
)

// Command is one order to a worker.
type Command struct {
	Op      Op       `json:"verb"`
	Task    TaskID   `json:"piece"`
	Attempt Attempt  `json:"try"`
	Grace   *Seconds `json:"leeway_s,omitempty"`
}

// HeartbeatResponse answers a report with commands under a token.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"warrant"`
	Commands     []Command    `json:"orders"`
}

// Redirect is the body of a 421: the member to report to, if known.
type Redirect struct {
	ReportTo MemberID `json:"foreman,omitempty"`
}
