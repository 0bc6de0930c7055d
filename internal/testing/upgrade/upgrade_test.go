package upgrade

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// root is the repository's root.
const root = "../../.."

// Limits of the state service before and after they fall.
const (
	usualTxnOps, usualValueBytes     = 20, 16 << 10
	loweredTxnOps, loweredValueBytes = 4, 2 << 10
)

// Times of a run. The processes are real, so nothing depends on how soon something happens: only what does
// not happen within patience fails.
const (
	patience    = 4 * time.Minute
	workerLease = 30 * time.Second
	cancelTime  = 60 * time.Second
	pause       = 100 * time.Millisecond // between two looks
	taskTime    = 2 * time.Second
)

// controllers is how many there are.
const controllers = 3

// buildProduction builds the version that deploy/service.toml names from the repository's history, and the
// one under test.
func buildProduction(t *testing.T) (production, current string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var service struct {
		Production string `toml:"production"`
	}
	if err := toml.Unmarshal(text, &service); err != nil || len(service.Production) != 40 {
		t.Fatalf("deploy/service.toml: production: got %q, error %v, want a commit's full hash", service.Production, err)
	}
	sources := t.TempDir()
	archive := filepath.Join(sources, "sources.tar")
	run(t, root, "git", "archive", "--output", archive, service.Production,
		"cmd", "internal", "policy", "wire", "go.mod", "go.sum")
	run(t, sources, "tar", "-xf", archive)
	production, current = filepath.Join(sources, "production"), filepath.Join(sources, "current")
	run(t, sources, "go", "build", "-ldflags=-linkmode=external", "-o", production, "./cmd/maddermill")
	run(t, root, "go", "build", "-ldflags=-linkmode=external", "-o", current, "./cmd/maddermill")
	return production, current
}

// run runs a command in a folder, which must succeed.
func run(t *testing.T, dir, name string, args ...string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), name, args...)
	command.Dir = dir
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, out)
	}
}

// deployment is three controllers with the systems around them.
type deployment struct {
	t     *testing.T
	world *emulator.World
	store *emulator.Store
	cloud *emulator.Cloud

	state, cloudAddr string
	binds, meshes    []string
	files            []string
	group            sync.WaitGroup // workers

	mu        sync.Mutex // guards the fields below
	processes []*exec.Cmd
}

// newDeployment returns a deployment without any process.
func newDeployment(ctx context.Context, t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t:         t,
		world:     emulator.NewWorld(cancelTime),
		store:     emulator.NewStore(usualTxnOps, usualValueBytes),
		processes: make([]*exec.Cmd, controllers),
	}
	d.cloud = &emulator.Cloud{
		World: d.world, Lag: time.Second, Lease: workerLease, Most: 8,
		Run: func(wire.TaskID) time.Duration { return taskTime },
		Types: []wire.MachineType{{
			Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 40, FetchGBps: 10, Price: 1, SpotPrice: 0.4, Boot: 2,
			Zones: []wire.Zone{"here", "there"},
		}},
	}
	d.cloud.Started = func(m *emulator.Machine) { d.group.Go(func() { d.runWorker(ctx, m) }) }
	d.state = d.serve(emulator.StateHandler(emulator.NewLink(d.store, 1)))
	d.cloudAddr = d.serve(emulator.CloudHandler(d.cloud))
	for range controllers {
		d.binds, d.meshes = append(d.binds, freeAddr(ctx, t)), append(d.meshes, freeAddr(ctx, t))
	}
	for i := range controllers {
		d.files = append(d.files, d.writeSettings(i))
	}
	t.Cleanup(func() {
		for i := range controllers {
			d.kill(i)
		}
	})
	return d
}

