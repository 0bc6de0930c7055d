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

	"maddermill/internal/exactjson"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// root is the path of the repository root.
const root = "../../.."

// Limits of the state service before and after they are lowered.
const (
	initialTxnOps, initialValueBytes = 20, 16 << 10
	loweredTxnOps, loweredValueBytes = 4, 2 << 10
)

// Durations of a run. As the processes are real, the test does not depend on how fast something happens. It
// fails only if something has not happened within waitTimeout.
const (
	waitTimeout  = 4 * time.Minute
	workerLease  = 30 * time.Second
	cancelGrace  = 60 * time.Second
	pollInterval = 100 * time.Millisecond // between two polls
	taskTime     = 2 * time.Second
)

// controllers is the number of controllers.
const controllers = 3

// buildProduction builds the version in production, which deploy/service.toml names, from the repository's
// history, and the version under test. It returns the paths of the two programs.
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
		t.Fatalf("deploy/service.toml: production: got %q, error %v, want the full hash of a commit", service.Production, err)
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

// run runs a command in a directory, and fails the test if the command fails.
func run(t *testing.T, dir, name string, args ...string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), name, args...)
	command.Dir = dir
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, out)
	}
}

// deployment consists of three controllers and the emulated external systems.
type deployment struct {
	t     *testing.T
	world *emulator.World
	store *emulator.Store
	cloud *emulator.Cloud

	stateAddr, cloudAddr string
	bindAddrs, meshAddrs []string
	settingsFiles        []string
	workers              sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	processes []*exec.Cmd
}

