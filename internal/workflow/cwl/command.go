package cwl

import (
	"cmp"
	"context"
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"
)

// Command is a tool's command line and execution environment, with all expressions evaluated.
type Command struct {
	Args                  []string
	Stdin, Stdout, Stderr string // paths; Stdout and Stderr are relative to the working directory
	Env                   map[string]string
	Files                 []WorkFile // placed in the working directory before the tool runs
	Image                 string
	Cores, RAM            float64 // RAM in MiB
	Accelerators          float64
	TimeLimit             float64 // in seconds; 0 if unlimited
}

// WorkFile is a file that is placed in a tool's working directory before the tool runs.
type WorkFile struct {
	Name     string
	Contents string
	From     map[string]any // a File or Directory object; if set, Contents is not used
	Writable bool
}

// Defaults of ResourceRequirement.
const (
	defaultCores = 1
	defaultRAM   = 256 // MiB
)

// boundValue is one or more command-line arguments with their sort key.
type boundValue struct {
	key  []any // ints and strings, in the order of comparison ("Input binding")
	args []string
}

// Command builds the command line of a tool ("Input binding"). inputs are those that
// CompleteInputs returns.
func (p *Process) Command(ctx context.Context, inputs map[string]any, runtime map[string]any) (*Command, error) {
	reqs := &p.Requirements
	scope := Scope{Inputs: inputs, Runtime: runtime}
	command := &Command{Env: map[string]string{}, Image: reqs.Image}
	var err error
	if command.Cores, command.RAM, command.Accelerators, err = p.Resources(ctx, inputs); err != nil {
		return nil, err
	}
	if command.TimeLimit, err = reqs.EvalNumber(ctx, reqs.TimeLimit, scope, 0); err != nil {
		return nil, err
	}
	if command.TimeLimit < 0 {
		return nil, fmt.Errorf("ToolTimeLimit: must not be below 0")
	}
	parts, err := p.bindArguments(ctx, scope)
	if err != nil {
		return nil, err
	}
	inputParts, err := p.bindInputs(ctx, command, scope)
	if err != nil {
		return nil, err
	}
	parts = append(parts, inputParts...)
	slices.SortStableFunc(parts, func(a, b boundValue) int { return slices.CompareFunc(a.key, b.key, compareKeyParts) })
	command.Args = slices.Clone(p.Tool.BaseCommand)
	for _, part := range parts {
		command.Args = append(command.Args, part.args...)
	}
	if err := p.setStreams(ctx, command, scope); err != nil {
		return nil, err
	}
	for _, variable := range reqs.Env {
		if command.Env[variable.Name], err = reqs.EvalString(ctx, variable.Value, scope); err != nil {
			return nil, fmt.Errorf("EnvVarRequirement: %s: %w", variable.Name, err)
		}
	}
	command.Files, err = p.workFiles(ctx, scope)
	return command, err
}

// bindArguments returns the parts of the command line defined by the tool's arguments field.
func (p *Process) bindArguments(ctx context.Context, scope Scope) ([]boundValue, error) {
	var parts []boundValue
	for i, argument := range p.Tool.Arguments {
		if argument.Binding == nil {
			text, err := p.Requirements.EvalString(ctx, argument.Text, scope)
			if err != nil {
				return nil, err
			}
			parts = append(parts, boundValue{[]any{0, i}, []string{text}})
			continue
		}
		bound, err := p.Requirements.bind(ctx, argument.Binding, &Type{Kind: KindAny}, nil, scope, []any{i})
		if err != nil {
			return nil, err
		}
		parts = append(parts, bound...)
	}
	return parts, nil
}

// bindInputs returns the parts of the command line defined by the tool's inputs. An input of
// type stdin sets the command's standard input.
func (p *Process) bindInputs(ctx context.Context, command *Command, scope Scope) ([]boundValue, error) {
	var parts []boundValue
	for _, input := range p.Inputs {
		bound, err := p.Requirements.bind(ctx, input.Binding, input.Type, scope.Inputs[input.ID], scope, []any{input.ID})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", input.ID, err)
		}
		parts = append(parts, bound...)
		if input.Stream == "stdin" {
			file, _ := scope.Inputs[input.ID].(map[string]any)
			command.Stdin, _ = file["path"].(string)
		}
	}
	return parts, nil
}

