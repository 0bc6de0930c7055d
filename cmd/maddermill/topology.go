package main

import (
	"io"
	"strings"

	"github.com/spf13/cobra"

	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/settings"
	"maddermill/wire"
)

// topologyCommand returns the topology command, with which operators validate a topology file and inspect
// the placement of machines and gangs.
func topologyCommand(config *string) *cobra.Command {
	root := &cobra.Command{Use: "topology", Short: "Validate a topology file, and show where machines and gangs are"}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a topology file and report any errors; with --config also its zones",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkTopology(cmd.OutOrStdout(), args[0], *config)
		},
	}
	var server string
	var asJSON, machines bool
	show := &cobra.Command{
		Use:   "show",
		Short: "Print the topology tree with the machines, their free resources, and the gangs' locations",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := getView(cmd.Context(), *config, server, "/api/topology")
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
	show.Flags().BoolVar(&asJSON, "json", false, "print the controller's response as it is, a JSON object per line")
	show.Flags().BoolVar(&machines, "machines", true, "also print the machines")
	root.AddCommand(check, show)
	return root
}

// checkTopology validates a topology file, and its zones if config names a settings file.
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

// printTopology prints the blocks as a tree, with their machines if machines is true, and then the gangs.
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
	if unlocated := byBlock[""]; len(unlocated) > 0 {
		printf(w, "in no known block: %d machines\n", len(unlocated))
		list("  ", unlocated)
	}
	for _, g := range topology.Gangs {
		where := g.Block
		if where == "" {
			where = "several zones"
		}
		printf(w, "gang %s: %d tasks in %s, on %d machines, cost %g\n", g.Job, g.Tasks, where, len(g.Machines), g.Cost)
	}
}

// printMachines prints a line for each machine with its free resources and the jobs that run on it.
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
