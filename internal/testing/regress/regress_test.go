package regress

import (
	"math"
	"strings"
	"testing"
)

const journal = `{"site":"mill","ok":true,"days":[
 {"name":"calm","score":0.70,"rules":{},"fault":null,
  "aims":[["wait a 50 s: 0.7 (aim 0.8)",0.5],["price: 2 (aim 2)",0.9]]},
 {"name":"storm --seed 4","score":0.0,"rules":{"ran_twice":2},"fault":null,"aims":[]},
 {"name":"gale","score":0.6,"rules":{},"fault":null,"aims":[],"idle":{"neglected":1},
  "served":[["wool",0.4,0.49],["team t",1,0.5]]},
 {"name":"flood","score":0.0,"rules":{},"fault":"too slow","aims":[]}]}`

// parseJournal returns the days of journal.
func parseJournal(t *testing.T) []Played {
	t.Helper()
	days, err := Parse([]byte(journal))
	if err != nil || len(days) != 4 {
		t.Fatalf("got %d days and error %v, want 4 days: %v", len(days), err, days)
	}
	return days
}

// TestParseNamesFailures checks that Parse reports every way in which a day failed, and rejects a run that did
// not finish.
func TestParseNamesFailures(t *testing.T) {
	days := parseJournal(t)
	if b := strings.Join(days[2].Broken, "; "); b != "wool: only 0.49 served; 1 jobs left waiting despite free capacity" {
		t.Errorf("failures of gale: got %q", b)
	}
	if b := days[3].Broken; len(b) != 1 || !strings.Contains(b[0], "too slow") {
		t.Errorf("failures of flood: got %q, want one with \"too slow\"", b)
	}
	if b := days[1].Broken; days[1].Name != "storm" || len(b) != 1 || !strings.Contains(b[0], "ran_twice") {
		t.Errorf("got %+v, want storm with one failure for ran_twice", days[1])
	}
	if _, err := Parse([]byte(`{"site":null,"ok":false}`)); err == nil {
		t.Error("a run that did not finish was accepted")
	}
}

// TestFallsAreNamed checks that a lower score is reported with its site, day and target, and that
// neither a change within Noise nor a day without a record is reported.
func TestFallsAreNamed(t *testing.T) {
	days := parseJournal(t)
	now := Record{}
	now.Add(days[0])
	for _, tc := range []struct {
		was     float64
		message string
	}{{0.72, ""}, {0.74, "wait a 50 s 0.60 -> 0.50"}} {
		record := Record{
			"mill": {"calm": {Runs: 1, Figure: tc.was, Aims: map[string]float64{"wait a 50 s": 0.6, "price": 0.9}}},
		}
		got := record.Compare(now)
		if len(got) == 0 != (tc.message == "") {
			t.Fatalf("recorded score %v: got %v", tc.was, got)
		}
		if len(got) > 0 &&
			(!strings.Contains(got[0].String(), tc.message) || !strings.Contains(got[0].String(), "mill, calm")) {
			t.Errorf("got message %q", got[0])
		}
	}
	if got := (Record{}).Compare(now); len(got) > 0 {
		t.Errorf("got %v for a day without a record, want none", got)
	}
	days[0].Figure = 0.60
	if now.Add(days[0]); math.Abs(now["mill"]["calm"].Figure-0.65) > 1e-9 {
		t.Errorf("mean of two runs: got %v, want score 0.65", now["mill"]["calm"])
	}
}
