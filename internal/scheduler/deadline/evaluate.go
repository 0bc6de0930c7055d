package deadline

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Facts are what a gallery's state follows from.
type Facts struct {
	Date      time.Time // the promised one
	State     ledger.GalleryState
	Count     ledger.GalleryCount
	Complete  bool // no more jobs will come
	Withdrawn bool // the register in force no longer has it
	// Need is how long what remains takes at the least, from now on: the longest of its jobs, each with its
	// image fetch and the run time that such work really took.
	Need time.Duration
	// Machines is how long one more machine takes to boot; 0 if no task waits for one.
	Machines time.Duration
}

// remaining returns how many of the jobs are neither done nor cancelled.
func (f *Facts) remaining() int { return f.Count.Jobs - f.Count.Done - f.Count.Cancelled }

// Slack returns how much later what remains could start.
func (f *Facts) Slack(now time.Time) time.Duration { return f.Date.Sub(now) - f.Need }

// Evaluate returns the state that a gallery is to have, and why if that is another one than it has. Times of
// day are off by up to skew.
//
// A promise is broken or kept by what is on record, never by when it is evaluated: a process that is paused
// over the date comes to the same result. A job counts as done when that was recorded; where the clocks leave
// it in doubt, in time.
func Evaluate(f *Facts, margin, skew time.Duration, now time.Time) (state ledger.GalleryState, why string) {
	if state, why, final := evaluateFinal(f, skew, now); final {
		return state, why
	}
	return evaluateRisk(f, margin, now)
}

// evaluateFinal returns the state that a gallery ends in; false if it goes on.
func evaluateFinal(f *Facts, skew time.Duration, now time.Time) (state ledger.GalleryState, why string, final bool) {
	remaining, ended := f.remaining(), f.Count.Ended.Time()
	late := f.Count.Ended != 0 && ended.Add(-2*skew).After(f.Date)
	past := now.Add(-skew).After(f.Date)
	switch {
	case f.Withdrawn:
		return ledger.GalleryWithdrawn, "no longer in the register", true
	case late:
		why = fmt.Sprintf("the last of %d jobs was done %v late", f.Count.Done, ended.Sub(f.Date).Round(time.Second))
		return ledger.GalleryBroken, why, true
	case remaining == 0 && (past || f.Complete && f.Count.Done > 0):
		return ledger.GalleryKept, fmt.Sprintf("%d jobs done", f.Count.Done), true
	case past && remaining > 0:
		return ledger.GalleryBroken, fmt.Sprintf("%d of %d jobs are not done", remaining, f.Count.Jobs), true
	}
	return f.State, "", false
}

// evaluateRisk returns whether a gallery that goes on is at risk: it is once its slack is below the margin and
// the boot of a machine, and until it is above twice as much.
func evaluateRisk(f *Facts, margin time.Duration, now time.Time) (state ledger.GalleryState, why string) {
	remaining, slack, needed := f.remaining(), f.Slack(now), margin+f.Machines
	switch {
	case f.State == ledger.GalleryOpen && remaining > 0 && slack < needed:
		return ledger.GalleryAtRisk, fmt.Sprintf("%d jobs left, which take %v, %v to go",
			remaining, f.Need.Round(time.Second), f.Date.Sub(now).Round(time.Second))
	case f.State == ledger.GalleryAtRisk && (remaining == 0 || slack > 2*needed):
		return ledger.GalleryOpen, fmt.Sprintf("%d jobs left, %v of slack", remaining, slack.Round(time.Second))
	}
	return f.State, ""
}

// Load is what remains of a gallery.
type Load struct {
	Name wire.GalleryName
	Date time.Time
	Work float64 // seconds that all machines of the cluster together need for it
}

// Overcommitted returns the galleries whose dates can't all be met: with all work in the order of the dates,
// what must be done by one date takes longer than there is until then. The first one that can't be kept comes
// first; those with earlier dates are left out.
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
