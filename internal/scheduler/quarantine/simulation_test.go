package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"maddermill/wire"
)

// minDistinctFailures is the number of failing jobs from which on twoJobRule considers a machine faulty, as in package
// crashloop.
const minDistinctFailures = 2

// maxAttempts is the maximum number of attempts of a task.
const maxAttempts = 4

// simulatedCluster is a cluster with injected faults, simulated task by task. Tasks run on random machines; a task
// that fails is retried on another random machine.
type simulatedCluster struct {
	rng            *rand.Rand
	machines       int
	machineRate    []float64 // failure rate of each machine
	badJobShare    float64   // share of jobs that fail on every machine
	badTaskShare   float64   // share of arrays with one task that fails on every machine
	imageRate      []float64 // failure rate of each image
	backgroundRate float64   // rate of failures without any of the other causes
	blocks         int
	blockRate      []float64 // failure rate of each block
	now            time.Time
}

// newSimulatedCluster returns a cluster without faults, except for few background failures.
func newSimulatedCluster(seed uint64, machines int) *simulatedCluster {
	const blocks = 8
	return &simulatedCluster{
		rng:            rand.New(rand.NewPCG(seed, 18)),
		machines:       machines,
		machineRate:    make([]float64, machines),
		imageRate:      make([]float64, 12),
		backgroundRate: 0.0005,
		blocks:         blocks,
		blockRate:      make([]float64, blocks),
		now:            time.Unix(1_800_000_000, 0),
	}
}

// detectionRule is an algorithm for detecting faulty machines.
type detectionRule interface {
	observe(o *Outcome)
	faulty(m wire.MachineID) bool
}

// twoJobRule considers a machine faulty when two jobs failed there that don't fail elsewhere.
type twoJobRule struct {
	failedOn map[wire.JobID]map[wire.MachineID]bool
	failed   map[wire.MachineID]map[wire.JobID]bool
}

func newTwoJobRule() *twoJobRule {
	return &twoJobRule{
		failedOn: map[wire.JobID]map[wire.MachineID]bool{},
		failed:   map[wire.MachineID]map[wire.JobID]bool{},
	}
}

func (r *twoJobRule) observe(o *Outcome) {
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

func (r *twoJobRule) faulty(m wire.MachineID) bool {
	n := 0
	for id := range r.failed[m] {
		if len(r.failedOn[id]) < minDistinctFailures {
			n++
		}
	}
	return n >= minDistinctFailures
}

// detectorRule considers a machine faulty when a Detector does.
type detectorRule struct{ *Detector }

func (r detectorRule) observe(o *Outcome)           { r.Observe(o) }
func (r detectorRule) faulty(m wire.MachineID) bool { return r.Diagnose(m).Faulty }

// observeOnlyRule runs a Detector but never reports a machine as faulty, so that no machine is replaced.
type observeOnlyRule struct{ *Detector }

func (r observeOnlyRule) observe(o *Outcome) { r.Observe(o) }
func (r observeOnlyRule) faulty(m wire.MachineID) bool {
	r.Diagnose(m)
	return false
}

// simulationResult is the result of a simulation.
type simulationResult struct {
	found, missed, wrong int
	tasksUntilFound      []int // tasks assigned to each faulty machine until it was found
	lostTasks            int   // failed attempts that only the machine caused
	tasks                int   // attempts of tasks
}

// add adds the result of another simulation.
func (r *simulationResult) add(other simulationResult) {
	r.found += other.found
	r.missed += other.missed
	r.wrong += other.wrong
	r.lostTasks += other.lostTasks
	r.tasks += other.tasks
	r.tasksUntilFound = append(r.tasksUntilFound, other.tasksUntilFound...)
}

// foundWithin returns how many faulty machines were found after at most the given number of tasks.
func (r *simulationResult) foundWithin(tasks int) int {
	n := 0
	for _, assigned := range r.tasksUntilFound {
		if assigned <= tasks {
			n++
		}
	}
	return n
}

// simulation runs a detection rule on a simulated cluster.
type simulation struct {
	*simulatedCluster
	rule     detectionRule
	names    []wire.MachineID // by machine; a replacement gets a new name
	assigned []int            // number of assigned tasks, by machine
	faulty   []bool           // by machine
	result   simulationResult
}

// simulatedJob is a job of a simulation.
type simulatedJob struct {
	id      wire.JobID
	tasks   int
	bad     bool // fails on every machine
	image   int
	badTask int // task that fails on every machine; -1: none
}

// simulate runs the given number of jobs under a rule. A machine that the rule considers faulty is replaced by a
// healthy one at once.
func (c *simulatedCluster) simulate(r detectionRule, rounds int) simulationResult {
	s := &simulation{simulatedCluster: c, rule: r, assigned: make([]int, c.machines)}
	for m := range c.machines {
		s.faulty = append(s.faulty, c.machineRate[m] > 0)
		s.names = append(s.names, wire.MachineID(fmt.Sprint("host-", m)))
	}
	for n := range rounds {
		c.now = c.now.Add(20 * time.Second)
		job := c.randomJob(n)
		for task := range job.tasks {
			s.runTask(&job, task)
		}
	}
	for m := range s.faulty {
		if s.faulty[m] && s.assigned[m] >= 60 {
			s.result.missed++
		}
	}
	return s.result
}

// randomJob returns a random job with number n.
func (c *simulatedCluster) randomJob(n int) simulatedJob {
	job := simulatedJob{id: wire.JobID(fmt.Sprintf("wk-%06d", n)), tasks: 1, badTask: -1}
	if c.rng.IntN(3) == 0 {
		job.tasks = 2 + c.rng.IntN(20)
	}
	job.bad, job.image = c.rng.Float64() < c.badJobShare, c.rng.IntN(len(c.imageRate))
	if job.tasks > 1 && c.rng.Float64() < c.badTaskShare {
		job.badTask = c.rng.IntN(job.tasks)
	}
	return job
}

// runTask runs a task until it completes, at most maxAttempts times.
func (s *simulation) runTask(job *simulatedJob, task int) {
	for range maxAttempts {
		m := s.rng.IntN(s.machines)
		block := m * s.blocks / s.machines
		fails := job.bad || task == job.badTask || s.rng.Float64() < s.imageRate[job.image] ||
			s.rng.Float64() < s.backgroundRate || s.rng.Float64() < s.blockRate[block]
		machineFails := s.rng.Float64() < s.machineRate[m]
		o := &Outcome{
			Machine: s.names[m],
			Job:     job.id,
			Task:    wire.TaskIndex(task),
			Array:   job.tasks > 1,
			Image:   wire.Image(fmt.Sprint("img-", job.image)),
			Class:   "c",
			Block:   fmt.Sprint("b", block),
			Failed:  fails || machineFails,
			At:      s.now,
		}
		s.assigned[m]++
		s.result.tasks++
		if machineFails && !fails {
			s.result.lostTasks++
		}
		s.rule.observe(o)
		if s.rule.faulty(o.Machine) {
			s.replace(m)
		}
		if !o.Failed {
			return
		}
	}
}

// replace replaces a machine that the rule considers faulty by a healthy one.
func (s *simulation) replace(m int) {
	if s.faulty[m] {
		s.result.found++
		s.result.tasksUntilFound = append(s.result.tasksUntilFound, s.assigned[m])
	} else {
		s.result.wrong++
	}
	s.names[m] += "'"
	s.assigned[m], s.faulty[m], s.machineRate[m] = 0, false, 0
}
