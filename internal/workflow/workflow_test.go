package workflow

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/unknownfield"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// scriptedJobs is a fake job service and store with a scripted outcome for each attempt of a step: "ok", an exit
// code, "retry", "crash-looping", "no result" (done without one), "never" (never accepted), or "later" (not accepted
// yet).
type scriptedJobs struct {
	stepdata.Mem
	steps     map[string][]string
	submitted []string
	jobs      map[wire.JobID]string
	cancelled map[wire.JobID]bool
	ended     ledger.WorkflowState
	why       string
}

func (s *scriptedJobs) outcomeOf(id wire.JobID) (name, outcome string, attempt int) {
	for step, outcomes := range s.steps {
		for i := range outcomes {
			if StepJobID("wf-000001", step, i) == id {
				return step, outcomes[i], i
			}
		}
	}
	return "", "", 0
}

func (s *scriptedJobs) SubmitStep(ctx context.Context, _ wire.WorkflowID, spec *wire.JobSpec) error {
	step, outcome, attempt := s.outcomeOf(spec.ID)
	switch outcome {
	case "never":
		return ErrUnschedulable
	case "later":
		s.steps[step][attempt] = "ok"
		return ErrRetryLater
	case "":
		return fmt.Errorf("unexpected submission of job %s", spec.ID)
	}
	s.submitted = append(s.submitted, fmt.Sprintf("%s/%d", step, attempt))
	s.jobs[spec.ID] = outcome
	res := Result{Outputs: map[string]any{"o": step}}
	switch outcome {
	case "ok":
	case "retry":
		res = Result{Code: 75, Retry: true}
	case "crash-looping", "no result":
		return nil
	default:
		res = Result{}
		if _, err := fmt.Sscan(outcome, &res.Code); err != nil {
			return err
		}
	}
	b, _ := json.Marshal(res)
	_, err := s.Put(ctx, ResultName(spec.ID), strings.NewReader(string(b)))
	return err
}

func (s *scriptedJobs) CancelStep(_ context.Context, id wire.JobID) error {
	s.cancelled[id] = true
	return nil
}

func (s *scriptedJobs) StepState(id wire.JobID) JobState {
	switch outcome, known := s.jobs[id]; {
	case !known:
		return Unknown
	case s.cancelled[id]:
		return Cancelled
	case outcome == "crash-looping":
		return CrashLooping
	}
	return Done
}

func (s *scriptedJobs) EndWorkflow(_ context.Context, _ wire.WorkflowID, state ledger.WorkflowState, why string) error {
	s.ended, s.why = state, why
	return nil
}

const twoSteps = `cwlVersion: v1.2
class: Workflow
inputs: []
outputs: {o: {type: string, outputSource: b/o}}
steps:
  a: {run: &t {class: CommandLineTool, baseCommand: t, inputs: {x: string?}, outputs: {o: string}}, in: [], out: [o]}
  b: {run: *t, in: {x: a/o}, out: [o]}
`

// driveToEnd drives a workflow until it ends. With restart, a new Run replaces the old one every 12 seconds.
func driveToEnd(t *testing.T, s *scriptedJobs, resumed int, restart bool) {
	t.Helper()
	w := &ledger.Workflow{ID: "wf-000001"}
	w.Spec, w.Resumed = &wire.WorkflowSpec{ID: w.ID, Team: "t", Entry: "main.cwl"}, resumed
	var r *Run
	now := time.Unix(1000, 0)
	for second := range 200 {
		if r == nil || restart && second%12 == 0 { // 12 s exceed the longest retry delay
			var err error
			if r, err = Resume(
				t.Context(),
				w,
				&Documents{map[string]string{"main.cwl": twoSteps}, json.RawMessage("{}")},
				s,
				s,
			); err != nil {
				t.Fatal(err)
			}
		}
		if _, over, _ := r.Advance(t.Context(), now, 10); over {
			return
		}
		now = now.Add(time.Second)
	}
	t.Fatal("the workflow did not end within 200 passes")
}

