// Package archiver is the part of a controller that keeps work that is over out of the way: it
// tells of archived jobs and workflows, and at the fleet's leader moves jobs, workflows and
// machines out of the records that all controllers mirror (docs/history.md). It reaches the
// rest of the controller through Host alone.
package archiver

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"maddermill/internal/metrics"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Errors of requests.
var (
	ErrUnknown     = errors.New("past: neither on record nor archived")
	ErrUnavailable = errors.New("past: the archive can't be read now")
)

// Host is what the controller is to this part.
type Host interface {
	// Read gives f the mirrored records under the mirror's lock. f must not wait, nor keep
	// what it is given beyond drafts.
	Read(f func(l *ledger.Ledger))
	// Leading reports whether this controller leads the fleet, as far as it is in touch.
	Leading() bool
	// AllRead reports whether every controller says that it reads a format of records.
	AllRead(format int) bool
	// Spare is how many changes a transaction may have now that is in nobody's way; 0: none.
	Spare() int
	// Commit runs a transaction and waits until the mirror shows its outcome.
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

// Options are the settings of a keeper.
type Options struct {
	Archive    bool          // jobs, workflows and machines are moved
	Kept       int           // jobs, and workflows, that are over and stay
	Settle     time.Duration // since the format was raised, until anything moves
	FormatUpTo int           // the newest format to raise the records to; 0: the newest
	SweepAfter int           // machines of one part that are swept together; 0: as usual
	TxnOps     int           // changes that a transaction may have
	Requests   float64       // a second, this controller's share
	Changes    float64       // a second, of all controllers
}

// Archiver is that part of a controller. Final, Told and Workflow may be called at any time,
// Run once.
type Archiver struct {
	host  Host
	store kvstore.Store
	opt   Options
	stats *metrics.Set
	log   *slog.Logger

	finals *lru.Cache[wire.JobID, ledger.FinalRecord] // of archived jobs asked about or moved lately
	reads  singleflight.Group                         // of the archive, one a job
	pace   *rate.Limiter                              // of these reads

	// Run's own: jobs that are to be moved, in their order in the filter, and machines to be
	// swept, those of one part together.
	jobs     []wire.JobID
	machines [][]wire.MachineID
	flows    []wire.WorkflowID
	looked   time.Time // when there was last something to be looked for
	took     moved     // since then
}

type moved struct{ jobs, machines, flows, changes int }

// Bounds of keeping history.
const (
	mostFinals = 4096 // final states of archived jobs in memory
	// readShare is the part of a controller's share of requests that reads of the archive
	// may take; longestRead is how long one may wait for its turn.
	readShare   = 0.25
	longestRead = 800 * time.Millisecond
	// archiveShare is the part of all changes that moving takes when nothing else needs them.
	archiveShare = 0.25
	lookEvery    = 5 * time.Second
	// leastMove is how many changes a transaction must take: a job's record, its final state,
	// and a page of the filter that is split.
	leastMove = 5
	// sweepAfter is how many machines of one part must be gone until they are swept, so that
	// the head of their series, which starts are conditioned on, is seldom written.
	sweepAfter = 64
)

// New returns a keeper that moves nothing before Run.
func New(host Host, store kvstore.Store, opt Options, stats *metrics.Set, log *slog.Logger) *Archiver {
	finals, err := lru.New[wire.JobID, ledger.FinalRecord](mostFinals)
	if err != nil {
		panic(err) // only for a size below 1
	}
	opt.SweepAfter = cmp.Or(opt.SweepAfter, sweepAfter)
	share := opt.Requests * readShare
	return &Archiver{
		host:   host,
		store:  store,
		opt:    opt,
		stats:  stats,
		log:    log,
		finals: finals,
		pace:   rate.NewLimiter(rate.Limit(share), max(1, int(share))),
	}
}

// CacheFinal keeps the final state of a job that has just left the records.
func (k *Archiver) CacheFinal(id wire.JobID, r ledger.FinalRecord) { k.finals.Add(id, r) }

// CachedFinal returns the final state of a job that was archived, if it is known here.
func (k *Archiver) CachedFinal(id wire.JobID) (ledger.FinalRecord, bool) { return k.finals.Get(id) }

// mayBeArchived reports whether a job that a fresh ledger doesn't hold, or by its name in the
// filter a workflow, may be archived.
func (k *Archiver) mayBeArchived(
	ctx context.Context,
	name string,
	ask func(*ledger.Ledger) (may, known bool),
) (may bool, err error) {
	known, err := k.knowPage(ctx, name, func(l *ledger.Ledger) (known bool) {
		may, known = ask(l)
		return known
	})
	if err != nil {
		return false, err
	}
	return may || !known, nil // if it moved under way the archive itself tells
}

// knowPage reads the page of the filter that a name is on if it is not known yet, as known
// tells; from then on it is kept up by what leaves the ledger. It tells false if the records
// were read anew again and again meanwhile.
func (k *Archiver) knowPage(ctx context.Context, name string, known func(*ledger.Ledger) bool) (bool, error) {
	at := archive.Position(name)
	for range 3 {
		var led *ledger.Ledger
		var since uint64
		var ok bool
		k.host.Read(func(l *ledger.Ledger) {
			led, since = l, l.FilterAdditions()
			ok = known(l)
		})
		if ok {
			return true, nil
		}
		// Names that are near each other are most likely on one page.
		read := k.reads.DoChan(archive.PageName(at)[:5], func() (any, error) {
			return nil, k.readPage(ctx, at, led, since)
		})
		select {
		case a := <-read:
			if a.Err != nil {
				return false, a.Err
			}
		case <-ctx.Done():
			return false, ErrUnavailable
		}
	}
	return false, nil
}

// readPage reads the page of the filter that a position is on.
func (k *Archiver) readPage(ctx context.Context, at uint32, led *ledger.Ledger, since uint64) error {
	page, version := archive.FirstPage(), wire.Revision(0)
	got, err := inTurn(ctx, k, func(ctx context.Context) (wire.ItemPage, error) {
		return k.store.List(ctx, ledger.FilterPrefix, ledger.FilterKey(at), 1)
	})
	if err != nil {
		return err
	}
	if len(got.Items) > 0 {
		version = got.Items[0].Version
		if err := json.Unmarshal(got.Items[0].Value, page); err != nil {
			return err
		}
	}
	k.host.Read(func(l *ledger.Ledger) {
		if l == led { // else it was read anew, and may have missed something since
			l.PutFilterPage(page, version, since)
		}
	})
	return nil
}

// Final tells the final state of a job that is in the archive, or ErrUnknown. It is to
// be asked about a job that a fresh ledger doesn't hold. Requests for one job share a read;
// more jobs than the reads' pace allows are put off.
func (k *Archiver) Final(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	if r, ok := k.finals.Get(id); ok {
		return r.Status(id), nil
	}
	may, err := k.mayBeArchived(ctx, string(id), func(l *ledger.Ledger) (bool, bool) { return l.MayBeArchived(id) })
	if err != nil {
		return wire.JobStatus{}, err
	}
	if !may {
		return wire.JobStatus{}, ErrUnknown
	}
	got := k.reads.DoChan(string(id), func() (any, error) {
		it, err := k.readArchive(ctx, ledger.FinalKey(id))
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, ErrUnknown
		}
		if err != nil {
			return nil, err
		}
		var r ledger.FinalRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			return nil, err
		}
		k.finals.Add(id, r)
		return r, nil
	})
	select {
	case a := <-got:
		if a.Err != nil {
			return wire.JobStatus{}, a.Err
		}
		return a.Val.(ledger.FinalRecord).Status(id), nil
	case <-ctx.Done():
		return wire.JobStatus{}, ErrUnavailable
	}
}

