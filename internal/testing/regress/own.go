package regress

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Own days are days of our own at half the size again, which the operators said theirs may
// have: more machines, jobs and rates, controllers that are back within a fraction of a second,
// and troubles stacked on each other. They are made from a site file when they are played, as
// nothing of the operators' files is kept here.

const (
	ownGrowth  = 1.5 // machines, jobs, rates and teams' amounts against the site's
	ownRestart = 0.3 // seconds in which an ended controller is back
	ownLength  = 420.0
	// Largest is what the class of another's largest jobs has behind its name.
	Largest = "-largest"
	// LargestWait is how long the largest jobs may wait to begin, in seconds.
	LargestWait = 240.0
)

// Table is a table of a site file.
type Table = map[string]any

// OwnSite returns a site grown by half whose classes' largest jobs, a tenth or those of the
// largest size, are a class of their own with the aims of the whole, so that a report tells
// how they fare. site is changed.
func OwnSite(site Table) (Table, error) {
	name, _ := site["name"].(string)
	if name == "" {
		return nil, fmt.Errorf("site: no name")
	}
	site["name"] = name + "-own"
	site["duration_s"] = ownLength
	delete(site, "day")
	nodes, ok := site["nodes"].(Table)
	if !ok {
		return nil, fmt.Errorf("%s: no nodes", name)
	}
	nodes["restart_delay_s"] = ownRestart
	for _, x := range []struct{ list, field string }{{"capacity", "count"}, {"capacity", "spot"}, {"machines", "count"},
		{"teams", "cpus"}, {"teams", "cpus_max"}, {"teams", "gpus"}, {"teams", "gpus_max"}, {"jobs", "initial"}} {
		for _, t := range tables(site[x.list]) {
			grow(t, x.field)
		}
	}
	var jobs, targets []any
	for _, j := range tables(site["jobs"]) {
		arrivals, _ := j["arrivals"].(Table)
		grow(arrivals, "rate")
		large, share := largest(j)
		jobs = append(jobs, j)
		if large == nil {
			continue
		}
		jobs = append(jobs, large)
		for _, t := range []Table{j, large} {
			arrivals := maps.Clone(arrivals)
			for field, of := range map[string]Table{"rate": arrivals, "initial": t} {
				part := share
				if t["name"] == j["name"] {
					part = 1 - share
				}
				of[field] = scaled(of[field], part)
			}
			t["arrivals"] = arrivals
		}
		for _, t := range tables(site["targets"]) {
			if t["class"] == j["name"] {
				t = maps.Clone(t)
				t["class"] = large["name"]
				targets = append(targets, t)
			}
		}
	}
	site["jobs"] = jobs
	for _, t := range tables(site["targets"]) {
		targets = append(targets, t)
	}
	site["targets"] = targets
	return site, nil
}

// largest parts the largest jobs from a class, and returns them as one of their own with their
// share of all, nil if all jobs are of one size.
func largest(j Table) (Table, float64) {
	tasks, _ := j["tasks"].(Table)
	large := maps.Clone(j)
	large["name"] = fmt.Sprint(j["name"], Largest)
	if sizes, ok := tasks["sizes"].([]any); ok {
		weights, _ := tasks["weights"].([]any)
		last := len(sizes) - 1
		if last < 1 || len(weights) != len(sizes) {
			return nil, 0
		}
		sum := 0.0
		for _, w := range weights {
			sum += number(w)
		}
		j["tasks"] = Table{"sizes": sizes[:last], "weights": weights[:last]}
		large["tasks"] = Table{"sizes": sizes[last:], "weights": []any{1.0}}
		return large, number(weights[last]) / sum
	}
	p95, most := number(tasks["p95"]), number(tasks["max"])
	if p95 <= 0 || most <= p95 {
		return nil, 0
	}
	p90 := int64(p95 * 0.9) // the tenth begins a little below
	j["tasks"] = Table{"median": tasks["median"], "p95": p90, "max": p90 + 1}
	large["tasks"] = Table{
		"sizes":   []any{int64(p95), int64((p95 + most) / 2), int64(most)},
		"weights": []any{3.0, 2.0, 1.0},
	}
	return large, 0.1
}

