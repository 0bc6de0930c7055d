// Package kvstore is the client of the state service: reads, transactions, leases
// and watches within the request and change budgets.
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

// Errors of the state service. After ErrUnknown the request may have been
// executed, or may yet be.
var (
	ErrRefused           = errors.New("state: refused, not executed")
	ErrUnknown           = errors.New("state: no answer, outcome unknown")
	ErrNotFound          = errors.New("state: no such key")
	ErrUnreachable       = errors.New("state: service out of reach")
	ErrRevisionCompacted = errors.New("state: revision too old to watch from")
	ErrLeaseNotFound     = errors.New("state: no such lease")
	ErrInvalid           = errors.New("state: request not accepted")

	errBusy = errors.New("state: over its limits")
)

// ConflictError is a transaction whose conditions did not hold.
type ConflictError struct {
	Failed   []string
	Revision wire.Revision
}

func (c *ConflictError) Error() string { return fmt.Sprintf("state: conflict on %v", c.Failed) }

// Store is what the rest of the service needs of the state service.
type Store interface {
	Revision(ctx context.Context) (wire.Revision, error)
	Get(ctx context.Context, key string) (wire.Item, error)
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
	AvailableChanges() int // how many a transaction may have without waiting for the budget
	Watch(ctx context.Context, prefix string, after wire.Revision, wait time.Duration) (wire.Events, error)
	GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error)
	RenewLease(ctx context.Context, id wire.LeaseID) error
}

// TxnBytes bounds a transaction: under the service's 64 KiB, with room for framing.
const TxnBytes = 60 << 10

// Client speaks the protocol.
type Client struct {
	http     *http1.Client
	watch    *http1.Client
	requests *rate.Limiter
	changes  *budget
}

// budget is how many changes a second one controller may make. Its fair share is
// always its own. What the others leave unused it finds out by asking for a little
// more after each success; a refusal takes it back to half, or to its share.
type budget struct {
	*rate.Limiter
	share, most rate.Limit
}

func newBudget(total float64, count, burst int) *budget {
	share, most := rate.Limit(total/float64(count)), rate.Limit(total*mostChanges)
	return &budget{rate.NewLimiter(share, burst), share, max(share, most)}
}

// mostChanges is how much of all changes one controller may come to make.
const mostChanges = 0.8

func (b *budget) granted(n int) { b.SetLimit(min(b.most, b.Limit()+b.share/20*rate.Limit(n))) }
func (b *budget) refused()      { b.SetLimit(max(b.share, b.Limit()/2)) }

// requestTimeout is how long an answer is waited for. Usual answers take under
// 10 ms, slow ones some hundred.
const requestTimeout = 1500 * time.Millisecond

// NewClient returns the client of one of count controllers that share the service's
// limits of requests and changes a second.
func NewClient(short, long *http1.Client, requestRate, changeRate float64, count, txnOps int) *Client {
	requestRate, changeRate = requestRate*headroom, changeRate*headroom
	share := requestRate / float64(count)
	return &Client{http: short, watch: long,
		requests: rate.NewLimiter(rate.Limit(share), max(1, int(share/2))),
		changes:  newBudget(changeRate, count, max(txnOps, int(math.Ceil(changeRate/float64(count)))))}
}

// headroom is the part of the service's limits that is used.
const headroom = 0.95

func (c *Client) do(ctx context.Context, method, path, query string, body any) (*http1.Response, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return nil, errors.Join(ErrRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return exchange(ctx, c.http, method, path, query, body)
}

func exchange(ctx context.Context, h *http1.Client, method, path, query string, body any) (*http1.Response, error) {
	q := &http1.Request{Method: method, Path: path, Query: query}
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Join(ErrInvalid, err)
		}
		q.Body = b
	}
	p, err := h.Do(ctx, q)
	switch {
	case errors.Is(err, http1.ErrNotSent):
		return nil, errors.Join(ErrRefused, err)
	case err != nil:
		return nil, errors.Join(ErrUnknown, err)
	case p.Status == 429:
		return nil, errors.Join(ErrRefused, errBusy)
	case p.Status == 503:
		return nil, ErrRefused
	}
	return p, nil
}

