package regress

import (
	"fmt"
	"slices"
	"strings"
)

// StressDay is a simulated day for a site from StressSite.
type StressDay struct {
	Name string
	Day  Table
}

// stressDays builds the stress days, each of which has several kinds of faults at once.
type stressDays struct {
	days        []StressDay
	controllers int
	zones       []any
	classes     []string // all
	largest     []string // the classes of largest jobs, with that of the largest gangs first
	gangs       []string // the last gang class and the class of its largest jobs
}

// StressDays returns the stress days for a site from StressSite. It fails if the site has fewer than two
// controllers, no zones, or no class of largest jobs.
func StressDays(site Table) ([]StressDay, error) {
	nodes, _ := site["nodes"].(Table)
	zones, _ := nodes["zones"].([]any)
	o := &stressDays{days: []StressDay{}, controllers: int(number(nodes["count"])), zones: zones}
	if o.controllers < 2 || len(o.zones) == 0 {
		return nil, fmt.Errorf("%v: fewer than 2 controllers, or no zones", site["name"])
	}
	o.readClasses(tables(site["jobs"]))
	if len(o.largest) == 0 {
		return nil, fmt.Errorf("%v: no class of largest jobs", site["name"])
	}
	o.addRepeatedCrashes()
	o.addRollingRestarts()
	o.addLargestJobBursts()
	o.addHangsAndPauses()
	o.addLeaderPartitions()
	o.addLongGangBurst()
	return o.days, nil
}

// readClasses reads the names of a site's classes by kind.
func (o *stressDays) readClasses(jobs []Table) {
	largestGang := 0.0
	for _, j := range jobs {
		name, _ := j["name"].(string)
		o.classes = append(o.classes, name)
		tasks, _ := j["tasks"].(Table)
		sizes, _ := tasks["sizes"].([]any)
		if len(sizes) == 0 || !strings.HasSuffix(name, LargestSuffix) {
			continue
		}
		if size := number(sizes[len(sizes)-1]); j["kind"] == "gang" && size > largestGang {
			largestGang, o.largest = size, append([]string{name}, o.largest...)
		} else {
			o.largest = append(o.largest, name)
		}
	}
	o.gangs = lastClass(jobs, "gang")
}

// addRepeatedCrashes adds a day on which controllers crash repeatedly during elections, and then all of them
// during an outage.
func (o *stressDays) addRepeatedCrashes() {
	var faults []Table
	for i := range 7 {
		faults = append(faults, crash(100+5*float64(i)+0.7*float64(i%3), 1))
	}
	faults = append(faults, fault(170, "state_outage", Table{"for_s": 25.0}))
	for i := range 5 {
		faults = append(faults, crash(172+6*float64(i), o.controllers))
	}
	for i := range 4 {
		faults = append(faults, crash(240+0.9*float64(i), 1))
	}
	o.day("again", nil, faults)
}

// addRollingRestarts adds a day with consecutive rolling restarts while the state service is slow and peers
// refuse requests.
func (o *stressDays) addRollingRestarts() {
	o.day("rolls", Table{"state_slow": 0.04, "state_slow_times": 25.0}, slices.Concat(
		[]Table{
			fault(100, "node_roll", Table{"every_s": 3.0}),
			fault(130, "node_roll", Table{"every_s": 3.0}),
			fault(160, "node_roll", Table{"every_s": 3.0}),
			fault(200, "node_roll", Table{"every_s": 3.0}),
			fault(205, "peers_refuse", Table{"for_s": 25.0}),
			fault(208, "node_roll", Table{"every_s": 3.0}),
			fault(240, "machine_die", Table{"count": int64(150)}),
		},
		burst(95, 2, 120, o.largestGangClasses()...),
	))
}

// addLargestJobBursts adds a day with bursts of the largest jobs while machines fail and a zone is cut off.
func (o *stressDays) addLargestJobBursts() {
	o.day("largest", nil, slices.Concat(burst(100, 3, 100, o.largest...), []Table{
		fault(110, "machine_die", Table{"count": int64(180)}),
		fault(130, "spot_taken", Table{"share": 0.5, "notice_s": 0.0, "over_s": 20.0}),
		fault(150, "zone_cut", Table{"zone": o.zones[0], "for_s": 60.0, "mode": "hold"}),
		crash(160, o.controllers),
	}))
}

