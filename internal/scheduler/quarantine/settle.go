package quarantine

import (
	"math"
	"slices"
	"time"
)

// settle judges anew the parties of new failures, and those that share failures with them, from
// what is believed of any party to begin with: what was believed so far would keep a party from
// being blamed that explains all of it better.
func (j *Judge) settle() {
	if len(j.queue) == 0 || j.now.Sub(j.settled) < settleEvery {
		return
	}
	j.settled = j.now
	j.passes++
	var kinds [partyKinds][]*belief
	add := func(b *belief) {
		if b.pass != j.passes {
			b.pass = j.passes
			kinds[b.Kind] = append(kinds[b.Kind], b)
		}
	}
	near := func(b *belief) {
		list := b.fail
		if b.Kind != OfImage && b.Kind != OfBlock {
			// Of what many share all is judged anew, or none: half of it would still be explained
			// as it was.
			list = list[max(0, len(list)-mostNear):]
		}
		for _, f := range list {
			for _, o := range f.of[:f.n] {
				add(o)
			}
		}
	}
	for _, b := range j.queue {
		if b.queued = false; len(b.fail) > 0 {
			add(b)
			near(b)
		}
	}
	for _, k := range []PartyKind{OfMachine, OfImage, OfBlock} {
		for _, b := range slices.Clone(kinds[k]) {
			near(b)
		}
	}
	j.queue = nil
	all, most := slices.Concat(kinds[:]...), 0.0
	best := make([]belief, len(all))
	for n, order := range orders {
		j.explain(&kinds, order)
		if l := j.likelihood(all); n == 0 || l > most {
			most = l
			for i, b := range all {
				best[i] = *b
			}
		}
	}
	for i, b := range all {
		b.rate, b.sure = best[i].rate, best[i].sure
		j.confirm(b)
	}
	j.judgeAccidents()
}

// prior is how likely a party of a kind is at fault to begin with. How many jobs and tasks are is
// learned: on some days every tenth is.
func (j *Judge) prior(k PartyKind) float64 {
	switch k {
	case OfMachine:
		return j.odds.Faulty
	case OfJob, OfTask:
		return min(0.2, max(priors[k], j.share[k]))
	}
	return priors[k]
}

// others is how likely a failure's other parties would not have failed the task.
func (j *Judge) others(f *failure, but *belief) float64 {
	sound := 1 - j.accident
	for _, b := range f.of[:f.n] {
		if b != but {
			sound *= 1 - b.rate
		}
	}
	return sound
}

// explain judges parties from what is believed of any to begin with, in an order of their kinds,
// until that no longer moves.
func (j *Judge) explain(kinds *[partyKinds][]*belief, order [partyKinds]PartyKind) {
	for _, list := range kinds {
		for _, b := range list {
			b.rate = j.prior(b.Kind)
		}
	}
	for range mostRounds {
		moved := 0.0
		for _, k := range order {
			for _, b := range kinds[k] {
				was := b.rate
				j.judge(b)
				moved = max(moved, math.Abs(b.rate-was))
			}
		}
		if moved < leastMoved {
			return
		}
	}
}

// likelihood is the logarithm of how likely what is believed of some parties makes what they did,
// and they themselves are.
func (j *Judge) likelihood(all []*belief) (l float64) {
	j.passes++ // of failures
	for _, b := range all {
		// What is believed costs as much as it is unlikely to begin with.
		prior, sure := j.prior(b.Kind), min(1-1e-9, max(1e-9, b.sure))
		l += sure*math.Log(prior/sure) + (1-sure)*math.Log((1-prior)/(1-sure))
		rate := min(rates[len(rates)-1], b.rate/sure)
		done := j.done[b.SuspectedCause] * math.Log(1-rate)
		if b.Kind == OfMachine || b.Kind == OfBlock {
			// It may be at fault since its first failure only, which is one time of many.
			since := j.done[b.SuspectedCause] - b.fail[0].before[b.fail[0].at(b)]
			done = max(done, max(0, since)*math.Log(1-rate)-math.Log(j.done[b.SuspectedCause]+1))
		}
		if b.Kind != OfJob && b.Kind != OfTask {
			done -= math.Log(float64(len(rates))) // its rate is one of several
		}
		l += sure * done
		for _, f := range b.fail {
			if f.pass != j.passes {
				f.pass = j.passes
				l += j.expected(f)
			}
		}
	}
	return l
}

// expected is the logarithm of how likely a failure is, on average over which of its parties are
// at fault: parties that are all half believed to be explain it less well than one that is.
func (j *Judge) expected(f *failure) (l float64) {
	for mask := range 1 << f.n {
		weight, sound := 1.0, 1-j.accident
		for i, b := range f.of[:f.n] {
			if mask&(1<<i) != 0 {
				weight *= b.sure
				sound *= 1 - min(rates[len(rates)-1], b.rate/max(b.sure, 1e-9))
			} else {
				weight *= 1 - b.sure
			}
		}
		if weight > 1e-9 {
			l += weight * math.Log(1-sound)
		}
	}
	return l
}

// judge judges one party by what is believed of the others.
func (j *Judge) judge(b *belief) {
	prior := j.prior(b.Kind)
	sound := make([]float64, len(b.fail))
	for k, f := range b.fail {
		sound[k] = j.others(f, b)
	}
	done := j.done[b.SuspectedCause]
	weights, rate, total := [len(rates)]float64{}, 0.0, 0.0
	for r, q := range rates {
		// It may be at fault since any of its failures, or since it was first seen.
		since, best := 0.0, math.Inf(-1)
		for k := len(b.fail) - 1; k >= 0; k-- {
			since += math.Log(1-(1-q)*sound[k]) - math.Log(1-sound[k])
			before := b.fail[k].before[b.fail[k].at(b)]
			if k == 0 {
				before = 0
			}
			if v := since + max(0, done-before)*math.Log(1-q); v > best {
				best = v
			}
		}
		weights[r] = best + math.Log(prior*usual[b.Kind][r]) - math.Log(float64(len(b.fail)))
	}
	rest := math.Log(1 - prior)
	most := max(rest, slices.Max(weights[:]))
	total = math.Exp(rest - most)
	for r, q := range rates {
		w := math.Exp(weights[r] - most)
		total += w
		rate += w * q
	}
	b.rate, b.sure = rate/total, 1-math.Exp(rest-most)/total
}

// confirm notes since when it has been sure of a party. A judgement stands until the contrary is
// likelier: a failure that is yet to be explained makes it waver.
func (j *Judge) confirm(b *belief) {
	switch {
	case b.sure < likely:
		b.since = time.Time{}
	case b.sure > 1-j.odds.Wrong && b.since.IsZero():
		b.since = j.now
	}
}

func (f *failure) at(b *belief) int { return slices.Index(f.of[:f.n], b) }

// judgeAccidents takes from failures that no party explains how often they happen.
func (j *Judge) judgeAccidents() {
	nobodys := 0.0
	for _, f := range j.failures {
		nobodys += j.accident / max(j.accident, 1-j.others(f, nil))
	}
	bad := [partyKinds]float64{}
	for _, b := range j.belief {
		if b.Kind == OfJob || b.Kind == OfTask {
			bad[b.Kind] += b.sure
		}
	}
	j.share[OfJob] = bad[OfJob] / (j.jobs + 50)
	j.share[OfTask] = bad[OfTask] / (j.all + 200)
	j.accident = min(mostAccident, max(leastAccident, (nobodys+2)/(j.all+float64(len(j.failures))+1000)))
}
