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

// worldKinds are the faults that are played.
var worldKinds = []struct {
	name     string
	addFault func(w *world)
}{
	{"sound", func(*world) {}},
	{"one in ten, intermittent", func(w *world) { w.rate[3], w.rate[17] = 0.1, 0.1 }},
	{"one in three", func(w *world) { w.rate[3], w.rate[17] = 0.33, 0.33 }},
	{"constant", func(w *world) { w.rate[3], w.rate[17] = 1, 1 }},
	{"jobs with mistakes", func(w *world) { w.badJobs = 0.1 }},
	{"bad tasks of good arrays", func(w *world) { w.badTask = 0.2 }},
	{"a bad image", func(w *world) { w.images[5] = 0.9 }},
	{"an image that fails half the time", func(w *world) { w.images[5] = 0.5 }},
	{"a bad block", func(w *world) { w.blockRate[2] = 0.3 }},
	{"many accidents", func(w *world) { w.accident = 0.005 }},
	{"all of it", func(w *world) {
		w.rate[3], w.rate[17], w.rate[40] = 0.1, 0.4, 1
		w.badJobs, w.badTask, w.images[5], w.accident = 0.1, 0.1, 0.9, 0.001
	}},
}

// soonTasks is within how many tasks a faulty machine should be found.
const soonTasks = 60

// playSeeds plays a kind of world with so many seeds, each under a new rule, and sums up the results.
func playSeeds(addFault func(*world), newRule func() rule, seeds, rounds int) playResult {
	var sum playResult
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range uint64(seeds) {
		g.Go(func() error {
			w := newWorld(seed, 64)
			addFault(w)
			result := w.play(newRule(), rounds)
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
func (p *playResult) tableRow(kind, rule string) string {
	quantile := func(q float64) string {
		if len(p.tasksUntilFound) == 0 {
			return "-"
		}
		return fmt.Sprint(p.tasksUntilFound[int(math.Ceil(q*float64(len(p.tasksUntilFound))))-1])
	}
	share := "-"
	if all := p.found + p.missed; all > 0 {
		share = fmt.Sprintf("%.3f", float64(p.foundWithin(soonTasks))/float64(all))
	}
	return fmt.Sprintf("| %s | %s | %d | %d | %s | %s | %s | %.2f | %d |\n", kind, rule, p.found, p.missed, share,
		quantile(0.5), quantile(0.95), 1000*float64(p.wrong)/float64(p.tasks)*1440, p.lost)
}

// TestWorlds plays worlds with faults under the plain rule and the judge, and checks what the judge finds.
// WORLDS=n plays n seeds of each, and prints the table of docs/quarantine.md.
func TestWorlds(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("WORLDS")) // 0 if it is not set
	rounds, full := 2000, seeds > 0
	if !full {
		seeds, rounds = 2, 700 // enough to see it work
	}
	var table strings.Builder
	for _, kind := range worldKinds {
		t.Run(kind.name, func(t *testing.T) {
			if full {
				plain := playSeeds(kind.addFault, func() rule { return newPlainRule() }, seeds, rounds)
				table.WriteString(plain.tableRow(kind.name, "today"))
			}
			judged := playSeeds(kind.addFault, func() rule { return judgeRule{NewJudge(DefaultPriors)} }, seeds, rounds)
			table.WriteString(judged.tableRow(kind.name, "judge"))
			if maxWrong := 1 + seeds/4; judged.wrong > maxWrong {
				t.Errorf("got %d sound machines judged faulty, want at most %d", judged.wrong, maxWrong)
			}
			if judged.missed > 0 {
				t.Errorf("got %d faulty machines missed, want 0", judged.missed)
			}
			soon := judged.foundWithin(soonTasks)
			if full && kind.name == "one in ten, intermittent" && float64(soon) < 0.75*float64(judged.found) {
				t.Errorf("got %d of %d found within %d tasks, want three quarters", soon, judged.found, soonTasks)
			}
		})
	}
	t.Log("\n" + table.String())
}

// slowResult is what came of runs with one machine on which tasks take longer.
type slowResult struct {
	tasksUntilFound []int // that the slow machine had been given when it was found
	wrong           int   // other machines judged slow
	tasks           int
}

// playSlow runs jobs on 64 machines, on one of which they take longer by a factor, though estimates are wrong
// by half for all tasks of a job.
func (r *slowResult) playSlow(seed uint64, factor float64) {
	const machines, slowMachine = 64, 3
	rng := rand.New(rand.NewPCG(seed, 19))
	j := NewJudge(DefaultPriors)
	given := make([]int, machines)
	found := map[int]bool{}
	for n := range 1500 {
		job, estimateError := wire.JobID(fmt.Sprintf("wk-%06d", n)), 0.4*rng.NormFloat64()
		tasks := 1
		if rng.IntN(3) == 0 {
			tasks = 2 + rng.IntN(20)
		}
		for task := range tasks {
			m := rng.IntN(machines)
			given[m]++
			r.tasks++
			seconds := 60 * math.Exp(estimateError+0.2*rng.NormFloat64())
			if m == slowMachine {
				seconds *= factor
			}
			id := wire.MachineID(fmt.Sprint("host-", m))
			j.Observe(&Outcome{
				Machine:  id,
				Job:      job,
				Task:     wire.TaskIndex(task),
				Array:    tasks > 1,
				Class:    "c",
				Ran:      time.Duration(seconds * float64(time.Second)),
				Expected: time.Minute,
				At:       time.Unix(int64(1_800_000_000+20*n), 0),
			})
			if slow, _ := j.Slow(id); !slow || found[m] {
				continue
			}
			found[m] = true
			if m == slowMachine && factor > 1 {
				r.tasksUntilFound = append(r.tasksUntilFound, given[m])
			} else {
				r.wrong++
			}
		}
	}
}

// TestSlowMachines: a machine on which tasks take longer is found from how long others of their job and class
// take elsewhere, and sound ones hardly ever are.
func TestSlowMachines(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("WORLDS")) // 0 if it is not set
	seeds = max(seeds, 20)
	for _, factor := range []float64{1, 1.5, 2, 4} {
		t.Run(fmt.Sprintf("%v times as long", factor), func(t *testing.T) {
			var r slowResult
			for seed := range uint64(seeds) {
				r.playSlow(seed, factor)
			}
			slices.Sort(r.tasksUntilFound)
			found := len(r.tasksUntilFound)
			t.Logf("%d of %d found, after %v tasks in the median; %d sound ones judged slow in %.0f machine-days",
				found, seeds, r.tasksUntilFound[found/2:][:min(1, found)], r.wrong, float64(r.tasks)/1440)
			if r.wrong > seeds/5 {
				t.Errorf("got %d sound machines judged slow, want at most %d", r.wrong, seeds/5)
			}
			if factor >= 2 && found < seeds {
				t.Errorf("got %d of %d slow machines found, want all", found, seeds)
			}
		})
	}
}

// TestSharedFailuresAndProgress: three jobs that failed on one machine may be to blame themselves until they
// were tried elsewhere. Failures there that other controllers share clear the machine; that the records show
// the jobs' tasks completed is evidence against it.
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
			got := probabilityOfNeighbour(tc.shared, tc.progress)
			if got < tc.low || got > tc.high {
				t.Errorf("got probability %.3f, want %v to %v", got, tc.low, tc.high)
			}
		})
	}
}

