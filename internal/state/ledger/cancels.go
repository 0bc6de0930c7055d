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

// cancelled is a job or a workflow, with all of its steps' jobs.
type cancelled struct {
	at   wire.Revision
	job  wire.JobID
	flow wire.WorkflowID
}

// add notes a cancellation. While records are read they come in any order.
func (c *cancels) add(one cancelled) {
	if one.at <= c.above {
		return
	}
	i, _ := slices.BinarySearchFunc(
		c.list,
		one.at,
		func(x cancelled, at wire.Revision) int { return cmp.Compare(x.at, at+1) },
	)
	c.list = slices.Insert(c.list, i, one)
	if over := len(c.list) - mostCancels; over > 0 {
		c.incomplete(c.list[over-1].at)
	}
}

// incomplete notes that more was cancelled at a revision than the list tells, or may have been.
func (c *cancels) incomplete(at wire.Revision) {
	c.above = max(c.above, at)
	c.list = slices.DeleteFunc(c.list, func(x cancelled) bool { return x.at <= c.above })
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
func (l *Ledger) CancelledSince(r wire.Revision) (c Cancellations, whole bool) {
	for _, x := range l.cancels.list {
		switch {
		case x.at <= r:
		case x.flow != "":
			c.Workflows = append(c.Workflows, x.flow)
		default:
			c.Jobs = append(c.Jobs, x.job)
		}
	}
	return c, r >= l.cancels.above
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
