// Package regress compares the figures of simulated days with those on record, so that a change
// that makes a deployment worse is noticed before it lands. Parse reads the journal of the bench
// that plays the days, Record.Compare finds those that are worse.
//
// It also makes days of our own from a deployment's site file: OwnSite and OwnDays stack faults
// on a larger site, MeetingDays has two kinds of faults meet at times drawn from a seed. They have
// no figures on record; Report.Faults says why one failed. Cmd regress plays all of them.
package regress

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Noise is how far a figure differs between two runs of the same sources.
const Noise = 0.03

// Day is the record of a standard day: the means over its runs.
type Day struct {
	Runs   int                `json:"runs"`
	Figure float64            `json:"figure"` // 0 to 1
	Aims   map[string]float64 `json:"aims"`   // worth by aim, 0 to 1
}

// Record holds the days by site and name.
type Record map[string]map[string]Day

// Played is one run of a day from the bench's journal.
type Played struct {
	Site, Name string
	Figure     float64
	Aims       map[string]float64
	Broken     []string // why the day failed: broken rules and other failures
}

// entry is the part of a journal entry that is read.
type entry struct {
	Site string     `json:"site"`
	Days []entryDay `json:"days"`
}

// entryDay is a day in a journal entry.
type entryDay struct {
	Name   string          `json:"name"`
	Kind   string          `json:"kind"`
	Figure *float64        `json:"score"`
	Rules  map[string]any  `json:"rules"`
	Fault  json.RawMessage `json:"fault"`
	Aims   [][2]any        `json:"aims"`
	Served [][3]any        `json:"served"` // name, its share of all work, the share of it that was served
	Idle   idle            `json:"idle"`
}

// idle is the bench's report of room that nobody used.
type idle struct {
	Neglected int `json:"neglected"` // jobs that waited for 90 s beside room once faults were over
}

// failures returns a line if jobs were left waiting.
func (i idle) failures() []string {
	if i.Neglected == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d jobs left waiting beside room", i.Neglected)}
}

// minServed is the share of a class, a team or a class's largest jobs that must be served.
const minServed = 0.5

// failures returns why a day counts as failed, whatever its figure.
func (d *entryDay) failures() (out []string) {
	for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
		out = append(out, fmt.Sprintf("%s (%v)", rule, d.Rules[rule]))
	}
	if fault := string(d.Fault); fault != "" && fault != "null" {
		out = append(out, "the day failed: "+fault)
	} else if d.Figure == nil {
		out = append(out, "the day has no figure")
	}
	for _, s := range d.Served {
		if share, ok := s[2].(float64); ok && share < minServed {
			out = append(out, fmt.Sprintf("%v: only %.2f served", s[0], share))
		}
	}
	return append(out, d.Idle.failures()...)
}

// Parse decodes one journal entry. Days without a figure count as failed; an entry without days is
// an error.
func Parse(b []byte) ([]Played, error) {
	var e entry
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	if e.Site == "" || len(e.Days) == 0 {
		return nil, errors.New("the run did not finish")
	}
	var out []Played
	for _, d := range e.Days {
		name, _, _ := strings.Cut(d.Name, " --")
		p := Played{Site: e.Site, Name: name, Aims: map[string]float64{}, Broken: d.failures()}
		if d.Figure != nil {
			p.Figure = *d.Figure
		}
		for _, a := range d.Aims {
			text, _ := a[0].(string)
			worth, _ := a[1].(float64)
			if i := strings.LastIndex(text, ":"); i > 0 {
				p.Aims[text[:i]] = worth
			}
		}
		out = append(out, p)
	}
	return out, nil
}

// Add includes a run in the means of its day.
func (r Record) Add(p Played) {
	if r[p.Site] == nil {
		r[p.Site] = map[string]Day{}
	}
	r[p.Site][p.Name] = r[p.Site][p.Name].with(p)
}

// with returns the means with one more run.
func (d Day) with(p Played) Day {
	mean := func(old, one float64) float64 { return (old*float64(d.Runs) + one) / float64(d.Runs+1) }
	aims := make(map[string]float64, len(p.Aims))
	for name, worth := range p.Aims {
		aims[name] = mean(d.Aims[name], worth)
	}
	return Day{Runs: d.Runs + 1, Figure: mean(d.Figure, p.Figure), Aims: aims}
}

// Fall is a day whose figure is lower than on record by more than Noise.
type Fall struct {
	Site, Name string
	Was, Is    float64
	Aims       []string // that fell by more than Noise, the furthest first
}

// String returns one line that names the site, the day and the aims.
func (f Fall) String() string {
	aims := cmp.Or(strings.Join(f.Aims, "; "), "no aim by itself")
	return fmt.Sprintf("%s, %s: %.3f, on record %.3f; fallen: %s", f.Site, f.Name, f.Is, f.Was, aims)
}

// Compare returns the days of now that fell, ordered by site and name. Days that are not on
// record are passed over.
func (r Record) Compare(now Record) []Fall {
	var out []Fall
	for _, site := range slices.Sorted(maps.Keys(now)) {
		for _, name := range slices.Sorted(maps.Keys(now[site])) {
			was, ok := r[site][name]
			is := now[site][name]
			if !ok || was.Figure-is.Figure <= Noise {
				continue
			}
			out = append(out, Fall{
				Site: site, Name: name,
				Was: was.Figure, Is: is.Figure,
				Aims: fallenAims(was.Aims, is.Aims),
			})
		}
	}
	return out
}

// fallenAims returns a line for each aim that fell by more than Noise, the furthest first.
func fallenAims(was, is map[string]float64) (out []string) {
	fell := func(aim string) float64 { return was[aim] - is[aim] }
	aims := slices.SortedFunc(maps.Keys(was), func(a, b string) int {
		return cmp.Or(cmp.Compare(fell(b), fell(a)), cmp.Compare(a, b))
	})
	for _, aim := range aims {
		if fell(aim) > Noise {
			out = append(out, fmt.Sprintf("%s %.2f -> %.2f", aim, was[aim], is[aim]))
		}
	}
	return out
}
