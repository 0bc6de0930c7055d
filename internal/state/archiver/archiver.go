// Package archiver is the controller's component that keeps finished work out of the records that
// every controller holds in memory (docs/history.md). Package archive holds the pure data
// structures it is built on: the filter of archived names and the compact set of terminated
// machines; this package does the input and output, the pacing and the choice of what to move.
//
// It has two jobs:
//
//   - On every controller, an archiveReader answers requests for jobs and workflows that are no
//     longer on record, from the archive in the state service.
//   - On the fleet's leader, Run upgrades the format of the records and a mover archives jobs and
//     workflows that are over and compacts terminated machines, with changes nobody else needs.
//
// An Archiver reaches the rest of the controller through Host alone. It must not hold the lock of
// the records while it reads or writes the state service.
package archiver

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Errors of requests.
var (
	// ErrUnknown is returned for a job that is neither on record nor archived.
	ErrUnknown = errors.New("archiver: neither on record nor archived")
	// ErrUnavailable is returned when the archive can't be read now; the request may be retried.
	ErrUnavailable = errors.New("archiver: the archive can't be read now")
)

// Host is what the archiver needs of its controller.
type Host interface {
	// Read calls f with the cached records under the cache's lock. f must not block, and must
	// not retain its argument other than in transactions.
	Read(f func(l *ledger.Ledger))
	// Leading reports whether this controller leads the fleet, as of its last sync.
	Leading() bool
	// AllRead reports whether every controller declares that it reads a format of the records.
	AllRead(format int) bool
	// Spare returns how many changes a transaction may have now without delaying other work;
	// 0 means none.
	SpareCapacity() int
	// Commit runs a transaction and waits until the cached records show its outcome.
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

// Options are the settings of an Archiver.
type Options struct {
	Archive    bool          // jobs, workflows and machines are moved
	KeptJobs   int           // finished jobs, and finished workflows, that stay on record
	Settle     time.Duration // from the upgrade of the format until anything is moved
	FormatUpTo int           // the newest format to upgrade the records to; 0: the newest known
	SweepAfter int           // machines of one part that are compacted together; 0: minCompacted
	TxnOps     int           // changes that a transaction may have
	Requests   float64       // state service requests per second, this controller's share
	Changes    float64       // changes per second, of all controllers
}

const (
	// runEvery is the pause between two rounds of Run.
	runEvery = time.Second
	// archiveShare is the part of all changes that moving takes when nothing else needs them.
	archiveShare = 0.25
	// minTxnOps is how many changes a transaction must be able to have: a job's record, its
	// final state, and a page of the filter that is split.
	minTxnOps = 5
	// minCompacted is how many machines of one part must be terminated before they are
	// compacted. Task starts are conditioned on the head of the machine's series, so it
	// should rarely be written.
	minCompacted = 64
)

// Archiver is the component. Final, Workflow, CacheFinal and CachedFinal are safe for concurrent
// use; Run must be called once.
type Archiver struct {
	host   Host
	opt    Options
	log    *slog.Logger
	reader *archiveReader
	mover  *mover // used by Run alone
}

// New returns an Archiver that moves nothing before Run.
func New(host Host, store kvstore.Store, opt Options, stats *metrics.Set, log *slog.Logger) *Archiver {
	opt.SweepAfter = cmp.Or(opt.SweepAfter, minCompacted)
	reader := newArchiveReader(host, store, opt.Requests, stats)
	return &Archiver{
		host:   host,
		opt:    opt,
		log:    log,
		reader: reader,
		mover: &mover{
			host:    host,
			pages:   reader,
			stats:   stats,
			log:     log,
			backlog: backlog{kept: opt.KeptJobs, minCompacted: opt.SweepAfter, log: log},
		},
	}
}

// CacheFinal remembers the final state of a job that has just left the records.
func (a *Archiver) CacheFinal(id wire.JobID, r ledger.FinalRecord) { a.reader.finals.Add(id, r) }

// CachedFinal returns the final state of an archived job if it is in memory.
func (a *Archiver) CachedFinal(id wire.JobID) (ledger.FinalRecord, bool) {
	return a.reader.finals.Get(id)
}

// Final returns the final state of a job that is in the archive, or ErrUnknown. Call it only for a
// job that a ledger brought up to date does not hold. Concurrent requests for one job share one
// read; requests beyond the pace of such reads fail with ErrUnavailable.
func (a *Archiver) Final(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	return a.reader.final(ctx, id)
}

// Workflow returns the record of a workflow that a ledger brought up to date does not hold, or nil
// if it is not archived either.
func (a *Archiver) Workflow(ctx context.Context, id wire.WorkflowID) (*ledger.Workflow, error) {
	return a.reader.workflow(ctx, id)
}

// Run works until ctx ends, on the leader only. It upgrades the format of the records once all
// controllers read the new one, and moves what is over out of the records with the changes that
// are spare.
func (a *Archiver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, runEvery)
		if !a.host.Leading() {
			a.mover.backlog.clear()
			continue
		}
		var format ledger.FormatRecord
		a.host.Read(func(l *ledger.Ledger) { format, _ = l.Format() })
		if format.Format < SupportedFormat(a.opt.FormatUpTo) {
			a.upgradeFormat(ctx, time.Now())
		}
		archives := a.opt.Archive && a.opt.TxnOps >= minTxnOps
		if archives && format.Format >= ledger.ArchiveFormat && a.settled(format) {
			a.moveAll(ctx)
		}
	}
	return ctx.Err()
}

// settled reports whether the format was upgraded long enough ago: what a controller without the
// archive has sent may be applied late, and is not conditioned on the archive.
func (a *Archiver) settled(format ledger.FormatRecord) bool {
	return format.NoOlderWriters || !time.Now().Before(time.UnixMilli(int64(format.At)).Add(a.opt.Settle))
}

// moveAll moves transaction after transaction, at the pace of archiveShare, until nothing is left
// to be moved or no change is spare.
func (a *Archiver) moveAll(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := a.mover.move(ctx, time.Now())
		if err != nil && ctx.Err() == nil {
			a.log.Debug("jobs not archived", "err", err)
		}
		if changes == 0 {
			return
		}
		wait.For(ctx, time.Duration(float64(changes)/(archiveShare*a.opt.Changes)*float64(time.Second)))
	}
}

// SupportedFormat returns the newest format of the records that a controller lets come about. A
// positive upTo is an upper bound; 0 is none.
func SupportedFormat(upTo int) int {
	if upTo > 0 {
		return min(upTo, ledger.NewestFormat)
	}
	return ledger.NewestFormat
}

// upgradeFormat makes the records' format the newest one if every controller declares that it
// reads it.
func (a *Archiver) upgradeFormat(ctx context.Context, now time.Time) {
	to := SupportedFormat(a.opt.FormatUpTo)
	if !a.host.AllRead(to) {
		return
	}
	var request wire.Txn
	var err error
	a.host.Read(func(l *ledger.Ledger) {
		txn := l.NewTransaction()
		if err = txn.UpgradeFormat(to, wire.UnixMillis(now.UnixMilli())); err == nil {
			request, err = txn.Request()
		}
	})
	if err == nil {
		_, err = a.host.Commit(ctx, request)
	}
	if err != nil {
		a.log.Debug("records format not upgraded", "err", err)
		return
	}
	a.log.Info("records have a new format", "format", to)
}
