// Package quarantine judges which machines are faulty or slow, by likelihood over which tasks failed where
// (docs/quarantine.md). What follows from a judgement, such as the return of a machine, is the business of
// others.
//
// # Model
//
// A task that fails has a cause: its machine, its job, the one task, its image, or the block that its
// machine is in; or an accident, which does not recur. Each cause is sound, or fails its tasks with some
// rate; a task completes only if none of its causes fails it (a noisy or). So a completed task is evidence
// for all its causes, by as much as their rate would be, and a failed one against each by as much as the
// others don't explain it. Causes are judged in turn, each by the beliefs about the others, until the
// beliefs no longer change (mean field).
//
// Slowness is judged apart: a machine is slow if its tasks take longer than others of their job and class
// do elsewhere, by a sequential test of the ratio's logarithm.
//
// # Types
//
// Judge holds outcomes and judges by them; Outcome is how a task ended; SuspectedCause names a cause;
// Verdict is the judgement of a machine, which Judge.Explain explains and Write puts into words.
//
// A Judge does no I/O and is given the time by its outcomes. It has no lock: it is used under the watch
// cache's.
package quarantine

import (
	"time"

	"maddermill/wire"
)

// CauseKind is a kind of cause that a task's failure may have.
type CauseKind uint8

// Kinds of causes.
const (
	CauseMachine CauseKind = iota
	CauseJob
	CauseTask
	CauseImage
	CauseBlock
	causeKinds // their number
)

// String returns the name of the kind, as explanations have it.
func (k CauseKind) String() string {
	return [...]string{"machine", "job", "task", "image", "block"}[k]
}

// SuspectedCause is a possible cause of failures.
type SuspectedCause struct {
	Kind CauseKind
	Name string         // of the machine, job, image or block; of a task its job's
	Task wire.TaskIndex // of a task
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

// Outcome is how a task ended that one of its causes may be blamed for: completed or failed. Reclaims,
// stops and expired leases are no outcomes.
type Outcome struct {
	Machine  wire.MachineID
	Job      wire.JobID
	Task     wire.TaskIndex
	Array    bool // its job's tasks fail each by itself
	Image    wire.Image
	Class    wire.Class
	Block    string // of the machine; "" if no topology is declared
	Failed   bool
	Ran      time.Duration // 0: unknown
	Expected time.Duration // before it ran; 0: unknown
	FromPeer bool          // another controller has shared it
	At       time.Time
}

// The causes of every outcome begin with its machine and its job.
const (
	machineAt = 0
	jobAt     = 1
)

// causeList is the possible causes of an outcome.
type causeList struct {
	causes [causeKinds]SuspectedCause
	n      int
}

// add appends a cause.
func (l *causeList) add(c SuspectedCause) {
	l.causes[l.n] = c
	l.n++
}

// causesOf returns the possible causes of an outcome: a gang has no task of its own, and not all have a
// block. Of one that a peer has shared, image and block are left out: how they did elsewhere is not
// shared, and failures alone would make any of them look faulty.
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

// Priors are the probabilities that the operators set.
type Priors struct {
	Faulty float64 // the share of machines that are faulty, before anything is observed
	Wrong  float64 // the share of machines judged faulty that may be sound
}

// DefaultPriors are those of a cluster without settings of its own: one machine in a hundred is faulty, and one
// judgement in 250 is wrong.
var DefaultPriors = Priors{Faulty: 1.0 / 100, Wrong: 1.0 / 250}

// failureRates are those with which a faulty cause may fail its tasks.
var failureRates = [...]float64{0.08, 0.2, 0.5, 0.9, 0.999}

// maxFailureRate is the highest of failureRates.
const maxFailureRate = 0.999

// rateShares are how often a faulty cause of a kind has each of failureRates. A job with a mistake, or a
// task with a bad input, fails wherever it runs.
var rateShares = [causeKinds][len(failureRates)]float64{
	CauseMachine: {0.25, 0.25, 0.2, 0.15, 0.15},
	CauseJob:     {0.0005, 0.0005, 0.001, 0.008, 0.99},
	CauseTask:    {0.0005, 0.0005, 0.001, 0.008, 0.99},
	CauseImage:   {0.05, 0.05, 0.2, 0.3, 0.4},
	CauseBlock:   {0.25, 0.25, 0.2, 0.15, 0.15},
}

// faultyShares are the shares of causes that are faulty, before anything is observed; that of machines is
// the operators' (Priors).
var faultyShares = [causeKinds]float64{
	CauseMachine: 0,
	CauseJob:     1.0 / 50,
	CauseTask:    1.0 / 200,
	CauseImage:   1.0 / 200,
	CauseBlock:   1.0 / 1000,
}

// maxLearnedShare bounds the learned shares of jobs and tasks that are faulty.
const maxLearnedShare = 0.2

// inferenceOrders are the orders in which kinds of causes are judged. What is judged first explains what
// others might explain as well; of the two explanations the likelier one as a whole counts.
var inferenceOrders = [...][causeKinds]CauseKind{
	{CauseBlock, CauseImage, CauseJob, CauseTask, CauseMachine},
	{CauseBlock, CauseJob, CauseTask, CauseMachine, CauseImage},
}

// likely is the probability of a cause above which an explanation names it.
const likely = 0.5
