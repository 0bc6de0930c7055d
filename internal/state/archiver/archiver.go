// Package archiver implements the controller component that moves finished work out of the records,
// which every controller holds in memory (docs/history.md). It builds on the data structures of package
// archive, the filter of archived names and the compact set of terminated machines, and adds the I/O,
// the rate limiting and the selection of what to move.
//
// It has two tasks:
//
//   - On every controller, an archiveReader looks up jobs and workflows that are no longer in the
//     records in the archive, which is stored in the state service.
//   - On the leader, Run upgrades the format of the records, and a mover archives finished jobs and
//     workflows and compacts terminated machines, using spare write capacity only.
//
// An Archiver accesses the rest of the controller only through Host. It must not hold the lock of the
// records while it reads or writes the state service.
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

// Errors returned by lookups.
var (
	// ErrUnknown is returned for a job that is neither in the records nor in the archive.
	ErrUnknown = errors.New("archiver: job found neither in the records nor in the archive")
	// ErrUnavailable is returned when the archive cannot be read at the moment. The caller may retry.
	ErrUnavailable = errors.New("archiver: archive temporarily unavailable")
)

// Host is the interface through which the archiver accesses its controller.
type Host interface {
	// Read calls f with the cached records while holding the cache's lock. f must not block, and
	// must not retain its argument except in transactions.
	Read(f func(l *ledger.Ledger))
	// Leading reports whether this controller is the leader, as of its last sync.
	Leading() bool
	// AllSupportFormat reports whether every controller has declared that it can read a format of the records.
	AllSupportFormat(format int) bool
	// SpareCapacity returns how many changes a transaction may contain now without delaying other
	// work, 0 if none.
	SpareCapacity() int
	// Commit commits a transaction and waits until the cached records reflect its outcome.
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

// Options are the settings of an Archiver.
type Options struct {
	Enabled      bool          // move jobs, workflows and machines; lookups work regardless
	KeptJobs     int           // number of finished jobs, and of finished workflows, to keep in the records
	SettlePeriod time.Duration // delay after a format upgrade before anything is moved
	FormatUpTo   int           // newest format to upgrade the records to; 0 means the newest known
	MinCompacted int           // terminated machines of one part from which on they are compacted; 0 means minCompacted
	TxnOps       int           // maximum number of changes in a transaction
	Requests     float64       // state service requests per second available to this controller
	Changes      float64       // changes per second available to all controllers together
}

const (
	// runInterval is the delay between iterations of Run.
	runInterval = time.Second
	// changeShare is the fraction of Options.WriteRate that moving uses when nothing else needs it.
	changeShare = 0.25
	// minTxnChanges is the smallest transaction limit with which archiving works: a job's record,
	// its final state, and the changes that split a page of the filter.
	minTxnChanges = 5
	// minCompacted is how many machines of one part must be terminated before they are compacted.
	// Compaction writes the head of the machines' series, and task starts are conditioned on that
	// key, so it should be written rarely.
	minCompacted = 64
)

// Archiver moves finished work to the archive and looks up archived work. Final, Workflow, CacheFinal
// and CachedFinal are safe for concurrent use. Run must be called only once.
type Archiver struct {
	host   Host
	opt    Options
	log    *slog.Logger
	reader *archiveReader
	mover  *mover // used only by Run
}

// New returns an Archiver. It moves nothing until Run is called.
func New(host Host, store kvstore.Store, opt Options, stats *metrics.Set, log *slog.Logger) *Archiver {
	opt.MinCompacted = cmp.Or(opt.MinCompacted, minCompacted)
	reader := newArchiveReader(host, store, opt.Requests, stats)
	return &Archiver{
		host:   host,
		opt:    opt,
		log:    log,
		reader: reader,
		mover: &mover{
			host:    host,
			reader:  reader,
			stats:   stats,
			log:     log,
			backlog: backlog{keptCount: opt.KeptJobs, minCompacted: opt.MinCompacted, log: log},
		},
	}
}

// CacheFinal caches the final state of a job that was just removed from the records.
func (a *Archiver) CacheFinal(id wire.JobID, r ledger.FinalRecord) { a.reader.finals.Add(id, r) }

// CachedFinal returns the final state of an archived job if it is cached.
func (a *Archiver) CachedFinal(id wire.JobID) (ledger.FinalRecord, bool) {
	return a.reader.finals.Get(id)
}

// Final returns the final state of an archived job, or ErrUnknown if there is none. Call it only for a
// job that up-to-date records do not contain. Concurrent calls for one job share one read. Calls that
// exceed the rate limit for such reads fail with ErrUnavailable.
func (a *Archiver) Final(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	return a.reader.final(ctx, id)
}

// Workflow returns the archived record of a workflow, or nil if there is none. Call it only for a
// workflow that up-to-date records do not contain.
func (a *Archiver) Workflow(ctx context.Context, id wire.WorkflowID) (*ledger.Workflow, error) {
	return a.reader.workflow(ctx, id)
}

// Run does its work while this controller is the leader, until ctx ends. It upgrades the format of the
// records once all controllers can read the new one, and moves finished work out of the records with
// spare write capacity.
func (a *Archiver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, runInterval)
		if !a.host.Leading() {
			a.mover.backlog.clear()
			continue
		}
		var format ledger.FormatRecord
		a.host.Read(func(l *ledger.Ledger) { format, _ = l.Format() })
		if format.Format < SupportedFormat(a.opt.FormatUpTo) {
			a.upgradeFormat(ctx, time.Now())
		}
		archives := a.opt.Enabled && a.opt.TxnOps >= minTxnChanges
		if archives && format.Format >= ledger.ArchiveFormat && a.settled(format) {
			a.moveAll(ctx)
		}
	}
	return ctx.Err()
}

// settled reports whether Options.SettlePeriod has passed since the format upgrade. A transaction sent by a
// controller of a version without the archive may be applied late, and is not conditioned on the
// archive.
func (a *Archiver) settled(format ledger.FormatRecord) bool {
	return format.NoOlderWriters || !time.Now().Before(time.UnixMilli(int64(format.At)).Add(a.opt.SettlePeriod))
}

// moveAll commits moves, one transaction at a time and at the rate given by changeShare, until nothing
// is left to move or there is no spare capacity.
func (a *Archiver) moveAll(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := a.mover.move(ctx, time.Now())
		if err != nil && ctx.Err() == nil {
			a.log.Debug("jobs not archived", "err", err)
		}
		if changes == 0 {
			return
		}
		wait.For(ctx, time.Duration(float64(changes)/(changeShare*a.opt.Changes)*float64(time.Second)))
	}
}

// SupportedFormat returns the newest format to which a controller upgrades the records. A positive upTo
// is an upper bound; 0 means no bound.
func SupportedFormat(upTo int) int {
	if upTo > 0 {
		return min(upTo, ledger.NewestFormat)
	}
	return ledger.NewestFormat
}

// upgradeFormat upgrades the records to the newest supported format if every controller has declared
// that it can read it.
func (a *Archiver) upgradeFormat(ctx context.Context, now time.Time) {
	to := SupportedFormat(a.opt.FormatUpTo)
	if !a.host.AllSupportFormat(to) {
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
