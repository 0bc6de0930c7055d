package http1

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"maddermill/internal/transport"
)

// ErrNotSent marks failures before the request left: it was not executed.
var ErrNotSent = errors.New("http1: request not sent")

// Client sends requests to one address over kept-open connections.
type Client struct {
	Dialer  *transport.Dialer
	Addr    string
	MaxIdle int
	MaxBody int

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	c     *transport.Conn
	r     *bufio.Reader
	since time.Time
}

// idleFor is how long an unused connection is kept. A quiet cut swallows
// packets without an error, so an old connection is not worth trusting.
const idleFor = 20 * time.Second

// Do sends one request and waits for its answer until ctx ends. An error that
// is not ErrNotSent leaves open whether the request was executed.
func (c *Client) Do(ctx context.Context, q *Request) (*Response, error) {
	conn, err := c.take(ctx)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if q.Header.Get("host") == "" {
		q.Header = append(Header{{"host", c.Addr}}, q.Header...)
	}
	if _, err := conn.c.Write(AppendRequest(nil, q)); err != nil {
		conn.c.Close()
		return nil, err
	}
	if d, ok := ctx.Deadline(); ok {
		conn.c.SetReadDeadline(d)
	} else {
		conn.c.SetReadDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, conn.c.Close)
	p, err := ReadResponse(conn.r, c.MaxBody)
	if !stop() || err != nil || p.Close {
		conn.c.Close()
	} else {
		c.put(conn)
	}
	return p, err
}

func (c *Client) take(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if conn.c.Alive() && time.Since(conn.since) < idleFor {
			c.mu.Unlock()
			return conn, nil
		}
		conn.c.Close()
	}
	c.mu.Unlock()
	dialling, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	raw, err := c.Dialer.Dial(dialling, c.Addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{c: raw, r: bufio.NewReaderSize(raw, 4096)}, nil
}

func (c *Client) put(conn *clientConn) {
	conn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.MaxIdle {
		conn.c.Close()
		return
	}
	c.idle = append(c.idle, conn)
}
