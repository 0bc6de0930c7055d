package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"maddermill/wire"
)

// watchInterval is the polling interval of "cwl watch".
const watchInterval = time.Second

// watchCommand returns "cwl watch".
func (c *cwlCommands) watchCommand() *cobra.Command {
	var asJSON bool
	watch := &cobra.Command{
		Use:   "watch ID",
		Short: "Monitor a workflow until it ends; exits with 0 only if it succeeded",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.watch(cmd.Context(), args[0], newProgress(cmd.OutOrStdout(), asJSON))
		},
	}
	watch.Flags().BoolVar(&asJSON, "json", false, "print each change as one line of JSON")
	return watch
}

// watch prints a workflow's progress as it changes, until the workflow ends or ctx is cancelled. It
// returns an error unless the workflow succeeded.
func (c *cwlCommands) watch(ctx context.Context, id string, p *progress) error {
	for {
		status, err := c.send(ctx, "GET", "/"+id, nil)
		if err != nil {
			return err
		}
		if err := p.show(status); err != nil {
			return err
		}
		switch status.Status {
		case wire.Done, wire.Failed, wire.Cancelled:
			p.finish(status)
			if status.Status != wire.Done {
				return fmt.Errorf("workflow %s %s: %s", id, status.Status, status.Reason)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// progress prints state changes of a workflow: on a terminal it overwrites one line, otherwise it prints
// a line for each.
type progress struct {
	out     io.Writer
	asJSON  bool
	inPlace bool
	last    string // the line printed last
}

// newProgress returns a progress that writes to out, overwriting one line if standard output is a terminal.
func newProgress(out io.Writer, asJSON bool) *progress {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return &progress{out: out, asJSON: asJSON, inPlace: terminal && !asJSON}
}

// show prints a state unless it is equal to the one printed last.
func (p *progress) show(status *wire.WorkflowStatus) error {
	line := describeWorkflow(status)
	if p.asJSON {
		b, err := json.Marshal(status)
		if err != nil {
			return err
		}
		line = string(b)
	}
	if line == p.last {
		return nil
	}
	p.last = line
	if p.inPlace {
		printf(p.out, "\r\x1b[K%s", line)
	} else {
		printLine(p.out, line)
	}
	return nil
}

// finish ends the overwritten line, if any, and prints the workflow's outputs.
func (p *progress) finish(status *wire.WorkflowStatus) {
	if p.inPlace {
		printLine(p.out)
	}
	if len(status.Outputs) > 0 && !p.asJSON {
		printf(p.out, "%s\n", status.Outputs)
	}
	if status.OutputsUnknown != "" && !p.asJSON {
		printLine(p.out, "outputs unknown: "+status.OutputsUnknown)
	}
}

// describeWorkflow formats the state of a workflow and its steps as one line.
func describeWorkflow(status *wire.WorkflowStatus) string {
	parts := []string{fmt.Sprintf("%s %s", status.ID, status.Status)}
	for _, step := range status.Steps {
		text := step.Step + " " + step.State
		if step.Total > 1 {
			text += fmt.Sprintf(" %d/%d", step.Finished, step.Total)
		}
		if step.Reason != "" {
			text += " (" + step.Reason + ")"
		}
		parts = append(parts, text)
	}
	if status.StepsUnknown != "" {
		parts = append(parts, "(steps unknown: "+status.StepsUnknown+")")
	}
	return strings.Join(parts, "  ")
}
