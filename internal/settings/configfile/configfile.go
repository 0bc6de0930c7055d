// Package configfile has helpers for reading the operators' topology and deadline files, which are in
// protobuf text format. Line, Fields and FieldError locate errors by the line of a field, Read adds the
// file name to errors, and Follow watches a file for changes.
package configfile

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/protocolbuffers/txtpbfmt/ast"
)

// Line returns the line number of a field. The field's node starts at the comments before it, which are
// skipped.
func Line(n *ast.Node) int { return int(n.Start.Line) + len(n.PreComments) }

// Fields returns the fields of a message that have the given name, in order. A repeated field written as a
// list counts once per element: for a list of messages, each element's node is returned, for a list of
// scalars, the list's node is returned once per element.
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

// FieldError returns an error with the name of a field and a formatted reason, preceded by the field's line
// unless n is nil.
func FieldError(n *ast.Node, field, format string, args ...any) error {
	line := ""
	if n != nil {
		line = fmt.Sprintf("line %d: ", Line(n))
	}
	return fmt.Errorf("%s%s: %s", line, field, fmt.Sprintf(format, args...))
}

// Read reads and parses a file. An error from parse is wrapped so that each line of its message starts with
// the file name.
func Read[T any](path string, parse func([]byte) (T, error)) (T, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, err
	}
	parsed, err := parse(content)
	if err != nil {
		err = &fileError{path, err}
	}
	return parsed, err
}

// fileError is a parse error of a file, which may have several lines.
type fileError struct {
	path string
	err  error
}

func (e *fileError) Error() string {
	return e.path + ": " + strings.ReplaceAll(e.err.Error(), "\n", "\n"+e.path+": ")
}

func (e *fileError) Unwrap() error { return e.err }

// pollInterval is the time between Follow's checks of a file.
const pollInterval = 2 * time.Second

// Follow polls a file and calls changed whenever the file has changed since the last check or reload
// receives a signal. It returns ctx.Err() when ctx is done.
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

// fingerprint returns a string that changes with the modification time, mode or size of a file, and when
// the file becomes unreadable or readable.
func fingerprint(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime(), info.Mode(), info.Size())
}
