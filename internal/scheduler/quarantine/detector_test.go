package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"maddermill/wire"
)

// scenarios are the simulated faults.
var scenarios = []struct {
	name     string
	addFault func(c *simulatedCluster)
}{
	{"no faults", func(*simulatedCluster) {}},
	{"one in ten, intermittent", func(c *simulatedCluster) { c.machineRate[3], c.machineRate[17] = 0.1, 0.1 }},
	{"one in three", func(c *simulatedCluster) { c.machineRate[3], c.machineRate[17] = 0.33, 0.33 }},
	{"constant", func(c *simulatedCluster) { c.machineRate[3], c.machineRate[17] = 1, 1 }},
	{"jobs with mistakes", func(c *simulatedCluster) { c.badJobShare = 0.1 }},
	{"bad tasks of good arrays", func(c *simulatedCluster) { c.badTaskShare = 0.2 }},
	{"a bad image", func(c *simulatedCluster) { c.imageRate[5] = 0.9 }},
	{"an image that fails half the time", func(c *simulatedCluster) { c.imageRate[5] = 0.5 }},
	{"a bad block", func(c *simulatedCluster) { c.blockRate[2] = 0.3 }},
	{"many background failures", func(c *simulatedCluster) { c.backgroundRate = 0.005 }},
	{"all faults combined", func(c *simulatedCluster) {
		c.machineRate[3], c.machineRate[17], c.machineRate[40] = 0.1, 0.4, 1
		c.badJobShare, c.badTaskShare, c.imageRate[5], c.backgroundRate = 0.1, 0.1, 0.9, 0.001
	}},
}

// promptDetectionTasks is the number of tasks within which a faulty machine should be found.
const promptDetectionTasks = 60

// simulateSeeds runs a scenario with the given number of seeds, each with a new rule, and sums up the results.
func simulateSeeds(addFault func(*simulatedCluster), newRule func() detectionRule, seeds, rounds int) simulationResult {
	var sum simulationResult
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range uint64(seeds) {
		g.Go(func() error {
			cluster := newSimulatedCluster(seed, 64)
			addFault(cluster)
			result := cluster.simulate(newRule(), rounds)
			mu.Lock()
			defer mu.Unlock()
			sum.add(result)
			return nil
		})
	}
	_ = g.Wait() // none returns an error
	slices.Sort(sum.tasksUntilFound)
	return sum
}

// tableRow returns a row of the table of docs/quarantine.md.
func (r *simulationResult) tableRow(kind, rule string) string {
	quantile := func(q float64) string {
		if len(r.tasksUntilFound) == 0 {
			return "-"
		}
		return fmt.Sprint(r.tasksUntilFound[int(math.Ceil(q*float64(len(r.tasksUntilFound))))-1])
	}
	share := "-"
	if all := r.found + r.missed; all > 0 {
		share = fmt.Sprintf("%.3f", float64(r.foundWithin(promptDetectionTasks))/float64(all))
	}
	return fmt.Sprintf("| %s | %s | %d | %d | %s | %s | %s | %.2f | %d |\n", kind, rule, r.found, r.missed, share,
		quantile(0.5), quantile(0.95), 1000*float64(r.wrong)/float64(r.tasks)*1440, r.lostTasks)
}

