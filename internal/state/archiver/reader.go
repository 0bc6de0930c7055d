package archiver

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Bounds of reading the archive.
const (
	// maxCachedFinals is how many final states of archived jobs are held in memory.
	maxCachedFinals = 4096
	// readShare is the part of a controller's requests that reads of the archive may take.
	readShare = 0.25
	// maxReadDelay is how long a read may wait for its turn.
	maxReadDelay = 800 * time.Millisecond
	// readTimeout bounds one read, from its turn on.
	readTimeout = 2 * time.Second
)

// archiveReader reads the archive in the state service, at a pace of its own and only for names
// that the filter lets pass. It is safe for concurrent use.
type archiveReader struct {
	host  Host
	store kvstore.Store
	stats *metrics.Set

	finals   *lru.Cache[wire.JobID, ledger.FinalRecord] // of jobs requested or archived recently
	inFlight singleflight.Group                         // reads: one per job, one per range of the filter
	pace     *rate.Limiter                              // of all reads
}

// newArchiveReader returns a reader that takes readShare of so many requests per second.
func newArchiveReader(host Host, store kvstore.Store, requests float64, stats *metrics.Set) *archiveReader {
	finals, err := lru.New[wire.JobID, ledger.FinalRecord](maxCachedFinals)
	if err != nil {
		panic(err) // only for a size below 1
	}
	share := requests * readShare
	return &archiveReader{
		host:   host,
		store:  store,
		stats:  stats,
		finals: finals,
		pace:   rate.NewLimiter(rate.Limit(share), max(1, int(share))),
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

// readFinal reads a job's final state and caches it. The error is ErrUnknown if there is none.
func (r *archiveReader) readFinal(ctx context.Context, id wire.JobID) (ledger.FinalRecord, error) {
	var record ledger.FinalRecord
	item, err := r.get(ctx, ledger.FinalKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		return record, ErrUnknown
	}
	if err != nil {
		return record, err
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
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
	return w, json.Unmarshal(item.Value, &w.WorkflowRecord)
}

// get reads one key of the archive.
func (r *archiveReader) get(ctx context.Context, key string) (wire.Item, error) {
	item, err := paced(ctx, r, func(ctx context.Context) (wire.Item, error) { return r.store.Get(ctx, key) })
	if errors.Is(err, kvstore.ErrNotFound) {
		r.stats.Add("archive_misses_total", 1)
	}
	return item, err
}

// paced calls read, which reads the archive, when the pace of such reads allows it. An error wraps
// ErrUnavailable or is kvstore.ErrNotFound.
func paced[T any](
	ctx context.Context,
	r *archiveReader,
	read func(context.Context) (T, error),
) (result T, err error) {
	turn := r.pace.Reserve()
	if delay := turn.Delay(); delay > maxReadDelay {
		turn.Cancel()
		r.stats.Add("archive_reads_shed_total", 1)
		return result, ErrUnavailable
	} else if delay > 0 {
		time.Sleep(delay)
	}
	// Other requests may share this read, so it does not end with the request that started it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	r.stats.Add("archive_reads_total", 1)
	if result, err = read(ctx); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		err = errors.Join(ErrUnavailable, err)
	}
	return result, err
}
