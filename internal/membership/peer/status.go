// Package peer is the exchange of status between controllers over the mesh: liveness, and hints for
// placement, as CBOR frames. No rule depends on a message arriving.
//
// # Types
//
// A [Status] is what one controller shares: its run, how far its records are, the machines whose
// heartbeats it receives, and what it has observed. [Ask] asks a peer for its status at an interval,
// [Serve] answers; an [Answer] is a status with the time at which it was asked for.
//
// # Compatibility
//
// A status also says what the asker lacks and has read before, so questions and answers have one type.
// Controllers of neighbouring versions run together during an upgrade: see Version. The CBOR keys and
// JSON names are the protocol and must not change; golden tests compare the bytes.
//
// # Locking and goroutines
//
// The package has no state and no locks, and starts no goroutines. Ask and Serve run in their caller's:
// the controller runs one Ask for each peer until its context ends, and one Serve for each connection
// until that ends. They call back without any lock.
package peer

import (
	"time"

	"maddermill/wire"
)

// The versions of a status that this controller speaks. An asker names the newest that it speaks, and is
// answered in the newest that both do. Fields are only ever added, and unknown ones ignored; a version
// is raised when the meaning of a field changes.
const (
	Oldest  = 1
	Version = 2
)

// Status is what a controller shares with its peers. Fields that JSON leaves out are shared over the mesh
// only, not published in the state service, where a value must be small.
type Status struct {
	// The controller and its records.

	// Version is that of the status: Oldest to Version.
	Version int `cbor:"1,keyasint" json:"v"`
	// Member is the controller.
	Member wire.MemberID `cbor:"2,keyasint" json:"by"`
	// Boot distinguishes the runs of a controller: when this one began, in milliseconds since the epoch.
	Boot int64 `cbor:"3,keyasint" json:"b"`
	// Revision is that of its records.
	Revision wire.Revision `cbor:"4,keyasint" json:"rev"`
	// Cancelled is the revision of the newest cancellation that it has acknowledged.
	Cancelled wire.Revision `cbor:"5,keyasint" json:"cx"`
	// ContactMS is the time since its last sync with the state service, in milliseconds.
	ContactMS int64 `cbor:"6,keyasint" json:"ct"`
	// Loaded says that it has read all records.
	Loaded bool `cbor:"7,keyasint" json:"ld"`

	// What it has observed.

	// Machines are those whose heartbeats it receives.
	Machines []Machine `cbor:"8,keyasint" json:"m,omitempty"`
	// Classes are the run times that it has observed.
	Classes []ClassRunTimes `cbor:"9,keyasint" json:"cl,omitempty"`
	// Suspects are the jobs in a crash loop.
	Suspects []Suspect `cbor:"10,keyasint,omitempty" json:"-"`
	// PreemptionReservations are the machines that it, as the leader, asks their holders to empty.
	PreemptionReservations []Reservation `cbor:"11,keyasint,omitempty" json:"-"`
	// GangPartitions are the gangs that lost mates although all their machines answer.
	GangPartitions []GangPartition `cbor:"12,keyasint,omitempty" json:"-"`
	// MaxVersion is the newest version of a status that an asker speaks.
	MaxVersion int `cbor:"13,keyasint,omitempty" json:"-"`
	// MaxFormat is the newest format of records that it reads; 0: the first.
	MaxFormat int `cbor:"14,keyasint,omitempty" json:"-"`
	// Modules are the plug-ins' modules that it has at hand, or can't have.
	Modules []Module `cbor:"15,keyasint,omitempty" json:"-"`
	// Failures are the errors of tasks on machines that it held lately.
	Failures []Failure `cbor:"16,keyasint,omitempty" json:"-"`

	// What the asker lacks: the jobs and workflows cancelled after the revision Since, which the asker
	// named. CancellationsComplete says that these are all that this controller may have acknowledged.

	Since                 wire.Revision     `cbor:"19,keyasint,omitempty" json:"-"`
	CancelledJobs         []wire.JobID      `cbor:"20,keyasint,omitempty" json:"-"`
	CancelledWorkflows    []wire.WorkflowID `cbor:"22,keyasint,omitempty" json:"-"`
	CancellationsComplete bool              `cbor:"21,keyasint,omitempty" json:"-"`

	// RegisterEdition is the edition of the register of galleries that it has; 0: none.
	RegisterEdition int `cbor:"18,keyasint,omitempty" json:"-"`
	// GangReservations are the machines that it, as the leader, reserves for overdue gangs. Nothing is
	// preempted for them.
	GangReservations []Reservation `cbor:"17,keyasint,omitempty" json:"-"`

	// Completions that workers reported and that the records may lack: of the run CompletedBoot, those up
	// to number CompletedTo. An asker names with CompletedBoot and CompletedTo how far it has read.

	Completed     []Completion `cbor:"23,keyasint,omitempty" json:"-"`
	CompletedTo   uint64       `cbor:"24,keyasint,omitempty" json:"-"`
	CompletedBoot int64        `cbor:"25,keyasint,omitempty" json:"-"`
}

// ConfirmsCancellations reports whether the controller has acknowledged no cancellation to a user that
// records lack which are at a revision and have the cancellations that the status lists merged.
func (s *Status) ConfirmsCancellations(r wire.Revision) bool {
	return s.Loaded && (s.Cancelled <= r || s.CancellationsComplete && s.Since <= r)
}

