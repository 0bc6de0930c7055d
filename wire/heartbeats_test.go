package wire_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/wire"
)

// FuzzHeartbeat checks that an accepted heartbeat is unchanged after it is encoded and decoded again.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"millstone":"host-000231","endpoint":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,
	 "shift":1,"tally":88,"warrant":41,"recall_s":4.5,"pieces":[
	 {"piece":"wk-000412/3","try":2,"status":"running"},
	 {"piece":"wk-000398/0","try":1,"status":"ended","cause":"done"}]}`))
	f.Add([]byte(`{"pieces":[{"piece":"wk-000412"}]}`))
	f.Add([]byte(`{"pieces":[{"piece":"wk-000412/-1"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var heartbeat, decoded wire.Heartbeat
		if exactjson.Unmarshal(b, &heartbeat) != nil {
			return
		}
		for _, task := range heartbeat.Tasks {
			if task.Task != (wire.TaskID{}) && (!task.Task.Job.Valid() || task.Task.Index < 0) {
				t.Fatalf("invalid task ID %v is accepted", task.Task)
			}
		}
		out, err := json.Marshal(heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		for _, task := range heartbeat.Tasks {
			if task.Task == (wire.TaskID{}) {
				return // a missing task ID can't be encoded
			}
		}
		if err := exactjson.Unmarshal(out, &decoded); err != nil || !reflect.DeepEqual(heartbeat, decoded) {
			t.Fatalf("%+v became %+v: %v", heartbeat, decoded, err)
		}
	})
}
