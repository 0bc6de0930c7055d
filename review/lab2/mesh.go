package main

import (
	"fmt"
	"time"
)

func init() { scenarios["zones"] = scenario{claims, playZones} }

// cutZones keeps two zones from reaching each other: controllers from controllers, workers from controllers.
func (f *fleet) cutZones(a, b string) {
	f.rec.line("trouble", "%s and %s can't reach each other", a, b)
	apart := func(x, y string) bool { return x == a && y == b || x == b && y == a }
	f.mu.Lock()
	for _, zone := range []string{a, b} {
		f.cutFrom[zone] = map[int]bool{}
		for i, m := range f.members {
			f.cutFrom[zone][i] = apart(zone, m.zone)
		}
	}
	f.mu.Unlock()
	f.eachLink(func(from, to *member, l *link) {
		if apart(from.zone, to.zone) {
			l.cut()
		}
	})
}

// healZones ends cutZones.
func (f *fleet) healZones(a, b string) {
	f.rec.line("trouble", "%s and %s reach each other again", a, b)
	f.mu.Lock()
	f.cutFrom = map[string]map[int]bool{}
	f.mu.Unlock()
	f.eachLink(func(from, to *member, l *link) {
		if from.zone != to.zone {
			l.heal()
		}
	})
}

func (f *fleet) eachLink(do func(from, to *member, l *link)) {
	for i, from := range f.members {
		for j, to := range f.members {
			if i != j {
				do(from, to, f.links[i][j])
			}
		}
	}
}

// playZones has two zones cut from each other for 25 s while all machines run tasks.
func playZones(f *fleet, u *users, trouble bool) (int, string) {
	lost, tasks := f.countLost()
	counts := map[string]int{"mapo": 49, "suyeong": 41, "yuseong": 41}
	total := 0
	f.cloud.capacity = counts
	for yard, n := range counts {
		f.cloud.add(yard, n)
		total += n
	}
	for i := range f.members { // the controllers of mapo first, so that one of them leads
		if err := f.start((i * 2) % len(f.members)); err != nil {
			return unfit, err.Error()
		}
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second)
	job := &spec{ID: "wk-000600", Workclass: "receiptread", Owner: "haneul", Shape: "array", Urgency: "normal",
		Pieces: total, Cores: 43, Accelerators: 4, RAM: 230, Bundle: "img-02", PullGB: 1, ExpectS: 200, runS: 200}
	if !u.submit(job) {
		return unfit, "the job was not accepted"
	}
	go u.follow(job.ID)
	if !f.waitFor(40*time.Second, func() bool { return f.world.countOn(job.ID, running) >= total }) {
		return unfit, fmt.Sprintf("only %d of %d tasks run", f.world.countOn(job.ID, running), total)
	}
	f.rec.line("fleet", "leader is %d", f.leader())
	if trouble {
		f.cutZones("mapo", "suyeong")
	}
	time.Sleep(25 * time.Second)
	if trouble {
		f.healZones("mapo", "suyeong")
	}
	time.Sleep(15 * time.Second)
	seen := fmt.Sprintf("%d machines that reported and were answered were returned with %d tasks", lost.Load(),
		tasks.Load())
	if lost.Load() > 0 {
		return broken, seen
	}
	return held, seen
}
