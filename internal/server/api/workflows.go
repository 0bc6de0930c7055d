package api

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/runner"
	"maddermill/wire"
)

// Workflows is the part of the service that runs CWL workflows.
type Workflows interface {
	Submit(ctx context.Context, spec *wire.WorkflowSpec) (wire.WorkflowStatus, bool, error)
	Status(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
	Cancel(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
	Resume(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
}

// workflows answers what is asked below /api/workflows.
func (s *Server) workflows(ctx context.Context, q *http1.Request) *http1.Response {
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	rest := strings.TrimPrefix(strings.TrimPrefix(q.Path, "/api/workflows"), "/")
	if rest == "" {
		if q.Method != "POST" {
			return notAllowed("POST")
		}
		return s.limited("submission", func() *http1.Response { return s.submitWorkflow(ctx, q.Body) })
	}
	id, verb, _ := strings.Cut(rest, "/")
	move := map[string]func(context.Context, wire.WorkflowID) (wire.WorkflowStatus, error){
		"": s.Workflows.Status, "cancel": s.Workflows.Cancel, "resume": s.Workflows.Resume}[verb]
	method, kind := "POST", "cancellation"
	if verb == "" {
		method, kind = "GET", "poll"
	}
	switch {
	case move == nil:
		return problem(404, "no such path")
	case q.Method != method:
		return notAllowed(method)
	case !wire.WorkflowID(id).Valid():
		return problem(404, "no such workflow")
	}
	return s.limited(kind, func() *http1.Response {
		st, err := move(ctx, wire.WorkflowID(id))
		if err != nil {
			return s.workflowFailure(err)
		}
		return reply(200, st)
	})
}

func (s *Server) submitWorkflow(ctx context.Context, body []byte) *http1.Response {
	spec, err := wire.DecodeWorkflowSpec(body)
	if err != nil {
		return problem(400, err.Error())
	}
	if _, err := workflow.Check(ctx, spec); err != nil {
		return problem(400, wrong(err))
	}
	st, created, err := s.Workflows.Submit(ctx, spec)
	if err != nil {
		return s.workflowFailure(err)
	}
	if created {
		return reply(201, st)
	}
	return reply(200, st)
}

// Bounds of streams of events.
const (
	streamFor   = 10 * time.Minute // then the client asks again
	streamEvery = time.Second
)

// events streams a workflow's status, a JSON object a line whenever it changes, until it is
// final, the stream's time is over or the client is gone. It tells whether the path is that of
// a stream; the connection is used up by it.
func (s *Server) events(ctx context.Context, c *transport.Conn, q *http1.Request) bool {
	rest, ok := strings.CutPrefix(q.Path, "/api/workflows/")
	id, ok2 := strings.CutSuffix(rest, "/events")
	if !ok || !ok2 || q.Method != "GET" || !wire.WorkflowID(id).Valid() {
		return false
	}
	defer s.streams.Add(-1)
	if s.streams.Add(1) > int64(max(1, s.MaxBusy/4)) {
		p := s.shed("stream")
		p.Close = true
		_ = s.write(c, p)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, streamFor)
	defer cancel()
	tick := time.NewTicker(streamEvery)
	defer tick.Stop()
	began, last := false, ""
	for {
		one, done := context.WithTimeout(ctx, pollWait)
		st, err := s.Workflows.Status(one, wire.WorkflowID(id))
		done()
		if err != nil && !began {
			p := s.workflowFailure(err)
			p.Close = true
			_ = s.write(c, p)
			return true
		}
		if err == nil {
			line, err := json.Marshal(st)
			if err != nil {
				return true
			}
			if !began {
				began = true
				if _, err := c.Write(
					[]byte("HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\nconnection: close\r\n\r\n"),
				); err != nil {
					return true
				}
			}
			if string(line) != last {
				last = string(line)
				if _, err := c.Write(append(line, '\n')); err != nil {
					return true
				}
			}
			if st.Status == wire.Done || st.Status == wire.Failed || st.Status == wire.Cancelled {
				return true
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return true
		}
	}
}

// mostWrong bounds what is told of a document: no line of an answer may be very long.
const mostWrong = 32 << 10

// wrong is all that is wrong, a line each.
func wrong(err error) string {
	text := err.Error()
	if len(text) > mostWrong {
		text = strings.ToValidUTF8(text[:mostWrong], "") + "\n… and more"
	}
	return text
}

func (s *Server) workflowFailure(err error) *http1.Response {
	var problems cwl.Problems
	switch {
	case errors.Is(err, runner.ErrNoWorkflows):
		return problem(404, err.Error())
	case errors.Is(err, runner.ErrNotFailed):
		return problem(409, err.Error())
	case errors.Is(err, server.ErrNoSuchJob):
		return problem(404, "no such workflow")
	case errors.As(err, &problems):
		return problem(400, wrong(err))
	}
	return s.failure("", err)
}
