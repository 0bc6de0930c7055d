package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"maddermill/internal/testing/unknownfield"
)

// platform is a valid platform file.
const platform = `
member = "m-0"
zone = "a"
bind = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
later = { added = true }
[[seeds]]
member = "m-1"
zone = "b"
address = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
count = 2
zones = ["a", "b"]
skew_ms = 100.0
[[settings.teams]]
name = "t"
gpus = 8.0
gpus_max = 12.0
[settings.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 60.0
[settings.state]
rps = 250.0
write_rps = 50.0
value_kb = 32.0
txn_ops = 40
[settings.cloud]
rps = 2.0
list_lag_s = 8.0
[settings.quota]
cpu_share = 0.3
ram_mb = 234.0
sockets = 2500
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(platform))
	if err != nil || s.Cluster.Teams[0].GPUsMax != 12 || s.Peers[0].Member != "m-1" || s.Operators.ColdStarts < 1000 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, tc := range []struct{ old, new, field string }{
		{`member = "m-0"`, ``, "member"},
		{`bind = "10.0.0.1:8080"`, `bind = "here"`, "bind"},
		{`address = "10.0.0.2:8081"`, ``, "seeds[0].address"},
		{`member = "m-1"`, `member = "m-0"`, "seeds[0].member"},
		{`state = "10.2.0.1:2379"`, `state = "x"`, "outside.state"},
		{`count = 2`, `count = 0`, "settings.count"},
		{`count = 2`, `count = "two"`, "count"},
		{`gpus = 8.0`, `gpus = 13.0`, "settings.teams[0]"},
		{`lease_s = 30.0`, `lease_s = 0.0`, "settings.workers.lease_s"},
		{`rps = 250.0`, `rps = nan`, "settings.state.rps"},
		{`value_kb = 32.0`, `value_kb = 1.0`, "settings.state.value_kb"},
		{`txn_ops = 40`, `txn_ops = 1`, "settings.state.txn_ops"},
		{`[settings.cloud]`, "[settings.state.next]\nvalue_kb = 1.0\n[settings.cloud]", "settings.state.next.value_kb"},
		{`[settings.cloud]`, "[settings.state.next]\ntxn_ops = 1\n[settings.cloud]", "settings.state.next.txn_ops"},
		{`[settings.cloud]`, "[settings.state.next]\nwrite_rps = -1.0\n[settings.cloud]", "settings.state.next.write_rps"},
		{`[settings.cloud]`, "[settings.state.next]\nrps = inf\n[settings.cloud]", "settings.state.next.rps"},
		{`[settings.cloud]`, "[settings.state.next]\nrps = \"x\"\n[settings.cloud]", "rps"},
	} {
		_, err := Parse([]byte(strings.Replace(platform, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.field) {
			t.Errorf("%q: %v, want it to name %s", tc.new, err, tc.field)
		}
	}
}

// TestParseIgnoresNamesInOtherCase guards against a field that the platform may add replacing one that differs from it
// in case alone.
func TestParseIgnoresNamesInOtherCase(t *testing.T) {
	file := platform + "[settings.state.next]\nvalue_kb = 4.0\ntxn_ops = 9\n"
	want, err := Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	key := regexp.MustCompile(`(?m)^([a-z_]+) =`)
	for kind, rename := range unknownfield.Renames {
		text := key.ReplaceAllStringFunc(file, func(field string) string {
			known := strings.TrimSuffix(field, " =")
			if rename(known) == known {
				return field
			}
			return `"` + rename(known) + "\" = [{}]\n" + field
		})
		text += "[Outside]\ncloud = 7\n[settings.Quota]\nsockets = 7\n[SETTINGS.cloud]\nrps = 7.0\n[[Seeds]]\nzone = 7\n"
		if got, err := Parse([]byte(text)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, error %v; want %+v", kind, got, err, want)
		}
	}
	_, err = Parse([]byte(strings.Replace(file, "count = 2", "Count = 2\ncount = true", 1)))
	if err == nil || !strings.Contains(err.Error(), "field count: ") {
		t.Errorf("a field of the wrong type beside one in other case: %v, want an error that names count", err)
	}
}

// TestNextLimits checks that the effective limits are the smaller of the current and the next ones.
func TestNextLimits(t *testing.T) {
	parseLimits := func(next string) StateLimits {
		s, err := Parse([]byte(strings.Replace(platform, "[settings.cloud]", next+"[settings.cloud]", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := s.CurrentStateLimits(), (StateLimits{250, 50, 32 << 10, 40}); got != want {
			t.Errorf("current limits: got %+v, want %+v", got, want)
		}
		return s.StateLimits()
	}
	for _, tc := range []struct {
		next string
		want StateLimits
	}{
		{"", StateLimits{250, 50, 32 << 10, 40}},
		{"[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 18.0\n", StateLimits{250, 18, 2 << 10, 4}},
		{"[settings.state.next]\nvalue_kb = 64.0\nrps = 100.0\nlater = 1\n", StateLimits{100, 50, 32 << 10, 40}},
	} {
		if got := parseLimits(tc.next); got != tc.want {
			t.Errorf("%q: got %+v, want %+v", tc.next, got, tc.want)
		}
	}
}

func TestOperators(t *testing.T) {
	dir := t.TempDir()
	config, ops := filepath.Join(dir, "p.toml"), filepath.Join(dir, "o.textproto")
	if err := os.WriteFile(config, []byte(platform), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, field := range map[string]string{
		`placement { cold_starts: 4 preempt: false } fleet { lost_after_s: 20 }`: "",
		`placement { cold_start: 4 }`:                                            "cold_start",
		`placement { Cold_starts: 4 }`:                                           "Cold_starts",
		`fleet { lost_after_s: 3 }`:                                              "fleet.lost_after_s",
		`users { retry_after_s: 99 }`:                                            "users.retry_after_s",
	} {
		if err := os.WriteFile(ops, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(config, ops)
		if field == "" {
			if err != nil || s.Operators.ColdStarts != 4 || s.Operators.Preempt || s.Operators.LostAfter != 20*time.Second {
				t.Errorf("%s: %v", text, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), field) || !strings.Contains(err.Error(), "o.textproto") {
			t.Errorf("%s: %v, want it to name the file and %s", text, err, field)
		}
	}
}

// TestHeartbeatGrace covers a controller that has lost sync, has not seen a cancellation and answers a
// worker's heartbeat at the very end of the grace period. The lease that this renews must still expire
// within cancel_s, even with clock drift.
func TestHeartbeatGrace(t *testing.T) {
	for _, tc := range []struct{ lease, cancel string }{
		{"30.0", "60.0"}, {"36.0", "61.0"}, {"50.0", "52.0"}, {"60.0", "30.0"},
	} {
		text := strings.Replace(platform, "lease_s = 30.0", "lease_s = "+tc.lease, 1)
		s, err := Parse([]byte(strings.Replace(text, "cancel_s = 60.0", "cancel_s = "+tc.cancel, 1)))
		if err != nil {
			t.Fatal(err)
		}
		w := s.Cluster.Workers
		grace := s.HeartbeatGrace()
		if grace < 0 || grace > 0 && grace.Seconds()+float64(w.Lease)*1.0005+4 > float64(w.Cancel)*0.9995 {
			t.Errorf("lease %s, cancel %s: grace %v", tc.lease, tc.cancel, grace)
		}
	}
}
