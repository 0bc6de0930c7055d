package ledger

import "maddermill/wire"

// JobState is a job's durable state.
type JobState string

// The durable states: a job is active until it is done or cancelled, for ever.
const (
	Active    JobState = ""
	Cancelled JobState = "cancelled"
	Done      JobState = "done"
)

// taskRangeRecord is the durable part of a range of a job's tasks.
type taskRangeRecord struct {
	Attempt wire.Attempt `json:"a,omitempty"` // last attempt given out
	Done    []byte       `json:"d,omitempty"` // a bit a task
	Claims  claimList    `json:"c,omitempty"`
}

// jobRecord is a job; the first range of its tasks is kept in it.
type jobRecord struct {
	Spec      *wire.JobSpec   `json:"spec"`
	Accepted  wire.UnixMillis `json:"at"`
	State     JobState        `json:"state,omitempty"`
	Stop      wire.Attempt    `json:"stop,omitempty"`  // gangs up to this attempt are to stop
	Range     int             `json:"range,omitempty"` // tasks a record; 0: as many as may each have a claim
	Workflow  wire.WorkflowID `json:"of,omitempty"`    // the workflow that it is a step of
	FinalDone int             `json:"kept,omitempty"`  // tasks done, once the job is over and its ranges go

	Gallery wire.GalleryName `json:"g,omitempty"` // that it is tied to
	Ended   wire.UnixMillis  `json:"e,omitempty"` // when it was done, if it is tied
	taskRangeRecord
}

// MachinePhase is how far a machine is on its way out.
type MachinePhase string

// The marks of machines that leave. There is no way back.
const (
	Terminating MachinePhase = "leaving" // being returned, tasks or not
	Terminated  MachinePhase = "gone"    // the cloud has confirmed
)

type machineRecord struct {
	Phase  MachinePhase `json:"s"`
	Reason string       `json:"why,omitempty"`
}

type teamRecord struct {
	By wire.FencingToken `json:"by"`
}

// TokenRecord is the counter that tokens are taken from.
type TokenRecord struct {
	Last wire.FencingToken `json:"n"`
	By   wire.MemberID     `json:"by"`
	// Reads is the newest format that everyone who ever took a token reads. Versions that
	// know of one format only leave it out.
	Reads int `json:"r,omitempty"`
}

// Next is the record with which a controller takes a token that reads formats up to reads.
func (r TokenRecord) Next(last wire.FencingToken, by wire.MemberID, reads int) TokenRecord {
	n := TokenRecord{Last: last, By: by, Reads: min(r.Reads, reads)}
	if r.Last == 0 {
		n.Reads = reads
	}
	return n
}

// LeaderRecord names the fleet's leader.
type LeaderRecord struct {
	Member wire.MemberID     `json:"by"`
	Token  wire.FencingToken `json:"token"`
}

// ScaleOutIntent is a rental that a leader asks the cloud for. The cloud answers a
// repeated request as it did the first, so whoever reads this can ask what came of it.
type ScaleOutIntent struct {
	wire.ScaleOutRequest
	At wire.UnixMillis `json:"at"`
}

// ScaleOutRecord holds the rentals that the cloud's list may not show yet. It is
// written before the cloud is asked.
type ScaleOutRecord struct {
	Recent []ScaleOutIntent `json:"recent"`
}

// HireBytes is about what a rental takes of the record.
const HireBytes = 200
