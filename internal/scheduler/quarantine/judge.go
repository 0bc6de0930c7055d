package quarantine

import (
	"math"
	"slices"
	"time"

	"maddermill/wire"
)

// Bounds of a judge's memory.
const (
	maxFailures       = 1024
	maxFailuresPerJob = 4 // more failures of one job are no further evidence
	failureRetention  = 6 * time.Hour
)

const (
	// settleInterval is the least time between two inferences.
	settleInterval = 10 * time.Second
	// confirmPeriod is how long a judgement must stand, while failed tasks are tried elsewhere, before a
	// machine is judged faulty.
	confirmPeriod = 5 * time.Minute
	// initialAccidentRate is the rate of accidents that is assumed before any outcome.
	initialAccidentRate = 2e-3
)

// Judge holds outcomes and judges machines by them.
type Judge struct {
	priors Priors
	now    time.Time // of the latest outcome

	// Outcomes.
	completed      map[SuspectedCause]float64 // tasks, by cause
	completedTotal float64                    // tasks
	jobsSeen       float64
	failures       []*failure // in the order in which they were observed
	failuresPerJob map[wire.JobID]int

	// Inference.
	beliefs      map[SuspectedCause]*belief // about the causes of failures
	accidentRate float64                    // of failures that none of the causes explains
	learnedShare [causeKinds]float64        // of the jobs and tasks seen lately that are faulty
	queue        []*belief                  // to be inferred anew
	settledAt    time.Time                  // when beliefs were last inferred
	passes       int                        // numbers the traversals of beliefs and failures

	// Slowness.
	paces        map[wire.MachineID]*pace
	classSpreads map[wire.Class]*spread
	jobSpreads   map[wire.JobID]*spread
}

// failure is a failed outcome, with what is believed about its causes.
type failure struct {
	Outcome
	causes          [causeKinds]*belief
	causeCount      int
	completedBefore [causeKinds]float64 // tasks that each cause had completed before
	pass            int                 // the traversal that last visited it
}

// beliefs returns what is believed about the failure's causes.
func (f *failure) beliefs() []*belief { return f.causes[:f.causeCount] }

// completedBeforeOf returns how many tasks one of the failure's causes had completed before.
func (f *failure) completedBeforeOf(b *belief) float64 {
	return f.completedBefore[slices.Index(f.beliefs(), b)]
}

// belief is what is believed about a cause of failures.
type belief struct {
	SuspectedCause
	rate           float64 // expected share of its tasks that it fails
	probability    float64 // that it is faulty
	failures       []*failure
	queued         bool
	pass           int       // the traversal that last visited it
	confirmedSince time.Time // since when it is believed faulty; zero: it isn't
}

// NewJudge returns a judge that has observed nothing.
func NewJudge(priors Priors) *Judge {
	return &Judge{
		priors:         priors,
		completed:      map[SuspectedCause]float64{},
		failuresPerJob: map[wire.JobID]int{},
		beliefs:        map[SuspectedCause]*belief{},
		accidentRate:   initialAccidentRate,
		paces:          map[wire.MachineID]*pace{},
		classSpreads:   map[wire.Class]*spread{},
		jobSpreads:     map[wire.JobID]*spread{},
	}
}

// Observe records an outcome.
func (j *Judge) Observe(o *Outcome) {
	if o.At.After(j.now) {
		j.now = o.At
	}
	list := causesOf(o)
	if job := list.causes[jobAt]; !j.hasSeen(job) {
		j.completed[job] = 0
		j.jobsSeen++
	}
	if o.Failed {
		j.observeFailure(o, &list)
		return
	}
	j.observeCompletion(&list)
	j.observeSpeed(o)
}

// hasSeen reports whether an outcome of a job has been observed.
func (j *Judge) hasSeen(job SuspectedCause) bool {
	_, seen := j.completed[job]
	return seen
}

// observeCompletion counts a completed task for its causes.
func (j *Judge) observeCompletion(list *causeList) {
	j.completedTotal++
	for i := range list.n {
		cause := &list.causes[i]
		b := j.beliefs[*cause]
		if cause.Kind == CauseTask && b == nil {
			continue // a task completes once, so that it is no evidence without a failure
		}
		j.completed[*cause]++
		if b != nil && (b.Kind == CauseTask || b.Kind == CauseJob) {
			j.enqueue(b) // it can run, so its failures have other causes
		}
	}
}

