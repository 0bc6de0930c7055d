// Command maddermill is a cluster scheduler. It runs one of several controllers that together place users'
// jobs on rented machines. It is also the command-line client with which users submit jobs and workflows,
// and operators inspect and change the records that the controllers keep in the state service.
//
// main.go has the root command and its flags, serve.go the controller; the other commands have a file
// each. Commands that access the state service use withStateClient, those that query a controller use
// request or getView. A command that fails prints its error on one line of standard error and exits
// with 1.
package main

import (
	"C" // forces dynamic linking to the C library, so that the platform can preload its library

	"os"

	"github.com/spf13/cobra"
)

const version = "0.1.0"

func main() {
	if err := rootCommand().Execute(); err != nil {
		_, _ = os.Stderr.WriteString("maddermill: " + oneLine(err) + "\n") // the exit code also reports it
		os.Exit(1)
	}
}

// rootCommand returns the command with all its subcommands. Without a subcommand it runs a controller.
func rootCommand() *cobra.Command {
	var opt serveOptions
	root := &cobra.Command{
		Use:   "maddermill --config FILE",
		Short: "A cluster scheduler: accepts users' jobs and runs them on workers",
		Long: "maddermill runs one controller with the platform's settings file. Controllers\n" +
			"keep no local state: all persistent records are in the state service.",
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

// addServeFlags adds the flags of the serve command to cmd.
func addServeFlags(cmd *cobra.Command, opt *serveOptions) {
	cmd.Flags().StringVar(
		&opt.topology,
		"topology",
		"",
		"the machines' topology: a `FILE` in protobuf text format, reloaded when it changes or on SIGHUP",
	)
	cmd.Flags().StringVar(
		&opt.register,
		"promises",
		"",
		"galleries and their deadlines: a `FILE` in protobuf text format, reloaded when it changes",
	)
	cmd.Flags().StringVar(
		&opt.queue,
		"record-queue",
		"",
		"record the queue every ten seconds in `FILE`, for plugin test; rotated at 50 MB, with 3 backups",
	)
	cmd.Flags().StringVar(
		&opt.workflows,
		"workflows",
		"",
		"serve CWL workflows; their steps exchange data in `DIR`, which all controllers and machines share",
	)
}