// setStreams sets the files of the standard streams. If the tool has an output of type stdout
// or stderr but names no file for that stream, the file name defaults to "stdout.txt" or
// "stderr.txt".
func (p *Process) setStreams(ctx context.Context, command *Command, scope Scope) error {
	for _, stream := range []struct {
		text string
		to   *string
	}{{p.Tool.Stdin, &command.Stdin}, {p.Tool.Stdout, &command.Stdout}, {p.Tool.Stderr, &command.Stderr}} {
		if stream.text == "" {
			continue
		}
		var err error
		if *stream.to, err = p.Requirements.EvalString(ctx, stream.text, scope); err != nil {
			return err
		}
	}
	for _, output := range p.Outputs {
		for stream, to := range map[string]*string{"stdout": &command.Stdout, "stderr": &command.Stderr} {
			if output.Stream == stream && *to == "" {
				*to = stream + ".txt"
			}
		}
	}
	for _, name := range []string{command.Stdout, command.Stderr} {
		if name != "" && !isLocalPath(name) {
			return fmt.Errorf("%q leads out of the working directory", name)
		}
	}
	return nil
}

// isLocalPath reports whether a path is relative and has no leading ".." once cleaned.
func isLocalPath(name string) bool {
	clean := path.Clean(name)
	return !path.IsAbs(name) && clean != ".." && !strings.HasPrefix(clean, "../")
}

// compareKeyParts compares two elements of sort keys. Numbers sort before strings.
func compareKeyParts(a, b any) int {
	x, xNum := a.(int)
	y, yNum := b.(int)
	switch {
	case xNum && yNum:
		return cmp.Compare(x, y)
	case xNum:
		return -1
	case yNum:
		return 1
	}
	return cmp.Compare(a.(string), b.(string))
}

// Resources returns the resources that a tool needs for one task: cores, memory in MiB and the
// number of accelerators.
func (p *Process) Resources(
	ctx context.Context,
	inputs map[string]any,
) (cores, ram, accelerators float64, err error) {
	reqs, scope := &p.Requirements, Scope{Inputs: inputs}
	cores, coresErr := reqs.minimum(ctx, scope, "cores", reqs.Resources.CoresMin, reqs.Resources.CoresMax, defaultCores)
	ram, ramErr := reqs.minimum(ctx, scope, "ram", reqs.Resources.RAMMin, reqs.Resources.RAMMax, defaultRAM)
	accelerators, acceleratorsErr := reqs.EvalNumber(ctx, reqs.Accelerator, scope, 0)
	return cores, ram, accelerators, cmp.Or(coresErr, ramErr, acceleratorsErr)
}

// minimum evaluates the range of one resource and returns its lower bound. Without a lower
// bound it returns fallback, limited by the upper bound if there is one.
func (n *Requirements) minimum(
	ctx context.Context,
	scope Scope,
	field, lower, upper string,
	fallback float64,
) (float64, error) {
	low, lowErr := n.EvalNumber(ctx, lower, scope, 0)
	high, highErr := n.EvalNumber(ctx, upper, scope, 0)
	if err := cmp.Or(lowErr, highErr); err != nil {
		return 0, fmt.Errorf("ResourceRequirement: %s: %w", field, err)
	}
	switch {
	case low < 0 || high < 0 || upper != "" && lower != "" && high < low:
		return 0, fmt.Errorf("ResourceRequirement: %s: from %g to %g is no range", field, low, high)
	case lower == "" && upper == "":
		return fallback, nil
	case lower == "":
		return min(fallback, high), nil
	}
	return low, nil
}

// bind returns the arguments for one value with their sort keys. binding may be nil. The last
// element of key is the name or index of the value; its position is inserted before it.
func (n *Requirements) bind(
	ctx context.Context,
	binding *Binding,
	t *Type,
	value any,
	scope Scope,
	key []any,
) ([]boundValue, error) {
	position := 0
	if binding != nil {
		scope.Self = value
		var err error
		if position, err = n.bindingPosition(ctx, binding, scope); err != nil {
			return nil, err
		}
		isArgument := len(key) == 1 && t.Kind == KindAny
		if binding.ValueFrom != "" && (value != nil || isArgument) {
			if value, err = n.Eval(ctx, binding.ValueFrom, scope); err != nil {
				return nil, err
			}
			t = &Type{Kind: KindAny}
		}
	}
	key = slices.Concat(key[:len(key)-1], []any{position, key[len(key)-1]})
	if value == nil {
		return nil, nil
	}
	t = t.alternativeFor(value)
	if binding == nil && !t.mayBind() {
		return nil, nil
	}
	switch x := value.(type) {
	case []any:
		return n.bindList(ctx, binding, t, x, scope, key)
	case map[string]any:
		if classOf(value) == "" {
			return n.bindRecord(ctx, binding, t, x, scope, key)
		}
	}
	return binding.bindScalar(value, key), nil
}

