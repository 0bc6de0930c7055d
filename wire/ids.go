// Package wire holds the messages and small types that maddermill exchanges
// with users, workers, the cloud and the state service. Clients may use it too.
package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// JobID names a job. Users choose it; it always reads "wk-" and digits.
type JobID string

// Valid reports whether the id is in the form that the protocol states.
func (id JobID) Valid() bool {
	digits, ok := strings.CutPrefix(string(id), "wk-")
	if !ok || len(digits) < 6 || len(digits) > 18 {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// GalleryName names a gallery: work with one promised date. Operators choose it.
type GalleryName string

// Valid reports whether the name is 1 to 64 letters, digits, dots, dashes and underscores.
func (n GalleryName) Valid() bool {
	if len(n) < 1 || len(n) > 64 {
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

// Small types of the protocol. Each is its own type so that a session is never
// passed where a token is meant.
type (
	MachineID       string // a rented machine; names are never used twice
	MemberID        string // a controller
	Zone            string
	MachineTypeName string // a machine type
	Image           string
	Team            string
	Class           string // a class of jobs, as named by objectives

	Attempt           uint64 // tells one start of a task from another
	FencingToken      uint64 // entitles a controller to command a worker
	AgentEpoch        uint64 // a worker's life between lease expiries
	HeartbeatSequence uint64 // orders a worker's messages within a session
	Revision          uint64 // counts the changes of the state service
	LeaseID           uint64 // a lease at the state service
)

// Seconds is a duration as the protocol writes it.
type Seconds float64

// Duration converts to Go's durations.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// UnixMillis is a time of day, in milliseconds, as kept in durable records.
type UnixMillis int64

// Time converts to Go's time.
func (u UnixMillis) Time() time.Time { return time.UnixMilli(int64(u)) }

// ModuleHash names a plug-in's module by its content: SHA-256 in hex.
type ModuleHash string

// Short is enough of the hash to tell modules apart in a log.
func (h ModuleHash) Short() string { return string(h[:min(12, len(h))]) }
