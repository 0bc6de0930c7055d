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
	// Read returns a file's first bytes, at most limit.
	Read(path string, limit int) ([]byte, error)
	// Stat returns the value of a path, nil if nothing is there.
	Stat(path string) (map[string]any, error)
}

// Limits of what is read of files, in bytes.
const (
	// maxContents is how much of a file loadContents reads; a larger one is an error
	// ("loadContents").
	maxContents = 64 << 10
	// maxOutputObject is how much of the output object is read.
	maxOutputObject = 16 << 20
)

// outputObject is the file that, where a tool writes it, takes the place of all bindings
// ("Output binding").
const outputObject = "cwl.output.json"

// ErrNotSuccess is the error of a tool whose exit code is not one of success.
type ErrNotSuccess struct { //nolint:errname // other packages use the name
	Code  int
	Retry bool // another try may help
}

// Error says which code the tool ended with.
func (e *ErrNotSuccess) Error() string { return fmt.Sprintf("the tool ended with code %d", e.Code) }

// Exit returns nil if an exit code is one of success by the codes that the tool states, else
// an *ErrNotSuccess. A code that the tool does not state is a failure, 0 excepted where no
// codes of success are stated.
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
	scope := Scope{Inputs: inputs, Runtime: runtime}
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
		v, err := p.collect(ctx, o.Type, b, o.SecondaryFiles, scope, dir)
		if err != nil {
			return nil, fmt.Errorf("output %s: %w", o.ID, err)
		}
		out[o.ID] = v
	}
	return out, p.checkOutputs(out)
}

// checkOutputs returns an error for each output that is not of its type.
func (p *Process) checkOutputs(out map[string]any) error {
	var errs []error
	for i := range p.Outputs {
		if err := p.Outputs[i].Type.Check(out[p.Outputs[i].ID]); err != nil {
			errs = append(errs, fmt.Errorf("output %s: %w", p.Outputs[i].ID, err))
		}
	}
	return errors.Join(errs...)
}

// outputsFrom reads the outputs from the object that the tool has written itself.
func (p *Process) outputsFrom(dir Dir) (map[string]any, error) {
	b, err := dir.Read(outputObject, maxOutputObject)
	if err != nil {
		return nil, err
	}
	v, err := fromJSON(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", outputObject, err)
	}
	object, ok := v.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s: expected outputs by name, found %s", outputObject, describe(v))
	}
	out := map[string]any{}
	for _, output := range p.Outputs {
		if out[output.ID], err = completeFiles(object[output.ID], dir); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", outputObject, output.ID, err)
		}
	}
	return out, p.checkOutputs(out)
}

// completeFiles completes the files of a value with what dir has of them. Lists and records
// in it are changed in place. A file that does not exist is an error.
func completeFiles(v any, dir Dir) (any, error) {
	var err error
	switch x := v.(type) {
	case []any:
		for i := range x {
			if x[i], err = completeFiles(x[i], dir); err != nil {
				return nil, err
			}
		}
	case map[string]any:
		if classOf(x) != "" {
			return completeFile(x, dir)
		}
		for k := range x {
			if x[k], err = completeFiles(x[k], dir); err != nil {
				return nil, err
			}
		}
	}
	return v, nil
}

// completeFile returns what dir has of a File or a Directory, with the fields of file that
// it does not state.
func completeFile(file map[string]any, dir Dir) (any, error) {
	name, _ := file["path"].(string)
	if name == "" {
		name, _ = file["location"].(string)
	}
	actual, err := dir.Stat(name)
	if err != nil {
		return nil, err
	}
	if actual == nil {
		return nil, fmt.Errorf("there is no %q", shorten(name))
	}
	for k, v := range file {
		if _, ok := actual[k]; !ok {
			actual[k] = v
		}
	}
	return actual, nil
}

// collect finds the value of one output, or of one field of an output that is a record.
// Without a binding the value is null.
func (p *Process) collect(
	ctx context.Context,
	t *Type,
	binding *OutputBinding,
	secondary []SecondaryFile,
	scope Scope,
	dir Dir,
) (any, error) {
	if binding == nil {
		if t.Kind == KindRecord {
			return p.collectRecord(ctx, t, scope, dir)
		}
		return nil, nil
	}
	files, err := p.globAll(ctx, binding, scope, dir)
	if err != nil {
		return nil, err
	}
	list, err := outputFiles(files, binding.LoadContents, dir)
	if err != nil {
		return nil, err
	}
	var value any
	if binding.OutputEval != "" {
		scope.Self = list
		value, err = p.Needs.Eval(ctx, binding.OutputEval, scope)
	} else {
		value, err = t.fromMatches(list, binding.Glob)
	}
	if err != nil {
		return nil, err
	}
	if value == nil && !t.Optional() && len(binding.Glob) > 0 {
		return nil, fmt.Errorf("nothing matches %s", strings.Join(binding.Glob, ", "))
	}
	return value, p.addSecondary(ctx, value, secondary, scope, dir)
}

