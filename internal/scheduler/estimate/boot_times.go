// Package estimate estimates from observations what configuration and owners state only roughly: how
// long tasks of a class run (RunTimes), how long machines take to boot (BootTimes) and how often spot
// machines are reclaimed (SpotReclaims). It does no I/O, is given the time, and has no locks.
package estimate

import (
	"slices"
	"time"

	"maddermill/wire"
)

// Most machines are up after half to one and a half times what their type states,
// some take several times as long, a few never come up, and at times all of a zone
// are late together. A machine is overdue when those rented there with it are up
// and it is not: then another in its place gains time. While all are late, another
// would be as late.

// Kind is a kind of machine, spot or not: both boot alike, and are judged side by side.
type Kind struct {
	Type wire.MachineTypeName
	Zone wire.Zone
}

// BootTimes remembers, of each kind, how long the last machines took from their rental to their
// first report, and when the one rented last that is up was rented. The zero value remembers
// nothing.
type BootTimes struct{ logs map[Kind]*bootLog }

type bootLog struct {
	took []time.Duration
	last time.Time
}

// How many boots are remembered, from how many on they are judged by, and how far
// apart rentals may be that count as made together.
const (
	bootsKept    = 12
	fewBoots     = 4
	rentedNearby = 10 * time.Second
)

// Observe notes that a machine rented at one time was first heard at another. One that is known
// from its report alone tells nothing.
func (b *BootTimes) Observe(k Kind, hired, at time.Time) {
	took := at.Sub(hired)
	if took <= 0 {
		return
	}
	if b.logs == nil {
		b.logs = map[Kind]*bootLog{}
	}
	l := b.logs[k]
	if l == nil {
		l = new(bootLog)
		b.logs[k] = l
	}
	l.took = append(l.took, took)
	l.took = l.took[max(0, len(l.took)-bootsKept):]
	if hired.After(l.last) {
		l.last = hired
	}
}

// usual is how long machines of the kind took lately, all but the slowest sixth of
// them, and never below what the type states.
func (b *BootTimes) usual(k Kind, stated time.Duration) time.Duration {
	l := b.logs[k]
	if l == nil || len(l.took) < fewBoots {
		return stated * 3 / 2
	}
	return max(stated, slices.Sorted(slices.Values(l.took))[len(l.took)*5/6])
}

// Overdue reports whether a machine that isn't up is no longer to be counted on. stated is
// what its type states.
func (b *BootTimes) Overdue(k Kind, hired time.Time, stated time.Duration, now time.Time) bool {
	l := b.logs[k]
	return l != nil && stated > 0 && !hired.After(l.last.Add(rentedNearby)) && now.Sub(hired) > b.usual(k, stated)*3/2
}

// BootTimeout is how long a machine may take before it is returned as one that never
// comes up.
func (b *BootTimes) BootTimeout(k Kind, stated time.Duration) time.Duration {
	return max(3*stated, 2*b.usual(k, stated))
}
