package controller

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// promiseModes are what promises are compared under: the order without galleries, that with each job's
// own deadline, and that with galleries.
var promiseModes = []string{"no galleries", "each job its date", "galleries"}

// promiseResult is what came of the promises of a history.
type promiseResult struct {
	galleries, kept int
	late            time.Duration
}

// runPromises plays twelve galleries of three jobs each on twelve machines, with more work than
// there is room for at times. With troubles a controller, or all, ends every ten seconds.
func runPromises(t *testing.T, seed uint64, order string, troubles bool) (k promiseResult) {
	r := newRestartScenario(t, seed, 300*time.Millisecond)
	r.archiving, r.duplicateMessages = false, false
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	last := map[wire.JobID]time.Time{}
	tasks := map[wire.JobID]int{}
	r.world.Finished = func(id wire.TaskID) { last[id.Job], tasks[id.Job] = time.Now(), tasks[id.Job]+1 } // under the world's lock
	text := "revision: 1\nmargin_s: 20\n"
	type gallery struct {
		date time.Time
		jobs []*wire.JobSpec
	}
	var galleries []gallery
	var arrive []time.Duration
	for i := range 12 {
		first := time.Duration(r.randomInt(60_000)) * time.Millisecond
		g := gallery{date: began.Add(first + time.Duration(110+r.randomInt(150))*time.Second).Truncate(time.Second)}
		text += fmt.Sprintf(
			"gallery { name: \"g-%d\" team: \"free\" promised: %q complete: true",
			i,
			g.date.Format(time.RFC3339),
		)
		for k := range 3 {
			s := r.randomSpec(3*i + k)
			s.Team, s.Shape, s.Tasks, s.Priority, s.Zone, s.OneZone, s.Spread, s.Spot, s.GPUs, s.Class, s.Deadline = "free", wire.Array, 1+r.randomInt(
				6,
			), wire.Normal, nil, false, false, true, 1, "c", nil
			if r.randomInt(3) == 0 {
				s.Shape, s.Tasks = wire.Gang, 1+r.randomInt(5)
			}
			at := first + time.Duration(r.randomInt(30_000))*time.Millisecond
			if order == "each job its date" {
				d := wire.Seconds(g.date.Sub(began.Add(at)).Seconds())
				s.Deadline = &d
			}
			arrive = append(arrive, at)
			g.jobs = append(g.jobs, s)
			text += fmt.Sprintf(" job: %q", s.ID)
		}
		text += " }\n"
		galleries = append(galleries, g)
	}
	if order == "galleries" {
		reg, err := deadline.Parse([]byte(text), nil)
		if err != nil {
			t.Fatal(err)
		}
		r.configure = func(c *Controller) { c.Deadlines.Set(reg) }
	}
	r.start(ctx, 4, 0)
	r.onStart(ctx)
	for i := range galleries {
		for k, s := range galleries[i].jobs {
			r.group.Go(func() {
				wait.For(ctx, arrive[3*i+k]+time.Millisecond)
				r.pollJob(s)
			})
		}
	}
	r.minInterval, r.maxCrashes = 0, 1000
	for at := range 420 {
		time.Sleep(time.Second)
		r.world.Check()
		if troubles && at%10 == 9 && at < 240 {
			if r.crashAndRestart(at / 10 % 3); at%50 == 49 {
				r.crashAndRestart((at/10 + 1) % 3)
				r.crashAndRestart((at/10 + 2) % 3)
			}
		}
	}
	r.shutDown(cancel)
	now := time.Now()
	for _, g := range galleries {
		end := time.Time{}
		for _, s := range g.jobs {
			at := last[s.ID]
			if tasks[s.ID] < s.Tasks {
				at = now
			}
			if at.After(end) {
				end = at
			}
		}
		k.galleries++
		if late := end.Sub(g.date); late > 0 {
			k.late += late
		} else {
			k.kept++
		}
	}
	if len(r.world.Broken) > 0 || len(r.store.Problems) > 0 {
		t.Errorf("seed %d: %v %v", seed, r.world.Broken, r.store.Problems)
	}
	return k
}

// TestPromisesAreKept: with galleries more promises are kept, and less is late, than without them
// or with each job's date by itself, whether controllers end again and again or not; and their ends
// cost few. PROMISE_SEEDS asks for more than a few seeds.
func TestPromisesAreKept(t *testing.T) {
	t.Parallel()
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv("PROMISE_SEEDS")); err == nil {
		seeds = n
	}
	got := map[string]promiseResult{}
	for _, troubles := range []bool{false, true} {
		for _, order := range promiseModes {
			sum := promiseResult{}
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					k := runPromises(t, 100+seed, order, troubles)
					sum.galleries, sum.kept, sum.late = sum.galleries+k.galleries, sum.kept+k.kept, sum.late+k.late
				})
			}
			got[fmt.Sprint(order, troubles)] = sum
			t.Logf(
				"%s, troubles %v: %d of %d kept, %v late in all",
				order,
				troubles,
				sum.kept,
				sum.galleries,
				sum.late.Round(time.Second),
			)
		}
	}
	for _, troubles := range []bool{false, true} {
		with, without := got[fmt.Sprint(promiseModes[2], troubles)], got[fmt.Sprint(promiseModes[0], troubles)]
		if with.kept+4 < without.kept || with.late > without.late+without.late/5+time.Minute {
			t.Errorf("troubles %v: %+v with galleries, %+v without", troubles, with, without)
		}
	}
}
