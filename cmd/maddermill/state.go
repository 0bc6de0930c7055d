package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/state/backup"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// stateCommands implements the commands with which operators inspect, verify, export and import the records.
type stateCommands struct {
	config *string
	share  float64 // of the state service's request and write rate limits
}

// stateCommand returns the state command.
func stateCommand(config *string) *cobra.Command {
	c := &stateCommands{config: config}
	root := &cobra.Command{
		Use:   "state",
		Short: "Inspect, verify, export and import the records in the state service",
		Long: "The settings file (--config) names the state service and its limits.\n" +
			"Only import writes to the state service.",
	}
	root.PersistentFlags().Float64Var(
		&c.share,
		"share",
		0.05,
		"the maximum `SHARE` of the service's request and write rate limits to use",
	)
	root.AddCommand(
		&cobra.Command{
			Use:   "stats",
			Short: "Print the number and size of the records by kind",
			Args:  cobra.NoArgs,
			RunE:  c.stats,
		},
		&cobra.Command{
			Use:   "verify",
			Short: "Verify the invariants of all records, while the service runs",
			Args:  cobra.NoArgs,
			RunE:  c.verify,
		},
		&cobra.Command{
			Use:   "export FILE",
			Short: "Export all records at one revision to FILE, while the service runs",
			Args:  cobra.ExactArgs(1),
			RunE:  c.export,
		},
		&cobra.Command{
			Use:   "import FILE",
			Short: "Import an export into an empty state service",
			Args:  cobra.ExactArgs(1),
			Long: "FILE is read and validated completely before anything is written. Controllers do not serve\n" +
				"until the import is complete. Run the same command again to resume an interrupted import.",
			RunE: c.importFile,
		},
		&cobra.Command{
			Use:   "check FILE",
			Short: "Verify that an export is complete",
			Args:  cobra.ExactArgs(1),
			RunE:  checkExport,
		},
	)
	return root
}

// stats runs "state stats".
func (c *stateCommands) stats(cmd *cobra.Command, _ []string) error {
	return withStateClient(cmd, *c.config, c.share, func(ctx context.Context, client stateClient) error {
		return printStats(ctx, client.store, cmd.OutOrStdout())
	})
}

// verify runs "state verify". It returns an error if any record violates an invariant.
func (c *stateCommands) verify(cmd *cobra.Command, _ []string) error {
	return withStateClient(cmd, *c.config, c.share, func(ctx context.Context, client stateClient) error {
		report, err := backup.Verify(ctx, client.store, client.limits)
		if err != nil {
			return err
		}
		for _, p := range report.Problems {
			printLine(cmd.OutOrStdout(), p)
		}
		printf(
			cmd.OutOrStdout(),
			"%d records and %d that are archived at revision %d, %d problems\n",
			report.Records-report.Archived,
			report.Archived,
			report.Revision,
			len(report.Problems)+report.OmittedProblems,
		)
		if len(report.Problems) > 0 {
			return errors.New("the records violate invariants")
		}
		return nil
	})
}

// export runs "state export".
func (c *stateCommands) export(cmd *cobra.Command, args []string) error {
	return withStateClient(cmd, *c.config, c.share, func(ctx context.Context, client stateClient) error {
		trailer, err := exportTo(ctx, client.store, args[0])
		if err != nil {
			return err
		}
		printf(
			cmd.OutOrStdout(),
			"%s: revision %d, %d records and %d changes while they were read\n",
			args[0],
			trailer.Revision,
			trailer.Base,
			trailer.Changes,
		)
		return nil
	})
}

// importFile runs "state import".
func (c *stateCommands) importFile(cmd *cobra.Command, args []string) error {
	file, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read
	return withStateClient(cmd, *c.config, c.share, func(ctx context.Context, client stateClient) error {
		trailer, err := backup.Import(ctx, file, client.store, client.limits, time.Now())
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		printf(
			cmd.OutOrStdout(),
			"%s: the records of revision %d, of %s, are in place\n",
			args[0],
			trailer.Revision,
			time.UnixMilli(int64(trailer.At)).UTC().Format(time.RFC3339),
		)
		return nil
	})
}

// checkExport runs "state check", which does not access the state service.
func checkExport(cmd *cobra.Command, args []string) error {
	file, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read
	trailer, err := backup.CheckExport(file)
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	printf(
		cmd.OutOrStdout(),
		"%s: whole, revision %d, %d records and %d changes\n",
		args[0],
		trailer.Revision,
		trailer.Base,
		trailer.Changes,
	)
	return nil
}

// exportTo writes an export to a temporary file in the directory of name, and renames it to name once
// it is complete and synced.
func exportTo(ctx context.Context, store backup.Source, name string) (trailer backup.Trailer, err error) {
	temp, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".part-*")
	if err != nil {
		return trailer, err
	}
	defer func() {
		err = errors.Join(err, temp.Close())
		if err == nil {
			err = os.Rename(temp.Name(), name)
		}
		if err != nil {
			_ = os.Remove(temp.Name()) // the error that is already set matters more
		}
	}()
	if trailer, err = backup.Export(ctx, store, temp, time.Now()); err != nil {
		return trailer, err
	}
	return trailer, temp.Sync()
}

// size is the number of records of a kind and their total number of bytes.
type size struct{ keys, bytes int }

func (s size) plus(other size) size { return size{s.keys + other.keys, s.bytes + other.bytes} }

// printStats prints the number and size of records by kind, with ended jobs counted separately.
func printStats(ctx context.Context, store backup.Source, w io.Writer) error {
	sizes := map[string]size{}
	count := func(items []wire.Item) error {
		for _, item := range items {
			kind := statsKind(item)
			sizes[kind] = sizes[kind].plus(size{1, len(item.Key) + len(item.Value)})
		}
		return nil
	}
	revision, err := backup.ReadAll(ctx, store, ledger.AllPrefix, count, func([]wire.Event) error { return nil })
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printLine(t, "keys\tbytes\tkind\t")
	var all size
	for _, kind := range slices.Sorted(maps.Keys(sizes)) {
		s := sizes[kind]
		all = all.plus(s)
		printf(t, "%d\t%d\t%s\t\n", s.keys, s.bytes, kind)
	}
	printf(t, "%d\t%d\tall, about revision %d\t\n", all.keys, all.bytes, revision)
	return t.Flush()
}

// statsKind returns the kind under which printStats counts a record.
func statsKind(item wire.Item) string {
	kind := cmp.Or(ledger.RecordKind(item.Key), "unknown keys")
	if kind != "jobs" {
		return kind
	}
	for _, ended := range []string{`"state":"done"`, `"state":"cancelled"`} {
		if bytes.Contains(item.Value, []byte(ended)) {
			return "jobs that are over"
		}
	}
	return "jobs that are not over"
}
