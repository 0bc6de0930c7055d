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

	"maddermill/internal/workflow/cwl"
	"maddermill/wire"
)

func cwlCommand() *cobra.Command {
	var server string
	cmd := &cobra.Command{Use: "cwl", Short: "Check, submit and follow CWL workflows"}
	cmd.PersistentFlags().StringVar(&server, "server", "127.0.0.1:8080", "a controller's or load balancer's `ADDRESS`")
	ask := func(cmd *cobra.Command, method, path string, body []byte) (*wire.WorkflowStatus, error) {
		p, err := request(server, method, "/api/workflows"+path, body)
		if err != nil {
			return nil, err
		}
		if p.Status/100 != 2 {
			var problem wire.ErrorBody
			if json.Unmarshal(p.Body, &problem) == nil && problem.Error != "" {
				return nil, fmt.Errorf("status %d: %s", p.Status, problem.Error)
			}
			return nil, fmt.Errorf("status %d: %s", p.Status, p.Body)
		}
		st := new(wire.WorkflowStatus)
		return st, json.Unmarshal(p.Body, st)
	}
	print := func(cmd *cobra.Command, v any) error {
		b, err := json.MarshalIndent(v, "", " ")
		fmt.Fprintf(cmd.OutOrStdout(), "%s\n", b)
		return err
	}
	one := func(use, short, method, verb string) *cobra.Command {
		return &cobra.Command{
			Use:   use + " ID",
			Short: short,
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				st, err := ask(cmd, method, "/"+args[0]+verb, nil)
				if err != nil {
					return err
				}
				return print(cmd, st)
			},
		}
	}
	spec := &wire.WorkflowSpec{}
	var id, class, team, urgency string
	var expect float64
	submit := &cobra.Command{
		Use:   "submit FILE [INPUTS]",
		Short: "Submit a workflow with its inputs (YAML or JSON)",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, bundle, entry, err := readProcess(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			in, err := readInputs(p, args[1:])
			if err != nil {
				return err
			}
			spec.ID, spec.Class, spec.Team, spec.Priority = wire.WorkflowID(
				id,
			), wire.Class(
				class,
			), wire.Team(
				team,
			), wire.Priority(
				urgency,
			)
			spec.Estimate, spec.Entry, spec.Bundle = wire.Seconds(expect), entry, map[string]string{}
			for name, b := range bundle {
				spec.Bundle[name] = string(b)
			}
			if spec.Inputs, err = json.Marshal(in); err != nil {
				return err
			}
			body, err := json.Marshal(spec)
			if err != nil {
				return err
			}
			st, err := ask(cmd, "POST", "", body)
			if err != nil {
				return err
			}
			return print(cmd, st)
		},
	}
	f := submit.Flags()
	f.StringVar(&id, "id", fmt.Sprintf("wf-%d", time.Now().UnixMilli()), "the workflow's `ID`, wf- and 6 to 18 digits")
	f.StringVar(&class, "class", "workflow", "the `CLASS` of its steps' jobs")
	f.StringVar(&team, "team", "", "the `TEAM` that it counts for")
	f.StringVar(&urgency, "urgency", "normal", "prod, high, normal or best_effort")
	f.BoolVar(&spec.Spot, "spot", true, "its steps may run on cheap machines")
	f.IntVar(&spec.Window, "window", 0, "steps submitted at once; 0: the service's default")
	f.Float64Var(&expect, "expect", 0, "a step's expected run time in `SECONDS`")
	_ = submit.MarkFlagRequired("team")
	var lines bool
	watch := &cobra.Command{
		Use:   "watch ID",
		Short: "Follow a workflow until it is over; the exit status tells how it ended",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return follow(cmd, args[0], lines, ask) },
	}
	watch.Flags().BoolVar(&lines, "json", false, "print each change as a JSON object on a line")
	cmd.AddCommand(
		&cobra.Command{
			Use:   "validate FILE [INPUTS]",
			Short: "Check a document, and inputs for it, and name all that is wrong",
			Args:  cobra.RangeArgs(1, 2),
			RunE: func(cmd *cobra.Command, args []string) error {
				p, bundle, _, err := readProcess(cmd.ErrOrStderr(), args[0])
				if err == nil && len(args) > 1 {
					_, err = readInputs(p, args[1:])
				}
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: a valid %s of %d files\n", args[0], p.Class, len(bundle))
				}
				return err
			},
		},
		&cobra.Command{Use: "schema FILE", Short: "Print the JSON schema of a document's inputs", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				p, _, _, err := readProcess(cmd.ErrOrStderr(), args[0])
				if err != nil {
					return err
				}
				return print(cmd, p.InputSchema())
			}},
		submit,
		watch,
		one("status", "Print a workflow's state, and its steps' where its controller is asked", "GET", ""),
		one("cancel", "Cancel a workflow", "POST", "/cancel"),
		one("resume", "Let a workflow that failed go on from the failure", "POST", "/resume"),
	)
	return cmd
}

