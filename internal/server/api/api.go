// Package api serves users' requests and workers' reports over HTTP.
package api

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/supervise"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// Jobs is the service as users' requests see it.
type Jobs interface {
	Submit(ctx context.Context, spec *wire.JobSpec) (wire.JobStatus, bool, error)
	Status(ctx context.Context, id wire.JobID) (wire.JobStatus, error)
	Cancel(ctx context.Context, id wire.JobID) (wire.JobStatus, error)
}

// Heartbeats is the service as workers' reports see it.
type Heartbeats interface {
	Heartbeat(ctx context.Context, r *wire.Heartbeat) server.HeartbeatAnswer
}

// Inspector is what is told of the controller itself.
type Inspector interface {
	Topology(now time.Time) (wire.TopologyView, bool)
	Judgements() ([]wire.Judgement, bool)
	Healthy() bool
}

// Server answers connections.
type Server struct {
	Users      Jobs
	Workers    Heartbeats
	Workflows  Workflows
	View       Inspector
	Metrics    func() []byte
	Duties     func(time.Time) []supervise.Status
	RetryAfter time.Duration
	MaxUsers   int               // users' connections; the rest is kept for workers
	MaxBusy    int               // users' requests at once, half of them polls
	Shed       func(kind string) // told of each request that is put off, if given
	Log        *slog.Logger

	users atomic.Int64
	busy  atomic.Int64
	polls atomic.Int64

	streams atomic.Int64 // of events
}

// Waits of connections and requests.
const (
	idleWait    = 90 * time.Second
	requestWait = 10 * time.Second // from a request's first byte to its last
	pollWait    = 1900 * time.Millisecond
	submitWait  = 4500 * time.Millisecond
)

// Serve answers the requests of one connection until it ends.
func (s *Server) Serve(ctx context.Context, c *transport.Conn) {
	r := bufio.NewReaderSize(c, 2048)
	user := false
	defer func() {
		if user {
			s.users.Add(-1)
		}
	}()
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(idleWait))
		if _, err := r.Peek(1); err != nil {
			return // nothing was asked
		}
		c.SetReadDeadline(time.Now().Add(requestWait))
		q, err := http1.ReadRequest(r, func() error {
			_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			return err
		})
		if err != nil {
			if p := refusal(err); p != nil {
				s.write(c, p)
			}
			return
		}
		if !user && strings.HasPrefix(q.Path, "/api/") {
			user = true
			if s.users.Add(1) > int64(s.MaxUsers) {
				p := s.shed("connection")
				p.Close = true
				s.write(c, p)
				return
			}
		}
		if s.events(ctx, c, q) {
			return
		}
		p := s.answer(ctx, q)
		p.Close = p.Close || q.Close
		if s.write(c, p) != nil || p.Close {
			return
		}
	}
}