// inTurn reads from the archive at the pace that such reads have. Its error wraps
// ErrUnavailable or is kvstore.ErrNotFound.
func inTurn[T any](ctx context.Context, k *Archiver, read func(context.Context) (T, error)) (got T, err error) {
	turn := k.pace.Reserve()
	if d := turn.Delay(); d > longestRead {
		turn.Cancel()
		k.stats.Add("archive_reads_shed_total", 1)
		return got, ErrUnavailable
	} else if d > 0 {
		time.Sleep(d)
	}
	// Others may wait for the same answer, so it doesn't end with the one who asked first.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	k.stats.Add("archive_reads_total", 1)
	if got, err = read(ctx); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		err = errors.Join(ErrUnavailable, err)
	}
	return got, err
}

// readArchive reads one key of the archive.
func (k *Archiver) readArchive(ctx context.Context, key string) (wire.Item, error) {
	it, err := inTurn(ctx, k, func(ctx context.Context) (wire.Item, error) { return k.store.Get(ctx, key) })
	if errors.Is(err, kvstore.ErrNotFound) {
		k.stats.Add("archive_misses_total", 1)
	}
	return it, err
}

// Run raises the records' format once all controllers read the new one, and moves
// what is over out of the records, in what the budget has to spare.
func (k *Archiver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		if !k.host.Leading() || !k.opt.Archive || k.opt.TxnOps < leastMove {
			k.jobs, k.machines, k.flows = nil, nil, nil
			continue
		}
		var format ledger.FormatRecord
		k.host.Read(func(l *ledger.Ledger) { format, _ = l.Format() })
		if format.Format < SupportedFormat(k.opt.FormatUpTo) {
			k.raise(ctx, time.Now())
		}
		if format.Format < ledger.ArchiveFormat {
			continue
		}
		// What a controller without the archive has sent may land late, and is not
		// conditioned on it.
		if settled := time.UnixMilli(int64(format.At)).Add(k.opt.Settle); !format.Fresh && time.Now().Before(settled) {
			continue
		}
		for ctx.Err() == nil {
			n, err := k.move(ctx, time.Now())
			if err != nil && ctx.Err() == nil {
				k.log.Debug("jobs not archived", "err", err)
			}
			if n == 0 {
				break
			}
			wait.For(ctx, time.Duration(float64(n)/(archiveShare*k.opt.Changes)*float64(time.Second)))
		}
	}
	return ctx.Err()
}

