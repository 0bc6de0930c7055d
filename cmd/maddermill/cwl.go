package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/exactjson"
	"maddermill/internal/workflow/cwl"
	"maddermill/wire"
)

// cwlCommands implements the commands that validate, submit and monitor CWL workflows.
type cwlCommands struct{ server string }

// cwlCommand returns the cwl command.
func cwlCommand() *cobra.Command {
	c := &cwlCommands{}
	root := &cobra.Command{Use: "cwl", Short: "Validate, submit and monitor CWL workflows"}
	addServerFlag(root, &c.server)
	root.AddCommand(
		&cobra.Command{
			Use:   "validate FILE [INPUTS]",
			Short: "Validate a document and, if given, its inputs, and report all errors",
			Args:  cobra.RangeArgs(1, 2),
			RunE:  validateDocument,
		},
		&cobra.Command{
			Use:   "schema FILE",
			Short: "Print the JSON schema of a document's inputs",
			Args:  cobra.ExactArgs(1),
			RunE:  printSchema,
		},
		c.submitCommand(),
		c.watchCommand(),
		c.workflowCommand("status", "Print a workflow's state; its own controller also reports the steps", "GET", ""),
		c.workflowCommand("cancel", "Cancel a workflow", "POST", "/cancel"),
		c.workflowCommand("resume", "Resume a failed workflow from the point of failure", "POST", "/resume"),
	)
	return root
}

// validateDocument runs "cwl validate".
func validateDocument(cmd *cobra.Command, args []string) error {
	process, bundle, _, err := readProcess(cmd.ErrOrStderr(), args[0])
	if err != nil {
		return err
	}
	if len(args) > 1 {
		if _, err := readInputs(process, args[1:]); err != nil {
			return err
		}
	}
	printf(cmd.OutOrStdout(), "%s: a valid %s of %d files\n", args[0], process.Class, len(bundle))
	return nil
}

// printSchema runs "cwl schema".
func printSchema(cmd *cobra.Command, args []string) error {
	process, _, _, err := readProcess(cmd.ErrOrStderr(), args[0])
	if err != nil {
		return err
	}
	return printJSON(cmd.OutOrStdout(), process.InputSchema())
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	b, err := json.MarshalIndent(v, "", " ")
	printf(w, "%s\n", b)
	return err
}

// workflowCommand returns a command that sends a request for one workflow and prints its state. action
// is the path suffix after the workflow's ID.
func (c *cwlCommands) workflowCommand(use, short, method, action string) *cobra.Command {
	return &cobra.Command{
		Use:   use + " ID",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := c.send(cmd.Context(), method, "/"+args[0]+action, nil)
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), status)
		},
	}
}

// send sends a request to the workflow API and returns the workflow's state. path is relative to
// /api/workflows.
func (c *cwlCommands) send(
	ctx context.Context,
	method, path string,
	body []byte,
) (*wire.WorkflowStatus, error) {
	response, err := request(ctx, c.server, method, "/api/workflows"+path, body)
	if err != nil {
		return nil, err
	}
	if response.Status/100 != 2 {
		if message := wire.ErrorMessage(response.Body); message != "" {
			return nil, fmt.Errorf("status %d: %s", response.Status, message)
		}
		return nil, fmt.Errorf("status %d: %s", response.Status, response.Body)
	}
	status := new(wire.WorkflowStatus)
	return status, exactjson.Unmarshal(response.Body, status)
}

// submitFlags are the flags of "cwl submit".
type submitFlags struct {
	id, class, team, urgency string
	spot                     bool
	window                   int
	estimate                 float64 // seconds
}

