package api_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/server/api"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/supervise"
	"maddermill/internal/testing/unknownfield"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/internal/workflow/runner"
	"maddermill/wire"
)

// startTimeout bounds how long a test waits for a server's first response.
const startTimeout = 10 * time.Second

// service is a fake of all services behind the API except workflows.
type service struct {
	blockPolls chan struct{} // polls of wk-000004 block until it is closed
}

func (service) Submit(_ context.Context, s *wire.JobSpec) (wire.JobStatus, bool, error) {
	if len(s.Dependencies) > 5 {
		return wire.JobStatus{}, false, ledger.ErrTooManyDependencies
	}
	if s.Team == "nobody" {
		return wire.JobStatus{}, false, errors.Join(server.ErrUnschedulable, errors.New("unknown team"))
	}
	return wire.JobStatus{ID: s.ID, Status: wire.Queued}, true, nil
}

func (s service) Status(_ context.Context, id wire.JobID) (wire.JobStatus, error) {
	switch id {
	case "wk-000001":
		return wire.JobStatus{ID: id, Status: wire.Done}, nil
	case "wk-000004":
		<-s.blockPolls
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
	return server.HeartbeatAnswer{
		Status:   200,
		Response: &wire.HeartbeatResponse{FencingToken: 3, Commands: []wire.Command{}},
	}
}

func (service) Healthy() bool                        { return true }
func (service) Judgements() ([]wire.Judgement, bool) { return nil, true }

func (service) Topology(time.Time) (wire.TopologyView, bool) {
	return wire.TopologyView{
		Blocks: []wire.BlockView{{Path: "a", Level: "zone"}},
		Gangs:  []wire.GangView{{Job: "wk-000001"}},
	}, true
}

// workflows is a fake of the workflow service; wf-000001 is the only known workflow.
type workflows struct{}

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

// testServer is a server on a loopback port, with a client.
type testServer struct {
	addr       string
	client     *http1.Client
	shed       chan string   // kinds of the requests that were shed
	blockPolls chan struct{} // see service
}

// newTestServer starts a server that is stopped at the end of the test, and checks that it stops without an
// error.
func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{addr: freeAddr(t), shed: make(chan string, 100), blockPolls: make(chan struct{})}
	services := service{blockPolls: s.blockPolls}
	apiServer := &api.Server{
		Jobs:            services,
		Heartbeats:      services,
		Workflows:       workflows{},
		Inspector:       services,
		ComponentStatus: new(supervise.Group).Status,
		Metrics:         func() []byte { return []byte("x 1\n") },
		RetryAfter:      time.Second,
		MaxUserConns:    100,
		MaxUserRequests: 10,
		OnShed:          func(kind string) { s.shed <- kind },
		Log:             slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	ctx, cancel := context.WithCancel(context.Background()) // t.Context() ends before the cleanup
	served := make(chan error, 1)
	go func() { served <- transport.Serve(ctx, s.addr, 50, apiServer.Serve) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("stopping: %v", err)
		}
	})
	dialer, err := transport.NewDialer(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dialer.Stop)
	s.client = &http1.Client{Dialer: dialer, Addr: s.addr, MaxIdle: 2, MaxBody: 1 << 20}
	s.waitHealthy(t)
	return s
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// waitHealthy waits until the server responds.
func (s *testServer) waitHealthy(t *testing.T) {
	t.Helper()
	for healthy := false; !healthy; {
		ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
		resp, err := s.client.Do(ctx, &http1.Request{Method: "GET", Path: "/healthz"})
		cancel()
		healthy = err == nil && resp.Status == 200
		if err != nil && !errors.Is(err, http1.ErrNotSent) {
			t.Fatal(err)
		}
	}
}

// exchange sends bytes on a new connection and returns everything that the server sends until it closes the
// connection; the error is that of reading.
func (s *testServer) exchange(t *testing.T, request string) (string, error) {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the server has closed it
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(bufio.NewReader(conn))
	return string(got), err
}

// submission returns a submission of wk-000009 by a team.
func submission(team string) string {
	return `{"id":"wk-000009","workclass":"c","owner":"` + team + `","shape":"array","urgency":"normal","pieces":1,
	 "cores":1,"accelerators":0,"ram_gb":1,"bundle":"i","pull_gb":1,"together":false,"scatter":false,"loaners":true,
	 "expect_s":1,"snapshot_s":0,"stash_s":0}`
}

