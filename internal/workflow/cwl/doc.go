// Package cwl reads, checks and evaluates workflows in the Common Workflow Language,
// version 1.2: documents, types, expressions, command lines, outputs, and the scheduling of
// workflow steps. Section headings quoted in comments are those of the published standard.
//
// Load parses a Bundle of documents into a Process and reports all Problems at once, each with
// its file, line, field and reason. Process.ReadInputs parses the inputs of a process, and Start
// begins a Run: Run.Ready returns tasks, Run.Finish records their results, and Run.Result
// returns the outputs. Process.Command builds the command line of a task, and
// Process.CollectOutputs finds its outputs in a Dir.
//
// The package executes no tools, reads no files outside the bundle, persists nothing and must
// not depend on the controller. Documents and expressions are untrusted user input: their size,
// nesting depth, evaluation time and memory are limited, and expressions can't modify the values
// that they are given.
//
// A Process is not modified after Load. A Run must be used by one goroutine at a time; the
// package uses no locks.
package cwl
