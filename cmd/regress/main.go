// Command regress runs the operators' deployments on their simulation bench, which is not part of this
// repository, and compares the resulting scores with the recorded ones. Each deployment is a site file
// with days, which are simulated scenarios of load and faults.
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

	"maddermill/internal/exactjson"
	"maddermill/internal/testing/regress"
)

const (
	// kitDir is the operators' directory, relative to the root of this repository.
	kitDir     = "../given/kit"
	benchPath  = kitDir + "/more/hunt/bin/fleetbench"
	recordFile = "scripts/regress.json"
)

// comparedSites are the site files of the deployments; every day of them is compared.
var comparedSites = []string{
	"added/hollinsend-portraits",
	"change/hanbit-claims-next",
	"change/hollinsend-galleries-next",
	"more/fleet/hanbit-claims-fleet",
	"more/fleet/hollinsend-galleries-fleet",
	"more/hunt/hanbit-claims-hunt",
	"more/hunt/hollinsend-galleries-hunt",
}

// incompleteError is an error that makes the command exit with 2: the arguments are invalid or name
// something that does not exist, a day could not be run, or the bench's output could not be read. Nothing
// is recorded, unless only some of the site files are missing.
type incompleteError struct{ error }

// Unwrap returns the cause.
func (e incompleteError) Unwrap() error { return e.error }

// options holds the command's flags.
type options struct {
	custom     bool
	full       bool
	record     bool
	huntDays   int // days that the bench searches for failures on each deployment; 0: none
	parallel   int // days run concurrently; 0: the bench's default
	seeds      int // number of seeds for the days with overlapping faults
	reason     string
	siteFilter string // substring of the deployments' names
	dayFilter  string // substring of the days' names
}

// findSites returns the paths of the site files whose names contain siteFilter: the existing ones, and
// the missing ones, which it also reports on standard error. It returns an error if there is no site to
// run or the bench is missing.
func findSites(sites []string, siteFilter string) (paths, missing []string, err error) {
	if _, err := os.Stat(benchPath); err != nil {
		return nil, nil, incompleteError{
			fmt.Errorf("not run: %d deployments: the operators' bench is missing: %w", len(sites), err),
		}
	}
	for _, s := range sites {
		if !strings.Contains(filepath.Base(s), siteFilter) {
			continue
		}
		path := kitDir + "/" + s + ".toml"
		if _, err := os.Stat(path); err != nil {
			fmt.Fprintln(os.Stderr, "regress: not run:", err)
			missing = append(missing, path)
			continue
		}
		paths = append(paths, path)
	}
	if len(paths)+len(missing) == 0 {
		err = incompleteError{fmt.Errorf("--only: no deployment name contains %q", siteFilter)}
	} else if len(paths) == 0 {
		err = missingSitesError(missing)
	}
	return paths, missing, err
}

// missingSitesError returns an error that names the site files that are missing, or nil if there are none.
func missingSitesError(missing []string) error {
	if len(missing) == 0 {
		return nil
	}
	return incompleteError{fmt.Errorf("not run: %s: site file not found", strings.Join(missing, ", "))}
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
		Short:         "Compare the deployments' scores with the recorded ones",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.custom {
				return runCustom(cmd.Context(), o)
			}
			if !cmd.Flags().Changed("at-once") {
				o.parallel = 0
			}
			return run(cmd.Context(), o)
		},
	}
	f := root.Flags()
	f.BoolVar(&o.full, "full", false, "run all days and search for failures, instead of only the two hardest days")
	f.Bool("quick", true, "run the two hardest days of each deployment")
	f.IntVar(&o.huntDays, "hunt", 4, "with --full: `DAYS` to search for failures on each deployment; 0: none")
	f.BoolVar(&o.record, "record", false, "merge the scores into the record, which holds means over all its runs")
	f.BoolVar(&o.custom, "own", false, "run custom days instead: 1.5 times the machines, and combined faults")
	f.StringVar(&o.dayFilter, "day", "", "with --own: run only days whose names contain `TEXT`")
	f.IntVar(&o.seeds, "seeds", 1, "with --own: number `N` of seeds for the days with overlapping faults")
	f.IntVar(&o.parallel, "at-once", 4,
		"days to run concurrently; without --own the default is the bench's")
	f.StringVar(&o.siteFilter, "only", "", "run only deployments whose names contain `TEXT`")
	f.StringVar(&o.reason, "why", "Regression before a landing", "reason for the runs, for the bench's journal")
	return root
}

