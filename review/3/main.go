// Command 3 plays case 3 of the review: a submission with an unknown field whose name differs from a known one in case
// alone is answered with another user's job, and the job that was submitted is not known. It exits with 1 if the rule
// forgotten was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"maddermill/review/lab"
	"maddermill/wire"
)

// The jobs and how long the case looks at them.
const (
	machines = 4 // up at the start
	firstID  = "wk-000010"
	secondID = "wk-000020"
	taskTime = 10 * time.Second
	playTime = 70 * time.Second
)

func main() {
	broken, err := play(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("BROKEN: forgotten")
		os.Exit(1)
	}
	fmt.Println("held")
}

// play runs the case and reports whether the rule was broken.
func play(trouble bool) (broken bool, err error) {
	l, err := lab.New(lab.Options{
		DeployFile: "deploy/service.toml",
		Dir:        "review/3",
		Machines:   machines,
		RunTime:    func(wire.TaskID) time.Duration { return taskTime },
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
	if a := submit(l, job(firstID, "note", "proofs of one couple")); a.Code != 201 {
		return false, fmt.Errorf("the first user's job was not accepted: %d %s", a.Code, a.Body)
	}
	unknown := "follows"
	if trouble {
		unknown = "Id" // the second user's own name for the job that this one follows
	}
	a := submit(l, job(secondID, unknown, firstID))
	if a.Code != 200 && a.Code != 201 {
		return false, fmt.Errorf("the second user's job was not accepted: %d %s", a.Code, a.Body)
	}
	var answer struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(a.Body, &answer); err != nil {
		return false, err
	}
	if answer.ID != secondID {
		l.Record("the submission of %s was answered with the state of %s", secondID, answer.ID)
	}
	return watch(l), nil
}

// submit sends a submission, and again until it is answered.
func submit(l *lab.Lab, body []byte) lab.Answer {
	l.Record("user submits: %s", body)
	return l.AskUntilAnswered(http.MethodPost, "/api/jobs", body, time.Minute)
}

// watch polls the second user's job until it is done, and reports whether it was forgotten: an accepted job gets 404.
func watch(l *lab.Lab) (broken bool) {
	for n := 0; l.Elapsed() < playTime; n++ {
		a := l.Ask(n%lab.Controllers, http.MethodGet, "/api/jobs/"+secondID, nil)
		if a.Code == 404 {
			l.Record("BROKEN: forgotten: %s was accepted and gets 404", secondID)
			return true
		}
		if a.Status() == wire.Done {
			return false
		}
		time.Sleep(2 * time.Second)
	}
	return false
}

// job returns a submission with one field more than those that the protocol has.
func job(id wire.JobID, unknown, value string) []byte {
	return []byte(fmt.Sprintf(`{"id":%q,"workclass":"skinpass","owner":%q,"shape":"array","urgency":"normal",`+
		`"pieces":2,"cores":6.0,"accelerators":1.0,"ram_gb":36.0,"bundle":"img-1","pull_gb":0.5,"builds":null,`+
		`"yard":null,"together":false,"scatter":false,"loaners":true,"expect_s":10.0,"snapshot_s":0.0,"stash_s":0.0,`+
		`"due_s":null,%q:%q}`, id, lab.Team, unknown, value))
}
