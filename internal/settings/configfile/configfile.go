// Package configfile helps to read the files in which operators declare the topology and deadlines,
// in protobuf text format. Line, Fields and FieldError report mistakes with the line of a field, Read
// adds the file's name to errors, and Follow reports when a file changes.
package configfile

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/protocolbuffers/txtpbfmt/ast"
)

// Line returns the line of a field itself: its node starts with the comments before it.
func Line(n *ast.Node) int { return int(n.Start.Line) + len(n.PreComments) }

// Fields returns the fields of a message with a name, in order. An element of a repeated field that is
// written as a list is a field of its own; for a list of scalars, it is the node of the list.
func Fields(nodes []*ast.Node, name string) []*ast.Node {
	var fields []*ast.Node
	for _, n := range nodes {
		switch {
		case n.Name != name:
		case n.ChildrenAsList:
			fields = append(fields, n.Children...)
		case len(n.Values) > 1:
			for range n.Values {
				fields = append(fields, n)
			}
		default:
			fields = append(fields, n)
		}
	}
	return fields
}

// FieldError returns an error that names a field and the reason, and its line unless n is nil.
func FieldError(n *ast.Node, field, format string, args ...any) error {
	line := ""
	if n != nil {
		line = fmt.Sprintf("line %d: ", Line(n))
	}
	return fmt.Errorf("%s%s: %s", line, field, fmt.Sprintf(format, args...))
}

// Read reads a file and parses it. An error of parse gets the file's name in front of each of its lines
// and wraps the original.
func Read[T any](path string, parse func([]byte) (T, error)) (T, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	parsed, err := parse(content)
	if err != nil {
		err = &fileError{path, err}
	}
	return parsed, err
}

// fileError is an error of a file's content.
type fileError struct {
	path string
	err  error
}

func (e *fileError) Error() string {
	return e.path + ": " + strings.ReplaceAll(e.err.Error(), "\n", "\n"+e.path+": ")
}

func (e *fileError) Unwrap() error { return e.err }

// pollInterval is how often Follow checks a file.
const pollInterval = 2 * time.Second

// Follow calls changed whenever the file has changed since the last check, or reload receives a signal,
// until ctx ends. It returns the error of ctx.
func Follow(ctx context.Context, path string, reload <-chan os.Signal, changed func()) error {
	last := fingerprint(path)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reload:
			forced = true
		case <-tick.C:
		}
		if now := fingerprint(path); now != last || forced {
			last = now
			changed()
		}
	}
}

// fingerprint returns a string that differs when a file was changed, replaced by a file of another time
// or size, or became unreadable.
func fingerprint(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime(), info.Mode(), info.Size())
}
