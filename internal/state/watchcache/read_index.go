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
	readIndexShare   = 0.4                     // the part of a controller's share of requests that it may take
	readIndexBurst   = 2                       // requests
	readIndexEvery   = time.Second             // how often it is read without a request
	readIndexTimeout = 1500 * time.Millisecond // for the records to reach the revision that was read
)

// readIndexRequest is one read of the service's revision, which any number of callers wait for.
type readIndexRequest struct {
	done chan struct{} // closed once err is set
	err  error
}

// readIndexQueue collects the callers of ReadIndex that the next read of the revision serves. A read
// that has begun must not serve callers that came later.
type readIndexQueue struct {
	wake chan struct{} // holds one value while a request is pending

	mu      sync.Mutex        // guards the field below
	pending *readIndexRequest // nil: none
}

// join returns the pending request, and makes one if there is none.
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

// take removes and returns the pending request; nil: there is none.
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

// ReadIndex returns once the records hold all that was committed before the call. Its error is
// kvstore.ErrUnreachable when the service did not answer or ctx ended.
func (c *Cache) ReadIndex(ctx context.Context) error {
	request := c.reads.join()
	select {
	case <-request.done:
		return request.err
	case <-ctx.Done():
		return kvstore.ErrUnreachable
	}
}

// ServeReadIndex serves the callers of ReadIndex, one read of the revision after the other, until ctx
// ends. It also reads the revision once a second by itself, which keeps SyncedAt recent.
func (c *Cache) ServeReadIndex(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(c.opt.Requests*readIndexShare), readIndexBurst)
	idle := time.NewTicker(readIndexEvery)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.reads.wake:
		case <-idle.C:
		}
		if limiter.Wait(ctx) != nil {
			return ctx.Err()
		}
		request := c.reads.take()
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

// sync reads the service's revision, waits until the records have reached it, and then notes the time
// at which the read began as that of the last sync.
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
