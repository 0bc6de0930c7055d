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

// ownDir is where own sites and what came of their days are written.
const ownDir = "target/own"

// ownSites are the site files that days of our own are made from.
var ownSites = []string{
	"added/hollinsend-portraits",
	"more/hunt/hanbit-claims-hunt",
	"more/hunt/hollinsend-galleries-hunt",
}

// ownRun collects what came of the days of a run, which are played by several goroutines.
type ownRun struct {
	played int // days begun; only the goroutine that begins them uses it

	mu       sync.Mutex // guards the fields below
	faults   []string
	unplayed []error
}

// runOwn plays days of our own, made from the operators' largest deployments, o.atOnce at a time.
// It fails with all that failed on them; there are no figures to compare. The days on which faults
// meet are played for o.seeds seeds.
func runOwn(ctx context.Context, o options) error {
	if o.seeds < 1 {
		return incompleteError{fmt.Errorf("--seeds: %d is no number of days to play; at least 1", o.seeds)}
	}
	if o.atOnce < 1 {
		return incompleteError{fmt.Errorf("--at-once: %d is no number of days to play at once; at least 1", o.atOnce)}
	}
	sites, missing, err := find(ownSites, o.only)
	if err != nil {
		return err
	}
	if c := exec.CommandContext(ctx, bench, "build"); c.Run() != nil {
		return errors.New("the bench does not build the service")
	}
	var r ownRun
	if err := r.playSites(ctx, sites, o); err != nil {
		return err
	}
	if r.played == 0 {
		return incompleteError{fmt.Errorf("--day: no day has %q in its name", o.day)}
	}
	fmt.Printf("%d days played, %d failures on them, %d days and %d deployments not run\n",
		r.played-len(r.unplayed), len(r.faults), len(r.unplayed), len(missing))
	if len(r.faults) > 0 {
		return errors.New(strings.Join(r.faults, "\nregress: "))
	}
	if len(r.unplayed) > 0 {
		return incompleteError{r.unplayed[0]}
	}
	return notRun(missing)
}

// playSites makes an own site of each and plays its days. It returns when all are played, or at once
// if a site can't be made.
func (r *ownRun) playSites(ctx context.Context, sites []string, o options) error {
	var g errgroup.Group
	g.SetLimit(o.atOnce)
	for _, path := range sites {
		site, days, err := makeOwn(path, o.seeds)
		if err != nil {
			return incompleteError{fmt.Errorf("%s: %w", path, err)}
		}
		for _, d := range days {
			if !strings.Contains(d.Name, o.day) {
				continue
			}
			r.played++
			g.Go(func() error {
				r.play(ctx, site, d, o.why)
				return nil
			})
		}
	}
	return g.Wait()
}

// play plays a day, prints its table and collects what failed. A day that can't be played counts
// as not run, and the others are played all the same.
func (r *ownRun) play(ctx context.Context, site string, d regress.OwnDay, why string) {
	text, faults, err := playOwn(ctx, site, d, why)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		err = fmt.Errorf("%s, %s: %w", filepath.Base(site), d.Name, err)
		fmt.Fprintln(os.Stderr, "regress: not run:", err)
		r.unplayed = append(r.unplayed, err)
		return
	}
	fmt.Print(text)
	r.faults = append(r.faults, faults...)
}

// makeOwn writes the own site of a site file, with the wire.json that the bench needs beside it, and
// returns its path and days.
func makeOwn(path string, seeds int) (string, []regress.OwnDay, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	var site regress.Table
	if err := toml.Unmarshal(b, &site); err != nil {
		return "", nil, err
	}
	if site, err = regress.OwnSite(site); err != nil {
		return "", nil, err
	}
	days, err := regress.OwnDays(site)
	if err != nil {
		return "", nil, err
	}
	for seed := range seeds {
		more, err := regress.MeetingDays(site, uint64(seed+1))
		if err != nil {
			return "", nil, err
		}
		days = append(days, more...)
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), "wire.json"))
	if err != nil {
		return "", nil, err
	}
	dir := filepath.Join(ownDir, fmt.Sprint(site["name"])) // deployments may differ in what lies beside them
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

// playOwn plays one day and returns its table and what failed. The day, the report and the bench's
// output are kept beside the site.
func playOwn(ctx context.Context, site string, d regress.OwnDay, why string) (string, []string, error) {
	base := strings.TrimSuffix(site, ".toml") + "-" + d.Name
	b, err := toml.Marshal(d.Day)
	if err != nil {
		return "", nil, err
	}
	if err := os.WriteFile(base+".day.toml", b, 0o644); err != nil {
		return "", nil, err
	}
	_ = os.Remove(base + ".json") // an earlier report, which usually does not exist
	c := exec.CommandContext(ctx, bench, "run", site, base+".day.toml", "--report", base+".json", "--why", why)
	out, err := c.CombinedOutput()
	if werr := os.WriteFile(base+".txt", out, 0o644); werr != nil {
		return "", nil, werr
	}
	report, rerr := os.ReadFile(base + ".json")
	if rerr != nil {
		return "", nil, incompleteError{fmt.Errorf("the bench left no report (%w): %s", errors.Join(err, rerr), out)}
	}
	r, err := regress.ParseReport(report)
	if err != nil {
		return "", nil, incompleteError{fmt.Errorf("%s.json: the bench's report can't be read: %w", base, err)}
	}
	title := strings.TrimSuffix(filepath.Base(site), ".toml") + ", " + d.Name
	faults := r.Faults()
	for i, f := range faults {
		faults[i] = title + ": " + f
	}
	verdict := "holds"
	if len(faults) > 0 {
		verdict = fmt.Sprintf("fails in %d ways", len(faults))
	}
	text := fmt.Sprintf("%s: %s\n%s", title, verdict, r.String())
	for _, tail := range r.Tails() {
		text += "  " + tail + "\n"
	}
	return text, faults, nil
}
