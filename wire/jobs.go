package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
)

// Shape tells how the tasks of a job relate.
type Shape string

// The shapes of jobs.
const (
	Array   Shape = "array"
	Gang    Shape = "gang"
	Service Shape = "daemon"
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

// JobSpec is a submission.
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
	Types      []MachineTypeName `json:"builds"`
	Zone       *Zone             `json:"yard"`
	OneZone    bool              `json:"together"`
	Spread     bool              `json:"scatter"`
	Spot       bool              `json:"loaners"`
	Estimate   Seconds           `json:"expect_s"`
	Checkpoint Seconds           `json:"snapshot_s"`
	Save       Seconds           `json:"stash_s"`
	Deadline   *Seconds          `json:"due_s"`
}

var requiredJobFields = []string{"id", "workclass", "owner", "shape", "urgency", "pieces",
	"cores", "accelerators", "ram_gb", "bundle", "pull_gb", "together", "scatter", "loaners",
	"expect_s", "snapshot_s", "stash_s"}

// DecodeJobSpec reads a submission and checks everything that can be checked
// without knowing teams and machine types. The error names the field.
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
	return s, s.Check()
}

// Check tells which field, if any, is out of range.
func (s *JobSpec) Check() error {
	bad := func(field string) error { return fmt.Errorf("field %q is invalid", field) }
	amount := func(v float64) bool { return v >= 0 && v <= 1e9 && !math.IsNaN(v) }
	switch {
	case !s.ID.Valid():
		return bad("id")
	case !shortName(string(s.Class)):
		return bad("workclass")
	case !shortName(string(s.Team)):
		return bad("owner")
	case s.Shape != Array && s.Shape != Gang && s.Shape != Service:
		return bad("shape")
	case s.Priority.Rank() < 0:
		return bad("urgency")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return bad("pieces")
	case !amount(s.CPUs):
		return bad("cores")
	case !amount(s.GPUs):
		return bad("accelerators")
	case !amount(s.MemoryGB):
		return bad("ram_gb")
	case !shortName(string(s.Image)):
		return bad("bundle")
	case !amount(s.ImageGB):
		return bad("pull_gb")
	case s.Zone != nil && !shortName(string(*s.Zone)):
		return bad("yard")
	case !amount(float64(s.Estimate)):
		return bad("expect_s")
	case !amount(float64(s.Checkpoint)):
		return bad("snapshot_s")
	case !amount(float64(s.Save)):
		return bad("stash_s")
	case s.Deadline != nil && !amount(float64(*s.Deadline)):
		return bad("due_s")
	}
	if s.Types != nil && len(s.Types) == 0 {
		return bad("builds")
	}
	for _, t := range s.Types {
		if !shortName(string(t)) {
			return bad("builds")
		}
	}
	return nil
}

func shortName(s string) bool { return len(s) >= 1 && len(s) <= 100 }

func decodeOne(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("trailing data")
	}
	return nil
}

// Status is what users are told of a job.
type Status string

// The states of a job.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Done      Status = "done"
	Cancelled Status = "aborted"
)

// JobStatus answers submissions, polls and cancellations.
type JobStatus struct {
	ID      JobID  `json:"id"`
	Status  Status `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// ErrorBody is the body of answers other than success.
type ErrorBody struct {
	Error string `json:"error"`
}
