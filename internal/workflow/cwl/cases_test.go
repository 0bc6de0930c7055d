package cwl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"go.yaml.in/yaml/v4"
)

// suite is a file of test cases derived from the text of the standard; see testdata/README.md.
type suite struct {
	Expressions []expressionCase
	Documents   []documentCase
	Commands    []commandCase
	Outputs     []outputCase
	Runs        []runCase
}

// expressionCase evaluates the expressions in one string.
type expressionCase struct {
	Name, Text string
	JS         bool
	Lib        []string
	Inputs     map[string]any
	Self       any
	Want       any
	Error      string
}

// documentCase loads one document or bundle.
type documentCase struct {
	Name   string
	Doc    string
	Bundle map[string]string
	Entry  string
	Errors []string // substrings of the expected problems, in order
	Warn   []string
}

// commandCase builds the command line of one tool.
type commandCase struct {
	Name   string
	Doc    string
	Inputs string
	Args   []string
	Stdin  string
	Stdout string
	Env    map[string]string
	Files  map[string]string
	Needs  []float64 // cores, MiB, accelerators
	Error  string
}

// outputCase collects the outputs of one tool from the given files.
type outputCase struct {
	Name   string
	Doc    string
	Inputs string
	Files  map[string]string
	Want   any
	Error  string
}

// runCase runs one process to its end.
type runCase struct {
	Name   string
	Doc    string
	Bundle map[string]string
	Entry  string
	Inputs string
	Want   any
	States string // "a done, b failed"
	Error  string
	Tasks  int // number of tools that ran; 0 if not checked
}

// loadSuites reads the suites in testdata and returns them by file.
func loadSuites(tb testing.TB) map[string]suite {
	tb.Helper()
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		tb.Fatal("no test suites in testdata:", err)
	}
	out := map[string]suite{}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			tb.Fatal(err)
		}
		var s suite
		d := yaml.NewDecoder(strings.NewReader(string(b)))
		d.KnownFields(true)
		if err := d.Decode(&s); err != nil {
			tb.Fatalf("%s: %v", f, err)
		}
		out[f] = s
	}
	return out
}

// normalizeJSON returns a value after a round trip through JSON, for comparison.
func normalizeJSON(v any) any {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	out, _ := fromJSON(b)
	return out
}

// checkResult compares a result with the value or the error that a case expects.
func checkResult(t *testing.T, got any, err error, want any, wantErr string) {
	t.Helper()
	switch {
	case wantErr != "":
		if err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("got %v, error %v; want an error with %q", got, err, wantErr)
		}
	case err != nil:
		t.Error(err)
	case !reflect.DeepEqual(normalizeJSON(got), normalizeJSON(want)):
		t.Errorf("got %s, want %s", jsonText(got), jsonText(want))
	}
}

// memDir is an in-memory working directory.
type memDir map[string]string

func (d memDir) value(name string) map[string]any {
	return map[string]any{"class": "File", "path": name, "basename": path.Base(name), "size": int64(len(d[name]))}
}

func (d memDir) Glob(pattern string) ([]map[string]any, error) {
	var out []map[string]any
	for _, name := range slices.Sorted(maps.Keys(d)) {
		ok, err := path.Match(pattern, name)
		if err != nil {
			return nil, err
		}
		if ok {
			out = append(out, d.value(name))
		}
	}
	return out, nil
}

func (d memDir) Read(name string, limit int) ([]byte, error) {
	text, ok := d[name]
	if !ok {
		return nil, fmt.Errorf("there is no %q", name)
	}
	return []byte(text[:min(limit, len(text))]), nil
}

func (d memDir) Stat(name string) (map[string]any, error) {
	if _, ok := d[name]; !ok {
		return nil, nil
	}
	return d.value(name), nil
}

// simulateTool simulates the tools that test cases use: echo writes its arguments to its standard
// output, touch creates empty files, and exit ends with the given code.
func simulateTool(ctx context.Context, task Task) (map[string]any, error) {
	cmd, err := task.Tool.Command(ctx, task.Inputs, map[string]any{"cores": int64(1)})
	if err != nil {
		return nil, err
	}
	dir, code := memDir{}, 0
	switch cmd.Args[0] {
	case "echo":
		dir[cmd.Stdout] = strings.Join(cmd.Args[1:], " ") + "\n"
	case "touch":
		for _, f := range cmd.Args[1:] {
			dir[f] = ""
		}
	case "exit":
		if _, err := fmt.Sscan(cmd.Args[1], &code); err != nil {
			return nil, err
		}
	}
	if err := task.Tool.Tool.CheckExitCode(code); err != nil {
		return nil, err
	}
	return task.Tool.CollectOutputs(ctx, task.Inputs, cmd, dir, nil)
}

func loadDocument(doc string, bundle map[string]string, entry string) (*Process, Problems, error) {
	b := Bundle{}
	for name, text := range bundle {
		b[name] = []byte(text)
	}
	if doc != "" {
		b["main.cwl"] = []byte(doc)
	}
	if entry == "" {
		entry = "main.cwl"
	}
	return Load(b, entry)
}

// TestCases checks every case of the suites in testdata.
func TestCases(t *testing.T) {
	count := 0
	for file, s := range loadSuites(t) {
		base := strings.TrimSuffix(filepath.Base(file), ".yaml")
		run := func(name string, check func(t *testing.T)) {
			count++
			t.Run(base+"/"+name, check)
		}
		for _, c := range s.Expressions {
			run(c.Name, c.check)
		}
		for _, c := range s.Documents {
			run(c.Name, c.check)
		}
		for _, c := range s.Commands {
			run(c.Name, c.check)
		}
		for _, c := range s.Outputs {
			run(c.Name, c.check)
		}
		for _, c := range s.Runs {
			run(c.Name, c.check)
		}
	}
	t.Logf("%d cases", count)
}

