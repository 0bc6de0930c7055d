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

// Command is a tool's command line with what belongs to it, all expressions evaluated.
type Command struct {
	Args                  []string
	Stdin, Stdout, Stderr string // paths; the latter two relative to the working directory
	Env                   map[string]string
	Files                 []WorkFile // put into the working directory first
	Image                 string
	Cores, RAM            float64 // RAM in MiB
	Accelerators          float64
	TimeLimit             float64 // seconds, 0: none
}

// WorkFile is a file that a tool finds in its working directory.
type WorkFile struct {
	Name     string
	Contents string
	From     map[string]any // a File or Directory instead of contents
	Writable bool
}

// Defaults of ResourceRequirement.
const (
	defaultCores = 1
	defaultRAM   = 256 // MiB
)

// bound is a value with its place on the command line.
type bound struct {
	key  []any // ints and strings, as "Input binding" sorts them
	args []string
}

// Command builds the command line of a tool from its inputs, which Complete has checked
// ("Input binding").
func (p *Process) Command(ctx context.Context, inputs map[string]any, runtime map[string]any) (*Command, error) {
	n := &p.Needs
	sc := Scope{Inputs: inputs, Runtime: runtime}
	c := &Command{Env: map[string]string{}, Image: n.Image}
	var err error
	if c.Cores, c.RAM, c.Accelerators, err = p.Resources(ctx, inputs); err != nil {
		return nil, err
	}
	if c.TimeLimit, err = n.EvalNumber(ctx, n.TimeLimit, sc, 0); err != nil {
		return nil, err
	}
	if c.TimeLimit < 0 {
		return nil, fmt.Errorf("ToolTimeLimit: must not be below 0")
	}
	var parts []bound
	for i, a := range p.Tool.Arguments {
		if a.Binding == nil {
			text, err := n.EvalText(ctx, a.Text, sc)
			if err != nil {
				return nil, err
			}
			parts = append(parts, bound{[]any{0, i}, []string{text}})
			continue
		}
		b, err := n.bind(ctx, a.Binding, &Type{Kind: KindAny}, nil, sc, []any{i})
		if err != nil {
			return nil, err
		}
		parts = append(parts, b...)
	}
	for _, in := range p.Inputs {
		b, err := n.bind(ctx, in.Binding, in.Type, inputs[in.ID], sc, []any{in.ID})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", in.ID, err)
		}
		parts = append(parts, b...)
		if in.Stream == "stdin" {
			f, _ := inputs[in.ID].(map[string]any)
			c.Stdin, _ = f["path"].(string)
		}
	}
	slices.SortStableFunc(parts, func(a, b bound) int { return slices.CompareFunc(a.key, b.key, compareKeys) })
	c.Args = slices.Clone(p.Tool.Command)
	for _, b := range parts {
		c.Args = append(c.Args, b.args...)
	}
	for _, x := range []struct {
		text string
		to   *string
	}{{p.Tool.Stdin, &c.Stdin}, {p.Tool.Stdout, &c.Stdout}, {p.Tool.Stderr, &c.Stderr}} {
		if x.text == "" {
			continue
		}
		if *x.to, err = n.EvalText(ctx, x.text, sc); err != nil {
			return nil, err
		}
	}
	for _, o := range p.Outputs {
		for stream, to := range map[string]*string{"stdout": &c.Stdout, "stderr": &c.Stderr} {
			if o.Stream == stream && *to == "" {
				*to = stream + ".txt"
			}
		}
	}
	for _, name := range []string{c.Stdout, c.Stderr} {
		if name != "" && !localPath(name) {
			return nil, fmt.Errorf("%q leads out of the working directory", name)
		}
	}
	for _, e := range n.Env {
		if c.Env[e.Name], err = n.EvalText(ctx, e.Value, sc); err != nil {
			return nil, fmt.Errorf("EnvVarRequirement: %s: %w", e.Name, err)
		}
	}
	c.Files, err = p.workFiles(ctx, sc)
	return c, err
}

// localPath reports whether a relative path stays where it starts.
func localPath(name string) bool {
	clean := path.Clean(name)
	return !path.IsAbs(name) && clean != ".." && !strings.HasPrefix(clean, "../")
}

