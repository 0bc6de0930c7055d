package cwl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dop251/goja"
)

// Scope holds the values that expressions can refer to ("Runtime environment", "Expressions").
type Scope struct {
	Inputs  map[string]any
	Self    any
	Runtime map[string]any
}

// Limits of one evaluation. Memory is the growth of the whole process's heap meanwhile, in
// bytes, sampled every few milliseconds: it stops runaway expressions and is not exact.
const (
	maxExprTime   = 2 * time.Second
	maxExprMemory = 64 << 20
	maxExprStack  = 512
	maxExprResult = 1 << 20 // bytes, as JSON
)

// Errors of expressions that exceed a limit. They are wrapped with the expression.
var (
	ErrExprTime   = errors.New("the expression takes too long")
	ErrExprMemory = errors.New("the expression takes too much memory")
	ErrExprSize   = errors.New("the expression's result is too large")
)

// piece is a part of a text: as it stands, or an expression.
type piece struct {
	text string
	expr string // with its brackets
	body bool   // "${...}"
}

// split finds the expressions in a text. A backslash before "$(" or "${" keeps them as
// they are, and one before a backslash before them is a backslash ("Parameter references").
func split(s string) ([]piece, error) {
	var out []piece
	var lit strings.Builder
	for i := 0; i < len(s); {
		rest := s[i:]
		switch {
		case strings.HasPrefix(rest, `\\`):
			lit.WriteByte('\\')
			i += 2
		case strings.HasPrefix(rest, `\$(`) || strings.HasPrefix(rest, `\${`):
			lit.WriteString(rest[1:3])
			i += 3
		case strings.HasPrefix(rest, "$(") || strings.HasPrefix(rest, "${"):
			n, err := closing(rest[1:])
			if err != nil {
				return nil, err
			}
			if lit.Len() > 0 {
				out = append(out, piece{text: lit.String()})
				lit.Reset()
			}
			out = append(out, piece{expr: rest[1 : 1+n], body: rest[1] == '{'})
			i += 1 + n
		default:
			lit.WriteByte(s[i])
			i++
		}
	}
	if lit.Len() > 0 {
		out = append(out, piece{text: lit.String()})
	}
	return out, nil
}

// closing returns the length of the bracketed part that a text begins with. Strings,
// comments and inner brackets are passed over.
func closing(s string) (int, error) {
	var open []byte
	for i := 0; i < len(s); i++ {
		switch c := s[i]; c {
		case '(', '[', '{':
			open = append(open, c)
		case ')', ']', '}':
			if len(open) == 0 || open[len(open)-1] != openingOf[c] {
				return 0, fmt.Errorf("the brackets of the expression %q don't match", shorten(s))
			}
			if open = open[:len(open)-1]; len(open) == 0 {
				return i + 1, nil
			}
		case '\'', '"', '`':
			i = endOfString(s, i)
		case '/':
			end, ok := endOfComment(s, i)
			if !ok {
				return 0, fmt.Errorf("a comment in the expression %q does not end", shorten(s))
			}
			i = end
		}
	}
	return 0, fmt.Errorf("the expression %q does not end", shorten(s))
}

// openingOf is the opening bracket of each closing one.
var openingOf = map[byte]byte{')': '(', ']': '[', '}': '{'}

