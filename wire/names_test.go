package wire_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/internal/testing/unknownfield"
	"maddermill/wire"
)

// otherSpec is a valid submission that differs from validSpec in all fields.
const otherSpec = `{"id":"wk-000999","workclass":"serve","owner":"speech","shape":"array","urgency":"normal","pieces":3,
 "cores":1.0,"accelerators":2.0,"ram_gb":8.0,"bundle":"img-99","pull_gb":1.0,"builds":["c4"],"yard":"b",
 "together":false,"scatter":true,"loaners":false,
 "expect_s":9.0,"snapshot_s":8.0,"stash_s":7.0,"due_s":6.0,"awaits":["wk-000001"]}`

// TestSubmissionIgnoresNamesInOtherCase guards against a submission with an unknown field such as "Id" being
// accepted as another job, which the decoder made of it by matching names regardless of case.
func TestSubmissionIgnoresNamesInOtherCase(t *testing.T) {
	want, err := wire.DecodeJobSpec([]byte(validSpec))
	if err != nil {
		t.Fatal(err)
	}
	var otherFields map[string]json.RawMessage
	if err := exactjson.Unmarshal([]byte(otherSpec), &otherFields); err != nil {
		t.Fatal(err)
	}
	for known, value := range otherFields {
		for kind, rename := range unknownfield.Renames {
			unknown := rename(known)
			if unknown == known {
				continue
			}
			field := `"` + unknown + `":` + string(value)
			for place, body := range map[string]string{
				"first": "{" + field + "," + strings.TrimPrefix(validSpec, "{"),
				"last":  strings.TrimSuffix(validSpec, "}") + "," + field + "}",
			} {
				got, err := wire.DecodeJobSpec([]byte(body))
				if err != nil || !reflect.DeepEqual(got, want) {
					t.Errorf("%s as %s field (%s): got %+v, error %v; want %+v", field, place, kind, got, err, want)
				}
			}
		}
	}
}

// TestSubmissionNeedsExactNames checks that a field counts as missing if it is there in other case only.
func TestSubmissionNeedsExactNames(t *testing.T) {
	_, err := wire.DecodeJobSpec([]byte(strings.Replace(validSpec, `"owner"`, `"Owner"`, 1)))
	if err == nil || !strings.Contains(err.Error(), `"owner" is missing`) {
		t.Errorf("job without owner: error %v, want one that says it is missing", err)
	}
	_, err = wire.DecodeWorkflowSpec([]byte(strings.Replace(validWorkflow, `"owner"`, `"Owner"`, 1)))
	if err == nil || !strings.Contains(err.Error(), "owner: is missing") {
		t.Errorf("workflow without owner: error %v, want one that says it is missing", err)
	}
}

// validWorkflow is a valid submission of a workflow.
const validWorkflow = `{"id":"wf-000412","workclass":"train","owner":"vision","urgency":"high","loaners":true,
 "expect_s":9.5,"pull_gb":1.5,"window":7,"entry":"w.cwl","bundle":{"w.cwl":"class Workflow"},"inputs":[1]}`

// TestWorkflowIgnoresNamesInOtherCase guards against an unknown field of a workflow's submission replacing a
// known one.
func TestWorkflowIgnoresNamesInOtherCase(t *testing.T) {
	want, err := wire.DecodeWorkflowSpec([]byte(validWorkflow))
	if err != nil {
		t.Fatal(err)
	}
	for kind, body := range unknownfield.Variants(validWorkflow) {
		got, err := wire.DecodeWorkflowSpec([]byte(body))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, error %v; want %+v", kind, got, err, want)
		}
	}
}

// TestTopologyIgnoresNamesInOtherCase guards against an unknown field of a line of the topology replacing a
// known one.
func TestTopologyIgnoresNamesInOtherCase(t *testing.T) {
	const lines = `{"block":{"path":"a","level":"zone","down":true,"machines":3,"empty":1}}
{"machine":{"machine":"host-1","block":"a","usable":true,"cpus":2.5,"gpus":1,"ram_gb":8,"jobs":["wk-000001"]}}
{"gang":{"job":"wk-000002","tasks":2,"block":"a","cost":1.5,"machines":["host-1"]}}`
	want, err := wire.DecodeTopology([]byte(lines))
	if err != nil || len(want.Blocks) != 1 || len(want.Machines) != 1 || len(want.Gangs) != 1 {
		t.Fatalf("%+v, error %v", want, err)
	}
	for kind, text := range unknownfield.Variants(lines) {
		if got, err := wire.DecodeTopology([]byte(text)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, error %v; want %+v", kind, got, err, want)
		}
	}
}

// TestErrorMessage checks the message of an error response, also beside an unknown field that differs in case alone,
// and of bodies that are none.
func TestErrorMessage(t *testing.T) {
	for _, body := range unknownfield.Variants(`{"error":"no capacity"}`) {
		if got := wire.ErrorMessage([]byte(body)); got != "no capacity" {
			t.Errorf("%s: got %q, want no capacity", body, got)
		}
	}
	for _, body := range []string{"", "no capacity", `{"error":7}`, `["error"]`, `{"Error":"no capacity"}`} {
		if got := wire.ErrorMessage([]byte(body)); got != "" {
			t.Errorf("%s: got %q, want none", body, got)
		}
	}
}
