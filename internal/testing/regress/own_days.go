package regress

import (
	"fmt"
	"slices"
	"strings"
)

// OwnDay is a day to be played on an own site.
type OwnDay struct {
	Name string
	Day  Table
}

// ownDays builds the days of our own, each of which has several kinds of faults at once.
type ownDays struct {
	days        []OwnDay
	controllers int
	zones       []any
	classes     []string // all
	largest     []string // the classes of largest jobs, the one with the largest gangs first
	gangs       []string // the last class of gangs and that of its largest jobs
}

// OwnDays returns the days of an own site. It fails if the site has fewer than two controllers,
// no zones, or no class of largest jobs.
func OwnDays(site Table) ([]OwnDay, error) {
	nodes, _ := site["nodes"].(Table)
	zones, _ := nodes["zones"].([]any)
	o := &ownDays{days: []OwnDay{}, controllers: int(number(nodes["count"])), zones: zones}
	if o.controllers < 2 || len(o.zones) == 0 {
		return nil, fmt.Errorf("%v: too few controllers or no zones", site["name"])
	}
	o.readClasses(tables(site["jobs"]))
	if len(o.largest) == 0 {
		return nil, fmt.Errorf("%v: no class has larger jobs than others", site["name"])
	}
	o.addAgain()
	o.addRolls()
	o.addLargest()
	o.addStalls()
	o.addRefused()
	o.addLong()
	return o.days, nil
}

// readClasses sorts a site's classes.
func (o *ownDays) readClasses(jobs []Table) {
	largestGang := 0.0
	for _, j := range jobs {
		name, _ := j["name"].(string)
		o.classes = append(o.classes, name)
		tasks, _ := j["tasks"].(Table)
		sizes, _ := tasks["sizes"].([]any)
		if len(sizes) == 0 || !strings.HasSuffix(name, Largest) {
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

// addAgain: controllers end again and again as others are being elected, then all do in an outage.
func (o *ownDays) addAgain() {
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

// addRolls: one rolling restart after the other with a slow state service and peers that refuse.
func (o *ownDays) addRolls() {
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
		burst(95, 2, 120, o.wholeAndLargest()...),
	))
}

// addLargest: bursts of the largest jobs while machines die and a zone is cut off.
func (o *ownDays) addLargest() {
	o.day("largest", nil, slices.Concat(burst(100, 3, 100, o.largest...), []Table{
		fault(110, "machine_die", Table{"count": int64(180)}),
		fault(130, "spot_taken", Table{"share": 0.5, "notice_s": 0.0, "over_s": 20.0}),
		fault(150, "zone_cut", Table{"zone": o.zones[0], "for_s": 60.0, "mode": "hold"}),
		crash(160, o.controllers),
	}))
}

// addStalls: machines hang and the leader's process pauses.
func (o *ownDays) addStalls() {
	o.day("stalls", Table{"report": 0.2, "fetch": 0.3, "fetch_shared": true}, slices.Concat(
		burst(120, 2, 60, o.wholeAndLargest()...),
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

// addRefused: the leader is cut off from its peers, the state service and the workers in turn.
func (o *ownDays) addRefused() {
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
		fault(105, "node_cut", leader(Table{"from_state": true, "for_s": 50.0, "mode": "hold"})),
		fault(120, "machine_die", Table{"count": int64(120)}),
		fault(180, "node_cut", leader(Table{"from_workers": true, "for_s": 40.0, "mode": "hold"})),
		crash(190, 1),
		fault(230, "state_outage", Table{"for_s": 15.0}),
		crash(235, o.controllers),
		crash(246, o.controllers),
	}))
}

// addLong: a long burst of gangs with spot machines reclaimed at a high rate.
func (o *ownDays) addLong() {
	o.day("long", nil, slices.Concat(burst(100, 2.5, 200, o.gangs...), []Table{
		fault(120, "machine_die", Table{"count": int64(150)}),
		crash(180, o.controllers),
		fault(200, "spot_rate", Table{"per_hour": 15.0, "for_s": 150.0}),
	}))
}

// day adds a day with variations, if any, and faults.
func (o *ownDays) day(name string, vary Table, faults []Table) {
	d := scaleDay(name, int64(900+len(o.days)), faults)
	if vary != nil {
		d["vary"] = vary
	}
	o.days = append(o.days, OwnDay{Name: name, Day: d})
}

// wholeAndLargest names the class with the largest gangs and that of its largest jobs.
func (o *ownDays) wholeAndLargest() []string {
	whole := strings.TrimSuffix(o.largest[0], Largest)
	return []string{whole, whole + Largest}
}

// crash ends the busiest controllers.
func crash(at float64, count int) Table {
	return fault(at, "node_crash", Table{"count": int64(count), "busiest": true})
}

// burst multiplies the arrivals of classes by a factor for a time in seconds.
func burst(at, factor, length float64, classes ...string) (out []Table) {
	for _, class := range classes {
		out = append(out, fault(at, "job_burst", Table{"class": class, "factor": factor, "for_s": length}))
	}
	return out
}

// lastClass names the last class of a kind and that of its largest jobs.
func lastClass(jobs []Table, kind string) (out []string) {
	for _, j := range jobs {
		if name, _ := j["name"].(string); j["kind"] == kind && !strings.HasSuffix(name, Largest) {
			out = []string{name, name + Largest}
		}
	}
	return out
}
