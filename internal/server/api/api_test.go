package api_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/server/api"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/supervise"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/internal/workflow/runner"
	"maddermill/wire"
)

// held is what polls of one job wait for.
var held = make(chan struct{})

type service struct{}

type workflows struct{}

func (service) Submit(_ context.Context, s *wire.JobSpec) (wire.JobStatus, bool, error) {
	if s.Team == "nobody" {
		return wire.JobStatus{}, false, errors.Join(server.ErrUnschedulable, errors.New("unknown team"))
	}
	return wire.JobStatus{ID: s.ID, Status: wire.Queued}, true, nil
}
func (service) Status(_ context.Context, id wire.JobID) (wire.JobStatus, error) {
	switch id {
	case "wk-000001":
		return wire.JobStatus{ID: id, Status: wire.Done}, nil
	case "wk-000004":
		<-held
		return wire.JobStatus{ID: id, Status: wire.Running}, nil
	case "wk-000002":
		return wire.JobStatus{}, kvstore.ErrUnreachable
	}
	return wire.JobStatus{}, server.ErrNoSuchJob
}
func (s service) Cancel(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	return s.Status(ctx, id)
}
func (service) Heartbeat(context.Context, *wire.Heartbeat) server.HeartbeatAnswer {
	return server.HeartbeatAnswer{Status: 200, Response: &wire.HeartbeatResponse{FencingToken: 3, Commands: []wire.Command{}}}
}
func (service) Healthy() bool                        { return true }
func (service) Judgements() ([]wire.Judgement, bool) { return nil, true }
func (workflows) Submit(_ context.Context, s *wire.WorkflowSpec) (wire.WorkflowStatus, bool, error) {
	return wire.WorkflowStatus{ID: s.ID, Status: wire.Queued}, true, nil
}
func (workflows) Status(_ context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	if id != "wf-000001" {
		return wire.WorkflowStatus{}, server.ErrNoSuchJob
	}
	return wire.WorkflowStatus{ID: id, Status: wire.Done}, nil
}
func (s workflows) Cancel(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	return s.Status(ctx, id)
}
func (workflows) Resume(context.Context, wire.WorkflowID) (wire.WorkflowStatus, error) {
	return wire.WorkflowStatus{}, runner.ErrNotFailed
}
func (service) Topology(time.Time) (wire.TopologyView, bool) {
	return wire.TopologyView{
		Blocks: []wire.BlockView{{Path: "a", Level: "zone"}},
		Gangs:  []wire.GangView{{Job: "wk-000001"}},
	}, true
}

