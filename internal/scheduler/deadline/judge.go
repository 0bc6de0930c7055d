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
	Date      time.Time
	State     ledger.GalleryState
	Count     ledger.GalleryCount
	Complete  bool // no more jobs will come
	Withdrawn bool // a register in force no longer has it
	// Need is how long what remains takes at the least, from now on: the longest of its jobs, each
	// with its fetch and the run time that such work really took.
	Need time.Duration
	// Machines is how long one more takes to be there, for work that waits.
	Machines time.Duration
}

// remaining is how many of the jobs are neither done nor cancelled.
func (f *Facts) remaining() int { return f.Count.Jobs - f.Count.Done - f.Count.Cancelled }

// Slack is how much later what remains could begin.
func (f *Facts) Slack(now time.Time) time.Duration { return f.Date.Sub(now) - f.Need }

// Evaluate tells which state a gallery goes to, and why; the state that it is in, if it stays there.
// Times of day are off by up to skew. A promise is broken or kept by what is on record, never by
// when somebody looked: one that stood still over the promised moment comes to the same end. A
// job counts as done when that was recorded; where the clocks leave it in doubt, in time.
func Evaluate(f *Facts, margin, skew time.Duration, now time.Time) (ledger.GalleryState, string) {
	left := f.remaining()
	ended := f.Count.Ended.Time()
	inTime := f.Count.Ended == 0 || !ended.Add(-2*skew).After(f.Date)
	past := now.Add(-skew).After(f.Date)
	switch {
	case f.Withdrawn:
		return ledger.GalleryWithdrawn, "no longer in the register"
	case !inTime:
		return ledger.GalleryBroken, fmt.Sprintf(
			"the last of %d jobs was done %v late",
			f.Count.Done,
			ended.Sub(f.Date).Round(time.Second),
		)
	case left == 0 && (past || f.Complete && f.Count.Done > 0):
		return ledger.GalleryKept, fmt.Sprintf("%d jobs done", f.Count.Done)
	case past && left > 0:
		return ledger.GalleryBroken, fmt.Sprintf("%d of %d jobs are not done", left, f.Count.Jobs)
	}
	slack := f.Slack(now)
	switch risky := left > 0 && slack < margin+f.Machines; {
	case risky && f.State == ledger.GalleryOpen:
		return ledger.GalleryAtRisk, fmt.Sprintf(
			"%d jobs left, which take %v, %v to go",
			left,
			f.Need.Round(time.Second),
			f.Date.Sub(now).Round(time.Second),
		)
	case f.State == ledger.GalleryAtRisk && (left == 0 || slack > 2*(margin+f.Machines)):
		return ledger.GalleryOpen, fmt.Sprintf("%d jobs left, %v of slack", left, slack.Round(time.Second))
	}
	return f.State, ""
}

// Load is what a gallery still needs of the fleet.
type Load struct {
	Name wire.GalleryName
	Date time.Time
	Work float64 // seconds of the whole fleet
}

// Overcommitted names the galleries whose dates can't all be met: with all work in the order of
// the dates, what must be done by one takes longer than there is until then. The first that can't
// be kept comes first; what is promised before it is not named.
func Overcommitted(loads []Load, now time.Time) []wire.GalleryName {
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Or(a.Date.Compare(b.Date), cmp.Compare(a.Name, b.Name)) })
	var out []wire.GalleryName
	sum := 0.0
	for _, l := range loads {
		if sum += l.Work; sum > l.Date.Sub(now).Seconds() {
			out = append(out, l.Name)
		}
	}
	return out
}
