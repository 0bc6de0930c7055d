// Package transport moves bytes with gnet. Event loops only copy; every
// connection has a goroutine of its own that reads from and writes to a Conn.
package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// ErrTimeout is returned by reads that ran into their deadline.
var ErrTimeout = errors.New("transport: read timed out")

// ErrOverflow ends a connection whose peer sends faster than it is read, or
// doesn't read what it is sent.
var ErrOverflow = errors.New("transport: buffer limit reached")

// Conn is a connection as its goroutine sees it. One goroutine reads at a time.
type Conn struct {
	gc       gnet.Conn
	limit    int
	inflight atomic.Int64 // bytes handed to the event loop, not yet written

	mu       sync.Mutex
	pending  []byte
	err      error
	arrived  chan struct{}
	deadline time.Time
	timer    *time.Timer
}

func newConn(gc gnet.Conn, limit int) *Conn {
	return &Conn{gc: gc, limit: limit, arrived: make(chan struct{}, 1)}
}

// SetReadDeadline bounds the reads that follow; the zero time means no bound.
func (c *Conn) SetReadDeadline(t time.Time) { c.deadline = t }

func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.pending) > 0 {
			n := copy(p, c.pending)
			c.pending = c.pending[n:]
			if len(c.pending) == 0 {
				c.pending = nil
			}
			c.mu.Unlock()
			return n, nil
		}
		err := c.err
		c.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if c.deadline.IsZero() {
			<-c.arrived
			continue
		}
		wait := time.Until(c.deadline)
		if wait <= 0 {
			return 0, ErrTimeout
		}
		if c.timer == nil {
			c.timer = time.NewTimer(wait)
		} else {
			c.timer.Reset(wait)
		}
		select {
		case <-c.arrived:
			c.timer.Stop()
		case <-c.timer.C:
		}
	}
}

// Write hands b to the event loop. b must not be changed afterwards.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if c.inflight.Add(int64(len(b))) > int64(c.limit) {
		c.Close()
		return 0, ErrOverflow
	}
	n := int64(len(b))
	err = c.gc.AsyncWrite(b, func(gnet.Conn, error) error { c.inflight.Add(-n); return nil })
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close ends the connection once what was written has been handed to the
// network.
func (c *Conn) Close() {
	c.fail(net.ErrClosed)
	_ = c.gc.Close()
}

func (c *Conn) feed(b []byte) bool {
	c.mu.Lock()
	ok := len(c.pending)+len(b) <= c.limit
	if ok {
		c.pending = append(c.pending, b...)
	} else if c.err == nil {
		c.err = ErrOverflow
	}
	c.mu.Unlock()
	c.wake()
	return ok
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.wake()
}

func (c *Conn) wake() {
	select {
	case c.arrived <- struct{}{}:
	default:
	}
}

// events is what gnet calls; it serves listeners and dialled connections alike.
type events struct {
	gnet.BuiltinEventEngine
	limit    int
	maxConns int
	open     atomic.Int64
	serve    func(*Conn)
	booted   chan gnet.Engine
}

func (e *events) OnBoot(eng gnet.Engine) gnet.Action {
	if e.booted != nil {
		e.booted <- eng
	}
	return gnet.None
}

func (e *events) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	if n := e.open.Add(1); e.maxConns > 0 && n > int64(e.maxConns) {
		return nil, gnet.Close
	}
	c := newConn(gc, e.limit)
	gc.SetContext(c)
	go e.serve(c)
	return nil, gnet.None
}

func (e *events) OnTraffic(gc gnet.Conn) gnet.Action {
	b, err := gc.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if c, ok := gc.Context().(*Conn); ok && !c.feed(b) {
		return gnet.Close
	}
	return gnet.None
}

func (e *events) OnClose(gc gnet.Conn, err error) gnet.Action {
	if e.serve != nil {
		e.open.Add(-1)
	}
	if c, ok := gc.Context().(*Conn); ok {
		if err == nil {
			err = io.EOF
		}
		c.fail(err)
	}
	return gnet.None
}

func options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(16 << 10),
		gnet.WithLogger(quiet{}),
	}
}

// stopTimeout bounds how long the event loop may take to stop once the server's context has ended.
const stopTimeout = 2 * time.Second

// Serve listens on addr until ctx ends and runs serve in a goroutine for each
// connection. At most maxConns connections are open; further ones are closed.
func Serve(ctx context.Context, addr string, maxConns int, serve func(context.Context, *Conn)) error {
	var goroutines sync.WaitGroup
	e := &events{limit: 1 << 20, maxConns: maxConns, booted: make(chan gnet.Engine, 1)}
	e.serve = func(c *Conn) {
		goroutines.Add(1)
		defer goroutines.Done()
		stop := context.AfterFunc(ctx, c.Close)
		defer stop()
		defer c.Close()
		serve(ctx, c)
	}
	failed := make(chan error, 1)
	go func() { failed <- gnet.Run(e, "tcp://"+addr, options()...) }()
	select {
	case err := <-failed:
		return err
	case eng := <-e.booted:
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
		}
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		err := eng.Stop(stopping)
		goroutines.Wait()
		return err
	}
}

// Dialer opens connections whose bytes gnet moves.
type Dialer struct {
	client *gnet.Client
}

type dialled struct{ opened chan *Conn }

// dialEvents gives a dialled connection its Conn before its first byte.
type dialEvents struct{ events }

func (e *dialEvents) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	d, ok := gc.Context().(*dialled)
	if !ok {
		return nil, gnet.Close
	}
	c := newConn(gc, e.limit)
	gc.SetContext(c)
	d.opened <- c
	return nil, gnet.None
}

// NewDialer starts the event loop of outgoing connections. limit bounds what
// is held of a connection before it is read.
func NewDialer(limit int) (*Dialer, error) {
	client, err := gnet.NewClient(&dialEvents{events{limit: limit}}, options()...)
	if err != nil {
		return nil, err
	}
	return &Dialer{client: client}, client.Start()
}

// Stop ends the event loop and every connection on it.
func (d *Dialer) Stop() { _ = d.client.Stop() }

// Dial connects to addr or gives up when ctx ends. gnet's own Dial has no
// bound, and a machine that lost power answers nothing at all.
func (d *Dialer) Dial(ctx context.Context, addr string) (*Conn, error) {
	var nd net.Dialer
	raw, err := nd.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	hand := &dialled{opened: make(chan *Conn, 1)}
	if _, err := d.client.EnrollContext(raw, hand); err != nil {
		_ = raw.Close() // the error that is returned tells more
		return nil, err
	}
	select {
	case c := <-hand.opened:
		return c, nil
	case <-ctx.Done():
		go func() { (<-hand.opened).Close() }()
		return nil, ctx.Err()
	}
}

// quiet sends gnet's warnings and errors to slog and drops the rest.
type quiet struct{}

var _ logging.Logger = quiet{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(f string, a ...any) {
	slog.Debug("gnet: "+f, "args", a)
}
func (quiet) Errorf(f string, a ...any) { slog.Debug("gnet: "+f, "args", a) }
func (quiet) Fatalf(f string, a ...any) { slog.Error("gnet: "+f, "args", a) }

// Alive reports whether the connection is open with nothing left to read.
func (c *Conn) Alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && len(c.pending) == 0
}