// newDeployment returns a deployment whose controllers are not started.
func newDeployment(ctx context.Context, t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t:         t,
		world:     emulator.NewWorld(cancelGrace),
		store:     emulator.NewStore(initialTxnOps, initialValueBytes),
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
	d.cloud.Started = func(m *emulator.Machine) { d.workers.Go(func() { d.runWorker(ctx, m) }) }
	d.stateAddr = d.serve(emulator.StateHandler(emulator.NewLink(d.store, 1)))
	d.cloudAddr = d.serve(emulator.CloudHandler(d.cloud))
	for range controllers {
		d.bindAddrs, d.meshAddrs = append(d.bindAddrs, freeAddr(ctx, t)), append(d.meshAddrs, freeAddr(ctx, t))
	}
	for i := range controllers {
		d.settingsFiles = append(d.settingsFiles, d.writeSettings(i))
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

// freeAddr returns an unused address on loopback.
func freeAddr(ctx context.Context, t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// writeSettings writes the settings file of a controller, which is the same for both versions.
func (d *deployment) writeSettings(i int) string {
	d.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "member = \"mill-%d\"\nzone = \"here\"\nbind = %q\nmesh_addr = %q\n",
		i, d.bindAddrs[i], d.meshAddrs[i])
	for other := range controllers {
		if other != i {
			fmt.Fprintf(&b, "[[seeds]]\nmember = \"mill-%d\"\nzone = \"here\"\naddress = %q\n", other, d.meshAddrs[other])
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
`, d.cloudAddr, d.stateAddr, controllers, workerLease.Seconds(), cancelGrace.Seconds(),
		initialValueBytes>>10, initialTxnOps, loweredValueBytes>>10, loweredTxnOps)
	file := filepath.Join(d.t.TempDir(), fmt.Sprintf("mill-%d.toml", i))
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

// start starts controller i from the given program.
func (d *deployment) start(i int, program string) {
	d.t.Helper()
	command := exec.Command(program, "--config", d.settingsFiles[i]) //nolint:noctx // it is killed with the test
	command.Env = append(os.Environ(), "LOG_LEVEL=error")
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[i] = command
}

// kill kills a controller with a signal that it can't handle.
func (d *deployment) kill(i int) {
	d.mu.Lock()
	command := d.processes[i]
	d.processes[i] = nil
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill() // it may have exited already
		_ = command.Wait()         // reports the kill as an error
	}
}

// runWorker sends the heartbeats of a machine to one controller, and switches to the next one if that does not
// respond, until ctx ends or the machine is deleted.
func (d *deployment) runWorker(ctx context.Context, m *emulator.Machine) {
	client := &http.Client{Timeout: 4 * time.Second}
	for at := 0; ctx.Err() == nil && !m.Gone(); {
		time.Sleep(time.Second)
		heartbeat, begun := m.Heartbeat()
		if heartbeat == nil {
			continue
		}
		var response wire.HeartbeatResponse
		if status := call(ctx, client, http.MethodPost, d.bindAddrs[at]+"/v1/report", heartbeat, &response); status != 200 {
			at = (at + 1) % controllers
			continue
		}
		m.HandleResponse(begun, heartbeat.Epoch, &response)
	}
}

// call sends a request and decodes the response. It returns status 0 if there is no valid response.
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
	if err != nil || response.StatusCode < 300 && exactjson.Unmarshal(text, answer) != nil {
		return 0
	}
	return response.StatusCode
}

// requestUntilAnswered sends a request to the controllers in turn until one responds with status 200 or 201, and
// passes the reported job status to the world, which checks it.
func (d *deployment) requestUntilAnswered(ctx context.Context, method, path string, body any) wire.JobStatus {
	d.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second}
	for at, end := 0, time.Now().Add(waitTimeout); time.Now().Before(end); at = (at + 1) % controllers {
		var status wire.JobStatus
		code := call(ctx, client, method, d.bindAddrs[at]+path, body, &status)
		switch {
		case code == 200 || code == 201:
			d.world.ObserveAnswer(status.ID, status.Status)
			return status
		case code >= 400 && code < 500 && code != 429:
			d.t.Fatalf("%s %s: got status %d, want success or a status that allows a retry", method, path, code)
		}
		time.Sleep(pollInterval)
	}
	d.t.Fatalf("%s %s: got no response within %v", method, path, waitTimeout)
	return wire.JobStatus{}
}

// submit submits an array job that depends on other jobs.
func (d *deployment) submit(ctx context.Context, number, tasks int, dependencies ...int) {
	d.t.Helper()
	spec := &wire.JobSpec{
		ID: jobID(number), Class: "c", Team: "try", Shape: wire.Array, Priority: wire.Normal, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "image", ImageGB: 1, Estimate: 2, Spot: true,
	}
	for _, dependency := range dependencies {
		spec.Dependencies = append(spec.Dependencies, jobID(dependency))
	}
	d.world.Upload(spec)
	d.requestUntilAnswered(ctx, http.MethodPost, "/api/jobs", spec)
}

// jobID returns the ID of a job by its number.
func jobID(number int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", number)) }

// await polls jobs until all have the wanted status.
func (d *deployment) await(ctx context.Context, want wire.Status, numbers ...int) {
	d.t.Helper()
	for _, number := range numbers {
		path := "/api/jobs/" + string(jobID(number))
		for end := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
			got := d.requestUntilAnswered(ctx, http.MethodGet, path, nil).Status
			if got == want {
				break
			}
			if time.Now().After(end) {
				d.t.Fatalf("%s: got %s after %v, want %s", jobID(number), got, waitTimeout, want)
			}
		}
	}
}

// format returns the format version of the stored records.
func (d *deployment) format() int {
	records := ledger.New(ledger.Limits{ValueBytes: initialValueBytes, TxnOps: initialTxnOps})
	for _, item := range d.store.Items() {
		if item.Key == ledger.FormatKey {
			records.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
		}
	}
	format, _ := records.Format()
	return format.Format
}

// upgradeCase is a variant of the rolling upgrade.
type upgradeCase struct {
	name              string
	order             []int // in which the controllers are upgraded
	restartOldVersion bool  // the last controller crashes before its turn and restarts with the old version
	lowerLimitsFirst  bool  // lower the limits right after the last upgrade, otherwise once pipelines run
}

// TestRollingUpgrade guards against a version that can't run together with the one in production. It upgrades a
// deployment one controller at a time while jobs run, so that each version works on the records of the other. The
// record format may be raised only once all controllers run the new version. Pipelines are then submitted, and the
// limits of the state service are lowered. No rule may be violated, and all jobs must complete.
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
			d.startProduction(ctx, production)
			d.upgradeControllers(ctx, tc, production, current)
			d.runPipelines(ctx, tc.lowerLimitsFirst)
			cancel()
			d.checkRules()
		})
	}
}

// startProduction starts all controllers with the version in production and submits the first jobs.
func (d *deployment) startProduction(ctx context.Context, production string) {
	d.t.Helper()
	for i := range controllers {
		d.start(i, production)
	}
	for i := range 4 {
		d.cloud.Add("small", []wire.Zone{"here", "there"}[i%2], false)
	}
	// With 300 tasks the record has more claims than the lowered limit allows, and both versions work on it.
	d.submit(ctx, 0, 300)
	d.submit(ctx, 1, 3)
	d.await(ctx, wire.Done, 1)
}

// upgradeControllers replaces the controllers by the current version, one at a time.
func (d *deployment) upgradeControllers(ctx context.Context, tc upgradeCase, production, current string) {
	d.t.Helper()
	for turn, i := range tc.order {
		d.kill(i)
		if tc.restartOldVersion && turn == 1 {
			last := tc.order[2]
			d.kill(last)
			d.start(last, production)
		}
		time.Sleep(3 * pollInterval)
		if got := d.format(); got >= ledger.PipelineFormat {
			d.t.Errorf("got format %d before the last controller is upgraded, want an older one", got)
		}
		d.start(i, current)
		d.submit(ctx, 10+i, 4)
		d.await(ctx, wire.Done, 10+i)
	}
}

// runPipelines submits pipelines and cancels a part of them while the limits are lowered.
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
	d.requestUntilAnswered(ctx, http.MethodPost, "/api/jobs/"+string(jobID(24))+"/cancel", nil)
	d.await(ctx, wire.Cancelled, 24, 25)
	d.await(ctx, wire.Done, 0, 20, 21, 22, 23)
}

// checkRules waits for all workers and reports the rule violations.
func (d *deployment) checkRules() {
	d.t.Helper()
	d.workers.Wait()
	d.world.Check()
	for _, rule := range d.world.Violations {
		d.t.Errorf("rule violation: %s", rule)
	}
	for _, problem := range d.store.Problems {
		d.t.Errorf("request exceeded a limit of the state service: %s", problem)
	}
}