func (c expressionCase) check(t *testing.T) {
	t.Helper()
	var n Requirements
	if c.JS || c.Lib != nil {
		n.JavaScript = &JavaScript{Lib: c.Lib}
	}
	inputs, _ := normalizeJSON(c.Inputs).(map[string]any)
	got, err := n.Eval(
		t.Context(),
		c.Text,
		Scope{Inputs: inputs, Self: normalizeJSON(c.Self), Runtime: map[string]any{"cores": int64(4)}},
	)
	checkResult(t, got, err, c.Want, c.Error)
}

func (c documentCase) check(t *testing.T) {
	t.Helper()
	_, warnings, err := loadDocument(c.Doc, c.Bundle, c.Entry)
	var problems Problems
	if errors.As(err, &problems); len(problems) != len(c.Errors) {
		t.Fatalf("%d problems, want %d: %v", len(problems), len(c.Errors), err)
	}
	for i, want := range c.Errors {
		if got := problems[i].String(); !strings.Contains(got, want) {
			t.Errorf("problem %q does not contain %q", got, want)
		}
	}
	if len(warnings) != len(c.Warn) || len(c.Warn) > 0 && !strings.Contains(warnings.Error(), c.Warn[0]) {
		t.Errorf("warnings %v, want %v", warnings, c.Warn)
	}
}

func (c commandCase) check(t *testing.T) {
	t.Helper()
	got, err := buildCommand(t.Context(), c.Doc, c.Inputs)
	if c.Error != "" || err != nil {
		checkResult(t, got, err, nil, c.Error)
		return
	}
	checkResult(t, got.Args, nil, c.Args, "")
	if got.Stdin != c.Stdin || c.Stdout != "" && got.Stdout != c.Stdout ||
		c.Env != nil && !maps.Equal(got.Env, c.Env) {
		t.Errorf("stdin %q, stdout %q, environment %v", got.Stdin, got.Stdout, got.Env)
	}
	for _, f := range got.Files {
		if want, ok := c.Files[f.Name]; !ok || f.From == nil && f.Contents != want {
			t.Errorf("working directory has %q: %q", f.Name, f.Contents)
		}
	}
	if len(got.Files) != len(c.Files) {
		t.Errorf("working directory has %v", got.Files)
	}
	if c.Needs != nil && !slices.Equal(c.Needs, []float64{got.Cores, got.RAM, got.Accelerators}) {
		t.Errorf("needs %g cores, %g MiB, %g accelerators", got.Cores, got.RAM, got.Accelerators)
	}
}

func (c outputCase) check(t *testing.T) {
	t.Helper()
	p, _, err := loadDocument(c.Doc, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	in, err := p.ReadInputs("in.yml", []byte(cmp.Or(c.Inputs, "{}")))
	if err != nil {
		t.Fatal(err)
	}
	cmd, err := p.Command(t.Context(), in, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := p.CollectOutputs(t.Context(), in, cmd, memDir(c.Files), nil)
	checkResult(t, got, err, c.Want, c.Error)
}

func (c runCase) check(t *testing.T) {
	t.Helper()
	p, _, err := loadDocument(c.Doc, c.Bundle, c.Entry)
	if err != nil {
		t.Fatal(err)
	}
	in := map[string]any{}
	if c.Inputs != "" {
		if in, err = p.ReadInputs("in.yml", []byte(c.Inputs)); err != nil {
			checkResult(t, nil, err, nil, c.Error)
			return
		}
	}
	r, err := Start(t.Context(), p, in)
	if err != nil {
		checkResult(t, nil, err, nil, c.Error)
		return
	}
	tasks := runTasks(t, r)
	out, err, ended := r.Result()
	if !ended {
		t.Fatal("no task is ready, but the run has not ended")
	}
	if got := stepStates(r); c.States != "" && got != c.States {
		t.Errorf("steps: %s; want %s", got, c.States)
	}
	if c.Tasks > 0 && tasks != c.Tasks {
		t.Errorf("%d tools ran, want %d", tasks, c.Tasks)
	}
	if err != nil && c.Error != "" {
		for _, f := range r.Failures() {
			err = errors.Join(err, fmt.Errorf("%s: %w", f.ID, f.Err))
		}
		checkResult(t, nil, err, nil, c.Error)
		err = nil
	}
	checkResult(t, out, err, c.Want, "")
}

// runTasks runs the tasks of a run until none is ready, and returns how many there were.
func runTasks(t *testing.T, r *Run) int {
	t.Helper()
	tasks := 0
	for ready := r.Ready(3); len(ready) > 0; ready = r.Ready(3) {
		for _, task := range ready {
			tasks++
			out, err := simulateTool(t.Context(), task)
			r.Finish(task.ID, out, err)
			r.Finish(task.ID, nil, errors.New("duplicate result")) // must be ignored
		}
	}
	return tasks
}

// stepStates lists the steps of a run with their states: "a done, b failed".
func stepStates(r *Run) string {
	var states []string
	r.Steps(func(id string, state StepState, _, _ int, _ string) { states = append(states, id+" "+string(state)) })
	return strings.Join(states, ", ")
}

func buildCommand(ctx context.Context, doc, inputs string) (*Command, error) {
	p, _, err := loadDocument(doc, nil, "")
	if err != nil {
		return nil, err
	}
	in, err := p.ReadInputs("in.yml", []byte(cmp.Or(inputs, "{}")))
	if err != nil {
		return nil, err
	}
	full, err := p.CompleteInputs(in)
	if err != nil {
		return nil, err
	}
	return p.Command(ctx, full, map[string]any{"cores": int64(2), "outdir": "/out"})
}
