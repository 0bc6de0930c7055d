package wire

// Judgement is a controller's estimate of whether a machine that reports to it is faulty or slow, with the
// evidence. GET /api/judgements returns a JSON array of the machines that failed tasks or are slow, sorted
// from the worst.
type Judgement struct {
	Machine           MachineID       `json:"machine"`
	Faulty            bool            `json:"faulty"` // above the quarantine threshold for long enough
	Slow              bool            `json:"slow"`
	PriorFaulty       float64         `json:"before"`   // prior probability that any machine is faulty
	ProbabilityFaulty float64         `json:"sure"`     // posterior probability that this one is
	FailureRate       float64         `json:"rate"`     // estimated share of its tasks that fail because of it
	Slowdown          float64         `json:"times"`    // run time of its tasks relative to other machines'; 1: the same
	Completed         int             `json:"done"`     // completed tasks, as far as reported to this controller
	BackgroundRate    float64         `json:"accident"` // rate of failures that none of the parties causes
	Failures          []JudgedFailure `json:"failures"`
}

// JudgedFailure is a task failure on the machine, with the parties that may have caused it.
type JudgedFailure struct {
	At      UnixMillis    `json:"at"`
	Job     JobID         `json:"job"`
	Task    TaskIndex     `json:"task"`
	Parties []JudgedParty `json:"parties"`
}

// JudgedParty is a possible cause of a failure. Its kind is machine, job, task, image or block.
type JudgedParty struct {
	Kind        string  `json:"kind"`
	Name        string  `json:"name"`
	Prior       float64 `json:"before"` // prior probability that a party of this kind is at fault
	Probability float64 `json:"sure"`   // posterior probability that this one is
	Completed   int     `json:"done"`   // completed tasks
	Failed      int     `json:"failed"`
}
