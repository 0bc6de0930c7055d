package main

import (
	"io"
	"strings"

	"github.com/spf13/cobra"

	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/settings"
	"maddermill/wire"
)

// topologyCommand returns the topology command, with which operators check the declared topology and
// inspect what is where.
func topologyCommand(config *string) *cobra.Command {
	root := &cobra.Command{Use: "topology", Short: "Check a declared topology, and show what is where"}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a topology's file and name what is wrong; with --config its zones, too",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkTopology(cmd.OutOrStdout(), args[0], *config)
		},
	}
	var server string
	var asJSON, machines bool
	show := &cobra.Command{
		Use:   "show",
		Short: "Print the tree with its machines, their free room, and where gangs are",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := view(cmd.Context(), *config, server, "/api/topology")
			if err != nil {
				return err
			}
			if asJSON {
				_, err = cmd.OutOrStdout().Write(body)
				return err
			}
			topology, err := wire.DecodeTopology(body)
			if err != nil {
				return err
			}
			printTopology(cmd.OutOrStdout(), &topology, machines)
			return nil
		},
	}
	show.Flags().StringVar(&server, "server", "", "a controller's `ADDRESS`, if not the one of --config")
	show.Flags().BoolVar(&asJSON, "json", false, "as the controller tells it, a JSON object a line")
	show.Flags().BoolVar(&machines, "machines", true, "the machines, too")
	root.AddCommand(check, show)
	return root
}

// checkTopology checks a topology, and its zones if config names a settings file.
func checkTopology(w io.Writer, file, config string) error {
	var zones []wire.Zone
	if config != "" {
		set, err := settings.Load(config, "")
		if err != nil {
			return err
		}
		zones = set.Cluster.Zones
	}
	tree, err := topologytracker.Read(file, zones)
	if err != nil {
		return err
	}
	printf(w, "%s: %d levels, %d blocks\n", file, len(tree.Levels()), len(tree.Blocks()))
	return nil
}

// printTopology prints the blocks as a tree, with their machines if machines is set, and the gangs.
func printTopology(w io.Writer, topology *wire.TopologyView, machines bool) {
	byBlock := map[string][]*wire.MachineView{}
	for i := range topology.Machines {
		m := &topology.Machines[i]
		byBlock[m.Block] = append(byBlock[m.Block], m)
	}
	list := func(indent string, list []*wire.MachineView) {
		if machines {
			printMachines(w, indent, list)
		}
	}
	for _, b := range topology.Blocks {
		depth := strings.Count(b.Path, "/")
		health := ""
		if b.Down {
			health = ", DOWN"
		}
		name := b.Path[strings.LastIndex(b.Path, "/")+1:]
		printf(
			w,
			"%s%s %s: %d machines, %d empty%s\n",
			strings.Repeat("  ", depth),
			b.Level,
			name,
			b.Machines,
			b.Empty,
			health,
		)
		list(strings.Repeat("  ", depth+1), byBlock[b.Path])
	}
	if unplaced := byBlock[""]; len(unplaced) > 0 {
		printf(w, "of unknown place: %d machines\n", len(unplaced))
		list("  ", unplaced)
	}
	for _, g := range topology.Gangs {
		where := g.Block
		if where == "" {
			where = "several zones"
		}
		printf(w, "gang %s: %d tasks in %s, on %d machines, cost %g\n", g.Job, g.Tasks, where, len(g.Machines), g.Cost)
	}
}

// printMachines prints machines with what is free on them and the jobs that run there.
func printMachines(w io.Writer, indent string, machines []*wire.MachineView) {
	for _, m := range machines {
		state := ""
		if !m.Usable {
			state = ", takes no tasks"
		}
		printf(w, "%s%s  free: %g CPUs, %g GPUs, %g GB%s", indent, m.Machine, m.CPUs, m.GPUs, m.RAM, state)
		for _, job := range m.Jobs {
			printf(w, "  %s", job)
		}
		printLine(w)
	}
}
