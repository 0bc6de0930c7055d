// Command regress plays the operators' deployments on their bench, which is not part of
// this repository, and compares the figures with those on record.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"maddermill/internal/testing/regress"
)

const (
	kit        = "../given/kit"
	bench      = kit + "/more/hunt/bin/fleetbench"
	recordFile = "scripts/regress.json"
)

// compared are the deployments' site files; each day of one is compared.
var compared = []string{
	"added/hollinsend-portraits",
	"more/hanbit-claims-ops",
	"more/hollinsend-galleries-ops",
	"more/fleet/hanbit-claims-fleet",
	"more/fleet/hollinsend-galleries-fleet",
	"more/hunt/hanbit-claims-hunt",
	"more/hunt/hollinsend-galleries-hunt",
}

// badUse is what ends a run with status 2: it was asked for what there is not, or the bench told
// what can't be read. Nothing is recorded.
type badUse struct{ error }

func (b badUse) Unwrap() error { return b.error }

// find returns the paths of site files whose names have a text in them, and those that are not
// there, which is told.
func find(sites []string, only string) (paths, missing []string, err error) {
	if _, err := os.Stat(bench); err != nil {
		return nil, nil, badUse{
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
		err = badUse{fmt.Errorf("--only: no deployment has %q in its name", only)}
	} else if len(paths) == 0 {
		err = notRun(missing)
	}
	return paths, missing, err
}

// notRun is the end of a run that did not play all it was to play.
func notRun(missing []string) error {
	if len(missing) == 0 {
		return nil
	}
	return badUse{fmt.Errorf("not run: %s: no such site file", strings.Join(missing, ", "))}
}

func main() {
	var full, keep, own bool
	var why, only, day string
	var hunt, seeds, atOnce int
	root := &cobra.Command{
		Use:           "regress",
		Short:         "Compare the deployments' figures with those on record",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if own {
				return runOwn(only, day, seeds, atOnce, why)
			}
			if !cmd.Flags().Changed("at-once") {
				atOnce = 0
			}
			return run(full, keep, hunt, atOnce, why, only)
		},
	}
	f := root.Flags()
	f.BoolVar(&full, "full", false, "all days and a hunt, not the two roughest days")
	f.Bool("quick", true, "the two roughest days of each deployment")
	f.IntVar(&hunt, "hunt", 4, "`DAYS` of the hunt on each deployment, with --full; 0: none")
	f.BoolVar(&keep, "record", false, "take the figures into the record, as a mean over the runs in it")
	f.BoolVar(&own, "own", false, "days of our own instead: half as many machines again, troubles stacked")
	f.StringVar(&day, "day", "", "with --own: days whose names have `TEXT` in them")
	f.IntVar(&seeds, "seeds", 1, "with --own: `N` orders of the days on which troubles meet")
	f.IntVar(
		&atOnce,
		"at-once",
		4,
		"days played at once; without --own, if it isn't given, as many as the bench plays by itself",
	)
	f.StringVar(&only, "only", "", "deployments whose names have `TEXT` in them")
	f.StringVar(&why, "why", "Regression before a landing", "what the journal says of the runs")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "regress:", err)
		if errors.As(err, new(badUse)) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func run(full, keep bool, hunt, atOnce int, why, only string) error {
	if hunt < 0 {
		return badUse{fmt.Errorf("--hunt: %d is no number of days; 0: none", hunt)}
	}
	if atOnce < 0 {
		return badUse{fmt.Errorf("--at-once: %d is no number of days to play at once; at least 1", atOnce)}
	}
	var jobs []string
	if atOnce > 0 {
		jobs = []string{"--jobs", fmt.Sprint(atOnce)}
	}
	sites, missing, err := find(compared, only)
	if err != nil {
		return err
	}
	record := regress.Record{}
	b, err := os.ReadFile(recordFile)
	if err == nil {
		err = json.Unmarshal(b, &record)
	} else if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		return badUse{fmt.Errorf("%s: %w", recordFile, err)}
	}
	args := append([]string{"score"}, sites...)
	if !full {
		args = append(args, "--quick")
	}
	now, broken, err := play(slices.Concat(args, jobs, []string{"--why", why})...)
	if err != nil {
		return err
	}
	// A single run moves by more than what is looked for: what fell is played twice more.
	for _, fall := range record.Compare(now) {
		site := slices.IndexFunc(sites, func(s string) bool { return filepath.Base(s) == fall.Site+".toml" })
		fmt.Println("again:", fall)
		for range 2 {
			again, worse, err := play("run", sites[site], fall.Name, "--why", "Again, after a lower figure")
			if err != nil {
				return err
			}
			broken = append(broken, worse...)
			for name, d := range again[fall.Site] {
				now.Add(regress.Played{Site: fall.Site, Name: name, Figure: d.Figure, Aims: d.Aims})
			}
		}
	}
	if full && hunt > 0 {
		for _, s := range sites {
			_, worse, err := play(
				slices.Concat([]string{"hunt", s, "--days", fmt.Sprint(hunt)}, jobs, []string{"--why", why})...)
			if err != nil {
				return err
			}
			broken = append(broken, worse...)
		}
	}
	falls := record.Compare(now)
	for _, site := range slices.Sorted(maps.Keys(now)) {
		for _, name := range slices.Sorted(maps.Keys(now[site])) {
			fmt.Printf("%s, %s: %.3f, on record %.3f\n", site, name, now[site][name].Figure, record[site][name].Figure)
		}
	}
	if len(broken) == 0 && len(falls) == 0 {
		if keep {
			return errors.Join(save(record, now), notRun(missing))
		}
		return notRun(missing)
	}
	for _, f := range falls {
		broken = append(broken, "fell: "+f.String())
	}
	return errors.New(strings.Join(broken, "\nregress: "))
}

// play runs the bench and reads what its journal says of the run's days.
func play(args ...string) (regress.Record, []string, error) {
	before, err := entries()
	if err != nil {
		return nil, nil, err
	}
	c := exec.Command(bench, args...)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	if err := c.Run(); err != nil {
		// A broken rule is in the journal and told below.
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
			return nil, nil, badUse{fmt.Errorf("%s: the bench's entry can't be read: %w", name, err)}
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
		return nil, nil, badUse{errors.New("the bench left no days in its journal")}
	}
	return out, broken, nil
}

func entries() (map[string]bool, error) {
	names, err := filepath.Glob("journal/*.json")
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out, err
}

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
