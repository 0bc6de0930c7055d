package main

import (
	"fmt"
	"io"
	"strings"
)

// printf writes to a command's output. As with fmt.Printf on standard output, a failure to write is
// ignored: there is nobody left to report it to.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// printLine writes its arguments as a line to a command's output, as printf does.
func printLine(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }

// oneLine returns the text of an error on one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
