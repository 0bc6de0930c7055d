package estimate

import (
	"math"
	"time"
)

const (
	// reclaimHalfLife is the age at which an observation has half its weight.
	reclaimHalfLife = 3 * time.Minute
	// priorReclaims is the rate that is assumed without observations, in reclaims of a machine an hour.
	priorReclaims = 1.0
	// priorMachineHours is the weight of that assumption, in hours of machines observed.
	priorMachineHours = 10.0
	// maxCountedGap is the longest time between two counts of machines that is counted as observed.
	maxCountedGap = 10 * time.Second
)

// SpotReclaims estimates how often the cloud reclaims spot machines, from the reclaims of the last minutes.
// Old observations fade; with few, the estimate stays near the rate that is assumed without any. The zero
// value has observed nothing. It has no lock: it is used under the watch cache's.
type SpotReclaims struct {
	reclaims     float64 // observed, with their weights
	machineHours float64 // for which spot machines were observed, with their weights
	countedAt    time.Time
}

// CountMachineTime records that so many spot machines have been up since the last call. Of a longer time
// than maxCountedGap, in which this process may have been paused, only that much counts.
func (s *SpotReclaims) CountMachineTime(machines int, now time.Time) {
	if elapsed := now.Sub(s.countedAt); !s.countedAt.IsZero() && elapsed > 0 {
		fade := math.Exp2(-float64(elapsed) / float64(reclaimHalfLife))
		s.reclaims, s.machineHours = s.reclaims*fade, s.machineHours*fade
		s.machineHours += float64(machines) * min(elapsed, maxCountedGap).Hours()
	}
	s.countedAt = now
}

// Observe records a reclaim.
func (s *SpotReclaims) Observe() { s.reclaims++ }

// PerHour returns how often a spot machine is reclaimed in an hour.
func (s *SpotReclaims) PerHour() float64 {
	return (s.reclaims + priorReclaims*priorMachineHours) / (s.machineHours + priorMachineHours)
}
