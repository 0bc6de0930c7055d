package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPlatformMessages checks that all invalid values in the platform's file are reported at once, one line
// per error.
func TestPlatformMessages(t *testing.T) {
	const invalid = `
bind = "here"
mesh_addr = "10.0.0.1:8081"
[[seeds]]
member = "m-1"
address = "10.0.0.2:8081"
[[seeds]]
member = "m-1"
address = "there"
[outside]
cloud = "cloud"
state = "10.2.0.1:2379"
[settings]
count = 0
skew_ms = -1.0
[[settings.teams]]
name = "t"
cpus = 4.0
cpus_max = 3.0
gpus = -1.0
[[settings.teams]]
name = "t"
[settings.workers]
report_s = 0.0
lease_s = inf
gang_wait_s = nan
cancel_s = 60.0
[settings.state]
rps = 250.0
value_kb = 1.5
txn_ops = 1
[settings.quota]
sockets = -1
`
	want := strings.Join([]string{
		"member: is missing",
		`bind: "here" is not an address and port`,
		`outside.cloud: "cloud" is not an address and port`,
		`seeds[1].address: "there" is not an address and port`,
		"seeds[1].member: is missing or a duplicate",
		"settings.count: must be at least 1",
		"settings.zones: is missing",
		"settings.teams[0]: has an amount below 0",
		"settings.teams[0]: guarantees more than its limit",
		"settings.teams[1].name: is missing or a duplicate",
		"settings.skew_ms: must not be below 0",
		"settings.workers.report_s: must be above 0",
		"settings.workers.lease_s: must be above 0",
		"settings.workers.gang_wait_s: must be above 0",
		"settings.workers.gang_peer_s: must be above 0",
		"settings.state.write_rps: must be above 0",
		"settings.cloud.rps: must be above 0",
		"settings.state.value_kb: must be at least 2: a job's record needs that much",
		"settings.state.txn_ops: must be at least 2: a start changes a job and its team",
		"settings.quota: must not be below 0",
	}, "\n")
	if _, err := Parse([]byte(invalid)); err == nil || err.Error() != want {
		t.Errorf("got %v\nwant %s", err, want)
	}
	const wantType = "line 15: field count: toml: cannot decode TOML string into struct field " +
		"struct { Count int \"toml:\\\"count\\\"\"; "
	text := strings.Replace(platform, "count = 2", `count = "two"`, 1)
	if _, err := Parse([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), wantType) {
		t.Errorf("got %v\nwant %s…", err, wantType)
	}
}

// TestOperatorsMessages checks that all invalid values in the operators' file are reported at once, one line
// per error.
func TestOperatorsMessages(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"placement and fleet",
			`placement { fetch_mark_s: 0 withhold_after_s: -1 wait_bound_s: -1 }
			fleet { lost_after_s: 8.9 idle_boots: nan headroom: 10.1 }`,
			[]string{
				"placement.fetch_mark_s: must be above 0",
				"placement.withhold_after_s: must not be below 0",
				"placement.wait_bound_s: must not be below 0",
				"fleet.lost_after_s: must be at least three heartbeat intervals (9s)",
				"fleet.idle_boots: must not be below 0",
				"fleet.headroom: must be from 0 to 10",
			}},
		{"plug-ins",
			`plugins { public_keys: ["AQ==", "?"] memory_mb: 7 call_ms: 0 starve_s: 59 initial_module: "m.wasm" }`,
			[]string{
				"plugins.initial_module: plug-ins are off",
				"plugins.initial_signature: is missing: plugins.public_keys require signed modules",
				"plugins.public_keys[0]: is not an Ed25519 key in base64",
				"plugins.public_keys[1]: is not an Ed25519 key in base64",
				"plugins.memory_mb: must be from 8 to 1024",
				"plugins.call_ms: must be from 1 to 10000",
				"plugins.starve_s: must be at least 60",
			}},
		{"signature", `plugins { on: true initial_signature: "AQ==" memory_mb: 1025 call_ms: 10001 }`,
			[]string{
				"plugins.initial_signature: is not an Ed25519 signature in base64 of an initial module",
				"plugins.memory_mb: must be from 8 to 1024",
				"plugins.call_ms: must be from 1 to 10000",
			}},
		{"quarantine, history and users",
			`quarantine { faulty_share: 0 most_share: 1.1 } history { kept_jobs: 100001 settle_s: -1 }
			users { retry_after_s: 0.9 }`,
			[]string{
				"quarantine.faulty_share: must be above 0 and at most 0.5",
				"quarantine.most_share: must be from 0 to 1",
				"history.kept_jobs: must be from 0 to 100000",
				"history.settle_s: must not be below 0",
				"users.retry_after_s: must be from 1 to 30",
			}},
		{"share of wrong judgements", `quarantine { wrong_share: 0.51 most_share: -0.1 }`,
			[]string{
				"quarantine.wrong_share: must be above 0 and at most 0.5",
				"quarantine.most_share: must be from 0 to 1",
			}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			config, operators := filepath.Join(dir, "p.toml"), filepath.Join(dir, "o.textproto")
			for name, text := range map[string]string{config: platform, operators: tc.text} {
				if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want := operators + ": " + strings.Join(tc.want, "\n")
			if _, err := Load(config, operators); err == nil || err.Error() != want {
				t.Errorf("got %v\nwant %s", err, want)
			}
		})
	}
}
