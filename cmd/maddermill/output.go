package main

import (
	"fmt"
	"io"
	"strings"
)

// printf writes to a command's output. Like most uses of fmt.Printf, it ignores write errors: there is
// no other output to report them on.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// printLine writes its arguments as a line to a command's output. Like printf it ignores write errors.
func printLine(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }

// oneLine returns the message of an error as one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
