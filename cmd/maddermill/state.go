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

// stateCommands are the commands with which operators inspect, check, save and restore the records.
type stateCommands struct {
	config *string
	share  float64 // of the state service's requests and changes per second
}

// stateCommand returns the state command.
func stateCommand(config *string) *cobra.Command {
	c := &stateCommands{config: config}
	root := &cobra.Command{
		Use:   "state",
		Short: "Look at, check, save and restore the records in the state service",
		Long: "The state service and its limits are those of the settings file (--config).\n" +
			"None of these commands but import writes anything.",
	}
	root.PersistentFlags().Float64Var(
		&c.share,
		"share",
		0.05,
		"the `PART` of the service's requests and changes a second to take at the most",
	)
	root.AddCommand(
		&cobra.Command{
			Use:   "stats",
			Short: "Count the records and their bytes by kind",
			Args:  cobra.NoArgs,
			RunE:  c.stats,
		},
		&cobra.Command{
			Use:   "verify",
			Short: "Check every invariant of the records, while the service runs",
			Args:  cobra.NoArgs,
			RunE:  c.verify,
		},
		&cobra.Command{
			Use:   "export FILE",
			Short: "Write all records at one revision into FILE, while the service runs",
			Args:  cobra.ExactArgs(1),
			RunE:  c.export,
		},
		&cobra.Command{
			Use:   "import FILE",
			Short: "Put an export into an empty state service",
			Args:  cobra.ExactArgs(1),
			Long: "FILE is read whole before anything is written. Until all of it is written no controller\n" +
				"serves from it. An import that was broken off is taken up by the same command.",
			RunE: c.importFile,
		},
		&cobra.Command{
			Use:   "check FILE",
			Short: "Check that an export is whole",
			Args:  cobra.ExactArgs(1),
			RunE:  checkExport,
		},
	)
	return root
}

// stats runs "state stats".
func (c *stateCommands) stats(cmd *cobra.Command, _ []string) error {
	return withRecords(cmd, *c.config, c.share, func(ctx context.Context, r records) error {
		return printStats(ctx, r.store, cmd.OutOrStdout())
	})
}

// verify runs "state verify". It fails if there is any problem.
func (c *stateCommands) verify(cmd *cobra.Command, _ []string) error {
	return withRecords(cmd, *c.config, c.share, func(ctx context.Context, r records) error {
		report, err := backup.Verify(ctx, r.store, r.limits)
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
			return errors.New("the records are not as they must be")
		}
		return nil
	})
}

// export runs "state export".
func (c *stateCommands) export(cmd *cobra.Command, args []string) error {
	return withRecords(cmd, *c.config, c.share, func(ctx context.Context, r records) error {
		end, err := exportTo(ctx, r.store, args[0])
		if err != nil {
			return err
		}
		printf(
			cmd.OutOrStdout(),
			"%s: revision %d, %d records and %d changes while they were read\n",
			args[0],
			end.Revision,
			end.Base,
			end.Changes,
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
	return withRecords(cmd, *c.config, c.share, func(ctx context.Context, r records) error {
		end, err := backup.Import(ctx, file, r.store, r.limits, time.Now())
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		printf(
			cmd.OutOrStdout(),
			"%s: the records of revision %d, of %s, are in place\n",
			args[0],
			end.Revision,
			time.UnixMilli(int64(end.At)).UTC().Format(time.RFC3339),
		)
		return nil
	})
}

// checkExport runs "state check", which needs no state service.
func checkExport(cmd *cobra.Command, args []string) error {
	file, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read
	end, err := backup.CheckExport(file)
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	printf(
		cmd.OutOrStdout(),
		"%s: whole, revision %d, %d records and %d changes\n",
		args[0],
		end.Revision,
		end.Base,
		end.Changes,
	)
	return nil
}

// exportTo writes an export beside a file and gives it the file's name only once it is complete and on
// the disk.
func exportTo(ctx context.Context, store backup.Source, name string) (end backup.Trailer, err error) {
	part, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".part-*")
	if err != nil {
		return end, err
	}
	defer func() {
		err = errors.Join(err, part.Close())
		if err == nil {
			err = os.Rename(part.Name(), name)
		}
		if err != nil {
			_ = os.Remove(part.Name()) // the first error is the one to report
		}
	}()
	if end, err = backup.Export(ctx, store, part, time.Now()); err != nil {
		return end, err
	}
	return end, part.Sync()
}

// size is a number of records and what they take.
type size struct{ keys, bytes int }

func (s size) plus(other size) size { return size{s.keys + other.keys, s.bytes + other.bytes} }

// printStats prints the numbers and bytes of records by kind, jobs by whether they are over.
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

// statsKind returns the kind of a record that printStats counts it as.
func statsKind(item wire.Item) string {
	kind := cmp.Or(ledger.RecordKind(item.Key), "unknown keys")
	if kind != "jobs" {
		return kind
	}
	for _, over := range []string{`"state":"done"`, `"state":"cancelled"`} {
		if bytes.Contains(item.Value, []byte(over)) {
			return "jobs that are over"
		}
	}
	return "jobs that are not over"
}