// submitCommand returns "cwl submit".
func (c *cwlCommands) submitCommand() *cobra.Command {
	var values submitFlags
	submit := &cobra.Command{
		Use:   "submit FILE [INPUTS]",
		Short: "Submit a workflow with its inputs (YAML or JSON)",
		Args:  cobra.RangeArgs(1, 2),
		RunE:  func(cmd *cobra.Command, args []string) error { return c.submit(cmd, args, &values) },
	}
	f := submit.Flags()
	defaultID := fmt.Sprintf("wf-%d", time.Now().UnixMilli())
	f.StringVar(&values.id, "id", defaultID, "the workflow's `ID`, wf- and 6 to 18 digits")
	f.StringVar(&values.class, "class", "workflow", "the `CLASS` of its steps' jobs")
	f.StringVar(&values.team, "team", "", "the `TEAM` whose quota it uses")
	f.StringVar(&values.urgency, "urgency", "normal", "prod, high, normal or best_effort")
	f.BoolVar(&values.spot, "spot", true, "allow its steps to run on spot machines")
	f.IntVar(&values.window, "window", 0, "maximum number of steps submitted concurrently; 0: the service's default")
	f.Float64Var(&values.estimate, "expect", 0, "a step's expected run time in `SECONDS`")
	_ = submit.MarkFlagRequired("team") // fails only if the flag is undefined
	return submit
}

// submit reads a document and its inputs, submits them and prints the workflow's state.
func (c *cwlCommands) submit(cmd *cobra.Command, args []string, values *submitFlags) error {
	process, bundle, entry, err := readProcess(cmd.ErrOrStderr(), args[0])
	if err != nil {
		return err
	}
	inputs, err := readInputs(process, args[1:])
	if err != nil {
		return err
	}
	spec := &wire.WorkflowSpec{
		ID:       wire.WorkflowID(values.id),
		Class:    wire.Class(values.class),
		Team:     wire.Team(values.team),
		Priority: wire.Priority(values.urgency),
		Spot:     values.spot,
		Window:   values.window,
		Estimate: wire.Seconds(values.estimate),
		Entry:    entry,
		Bundle:   map[string]string{},
	}
	for name, content := range bundle {
		spec.Bundle[name] = string(content)
	}
	if spec.Inputs, err = json.Marshal(inputs); err != nil {
		return err
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	status, err := c.send(cmd.Context(), "POST", "", body)
	if err != nil {
		return err
	}
	return printJSON(cmd.OutOrStdout(), status)
}

// readProcess reads a document and the files in its directory tree that it references. It returns the
// process, the bundle of files and the process's entry in the bundle, and prints warnings.
func readProcess(warnings io.Writer, name string) (*cwl.Process, cwl.Bundle, string, error) {
	file, fragment, _ := strings.Cut(name, "#")
	bundle, entry := cwl.Bundle{}, filepath.Base(file)
	if err := addToBundle(bundle, filepath.Dir(file), entry); err != nil {
		return nil, nil, "", err
	}
	if fragment != "" {
		entry += "#" + fragment
	}
	process, problems, err := cwl.Load(bundle, entry)
	for _, warning := range problems {
		printLine(warnings, "warning:", warning)
	}
	return process, bundle, entry, err
}

// addToBundle adds a file in the directory tree dir to a bundle, and recursively the files that it
// references. References to missing files are skipped.
func addToBundle(bundle cwl.Bundle, dir, name string) error {
	if _, present := bundle[name]; present {
		return nil
	}
	content, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(name)))
	if err != nil {
		return err
	}
	bundle[name] = content
	for _, reference := range cwl.References(name, content) {
		if err := addToBundle(bundle, dir, reference); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// readInputs reads and validates a process's inputs from the file args[0]; without args they are empty.
func readInputs(process *cwl.Process, args []string) (map[string]any, error) {
	name, content := "inputs", []byte("{}")
	if len(args) > 0 {
		var err error
		if name = args[0]; name != "" {
			if content, err = readFile(name); err != nil {
				return nil, err
			}
		}
	}
	inputs, err := process.ReadInputs(name, content)
	if err != nil {
		return nil, err
	}
	_, err = process.CompleteInputs(inputs)
	return inputs, err
}
