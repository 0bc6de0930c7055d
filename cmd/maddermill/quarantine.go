package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"maddermill/internal/exactjson"
	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// quarantineCommands implements the commands with which operators inspect which machines are judged faulty.
type quarantineCommands struct {
	config *string
	server string // "": the controller that the settings file configures
}

// quarantineCommand returns the quarantine command.
func quarantineCommand(config *string) *cobra.Command {
	c := &quarantineCommands{config: config}
	root := &cobra.Command{
		Use:   "quarantine",
		Short: "Show which machines are judged faulty or slow, and why (docs/quarantine.md)",
		Long: "Shows a controller's judgements of the machines that report to it. Query each controller, as a\n" +
			"machine is judged only by the controller that it reports to.",
	}
	var asJSON bool
	list := &cobra.Command{
		Use:   "list",
		Short: "List machines that failed tasks or are slow, the worst first",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.list(cmd.Context(), cmd.OutOrStdout(), asJSON) },
	}
	list.Flags().BoolVar(&asJSON, "json", false, "print the controller's response as it is")
	explain := &cobra.Command{
		Use:   "explain MACHINE",
		Short: "Explain a machine's judgement and the other possible causes of its failures",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.explain(cmd.Context(), cmd.OutOrStdout(), wire.MachineID(args[0]))
		},
	}
	returned := &cobra.Command{
		Use:   "past",
		Short: "List the machines on record that were returned because they were judged faulty, and why",
		Args:  cobra.NoArgs,
		Long: "Reads the records in the state service that the settings file (--config) names. The entries of\n" +
			"machines that no longer exist are deleted when jobs are archived, and then not listed.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStateClient(cmd, *config, defaultShare, func(ctx context.Context, client stateClient) error {
				return listReturned(ctx, client.store, cmd.OutOrStdout())
			})
		},
	}
	root.PersistentFlags().StringVar(&c.server, "server", "", "a controller's `ADDRESS`, if not the one of --config")
	root.AddCommand(list, explain, returned)
	return root
}

// judgements requests a controller's judgements and returns them decoded and as the response body.
func (c *quarantineCommands) judgements(ctx context.Context) (list []wire.Judgement, body []byte, err error) {
	if body, err = getView(ctx, *c.config, c.server, "/api/judgements"); err != nil {
		return nil, nil, err
	}
	return list, body, exactjson.Unmarshal(body, &list)
}

// list prints all judgements, as a table or as the controller sent them.
func (c *quarantineCommands) list(ctx context.Context, out io.Writer, asJSON bool) error {
	list, body, err := c.judgements(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		_, err = fmt.Fprintf(out, "%s\n", body)
		return err
	}
	return printJudgements(out, list)
}

// explain prints why a machine is judged as it is.
func (c *quarantineCommands) explain(ctx context.Context, out io.Writer, machine wire.MachineID) error {
	list, _, err := c.judgements(ctx)
	if err != nil {
		return err
	}
	for i := range list {
		if list[i].Machine == machine {
			return quarantine.WriteJudgement(out, &list[i])
		}
	}
	return fmt.Errorf("%s: this controller knows of no failed task there, and the machine is not slow", machine)
}

// listReturned prints the machines on record that were returned because they were judged faulty.
func listReturned(ctx context.Context, store *kvstore.Client, out io.Writer) error {
	return kvstore.Each(ctx, store, ledger.MachinePhasesPrefix, listPageItems, func(item wire.Item) error {
		machine, phase, reason, ok := ledger.DecodeMachinePhase(item)
		if ok && strings.HasPrefix(reason, "faulty") {
			printf(out, "%s  %s  %s\n", machine, phase, reason)
		}
		return nil
	})
}

// printJudgements prints judgements as a table.
func printJudgements(out io.Writer, list []wire.Judgement) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printLine(w, "machine\tjudged\tprobability\trate\ttimes as long\tdone\tfailed")
	for _, j := range list {
		judged := "sound"
		switch {
		case j.Faulty:
			judged = "faulty"
		case j.Slow:
			judged = "slow"
		case j.ProbabilityFaulty > 0.5:
			judged = "watched"
		}
		printf(
			w,
			"%s\t%s\t%.3g\t%.2g\t%.1f\t%d\t%d\n",
			j.Machine,
			judged,
			j.ProbabilityFaulty,
			j.FailureRate,
			j.Slowdown,
			j.Completed,
			len(j.Failures),
		)
	}
	return w.Flush()
}
