package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// The inference ends after maxRounds rounds, or after a round in which every rate changed by less than
	// minChange.
	maxRounds = 8
	minChange = 1e-3
	// maxRelatedFailures is the number of latest failures of a cause whose other causes are inferred along with it.
	maxRelatedFailures = 24
	// minProbability keeps the logarithms of probabilities finite.
	minProbability = 1e-9
)

// Bounds and priors of the parameters that are learned from all outcomes. The priors are pseudo-counts of failures,
// outcomes, jobs and tasks.
const (
	minBackgroundRate       = 1e-5
	maxBackgroundRate       = 1e-2
	backgroundPriorFailures = 2
	backgroundPriorOutcomes = 1000
	jobPriorWeight          = 50
	taskPriorWeight         = 200
)

// scope holds the beliefs that are inferred together, by kind of cause.
type scope struct {
	pass    int
	beliefs [numCauseKinds][]*belief
}

// add adds a belief unless the scope already contains it.
func (s *scope) add(b *belief) {
	if b.pass != s.pass {
		b.pass = s.pass
		s.beliefs[b.Kind] = append(s.beliefs[b.Kind], b)
	}
}

// addRelated adds the beliefs about all possible causes of the latest failures of a cause. For images and blocks,
// which are common to many failures, it considers all their failures: if only half of them were inferred again, the
// other half would keep their previous explanation.
func (s *scope) addRelated(b *belief) {
	failures := b.failures
	if b.Kind != CauseImage && b.Kind != CauseBlock {
		failures = failures[max(0, len(failures)-maxRelatedFailures):]
	}
	for _, f := range failures {
		for _, other := range f.beliefs() {
			s.add(other)
		}
	}
}

// runInference recomputes the queued beliefs and those about causes that have failures in common with them. It
// starts from the priors, since starting from the previous beliefs could miss a cause that explains everything
// better. It does nothing within inferenceInterval of the last inference.
func (d *Detector) runInference() {
	if len(d.queue) == 0 || d.now.Sub(d.inferredAt) < inferenceInterval {
		return
	}
	d.inferredAt = d.now
	s := d.drainQueue()
	all := slices.Concat(s.beliefs[:]...)
	d.inferBest(s, all)
	for _, b := range all {
		d.updateConfirmation(b)
	}
	d.learnPriors()
}

// drainQueue empties the queue and returns the beliefs to be recomputed.
func (d *Detector) drainQueue() *scope {
	d.passes++
	s := &scope{pass: d.passes}
	for _, b := range d.queue {
		b.queued = false
		if len(b.failures) > 0 {
			s.add(b)
			s.addRelated(b)
		}
	}
	for _, kind := range []CauseKind{CauseMachine, CauseImage, CauseBlock} {
		for _, b := range slices.Clone(s.beliefs[kind]) {
			s.addRelated(b)
		}
	}
	d.queue = nil
	return s
}