// collectRecord finds the fields of an output that is a record.
func (p *Process) collectRecord(ctx context.Context, t *Type, scope Scope, dir Dir) (any, error) {
	record := map[string]any{}
	for _, field := range t.Fields {
		v, err := p.collect(ctx, field.Type, field.OutputBinding, field.SecondaryFiles, scope, dir)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", field.Name, err)
		}
		record[field.Name] = v
	}
	return record, nil
}

// outputFiles returns files as a value, with their contents if those are to be loaded.
func outputFiles(files []map[string]any, loadContents bool, dir Dir) ([]any, error) {
	list := make([]any, len(files))
	for i, file := range files {
		if loadContents {
			name, _ := file["path"].(string)
			text, err := contents(dir, name)
			if err != nil {
				return nil, err
			}
			file["contents"] = text
		}
		list[i] = file
	}
	return list, nil
}

// fromMatches returns the value of the type that the files matched by patterns make: all of
// them if a list is one, else the only one, or null if there is none.
func (t *Type) fromMatches(files []any, patterns []string) (any, error) {
	switch {
	case t.takesList():
		return files, nil
	case len(files) == 0:
		return nil, nil
	case len(files) == 1:
		return files[0], nil
	}
	return nil, fmt.Errorf("%s matches %d files, and the type is %s", strings.Join(patterns, ", "), len(files), t)
}

// takesList reports whether a list is a value of the type.
func (t *Type) takesList() bool {
	return t.Kind == KindArray || t.Kind == KindAny ||
		t.Kind == KindUnion && slices.ContainsFunc(t.Union, (*Type).takesList)
}

// globAll returns the files that the patterns of a binding match, in the patterns' order.
func (p *Process) globAll(
	ctx context.Context,
	binding *OutputBinding,
	scope Scope,
	dir Dir,
) ([]map[string]any, error) {
	var out []map[string]any
	for _, text := range binding.Glob {
		v, err := p.Needs.Eval(ctx, text, scope)
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

// contents returns the text of a file that loadContents may read whole.
func contents(dir Dir, name string) (string, error) {
	b, err := dir.Read(name, maxContents+1)
	if err != nil {
		return "", err
	}
	if len(b) > maxContents {
		return "", fmt.Errorf("%q has more than the %d bytes that loadContents reads", name, maxContents)
	}
	return string(b), nil
}

// addSecondary adds to a file, or to each file of a list, the files that go with it. Other
// values stay as they are.
func (p *Process) addSecondary(
	ctx context.Context,
	value any,
	secondary []SecondaryFile,
	scope Scope,
	dir Dir,
) error {
	if len(secondary) == 0 {
		return nil
	}
	if list, ok := value.([]any); ok {
		for _, item := range list {
			if err := p.addSecondary(ctx, item, secondary, scope, dir); err != nil {
				return err
			}
		}
		return nil
	}
	file, ok := value.(map[string]any)
	if !ok || classOf(value) != "File" {
		return nil
	}
	for _, s := range secondary {
		if err := p.addSecondaryTo(ctx, file, s, scope, dir); err != nil {
			return err
		}
	}
	return nil
}

// addSecondaryTo adds the files that one pattern gives to a file. One that does not exist is
// an error if it is required.
func (p *Process) addSecondaryTo(
	ctx context.Context,
	file map[string]any,
	secondary SecondaryFile,
	scope Scope,
	dir Dir,
) error {
	filePath, _ := file["path"].(string)
	names, err := p.secondaryNames(ctx, secondary, file, filePath, scope)
	if err != nil {
		return err
	}
	required := secondary.Required != "false"
	if HasExpression(secondary.Required) {
		scope.Self = file
		v, err := p.Needs.Eval(ctx, secondary.Required, scope)
		if err != nil {
			return err
		}
		required = v == true
	}
	for _, name := range names {
		companion, err := dir.Stat(name)
		if err != nil {
			return err
		}
		if companion == nil {
			if required {
				return fmt.Errorf("secondary file %q of %q is missing", name, filePath)
			}
			continue
		}
		companions, _ := file["secondaryFiles"].([]any)
		file["secondaryFiles"] = append(companions, companion)
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

// secondaryNames returns the paths that a pattern gives for the file with the path filePath.
// Names that an expression gives are in the file's folder.
func (p *Process) secondaryNames(
	ctx context.Context,
	secondary SecondaryFile,
	file map[string]any,
	filePath string,
	scope Scope,
) ([]string, error) {
	if !HasExpression(secondary.Pattern) {
		return []string{SecondaryName(filePath, secondary.Pattern)}, nil
	}
	scope.Self = file
	v, err := p.Needs.Eval(ctx, secondary.Pattern, scope)
	if err != nil {
		return nil, err
	}
	folder := filePath[:strings.LastIndex(filePath, "/")+1]
	var out []string
	list, ok := v.([]any)
	if !ok {
		list = []any{v}
	}
	for _, x := range list {
		switch y := x.(type) {
		case string:
			out = append(out, folder+y)
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

// jsonText returns a value as JSON. Values of expressions and inputs can always be encoded.
func jsonText(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
