package peer

import (
	"bufio"
	"context"
	"time"

	"maddermill/internal/transport"
)

// Timeouts of the mesh.
const (
	dialTimeout     = time.Second
	responseTimeout = 2 * time.Second  // from the start of the probe to the response
	idleTimeout     = 30 * time.Second // until the next probe on a connection
)

// Serve responds to the probes on one connection until the connection ends. describe returns the status to
// send in response to a probe.
func Serve(c *transport.Conn, describe func(probe Status) Status) {
	r := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		probe, err := readFrame(r)
		if err != nil {
			return
		}
		s := describe(*probe)
		s.Version = negotiateVersion(probe)
		if err := writeFrame(c, &s); err != nil {
			return
		}
	}
}

// Probe probes a peer at each interval until ctx ends and calls onResponse with each response. newProbe
// returns the status to send as the probe.
func Probe(
	ctx context.Context,
	d *transport.Dialer,
	addr string,
	newProbe func() Status,
	interval time.Duration,
	onResponse func(Response),
) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		_ = probeOverConn(ctx, d, addr, newProbe, tick.C, onResponse) // retried at the next tick
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// probeOverConn probes a peer over one connection, at each tick, until the connection fails or ctx ends.
func probeOverConn(
	ctx context.Context,
	d *transport.Dialer,
	addr string,
	newProbe func() Status,
	tick <-chan time.Time,
	onResponse func(Response),
) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Dial(dialCtx, addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		sentAt := time.Now()
		probe := newProbe()
		probe.Version, probe.MaxVersion = OldestVersion, Version
		if err := writeFrame(c, &probe); err != nil {
			return err
		}
		c.SetReadDeadline(sentAt.Add(responseTimeout))
		s, err := readFrame(r)
		if err != nil {
			return err
		}
		onResponse(Response{Status: *s, AsOf: sentAt})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
		}
	}
}
