package http1

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"maddermill/internal/transport"
)

// ErrNotSent marks failures before the request was sent, which means that it was not executed.
var ErrNotSent = errors.New("http1: request not sent")

// Client sends requests to one address and keeps up to MaxIdle connections open for reuse. It is safe for
// concurrent use. MaxBody is the largest response body that it accepts, in bytes.
type Client struct {
	Dialer  *transport.Dialer
	Addr    string
	MaxIdle int
	MaxBody int

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is a connection of a Client, in use or idle.
type clientConn struct {
	c         *transport.Conn
	r         *bufio.Reader
	idleSince time.Time
}

// idleTimeout is how long an unused connection is kept. A network partition drops packets without an error
// on either side, so a connection that has been idle for long may be dead without showing it.
const idleTimeout = 20 * time.Second

// Do sends a request and waits for the response until ctx is done. After an error other than ErrNotSent, it
// is unknown whether the request was executed.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	conn, err := c.acquire(ctx)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if req.Header.Get("host") == "" {
		req.Header = append(Header{{"host", c.Addr}}, req.Header...)
	}
	if _, err := conn.c.Write(AppendRequest(nil, req)); err != nil {
		conn.c.Close()
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		conn.c.SetReadDeadline(deadline)
	} else {
		conn.c.SetReadDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, conn.c.Close)
	resp, err := ReadResponse(conn.r, c.MaxBody)
	if !stop() || err != nil || resp.Close {
		conn.c.Close()
	} else {
		c.release(conn)
	}
	return resp, err
}

// acquire returns an idle connection that is still usable, or else dials a new one.
func (c *Client) acquire(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if conn.c.Alive() && time.Since(conn.idleSince) < idleTimeout {
			c.mu.Unlock()
			return conn, nil
		}
		conn.c.Close()
	}
	c.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	raw, err := c.Dialer.Dial(dialCtx, c.Addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{c: raw, r: bufio.NewReaderSize(raw, 4096)}, nil
}

// release makes a connection available for reuse, or closes it if MaxIdle are idle already.
func (c *Client) release(conn *clientConn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.MaxIdle {
		conn.c.Close()
		return
	}
	c.idle = append(c.idle, conn)
}
