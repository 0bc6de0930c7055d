// Package estimate learns from observations what configuration and owners state only roughly: how long
// tasks of a class run (RunTimes), how long machines take to boot (BootTimes) and how often spot machines
// are reclaimed (SpotReclaims).
//
// The types do no I/O, are given the time by their callers, and have no locks: RunTimes and SpotReclaims
// are used under the watch cache's lock, BootTimes by the leader alone. Nothing is stored; a controller
// that restarts learns anew, with the stated values as its prior.
package estimate

import (
	"slices"
	"time"

	"maddermill/wire"
)

// Kind is a kind of machine, whether spot or not: both boot alike and are compared with one another.
type Kind struct {
	Type wire.MachineTypeName
	Zone wire.Zone
}

// BootTimes remembers, for each kind of machine, how long the last ones took to boot. The zero value
// remembers nothing.
//
// Most machines are up after half to one and a half times what their type states, some take several times
// as long, a few never come up, and at times all of a zone are late together. A machine is overdue when
// those requested with it are up and it is not: then another one in its place saves time. While all are
// late, another one would be as late.
type BootTimes struct{ histories map[Kind]*bootHistory }

// bootHistory is what is remembered of a kind.
type bootHistory struct {
	durations   []time.Duration // from request to first heartbeat, of the last maxBoots machines
	lastRequest time.Time       // the latest request of a machine that is up
}

const (
	maxBoots = 12 // boots that are remembered of a kind
	minBoots = 4  // boots from which on they are used

	// requestedTogether is how far apart the requests of machines may be that are compared.
	requestedTogether = 10 * time.Second
)

// Observe records that a machine was requested at one time and sent its first heartbeat at another. One
// that is known from its heartbeat alone, whose times are the same, is ignored.
func (b *BootTimes) Observe(k Kind, requestedAt, firstHeartbeat time.Time) {
	took := firstHeartbeat.Sub(requestedAt)
	if took <= 0 {
		return
	}
	if b.histories == nil {
		b.histories = map[Kind]*bootHistory{}
	}
	history := b.histories[k]
	if history == nil {
		history = new(bootHistory)
		b.histories[k] = history
	}
	history.durations = append(history.durations, took)
	history.durations = history.durations[max(0, len(history.durations)-maxBoots):]
	if requestedAt.After(history.lastRequest) {
		history.lastRequest = requestedAt
	}
}

// typical returns how long machines of a kind took lately, all but the slowest sixth of them, and never
// less than stated, which is what their type states.
func (b *BootTimes) typical(k Kind, stated time.Duration) time.Duration {
	history := b.histories[k]
	if history == nil || len(history.durations) < minBoots {
		return stated * 3 / 2
	}
	sorted := slices.Sorted(slices.Values(history.durations))
	return max(stated, sorted[len(sorted)*5/6])
}

// Overdue reports whether a machine that was requested at a time and is not up is no longer to be counted
// on. stated is the boot time that its type states, 0 if it is unknown.
func (b *BootTimes) Overdue(k Kind, requestedAt time.Time, stated time.Duration, now time.Time) bool {
	history := b.histories[k]
	if history == nil || stated <= 0 || requestedAt.After(history.lastRequest.Add(requestedTogether)) {
		return false
	}
	return now.Sub(requestedAt) > b.typical(k, stated)*3/2
}

// BootTimeout returns how long a machine may take before it is returned as one that never comes up.
// stated is the boot time that its type states.
func (b *BootTimes) BootTimeout(k Kind, stated time.Duration) time.Duration {
	return max(3*stated, 2*b.typical(k, stated))
}
