package ledger

import (
	"cmp"
	"slices"

	"maddermill/wire"
)

// maxCancellations is how many of the newest cancellations a ledger keeps.
const maxCancellations = 512

// cancellationLog holds the newest cancellations in the order of their revisions. It is complete for all
// revisions after completeAfter.
type cancellationLog struct {
	entries       []cancellation
	completeAfter wire.Revision
}

// cancellation is the cancellation of a job, or of a workflow with the jobs of all its steps.
type cancellation struct {
	revision wire.Revision
	job      wire.JobID      // "" if a workflow was cancelled
	workflow wire.WorkflowID // "" if a job was cancelled
}

// add adds a cancellation. While records are loaded, cancellations arrive in any order.
func (log *cancellationLog) add(entry cancellation) {
	if entry.revision <= log.completeAfter {
		return
	}
	i, _ := slices.BinarySearchFunc(
		log.entries,
		entry.revision,
		func(c cancellation, revision wire.Revision) int { return cmp.Compare(c.revision, revision+1) },
	)
	log.entries = slices.Insert(log.entries, i, entry)
	if excess := len(log.entries) - maxCancellations; excess > 0 {
		log.discardUpTo(log.entries[excess-1].revision)
	}
}

// discardUpTo removes the cancellations up to and including a revision.
func (log *cancellationLog) discardUpTo(revision wire.Revision) {
	log.completeAfter = max(log.completeAfter, revision)
	log.entries = slices.DeleteFunc(log.entries, func(c cancellation) bool { return c.revision <= log.completeAfter })
}

// Cancellations lists cancelled jobs and workflows. A workflow stands for the jobs of all its steps.
type Cancellations struct {
	Jobs      []wire.JobID
	Workflows []wire.WorkflowID
}

// Len returns the number of jobs and workflows.
func (c *Cancellations) Len() int { return len(c.Jobs) + len(c.Workflows) }

// CancelledSince returns the known cancellations after a revision. complete is false if there may be more. Jobs
// that have been archived since may be missing: none of their tasks runs.
func (l *Ledger) CancelledSince(r wire.Revision) (c Cancellations, complete bool) {
	for _, entry := range l.recentCancels.entries {
		switch {
		case entry.revision <= r:
		case entry.workflow != "":
			c.Workflows = append(c.Workflows, entry.workflow)
		default:
			c.Jobs = append(c.Jobs, entry.job)
		}
	}
	return c, r >= l.recentCancels.completeAfter
}

// MarkCancelling marks jobs as cancelling that are cancelled in the ledger of another controller, which is ahead
// of this one. No more tasks of these jobs start, and running ones must stop. The state of the jobs changes only
// when their own records arrive.
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
