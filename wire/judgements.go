package wire

// Judgement is what a controller believes of a machine that reports to it, and why: GET
// /api/judgements, a JSON array of those that failed tasks or are slow, the worst first.
type Judgement struct {
	Machine           MachineID       `json:"machine"`
	Faulty            bool            `json:"faulty"` // and has been for long enough
	Slow              bool            `json:"slow"`
	PriorFaulty       float64         `json:"before"`   // the probability that any machine is faulty
	ProbabilityFaulty float64         `json:"sure"`     // that this one is
	FailureRate       float64         `json:"rate"`     // of its tasks that it is believed to fail
	Slowdown          float64         `json:"times"`    // how much longer its tasks take; 1: as long as others'
	Completed         int             `json:"done"`     // tasks, as far as seen here
	BackgroundRate    float64         `json:"accident"` // rate of failures that are nobody's
	Failures          []JudgedFailure `json:"failures"`
}

// JudgedFailure is a task that failed on the machine, and what is believed of each of its parties.
type JudgedFailure struct {
	At      UnixMillis    `json:"at"`
	Job     JobID         `json:"job"`
	Task    TaskIndex     `json:"task"`
	Parties []JudgedParty `json:"parties"`
}

// JudgedParty is what may be to blame for a failure, by kind: machine, job, task, image or block.
type JudgedParty struct {
	Kind        string  `json:"kind"`
	Name        string  `json:"name"`
	Prior       float64 `json:"before"` // the probability that such a party is at fault
	Probability float64 `json:"sure"`   // that this one is
	Completed   int     `json:"done"`   // of its tasks
	Failed      int     `json:"failed"`
}
