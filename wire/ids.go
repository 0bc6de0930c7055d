package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Lengths of the digits of a job's id and of a gallery's name.
const (
	minIDDigits    = 6
	maxIDDigits    = 18
	maxGalleryName = 64
)

// JobID names a job. Users choose it; it reads "wk-" and 6 to 18 digits.
type JobID string

// Valid reports whether the id is in the form that the protocol states.
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

// GalleryName names a gallery: a group of jobs with one deadline. Operators choose it.
type GalleryName string

// Valid reports whether the name is 1 to 64 letters, digits, dots, dashes and underscores.
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

// TaskIndex is a task's number within its job, from 0.
type TaskIndex int

// TaskID names one task of a job, for instance wk-000412/3.
type TaskID struct {
	Job   JobID
	Index TaskIndex
}

// String returns the task as "job/index".
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(int(t.Index)) }

// MarshalText writes the task as "job/index".
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads a task written as "job/index".
func (t *TaskID) UnmarshalText(b []byte) error {
	job, index, ok := strings.Cut(string(b), "/")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || n < 0 || !JobID(job).Valid() {
		return fmt.Errorf("wire: %q is not a task", b)
	}
	t.Job, t.Index = JobID(job), TaskIndex(n)
	return nil
}

// The names of the protocol. Each is a type of its own, so that one is never passed where another is meant.
type (
	// MachineID names a rented machine; a name is never used twice.
	MachineID string
	// MemberID names a controller.
	MemberID string
	// Zone names an availability zone of the cloud.
	Zone string
	// MachineTypeName names a machine type.
	MachineTypeName string
	// Image names an image of a job.
	Image string
	// Team names a team, which has a quota.
	Team string
	// Class names a class of jobs, as service-level objectives do.
	Class string
)

// The numbers of the protocol. All only ever increase.
type (
	// Attempt numbers the starts of a job's tasks.
	Attempt uint64
	// FencingToken entitles a controller to command a worker. A worker ignores commands under a lower
	// token than the highest that it has accepted.
	FencingToken uint64
	// AgentEpoch numbers the incarnations of a worker's agent: a lease expiry, at which all tasks on the
	// machine end, begins a new one.
	AgentEpoch uint64
	// HeartbeatSequence orders a worker's heartbeats within an epoch.
	HeartbeatSequence uint64
	// Revision counts the changes of the state service.
	Revision uint64
	// LeaseID names a lease at the state service.
	LeaseID uint64
)

// Seconds is a duration as the protocol writes it.
type Seconds float64

// Duration converts to Go's durations.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// UnixMillis is a point in time, in milliseconds since 1970, as durable records hold it.
type UnixMillis int64

// Time converts to Go's time.
func (u UnixMillis) Time() time.Time { return time.UnixMilli(int64(u)) }

// ModuleHash names a plug-in's module by its content: SHA-256 in hex.
type ModuleHash string

// shortHash is how many digits of a ModuleHash tell modules apart in a log.
const shortHash = 12

// Short is enough of the hash to tell modules apart in a log.
func (h ModuleHash) Short() string { return string(h[:min(shortHash, len(h))]) }
