// Package cwl reads, checks and evaluates workflows in the Common Workflow Language,
// version 1.2: documents, types, expressions, command lines, outputs, and which steps of a
// workflow are ready to run. Headings named in comments are those of the published standard.
//
// Load reads a Bundle of documents into a Process and reports all Problems of it at once,
// each with its file, line, field and reason. Process.ReadInputs reads inputs for it, and
// Start begins a Run: Run.Ready returns tasks, Run.Finish takes their results, and Run.Over
// returns the outputs. Process.Command builds the command line of a task and Process.Collect
// finds its outputs in a Dir.
//
// The package executes no tool, reads no file outside the bundle, stores nothing and must not
// depend on the controller. Documents and expressions come from users: their size, nesting,
// time and memory are limited, and expressions can't change the values that they are given.
//
// No function assigns to the fields of a Process after Load. A Run belongs to one goroutine at
// a time; there are no locks in the package.
package cwl
