package ledger

import (
	"reflect"
	"testing"

	"maddermill/internal/testing/unknownfield"
)

// TestRecordsIgnoreNamesInOtherCase guards against an unknown field of a record, which a later version may add,
// replacing a known one.
func TestRecordsIgnoreNamesInOtherCase(t *testing.T) {
	const spec = `{"id":"wk-000001","workclass":"c","owner":"t","shape":"array","urgency":"normal","pieces":6,
	 "cores":7.5,"accelerators":8.5,"ram_gb":9.5,"bundle":"i","pull_gb":1.5,"builds":["g"],"yard":"a","together":true,
	 "scatter":true,"loaners":true,"expect_s":1.5,"snapshot_s":2.5,"stash_s":3.5,"due_s":4.5,"awaits":["wk-000002"]}`
	for key, record := range map[string]string{
		jobKey("wk-000001"): `{"spec":` + spec + `,"at":21,"state":"","stop":23,"of":"wf-000001","kept":2,"g":"album",` +
			`"e":28,"a":5,"c":[[4,"host-1","a",1,9,0,2],[5,"host-2","a",1,9,2,4]]}`,
		machineKey("host-1"): `{"s":"cordoned","why":"slow"}`,
		MachineTypeKey("g8"): `{"sku":"g8","cores":8,"accelerators":2,"ram_gb":64,"local_gb":50,` +
			`"fetch_gb_per_s":1.5,"price":4.5,"market_price":1.5,"startup_s":45,"yards":["a","b"]}`,
		workflowKey("wf-000001"): `{"spec":{"id":"wf-000001","workclass":"c","owner":"t","urgency":"high",` +
			`"loaners":true,"expect_s":5.5,"pull_gb":6.5,"window":7,"entry":"e.cwl"},"doc":"ab","n":13,"at":14,` +
			`"state":"failed","why":"x","resumed":17,"swept":true}`,
		ModuleKey("ab"): `{"name":"m","bytes":2,"n":3,"at":4,"sig":"NQ=="}`,
		galleryKey("album"): `{"team":"t","dates":[{"at":2,"date":3,"why":"x"}],"state":"kept","why":"y",` +
			`"since":10,"reg":11}`,
		LeaderKey:   `{"by":"m-0","token":2}`,
		TokenKey:    `{"n":1,"by":"m-0","r":3}`,
		ScaleOutKey: `{"recent":[{"hire":"r-1","build":"g8","yard":"a","loaners":true,"number":4,"at":5}]}`,
		PolicyKey:   `{"use":"ab","last":"cd","next":"ef","at":4,"why":"x"}`,
		RegisterKey: `{"n":7}`,
		FormatKey:   `{"n":1,"at":2,"fresh":true,"range":3,"era":"z"}`,
	} {
		want := New(Limits{ValueBytes: 1 << 10, TxnOps: 10, TxnBytes: 1 << 16})
		if err := want.apply(Event{Key: key, Value: []byte(record), Version: 5}); err != nil {
			t.Errorf("%s: %s: %v", key, record, err)
		}
		for kind, variant := range unknownfield.Variants(record) {
			got := New(Limits{ValueBytes: 1 << 10, TxnOps: 10, TxnBytes: 1 << 16})
			err := got.apply(Event{Key: key, Value: []byte(variant), Version: 5})
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s (%s): error %v; the ledger differs from that of the record without unknown fields", key, kind, err)
			}
		}
	}
}
