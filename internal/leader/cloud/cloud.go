// Package cloud is the client of the cloud's machine interface: machine types and prices, scale-out,
// scale-in, and the list of rented machines (PROTOCOL, the cloud's interface).
//
// Client keeps to the cloud's request budget by a rate limiter and does not retry. An error tells whether
// the request was certainly not executed (ErrRefused, ErrNoCapacity) or may have been, or may be later
// (ErrUnknown); the caller has to make a repetition harmless, which it is for scale-out under the same
// request ID and for scale-in. A Client may be used by several goroutines at once.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// Errors of requests to the cloud, to be compared by errors.Is.
var (
	// ErrNoCapacity: the cloud has no machine of the kind; nothing was rented.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrRefused: the request was not sent or was refused, and is not executed.
	ErrRefused = errors.New("cloud: refused, not executed")
	// ErrUnknown: there is no usable answer; the request may have been executed, or may be later.
	ErrUnknown = errors.New("cloud: no answer, outcome unknown")
)

// Limits of single requests, in machines.
const (
	MaxScaleOut = 50  // that a scale-out rents
	MaxReturn   = 100 // that a scale-in returns
	pageSize    = 500 // that a page of the list has
)

const (
	// requestTimeout bounds a request, beside the caller's context.
	requestTimeout = 5 * time.Second
	// budgetShare is the part of the request rate that a client uses. The rest is left for a
	// predecessor whose last requests are still under way.
	budgetShare = 0.9
	// noCapacityMessage is the error in the body of an answer that has no capacity to offer.
	noCapacityMessage = "no capacity"
)

// Client sends requests to the cloud within its request budget.
type Client struct {
	http    *http1.Client
	limiter *rate.Limiter
}

// NewClient returns a client that sends at most budgetShare of rps requests a second.
func NewClient(h *http1.Client, rps float64) *Client {
	return &Client{http: h, limiter: rate.NewLimiter(rate.Limit(rps*budgetShare), 1)}
}

// do sends a request with a body, if that is not nil, and decodes the answer into another value, if that
// is not nil.
func (c *Client) do(ctx context.Context, method, path, query string, body, into any) error {
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
		return refusal(response.Body)
	case response.Status != http.StatusOK:
		return fmt.Errorf("cloud: %s %s: status %d: %.200s", method, path, response.Status, response.Body)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body, into); err != nil {
		return errors.Join(ErrUnknown, err)
	}
	return nil
}

// refusal returns the error of an answer that refuses a request: ErrNoCapacity or ErrRefused.
func refusal(body []byte) error {
	var problem wire.ErrorBody
	_ = json.Unmarshal(body, &problem) // a body that is not understood gives no reason
	if problem.Error == noCapacityMessage {
		return ErrNoCapacity
	}
	return ErrRefused
}

// MachineTypes returns the machine types at current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var list wire.MachineTypeList
	err := c.do(ctx, http.MethodGet, "/flavors", "", nil, &list)
	return list.Types, err
}

// ScaleOut rents up to MaxHire machines and returns their IDs, which may be fewer than requested. Under a
// request ID that was used before it returns that request's machines and rents nothing.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) ([]wire.MachineID, error) {
	var list wire.MachineIDList
	err := c.do(ctx, http.MethodPost, "/machines", "", request, &list)
	return list.Names, err
}

// ScaleIn returns up to MaxReturn machines. When it succeeds, they and all tasks on them have ended.
func (c *Client) ScaleIn(ctx context.Context, ids []wire.MachineID) error {
	return c.do(ctx, http.MethodPost, "/machines/return", "", wire.MachineIDList{Names: ids}, nil)
}

// List returns all machines that the cloud lists as rented. The list lags behind.
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
