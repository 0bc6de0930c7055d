package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"

	"maddermill/internal/exactjson"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// RunStep emulates the execution of a workflow step on a machine: it reads the order of the step's
// job, produces the outputs of the tool, and stores the result. The supported tools are echo (writes
// its arguments to standard output), cat (concatenates files), touch (creates empty files) and exit
// (exits with a code). It does nothing for a job that is not a workflow step.
func RunStep(ctx context.Context, store stepdata.Store, job wire.JobID) error {
	b, _, err := store.Get(ctx, workflow.StepSpecName(job))
	if err != nil {
		return nil
	}
	var order workflow.StepSpec
	if err := exactjson.Unmarshal(b, &order); err != nil {
		return err
	}
	outputs, err := runTool(ctx, store, job, &order)
	res := workflow.Result{Outputs: outputs}
	if err != nil {
		res.Code, res.Error = 1, err.Error()
		if exit := (*cwl.ExitError)(nil); errors.As(err, &exit) {
			res.Code, res.Retry = exit.Code, exit.Temporary
		}
	}
	if b, err = json.Marshal(res); err != nil {
		return err
	}
	_, err = store.Put(ctx, workflow.ResultName(job), bytes.NewReader(b))
	return err
}

// runTool emulates the tool that an order names, and returns its outputs.
func runTool(
	ctx context.Context, store stepdata.Store, job wire.JobID, order *workflow.StepSpec,
) (map[string]any, error) {
	p, _, err := cwl.Load(order.Bundle, order.Entry)
	if err != nil {
		return nil, err
	}
	tool := p.TaskTool(order.Step)
	inputs, _ := cwl.NormalizeNumbers(order.Inputs).(map[string]any)
	cmd, err := tool.Command(ctx, inputs, map[string]any{"cores": int64(1)})
	if err != nil {
		return nil, err
	}
	dir, code := workDir{files: map[string]string{}, store: store, prefix: "files/" + string(job)}, 0
	switch cmd.Args[0] {
	case "echo":
		dir.files[cmd.Stdout] = strings.Join(cmd.Args[1:], " ") + "\n"
	case "cat":
		for _, name := range cmd.Args[1:] {
			b, _, err := store.Get(ctx, name)
			if err != nil {
				return nil, err
			}
			dir.files[cmd.Stdout] += string(b)
		}
	case "touch":
		for _, name := range cmd.Args[1:] {
			dir.files[name] = ""
		}
	case "exit":
		_, _ = fmt.Sscan(cmd.Args[1], &code) // stays 0 if it is not a number
	default:
		return nil, fmt.Errorf("tool %q is not emulated", cmd.Args[0])
	}
	if err := tool.Tool.CheckExitCode(code); err != nil {
		return nil, err
	}
	return tool.CollectOutputs(ctx, inputs, cmd, dir, nil)
}

// workDir is the working directory of a tool. Files that become outputs are copied to the store.
type workDir struct {
	files  map[string]string // file contents by name
	store  stepdata.Store
	prefix string // prepended to the names of files in the store
}

// value copies a file to the store and returns its CWL File object.
func (d workDir) value(name string) (map[string]any, error) {
	info, err := d.store.Put(context.Background(), d.prefix+"/"+name, strings.NewReader(d.files[name]))
	return map[string]any{
		"class":    "File",
		"path":     info.Name,
		"location": info.Name,
		"basename": path.Base(name),
		"size":     info.Size,
		"checksum": "sha256$" + info.Sum,
	}, err
}

// Glob implements cwl.Dir.
func (d workDir) Glob(pattern string) ([]map[string]any, error) {
	var out []map[string]any
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		ok, err := path.Match(pattern, name)
		if err != nil {
			return nil, err
		}
		if !ok {
			continue
		}
		f, err := d.value(name)
		if err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

// Read implements cwl.Dir.
func (d workDir) Read(name string, limit int) ([]byte, error) {
	text, ok := d.files[strings.TrimPrefix(name, d.prefix+"/")]
	if !ok {
		return nil, fmt.Errorf("file %q does not exist", name)
	}
	return []byte(text[:min(limit, len(text))]), nil
}

// Stat implements cwl.Dir.
func (d workDir) Stat(name string) (map[string]any, error) {
	name = strings.TrimPrefix(name, d.prefix+"/")
	if _, ok := d.files[name]; !ok {
		return nil, nil
	}
	return d.value(name)
}
