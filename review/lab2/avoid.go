package main

import (
	"time"
)

func init() { scenarios["error"] = scenario{galleries, playError} }

// playError has the only task of a job fail once, and waits for it to start again.
func playError(f *fleet, u *users, trouble bool) (int, string) {
	f.cloud.capacity = map[string]int{"soar": 8, "tame": 8, "trent": 8, "wreake": 8}
	f.cloud.add("soar", 1)
	if err := f.startAll(); err != nil {
		return unfit, err.Error()
	}
	time.Sleep(6 * time.Second) // all machines have reported
	other := &spec{ID: "wk-000701", Workclass: "prooftool", Owner: "proofdesk-01", Shape: "daemon", Urgency: "normal",
		Pieces: 1, Cores: 4, Accelerators: 1, RAM: 30, Bundle: "img-07", PullGB: 1}
	job := &spec{ID: "wk-000702", Workclass: "skinpass", Owner: "proofdesk-00", Shape: "array", Urgency: "normal",
		Pieces: 1, Cores: 6, Accelerators: 1, RAM: 36, Bundle: "img-07", PullGB: 1, ExpectS: 10, runS: 10}
	for _, s := range []*spec{other, job} {
		if !u.submit(s) || !f.waitFor(20*time.Second, func() bool { return f.world.countOn(s.ID, running) == s.Pieces }) {
			return unfit, s.ID + " did not start"
		}
		go u.follow(s.ID)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.failTask(job.ID, 0)
	}
	time.Sleep(500 * time.Millisecond)
	return f.watchWaiting(job)
}
