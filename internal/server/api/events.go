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

// Limits of streams of events.
const (
	streamTimeout  = 10 * time.Minute // then the client asks again
	streamInterval = time.Second      // between two reads of the status
)

// eventsHeader is what a stream of events begins with. Its end is that of the connection.
const eventsHeader = "HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\nconnection: close\r\n\r\n"

// eventsRequest reports whether a request is for a workflow's stream of events, and of which workflow.
func eventsRequest(request *http1.Request) (id wire.WorkflowID, ok bool) {
	rest, below := strings.CutPrefix(request.Path, workflowsPath+"/")
	name, events := strings.CutSuffix(rest, "/events")
	id = wire.WorkflowID(name)
	return id, below && events && request.Method == "GET" && id.Valid()
}

// streamEvents writes a workflow's status as a JSON line whenever it changes, until it is final, after
// streamTimeout, or until the client is gone. The connection can't be used after it.
func (s *Server) streamEvents(ctx context.Context, conn *transport.Conn, id wire.WorkflowID) {
	defer s.streams.Add(-1)
	if s.streams.Add(1) > int64(max(1, s.MaxBusy/4)) {
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

// eventStream is a stream of events on a connection.
type eventStream struct {
	conn    *transport.Conn
	started bool   // the header is written
	last    string // line written last
}

// send writes a status unless it is the one written last, and reports whether more may follow: the status is
// not final and the client is there.
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