// TestRoutes checks the status for each path and method, served through gnet and requested with our client.
func TestRoutes(t *testing.T) {
	s := newTestServer(t)
	const workflow = `{"id":"wf-000001","owner":"t","bundle":{"main.cwl":` +
		`"{cwlVersion: v1.2, class: Workflow, inputs: [], outputs: [], steps: []}"}}`
	const badWorkflow = `{"id":"wf-000001","owner":"t","bundle":{"main.cwl":"{class: Workflow}"}}`
	for _, tc := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/api/jobs", submission("t"), 201},
		{"POST", "/api/jobs", submission("nobody"), 422},
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
		{"POST", "/api/workflows", workflow, 201},
		{"POST", "/api/workflows", badWorkflow, 400},
		{"POST", "/api/workflows", `{"id":"wk-000001"}`, 400},
		{"GET", "/api/workflows", "", 405},
		{"GET", "/api/workflows/wf-000001", "", 200},
		{"GET", "/api/workflows/wf-000002", "", 404},
		{"GET", "/api/workflows/wf-2/events", "", 404},
		{"POST", "/api/workflows/wf-000001/cancel", "", 200},
		{"POST", "/api/workflows/wf-000001/resume", "", 409},
		{"POST", "/api/workflows/wf-000001/stop", "", 404},
	} {
		resp, err := s.client.Do(t.Context(), &http1.Request{Method: tc.method, Path: tc.path, Body: []byte(tc.body)})
		if err != nil || resp.Status != tc.status {
			t.Errorf("%s %s: %v, %v, want %d", tc.method, tc.path, resp, err, tc.status)
		}
		if err == nil && resp.Status == 503 && resp.Header.Get("retry-after") != "1" {
			t.Errorf("%s %s: retry-after %q, want 1", tc.method, tc.path, resp.Header.Get("retry-after"))
		}
	}
}

// TestRequestsIgnoreNamesInOtherCase guards against a submission with an unknown field "Id" being answered with the
// state of the job that it names, and against reports with such fields being refused.
func TestRequestsIgnoreNamesInOtherCase(t *testing.T) {
	s := newTestServer(t)
	const (
		report = `{"millstone":"host-1","endpoint":"10.1.0.1:1","build":"g","yard":"a","loaners":true,"shift":1,"tally":2,
		 "warrant":3,"recall_s":4.5,"pieces":[{"piece":"wk-000001/0","try":1,"status":"ended","cause":"done"}]}`
		accepted = `{"id":"wk-000009","status":"queued"}`
		answer   = `{"warrant":3,"orders":[]}`
	)
	check := func(path, body string, status int, want string) {
		t.Helper()
		resp, err := s.client.Do(t.Context(), &http1.Request{Method: "POST", Path: path, Body: []byte(body)})
		if err != nil || resp.Status != status || string(resp.Body) != want {
			t.Errorf("%s: got %v, error %v; want %d %s", body, resp, err, status, want)
		}
	}
	check("/api/jobs", strings.TrimSuffix(submission("t"), "}")+`,"Id":"wk-000001"}`, 201, accepted)
	for _, body := range unknownfield.Variants(submission("t")) {
		check("/api/jobs", body, 201, accepted)
	}
	for _, body := range unknownfield.Variants(report) {
		check("/v1/report", body, 200, answer)
	}
}

// TestMessages checks the bodies of error responses, which users read, byte for byte.
func TestMessages(t *testing.T) {
	s := newTestServer(t)
	for _, tc := range []struct{ method, path, body, want string }{
		{"POST", "/api/jobs", submission("nobody"), `{"error":"can never run: unknown team"}`},
		{"POST", "/api/jobs", "{}", `{"error":"field \"id\" is missing"}`},
		{"GET", "/api/jobs", "", `{"error":"method not allowed"}`},
		{"GET", "/api/jobs/wk-000002", "", `{"error":"try again later"}`},
		{"GET", "/api/jobs/wk-000003", "", `{"error":"no such job"}`},
		{"POST", "/v1/report", "{}", `{"error":"not a report"}`},
		{"GET", "/nothing", "", `{"error":"no such path"}`},
		{"POST", "/api/workflows", `{"id":"wf-000001","owner":"t"}`, `{"error":"bundle: is missing"}`},
		{"GET", "/api/workflows/wf-000002", "", `{"error":"no such workflow"}`},
	} {
		resp, err := s.client.Do(t.Context(), &http1.Request{Method: tc.method, Path: tc.path, Body: []byte(tc.body)})
		if err != nil || string(resp.Body) != tc.want {
			t.Errorf("%s %s: %v, %v, want %s", tc.method, tc.path, resp, err, tc.want)
		}
	}
}

