// Command maddermill is a cluster scheduler: one of several controllers that
// together place users' jobs on rented machines.
package main

import (
	"C" // the platform's library is preloaded, which takes a link to the C library

	"os"

	"github.com/spf13/cobra"
)

const version = "0.1.0"

func main() {
	var config, operators, topology, workflows, queue, register string
	root := &cobra.Command{
		Use:           "maddermill --config FILE",
		Short:         "A cluster scheduler: serves users' jobs and commands workers",
		Long:          "maddermill runs one controller with the platform's settings file. Controllers\nkeep nothing on their machine: what must last is in the state service.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return cmd.Help()
			}
			return serve(cmd.Context(), config, operators, topology, workflows, queue, register)
		},
	}
	root.PersistentFlags().StringVar(&config, "config", "", "the platform's settings `FILE` (TOML)")
	root.PersistentFlags().StringVar(
		&operators,
		"operators",
		"",
		"the operators' own settings `FILE` (protobuf text format)",
	)
	run := &cobra.Command{Use: "serve", Short: "Run a controller", Args: cobra.NoArgs, RunE: root.RunE}
	for _, c := range []*cobra.Command{root, run} {
		c.Flags().StringVar(
			&topology,
			"topology",
			"",
			"where machines are: a `FILE` in protobuf text format, read again when it changes or on SIGHUP",
		)
		c.Flags().StringVar(
			&register,
			"promises",
			"",
			"galleries and their promised dates: a `FILE` in protobuf text format, read again when it changes",
		)
		c.Flags().StringVar(
			&queue,
			"record-queue",
			"",
			"record the queue every ten seconds in `FILE`, for plugin test; a few files of 50 MB are kept",
		)
		c.Flags().StringVar(
			&workflows,
			"workflows",
			"",
			"serve CWL workflows; their steps pass data in `DIR`, which all controllers and machines share",
		)
	}
	root.AddCommand(
		run,
		checkCommand(&config, &operators),
		versionCommand(),
		jobCommand(),
		topologyCommand(&config),
		promisesCommand(&config),
		quarantineCommand(&config),
		cwlCommand(),
		stateCommand(&config),
		pluginCommand(&config),
	)
	if err := root.Execute(); err != nil {
		os.Stderr.WriteString("maddermill: " + oneLine(err) + "\n")
		os.Exit(1)
	}
}
