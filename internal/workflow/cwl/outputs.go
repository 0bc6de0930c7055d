package cwl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Dir is a tool's working directory after it has run.
type Dir interface {
	// Glob lists what a pattern matches, in the order of names: values of class File or
	// Directory with at least path and basename.
	Glob(pattern string) ([]map[string]any, error)
	// Read returns a file's first bytes, at most so many.
	Read(path string, most int) ([]byte, error)
	// Stat returns the value of a path, nil if nothing is there.
	Stat(path string) (map[string]any, error)
}

// mostContents is how much of a file loadContents reads; a larger one is an error
// ("loadContents").
const mostContents = 64 << 10

// outputObject is the file that, where a tool writes it, takes the place of all bindings
// ("Output binding").
const outputObject = "cwl.output.json"

// ErrNotSuccess tells of an exit code; Retry tells whether another try may help.
type ErrNotSuccess struct {
	Code  int
	Retry bool
}

func (e *ErrNotSuccess) Error() string { return fmt.Sprintf("the tool ended with code %d", e.Code) }

// Exit judges a tool's exit code by the codes that it states.
func (t *Tool) Exit(code int) error {
	success := t.Success
	if len(success) == 0 {
		success = []int{0}
	}
	switch {
	case slices.Contains(t.Retry, code):
		return &ErrNotSuccess{code, true}
	case slices.Contains(t.Failed, code):
		return &ErrNotSuccess{code, false}
	case slices.Contains(success, code):
		return nil
	}
	return &ErrNotSuccess{code, false}
}

// Collect finds a tool's outputs in its working directory. cmd is what Command built.
func (p *Process) Collect(
	ctx context.Context,
	inputs map[string]any,
	cmd *Command,
	dir Dir,
	runtime map[string]any,
) (map[string]any, error) {
	sc := Scope{Inputs: inputs, Runtime: runtime}
	if f, err := dir.Stat(outputObject); err != nil {
		return nil, err
	} else if f != nil {
		return p.outputsFrom(dir)
	}
	out := map[string]any{}
	for i := range p.Outputs {
		o := &p.Outputs[i]
		b := o.OutputBinding
		if o.Stream != "" {
			b = &OutputBinding{Glob: []string{map[string]string{"stdout": cmd.Stdout, "stderr": cmd.Stderr}[o.Stream]}}
		}
		v, err := p.collect(ctx, o.Type, b, o.SecondaryFiles, sc, dir)
		if err != nil {
			return nil, fmt.Errorf("output %s: %w", o.ID, err)
		}
		out[o.ID] = v
	}
	return out, p.checkOutputs(out)
}

func (p *Process) checkOutputs(out map[string]any) error {
	var errs []error
	for i := range p.Outputs {
		if err := p.Outputs[i].Type.Check(out[p.Outputs[i].ID]); err != nil {
			errs = append(errs, fmt.Errorf("output %s: %w", p.Outputs[i].ID, err))
		}
	}
	return errors.Join(errs...)
}

func (p *Process) outputsFrom(dir Dir) (map[string]any, error) {
	b, err := dir.Read(outputObject, 16<<20)
	if err != nil {
		return nil, err
	}
	v, err := fromJSON(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", outputObject, err)
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s: expected outputs by name, found %s", outputObject, describe(v))
	}
	out := map[string]any{}
	for _, o := range p.Outputs {
		if out[o.ID], err = found(m[o.ID], dir); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", outputObject, o.ID, err)
		}
	}
	return out, p.checkOutputs(out)
}

// found completes the files of a value with what is there.
func found(v any, dir Dir) (any, error) {
	switch x := v.(type) {
	case []any:
		for i := range x {
			var err error
			if x[i], err = found(x[i], dir); err != nil {
				return nil, err
			}
		}
	case map[string]any:
		if classOf(x) == "" {
			for k := range x {
				var err error
				if x[k], err = found(x[k], dir); err != nil {
					return nil, err
				}
			}
			return x, nil
		}
		name, _ := x["path"].(string)
		if name == "" {
			name, _ = x["location"].(string)
		}
		f, err := dir.Stat(name)
		if err != nil {
			return nil, err
		}
		if f == nil {
			return nil, fmt.Errorf("there is no %q", shorten(name))
		}
		for k, val := range x {
			if _, ok := f[k]; !ok {
				f[k] = val
			}
		}
		return f, nil
	}
	return v, nil
}

