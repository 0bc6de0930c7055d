package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"maddermill/internal/exactjson"
)

// Shape is the kind of a job: how its tasks are started and ended together, or not.
type Shape string

// The job shapes.
const (
	Array   Shape = "array"  // independent tasks
	Gang    Shape = "gang"   // tasks that start, run and end together
	Service Shape = "daemon" // tasks that run until the job is cancelled
)

// Priority is a job's priority class.
type Priority string

// The priorities, highest first.
const (
	Production Priority = "prod"
	High       Priority = "high"
	Normal     Priority = "normal"
	BestEffort Priority = "best_effort"
)

// Rank returns the priority's rank, from 0 for the highest, or -1 for an unknown priority.
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

// JobSpec is the submission of a job: POST /api/jobs. CPUs, GPUs and MemoryGB are per task.
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
	Types      []MachineTypeName `json:"builds"`     // allowed machine types; nil: all
	Zone       *Zone             `json:"yard"`       // required zone; nil: any
	OneZone    bool              `json:"together"`   // all tasks in one zone
	Spread     bool              `json:"scatter"`    // tasks on different machines
	Spot       bool              `json:"loaners"`    // spot instances allowed
	Estimate   Seconds           `json:"expect_s"`   // estimated run time of a task
	Checkpoint Seconds           `json:"snapshot_s"` // interval between checkpoints
	Save       Seconds           `json:"stash_s"`    // time to save a checkpoint when stopped
	Deadline   *Seconds          `json:"due_s"`      // counted from the submission; nil: none
	// Dependencies are the jobs that must be done before any task of this one starts, without duplicates.
	Dependencies []JobID `json:"awaits,omitempty"`
}

// MaxDependencies is the largest number of jobs that one job may depend on. A deployment may allow fewer if
// its state service limits the size of values.
const MaxDependencies = 1000

// requiredJobFields lists the JSON keys that a submission must have.
var requiredJobFields = []string{"id", "workclass", "owner", "shape", "urgency", "pieces",
	"cores", "accelerators", "ram_gb", "bundle", "pull_gb", "together", "scatter", "loaners",
	"expect_s", "snapshot_s", "stash_s"}

// DecodeJobSpec parses a submission and validates it, except for what depends on the configured teams and
// machine types. Unknown keys are ignored, including those that differ from a known one in case alone. The error
// names the first invalid field and is shown to users.
func DecodeJobSpec(body []byte) (JobSpec, error) {
	var fields map[string]json.RawMessage
	if err := exactjson.Unmarshal(body, &fields); err != nil || fields == nil {
		return JobSpec{}, errors.New("body is not a JSON object")
	}
	for _, name := range requiredJobFields {
		raw, ok := fields[name]
		if !ok || bytes.Equal(raw, []byte("null")) {
			return JobSpec{}, fmt.Errorf("field %q is missing", name)
		}
	}
	var s JobSpec
	if err := exactjson.Unmarshal(body, &s); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return JobSpec{}, fmt.Errorf("field %q has the wrong type", t.Field)
		}
		return JobSpec{}, errors.New("body is not a valid submission")
	}
	s.Dependencies = unique(s.Dependencies)
	return s, s.Check()
}

// unique returns the IDs without duplicates, in order of first occurrence; nil if there are none.
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

// maxAmount is the largest quantity in a submission: of a resource, a size or a duration in seconds.
const maxAmount = 1e9

// maxNameLength is the maximum length of names in a submission, in bytes.
const maxNameLength = 100

// Check validates the fields. The error names the first invalid field.
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

// validTypes reports whether Types is nil, which allows all machine types, or a non-empty list of valid
// names.
func (s *JobSpec) validTypes() bool {
	if s.Types != nil && len(s.Types) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.Types, func(name MachineTypeName) bool { return !validName(name) })
}

// validDependencies reports whether the dependencies have valid IDs and do not exceed MaxDependencies.
func (s *JobSpec) validDependencies() bool {
	return len(s.Dependencies) <= MaxDependencies &&
		!slices.ContainsFunc(s.Dependencies, func(id JobID) bool { return !id.Valid() })
}

// validName reports whether a name has a length that the protocol allows.
func validName[T ~string](name T) bool { return len(name) >= 1 && len(name) <= maxNameLength }

// validAmount reports whether an amount is a number from 0 to maxAmount.
func validAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

// Status is the state of a job or workflow that users see.
type Status string

// The states of a job. Done and Cancelled are final.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Done      Status = "done"
	Cancelled Status = "aborted"
)

// JobStatus is the response to submissions, polls and cancellations. Done and Running count tasks; they are
// nil if only the status is known, as for archived jobs.
type JobStatus struct {
	ID      JobID  `json:"id"`
	Status  Status `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	// WaitingFor lists dependencies that are not done yet. If there are many, the list is incomplete.
	WaitingFor []JobID `json:"awaits,omitempty"`
}

// ErrorBody is the body of error responses. The message is meant for users.
type ErrorBody struct {
	Error string `json:"error"`
}

// ErrorMessage returns the message in the body of an error response, or "" if it isn't an ErrorBody.
func ErrorMessage(body []byte) string {
	var decoded ErrorBody
	if exactjson.Unmarshal(body, &decoded) != nil {
		return ""
	}
	return decoded.Error
}