// compareKeys orders parts of sorting keys: numbers before names.
func compareKeys(a, b any) int {
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

// Resources are what an instance of a tool needs: cores, MiB and accelerators.
func (p *Process) Resources(
	ctx context.Context,
	inputs map[string]any,
) (cores, ram, accelerators float64, err error) {
	n, sc := &p.Needs, Scope{Inputs: inputs}
	least := func(field, lower, upper string, otherwise float64) float64 {
		low, e := n.EvalNumber(ctx, lower, sc, 0)
		high, e2 := n.EvalNumber(ctx, upper, sc, 0)
		if e = cmp.Or(e, e2); e != nil && err == nil {
			err = fmt.Errorf("ResourceRequirement: %s: %w", field, e)
		}
		switch {
		case low < 0 || high < 0 || upper != "" && lower != "" && high < low:
			if err == nil {
				err = fmt.Errorf("ResourceRequirement: %s: from %g to %g is no range", field, low, high)
			}
		case lower == "" && upper == "":
			return otherwise
		case lower == "":
			return min(otherwise, high)
		}
		return low
	}
	cores, ram = least(
		"cores",
		n.Resources.CoresMin,
		n.Resources.CoresMax,
		defaultCores,
	), least(
		"ram",
		n.Resources.RAMMin,
		n.Resources.RAMMax,
		defaultRAM,
	)
	accelerators, e := n.EvalNumber(ctx, n.Accelerator, sc, 0)
	return cores, ram, accelerators, cmp.Or(err, e)
}

// bind gives the arguments for one value, with their sorting keys.
func (n *Needs) bind(ctx context.Context, b *Binding, t *Type, v any, sc Scope, key []any) ([]bound, error) {
	pos := 0
	if b != nil {
		sc.Self = v
		if b.Position != "" {
			f, err := n.EvalNumber(ctx, b.Position, sc, 0)
			if err != nil {
				return nil, err
			}
			pos = int(f)
		}
		if b.ValueFrom != "" && (v != nil || len(key) == 1 && t.Kind == KindAny) {
			x, err := n.Eval(ctx, b.ValueFrom, sc)
			if err != nil {
				return nil, err
			}
			v, t = x, &Type{Kind: KindAny}
		}
	}
	key = slices.Concat(key[:len(key)-1], []any{pos, key[len(key)-1]})
	if v == nil {
		return nil, nil
	}
	t = t.of(v)
	if b == nil && t.Binding == nil && t.Kind != KindRecord && t.Kind != KindArray {
		return nil, nil
	}
	switch x := v.(type) {
	case []any:
		return n.bindList(ctx, b, t, x, sc, key)
	case map[string]any:
		if classOf(v) == "" {
			return n.bindRecord(ctx, b, t, x, sc, key)
		}
	}
	if b == nil {
		return nil, nil
	}
	if yes, ok := v.(bool); ok {
		if !yes || b.Prefix == "" {
			return nil, nil
		}
		return []bound{{key, []string{b.Prefix}}}, nil
	}
	return []bound{{key, b.join(textOf(v))}}, nil
}

// of is the alternative of a union that a value is of.
func (t *Type) of(v any) *Type {
	if t.Kind != KindUnion {
		return t
	}
	for _, u := range t.Union {
		if u.Check(v) == nil {
			return u
		}
	}
	return &Type{Kind: KindAny}
}

func (b *Binding) join(text string) []string {
	switch {
	case b.Prefix == "":
		return []string{text}
	case b.NoSeparate:
		return []string{b.Prefix + text}
	}
	return []string{b.Prefix, text}
}

func (n *Needs) bindList(ctx context.Context, b *Binding, t *Type, list []any, sc Scope, key []any) ([]bound, error) {
	if b != nil && b.ItemSeparator != nil {
		if len(list) == 0 {
			return nil, nil
		}
		texts := make([]string, len(list))
		for i, x := range list {
			texts[i] = textOf(x)
		}
		return []bound{{key, b.join(strings.Join(texts, *b.ItemSeparator))}}, nil
	}
	if len(list) == 0 || b == nil && t.Binding == nil && !t.bindsWithin() {
		return nil, nil
	}
	var out []bound
	if b != nil && b.Prefix != "" {
		out = append(out, bound{key, []string{b.Prefix}})
	}
	items := t.Items
	if items == nil {
		items = &Type{Kind: KindAny}
	}
	each := t.Binding
	if each == nil && b != nil {
		each = &Binding{}
	}
	for i, x := range list {
		parts, err := n.bind(ctx, each, items, x, sc, slices.Concat(key, []any{i}))
		if err != nil {
			return nil, fmt.Errorf("[%d]: %w", i, err)
		}
		out = append(out, parts...)
	}
	return out, nil
}

// bindsWithin reports whether something inside a type has a binding of its own.
func (t *Type) bindsWithin() bool {
	switch t.Kind {
	case KindArray:
		return t.Binding != nil || t.Items.bindsWithin()
	case KindRecord:
		return t.Binding != nil ||
			slices.ContainsFunc(t.Fields, func(f Field) bool { return f.Binding != nil || f.Type.bindsWithin() })
	case KindUnion:
		return slices.ContainsFunc(t.Union, (*Type).bindsWithin)
	}
	return false
}

func (n *Needs) bindRecord(
	ctx context.Context,
	b *Binding,
	t *Type,
	m map[string]any,
	sc Scope,
	key []any,
) ([]bound, error) {
	var out []bound
	if b != nil && b.Prefix != "" {
		out = append(out, bound{key, []string{b.Prefix}})
	}
	for _, f := range t.Fields {
		parts, err := n.bind(ctx, f.Binding, f.Type, m[f.Name], sc, slices.Concat(key, []any{f.Name}))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.Name, err)
		}
		out = append(out, parts...)
	}
	return out, nil
}