// mayBind reports whether a value of the type can appear on the command line although the
// input, field or array that holds it has no binding.
func (t *Type) mayBind() bool {
	return t.Binding != nil || t.Kind == KindRecord || t.Kind == KindArray
}

// bindingPosition evaluates the position of a binding. The default is 0.
func (n *Requirements) bindingPosition(ctx context.Context, binding *Binding, scope Scope) (int, error) {
	if binding.Position == "" {
		return 0, nil
	}
	position, err := n.EvalNumber(ctx, binding.Position, scope, 0)
	return int(position), err
}

// bindScalar returns the arguments for a value that is neither a list nor a record. The
// receiver may be nil: without a binding the value does not appear on the command line. A
// boolean adds only the prefix, and only if it is true.
func (b *Binding) bindScalar(value any, key []any) []boundValue {
	if b == nil {
		return nil
	}
	if yes, ok := value.(bool); ok {
		if !yes || b.Prefix == "" {
			return nil
		}
		return []boundValue{{key, []string{b.Prefix}}}
	}
	return []boundValue{{key, b.join(argumentText(value))}}
}

// alternativeFor returns the first alternative of a union that accepts the value, or Any if
// none does. If the type is not a union, it returns the type itself.
func (t *Type) alternativeFor(value any) *Type {
	if t.Kind != KindUnion {
		return t
	}
	for _, alternative := range t.Union {
		if alternative.Check(value) == nil {
			return alternative
		}
	}
	return &Type{Kind: KindAny}
}

// join returns the prefix and the text of a value as one or two arguments.
func (b *Binding) join(text string) []string {
	switch {
	case b.Prefix == "":
		return []string{text}
	case b.NoSeparate:
		return []string{b.Prefix + text}
	}
	return []string{b.Prefix, text}
}

// bindList returns the arguments for a list: a single argument with the items joined by the
// item separator, or the prefix followed by the arguments of each item.
func (n *Requirements) bindList(
	ctx context.Context,
	binding *Binding,
	t *Type,
	list []any,
	scope Scope,
	key []any,
) ([]boundValue, error) {
	if len(list) == 0 {
		return nil, nil
	}
	if binding != nil && binding.ItemSeparator != nil {
		texts := make([]string, len(list))
		for i, item := range list {
			texts[i] = argumentText(item)
		}
		return []boundValue{{key, binding.join(strings.Join(texts, *binding.ItemSeparator))}}, nil
	}
	if binding == nil && t.Binding == nil && !t.hasNestedBinding() {
		return nil, nil
	}
	parts := binding.prefixPart(key)
	itemType := t.Items
	if itemType == nil {
		itemType = &Type{Kind: KindAny}
	}
	itemBinding := t.Binding
	if itemBinding == nil && binding != nil {
		itemBinding = &Binding{}
	}
	for i, item := range list {
		bound, err := n.bind(ctx, itemBinding, itemType, item, scope, slices.Concat(key, []any{i}))
		if err != nil {
			return nil, fmt.Errorf("[%d]: %w", i, err)
		}
		parts = append(parts, bound...)
	}
	return parts, nil
}

// prefixPart returns the prefix as a separate part, or nil if there is no prefix. The receiver
// may be nil.
func (b *Binding) prefixPart(key []any) []boundValue {
	if b == nil || b.Prefix == "" {
		return nil
	}
	return []boundValue{{key, []string{b.Prefix}}}
}

// hasNestedBinding reports whether the type, or any type nested in it, has its own binding.
func (t *Type) hasNestedBinding() bool {
	switch t.Kind {
	case KindArray:
		return t.Binding != nil || t.Items.hasNestedBinding()
	case KindRecord:
		return t.Binding != nil ||
			slices.ContainsFunc(t.Fields, func(f Field) bool { return f.Binding != nil || f.Type.hasNestedBinding() })
	case KindUnion:
		return slices.ContainsFunc(t.Union, (*Type).hasNestedBinding)
	}
	return false
}

