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
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/controller"
	"maddermill/internal/settings"
	"maddermill/internal/state/backup"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// stateCommand is what operators look at, check, save and restore the records with.
func stateCommand(config *string) *cobra.Command {
	var share float64
	root := &cobra.Command{
		Use:   "state",
		Short: "Look at, check, save and restore the records in the state service",
		Long:  "The state service and its limits are those of the settings file (--config).\nNone of these commands but import writes anything.",
	}
	root.PersistentFlags().Float64Var(
		&share,
		"share",
		0.05,
		"the `PART` of the service's requests and changes a second to take at the most",
	)
	open := func(cmd *cobra.Command) (context.Context, *kvstore.Client, ledger.Limits, func(), error) {
		return openState(cmd, *config, share)
	}
	root.AddCommand(
		&cobra.Command{Use: "stats", Short: "Count the records and their bytes by kind", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				ctx, store, _, done, err := open(cmd)
				if err != nil {
					return err
				}
				defer done()
				return stateStats(ctx, store, cmd.OutOrStdout())
			}},
		&cobra.Command{
			Use:   "verify",
			Short: "Check every invariant of the records, while the service runs",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				ctx, store, limits, done, err := open(cmd)
				if err != nil {
					return err
				}
				defer done()
				r, err := backup.Verify(ctx, store, limits)
				if err != nil {
					return err
				}
				for _, p := range r.Problems {
					fmt.Fprintln(cmd.OutOrStdout(), p)
				}
				fmt.Fprintf(
					cmd.OutOrStdout(),
					"%d records and %d that are archived at revision %d, %d problems\n",
					r.Records-r.Archived,
					r.Archived,
					r.Revision,
					len(r.Problems)+r.More,
				)
				if len(r.Problems) > 0 {
					return errors.New("the records are not as they must be")
				}
				return nil
			},
		},
		&cobra.Command{
			Use:   "export FILE",
			Short: "Write all records at one revision into FILE, while the service runs",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				ctx, store, _, done, err := open(cmd)
				if err != nil {
					return err
				}
				defer done()
				end, err := exportTo(ctx, store, args[0])
				if err == nil {
					fmt.Fprintf(
						cmd.OutOrStdout(),
						"%s: revision %d, %d records and %d changes while they were read\n",
						args[0],
						end.Revision,
						end.Base,
						end.Changes,
					)
				}
				return err
			},
		},
		&cobra.Command{
			Use:   "import FILE",
			Short: "Put an export into an empty state service",
			Args:  cobra.ExactArgs(1),
			Long:  "FILE is read whole before anything is written. Until all of it is written no controller\nserves from it. An import that was broken off is taken up by the same command.",
			RunE: func(cmd *cobra.Command, args []string) error {
				f, err := os.Open(args[0])
				if err != nil {
					return err
				}
				defer f.Close()
				ctx, store, limits, done, err := open(cmd)
				if err != nil {
					return err
				}
				defer done()
				end, err := backup.Import(ctx, f, store, limits, time.Now())
				if err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				fmt.Fprintf(
					cmd.OutOrStdout(),
					"%s: the records of revision %d, of %s, are in place\n",
					args[0],
					end.Revision,
					time.UnixMilli(int64(end.At)).UTC().Format(time.RFC3339),
				)
				return nil
			},
		},
		&cobra.Command{Use: "check FILE", Short: "Check that an export is whole", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				f, err := os.Open(args[0])
				if err != nil {
					return err
				}
				defer f.Close()
				end, err := backup.CheckExport(f)
				if err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				fmt.Fprintf(
					cmd.OutOrStdout(),
					"%s: whole, revision %d, %d records and %d changes\n",
					args[0],
					end.Revision,
					end.Base,
					end.Changes,
				)
				return nil
			}},
	)
	return root
}

// openState opens the state service that a settings file names, for a part of its requests
// and changes a second.
func openState(
	cmd *cobra.Command,
	config string,
	share float64,
) (context.Context, *kvstore.Client, ledger.Limits, func(), error) {
	fail := func(err error) (context.Context, *kvstore.Client, ledger.Limits, func(), error) {
		return nil, nil, ledger.Limits{}, nil, err
	}
	if config == "" {
		return fail(errors.New("--config is missing"))
	}
	if !(share > 0 && share <= 1) {
		return fail(fmt.Errorf("--share: %g is not above 0 and up to 1", share))
	}
	set, err := settings.Load(config, "")
	if err != nil {
		return fail(err)
	}
	dialer, err := transport.NewDialer(64 << 20)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	h := &http1.Client{Dialer: dialer, Addr: set.Outside.State, MaxIdle: 2, MaxBody: 64 << 20}
	s := set.Cluster.State
	return ctx, kvstore.NewClient(
			h,
			h,
			s.RPS*share,
			s.WriteRPS*share,
			1,
			s.TxnOps,
		), controller.Limits(
			set,
		), func() { stop(); dialer.Stop() }, nil
}

// exportTo writes an export beside FILE and gives it its name only once it is whole and on
// the disk.
func exportTo(ctx context.Context, store backup.Source, name string) (end backup.End, err error) {
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".part-*")
	if err != nil {
		return end, err
	}
	defer func() {
		err = errors.Join(err, f.Close())
		if err == nil {
			err = os.Rename(f.Name(), name)
		}
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	if end, err = backup.Export(ctx, store, f, time.Now()); err != nil {
		return end, err
	}
	return end, f.Sync()
}

// stateStats prints counts and bytes of records, jobs by their state.
func stateStats(ctx context.Context, store backup.Source, w io.Writer) error {
	type sum struct{ keys, bytes int }
	sums := map[string]sum{}
	revision, err := backup.Pages(ctx, store, ledger.AllPrefix, func(items []wire.Item) error {
		for _, it := range items {
			kind := cmp.Or(ledger.RecordKind(it.Key), "unknown keys")
			if kind == "jobs" {
				kind = "jobs that are not over"
				if bytes.Contains(it.Value, []byte(`"state":"done"`)) || bytes.Contains(it.Value, []byte(`"state":"cancelled"`)) {
					kind = "jobs that are over"
				}
			}
			s := sums[kind]
			sums[kind] = sum{s.keys + 1, s.bytes + len(it.Key) + len(it.Value)}
		}
		return nil
	}, func([]wire.Event) error { return nil })
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "keys\tbytes\tkind\t")
	var all sum
	for _, kind := range slices.Sorted(maps.Keys(sums)) {
		s := sums[kind]
		all = sum{all.keys + s.keys, all.bytes + s.bytes}
		fmt.Fprintf(t, "%d\t%d\t%s\t\n", s.keys, s.bytes, kind)
	}
	fmt.Fprintf(t, "%d\t%d\tall, about revision %d\t\n", all.keys, all.bytes, revision)
	return t.Flush()
}