// probabilityOfNeighbour returns the probability that host-1 is faulty, on which three jobs failed that fail
// elsewhere, too, with or without the failures that another controller shares and the completions on record.
func probabilityOfNeighbour(shared, progress bool) float64 {
	now := time.Unix(1_800_000_000, 0)
	here, there := NewJudge(DefaultPriors), NewJudge(DefaultPriors)
	observe := func(j *Judge, m, job string, failed bool, at time.Time) {
		j.Observe(&Outcome{Machine: wire.MachineID(m), Job: wire.JobID(job), Failed: failed, At: at})
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
		here.MergeFailures(failures) // once more changes nothing
	}
	if progress {
		for i := range 3 {
			here.Progress(wire.JobID(fmt.Sprint("bad-", i)), 1, func(wire.TaskIndex) bool { return true })
		}
	}
	observe(here, "host-9", "else", false, later)
	return here.Verdict("host-1").Probability
}

// BenchmarkJudge is what an outcome costs beside the failures that a judge holds, on 16,000 machines: one that
// completes, and one that fails and is judged.
func BenchmarkJudge(b *testing.B) {
	j := NewJudge(DefaultPriors)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_800_000_000, 0)
	observe := func(failed bool) {
		now = now.Add(time.Millisecond)
		j.Observe(&Outcome{
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
			now = now.Add(settleInterval)
			observe(true)
			j.settle()
		}
	})
}
