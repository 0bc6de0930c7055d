package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"maddermill/internal/testing/regress"
)

// customDir is the directory for custom sites and the output of their days.
const customDir = "target/own"

// customSites are the site files from which custom sites and days are generated.
var customSites = []string{
	"added/hollinsend-portraits",
	"more/hunt/hanbit-claims-hunt",
	"more/hunt/hollinsend-galleries-hunt",
}

// customRun collects the results of the custom days of a run. Several goroutines run the days.
type customRun struct {
	started int // days started; used only by the goroutine that starts them

	mu         sync.Mutex // guards the fields below
	failures   []string
	incomplete []error
}

// runCustom runs custom days, which are generated from the operators' largest deployments, o.parallel
// at a time. Days with overlapping faults are run for o.seeds seeds. There are no recorded scores to
// compare; the returned error lists all failures.
func runCustom(ctx context.Context, o options) error {
	if o.seeds < 1 {
		return incompleteError{fmt.Errorf("--seeds: %d must be at least 1", o.seeds)}
	}
	if o.parallel < 1 {
		return incompleteError{fmt.Errorf("--at-once: %d must be at least 1", o.parallel)}
	}
	sites, missing, err := findSites(customSites, o.siteFilter)
	if err != nil {
		return err
	}
	if c := exec.CommandContext(ctx, benchPath, "build"); c.Run() != nil {
		return errors.New("the bench failed to build the service")
	}
	var r customRun
	if err := r.runSites(ctx, sites, o); err != nil {
		return err
	}
	if r.started == 0 {
		return incompleteError{fmt.Errorf("--day: no day name contains %q", o.dayFilter)}
	}
	fmt.Printf("%d days run with %d failures, %d days and %d deployments not run\n",
		r.started-len(r.incomplete), len(r.failures), len(r.incomplete), len(missing))
	if len(r.failures) > 0 {
		return errors.New(strings.Join(r.failures, "\nregress: "))
	}
	if len(r.incomplete) > 0 {
		return incompleteError{r.incomplete[0]}
	}
	return missingSitesError(missing)
}

// runSites generates a custom site from each site file and runs its days. It returns when all days have
// ended, or immediately if a custom site can't be generated.
func (r *customRun) runSites(ctx context.Context, sites []string, o options) error {
	var g errgroup.Group
	g.SetLimit(o.parallel)
	for _, path := range sites {
		site, days, err := makeCustomSite(path, o.seeds)
		if err != nil {
			return incompleteError{fmt.Errorf("%s: %w", path, err)}
		}
		for _, d := range days {
			if !strings.Contains(d.Name, o.dayFilter) {
				continue
			}
			r.started++
			g.Go(func() error {
				r.runDay(ctx, site, d, o.reason)
				return nil
			})
		}
	}
	return g.Wait()
}

// runDay runs a day, prints its table and collects its failures. A day that could not be run is counted
// as not run and does not stop the other days.
func (r *customRun) runDay(ctx context.Context, site string, d regress.StressDay, reason string) {
	text, failures, err := runCustomDay(ctx, site, d, reason)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		err = fmt.Errorf("%s, %s: %w", filepath.Base(site), d.Name, err)
		fmt.Fprintln(os.Stderr, "regress: not run:", err)
		r.incomplete = append(r.incomplete, err)
		return
	}
	fmt.Print(text)
	r.failures = append(r.failures, failures...)
}

// makeCustomSite generates a custom site from a site file, writes it to a directory with a copy of the
// wire.json that the bench requires, and returns its path and days.
func makeCustomSite(path string, seeds int) (string, []regress.StressDay, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	var site regress.Table
	if err := toml.Unmarshal(b, &site); err != nil {
		return "", nil, err
	}
	if site, err = regress.StressSite(site); err != nil {
		return "", nil, err
	}
	days, err := regress.StressDays(site)
	if err != nil {
		return "", nil, err
	}
	for seed := range seeds {
		overlapDays, err := regress.OverlappingFaultDays(site, uint64(seed+1))
		if err != nil {
			return "", nil, err
		}
		days = append(days, overlapDays...)
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), "wire.json"))
	if err != nil {
		return "", nil, err
	}
	dir := filepath.Join(customDir, fmt.Sprint(site["name"])) // a directory each, as the wire.json may differ
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", nil, err
	}
	out := filepath.Join(dir, fmt.Sprint(site["name"], ".toml"))
	if b, err = toml.Marshal(site); err != nil {
		return "", nil, err
	}
	return out, days, errors.Join(
		os.WriteFile(out, b, 0o644),
		os.WriteFile(filepath.Join(dir, "wire.json"), wire, 0o644),
	)
}

// runCustomDay runs one day and returns its table and failures. The day, the report and the bench's
// output are written to the directory of the site.
func runCustomDay(ctx context.Context, site string, d regress.StressDay, reason string) (string, []string, error) {
	base := strings.TrimSuffix(site, ".toml") + "-" + d.Name
	b, err := toml.Marshal(d.Day)
	if err != nil {
		return "", nil, err
	}
	if err := os.WriteFile(base+".day.toml", b, 0o644); err != nil {
		return "", nil, err
	}
	_ = os.Remove(base + ".json") // a report of an earlier run; there usually is none
	c := exec.CommandContext(ctx, benchPath, "run", site, base+".day.toml", "--report", base+".json", "--why", reason)
	out, err := c.CombinedOutput()
	if writeErr := os.WriteFile(base+".txt", out, 0o644); writeErr != nil {
		return "", nil, writeErr
	}
	report, readErr := os.ReadFile(base + ".json")
	if readErr != nil {
		return "", nil, incompleteError{fmt.Errorf("the bench wrote no report (%w): %s", errors.Join(err, readErr), out)}
	}
	r, err := regress.ParseReport(report)
	if err != nil {
		return "", nil, incompleteError{fmt.Errorf("%s.json: parsing the bench's report: %w", base, err)}
	}
	title := strings.TrimSuffix(filepath.Base(site), ".toml") + ", " + d.Name
	failures := r.Faults()
	for i, f := range failures {
		failures[i] = title + ": " + f
	}
	verdict := "passed"
	if len(failures) > 0 {
		verdict = fmt.Sprintf("failed with %d problems", len(failures))
	}
	text := fmt.Sprintf("%s: %s\n%s", title, verdict, r.String())
	for _, slow := range r.Tails() {
		text += "  " + slow + "\n"
	}
	return text, failures, nil
}
