package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"maddermill/internal/plugin"
	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

func quarantineCommand(config *string) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "Tell which machines are judged faulty or slow, and why (docs/quarantine.md)",
		Long:  "What a controller believes of the machines that report to it. Ask each controller: who holds a\nmachine judges it.",
	}
	var server string
	var raw bool
	ask := func() (list []wire.Judgement, body []byte, err error) {
		if body, err = view(*config, server, "/api/judgements"); err != nil {
			return nil, nil, err
		}
		return list, body, json.Unmarshal(body, &list)
	}
	list := &cobra.Command{
		Use:   "list",
		Short: "List machines on which tasks failed, or that are slow, the worst first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, body, err := ask()
			if err != nil {
				return err
			}
			if raw {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", body)
				return err
			}
			return listJudgements(cmd.OutOrStdout(), list)
		},
	}
	list.Flags().BoolVar(&raw, "json", false, "as the controller tells it")
	explain := &cobra.Command{
		Use:   "explain MACHINE",
		Short: "Tell why a machine is judged as it is, and what was ruled out",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, _, err := ask()
			if err != nil {
				return err
			}
			for i := range list {
				if list[i].Machine == wire.MachineID(args[0]) {
					return quarantine.Write(cmd.OutOrStdout(), &list[i])
				}
			}
			return fmt.Errorf("%s: no task failed there that this controller remembers, nor is it slow", args[0])
		},
	}
	past := &cobra.Command{
		Use:   "past",
		Short: "List the machines on record that were returned for being judged faulty, and why",
		Args:  cobra.NoArgs,
		Long:  "From the records of the state service that the settings file (--config) names. Marks of machines\nthat are gone are swept once work is archived, and then no longer listed.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, store, _, done, err := openState(cmd, *config, 0.2)
			if err != nil {
				return err
			}
			defer done()
			return listPast(ctx, store, cmd.OutOrStdout())
		},
	}
	cmd.PersistentFlags().StringVar(&server, "server", "", "a controller's `ADDRESS`, if not the one of --config")
	cmd.AddCommand(list, explain, past)
	return cmd
}

// listPast prints the marks of machines that were judged faulty.
func listPast(ctx context.Context, store plugin.Records, out io.Writer) error {
	return kvstore.Each(ctx, store, ledger.MarksPrefix, 1000, func(it wire.Item) error {
		if m, mark, why, ok := ledger.DecodeMachinePhase(it); ok && strings.HasPrefix(why, "faulty") {
			fmt.Fprintf(out, "%s  %s  %s\n", m, mark, why)
		}
		return nil
	})
}

func listJudgements(out io.Writer, list []wire.Judgement) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "machine\tjudged\tprobability\trate\ttimes as long\tdone\tfailed")
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
		fmt.Fprintf(
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
