package workflow

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// script is a service in which each step's attempts come out as written: "ok", an exit code,
// "retry", "doubtful", "silent" (done without a result), "never", "later" (not accepted yet).
type script struct {
	stepdata.Mem
	steps     map[string][]string
	submitted []string
	jobs      map[wire.JobID]string
	cancelled map[wire.JobID]bool
	ended     ledger.WorkflowState
	why       string
}

func (s *script) plan(id wire.JobID) (name, what string, attempt int) {
	for step, list := range s.steps {
		for i := range list {
			if JobOf("wf-000001", step, i) == id {
				return step, list[i], i
			}
		}
	}
	return "", "", 0
}

func (s *script) SubmitStep(ctx context.Context, _ wire.WorkflowID, spec *wire.JobSpec) error {
	step, what, attempt := s.plan(spec.ID)
	switch what {
	case "never":
		return ErrNever
	case "later":
		s.steps[step][attempt] = "ok"
		return ErrNotNow
	case "":
		return fmt.Errorf("%s is submitted, which nobody planned", spec.ID)
	}
	s.submitted = append(s.submitted, fmt.Sprintf("%s/%d", step, attempt))
	s.jobs[spec.ID] = what
	res := Result{Outputs: map[string]any{"o": step}}
	switch what {
	case "ok":
	case "retry":
		res = Result{Code: 75, Retry: true}
	case "doubtful", "silent":
		return nil
	default:
		res = Result{}
		if _, err := fmt.Sscan(what, &res.Code); err != nil {
			return err
		}
	}
	b, _ := json.Marshal(res)
	_, err := s.Put(ctx, ResultName(spec.ID), strings.NewReader(string(b)))
	return err
}

func (s *script) CancelStep(_ context.Context, id wire.JobID) error {
	s.cancelled[id] = true
	return nil
}

func (s *script) StepState(id wire.JobID) JobState {
	switch what, known := s.jobs[id]; {
	case !known:
		return Unknown
	case s.cancelled[id]:
		return Cancelled
	case what == "doubtful":
		return Doubtful
	}
	return Done
}

func (s *script) EndWorkflow(_ context.Context, _ wire.WorkflowID, state ledger.WorkflowState, why string) error {
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

// play drives a workflow until it ends, with a new driver every now and then if asked.
func play(t *testing.T, s *script, resumed int, restart bool) {
	t.Helper()
	w := &ledger.Workflow{ID: "wf-000001"}
	w.Spec, w.Resumed = &wire.WorkflowSpec{ID: w.ID, Team: "t", Entry: "main.cwl"}, resumed
	var r *Run
	now := time.Unix(1000, 0)
	for second := range 200 {
		if r == nil || restart && second%12 == 0 { // longer than the longest wait before a retry
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
		if _, over, _ := r.Step(t.Context(), now, 10); over {
			return
		}
		now = now.Add(time.Second)
	}
	t.Fatal("it does not end")
}

// TestStepsAttempts: what comes of a step's attempts is the same whether one driver sees them
// all or each is seen by a new one: retries where the tool says that they may help, failure for
// good, a job that is given up, one that leaves nothing, and going on after a failure.
func TestStepsAttempts(t *testing.T) {
	for _, tc := range []struct {
		name    string
		a, b    []string
		resumed int
		want    string
		state   ledger.WorkflowState
		why     string
		once    bool // what is waited for is known to one driver only
	}{
		{"fine", []string{"ok"}, []string{"ok"}, 0, "a/0 b/0", ledger.WorkflowDone, "", false},
		{"two retries", []string{"retry", "retry", "ok"}, []string{"ok"}, 0, "a/0 a/1 a/2 b/0",
			ledger.WorkflowDone, "", false},
		{"too many retries", []string{"retry", "retry", "retry", "retry"}, nil, 0, "a/0 a/1 a/2 a/3",
			ledger.WorkflowFailed, "a: the tool ended with code 75", false},
		{"fails for good", []string{"ok"}, []string{"3"}, 0, "a/0 b/0",
			ledger.WorkflowFailed, "b: the tool ended with code 3", false},
		{"goes on after a failure", []string{"ok"}, []string{"3", "ok"}, 1, "a/0 b/0 b/1", ledger.WorkflowDone, "", false},
		{"fails again after it went on", []string{"4", "5"}, nil, 1, "a/0 a/1",
			ledger.WorkflowFailed, "a: the tool ended with code 5", false},
		{"given up", []string{"doubtful"}, nil, 0, "a/0", ledger.WorkflowFailed, "was cancelled", false},
		{"leaves nothing", []string{"silent"}, nil, 0, "a/0", ledger.WorkflowFailed, "left no result", true},
		{"can never run", []string{"never"}, nil, 0, "", ledger.WorkflowFailed, "can never run", false},
		{"not accepted at once", []string{"later"}, []string{"ok"}, 0, "a/0 b/0", ledger.WorkflowDone, "", false},
	} {
		for _, restart := range []bool{false, true} {
			if restart && tc.once {
				continue
			}
			s := &script{
				steps:     map[string][]string{"a": slices.Clone(tc.a), "b": slices.Clone(tc.b)},
				jobs:      map[wire.JobID]string{},
				cancelled: map[wire.JobID]bool{},
			}
			play(t, s, tc.resumed, restart)
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

// slow is a service whose results take time to read, with the jobs of the last few runs of a
// scatter under way.
type slow struct {
	*script
	active map[wire.JobID]bool
}

func (s *slow) Get(ctx context.Context, name string) ([]byte, stepdata.Info, error) {
	time.Sleep(20 * time.Millisecond)
	return []byte(`{"code":0,"outputs":{"o":"x"}}`), stepdata.Info{}, nil
}

func (s *slow) StepState(id wire.JobID) JobState {
	switch {
	case s.cancelled[id]:
		return Cancelled
	case s.active[id]:
		return Active
	}
	return Done
}

// TestCancelAfterATakeover: taking a large workflow over takes several passes; until all that
// is under way has been come to, none is not said to be left. It was once, and the jobs of the
// steps that followed stayed on record as active.
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
		s := &slow{&script{cancelled: map[wire.JobID]bool{}}, map[wire.JobID]bool{}}
		for i := 95; i < 100; i++ {
			s.active[JobOf("wf-000001", fmt.Sprintf("s[%d]", i), 0)] = true
		}
		w := &ledger.Workflow{ID: "wf-000001"}
		w.Spec = &wire.WorkflowSpec{ID: w.ID, Team: "t", Entry: "main.cwl", Window: 10}
		in, _ := json.Marshal(map[string]any{"x": make([]int, 100)})
		r, err := Resume(t.Context(), w, &Documents{map[string]string{"main.cwl": doc}, in}, s, s)
		if err != nil {
			t.Fatal(err)
		}
		for pass := 1; ; pass++ {
			if _, _, err := r.Step(t.Context(), time.Now(), 0); err != nil || pass > 50 {
				t.Fatal(pass, err)
			}
			gone, err := r.Cancel(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if !gone {
				continue
			}
			if len(s.cancelled) != len(s.active) || pass < 3 {
				t.Errorf("after %d passes none is left, with %d of %d jobs cancelled", pass, len(s.cancelled), len(s.active))
			}
			return
		}
	})
}