// readProcess reads a document and all files below its folder that it may refer to.
func readProcess(warnings io.Writer, name string) (*cwl.Process, cwl.Bundle, string, error) {
	file, fragment, _ := strings.Cut(name, "#")
	root := filepath.Dir(file)
	bundle := cwl.Bundle{}
	var gather func(name string) error
	gather = func(name string) error {
		if _, known := bundle[name]; known {
			return nil
		}
		b, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(name)))
		if err != nil {
			return err
		}
		bundle[name] = b
		for _, ref := range cwl.References(name, b) {
			if err := gather(ref); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
		}
		return nil
	}
	entry := filepath.Base(file)
	if err := gather(entry); err != nil {
		return nil, nil, "", err
	}
	if fragment != "" {
		entry += "#" + fragment
	}
	p, warned, err := cwl.Load(bundle, entry)
	for _, w := range warned {
		fmt.Fprintln(warnings, "warning:", w)
	}
	return p, bundle, entry, err
}

func readInputs(p *cwl.Process, args []string) (map[string]any, error) {
	name, b := "inputs", []byte("{}")
	if len(args) > 0 {
		var err error
		if name = args[0]; name != "" {
			if b, err = readFile(name); err != nil {
				return nil, err
			}
		}
	}
	in, err := p.ReadInputs(name, b)
	if err != nil {
		return nil, err
	}
	_, err = p.Complete(in)
	return in, err
}

// follow prints a workflow's progress as it changes: on a terminal in place, elsewhere a
// line each time.
func follow(
	cmd *cobra.Command,
	id string,
	lines bool,
	ask func(*cobra.Command, string, string, []byte) (*wire.WorkflowStatus, error),
) error {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	out := cmd.OutOrStdout()
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	last := ""
	for {
		st, err := ask(cmd, "GET", "/"+id, nil)
		if err != nil {
			return err
		}
		line := progress(st)
		if lines {
			b, err := json.Marshal(st)
			if err != nil {
				return err
			}
			line = string(b)
		}
		if line != last {
			if terminal && !lines {
				fmt.Fprintf(out, "\r\x1b[K%s", line)
			} else {
				fmt.Fprintln(out, line)
			}
			last = line
		}
		switch st.Status {
		case wire.Done, wire.Failed, wire.Cancelled:
			if terminal && !lines {
				fmt.Fprintln(out)
			}
			if len(st.Outputs) > 0 && !lines {
				fmt.Fprintf(out, "%s\n", st.Outputs)
			}
			if st.Status != wire.Done {
				return fmt.Errorf("workflow %s %s: %s", id, st.Status, st.Reason)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
		}
	}
}

func progress(st *wire.WorkflowStatus) string {
	parts := []string{fmt.Sprintf("%s %s", st.ID, st.Status)}
	for _, s := range st.Steps {
		text := s.Step + " " + s.State
		if s.Total > 1 {
			text += fmt.Sprintf(" %d/%d", s.Finished, s.Total)
		}
		if s.Reason != "" {
			text += " (" + s.Reason + ")"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "  ")
}
