package wire_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"maddermill/wire"
)

// validSpec is a valid submission with an unknown key.
const validSpec = `{"id":"wk-000412","workclass":"train","owner":"vision","shape":"gang","urgency":"high","pieces":16,
 "cores":8.0,"accelerators":1.0,"ram_gb":64.0,"bundle":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,
 "together":true,"scatter":false,"loaners":true,
 "expect_s":240.0,"snapshot_s":30.0,"stash_s":4.0,"due_s":900.0,"extra":1}`

func TestDecodeJobSpec(t *testing.T) {
	s, err := wire.DecodeJobSpec([]byte(validSpec))
	if err != nil || s.ID != "wk-000412" || s.Tasks != 16 || s.Zone != nil || *s.Deadline != 900 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, tc := range []struct{ old, new, field string }{
		{`"id":"wk-000412"`, `"id":"job-1"`, "id"},
		{`"id":"wk-000412"`, `"id":"wk-12x456"`, "id"},
		{`"id":"wk-000412",`, ``, "id"},
		{`"pieces":16`, `"pieces":0`, "pieces"},
		{`"pieces":16`, `"pieces":100001`, "pieces"},
		{`"pieces":16`, `"pieces":1.5`, "pieces"},
		{`"pieces":16`, `"pieces":"16"`, "pieces"},
		{`"cores":8.0`, `"cores":-1`, "cores"},
		{`"cores":8.0`, `"cores":1e300`, "cores"},
		{`"shape":"gang"`, `"shape":"ring"`, "shape"},
		{`"urgency":"high"`, `"urgency":"soon"`, "urgency"},
		{`"builds":["g8"]`, `"builds":[]`, "builds"},
		{`"builds":["g8"]`, `"builds":[7]`, "builds"},
		{`"together":true`, `"together":null`, "together"},
		{`"loaners":true`, `"loaners":"yes"`, "loaners"},
		{`"due_s":900.0`, `"due_s":-3`, "due_s"},
		{`"bundle":"img-07"`, `"bundle":""`, "bundle"},
	} {
		_, err := wire.DecodeJobSpec([]byte(strings.Replace(validSpec, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.field) {
			t.Errorf("%s: %v", tc.new, err)
		}
	}
	for _, body := range []string{"", "[]", "null", "7", "{", validSpec + "x", validSpec + validSpec} {
		if _, err := wire.DecodeJobSpec([]byte(body)); err == nil {
			t.Errorf("%.20q is accepted", body)
		}
	}
	for _, optional := range []string{`"builds":["g8"],`, `"yard":null,`, `,"due_s":900.0`} {
		if _, err := wire.DecodeJobSpec([]byte(strings.Replace(validSpec, optional, "", 1))); err != nil {
			t.Errorf("without %s: %v", optional, err)
		}
	}
}

// FuzzDecodeJobSpec checks that an accepted submission is unchanged after it is encoded and decoded again.
func FuzzDecodeJobSpec(f *testing.F) {
	f.Add([]byte(validSpec))
	f.Add([]byte(`{"id":"wk-000001"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := wire.DecodeJobSpec(body)
		if err != nil {
			return
		}
		b, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := wire.DecodeJobSpec(b)
		if err != nil || !reflect.DeepEqual(s, decoded) {
			t.Fatalf("%+v became %+v: %v", s, decoded, err)
		}
	})
}
