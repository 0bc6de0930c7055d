package wire_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"maddermill/wire"
)

// FuzzReport: a heartbeat that is accepted reads the same once written.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"millstone":"host-000231","endpoint":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,
	 "shift":1,"tally":88,"warrant":41,"recall_s":4.5,"pieces":[
	 {"piece":"wk-000412/3","try":2,"status":"running"},
	 {"piece":"wk-000398/0","try":1,"status":"ended","cause":"done"}]}`))
	f.Add([]byte(`{"pieces":[{"piece":"wk-000412"}]}`))
	f.Add([]byte(`{"pieces":[{"piece":"wk-000412/-1"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var r, again wire.Heartbeat
		if json.Unmarshal(b, &r) != nil {
			return
		}
		for _, task := range r.Tasks {
			if task.Task != (wire.TaskID{}) && (!task.Task.Job.Valid() || task.Task.Index < 0) {
				t.Fatalf("task %v is taken", task.Task)
			}
		}
		out, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		for _, task := range r.Tasks {
			if task.Task == (wire.TaskID{}) {
				return // a task left out can't be written again
			}
		}
		if err := json.Unmarshal(out, &again); err != nil || !reflect.DeepEqual(r, again) {
			t.Fatalf("%+v became %+v: %v", r, again, err)
		}
	})
}
