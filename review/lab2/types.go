package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["types"] = scenario{galleries, playTypes} }

// albumTypes returns a workflow whose input is described by named types: a page has two halves, a half two quarters,
// and so on, to a depth.
func albumTypes(depth int) string {
	var b strings.Builder
	b.WriteString("cwlVersion: v1.2\nclass: Workflow\nrequirements:\n  SchemaDefRequirement:\n    types:\n")
	b.WriteString("      - {name: part0, type: record, fields: {frame: int}}\n")
	for i := 1; i <= depth; i++ {
		fmt.Fprintf(&b, "      - {name: part%d, type: record, fields: {left: part%d, right: part%d}}\n", i, i-1, i-1)
	}
	fmt.Fprintf(&b, "inputs:\n  album: part%d?\noutputs: []\nsteps: {}\n", depth)
	return b.String()
}

// playTypes hands in a workflow, again after each lost connection as with jobs, beside a job of another user. A
// controller whose memory exceeds its limit is killed and started again, as DEPLOY has it.
func playTypes(f *fleet, u *users, trouble bool) (int, string) {
	f.cloud.capacity = map[string]int{"soar": 4, "tame": 4, "trent": 4}
	for _, yard := range []string{"soar", "tame", "trent"} {
		f.cloud.add(yard, 2)
	}
	if err := f.startAll(); err != nil {
		return unfit, err.Error()
	}
	go f.watchMemory()
	job := &spec{ID: "wk-000010", Workclass: "skinpass", Owner: "proofdesk-00", Shape: "array", Urgency: "normal",
		Pieces: 14, Cores: 6, Accelerators: 1, RAM: 36, Bundle: "img-07", PullGB: 1, ExpectS: 10, runS: 10}
	if !u.submit(job) {
		return unfit, "the job was not accepted"
	}
	go u.follow(job.ID)
	depth := 3
	if trouble {
		depth = 16
	}
	body, err := json.Marshal(map[string]any{"id": "wf-000001", "owner": "proofdesk-01", "workclass": "albumforge",
		"urgency": "normal", "loaners": true, "expect_s": 5.0, "pull_gb": 1.0,
		"bundle": map[string]string{"main.cwl": albumTypes(depth)}, "inputs": map[string]any{}})
	if err != nil {
		return unfit, err.Error()
	}
	u.submitWorkflow("wf-000001", body)
	time.Sleep(10 * time.Second)
	seen := fmt.Sprintf("a request of %d bytes: controllers were killed for memory %d times and ended by themselves %d "+
		"times; %d of 14 tasks of the other job are done", len(body), f.overMemory.Load(), f.crashes.Load(),
		f.world.doneOf(job.ID))
	if f.overMemory.Load()+f.crashes.Load() > 0 {
		return broken, seen
	}
	return held, seen
}

// submitWorkflow hands in a workflow, again for up to a minute.
func (u *users) submitWorkflow(id string, body []byte) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && !u.fleet.closed(); time.Sleep(time.Second) {
		node := u.pick()
		status, _ := u.ask(node, http.MethodPost, "/api/workflows", body, 5*time.Second)
		u.world.rec.line("user", "submit %s at %d: %d", id, node, status)
		if status != 0 && status != 429 && status != 503 && status != 504 {
			return
		}
	}
}

// watchMemory kills the controllers whose memory exceeds the limit of the settings; the platform has them back soon.
func (f *fleet) watchMemory() {
	for !f.closed() {
		time.Sleep(100 * time.Millisecond)
		for _, m := range f.members {
			if mb := m.memory(); mb > f.site.ramMB {
				f.rec.line("memory", "%s holds %.0f MB of %.0f and is killed", m.name, mb, f.site.ramMB)
				f.overMemory.Add(1)
				m.end()
			}
		}
	}
}

// memory returns the resident memory of a controller in MB, 0 if it doesn't run.
func (m *member) memory() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.process.Process.Pid))
	fields := strings.Fields(string(b))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// end kills a controller as the platform does: it comes back.
func (m *member) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.platform = true
	_ = m.process.Process.Kill()
	m.process = nil
}
