package cwl

import (
	"bytes"
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

// Scope holds the variables that expressions can refer to ("Runtime environment", "Expressions").
type Scope struct {
	Inputs  map[string]any
	Self    any
	Runtime map[string]any
}

// Limits for one evaluation. Memory is measured as the growth of the heap of the whole Go
// process during the evaluation, in bytes, sampled every few milliseconds: it stops runaway
// expressions and is not exact.
const (
	maxExprTime   = 2 * time.Second
	maxExprMemory = 64 << 20
	maxExprStack  = 512
	maxExprResult = 1 << 20 // in bytes, encoded as JSON
)

// Errors for expressions that exceed a limit. They are returned wrapped with the expression.
var (
	ErrExprTime   = errors.New("the expression takes too long")
	ErrExprMemory = errors.New("the expression takes too much memory")
	ErrExprSize   = errors.New("the expression's result is too large")
)

// segment is a part of a string with expressions: literal text or an expression.
type segment struct {
	text string
	expr string // with its brackets, without the "$"
	body bool   // a function body: "${...}"
}

// splitExpressions splits a string into literal text and expressions. A backslash escapes "$("
// and "${", and "\\" stands for one backslash ("Parameter references").
func splitExpressions(s string) ([]segment, error) {
	var out []segment
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
			n, err := bracketedLength(rest[1:])
			if err != nil {
				return nil, err
			}
			if lit.Len() > 0 {
				out = append(out, segment{text: lit.String()})
				lit.Reset()
			}
			out = append(out, segment{expr: rest[1 : 1+n], body: rest[1] == '{'})
			i += 1 + n
		default:
			lit.WriteByte(s[i])
			i++
		}
	}
	if lit.Len() > 0 {
		out = append(out, segment{text: lit.String()})
	}
	return out, nil
}

// bracketedLength returns the length of the bracketed expression at the start of s, up to and
// including the matching closing bracket. Brackets in string literals and comments are ignored.
func bracketedLength(s string) (int, error) {
	var open []byte
	for i := 0; i < len(s); i++ {
		switch c := s[i]; c {
		case '(', '[', '{':
			open = append(open, c)
		case ')', ']', '}':
			if len(open) == 0 || open[len(open)-1] != openingBracket[c] {
				return 0, fmt.Errorf("the brackets of the expression %q don't match", truncate(s))
			}
			if open = open[:len(open)-1]; len(open) == 0 {
				return i + 1, nil
			}
		case '\'', '"', '`':
			i = endOfString(s, i)
		case '/':
			end, ok := endOfComment(s, i)
			if !ok {
				return 0, fmt.Errorf("unterminated comment in the expression %q", truncate(s))
			}
			i = end
		}
	}
	return 0, fmt.Errorf("the expression %q does not end", truncate(s))
}

// openingBracket maps each closing bracket to its opening bracket.
var openingBracket = map[byte]byte{')': '(', ']': '[', '}': '{'}

