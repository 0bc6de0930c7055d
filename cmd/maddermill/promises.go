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

// listPageItems is how many keys commands that list records read at once.
const listPageItems = 1000

// promisesCommand returns the promises command, with which operators check the register of galleries
// and inspect the galleries' deadlines.
func promisesCommand(config *string) *cobra.Command {
	root := &cobra.Command{
		Use:   "promises",
		Short: "Check a register of galleries, and show what became of their dates (docs/promises.md)",
	}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a register and name what is wrong; with --config its teams, too",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkRegister(cmd.OutOrStdout(), args[0], *config)
		},
	}
	var dates bool
	show := &cobra.Command{
		Use:   "show",
		Short: "List the galleries on record with their dates and states, those that are over last",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withRecords(cmd, *config, commandShare, func(ctx context.Context, r records) error {
				return showGalleries(ctx, r.store, cmd.OutOrStdout(), dates)
			})
		},
	}
	show.Flags().BoolVar(&dates, "dates", false, "every date that was promised, when and why")
	root.AddCommand(check, show)
	return root
}

// checkRegister checks a register, and its teams if config names a settings file.
func checkRegister(w io.Writer, file, config string) error {
	var set *settings.Settings
	if config != "" {
		var err error
		if set, err = settings.Load(config, ""); err != nil {
			return err
		}
	}
	register, err := deadlinetracker.Read(file, set)
	if err != nil {
		return err
	}
	printf(w, "%s: %s\n", file, register)
	return nil
}

// showGalleries prints the galleries on record and in the archive, and every deadline of theirs if dates
// is set.
func showGalleries(ctx context.Context, store *kvstore.Client, w io.Writer, dates bool) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printLine(out, "GALLERY\tTEAM\tPROMISED\tSTATE\tSINCE\tWHY")
	count := 0
	for _, prefix := range []string{ledger.GalleryPrefix, ledger.FinalGalleryKey("")} {
		err := kvstore.Each(ctx, store, prefix, listPageItems, func(item wire.Item) error {
			var gallery ledger.GalleryRecord
			if err := json.Unmarshal(item.Value, &gallery); err != nil || len(gallery.Promises) == 0 {
				return errors.Join(fmt.Errorf("%s: is no gallery", item.Key), err)
			}
			count++
			printGallery(out, strings.TrimPrefix(item.Key, prefix), &gallery, dates)
			return nil
		})
		if err != nil {
			return err
		}
	}
	if err := out.Flush(); err != nil {
		return err
	}
	printf(w, "%d galleries\n", count)
	return nil
}

// printGallery prints a gallery as a row, and every deadline of it as one if dates is set.
func printGallery(w io.Writer, id string, gallery *ledger.GalleryRecord, dates bool) {
	format := func(t wire.UnixMillis) string { return t.Time().UTC().Format(time.RFC3339) }
	state := string(gallery.State)
	if state == "" {
		state = "open"
	}
	printf(
		w,
		"%s\t%s\t%s\t%s\t%s\t%s\n",
		id,
		gallery.Team,
		format(gallery.Promises[len(gallery.Promises)-1].Date),
		state,
		format(gallery.Since),
		gallery.Reason,
	)
	if !dates {
		return
	}
	for _, p := range gallery.Promises {
		printf(w, "  on %s\t\t%s\t\t\t%s\n", format(p.At), format(p.Date), p.Reason)
	}
}
