package api

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// Limits of event streams.
const (
	streamTimeout  = 10 * time.Minute // after which the client reconnects
	streamInterval = time.Second      // between reads of the status
)

// eventsHeader is the start of an event stream's response. The stream ends when the connection is closed.
const eventsHeader = "HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\nconnection: close\r\n\r\n"

// eventsRequest reports whether a request is for a workflow's event stream, and returns the workflow's ID.
func eventsRequest(request *http1.Request) (id wire.WorkflowID, ok bool) {
	rest, isWorkflow := strings.CutPrefix(request.Path, workflowsPath+"/")
	name, isEvents := strings.CutSuffix(rest, "/events")
	id = wire.WorkflowID(name)
	return id, isWorkflow && isEvents && request.Method == "GET" && id.Valid()
}

// streamEvents writes a workflow's status as a JSON line whenever it changes, until the status is final,
// streamTimeout has passed, or the client has disconnected. The connection cannot be reused.
func (s *Server) streamEvents(ctx context.Context, conn *transport.Conn, id wire.WorkflowID) {
	defer s.streams.Add(-1)
	if s.streams.Add(1) > int64(max(1, s.MaxUserRequests/4)) {
		s.writeLast(conn, s.shed("stream"))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	ticker := time.NewTicker(streamInterval)
	defer ticker.Stop()
	stream := eventStream{conn: conn}
	for {
		st, err := s.pollWorkflow(ctx, id)
		switch {
		case err == nil:
			if !stream.send(&st) {
				return
			}
		case !stream.started:
			s.writeLast(conn, s.workflowErrorResponse(err))
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollWorkflow returns the status of a workflow within pollTimeout.
func (s *Server) pollWorkflow(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return s.Workflows.Status(ctx, id)
}

// eventStream is an event stream on a connection.
type eventStream struct {
	conn    *transport.Conn
	started bool   // the header has been written
	last    string // the most recently written line
}

// send writes a status unless it equals the previous one, and reports whether more may follow: the status is
// not final and the client is still connected.
func (e *eventStream) send(st *wire.WorkflowStatus) bool {
	line, err := json.Marshal(st)
	if err != nil {
		return false
	}
	if !e.started {
		e.started = true
		if _, err := e.conn.Write([]byte(eventsHeader)); err != nil {
			return false
		}
	}
	if string(line) != e.last {
		e.last = string(line)
		if _, err := e.conn.Write(append(line, '\n')); err != nil {
			return false
		}
	}
	return st.Status != wire.Done && st.Status != wire.Failed && st.Status != wire.Cancelled
}
