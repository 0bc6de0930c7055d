package api

import (
	"context"
	"strings"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// route specifies how requests for a path are handled.
type route struct {
	method string // the only allowed method
	kind   string // under which a shed request is counted; "" if requests are never shed
	handle func(s *Server, ctx context.Context, request *http1.Request) *http1.Response
}

// fixedRoutes maps the paths without an ID to their routes.
var fixedRoutes = map[string]route{
	"/healthz":        {"GET", "", (*Server).health},
	"/metrics":        {"GET", "", (*Server).metrics},
	"/api/duties":     {"GET", "", (*Server).componentStatus},
	"/api/judgements": {"GET", "poll", (*Server).judgements},
	"/api/topology":   {"GET", "poll", (*Server).topology},
	"/api/jobs":       {"POST", "submission", (*Server).submitJob},
	"/v1/report":      {"POST", "", (*Server).heartbeat},
}

// dispatch routes a request and returns its response.
func (s *Server) dispatch(ctx context.Context, request *http1.Request) *http1.Response {
	if route, ok := fixedRoutes[request.Path]; ok {
		return s.serveRoute(ctx, route, request)
	}
	if request.Path == workflowsPath || strings.HasPrefix(request.Path, workflowsPath+"/") {
		return s.serveWorkflows(ctx, request)
	}
	if rest, ok := strings.CutPrefix(request.Path, "/api/jobs/"); ok {
		return s.serveJob(ctx, rest, request.Method)
	}
	return errorResponse(404, errNoSuchPath)
}

// serveRoute handles a request by a route.
func (s *Server) serveRoute(ctx context.Context, r route, request *http1.Request) *http1.Response {
	switch {
	case request.Method != r.method:
		return methodNotAllowed(r.method)
	case r.kind == "":
		return r.handle(s, ctx, request)
	}
	return s.runLimited(r.kind, func() *http1.Response { return r.handle(s, ctx, request) })
}

// health reports whether the controller is ready.
func (s *Server) health(context.Context, *http1.Request) *http1.Response {
	if !s.Inspector.Healthy() {
		return errorResponse(503, errNotReady)
	}
	return jsonResponse(200, struct{}{})
}

// metrics returns the controller's metrics.
func (s *Server) metrics(context.Context, *http1.Request) *http1.Response {
	return &http1.Response{
		Status: 200,
		Body:   s.Metrics(),
		Header: http1.Header{{Name: "content-type", Value: "text/plain; version=0.0.4"}},
	}
}

// componentStatus returns the state of the controller's components.
func (s *Server) componentStatus(context.Context, *http1.Request) *http1.Response {
	return jsonResponse(200, s.ComponentStatus(time.Now()))
}

// topology returns the declared topology as JSON lines.
func (s *Server) topology(context.Context, *http1.Request) *http1.Response {
	view, ok := s.Inspector.Topology(time.Now())
	if !ok {
		return errorResponse(404, errNoTopology)
	}
	body, err := view.AppendLines(nil)
	if err != nil {
		return errorResponse(500, err)
	}
	return &http1.Response{
		Status: 200,
		Body:   body,
		Header: http1.Header{{Name: "content-type", Value: "application/x-ndjson"}},
	}
}

// judgements returns the health judgements of machines.
func (s *Server) judgements(context.Context, *http1.Request) *http1.Response {
	list, ok := s.Inspector.Judgements()
	if !ok {
		return errorResponse(404, errNoJudgements)
	}
	return jsonResponse(200, list)
}

// heartbeat handles a worker's heartbeat.
func (s *Server) heartbeat(ctx context.Context, request *http1.Request) *http1.Response {
	var heartbeat wire.Heartbeat
	err := exactjson.Unmarshal(request.Body, &heartbeat)
	if err != nil || heartbeat.Machine == "" || heartbeat.Epoch == 0 {
		return errorResponse(400, errInvalidHeartbeat)
	}
	answer := s.Heartbeats.Heartbeat(ctx, &heartbeat)
	switch answer.Status {
	case 200:
		return jsonResponse(200, answer.Response)
	case 421:
		return jsonResponse(421, answer.Redirect)
	}
	return errorResponse(answer.Status, errHeartbeatRefused)
}
