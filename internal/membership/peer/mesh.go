package peer

import (
	"bufio"
	"context"
	"time"

	"maddermill/internal/transport"
)

// Timeouts of the mesh.
const (
	dialTimeout   = time.Second
	answerTimeout = 2 * time.Second  // from the question on
	idleTimeout   = 30 * time.Second // for the next question on a connection
)

// Serve answers the questions on one connection until it ends. describe returns the status for an asker,
// given what that says of itself.
func Serve(c *transport.Conn, describe func(ask Status) Status) {
	r := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		ask, err := readFrame(r)
		if err != nil {
			return
		}
		s := describe(*ask)
		s.Version = agreedVersion(ask)
		if err := writeFrame(c, &s); err != nil {
			return
		}
	}
}

// Ask asks a peer for its status every interval until ctx ends, and calls got with each answer. self
// returns what the asker says of itself.
func Ask(
	ctx context.Context,
	d *transport.Dialer,
	addr string,
	self func() Status,
	interval time.Duration,
	got func(Answer),
) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		_ = askOverConn(ctx, d, addr, self, tick.C, got) // the next tick tries again
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// askOverConn asks a peer over one connection, at each tick, until the connection or ctx ends.
func askOverConn(
	ctx context.Context,
	d *transport.Dialer,
	addr string,
	self func() Status,
	tick <-chan time.Time,
	got func(Answer),
) error {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Dial(dialing, addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		asked := time.Now()
		ask := self()
		ask.Version, ask.MaxVersion = Oldest, Version
		if err := writeFrame(c, &ask); err != nil {
			return err
		}
		c.SetReadDeadline(asked.Add(answerTimeout))
		s, err := readFrame(r)
		if err != nil {
			return err
		}
		got(Answer{Status: *s, AsOf: asked})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
		}
	}
}
