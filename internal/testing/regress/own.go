package regress

import (
	"fmt"
	"maps"
)

// Own days are days of our own at half the size again, which the operators said theirs may
// have: more machines, jobs and rates, controllers that are back within a fraction of a second,
// and faults stacked on each other. They are made from a site file when they are played, as
// nothing of the operators' files is kept here.
const (
	ownGrowth  = 1.5   // machines, jobs, rates and teams' limits, relative to the site's
	ownRestart = 0.3   // seconds until an ended controller is back
	ownLength  = 420.0 // seconds of a day

	// Largest is the suffix of a class that has another's largest jobs.
	Largest = "-largest"
	// LargestWait is how long the largest jobs may wait for their start, in seconds.
	LargestWait = 240.0
	// largestShare is the share of jobs that count as largest in a class without listed sizes.
	largestShare = 0.1
)

// grownFields are the fields of a site's lists that grow by ownGrowth.
var grownFields = []struct{ list, field string }{
	{"capacity", "count"},
	{"capacity", "spot"},
	{"machines", "count"},
	{"teams", "cpus"},
	{"teams", "cpus_max"},
	{"teams", "gpus"},
	{"teams", "gpus_max"},
	{"jobs", "initial"},
}

// OwnSite returns a site grown by half without days. The largest jobs of its classes, a tenth or
// those of the largest size, are a class of their own with the targets of the whole, so that a
// report tells how they fare. site is changed.
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
	for _, g := range grownFields {
		for _, t := range tables(site[g.list]) {
			grow(t, g.field)
		}
	}
	site["jobs"], site["targets"] = splitClasses(tables(site["jobs"]), tables(site["targets"]))
	return site, nil
}

// splitClasses grows the rates of all classes and splits off their largest jobs. It returns the
// classes and the targets, those of the split-off classes first.
func splitClasses(classes, targets []Table) (outClasses, outTargets []any) {
	for _, class := range classes {
		arrivals, _ := class["arrivals"].(Table)
		grow(arrivals, "rate")
		large, share := splitLargest(class)
		outClasses = append(outClasses, class)
		if large == nil {
			continue
		}
		outClasses = append(outClasses, large)
		reduceTo(class, arrivals, 1-share)
		reduceTo(large, arrivals, share)
		for _, t := range targets {
			if t["class"] == class["name"] {
				t = maps.Clone(t)
				t["class"] = large["name"]
				outTargets = append(outTargets, t)
			}
		}
	}
	for _, t := range targets {
		outTargets = append(outTargets, t)
	}
	return outClasses, outTargets
}

// reduceTo leaves a class a share of its jobs and arrivals.
func reduceTo(class, arrivals Table, share float64) {
	arrivals = maps.Clone(arrivals)
	arrivals["rate"] = scaled(arrivals["rate"], share)
	class["initial"] = scaled(class["initial"], share)
	class["arrivals"] = arrivals
}

// splitLargest takes the largest jobs out of a class, and returns them as a class of their own with
// their share of all jobs, or nil if all jobs are of one size.
func splitLargest(j Table) (Table, float64) {
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
	p95, largest := number(tasks["p95"]), number(tasks["max"])
	if p95 <= 0 || largest <= p95 {
		return nil, 0
	}
	p90 := int64(p95 * 0.9) // the tenth begins a little below
	j["tasks"] = Table{"median": tasks["median"], "p95": p90, "max": p90 + 1}
	large["tasks"] = Table{
		"sizes":   []any{int64(p95), int64((p95 + largest) / 2), int64(largest)},
		"weights": []any{3.0, 2.0, 1.0},
	}
	return large, largestShare
}
