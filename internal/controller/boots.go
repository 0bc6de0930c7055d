package controller

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

// rented is a kind of machine, spot or not: both boot alike.
type rented struct {
	typ  wire.MachineSKU
	zone wire.Zone
}

// boots remembers, of each type and zone, how long the last machines took from their
// rental to their first report, and when the one rented last that is up was rented.
type boots map[rented]*bootLog

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

// up notes that a machine was first heard at a time. One that is known from its
// report alone tells nothing.
func (b boots) up(u *unit, at time.Time) {
	took := at.Sub(u.hired)
	if took <= 0 {
		return
	}
	k := rented{u.Type, u.Zone}
	l := b[k]
	if l == nil {
		l = new(bootLog)
		b[k] = l
	}
	l.took = append(l.took, took)
	l.took = l.took[max(0, len(l.took)-bootsKept):]
	if u.hired.After(l.last) {
		l.last = u.hired
	}
}

// usual is how long machines of the kind took lately, all but the slowest sixth of
// them, and never below what the type states.
func (b boots) usual(u *unit, stated time.Duration) time.Duration {
	l := b[rented{u.Type, u.Zone}]
	if l == nil || len(l.took) < fewBoots {
		return stated * 3 / 2
	}
	return max(stated, slices.Sorted(slices.Values(l.took))[len(l.took)*5/6])
}

// overdue reports whether a machine that isn't up is no longer to be counted on.
func (b boots) overdue(u *unit, stated time.Duration, now time.Time) bool {
	l := b[rented{u.Type, u.Zone}]
	return l != nil && stated > 0 && !u.hired.After(l.last.Add(rentedNearby)) && now.Sub(u.hired) > b.usual(u, stated)*3/2
}

// patience is how long a machine may take before it is returned as one that never
// comes up.
func (b boots) patience(u *unit, stated time.Duration) time.Duration {
	return max(3*stated, 2*b.usual(u, stated))
}
