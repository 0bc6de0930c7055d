// Package peer implements the exchange of status messages between controllers over the mesh: liveness and
// placement hints, sent as CBOR frames. Correctness never depends on the delivery of a message.
//
// # Types
//
// A [Status] describes one controller: its run, the revision of its records, the machines whose
// heartbeats it receives, and what it has observed. [Probe] probes a peer for its status at an interval and
// [Serve] responds. A [Response] is a status with the time at which it was requested.
//
// # Compatibility
//
// A probe is also a Status: it tells the peer which records and completions the sender already has.
// Controllers of adjacent versions run together during an upgrade; see Version. The CBOR keys and JSON
// names are part of the protocol and must not change; golden tests compare the encoded bytes.
//
// # Locking and goroutines
//
// The package has no state and no locks, and starts no goroutines. The controller runs one goroutine with
// Probe for each peer until the context ends, and one with Serve for each connection until that ends. Both
// invoke their callbacks without holding a lock.
package peer

import (
	"time"

	"maddermill/wire"
)

// The status versions that this controller supports. A probe names the newest version that its sender
// supports, and the response uses the newest version that both support. Fields are only ever added, and
// unknown fields are ignored. The version is incremented when the meaning of a field changes.
const (
	OldestVersion = 1
	Version       = 2
)

// Status is the state that a controller shares with its peers. Fields without a JSON name are sent over the
// mesh only, and not published in the state service, where values must be small.
type Status struct {
	// The controller and its records.

	// Version is the version of this message, from OldestVersion to Version.
	Version int `cbor:"1,keyasint" json:"v"`
	// Member identifies the controller.
	Member wire.MemberID `cbor:"2,keyasint" json:"by"`
	// Boot is the start time of the process, in milliseconds since the Unix epoch. It distinguishes the
	// runs of a controller.
	Boot int64 `cbor:"3,keyasint" json:"b"`
	// Revision is the revision of its records.
	Revision wire.Revision `cbor:"4,keyasint" json:"rev"`
	// LastCancellation is the revision of the newest cancellation that it has acknowledged.
	LastCancellation wire.Revision `cbor:"5,keyasint" json:"cx"`
	// SyncAgeMS is the time since the controller's last sync with the state service, in milliseconds.
	SyncAgeMS int64 `cbor:"6,keyasint" json:"ct"`
	// Loaded is true once the controller has read all records.
	Loaded bool `cbor:"7,keyasint" json:"ld"`

	// Observations of the controller.

	// Machines are the machines whose heartbeats it receives.
	Machines []Machine `cbor:"8,keyasint" json:"m,omitempty"`
	// Classes are the run times that it has observed, by class of jobs.
	Classes []ClassRunTimes `cbor:"9,keyasint" json:"cl,omitempty"`
	// CrashLoops are the jobs in a crash loop.
	CrashLoops []CrashLoop `cbor:"10,keyasint,omitempty" json:"-"`
	// PreemptionReservations are the machines that it, as the leader, asks their controllers to drain by
	// preempting tasks.
	PreemptionReservations []Reservation `cbor:"11,keyasint,omitempty" json:"-"`
	// GangPartitions are the gangs that lost contact with some members although all their machines send
	// heartbeats.
	GangPartitions []GangPartition `cbor:"12,keyasint,omitempty" json:"-"`
	// MaxVersion is, in a probe, the newest status version that its sender supports.
	MaxVersion int `cbor:"13,keyasint,omitempty" json:"-"`
	// MaxFormat is the newest record format that it can read; 0 means the first format.
	MaxFormat int `cbor:"14,keyasint,omitempty" json:"-"`
	// Modules are the plug-in modules that it has loaded or failed to load.
	Modules []Module `cbor:"15,keyasint,omitempty" json:"-"`
	// Failures are recent task errors on machines that it was responsible for.
	Failures []Failure `cbor:"16,keyasint,omitempty" json:"-"`

	// Cancellations that the sender of the probe does not know: the jobs and workflows cancelled after the
	// revision CancelledSince, which is the Revision of the probe. CancellationsComplete means that the lists
	// contain every such cancellation that this controller may have acknowledged.

	CancelledSince        wire.Revision     `cbor:"19,keyasint,omitempty" json:"-"`
	CancelledJobs         []wire.JobID      `cbor:"20,keyasint,omitempty" json:"-"`
	CancelledWorkflows    []wire.WorkflowID `cbor:"22,keyasint,omitempty" json:"-"`
	CancellationsComplete bool              `cbor:"21,keyasint,omitempty" json:"-"`

	// RegisterEdition is the edition of its register of galleries; 0 means none.
	RegisterEdition int `cbor:"18,keyasint,omitempty" json:"-"`
	// GangReservations are the machines that it, as the leader, reserves for overdue gangs. No task is
	// preempted for them.
	GangReservations []Reservation `cbor:"17,keyasint,omitempty" json:"-"`

	// Completions that workers reported and that the records may not contain yet. CompletionsBoot is the
	// Boot of the run whose log they come from, LastCompletion the number of the last one. In a probe,
	// CompletionsBoot and LastCompletion are the position up to which its sender has read that log.

	Completions     []Completion `cbor:"23,keyasint,omitempty" json:"-"`
	LastCompletion  uint64       `cbor:"24,keyasint,omitempty" json:"-"`
	CompletionsBoot int64        `cbor:"25,keyasint,omitempty" json:"-"`
}

// ConfirmsCancellations reports whether every cancellation that the controller has acknowledged to a user
// is contained in records at revision r into which the cancellations in the status have been merged.
func (s *Status) ConfirmsCancellations(r wire.Revision) bool {
	return s.Loaded && (s.LastCancellation <= r || s.CancellationsComplete && s.CancelledSince <= r)
}

