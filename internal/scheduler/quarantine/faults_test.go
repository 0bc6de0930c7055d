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

	"maddermill/wire"

	"golang.org/x/sync/errgroup"
)

// enoughToBlame is by how many jobs the plain rule finds a machine faulty, as in package crashloop.
const enoughToBlame = 2

// world is a made-up fleet with faults in it, played task by task. Every job's tasks go to
// machines at random; one that fails is tried on another.
type world struct {
	rng      *rand.Rand
	machines int
	rate     []float64 // with which a machine fails its tasks
	badJobs  float64   // share of jobs that fail everywhere
	badTask  float64   // share of arrays with one task that does
	images   []float64 // rate with which each fails
	accident float64
	blocks   int
	badBlock []float64
	now      time.Time
}

// rule is a way to judge machines.
type rule interface {
	see(o *Outcome)
	faulty(m wire.MachineID) bool
}

// todays: two jobs failed there that do not fail elsewhere.
type todays struct {
	on    map[wire.JobID]map[wire.MachineID]bool
	there map[wire.MachineID]map[wire.JobID]time.Time
}

func (r *todays) see(o *Outcome) {
	if !o.Failed {
		delete(r.there, o.Machine)
		delete(r.on, o.Job)
		return
	}
	if r.on[o.Job] == nil {
		r.on[o.Job] = map[wire.MachineID]bool{}
	}
	if r.there[o.Machine] == nil {
		r.there[o.Machine] = map[wire.JobID]time.Time{}
	}
	r.on[o.Job][o.Machine], r.there[o.Machine][o.Job] = true, o.At
}

func (r *todays) faulty(m wire.MachineID) bool {
	n := 0
	for id := range r.there[m] {
		if len(r.on[id]) < enoughToBlame {
			n++
		}
	}
	return n >= enoughToBlame
}

type judges struct{ *Judge }

func (r judges) see(o *Outcome) { r.Observe(o) }
func (r judges) faulty(m wire.MachineID) bool {
	return r.Verdict(m).Faulty
}

// played is what came of a world under a rule.
type played struct {
	found, missed, wrong int
	tasks                []int // until a faulty machine was found, that it had been given since it was
	lost                 int   // tasks that faulty machines failed until then
	machineTasks         int
}

// play gives a rule so many rounds of jobs. A machine that is judged faulty is replaced by a
// sound one at once.
func (w *world) play(r rule, rounds int) (out played) {
	given := make([]int, w.machines)
	faulty := make([]bool, w.machines)
	for m := range faulty {
		faulty[m] = w.rate[m] > 0
	}
	name := make([]string, w.machines)
	for m := range name {
		name[m] = fmt.Sprint("host-", m)
	}
	for n := range rounds {
		w.now = w.now.Add(20 * time.Second)
		job := wire.JobID(fmt.Sprintf("wk-%06d", n))
		tasks := 1
		if w.rng.IntN(3) == 0 {
			tasks = 2 + w.rng.IntN(20)
		}
		bad, image := w.rng.Float64() < w.badJobs, w.rng.IntN(len(w.images))
		badTask := -1
		if tasks > 1 && w.rng.Float64() < w.badTask {
			badTask = w.rng.IntN(tasks)
		}
		for t := range tasks {
			for try := range 4 {
				m := w.rng.IntN(w.machines)
				block := m * w.blocks / w.machines
				fails := bad || t == badTask || w.rng.Float64() < w.images[image] || w.rng.Float64() < w.accident ||
					w.rng.Float64() < w.badBlock[block]
				own := w.rng.Float64() < w.rate[m]
				o := &Outcome{
					Machine: wire.MachineID(name[m]),
					Job:     job,
					Task:    wire.TaskIndex(t),
					Array:   tasks > 1,
					Image:   wire.Image(fmt.Sprint("img-", image)),
					Class:   "c",
					Block:   fmt.Sprint("b", block),
					Failed:  fails || own,
					At:      w.now,
				}
				given[m]++
				out.machineTasks++
				if own && !fails {
					out.lost++
				}
				r.see(o)
				if r.faulty(o.Machine) {
					if faulty[m] {
						out.found++
						out.tasks = append(out.tasks, given[m])
					} else {
						out.wrong++
					}
					name[m] += "'"
					given[m], faulty[m], w.rate[m] = 0, false, 0
				}
				if !o.Failed || try == 3 {
					break
				}
			}
		}
	}
	for m := range faulty {
		if faulty[m] && given[m] >= 60 {
			out.missed++
		}
	}
	return out
}

func newWorld(seed uint64, machines int) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, 18)),
		machines: machines,
		rate:     make([]float64, machines),
		images:   make([]float64, 12),
		accident: 0.0005,
		blocks:   8,
		badBlock: make([]float64, 8),
		now:      time.Unix(1_800_000_000, 0),
	}
	return w
}

