package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRounds and minChange end the inference: after so many rounds, or once no rate changes by more.
	maxRounds = 8
	minChange = 1e-3
	// maxNearFailures is how many failures of a cause lead to other causes that are inferred with it.
	maxNearFailures = 24
	// minProbability keeps logarithms of probabilities finite.
	minProbability = 1e-9
)

// Bounds and priors of what is learned from all outcomes. The priors are in jobs, tasks and failures.
const (
	minAccidentRate       = 1e-5
	maxAccidentRate       = 1e-2
	accidentPriorFailures = 2
	accidentPriorOutcomes = 1000
	jobShareWeight        = 50
	taskShareWeight       = 200
)

// scope is the beliefs that are inferred together, by kind of cause.
type scope struct {
	pass    int
	beliefs [causeKinds][]*belief
}

// add adds a belief, once.
func (s *scope) add(b *belief) {
	if b.pass != s.pass {
		b.pass = s.pass
		s.beliefs[b.Kind] = append(s.beliefs[b.Kind], b)
	}
}

// addNear adds the beliefs about the causes that share the latest failures of a cause. Of an image or a
// block, which many share, all failures count: half of them would still be explained as before.
func (s *scope) addNear(b *belief) {
	failures := b.failures
	if b.Kind != CauseImage && b.Kind != CauseBlock {
		failures = failures[max(0, len(failures)-maxNearFailures):]
	}
	for _, f := range failures {
		for _, other := range f.beliefs() {
			s.add(other)
		}
	}
}

// settle infers anew the beliefs that are queued, and those about causes that share failures with them. It
// starts from the priors: with the beliefs so far a cause would not be blamed that explains everything
// better. It does nothing within settleInterval of the last time.
func (j *Judge) settle() {
	if len(j.queue) == 0 || j.now.Sub(j.settledAt) < settleInterval {
		return
	}
	j.settledAt = j.now
	s := j.takeQueue()
	all := slices.Concat(s.beliefs[:]...)
	j.inferBest(s, all)
	for _, b := range all {
		j.confirm(b)
	}
	j.learnShares()
}

// takeQueue empties the queue and returns the beliefs to be inferred.
func (j *Judge) takeQueue() *scope {
	j.passes++
	s := &scope{pass: j.passes}
	for _, b := range j.queue {
		b.queued = false
		if len(b.failures) > 0 {
			s.add(b)
			s.addNear(b)
		}
	}
	for _, kind := range []CauseKind{CauseMachine, CauseImage, CauseBlock} {
		for _, b := range slices.Clone(s.beliefs[kind]) {
			s.addNear(b)
		}
	}
	j.queue = nil
	return s
}

// inferBest infers the beliefs of a scope, all of which are listed in all, in each of inferenceOrders, and
// leaves them as in the likeliest explanation.
func (j *Judge) inferBest(s *scope, all []*belief) {
	best := make([]belief, len(all))
	highest := 0.0
	for n, order := range inferenceOrders {
		j.infer(s, order)
		likelihood := j.logLikelihood(all)
		if n == 0 || likelihood > highest {
			highest = likelihood
			for i, b := range all {
				best[i] = *b
			}
		}
	}
	for i, b := range all {
		b.rate, b.probability = best[i].rate, best[i].probability
	}
}

// prior returns the probability that a cause of a kind is faulty before its outcomes are considered. That
// of jobs and tasks is learned: on some days every tenth is.
func (j *Judge) prior(k CauseKind) float64 {
	switch k {
	case CauseMachine:
		return j.priors.Faulty
	case CauseJob, CauseTask:
		return min(maxLearnedShare, max(faultyShares[k], j.learnedShare[k]))
	}
	return faultyShares[k]
}

// completionProbability returns how likely a failed task would have completed but for one of its causes;
// nil: for none of them.
func (j *Judge) completionProbability(f *failure, but *belief) float64 {
	probability := 1 - j.accidentRate
	for _, b := range f.beliefs() {
		if b != but {
			probability *= 1 - b.rate
		}
	}
	return probability
}

// infer infers the beliefs of a scope, starting from the priors, in an order of their kinds, until they no
// longer change.
func (j *Judge) infer(s *scope, order [causeKinds]CauseKind) {
	for _, list := range s.beliefs {
		for _, b := range list {
			b.rate = j.prior(b.Kind)
		}
	}
	for range maxRounds {
		change := 0.0
		for _, kind := range order {
			for _, b := range s.beliefs[kind] {
				before := b.rate
				j.update(b)
				change = max(change, math.Abs(b.rate-before))
			}
		}
		if change < minChange {
			return
		}
	}
}

// logLikelihood returns the logarithm of how likely some beliefs, and the outcomes given them, are.
func (j *Judge) logLikelihood(all []*belief) float64 {
	j.passes++
	sum := 0.0
	for _, b := range all {
		// A belief costs as much as it is unlikely before any outcome.
		prior, probability := j.prior(b.Kind), min(1-minProbability, max(minProbability, b.probability))
		sum += probability*math.Log(prior/probability) + (1-probability)*math.Log((1-prior)/(1-probability))
		sum += probability * j.logLikelihoodOfCompleted(b, min(maxFailureRate, b.rate/probability))
		for _, f := range b.failures {
			if f.pass != j.passes {
				f.pass = j.passes
				sum += j.logLikelihoodOfFailure(f)
			}
		}
	}
	return sum
}

