package archiver

import (
	"context"
	"errors"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"maddermill/internal/exactjson"
	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Limits for reading the archive.
const (
	// maxCachedFinals is how many final states of archived jobs are cached.
	maxCachedFinals = 4096
	// readShare is the fraction of the controller's request rate available to archive reads.
	readShare = 0.25
	// maxReadDelay is how long the rate limiter may delay a read; otherwise the read is shed.
	maxReadDelay = 800 * time.Millisecond
	// readTimeout is the timeout of one read, not including that delay.
	readTimeout = 2 * time.Second
)

// archiveReader reads the archive from the state service. Its reads have their own rate limit, and it
// reads only names that the filter may contain. It is safe for concurrent use.
type archiveReader struct {
	host  Host
	store kvstore.Store
	stats *metrics.Set

	finals   *lru.Cache[wire.JobID, ledger.FinalRecord] // of recently requested or archived jobs
	inFlight singleflight.Group                         // merges concurrent reads, by job or by range of the filter
	limiter  *rate.Limiter                              // of all archive reads
}

// newArchiveReader returns a reader that uses at most readShare of the given requests per second.
func newArchiveReader(host Host, store kvstore.Store, requests float64, stats *metrics.Set) *archiveReader {
	finals, err := lru.New[wire.JobID, ledger.FinalRecord](maxCachedFinals)
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	share := requests * readShare
	return &archiveReader{
		host:    host,
		store:   store,
		stats:   stats,
		finals:  finals,
		limiter: rate.NewLimiter(rate.Limit(share), max(1, int(share))),
	}
}

// final implements Archiver.Final.
func (r *archiveReader) final(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	if record, ok := r.finals.Get(id); ok {
		return record.Status(id), nil
	}
	may, err := r.mayBeArchived(ctx, string(id), func(l *ledger.Ledger) (bool, bool) { return l.MayBeArchived(id) })
	if err != nil {
		return wire.JobStatus{}, err
	}
	if !may {
		return wire.JobStatus{}, ErrUnknown
	}
	read := r.inFlight.DoChan(string(id), func() (any, error) { return r.readFinal(ctx, id) })
	select {
	case result := <-read:
		if result.Err != nil {
			return wire.JobStatus{}, result.Err
		}
		return result.Val.(ledger.FinalRecord).Status(id), nil
	case <-ctx.Done():
		return wire.JobStatus{}, ErrUnavailable
	}
}

// readFinal reads and caches the final state of a job. It returns ErrUnknown if there is none.
func (r *archiveReader) readFinal(ctx context.Context, id wire.JobID) (ledger.FinalRecord, error) {
	var record ledger.FinalRecord
	item, err := r.get(ctx, ledger.FinalKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		return record, ErrUnknown
	}
	if err != nil {
		return record, err
	}
	if err := exactjson.Unmarshal(item.Value, &record); err != nil {
		return record, err
	}
	r.finals.Add(id, record)
	return record, nil
}

// workflow implements Archiver.Workflow.
func (r *archiveReader) workflow(ctx context.Context, id wire.WorkflowID) (*ledger.Workflow, error) {
	may, err := r.mayBeArchived(
		ctx,
		ledger.WorkflowFilterName(id),
		func(l *ledger.Ledger) (bool, bool) { return l.WorkflowMayBeArchived(id) },
	)
	if err != nil || !may {
		return nil, err
	}
	item, err := r.get(ctx, ledger.FinalWorkflowKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	w := &ledger.Workflow{ID: id, Version: item.Version}
	return w, exactjson.Unmarshal(item.Value, &w.WorkflowRecord)
}

// get reads a key of the archive.
func (r *archiveReader) get(ctx context.Context, key string) (wire.Item, error) {
	item, err := rateLimited(ctx, r, func(ctx context.Context) (wire.Item, error) { return r.store.Get(ctx, key) })
	if errors.Is(err, kvstore.ErrNotFound) {
		r.stats.Add("archive_misses_total", 1)
	}
	return item, err
}

// rateLimited calls read, which reads the archive, once the rate limiter permits it. It returns an error
// that wraps ErrUnavailable or is kvstore.ErrNotFound.
func rateLimited[T any](
	ctx context.Context,
	r *archiveReader,
	read func(context.Context) (T, error),
) (result T, err error) {
	reservation := r.limiter.Reserve()
	if delay := reservation.Delay(); delay > maxReadDelay {
		reservation.Cancel()
		r.stats.Add("archive_reads_shed_total", 1)
		return result, ErrUnavailable
	} else if delay > 0 {
		time.Sleep(delay)
	}
	// Other callers may share this read, so it must outlive the context of the one that started it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	r.stats.Add("archive_reads_total", 1)
	if result, err = read(ctx); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		err = errors.Join(ErrUnavailable, err)
	}
	return result, err
}