// addHangsAndPauses adds a day on which machines hang and the process of the leader pauses.
func (o *stressDays) addHangsAndPauses() {
	o.day("stalls", Table{"report": 0.2, "fetch": 0.3, "fetch_shared": true}, slices.Concat(
		burst(120, 2, 60, o.largestGangClasses()...),
		[]Table{
			fault(100, "machine_hang", Table{"count": int64(150), "for_s": 38.0}),
			fault(115, "node_freeze", Table{"count": int64(1), "busiest": true, "for_s": 20.0}),
			fault(170, "node_freeze", Table{"count": int64(1), "busiest": true, "for_s": 8.0}),
			crash(172, 1),
			fault(200, "machine_slow", Table{"count": int64(120), "factor": 4.0, "for_s": 60.0}),
			fault(210, "machine_hang", Table{"count": int64(150), "for_s": 25.0}),
			crash(215, o.controllers),
		}))
}

// addLeaderPartitions adds a day on which the leader is cut off from its peers, the state service and the
// workers in turn.
func (o *stressDays) addLeaderPartitions() {
	vary := Table{
		"state_slow":       0.08,
		"state_slow_times": 40.0,
		"list_lag":         0.9,
		"boot":             0.3,
		"boot_slow":        0.2,
		"boot_slow_times":  2.5,
	}
	o.day("refused", vary, slices.Concat(burst(110, 2, 80, o.classes...), []Table{
		fault(100, "peers_refuse", Table{"for_s": 60.0}),
		fault(105, "node_cut", leaderTarget(Table{"from_state": true, "for_s": 50.0, "mode": "hold"})),
		fault(120, "machine_die", Table{"count": int64(120)}),
		fault(180, "node_cut", leaderTarget(Table{"from_workers": true, "for_s": 40.0, "mode": "hold"})),
		crash(190, 1),
		fault(230, "state_outage", Table{"for_s": 15.0}),
		crash(235, o.controllers),
		crash(246, o.controllers),
	}))
}

// addLongGangBurst adds a day with a long burst of gangs while spot machines are reclaimed at a high rate.
func (o *stressDays) addLongGangBurst() {
	o.day("long", nil, slices.Concat(burst(100, 2.5, 200, o.gangs...), []Table{
		fault(120, "machine_die", Table{"count": int64(150)}),
		crash(180, o.controllers),
		fault(200, "spot_rate", Table{"per_hour": 15.0, "for_s": 150.0}),
	}))
}

// day adds a day with faults, and with variations if there are any.
func (o *stressDays) day(name string, vary Table, faults []Table) {
	d := newScaleDay(name, int64(900+len(o.days)), faults)
	if vary != nil {
		d["vary"] = vary
	}
	o.days = append(o.days, StressDay{Name: name, Day: d})
}

// largestGangClasses returns the names of the class with the largest gangs and of the class split off from it.
func (o *stressDays) largestGangClasses() []string {
	base := strings.TrimSuffix(o.largest[0], LargestSuffix)
	return []string{base, base + LargestSuffix}
}

// crash returns a fault that crashes the count busiest controllers.
func crash(at float64, count int) Table {
	return fault(at, "node_crash", Table{"count": int64(count), "busiest": true})
}

// burst returns faults that multiply the arrivals of classes by a factor; at and length are in seconds.
func burst(at, factor, length float64, classes ...string) (out []Table) {
	for _, class := range classes {
		out = append(out, fault(at, "job_burst", Table{"class": class, "factor": factor, "for_s": length}))
	}
	return out
}

// lastClass returns the names of the last class of a kind and of the class of its largest jobs.
func lastClass(jobs []Table, kind string) (out []string) {
	for _, j := range jobs {
		if name, _ := j["name"].(string); j["kind"] == kind && !strings.HasSuffix(name, LargestSuffix) {
			out = []string{name, name + LargestSuffix}
		}
	}
	return out
}
