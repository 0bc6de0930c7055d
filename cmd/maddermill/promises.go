package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/exactjson"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/settings"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// listPageItems is the page size, in keys, of commands that list records.
const listPageItems = 1000

// promisesCommand returns the promises command, with which operators validate the register of galleries
// and inspect the galleries' deadlines. A gallery is a group of jobs with a promised completion date.
func promisesCommand(config *string) *cobra.Command {
	root := &cobra.Command{
		Use:   "promises",
		Short: "Validate a register of galleries, and show their deadlines and states (docs/promises.md)",
	}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a register and report any errors; with --config also its teams",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkRegister(cmd.OutOrStdout(), args[0], *config)
		},
	}
	var allDates bool
	show := &cobra.Command{
		Use:   "show",
		Short: "List the galleries on record with their deadlines and states, ended ones last",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withStateClient(cmd, *config, defaultShare, func(ctx context.Context, client stateClient) error {
				return showGalleries(ctx, client.store, cmd.OutOrStdout(), allDates)
			})
		},
	}
	show.Flags().BoolVar(&allDates, "dates", false, "also list every deadline that was promised, with the time and reason")
	root.AddCommand(check, show)
	return root
}

// checkRegister validates a register, and its teams if config names a settings file.
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

// showGalleries prints the galleries on record and in the archive, with every deadline that was promised
// if allDates is set.
func showGalleries(ctx context.Context, store *kvstore.Client, w io.Writer, allDates bool) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printLine(out, "GALLERY\tTEAM\tPROMISED\tSTATE\tSINCE\tWHY")
	count := 0
	for _, prefix := range []string{ledger.GalleryPrefix, ledger.FinalGalleryKey("")} {
		err := kvstore.Each(ctx, store, prefix, listPageItems, func(item wire.Item) error {
			var gallery ledger.GalleryRecord
			if err := exactjson.Unmarshal(item.Value, &gallery); err != nil || len(gallery.Promises) == 0 {
				return errors.Join(fmt.Errorf("%s: invalid gallery record", item.Key), err)
			}
			count++
			printGallery(out, strings.TrimPrefix(item.Key, prefix), &gallery, allDates)
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

// printGallery prints a row for a gallery and, if allDates is set, one for each deadline promised for it.
func printGallery(w io.Writer, id string, gallery *ledger.GalleryRecord, allDates bool) {
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
	if !allDates {
		return
	}
	for _, p := range gallery.Promises {
		printf(w, "  on %s\t\t%s\t\t\t%s\n", format(p.At), format(p.Date), p.Reason)
	}
}
