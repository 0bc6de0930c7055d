package ledger

import (
	"encoding/json"
	"testing"

	"maddermill/internal/testing/golden"
)

// TestSerializedFormsStay: each durable record is byte for byte what the sources before the renaming
// of 2026 wrote. Old and new versions read each other's records.
func TestSerializedFormsStay(t *testing.T) {
	forms := []struct {
		name  string
		value any
	}{
		{"job", golden.Fill[jobRecord]()}, {"task_range", golden.Fill[taskRangeRecord]()},
		{"machine", golden.Fill[machineRecord]()}, {"team", golden.Fill[teamRecord]()},
		{"token", golden.Fill[TokenRecord]()}, {"leader", golden.Fill[LeaderRecord]()},
		{"scale_out_intent", golden.Fill[ScaleOutIntent]()}, {"scale_out", golden.Fill[ScaleOutRecord]()},
		{"workflow", golden.Fill[WorkflowRecord]()}, {"module", golden.Fill[ModuleRecord]()},
		{"policy", golden.Fill[PolicyRecord]()}, {"gallery", golden.Fill[GalleryRecord]()},
		{"gallery_promise", golden.Fill[Promise]()}, {"gallery_register", golden.Fill[registerRecord]()},
		{"format", golden.Fill[FormatRecord]()}, {"final", golden.Fill[FinalRecord]()},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			got, err := json.Marshal(form.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, form.name+".json", got)
		})
	}
}
