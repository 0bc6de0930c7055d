package quarantine

import (
	"math"
	"slices"
	"time"

	"maddermill/wire"
)

// Limits of the failures that a detector retains.
const (
	maxFailures       = 1024
	maxFailuresPerJob = 4 // more failures of one job add no evidence
	failureRetention  = 6 * time.Hour
)

const (
	// inferenceInterval is the minimum time between two inferences.
	inferenceInterval = 10 * time.Second
	// confirmationPeriod is how long a machine must be believed faulty to be reported as faulty. Meanwhile its failed
	// tasks are retried elsewhere, which yields further evidence.
	confirmationPeriod = 5 * time.Minute
	// initialBackgroundRate is the rate of background failures assumed before any outcome.
	initialBackgroundRate = 2e-3
)

// Detector collects outcomes of tasks and detects faulty and slow machines.
type Detector struct {
	priors Priors
	now    time.Time // of the latest outcome

	// Outcomes.
	completed      map[SuspectedCause]float64 // tasks, by cause
	completedTotal float64                    // tasks
	jobsSeen       float64
	failures       []*failure // in the order in which they were observed
	failuresPerJob map[wire.JobID]int

	// Inference.
	beliefs        map[SuspectedCause]*belief // about the causes of failures
	backgroundRate float64                    // rate of failures that none of the causes explains
	learnedPriors  [numCauseKinds]float64     // share of recent jobs and tasks that are faulty
	queue          []*belief                  // beliefs to be recomputed
	inferredAt     time.Time                  // time of the last inference
	passes         int                        // numbers the traversals of beliefs and failures

	// Slowness.
	slownessTests map[wire.MachineID]*slownessTest
	classStats    map[wire.Class]*logRatioStats
	jobStats      map[wire.JobID]*logRatioStats
}

// failure is a failed outcome with the beliefs about its possible causes.
type failure struct {
	Outcome
	causes          [numCauseKinds]*belief
	causeCount      int
	completedBefore [numCauseKinds]float64 // number of tasks completed earlier, by cause
	pass            int                    // the traversal that last visited it
}

// beliefs returns the beliefs about the failure's possible causes.
func (f *failure) beliefs() []*belief { return f.causes[:f.causeCount] }

// completedBeforeFor returns how many tasks one of the failure's causes had completed before the failure.
func (f *failure) completedBeforeFor(b *belief) float64 {
	return f.completedBefore[slices.Index(f.beliefs(), b)]
}

// belief is the current belief about a possible cause of failures.
type belief struct {
	SuspectedCause
	rate           float64 // expected failure rate, averaged over whether it is faulty
	probability    float64 // that it is faulty
	failures       []*failure
	queued         bool
	pass           int       // the traversal that last visited it
	confirmedSince time.Time // since when it is believed faulty; zero: not believed faulty
}

// NewDetector returns a detector without observations.
func NewDetector(priors Priors) *Detector {
	return &Detector{
		priors:         priors,
		completed:      map[SuspectedCause]float64{},
		failuresPerJob: map[wire.JobID]int{},
		beliefs:        map[SuspectedCause]*belief{},
		backgroundRate: initialBackgroundRate,
		slownessTests:  map[wire.MachineID]*slownessTest{},
		classStats:     map[wire.Class]*logRatioStats{},
		jobStats:       map[wire.JobID]*logRatioStats{},
	}
}

// Observe records an outcome.
func (d *Detector) Observe(o *Outcome) {
	if o.At.After(d.now) {
		d.now = o.At
	}
	list := causesOf(o)
	if job := list.causes[jobIndex]; !d.hasSeenJob(job) {
		d.completed[job] = 0
		d.jobsSeen++
	}
	if o.Failed {
		d.observeFailure(o, &list)
		return
	}
	d.observeCompletion(&list)
	d.observeRunTime(o)
}

// hasSeenJob reports whether an outcome of a job has been observed.
func (d *Detector) hasSeenJob(job SuspectedCause) bool {
	_, seen := d.completed[job]
	return seen
}

// observeCompletion counts a completed task for all its causes.
func (d *Detector) observeCompletion(list *causeList) {
	d.completedTotal++
	for i := range list.n {
		cause := &list.causes[i]
		b := d.beliefs[*cause]
		if cause.Kind == CauseTask && b == nil {
			continue // a task completes only once, which is no evidence unless it failed before
		}
		d.completed[*cause]++
		if b != nil && (b.Kind == CauseTask || b.Kind == CauseJob) {
			d.enqueue(b) // it is able to complete, so its failures have other causes
		}
	}
}

