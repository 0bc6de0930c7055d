// Package transport provides TCP connections on top of gnet. The event loops only copy bytes between the
// network and buffers; each connection has its own goroutine that reads from and writes to a Conn.
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

// ErrTimeout is returned by reads that exceeded their deadline.
var ErrTimeout = errors.New("transport: read timed out")

// ErrOverflow ends a connection whose peer sends faster than the connection is read, or reads slower than
// the connection is written.
var ErrOverflow = errors.New("transport: buffer limit reached")

// Conn is a TCP connection with blocking reads and asynchronous writes. Only one goroutine may read at a
// time.
type Conn struct {
	gc       gnet.Conn
	limit    int
	inflight atomic.Int64 // bytes passed to the event loop that it has not written yet

	mu       sync.Mutex
	unread   []byte
	err      error
	readable chan struct{}
	deadline time.Time
	timer    *time.Timer
}

func newConn(gc gnet.Conn, limit int) *Conn {
	return &Conn{gc: gc, limit: limit, readable: make(chan struct{}, 1)}
}

// SetReadDeadline sets the deadline of later reads; the zero time means none.
func (c *Conn) SetReadDeadline(t time.Time) { c.deadline = t }

// Read returns received bytes. It blocks until there are some, the connection ends or the deadline passes.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.unread) > 0 {
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			if len(c.unread) == 0 {
				c.unread = nil
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
			<-c.readable
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
		case <-c.readable:
			c.timer.Stop()
		case <-c.timer.C:
		}
	}
}

// Write passes b to the event loop and does not wait until it is sent. The caller must not modify b
// afterwards.
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

// Close closes the connection after all previously written bytes have been passed to the network.
func (c *Conn) Close() {
	c.fail(net.ErrClosed)
	_ = c.gc.Close()
}

// receive buffers bytes from the network. It returns false, and later reads fail, if the limit is exceeded.
func (c *Conn) receive(b []byte) bool {
	c.mu.Lock()
	ok := len(c.unread)+len(b) <= c.limit
	if ok {
		c.unread = append(c.unread, b...)
	} else if c.err == nil {
		c.err = ErrOverflow
	}
	c.mu.Unlock()
	c.notify()
	return ok
}

// fail sets the error that reads and writes return from now on, unless there is one already.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.notify()
}

// notify wakes up a blocked Read.
func (c *Conn) notify() {
	select {
	case c.readable <- struct{}{}:
	default:
	}
}

// eventHandler implements gnet's callbacks, for accepted and, as part of dialHandler, for dialled connections.
type eventHandler struct {
	gnet.BuiltinEventEngine
	limit    int
	maxConns int
	open     atomic.Int64
	serve    func(*Conn)
	booted   chan gnet.Engine
}

func (e *eventHandler) OnBoot(eng gnet.Engine) gnet.Action {
	if e.booted != nil {
		e.booted <- eng
	}
	return gnet.None
}

func (e *eventHandler) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	if n := e.open.Add(1); e.maxConns > 0 && n > int64(e.maxConns) {
		return nil, gnet.Close
	}
	c := newConn(gc, e.limit)
	gc.SetContext(c)
	go e.serve(c)
	return nil, gnet.None
}

func (e *eventHandler) OnTraffic(gc gnet.Conn) gnet.Action {
	b, err := gc.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if c, ok := gc.Context().(*Conn); ok && !c.receive(b) {
		return gnet.Close
	}
	return gnet.None
}

func (e *eventHandler) OnClose(gc gnet.Conn, err error) gnet.Action {
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
		gnet.WithLogger(slogLogger{}),
	}
}

// stopTimeout is how long the event loop may take to stop after the server's context is done.
const stopTimeout = 2 * time.Second

// Serve listens on addr until ctx is done and runs serve in a goroutine for each connection. At most
// maxConns connections are open at once, 0 meaning any number; further ones are closed at once.
func Serve(ctx context.Context, addr string, maxConns int, serve func(context.Context, *Conn)) error {
	var goroutines sync.WaitGroup
	e := &eventHandler{limit: 1 << 20, maxConns: maxConns, booted: make(chan gnet.Engine, 1)}
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
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		err := eng.Stop(stopCtx)
		goroutines.Wait()
		return err
	}
}

// Dialer opens outgoing connections on an event loop of its own.
type Dialer struct {
	client *gnet.Client
}

// pendingDial receives the Conn of a connection that is being registered with the event loop.
type pendingDial struct{ opened chan *Conn }

// dialHandler hands a dialled connection's Conn to Dial before the connection's first byte is read.
type dialHandler struct{ eventHandler }

func (e *dialHandler) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	d, ok := gc.Context().(*pendingDial)
	if !ok {
		return nil, gnet.Close
	}
	c := newConn(gc, e.limit)
	gc.SetContext(c)
	d.opened <- c
	return nil, gnet.None
}

// NewDialer starts the event loop of outgoing connections. limit is the maximum number of bytes buffered
// for a connection, in each direction.
func NewDialer(limit int) (*Dialer, error) {
	client, err := gnet.NewClient(&dialHandler{eventHandler{limit: limit}}, options()...)
	if err != nil {
		return nil, err
	}
	return &Dialer{client: client}, client.Start()
}

// Stop stops the event loop and closes all its connections.
func (d *Dialer) Stop() { _ = d.client.Stop() }

// Dial connects to addr, or fails when ctx is done. It does not use gnet's own Dial, which has no timeout:
// a machine that has lost power never answers.
func (d *Dialer) Dial(ctx context.Context, addr string) (*Conn, error) {
	var netDialer net.Dialer
	raw, err := netDialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	pending := &pendingDial{opened: make(chan *Conn, 1)}
	if _, err := d.client.EnrollContext(raw, pending); err != nil {
		_ = raw.Close() // the returned error is more informative
		return nil, err
	}
	select {
	case c := <-pending.opened:
		return c, nil
	case <-ctx.Done():
		go func() { (<-pending.opened).Close() }()
		return nil, ctx.Err()
	}
}

// slogLogger logs gnet's warnings and errors with slog at debug level and its fatal messages as errors. It
// drops debug and info messages.
type slogLogger struct{}

var _ logging.Logger = slogLogger{}

func (slogLogger) Debugf(string, ...any) {}
func (slogLogger) Infof(string, ...any)  {}
func (slogLogger) Warnf(f string, a ...any) {
	slog.Debug("gnet: "+f, "args", a)
}
func (slogLogger) Errorf(f string, a ...any) { slog.Debug("gnet: "+f, "args", a) }
func (slogLogger) Fatalf(f string, a ...any) { slog.Error("gnet: "+f, "args", a) }

// Alive reports whether the connection is open and has no unread bytes.
func (c *Conn) Alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && len(c.unread) == 0
}
