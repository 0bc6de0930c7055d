package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"maddermill/internal/exactjson"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// requestTimeout is the time limit for a response. A response usually takes less than 10 ms, a slow one some
// hundred.
const requestTimeout = 1500 * time.Millisecond

// watchGrace is how much longer than the requested wait a watch may take. After that it is aborted, since
// its connection may be dead without reporting an error.
const watchGrace = 3 * time.Second

// limitFraction is the fraction of the service's rate limits that controllers use.
const limitFraction = 0.95

// HTTP status codes of responses.
const (
	statusOK              = 200
	statusNotFound        = 404
	statusConflict        = 409
	statusGone            = 410
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// leaseNotFoundBody is the error text of the response to a transaction that uses an expired lease.
const leaseNotFoundBody = "no such lease"

// Client implements Store over the service's HTTP protocol.
type Client struct {
	http     *http1.Client // for short requests
	watch    *http1.Client // for watches
	requests *rate.Limiter
	changes  *changeBudget
}

var _ Store = (*Client)(nil)

// NewClient returns the client of one of count controllers that share the service's limits of requests and
// changes per second. requestClient serves short requests, watchClient the watches, which block for long.
func NewClient(requestClient, watchClient *http1.Client, requestRate, changeRate float64, count, txnOps int) *Client {
	requestRate, changeRate = requestRate*limitFraction, changeRate*limitFraction
	share := requestRate / float64(count)
	return &Client{
		http:     requestClient,
		watch:    watchClient,
		requests: rate.NewLimiter(rate.Limit(share), max(1, int(share/2))),
		changes:  newChangeBudget(changeRate, count, max(txnOps, int(math.Ceil(changeRate/float64(count))))),
	}
}

// Revision implements Store.
func (c *Client) Revision(ctx context.Context) (wire.Revision, error) {
	// No key has this prefix, so the page is empty, but it contains the service's current revision.
	page, err := c.list(ctx, "~", "", 1)
	if err != nil {
		return page.Revision, fmt.Errorf("state: read revision: %w", err)
	}
	return page.Revision, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (wire.Item, error) {
	item, err := c.get(ctx, key)
	if err != nil {
		return item, fmt.Errorf("state: get %s: %w", key, err)
	}
	return item, nil
}

func (c *Client) get(ctx context.Context, key string) (wire.Item, error) {
	resp, err := c.do(ctx, "GET", "/store/"+key, "", nil)
	if err != nil {
		return wire.Item{}, err
	}
	switch resp.Status {
	case statusOK:
		return decode[wire.Item](resp)
	case statusNotFound:
		return wire.Item{}, ErrNotFound
	}
	return wire.Item{}, unexpectedStatus(resp)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	page, err := c.list(ctx, prefix, after, limit)
	if err != nil {
		return page, fmt.Errorf("state: list %s after %q: %w", prefix, after, err)
	}
	return page, nil
}

func (c *Client) list(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	query := "starts=" + prefix + "&most=" + strconv.Itoa(limit)
	if after != "" {
		query += "&from=" + after
	}
	resp, err := c.do(ctx, "GET", "/store", query, nil)
	if err != nil {
		return wire.ItemPage{}, err
	}
	if resp.Status != statusOK {
		return wire.ItemPage{}, unexpectedStatus(resp)
	}
	return decode[wire.ItemPage](resp)
}

// Commit implements Store. It waits until the budget allows the transaction's changes.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	revision, err := c.commit(ctx, t)
	var conflict *ConflictError
	if err != nil && !errors.As(err, &conflict) { // the message of a ConflictError names the operation already
		return revision, fmt.Errorf("state: commit of %d changes: %w", len(t.Then), err)
	}
	return revision, err
}

func (c *Client) commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	if n := len(t.Then); n > 0 {
		if err := c.changes.wait(ctx, n); err != nil {
			return 0, refusedError(err)
		}
	}
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	if t.Then == nil {
		t.Then = []wire.Change{}
	}
	resp, err := c.do(ctx, "POST", "/multi", "", t)
	if errors.Is(err, errRateLimited) {
		c.changes.decrease()
	}
	if err != nil {
		return 0, err
	}
	c.changes.increase(len(t.Then))
	switch resp.Status {
	case statusOK, statusConflict:
		result, err := decode[wire.TxnResult](resp)
		if err == nil && resp.Status == statusConflict {
			err = &ConflictError{Failed: result.Failed, Revision: result.Revision}
		}
		return result.Revision, err
	}
	if wire.ErrorMessage(resp.Body) == leaseNotFoundBody {
		return 0, ErrLeaseNotFound
	}
	return 0, unexpectedStatus(resp)
}