// SupportedFormat is the newest format of records that a controller lets come about, held down to a
// format; 0: not held down.
func SupportedFormat(upTo int) int {
	if upTo > 0 {
		return min(upTo, ledger.NewestFormat)
	}
	return ledger.NewestFormat
}

// raise makes the records' format the newest if every controller says that it reads it.
func (k *Archiver) raise(ctx context.Context, now time.Time) {
	to := SupportedFormat(k.opt.FormatUpTo)
	if !k.host.AllRead(to) {
		return
	}
	var txn wire.Txn
	var err error
	k.host.Read(func(l *ledger.Ledger) {
		d := l.NewTransaction()
		if err = d.UpgradeFormat(to, wire.UnixMillis(now.UnixMilli())); err == nil {
			txn, err = d.Request()
		}
	})
	if err == nil {
		_, err = k.host.Commit(ctx, txn)
	}
	if err != nil {
		k.log.Debug("records format not upgraded", "err", err)
		return
	}
	k.log.Info("records have a new format", "format", to)
}

// move moves one transaction's worth out of the records and returns how many changes
// that took; 0 if there is nothing to be moved, or no change to spare.
func (k *Archiver) move(ctx context.Context, now time.Time) (int, error) {
	changes := k.host.Spare()
	if changes == 0 {
		return 0, nil
	}
	name := ""
	k.host.Read(func(l *ledger.Ledger) { name = k.next(l, now) })
	if name != "" {
		if _, err := k.knowPage(ctx, name, func(l *ledger.Ledger) bool { return l.FilterPageKnown(name) }); err != nil {
			return 0, err
		}
	}
	var led *ledger.Ledger
	var d *ledger.Transaction
	var took moved
	var txn wire.Txn
	var err error
	k.host.Read(func(l *ledger.Ledger) {
		led, d = l, l.NewTransactionOf(changes)
		took = k.draft(l, d)
		txn, err = d.Request()
	})
	if err != nil || len(txn.Then) == 0 {
		return 0, err
	}
	at, err := k.host.Commit(ctx, txn)
	k.host.Read(func(l *ledger.Ledger) {
		switch {
		case l != led:
		case err != nil:
			l.DropFilterPage(name) // it is no longer known which version it has
		default:
			d.Committed(at)
		}
	})
	if err != nil {
		return len(txn.Then), err
	}
	k.took.jobs += took.jobs
	k.took.machines += took.machines
	k.took.flows += took.flows
	k.took.changes += len(txn.Then)
	k.stats.Add("jobs_archived_total", int64(took.jobs))
	k.stats.Add("machines_swept_total", int64(took.machines))
	k.stats.Add("workflows_archived_total", int64(took.flows))
	k.stats.Add("history_changes_total", int64(len(txn.Then)))
	return len(txn.Then), nil
}

// next looks for what is to be moved if nothing is left from the last look, and returns the
// name whose page of the filter the next move needs, "" if it needs none.
func (k *Archiver) next(l *ledger.Ledger, now time.Time) string {
	if len(k.jobs)+len(k.machines)+len(k.flows) == 0 && now.Sub(k.looked) > lookEvery {
		if t := k.took; t.changes > 0 {
			k.log.Info("jobs archived", "jobs", t.jobs, "machines", t.machines, "workflows", t.flows, "changes", t.changes)
		}
		k.looked, k.took = now, moved{}
		k.findFinished(l)
		k.findGone(l)
		k.findFlows(l)
	}
	for len(k.jobs) > 0 && !l.Archivable(k.jobs[0]) {
		k.jobs = k.jobs[1:]
	}
	switch {
	case len(k.jobs) > 0:
		return string(k.jobs[0])
	case len(k.machines) == 0 && len(k.flows) > 0:
		return ledger.WorkflowFilterName(k.flows[0])
	}
	return ""
}

