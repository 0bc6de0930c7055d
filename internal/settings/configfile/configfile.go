// Package configfile is for files in which operators declare things, in protobuf text format: where
// a field stands, so that mistakes can be told with their line, errors that name the file, and
// reading a file again when it changes.
package configfile

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/protocolbuffers/txtpbfmt/ast"
)

// Line is the line of a field itself: a node begins with its comments.
func Line(n *ast.Node) int { return int(n.Start.Line) + len(n.PreComments) }

// Fields lists a message's fields of a name, in order: an element of a repeated field
// written as a list is one too.
func Fields(nodes []*ast.Node, name string) []*ast.Node {
	var out []*ast.Node
	for _, n := range nodes {
		switch {
		case n.Name != name:
		case n.ChildrenAsList:
			out = append(out, n.Children...)
		case len(n.Values) > 1:
			for range n.Values {
				out = append(out, n)
			}
		default:
			out = append(out, n)
		}
	}
	return out
}

// FieldError is what is wrong with a field, with its line if its node is known.
func FieldError(n *ast.Node, field, format string, args ...any) error {
	line := ""
	if n != nil {
		line = fmt.Sprintf("line %d: ", Line(n))
	}
	return fmt.Errorf("%s%s: %s", line, field, fmt.Sprintf(format, args...))
}

// Read reads a file and has it parsed. An error names the file in each of its lines.
func Read[T any](path string, parse func([]byte) (T, error)) (T, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	t, err := parse(b)
	if err != nil {
		err = &fileError{path, err}
	}
	return t, err
}

type fileError struct {
	path string
	err  error
}

func (e *fileError) Error() string {
	return e.path + ": " + strings.ReplaceAll(e.err.Error(), "\n", "\n"+e.path+": ")
}
func (e *fileError) Unwrap() error { return e.err }

// lookEvery is how often a file is looked at.
const lookEvery = 2 * time.Second

// Follow calls changed whenever the file is another than before, or again says so, until ctx ends.
func Follow(ctx context.Context, path string, again <-chan os.Signal, changed func()) error {
	last := stamp(path)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		told := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again:
			told = true
		case <-tick.C:
		}
		if now := stamp(path); now != last || told {
			last = now
			changed()
		}
	}
}

func stamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime(), info.Mode(), info.Size())
}
