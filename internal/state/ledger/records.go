package ledger

import (
	"maps"
	"slices"

	"maddermill/wire"
)

// JobState is the durable state of a job.
type JobState string

// The durable states of jobs. Done and cancelled are final.
const (
	Active    JobState = ""
	Cancelled JobState = "cancelled"
	Done      JobState = "done"
)

// taskRangeRecord is the record of a range of a job's tasks.
type taskRangeRecord struct {
	Attempt wire.Attempt `json:"a,omitempty"` // last attempt number given out
	Done    []byte       `json:"d,omitempty"` // a bit for each task that is done
	Claims  claimList    `json:"c,omitempty"`
}

// jobRecord is the record of a job. The first range of its tasks is part of it.
type jobRecord struct {
	Spec      *wire.JobSpec   `json:"spec"`
	Accepted  wire.UnixMillis `json:"at"`
	State     JobState        `json:"state,omitempty"`
	Stop      wire.Attempt    `json:"stop,omitempty"`  // attempts of a gang up to this one are to stop
	Range     int             `json:"range,omitempty"` // tasks that share a record; 0: Limits.TasksPerRange
	Workflow  wire.WorkflowID `json:"of,omitempty"`    // that it is a step of
	FinalDone int             `json:"kept,omitempty"`  // tasks done, once the ranges are being deleted

	Gallery wire.GalleryName `json:"g,omitempty"` // that it belongs to
	Ended   wire.UnixMillis  `json:"e,omitempty"` // when it was done; before PipelineFormat only if it belongs to one
	taskRangeRecord
}

// MachinePhase is how far the termination of a machine has come; "" while it is in service.
type MachinePhase string

// The phases of machines. They only advance.
const (
	Terminating MachinePhase = "leaving" // it takes no new task and is being returned
	Terminated  MachinePhase = "gone"    // the cloud has confirmed its return: none of its tasks runs
)

// machineRecord is the record of a machine's phase.
type machineRecord struct {
	Phase  MachinePhase `json:"s"`
	Reason string       `json:"why,omitempty"`
}

// teamRecord is rewritten by every start of a limited team, which makes starts conflict; its content
// has no meaning.
type teamRecord struct {
	By wire.FencingToken `json:"by"` // of the controller that started
}

// TokenRecord is the counter of fencing tokens.
type TokenRecord struct {
	Last wire.FencingToken `json:"n"`
	By   wire.MemberID     `json:"by"` // that took it
	// Reads is the newest format that every controller reads that ever took a token. Versions that
	// know only one format leave it out.
	Reads int `json:"r,omitempty"`
	// Readers has the newest format that each controller reads. Versions before PipelineFormat leave it
	// out, and every controller takes a token when it starts: whoever is listed runs a version that knows
	// the list, and so does everybody else that has started since (DESIGN, "Two versions at once").
	Readers map[wire.MemberID]int `json:"v,omitempty"`
}

// Next returns the record with which a controller takes the token last. reads is the newest format that
// the controller reads.
func (r TokenRecord) Next(last wire.FencingToken, by wire.MemberID, reads int) TokenRecord {
	n := TokenRecord{Last: last, By: by, Reads: min(r.Reads, reads)}
	if r.Last == 0 {
		n.Reads = reads
	}
	n.Readers = maps.Clone(r.Readers)
	if n.Readers == nil {
		n.Readers = map[wire.MemberID]int{}
	}
	n.Readers[by] = reads
	return n
}

// Declared returns the record with which a controller that has a token states again what it reads: a start
// of an older version has removed it. No token is taken.
func (r TokenRecord) Declared(by wire.MemberID, reads int) TokenRecord {
	n := r.Next(r.Last, by, reads)
	n.By = r.By
	return n
}

// AllRead reports whether all of the members read a format.
func (r TokenRecord) AllRead(members []wire.MemberID, format int) bool {
	return !slices.ContainsFunc(members, func(m wire.MemberID) bool { return r.Readers[m] < format })
}

// LeaderRecord names the leader of the fleet and the token of its term.
type LeaderRecord struct {
	Member wire.MemberID     `json:"by"`
	Token  wire.FencingToken `json:"token"`
}

// ScaleOutIntent is a scale-out request that a leader makes. The cloud answers a repeated request as it
// answered the first, so that a later leader learns the outcome by repeating it.
type ScaleOutIntent struct {
	wire.ScaleOutRequest
	At wire.UnixMillis `json:"at"`
}

// ScaleOutRecord has the requests whose machines the cloud's list may not show yet. It is written before
// the cloud is asked.
type ScaleOutRecord struct {
	Recent []ScaleOutIntent `json:"recent"`
}

// HireBytes is about how many bytes an intent takes of the record.
const HireBytes = 200