// AvailableChanges implements Store.
func (c *Client) AvailableChanges() int { return c.changes.available() }

// Watch implements Store.
func (c *Client) Watch(
	ctx context.Context,
	prefix string,
	after wire.Revision,
	wait time.Duration,
) (wire.Events, error) {
	events, err := c.watchOnce(ctx, prefix, after, wait)
	if err != nil {
		return events, fmt.Errorf("state: watch %s after revision %d: %w", prefix, after, err)
	}
	return events, nil
}

func (c *Client) watchOnce(
	ctx context.Context,
	prefix string,
	after wire.Revision,
	wait time.Duration,
) (wire.Events, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return wire.Events{}, refusedError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := fmt.Sprintf("starts=%s&from=%d&wait_ms=%d", prefix, after, wait.Milliseconds())
	resp, err := exchange(ctx, c.watch, "GET", "/changes", query, nil)
	if err != nil {
		return wire.Events{}, err
	}
	switch resp.Status {
	case statusOK:
		return decode[wire.Events](resp)
	case statusGone:
		return wire.Events{}, ErrRevisionCompacted
	}
	return wire.Events{}, unexpectedStatus(resp)
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error) {
	resp, err := c.do(ctx, "POST", "/leases", "", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()})
	if err == nil && !succeeded(resp) {
		err = unexpectedStatus(resp)
	}
	var grant wire.LeaseGrant
	if err == nil {
		grant, err = decode[wire.LeaseGrant](resp)
	}
	if err != nil {
		return grant.Lease, fmt.Errorf("state: grant lease of %v: %w", ttl, err)
	}
	return grant.Lease, nil
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id wire.LeaseID) error {
	resp, err := c.do(ctx, "POST", fmt.Sprintf("/leases/%d/renew", id), "", nil)
	switch {
	case err != nil:
	case resp.Status == statusNotFound:
		err = ErrLeaseNotFound
	case !succeeded(resp):
		err = unexpectedStatus(resp)
	}
	if err != nil {
		return fmt.Errorf("state: renew lease %d: %w", id, err)
	}
	return nil
}

// do sends a request, within the limit of requests per second, and waits for the response.
func (c *Client) do(ctx context.Context, method, path, query string, body any) (*http1.Response, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return nil, refusedError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return exchange(ctx, c.http, method, path, query, body)
}

// exchange sends a request, with body encoded as JSON unless it is nil, and waits for the response until ctx
// is done. Its error wraps ErrRefused, ErrUnknown or ErrInvalid.
func exchange(ctx context.Context, h *http1.Client, method, path, query string, body any) (*http1.Response, error) {
	request := &http1.Request{Method: method, Path: path, Query: query}
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		request.Body = b
	}
	resp, err := h.Do(ctx, request)
	switch {
	case errors.Is(err, http1.ErrNotSent):
		return nil, refusedError(err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	case resp.Status == statusTooManyRequests:
		return nil, refusedError(errRateLimited)
	case resp.Status == statusUnavailable:
		return nil, ErrRefused
	}
	return resp, nil
}

// refusedError returns an error that wraps ErrRefused and its reason.
func refusedError(reason error) error { return fmt.Errorf("%w: %w", ErrRefused, reason) }

// decode decodes the body of a response. A malformed body counts as no response: the error wraps ErrUnknown.
func decode[T any](resp *http1.Response) (T, error) {
	var v T
	if err := exactjson.Unmarshal(resp.Body, &v); err != nil {
		return v, fmt.Errorf("%w: decode response: %w", ErrUnknown, err)
	}
	return v, nil
}

// succeeded reports whether a response has a 2xx status.
func succeeded(resp *http1.Response) bool { return resp.Status/100 == 2 }

// unexpectedStatus returns the error for a response whose status the protocol does not define for the request.
func unexpectedStatus(resp *http1.Response) error {
	return fmt.Errorf("%w: status %d: %.200s", ErrInvalid, resp.Status, resp.Body)
}
