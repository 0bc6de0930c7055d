package main

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// spec is a job as its user submits it.
type spec struct {
	ID           string   `json:"id"`
	Workclass    string   `json:"workclass"`
	Owner        string   `json:"owner"`
	Shape        string   `json:"shape"`
	Urgency      string   `json:"urgency"`
	Pieces       int      `json:"pieces"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	RAM          float64  `json:"ram_gb"`
	Bundle       string   `json:"bundle"`
	PullGB       float64  `json:"pull_gb"`
	Builds       []string `json:"builds"`
	Yard         *string  `json:"yard"`
	Together     bool     `json:"together"`
	Scatter      bool     `json:"scatter"`
	Loaners      bool     `json:"loaners"`
	ExpectS      float64  `json:"expect_s"`
	SnapshotS    float64  `json:"snapshot_s"`
	StashS       float64  `json:"stash_s"`
	DueS         *float64 `json:"due_s"`

	runS    float64 // what a task really takes
	mistake bool    // its tasks fail on every machine
}

func (s *spec) gang() bool { return s.Shape == "gang" && s.Pieces > 1 }

// The states of a task on its machine, and the causes of its end (PROTOCOL, "Workers -> controller nodes").
const (
	fetching = "fetching"
	waiting  = "waiting"
	running  = "running"
	saving   = "saving"
	ended    = "ended"
)

// task is an attempt of a task on a machine.
type task struct {
	spec    *spec
	piece   string
	index   int
	try     uint64
	state   string
	cause   string
	saved   bool
	machine *machine
	until   time.Time // of the fetch, the wait, the run or the save
	began   time.Time // of the run
	failing bool      // exits with an error at the next step
}

// onMachine reports whether the task has its image and has not ended.
func (t *task) onMachine() bool { return t.state == waiting || t.state == running || t.state == saving }

// gangRun is an attempt of a gang.
type gangRun struct {
	started, stopped, missing time.Time
}

// world is the truth about machines, tasks and answers, and checks the rules.
type world struct {
	site *site
	rec  *recorder

	mu                     sync.Mutex // guards the fields below and those of machines
	specs                  map[string]*spec
	tasks                  map[string][]*task // by job, those that have not ended
	gangs                  map[string]*gangRun
	on                     map[string]*task   // the tasks on machines, by piece
	done                   map[string]bool    // by piece
	progress               map[string]float64 // saved, by piece, of a gang by job
	starts                 map[string]int     // by job
	answers                map[string]*answered
	violations             []string
	machines               []*machine
	booted                 func(m *machine)
	longLines, longReports int // answers with a line, and reports, above the limit
}

func newWorld(s *site, rec *recorder) *world {
	return &world{site: s, rec: rec, specs: map[string]*spec{}, tasks: map[string][]*task{}, gangs: map[string]*gangRun{},
		on: map[string]*task{}, done: map[string]bool{}, progress: map[string]float64{}, starts: map[string]int{},
		answers: map[string]*answered{}}
}

// violate records a broken rule. w.mu is held.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(w.violations) < 200 {
		w.violations = append(w.violations, text)
		w.rec.line("RULE", "%s", text)
	}
}

// upload makes a job known to the workers, as its user does.
func (w *world) upload(s *spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[s.ID] = s
}

// boot starts a machine's worker.
func (w *world) boot(m *machine) {
	w.mu.Lock()
	dead := m.dead
	if !dead {
		m.shift, m.renewed = 1, time.Now()
		w.machines = append(w.machines, m)
	}
	w.mu.Unlock()
	if !dead {
		w.booted(m)
	}
}

// end deletes a machine and returns how many tasks were on it.
func (w *world) end(m *machine) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range m.tasks {
		if t.onMachine() {
			n++
		}
	}
	w.kill(m)
	m.dead = true
	w.machines = slices.DeleteFunc(w.machines, func(o *machine) bool { return o == m })
	return n
}

// kill forgets all tasks of a machine. w.mu is held.
func (w *world) kill(m *machine) {
	for _, t := range m.tasks {
		if t.state == running && !t.spec.gang() {
			w.keep(t, t.spec.SnapshotS)
		}
		w.leave(t)
	}
	m.tasks = map[string]*task{}
	m.fetches = map[string]time.Time{}
}

// keep keeps the progress of a task at multiples of a step; a step of 0 keeps nothing. w.mu is held.
func (w *world) keep(t *task, step float64) {
	if step > 0 {
		gained := w.progress[t.piece] + time.Since(t.began).Seconds()
		w.progress[t.piece] = math.Floor(gained/step) * step
	}
}

// leave takes a task off its machine. w.mu is held.
func (w *world) leave(t *task) {
	if w.on[t.piece] == t {
		delete(w.on, t.piece)
	}
	w.tasks[t.spec.ID] = slices.DeleteFunc(w.tasks[t.spec.ID], func(o *task) bool { return o == t })
}

// exit ends a task. w.mu is held.
func (w *world) exit(t *task, cause string, saved bool) {
	t.state, t.cause, t.saved = ended, cause, saved
	w.leave(t)
	t.machine.touch()
	w.rec.line("task", "%s try %d ended %s saved=%v on %s", t.piece, t.try, cause, saved, t.machine.id)
}

// start puts a task that has its image onto its machine, and checks the rules of starts. w.mu is held.
func (w *world) start(t *task, now time.Time) {
	s, m := t.spec, t.machine
	if other := w.on[t.piece]; other != nil {
		w.violate("ran_twice %s on %s and %s", t.piece, other.machine.id, m.id)
	}
	w.on[t.piece] = t
	w.starts[s.ID]++
	if s.Yard != nil && *s.Yard != m.yard || m.spot && !s.Loaners ||
		s.Builds != nil && !slices.Contains(s.Builds, w.site.flavor.SKU) {
		w.violate("wrong_place %s on %s", t.piece, m.id)
	}
	w.checkZones(t)
	w.checkQuota(s.Owner)
	w.rec.line("task", "%s try %d on %s", t.piece, t.try, m.id)
	if w.done[t.piece] {
		w.exit(t, "done", false)
		return
	}
	if s.gang() {
		t.state, t.until = waiting, now.Add(seconds(w.site.gangWait))
	} else {
		w.run(t, now, w.progress[t.piece])
	}
	m.touch()
}

// run begins the run of a task that has made some progress. w.mu is held.
func (w *world) run(t *task, now time.Time, progress float64) {
	t.state, t.began = running, now
	t.until = now.Add(seconds(t.spec.runS - progress))
	if t.spec.Shape == "daemon" {
		t.until = now.Add(24 * time.Hour)
	}
	t.machine.touch()
}

// checkZones checks together and scatter. w.mu is held.
func (w *world) checkZones(t *task) {
	here := 0
	for _, o := range w.tasks[t.spec.ID] {
		switch {
		case !o.onMachine() && o != t:
		case o.machine.yard == t.machine.yard:
			here++
		case t.spec.Together:
			w.violate("wrong_place %s in %s, %s is in %s", t.piece, t.machine.yard, o.piece, o.machine.yard)
		}
	}
	if t.spec.Scatter && here > (t.spec.Pieces+1)/2 {
		w.violate("wrong_place %s: %d of %d in %s", t.piece, here, t.spec.Pieces, t.machine.yard)
	}
}

// checkQuota checks a team's limit. w.mu is held.
func (w *world) checkQuota(owner string) {
	cores, accelerators := 0.0, 0.0
	for _, t := range w.on {
		if t.spec.Owner == owner {
			cores += t.spec.Cores
			accelerators += t.spec.Accelerators
		}
	}
	for _, team := range w.site.teams {
		if team.name == owner && (team.cpusMax > 0 && cores > team.cpusMax+1e-6 ||
			team.gpusMax > 0 && accelerators > team.gpusMax+1e-6) {
			w.violate("quota %s uses %g cores, %g accelerators", owner, cores, accelerators)
		}
	}
}

// step moves all machines and tasks to the present. It is called ten times a second.
func (w *world) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, m := range w.machines {
		if !m.hung {
			w.stepMachine(m, now)
		}
	}
	for id, list := range w.tasks {
		if len(list) > 0 && list[0].spec.gang() {
			w.stepGang(id, now)
		}
	}
}

// stepMachine moves the lease, the fetches and the single tasks of a machine. w.mu is held.
func (w *world) stepMachine(m *machine, now time.Time) {
	if now.Sub(m.renewed) > seconds(w.site.leaseS) {
		w.rec.line("worker", "%s: lease of session %d over with %d tasks", m.id, m.shift, len(m.tasks))
		w.kill(m)
		m.shift++
		m.tally, m.renewed = 0, now
		m.touch()
	}
	for image, at := range m.fetches {
		if now.After(at) {
			m.images[image] = true
			delete(m.fetches, image)
		}
	}
	for _, t := range m.tasks {
		w.stepTask(t, now)
	}
}

// stepTask moves a task; the run of a gang is moved with the gang. w.mu is held.
func (w *world) stepTask(t *task, now time.Time) {
	fails := t.failing || t.spec.mistake && now.Sub(t.began) > 300*time.Millisecond
	switch {
	case t.state == fetching && t.machine.images[t.spec.Bundle]:
		w.start(t, now)
	case t.state == running && fails:
		w.keep(t, t.spec.SnapshotS)
		w.exit(t, "error", false)
	case t.state == running && !t.spec.gang() && now.After(t.until):
		w.done[t.piece] = true
		w.exit(t, "done", false)
	case t.state == saving && !t.spec.gang() && now.After(t.until):
		w.exit(t, "halted", true)
	}
}

// stepGang moves the attempts of a gang. w.mu is held.
func (w *world) stepGang(id string, now time.Time) {
	byTry := map[uint64][]*task{}
	for _, t := range w.tasks[id] {
		byTry[t.try] = append(byTry[t.try], t)
	}
	s := w.specs[id]
	left := 0
	for i := range s.Pieces {
		if !w.done[pieceName(id, i)] {
			left++
		}
	}
	for try, members := range byTry {
		key := fmt.Sprintf("%s#%d", id, try)
		if w.gangs[key] == nil {
			w.gangs[key] = &gangRun{}
		}
		w.stepAttempt(s, w.gangs[key], members, left, now)
	}
}

// stepAttempt moves one attempt of a gang of which a number of tasks are left. w.mu is held.
func (w *world) stepAttempt(s *spec, g *gangRun, members []*task, left int, now time.Time) {
	present, told := countMembers(members)
	switch {
	case g.started.IsZero() && present == left:
		g.started = now
		for _, t := range members {
			w.run(t, now, w.progress[s.ID])
		}
		w.rec.line("gang", "%s runs", s.ID)
	case g.started.IsZero():
		for _, t := range slices.Clone(members) {
			if t.state == waiting && now.After(t.until) {
				w.exit(t, "incomplete", false)
			}
		}
	case told > 0:
		w.stepStop(s, g, members, told == left, now)
	case present < left:
		w.losePeers(s, g, members, now)
	case now.After(g.started.Add(seconds(s.runS - w.progress[s.ID]))):
		for _, t := range slices.Clone(members) {
			w.done[t.piece] = true
			w.exit(t, "done", false)
		}
	default:
		g.missing = time.Time{}
	}
}

// countMembers returns how many tasks of a gang are on machines that run, and how many of them are told to stop.
func countMembers(members []*task) (present, told int) {
	for _, t := range members {
		if t.onMachine() && !t.machine.hung {
			present++
		}
		if t.state == saving {
			told++
		}
	}
	return present, told
}

// losePeers ends the tasks of a running gang some time after it lost one. w.mu is held.
func (w *world) losePeers(s *spec, g *gangRun, members []*task, now time.Time) {
	if g.missing.IsZero() {
		g.missing = now
	}
	if now.Sub(g.missing) <= seconds(w.site.gangPeer) {
		return
	}
	if s.SnapshotS > 0 {
		gained := w.progress[s.ID] + g.missing.Sub(g.started).Seconds()
		w.progress[s.ID] = math.Floor(gained/s.SnapshotS) * s.SnapshotS
	}
	for _, t := range slices.Clone(members) {
		if t.onMachine() && !t.machine.hung {
			w.exit(t, "mates_gone", false)
		}
	}
}

// stepStop moves a gang that is being stopped in order. all reports whether every task was told. w.mu is held.
func (w *world) stepStop(s *spec, g *gangRun, members []*task, all bool, now time.Time) {
	if g.stopped.IsZero() {
		g.stopped = now
	}
	switch {
	case all && now.Sub(g.stopped) > seconds(s.StashS):
		w.progress[s.ID] += g.stopped.Sub(g.started).Seconds()
		for _, t := range slices.Clone(members) {
			w.exit(t, "halted", true)
		}
	case now.Sub(g.stopped) > seconds(w.site.gangPeer):
		for _, t := range slices.Clone(members) {
			if t.state == saving {
				w.exit(t, "halted", false)
			} else {
				w.exit(t, "mates_gone", false)
			}
		}
	}
}

func pieceName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// splitPiece splits the name of a task into its job and its number.
func splitPiece(piece string) (job string, index int) {
	job, n, _ := strings.Cut(piece, "/")
	index, _ = strconv.Atoi(n)
	return job, index
}

// countOn returns how many tasks of a job are on machines in a state, "" for any.
func (w *world) countOn(id, state string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks[id] {
		if t.onMachine() && (state == "" || t.state == state) {
			n++
		}
	}
	return n
}

// doneOf returns how many tasks of a job have completed.
func (w *world) doneOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.specs[id].Pieces {
		if w.done[pieceName(id, i)] {
			n++
		}
	}
	return n
}
