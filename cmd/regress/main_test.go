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
	ctx := t.Context()
	played := func(err error) {
		t.Helper()
		if !errors.As(err, new(incompleteError)) || strings.Contains(err.Error(), "\n") {
			t.Errorf("ended with %v", err)
		}
	}
	played(run(ctx, options{}))
	played(run(ctx, options{atOnce: -1}))
	played(runOwn(ctx, options{seeds: 1, atOnce: 1}))
	played(runOwn(ctx, options{seeds: -1, atOnce: 1}))
	played(runOwn(ctx, options{seeds: 1, atOnce: 0}))
	played(run(ctx, options{full: true, hunt: -1}))
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
	played(run(ctx, options{only: "nobody's"}))
	played(run(ctx, options{only: "next"})) // no site file is there
	if _, missing, err := find(compared, ""); len(missing) != len(compared) || err == nil {
		t.Errorf("missing %v, %v", missing, err)
	}
}

// TestKnownRed: the list of tests that are known to fail takes well-formed lines, with the command and seed that
// show the failure, that name tests there are, and nothing else; without it nothing is passed over.
func TestKnownRed(t *testing.T) {
	t.Chdir("../..")
	line := func(name string) string {
		return name + ": seen so, for that cause; run: HISTORY_SEEDS=60 go test -run X, seed 239; issue 26\n"
	}
	names := []string{"TestKnownRed", "TestNothingPlayedIsNoPass", "TestFallsAreNamed"}
	for text, want := range map[string]string{
		"":                   "-",
		line("TestKnownRed"): "TestKnownRed",
		line(names[0]) + line(names[1]) + line(names[2]):         strings.Join(names, " "),
		line("TestThatIsNot"):                                    "",
		"TestKnownRed: no issue\n":                               "",
		"TestKnownRed: the cause, issue 26\n":                    "", // no run
		"TestKnownRed: the cause; run: go test; issue 26\n":      "", // no seed
		"TestKnownRed: the cause; run: seed 3; issue of today\n": "",
		"TestKnownRed: ; run: seed 3; issue 26\n":                "",
		"KnownRed: the cause; run: seed 3; issue 26\n":           "",
		line("TestKnownRed") + "\n":                              "",
	} {
		file := t.TempDir() + "/red"
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		out, err := exec.CommandContext(t.Context(), "scripts/known-red", file).Output()
		got := strings.Join(strings.Fields(string(out)), " ")
		if (err == nil) != (want != "") || want != "" && got != strings.Trim(want, "-") {
			t.Errorf("%q gives %q, %v", text, got, err)
		}
	}
	out, err := exec.CommandContext(t.Context(), "scripts/known-red", t.TempDir()+"/none").Output()
	if err != nil || len(out) > 0 {
		t.Errorf("without a list: %q, %v", out, err)
	}
}
