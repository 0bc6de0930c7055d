// Package cloud is a client for the cloud's machine API: machine types and prices, scale-out, scale-in, and
// the list of provisioned machines (PROTOCOL, the cloud's interface).
//
// Client enforces the cloud's request rate limit and does not retry. Its errors distinguish requests that
// were certainly not executed (ErrRefused, ErrNoCapacity) from those that may have been executed or may
// still be (ErrUnknown). A caller that retries must use an idempotent request: scale-out with the same
// request ID, or scale-in. A Client is safe for concurrent use.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"maddermill/internal/exactjson"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// Errors of requests to the cloud, to be checked with errors.Is.
var (
	// ErrNoCapacity means that the cloud has no machine of the requested kind; none was provisioned.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrRefused means that the request was not sent or was rejected, and is not executed.
	ErrRefused = errors.New("cloud: request not sent or rejected")
	// ErrUnknown means that there is no valid response; the request may have been executed, or may still be.
	ErrUnknown = errors.New("cloud: no valid response, outcome unknown")
)

// Maximum number of machines per request.
const (
	MaxScaleOut = 50  // per scale-out request
	MaxScaleIn  = 100 // per scale-in request
	pageSize    = 500 // per page of the machine list
)

const (
	// requestTimeout is the timeout of a request, in addition to the caller's context.
	requestTimeout = 5 * time.Second
	// budgetShare is the fraction of the request rate that a client uses. The rest is left for the last
	// requests in flight of the previous leader.
	budgetShare = 0.9
	// noCapacityMessage is the error text in the body of a response that reports a lack of capacity.
	noCapacityMessage = "no capacity"
)

// Client sends requests to the cloud within its request rate limit.
type Client struct {
	http    *http1.Client
	limiter *rate.Limiter
}

// NewClient returns a client that sends at most budgetShare*rps requests per second.
func NewClient(h *http1.Client, rps float64) *Client {
	return &Client{http: h, limiter: rate.NewLimiter(rate.Limit(rps*budgetShare), 1)}
}

// do sends a request with body encoded as JSON, unless it is nil, and decodes the response into result,
// unless that is nil.
func (c *Client) do(ctx context.Context, method, path, query string, body, result any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return errors.Join(ErrRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request := &http1.Request{Method: method, Path: path, Query: query}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("cloud: %s %s: encode body: %w", method, path, err)
		}
		request.Body = encoded
	}
	response, err := c.http.Do(ctx, request)
	switch {
	case errors.Is(err, http1.ErrNotSent):
		return errors.Join(ErrRefused, err)
	case err != nil:
		return errors.Join(ErrUnknown, err)
	case response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests:
		return refusalError(response.Body)
	case response.Status != http.StatusOK:
		return fmt.Errorf("cloud: %s %s: status %d: %.200s", method, path, response.Status, response.Body)
	}
	if result == nil {
		return nil
	}
	if err := exactjson.Unmarshal(response.Body, result); err != nil {
		return errors.Join(ErrUnknown, err)
	}
	return nil
}

// refusalError returns the error for a response that rejects a request: ErrNoCapacity or ErrRefused.
func refusalError(body []byte) error {
	if wire.ErrorMessage(body) == noCapacityMessage {
		return ErrNoCapacity
	}
	return ErrRefused
}

// MachineTypes returns the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var list wire.MachineTypeList
	err := c.do(ctx, http.MethodGet, "/flavors", "", nil, &list)
	return list.Types, err
}

// ScaleOut provisions up to MaxScaleOut machines and returns their IDs, possibly fewer than requested. It is
// idempotent: a request ID that was used before returns the machines of that request and provisions none.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) ([]wire.MachineID, error) {
	var list wire.MachineIDList
	err := c.do(ctx, http.MethodPost, "/machines", "", request, &list)
	return list.Names, err
}

// ScaleIn terminates up to MaxScaleIn machines. When it succeeds, they and all tasks on them have ended.
func (c *Client) ScaleIn(ctx context.Context, ids []wire.MachineID) error {
	return c.do(ctx, http.MethodPost, "/machines/return", "", wire.MachineIDList{Names: ids}, nil)
}

// List returns all machines in the cloud's list of provisioned machines, which lags behind.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var machines []wire.ListedMachine
	after := ""
	for {
		query := fmt.Sprintf("most=%d", pageSize)
		if after != "" {
			query += "&from=" + after
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/machines", query, nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		after = string(page.Machines[len(page.Machines)-1].ID)
	}
}
