package main

import (
	"errors"

	"github.com/spf13/cobra"

	"maddermill/internal/settings"
)

// versionCommand returns the version command.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { printLine(cmd.OutOrStdout(), "maddermill", version) },
	}
}

// checkCommand returns the check command, which validates settings files.
func checkCommand(config, operators *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check --config FILE [--operators FILE]",
		Short: "Validate settings files and report any errors",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if *config == "" {
				return errors.New("--config is missing")
			}
			set, err := settings.Load(*config, *operators)
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s: settings of %s are valid\n", *config, set.Member)
			return nil
		},
	}
}
