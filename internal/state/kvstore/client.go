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

	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// requestTimeout bounds the wait for an answer. Usual answers take under 10 ms, slow ones some
// hundred.
const requestTimeout = 1500 * time.Millisecond

// watchGrace is how much longer than its wait a watch may take. One that gets no answer is given up:
// its connection may be dead without an error.
const watchGrace = 3 * time.Second

// headroom is the part of the service's limits that is used.
const headroom = 0.95

// Status codes of answers.
const (
	statusOK              = 200
	statusNotFound        = 404
	statusConflict        = 409
	statusGone            = 410
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// leaseNotFoundBody is the error in the answer to a transaction that names a lease that has ended.
const leaseNotFoundBody = "no such lease"

// Client is a Store over the service's HTTP protocol.
type Client struct {
	http     *http1.Client // for short requests
	watch    *http1.Client // for watches
	requests *rate.Limiter
	changes  *changeBudget
}

var _ Store = (*Client)(nil)

// NewClient returns the client of one of count controllers that share the service's limits of requests
// and changes a second. short and long are the connections for requests and for watches.
func NewClient(short, long *http1.Client, requestRate, changeRate float64, count, txnOps int) *Client {
	requestRate, changeRate = requestRate*headroom, changeRate*headroom
	share := requestRate / float64(count)
	return &Client{
		http:     short,
		watch:    long,
		requests: rate.NewLimiter(rate.Limit(share), max(1, int(share/2))),
		changes:  newChangeBudget(changeRate, count, max(txnOps, int(math.Ceil(changeRate/float64(count))))),
	}
}

// Revision implements Store.
func (c *Client) Revision(ctx context.Context) (wire.Revision, error) {
	// No key has the prefix: the page is empty, and its revision is the service's.
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
	p, err := c.do(ctx, "GET", "/store/"+key, "", nil)
	if err != nil {
		return wire.Item{}, err
	}
	switch p.Status {
	case statusOK:
		return decode[wire.Item](p)
	case statusNotFound:
		return wire.Item{}, ErrNotFound
	}
	return wire.Item{}, unexpected(p)
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
	p, err := c.do(ctx, "GET", "/store", query, nil)
	if err != nil {
		return wire.ItemPage{}, err
	}
	if p.Status != statusOK {
		return wire.ItemPage{}, unexpected(p)
	}
	return decode[wire.ItemPage](p)
}

// Commit implements Store. It waits until the budget has room for the transaction's changes.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	revision, err := c.commit(ctx, t)
	var conflict *ConflictError
	if err != nil && !errors.As(err, &conflict) { // a ConflictError names the operation itself
		return revision, fmt.Errorf("state: commit of %d changes: %w", len(t.Then), err)
	}
	return revision, err
}

func (c *Client) commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	if n := len(t.Then); n > 0 {
		if err := c.changes.wait(ctx, n); err != nil {
			return 0, refused(err)
		}
	}
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	if t.Then == nil {
		t.Then = []wire.Change{}
	}
	p, err := c.do(ctx, "POST", "/multi", "", t)
	if errors.Is(err, errBusy) {
		c.changes.refused()
	}
	if err != nil {
		return 0, err
	}
	c.changes.granted(len(t.Then))
	switch p.Status {
	case statusOK, statusConflict:
		result, err := decode[wire.TxnResult](p)
		if err == nil && p.Status == statusConflict {
			err = &ConflictError{Failed: result.Failed, Revision: result.Revision}
		}
		return result.Revision, err
	}
	var body wire.ErrorBody
	_ = json.Unmarshal(p.Body, &body) // a body that is no ErrorBody is reported whole
	if body.Error == leaseNotFoundBody {
		return 0, ErrLeaseNotFound
	}
	return 0, unexpected(p)
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
		return wire.Events{}, refused(err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := fmt.Sprintf("starts=%s&from=%d&wait_ms=%d", prefix, after, wait.Milliseconds())
	p, err := exchange(ctx, c.watch, "GET", "/changes", query, nil)
	if err != nil {
		return wire.Events{}, err
	}
	switch p.Status {
	case statusOK:
		return decode[wire.Events](p)
	case statusGone:
		return wire.Events{}, ErrRevisionCompacted
	}
	return wire.Events{}, unexpected(p)
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error) {
	p, err := c.do(ctx, "POST", "/leases", "", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()})
	if err == nil && !succeeded(p) {
		err = unexpected(p)
	}
	var grant wire.LeaseGrant
	if err == nil {
		grant, err = decode[wire.LeaseGrant](p)
	}
	if err != nil {
		return grant.Lease, fmt.Errorf("state: grant lease of %v: %w", ttl, err)
	}
	return grant.Lease, nil
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id wire.LeaseID) error {
	p, err := c.do(ctx, "POST", fmt.Sprintf("/leases/%d/renew", id), "", nil)
	switch {
	case err != nil:
	case p.Status == statusNotFound:
		err = ErrLeaseNotFound
	case !succeeded(p):
		err = unexpected(p)
	}
	if err != nil {
		return fmt.Errorf("state: renew lease %d: %w", id, err)
	}
	return nil
}

// do sends a request within the limit of requests and waits for its answer.
func (c *Client) do(ctx context.Context, method, path, query string, body any) (*http1.Response, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return nil, refused(err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return exchange(ctx, c.http, method, path, query, body)
}

// exchange sends a request, with the JSON of body unless that is nil, and waits for its answer until
// ctx ends. Its error wraps ErrRefused, ErrUnknown or ErrInvalid.
func exchange(ctx context.Context, h *http1.Client, method, path, query string, body any) (*http1.Response, error) {
	request := &http1.Request{Method: method, Path: path, Query: query}
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		request.Body = b
	}
	p, err := h.Do(ctx, request)
	switch {
	case errors.Is(err, http1.ErrNotSent):
		return nil, refused(err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	case p.Status == statusTooManyRequests:
		return nil, refused(errBusy)
	case p.Status == statusUnavailable:
		return nil, ErrRefused
	}
	return p, nil
}

// refused returns an ErrRefused with its reason.
func refused(reason error) error { return fmt.Errorf("%w: %w", ErrRefused, reason) }

// decode returns the value in the body of an answer. What can't be decoded is no answer.
func decode[T any](p *http1.Response) (T, error) {
	var v T
	if err := json.Unmarshal(p.Body, &v); err != nil {
		return v, fmt.Errorf("%w: decode the answer: %w", ErrUnknown, err)
	}
	return v, nil
}

// succeeded reports whether an answer's status is one of success.
func succeeded(p *http1.Response) bool { return p.Status/100 == 2 }

// unexpected returns the error for an answer of another status than the protocol has for the request.
func unexpected(p *http1.Response) error {
	return fmt.Errorf("%w: status %d: %.200s", ErrInvalid, p.Status, p.Body)
}
