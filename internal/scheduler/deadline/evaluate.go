package deadline

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Progress describes how far a gallery has got. It is the input of Evaluate.
type Progress struct {
	Date      time.Time // the promised date
	State     ledger.GalleryState
	Count     ledger.GalleryCount
	Complete  bool // no more jobs will come
	Withdrawn bool // the register in force no longer has it
	// MinRemaining is the least time, from now on, that the remaining jobs take: the longest of their durations,
	// each consisting of the image fetch and the run time observed for similar jobs.
	MinRemaining time.Duration
	// BootTime is how long an additional machine takes to boot; 0 if no task waits for a machine.
	BootTime time.Duration
}

// remainingJobs returns how many jobs are neither done nor cancelled.
func (p *Progress) remainingJobs() int { return p.Count.Jobs - p.Count.Done - p.Count.Cancelled }

// Slack returns by how much the start of the remaining jobs can be delayed without missing the date.
func (p *Progress) Slack(now time.Time) time.Duration { return p.Date.Sub(now) - p.MinRemaining }

// Evaluate returns the state that a gallery should have, and the reason if that differs from its present state.
// skew bounds the error of the wall clocks involved.
//
// Whether a promise is kept or broken depends only on the records, not on when it is evaluated: a process that was
// paused across the date reaches the same result. A job counts as done at the recorded time; if the clock error
// leaves open whether that was in time, it counts as in time.
func Evaluate(p *Progress, margin, skew time.Duration, now time.Time) (state ledger.GalleryState, why string) {
	if state, why, final := evaluateFinal(p, skew, now); final {
		return state, why
	}
	return evaluateRisk(p, margin, now)
}

// evaluateFinal returns the final state of a gallery; final is false if the gallery has not ended.
func evaluateFinal(p *Progress, skew time.Duration, now time.Time) (state ledger.GalleryState, why string, final bool) {
	remaining, ended := p.remainingJobs(), p.Count.Ended.Time()
	late := p.Count.Ended != 0 && ended.Add(-2*skew).After(p.Date)
	past := now.Add(-skew).After(p.Date)
	switch {
	case p.Withdrawn:
		return ledger.GalleryWithdrawn, "no longer in the register", true
	case late:
		why = fmt.Sprintf("the last of %d jobs was done %v late", p.Count.Done, ended.Sub(p.Date).Round(time.Second))
		return ledger.GalleryBroken, why, true
	case remaining == 0 && (past || p.Complete && p.Count.Done > 0):
		return ledger.GalleryKept, fmt.Sprintf("%d jobs done", p.Count.Done), true
	case past && remaining > 0:
		return ledger.GalleryBroken, fmt.Sprintf("%d of %d jobs are not done", remaining, p.Count.Jobs), true
	}
	return p.State, "", false
}

// evaluateRisk returns whether a gallery that has not ended is at risk. It becomes so when its slack falls below the
// margin plus a machine's boot time, and stops being so when the slack exceeds twice that sum (hysteresis).
func evaluateRisk(p *Progress, margin time.Duration, now time.Time) (state ledger.GalleryState, why string) {
	remaining, slack, needed := p.remainingJobs(), p.Slack(now), margin+p.BootTime
	switch {
	case p.State == ledger.GalleryOpen && remaining > 0 && slack < needed:
		return ledger.GalleryAtRisk, fmt.Sprintf("%d jobs left, which take %v, %v to go",
			remaining, p.MinRemaining.Round(time.Second), p.Date.Sub(now).Round(time.Second))
	case p.State == ledger.GalleryAtRisk && (remaining == 0 || slack > 2*needed):
		return ledger.GalleryOpen, fmt.Sprintf("%d jobs left, %v of slack", remaining, slack.Round(time.Second))
	}
	return p.State, ""
}

// Load is the remaining work of a gallery.
type Load struct {
	Name wire.GalleryName
	Date time.Time
	Work float64 // seconds that the whole cluster needs for it
}

// Overcommitted returns the galleries whose dates are missed even if the cluster does all work in the order of the
// dates (earliest deadline first): the work due by such a date takes longer than the time left until then. The
// result is in the order of the dates.
func Overcommitted(loads []Load, now time.Time) []wire.GalleryName {
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(a.Date.Compare(b.Date), cmp.Compare(a.Name, b.Name))
	})
	var names []wire.GalleryName
	work := 0.0
	for _, load := range loads {
		work += load.Work
		if work > load.Date.Sub(now).Seconds() {
			names = append(names, load.Name)
		}
	}
	return names
}
