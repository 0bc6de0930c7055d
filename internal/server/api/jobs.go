package api

import (
	"context"
	"strings"

	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// submitJob accepts a job: 201 if this request made it durable, 200 if it was known.
func (s *Server) submitJob(ctx context.Context, request *http1.Request) *http1.Response {
	spec, err := wire.DecodeJobSpec(request.Body)
	if err != nil {
		return problem(400, err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	st, created, err := s.Jobs.Submit(ctx, &spec)
	if err != nil {
		return s.jobFailure(spec.ID, err)
	}
	if created {
		return reply(201, st)
	}
	return reply(200, st)
}

// job answers a request below /api/jobs/: GET ID is a poll, POST ID/cancel a cancellation.
func (s *Server) job(ctx context.Context, rest, method string) *http1.Response {
	if id, ok := strings.CutSuffix(rest, "/cancel"); ok {
		if method != "POST" {
			return notAllowed("POST")
		}
		return s.limited("cancellation", func() *http1.Response { return s.cancelJob(ctx, wire.JobID(id)) })
	}
	if strings.Contains(rest, "/") {
		return problem(404, errNoSuchPath)
	}
	if method != "GET" {
		return notAllowed("GET")
	}
	// However many polls there are, half of MaxBusy is left to submissions and cancellations.
	defer s.polls.Add(-1)
	if s.polls.Add(1) > int64(max(1, s.MaxBusy/2)) {
		return s.shed("poll")
	}
	return s.limited("poll", func() *http1.Response { return s.jobStatus(ctx, wire.JobID(rest)) })
}

// jobStatus returns the status of a job.
func (s *Server) jobStatus(ctx context.Context, id wire.JobID) *http1.Response {
	if !id.Valid() {
		return problem(404, errNoSuchJob)
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	st, err := s.Jobs.Status(ctx, id)
	if err != nil {
		return s.jobFailure(id, err)
	}
	return reply(200, st)
}

// cancelJob cancels a job and returns its final status.
func (s *Server) cancelJob(ctx context.Context, id wire.JobID) *http1.Response {
	if !id.Valid() {
		return problem(404, errNoSuchJob)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	st, err := s.Jobs.Cancel(ctx, id)
	if err != nil {
		return s.jobFailure(id, err)
	}
	return reply(200, st)
}
