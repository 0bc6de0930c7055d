package wire

// Judgement is a controller's estimate of whether a machine that reports to it is faulty or slow, with the
// evidence: GET /api/judgements, a JSON array of the machines that failed tasks or are slow, the worst first.
type Judgement struct {
	Machine           MachineID       `json:"machine"`
	Faulty            bool            `json:"faulty"` // above the threshold of quarantine for long enough
	Slow              bool            `json:"slow"`
	PriorFaulty       float64         `json:"before"`   // the probability that any machine is faulty
	ProbabilityFaulty float64         `json:"sure"`     // that this one is
	FailureRate       float64         `json:"rate"`     // estimated share of its tasks that it fails
	Slowdown          float64         `json:"times"`    // run time of its tasks relative to others'; 1: the same
	Completed         int             `json:"done"`     // tasks, as far as reported to this controller
	BackgroundRate    float64         `json:"accident"` // rate of failures that no party causes
	Failures          []JudgedFailure `json:"failures"`
}

// JudgedFailure is a task that failed on the machine, with the parties that may have caused it.
type JudgedFailure struct {
	At      UnixMillis    `json:"at"`
	Job     JobID         `json:"job"`
	Task    TaskIndex     `json:"task"`
	Parties []JudgedParty `json:"parties"`
}

// JudgedParty is a possible cause of a failure, of a kind: machine, job, task, image or block.
type JudgedParty struct {
	Kind        string  `json:"kind"`
	Name        string  `json:"name"`
	Prior       float64 `json:"before"` // the probability that such a party is at fault
	Probability float64 `json:"sure"`   // that this one is
	Completed   int     `json:"done"`   // number of its tasks
	Failed      int     `json:"failed"`
}