// Machine is a machine whose heartbeats a controller receives.
type Machine struct {
	ID    wire.MachineID       `cbor:"1,keyasint" json:"i"`
	Type  wire.MachineTypeName `cbor:"2,keyasint" json:"t"`
	Zone  wire.Zone            `cbor:"3,keyasint" json:"z"`
	Spot  bool                 `cbor:"4,keyasint,omitempty" json:"l,omitempty"`
	Epoch wire.AgentEpoch      `cbor:"5,keyasint" json:"s"`
	Token wire.FencingToken    `cbor:"6,keyasint" json:"k"`
	// HeartbeatAgeMS is the time since the machine's last heartbeat, in milliseconds.
	HeartbeatAgeMS int64 `cbor:"7,keyasint" json:"a"`
	Usable         bool  `cbor:"8,keyasint,omitempty" json:"u,omitempty"`
	// ReclaimMS is the time until the machine's spot reclaim, in milliseconds; 0 means no reclaim notice.
	ReclaimMS int64 `cbor:"9,keyasint,omitempty" json:"r,omitempty"`
	// Faulty means that the machine is considered the cause of errors of its tasks. QuarantineReason is a
	// short explanation, set where machines are quarantined based on evidence.
	Faulty bool `cbor:"10,keyasint,omitempty" json:"f,omitempty"`
	// Images are the images in the machine's cache, Fetching those being fetched.
	Images   []wire.Image `cbor:"11,keyasint,omitempty" json:"c,omitempty"`
	Fetching []wire.Image `cbor:"12,keyasint,omitempty" json:"g,omitempty"`
	// Endpoint is the machine's address; set only if a topology is declared.
	Endpoint string `cbor:"13,keyasint,omitempty" json:"e,omitempty"`
	// Slow means that tasks take longer on this machine than on others.
	Slow             bool   `cbor:"14,keyasint,omitempty" json:"-"`
	QuarantineReason string `cbor:"15,keyasint,omitempty" json:"-"`
	// UnreachableMS is the time for which responses to the machine's heartbeats are assumed not to reach it,
	// in milliseconds; 0 means that they do.
	UnreachableMS int64 `cbor:"16,keyasint,omitempty" json:"-"`
}

// Completion is the completion of a task as reported by its worker.
type Completion struct {
	Job     wire.JobID      `cbor:"1,keyasint"`
	Task    wire.TaskIndex  `cbor:"2,keyasint,omitempty"`
	Attempt wire.Attempt    `cbor:"3,keyasint"`
	Machine wire.MachineID  `cbor:"4,keyasint"`
	Epoch   wire.AgentEpoch `cbor:"5,keyasint"`
}

// Failure is an error of a task on a machine that a controller was recently responsible for. It is shared
// where machines are quarantined based on evidence.
type Failure struct {
	Job     wire.JobID     `cbor:"1,keyasint"`
	Task    wire.TaskIndex `cbor:"2,keyasint,omitempty"`
	Array   bool           `cbor:"3,keyasint,omitempty"`
	Machine wire.MachineID `cbor:"4,keyasint"`
	Image   wire.Image     `cbor:"5,keyasint,omitempty"`
	Block   string         `cbor:"6,keyasint,omitempty"`
	// DoneBefore is how many tasks the machine completed before the failure.
	DoneBefore float64 `cbor:"7,keyasint,omitempty"`
	// At is the time of the failure, in milliseconds since the Unix epoch by the sending controller's clock.
	At int64 `cbor:"8,keyasint"`
}

// Module is a plug-in module that a controller has loaded or failed to load.
type Module struct {
	Hash      wire.ModuleHash `cbor:"1,keyasint"`
	LoadError string          `cbor:"2,keyasint,omitempty"` // why the module failed to load; empty if it is loaded
}

// GangPartition is a gang that lost contact with some members although all its machines send heartbeats.
type GangPartition struct {
	Job   wire.JobID `cbor:"1,keyasint"`
	Block string     `cbor:"2,keyasint"` // innermost block of the declared topology that contains all of its machines
	AgeMS int64      `cbor:"3,keyasint"`
}

// Reservation is a machine that the leader reserves for tasks of a gang.
type Reservation struct {
	Machine     wire.MachineID `cbor:"1,keyasint"`
	Job         wire.JobID     `cbor:"2,keyasint"`
	Tasks       int            `cbor:"3,keyasint"`
	RemainingMS int64          `cbor:"4,keyasint"` // until the reservation ends
}

// CrashLoop is a job in a crash loop: its tasks have failed on Machines, and none has
// completed since CompletedTasks of them were done.
type CrashLoop struct {
	Job            wire.JobID       `cbor:"1,keyasint"`
	CompletedTasks int              `cbor:"2,keyasint"`
	Machines       []wire.MachineID `cbor:"3,keyasint"`
	FailureRounds  int              `cbor:"4,keyasint"`
	BackoffMS      int64            `cbor:"5,keyasint"` // until the next retry
}

// ClassRunTimes are the decaying sums of the actual and the estimated run times, in seconds, that a
// controller has observed for a class of jobs.
type ClassRunTimes struct {
	Class            wire.Class `cbor:"1,keyasint" json:"n"`
	ActualSeconds    float64    `cbor:"2,keyasint" json:"r"`
	EstimatedSeconds float64    `cbor:"3,keyasint" json:"e"`
	Count            float64    `cbor:"4,keyasint" json:"c"`
}

// Response is a peer's status with the time at which it was requested, the latest time for which the status
// is known to hold.
type Response struct {
	Status Status
	AsOf   time.Time
}