var worlds = []struct {
	name string
	make func(w *world)
}{
	{"sound", func(*world) {}},
	{"one in ten, intermittent", func(w *world) { w.rate[3], w.rate[17] = 0.1, 0.1 }},
	{"one in three", func(w *world) { w.rate[3], w.rate[17] = 0.33, 0.33 }},
	{"constant", func(w *world) { w.rate[3], w.rate[17] = 1, 1 }},
	{"jobs with mistakes", func(w *world) { w.badJobs = 0.1 }},
	{"bad tasks of good arrays", func(w *world) { w.badTask = 0.2 }},
	{"a bad image", func(w *world) { w.images[5] = 0.9 }},
	{"an image that fails half the time", func(w *world) { w.images[5] = 0.5 }},
	{"a bad block", func(w *world) { w.badBlock[2] = 0.3 }},
	{"many accidents", func(w *world) { w.accident = 0.005 }},
	{"all of it", func(w *world) {
		w.rate[3], w.rate[17], w.rate[40], w.badJobs, w.badTask, w.images[5], w.accident = 0.1, 0.4, 1, 0.1, 0.1, 0.9, 0.001
	}},
}

// TestWorlds plays worlds with faults under today's rule and the judge, and holds the judge to
// what it is for. WORLDS=n plays n seeds of each, and prints the table of docs/quarantine.md.
func TestWorlds(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("WORLDS"))
	rounds := 2000
	if seeds == 0 {
		seeds, rounds = 2, 700 // enough to see it work
	}
	var table strings.Builder
	for _, kind := range worlds {
		for _, which := range []string{"today", "judge"} {
			if which == "today" && os.Getenv("WORLDS") == "" {
				continue
			}
			var sum played
			var mu sync.Mutex
			var g errgroup.Group
			g.SetLimit(runtime.GOMAXPROCS(0))
			for seed := range uint64(seeds) {
				g.Go(func() error {
					w := newWorld(seed, 64)
					kind.make(w)
					var r rule = judges{NewJudge(DefaultPriors)}
					if which == "today" {
						r = &todays{map[wire.JobID]map[wire.MachineID]bool{}, map[wire.MachineID]map[wire.JobID]time.Time{}}
					}
					p := w.play(r, rounds)
					mu.Lock()
					defer mu.Unlock()
					sum.found, sum.missed, sum.wrong, sum.lost, sum.machineTasks = sum.found+p.found, sum.missed+p.missed, sum.wrong+p.wrong, sum.lost+p.lost, sum.machineTasks+p.machineTasks
					sum.tasks = append(sum.tasks, p.tasks...)
					return nil
				})
			}
			_ = g.Wait()
			slices.Sort(sum.tasks)
			at := func(q float64) string {
				if len(sum.tasks) == 0 {
					return "-"
				}
				return fmt.Sprint(sum.tasks[int(math.Ceil(q*float64(len(sum.tasks))))-1])
			}
			within := 0
			for _, n := range sum.tasks {
				if n <= 60 {
					within++
				}
			}
			share := "-"
			if all := sum.found + sum.missed; all > 0 {
				share = fmt.Sprintf("%.3f", float64(within)/float64(all))
			}
			fmt.Fprintf(
				&table,
				"| %s | %s | %d | %d | %s | %s | %s | %.2f | %d |\n",
				kind.name,
				which,
				sum.found,
				sum.missed,
				share,
				at(0.5),
				at(0.95),
				1000*float64(sum.wrong)/float64(sum.machineTasks)*1440,
				sum.lost,
			)
			if which == "judge" &&
				(sum.wrong > 1+seeds/4 || sum.missed > 0 || rounds == 2000 && kind.name == "one in ten, intermittent" && float64(within) < 0.75*float64(sum.found)) {
				t.Errorf(
					"%s: %d wrong, %d missed, %d of %d found within 60 tasks",
					kind.name,
					sum.wrong,
					sum.missed,
					within,
					sum.found,
				)
			}
		}
	}
	t.Log("\n" + table.String())
}

