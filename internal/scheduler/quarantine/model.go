// Package quarantine detects faulty and slow machines by Bayesian inference from the outcomes of tasks
// (docs/quarantine.md). Acting on a result, such as returning a machine, is left to the callers.
//
// # Model
//
// A failed task has a cause: its machine, its job, the individual task, its image, or the topology block of its
// machine; or it is a background failure, which doesn't recur. Each possible cause is either healthy or faulty, in
// which case it fails its tasks at some rate; a task completes only if none of its causes fails it (noisy-OR). So
// a completed task is evidence in favor of all its causes, the more so the higher the rate in question, and a
// failed task is evidence against each cause to the extent that the other causes don't explain the failure. The
// belief about each cause is updated in turn, given the beliefs about the others, until they converge (mean-field
// approximation).
//
// Slowness is detected separately: a machine is slow if its tasks take longer than tasks of the same job or class
// elsewhere, by a sequential test on the logarithm of the run time ratio.
//
// # Types
//
// Detector holds outcomes and draws the conclusions; Outcome is how a task ended; SuspectedCause identifies a
// possible cause; Diagnosis is the result for a machine, which Detector.Explain supplements by its evidence and
// WriteJudgement prints.
//
// A Detector does no I/O and takes the current time from the outcomes. It has no lock of its own: it is used under
// that of the watch cache.
package quarantine

import (
	"time"

	"maddermill/wire"
)

// CauseKind is the kind of a possible cause of a task's failure.
type CauseKind uint8

// Kinds of causes.
const (
	CauseMachine CauseKind = iota
	CauseJob
	CauseTask
	CauseImage
	CauseBlock
	numCauseKinds // number of kinds
)

// String returns the name of the kind as used in explanations.
func (k CauseKind) String() string {
	return [...]string{"machine", "job", "task", "image", "block"}[k]
}

// SuspectedCause identifies a possible cause of failures.
type SuspectedCause struct {
	Kind CauseKind
	Name string         // of the machine, job, image or block; for a task that of its job
	Task wire.TaskIndex // for a task its index
}

// machineCause returns a machine as a possible cause.
func machineCause(m wire.MachineID) SuspectedCause {
	return SuspectedCause{Kind: CauseMachine, Name: string(m)}
}

// jobCause returns a job as a possible cause.
func jobCause(id wire.JobID) SuspectedCause { return SuspectedCause{Kind: CauseJob, Name: string(id)} }

// taskCause returns one task of an array as a possible cause.
func taskCause(id wire.JobID, task wire.TaskIndex) SuspectedCause {
	return SuspectedCause{Kind: CauseTask, Name: string(id), Task: task}
}

// Outcome is how a task ended: it completed or failed. Spot reclaims, stops and expired leases don't count as
// outcomes, since none of the causes is responsible for them.
type Outcome struct {
	Machine  wire.MachineID
	Job      wire.JobID
	Task     wire.TaskIndex
	Array    bool // the tasks of its job run and fail independently
	Image    wire.Image
	Class    wire.Class
	Block    string // of the machine; "" if no topology is declared
	Failed   bool
	Ran      time.Duration // 0: unknown
	Expected time.Duration // run time expected before it ran; 0: unknown
	FromPeer bool          // received from another controller
	At       time.Time
}

// Indexes of the machine and the job in the causes of every outcome.
const (
	machineIndex = 0
	jobIndex     = 1
)

// causeList lists the possible causes of an outcome.
type causeList struct {
	causes [numCauseKinds]SuspectedCause
	n      int
}

// add appends a cause.
func (l *causeList) add(c SuspectedCause) {
	l.causes[l.n] = c
	l.n++
}

// causesOf returns the possible causes of an outcome. Tasks are causes in arrays only, since the tasks of a gang
// fail together, and not every machine has a block. Image and block of an outcome shared by a peer are left out:
// their completions elsewhere aren't shared, and failures alone would make any image or block look faulty.
func causesOf(o *Outcome) causeList {
	var list causeList
	list.add(machineCause(o.Machine))
	list.add(jobCause(o.Job))
	if o.Array {
		list.add(taskCause(o.Job, o.Task))
	}
	if o.FromPeer {
		return list
	}
	if o.Image != "" {
		list.add(SuspectedCause{Kind: CauseImage, Name: string(o.Image)})
	}
	if o.Block != "" {
		list.add(SuspectedCause{Kind: CauseBlock, Name: o.Block})
	}
	return list
}

// Priors are the probabilities configured by operators.
type Priors struct {
	FaultyFraction     float64 // prior probability that a machine is faulty
	FalseDiscoveryRate float64 // acceptable share of healthy machines among those considered faulty
}

// DefaultPriors apply to clusters without settings of their own: one machine in 100 is faulty, and one machine in
// 250 that is considered faulty is not.
var DefaultPriors = Priors{FaultyFraction: 1.0 / 100, FalseDiscoveryRate: 1.0 / 250}

// failureRates are the rates at which a faulty cause may fail its tasks.
var failureRates = [...]float64{0.08, 0.2, 0.5, 0.9, 0.999}

// maxFailureRate is the highest of failureRates.
const maxFailureRate = 0.999

// ratePriors is the prior distribution of failureRates for faulty causes of each kind. A job with a mistake, or a
// task with a bad input, fails wherever it runs.
var ratePriors = [numCauseKinds][len(failureRates)]float64{
	CauseMachine: {0.25, 0.25, 0.2, 0.15, 0.15},
	CauseJob:     {0.0005, 0.0005, 0.001, 0.008, 0.99},
	CauseTask:    {0.0005, 0.0005, 0.001, 0.008, 0.99},
	CauseImage:   {0.05, 0.05, 0.2, 0.3, 0.4},
	CauseBlock:   {0.25, 0.25, 0.2, 0.15, 0.15},
}

// faultPriors are the prior probabilities that a cause is faulty; that of machines is configured (Priors).
var faultPriors = [numCauseKinds]float64{
	CauseMachine: 0,
	CauseJob:     1.0 / 50,
	CauseTask:    1.0 / 200,
	CauseImage:   1.0 / 200,
	CauseBlock:   1.0 / 1000,
}

// maxLearnedPrior is the upper bound of the learned priors of jobs and tasks.
const maxLearnedPrior = 0.2

// inferenceOrders are the orders in which the beliefs about kinds of causes are updated. Kinds that are updated
// first explain failures that later kinds might explain as well; of the two results, the one with the higher
// overall likelihood is used.
var inferenceOrders = [...][numCauseKinds]CauseKind{
	{CauseBlock, CauseImage, CauseJob, CauseTask, CauseMachine},
	{CauseBlock, CauseJob, CauseTask, CauseMachine, CauseImage},
}

// likelyThreshold is the probability above which failures are attributed to a cause.
const likelyThreshold = 0.5