// TestEvents checks that an event stream ends, and its connection is closed, once the workflow is final.
func TestEvents(t *testing.T) {
	s := newTestServer(t)
	got, err := s.exchange(t, "GET /api/workflows/wf-000001/events HTTP/1.1\r\nhost: x\r\n\r\n")
	if err != nil || !strings.HasPrefix(got, "HTTP/1.1 200") ||
		!strings.HasSuffix(got, `{"id":"wf-000001","status":"done"}`+"\n") {
		t.Errorf("the stream is %q, %v", got, err)
	}
}

// TestShedding checks that polls beyond the limit are shed immediately, however many are in progress, and that
// submissions keep their reserved share.
func TestShedding(t *testing.T) {
	s := newTestServer(t)
	polls := make(chan int, 8)
	for range cap(polls) {
		go func() {
			resp, err := s.client.Do(t.Context(), &http1.Request{Method: "GET", Path: "/api/jobs/wk-000004"})
			if err != nil {
				resp = &http1.Response{}
			}
			polls <- resp.Status
		}()
	}
	for range 3 {
		if kind := <-s.shed; kind != "poll" {
			t.Errorf("shed a %s, want poll", kind)
		}
		if status := <-polls; status != 503 {
			t.Errorf("poll beyond the limit: status %d, want 503", status)
		}
	}
	resp, err := s.client.Do(t.Context(),
		&http1.Request{Method: "POST", Path: "/api/jobs", Body: []byte(submission("t"))})
	if err != nil || resp.Status != 201 {
		t.Errorf("submission during polls: %v, %v, want 201", resp, err)
	}
	close(s.blockPolls)
	for range 5 {
		if status := <-polls; status != 200 {
			t.Errorf("poll in progress: status %d, want 200", status)
		}
	}
}

// TestFraming sends requests that our client would never send. The server closes the connection after its
// response.
func TestFraming(t *testing.T) {
	s := newTestServer(t)
	for request, want := range map[string]string{
		"nonsense\r\n\r\n": "HTTP/1.1 400",
		"POST /api/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n": "HTTP/1.1 413",
		"GET /" + strings.Repeat("y", 9000) + " HTTP/1.1\r\n\r\n":  "HTTP/1.1 431",
		"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n":       "HTTP/1.1 200",
	} {
		// The server may reset a connection with unread bytes, which causes a read error.
		if got, err := s.exchange(t, request); !strings.HasPrefix(got, want) {
			t.Errorf("%.30q: %q, %v, want %s", request, got, err, want)
		}
	}
}

// TestSubmissionsWithDependencies checks that errors in a submission's dependencies name the field, and that
// values other than a list of job IDs are rejected.
func TestSubmissionsWithDependencies(t *testing.T) {
	s := newTestServer(t)
	const job = `{"id":"wk-000001","workclass":"c","owner":"t","shape":"array","urgency":"normal","pieces":1,` +
		`"cores":1,"accelerators":0,"ram_gb":1,"bundle":"i","pull_gb":1,"builds":null,"yard":null,"together":false,` +
		`"scatter":false,"loaners":false,"expect_s":1,"snapshot_s":0,"stash_s":0,"due_s":null,"awaits":`
	tooMany := strings.TrimSuffix(strings.Repeat(`"wk-000002",`, 5000), ",")
	var distinct []string
	for i := range 6 {
		distinct = append(distinct, fmt.Sprintf(`"wk-00001%d"`, i))
	}
	for _, tc := range []struct {
		name, awaits string
		status       int
	}{
		{"omitted as null", `null`, 201},
		{"empty", `[]`, 201},
		{"one", `["wk-000002"]`, 201},
		{"duplicates count once", `[` + tooMany + `]`, 201},
		{"not a list", `"wk-000002"`, 400},
		{"numbers", `[2]`, 400},
		{"objects", `[{"id":"wk-000002"}]`, 400},
		{"null within", `[null]`, 400},
		{"bad form", `["wk-2"]`, 400},
		{"more than can be kept", `[` + strings.Join(distinct, ",") + `]`, 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			response, err := s.client.Do(t.Context(),
				&http1.Request{Method: "POST", Path: "/api/jobs", Body: []byte(job + tc.awaits + "}")})
			if err != nil {
				t.Fatal(err)
			}
			if response.Status != tc.status {
				t.Errorf("got status %d with %s, want %d", response.Status, response.Body, tc.status)
			}
			if response.Status == 400 && !strings.Contains(string(response.Body), "awaits") {
				t.Errorf("got %s, want a message that names the field awaits", response.Body)
			}
		})
	}
}
