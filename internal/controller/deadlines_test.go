package controller

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// promiseMode is how the scheduler learns of the promised dates of jobs.
type promiseMode string

const (
	withoutGalleries promiseMode = "no galleries"
	deadlinePerJob   promiseMode = "a deadline per job"
	withGalleries    promiseMode = "galleries"
)

// promiseResult is how many galleries kept their promised dates, and how late the others were.
type promiseResult struct {
	galleries, kept int
	lateness        time.Duration // total of the galleries that missed their dates
}

// promisedGallery is a gallery with its jobs and their submission times.
type promisedGallery struct {
	date     time.Time
	jobs     []*wire.JobSpec
	submitAt []time.Duration // for each job, relative to the start of the run
}

// promiseRun is one run of galleries with promised dates.
type promiseRun struct {
	*restartScenario
	mode      promiseMode
	startedAt time.Time
	galleries []promisedGallery
	lastExit  map[wire.JobID]time.Time // like exits, guarded by the lock of world during the run
	exits     map[wire.JobID]int
}

// runPromises runs twelve galleries of three jobs each on at most twelve machines, at times with more work than
// these have room for. With crashes, one controller or all of them crash every ten seconds.
func runPromises(t *testing.T, seed uint64, mode promiseMode, crashes bool) promiseResult {
	t.Helper()
	run := &promiseRun{
		restartScenario: newRestartScenario(t, seed, 300*time.Millisecond),
		mode:            mode,
		startedAt:       time.Now(),
		lastExit:        map[wire.JobID]time.Time{},
		exits:           map[wire.JobID]int{},
	}
	run.archiving, run.duplicateMessages = false, false
	ctx, cancel := context.WithCancel(t.Context())
	run.world.Finished = func(task wire.TaskID) {
		run.lastExit[task.Job] = time.Now()
		run.exits[task.Job]++
	}
	run.makeGalleries()
	run.start(ctx, 4, 0)
	run.onStart(ctx)
	for _, g := range run.galleries {
		for k, spec := range g.jobs {
			run.group.Go(func() {
				wait.For(ctx, g.submitAt[k]+time.Millisecond)
				run.pollJob(ctx, spec)
			})
		}
	}
	run.minInterval, run.maxCrashes = 0, 1000
	for second := range 420 {
		time.Sleep(time.Second)
		run.world.Check()
		if crashes && second%10 == 9 && second < 240 {
			run.crashAndRestart(second / 10 % 3)
			if second%50 == 49 {
				run.crashAndRestart((second/10 + 1) % 3)
				run.crashAndRestart((second/10 + 2) % 3)
			}
		}
	}
	run.shutDownAndCheck(cancel)
	return run.result()
}

// makeGalleries generates random galleries. In mode withGalleries it configures the controllers with their
// register.
func (run *promiseRun) makeGalleries() {
	run.t.Helper()
	var text strings.Builder
	text.WriteString("revision: 1\nmargin_s: 20\n")
	for i := range 12 {
		first := time.Duration(run.randomInt(60_000)) * time.Millisecond
		length := time.Duration(110+run.randomInt(150)) * time.Second
		g := promisedGallery{date: run.startedAt.Add(first + length).Truncate(time.Second)}
		date := g.date.Format(time.RFC3339)
		fmt.Fprintf(&text, "gallery { name: \"g-%d\" team: \"free\" promised: %q complete: true", i, date)
		for k := range 3 {
			spec := run.promisedSpec(3*i + k)
			submitAt := first + time.Duration(run.randomInt(30_000))*time.Millisecond
			if run.mode == deadlinePerJob {
				d := wire.Seconds(g.date.Sub(run.startedAt.Add(submitAt)).Seconds())
				spec.Deadline = &d
			}
			g.jobs, g.submitAt = append(g.jobs, spec), append(g.submitAt, submitAt)
			fmt.Fprintf(&text, " job: %q", spec.ID)
		}
		text.WriteString(" }\n")
		run.galleries = append(run.galleries, g)
	}
	if run.mode != withGalleries {
		return
	}
	register, err := deadline.Parse([]byte(text.String()), nil)
	if err != nil {
		run.t.Fatal(err)
	}
	run.configure = func(c *Controller) { c.Deadlines.SetRegister(register) }
}

// promisedSpec returns a random job that may run anywhere, without a deadline.
func (run *promiseRun) promisedSpec(i int) *wire.JobSpec {
	spec := run.randomSpec(i)
	spec.Class, spec.Team, spec.Priority, spec.Deadline = "c", "free", wire.Normal, nil
	spec.Zone, spec.OneZone, spec.Spread, spec.Spot = nil, false, false, true
	spec.Shape, spec.Tasks, spec.GPUs = wire.Array, 1+run.randomInt(6), 1
	if run.randomInt(3) == 0 {
		spec.Shape, spec.Tasks = wire.Gang, 1+run.randomInt(5)
	}
	return spec
}

// result determines which galleries were done by their dates. Unfinished jobs count as done now.
func (run *promiseRun) result() (result promiseResult) {
	now := time.Now()
	for _, g := range run.galleries {
		end := time.Time{}
		for _, spec := range g.jobs {
			at := run.lastExit[spec.ID]
			if run.exits[spec.ID] < spec.Tasks {
				at = now
			}
			if at.After(end) {
				end = at
			}
		}
		result.galleries++
		if late := end.Sub(g.date); late > 0 {
			result.lateness += late
		} else {
			result.kept++
		}
	}
	return result
}

// TestPromisesAreKept checks that declaring galleries does not make scheduling miss clearly more promised dates,
// or by clearly more time, than without them, with and without repeated controller crashes. PROMISE_SEEDS sets
// the number of seeds.
func TestPromisesAreKept(t *testing.T) {
	t.Parallel()
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv("PROMISE_SEEDS")); err == nil {
		seeds = n
	}
	for _, crashes := range []bool{false, true} {
		t.Run(fmt.Sprint("crashes ", crashes), func(t *testing.T) {
			results := map[promiseMode]promiseResult{}
			for _, mode := range []promiseMode{withoutGalleries, deadlinePerJob, withGalleries} {
				sum := promiseResult{}
				for seed := range uint64(seeds) {
					synctest.Test(t, func(t *testing.T) {
						r := runPromises(t, 100+seed, mode, crashes)
						sum.galleries, sum.kept, sum.lateness = sum.galleries+r.galleries, sum.kept+r.kept, sum.lateness+r.lateness
					})
				}
				results[mode] = sum
				t.Logf("%s: %d of %d kept, %v late in total", mode, sum.kept, sum.galleries, sum.lateness.Round(time.Second))
			}
			with, without := results[withGalleries], results[withoutGalleries]
			if with.kept+4 < without.kept || with.lateness > without.lateness+without.lateness/5+time.Minute {
				t.Errorf(
					"with galleries: got %+v, want >= %d kept and <= %v late; without: %+v",
					with,
					without.kept-4,
					without.lateness+without.lateness/5+time.Minute,
					without,
				)
			}
		})
	}
}
