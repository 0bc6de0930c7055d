// Package estimate refines from observations what configuration and job owners give only as rough values: how
// long tasks of a class run (RunTimes), how long machines take to boot (BootTimes) and how often spot machines
// are reclaimed (SpotReclaims).
//
// The types do no I/O, take the current time as a parameter and have no locks: RunTimes and SpotReclaims are used
// under the lock of the watch cache, BootTimes by the leader alone. Nothing is persisted; a controller that
// restarts learns again, with the configured values as priors.
package estimate

import (
	"slices"
	"time"

	"maddermill/wire"
)

// MachineKind identifies machines whose boot times are comparable. Spot and on-demand machines of a type boot alike, so
// it doesn't distinguish them.
type MachineKind struct {
	Type wire.MachineTypeName
	Zone wire.Zone
}

// BootTimes keeps the latest boot times of each kind of machine. The zero value is empty and ready to use.
//
// Most machines are up after 0.5 to 1.5 times the nominal boot time of their type, some take several times as
// long, a few never come up, and at times all machines of a zone are late. A machine is overdue when others
// requested along with it are up and it isn't: a replacement then saves time. While all machines are late, a
// replacement would be just as late.
type BootTimes struct{ histories map[MachineKind]*bootHistory }

// bootHistory holds the latest boots of a kind of machine.
type bootHistory struct {
	durations     []time.Duration // from request to first heartbeat, of the last maxSamples machines
	latestRequest time.Time       // when the last requested machine that is up was requested
}

const (
	maxSamples = 12 // boot times kept per kind
	minSamples = 4  // boot times needed to use them instead of the nominal value

	// batchWindow is the maximum time between the requests of two machines that count as requested together.
	batchWindow = 10 * time.Second
)

// Observe records when a machine was requested and when it sent its first heartbeat. Machines known from their
// heartbeat alone, for which both times are the same, are ignored.
func (b *BootTimes) Observe(k MachineKind, requestedAt, firstHeartbeat time.Time) {
	bootTime := firstHeartbeat.Sub(requestedAt)
	if bootTime <= 0 {
		return
	}
	if b.histories == nil {
		b.histories = map[MachineKind]*bootHistory{}
	}
	history := b.histories[k]
	if history == nil {
		history = new(bootHistory)
		b.histories[k] = history
	}
	history.durations = append(history.durations, bootTime)
	history.durations = history.durations[max(0, len(history.durations)-maxSamples):]
	if requestedAt.After(history.latestRequest) {
		history.latestRequest = requestedAt
	}
}

// typicalBootTime returns the boot time that five sixths of the latest machines of a kind didn't exceed, but at
// least nominal, the boot time configured for their type.
func (b *BootTimes) typicalBootTime(k MachineKind, nominal time.Duration) time.Duration {
	history := b.histories[k]
	if history == nil || len(history.durations) < minSamples {
		return nominal * 3 / 2
	}
	sorted := slices.Sorted(slices.Values(history.durations))
	return max(nominal, sorted[len(sorted)*5/6])
}

// Overdue reports whether a machine that was requested at requestedAt and isn't up yet should be replaced. nominal
// is the boot time configured for its type; 0 if it is unknown.
func (b *BootTimes) Overdue(k MachineKind, requestedAt time.Time, nominal time.Duration, now time.Time) bool {
	history := b.histories[k]
	if history == nil || nominal <= 0 || requestedAt.After(history.latestRequest.Add(batchWindow)) {
		return false
	}
	return now.Sub(requestedAt) > b.typicalBootTime(k, nominal)*3/2
}

// BootTimeout returns how long a machine may take to boot before it is given up and returned. nominal is the boot
// time configured for its type.
func (b *BootTimes) BootTimeout(k MachineKind, nominal time.Duration) time.Duration {
	return max(3*nominal, 2*b.typicalBootTime(k, nominal))
}