// observeFailure adds a failure, in the place of an old one where the bounds are reached.
func (j *Judge) observeFailure(o *Outcome, list *causeList) {
	if j.failuresPerJob[o.Job] >= maxFailuresPerJob {
		j.drop(slices.IndexFunc(j.failures, func(f *failure) bool { return f.Job == o.Job }))
	} else if len(j.failures) == maxFailures {
		j.drop(0)
	}
	f := &failure{Outcome: *o, causeCount: list.n}
	for i, cause := range list.causes[:list.n] {
		b := j.beliefs[cause]
		if b == nil {
			b = &belief{SuspectedCause: cause, rate: j.prior(cause.Kind)}
			j.beliefs[cause] = b
		}
		f.causes[i], f.completedBefore[i] = b, j.completed[cause]
		b.failures = append(b.failures, f)
		j.enqueue(b)
	}
	j.failures = append(j.failures, f)
	j.failuresPerJob[o.Job]++
}

// enqueue has the belief about a cause inferred anew.
func (j *Judge) enqueue(b *belief) {
	if !b.queued {
		b.queued = true
		j.queue = append(j.queue, b)
	}
}

// drop forgets the failure at an index, and the beliefs about causes without other failures.
func (j *Judge) drop(at int) {
	dropped := j.failures[at]
	j.failures = slices.Delete(j.failures, at, at+1)
	if j.failuresPerJob[dropped.Job]--; j.failuresPerJob[dropped.Job] == 0 {
		delete(j.failuresPerJob, dropped.Job)
	}
	for _, b := range dropped.beliefs() {
		b.failures = slices.DeleteFunc(b.failures, func(f *failure) bool { return f == dropped })
		if len(b.failures) == 0 {
			delete(j.beliefs, b.SuspectedCause)
		} else {
			j.enqueue(b)
		}
	}
}

// logOddsLimit returns the logarithm of the odds from which on a machine is judged faulty or slow.
func (j *Judge) logOddsLimit() float64 { return math.Log(1/j.priors.Wrong - 1) }

// Verdict is the judgement of a machine.
type Verdict struct {
	Faulty      bool    // it has been believed faulty for long enough
	Probability float64 // that it is faulty
	FailureRate float64 // the share of its tasks that it is expected to fail
}

// Verdict judges whether a machine fails tasks that others would not.
func (j *Judge) Verdict(m wire.MachineID) Verdict {
	j.settle()
	b := j.beliefs[machineCause(m)]
	if b == nil {
		return Verdict{Probability: j.priors.Faulty}
	}
	confirmed := !b.confirmedSince.IsZero() && j.now.Sub(b.confirmedSince) >= confirmPeriod
	return Verdict{
		Faulty:      confirmed && b.probability > 1-j.priors.Wrong,
		Probability: b.probability,
		FailureRate: b.rate,
	}
}

// Forget drops what is known of a machine that is gone; its failures remain evidence about other causes.
func (j *Judge) Forget(m wire.MachineID) {
	delete(j.completed, machineCause(m))
	delete(j.paces, m)
}

// Prune drops the failures that are older than failureRetention, and what is known of jobs that are not
// active and have no failures.
func (j *Judge) Prune(now time.Time, active func(wire.JobID) bool) {
	for len(j.failures) > 0 && now.Sub(j.failures[0].At) > failureRetention {
		j.drop(0)
	}
	for cause := range j.completed {
		if cause.Kind != CauseJob && cause.Kind != CauseTask {
			continue
		}
		if id := wire.JobID(cause.Name); j.failuresPerJob[id] == 0 && !active(id) {
			delete(j.completed, cause)
		}
	}
	for id := range j.jobSpreads {
		if !active(id) {
			delete(j.jobSpreads, id)
		}
	}
}

// Progress records how many tasks of a job have completed, on whichever machine, and which: a job or task
// that can run is not the cause of its failures.
func (j *Judge) Progress(job wire.JobID, completed int, isCompleted func(wire.TaskIndex) bool) {
	if j.failuresPerJob[job] == 0 {
		return
	}
	cause := jobCause(job)
	if float64(completed) > j.completed[cause] {
		j.completed[cause] = float64(completed)
		j.enqueue(j.beliefs[cause])
	}
	for _, f := range j.beliefs[cause].failures {
		task := taskCause(job, f.Task)
		if f.Array && j.completed[task] == 0 && isCompleted(f.Task) {
			j.completed[task] = 1
			j.enqueue(j.beliefs[task])
		}
	}
}