// serve serves a handler on loopback until the test ends, and returns its address.
func (d *deployment) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	d.t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// freeAddr returns an address on loopback that nobody listens on.
func freeAddr(ctx context.Context, t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// writeSettings writes the settings of a controller, the same for both versions.
func (d *deployment) writeSettings(i int) string {
	d.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "member = \"mill-%d\"\nzone = \"here\"\nbind = %q\nmesh_addr = %q\n", i, d.binds[i], d.meshes[i])
	for other := range controllers {
		if other != i {
			fmt.Fprintf(&b, "[[seeds]]\nmember = \"mill-%d\"\nzone = \"here\"\naddress = %q\n", other, d.meshes[other])
		}
	}
	fmt.Fprintf(&b, `[outside]
cloud = %q
state = %q
[settings]
count = %d
zones = ["here", "there"]
[[settings.teams]]
name = "try"
[settings.workers]
report_s = 1.0
lease_s = %g
gang_wait_s = 20.0
gang_peer_s = 5.0
cancel_s = %g
[settings.state]
rps = 500.0
write_rps = 100.0
value_kb = %d.0
txn_ops = %d
[settings.state.next]
write_rps = 80.0
value_kb = %d.0
txn_ops = %d
[settings.cloud]
rps = 5.0
list_lag_s = 1.0
`, d.cloudAddr, d.state, controllers, workerLease.Seconds(), cancelTime.Seconds(),
		usualValueBytes>>10, usualTxnOps, loweredValueBytes>>10, loweredTxnOps)
	file := filepath.Join(d.t.TempDir(), fmt.Sprintf("mill-%d.toml", i))
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

// start starts a controller of a version.
func (d *deployment) start(i int, program string) {
	d.t.Helper()
	command := exec.Command(program, "--config", d.files[i]) //nolint:noctx // it is killed with the test
	command.Env = append(os.Environ(), "LOG_LEVEL=error")
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[i] = command
}

// kill ends a controller without a signal that it could handle.
func (d *deployment) kill(i int) {
	d.mu.Lock()
	command := d.processes[i]
	d.processes[i] = nil
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill() // it may have ended
		_ = command.Wait()         // killed
	}
}

// runWorker sends a machine's heartbeats to one controller, and to the next where that does not answer, until
// ctx ends or the machine is gone.
func (d *deployment) runWorker(ctx context.Context, m *emulator.Machine) {
	client := &http.Client{Timeout: 4 * time.Second}
	for at := 0; ctx.Err() == nil && !m.Gone(); {
		time.Sleep(time.Second)
		heartbeat, begun := m.Heartbeat()
		if heartbeat == nil {
			continue
		}
		var response wire.HeartbeatResponse
		if status := call(ctx, client, http.MethodPost, d.binds[at]+"/v1/report", heartbeat, &response); status != 200 {
			at = (at + 1) % controllers
			continue
		}
		m.Answer(begun, heartbeat.Epoch, &response)
	}
}

// call sends a request and reads its answer; status 0: there is none.
func call(ctx context.Context, client *http.Client, method, url string, body, answer any) (status int) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // only read from
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode < 300 && json.Unmarshal(text, answer) != nil {
		return 0
	}
	return response.StatusCode
}

// ask sends a request to one controller after the other until one answers with an accepted status, and tells
// the world what it says.
func (d *deployment) ask(ctx context.Context, method, path string, body any) wire.JobStatus {
	d.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second}
	for at, end := 0, time.Now().Add(patience); time.Now().Before(end); at = (at + 1) % controllers {
		var status wire.JobStatus
		code := call(ctx, client, method, d.binds[at]+path, body, &status)
		switch {
		case code == 200 || code == 201:
			d.world.ObserveAnswer(status.ID, status.Status)
			return status
		case code >= 400 && code < 500 && code != 429:
			d.t.Fatalf("%s %s: got status %d, want an answer or a reason to try again", method, path, code)
		}
		time.Sleep(pause)
	}
	d.t.Fatalf("%s %s: got no answer within %v", method, path, patience)
	return wire.JobStatus{}
}

// submit submits an array of tasks that names other jobs.
func (d *deployment) submit(ctx context.Context, number, tasks int, names ...int) {
	d.t.Helper()
	spec := &wire.JobSpec{
		ID: jobID(number), Class: "c", Team: "try", Shape: wire.Array, Priority: wire.Normal, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "image", ImageGB: 1, Estimate: 2, Spot: true,
	}
	for _, name := range names {
		spec.Dependencies = append(spec.Dependencies, jobID(name))
	}
	d.world.Upload(spec)
	d.ask(ctx, http.MethodPost, "/api/jobs", spec)
}

