package estimate

import (
	"math"
	"time"
)

const (
	// reclaimHalfLife is the age at which an observation has lost half its weight.
	reclaimHalfLife = 3 * time.Minute
	// priorReclaimRate is the rate assumed without observations, in reclaims per machine and hour.
	priorReclaimRate = 1.0
	// priorMachineHours is the weight of priorReclaimRate, in observed machine hours.
	priorMachineHours = 10.0
	// maxCountedGap is the maximum time between two calls of AddMachineTime that counts as observed.
	maxCountedGap = 10 * time.Second
)

// SpotReclaims estimates how often the cloud provider reclaims spot machines, from the reclaims of the last
// minutes. Observations decay exponentially with age; with few of them, the estimate stays near priorReclaimRate.
// The zero value is ready to use. It has no lock of its own: it is used under that of the watch cache.
type SpotReclaims struct {
	reclaims     float64 // weighted number of observed reclaims
	machineHours float64 // weighted time for which spot machines were observed
	countedAt    time.Time
}

// AddMachineTime records that the given number of spot machines has been up since the last call. At most
// maxCountedGap of that time counts, since this process may have been paused during a longer gap.
func (s *SpotReclaims) AddMachineTime(machines int, now time.Time) {
	if elapsed := now.Sub(s.countedAt); !s.countedAt.IsZero() && elapsed > 0 {
		decay := math.Exp2(-float64(elapsed) / float64(reclaimHalfLife))
		s.reclaims, s.machineHours = s.reclaims*decay, s.machineHours*decay
		s.machineHours += float64(machines) * min(elapsed, maxCountedGap).Hours()
	}
	s.countedAt = now
}

// RecordReclaim records the reclaim of a spot machine.
func (s *SpotReclaims) RecordReclaim() { s.reclaims++ }

// PerHour returns the estimated number of reclaims per machine and hour.
func (s *SpotReclaims) PerHour() float64 {
	return (s.reclaims + priorReclaimRate*priorMachineHours) / (s.machineHours + priorMachineHours)
}
