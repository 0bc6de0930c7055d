package wire

import (
	"encoding/json"
	"testing"

	"maddermill/internal/testing/golden"
)

// TestSerializedFormsStay: each message is byte for byte what the sources before the renaming of
// 2026 wrote. A lost or misspelt tag would change a key unseen, as both
// ends of our own tests would follow.
func TestSerializedFormsStay(t *testing.T) {
	forms := []struct {
		name  string
		value any
	}{
		{"item", golden.Fill[Item]()}, {"item_page", golden.Fill[ItemPage]()},
		{"condition", golden.Fill[Condition]()}, {"change", golden.Fill[Change]()},
		{"transaction", golden.Fill[Txn]()}, {"transaction_result", golden.Fill[TxnResult]()},
		{"lease_request", golden.Fill[LeaseRequest]()}, {"lease_grant", golden.Fill[LeaseGrant]()},
		{"event", golden.Fill[Event]()}, {"events", golden.Fill[Events]()},
		{"topology_block", golden.Fill[BlockView]()}, {"topology_machine", golden.Fill[MachineView]()},
		{"topology_gang", golden.Fill[GangView]()}, {"judgement", golden.Fill[Judgement]()},
		{"workflow", golden.Fill[WorkflowSpec]()}, {"workflow_status", golden.Fill[WorkflowStatus]()},
		{"job", golden.Fill[JobSpec]()}, {"job_status", golden.Fill[JobStatus]()},
		{"error", golden.Fill[ErrorBody]()}, {"machine_types", golden.Fill[MachineTypeList]()},
		{"scale_out", golden.Fill[ScaleOutRequest]()}, {"machine_names", golden.Fill[MachineIDList]()},
		{"machine_list", golden.Fill[MachineList]()}, {"heartbeat", golden.Fill[Heartbeat]()},
		{"heartbeat_response", golden.Fill[HeartbeatResponse]()}, {"redirect", golden.Fill[Redirect]()},
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
	t.Run("topology", func(t *testing.T) {
		got, err := golden.Fill[TopologyView]().AppendLines(nil)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "topology.jsonl", got)
	})
}

// TestWordsOfTheProtocolStay: the values of named constants that travel on the wire.
func TestWordsOfTheProtocolStay(t *testing.T) {
	words, err := json.Marshal([]any{
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
	golden.Check(t, "words.json", words)
}
