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
	CauseDone    Cause = "done"
	CauseStopped Cause = "halted"
	CausePeers   Cause = "mates_gone"
	CauseAlone   Cause = "incomplete"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "full"
	CauseBusy    Cause = "busy"
	CauseUnknown Cause = "no_such"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    TaskID    `json:"piece"`
	Attempt Attempt   `json:"try"`
	State   TaskState `json:"status"`
	Cause   Cause     `json:"cause,omitempty"`
	Saved   bool      `json:"saved,omitempty"`
}

// Report is what a worker tells of its machine.
type Report struct {
	Machine MachineID    `json:"millstone"`
	Addr    string       `json:"endpoint"`
	Type    MachineSKU   `json:"build"`
	Zone    Zone         `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session Session      `json:"shift"`
	Tally   Tally        `json:"tally"`
	Token   Token        `json:"warrant"`
	Notice  *Seconds     `json:"recall_s"`
	Tasks   []TaskReport `json:"pieces"`
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

// ReportResponse answers a report with commands under a token.
type ReportResponse struct {
	Token    Token     `json:"warrant"`
	Commands []Command `json:"orders"`
}

// Redirect is the body of a 421: the member to report to, if known.
type Redirect struct {
	ReportTo MemberID `json:"foreman,omitempty"`
}