// TestSlowMachines: a machine on which tasks take longer is found from how long their mates and
// their class take elsewhere, though estimates are wrong by half for all tasks of a job.
func TestSlowMachines(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("WORLDS"))
	seeds = max(seeds, 20)
	for _, by := range []float64{1, 1.5, 2, 4} {
		var tasks []int
		wrong, all := 0, 0
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, 19))
			j := NewJudge(DefaultPriors)
			given := make([]int, 64)
			found := map[int]bool{}
			for n := range 1500 {
				job, off := wire.JobID(fmt.Sprintf("wk-%06d", n)), 0.4*rng.NormFloat64()
				count := 1
				if rng.IntN(3) == 0 {
					count = 2 + rng.IntN(20)
				}
				for k := range count {
					m := rng.IntN(64)
					given[m]++
					all++
					ran := 60 * math.Exp(off+0.2*rng.NormFloat64())
					if m == 3 {
						ran *= by
					}
					id := wire.MachineID(fmt.Sprint("host-", m))
					j.Observe(&Outcome{
						Machine: id,
						Job:     job,
						Task:    wire.TaskIndex(k),
						Array:   count > 1,
						Class:   "c",
						Ran: time.Duration(
							ran * float64(time.Second),
						),
						Expected: time.Minute,
						At:       time.Unix(int64(1_800_000_000+20*n), 0),
					})
					if slow, _ := j.Slow(id); slow && !found[m] {
						if found[m] = true; m == 3 && by > 1 {
							tasks = append(tasks, given[m])
						} else {
							wrong++
						}
					}
				}
			}
		}
		slices.Sort(tasks)
		t.Logf(
			"%v times as long: %d of %d found, after %v tasks; %d sound ones said to be slow in %.0f machine-days",
			by,
			len(tasks),
			seeds,
			tasks[len(tasks)/2:][:min(1, len(tasks))],
			wrong,
			float64(all)/1440,
		)
		if wrong > seeds/5 || by >= 2 && len(tasks) < seeds {
			t.Errorf("%v times as long: %d of %d found, %d wrong", by, len(tasks), seeds, wrong)
		}
	}
}

// TestNeighboursSettle: three jobs that failed on one machine may be to blame themselves until they
// were tried elsewhere. What other controllers tell of them clears the machine, and that the records
// show them done speaks against it.
func TestNeighboursSettle(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	sure := func(others, progress bool) float64 {
		here, there := NewJudge(DefaultPriors), NewJudge(DefaultPriors)
		see := func(j *Judge, m, job string, failed bool, at time.Time) {
			j.Observe(&Outcome{Machine: wire.MachineID(m), Job: wire.JobID(job), Failed: failed, At: at})
		}
		for i := range 50 {
			see(here, "host-1", fmt.Sprint("good-", i), false, now)
			see(there, "host-2", fmt.Sprint("fine-", i), false, now)
			see(there, "host-3", fmt.Sprint("well-", i), false, now)
		}
		for i := range 3 {
			at := now.Add(time.Duration(10+10*i) * time.Second)
			job := fmt.Sprint("bad-", i)
			see(here, "host-1", job, true, at)
			see(there, "host-2", job, true, at.Add(time.Second))
			see(there, "host-3", job, true, at.Add(2*time.Second))
		}
		later := now.Add(2 * time.Minute)
		if others {
			told := there.FailuresToShare(later)
			here.MergeFailures(told)
			here.MergeFailures(told) // once more changes nothing
		}
		if progress {
			for i := range 3 {
				here.Progress(wire.JobID(fmt.Sprint("bad-", i)), 1, func(wire.TaskIndex) bool { return true })
			}
		}
		see(here, "host-9", "else", false, later)
		s := here.Verdict("host-1").Probability
		return s
	}
	alone, told, done := sure(false, false), sure(true, false), sure(false, true)
	if alone > 0.5 || told > 0.05 || done < 0.99 {
		t.Errorf(
			"sure that the machine is faulty: %.3f alone, %.3f once others told that the jobs fail there too, %.3f once the jobs were done elsewhere",
			alone,
			told,
			done,
		)
	}
}

// BenchmarkJudge is what an outcome costs beside 2,048 failures on 16,000 machines: one that is
// done, and one that fails and is judged.
func BenchmarkJudge(b *testing.B) {
	j := NewJudge(DefaultPriors)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_800_000_000, 0)
	see := func(failed bool) {
		now = now.Add(time.Millisecond)
		j.Observe(
			&Outcome{
				Machine: wire.MachineID(fmt.Sprint("host-", rng.IntN(16000))),
				Job:     wire.JobID(fmt.Sprint("wk-", rng.IntN(4000))),
				Task:    wire.TaskIndex(rng.IntN(9)),
				Array:   true,
				Image: wire.Image(
					fmt.Sprint("img-", rng.IntN(40)),
				),
				Class:  "c",
				Block:  fmt.Sprint("b", rng.IntN(400)),
				Failed: failed,
				At:     now,
			},
		)
	}
	for range 100_000 {
		see(rng.IntN(40) == 0)
	}
	b.Run("done", func(b *testing.B) {
		for b.Loop() {
			see(false)
		}
	})
	b.Run("failed", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(settleInterval)
			see(true)
			j.settle()
		}
	})
}
