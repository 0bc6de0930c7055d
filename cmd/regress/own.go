package main

import (
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

const ownDir = "target/own"

// ownSites are what days of our own are made from.
var ownSites = []string{
	"added/hollinsend-portraits",
	"more/hunt/hanbit-claims-hunt",
	"more/hunt/hollinsend-galleries-hunt",
}

// runOwn plays days of our own, made from the operators' largest deployments, several at once.
// It fails with what fails on them; there are no figures to compare. Of the meetings, whose times
// are drawn, so many seeds are played.
func runOwn(only, day string, seeds, atOnce int, why string) error {
	if seeds < 1 {
		return badUse{fmt.Errorf("--seeds: %d is no number of days to play; at least 1", seeds)}
	}
	if atOnce < 1 {
		return badUse{fmt.Errorf("--at-once: %d is no number of days to play at once; at least 1", atOnce)}
	}
	sites, missing, err := find(ownSites, only)
	if err != nil {
		return err
	}
	if c := exec.Command(bench, "build"); c.Run() != nil {
		return errors.New("the bench does not build the service")
	}
	var g errgroup.Group
	g.SetLimit(atOnce)
	var mu sync.Mutex
	var faults []string
	var unplayed []error
	played := 0
	for _, path := range sites {
		site, days, err := makeOwn(path, seeds)
		if err != nil {
			return badUse{fmt.Errorf("%s: %w", path, err)}
		}
		for _, d := range days {
			if !strings.Contains(d.Name, day) {
				continue
			}
			played++
			g.Go(func() error {
				text, found, err := playOwn(site, d, why)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					// The others are played all the same, and this one is counted as not run.
					err = fmt.Errorf("%s, %s: %w", filepath.Base(site), d.Name, err)
					fmt.Fprintln(os.Stderr, "regress: not run:", err)
					unplayed = append(unplayed, err)
					return nil
				}
				fmt.Print(text)
				faults = append(faults, found...)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if played == 0 {
		return badUse{fmt.Errorf("--day: no day has %q in its name", day)}
	}
	fmt.Printf(
		"%d days played, %d failures on them, %d days and %d deployments not run\n",
		played-len(unplayed),
		len(faults),
		len(unplayed),
		len(missing),
	)
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "\nregress: "))
	}
	if len(unplayed) > 0 {
		return badUse{unplayed[0]}
	}
	return notRun(missing)
}

// makeOwn writes an own site next to what the bench wants beside it.
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

// playOwn plays one day and returns its table and what failed.
func playOwn(site string, d regress.OwnDay, why string) (string, []string, error) {
	base := strings.TrimSuffix(site, ".toml") + "-" + d.Name
	b, err := toml.Marshal(d.Day)
	if err != nil {
		return "", nil, err
	}
	if err := os.WriteFile(base+".day.toml", b, 0o644); err != nil {
		return "", nil, err
	}
	os.Remove(base + ".json")
	out, err := exec.Command(
		bench,
		"run",
		site,
		base+".day.toml",
		"--report",
		base+".json",
		"--why",
		why,
	).CombinedOutput()
	if werr := os.WriteFile(base+".txt", out, 0o644); werr != nil {
		return "", nil, werr
	}
	report, rerr := os.ReadFile(base + ".json")
	if rerr != nil {
		return "", nil, badUse{fmt.Errorf("the bench left no report (%w): %s", errors.Join(err, rerr), out)}
	}
	r, err := regress.ParseReport(report)
	if err != nil {
		return "", nil, badUse{fmt.Errorf("%s.json: the bench's report can't be read: %w", base, err)}
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