func decode[T any](p *http1.Response) (T, error) {
	var v T
	if err := json.Unmarshal(p.Body, &v); err != nil {
		return v, errors.Join(ErrUnknown, err)
	}
	return v, nil
}

func unexpected(p *http1.Response) error {
	return fmt.Errorf("%w: status %d: %.200s", ErrInvalid, p.Status, p.Body)
}

// Revision reads the service's revision: all that had been committed before the
// call is at or below it.
func (c *Client) Revision(ctx context.Context) (wire.Revision, error) {
	page, err := c.List(ctx, "~", "", 1)
	return page.Revision, err
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (wire.Item, error) {
	p, err := c.do(ctx, "GET", "/store/"+key, "", nil)
	if err != nil {
		return wire.Item{}, err
	}
	switch p.Status {
	case 200:
		return decode[wire.Item](p)
	case 404:
		return wire.Item{}, ErrNotFound
	}
	return wire.Item{}, unexpected(p)
}

// List reads a page of keys with a prefix.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	q := "starts=" + prefix + "&most=" + strconv.Itoa(limit)
	if after != "" {
		q += "&from=" + after
	}
	p, err := c.do(ctx, "GET", "/store", q, nil)
	if err != nil {
		return wire.ItemPage{}, err
	}
	if p.Status != 200 {
		return wire.ItemPage{}, unexpected(p)
	}
	return decode[wire.ItemPage](p)
}

// Commit runs a transaction. Its error is a *Conflict when conditions failed.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	if n := len(t.Then); n > 0 {
		if err := c.changes.WaitN(ctx, n); err != nil {
			return 0, errors.Join(ErrRefused, err)
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
	case 200, 409:
		r, err := decode[wire.TxnResult](p)
		if err == nil && p.Status == 409 {
			err = &ConflictError{r.Failed, r.Revision}
		}
		return r.Revision, err
	}
	var problem wire.ErrorBody
	if json.Unmarshal(p.Body, &problem); problem.Error == "no such lease" {
		return 0, ErrLeaseNotFound
	}
	return 0, unexpected(p)
}

// AvailableChanges is how many changes the budget has room for now.
func (c *Client) AvailableChanges() int { return int(c.changes.Tokens()) }

// Watch waits for changes after a revision.
func (c *Client) Watch(
	ctx context.Context,
	prefix string,
	after wire.Revision,
	wait time.Duration,
) (wire.Events, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return wire.Events{}, errors.Join(ErrRefused, err)
	}
	// An open watch that hears nothing is given up: the connection may be dead
	// without saying so.
	ctx, cancel := context.WithTimeout(ctx, wait+3*time.Second)
	defer cancel()
	q := fmt.Sprintf("starts=%s&from=%d&wait_ms=%d", prefix, after, wait.Milliseconds())
	p, err := exchange(ctx, c.watch, "GET", "/changes", q, nil)
	if err != nil {
		return wire.Events{}, err
	}
	switch p.Status {
	case 200:
		return decode[wire.Events](p)
	case 410:
		return wire.Events{}, ErrRevisionCompacted
	}
	return wire.Events{}, unexpected(p)
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error) {
	p, err := c.do(ctx, "POST", "/leases", "", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	if p.Status/100 != 2 {
		return 0, unexpected(p)
	}
	g, err := decode[wire.LeaseGrant](p)
	return g.Lease, err
}

// RenewLease keeps a lease.
func (c *Client) RenewLease(ctx context.Context, id wire.LeaseID) error {
	p, err := c.do(ctx, "POST", fmt.Sprintf("/leases/%d/renew", id), "", nil)
	switch {
	case err != nil:
		return err
	case p.Status == 404:
		return ErrLeaseNotFound
	case p.Status/100 != 2:
		return unexpected(p)
	}
	return nil
}