// inferBest infers the beliefs of a scope in each of inferenceOrders and keeps the result with the highest
// likelihood. all lists the beliefs of the scope.
func (d *Detector) inferBest(s *scope, all []*belief) {
	best := make([]belief, len(all))
	highest := 0.0
	for n, order := range inferenceOrders {
		d.infer(s, order)
		likelihood := d.logLikelihood(all)
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

// prior returns the prior probability that a cause of a kind is faulty. That of jobs and tasks is learned, since on
// some days every tenth of them is faulty.
func (d *Detector) prior(k CauseKind) float64 {
	switch k {
	case CauseMachine:
		return d.priors.FaultyFraction
	case CauseJob, CauseTask:
		return min(maxLearnedPrior, max(faultPriors[k], d.learnedPriors[k]))
	}
	return faultPriors[k]
}

// completionProbability returns the probability with which a failed task would have completed if one of its causes,
// except, were healthy. With nil, all its causes count.
func (d *Detector) completionProbability(f *failure, except *belief) float64 {
	probability := 1 - d.backgroundRate
	for _, b := range f.beliefs() {
		if b != except {
			probability *= 1 - b.rate
		}
	}
	return probability
}

// infer infers the beliefs of a scope, starting from the priors, by updating them in the given order of kinds until
// they converge.
func (d *Detector) infer(s *scope, order [numCauseKinds]CauseKind) {
	for _, list := range s.beliefs {
		for _, b := range list {
			b.rate = d.prior(b.Kind)
		}
	}
	for range maxRounds {
		change := 0.0
		for _, kind := range order {
			for _, b := range s.beliefs[kind] {
				before := b.rate
				d.updateBelief(b)
				change = max(change, math.Abs(b.rate-before))
			}
		}
		if change < minChange {
			return
		}
	}
}

// logLikelihood returns the log-likelihood of some beliefs and of the outcomes given these beliefs.
func (d *Detector) logLikelihood(all []*belief) float64 {
	d.passes++
	sum := 0.0
	for _, b := range all {
		// Penalize beliefs by their divergence from the prior.
		prior, probability := d.prior(b.Kind), min(1-minProbability, max(minProbability, b.probability))
		sum += probability*math.Log(prior/probability) + (1-probability)*math.Log((1-prior)/(1-probability))
		sum += probability * d.logLikelihoodOfCompleted(b, min(maxFailureRate, b.rate/probability))
		for _, f := range b.failures {
			if f.pass != d.passes {
				f.pass = d.passes
				sum += d.logLikelihoodOfFailure(f)
			}
		}
	}
	return sum
}

// logLikelihoodOfCompleted returns the log-likelihood of a cause's completed tasks if the cause is faulty with the
// given failure rate.
func (d *Detector) logLikelihoodOfCompleted(b *belief, rate float64) float64 {
	completed := d.completed[b.SuspectedCause]
	result := completed * math.Log(1-rate)
	if b.Kind == CauseMachine || b.Kind == CauseBlock {
		// It may have become faulty only at its first failure, which is one of many possible times.
		completedSince := completed - b.failures[0].completedBeforeFor(b)
		result = max(result, max(0, completedSince)*math.Log(1-rate)-math.Log(completed+1))
	}
	if b.Kind != CauseJob && b.Kind != CauseTask {
		result -= math.Log(float64(len(failureRates))) // its rate is one of several possible ones
	}
	return result
}

// logLikelihoodOfFailure returns the expected log-likelihood of a failure over the sets of its causes that may be
// faulty. So several causes that may be faulty explain it less well than one that certainly is.
func (d *Detector) logLikelihoodOfFailure(f *failure) float64 {
	sum := 0.0
	for faulty := range 1 << f.causeCount { // a set of causes, as a bit mask
		weight, completion := 1.0, 1-d.backgroundRate
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

// updateBelief recomputes the belief about a cause given the beliefs about the others.
func (d *Detector) updateBelief(b *belief) {
	prior := d.prior(b.Kind)
	completion := make([]float64, len(b.failures))
	for i, f := range b.failures {
		completion[i] = d.completionProbability(f, b)
	}
	completed := d.completed[b.SuspectedCause]
	var weights [len(failureRates)]float64 // log weights of being faulty at each rate
	for r, rate := range failureRates {
		best := bestOnset(b, rate, completion, completed)
		weights[r] = best + math.Log(prior*ratePriors[b.Kind][r]) - math.Log(float64(len(b.failures)))
	}
	healthy := math.Log(1 - prior)
	highest := max(healthy, slices.Max(weights[:]))
	total, rate := math.Exp(healthy-highest), 0.0
	for r := range failureRates {
		weight := math.Exp(weights[r] - highest)
		total += weight
		rate += weight * failureRates[r]
	}
	b.rate, b.probability = rate/total, 1-math.Exp(healthy-highest)/total
}

// bestOnset returns the log-likelihood ratio of a cause's outcomes, failing tasks at the given rate versus being
// healthy, maximized over the onset of the fault. The onset may be at any of its failures; the first failure stands
// for the time when the cause was first seen. completion is the probability with which each of the failed tasks
// would have completed if the cause were healthy, completed the number of tasks that did complete.
func bestOnset(b *belief, rate float64, completion []float64, completed float64) float64 {
	best, failed := math.Inf(-1), 0.0
	for i := len(b.failures) - 1; i >= 0; i-- {
		failed += math.Log(1-(1-rate)*completion[i]) - math.Log(1-completion[i])
		before := 0.0
		if i > 0 {
			before = b.failures[i].completedBeforeFor(b)
		}
		if v := failed + max(0, completed-before)*math.Log(1-rate); v > best {
			best = v
		}
	}
	return best
}

// updateConfirmation maintains the time since which a cause is believed faulty. The time is reset only once the
// cause is more probably healthy, since a failure that is yet to be explained lowers the probability temporarily.
func (d *Detector) updateConfirmation(b *belief) {
	switch {
	case b.probability < likelyThreshold:
		b.confirmedSince = time.Time{}
	case b.probability > 1-d.priors.FalseDiscoveryRate && b.confirmedSince.IsZero():
		b.confirmedSince = d.now
	}
}

// learnPriors learns the rate of background failures from the failures that no cause explains, and the shares of
// jobs and tasks that are faulty.
func (d *Detector) learnPriors() {
	background := 0.0
	for _, f := range d.failures {
		background += d.backgroundRate / max(d.backgroundRate, 1-d.completionProbability(f, nil))
	}
	var faulty [numCauseKinds]float64
	for _, b := range d.beliefs {
		if b.Kind == CauseJob || b.Kind == CauseTask {
			faulty[b.Kind] += b.probability
		}
	}
	d.learnedPriors[CauseJob] = faulty[CauseJob] / (d.jobsSeen + jobPriorWeight)
	d.learnedPriors[CauseTask] = faulty[CauseTask] / (d.completedTotal + taskPriorWeight)
	outcomes := d.completedTotal + float64(len(d.failures)) + backgroundPriorOutcomes
	d.backgroundRate = min(maxBackgroundRate, max(minBackgroundRate, (background+backgroundPriorFailures)/outcomes))
}
