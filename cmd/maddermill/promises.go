package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/settings"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

func promisesCommand(config *string) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "promises",
		Short: "Check a register of galleries, and show what became of their dates (docs/promises.md)",
	}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a register and name what is wrong; with --config its teams, too",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var set *settings.Settings
			if *config != "" {
				s, err := settings.Load(*config, "")
				if err != nil {
					return err
				}
				set = s
			}
			r, err := deadlinetracker.Read(args[0], set)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[0], r)
			}
			return err
		},
	}
	var dates bool
	show := &cobra.Command{
		Use:   "show",
		Short: "List the galleries on record with their dates and states, those that are over last",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, store, limits, done, err := openState(cmd, *config, 0.2)
			if err != nil {
				return err
			}
			defer done()
			return showGalleries(ctx, store, limits, cmd.OutOrStdout(), dates)
		},
	}
	show.Flags().BoolVar(&dates, "dates", false, "every date that was promised, when and why")
	cmd.AddCommand(check, show)
	return cmd
}

// showGalleries prints the galleries on record and in the archive.
func showGalleries(ctx context.Context, store kvstore.Store, limits ledger.Limits, w io.Writer, dates bool) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "GALLERY\tTEAM\tPROMISED\tSTATE\tSINCE\tWHY")
	count := 0
	for _, prefix := range []string{ledger.GalleryPrefix, ledger.FinalGalleryKey("")} {
		err := kvstore.Each(ctx, store, prefix, 1000, func(it wire.Item) error {
			var g ledger.GalleryRecord
			if err := json.Unmarshal(it.Value, &g); err != nil || len(g.Promises) == 0 {
				return errors.Join(fmt.Errorf("%s: is no gallery", it.Key), err)
			}
			count++
			stamp := func(t wire.UnixMillis) string { return t.Time().UTC().Format(time.RFC3339) }
			st := string(g.State)
			if st == "" {
				st = "open"
			}
			fmt.Fprintf(
				out,
				"%s\t%s\t%s\t%s\t%s\t%s\n",
				strings.TrimPrefix(it.Key, prefix),
				g.Team,
				stamp(g.Promises[len(g.Promises)-1].Date),
				st,
				stamp(g.Since),
				g.Why,
			)
			for _, p := range g.Promises {
				if dates {
					fmt.Fprintf(out, "  on %s\t\t%s\t\t\t%s\n", stamp(p.At), stamp(p.Date), p.Why)
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	if err := out.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d galleries\n", count)
	return nil
}
