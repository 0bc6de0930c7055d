package regress

import (
	"fmt"
	"maps"
)

// Parameters of the stress days. These are simulated days at 1.5 times the size of a site, up to which
// the operators said that their deployments may grow: more machines and jobs, higher arrival rates,
// controllers that restart within a fraction of a second, and several faults at once. They are generated
// from a site file when they are run, as the operators' files are not kept in this repository.
const (
	growthFactor = 1.5   // of machines, jobs, arrival rates and team limits
	restartDelay = 0.3   // seconds until a crashed controller is back
	dayLength    = 420.0 // duration of a day in seconds

	// LargestSuffix is the name suffix of a class with the largest jobs of another class.
	LargestSuffix = "-largest"
	// MaxLargestWait is the time within which the largest jobs should start, in seconds.
	MaxLargestWait = 240.0
	// largestShare is the fraction of jobs that count as the largest in a class without listed sizes.
	largestShare = 0.1
)

// grownFields lists the fields of a site that are multiplied by growthFactor.
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

// StressSite scales a site by growthFactor and removes its days. It splits the largest jobs of each class,
// those of the largest listed size or else a tenth, off into a class of their own with the same targets,
// so that reports show them separately. It modifies and returns site.
func StressSite(site Table) (Table, error) {
	name, _ := site["name"].(string)
	if name == "" {
		return nil, fmt.Errorf("site: no name")
	}
	site["name"] = name + "-own"
	site["duration_s"] = dayLength
	delete(site, "day")
	nodes, ok := site["nodes"].(Table)
	if !ok {
		return nil, fmt.Errorf("%s: no nodes", name)
	}
	nodes["restart_delay_s"] = restartDelay
	for _, g := range grownFields {
		for _, t := range tables(site[g.list]) {
			grow(t, g.field)
		}
	}
	site["jobs"], site["targets"] = splitClasses(tables(site["jobs"]), tables(site["targets"]))
	return site, nil
}

// splitClasses multiplies the arrival rates of all classes by growthFactor and splits off their largest
// jobs. It returns all classes, and all targets with those of the split-off classes first.
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
		scaleJobs(class, arrivals, 1-share)
		scaleJobs(large, arrivals, share)
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

// scaleJobs scales the initial jobs and the arrivals of a class by a share.
func scaleJobs(class, arrivals Table, share float64) {
	arrivals = maps.Clone(arrivals)
	arrivals["rate"] = scaled(arrivals["rate"], share)
	class["initial"] = scaled(class["initial"], share)
	class["arrivals"] = arrivals
}

// splitLargest removes the largest jobs from a class, and returns a new class with them and their
// share of all jobs, or nil if all jobs are of the same size.
func splitLargest(j Table) (Table, float64) {
	tasks, _ := j["tasks"].(Table)
	large := maps.Clone(j)
	large["name"] = fmt.Sprint(j["name"], LargestSuffix)
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
	p90 := int64(p95 * 0.9) // the largest tenth begins somewhat below p95
	j["tasks"] = Table{"median": tasks["median"], "p95": p90, "max": p90 + 1}
	large["tasks"] = Table{
		"sizes":   []any{int64(p95), int64((p95 + largest) / 2), int64(largest)},
		"weights": []any{3.0, 2.0, 1.0},
	}
	return large, largestShare
}
