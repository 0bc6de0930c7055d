package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"

	"maddermill/internal/workflow"
	"maddermill/internal/workflow/cwl"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// RunStep pretends to run a workflow's step as a machine does: it reads the order of the
// step's job, makes up what the tool leaves, and writes the result. echo writes its
// arguments to its standard output, cat the contents of files, touch makes empty files, exit
// ends with a code. It does nothing for a job that is no step.
func RunStep(ctx context.Context, store stepdata.Store, job wire.JobID) error {
	b, _, err := store.Get(ctx, workflow.OrderName(job))
	if err != nil {
		return nil
	}
	var o workflow.Order
	if err := json.Unmarshal(b, &o); err != nil {
		return err
	}
	outputs, err := pretend(ctx, store, job, &o)
	res := workflow.Result{Outputs: outputs}
	if err != nil {
		res.Code, res.Error = 1, err.Error()
		if exit, ok := err.(*cwl.ErrNotSuccess); ok {
			res.Code, res.Retry = exit.Code, exit.Retry
		}
	}
	if b, err = json.Marshal(res); err != nil {
		return err
	}
	_, err = store.Put(ctx, workflow.ResultName(job), bytes.NewReader(b))
	return err
}

func pretend(ctx context.Context, store stepdata.Store, job wire.JobID, o *workflow.Order) (map[string]any, error) {
	p, _, err := cwl.Load(o.Bundle, o.Entry)
	if err != nil {
		return nil, err
	}
	tool := p.ToolAt(o.Step)
	inputs, _ := cwl.Whole(o.Inputs).(map[string]any)
	cmd, err := tool.Command(ctx, inputs, map[string]any{"cores": int64(1)})
	if err != nil {
		return nil, err
	}
	dir, code := workDir{files: map[string]string{}, store: store, at: "files/" + string(job)}, 0
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
		fmt.Sscan(cmd.Args[1], &code)
	default:
		return nil, fmt.Errorf("%q is no tool that this machine pretends to have", cmd.Args[0])
	}
	if err := tool.Tool.Exit(code); err != nil {
		return nil, err
	}
	return tool.Collect(ctx, inputs, cmd, dir, nil)
}

// workDir is a working directory whose files are kept in the store once they are outputs.
type workDir struct {
	files map[string]string
	store stepdata.Store
	at    string
}

func (d workDir) value(name string) (map[string]any, error) {
	info, err := d.store.Put(context.Background(), d.at+"/"+name, strings.NewReader(d.files[name]))
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
func (d workDir) Read(name string, most int) ([]byte, error) {
	text, ok := d.files[strings.TrimPrefix(name, d.at+"/")]
	if !ok {
		return nil, fmt.Errorf("there is no %q", name)
	}
	return []byte(text[:min(most, len(text))]), nil
}

// Stat implements cwl.Dir.
func (d workDir) Stat(name string) (map[string]any, error) {
	name = strings.TrimPrefix(name, d.at+"/")
	if _, ok := d.files[name]; !ok {
		return nil, nil
	}
	return d.value(name)
}
