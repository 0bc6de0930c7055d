// Package cloud is the client of the cloud's machine interface.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// Errors of the cloud. After ErrUnknown the request may be executed late.
var (
	ErrNoCapacity = errors.New("cloud: no capacity")
	ErrRefused    = errors.New("cloud: refused, not executed")
	ErrUnknown    = errors.New("cloud: no answer, outcome unknown")
)

// Limits of single requests.
const (
	MaxHire   = 50
	MaxReturn = 100
	pageSize  = 500
)

// Client speaks the protocol within the cloud's request budget.
type Client struct {
	http    *http1.Client
	limiter *rate.Limiter
}

// NewClient returns a client that sends at most rps requests a second. A little
// is left for a predecessor whose last requests are still under way.
func NewClient(h *http1.Client, rps float64) *Client {
	return &Client{h, rate.NewLimiter(rate.Limit(rps*0.9), 1)}
}

func (c *Client) do(ctx context.Context, method, path, query string, body, into any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return errors.Join(ErrRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	q := &http1.Request{Method: method, Path: path, Query: query}
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		q.Body = b
	}
	p, err := c.http.Do(ctx, q)
	switch {
	case errors.Is(err, http1.ErrNotSent):
		return errors.Join(ErrRefused, err)
	case err != nil:
		return errors.Join(ErrUnknown, err)
	case p.Status == 503 || p.Status == 429:
		var problem wire.ErrorBody
		if json.Unmarshal(p.Body, &problem); problem.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrRefused
	case p.Status != 200:
		return fmt.Errorf("cloud: %s %s: status %d: %.200s", method, path, p.Status, p.Body)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(p.Body, into); err != nil {
		return errors.Join(ErrUnknown, err)
	}
	return nil
}

// MachineTypes returns the machine types at current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var f wire.MachineTypeList
	err := c.do(ctx, "GET", "/flavors", "", nil, &f)
	return f.Types, err
}

// ScaleOut rents machines.
func (c *Client) ScaleOut(ctx context.Context, h wire.ScaleOutRequest) ([]wire.MachineID, error) {
	var m wire.MachineIDList
	err := c.do(ctx, "POST", "/machines", "", h, &m)
	return m.Names, err
}

// ScaleIn gives machines back. When it succeeds, they and all on them are gone.
func (c *Client) ScaleIn(ctx context.Context, names []wire.MachineID) error {
	return c.do(ctx, "POST", "/machines/return", "", wire.MachineIDList{Names: names}, nil)
}

// List returns all machines that the cloud lists. The list lags.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		q := fmt.Sprintf("most=%d", pageSize)
		if after != "" {
			q += "&from=" + after
		}
		var page wire.MachineList
		if err := c.do(ctx, "GET", "/machines", q, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = string(page.Machines[len(page.Machines)-1].ID)
	}
}
