package cwl

import (
	"fmt"
	"strconv"
	"strings"
)

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
