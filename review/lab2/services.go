package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { scenarios["service"] = scenario{galleries, playService} }

// patience is how long a job may be left waiting while a machine that fits has room.
const patience = 90 * time.Second

// playService has three replicas of a service fail once, on three machines, and waits for the service to have all of
// its replicas again. Another team's service keeps the machines in use and leaves room on each of them.
func playService(f *fleet, u *users, trouble bool) (int, string) {
	f.cloud.capacity = map[string]int{"soar": 8, "tame": 8, "trent": 8, "wreake": 8}
	for _, yard := range []string{"soar", "tame", "trent"} {
		f.cloud.add(yard, 2)
	}
	if err := f.startAll(); err != nil {
		return unfit, err.Error()
	}
	other := &spec{ID: "wk-000411", Workclass: "prooftool", Owner: "proofdesk-01", Shape: "daemon", Urgency: "normal",
		Pieces: 6, Cores: 9, Accelerators: 1, RAM: 50, Bundle: "img-07", PullGB: 1}
	job := &spec{ID: "wk-000412", Workclass: "prooftool", Owner: "proofdesk-00", Shape: "daemon", Urgency: "normal",
		Pieces: 4, Cores: 7, Accelerators: 1, RAM: 38, Bundle: "img-07", PullGB: 1}
	for _, s := range []*spec{other, job} {
		if !u.submit(s) || !f.waitFor(20*time.Second, func() bool { return f.world.countOn(s.ID, running) == s.Pieces }) {
			return unfit, s.ID + " did not start"
		}
		go u.follow(s.ID)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for i := range 3 {
			f.failTask(job.ID, i)
			time.Sleep(4 * time.Second)
		}
	}
	return f.watchWaiting(job)
}

// failTask has a running task of a job exit with an error, once.
func (f *fleet) failTask(id string, index int) {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	if t := f.world.on[pieceName(id, index)]; t != nil {
		f.rec.line("trouble", "%s fails on %s", t.piece, t.machine.id)
		t.failing = true
	}
}

// watchWaiting watches whether tasks of a job are left waiting while a machine that fits has room and its team is
// under its limit.
func (f *fleet) watchWaiting(s *spec) (int, string) {
	var since time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(patience + 2*time.Second); time.Now().Before(end); {
		if f.closed() {
			return unfit, "the time ran out"
		}
		time.Sleep(200 * time.Millisecond)
		waits := f.world.countOn(s.ID, "")+f.world.doneOf(s.ID) < s.Pieces
		machine := f.world.roomFor(s)
		switch {
		case !waits || machine == "":
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		default:
			longest = max(longest, time.Since(since))
		}
		if longest >= patience {
			return broken, fmt.Sprintf("%s: %d of %d tasks on machines; the others wait for %.0f s while %s has room",
				s.ID, f.world.countOn(s.ID, ""), s.Pieces, longest.Seconds(), machine)
		}
	}
	return held, fmt.Sprintf("%s: no task was left waiting for more than %.0f s", s.ID, longest.Seconds())
}

// roomFor returns a machine that has room for a task of a job, "" if there is none or the job's team is at its
// limit. A gang needs room for all of its tasks. Only machines count whose last report but two was answered.
func (w *world) roomFor(s *spec) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.atLimit(s) {
		return ""
	}
	slots, found := 0, ""
	for _, m := range w.machines {
		if time.Since(m.answeredAt) < seconds(3*w.site.reportS) && !m.hung && !m.cut && m.fits(s) {
			found = m.id
			slots++
		}
	}
	if s.gang() && slots < s.Pieces {
		return ""
	}
	return found
}

// atLimit reports whether a job's team can't have one more task of it. w.mu is held.
func (w *world) atLimit(s *spec) bool {
	used := s.Accelerators
	for _, t := range w.on {
		if t.spec.Owner == s.Owner {
			used += t.spec.Accelerators
		}
	}
	return slices.ContainsFunc(w.site.teams, func(t team) bool {
		return t.name == s.Owner && t.gpusMax > 0 && used > t.gpusMax
	})
}

// fits reports whether a task of a job fits beside what is on the machine. world.mu is held.
func (m *machine) fits(s *spec) bool {
	flavor := &m.world.site.flavor
	cores, accelerators, ram := flavor.Cores, flavor.Accelerators, flavor.RAM
	for _, t := range m.tasks {
		if t.state != ended {
			cores, accelerators, ram = cores-t.spec.Cores, accelerators-t.spec.Accelerators, ram-t.spec.RAM
		}
	}
	return s.Cores <= cores && s.Accelerators <= accelerators && s.RAM <= ram && (s.Loaners || !m.spot)
}
