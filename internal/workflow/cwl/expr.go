package cwl

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/dop251/goja"
)

// Scope holds the variables that expressions can refer to ("Runtime environment", "Expressions").
type Scope struct {
	Inputs  map[string]any
	Self    any
	Runtime map[string]any
}

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
