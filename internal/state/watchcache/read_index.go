package watchcache

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"maddermill/internal/state/kvstore"
)

// Settings of the read index.
const (
	readIndexShare    = 0.4                     // fraction of the controller's request rate that it may use
	readIndexBurst    = 2                       // requests
	readIndexInterval = time.Second             // how often the revision is read without a caller
	readIndexTimeout  = 1500 * time.Millisecond // time limit for the records to reach the revision that was read
)

// readIndexRequest is one read of the service's revision, shared by any number of callers.
type readIndexRequest struct {
	done chan struct{} // closed after err has been set
	err  error
}

// readIndexQueue collects the callers of ReadIndex that share the next read of the revision. A caller must
// not share a read that has already begun, since that read may miss commits made before the call.
type readIndexQueue struct {
	wake chan struct{} // holds one value while a request is pending

	mu      sync.Mutex        // guards the field below
	pending *readIndexRequest // nil if there is none
}

// join returns the pending request, after creating it if there is none.
func (q *readIndexQueue) join() *readIndexRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = &readIndexRequest{done: make(chan struct{})}
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return q.pending
}

// take removes and returns the pending request, or nil if there is none.
func (q *readIndexQueue) take() *readIndexRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	request := q.pending
	q.pending = nil
	select {
	case <-q.wake:
	default:
	}
	return request
}

// ReadIndex returns once the records include everything that was committed before the call. It returns
// kvstore.ErrUnreachable if the service did not respond or ctx is done.
func (c *Cache) ReadIndex(ctx context.Context) error {
	request := c.readIndex.join()
	select {
	case <-request.done:
		return request.err
	case <-ctx.Done():
		return kvstore.ErrUnreachable
	}
}

// ServeReadIndex serves the callers of ReadIndex, with one read of the revision at a time, until ctx is
// done. It also reads the revision every readIndexInterval without a caller, to keep SyncedAt recent.
func (c *Cache) ServeReadIndex(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(c.opt.RequestRate*readIndexShare), readIndexBurst)
	idle := time.NewTicker(readIndexInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.readIndex.wake:
		case <-idle.C:
		}
		if limiter.Wait(ctx) != nil {
			return ctx.Err()
		}
		request := c.readIndex.take()
		err := c.sync(ctx)
		if request == nil {
			continue
		}
		if err != nil {
			request.err = kvstore.ErrUnreachable
		}
		close(request.done)
	}
}

// sync reads the service's revision, waits until the records have reached it, and then records the start of
// the read as the time of the last sync.
func (c *Cache) sync(ctx context.Context) error {
	start := time.Now()
	revision, err := c.store.Revision(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	if err := c.WaitForRevision(ctx, revision); err != nil {
		return err
	}
	c.Lock()
	defer c.Unlock()
	c.syncedAt = start
	return nil
}