// Machine is a machine whose heartbeats a controller receives.
type Machine struct {
	ID    wire.MachineID       `cbor:"1,keyasint" json:"i"`
	Type  wire.MachineTypeName `cbor:"2,keyasint" json:"t"`
	Zone  wire.Zone            `cbor:"3,keyasint" json:"z"`
	Spot  bool                 `cbor:"4,keyasint,omitempty" json:"l,omitempty"`
	Epoch wire.AgentEpoch      `cbor:"5,keyasint" json:"s"`
	Token wire.FencingToken    `cbor:"6,keyasint" json:"k"`
	// AgeMS is the time since its last heartbeat, in milliseconds.
	AgeMS  int64 `cbor:"7,keyasint" json:"a"`
	Usable bool  `cbor:"8,keyasint,omitempty" json:"u,omitempty"`
	// ReclaimMS is the time until its spot reclaim, in milliseconds; 0: it has no reclaim notice.
	ReclaimMS int64 `cbor:"9,keyasint,omitempty" json:"r,omitempty"`
	// Faulty says that it is to blame for errors of its tasks. QuarantineReason says why in a few words,
	// where machines are quarantined by evidence.
	Faulty bool `cbor:"10,keyasint,omitempty" json:"f,omitempty"`
	// Images are those in its cache, Fetching those being fetched.
	Images   []wire.Image `cbor:"11,keyasint,omitempty" json:"c,omitempty"`
	Fetching []wire.Image `cbor:"12,keyasint,omitempty" json:"g,omitempty"`
	// Endpoint is its address, where a topology is declared.
	Endpoint string `cbor:"13,keyasint,omitempty" json:"e,omitempty"`
	// Slow says that its tasks take longer than elsewhere.
	Slow             bool   `cbor:"14,keyasint,omitempty" json:"-"`
	QuarantineReason string `cbor:"15,keyasint,omitempty" json:"-"`
	// UnreachableMS is the time for which answers to its heartbeats are taken not to arrive, in
	// milliseconds; 0: they arrive.
	UnreachableMS int64 `cbor:"16,keyasint,omitempty" json:"-"`
}

// Completion is the completion of a task as its worker reported it.
type Completion struct {
	Job     wire.JobID      `cbor:"1,keyasint"`
	Task    wire.TaskIndex  `cbor:"2,keyasint,omitempty"`
	Attempt wire.Attempt    `cbor:"3,keyasint"`
	Machine wire.MachineID  `cbor:"4,keyasint"`
	Epoch   wire.AgentEpoch `cbor:"5,keyasint"`
}

// Failure is the error of a task on a machine that a controller held lately, shared where machines are
// quarantined by evidence.
type Failure struct {
	Job     wire.JobID     `cbor:"1,keyasint"`
	Task    wire.TaskIndex `cbor:"2,keyasint,omitempty"`
	Array   bool           `cbor:"3,keyasint,omitempty"`
	Machine wire.MachineID `cbor:"4,keyasint"`
	Image   wire.Image     `cbor:"5,keyasint,omitempty"`
	Block   string         `cbor:"6,keyasint,omitempty"`
	// DoneBefore is how many tasks the machine completed before.
	DoneBefore float64 `cbor:"7,keyasint,omitempty"`
	// At is when it failed, in milliseconds since the epoch by the clock of the controller that shares it.
	At int64 `cbor:"8,keyasint"`
}

// Module is a plug-in's module that a controller has at hand, or can't have.
type Module struct {
	Hash  wire.ModuleHash `cbor:"1,keyasint"`
	Fault string          `cbor:"2,keyasint,omitempty"` // why it can't have the module; "": it has it
}

// GangPartition is a gang that lost mates although all its machines answer.
type GangPartition struct {
	Job   wire.JobID `cbor:"1,keyasint"`
	Block string     `cbor:"2,keyasint"` // the innermost of the declared topology that they are all in
	AgeMS int64      `cbor:"3,keyasint"`
}

// Reservation is a machine that the leader reserves for tasks of a gang.
type Reservation struct {
	Machine     wire.MachineID `cbor:"1,keyasint"`
	Job         wire.JobID     `cbor:"2,keyasint"`
	Tasks       int            `cbor:"3,keyasint"`
	RemainingMS int64          `cbor:"4,keyasint"` // until the reservation ends
}

// Suspect is a job in a crash loop: its tasks have failed on Machines since Done of them were
// completed.
type Suspect struct {
	Job       wire.JobID       `cbor:"1,keyasint"`
	Done      int              `cbor:"2,keyasint"`
	Machines  []wire.MachineID `cbor:"3,keyasint"`
	Rounds    int              `cbor:"4,keyasint"`
	BackoffMS int64            `cbor:"5,keyasint"` // until the next retry
}

// ClassRunTimes is what a controller has observed of the run times of a class of jobs, in seconds.
type ClassRunTimes struct {
	Class     wire.Class `cbor:"1,keyasint" json:"n"`
	Ran       float64    `cbor:"2,keyasint" json:"r"`
	Estimated float64    `cbor:"3,keyasint" json:"e"`
	Count     float64    `cbor:"4,keyasint" json:"c"`
}

// Answer is a peer's status with the time at which it was asked for, the latest time that it can be
// relied on to describe.
type Answer struct {
	Status Status
	AsOf   time.Time
}
