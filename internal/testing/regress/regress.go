// Package regress compares the scores of simulated days with recorded ones, so that a change that
// makes a deployment perform worse is noticed before it is merged. Parse reads the journal of the
// bench, the simulator that runs the days, and Record.Compare finds the days that got worse.
//
// The package also generates stress days from a deployment's site file: StressSite and StressDays
// combine several faults on a larger site, OverlappingFaultDays lets two kinds of faults overlap at
// times drawn from a seed. These have no recorded scores; Report.Faults returns why one failed.
// Command regress runs all of them.
package regress

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"maddermill/internal/exactjson"
)

// Noise is the difference up to which a score varies between two runs of the same version.
const Noise = 0.03

// Day is the recorded result of a standard day: the means over its runs.
type Day struct {
	Runs   int                `json:"runs"`
	Figure float64            `json:"figure"` // 0 to 1
	Aims   map[string]float64 `json:"aims"`   // score by target, 0 to 1
}

// Record holds the results of days by site and name.
type Record map[string]map[string]Day

// Played is the result of one run of a day, from the bench's journal.
type Played struct {
	Site, Name string
	Figure     float64
	Aims       map[string]float64
	Broken     []string // why the day failed: rule violations and other failures
}

// journalEntry holds the fields of a journal entry that Parse uses.
type journalEntry struct {
	Site string       `json:"site"`
	Days []journalDay `json:"days"`
}

// journalDay is a day in a journalEntry.
type journalDay struct {
	Name         string          `json:"name"`
	Kind         string          `json:"kind"`
	Figure       *float64        `json:"score"`
	Rules        map[string]any  `json:"rules"`
	Fault        json.RawMessage `json:"fault"`
	Aims         []journalAim    `json:"aims"`
	ServedShares []servedShare   `json:"served"`
	Idle         idleCapacity    `json:"idle"`
}

// journalAim is an aim of a day: its description, which begins with the aim's name and a colon, and its worth. The
// journal has it as an array of the two.
type journalAim struct {
	text  string
	worth float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *journalAim) UnmarshalJSON(b []byte) error { return unmarshalElements(b, &a.text, &a.worth) }

// servedShare is how much of the work of a class, a team or a class's largest jobs was served. The journal has it
// as an array of the three fields.
type servedShare struct {
	name   string
	weight float64  // share of all work
	served *float64 // fraction that was served; nil: unknown
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *servedShare) UnmarshalJSON(b []byte) error {
	return unmarshalElements(b, &s.name, &s.weight, &s.served)
}

// unmarshalElements decodes the elements of an array into variables. Elements without a variable are ignored.
func unmarshalElements(b []byte, variables ...any) error {
	var elements []json.RawMessage
	if err := exactjson.Unmarshal(b, &elements); err != nil {
		return err
	}
	if len(elements) < len(variables) {
		return fmt.Errorf("regress: an array has %d elements, want %d: %s", len(elements), len(variables), b)
	}
	for i, variable := range variables {
		if err := exactjson.Unmarshal(elements[i], variable); err != nil {
			return err
		}
	}
	return nil
}

// idleCapacity is the bench's report on capacity that was free while jobs waited.
type idleCapacity struct {
	Neglected int `json:"neglected"` // jobs that waited for 90 s despite free capacity, after all faults had ended
}

// failures returns a message if jobs were left waiting.
func (i idleCapacity) failures() []string {
	if i.Neglected == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d jobs left waiting despite free capacity", i.Neglected)}
}

// minServed is the fraction of the work of a class, a team or a class's largest jobs that must be served.
const minServed = 0.5

// failures returns the reasons why a day counts as failed, regardless of its score.
func (d *journalDay) failures() (out []string) {
	for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
		out = append(out, fmt.Sprintf("%s (%v)", rule, d.Rules[rule]))
	}
	if fault := string(d.Fault); fault != "" && fault != "null" {
		out = append(out, "the day failed: "+fault)
	} else if d.Figure == nil {
		out = append(out, "the day has no score")
	}
	for _, s := range d.ServedShares {
		if s.served != nil && *s.served < minServed {
			out = append(out, fmt.Sprintf("%s: only %.2f served", s.name, *s.served))
		}
	}
	return append(out, d.Idle.failures()...)
}

// Parse decodes one journal entry. Days without a score count as failed. It fails if the entry has no
// days.
func Parse(b []byte) ([]Played, error) {
	var e journalEntry
	if err := exactjson.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	if e.Site == "" || len(e.Days) == 0 {
		return nil, errors.New("the run did not finish: no site or no days")
	}
	var out []Played
	for _, d := range e.Days {
		name, _, _ := strings.Cut(d.Name, " --")
		p := Played{Site: e.Site, Name: name, Aims: map[string]float64{}, Broken: d.failures()}
		if d.Figure != nil {
			p.Figure = *d.Figure
		}
		for _, a := range d.Aims {
			if i := strings.LastIndex(a.text, ":"); i > 0 {
				p.Aims[a.text[:i]] = a.worth
			}
		}
		out = append(out, p)
	}
	return out, nil
}

// Add adds a run to the means of its day.
func (r Record) Add(p Played) {
	if r[p.Site] == nil {
		r[p.Site] = map[string]Day{}
	}
	r[p.Site][p.Name] = r[p.Site][p.Name].with(p)
}

// with returns the means including one more run.
func (d Day) with(p Played) Day {
	mean := func(old, one float64) float64 { return (old*float64(d.Runs) + one) / float64(d.Runs+1) }
	aims := make(map[string]float64, len(p.Aims))
	for name, worth := range p.Aims {
		aims[name] = mean(d.Aims[name], worth)
	}
	return Day{Runs: d.Runs + 1, Figure: mean(d.Figure, p.Figure), Aims: aims}
}

// Regression is a day whose score is lower than the recorded one by more than Noise.
type Regression struct {
	Site, Name string
	Was, Is    float64
	Aims       []string // targets whose score fell by more than Noise, the largest drop first
}

// String returns one line with the site, the day, its scores and the targets that fell.
func (f Regression) String() string {
	aims := cmp.Or(strings.Join(f.Aims, "; "), "no single target")
	return fmt.Sprintf("%s, %s: score %.3f, recorded %.3f; lower: %s", f.Site, f.Name, f.Is, f.Was, aims)
}

// Compare returns the days of now with a regression, ordered by site and name. It skips days that are
// not recorded.
func (r Record) Compare(now Record) []Regression {
	var out []Regression
	for _, site := range slices.Sorted(maps.Keys(now)) {
		for _, name := range slices.Sorted(maps.Keys(now[site])) {
			was, ok := r[site][name]
			is := now[site][name]
			if !ok || was.Figure-is.Figure <= Noise {
				continue
			}
			out = append(out, Regression{
				Site: site, Name: name,
				Was: was.Figure, Is: is.Figure,
				Aims: regressedAims(was.Aims, is.Aims),
			})
		}
	}
	return out
}

// regressedAims returns a line for each target whose score fell by more than Noise, the largest drop first.
func regressedAims(was, is map[string]float64) (out []string) {
	drop := func(aim string) float64 { return was[aim] - is[aim] }
	aims := slices.SortedFunc(maps.Keys(was), func(a, b string) int {
		return cmp.Or(cmp.Compare(drop(b), drop(a)), cmp.Compare(a, b))
	})
	for _, aim := range aims {
		if drop(aim) > Noise {
			out = append(out, fmt.Sprintf("%s %.2f -> %.2f", aim, was[aim], is[aim]))
		}
	}
	return out
}
