package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// maxWaitAfterFaults is how long nobody may be told anything of a job once all troubles are over.
const maxWaitAfterFaults = 75 * time.Second

// restartScenario is a history whose controllers end again and again and are back at once, whose users
// ask through a balancer, and whose messages arrive in copies.
type restartScenario struct {
	*testCluster
	balancer    *emulator.Balancer
	ctx         context.Context
	downtime    time.Duration // how soon an ended controller is back
	maxCrashes  int           // ends
	minInterval time.Duration // between two ends of all, at least
	keepAlive   bool          // users keep their connections

	usersMu     sync.Mutex
	crashes     int
	lastCrash   time.Time
	polls       int
	failedPolls int
	users       map[wire.JobID]*jobUser
	faultsEnded time.Time // when all troubles were over
}

// jobUser is what a job's user was told.
type jobUser struct {
	lastAnswer             time.Time // last
	longestWait            time.Duration
	longestWaitAfterFaults time.Duration // the longest once troubles were over
	status                 wire.Status
}

func newRestartScenario(t *testing.T, seed uint64, back time.Duration) *restartScenario {
	return newRestartScenarioOf(t, seed, 3, back)
}

func newRestartScenarioOf(t *testing.T, seed uint64, n int, back time.Duration) *restartScenario {
	r := &restartScenario{
		testCluster: newTestClusterOf(t, seed, n, nil),
		downtime:    back,
		maxCrashes:  12,
		minInterval: 400 * time.Millisecond,
		users:       map[wire.JobID]*jobUser{},
	}
	r.noRandomFaults, r.duplicateMessages, r.archiving = true, true, true
	for _, l := range r.links {
		l.Copies = true
	}
	r.balancer = emulator.NewBalancer(n, seed, func(i int) bool {
		c := r.controller(i)
		return c != nil && c.Healthy()
	})
	r.onStart = func(ctx context.Context) {
		r.usersMu.Lock()
		r.ctx = ctx // steps come from now on
		r.usersMu.Unlock()
		r.group.Go(func() { r.balancer.Run(ctx) })
	}
	return r
}

// crashAndRestart ends a controller, which is back soon.
func (r *restartScenario) crashAndRestart(i int) {
	r.usersMu.Lock()
	now := time.Now()
	if r.crashes >= r.maxCrashes || !r.faultsEnded.IsZero() || now.Sub(r.lastCrash) < r.minInterval || r.ctx == nil {
		r.usersMu.Unlock()
		return
	}
	r.crashes++
	r.lastCrash = now
	r.usersMu.Unlock()
	// Not here: a step is a part of what ends.
	r.group.Go(func() {
		r.crash(i)
		wait.For(r.ctx, r.downtime)
		if r.ctx.Err() == nil && r.controller(i) == nil {
			r.startController(r.ctx, i)
		}
	})
}

// pollJob is a user's: every 5 s through the balancer, 2 s for the answer, as long as the job is
// neither done nor cancelled.
func (r *restartScenario) pollJob(spec *wire.JobSpec) {
	r.world.Upload(spec)
	job := &jobUser{}
	submitted := false
	at := -1
	for r.ctx.Err() == nil {
		var st wire.JobStatus
		err := errors.New("no controller")
		i := at
		if i < 0 || !r.keepAlive || r.controller(i) == nil || r.balancer.Resets(i) {
			i = r.balancer.Connect(func(i int) bool { return r.controller(i) != nil })
			at = i
		}
		if c := r.controllerAt(i); c != nil {
			wait := 2 * time.Second
			if !submitted {
				wait = 5 * time.Second
			}
			one, cancel := context.WithTimeout(r.ctx, wait)
			if submitted {
				st, err = c.Jobs.Status(one, spec.ID)
			} else {
				st, _, err = c.Jobs.Submit(one, spec)
			}
			cancel()
			if r.controller(i) != c {
				err = errors.New("its process ended")
			}
		}
		now := time.Now()
		if errors.Is(err, server.ErrNoSuchJob) && submitted {
			r.t.Errorf("seed %d: forgotten %s", r.seed, spec.ID)
		}
		r.usersMu.Lock()
		if submitted {
			r.polls++
			if err != nil {
				r.failedPolls++
			}
		}
		if err == nil {
			if !submitted {
				submitted = true
				job.lastAnswer = now
				r.users[spec.ID] = job
			}
			r.recordAnswer(job, now)
			job.status = st.Status
		}
		r.usersMu.Unlock()
		if err == nil {
			r.world.Told(spec.ID, st.Status)
			if st.Status == wire.Done {
				return
			}
		}
		if submitted {
			wait.For(r.ctx, 5*time.Second)
		} else {
			wait.For(r.ctx, time.Second)
		}
	}
}

func (r *restartScenario) controllerAt(i int) *Controller {
	if i < 0 {
		return nil
	}
	return r.controller(i)
}

// recordAnswer notes that a job's user has an answer now, or that time is over.
func (r *restartScenario) recordAnswer(job *jobUser, now time.Time) {
	job.longestWait = max(job.longestWait, now.Sub(job.lastAnswer))
	if !r.faultsEnded.IsZero() {
		from := job.lastAnswer
		if from.Before(r.faultsEnded) {
			from = r.faultsEnded
		}
		job.longestWaitAfterFaults = max(job.longestWaitAfterFaults, now.Sub(from))
	}
	job.lastAnswer = now
}