// jobID returns the name of a job.
func jobID(number int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", number)) }

// await polls jobs until all have a status.
func (d *deployment) await(ctx context.Context, want wire.Status, numbers ...int) {
	d.t.Helper()
	for _, number := range numbers {
		path := "/api/jobs/" + string(jobID(number))
		for end := time.Now().Add(patience); ; time.Sleep(pause) {
			got := d.ask(ctx, http.MethodGet, path, nil).Status
			if got == want {
				break
			}
			if time.Now().After(end) {
				d.t.Fatalf("%s: got %s after %v, want %s", jobID(number), got, patience, want)
			}
		}
	}
}

// format returns the format of the records.
func (d *deployment) format() int {
	records := ledger.New(ledger.Limits{ValueBytes: usualValueBytes, TxnOps: usualTxnOps})
	for _, item := range d.store.Items() {
		if item.Key == ledger.FormatKey {
			records.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
		}
	}
	format, _ := records.Format()
	return format.Format
}

// upgradeCase is an order in which processes get the new version.
type upgradeCase struct {
	name       string
	order      []int
	oldAgain   bool // a process dies before its turn and comes back with the old version
	lowerFirst bool // the limits fall right after the last restart, else once pipelines run
}

// TestRollingUpgrade upgrades a deployment of the version in production, one process after the other, while
// jobs run. Both versions work on each other's records; the format rises only once all have the new version;
// pipelines are served then; and the state service comes to take only smaller values and transactions. No rule
// is broken, and all jobs are served.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	production, current := buildProduction(t)
	for _, tc := range []upgradeCase{
		{"first to last", []int{0, 1, 2}, false, false},
		{"last to first, one back as it was", []int{2, 1, 0}, true, true},
		{"from the middle", []int{1, 2, 0}, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			d := newDeployment(ctx, t)
			d.begin(ctx, production)
			d.roll(ctx, tc, production, current)
			d.runPipelines(ctx, tc.lowerFirst)
			cancel()
			d.checkRules()
		})
	}
}

// begin starts all controllers with the version in production, and jobs.
func (d *deployment) begin(ctx context.Context, production string) {
	d.t.Helper()
	for i := range controllers {
		d.start(i, production)
	}
	for i := range 4 {
		d.cloud.Add("small", []wire.Zone{"here", "there"}[i%2], false)
	}
	// 300 tasks: the record has claims for more than the new limit, and is worked on by both versions.
	d.submit(ctx, 0, 300)
	d.submit(ctx, 1, 3)
	d.await(ctx, wire.Done, 1)
}

// roll replaces the processes by the current version, one after the other.
func (d *deployment) roll(ctx context.Context, tc upgradeCase, production, current string) {
	d.t.Helper()
	for turn, i := range tc.order {
		d.kill(i)
		if tc.oldAgain && turn == 1 {
			last := tc.order[2]
			d.kill(last)
			d.start(last, production)
		}
		time.Sleep(3 * pause)
		if got := d.format(); got >= ledger.PipelineFormat {
			d.t.Errorf("before the last process has the new version: got format %d, want an older one", got)
		}
		d.start(i, current)
		d.submit(ctx, 10+i, 4)
		d.await(ctx, wire.Done, 10+i)
	}
}

// runPipelines submits pipelines, of which a part is cancelled, while the limits fall.
func (d *deployment) runPipelines(ctx context.Context, lowerFirst bool) {
	d.t.Helper()
	if lowerFirst {
		d.store.SetLimits(loweredTxnOps, loweredValueBytes)
	}
	d.submit(ctx, 20, 12)
	d.submit(ctx, 21, 30, 20, 0)
	d.submit(ctx, 22, 2, 20, 21)
	d.submit(ctx, 23, 2)
	d.submit(ctx, 24, 2, 23, 22)
	d.submit(ctx, 25, 2, 24)
	d.store.SetLimits(loweredTxnOps, loweredValueBytes)
	d.ask(ctx, http.MethodPost, "/api/jobs/"+string(jobID(24))+"/cancel", nil)
	d.await(ctx, wire.Cancelled, 24, 25)
	d.await(ctx, wire.Done, 0, 20, 21, 22, 23)
}

// checkRules reports broken rules once all workers have ended.
func (d *deployment) checkRules() {
	d.t.Helper()
	d.group.Wait()
	d.world.Check()
	for _, rule := range d.world.Broken {
		d.t.Errorf("broken rule: %s", rule)
	}
	for _, problem := range d.store.Problems {
		d.t.Errorf("beyond the limits of the state service: %s", problem)
	}
}
