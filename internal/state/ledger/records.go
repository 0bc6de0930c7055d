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
	Attempt wire.Attempt `json:"a,omitempty"` // last attempt number assigned
	Done    []byte       `json:"d,omitempty"` // bitmap of done tasks
	Claims  claimList    `json:"c,omitempty"`
}

// jobRecord is the record of a job, including the first range of its tasks.
type jobRecord struct {
	Spec      *wire.JobSpec   `json:"spec"`
	Accepted  wire.UnixMillis `json:"at"`
	State     JobState        `json:"state,omitempty"`
	Stop      wire.Attempt    `json:"stop,omitempty"`  // attempts of a gang up to and including this one are preempted
	Range     int             `json:"range,omitempty"` // tasks that share a record; 0: the default
	Workflow  wire.WorkflowID `json:"of,omitempty"`    // that the job is a step of
	FinalDone int             `json:"kept,omitempty"`  // done tasks, once the ranges are being deleted

	Gallery wire.GalleryName `json:"g,omitempty"` // that the job belongs to
	Ended   wire.UnixMillis  `json:"e,omitempty"` // when it was done; before PipelineFormat only of jobs in galleries
	taskRangeRecord
}

// MachinePhase is the phase of a machine's termination; "" while it is in service.
type MachinePhase string

// The phases of machines. They only advance.
const (
	Terminating MachinePhase = "leaving" // gets no new tasks and is being returned to the cloud
	Terminated  MachinePhase = "gone"    // the cloud has confirmed the return: none of its tasks runs
)

// machineRecord is the record of a machine's phase.
type machineRecord struct {
	Phase  MachinePhase `json:"s"`
	Reason string       `json:"why,omitempty"`
}

// teamRecord is rewritten by every start of a team with a quota, so that concurrent starts conflict. Nothing
// reads its content.
type teamRecord struct {
	By wire.FencingToken `json:"by"` // of the controller that rewrote it
}

// TokenRecord is the counter of fencing tokens.
type TokenRecord struct {
	Last wire.FencingToken `json:"n"`
	By   wire.MemberID     `json:"by"` // that acquired it
	// CommonFormat is the newest format that all controllers read which ever acquired a token. Versions that
	// know only one format omit it.
	CommonFormat int `json:"r,omitempty"`
	// FormatByMember holds the newest format that each controller reads. Versions before PipelineFormat omit it,
	// and every controller acquires a token when it starts. So a controller that is listed runs a version
	// that knows the list, and so does every controller that has started since (DESIGN, "Two versions at
	// once").
	FormatByMember map[wire.MemberID]int `json:"v,omitempty"`
}

// Next returns the record with which a controller acquires the token last. reads is the newest format that
// the controller reads.
func (r TokenRecord) Next(last wire.FencingToken, by wire.MemberID, reads int) TokenRecord {
	n := TokenRecord{Last: last, By: by, CommonFormat: min(r.CommonFormat, reads)}
	if r.Last == 0 {
		n.CommonFormat = reads
	}
	n.FormatByMember = maps.Clone(r.FormatByMember)
	if n.FormatByMember == nil {
		n.FormatByMember = map[wire.MemberID]int{}
	}
	n.FormatByMember[by] = reads
	return n
}

// WithDeclaredFormat returns the record with which a controller that has a token declares again the newest format that
// it reads, after a controller of an older version started and removed that. It acquires no token.
func (r TokenRecord) WithDeclaredFormat(by wire.MemberID, reads int) TokenRecord {
	n := r.Next(r.Last, by, reads)
	n.By = r.By
	return n
}

// AllRead reports whether all of the given members read a format.
func (r TokenRecord) AllRead(members []wire.MemberID, format int) bool {
	return !slices.ContainsFunc(members, func(m wire.MemberID) bool { return r.FormatByMember[m] < format })
}

// LeaderRecord holds the member that leads the fleet and the fencing token of its term.
type LeaderRecord struct {
	Member wire.MemberID     `json:"by"`
	Token  wire.FencingToken `json:"token"`
}

// ScaleOutIntent is a scale-out request that a leader makes. Requests are idempotent: the cloud answers a
// repeated one as it answered the first, so a later leader learns the outcome by repeating it.
type ScaleOutIntent struct {
	wire.ScaleOutRequest
	At wire.UnixMillis `json:"at"`
}

// ScaleOutRecord holds the requests whose machines the cloud may not list yet. It is written before the
// request is sent to the cloud.
type ScaleOutRecord struct {
	Recent []ScaleOutIntent `json:"recent"`
}

// IntentBytes is the approximate size of an intent in the record.
const IntentBytes = 200