// run runs the deployments' days and compares their scores with the record. It returns an error that
// lists all regressions and failures. If there are none and o.record is set, it records the scores.
func run(ctx context.Context, o options) error {
	if o.huntDays < 0 {
		return incompleteError{fmt.Errorf("--hunt: %d must not be negative", o.huntDays)}
	}
	if o.parallel < 0 {
		return incompleteError{fmt.Errorf("--at-once: %d must be at least 1", o.parallel)}
	}
	sites, missing, err := findSites(comparedSites, o.siteFilter)
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
	current, failures, err := runBench(ctx, append(args, o.benchArgs()...)...)
	if err != nil {
		return err
	}
	more, err := rerunRegressions(ctx, sites, record, current)
	if err != nil {
		return err
	}
	failures = append(failures, more...)
	if o.full && o.huntDays > 0 {
		if more, err = runHunts(ctx, sites, o); err != nil {
			return err
		}
		failures = append(failures, more...)
	}
	printFigures(record, current)
	for _, f := range record.Compare(current) {
		failures = append(failures, "regressed: "+f.String())
	}
	if len(failures) > 0 {
		return errors.New(strings.Join(failures, "\nregress: "))
	}
	if o.record {
		return errors.Join(saveRecord(record, current), missingSitesError(missing))
	}
	return missingSitesError(missing)
}

// benchArgs returns the bench's arguments that the flags determine.
func (o options) benchArgs() []string {
	reason := []string{"--why", o.reason}
	if o.parallel > 0 {
		return append([]string{"--jobs", strconv.Itoa(o.parallel)}, reason...)
	}
	return reason
}

// readRecord reads the recorded scores. The record is empty if the file does not exist.
func readRecord() (regress.Record, error) {
	record := regress.Record{}
	b, err := os.ReadFile(recordFile)
	if errors.Is(err, fs.ErrNotExist) {
		return record, nil
	}
	if err != nil {
		return nil, err
	}
	err = exactjson.Unmarshal(b, &record)
	return record, err
}

// rerunRegressions runs each regressed day twice more and adds the runs to current, because the scores
// of single runs may differ by more than regress.Noise. It returns the failures of the reruns.
func rerunRegressions(
	ctx context.Context,
	sites []string,
	record, current regress.Record,
) (failures []string, err error) {
	for _, regression := range record.Compare(current) {
		site := slices.IndexFunc(sites, func(s string) bool { return filepath.Base(s) == regression.Site+".toml" })
		fmt.Println("rerunning:", regression)
		for range 2 {
			rerun, more, err := runBench(ctx, "run", sites[site], regression.Name, "--why", "Again, after a lower figure")
			if err != nil {
				return nil, err
			}
			failures = append(failures, more...)
			for name, d := range rerun[regression.Site] {
				current.Add(regress.Played{Site: regression.Site, Name: name, Figure: d.Figure, Aims: d.Aims})
			}
		}
	}
	return failures, nil
}

// runHunts has the bench search each site for days that fail, and returns the failures.
func runHunts(ctx context.Context, sites []string, o options) (failures []string, err error) {
	for _, site := range sites {
		args := []string{"hunt", site, "--days", strconv.Itoa(o.huntDays)}
		_, more, err := runBench(ctx, append(args, o.benchArgs()...)...)
		if err != nil {
			return nil, err
		}
		failures = append(failures, more...)
	}
	return failures, nil
}

// printFigures prints a line for each day, ordered by site and name.
func printFigures(record, current regress.Record) {
	for _, site := range slices.Sorted(maps.Keys(current)) {
		for _, name := range slices.Sorted(maps.Keys(current[site])) {
			fmt.Printf("%s, %s: %.3f, on record %.3f\n", site, name, current[site][name].Figure, record[site][name].Figure)
		}
	}
}

// runBench runs the bench and reads the results from the entries that it adds to its journal. It returns
// the mean scores of the comparable days, and the failures of all days.
func runBench(ctx context.Context, args ...string) (regress.Record, []string, error) {
	before, err := journalEntries()
	if err != nil {
		return nil, nil, err
	}
	c := exec.CommandContext(ctx, benchPath, args...)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	if err := c.Run(); err != nil {
		// A violated rule also makes the bench fail; it is in the journal and reported below.
		fmt.Fprintln(os.Stderr, "regress:", args[0], err)
	}
	after, err := journalEntries()
	if err != nil {
		return nil, nil, err
	}
	out, failures := regress.Record{}, []string(nil)
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
			return nil, nil, incompleteError{fmt.Errorf("%s: parsing the bench's journal entry: %w", name, err)}
		}
		for _, d := range days {
			for _, rule := range d.Broken {
				failures = append(failures, fmt.Sprintf("%s, %s: %s", d.Site, d.Name, rule))
			}
			if args[0] != "hunt" && !strings.HasPrefix(d.Name, "fresh") { // generated anew for each run, so not comparable
				out.Add(d)
			}
		}
	}
	if len(out) == 0 && args[0] != "hunt" {
		return nil, nil, incompleteError{errors.New("the bench recorded no days in its journal")}
	}
	return out, failures, nil
}

// journalEntries returns the file names of the bench's journal entries.
func journalEntries() (map[string]bool, error) {
	names, err := filepath.Glob("journal/*.json")
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out, err
}

// saveRecord adds the runs of current to the record and writes it.
func saveRecord(record, current regress.Record) error {
	for site, days := range current {
		for name, d := range days {
			for range d.Runs { // adding the mean once per run gives the same total
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
