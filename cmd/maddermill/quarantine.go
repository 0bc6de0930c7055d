package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// quarantineCommands are the commands with which operators inspect which machines are judged faulty.
type quarantineCommands struct {
	config *string
	server string // "": the controller of the settings file
}

// quarantineCommand returns the quarantine command.
func quarantineCommand(config *string) *cobra.Command {
	c := &quarantineCommands{config: config}
	root := &cobra.Command{
		Use:   "quarantine",
		Short: "Tell which machines are judged faulty or slow, and why (docs/quarantine.md)",
		Long: "What a controller believes of the machines that report to it. Ask each controller: who holds a\n" +
			"machine judges it.",
	}
	var raw bool
	list := &cobra.Command{
		Use:   "list",
		Short: "List machines on which tasks failed, or that are slow, the worst first",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.list(cmd.Context(), cmd.OutOrStdout(), raw) },
	}
	list.Flags().BoolVar(&raw, "json", false, "as the controller tells it")
	explain := &cobra.Command{
		Use:   "explain MACHINE",
		Short: "Tell why a machine is judged as it is, and what was ruled out",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.explain(cmd.Context(), cmd.OutOrStdout(), wire.MachineID(args[0]))
		},
	}
	past := &cobra.Command{
		Use:   "past",
		Short: "List the machines on record that were returned for being judged faulty, and why",
		Args:  cobra.NoArgs,
		Long: "From the records of the state service that the settings file (--config) names. Marks of machines\n" +
			"that are gone are swept once work is archived, and then no longer listed.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withRecords(cmd, *config, commandShare, func(ctx context.Context, r records) error {
				return listReturned(ctx, r.store, cmd.OutOrStdout())
			})
		},
	}
	root.PersistentFlags().StringVar(&c.server, "server", "", "a controller's `ADDRESS`, if not the one of --config")
	root.AddCommand(list, explain, past)
	return root
}

// judgements reads the judgements of a controller, and returns the body of its response as well.
func (c *quarantineCommands) judgements(ctx context.Context) (list []wire.Judgement, body []byte, err error) {
	if body, err = view(ctx, *c.config, c.server, "/api/judgements"); err != nil {
		return nil, nil, err
	}
	return list, body, json.Unmarshal(body, &list)
}

// list prints all judgements, as a table or as the controller sent them.
func (c *quarantineCommands) list(ctx context.Context, out io.Writer, raw bool) error {
	list, body, err := c.judgements(ctx)
	if err != nil {
		return err
	}
	if raw {
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
	return fmt.Errorf("%s: no task failed there that this controller remembers, nor is it slow", machine)
}

// listReturned prints the machines on record that were returned because they were judged faulty.
func listReturned(ctx context.Context, store *kvstore.Client, out io.Writer) error {
	return kvstore.Each(ctx, store, ledger.MachinePhasesPrefix, listPageItems, func(item wire.Item) error {
		machine, phase, why, ok := ledger.DecodeMachinePhase(item)
		if ok && strings.HasPrefix(why, "faulty") {
			printf(out, "%s  %s  %s\n", machine, phase, why)
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