// refusal is the last answer to a connection whose framing is lost.
func refusal(err error) *http1.Response {
	var bad *http1.Error
	switch {
	case errors.As(err, &bad):
		p := problem(bad.Status, bad.Reason)
		p.Close = true
		return p
	case errors.Is(err, transport.ErrTimeout):
		p := problem(408, "request not completed in time")
		p.Close = true
		return p
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	return nil
}

func (s *Server) write(c *transport.Conn, p *http1.Response) error {
	_, err := c.Write(http1.AppendResponse(nil, p))
	return err
}

func (s *Server) answer(ctx context.Context, q *http1.Request) *http1.Response {
	switch q.Path {
	case "/healthz":
		if q.Method != "GET" {
			return notAllowed("GET")
		}
		if !s.View.Healthy() {
			return problem(503, "not ready")
		}
		return reply(200, struct{}{})
	case "/metrics":
		if q.Method != "GET" {
			return notAllowed("GET")
		}
		return &http1.Response{Status: 200, Body: s.Metrics(),
			Header: http1.Header{{Name: "content-type", Value: "text/plain; version=0.0.4"}}}
	case "/api/duties":
		if q.Method != "GET" {
			return notAllowed("GET")
		}
		return reply(200, s.Duties(time.Now()))
	case "/api/judgements":
		if q.Method != "GET" {
			return notAllowed("GET")
		}
		return s.limited("poll", s.judgements)
	case "/v1/report":
		if q.Method != "POST" {
			return notAllowed("POST")
		}
		return s.report(ctx, q.Body)
	case "/api/jobs":
		if q.Method != "POST" {
			return notAllowed("POST")
		}
		return s.limited("submission", func() *http1.Response { return s.submit(ctx, q.Body) })
	}
	if q.Path == "/api/workflows" || strings.HasPrefix(q.Path, "/api/workflows/") {
		return s.workflows(ctx, q)
	}
	if q.Path == "/api/topology" {
		if q.Method != "GET" {
			return notAllowed("GET")
		}
		return s.limited("poll", s.topology)
	}
	rest, ok := strings.CutPrefix(q.Path, "/api/jobs/")
	if !ok {
		return problem(404, "no such path")
	}
	if id, ok := strings.CutSuffix(rest, "/cancel"); ok {
		if q.Method != "POST" {
			return notAllowed("POST")
		}
		return s.limited("cancellation", func() *http1.Response { return s.cancel(ctx, wire.JobID(id)) })
	}
	if strings.Contains(rest, "/") {
		return problem(404, "no such path")
	}
	if q.Method != "GET" {
		return notAllowed("GET")
	}
	// However often users ask, submissions and cancellations keep their part.
	defer s.polls.Add(-1)
	if s.polls.Add(1) > int64(max(1, s.MaxBusy/2)) {
		return s.shed("poll")
	}
	return s.limited("poll", func() *http1.Response { return s.status(ctx, wire.JobID(rest)) })
}

// limited sheds users' requests when too many are under way.
func (s *Server) limited(kind string, f func() *http1.Response) *http1.Response {
	defer s.busy.Add(-1)
	if s.busy.Add(1) > int64(s.MaxBusy) {
		return s.shed(kind)
	}
	return f()
}

// shed puts a request off and counts it.
func (s *Server) shed(kind string) *http1.Response {
	if s.Shed != nil {
		s.Shed(kind)
	}
	return s.later()
}

func (s *Server) submit(ctx context.Context, body []byte) *http1.Response {
	spec, err := wire.DecodeJobSpec(body)
	if err != nil {
		return problem(400, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	st, created, err := s.Users.Submit(ctx, &spec)
	if err != nil {
		return s.failure(spec.ID, err)
	}
	if created {
		return reply(201, st)
	}
	return reply(200, st)
}

func (s *Server) status(ctx context.Context, id wire.JobID) *http1.Response {
	if !id.Valid() {
		return problem(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait)
	defer cancel()
	st, err := s.Users.Status(ctx, id)
	if err != nil {
		return s.failure(id, err)
	}
	return reply(200, st)
}

func (s *Server) cancel(ctx context.Context, id wire.JobID) *http1.Response {
	if !id.Valid() {
		return problem(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	st, err := s.Users.Cancel(ctx, id)
	if err != nil {
		return s.failure(id, err)
	}
	return reply(200, st)
}

func (s *Server) topology() *http1.Response {
	v, ok := s.View.Topology(time.Now())
	if !ok {
		return problem(404, "no topology is declared, or the controller is starting")
	}
	body, err := v.AppendLines(nil)
	if err != nil {
		return problem(500, err.Error())
	}
	return &http1.Response{
		Status: 200,
		Body:   body,
		Header: http1.Header{{Name: "content-type", Value: "application/x-ndjson"}},
	}
}

func (s *Server) judgements() *http1.Response {
	list, ok := s.View.Judgements()
	if !ok {
		return problem(404, "machines are not judged by evidence here")
	}
	return reply(200, list)
}

func (s *Server) report(ctx context.Context, body []byte) *http1.Response {
	var r wire.Heartbeat
	if err := json.Unmarshal(body, &r); err != nil || r.Machine == "" || r.Epoch == 0 {
		return problem(400, "not a report")
	}
	a := s.Workers.Heartbeat(ctx, &r)
	switch a.Status {
	case 200:
		return reply(200, a.Response)
	case 421:
		return reply(421, a.Redirect)
	}
	return problem(a.Status, "not entitled to answer")
}

func (s *Server) failure(id wire.JobID, err error) *http1.Response {
	switch {
	case errors.Is(err, server.ErrNoSuchJob):
		return problem(404, "no such job")
	case errors.Is(err, server.ErrUnschedulable):
		return problem(422, strings.ReplaceAll(err.Error(), "\n", ": "))
	case errors.Is(err, kvstore.ErrUnreachable):
	default:
		s.Log.Error("request failed", "job", id, "err", err)
	}
	return s.later()
}

// later tells the user when to come back.
func (s *Server) later() *http1.Response {
	p := problem(503, "try again later")
	after := strconv.Itoa(int(math.Ceil(s.RetryAfter.Seconds())))
	p.Header = append(p.Header, http1.Field{Name: "retry-after", Value: after})
	return p
}

func notAllowed(method string) *http1.Response {
	p := problem(405, "method not allowed")
	p.Header = append(p.Header, http1.Field{Name: "allow", Value: method})
	return p
}

func problem(status int, reason string) *http1.Response {
	return reply(status, wire.ErrorBody{Error: reason})
}

func reply(status int, v any) *http1.Response {
	b, err := json.Marshal(v)
	if err != nil {
		return &http1.Response{Status: 500}
	}
	return &http1.Response{Status: status, Body: b}
}
