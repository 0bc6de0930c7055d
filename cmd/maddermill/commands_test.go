package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"maddermill/internal/testing/emulator"
)

// settingsFormat is a settings file with placeholders for the addresses of the controller and of the state
// service.
const settingsFormat = `
member = "m-0"
zone = "a"
bind = "CONTROLLER"
mesh_addr = "127.0.0.1:1"
[outside]
cloud = "127.0.0.1:1"
state = "STATE"
[settings]
count = 1
zones = ["a"]
skew_ms = 100.0
[settings.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 60.0
[settings.state]
rps = 100000.0
write_rps = 100000.0
value_kb = 32.0
txn_ops = 40
[settings.cloud]
rps = 2.0
list_lag_s = 8.0
`

// goldenExport is a golden file of package backup.
const goldenExport = "../../internal/state/backup/testdata/golden/earlier.export"

// settingsFor starts servers for a controller's handler and an empty state service, and returns the path of
// a settings file with their addresses.
func settingsFor(t *testing.T, controller http.Handler) string {
	t.Helper()
	address := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	text := strings.NewReplacer(
		"CONTROLLER", address(controller),
		"STATE", address(emulator.StateHandler(emulator.NewLink(emulator.NewStore(40, 32<<10), 1))),
	).Replace(settingsFormat)
	file := filepath.Join(t.TempDir(), "platform.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// run runs a command and returns its output and its error on one line.
func run(t *testing.T, args ...string) (output, failure string) {
	t.Helper()
	var out bytes.Buffer
	root := rootCommand()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	if err := root.ExecuteContext(t.Context()); err != nil {
		failure = oneLine(err)
	}
	return out.String(), failure
}

// expect runs a command and compares its output and error.
func expect(t *testing.T, wantOutput, wantFailure string, args ...string) {
	t.Helper()
	output, failure := run(t, args...)
	if output != wantOutput || failure != wantFailure {
		t.Errorf("%v: got output\n%serror %q\nwant output\n%serror %q", args, output, failure, wantOutput, wantFailure)
	}
}

// TestStateCommands imports an export, prints statistics, verifies the records, exports them again and checks
// the new export.
func TestStateCommands(t *testing.T) {
	config := settingsFor(t, http.NotFoundHandler())
	copied := filepath.Join(t.TempDir(), "copy.export")
	share := "--share=1"
	expect(t, "  keys  bytes                   kind\n     0      0  all, about revision 0\n", "",
		"state", "stats", "--config", config, share)
	expect(t, goldenExport+": the records of revision 138, of 2023-11-14T22:13:20Z, are in place\n", "",
		"state", "import", goldenExport, "--config", config, share)
	expect(t, "", goldenExport+": backup: the state service is not empty: it has mm1/format",
		"state", "import", goldenExport, "--config", config, share)
	expect(t, "59 records and 10 that are archived at revision 4, 0 problems\n", "",
		"state", "verify", "--config", config, share)
	expect(t, copied+": revision 4, 69 records and 0 changes while they were read\n", "",
		"state", "export", copied, "--config", config, share)
	expect(t, copied+": whole, revision 4, 69 records and 0 changes\n", "", "state", "check", copied)
	if leftover, err := filepath.Glob(copied + ".part-*"); err != nil || len(leftover) > 0 {
		t.Errorf("got %v, %v beside the export, want nothing", leftover, err)
	}
	expect(t, "", "--share: 2 must be greater than 0 and at most 1", "state", "stats", "--config", config, "--share=2")
	expect(t, "", "--config is missing", "state", "stats")
}

// TestPluginCommands checks key generation and signing, and that commands that switch the policy print the one
// in use.
func TestPluginCommands(t *testing.T) {
	config := settingsFor(t, http.NotFoundHandler())
	key := filepath.Join(t.TempDir(), "key")
	if output, failure := run(t, "plugin", "key", key); !strings.HasPrefix(output, "plugins { public_keys: ") {
		t.Errorf("plugin key: got %q, %q", output, failure)
	}
	if output, failure := run(t, "plugin", "sign", key, key); !strings.HasPrefix(output, "plugins { initial_signature: ") {
		t.Errorf("plugin sign: got %q, %q", output, failure)
	}
	expect(t, "", "open "+key+": file exists", "plugin", "key", key)
	expect(t, "MODULE  NAME  BYTES  LOADED  SIGNED  \nthe built-in policy is used\n", "",
		"plugin", "list", "--config", config)
	expect(t, "the built-in policy is used\n", "", "plugin", "use", "builtin", "--config", config)
	expect(t, "", "nothing to go back to", "plugin", "rollback", "--config", config)
	expect(t, "", "--name: builtin is reserved for the built-in policy", "plugin", "load", key, "--name", "builtin")
	expect(t, "", "--queue is missing", "plugin", "test", key)
}

// TestControllerCommands checks how commands print a controller's responses, and that they fail on error
// responses.
func TestControllerCommands(t *testing.T) {
	responses := map[string]string{
		"/api/topology": `{"block":{"path":"a","level":"zone","machines":2,"empty":1}}
{"block":{"path":"a/r1","level":"rack","down":true,"machines":1}}
{"machine":{"machine":"m1","block":"a/r1","usable":true,"cpus":1.5,"gpus":2,"ram_gb":3,"jobs":["wk-1"]}}
{"machine":{"machine":"m2"}}
{"gang":{"job":"wk-1","tasks":3,"machines":["m1"],"cost":2.5}}
`,
		"/api/judgements": `[{"machine":"m1","faulty":true,"sure":0.9,"rate":0.5,"times":1,"done":3}]`,
		"/api/workflows/wf-000001": `{"id":"wf-000001","status":"done",` +
			`"steps":[{"step":"s","state":"done","over":3,"total":3}],"outputs":{"a":1}}`,
		"/api/workflows/wf-000002": `{"id":"wf-000002","status":"failed","why":"step s"}`,
		"/api/jobs/wk-1":           `{"id":"wk-1"}`,
	}
	config := settingsFor(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, ok := responses[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			text = `{"error":"unknown"}`
		}
		_, _ = io.WriteString(w, text)
	}))
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), `bind = "`)
	server, _, _ := strings.Cut(rest, `"`)

	expect(t, `zone a: 2 machines, 1 empty
  rack r1: 1 machines, 0 empty, DOWN
    m1  free: 1.5 CPUs, 2 GPUs, 3 GB  wk-1
in no known block: 1 machines
  m2  free: 0 CPUs, 0 GPUs, 0 GB, takes no tasks
gang wk-1: 3 tasks in several zones, on 1 machines, cost 2.5
`, "", "topology", "show", "--config", config)
	expect(t, responses["/api/topology"], "", "topology", "show", "--server", server, "--json")
	expect(t, "machine  judged  probability  rate  times as long  done  failed\n"+
		"m1       faulty  0.9          0.5   1.0            3     0\n", "", "quarantine", "list", "--config", config)
	expect(t, "", "m2: this controller knows of no failed task there, and the machine is not slow",
		"quarantine", "explain", "m2", "--config", config)
	expect(t, "wf-000001 done  s done 3/3\n{\"a\":1}\n", "", "cwl", "watch", "wf-000001", "--server", server)
	expect(t, "wf-000002 failed\n", "workflow wf-000002 failed: step s", "cwl", "watch", "wf-000002", "--server", server)
	expect(t, "", "status 404: unknown", "cwl", "status", "wf-000003", "--server", server)
	expect(t, "{\"id\":\"wk-1\"}\n", "", "job", "get", "wk-1", "--server", server)
	expect(t, "{\"error\":\"unknown\"}\n", "status 404", "job", "get", "wk-2", "--server", server)
}
