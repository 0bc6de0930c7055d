package quarantine

import (
	"math"

	"maddermill/wire"
)

const (
	// slowFactor is by how much longer the tasks of a slow machine take, at the least.
	slowFactor = 1.5
	// maxResidual bounds the logarithm of a task's ratio, so that one odd task is not enough.
	maxResidual = 1.0
	// minJobTasks is how many tasks of a job must have completed for others to be compared with them,
	// rather than with their class.
	minJobTasks = 3
	// minSlowTasks is how many tasks a machine must have been slow for to be judged slow.
	minSlowTasks = 5
	// spreadFade is the weight of older tasks in a spread with each new one.
	spreadFade = 0.995

	// A spread has a standard deviation of priorDeviation before any task, which weighs as much as
	// priorDeviationTasks of them, and never less than minDeviation; all of logarithms.
	priorDeviation      = 0.25
	priorDeviationTasks = 8
	minDeviation        = 0.05
)

// pace is the state of a machine's sequential test: it begins anew whenever its score is not above 0.
type pace struct {
	score     float64 // logarithm of the likelihood ratio of being slow and not
	residuals float64 // sum of the logarithms by which its tasks took longer
	tasks     float64
}

// spread is the distribution of the logarithms of run times divided by what was expected. A nil spread has
// no tasks.
type spread struct{ tasks, sum, squares float64 }

// add adds a task's logarithm.
func (s *spread) add(x float64) {
	s.tasks = s.tasks*spreadFade + 1
	s.sum = s.sum*spreadFade + x
	s.squares = s.squares*spreadFade + x*x
}

// estimate returns the mean and the standard deviation, which is drawn to priorDeviation where there are few
// tasks.
func (s *spread) estimate() (mean, deviation float64) {
	if s == nil || s.tasks < 1 {
		return 0, priorDeviation
	}
	mean = s.sum / s.tasks
	variance := (s.squares - s.tasks*mean*mean + priorDeviationTasks*priorDeviation*priorDeviation) /
		(s.tasks + priorDeviationTasks)
	return mean, math.Sqrt(max(variance, minDeviation*minDeviation))
}

// observeSpeed records how long a completed task ran, if that and its expectation are known.
func (j *Judge) observeSpeed(o *Outcome) {
	if o.Ran <= 0 || o.Expected <= 0 {
		return
	}
	logRatio := math.Log(o.Ran.Seconds() / o.Expected.Seconds())
	class, job := j.classSpreads[o.Class], j.jobSpreads[o.Job]
	mean, deviation := class.estimate()
	if job != nil && job.tasks >= minJobTasks {
		// A job's own estimate may be wrong for all its tasks.
		mean, deviation = job.estimate()
	}
	if class == nil {
		class = new(spread)
		j.classSpreads[o.Class] = class
	}
	if job == nil {
		job = new(spread)
		j.jobSpreads[o.Job] = job
	}
	machine := j.paces[o.Machine]
	if machine == nil {
		machine = new(pace)
		j.paces[o.Machine] = machine
	}
	machine.add(logRatio-mean, deviation)
	if slow, _ := j.Slow(o.Machine); !slow { // a slow machine is no evidence of how long tasks take
		class.add(logRatio)
		job.add(logRatio)
	}
}

// add adds a task, which took longer than others by a logarithm whose standard deviation is given.
func (p *pace) add(residual, deviation float64) {
	residual = min(maxResidual, max(-maxResidual, residual))
	slow := math.Log(slowFactor)
	p.score += (slow*residual - slow*slow/2) / (deviation * deviation)
	if p.score <= 0 {
		*p = pace{}
		return
	}
	p.residuals += residual
	p.tasks++
}

// Slow reports whether a machine's tasks take longer than others', and by what factor; 1 if they don't.
func (j *Judge) Slow(m wire.MachineID) (slow bool, factor float64) {
	p := j.paces[m]
	if p == nil || p.tasks < minSlowTasks || p.score < j.logOddsLimit()-math.Log(j.priors.Faulty) {
		return false, 1
	}
	return true, math.Exp(p.residuals / p.tasks)
}
