package archiver

import (
	"context"
	"log/slog"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// scanInterval is the minimum time between two scans of the records.
const scanInterval = 5 * time.Second

// moveCounts counts what was moved out of the records, and the changes needed for it.
type moveCounts struct{ jobs, machines, workflows, changes int }

// add adds other to m.
func (m *moveCounts) add(other moveCounts) {
	m.jobs += other.jobs
	m.machines += other.machines
	m.workflows += other.workflows
	m.changes += other.changes
}

// mover moves finished work out of the records, one transaction at a time. It is not safe for
// concurrent use.
type mover struct {
	host   Host
	reader *archiveReader
	stats  *metrics.Set
	log    *slog.Logger

	backlog   backlog
	scannedAt time.Time  // time of the last scan
	sinceScan moveCounts // moves since the last scan
}

// move commits one transaction of moves and returns its number of changes, 0 if there is nothing to move
// or no spare capacity.
func (m *mover) move(ctx context.Context, now time.Time) (int, error) {
	spare := m.host.SpareCapacity()
	if spare == 0 {
		return 0, nil
	}
	name := ""
	m.host.Read(func(l *ledger.Ledger) { name = m.nextFilterName(l, now) })
	if name != "" {
		known := func(l *ledger.Ledger) bool { return l.FilterPageKnown(name) }
		if _, err := m.reader.ensurePage(ctx, name, known); err != nil {
			return 0, err
		}
	}
	var records *ledger.Ledger
	var txn *ledger.Transaction
	var counts moveCounts
	var request wire.Txn
	var err error
	m.host.Read(func(l *ledger.Ledger) {
		records, txn = l, l.NewLimitedTransaction(spare)
		counts = m.backlog.fill(l, txn)
		request, err = txn.Request()
	})
	if err != nil || len(request.Then) == 0 {
		return 0, err
	}
	committed, err := m.host.Commit(ctx, request)
	m.host.Read(func(l *ledger.Ledger) {
		switch {
		case l != records:
		case err != nil:
			l.DropFilterPage(name) // the stored page may have another version now
		default:
			txn.Committed(committed)
		}
	})
	counts.changes = len(request.Then)
	if err == nil {
		m.count(counts)
	}
	return counts.changes, err
}

// count adds to the metrics and to the counts in the next log message.
func (m *mover) count(done moveCounts) {
	m.sinceScan.add(done)
	m.stats.Add("jobs_archived_total", int64(done.jobs))
	m.stats.Add("machines_swept_total", int64(done.machines))
	m.stats.Add("workflows_archived_total", int64(done.workflows))
	m.stats.Add("history_changes_total", int64(done.changes))
}

// nextFilterName scans the records if nothing is left from the last scan. It returns a name on the filter
// page that the next transaction needs, or "" if it needs none.
func (m *mover) nextFilterName(l *ledger.Ledger, now time.Time) string {
	if m.backlog.empty() && now.Sub(m.scannedAt) > scanInterval {
		if done := m.sinceScan; done.changes > 0 {
			m.log.Info("jobs archived",
				"jobs", done.jobs, "machines", done.machines, "workflows", done.workflows, "changes", done.changes)
		}
		m.scannedAt, m.sinceScan = now, moveCounts{}
		m.backlog.scan(l)
	}
	return m.backlog.nextFilterName(l)
}