// draft fills a draft with the next that is to be moved. What no longer can be is passed
// over; what does not fit stays for the next.
func (k *Archiver) draft(l *ledger.Ledger, d *ledger.Transaction) (took moved) {
	if len(k.jobs) > 0 {
		page := l.FilterPage(k.jobs[0])
		var ids []wire.JobID
		end := 0
		for _, id := range k.jobs {
			if page == nil || !page.Covers(string(id)) || len(ids) > d.RemainingChanges() {
				break
			}
			if end++; l.Archivable(id) {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			k.jobs = k.jobs[end:]
			return moved{}
		}
		n, err := d.Archive(ids)
		if err == nil {
			k.jobs = k.jobs[slices.Index(k.jobs, ids[n-1])+1:]
			return moved{jobs: n}
		}
		if d.DeleteTaskRanges(ids[0]) == nil {
			return moved{}
		}
		k.jobs = k.jobs[slices.Index(k.jobs, ids[0])+1:]
		if !errors.Is(err, ledger.ErrPreconditionFailed) {
			k.log.Warn("job can't be archived", "job", ids[0], "err", err)
		}
		return moved{}
	}
	for len(k.machines) > 0 {
		group := k.machines[0]
		part, _ := archive.PartOfMachine(string(group[0]))
		for n := min(len(group), max(1, d.RemainingChanges()-2)); n > 0; n-- {
			if d.CompactTerminated(part, group[:n]) == nil {
				if k.machines[0] = group[n:]; n == len(group) {
					k.machines = k.machines[1:]
				}
				return moved{machines: n}
			}
		}
		k.machines = k.machines[1:]
	}
	for len(k.flows) > 0 {
		id := k.flows[0]
		k.flows = k.flows[1:]
		if d.ArchiveWorkflow(id) == nil {
			return moved{flows: 1}
		}
	}
	return moved{}
}

// findFinished chooses jobs to be archived, once there are twice as many as are to be kept:
// all but the newest of them.
func (k *Archiver) findFinished(l *ledger.Ledger) {
	known, active := l.Counts()
	keep := k.opt.Kept
	if known-active <= 2*keep {
		return
	}
	type finished struct {
		id wire.JobID
		at wire.Revision
	}
	var all []finished
	l.EachFinished(func(id wire.JobID, at wire.Revision) { all = append(all, finished{id, at}) })
	if len(all) <= keep {
		return
	}
	slices.SortFunc(all, func(a, b finished) int { return cmp.Compare(a.at, b.at) })
	for _, f := range all[:len(all)-keep] {
		k.jobs = append(k.jobs, f.id)
	}
	slices.SortFunc(k.jobs, func(a, b wire.JobID) int {
		return cmp.Or(cmp.Compare(archive.Position(string(a)), archive.Position(string(b))), cmp.Compare(a, b))
	})
}

// findGone chooses machines to be swept.
func (k *Archiver) findGone(l *ledger.Ledger) {
	parts := map[archive.PartID][]wire.MachineID{}
	l.MachinePhases(func(m wire.MachineID, k ledger.MachinePhase) {
		if part, ok := archive.PartOfMachine(string(m)); ok && k == ledger.Terminated && len(l.ClaimsOn(m)) == 0 {
			parts[part] = append(parts[part], m)
		}
	})
	for _, names := range parts {
		if len(names) >= k.opt.SweepAfter {
			slices.Sort(names)
			k.machines = append(k.machines, names)
		}
	}
	slices.SortFunc(k.machines, func(a, b []wire.MachineID) int { return strings.Compare(string(a[0]), string(b[0])) })
}

// findFlows chooses workflows to be archived as findFinished does jobs.
func (k *Archiver) findFlows(l *ledger.Ledger) {
	type over struct {
		id wire.WorkflowID
		at wire.Revision
	}
	var all []over
	l.EachWorkflow(func(w *ledger.Workflow) {
		if w.Ended() {
			all = append(all, over{w.ID, w.Version})
		}
	})
	if keep := k.opt.Kept; len(all) > 2*keep {
		slices.SortFunc(all, func(a, b over) int { return cmp.Compare(a.at, b.at) })
		for _, w := range all[:len(all)-keep] {
			k.flows = append(k.flows, w.id)
		}
	}
}

// Workflow returns the record of a workflow that a fresh ledger doesn't hold, or nil if
// it is not archived either.
func (k *Archiver) Workflow(ctx context.Context, id wire.WorkflowID) (*ledger.Workflow, error) {
	may, err := k.mayBeArchived(
		ctx,
		ledger.WorkflowFilterName(id),
		func(l *ledger.Ledger) (bool, bool) { return l.WorkflowMayBeArchived(id) },
	)
	if err != nil || !may {
		return nil, err
	}
	it, err := k.readArchive(ctx, ledger.FinalWorkflowKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	w := &ledger.Workflow{ID: id, Version: it.Version}
	return w, json.Unmarshal(it.Value, &w.WorkflowRecord)
}
