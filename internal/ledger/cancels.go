package ledger

import (
	"cmp"
	"slices"

	"maddermill/wire"
)

// mostCancels is how many of the newest cancellations a ledger can tell apart.
const mostCancels = 512

// cancels is the newest cancellations, by revision. It is complete above a revision.
type cancels struct {
	list  []cancelled
	above wire.Revision
}

type cancelled struct {
	at  wire.Revision
	job wire.JobID
}

// add notes a cancellation. While records are read they come in any order.
func (c *cancels) add(at wire.Revision, job wire.JobID) {
	if at <= c.above {
		return
	}
	i, _ := slices.BinarySearchFunc(c.list, at, func(x cancelled, at wire.Revision) int { return cmp.Compare(x.at, at+1) })
	c.list = slices.Insert(c.list, i, cancelled{at, job})
	if over := len(c.list) - mostCancels; over > 0 {
		c.incomplete(c.list[over-1].at)
	}
}

// incomplete notes that more was cancelled at a revision than the list tells, or may have been.
func (c *cancels) incomplete(at wire.Revision) {
	c.above = max(c.above, at)
	c.list = slices.DeleteFunc(c.list, func(x cancelled) bool { return x.at <= c.above })
}

// CancelledSince lists the jobs on record that were cancelled after a revision, false if they
// can't all be told. Jobs that have left the records since run nowhere.
func (l *Ledger) CancelledSince(r wire.Revision) (jobs []wire.JobID, whole bool) {
	for _, x := range l.cancels.list {
		if x.at > r {
			jobs = append(jobs, x.job)
		}
	}
	return jobs, r >= l.cancels.above
}

// Doom notes that a job is cancelled, as another controller's ledger has it, before this one does:
// nothing of it starts any more, and all of it is to stop. Its end goes on record with its own
// cancellation.
func (l *Ledger) Doom(id wire.JobID) {
	if j := l.active[id]; j != nil {
		j.Doomed = true
	}
}