// OwnDay is a day to be played on an own site.
type OwnDay struct {
	Name string
	Day  Table
}

// OwnDays stacks the troubles that a site is to expect: each of the days has several at once.
func OwnDays(site Table) ([]OwnDay, error) {
	nodes, _ := site["nodes"].(Table)
	controllers := int(number(nodes["count"]))
	zones, _ := nodes["zones"].([]any)
	if controllers < 2 || len(zones) == 0 {
		return nil, fmt.Errorf("%v: too few controllers or no zones", site["name"])
	}
	var classes []string // of the largest jobs, the class of the largest gangs first
	var all []string
	gang := 0.0
	for _, j := range tables(site["jobs"]) {
		name, _ := j["name"].(string)
		all = append(all, name)
		tasks, _ := j["tasks"].(Table)
		sizes, _ := tasks["sizes"].([]any)
		if len(sizes) == 0 || !strings.HasSuffix(name, Largest) {
			continue
		}
		if most := number(sizes[len(sizes)-1]); j["kind"] == "gang" && most > gang {
			gang, classes = most, append([]string{name}, classes...)
		} else {
			classes = append(classes, name)
		}
	}
	if len(classes) == 0 {
		return nil, fmt.Errorf("%v: no class has larger jobs than others", site["name"])
	}
	days := []OwnDay{}
	day := func(name string, vary Table, faults ...Table) {
		d := Table{
			"name":   "own-" + name,
			"seed":   int64(900 + len(days)),
			"slot":   "scale",
			"light":  false,
			"faults": asAny(faults),
		}
		if vary != nil {
			d["vary"] = vary
		}
		days = append(days, OwnDay{name, d})
	}
	at := func(s float64, kind string, fields Table) Table {
		t := Table{"at_s": s, "kind": kind}
		maps.Copy(t, fields)
		return t
	}
	crash := func(s float64, count int) Table {
		return at(s, "node_crash", Table{"count": int64(count), "busiest": true})
	}
	burst := func(s, times, length float64, of ...string) (out []Table) {
		for _, c := range of {
			out = append(out, at(s, "job_burst", Table{"class": c, "factor": times, "for_s": length}))
		}
		return out
	}
	whole := strings.TrimSuffix(classes[0], Largest)

	// Ended again and again as others are being elected, then all in an outage.
	var again []Table
	for i := range 7 {
		again = append(again, crash(100+5*float64(i)+0.7*float64(i%3), 1))
	}
	again = append(again, at(170, "state_outage", Table{"for_s": 25.0}))
	for i := range 5 {
		again = append(again, crash(172+6*float64(i), controllers))
	}
	for i := range 4 {
		again = append(again, crash(240+0.9*float64(i), 1))
	}
	day("again", nil, again...)

	day("rolls", Table{"state_slow": 0.04, "state_slow_times": 25.0}, slices.Concat(
		[]Table{
			at(100, "node_roll", Table{"every_s": 3.0}),
			at(130, "node_roll", Table{"every_s": 3.0}),
			at(160, "node_roll", Table{"every_s": 3.0}),
			at(
				200,
				"node_roll",
				Table{"every_s": 3.0},
			),
			at(205, "peers_refuse", Table{"for_s": 25.0}),
			at(208, "node_roll", Table{"every_s": 3.0}),
			at(240, "machine_die", Table{"count": int64(150)}),
		},
		burst(95, 2, 120, whole, whole+Largest),
	)...)

	day("largest", nil, slices.Concat(burst(100, 3, 100, classes...), []Table{
		at(
			110,
			"machine_die",
			Table{"count": int64(180)},
		),
		at(130, "spot_taken", Table{"share": 0.5, "notice_s": 0.0, "over_s": 20.0}),
		at(150, "zone_cut", Table{"zone": zones[0], "for_s": 60.0, "mode": "hold"}),
		crash(160, controllers),
	})...)

	day(
		"stalls",
		Table{"report": 0.2, "fetch": 0.3, "fetch_shared": true},
		slices.Concat(burst(120, 2, 60, whole, whole+Largest), []Table{
			at(
				100,
				"machine_hang",
				Table{"count": int64(150), "for_s": 38.0},
			),
			at(115, "node_freeze", Table{"count": int64(1), "busiest": true, "for_s": 20.0}),
			at(
				170,
				"node_freeze",
				Table{"count": int64(1), "busiest": true, "for_s": 8.0},
			),
			crash(172, 1),
			at(200, "machine_slow", Table{"count": int64(120), "factor": 4.0, "for_s": 60.0}),
			at(210, "machine_hang", Table{"count": int64(150), "for_s": 25.0}),
			crash(215, controllers),
		})...)

	day(
		"refused",
		Table{
			"state_slow":       0.08,
			"state_slow_times": 40.0,
			"list_lag":         0.9,
			"boot":             0.3,
			"boot_slow":        0.2,
			"boot_slow_times":  2.5,
		},
		slices.Concat(
			burst(110, 2, 80, all...), []Table{
				at(
					100,
					"peers_refuse",
					Table{"for_s": 60.0},
				),
				at(105, "node_cut", Table{"count": int64(1), "busiest": true, "from_state": true, "for_s": 50.0, "mode": "hold"}),
				at(
					120,
					"machine_die",
					Table{"count": int64(120)},
				),
				at(
					180,
					"node_cut",
					Table{"count": int64(1), "busiest": true, "from_workers": true, "for_s": 40.0, "mode": "hold"},
				),
				crash(
					190,
					1,
				),
				at(230, "state_outage", Table{"for_s": 15.0}),
				crash(235, controllers),
				crash(246, controllers),
			})...)

	day("long", nil, slices.Concat(burst(100, 2.5, 200, lastOf(tables(site["jobs"]), "gang")...), []Table{
		at(
			120,
			"machine_die",
			Table{"count": int64(150)},
		),
		crash(180, controllers),
		at(200, "spot_rate", Table{"per_hour": 15.0, "for_s": 150.0}),
	})...)
	return days, nil
}