func (p *Process) collect(
	ctx context.Context,
	t *Type,
	b *OutputBinding,
	secondary []SecondaryFile,
	sc Scope,
	dir Dir,
) (any, error) {
	if t.Kind == KindRecord && b == nil {
		m := map[string]any{}
		for _, f := range t.Fields {
			v, err := p.collect(ctx, f.Type, f.OutputBinding, f.SecondaryFiles, sc, dir)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f.Name, err)
			}
			m[f.Name] = v
		}
		return m, nil
	}
	if b == nil {
		return nil, nil
	}
	files, err := p.globAll(ctx, b, sc, dir)
	if err != nil {
		return nil, err
	}
	list := make([]any, len(files))
	for i, f := range files {
		if b.LoadContents {
			name, _ := f["path"].(string)
			text, err := contents(dir, name)
			if err != nil {
				return nil, err
			}
			f["contents"] = text
		}
		list[i] = f
	}
	var v any = list
	if b.OutputEval != "" {
		sc.Self = list
		if v, err = p.Needs.Eval(ctx, b.OutputEval, sc); err != nil {
			return nil, err
		}
	} else if !t.takesList() {
		switch len(list) {
		case 0:
			v = nil
		case 1:
			v = list[0]
		default:
			return nil, fmt.Errorf("%s matches %d files, and the type is %s", strings.Join(b.Glob, ", "), len(list), t)
		}
	}
	if v == nil && !t.Optional() && len(b.Glob) > 0 {
		return nil, fmt.Errorf("nothing matches %s", strings.Join(b.Glob, ", "))
	}
	return v, p.addSecondary(ctx, v, secondary, sc, dir)
}

// takesList reports whether a list is a value of the type.
func (t *Type) takesList() bool {
	return t.Kind == KindArray || t.Kind == KindAny ||
		t.Kind == KindUnion && slices.ContainsFunc(t.Union, (*Type).takesList)
}

func (p *Process) globAll(ctx context.Context, b *OutputBinding, sc Scope, dir Dir) ([]map[string]any, error) {
	var out []map[string]any
	for _, text := range b.Glob {
		v, err := p.Needs.Eval(ctx, text, sc)
		if err != nil {
			return nil, err
		}
		patterns, ok := v.([]any)
		if !ok {
			patterns = []any{v}
		}
		for _, x := range patterns {
			pattern, ok := x.(string)
			if !ok || !localPath(pattern) {
				return nil, fmt.Errorf("glob: %s is not a pattern within the working directory", describe(x))
			}
			files, err := dir.Glob(pattern)
			if err != nil {
				return nil, err
			}
			out = append(out, files...)
		}
	}
	return out, nil
}

func contents(dir Dir, name string) (string, error) {
	b, err := dir.Read(name, mostContents+1)
	if err != nil {
		return "", err
	}
	if len(b) > mostContents {
		return "", fmt.Errorf("%q has more than the %d bytes that loadContents reads", name, mostContents)
	}
	return string(b), nil
}

// addSecondary finds the files that go with the files of a value.
func (p *Process) addSecondary(ctx context.Context, v any, secondary []SecondaryFile, sc Scope, dir Dir) error {
	if len(secondary) == 0 {
		return nil
	}
	if list, ok := v.([]any); ok {
		for _, x := range list {
			if err := p.addSecondary(ctx, x, secondary, sc, dir); err != nil {
				return err
			}
		}
		return nil
	}
	f, ok := v.(map[string]any)
	if !ok || classOf(v) != "File" {
		return nil
	}
	own, _ := f["path"].(string)
	for _, s := range secondary {
		names, err := p.secondaryNames(ctx, s, f, own, sc)
		if err != nil {
			return err
		}
		needed := s.Required != "false"
		if HasExpression(s.Required) {
			sc.Self = f
			x, err := p.Needs.Eval(ctx, s.Required, sc)
			if err != nil {
				return err
			}
			needed = x == true
		}
		for _, name := range names {
			got, err := dir.Stat(name)
			if err != nil {
				return err
			}
			if got == nil {
				if needed {
					return fmt.Errorf("secondary file %q of %q is missing", name, own)
				}
				continue
			}
			have, _ := f["secondaryFiles"].([]any)
			f["secondaryFiles"] = append(have, got)
		}
	}
	return nil
}

// SecondaryName applies a pattern to a file's name: each ^ in front takes an extension
// away, the rest is put behind ("SecondaryFileSchema").
func SecondaryName(name, pattern string) string {
	for strings.HasPrefix(pattern, "^") {
		pattern = pattern[1:]
		slash := strings.LastIndex(name, "/")
		if dot := strings.LastIndex(name, "."); dot > slash+1 {
			name = name[:dot]
		}
	}
	return name + pattern
}

func (p *Process) secondaryNames(
	ctx context.Context,
	s SecondaryFile,
	f map[string]any,
	own string,
	sc Scope,
) ([]string, error) {
	if !HasExpression(s.Pattern) {
		return []string{SecondaryName(own, s.Pattern)}, nil
	}
	sc.Self = f
	v, err := p.Needs.Eval(ctx, s.Pattern, sc)
	if err != nil {
		return nil, err
	}
	dir := own[:strings.LastIndex(own, "/")+1]
	var out []string
	list, ok := v.([]any)
	if !ok {
		list = []any{v}
	}
	for _, x := range list {
		switch y := x.(type) {
		case string:
			out = append(out, dir+y)
		case map[string]any:
			name, _ := y["path"].(string)
			out = append(out, name)
		case nil:
		default:
			return nil, fmt.Errorf("secondaryFiles: expected names, found %s", describe(x))
		}
	}
	return out, nil
}

func jsonText(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
