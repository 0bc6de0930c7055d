package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Shape is how the tasks of a job relate.
type Shape string

// The shapes of jobs.
const (
	Array   Shape = "array"  // independent tasks
	Gang    Shape = "gang"   // tasks that start, run and end together
	Service Shape = "daemon" // tasks that run until the job is cancelled
)

// Priority is a job's urgency.
type Priority string

// The priorities, highest first.
const (
	Production Priority = "prod"
	High       Priority = "high"
	Normal     Priority = "normal"
	BestEffort Priority = "best_effort"
)

// Rank orders priorities: 0 is the highest. Unknown ones rank -1.
func (p Priority) Rank() int {
	switch p {
	case Production:
		return 0
	case High:
		return 1
	case Normal:
		return 2
	case BestEffort:
		return 3
	}
	return -1
}

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100_000

// JobSpec is the submission of a job: POST /api/jobs. CPUs, GPUs and MemoryGB are of each task.
type JobSpec struct {
	ID         JobID             `json:"id"`
	Class      Class             `json:"workclass"`
	Team       Team              `json:"owner"`
	Shape      Shape             `json:"shape"`
	Priority   Priority          `json:"urgency"`
	Tasks      int               `json:"pieces"`
	CPUs       float64           `json:"cores"`
	GPUs       float64           `json:"accelerators"`
	MemoryGB   float64           `json:"ram_gb"`
	Image      Image             `json:"bundle"`
	ImageGB    float64           `json:"pull_gb"`
	Types      []MachineTypeName `json:"builds"`     // allowed; nil: all
	Zone       *Zone             `json:"yard"`       // required; nil: any
	OneZone    bool              `json:"together"`   // all tasks in one zone
	Spread     bool              `json:"scatter"`    // tasks on different machines
	Spot       bool              `json:"loaners"`    // spot instances allowed
	Estimate   Seconds           `json:"expect_s"`   // run time of a task
	Checkpoint Seconds           `json:"snapshot_s"` // interval between checkpoints
	Save       Seconds           `json:"stash_s"`    // to save a checkpoint when stopped
	Deadline   *Seconds          `json:"due_s"`      // from the submission; nil: none
	// Dependencies are the jobs that must be done before any task of this one starts, each once.
	Dependencies []JobID `json:"awaits,omitempty"`
}

// MaxDependencies is the largest number of jobs that one may depend on; a deployment whose state service
// takes only small values may allow fewer.
const MaxDependencies = 1000

// requiredJobFields are the keys that a submission must have.
var requiredJobFields = []string{"id", "workclass", "owner", "shape", "urgency", "pieces",
	"cores", "accelerators", "ram_gb", "bundle", "pull_gb", "together", "scatter", "loaners",
	"expect_s", "snapshot_s", "stash_s"}

// DecodeJobSpec reads a submission and checks all that can be checked without knowing teams and machine
// types. Unknown keys are ignored. The error names the first field at fault and is for users to read.
func DecodeJobSpec(body []byte) (JobSpec, error) {
	var fields map[string]json.RawMessage
	if err := decodeOne(body, &fields); err != nil || fields == nil {
		return JobSpec{}, errors.New("body is not a JSON object")
	}
	for _, name := range requiredJobFields {
		raw, ok := fields[name]
		if !ok || bytes.Equal(raw, []byte("null")) {
			return JobSpec{}, fmt.Errorf("field %q is missing", name)
		}
	}
	var s JobSpec
	if err := json.Unmarshal(body, &s); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return JobSpec{}, fmt.Errorf("field %q has the wrong type", t.Field)
		}
		return JobSpec{}, errors.New("body is not a valid submission")
	}
	s.Dependencies = unique(s.Dependencies)
	return s, s.Check()
}

// unique returns the ids without those that stand before, nil if there are none.
func unique(ids []JobID) []JobID {
	var out []JobID
	seen := make(map[JobID]bool, len(ids))
	for _, id := range ids {
		if !seen[id] {
			seen[id] = true
			out = append(out, id)
		}
	}
	return out
}

// maxAmount bounds the amounts of a submission: resources, sizes and seconds.
const maxAmount = 1e9

// maxNameLength bounds the names in a submission, in bytes.
const maxNameLength = 100

// Check returns an error that names the first field that is out of range, nil if there is none.
func (s *JobSpec) Check() error {
	checks := [...]struct {
		field string // its JSON key
		valid bool
	}{
		{"id", s.ID.Valid()},
		{"workclass", validName(s.Class)},
		{"owner", validName(s.Team)},
		{"shape", s.Shape == Array || s.Shape == Gang || s.Shape == Service},
		{"urgency", s.Priority.Rank() >= 0},
		{"pieces", s.Tasks >= 1 && s.Tasks <= MaxTasks},
		{"cores", validAmount(s.CPUs)},
		{"accelerators", validAmount(s.GPUs)},
		{"ram_gb", validAmount(s.MemoryGB)},
		{"bundle", validName(s.Image)},
		{"pull_gb", validAmount(s.ImageGB)},
		{"yard", s.Zone == nil || validName(*s.Zone)},
		{"expect_s", validAmount(float64(s.Estimate))},
		{"snapshot_s", validAmount(float64(s.Checkpoint))},
		{"stash_s", validAmount(float64(s.Save))},
		{"due_s", s.Deadline == nil || validAmount(float64(*s.Deadline))},
		{"builds", s.validTypes()},
		{"awaits", s.validDependencies()},
	}
	for i := range checks {
		if !checks[i].valid {
			return fmt.Errorf("field %q is invalid", checks[i].field)
		}
	}
	return nil
}

// validTypes reports whether the machine types allowed are nil, for all, or a list that is not empty.
func (s *JobSpec) validTypes() bool {
	if s.Types != nil && len(s.Types) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.Types, func(name MachineTypeName) bool { return !validName(name) })
}

// validDependencies reports whether the jobs that it depends on are not too many and have valid ids.
func (s *JobSpec) validDependencies() bool {
	return len(s.Dependencies) <= MaxDependencies &&
		!slices.ContainsFunc(s.Dependencies, func(id JobID) bool { return !id.Valid() })
}

// validName reports whether a name is of a length that the protocol allows.
func validName[T ~string](name T) bool { return len(name) >= 1 && len(name) <= maxNameLength }

// validAmount reports whether an amount is a number from 0 to maxAmount.
func validAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

// decodeOne reads one JSON value, with nothing but white space after it.
func decodeOne(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data")
	}
	return nil
}

// Status is the state of a job or workflow as users see it.
type Status string

// The states of a job. Done and Cancelled are final.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Done      Status = "done"
	Cancelled Status = "aborted"
)

// JobStatus answers submissions, polls and cancellations. Done and Running count tasks; they are nil where
// only the status is known, as of archived jobs.
type JobStatus struct {
	ID      JobID  `json:"id"`
	Status  Status `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	// WaitingFor are jobs that this one depends on and that are not done; some of them if they are many.
	WaitingFor []JobID `json:"awaits,omitempty"`
}

// ErrorBody is the body of answers other than success; its message is for users to read.
type ErrorBody struct {
	Error string `json:"error"`
}