// TestOverTheWire serves on a loopback port through gnet, and asks both through
// our client and with bytes that no client of ours would send.
func TestOverTheWire(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	shed := make(chan string, 100)
	server := &api.Server{
		Users:      service{},
		Workers:    service{},
		Workflows:  workflows{},
		View:       service{},
		Duties:     new(supervise.Group).Status,
		Metrics:    func() []byte { return []byte("x 1\n") },
		RetryAfter: time.Second,
		MaxUsers:   100,
		MaxBusy:    10,
		Shed:       func(kind string) { shed <- kind },
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	served := make(chan error, 1)
	go func() { served <- transport.Serve(ctx, addr, 50, server.Serve) }()
	dialer, err := transport.NewDialer(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer dialer.Stop()
	client := &http1.Client{Dialer: dialer, Addr: addr, MaxIdle: 2, MaxBody: 1 << 20}
	for up := false; !up; {
		one, done := context.WithTimeout(ctx, 10*time.Second)
		p, err := client.Do(one, &http1.Request{Method: "GET", Path: "/healthz"})
		done()
		up = err == nil && p.Status == 200
		if err != nil && !errors.Is(err, http1.ErrNotSent) {
			t.Fatal(err)
		}
	}
	job := `{"id":"wk-000009","workclass":"c","owner":"OWNER","shape":"array","urgency":"normal","pieces":1,"cores":1,"accelerators":0,
	 "ram_gb":1,"bundle":"i","pull_gb":1,"together":false,"scatter":false,"loaners":true,"expect_s":1,"snapshot_s":0,"stash_s":0}`
	for _, tc := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/api/jobs", strings.Replace(job, "OWNER", "t", 1), 201},
		{"POST", "/api/jobs", strings.Replace(job, "OWNER", "nobody", 1), 422},
		{"POST", "/api/jobs", "{}", 400},
		{"POST", "/api/jobs", strings.Repeat("x", http1.MaxBody), 400},
		{"GET", "/api/jobs", "", 405},
		{"GET", "/api/jobs/wk-000001", "", 200},
		{"GET", "/api/jobs/wk-000002", "", 503},
		{"GET", "/api/jobs/wk-000003", "", 404},
		{"GET", "/api/jobs/what", "", 404},
		{"POST", "/api/jobs/wk-000001/cancel", "", 200},
		{"GET", "/api/jobs/wk-000001/cancel", "", 405},
		{"POST", "/v1/report", `{"millstone":"host-1","shift":1,"tally":1,"pieces":[]}`, 200},
		{"POST", "/v1/report", `{"millstone":7}`, 400},
		{"GET", "/metrics", "", 200},
		{"GET", "/nothing", "", 404},
		{"GET", "/api/topology", "", 200},
		{"POST", "/api/topology", "", 405},
		{"GET", "/api/duties", "", 200},
		{"GET", "/api/judgements", "", 200},
		{"POST", "/api/duties", "", 405},
		{"POST", "/api/workflows", `{"id":"wf-000001","owner":"t","bundle":{"main.cwl":"{cwlVersion: v1.2, class: Workflow, inputs: [], outputs: [], steps: []}"}}`, 201},
		{"POST", "/api/workflows", `{"id":"wf-000001","owner":"t","bundle":{"main.cwl":"{class: Workflow}"}}`, 400},
		{"POST", "/api/workflows", `{"id":"wk-000001"}`, 400},
		{"GET", "/api/workflows", "", 405},
		{"GET", "/api/workflows/wf-000001", "", 200},
		{"GET", "/api/workflows/wf-000002", "", 404},
		{"GET", "/api/workflows/wf-2/events", "", 404},
		{"POST", "/api/workflows/wf-000001/cancel", "", 200},
		{"POST", "/api/workflows/wf-000001/resume", "", 409},
		{"POST", "/api/workflows/wf-000001/stop", "", 404},
	} {
		p, err := client.Do(ctx, &http1.Request{Method: tc.method, Path: tc.path, Body: []byte(tc.body)})
		if err != nil || p.Status != tc.status {
			t.Errorf("%s %s: %v, %v, want %d", tc.method, tc.path, p, err, tc.status)
		}
		if err == nil && p.Status == 503 && p.Header.Get("retry-after") != "1" {
			t.Errorf("%s %s: no Retry-After", tc.method, tc.path)
		}
	}
	// A stream of events ends, and its connection with it, once the workflow is final.
	stream, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(stream, "GET /api/workflows/wf-000001/events HTTP/1.1\r\nhost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(
		stream,
	); err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 200") ||
		!strings.HasSuffix(string(b), `{"id":"wf-000001","status":"done"}`+"\n") {
		t.Errorf("the stream is %q, %v", b, err)
	}
	// However many polls are under way, further ones are put off at once and submissions
	// keep their part.
	polls := make(chan int, 8)
	for range cap(polls) {
		go func() {
			p, err := client.Do(ctx, &http1.Request{Method: "GET", Path: "/api/jobs/wk-000004"})
			if err != nil {
				p = &http1.Response{}
			}
			polls <- p.Status
		}()
	}
	for range 3 {
		if kind := <-shed; kind != "poll" {
			t.Errorf("put off a %s", kind)
		}
		if status := <-polls; status != 503 {
			t.Errorf("a poll beyond the bound got %d", status)
		}
	}
	if p, err := client.Do(
		ctx,
		&http1.Request{Method: "POST", Path: "/api/jobs", Body: []byte(strings.Replace(job, "OWNER", "t", 1))},
	); err != nil ||
		p.Status != 201 {
		t.Errorf("a submission beside them got %v, %v", p, err)
	}
	close(held)
	for range 5 {
		if status := <-polls; status != 200 {
			t.Errorf("a poll under way got %d", status)
		}
	}
	for in, want := range map[string]string{
		"nonsense\r\n\r\n": "HTTP/1.1 400",
		"POST /api/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n": "HTTP/1.1 413",
		"GET /" + strings.Repeat("y", 9000) + " HTTP/1.1\r\n\r\n":  "HTTP/1.1 431",
		"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n":       "HTTP/1.1 200",
	} {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, in); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(bufio.NewReader(c)) // ends only if the server closes
		if !strings.HasPrefix(string(got), want) {
			t.Errorf("%.30q: %q, %v, want %s", in, got, err, want)
		}
		c.Close()
	}
	cancel()
	if err := <-served; err != nil {
		t.Errorf("stopping: %v", err)
	}
}
