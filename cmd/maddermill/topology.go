package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/settings"
	"maddermill/wire"
)

func topologyCommand(config *string) *cobra.Command {
	cmd := &cobra.Command{Use: "topology", Short: "Check a declared topology, and show what is where"}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a topology's file and name what is wrong; with --config its zones, too",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var zones []wire.Zone
			if *config != "" {
				s, err := settings.Load(*config, "")
				if err != nil {
					return err
				}
				zones = s.Cluster.Zones
			}
			t, err := topologytracker.Read(args[0], zones)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d levels, %d blocks\n", args[0], len(t.Levels()), len(t.Blocks()))
			}
			return err
		},
	}
	var server string
	var lines, machines bool
	show := &cobra.Command{
		Use:   "show",
		Short: "Print the tree with its machines, their free room, and where gangs are",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := view(*config, server, "/api/topology")
			if err != nil {
				return err
			}
			if lines {
				_, err = cmd.OutOrStdout().Write(body)
				return err
			}
			v, err := wire.DecodeTopology(body)
			if err != nil {
				return err
			}
			printTopology(cmd.OutOrStdout(), &v, machines)
			return nil
		},
	}
	show.Flags().StringVar(&server, "server", "", "a controller's `ADDRESS`, if not the one of --config")
	show.Flags().BoolVar(&lines, "json", false, "as the controller tells it, a JSON object a line")
	show.Flags().BoolVar(&machines, "machines", true, "the machines, too")
	cmd.AddCommand(check, show)
	return cmd
}

func printTopology(w io.Writer, v *wire.TopologyView, machines bool) {
	in := map[string][]*wire.MachineView{}
	for i := range v.Machines {
		m := &v.Machines[i]
		in[m.Block] = append(in[m.Block], m)
	}
	list := func(indent string, of []*wire.MachineView) {
		if !machines {
			return
		}
		for _, m := range of {
			state := ""
			if !m.Usable {
				state = ", takes no tasks"
			}
			fmt.Fprintf(w, "%s%s  free: %g CPUs, %g GPUs, %g GB%s", indent, m.Machine, m.CPUs, m.GPUs, m.RAM, state)
			for _, j := range m.Jobs {
				fmt.Fprintf(w, "  %s", j)
			}
			fmt.Fprintln(w)
		}
	}
	for _, b := range v.Blocks {
		depth := strings.Count(b.Path, "/")
		health := ""
		if b.Down {
			health = ", DOWN"
		}
		name := b.Path[strings.LastIndex(b.Path, "/")+1:]
		fmt.Fprintf(
			w,
			"%s%s %s: %d machines, %d empty%s\n",
			strings.Repeat("  ", depth),
			b.Level,
			name,
			b.Machines,
			b.Empty,
			health,
		)
		list(strings.Repeat("  ", depth+1), in[b.Path])
	}
	if len(in[""]) > 0 {
		fmt.Fprintf(w, "of unknown place: %d machines\n", len(in[""]))
		list("  ", in[""])
	}
	for _, g := range v.Gangs {
		where := g.Block
		if where == "" {
			where = "several zones"
		}
		fmt.Fprintf(w, "gang %s: %d tasks in %s, on %d machines, cost %g\n", g.Job, g.Tasks, where, len(g.Machines), g.Cost)
	}
}