// TestSimulatedFaults simulates clusters with injected faults and checks that the detector finds the faulty machines
// and hardly any healthy ones. WORLDS=n simulates n seeds of each scenario, also with twoJobRule for comparison, and
// prints the table of docs/quarantine.md.
func TestSimulatedFaults(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("WORLDS")) // 0 if it is not set
	rounds, full := 2000, seeds > 0
	if !full {
		seeds, rounds = 2, 700 // a short smoke test
	}
	var table strings.Builder
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			if full {
				baseline := simulateSeeds(scenario.addFault, func() detectionRule { return newTwoJobRule() }, seeds, rounds)
				table.WriteString(baseline.tableRow(scenario.name, "two jobs"))
			}
			result := simulateSeeds(scenario.addFault,
				func() detectionRule { return detectorRule{NewDetector(DefaultPriors)} }, seeds, rounds)
			table.WriteString(result.tableRow(scenario.name, "detector"))
			if maxWrong := 1 + seeds/4; result.wrong > maxWrong {
				t.Errorf("got %d healthy machines considered faulty, want at most %d", result.wrong, maxWrong)
			}
			if result.missed > 0 {
				t.Errorf("got %d faulty machines not detected, want 0", result.missed)
			}
			prompt := result.foundWithin(promptDetectionTasks)
			if full && scenario.name == "one in ten, intermittent" && float64(prompt) < 0.75*float64(result.found) {
				t.Errorf("got %d of %d faulty machines found within %d tasks, want at least three quarters",
					prompt, result.found, promptDetectionTasks)
			}
		})
	}
	t.Log("\n" + table.String())
}

// slowResult is the result of simulations with one slow machine.
type slowResult struct {
	tasksUntilFound []int // tasks assigned to the slow machine until it was found
	wrong           int   // healthy machines considered slow
	tasks           int
}

// simulate runs jobs on 64 machines, one of which is slower by the given factor. The estimates of run times are off by
// about half, by the same factor for all tasks of a job.
func (r *slowResult) simulate(seed uint64, factor float64) {
	const machines, slowMachine = 64, 3
	rng := rand.New(rand.NewPCG(seed, 19))
	d := NewDetector(DefaultPriors)
	assigned := make([]int, machines)
	found := map[int]bool{}
	for n := range 1500 {
		job, estimateError := wire.JobID(fmt.Sprintf("wk-%06d", n)), 0.4*rng.NormFloat64()
		tasks := 1
		if rng.IntN(3) == 0 {
			tasks = 2 + rng.IntN(20)
		}
		for task := range tasks {
			m := rng.IntN(machines)
			assigned[m]++
			r.tasks++
			seconds := 60 * math.Exp(estimateError+0.2*rng.NormFloat64())
			if m == slowMachine {
				seconds *= factor
			}
			id := wire.MachineID(fmt.Sprint("host-", m))
			d.Observe(&Outcome{
				Machine:  id,
				Job:      job,
				Task:     wire.TaskIndex(task),
				Array:    tasks > 1,
				Class:    "c",
				Ran:      time.Duration(seconds * float64(time.Second)),
				Expected: time.Minute,
				At:       time.Unix(int64(1_800_000_000+20*n), 0),
			})
			if slow, _ := d.Slow(id); !slow || found[m] {
				continue
			}
			found[m] = true
			if m == slowMachine && factor > 1 {
				r.tasksUntilFound = append(r.tasksUntilFound, assigned[m])
			} else {
				r.wrong++
			}
		}
	}
}

// TestSlowMachines checks that a slow machine is found by comparison with the run times of tasks of the same job and
// class elsewhere, and that healthy machines are hardly ever considered slow.
func TestSlowMachines(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("WORLDS")) // 0 if it is not set
	seeds = max(seeds, 20)
	for _, factor := range []float64{1, 1.5, 2, 4} {
		t.Run(fmt.Sprintf("%v times as long", factor), func(t *testing.T) {
			var r slowResult
			for seed := range uint64(seeds) {
				r.simulate(seed, factor)
			}
			slices.Sort(r.tasksUntilFound)
			found := len(r.tasksUntilFound)
			t.Logf("%d of %d found, after a median of %v tasks; %d healthy ones considered slow in %.0f machine-days",
				found, seeds, r.tasksUntilFound[found/2:][:min(1, found)], r.wrong, float64(r.tasks)/1440)
			if r.wrong > seeds/5 {
				t.Errorf("got %d healthy machines considered slow, want at most %d", r.wrong, seeds/5)
			}
			if factor >= 2 && found < seeds {
				t.Errorf("got %d of %d slow machines found, want all", found, seeds)
			}
		})
	}
}

