package regress

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"maddermill/internal/exactjson"
)

// Report is the bench's report of one simulated day.
type Report struct {
	Rules struct {
		Total int `json:"total"`
	} `json:"rules_broken"`
	Classes map[string]JobCounts `json:"classes"`
	Teams   map[string]JobCounts `json:"teams"`
	Largest map[string]JobCounts `json:"largest"` // the largest jobs of each class
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
	Idle idleCapacity `json:"idle"`
}

// JobCounts holds the job counts and wait times of a class or team.
type JobCounts struct {
	Jobs      int                `json:"jobs"`
	Accepted  int                `json:"accepted"`
	Started   int                `json:"started"`
	Done      int                `json:"done"`
	Cancelled int                `json:"cancelled"`
	Wait      map[string]float64 `json:"wait_s"`
}

// ParseReport decodes a report of the bench. It fails if the report has no classes.
func ParseReport(b []byte) (r Report, err error) {
	if err := exactjson.Unmarshal(b, &r); err != nil {
		return r, err
	}
	if len(r.Classes) == 0 {
		return r, errors.New("the report has no classes")
	}
	return r, nil
}

// Tails returns a line for each class of largest jobs in which a job waited longer than MaxLargestWait.
func (r *Report) Tails() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		w := r.Classes[name].Wait
		if !strings.HasSuffix(name, LargestSuffix) || w["max"] <= MaxLargestWait {
			continue
		}
		within := "" // the highest percentile within the limit
		for _, p := range []string{"p50", "p80", "p90", "p95", "p98"} {
			if w[p] <= MaxLargestWait {
				within = p[1:]
			}
		}
		out = append(out, fmt.Sprintf("%s: over %s %% started within %.0f s, the last after %.0f s",
			name, within, MaxLargestWait, w["max"]))
	}
	return out
}

// Faults returns the reasons why a stress day failed: rule violations, a class or team of which less than
// half of the jobs started, a class whose median wait exceeds MaxLargestWait, jobs left waiting despite
// free capacity, or controllers that exited by themselves.
func (r *Report) Faults() (out []string) {
	if r.Rules.Total > 0 {
		out = append(out, fmt.Sprintf("%d rule violations", r.Rules.Total))
	}
	for kind, list := range map[string]map[string]JobCounts{"class": r.Classes, "team": r.Teams, "largest of": r.Largest} {
		for name, s := range list {
			if 2*s.Started < s.Jobs-s.Cancelled {
				out = append(out, fmt.Sprintf("%s %s: %d of %d jobs started", kind, name, s.Started, s.Jobs))
			}
			if s.Wait["p50"] > MaxLargestWait {
				out = append(out, fmt.Sprintf("%s %s: half of the started jobs waited %.0f s or more", kind, name, s.Wait["p50"]))
			}
		}
	}
	out = append(out, r.Idle.failures()...)
	for _, t := range r.Targets {
		if t.Kind == "node_restarts" && t.Value > 0 {
			out = append(out, fmt.Sprintf("%v controllers exited by themselves", t.Value))
		}
	}
	slices.Sort(out)
	return out
}

// String returns a table of the day with a line for each class and team, and one for the users.
func (r *Report) String() string {
	var b strings.Builder
	for _, list := range []map[string]JobCounts{r.Classes, r.Teams} {
		for _, name := range slices.Sorted(maps.Keys(list)) {
			s := list[name]
			accepted := max(s.Accepted, s.Jobs)
			fmt.Fprintf(&b, "  %-24s %5d accepted %5d started %5d done, not started %3d, cancelled %3d",
				name, accepted, s.Started, s.Done, accepted-s.Started, s.Cancelled)
			if s.Wait != nil {
				fmt.Fprintf(&b, "; wait p50/p95/max %.0f/%.0f/%.0f s", s.Wait["p50"], s.Wait["p95"], s.Wait["max"])
			}
			b.WriteByte('\n')
		}
	}
	fmt.Fprintf(&b, "  users: %d of %d submissions accepted; %d of %d queries failed\n",
		r.Users.Accepted, r.Users.Submitted, r.Users.AskedInVain, r.Users.Asked)
	return b.String()
}
