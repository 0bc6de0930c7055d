package main

import (
	"errors"
	"os"
	"os/exec"
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
	played(run(false, false, 0, 0, "", ""))
	played(run(false, false, 0, -1, "", ""))
	played(runOwn("", "", 1, 1, ""))
	played(runOwn("", "", -1, 1, ""))
	played(runOwn("", "", 1, 0, ""))
	played(run(true, false, -1, 0, "", ""))
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
	played(run(false, false, 0, 0, "", "nobody's"))
	played(run(false, false, 0, 0, "", "ops")) // no site file is there
	if _, missing, err := find(compared, ""); len(missing) != len(compared) || err == nil {
		t.Errorf("missing %v, %v", missing, err)
	}
}

// TestKnownRed: the list of tests that are known to fail takes three well-formed lines that name
// tests there are, and nothing else; without it nothing is passed over.
func TestKnownRed(t *testing.T) {
	t.Chdir("../..")
	line := func(name string) string { return name + ": the cause, issue 26\n" }
	for text, want := range map[string]string{
		line("TestKnownRed"): "TestKnownRed",
		line("TestKnownRed") + line("TestNothingPlayedIsNoPass") + line("TestFallsAreNamed"): "TestKnownRed TestNothingPlayedIsNoPass TestFallsAreNamed",
		strings.Repeat(line("TestKnownRed"), 4):                                              "", // a fourth
		line("TestThatIsNot"):                                                                "",
		"TestKnownRed: no issue\n":                                                           "",
		"KnownRed: the cause, issue 26\n":                                                    "",
		line("TestKnownRed") + "\n":                                                          "",
	} {
		file := t.TempDir() + "/red"
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command("scripts/known-red", file).Output()
		if got := strings.Join(
			strings.Fields(string(out)),
			" ",
		); (err == nil) != (want != "") ||
			want != "" && got != want {
			t.Errorf("%q gives %q, %v", text, got, err)
		}
	}
	if out, err := exec.Command("scripts/known-red", t.TempDir()+"/none").Output(); err != nil || len(out) > 0 {
		t.Errorf("without a list: %q, %v", out, err)
	}
}
