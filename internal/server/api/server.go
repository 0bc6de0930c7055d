// Package api serves users' requests and workers' heartbeats over HTTP/1.1. It parses and routes requests
// (routes.go), sheds users' requests beyond the limits of Server, and converts results and errors into
// responses (responses.go). The services behind the interfaces Jobs, Heartbeats, Workflows and Inspector
// implement the requests.
//
// A Server has no lock; its counters are atomic. Serve runs once per connection, in its own goroutine. The
// bytes of responses, including error messages, are part of the protocol.
package api

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/supervise"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// Jobs is the service that handles users' requests about jobs.
type Jobs interface {
	Submit(ctx context.Context, spec *wire.JobSpec) (wire.JobStatus, bool, error)
	Status(ctx context.Context, id wire.JobID) (wire.JobStatus, error)
	Cancel(ctx context.Context, id wire.JobID) (wire.JobStatus, error)
}

// Heartbeats is the service that answers workers' heartbeats.
type Heartbeats interface {
	Heartbeat(ctx context.Context, hb *wire.Heartbeat) server.HeartbeatAnswer
}

// Inspector returns a controller's view of its own state and of its cluster. The booleans are false if there is
// nothing to report.
type Inspector interface {
	Topology(now time.Time) (wire.TopologyView, bool)
	Judgements() ([]wire.Judgement, bool)
	Healthy() bool
}

// Server handles the requests of connections. Its exported fields must be set before the first call of Serve.
type Server struct {
	Jobs            Jobs
	Heartbeats      Heartbeats
	Workflows       Workflows
	Inspector       Inspector
	Metrics         func() []byte // in the text format of Prometheus
	ComponentStatus func(time.Time) []supervise.Status
	RetryAfter      time.Duration     // how long clients should wait after a request was shed
	MaxUserConns    int               // maximum of users' connections; the rest is reserved for workers
	MaxUserRequests int               // maximum of users' concurrent requests, at most half of them polls
	OnShed          func(kind string) // called for each shed request, if not nil
	Log             *slog.Logger

	// Numbers of connections, requests and streams in progress.
	userConns    atomic.Int64 // connections of users
	userRequests atomic.Int64 // users' requests
	polls        atomic.Int64 // job polls, included in userRequests
	streams      atomic.Int64 // workflow event streams
}

// Limits of connections and requests.
const (
	idleTimeout    = 90 * time.Second        // of a connection, between requests
	requestTimeout = 10 * time.Second        // from a request's first byte to its last
	pollTimeout    = 1900 * time.Millisecond // for answering a poll
	submitTimeout  = 4500 * time.Millisecond // for answering a submission or cancellation
	readBufferSize = 2048                    // bytes
)

// Serve handles the requests of one connection until the connection or ctx ends.
func (s *Server) Serve(ctx context.Context, conn *transport.Conn) {
	reader := bufio.NewReaderSize(conn, readBufferSize)
	isUser := false
	defer func() {
		if isUser {
			s.userConns.Add(-1)
		}
	}()
	for ctx.Err() == nil {
		request, err := readRequest(conn, reader)
		if err != nil {
			if resp := framingErrorResponse(err); resp != nil {
				s.writeLast(conn, resp)
			}
			return
		}
		if !isUser && strings.HasPrefix(request.Path, "/api/") {
			isUser = true
			if s.userConns.Add(1) > int64(s.MaxUserConns) {
				s.writeLast(conn, s.shed("connection"))
				return
			}
		}
		if id, ok := eventsRequest(request); ok {
			s.streamEvents(ctx, conn, id)
			return
		}
		resp := s.dispatch(ctx, request)
		resp.Close = resp.Close || request.Close
		if s.write(conn, resp) != nil || resp.Close {
			return
		}
	}
}

// errIdle is returned by readRequest if no request started before the connection ended or idleTimeout passed.
var errIdle = errors.New("api: no request received on the connection")

// readRequest waits for a request and reads it.
func readRequest(conn *transport.Conn, reader *bufio.Reader) (*http1.Request, error) {
	conn.SetReadDeadline(time.Now().Add(idleTimeout))
	if _, err := reader.Peek(1); err != nil {
		return nil, errIdle
	}
	conn.SetReadDeadline(time.Now().Add(requestTimeout))
	return http1.ReadRequest(reader, func() error {
		_, err := conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		return err
	})
}

// write writes a response.
func (s *Server) write(conn *transport.Conn, resp *http1.Response) error {
	_, err := conn.Write(http1.AppendResponse(nil, resp))
	return err
}

// writeLast writes the last response of a connection.
func (s *Server) writeLast(conn *transport.Conn, resp *http1.Response) {
	resp.Close = true
	_ = s.write(conn, resp) // the connection is closed in any case
}

// runLimited runs a user's request, or sheds it if too many are in progress.
func (s *Server) runLimited(kind string, run func() *http1.Response) *http1.Response {
	defer s.userRequests.Add(-1)
	if s.userRequests.Add(1) > int64(s.MaxUserRequests) {
		return s.shed(kind)
	}
	return run()
}

// shed counts a request that is rejected because too many are in progress, and returns the response to it.
func (s *Server) shed(kind string) *http1.Response {
	if s.OnShed != nil {
		s.OnShed(kind)
	}
	return s.retryLater()
}
