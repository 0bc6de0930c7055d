// Command regress plays the operators' deployments on their bench, which is not part of
// this repository, and compares the figures with those on record.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"maddermill/internal/testing/regress"
)

const (
	// kit is the operators' directory, from the root of this repository.
	kit        = "../given/kit"
	bench      = kit + "/more/hunt/bin/fleetbench"
	recordFile = "scripts/regress.json"
)

// compared are the deployments' site files; each day of one is compared.
var compared = []string{
	"added/hollinsend-portraits",
	"change/hanbit-claims-next",
	"change/hollinsend-galleries-next",
	"more/fleet/hanbit-claims-fleet",
	"more/fleet/hollinsend-galleries-fleet",
	"more/hunt/hanbit-claims-hunt",
	"more/hunt/hollinsend-galleries-hunt",
}

// incompleteError ends a run with status 2: it was asked for something that does not exist, a day
// could not be played, or the bench's output can't be read. Nothing is recorded.
type incompleteError struct{ error }

// Unwrap returns the cause.
func (e incompleteError) Unwrap() error { return e.error }

// options are the command's flags.
type options struct {
	own    bool
	full   bool
	record bool
	hunt   int // days of the hunt on each deployment; 0: none
	atOnce int // days played at once; 0: what the bench does by itself
	seeds  int // of the days on which faults meet
	why    string
	only   string // a part of the deployments' names
	day    string // a part of the days' names
}

// find returns the paths of those of the site files whose names contain a text, and those of them
// that don't exist, which it reports on standard error. It fails if there is none to play.
func find(sites []string, only string) (paths, missing []string, err error) {
	if _, err := os.Stat(bench); err != nil {
		return nil, nil, incompleteError{
			fmt.Errorf("not run: %d deployments: the operators' bench is not here: %w", len(sites), err),
		}
	}
	for _, s := range sites {
		if !strings.Contains(filepath.Base(s), only) {
			continue
		}
		path := kit + "/" + s + ".toml"
		if _, err := os.Stat(path); err != nil {
			fmt.Fprintln(os.Stderr, "regress: not run:", err)
			missing = append(missing, path)
			continue
		}
		paths = append(paths, path)
	}
	if len(paths)+len(missing) == 0 {
		err = incompleteError{fmt.Errorf("--only: no deployment has %q in its name", only)}
	} else if len(paths) == 0 {
		err = notRun(missing)
	}
	return paths, missing, err
}

// notRun is the error of a run that could not play some sites, or nil if there are none.
func notRun(missing []string) error {
	if len(missing) == 0 {
		return nil
	}
	return incompleteError{fmt.Errorf("not run: %s: no such site file", strings.Join(missing, ", "))}
}

func main() {
	if err := newCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "regress:", err)
		if errors.As(err, new(incompleteError)) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

// newCommand returns the command with its flags.
func newCommand() *cobra.Command {
	var o options
	root := &cobra.Command{
		Use:           "regress",
		Short:         "Compare the deployments' figures with those on record",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.own {
				return runOwn(cmd.Context(), o)
			}
			if !cmd.Flags().Changed("at-once") {
				o.atOnce = 0
			}
			return run(cmd.Context(), o)
		},
	}
	f := root.Flags()
	f.BoolVar(&o.full, "full", false, "all days and a hunt, not the two roughest days")
	f.Bool("quick", true, "the two roughest days of each deployment")
	f.IntVar(&o.hunt, "hunt", 4, "`DAYS` of the hunt on each deployment, with --full; 0: none")
	f.BoolVar(&o.record, "record", false, "take the figures into the record, as a mean over the runs in it")
	f.BoolVar(&o.own, "own", false, "days of our own instead: half as many machines again, troubles stacked")
	f.StringVar(&o.day, "day", "", "with --own: days whose names have `TEXT` in them")
	f.IntVar(&o.seeds, "seeds", 1, "with --own: `N` orders of the days on which troubles meet")
	f.IntVar(&o.atOnce, "at-once", 4,
		"days played at once; without --own, if it isn't given, as many as the bench plays by itself")
	f.StringVar(&o.only, "only", "", "deployments whose names have `TEXT` in them")
	f.StringVar(&o.why, "why", "Regression before a landing", "what the journal says of the runs")
	return root
}

// run plays the deployments' days and compares them with the record. It fails with all days that
// fell or failed, and records the figures of a run without any if it is asked to.
func run(ctx context.Context, o options) error {
	if o.hunt < 0 {
		return incompleteError{fmt.Errorf("--hunt: %d is no number of days; 0: none", o.hunt)}
	}
	if o.atOnce < 0 {
		return incompleteError{fmt.Errorf("--at-once: %d is no number of days to play at once; at least 1", o.atOnce)}
	}
	sites, missing, err := find(compared, o.only)
	if err != nil {
		return err
	}
	record, err := readRecord()
	if err != nil {
		return incompleteError{fmt.Errorf("%s: %w", recordFile, err)}
	}
	args := append([]string{"score"}, sites...)
	if !o.full {
		args = append(args, "--quick")
	}
	now, broken, err := play(ctx, append(args, o.benchArgs()...)...)
	if err != nil {
		return err
	}
	worse, err := playFallenAgain(ctx, sites, record, now)
	if err != nil {
		return err
	}
	broken = append(broken, worse...)
	if o.full && o.hunt > 0 {
		if worse, err = playHunts(ctx, sites, o); err != nil {
			return err
		}
		broken = append(broken, worse...)
	}
	printFigures(record, now)
	for _, f := range record.Compare(now) {
		broken = append(broken, "fell: "+f.String())
	}
	if len(broken) > 0 {
		return errors.New(strings.Join(broken, "\nregress: "))
	}
	if o.record {
		return errors.Join(save(record, now), notRun(missing))
	}
	return notRun(missing)
}

