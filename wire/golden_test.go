package wire

import (
	"encoding/json"
	"testing"

	"maddermill/internal/testing/golden"
)

// TestSerializedFormsStay compares each message byte for byte with the output from before the Go names were
// changed in 2026. It catches a lost or misspelt tag, which tests that both encode and decode with this
// package do not notice.
func TestSerializedFormsStay(t *testing.T) {
	golden.CheckForms(t, []golden.Form{
		{Name: "item", Value: golden.Fill[Item]()},
		{Name: "item_page", Value: golden.Fill[ItemPage]()},
		{Name: "condition", Value: golden.Fill[Condition]()},
		{Name: "change", Value: golden.Fill[Change]()},
		{Name: "transaction", Value: golden.Fill[Txn]()},
		{Name: "transaction_result", Value: golden.Fill[TxnResult]()},
		{Name: "lease_request", Value: golden.Fill[LeaseRequest]()},
		{Name: "lease_grant", Value: golden.Fill[LeaseGrant]()},
		{Name: "event", Value: golden.Fill[Event]()},
		{Name: "events", Value: golden.Fill[Events]()},
		{Name: "topology_block", Value: golden.Fill[BlockView]()},
		{Name: "topology_machine", Value: golden.Fill[MachineView]()},
		{Name: "topology_gang", Value: golden.Fill[GangView]()},
		{Name: "judgement", Value: golden.Fill[Judgement]()},
		{Name: "workflow", Value: golden.Fill[WorkflowSpec]()},
		{Name: "workflow_status", Value: golden.Fill[WorkflowStatus]()},
		{Name: "job", Value: golden.Fill[JobSpec]()},
		{Name: "job_status", Value: golden.Fill[JobStatus]()},
		{Name: "error", Value: golden.Fill[ErrorBody]()},
		{Name: "machine_types", Value: golden.Fill[MachineTypeList]()},
		{Name: "scale_out", Value: golden.Fill[ScaleOutRequest]()},
		{Name: "machine_names", Value: golden.Fill[MachineIDList]()},
		{Name: "machine_list", Value: golden.Fill[MachineList]()},
		{Name: "heartbeat", Value: golden.Fill[Heartbeat]()},
		{Name: "heartbeat_response", Value: golden.Fill[HeartbeatResponse]()},
		{Name: "redirect", Value: golden.Fill[Redirect]()},
	})
	t.Run("topology", func(t *testing.T) {
		got, err := golden.Fill[TopologyView]().AppendLines(nil)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "topology.jsonl", got)
	})
}

// TestConstantValuesStay checks that the values of constants that are sent on the wire do not change.
func TestConstantValuesStay(t *testing.T) {
	values, err := json.Marshal([]any{
		Array,
		Gang,
		Service,
		Production,
		High,
		Normal,
		BestEffort,
		TaskFetching,
		TaskWaiting,
		TaskRunning,
		TaskSaving,
		TaskExited,
		CauseDone,
		CausePreempted,
		CauseGangPeerLost,
		CauseGangIncomplete,
		CauseError,
		CauseInsufficientRoom,
		CauseBusy,
		CauseNotFound,
		OpStart,
		OpStop,
		OpForget,
		MachineBooting,
		MachineRunning,
		MachineFailed,
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "words.json", values)
}
