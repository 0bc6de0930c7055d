package main

import (
	"fmt"
	"time"
)

func init() { scenarios["lines"] = scenario{claimsWithGuest, playLines} }

// claimsWithGuest is hanbit-claims on a day with its guest team.
func claimsWithGuest() *site {
	s := claims()
	s.teams = append(s.teams, team{name: "audit-guest"})
	return s
}

// playLines hands in a guest's huge array of small tasks beside a job of a team, and looks for reports and answers
// that are longer than they may be.
func playLines(f *fleet, u *users, trouble bool) (int, string) {
	f.cloud.capacity = map[string]int{"mapo": 2}
	f.cloud.add("mapo", 2)
	if err := f.startAll(); err != nil {
		return unfit, err.Error()
	}
	time.Sleep(6 * time.Second) // all machines have reported
	job := &spec{ID: "wk-000801", Workclass: "receiptread", Owner: "haneul", Shape: "array", Urgency: "normal",
		Pieces: 2, Cores: 10, Accelerators: 1, RAM: 54, Bundle: "img-07", PullGB: 1, ExpectS: 40, runS: 40}
	if !u.submit(job) || !f.waitFor(20*time.Second, func() bool { return f.world.countOn(job.ID, running) == 2 }) {
		return unfit, "the team's job did not start"
	}
	go u.follow(job.ID)
	guest := &spec{ID: "wk-000802", Workclass: "fiveyear", Owner: "audit-guest", Shape: "array", Urgency: "best_effort",
		Pieces: 20_000, Cores: 0.02, RAM: 0.1, Bundle: "img-08", PullGB: 0.5, ExpectS: 30, runS: 30}
	if trouble {
		if !u.submit(guest) {
			return unfit, "the guest's job was not accepted"
		}
		go u.follow(guest.ID)
	}
	time.Sleep(75 * time.Second)
	lines, reports := f.world.tooLong()
	seen := fmt.Sprintf("%d answers with a line, and %d reports, of more than 64 KiB; %d of 2 tasks of the team are done",
		lines, reports, f.world.doneOf(job.ID))
	if trouble {
		seen += fmt.Sprintf(", %d of 20000 of the guest's", f.world.doneOf(guest.ID))
	}
	if lines+reports > 0 {
		return broken, seen
	}
	return held, seen
}

// tooLong returns how many answers had a line, and how many reports were, above the limit of PROTOCOL.
func (w *world) tooLong() (lines, reports int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longLines, w.longReports
}
