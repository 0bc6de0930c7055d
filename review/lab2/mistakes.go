package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { scenarios["mistakes"] = scenario{galleries, playMistakes} }

// countLost counts the machines that are returned although their workers report and are answered, and the tasks of
// sound jobs that run there.
func (f *fleet) countLost() (machines, tasks *atomic.Int64) {
	machines, tasks = new(atomic.Int64), new(atomic.Int64)
	f.cloud.returned = func(m *machine, running int) {
		if age := time.Since(m.answeredAt); running > 0 && age < 8*time.Second {
			machines.Add(1)
			tasks.Add(int64(running))
			f.rec.line("lost", "%s is returned with %d tasks, %.1f s after an answer to its report", m.id, running,
				age.Seconds())
		}
	}
	return machines, tasks
}

// playMistakes hands in two jobs that fail on every machine, after 48 sound ones, beside a job that goes on running.
func playMistakes(f *fleet, u *users, trouble bool) (int, string) {
	machines, tasks := f.countLost()
	f.cloud.capacity = map[string]int{"soar": 1, "tame": 5, "trent": 5, "wreake": 5}
	f.cloud.add("soar", 1)
	if err := f.startAll(); err != nil {
		return unfit, err.Error()
	}
	time.Sleep(6 * time.Second) // the machine has reported
	job := &spec{ID: "wk-000901", Workclass: "albumforge", Owner: "proofdesk-01", Shape: "array", Urgency: "normal",
		Pieces: 1, Cores: 7, Accelerators: 1, RAM: 38, Bundle: "img-07", PullGB: 1, ExpectS: 80, runS: 80}
	if !u.submit(job) || !f.waitFor(20*time.Second, func() bool { return f.world.countOn(job.ID, running) == 1 }) {
		return unfit, "the sound job did not start"
	}
	go u.follow(job.ID)
	for i := range 50 {
		s := &spec{ID: fmt.Sprintf("wk-0009%02d", 10+i), Workclass: "skinpass", Owner: fmt.Sprintf("proofdesk-%02d", i%8),
			Shape: "array", Urgency: "normal", Pieces: 1, Cores: 4, RAM: 10, Bundle: "img-07", PullGB: 1, ExpectS: 2, runS: 0.5}
		s.mistake = trouble && i >= 48
		if i == 48 && !f.waitFor(50*time.Second, func() bool { return f.world.doneOf("wk-000957") == 1 }) {
			return unfit, "the sound jobs took too long"
		}
		if !u.submit(s) {
			return unfit, s.ID + " was not accepted"
		}
		go u.follow(s.ID)
	}
	time.Sleep(15 * time.Second)
	seen := fmt.Sprintf("%d machines that reported and were answered were returned with %d tasks of sound jobs",
		machines.Load(), tasks.Load())
	if machines.Load() > 0 {
		return broken, seen
	}
	return held, seen
}
