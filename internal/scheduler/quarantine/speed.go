package quarantine

import (
	"math"

	"maddermill/wire"
)

// pace is how a machine's tasks ran.
type pace struct {
	score, sum, n float64
}

// spread is how the logarithms of run times to what was expected lie.
type spread struct{ n, mean, square float64 }

func (s *spread) add(x float64) {
	s.n, s.mean, s.square = s.n*oldWeight+1, s.mean*oldWeight+x, s.square*oldWeight+x*x
}

func (s *spread) of() (mean, deviation float64) {
	if s == nil || s.n < 1 {
		return 0, usualSpread
	}
	mean = s.mean / s.n
	// As if a few tasks had been seen with the usual spread.
	v := (s.square - s.n*mean*mean + 8*usualSpread*usualSpread) / (s.n + 8)
	return mean, math.Sqrt(max(v, 0.05*0.05))
}

// seeSpeed takes in how long a task ran.
func (j *Judge) seeSpeed(o *Outcome) {
	if o.Ran <= 0 || o.Expected <= 0 {
		return
	}
	x := math.Log(o.Ran.Seconds() / o.Expected.Seconds())
	class, mates := j.classes[o.Class], j.mates[o.Job]
	mean, deviation := class.of()
	if mates != nil && mates.n >= fewMates {
		// A job's own estimate may be wrong for all its tasks.
		mean, deviation = mates.of()
	}
	if class == nil {
		class = new(spread)
		j.classes[o.Class] = class
	}
	if mates == nil {
		mates = new(spread)
		j.mates[o.Job] = mates
	}
	p := j.speed[o.Machine]
	if p == nil {
		p = new(pace)
		j.speed[o.Machine] = p
	}
	r := min(mostResidual, max(-mostResidual, x-mean))
	by := math.Log(slowBy)
	if p.score += (by*r - by*by/2) / (deviation * deviation); p.score <= 0 {
		*p = pace{}
	} else {
		p.sum, p.n = p.sum+r, p.n+1
	}
	// What is believed to be slow says nothing of how long tasks take.
	if slow, _ := j.Slow(o.Machine); !slow {
		class.add(x)
		mates.add(x)
	}
}

// Slow reports whether a machine's tasks take longer than others', and by what factor.
func (j *Judge) Slow(m wire.MachineID) (bool, float64) {
	p := j.speed[m]
	if p == nil || p.n < fewToBeSlow || p.score < j.limit()-math.Log(j.odds.Faulty) {
		return false, 1
	}
	return true, math.Exp(p.sum / p.n)
}