// endOfString returns the index of the closing quote of the JavaScript string whose opening
// quote is at start. If the string is unterminated, the index is at or past the end of s.
func endOfString(s string, start int) int {
	quote, i := s[start], start+1
	for ; i < len(s) && s[i] != quote; i++ {
		if s[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the index of the last byte of the comment that starts with the slash at
// start: the line break, or the slash of the closing "*/". If the slash does not start a
// comment, it returns start. It returns false if the comment is unterminated.
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

// HasExpression reports whether a string may contain expressions. It does not consider escapes.
func HasExpression(s string) bool { return strings.Contains(s, "$(") || strings.Contains(s, "${") }

// CheckSyntax checks the syntax of the expressions in a string without evaluating them.
func CheckSyntax(s string, javascript bool) error {
	if !HasExpression(s) {
		return nil
	}
	segments, err := splitExpressions(s)
	if err != nil {
		return err
	}
	for _, p := range segments {
		switch {
		case p.expr == "":
		case javascript:
			if _, err := goja.Compile("", javaScriptSource(p), true); err != nil {
				return fmt.Errorf("%q is not JavaScript: %w", truncate(p.expr), err)
			}
		case p.body:
			return fmt.Errorf("%q uses JavaScript without InlineJavascriptRequirement", truncate(p.expr))
		default:
			if _, err := parseReference(p.expr); err != nil {
				return err
			}
		}
	}
	return nil
}

// javaScriptSource returns the source code of an expression, with a function body wrapped in a call.
func javaScriptSource(p segment) string {
	if p.body {
		return "(function()" + p.expr + ")()"
	}
	return p.expr
}

// Eval evaluates the expressions in a string. If the string consists of a single expression, the
// result is its value. Otherwise the result is a string in which each expression is replaced by
// its value, encoded as JSON unless it is a string itself.
func (n *Requirements) Eval(ctx context.Context, s string, scope Scope) (any, error) {
	if !HasExpression(s) {
		return s, nil
	}
	segments, err := splitExpressions(s)
	if err != nil {
		return nil, err
	}
	if trimmed := strings.TrimSpace(s); len(segments) > 1 && trimmed != s {
		if single, err := splitExpressions(trimmed); err == nil && len(single) == 1 && single[0].expr != "" {
			segments = single // whitespace around a single expression does not turn its value into a string
		}
	}
	if len(segments) == 1 && segments[0].expr != "" {
		return n.evalExpression(ctx, segments[0], scope)
	}
	var b strings.Builder
	for _, p := range segments {
		if p.expr == "" {
			b.WriteString(p.text)
			continue
		}
		v, err := n.evalExpression(ctx, p, scope)
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

// EvalString evaluates the expressions in a string and requires the result to be a string.
func (n *Requirements) EvalString(ctx context.Context, s string, scope Scope) (string, error) {
	v, err := n.Eval(ctx, s, scope)
	if err != nil {
		return "", err
	}
	text, ok := v.(string)
	if !ok {
		return "", fmt.Errorf("%q: expected a string, found %s", truncate(s), describeValue(v))
	}
	return text, nil
}

// EvalNumber evaluates the expressions in a string and requires the result to be a number or
// a string that holds one. It returns fallback if the string is empty or the result is null.
func (n *Requirements) EvalNumber(ctx context.Context, s string, scope Scope, fallback float64) (float64, error) {
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
	return 0, fmt.Errorf("%q: expected a number, found %s", truncate(s), describeValue(v))
}

// evalExpression evaluates one expression: as a parameter reference if possible, otherwise as
// JavaScript.
func (n *Requirements) evalExpression(ctx context.Context, p segment, scope Scope) (any, error) {
	if !p.body {
		if path, err := parseReference(p.expr); err == nil {
			v, err := path.evaluate(scope)
			if err == nil || n.JavaScript == nil {
				return v, err
			}
		} else if n.JavaScript == nil {
			return nil, err
		}
	}
	if n.JavaScript == nil {
		return nil, fmt.Errorf("%q uses JavaScript without InlineJavascriptRequirement", truncate(p.expr))
	}
	return n.JavaScript.run(ctx, p, scope)
}

// reference is a parsed parameter reference: a root variable and the selectors applied to it.
type reference struct {
	text string
	root string
	path []any // selectors: a string is a field name, an int is a list index
}

// parseReference parses a parameter reference such as "(inputs.reads[0]['left file'].size)"
// ("Parameter references").
func parseReference(expr string) (*reference, error) {
	invalid := fmt.Errorf(
		"%q is not a parameter reference, and there is no InlineJavascriptRequirement",
		truncate("$"+expr),
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
		selector, remainder, ok := cutSelector(rest)
		if !ok {
			return nil, invalid
		}
		parsed.path = append(parsed.path, selector)
		rest = remainder
	}
	if parsed.root == "null" && len(parsed.path) > 0 {
		return nil, invalid
	}
	return parsed, nil
}

// cutIdentifier returns the identifier at the start of s, "" if there is none, and the rest of s.
func cutIdentifier(s string) (identifier, rest string) {
	i := 0
	for i < len(s) && isIdentifierByte(s[i]) {
		i++
	}
	return s[:i], s[i:]
}

// isIdentifierByte reports whether a byte may be part of an identifier. All bytes of non-ASCII
// characters are accepted.
func isIdentifierByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c >= 0x80
}

// cutSelector returns the selector at the start of s and the rest of s. The selector is a string
// for ".name" and "['name']", and an int for "[0]". It returns false if there is no valid
// selector. s must not be empty.
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

// cutQuotedSelector returns the name in a selector such as "['left file']" and the rest of s. A
// backslash in the name escapes the byte that follows it.
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

// evaluate returns the value that the reference selects from a scope.
func (r *reference) evaluate(scope Scope) (any, error) {
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
			return nil, fmt.Errorf("%q: %s has no %v", "$"+r.text, describeValue(value), selector)
		}
	}
	return value, nil
}

// selectInList returns an element of a list, or the length of the list if the selector is
// "length" and the last one of the reference.
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

// run evaluates JavaScript in a new runtime without I/O, limiting time, memory, stack depth and
// the size of the result.
func (j *JavaScript) run(ctx context.Context, p segment, scope Scope) (any, error) {
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
	stop := enforceLimits(ctx, vm)
	defer stop()
	for _, lib := range j.Lib {
		if _, err := vm.RunString(lib); err != nil {
			return nil, exprError(p, err)
		}
	}
	v, err := vm.RunString(javaScriptSource(p))
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
		return nil, fmt.Errorf("%q: %w", truncate(p.expr), ErrExprSize)
	}
	return fromJSON([]byte(text.String()))
}

// exprError wraps an error of the JavaScript runtime with the expression. An interrupt is
// replaced by its cause.
func exprError(p segment, err error) error {
	var stopped *goja.InterruptedError
	if errors.As(err, &stopped) {
		if cause, ok := stopped.Value().(error); ok {
			err = cause
		}
	}
	return fmt.Errorf("%q: %w", truncate("$"+p.expr), err)
}

const heapMetric = "/memory/classes/heap/objects:bytes"

// heapBytes returns the size of the live and not yet swept heap objects, in bytes.
func heapBytes() uint64 {
	s := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// enforceLimits interrupts a runtime that exceeds its time or memory limit, or whose context
// ends. It monitors the runtime until stop is called; stop may be called more than once.
func enforceLimits(ctx context.Context, vm *goja.Runtime) (stop func()) {
	done := make(chan struct{})
	started, before := time.Now(), heapBytes()
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
				if now := heapBytes(); now > before+maxExprMemory {
					vm.Interrupt(ErrExprMemory)
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// toJS copies a value into a runtime, so that expressions can't modify the original.
func toJS(vm *goja.Runtime, v any) (goja.Value, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	parse, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get("parse"))
	return parse(goja.Undefined(), vm.ToValue(string(b)))
}

// fromJSON decodes a JSON value, with integers as int64.
func fromJSON(b []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(b)) //nolint:forbidigo // values have no fields, and need exact numbers
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return NormalizeNumbers(v), nil
}

// NormalizeNumbers converts the numbers in a decoded JSON value: integers to int64, others to float64.
// Lists and maps are modified in place.
func NormalizeNumbers(v any) any {
	switch x := v.(type) {
	case json.Number:
		if i, err := x.Int64(); err == nil {
			return i
		}
		f, _ := x.Float64()
		return NormalizeNumbers(f)
	case float64:
		if x == math.Trunc(x) && math.Abs(x) < 1<<53 {
			return int64(x)
		}
	case []any:
		for i := range x {
			x[i] = NormalizeNumbers(x[i])
		}
	case map[string]any:
		for k := range x {
			x[k] = NormalizeNumbers(x[k])
		}
	}
	return v
}
