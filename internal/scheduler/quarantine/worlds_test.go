package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"maddermill/wire"
)

// minToBlame is by how many jobs the plain rule finds a machine faulty, as in package crashloop.
const minToBlame = 2

// maxTries is how often a task is tried.
const maxTries = 4

// world is a made-up cluster with faults in it, played task by task. Every job's tasks go to machines at
// random; one that fails is tried on another.
type world struct {
	rng       *rand.Rand
	machines  int
	rate      []float64 // with which a machine fails its tasks
	badJobs   float64   // share of jobs that fail everywhere
	badTask   float64   // share of arrays with one task that does
	images    []float64 // rate with which each fails
	accident  float64
	blocks    int
	blockRate []float64 // with which each block fails
	now       time.Time
}

// newWorld returns a world without faults, except few accidents.
func newWorld(seed uint64, machines int) *world {
	const blocks = 8
	return &world{
		rng:       rand.New(rand.NewPCG(seed, 18)),
		machines:  machines,
		rate:      make([]float64, machines),
		images:    make([]float64, 12),
		accident:  0.0005,
		blocks:    blocks,
		blockRate: make([]float64, blocks),
		now:       time.Unix(1_800_000_000, 0),
	}
}

// rule is a way to judge machines.
type rule interface {
	observe(o *Outcome)
	faulty(m wire.MachineID) bool
}

// plainRule finds a machine faulty when two jobs failed there that do not fail elsewhere.
type plainRule struct {
	failedOn map[wire.JobID]map[wire.MachineID]bool
	failed   map[wire.MachineID]map[wire.JobID]bool
}

func newPlainRule() *plainRule {
	return &plainRule{
		failedOn: map[wire.JobID]map[wire.MachineID]bool{},
		failed:   map[wire.MachineID]map[wire.JobID]bool{},
	}
}

func (r *plainRule) observe(o *Outcome) {
	if !o.Failed {
		delete(r.failed, o.Machine)
		delete(r.failedOn, o.Job)
		return
	}
	if r.failedOn[o.Job] == nil {
		r.failedOn[o.Job] = map[wire.MachineID]bool{}
	}
	if r.failed[o.Machine] == nil {
		r.failed[o.Machine] = map[wire.JobID]bool{}
	}
	r.failedOn[o.Job][o.Machine], r.failed[o.Machine][o.Job] = true, true
}

func (r *plainRule) faulty(m wire.MachineID) bool {
	n := 0
	for id := range r.failed[m] {
		if len(r.failedOn[id]) < minToBlame {
			n++
		}
	}
	return n >= minToBlame
}

// judgeRule finds a machine faulty when a Judge does.
type judgeRule struct{ *Judge }

func (r judgeRule) observe(o *Outcome)           { r.Observe(o) }
func (r judgeRule) faulty(m wire.MachineID) bool { return r.Verdict(m).Faulty }

// watchingRule judges as judgeRule does, and has no machine replaced.
type watchingRule struct{ *Judge }

func (r watchingRule) observe(o *Outcome) { r.Observe(o) }
func (r watchingRule) faulty(m wire.MachineID) bool {
	r.Verdict(m)
	return false
}

// playResult is what came of a world under a rule.
type playResult struct {
	found, missed, wrong int
	tasksUntilFound      []int // that a faulty machine had been given when it was found
	lost                 int   // tasks that faulty machines failed until then
	tasks                int   // played
}

// add adds another world's result.
func (p *playResult) add(other playResult) {
	p.found += other.found
	p.missed += other.missed
	p.wrong += other.wrong
	p.lost += other.lost
	p.tasks += other.tasks
	p.tasksUntilFound = append(p.tasksUntilFound, other.tasksUntilFound...)
}

// foundWithin returns how many faulty machines were found after no more than so many tasks.
func (p *playResult) foundWithin(tasks int) int {
	n := 0
	for _, given := range p.tasksUntilFound {
		if given <= tasks {
			n++
		}
	}
	return n
}

// player plays a world under a rule.
type player struct {
	*world
	rule   rule
	names  []wire.MachineID // by machine; a replacement gets another
	given  []int            // tasks, by machine
	faulty []bool           // by machine
	result playResult
}

// worldJob is a job of a world.
type worldJob struct {
	id      wire.JobID
	tasks   int
	bad     bool
	image   int
	badTask int // -1: none
}

// play gives a rule so many rounds of jobs. A machine that is judged faulty is replaced by a sound one at
// once.
func (w *world) play(r rule, rounds int) playResult {
	p := &player{world: w, rule: r, given: make([]int, w.machines)}
	for m := range w.machines {
		p.faulty = append(p.faulty, w.rate[m] > 0)
		p.names = append(p.names, wire.MachineID(fmt.Sprint("host-", m)))
	}
	for n := range rounds {
		w.now = w.now.Add(20 * time.Second)
		job := w.drawJob(n)
		for task := range job.tasks {
			p.playTask(&job, task)
		}
	}
	for m := range p.faulty {
		if p.faulty[m] && p.given[m] >= 60 {
			p.result.missed++
		}
	}
	return p.result
}

// drawJob draws job number n.
func (w *world) drawJob(n int) worldJob {
	job := worldJob{id: wire.JobID(fmt.Sprintf("wk-%06d", n)), tasks: 1, badTask: -1}
	if w.rng.IntN(3) == 0 {
		job.tasks = 2 + w.rng.IntN(20)
	}
	job.bad, job.image = w.rng.Float64() < w.badJobs, w.rng.IntN(len(w.images))
	if job.tasks > 1 && w.rng.Float64() < w.badTask {
		job.badTask = w.rng.IntN(job.tasks)
	}
	return job
}

// playTask tries a task until it completes, up to maxTries times.
func (p *player) playTask(job *worldJob, task int) {
	for range maxTries {
		m := p.rng.IntN(p.machines)
		block := m * p.blocks / p.machines
		fails := job.bad || task == job.badTask || p.rng.Float64() < p.images[job.image] ||
			p.rng.Float64() < p.accident || p.rng.Float64() < p.blockRate[block]
		machineFails := p.rng.Float64() < p.rate[m]
		o := &Outcome{
			Machine: p.names[m],
			Job:     job.id,
			Task:    wire.TaskIndex(task),
			Array:   job.tasks > 1,
			Image:   wire.Image(fmt.Sprint("img-", job.image)),
			Class:   "c",
			Block:   fmt.Sprint("b", block),
			Failed:  fails || machineFails,
			At:      p.now,
		}
		p.given[m]++
		p.result.tasks++
		if machineFails && !fails {
			p.result.lost++
		}
		p.rule.observe(o)
		if p.rule.faulty(o.Machine) {
			p.replace(m)
		}
		if !o.Failed {
			return
		}
	}
}

// replace replaces a machine that the rule has found faulty by a sound one.
func (p *player) replace(m int) {
	if p.faulty[m] {
		p.result.found++
		p.result.tasksUntilFound = append(p.result.tasksUntilFound, p.given[m])
	} else {
		p.result.wrong++
	}
	p.names[m] += "'"
	p.given[m], p.faulty[m], p.rate[m] = 0, false, 0
}
