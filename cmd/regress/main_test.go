package main

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// TestNothingPlayedIsNoPass: a bench or site that is not there, a day or site that nobody has, and
// numbers that make no sense end the run with what and why, as one that did not compare anything.
func TestNothingPlayedIsNoPass(t *testing.T) {
	t.Chdir(t.TempDir())
	played := func(err error) {
		t.Helper()
		if !errors.As(err, new(badUse)) || strings.Contains(err.Error(), "\n") {
			t.Errorf("ended with %v", err)
		}
	}
	played(run(false, false, 0, "", ""))
	played(runOwn("", "", 1, 1, ""))
	played(runOwn("", "", -1, 1, ""))
	played(runOwn("", "", 1, 0, ""))
	played(run(true, false, -1, "", ""))
	if err := os.MkdirAll("sub/a", 0o755); err != nil {
		t.Fatal(err)
	}
	t.Chdir("sub/a")
	if err := os.MkdirAll("../given/kit/more/hunt/bin", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile("../given/kit/more/hunt/bin/fleetbench", nil, 0o644); err != nil {
		t.Fatal(err)
	}
	played(run(false, false, 0, "", "nobody's"))
	played(run(false, false, 0, "", "ops")) // no site file is there
	if _, missing, err := find(compared, ""); len(missing) != len(compared) || err == nil {
		t.Errorf("missing %v, %v", missing, err)
	}
}
