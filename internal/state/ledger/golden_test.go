package ledger

import (
	"testing"

	"maddermill/internal/testing/golden"
)

// TestSerializedFormsStay guards the stored format: each record is encoded to the same bytes as before the
// identifiers were renamed in 2026, so that old and new versions read each other's records.
func TestSerializedFormsStay(t *testing.T) {
	golden.CheckForms(t, []golden.Form{
		{Name: "job", Value: golden.Fill[jobRecord]()},
		{Name: "task_range", Value: golden.Fill[taskRangeRecord]()},
		{Name: "machine", Value: golden.Fill[machineRecord]()},
		{Name: "team", Value: golden.Fill[teamRecord]()},
		{Name: "token", Value: golden.Fill[TokenRecord]()},
		{Name: "leader", Value: golden.Fill[LeaderRecord]()},
		{Name: "scale_out_intent", Value: golden.Fill[ScaleOutIntent]()},
		{Name: "scale_out", Value: golden.Fill[ScaleOutRecord]()},
		{Name: "workflow", Value: golden.Fill[WorkflowRecord]()},
		{Name: "module", Value: golden.Fill[ModuleRecord]()},
		{Name: "policy", Value: golden.Fill[PolicyRecord]()},
		{Name: "gallery", Value: golden.Fill[GalleryRecord]()},
		{Name: "gallery_promise", Value: golden.Fill[Promise]()},
		{Name: "gallery_register", Value: golden.Fill[registerRecord]()},
		{Name: "format", Value: golden.Fill[FormatRecord]()},
		{Name: "final", Value: golden.Fill[FinalRecord]()},
	})
}
