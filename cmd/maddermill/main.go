// Command maddermill is a cluster scheduler: one of several controllers that together place users' jobs
// on rented machines. It is also the tool of users, who submit jobs and workflows, and of operators, who
// inspect and change what the controllers keep in the state service.
//
// main.go has the root command and its flags, serve.go the controller; the other commands have a file
// each. Commands that need the state service use withRecords, those that ask a controller use request
// or view. A command that fails prints its error on one line of standard error and exits with 1.
package main

import (
	"C" // the platform's library is preloaded, which takes a link to the C library

	"os"

	"github.com/spf13/cobra"
)

const version = "0.1.0"

func main() {
	if err := rootCommand().Execute(); err != nil {
		_, _ = os.Stderr.WriteString("maddermill: " + oneLine(err) + "\n") // the exit code tells as well
		os.Exit(1)
	}
}

// rootCommand returns the command with all its sub-commands. Without one, it serves.
func rootCommand() *cobra.Command {
	var opt serveOptions
	root := &cobra.Command{
		Use:   "maddermill --config FILE",
		Short: "A cluster scheduler: serves users' jobs and commands workers",
		Long: "maddermill runs one controller with the platform's settings file. Controllers\n" +
			"keep nothing on their machine: what must last is in the state service.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opt.config == "" {
				return cmd.Help()
			}
			return serve(cmd.Context(), opt)
		},
	}
	root.PersistentFlags().StringVar(&opt.config, "config", "", "the platform's settings `FILE` (TOML)")
	root.PersistentFlags().StringVar(
		&opt.operators,
		"operators",
		"",
		"the operators' own settings `FILE` (protobuf text format)",
	)
	run := &cobra.Command{Use: "serve", Short: "Run a controller", Args: cobra.NoArgs, RunE: root.RunE}
	addServeFlags(root, &opt)
	addServeFlags(run, &opt)
	root.AddCommand(
		run,
		checkCommand(&opt.config, &opt.operators),
		versionCommand(),
		jobCommand(),
		topologyCommand(&opt.config),
		promisesCommand(&opt.config),
		quarantineCommand(&opt.config),
		cwlCommand(),
		stateCommand(&opt.config),
		pluginCommand(&opt.config),
	)
	return root
}

// addServeFlags adds the flags of serving to a command.
func addServeFlags(cmd *cobra.Command, opt *serveOptions) {
	cmd.Flags().StringVar(
		&opt.topology,
		"topology",
		"",
		"where machines are: a `FILE` in protobuf text format, read again when it changes or on SIGHUP",
	)
	cmd.Flags().StringVar(
		&opt.register,
		"promises",
		"",
		"galleries and their promised dates: a `FILE` in protobuf text format, read again when it changes",
	)
	cmd.Flags().StringVar(
		&opt.queue,
		"record-queue",
		"",
		"record the queue every ten seconds in `FILE`, for plugin test; a few files of 50 MB are kept",
	)
	cmd.Flags().StringVar(
		&opt.workflows,
		"workflows",
		"",
		"serve CWL workflows; their steps pass data in `DIR`, which all controllers and machines share",
	)
}