// lastOf names the last class of a kind and that of its largest jobs.
func lastOf(jobs []Table, kind string) (out []string) {
	for _, j := range jobs {
		if name, _ := j["name"].(string); j["kind"] == kind && !strings.HasSuffix(name, Largest) {
			out = []string{name, name + Largest}
		}
	}
	return out
}

func asAny(list []Table) []any {
	out := make([]any, len(list))
	for i, t := range list {
		out[i] = t
	}
	return out
}

func tables(v any) (out []Table) {
	list, _ := v.([]any)
	for _, x := range list {
		if t, ok := x.(Table); ok {
			out = append(out, t)
		}
	}
	return out
}

func number(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// scaled multiplies a number and keeps it whole if it was.
func scaled(v any, by float64) any {
	if n, ok := v.(int64); ok {
		return int64(math.Round(float64(n) * by))
	}
	return number(v) * by
}

func grow(t Table, field string) {
	if _, ok := t[field]; ok {
		t[field] = scaled(t[field], ownGrowth)
	}
}

// Report is what the bench tells of a day that it played.
type Report struct {
	Rules struct {
		Total int `json:"total"`
	} `json:"rules_broken"`
	Classes map[string]Served `json:"classes"`
	Teams   map[string]Served `json:"teams"`
	Largest map[string]Served `json:"largest"` // jobs of each class
	Users   struct {
		Submitted   int `json:"submitted"`
		Accepted    int `json:"accepted"`
		GaveUp      int `json:"gave_up"`
		Asked       int `json:"asked"`
		AskedInVain int `json:"asked_in_vain"`
	} `json:"users"`
	Targets []struct {
		Kind  string  `json:"kind"`
		Value float64 `json:"value"`
	} `json:"targets"`
	Idle idle `json:"idle"`
}

// Served is how the jobs of a class or of a team fared.
type Served struct {
	Jobs      int                `json:"jobs"`
	Accepted  int                `json:"accepted"`
	Started   int                `json:"started"`
	Done      int                `json:"done"`
	Cancelled int                `json:"cancelled"`
	Wait      map[string]float64 `json:"wait_s"`
}

// ParseReport reads a report of the bench.
func ParseReport(b []byte) (r Report, err error) {
	if err := json.Unmarshal(b, &r); err != nil {
		return r, err
	}
	if len(r.Classes) == 0 {
		return r, errors.New("it tells of no classes")
	}
	return r, nil
}

// Tails lists the classes of largest jobs of which some began too late.
func (r *Report) Tails() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		w := r.Classes[name].Wait
		if !strings.HasSuffix(name, Largest) || w["max"] <= LargestWait {
			continue
		}
		within := ""
		for _, p := range []string{"p50", "p80", "p90", "p95", "p98"} {
			if w[p] <= LargestWait {
				within = p[1:]
			}
		}
		out = append(
			out,
			fmt.Sprintf(
				"%s: over %s in a hundred began within %.0f s, the last after %.0f",
				name,
				within,
				LargestWait,
				w["max"],
			),
		)
	}
	return out
}

