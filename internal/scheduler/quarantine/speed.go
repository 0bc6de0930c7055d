package quarantine

import (
	"math"

	"maddermill/wire"
)

const (
	// slowFactor is the minimum factor by which tasks take longer on a slow machine.
	slowFactor = 1.5
	// maxResidual bounds the logarithm of a task's run time ratio, so that a single outlier isn't decisive.
	maxResidual = 1.0
	// minJobTasks is the number of completed tasks of a job from which on its other tasks are compared with them
	// rather than with their class.
	minJobTasks = 3
	// minSlowTasks is the minimum number of tasks in the sequential test for a machine to be considered slow.
	minSlowTasks = 5
	// statsDecay is the factor by which each new task reduces the weight of earlier ones.
	statsDecay = 0.995

	// priorDeviation is the prior standard deviation of the logarithms, with the weight of priorDeviationTasks
	// tasks. The estimated standard deviation is at least minDeviation.
	priorDeviation      = 0.25
	priorDeviationTasks = 8
	minDeviation        = 0.05
)

// slownessTest is the state of a machine's sequential test (CUSUM), which restarts whenever its score is not above 0.
type slownessTest struct {
	score     float64 // logarithm of the likelihood ratio, slow to not slow
	residuals float64 // sum of the deviations of the tasks' logarithms from the mean
	tasks     float64
}

// logRatioStats describes the distribution of the logarithms of the ratio of actual to expected run time. Nil is
// empty.
type logRatioStats struct{ tasks, sum, squares float64 }

// add adds the logarithm of a task's run time ratio.
func (s *logRatioStats) add(x float64) {
	s.tasks = s.tasks*statsDecay + 1
	s.sum = s.sum*statsDecay + x
	s.squares = s.squares*statsDecay + x*x
}

// estimate returns the mean and the standard deviation, which is shrunk towards priorDeviation if there are few
// tasks.
func (s *logRatioStats) estimate() (mean, deviation float64) {
	if s == nil || s.tasks < 1 {
		return 0, priorDeviation
	}
	mean = s.sum / s.tasks
	variance := (s.squares - s.tasks*mean*mean + priorDeviationTasks*priorDeviation*priorDeviation) /
		(s.tasks + priorDeviationTasks)
	return mean, math.Sqrt(max(variance, minDeviation*minDeviation))
}

// observeRunTime records the run time of a completed task, if it and the expected run time are known.
func (d *Detector) observeRunTime(o *Outcome) {
	if o.Ran <= 0 || o.Expected <= 0 {
		return
	}
	logRatio := math.Log(o.Ran.Seconds() / o.Expected.Seconds())
	class, job := d.classStats[o.Class], d.jobStats[o.Job]
	mean, deviation := class.estimate()
	if job != nil && job.tasks >= minJobTasks {
		// The job's estimate may be off by the same factor for all its tasks.
		mean, deviation = job.estimate()
	}
	if class == nil {
		class = new(logRatioStats)
		d.classStats[o.Class] = class
	}
	if job == nil {
		job = new(logRatioStats)
		d.jobStats[o.Job] = job
	}
	machine := d.slownessTests[o.Machine]
	if machine == nil {
		machine = new(slownessTest)
		d.slownessTests[o.Machine] = machine
	}
	machine.add(logRatio-mean, deviation)
	if slow, _ := d.Slow(o.Machine); !slow { // slow machines would bias the statistics
		class.add(logRatio)
		job.add(logRatio)
	}
}

// add adds a task. residual is the deviation of its logarithm from the mean, deviation the standard deviation.
func (t *slownessTest) add(residual, deviation float64) {
	residual = min(maxResidual, max(-maxResidual, residual))
	slow := math.Log(slowFactor)
	t.score += (slow*residual - slow*slow/2) / (deviation * deviation)
	if t.score <= 0 {
		*t = slownessTest{}
		return
	}
	t.residuals += residual
	t.tasks++
}

// Slow reports whether tasks take longer on a machine than elsewhere, and by what factor; 1 if they don't.
func (d *Detector) Slow(m wire.MachineID) (slow bool, factor float64) {
	test := d.slownessTests[m]
	if test == nil || test.tasks < minSlowTasks || test.score < d.logOddsThreshold()-math.Log(d.priors.FaultyFraction) {
		return false, 1
	}
	return true, math.Exp(test.residuals / test.tasks)
}
