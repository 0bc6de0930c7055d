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

// backlog holds the jobs, machines and workflows that a scan of the records selected for moving and that
// are not moved yet. They are moved in that order. The caller must hold the lock of the records.
type backlog struct {
	keptCount    int // number of finished jobs, and of finished workflows, to keep in the records
	minCompacted int // smallest group of machines to compact
	log          *slog.Logger

	jobs      []wire.JobID       // ordered by position in the filter
	machines  [][]wire.MachineID // groups of machines in the same part of a series
	workflows []wire.WorkflowID
}

func (b *backlog) empty() bool { return len(b.jobs)+len(b.machines)+len(b.workflows) == 0 }

// clear removes everything from the backlog.
func (b *backlog) clear() { b.jobs, b.machines, b.workflows = nil, nil, nil }

// scan searches the records for what can be moved and adds it to the backlog.
func (b *backlog) scan(l *ledger.Ledger) {
	b.findFinishedJobs(l)
	b.findTerminatedMachines(l)
	b.findEndedWorkflows(l)
}

// nextFilterName removes jobs that are no longer archivable from the head of the backlog. It returns a
// name on the filter page that the next call of fill needs, or "" if it needs none.
func (b *backlog) nextFilterName(l *ledger.Ledger) string {
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

// fill adds the next moves to a transaction. Entries that can no longer be moved are dropped. Entries
// that do not fit remain for the next transaction.
func (b *backlog) fill(l *ledger.Ledger, txn *ledger.Transaction) moveCounts {
	if len(b.jobs) > 0 {
		return moveCounts{jobs: b.archiveJobs(l, txn)}
	}
	if n := b.compactMachines(txn); n > 0 {
		return moveCounts{machines: n}
	}
	return moveCounts{workflows: b.archiveWorkflow(txn)}
}

// archiveJobs archives jobs on one page of the filter and returns how many. If a job has too many task
// ranges for one transaction, the transaction deletes some of the ranges instead.
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

// jobsOfPage returns the archivable jobs at the head of the backlog that are on the same filter page as
// the first one, limited to about the given number of changes. end is how many jobs of the backlog it
// examined.
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

// dropJobsTo removes the jobs up to and including id from the backlog.
func (b *backlog) dropJobsTo(id wire.JobID) { b.jobs = b.jobs[slices.Index(b.jobs, id)+1:] }

// compactMachines compacts as many machines of a group as fit into the transaction and returns how many.
// It drops groups from which no machine can be compacted.
func (b *backlog) compactMachines(txn *ledger.Transaction) int {
	for len(b.machines) > 0 {
		group := b.machines[0]
		part, _ := archive.PartOfMachine(string(group[0]))
		// Two changes are needed for the part and for the head of its series.
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

// archiveWorkflow archives the first archivable workflow and returns 1, or 0 if there is none.
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

// finished is a finished job or workflow with the revision of its last change.
type finished[ID wire.JobID | wire.WorkflowID] struct {
	id       ID
	revision wire.Revision
}

// sortByAge sorts by revision, oldest first.
func sortByAge[ID wire.JobID | wire.WorkflowID](list []finished[ID]) {
	slices.SortFunc(list, func(a, b finished[ID]) int { return cmp.Compare(a.revision, b.revision) })
}

// findFinishedJobs adds all finished jobs except the newest keptCount, once there are more than twice
// that many.
func (b *backlog) findFinishedJobs(l *ledger.Ledger) {
	known, active := l.Counts()
	if known-active <= 2*b.keptCount {
		return
	}
	var all []finished[wire.JobID]
	l.EachArchivable(func(id wire.JobID, revision wire.Revision) {
		all = append(all, finished[wire.JobID]{id, revision})
	})
	if len(all) <= b.keptCount {
		return
	}
	sortByAge(all)
	for _, job := range all[:len(all)-b.keptCount] {
		b.jobs = append(b.jobs, job.id)
	}
	slices.SortFunc(b.jobs, func(a, b wire.JobID) int {
		return cmp.Or(cmp.Compare(archive.Position(string(a)), archive.Position(string(b))), cmp.Compare(a, b))
	})
}

// findTerminatedMachines adds terminated machines without claims, grouped by part of a series. It skips
// groups with fewer than minCompacted machines.
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

// findEndedWorkflows adds all ended workflows except the newest keptCount, once there are more than
// twice that many.
func (b *backlog) findEndedWorkflows(l *ledger.Ledger) {
	var all []finished[wire.WorkflowID]
	l.EachWorkflow(func(w *ledger.Workflow) {
		if w.Ended() {
			all = append(all, finished[wire.WorkflowID]{w.ID, w.Version})
		}
	})
	if len(all) <= 2*b.keptCount {
		return
	}
	sortByAge(all)
	for _, w := range all[:len(all)-b.keptCount] {
		b.workflows = append(b.workflows, w.id)
	}
}
