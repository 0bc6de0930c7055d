package wire_test

import (
	"encoding/json"
	"fmt"
	"log"

	"maddermill/wire"
)

// A worker reports a running task in its heartbeat, and the controller responds with a command to stop it
// within a grace period of 5 s.
func Example() {
	heartbeat := wire.Heartbeat{
		Machine:      "host-000231",
		Addr:         "10.1.0.232:9000",
		Type:         "g8",
		Zone:         "a",
		Spot:         true,
		Epoch:        1,
		Sequence:     88,
		FencingToken: 41,
		Tasks: []wire.TaskStatus{
			{Task: wire.TaskID{Job: "wk-000412", Index: 3}, Attempt: 2, State: wire.TaskRunning},
		},
	}
	grace := wire.Seconds(5)
	response := wire.HeartbeatResponse{
		FencingToken: 41,
		Commands: []wire.Command{
			{Op: wire.OpStop, Task: heartbeat.Tasks[0].Task, Attempt: 2, Grace: &grace},
		},
	}
	for _, message := range []any{heartbeat, response} {
		text, err := json.MarshalIndent(message, "", " ")
		if err != nil {
			log.Fatal(err)
		}
		fmt.Println(string(text))
	}
	// Output:
	// {
	//  "millstone": "host-000231",
	//  "endpoint": "10.1.0.232:9000",
	//  "build": "g8",
	//  "yard": "a",
	//  "loaners": true,
	//  "shift": 1,
	//  "tally": 88,
	//  "warrant": 41,
	//  "recall_s": null,
	//  "pieces": [
	//   {
	//    "piece": "wk-000412/3",
	//    "try": 2,
	//    "status": "running"
	//   }
	//  ]
	// }
	// {
	//  "warrant": 41,
	//  "orders": [
	//   {
	//    "verb": "stop",
	//    "piece": "wk-000412/3",
	//    "try": 2,
	//    "leeway_s": 5
	//   }
	//  ]
	// }
}

// DecodeJobSpec parses and validates a submission; the error names the key of the first invalid field.
func ExampleDecodeJobSpec() {
	const submission = `{"id":"wk-000412","workclass":"train","owner":"vision","shape":"gang","urgency":"high",
		"pieces":16,"cores":8,"accelerators":1,"ram_gb":64,"bundle":"img-07","pull_gb":6.2,"together":true,
		"scatter":false,"loaners":true,"expect_s":240,"snapshot_s":30,"stash_s":4,"due_s":900}`
	spec, err := wire.DecodeJobSpec([]byte(submission))
	fmt.Println(spec.Tasks, "tasks of", spec.GPUs, "GPU, deadline after", spec.Deadline.Duration(), err)

	_, err = wire.DecodeJobSpec([]byte(`{"id":"wk-000412"}`))
	fmt.Println(err)
	// Output:
	// 16 tasks of 1 GPU, deadline after 15m0s <nil>
	// field "workclass" is missing
}