// textOf is a value as an argument.
func textOf(v any) string {
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

// workFiles are the entries of InitialWorkDirRequirement.
func (p *Process) workFiles(ctx context.Context, sc Scope) ([]WorkFile, error) {
	w := p.Needs.WorkDir
	if w == nil {
		return nil, nil
	}
	var out []WorkFile
	add := func(v any, name string, writable bool) error {
		if list, ok := v.([]any); ok && name == "" {
			for _, x := range list {
				if classOf(x) == "" && x != nil {
					return fmt.Errorf("InitialWorkDirRequirement: expected files, found %s", describe(x))
				}
				if f, ok := x.(map[string]any); ok {
					out = append(out, WorkFile{Name: baseName(f), From: f, Writable: writable})
				}
			}
			return nil
		}
		f := WorkFile{Name: name, Writable: writable}
		switch x := v.(type) {
		case nil:
			return nil
		case string:
			if name == "" {
				return fmt.Errorf("InitialWorkDirRequirement: entryname is missing for a text")
			}
			f.Contents = x
		case map[string]any:
			if classOf(x) == "" {
				f.Contents = jsonText(x)
			} else {
				f.From = x
				f.Name = cmp.Or(name, baseName(x))
			}
		default:
			f.Contents = jsonText(v)
		}
		if !localPath(f.Name) || f.Name == "" {
			return fmt.Errorf("InitialWorkDirRequirement: %q is not a name in the working directory", f.Name)
		}
		out = append(out, f)
		return nil
	}
	if w.Listing != "" {
		v, err := p.Needs.Eval(ctx, w.Listing, sc)
		if err != nil {
			return nil, err
		}
		if _, ok := v.([]any); !ok {
			return nil, fmt.Errorf("InitialWorkDirRequirement: expected a list, found %s", describe(v))
		}
		return out, add(v, "", false)
	}
	for _, d := range w.Entries {
		name, err := p.Needs.EvalText(ctx, d.Name, sc)
		if err != nil {
			return nil, err
		}
		v, err := p.Needs.Eval(ctx, d.Entry, sc)
		if err != nil {
			return nil, err
		}
		if err := add(v, name, d.Writable); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func baseName(f map[string]any) string {
	if b, _ := f["basename"].(string); b != "" {
		return b
	}
	p, _ := f["path"].(string)
	if p == "" {
		p, _ = f["location"].(string)
	}
	return path.Base(p)
}
