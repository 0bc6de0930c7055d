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

// Errors that clients get as the body of a response.
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
	errNoHeartbeat      = errors.New("not a report")
	errNotEntitled      = errors.New("not entitled to answer")
)

// maxDocumentError bounds the message about a workflow's documents, in bytes.
const maxDocumentError = 32 << 10

// reply is a response with a value as its JSON body.
func reply(status int, v any) *http1.Response {
	b, err := json.Marshal(v)
	if err != nil {
		return &http1.Response{Status: 500}
	}
	return &http1.Response{Status: status, Body: b}
}

// problem is a response with an error's message as its body.
func problem(status int, err error) *http1.Response {
	return reply(status, wire.ErrorBody{Error: err.Error()})
}

// notAllowed is the response to a request with another method than the only one allowed.
func notAllowed(method string) *http1.Response {
	p := problem(405, errMethodNotAllowed)
	p.Header = append(p.Header, http1.Field{Name: "allow", Value: method})
	return p
}

// retryLater is the response to a request that can't be served now, with the time to wait.
func (s *Server) retryLater() *http1.Response {
	p := problem(503, errRetryLater)
	after := strconv.Itoa(int(math.Ceil(s.RetryAfter.Seconds())))
	p.Header = append(p.Header, http1.Field{Name: "retry-after", Value: after})
	return p
}

// framingFailure is the last response of a connection on which no further request can be read; nil: none is
// to be sent.
func framingFailure(err error) *http1.Response {
	var framing *http1.Error
	switch {
	case errors.As(err, &framing):
		return problem(framing.Status, errors.New(framing.Reason))
	case errors.Is(err, transport.ErrTimeout):
		return problem(408, errRequestTimeout)
	}
	return nil
}

// jobFailure is the response to a failed request about a job. An error of no known kind is logged.
func (s *Server) jobFailure(id wire.JobID, err error) *http1.Response {
	switch {
	case errors.Is(err, server.ErrNoSuchJob):
		return problem(404, errNoSuchJob)
	case errors.Is(err, server.ErrUnschedulable):
		return problem(422, oneLine(err))
	case errors.Is(err, ledger.ErrTooManyDependencies):
		return problem(400, fmt.Errorf("field %q %w", "awaits", ledger.ErrTooManyDependencies))
	case errors.Is(err, kvstore.ErrUnreachable):
	default:
		s.Log.Error("request failed", "job", id, "err", err)
	}
	return s.retryLater()
}

// workflowFailure is the response to a failed request about a workflow.
func (s *Server) workflowFailure(err error) *http1.Response {
	var problems cwl.Problems
	switch {
	case errors.Is(err, runner.ErrNoWorkflows):
		return problem(404, err)
	case errors.Is(err, runner.ErrNotFailed):
		return problem(409, err)
	case errors.Is(err, server.ErrNoSuchJob):
		return problem(404, errNoSuchWorkflow)
	case errors.As(err, &problems):
		return problem(400, truncated(err))
	}
	return s.jobFailure("", err)
}

// oneLine is an error with the messages of joined errors in one line.
func oneLine(err error) error {
	return errors.New(strings.ReplaceAll(err.Error(), "\n", ": "))
}

// truncated is an error about documents, whose message has a line for each problem, with a message of little
// more than maxDocumentError: no line of a response may be very long.
func truncated(err error) error {
	text := err.Error()
	if len(text) <= maxDocumentError {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxDocumentError], "") + "\n… and more")
}
