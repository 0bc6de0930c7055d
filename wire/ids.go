package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Length limits of the digits in a job ID and of a gallery's name.
const (
	minIDDigits    = 6
	maxIDDigits    = 18
	maxGalleryName = 64
)

// JobID identifies a job. Users choose it; its form is "wk-" followed by 6 to 18 digits.
type JobID string

// Valid reports whether the ID has the form that the protocol requires.
func (id JobID) Valid() bool {
	digits, ok := strings.CutPrefix(string(id), "wk-")
	if !ok || len(digits) < minIDDigits || len(digits) > maxIDDigits {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// GalleryName identifies a gallery: a group of jobs with a common deadline. Operators choose it.
type GalleryName string

// Valid reports whether the name consists of 1 to 64 letters, digits, dots, dashes and underscores.
func (n GalleryName) Valid() bool {
	if len(n) < 1 || len(n) > maxGalleryName {
		return false
	}
	for _, c := range []byte(n) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// TaskIndex is the zero-based index of a task in its job.
type TaskIndex int

// TaskID identifies a task of a job, for instance wk-000412/3.
type TaskID struct {
	Job   JobID
	Index TaskIndex
}

// String formats the ID as "job/index".
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(int(t.Index)) }

// MarshalText encodes the ID as "job/index".
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses an ID in the form "job/index".
func (t *TaskID) UnmarshalText(b []byte) error {
	job, index, ok := strings.Cut(string(b), "/")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || n < 0 || !JobID(job).Valid() {
		return fmt.Errorf("wire: invalid task ID %q, want \"job/index\"", b)
	}
	t.Job, t.Index = JobID(job), TaskIndex(n)
	return nil
}

// The identifiers of the protocol. Each has its own type, so that the compiler rejects mix-ups.
type (
	// MachineID identifies a rented machine. IDs are never reused.
	MachineID string
	// MemberID identifies a controller.
	MemberID string
	// Zone is the name of an availability zone of the cloud.
	Zone string
	// MachineTypeName is the name of a machine type.
	MachineTypeName string
	// Image is the name of the image that a job's tasks run.
	Image string
	// Team is the name of a team, which has a quota.
	Team string
	// Class is the name of a class of jobs, to which service-level objectives refer.
	Class string
)

// The numbers of the protocol. All are monotonically increasing.
type (
	// Attempt counts the starts of a job's tasks.
	Attempt uint64
	// FencingToken authorizes a controller's commands to workers. A worker ignores commands with a token
	// lower than the highest that it has accepted.
	FencingToken uint64
	// AgentEpoch counts the incarnations of a worker's agent. A lease expiry, which ends all tasks on the
	// machine, starts a new epoch.
	AgentEpoch uint64
	// HeartbeatSequence orders a worker's heartbeats within an epoch.
	HeartbeatSequence uint64
	// Revision counts the changes in the state service.
	Revision uint64
	// LeaseID identifies a lease of the state service.
	LeaseID uint64
)

// Seconds is a duration in the protocol's unit.
type Seconds float64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// UnixMillis is a point in time in milliseconds since 1970, as stored in durable records.
type UnixMillis int64

// Time converts u to a time.Time.
func (u UnixMillis) Time() time.Time { return time.UnixMilli(int64(u)) }

// ModuleHash identifies a plug-in module by its content: SHA-256 in hex.
type ModuleHash string

// shortHashDigits is the number of digits of a ModuleHash that logs show.
const shortHashDigits = 12

// Short returns a prefix of the hash that is long enough to tell modules apart in a log.
func (h ModuleHash) Short() string { return string(h[:min(shortHashDigits, len(h))]) }
