package archiver

import (
	"cmp"
	"errors"
	"log/slog"
	"slices"
	"strings"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// backlog is what a scan of the records found to be moved and what of it is left: jobs first, then
// machines, then workflows. Its methods are called under the lock of the records.
type backlog struct {
	kept         int // finished jobs, and finished workflows, that stay on record
	minCompacted int // machines of one part that are worth compacting
	log          *slog.Logger

	jobs      []wire.JobID       // in the order of their positions in the filter
	machines  [][]wire.MachineID // in groups of one part of a series
	workflows []wire.WorkflowID
}

func (b *backlog) empty() bool { return len(b.jobs)+len(b.machines)+len(b.workflows) == 0 }

// clear forgets all that is left.
func (b *backlog) clear() { b.jobs, b.machines, b.workflows = nil, nil, nil }

// scan adds what is to be moved.
func (b *backlog) scan(l *ledger.Ledger) {
	b.findFinishedJobs(l)
	b.findTerminatedMachines(l)
	b.findEndedWorkflows(l)
}

// nextName drops jobs that can't be archived any more from the head of the backlog, and returns the
// name whose page of the filter fill needs next, or "" if it needs none.
func (b *backlog) nextName(l *ledger.Ledger) string {
	for len(b.jobs) > 0 && !l.Archivable(b.jobs[0]) {
		b.jobs = b.jobs[1:]
	}
	switch {
	case len(b.jobs) > 0:
		return string(b.jobs[0])
	case len(b.machines) == 0 && len(b.workflows) > 0:
		return ledger.WorkflowFilterName(b.workflows[0])
	}
	return ""
}

// fill fills a transaction with what is to be moved next. What can't be moved any more is dropped;
// what does not fit stays for the next transaction.
func (b *backlog) fill(l *ledger.Ledger, txn *ledger.Transaction) moved {
	if len(b.jobs) > 0 {
		return moved{jobs: b.archiveJobs(l, txn)}
	}
	if n := b.compactMachines(txn); n > 0 {
		return moved{machines: n}
	}
	return moved{workflows: b.archiveWorkflow(txn)}
}

// archiveJobs archives jobs of one page of the filter and returns how many. A job that has too many
// task ranges for a transaction first loses some of them.
func (b *backlog) archiveJobs(l *ledger.Ledger, txn *ledger.Transaction) int {
	ids, end := b.jobsOfPage(l, txn.MaxChanges())
	if len(ids) == 0 {
		b.jobs = b.jobs[end:]
		return 0
	}
	n, err := txn.ArchiveJobs(ids)
	if err == nil {
		b.dropJobsTo(ids[n-1])
		return n
	}
	if txn.DeleteTaskRanges(ids[0]) == nil {
		return 0
	}
	b.dropJobsTo(ids[0])
	if !errors.Is(err, ledger.ErrPreconditionFailed) {
		b.log.Warn("job can't be archived", "job", ids[0], "err", err)
	}
	return 0
}

// jobsOfPage returns the archivable jobs at the head of the backlog that are on the first one's
// page of the filter, about as many as a transaction may have changes, and how many jobs of the
// backlog it passed.
func (b *backlog) jobsOfPage(l *ledger.Ledger, changes int) (ids []wire.JobID, end int) {
	page := l.FilterPage(b.jobs[0])
	for _, id := range b.jobs {
		if page == nil || !page.Covers(string(id)) || len(ids) > changes {
			break
		}
		if end++; l.Archivable(id) {
			ids = append(ids, id)
		}
	}
	return ids, end
}

// dropJobsTo drops the jobs of the backlog up to and including one of them.
func (b *backlog) dropJobsTo(id wire.JobID) { b.jobs = b.jobs[slices.Index(b.jobs, id)+1:] }

// compactMachines compacts as many machines of a group as the transaction takes and returns how
// many. Groups of which it takes none are dropped.
func (b *backlog) compactMachines(txn *ledger.Transaction) int {
	for len(b.machines) > 0 {
		group := b.machines[0]
		part, _ := archive.PartOfMachine(string(group[0]))
		// Two changes are the part's and its series' head.
		for n := min(len(group), max(1, txn.MaxChanges()-2)); n > 0; n-- {
			if txn.CompactTerminated(part, group[:n]) != nil {
				continue
			}
			if b.machines[0] = group[n:]; n == len(group) {
				b.machines = b.machines[1:]
			}
			return n
		}
		b.machines = b.machines[1:]
	}
	return 0
}

// archiveWorkflow archives the first workflow that can be and returns 1, or 0 if none can.
func (b *backlog) archiveWorkflow(txn *ledger.Transaction) int {
	for len(b.workflows) > 0 {
		id := b.workflows[0]
		b.workflows = b.workflows[1:]
		if txn.ArchiveWorkflow(id) == nil {
			return 1
		}
	}
	return 0
}

// finished is a job or workflow that is over, with the revision of its last change.
type finished[ID wire.JobID | wire.WorkflowID] struct {
	id       ID
	revision wire.Revision
}

// sortByAge sorts by revision, the oldest first.
func sortByAge[ID wire.JobID | wire.WorkflowID](list []finished[ID]) {
	slices.SortFunc(list, func(a, b finished[ID]) int { return cmp.Compare(a.revision, b.revision) })
}

// findFinishedJobs adds all finished jobs but the newest kept, once there are more than twice as
// many.
func (b *backlog) findFinishedJobs(l *ledger.Ledger) {
	known, active := l.Counts()
	if known-active <= 2*b.kept {
		return
	}
	var all []finished[wire.JobID]
	l.EachArchivable(func(id wire.JobID, revision wire.Revision) {
		all = append(all, finished[wire.JobID]{id, revision})
	})
	if len(all) <= b.kept {
		return
	}
	sortByAge(all)
	for _, job := range all[:len(all)-b.kept] {
		b.jobs = append(b.jobs, job.id)
	}
	slices.SortFunc(b.jobs, func(a, b wire.JobID) int {
		return cmp.Or(cmp.Compare(archive.Position(string(a)), archive.Position(string(b))), cmp.Compare(a, b))
	})
}

// findTerminatedMachines adds terminated machines without claims, in groups of one part of a
// series that have at least minCompacted.
func (b *backlog) findTerminatedMachines(l *ledger.Ledger) {
	groups := map[archive.PartID][]wire.MachineID{}
	l.MachinePhases(func(m wire.MachineID, phase ledger.MachinePhase) {
		if part, ok := archive.PartOfMachine(string(m)); ok && phase == ledger.Terminated && len(l.ClaimsOn(m)) == 0 {
			groups[part] = append(groups[part], m)
		}
	})
	for _, group := range groups {
		if len(group) >= b.minCompacted {
			slices.Sort(group)
			b.machines = append(b.machines, group)
		}
	}
	slices.SortFunc(b.machines, func(a, b []wire.MachineID) int { return strings.Compare(string(a[0]), string(b[0])) })
}

// findEndedWorkflows adds all workflows that are over but the newest kept, once there are more than
// twice as many.
func (b *backlog) findEndedWorkflows(l *ledger.Ledger) {
	var all []finished[wire.WorkflowID]
	l.EachWorkflow(func(w *ledger.Workflow) {
		if w.Ended() {
			all = append(all, finished[wire.WorkflowID]{w.ID, w.Version})
		}
	})
	if len(all) <= 2*b.kept {
		return
	}
	sortByAge(all)
	for _, w := range all[:len(all)-b.kept] {
		b.workflows = append(b.workflows, w.id)
	}
}
