package api

import (
	"context"
	"strings"

	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// submitJob accepts a job. The status is 201 if this request made it durable, 200 if the job was already known.
func (s *Server) submitJob(ctx context.Context, request *http1.Request) *http1.Response {
	spec, err := wire.DecodeJobSpec(request.Body)
	if err != nil {
		return errorResponse(400, err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	st, created, err := s.Jobs.Submit(ctx, &spec)
	if err != nil {
		return s.jobErrorResponse(spec.ID, err)
	}
	if created {
		return jsonResponse(201, st)
	}
	return jsonResponse(200, st)
}

// serveJob handles requests below /api/jobs/: GET ID polls a job, POST ID/cancel cancels it.
func (s *Server) serveJob(ctx context.Context, rest, method string) *http1.Response {
	if id, ok := strings.CutSuffix(rest, "/cancel"); ok {
		if method != "POST" {
			return methodNotAllowed("POST")
		}
		return s.runLimited("cancellation", func() *http1.Response { return s.cancelJob(ctx, wire.JobID(id)) })
	}
	if strings.Contains(rest, "/") {
		return errorResponse(404, errNoSuchPath)
	}
	if method != "GET" {
		return methodNotAllowed("GET")
	}
	// Polls use at most half of MaxUserRequests; the rest is reserved for submissions and cancellations.
	defer s.polls.Add(-1)
	if s.polls.Add(1) > int64(max(1, s.MaxUserRequests/2)) {
		return s.shed("poll")
	}
	return s.runLimited("poll", func() *http1.Response { return s.jobStatus(ctx, wire.JobID(rest)) })
}

// jobStatus returns the status of a job.
func (s *Server) jobStatus(ctx context.Context, id wire.JobID) *http1.Response {
	if !id.Valid() {
		return errorResponse(404, errNoSuchJob)
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	st, err := s.Jobs.Status(ctx, id)
	if err != nil {
		return s.jobErrorResponse(id, err)
	}
	return jsonResponse(200, st)
}

// cancelJob cancels a job and returns its final status.
func (s *Server) cancelJob(ctx context.Context, id wire.JobID) *http1.Response {
	if !id.Valid() {
		return errorResponse(404, errNoSuchJob)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	st, err := s.Jobs.Cancel(ctx, id)
	if err != nil {
		return s.jobErrorResponse(id, err)
	}
	return jsonResponse(200, st)
}
