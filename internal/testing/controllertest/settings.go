package controllertest

import (
	"fmt"
	"strings"
	"testing"

	"maddermill/internal/settings"
)

// Settings returns the settings of one of the three controllers of a small deployment.
func Settings(tb testing.TB, member int) *settings.Settings {
	tb.Helper()
	return SettingsOf(tb, member, 3)
}

// SettingsOf returns the settings of one of count controllers, which are named m-0, m-1, ...
func SettingsOf(tb testing.TB, member, count int) *settings.Settings {
	tb.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "member = \"m-%d\"\nzone = \"a\"\nbind = \"127.0.0.1:1\"\nmesh_addr = \"127.0.0.1:2\"\n", member)
	for i := range count {
		if i != member {
			fmt.Fprintf(&b, "[[seeds]]\nmember = \"m-%d\"\nzone = \"a\"\naddress = \"127.0.0.1:3\"\n", i)
		}
	}
	fmt.Fprintf(&b, `
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[settings]
count = %d
zones = ["a", "b"]
[[settings.teams]]
name = "free"
[[settings.teams]]
name = "capped"
gpus = 2.0
gpus_max = 4.0
[settings.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 60.0
[settings.state]
rps = 200.0
write_rps = 40.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 2.0
list_lag_s = 4.0
`, count)
	s, err := settings.Parse([]byte(b.String()))
	if err != nil {
		tb.Fatal(err)
	}
	return s
}
