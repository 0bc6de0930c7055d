package estimate

import (
	"math"
	"time"
)

// SpotReclaims estimates how often spot machines are taken back, from those that were lately. Old
// observations fade; with few, it stays near what is usual.
type SpotReclaims struct {
	taken float64
	hours float64 // of machines, that were watched for it
	last  time.Time
}

const (
	takingsFade  = 3 * time.Minute // after which an observation counts half
	usualTakings = 1.0             // an hour, a machine
	usualHours   = 10.0            // how much the usual weighs, in hours of machines
	longWatch    = 10 * time.Second
)

// CountMachineTime notes that so many spot machines were up until now.
func (t *SpotReclaims) CountMachineTime(machines int, now time.Time) {
	if dt := now.Sub(t.last); !t.last.IsZero() && dt > 0 {
		fade := math.Exp2(-float64(dt) / float64(takingsFade))
		t.taken, t.hours = t.taken*fade, t.hours*fade
		t.hours += float64(machines) * min(dt, longWatch).Hours()
	}
	t.last = now
}

// Observe notes that one was taken back.
func (t *SpotReclaims) Observe() { t.taken++ }

// PerHour is how often a machine is taken back an hour.
func (t *SpotReclaims) PerHour() float64 {
	return (t.taken + usualTakings*usualHours) / (t.hours + usualHours)
}