// benchArgs are the bench's arguments that follow from the flags.
func (o options) benchArgs() []string {
	why := []string{"--why", o.why}
	if o.atOnce > 0 {
		return append([]string{"--jobs", strconv.Itoa(o.atOnce)}, why...)
	}
	return why
}

// readRecord reads the figures on record; without a file there are none.
func readRecord() (regress.Record, error) {
	record := regress.Record{}
	b, err := os.ReadFile(recordFile)
	if errors.Is(err, fs.ErrNotExist) {
		return record, nil
	}
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(b, &record)
	return record, err
}

// playFallenAgain plays each day that fell twice more and includes the runs in now: a single run
// differs by more than regress.Noise. It returns what failed in them.
func playFallenAgain(ctx context.Context, sites []string, record, now regress.Record) (broken []string, err error) {
	for _, fall := range record.Compare(now) {
		site := slices.IndexFunc(sites, func(s string) bool { return filepath.Base(s) == fall.Site+".toml" })
		fmt.Println("again:", fall)
		for range 2 {
			again, worse, err := play(ctx, "run", sites[site], fall.Name, "--why", "Again, after a lower figure")
			if err != nil {
				return nil, err
			}
			broken = append(broken, worse...)
			for name, d := range again[fall.Site] {
				now.Add(regress.Played{Site: fall.Site, Name: name, Figure: d.Figure, Aims: d.Aims})
			}
		}
	}
	return broken, nil
}

// playHunts has the bench hunt for bad days on each site and returns what failed on them.
func playHunts(ctx context.Context, sites []string, o options) (broken []string, err error) {
	for _, site := range sites {
		args := []string{"hunt", site, "--days", strconv.Itoa(o.hunt)}
		_, worse, err := play(ctx, append(args, o.benchArgs()...)...)
		if err != nil {
			return nil, err
		}
		broken = append(broken, worse...)
	}
	return broken, nil
}

// printFigures prints a line for each day, by site and name.
func printFigures(record, now regress.Record) {
	for _, site := range slices.Sorted(maps.Keys(now)) {
		for _, name := range slices.Sorted(maps.Keys(now[site])) {
			fmt.Printf("%s, %s: %.3f, on record %.3f\n", site, name, now[site][name].Figure, record[site][name].Figure)
		}
	}
}

// play runs the bench and reads the days of the run from the entries that it adds to its journal.
// It returns the means of the days that can be compared, and what failed on all.
func play(ctx context.Context, args ...string) (regress.Record, []string, error) {
	before, err := entries()
	if err != nil {
		return nil, nil, err
	}
	c := exec.CommandContext(ctx, bench, args...)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	if err := c.Run(); err != nil {
		// A broken rule is in the journal and reported below.
		fmt.Fprintln(os.Stderr, "regress:", args[0], err)
	}
	after, err := entries()
	if err != nil {
		return nil, nil, err
	}
	out, broken := regress.Record{}, []string(nil)
	for name := range after {
		if before[name] {
			continue
		}
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, err
		}
		days, err := regress.Parse(b)
		if err != nil {
			return nil, nil, incompleteError{fmt.Errorf("%s: the bench's entry can't be read: %w", name, err)}
		}
		for _, d := range days {
			for _, rule := range d.Broken {
				broken = append(broken, fmt.Sprintf("%s, %s: %s", d.Site, d.Name, rule))
			}
			if args[0] != "hunt" && !strings.HasPrefix(d.Name, "fresh") { // drawn anew each time
				out.Add(d)
			}
		}
	}
	if len(out) == 0 && args[0] != "hunt" {
		return nil, nil, incompleteError{errors.New("the bench left no days in its journal")}
	}
	return out, broken, nil
}

// entries returns the names of the journal's entries.
func entries() (map[string]bool, error) {
	names, err := filepath.Glob("journal/*.json")
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out, err
}

// save writes the record with the figures of now included.
func save(record, now regress.Record) error {
	for site, days := range now {
		for name, d := range days {
			for range d.Runs { // each with the mean: the sums are the same
				record.Add(regress.Played{Site: site, Name: name, Figure: d.Figure, Aims: d.Aims})
			}
		}
	}
	b, err := json.MarshalIndent(record, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(recordFile, append(b, '\n'), 0o644)
}