// Faults lists why a day of our own failed: a broken rule, less than half of a class or team
// begun, half of a class or of its largest jobs begun too late, or a controller that ended by itself.
func (r *Report) Faults() (out []string) {
	if r.Rules.Total > 0 {
		out = append(out, fmt.Sprintf("%d broken rules", r.Rules.Total))
	}
	for kind, list := range map[string]map[string]Served{"class": r.Classes, "team": r.Teams, "largest of": r.Largest} {
		for name, s := range list {
			if 2*s.Started < s.Jobs-s.Cancelled {
				out = append(out, fmt.Sprintf("%s %s: %d of %d jobs begun", kind, name, s.Started, s.Jobs))
			}
			if s.Wait["p50"] > LargestWait {
				out = append(out, fmt.Sprintf("%s %s: half of those begun waited %.0f s or more", kind, name, s.Wait["p50"]))
			}
		}
	}
	out = append(out, r.Idle.failures()...)
	for _, t := range r.Targets {
		if t.Kind == "node_restarts" && t.Value > 0 {
			out = append(out, fmt.Sprintf("%v controllers ended by themselves", t.Value))
		}
	}
	slices.Sort(out)
	return out
}

// String is a table of the day: a line for each class and team.
func (r *Report) String() string {
	var b strings.Builder
	for _, list := range []map[string]Served{r.Classes, r.Teams} {
		for _, name := range slices.Sorted(maps.Keys(list)) {
			s := list[name]
			fmt.Fprintf(
				&b,
				"  %-24s %5d accepted %5d begun %5d done, not begun %3d, cancelled %3d",
				name,
				max(s.Accepted, s.Jobs),
				s.Started,
				s.Done,
				max(s.Accepted, s.Jobs)-s.Started,
				s.Cancelled,
			)
			if s.Wait != nil {
				fmt.Fprintf(&b, "; wait p50/p95/max %.0f/%.0f/%.0f s", s.Wait["p50"], s.Wait["p95"], s.Wait["max"])
			}
			b.WriteByte('\n')
		}
	}
	fmt.Fprintf(
		&b,
		"  users: %d of %d submissions accepted; %d of %d questions in vain\n",
		r.Users.Accepted,
		r.Users.Submitted,
		r.Users.AskedInVain,
		r.Users.Asked,
	)
	return b.String()
}
