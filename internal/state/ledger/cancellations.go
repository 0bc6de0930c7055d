package ledger

import (
	"cmp"
	"slices"

	"maddermill/wire"
)

// maxCancellations is how many of the newest cancellations a ledger keeps.
const maxCancellations = 512

// cancellationLog has the newest cancellations in the order of their revisions. It has all those after
// completeAfter.
type cancellationLog struct {
	entries       []cancellation
	completeAfter wire.Revision
}

// cancellation is that of a job, or of a workflow with the jobs of all its steps.
type cancellation struct {
	revision wire.Revision
	job      wire.JobID      // "" if it is a workflow's
	workflow wire.WorkflowID // "" if it is a job's
}

// add adds a cancellation. Cancellations come in any order while the records are read.
func (log *cancellationLog) add(one cancellation) {
	if one.revision <= log.completeAfter {
		return
	}
	i, _ := slices.BinarySearchFunc(
		log.entries,
		one.revision,
		func(x cancellation, at wire.Revision) int { return cmp.Compare(x.revision, at+1) },
	)
	log.entries = slices.Insert(log.entries, i, one)
	if over := len(log.entries) - maxCancellations; over > 0 {
		log.forgetUpTo(log.entries[over-1].revision)
	}
}

// forgetUpTo removes the cancellations up to a revision.
func (log *cancellationLog) forgetUpTo(at wire.Revision) {
	log.completeAfter = max(log.completeAfter, at)
	log.entries = slices.DeleteFunc(log.entries, func(x cancellation) bool { return x.revision <= log.completeAfter })
}

// Cancellations are the jobs that were cancelled after a revision, and the workflows, each with the jobs of
// all its steps.
type Cancellations struct {
	Jobs      []wire.JobID
	Workflows []wire.WorkflowID
}

// Len returns how many entries it has.
func (c *Cancellations) Len() int { return len(c.Jobs) + len(c.Workflows) }

// CancelledSince returns what was cancelled after a revision and is on record. complete is false if there
// may be more. Jobs that were archived since run nowhere.
func (l *Ledger) CancelledSince(r wire.Revision) (c Cancellations, complete bool) {
	for _, x := range l.recentCancels.entries {
		switch {
		case x.revision <= r:
		case x.workflow != "":
			c.Workflows = append(c.Workflows, x.workflow)
		default:
			c.Jobs = append(c.Jobs, x.job)
		}
	}
	return c, r >= l.recentCancels.completeAfter
}

// MarkCancelling marks jobs that are cancelled according to the ledger of another controller, which is
// ahead of this one: none of their tasks starts any more, and those that run are to stop. The state of
// the jobs changes only when their own records arrive.
func (l *Ledger) MarkCancelling(c Cancellations) {
	for _, id := range c.Jobs {
		if j := l.active[id]; j != nil {
			j.Cancelling = true
		}
	}
	if len(c.Workflows) == 0 {
		return
	}
	for _, j := range l.active {
		j.Cancelling = j.Cancelling || j.Workflow != "" && slices.Contains(c.Workflows, j.Workflow)
	}
}