// bindRecord returns the arguments for a record: the prefix followed by the arguments of each field.
func (n *Requirements) bindRecord(
	ctx context.Context,
	binding *Binding,
	t *Type,
	record map[string]any,
	scope Scope,
	key []any,
) ([]boundValue, error) {
	parts := binding.prefixPart(key)
	for _, field := range t.Fields {
		bound, err := n.bind(ctx, field.Binding, field.Type, record[field.Name], scope, slices.Concat(key, []any{field.Name}))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", field.Name, err)
		}
		parts = append(parts, bound...)
	}
	return parts, nil
}

// argumentText returns a value as a command-line argument. Files and directories become their path.
func argumentText(v any) string {
	switch x := v.(type) {
	case string:
		return x
	case int64:
		return strconv.FormatInt(x, 10)
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(x)
	case map[string]any:
		p, _ := x["path"].(string)
		return p
	}
	return fmt.Sprint(v)
}

// workFiles returns the files that InitialWorkDirRequirement places in the working directory.
func (p *Process) workFiles(ctx context.Context, scope Scope) ([]WorkFile, error) {
	workDir := p.Requirements.WorkDir
	if workDir == nil {
		return nil, nil
	}
	if workDir.Listing != "" {
		listing, err := p.Requirements.Eval(ctx, workDir.Listing, scope)
		if err != nil {
			return nil, err
		}
		list, ok := listing.([]any)
		if !ok {
			return nil, fmt.Errorf("InitialWorkDirRequirement: expected a list, found %s", describeValue(listing))
		}
		return listedWorkFiles(list, false)
	}
	var files []WorkFile
	for _, entry := range workDir.Entries {
		name, err := p.Requirements.EvalString(ctx, entry.Name, scope)
		if err != nil {
			return nil, err
		}
		value, err := p.Requirements.Eval(ctx, entry.Entry, scope)
		if err != nil {
			return nil, err
		}
		entryFiles, err := entryWorkFiles(value, name, entry.Writable)
		if err != nil {
			return nil, err
		}
		files = append(files, entryFiles...)
	}
	return files, nil
}

// listedWorkFiles returns the files and directories of a list under their own names. Null items
// are skipped.
func listedWorkFiles(list []any, writable bool) ([]WorkFile, error) {
	var files []WorkFile
	for _, item := range list {
		if classOf(item) == "" && item != nil {
			return nil, fmt.Errorf("InitialWorkDirRequirement: expected files, found %s", describeValue(item))
		}
		if file, ok := item.(map[string]any); ok {
			files = append(files, WorkFile{Name: baseName(file), From: file, Writable: writable})
		}
	}
	return files, nil
}

// entryWorkFiles returns the files for one evaluated entry. name is its entryname; it is empty
// for a list of files, or for a file that keeps its own name.
func entryWorkFiles(value any, name string, writable bool) ([]WorkFile, error) {
	if list, ok := value.([]any); ok && name == "" {
		return listedWorkFiles(list, writable)
	}
	file := WorkFile{Name: name, Writable: writable}
	switch x := value.(type) {
	case nil:
		return nil, nil
	case string:
		if name == "" {
			return nil, fmt.Errorf("InitialWorkDirRequirement: entryname is required for a string entry")
		}
		file.Contents = x
	case map[string]any:
		if classOf(x) == "" {
			file.Contents = jsonText(x)
		} else {
			file.From = x
			file.Name = cmp.Or(name, baseName(x))
		}
	default:
		file.Contents = jsonText(value)
	}
	if !isLocalPath(file.Name) || file.Name == "" {
		return nil, fmt.Errorf("InitialWorkDirRequirement: %q is not a name in the working directory", file.Name)
	}
	return []WorkFile{file}, nil
}

// baseName returns the base name of a File or Directory object.
func baseName(file map[string]any) string {
	if name, _ := file["basename"].(string); name != "" {
		return name
	}
	location, _ := file["path"].(string)
	if location == "" {
		location, _ = file["location"].(string)
	}
	return path.Base(location)
}