// allDone reports whether so many jobs were accepted, and all are done.
func (r *restartScenario) allDone(jobs int) bool {
	r.usersMu.Lock()
	defer r.usersMu.Unlock()
	for _, job := range r.users {
		if job.status != wire.Done {
			return false
		}
	}
	return len(r.users) == jobs
}

// runAndCheck has users come for a while, ends the troubles and looks at what became of the jobs.
func (r *restartScenario) runAndCheck(jobs int, troubles func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	r.start(ctx, 4, 0.03)
	r.onStart(ctx)
	for i := range jobs {
		spec := r.randomSpec(i)
		after := time.Millisecond + time.Duration(r.randomInt(90_000))*time.Millisecond
		r.group.Go(func() {
			wait.For(ctx, after)
			r.pollJob(spec)
		})
	}
	for range 120 {
		time.Sleep(time.Second)
		r.world.Check()
		if troubles != nil {
			troubles()
		}
	}
	r.usersMu.Lock()
	r.faultsEnded = time.Now()
	r.usersMu.Unlock()
	for at := 0; at < 180 || at < 1200 && !r.allDone(jobs); at++ {
		time.Sleep(time.Second)
		r.world.Check()
	}
	now := time.Now()
	worst, after, done := time.Duration(0), time.Duration(0), 0
	r.usersMu.Lock()
	for id, job := range r.users {
		if job.status == wire.Done {
			done++
		} else {
			r.recordAnswer(job, now)
		}
		worst, after = max(worst, job.longestWait), max(after, job.longestWaitAfterFaults)
		if job.longestWaitAfterFaults > maxWaitAfterFaults {
			r.t.Errorf("seed %d: nobody was told of %s for %v once troubles were over", r.seed, id, job.longestWaitAfterFaults)
		}
	}
	accepted := len(r.users)
	ends, polls, vain := r.crashes, r.polls, r.failedPolls
	r.usersMu.Unlock()
	r.shutDown(cancel)
	for _, b := range r.world.Broken {
		r.t.Errorf("broken: %s", b)
	}
	for _, p := range r.store.Problems {
		r.t.Errorf("state service: %s", p)
	}
	if accepted < jobs || done < jobs {
		r.t.Errorf("%d of %d jobs accepted, %d done", accepted, jobs, done)
	}
	r.t.Logf(
		"back after %v, %d ends: %d of %d questions in vain; a job's longest wait for an answer %v, %v once troubles were over; %d removals by the balancer, the longest pause %v; %d of %d jobs done",
		r.downtime,
		ends,
		vain,
		polls,
		worst.Round(time.Millisecond),
		after.Round(time.Millisecond),
		r.balancer.Removals,
		r.balancer.Longest,
		done,
		jobs,
	)
}

// TestRestartAtEachStep: a controller ends at each step of an election, of a takeover, of a start,
// an exit, a mark and a rental, and is back after 50 ms to 1 s, twelve times within two minutes,
// while copies of reports, transactions and rentals arrive late. No rule is broken, and every job
// is answered about soon after.
func TestRestartAtEachStep(t *testing.T) {
	ends := 0
	for n, kind := range []string{"leader", "token", "start", "exit", "machine phase", "scale-out record", "scale-out", "scale-in"} {
		for m, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRestartScenario(t, uint64(3+n), []time.Duration{50 * time.Millisecond, time.Second}[(n+m)%2])
					r.onStep = func(i int, step string) {
						if step == kind+side {
							r.crashAndRestart(i)
						}
					}
					r.runAndCheck(24, nil)
					ends += r.crashes
				})
			})
		}
	}
	if ends < 60 { // not every step comes in every history
		t.Errorf("%d ends in all", ends)
	}
}

// TestRestartWhileLoading: controllers end while they read the records, before the first page or
// between two, again and again, each and all at once.
func TestRestartWhileLoading(t *testing.T) {
	for _, begins := range []bool{true, false} {
		t.Run(fmt.Sprint("first page ", begins), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRestartScenario(t, 11, 300*time.Millisecond)
				for i, l := range r.links {
					l.Loads = func(b bool) {
						if b == begins {
							r.crashAndRestart(i)
						}
					}
				}
				r.maxCrashes = 20
				at := 0
				r.runAndCheck(24, func() {
					if at++; at%30 == 20 {
						r.crashAndRestart(at / 30 % 3)
					}
				})
			})
		})
	}
}

// TestRestartDuringOutage: all controllers end several times in an outage of the state service. Before,
// each was removed by the balancer, since it refused probes until it had read the records, and
// users met nobody for long after the outage was over.
func TestRestartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRestartScenario(t, 5, 300*time.Millisecond)
		r.minInterval, r.maxCrashes = 0, 60
		at := 0
		r.runAndCheck(24, func() {
			switch at++; {
			case at == 60:
				for _, l := range r.links {
					l.SetDown(true)
				}
			case at == 85:
				r.store.Extend()
				for _, l := range r.links {
					l.SetDown(false)
				}
			case at > 60 && at < 100 && at%6 == 0:
				for i := range 3 {
					r.crashAndRestart(i)
				}
			}
		})
		if r.balancer.Longest > 6*time.Second {
			t.Errorf("a controller was kept from users for %v", r.balancer.Longest)
		}
	})
}
