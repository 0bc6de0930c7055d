package main

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestIncompleteRunFails checks that a missing bench or site file, a filter that matches nothing and invalid
// numbers end the run with an incompleteError of one line, so that a run without a comparison never passes.
func TestIncompleteRunFails(t *testing.T) {
	t.Chdir(t.TempDir())
	ctx := t.Context()
	expectIncomplete := func(err error) {
		t.Helper()
		if !errors.As(err, new(incompleteError)) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want an incompleteError of one line", err)
		}
	}
	expectIncomplete(run(ctx, options{}))
	expectIncomplete(run(ctx, options{parallel: -1}))
	expectIncomplete(runCustom(ctx, options{seeds: 1, parallel: 1}))
	expectIncomplete(runCustom(ctx, options{seeds: -1, parallel: 1}))
	expectIncomplete(runCustom(ctx, options{seeds: 1, parallel: 0}))
	expectIncomplete(run(ctx, options{full: true, huntDays: -1}))
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
	expectIncomplete(run(ctx, options{siteFilter: "nobody's"}))
	expectIncomplete(run(ctx, options{siteFilter: "next"})) // the site files are missing
	if _, missing, err := findSites(comparedSites, ""); len(missing) != len(comparedSites) || err == nil {
		t.Errorf("got missing sites %v and error %v, want all sites and an error", missing, err)
	}
}

// TestKnownRed checks scripts/known-red, which CI uses to tolerate known test failures: it accepts only
// well-formed lines that name an existing test and the command and seed that reproduce the failure, and prints
// nothing if there is no list.
func TestKnownRed(t *testing.T) {
	t.Chdir("../..")
	line := func(name string) string {
		return name + ": seen so, for that cause; run: HISTORY_SEEDS=60 go test -run X, seed 239; issue 26\n"
	}
	names := []string{"TestKnownRed", "TestIncompleteRunFails", "TestFallsAreNamed"}
	for text, want := range map[string]string{
		"":                   "-",
		line("TestKnownRed"): "TestKnownRed",
		line(names[0]) + line(names[1]) + line(names[2]):         strings.Join(names, " "),
		line("TestThatIsNot"):                                    "",
		"TestKnownRed: no issue\n":                               "",
		"TestKnownRed: the cause, issue 26\n":                    "", // no command
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
			t.Errorf("list %q: got output %q and error %v", text, got, err)
		}
	}
	out, err := exec.CommandContext(t.Context(), "scripts/known-red", t.TempDir()+"/none").Output()
	if err != nil || len(out) > 0 {
		t.Errorf("without a list: got output %q and error %v, want neither", out, err)
	}
}