// endOfString returns the index of the quote that ends the JavaScript string whose opening
// quote is at start, an index behind the text if there is none.
func endOfString(s string, start int) int {
	quote, i := s[start], start+1
	for ; i < len(s) && s[i] != quote; i++ {
		if s[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the index of the last byte of the comment that begins with the slash
// at start: the line's end, or the slash behind the star. A slash that begins no comment is
// its own end. It reports false if the comment does not end.
func endOfComment(s string, start int) (int, bool) {
	rest := s[start:]
	switch {
	case strings.HasPrefix(rest, "//"):
		if length := strings.IndexByte(rest, '\n'); length >= 0 {
			return start + length, true
		}
		return len(s), true
	case strings.HasPrefix(rest, "/*"):
		length := strings.Index(rest[2:], "*/")
		return start + length + 3, length >= 0
	}
	return start, true
}

// HasExpression reports whether a text has expressions in it.
func HasExpression(s string) bool { return strings.Contains(s, "$(") || strings.Contains(s, "${") }

// Syntax checks the expressions in a text without evaluating them.
func Syntax(s string, javascript bool) error {
	if !HasExpression(s) {
		return nil
	}
	pieces, err := split(s)
	if err != nil {
		return err
	}
	for _, p := range pieces {
		switch {
		case p.expr == "":
		case javascript:
			if _, err := goja.Compile("", program(p), true); err != nil {
				return fmt.Errorf("%q is not JavaScript: %w", shorten(p.expr), err)
			}
		case p.body:
			return fmt.Errorf("%q uses JavaScript without InlineJavascriptRequirement", shorten(p.expr))
		default:
			if _, err := parseReference(p.expr); err != nil {
				return err
			}
		}
	}
	return nil
}

// program returns the JavaScript text of an expression: a value, or a function's body.
func program(p piece) string {
	if p.body {
		return "(function()" + p.expr + ")()"
	}
	return p.expr
}

// Eval evaluates the expressions in a text. A text that is one expression has its value;
// one with others around it is a string, with values in it as JSON where they are no
// strings. Without expressions it is the text.
func (n *Needs) Eval(ctx context.Context, s string, scope Scope) (any, error) {
	if !HasExpression(s) {
		return s, nil
	}
	pieces, err := split(s)
	if err != nil {
		return nil, err
	}
	if trimmed := strings.TrimSpace(s); len(pieces) > 1 && trimmed != s {
		if alone, err := split(trimmed); err == nil && len(alone) == 1 && alone[0].expr != "" {
			pieces = alone // white space around one expression does not make it a string
		}
	}
	if len(pieces) == 1 && pieces[0].expr != "" {
		return n.evalOne(ctx, pieces[0], scope)
	}
	var b strings.Builder
	for _, p := range pieces {
		if p.expr == "" {
			b.WriteString(p.text)
			continue
		}
		v, err := n.evalOne(ctx, p, scope)
		if err != nil {
			return nil, err
		}
		if text, ok := v.(string); ok {
			b.WriteString(text)
			continue
		}
		j, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		b.Write(j)
	}
	return b.String(), nil
}

// EvalText evaluates a text that must become a string.
func (n *Needs) EvalText(ctx context.Context, s string, scope Scope) (string, error) {
	v, err := n.Eval(ctx, s, scope)
	if err != nil {
		return "", err
	}
	text, ok := v.(string)
	if !ok {
		return "", fmt.Errorf("%q: expected a string, found %s", shorten(s), describe(v))
	}
	return text, nil
}

// EvalNumber evaluates a text that must become a number; otherwise is for an empty one.
func (n *Needs) EvalNumber(ctx context.Context, s string, scope Scope, fallback float64) (float64, error) {
	if s == "" {
		return fallback, nil
	}
	v, err := n.Eval(ctx, s, scope)
	if err != nil {
		return 0, err
	}
	switch x := v.(type) {
	case int64:
		return float64(x), nil
	case float64:
		return x, nil
	case string:
		if f, err := strconv.ParseFloat(x, 64); err == nil && !math.IsInf(f, 0) && !math.IsNaN(f) {
			return f, nil
		}
	case nil:
		return fallback, nil
	}
	return 0, fmt.Errorf("%q: expected a number, found %s", shorten(s), describe(v))
}

// evalOne evaluates one expression: as a parameter reference if it is one, else as JavaScript.
func (n *Needs) evalOne(ctx context.Context, p piece, scope Scope) (any, error) {
	if !p.body {
		if path, err := parseReference(p.expr); err == nil {
			v, err := path.follow(scope)
			if err == nil || n.JavaScript == nil {
				return v, err
			}
		} else if n.JavaScript == nil {
			return nil, err
		}
	}
	if n.JavaScript == nil {
		return nil, fmt.Errorf("%q uses JavaScript without InlineJavascriptRequirement", shorten(p.expr))
	}
	return n.JavaScript.run(ctx, p, scope)
}

// reference is a parameter reference: a root and what is selected in it.
type reference struct {
	text string
	root string
	path []any // string: a field, int: an index
}

// parseReference reads "(inputs.reads[0]['left file'].size)" ("Parameter references").
func parseReference(expr string) (*reference, error) {
	invalid := fmt.Errorf(
		"%q is not a parameter reference, and there is no InlineJavascriptRequirement",
		shorten("$"+expr),
	)
	rest := strings.TrimSpace(strings.TrimSuffix(strings.TrimPrefix(expr, "("), ")"))
	root, rest := cutIdentifier(rest)
	switch root {
	case "inputs", "self", "runtime", "null":
	default:
		return nil, invalid
	}
	parsed := &reference{text: expr, root: root}
	for rest != "" {
		selector, behind, ok := cutSelector(rest)
		if !ok {
			return nil, invalid
		}
		parsed.path = append(parsed.path, selector)
		rest = behind
	}
	if parsed.root == "null" && len(parsed.path) > 0 {
		return nil, invalid
	}
	return parsed, nil
}

// cutIdentifier returns the identifier that a text begins with, "" if there is none, and
// what is behind it.
func cutIdentifier(s string) (identifier, rest string) {
	i := 0
	for i < len(s) && isIdentifierByte(s[i]) {
		i++
	}
	return s[:i], s[i:]
}

// isIdentifierByte reports whether a byte may be in an identifier. Any part of a character
// outside ASCII may.
func isIdentifierByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c >= 0x80
}

// cutSelector returns the selector that a text begins with, and what is behind it. ".name"
// and "['name']" are a string, "[0]" is an int. It reports false if there is no selector.
// The text must not be empty.
func cutSelector(s string) (selector any, rest string, ok bool) {
	switch {
	case s[0] == '.':
		identifier, rest := cutIdentifier(s[1:])
		return identifier, rest, identifier != ""
	case len(s) > 1 && s[0] == '[' && (s[1] == '\'' || s[1] == '"'):
		return cutQuotedSelector(s)
	case s[0] == '[':
		digits, rest, closed := strings.Cut(s[1:], "]")
		index, err := strconv.Atoi(digits)
		return index, rest, closed && err == nil && index >= 0
	}
	return nil, "", false
}

// cutQuotedSelector returns the name in a selector such as "['left file']", with a backslash
// before a byte that stands for itself, and what is behind the selector.
func cutQuotedSelector(s string) (selector, rest string, ok bool) {
	quote := s[1]
	var b strings.Builder
	i := 2
	for ; i < len(s) && s[i] != quote; i++ {
		if s[i] == '\\' && i+1 < len(s) {
			i++
		}
		b.WriteByte(s[i])
	}
	rest, ok = strings.CutPrefix(s[min(i, len(s)):], string(quote)+"]")
	return b.String(), rest, ok
}

// follow returns the value that the reference selects in a scope.
func (r *reference) follow(scope Scope) (any, error) {
	var value any
	switch r.root {
	case "inputs":
		value = scope.Inputs
	case "self":
		value = scope.Self
	case "runtime":
		value = scope.Runtime
	}
	for i, selector := range r.path {
		var err error
		switch x := value.(type) {
		case map[string]any:
			key, isName := selector.(string)
			next, exists := x[key]
			if !isName || !exists {
				return nil, fmt.Errorf("%q: there is no %v", "$"+r.text, selector)
			}
			value = next
		case []any:
			isLast := i == len(r.path)-1
			if value, err = r.selectInList(x, selector, isLast); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("%q: %s has no %v", "$"+r.text, describe(value), selector)
		}
	}
	return value, nil
}

// selectInList returns an element of a list, or its length where the selector "length" is
// the last.
func (r *reference) selectInList(list []any, selector any, isLast bool) (any, error) {
	if index, ok := selector.(int); ok {
		if index >= len(list) {
			return nil, fmt.Errorf("%q: the list has %d elements", "$"+r.text, len(list))
		}
		return list[index], nil
	}
	if selector != "length" || !isLast {
		return nil, fmt.Errorf("%q: a list has no %v", "$"+r.text, selector)
	}
	return int64(len(list)), nil
}

// run evaluates JavaScript in a new runtime, without input or output, within the limits of
// time, memory, stack depth and result size.
func (j *JavaScript) run(ctx context.Context, p piece, scope Scope) (any, error) {
	vm := goja.New()
	vm.SetMaxCallStackSize(maxExprStack)
	for name, v := range map[string]any{"inputs": scope.Inputs, "self": scope.Self, "runtime": scope.Runtime} {
		x, err := toJS(vm, v)
		if err != nil {
			return nil, err
		}
		if err := vm.Set(name, x); err != nil {
			return nil, err
		}
	}
	stop := watch(ctx, vm)
	defer stop()
	for _, lib := range j.Lib {
		if _, err := vm.RunString(lib); err != nil {
			return nil, exprError(p, err)
		}
	}
	v, err := vm.RunString(program(p))
	if err != nil {
		return nil, exprError(p, err)
	}
	stringify, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get("stringify"))
	text, err := stringify(goja.Undefined(), v)
	if err != nil {
		return nil, exprError(p, err)
	}
	if goja.IsUndefined(text) {
		return nil, nil
	}
	if len(text.String()) > maxExprResult {
		return nil, fmt.Errorf("%q: %w", shorten(p.expr), ErrExprSize)
	}
	return fromJSON([]byte(text.String()))
}

// exprError adds the expression to an error of the JavaScript runtime. Of an interrupt it
// returns the cause.
func exprError(p piece, err error) error {
	var stopped *goja.InterruptedError
	if errors.As(err, &stopped) {
		if cause, ok := stopped.Value().(error); ok {
			err = cause
		}
	}
	return fmt.Errorf("%q: %w", shorten("$"+p.expr), err)
}

const heapMetric = "/memory/classes/heap/objects:bytes"

// heap returns how many bytes the live and the unswept objects of the heap take.
func heap() uint64 {
	s := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// watch interrupts a runtime that exceeds its limits of time and memory, or whose context
// ends, until stop is called. stop may be called more than once.
func watch(ctx context.Context, vm *goja.Runtime) (stop func()) {
	done := make(chan struct{})
	started, before := time.Now(), heap()
	go func() {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				vm.Interrupt(ctx.Err())
				return
			case <-tick.C:
				if time.Since(started) > maxExprTime {
					vm.Interrupt(ErrExprTime)
					return
				}
				if now := heap(); now > before+maxExprMemory {
					vm.Interrupt(ErrExprMemory)
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// toJS copies a value into a runtime, so that an expression can't change the original.
func toJS(vm *goja.Runtime, v any) (goja.Value, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	parse, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get("parse"))
	return parse(goja.Undefined(), vm.ToValue(string(b)))
}

// fromJSON reads a value from JSON, whole numbers as int64.
func fromJSON(b []byte) (any, error) {
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return Whole(v), nil
}

// Whole turns the whole numbers in a value read from JSON into int64, the others into float64.
// Lists and mappings are changed in place.
func Whole(v any) any {
	switch x := v.(type) {
	case json.Number:
		if i, err := x.Int64(); err == nil {
			return i
		}
		f, _ := x.Float64()
		return Whole(f)
	case float64:
		if x == math.Trunc(x) && math.Abs(x) < 1<<53 {
			return int64(x)
		}
	case []any:
		for i := range x {
			x[i] = Whole(x[i])
		}
	case map[string]any:
		for k := range x {
			x[k] = Whole(x[k])
		}
	}
	return v
}