// logLikelihoodOfCompleted returns the logarithm of how likely a faulty cause with a failure rate is to have
// completed the tasks that it did.
func (j *Judge) logLikelihoodOfCompleted(b *belief, rate float64) float64 {
	completed := j.completed[b.SuspectedCause]
	result := completed * math.Log(1-rate)
	if b.Kind == CauseMachine || b.Kind == CauseBlock {
		// It may be faulty since its first failure only, which is one time of many.
		since := completed - b.failures[0].completedBeforeOf(b)
		result = max(result, max(0, since)*math.Log(1-rate)-math.Log(completed+1))
	}
	if b.Kind != CauseJob && b.Kind != CauseTask {
		result -= math.Log(float64(len(failureRates))) // its rate is one of several
	}
	return result
}

// logLikelihoodOfFailure returns the logarithm of how likely a failure is, on average over which of its
// causes are faulty: causes that may all be faulty explain it less well than one that certainly is.
func (j *Judge) logLikelihoodOfFailure(f *failure) float64 {
	sum := 0.0
	for faulty := range 1 << f.causeCount { // a set of causes, as bits
		weight, completion := 1.0, 1-j.accidentRate
		for i, b := range f.beliefs() {
			if faulty&(1<<i) != 0 {
				weight *= b.probability
				completion *= 1 - min(maxFailureRate, b.rate/max(b.probability, minProbability))
			} else {
				weight *= 1 - b.probability
			}
		}
		if weight > minProbability {
			sum += weight * math.Log(1-completion)
		}
	}
	return sum
}

// update infers the belief about one cause from those about the others.
func (j *Judge) update(b *belief) {
	prior := j.prior(b.Kind)
	completion := make([]float64, len(b.failures))
	for i, f := range b.failures {
		completion[i] = j.completionProbability(f, b)
	}
	completed := j.completed[b.SuspectedCause]
	var weights [len(failureRates)]float64 // logarithms, of being faulty with each rate
	for r, rate := range failureRates {
		best := bestOnset(b, rate, completion, completed)
		weights[r] = best + math.Log(prior*rateShares[b.Kind][r]) - math.Log(float64(len(b.failures)))
	}
	sound := math.Log(1 - prior)
	highest := max(sound, slices.Max(weights[:]))
	total, rate := math.Exp(sound-highest), 0.0
	for r := range failureRates {
		weight := math.Exp(weights[r] - highest)
		total += weight
		rate += weight * failureRates[r]
	}
	b.rate, b.probability = rate/total, 1-math.Exp(sound-highest)/total
}

// bestOnset returns the logarithm of how much likelier a cause's outcomes are if it fails its tasks with a
// rate than if it is sound, for the likeliest time since which it may: that of any of its failures, or, as
// that of the first failure, the time when it was first seen. completion is how likely each of its failed
// tasks would have completed but for the cause, completed how many tasks did.
func bestOnset(b *belief, rate float64, completion []float64, completed float64) float64 {
	best, failed := math.Inf(-1), 0.0
	for i := len(b.failures) - 1; i >= 0; i-- {
		failed += math.Log(1-(1-rate)*completion[i]) - math.Log(1-completion[i])
		before := 0.0
		if i > 0 {
			before = b.failures[i].completedBeforeOf(b)
		}
		if v := failed + max(0, completed-before)*math.Log(1-rate); v > best {
			best = v
		}
	}
	return best
}

// confirm keeps the time since which a cause is believed faulty. The belief stands until the contrary is
// likelier: a failure that is yet to be explained makes it waver.
func (j *Judge) confirm(b *belief) {
	switch {
	case b.probability < likely:
		b.confirmedSince = time.Time{}
	case b.probability > 1-j.priors.Wrong && b.confirmedSince.IsZero():
		b.confirmedSince = j.now
	}
}

// learnShares learns the rate of accidents from the failures that no cause explains, and the shares of jobs
// and tasks that are faulty.
func (j *Judge) learnShares() {
	accidents := 0.0
	for _, f := range j.failures {
		accidents += j.accidentRate / max(j.accidentRate, 1-j.completionProbability(f, nil))
	}
	var faulty [causeKinds]float64
	for _, b := range j.beliefs {
		if b.Kind == CauseJob || b.Kind == CauseTask {
			faulty[b.Kind] += b.probability
		}
	}
	j.learnedShare[CauseJob] = faulty[CauseJob] / (j.jobsSeen + jobShareWeight)
	j.learnedShare[CauseTask] = faulty[CauseTask] / (j.completedTotal + taskShareWeight)
	outcomes := j.completedTotal + float64(len(j.failures)) + accidentPriorOutcomes
	j.accidentRate = min(maxAccidentRate, max(minAccidentRate, (accidents+accidentPriorFailures)/outcomes))
}
