package api

import (
	"context"
	"strings"

	"maddermill/internal/transport/http1"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// workflowsPath is the path of requests about workflows.
const workflowsPath = "/api/workflows"

// Workflows is the service that runs CWL workflows.
type Workflows interface {
	Submit(ctx context.Context, spec *wire.WorkflowSpec) (wire.WorkflowStatus, bool, error)
	Status(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
	Cancel(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
	Resume(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error)
}

// workflowRoute specifies how a request about one workflow is handled.
type workflowRoute struct {
	method string // the only allowed method
	kind   string // under which a shed request is counted
	handle func(context.Context, wire.WorkflowID) (wire.WorkflowStatus, error)
}

// findWorkflowRoute returns the route for a verb, the part of the path after the ID.
func (s *Server) findWorkflowRoute(verb string) (r workflowRoute, ok bool) {
	switch verb {
	case "":
		return workflowRoute{"GET", "poll", s.Workflows.Status}, true
	case "cancel":
		return workflowRoute{"POST", "cancellation", s.Workflows.Cancel}, true
	case "resume":
		return workflowRoute{"POST", "cancellation", s.Workflows.Resume}, true
	}
	return workflowRoute{}, false
}

// serveWorkflows handles a request at or below workflowsPath: POST submits a workflow, GET ID polls it, POST
// ID/cancel cancels it, POST ID/resume resumes a failed workflow.
func (s *Server) serveWorkflows(ctx context.Context, request *http1.Request) *http1.Response {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	rest := strings.TrimPrefix(strings.TrimPrefix(request.Path, workflowsPath), "/")
	if rest == "" {
		if request.Method != "POST" {
			return methodNotAllowed("POST")
		}
		return s.runLimited("submission", func() *http1.Response { return s.submitWorkflow(ctx, request.Body) })
	}
	id, verb, _ := strings.Cut(rest, "/")
	r, ok := s.findWorkflowRoute(verb)
	switch {
	case !ok:
		return errorResponse(404, errNoSuchPath)
	case request.Method != r.method:
		return methodNotAllowed(r.method)
	case !wire.WorkflowID(id).Valid():
		return errorResponse(404, errNoSuchWorkflow)
	}
	return s.runLimited(r.kind, func() *http1.Response {
		st, err := r.handle(ctx, wire.WorkflowID(id))
		if err != nil {
			return s.workflowErrorResponse(err)
		}
		return jsonResponse(200, st)
	})
}

// submitWorkflow accepts a workflow. The status is 201 if this request made it durable, 200 if the workflow was
// already known.
func (s *Server) submitWorkflow(ctx context.Context, body []byte) *http1.Response {
	spec, err := wire.DecodeWorkflowSpec(body)
	if err != nil {
		return errorResponse(400, err)
	}
	if _, err := workflow.Check(ctx, spec); err != nil {
		return errorResponse(400, truncatedError(err))
	}
	st, created, err := s.Workflows.Submit(ctx, spec)
	if err != nil {
		return s.workflowErrorResponse(err)
	}
	if created {
		return jsonResponse(201, st)
	}
	return jsonResponse(200, st)
}
