package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/runner"
	"maddermill/wire"
)

// Errors returned to clients in the body of a response.
var (
	errNoSuchPath       = errors.New("no such path")
	errNoSuchJob        = errors.New("no such job")
	errNoSuchWorkflow   = errors.New("no such workflow")
	errNotReady         = errors.New("not ready")
	errRetryLater       = errors.New("try again later")
	errMethodNotAllowed = errors.New("method not allowed")
	errRequestTimeout   = errors.New("request not completed in time")
	errNoTopology       = errors.New("no topology is declared, or the controller is starting")
	errNoJudgements     = errors.New("machines are not judged by evidence here")
	errInvalidHeartbeat = errors.New("not a report")
	errHeartbeatRefused = errors.New("not entitled to answer")
)

// maxDocumentError bounds, in bytes, the error message about a workflow's documents.
const maxDocumentError = 32 << 10

// jsonResponse returns a response with a value as its JSON body.
func jsonResponse(status int, v any) *http1.Response {
	b, err := json.Marshal(v)
	if err != nil {
		return &http1.Response{Status: 500}
	}
	return &http1.Response{Status: status, Body: b}
}

// errorResponse returns a response with an error's message as its body.
func errorResponse(status int, err error) *http1.Response {
	return jsonResponse(status, wire.ErrorBody{Error: err.Error()})
}

// methodNotAllowed returns the response to a request whose method is not the one that its path allows.
func methodNotAllowed(method string) *http1.Response {
	resp := errorResponse(405, errMethodNotAllowed)
	resp.Header = append(resp.Header, http1.Field{Name: "allow", Value: method})
	return resp
}

// retryLater returns the response to a request that cannot be served now, with the time to wait before a retry.
func (s *Server) retryLater() *http1.Response {
	resp := errorResponse(503, errRetryLater)
	after := strconv.Itoa(int(math.Ceil(s.RetryAfter.Seconds())))
	resp.Header = append(resp.Header, http1.Field{Name: "retry-after", Value: after})
	return resp
}

// framingErrorResponse returns the last response of a connection on which no further request can be read, or
// nil if no response should be sent.
func framingErrorResponse(err error) *http1.Response {
	var framing *http1.Error
	switch {
	case errors.As(err, &framing):
		return errorResponse(framing.Status, errors.New(framing.Reason))
	case errors.Is(err, transport.ErrTimeout):
		return errorResponse(408, errRequestTimeout)
	}
	return nil
}

// jobErrorResponse returns the response to a failed request about a job. Unexpected errors are logged.
func (s *Server) jobErrorResponse(id wire.JobID, err error) *http1.Response {
	switch {
	case errors.Is(err, server.ErrNoSuchJob):
		return errorResponse(404, errNoSuchJob)
	case errors.Is(err, server.ErrUnschedulable):
		return errorResponse(422, oneLine(err))
	case errors.Is(err, ledger.ErrTooManyDependencies):
		return errorResponse(400, fmt.Errorf("field %q %w", "awaits", ledger.ErrTooManyDependencies))
	case errors.Is(err, kvstore.ErrUnreachable):
	default:
		s.Log.Error("request failed", "job", id, "err", err)
	}
	return s.retryLater()
}

// workflowErrorResponse returns the response to a failed request about a workflow.
func (s *Server) workflowErrorResponse(err error) *http1.Response {
	var problems cwl.Problems
	switch {
	case errors.Is(err, runner.ErrDisabled):
		return errorResponse(404, err)
	case errors.Is(err, runner.ErrNotFailed):
		return errorResponse(409, err)
	case errors.Is(err, server.ErrNoSuchJob):
		return errorResponse(404, errNoSuchWorkflow)
	case errors.As(err, &problems):
		return errorResponse(400, truncatedError(err))
	}
	return s.jobErrorResponse("", err)
}

// oneLine returns an error with the messages of joined errors on one line.
func oneLine(err error) error {
	return errors.New(strings.ReplaceAll(err.Error(), "\n", ": "))
}

// truncatedError shortens an error about documents, which has a line for each problem, to little more than
// maxDocumentError, so that no line of a response becomes very long.
func truncatedError(err error) error {
	text := err.Error()
	if len(text) <= maxDocumentError {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxDocumentError], "") + "\n… and more")
}