// observeFailure adds a failure, which replaces an old one if a limit is reached.
func (d *Detector) observeFailure(o *Outcome, list *causeList) {
	if d.failuresPerJob[o.Job] >= maxFailuresPerJob {
		d.removeFailure(slices.IndexFunc(d.failures, func(f *failure) bool { return f.Job == o.Job }))
	} else if len(d.failures) == maxFailures {
		d.removeFailure(0)
	}
	f := &failure{Outcome: *o, causeCount: list.n}
	for i, cause := range list.causes[:list.n] {
		b := d.beliefs[cause]
		if b == nil {
			b = &belief{SuspectedCause: cause, rate: d.prior(cause.Kind)}
			d.beliefs[cause] = b
		}
		f.causes[i], f.completedBefore[i] = b, d.completed[cause]
		b.failures = append(b.failures, f)
		d.enqueue(b)
	}
	d.failures = append(d.failures, f)
	d.failuresPerJob[o.Job]++
}

// enqueue schedules a belief to be recomputed.
func (d *Detector) enqueue(b *belief) {
	if !b.queued {
		b.queued = true
		d.queue = append(d.queue, b)
	}
}

// removeFailure removes the failure at an index, and the beliefs about causes that have no other failures.
func (d *Detector) removeFailure(at int) {
	dropped := d.failures[at]
	d.failures = slices.Delete(d.failures, at, at+1)
	if d.failuresPerJob[dropped.Job]--; d.failuresPerJob[dropped.Job] == 0 {
		delete(d.failuresPerJob, dropped.Job)
	}
	for _, b := range dropped.beliefs() {
		b.failures = slices.DeleteFunc(b.failures, func(f *failure) bool { return f == dropped })
		if len(b.failures) == 0 {
			delete(d.beliefs, b.SuspectedCause)
		} else {
			d.enqueue(b)
		}
	}
}

// logOddsThreshold returns the log odds required to consider a machine faulty or slow.
func (d *Detector) logOddsThreshold() float64 { return math.Log(1/d.priors.FalseDiscoveryRate - 1) }

// Diagnosis is the result of the detection for a machine.
type Diagnosis struct {
	Faulty      bool    // the fault is confirmed: it has been believed for confirmationPeriod
	Probability float64 // probability that it is faulty
	FailureRate float64 // expected share of its tasks that it fails
}

// Diagnose determines whether a machine fails tasks that would complete on other machines.
func (d *Detector) Diagnose(m wire.MachineID) Diagnosis {
	d.runInference()
	b := d.beliefs[machineCause(m)]
	if b == nil {
		return Diagnosis{Probability: d.priors.FaultyFraction}
	}
	confirmed := !b.confirmedSince.IsZero() && d.now.Sub(b.confirmedSince) >= confirmationPeriod
	return Diagnosis{
		Faulty:      confirmed && b.probability > 1-d.priors.FalseDiscoveryRate,
		Probability: b.probability,
		FailureRate: b.rate,
	}
}

// ForgetMachine drops the state of a machine that no longer exists. Its failures remain evidence about other causes.
func (d *Detector) ForgetMachine(m wire.MachineID) {
	delete(d.completed, machineCause(m))
	delete(d.slownessTests, m)
}

// Prune drops the failures that are older than failureRetention, and the state of jobs that are neither active nor
// have failures.
func (d *Detector) Prune(now time.Time, active func(wire.JobID) bool) {
	for len(d.failures) > 0 && now.Sub(d.failures[0].At) > failureRetention {
		d.removeFailure(0)
	}
	for cause := range d.completed {
		if cause.Kind != CauseJob && cause.Kind != CauseTask {
			continue
		}
		if id := wire.JobID(cause.Name); d.failuresPerJob[id] == 0 && !active(id) {
			delete(d.completed, cause)
		}
	}
	for id := range d.jobStats {
		if !active(id) {
			delete(d.jobStats, id)
		}
	}
}

// RecordProgress records how many tasks of a job have completed, on any machine, and which. A job or task that is
// able to complete is not the cause of its failures.
func (d *Detector) RecordProgress(job wire.JobID, completed int, isCompleted func(wire.TaskIndex) bool) {
	if d.failuresPerJob[job] == 0 {
		return
	}
	cause := jobCause(job)
	if float64(completed) > d.completed[cause] {
		d.completed[cause] = float64(completed)
		d.enqueue(d.beliefs[cause])
	}
	for _, f := range d.beliefs[cause].failures {
		task := taskCause(job, f.Task)
		if f.Array && d.completed[task] == 0 && isCompleted(f.Task) {
			d.completed[task] = 1
			d.enqueue(d.beliefs[task])
		}
	}
}