// TestStepsAttempts checks the attempts of steps with one driver and with a new driver every few passes, which must
// give the same result: retries that a result asks for, permanent failures, crash-looping jobs, missing results, and
// resuming a failed workflow.
func TestStepsAttempts(t *testing.T) {
	for _, tc := range []struct {
		name      string
		a, b      []string
		resumed   int
		want      string
		state     ledger.WorkflowState
		why       string
		oneDriver bool // depends on the in-memory state of one driver
	}{
		{"all succeed", []string{"ok"}, []string{"ok"}, 0, "a/0 b/0", ledger.WorkflowDone, "", false},
		{"two retries", []string{"retry", "retry", "ok"}, []string{"ok"}, 0, "a/0 a/1 a/2 b/0",
			ledger.WorkflowDone, "", false},
		{"too many retries", []string{"retry", "retry", "retry", "retry"}, nil, 0, "a/0 a/1 a/2 a/3",
			ledger.WorkflowFailed, "a: the tool ended with code 75", false},
		{"permanent failure", []string{"ok"}, []string{"3"}, 0, "a/0 b/0",
			ledger.WorkflowFailed, "b: the tool ended with code 3", false},
		{"resumed after a failure", []string{"ok"}, []string{"3", "ok"}, 1, "a/0 b/0 b/1", ledger.WorkflowDone, "", false},
		{"fails again after it was resumed", []string{"4", "5"}, nil, 1, "a/0 a/1",
			ledger.WorkflowFailed, "a: the tool ended with code 5", false},
		{"crash-looping", []string{"crash-looping"}, nil, 0, "a/0", ledger.WorkflowFailed, "was cancelled", false},
		{"no result", []string{"no result"}, nil, 0, "a/0", ledger.WorkflowFailed, "left no result", true},
		{"can never run", []string{"never"}, nil, 0, "", ledger.WorkflowFailed, "can never run", false},
		{"not accepted at once", []string{"later"}, []string{"ok"}, 0, "a/0 b/0", ledger.WorkflowDone, "", false},
	} {
		for _, restart := range []bool{false, true} {
			if restart && tc.oneDriver {
				continue
			}
			s := &scriptedJobs{
				steps:     map[string][]string{"a": slices.Clone(tc.a), "b": slices.Clone(tc.b)},
				jobs:      map[wire.JobID]string{},
				cancelled: map[wire.JobID]bool{},
			}
			driveToEnd(t, s, tc.resumed, restart)
			if got := strings.Join(
				s.submitted,
				" ",
			); got != tc.want || s.ended != tc.state ||
				!strings.Contains(s.why, tc.why) {
				t.Errorf("%s (new drivers %v): submitted %q, ended %q: %s", tc.name, restart, got, s.ended, s.why)
			}
		}
	}
}

// slowJobs is a fake job service whose results take time to read. The given jobs are active, all others are done.
type slowJobs struct {
	*scriptedJobs
	active map[wire.JobID]bool
}

func (s *slowJobs) Get(ctx context.Context, name string) ([]byte, stepdata.Info, error) {
	time.Sleep(20 * time.Millisecond)
	return []byte(`{"code":0,"outputs":{"o":"x"}}`), stepdata.Info{}, nil
}

func (s *slowJobs) StepState(id wire.JobID) JobState {
	switch {
	case s.cancelled[id]:
		return Cancelled
	case s.active[id]:
		return Active
	}
	return Done
}

// TestResultIgnoresNamesInOtherCase guards against an unknown field of a step's result replacing its exit code or its
// outputs, whose names belong to the tool.
func TestResultIgnoresNamesInOtherCase(t *testing.T) {
	for kind, text := range unknownfield.Variants(`{"code":3,"error":"x","retry":true,"outputs":{"Code":1,"CODE":2.5}}`) {
		var got Result
		err := decodeResult([]byte(text), &got)
		want := Result{Code: 3, Error: "x", Retry: true, Outputs: map[string]any{"Code": int64(1), "CODE": 2.5}}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, error %v; want %+v", kind, got, err, want)
		}
	}
}

// TestCancelAfterATakeover guards against Cancel reporting that no job is active while a new driver is still
// replaying the workflow. Taking over a large workflow needs several passes. When Cancel reported this too early, the
// jobs of the steps that had not been reached yet stayed active.
func TestCancelAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const doc = `cwlVersion: v1.2
class: Workflow
requirements: {ScatterFeatureRequirement: {}}
inputs: {x: 'int[]'}
outputs: []
steps:
  s:
    run: {class: CommandLineTool, baseCommand: t, inputs: {a: int}, outputs: {o: string}}
    scatter: a
    in: {a: x}
    out: [o]
`
		s := &slowJobs{&scriptedJobs{cancelled: map[wire.JobID]bool{}}, map[wire.JobID]bool{}}
		for i := 95; i < 100; i++ {
			s.active[StepJobID("wf-000001", fmt.Sprintf("s[%d]", i), 0)] = true
		}
		w := &ledger.Workflow{ID: "wf-000001"}
		w.Spec = &wire.WorkflowSpec{ID: w.ID, Team: "t", Entry: "main.cwl", Window: 10}
		in, _ := json.Marshal(map[string]any{"x": make([]int, 100)})
		r, err := Resume(t.Context(), w, &Documents{map[string]string{"main.cwl": doc}, in}, s, s)
		if err != nil {
			t.Fatal(err)
		}
		for pass := 1; ; pass++ {
			if _, _, err := r.Advance(t.Context(), time.Now(), 0); err != nil || pass > 50 {
				t.Fatal(pass, err)
			}
			allEnded, err := r.Cancel(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if !allEnded {
				continue
			}
			if len(s.cancelled) != len(s.active) || pass < 3 {
				t.Errorf("pass %d: no active job left, but %d of %d jobs cancelled", pass, len(s.cancelled), len(s.active))
			}
			return
		}
	})
}
