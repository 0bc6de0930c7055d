package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"maddermill/wire"
)

// jobCommands implements the commands that submit, inspect and cancel jobs.
type jobCommands struct{ server string }

// jobCommand returns the job command.
func jobCommand() *cobra.Command {
	c := &jobCommands{}
	root := &cobra.Command{Use: "job", Short: "Submit, inspect and cancel jobs"}
	addServerFlag(root, &c.server)
	root.AddCommand(
		&cobra.Command{
			Use:   "submit FILE",
			Short: "Submit the job that FILE describes in JSON (- for standard input)",
			Args:  cobra.ExactArgs(1),
			RunE:  c.submit,
		},
		&cobra.Command{
			Use:   "get ID",
			Short: "Print a job's state",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.send(cmd, "GET", "/api/jobs/"+args[0], nil)
			},
		},
		&cobra.Command{
			Use:   "cancel ID",
			Short: "Cancel a job",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.send(cmd, "POST", "/api/jobs/"+args[0]+"/cancel", nil)
			},
		},
	)
	return root
}

// submit runs "job submit". It validates the job before sending it.
func (c *jobCommands) submit(cmd *cobra.Command, args []string) error {
	body, err := readFile(args[0])
	if err != nil {
		return err
	}
	spec, err := wire.DecodeJobSpec(body)
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	if body, err = json.Marshal(spec); err != nil {
		return err
	}
	return c.send(cmd, "POST", "/api/jobs", body)
}

// send sends a request and prints the body of the response. It fails unless the status is 2xx.
func (c *jobCommands) send(cmd *cobra.Command, method, path string, body []byte) error {
	response, err := request(cmd.Context(), c.server, method, path, body)
	if err != nil {
		return err
	}
	printf(cmd.OutOrStdout(), "%s\n", response.Body)
	if response.Status/100 != 2 {
		return fmt.Errorf("status %d", response.Status)
	}
	return nil
}
