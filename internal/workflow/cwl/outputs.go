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
	// Glob returns the files and directories that match a pattern, sorted by name, as objects of
	// class File or Directory with at least path and basename.
	Glob(pattern string) ([]map[string]any, error)
	// Read returns at most limit bytes from the start of a file.
	Read(path string, limit int) ([]byte, error)
	// Stat returns the File or Directory object for a path, or nil if the path does not exist.
	Stat(path string) (map[string]any, error)
}

// Limits for reading files, in bytes.
const (
	// maxContents is the maximum size of a file for loadContents; a larger file is an error
	// ("loadContents").
	maxContents = 64 << 10
	// maxOutputObject is the number of bytes read from the output object file.
	maxOutputObject = 16 << 20
)

// outputObject is the name of the file that a tool may write to define its outputs itself. If it
// exists, output bindings are not evaluated ("Output binding").
const outputObject = "cwl.output.json"

// ExitError is returned for a tool whose exit code does not indicate success.
type ExitError struct {
	Code      int
	Temporary bool // the failure is temporary; a retry may succeed
}

// Error returns a message with the exit code.
func (e *ExitError) Error() string { return fmt.Sprintf("the tool ended with code %d", e.Code) }

// CheckExitCode returns nil if an exit code indicates success according to the tool's exit codes, and an
// *ExitError otherwise. A code that the tool does not list is a permanent failure, except that 0
// is success if the tool lists no success codes.
func (t *Tool) CheckExitCode(code int) error {
	success := t.SuccessCodes
	if len(success) == 0 {
		success = []int{0}
	}
	switch {
	case slices.Contains(t.TemporaryFailCodes, code):
		return &ExitError{code, true}
	case slices.Contains(t.PermanentFailCodes, code):
		return &ExitError{code, false}
	case slices.Contains(success, code):
		return nil
	}
	return &ExitError{code, false}
}

// CollectOutputs finds the outputs of a tool in its working directory. cmd is the result of Command.
func (p *Process) CollectOutputs(
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
		return p.readOutputObject(dir)
	}
	out := map[string]any{}
	for i := range p.Outputs {
		o := &p.Outputs[i]
		b := o.OutputBinding
		if o.Stream != "" {
			b = &OutputBinding{Glob: []string{map[string]string{"stdout": cmd.Stdout, "stderr": cmd.Stderr}[o.Stream]}}
		}
		v, err := p.collectOutput(ctx, o.Type, b, o.SecondaryFiles, scope, dir)
		if err != nil {
			return nil, fmt.Errorf("output %s: %w", o.ID, err)
		}
		out[o.ID] = v
	}
	return out, p.checkOutputs(out)
}

// checkOutputs returns an error that lists each output that does not match its type.
func (p *Process) checkOutputs(out map[string]any) error {
	var errs []error
	for i := range p.Outputs {
		if err := p.Outputs[i].Type.Check(out[p.Outputs[i].ID]); err != nil {
			errs = append(errs, fmt.Errorf("output %s: %w", p.Outputs[i].ID, err))
		}
	}
	return errors.Join(errs...)
}

// readOutputObject reads the outputs from the output object file that the tool has written.
func (p *Process) readOutputObject(dir Dir) (map[string]any, error) {
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
		return nil, fmt.Errorf("%s: expected outputs by name, found %s", outputObject, describeValue(v))
	}
	out := map[string]any{}
	for _, output := range p.Outputs {
		if out[output.ID], err = completeFiles(object[output.ID], dir); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", outputObject, output.ID, err)
		}
	}
	return out, p.checkOutputs(out)
}

// completeFiles adds the fields that dir returns to all File and Directory objects in a value.
// Lists and records are modified in place. A file that does not exist is an error.
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

// completeFile returns the object that dir has for a File or Directory, extended by the fields
// that only file has.
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
		return nil, fmt.Errorf("there is no %q", truncate(name))
	}
	for k, v := range file {
		if _, ok := actual[k]; !ok {
			actual[k] = v
		}
	}
	return actual, nil
}

