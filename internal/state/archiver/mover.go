package archiver

import (
	"context"
	"log/slog"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// scanEvery is the least time between two scans of the records for what is to be moved.
const scanEvery = 5 * time.Second

// moved counts what left the records, and the changes that this took.
type moved struct{ jobs, machines, workflows, changes int }

// add adds the counts of another.
func (m *moved) add(other moved) {
	m.jobs += other.jobs
	m.machines += other.machines
	m.workflows += other.workflows
	m.changes += other.changes
}

// mover moves what is over out of the records, a transaction at a time. It is not safe for
// concurrent use.
type mover struct {
	host  Host
	pages *archiveReader
	stats *metrics.Set
	log   *slog.Logger

	backlog   backlog
	scannedAt time.Time // when the records were last scanned
	sinceScan moved
}

// move moves one transaction's worth out of the records and returns how many changes that took: 0
// if there is nothing to be moved, or no change is spare.
func (m *mover) move(ctx context.Context, now time.Time) (int, error) {
	spare := m.host.SpareCapacity()
	if spare == 0 {
		return 0, nil
	}
	name := ""
	m.host.Read(func(l *ledger.Ledger) { name = m.next(l, now) })
	if name != "" {
		known := func(l *ledger.Ledger) bool { return l.FilterPageKnown(name) }
		if _, err := m.pages.ensurePage(ctx, name, known); err != nil {
			return 0, err
		}
	}
	var records *ledger.Ledger
	var txn *ledger.Transaction
	var filled moved
	var request wire.Txn
	var err error
	m.host.Read(func(l *ledger.Ledger) {
		records, txn = l, l.NewLimitedTransaction(spare)
		filled = m.backlog.fill(l, txn)
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
			l.DropFilterPage(name) // its version is no longer known
		default:
			txn.Committed(committed)
		}
	})
	filled.changes = len(request.Then)
	if err == nil {
		m.count(filled)
	}
	return filled.changes, err
}

// count adds to the metrics and to the counts of the next log message.
func (m *mover) count(done moved) {
	m.sinceScan.add(done)
	m.stats.Add("jobs_archived_total", int64(done.jobs))
	m.stats.Add("machines_swept_total", int64(done.machines))
	m.stats.Add("workflows_archived_total", int64(done.workflows))
	m.stats.Add("history_changes_total", int64(done.changes))
}

// next scans the records if nothing is left from the last scan, and returns the name whose page of
// the filter the next transaction needs, or "" if it needs none.
func (m *mover) next(l *ledger.Ledger, now time.Time) string {
	if m.backlog.empty() && now.Sub(m.scannedAt) > scanEvery {
		if done := m.sinceScan; done.changes > 0 {
			m.log.Info("jobs archived",
				"jobs", done.jobs, "machines", done.machines, "workflows", done.workflows, "changes", done.changes)
		}
		m.scannedAt, m.sinceScan = now, moved{}
		m.backlog.scan(l)
	}
	return m.backlog.nextName(l)
}
