package ledger

import (
	"cmp"
	"slices"

	"maddermill/wire"
)

// maxCancellations is how many of the newest cancellations a ledger can tell apart.
const maxCancellations = 512

// cancellationLog is the newest cancellations, by revision. It is complete above a revision.
type cancellationLog struct {
	entries       []cancellation
	completeAfter wire.Revision
}

// cancellation is a job or a workflow, with all of its steps' jobs.
type cancellation struct {
	revision wire.Revision
	job      wire.JobID
	workflow wire.WorkflowID
}

// add notes a cancellation. While records are read they come in any order.
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

// forgetUpTo notes that more was cancelled at a revision than the list tells, or may have been.
func (log *cancellationLog) forgetUpTo(at wire.Revision) {
	log.completeAfter = max(log.completeAfter, at)
	log.entries = slices.DeleteFunc(log.entries, func(x cancellation) bool { return x.revision <= log.completeAfter })
}

// Cancellations is what was cancelled after a revision: jobs, and workflows with all of their steps' jobs.
type Cancellations struct {
	Jobs      []wire.JobID
	Workflows []wire.WorkflowID
}

// Len is how many entries it has.
func (c *Cancellations) Len() int { return len(c.Jobs) + len(c.Workflows) }

// CancelledSince lists what is on record and was cancelled after a revision, false if not all of
// it can be told. Jobs that have left the records since run nowhere.
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

// MarkCancelling notes that jobs are cancelled, as another controller's ledger has it, before this one does:
// nothing of them starts any more, and all of it is to stop. Their end goes on record with their own
// cancellation.
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