// collectOutput returns the value of one output, or of one field of a record output. Without a
// binding the value is null, except that a record is collected field by field.
func (p *Process) collectOutput(
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
		value, err = p.Requirements.Eval(ctx, binding.OutputEval, scope)
	} else {
		value, err = t.valueFromMatches(list, binding.Glob)
	}
	if err != nil {
		return nil, err
	}
	if value == nil && !t.Optional() && len(binding.Glob) > 0 {
		return nil, fmt.Errorf("nothing matches %s", strings.Join(binding.Glob, ", "))
	}
	return value, p.addSecondary(ctx, value, secondary, scope, dir)
}

// collectRecord collects the fields of a record output.
func (p *Process) collectRecord(ctx context.Context, t *Type, scope Scope, dir Dir) (any, error) {
	record := map[string]any{}
	for _, field := range t.Fields {
		v, err := p.collectOutput(ctx, field.Type, field.OutputBinding, field.SecondaryFiles, scope, dir)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", field.Name, err)
		}
		record[field.Name] = v
	}
	return record, nil
}

// outputFiles returns files as a list value and loads their contents if loadContents is set.
func outputFiles(files []map[string]any, loadContents bool, dir Dir) ([]any, error) {
	list := make([]any, len(files))
	for i, file := range files {
		if loadContents {
			name, _ := file["path"].(string)
			text, err := readContents(dir, name)
			if err != nil {
				return nil, err
			}
			file["contents"] = text
		}
		list[i] = file
	}
	return list, nil
}

// valueFromMatches converts the files that match an output's patterns to a value of the type: the
// list of files if the type accepts a list, otherwise the only file, or null if there is none.
func (t *Type) valueFromMatches(files []any, patterns []string) (any, error) {
	switch {
	case t.acceptsList():
		return files, nil
	case len(files) == 0:
		return nil, nil
	case len(files) == 1:
		return files[0], nil
	}
	return nil, fmt.Errorf("%s matches %d files, and the type is %s", strings.Join(patterns, ", "), len(files), t)
}

// acceptsList reports whether a value of the type may be a list.
func (t *Type) acceptsList() bool {
	return t.Kind == KindArray || t.Kind == KindAny ||
		t.Kind == KindUnion && slices.ContainsFunc(t.Union, (*Type).acceptsList)
}

// globAll returns the files that match the patterns of a binding, in the order of the patterns.
func (p *Process) globAll(
	ctx context.Context,
	binding *OutputBinding,
	scope Scope,
	dir Dir,
) ([]map[string]any, error) {
	var out []map[string]any
	for _, text := range binding.Glob {
		v, err := p.Requirements.Eval(ctx, text, scope)
		if err != nil {
			return nil, err
		}
		patterns, ok := v.([]any)
		if !ok {
			patterns = []any{v}
		}
		for _, x := range patterns {
			pattern, ok := x.(string)
			if !ok || !isLocalPath(pattern) {
				return nil, fmt.Errorf("glob: %s is not a pattern within the working directory", describeValue(x))
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

// readContents returns the contents of a file, or an error if the file exceeds maxContents.
func readContents(dir Dir, name string) (string, error) {
	b, err := dir.Read(name, maxContents+1)
	if err != nil {
		return "", err
	}
	if len(b) > maxContents {
		return "", fmt.Errorf("file %q exceeds the loadContents limit of %d bytes", name, maxContents)
	}
	return string(b), nil
}

// addSecondary sets the secondary files of a file, or of each file in a list. Other values are
// left unchanged.
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

// addSecondaryTo adds the secondary files that match one pattern to a file. A missing secondary
// file is an error if it is required.
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
		v, err := p.Requirements.Eval(ctx, secondary.Required, scope)
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

// SecondaryName applies a pattern to a file name: each leading ^ removes one extension, and the
// rest of the pattern is appended ("SecondaryFileSchema").
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

// secondaryNames returns the paths of the secondary files that a pattern gives for the file at
// filePath. Names returned by an expression are relative to the directory of the file.
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
	v, err := p.Requirements.Eval(ctx, secondary.Pattern, scope)
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
			return nil, fmt.Errorf("secondaryFiles: expected names, found %s", describeValue(x))
		}
	}
	return out, nil
}

// jsonText returns a value as JSON. Encoding can't fail for expression results and inputs.
func jsonText(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