// TestSharedFailuresAndProgress checks that evidence from elsewhere counts. Three jobs failed on one machine, and may
// be faulty themselves. If other controllers share failures of these jobs elsewhere, the machine is cleared; if the
// records show that tasks of these jobs completed, the machine is faulty.
func TestSharedFailuresAndProgress(t *testing.T) {
	for _, tc := range []struct {
		name             string
		shared, progress bool
		low, high        float64 // the bounds of the probability that the machine is faulty
	}{
		{"alone", false, false, 0, 0.5},
		{"failures shared", true, false, 0, 0.05},
		{"tasks completed elsewhere", false, true, 0.99, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := probabilityHost1Faulty(tc.shared, tc.progress)
			if got < tc.low || got > tc.high {
				t.Errorf("got probability %.3f, want %v to %v", got, tc.low, tc.high)
			}
		})
	}
}

// probabilityHost1Faulty returns the probability that host-1 is faulty, where three jobs failed that also fail
// elsewhere, with or without the failures shared by another controller and the completions on record.
func probabilityHost1Faulty(shared, progress bool) float64 {
	now := time.Unix(1_800_000_000, 0)
	here, there := NewDetector(DefaultPriors), NewDetector(DefaultPriors)
	observe := func(d *Detector, m, job string, failed bool, at time.Time) {
		d.Observe(&Outcome{Machine: wire.MachineID(m), Job: wire.JobID(job), Failed: failed, At: at})
	}
	for i := range 50 {
		observe(here, "host-1", fmt.Sprint("good-", i), false, now)
		observe(there, "host-2", fmt.Sprint("fine-", i), false, now)
		observe(there, "host-3", fmt.Sprint("well-", i), false, now)
	}
	for i := range 3 {
		at := now.Add(time.Duration(10+10*i) * time.Second)
		job := fmt.Sprint("bad-", i)
		observe(here, "host-1", job, true, at)
		observe(there, "host-2", job, true, at.Add(time.Second))
		observe(there, "host-3", job, true, at.Add(2*time.Second))
	}
	later := now.Add(2 * time.Minute)
	if shared {
		failures := there.FailuresToShare(later)
		here.MergeFailures(failures)
		here.MergeFailures(failures) // merging is idempotent
	}
	if progress {
		for i := range 3 {
			here.RecordProgress(wire.JobID(fmt.Sprint("bad-", i)), 1, func(wire.TaskIndex) bool { return true })
		}
	}
	observe(here, "host-9", "else", false, later)
	return here.Diagnose("host-1").Probability
}

// BenchmarkDetector measures the cost of an outcome with 16,000 machines and a full store of failures: of a completed
// task, and of a failed one that triggers an inference.
func BenchmarkDetector(b *testing.B) {
	d := NewDetector(DefaultPriors)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_800_000_000, 0)
	observe := func(failed bool) {
		now = now.Add(time.Millisecond)
		d.Observe(&Outcome{
			Machine: wire.MachineID(fmt.Sprint("host-", rng.IntN(16000))),
			Job:     wire.JobID(fmt.Sprint("wk-", rng.IntN(4000))),
			Task:    wire.TaskIndex(rng.IntN(9)),
			Array:   true,
			Image:   wire.Image(fmt.Sprint("img-", rng.IntN(40))),
			Class:   "c",
			Block:   fmt.Sprint("b", rng.IntN(400)),
			Failed:  failed,
			At:      now,
		})
	}
	for range 100_000 {
		observe(rng.IntN(40) == 0)
	}
	b.Run("done", func(b *testing.B) {
		for b.Loop() {
			observe(false)
		}
	})
	b.Run("failed", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(inferenceInterval)
			observe(true)
			d.runInference()
		}
	})
}
