// Command 3 plays case 3 of the review: a workflow's step that asks for fewer than no accelerators raises what the
// other jobs of its team may use. It exits with 1 if the rule quota was broken, 0 if it held, 2 if it couldn't run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"maddermill/internal/workflow"
	"maddermill/review/lab"
	"maddermill/wire"
)

// The jobs and how long the case looks at them.
const (
	machines     = 14 // up at the start
	arrayID      = "wk-000001"
	arrayTasks   = 24 // of one accelerator each
	stepPrefix   = "wk-9"
	stepTime     = 100 * time.Second
	taskTime     = 40 * time.Second
	watchTime    = 60 * time.Second
	stepDeadline = 25 * time.Second
	workflowID   = "wf-000001"
)

// tool is the step's tool. It asks for the accelerators that its inputs leave over.
const tool = `cwlVersion: v1.2
class: CommandLineTool
$namespaces: {cwltool: "http://commonwl.org/cwltool#"}
requirements:
  InlineJavascriptRequirement: {}
  cwltool:CUDARequirement:
    cudaVersionMin: "11.4"
    cudaComputeCapability: "3.0"
    cudaDeviceCountMin: $(inputs.wanted - inputs.present)
baseCommand: echo
inputs:
  wanted: int
  present: int
outputs: []
`

func main() {
	broken, err := play(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("BROKEN: quota")
		os.Exit(1)
	}
	fmt.Println("held")
}

// play runs the case and reports whether the rule was broken.
func play(trouble bool) (broken bool, err error) {
	l, err := lab.New(lab.Options{
		DeployFile: "deploy/service-workflows.toml",
		Dir:        "review/3",
		Machines:   machines,
		RunTime: func(t wire.TaskID) time.Duration {
			if strings.HasPrefix(string(t.Job), stepPrefix) {
				return stepTime
			}
			return taskTime
		},
	})
	if err != nil {
		return false, err
	}
	defer l.Close()
	l.AddMachines()
	if err := l.StartAll(); err != nil {
		return false, err
	}
	if !l.WaitHealthy(20 * time.Second) {
		return false, errors.New("the controllers did not become healthy")
	}
	present := 3 // of 4 wanted: the step takes one accelerator
	if trouble {
		present = 16 // the mistake: -12 accelerators
	}
	if err := startWorkflow(l, present); err != nil {
		return false, err
	}
	if a := l.AskUntilAnswered(http.MethodPost, "/api/jobs", array(), time.Minute); a.Code != 201 {
		return false, fmt.Errorf("the array was not accepted: %d %s", a.Code, a.Body)
	}
	return watch(l)
}

// startWorkflow submits the workflow and waits until its step runs, or until the workflow has ended.
func startWorkflow(l *lab.Lab, present int) error {
	body, err := json.Marshal(map[string]any{
		"id": workflowID, "owner": lab.Team, "workclass": "albumforge", "urgency": "high", "loaners": true,
		"expect_s": 60.0, "pull_gb": 1.0, "entry": "main.cwl",
		"bundle": map[string]string{"main.cwl": tool}, "inputs": map[string]int{"wanted": 4, "present": present},
	})
	if err != nil {
		return err
	}
	a := l.AskUntilAnswered(http.MethodPost, "/api/workflows", body, time.Minute)
	if a.Code == 400 || a.Code == 422 {
		return nil // it is refused: that is a sound answer
	}
	if a.Code != 201 {
		return fmt.Errorf("the workflow was not accepted: %d %s", a.Code, a.Body)
	}
	for end := time.Now().Add(stepDeadline); time.Now().Before(end); time.Sleep(time.Second) {
		if len(l.World.On(workflow.StepJobID(workflowID, "main", 0))) > 0 {
			l.Record("the step of the workflow is on its machine")
			return nil
		}
		a := l.Ask(0, http.MethodGet, "/api/workflows/"+workflowID, nil)
		if s := a.Status(); s == wire.Failed || s == wire.Done {
			return nil
		}
	}
	return errors.New("the step did not start")
}

// array returns the submission of the array.
func array() []byte {
	return []byte(fmt.Sprintf(`{"id":%q,"workclass":"skinpass","owner":%q,"shape":"array","urgency":"normal",`+
		`"pieces":%d,"cores":6.0,"accelerators":1.0,"ram_gb":36.0,"bundle":"img-1","pull_gb":5.0,"builds":null,`+
		`"yard":null,"together":false,"scatter":false,"loaners":true,"expect_s":40.0,"snapshot_s":0.0,"stash_s":0.0,`+
		`"due_s":null}`, arrayID, lab.Team, arrayTasks))
}

// watch looks at the machines and reports whether the team's array used more than the team's limit.
func watch(l *lab.Lab) (broken bool, err error) {
	most := 0
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		used := 0
		for _, n := range l.World.On(arrayID) {
			used += n // each has one accelerator
		}
		if used > most {
			most = used
			l.Record("tasks of %s on machines, each with 1 accelerator: %d; limit of the team: %g", arrayID, used, lab.TeamLimit)
		}
		if float64(used) > lab.TeamLimit {
			broken = true
		}
	}
	l.Ask(0, http.MethodGet, "/api/jobs/"+arrayID, nil)
	if most == 0 {
		return false, errors.New("no task of the array started")
	}
	if broken {
		l.Record("BROKEN: quota: %d accelerators in use, limit %g", most, lab.TeamLimit)
	}
	return broken, nil
}
