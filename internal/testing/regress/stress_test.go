package regress

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// stressTestSite returns a site with a class of gangs and one of arrays.
func stressTestSite() Table {
	return Table{"name": "mill", "nodes": Table{"count": int64(3), "zones": []any{"a", "b"}, "restart_delay_s": 4.0},
		"capacity": []any{Table{"count": int64(100), "spot": int64(40)}}, "day": []any{Table{"name": "calm"}},
		"teams": []any{Table{"name": "t", "gpus": 10.0}},
		"jobs": []any{
			Table{
				"name":     "weave",
				"kind":     "gang",
				"initial":  int64(80),
				"arrivals": Table{"rate": 1.0},
				"tasks":    Table{"sizes": []any{int64(1), int64(8)}, "weights": []any{3.0, 1.0}},
			},
			Table{
				"name":     "spin",
				"kind":     "array",
				"initial":  int64(20),
				"arrivals": Table{"rate": 2.0},
				"tasks":    Table{"median": 30.0, "p95": 80.0, "max": 120.0},
			},
		},
		"targets": []any{Table{"kind": "wait", "class": "weave", "within_s": 50.0}, Table{"kind": "price"}}}
}

// TestStressSite checks that a stress site has 1.5 times the machines and jobs of its site, the largest jobs of
// each class in a class of their own with the same targets, and none of the site's days.
func TestStressSite(t *testing.T) {
	own, err := StressSite(stressTestSite())
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]Table{}
	for _, j := range tables(own["jobs"]) {
		got[j["name"].(string)] = j
	}
	if c := tables(own["capacity"])[0]; c["count"] != int64(150) || c["spot"] != int64(60) || own["day"] != nil {
		t.Errorf("machines %v, days %v", c, own["day"])
	}
	rate := func(name string) float64 { return got[name]["arrivals"].(Table)["rate"].(float64) }
	if got["weave"]["initial"] != int64(90) || got["weave-largest"]["initial"] != int64(30) || rate("weave") != 1.125 ||
		rate("weave-largest") != 0.375 {
		t.Errorf("jobs %v", got)
	}
	if d := rate("spin") + rate("spin-largest"); d != 3 {
		t.Errorf("arrival rate of all spin jobs: got %v, want 3", d)
	}
	isLargestTarget := func(x Table) bool { return x["class"] == "weave-largest" && x["within_s"] == 50.0 }
	if !slices.ContainsFunc(tables(own["targets"]), isLargestTarget) {
		t.Errorf("targets %v", own["targets"])
	}
	if _, err := StressSite(Table{}); err == nil {
		t.Error("a site without a name was accepted")
	}
}

// TestStressDays checks that each stress day has several faults.
func TestStressDays(t *testing.T) {
	own, err := StressSite(stressTestSite())
	if err != nil {
		t.Fatal(err)
	}
	days, err := StressDays(own)
	if err != nil || len(days) < 6 {
		t.Fatalf("%d days, %v", len(days), err)
	}
	for _, d := range days {
		if faults := tables(d.Day["faults"]); len(faults) < 4 {
			t.Errorf("%s: got %d faults, want at least 4", d.Name, len(faults))
		}
	}
}

// TestReportFaults checks that a report lists every way in which a stress day failed, and the classes of which
// only the slowest jobs waited too long.
func TestReportFaults(t *testing.T) {
	r, err := ParseReport(
		[]byte(`{"rules_broken":{"total":1},"idle":{"neglected":3},"targets":[{"kind":"node_restarts","value":2}],
		"classes":{"weave":{"jobs":9,"started":4},
			"weave-largest":{"jobs":2,"started":2,"wait_s":{"p50":100,"p95":230,"p98":250,"max":251}},
			"wind-largest":{"jobs":2,"started":2,"wait_s":{"p50":241,"max":250}},
			"spin-largest":{"jobs":2,"started":2,"wait_s":{"max":239}}},
		"teams":{"t":{"jobs":4,"started":1}}}`),
	)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(r.Faults(), "; ")
	want := "1 rule violations; 2 controllers exited by themselves; 3 jobs left waiting despite free capacity; " +
		"class weave: 4 of 9 jobs started; class wind-largest: half of the started jobs waited 241 s or more; " +
		"team t: 1 of 4 jobs started"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if tails := r.Tails(); len(tails) != 2 ||
		tails[0] != "weave-largest: over 95 % started within 240 s, the last after 251 s" {
		t.Errorf("tails %q", tails)
	}
}

// TestParseReportRefuses checks that a report that is malformed or has no classes is rejected.
func TestParseReportRefuses(t *testing.T) {
	for _, text := range []string{"", "{", `{"classes":{}}`} {
		if _, err := ParseReport([]byte(text)); err == nil {
			t.Errorf("report %q was accepted", text)
		}
	}
}

// overlappingFaultSite returns a site with the fields that OverlappingFaultDays needs.
func overlappingFaultSite() Table {
	return Table{
		"name":     "mill",
		"nodes":    Table{"count": int64(3)},
		"workers":  Table{"lease_s": 30.0, "cancel_s": 60.0},
		"capacity": []any{Table{"zone": "a"}, Table{"zone": "b"}},
		"jobs":     []any{Table{"name": "spin", "kind": "array"}, Table{"name": "serve", "kind": "service"}},
	}
}

// overlappingFaultDays returns the days of a seed and the kinds of all their faults. It checks that each day has
// several faults and leaves services unchanged.
func overlappingFaultDays(t *testing.T, seed uint64) (kinds []string, days []StressDay) {
	t.Helper()
	days, err := OverlappingFaultDays(overlappingFaultSite(), seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range days {
		faults := tables(d.Day["faults"])
		if len(faults) < 4 {
			t.Errorf("%s: got %d faults, want at least 4", d.Name, len(faults))
		}
		for _, f := range faults {
			kinds = append(kinds, fmt.Sprint(f["kind"]))
		}
		for _, j := range tables(d.Day["jobs"]) {
			if j["name"] == "serve" {
				t.Errorf("%s changes the service class", d.Name)
			}
		}
	}
	return kinds, days
}

// TestOverlappingFaultDays checks that a seed determines its days, that another seed gives other days, and that
// a site without the required fields is rejected.
func TestOverlappingFaultDays(t *testing.T) {
	first, one := overlappingFaultDays(t, 1)
	_, again := overlappingFaultDays(t, 1)
	_, other := overlappingFaultDays(t, 2)
	if len(one) != 10 || !reflect.DeepEqual(one, again) || reflect.DeepEqual(one, other) {
		t.Errorf(
			"got %d days, want 10; equal for the same seed: %v, want true; equal for another seed: %v, want false",
			len(one),
			reflect.DeepEqual(one, again),
			reflect.DeepEqual(one, other),
		)
	}
	for _, kind := range []string{"late_writes", "late_reports", "machine_deaf", "node_cut", "state_outage", "node_crash",
		"machine_mute", "cancel_now", "cancel_at_end", "close_looks", "odd_requests", "late_commands"} {
		if !slices.Contains(first, kind) {
			t.Errorf("no day has a %s fault", kind)
		}
	}
	bad := overlappingFaultSite()
	delete(bad, "workers")
	if _, err := OverlappingFaultDays(bad, 1); err == nil {
		t.Error("a site without leases was accepted")
	}
}
