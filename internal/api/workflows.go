package api

import (
	"context"
	"errors"
	"strings"

	"maddermill/internal/controller"
	"maddermill/internal/cwl"
	"maddermill/internal/http1"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// Workflows is the part of the service that runs CWL workflows.
type Workflows interface {
	SubmitWorkflow(ctx context.Context, spec *wire.WorkflowSpec) (wire.WorkflowStatus, bool, error)
	WorkflowStatus(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
	CancelWorkflow(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
	ResumeWorkflow(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
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
		"": s.Service.WorkflowStatus, "cancel": s.Service.CancelWorkflow, "resume": s.Service.ResumeWorkflow}[verb]
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
	st, created, err := s.Service.SubmitWorkflow(ctx, spec)
	if err != nil {
		return s.workflowFailure(err)
	}
	if created {
		return reply(201, st)
	}
	return reply(200, st)
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
	case errors.Is(err, controller.ErrNoWorkflows):
		return problem(404, err.Error())
	case errors.Is(err, controller.ErrNotFailed):
		return problem(409, err.Error())
	case errors.Is(err, controller.ErrNoSuchJob):
		return problem(404, "no such workflow")
	case errors.As(err, &problems):
		return problem(400, wrong(err))
	}
	return s.failure("", err)
}
