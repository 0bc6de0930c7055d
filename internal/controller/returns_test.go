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

// forgottenAfter is how long nobody may be told anything of a job once all troubles are over.
const forgottenAfter = 75 * time.Second

// returns is a history whose controllers end again and again and are back at once, whose users
// ask through a balancer, and whose messages arrive in copies.
type returns struct {
	*history
	balancer *emulator.Balancer
	ctx      context.Context
	back     time.Duration // how soon an ended controller is back
	most     int           // ends
	every    time.Duration // between two ends of all, at least
	keeps    bool          // users keep their connections

	seen   sync.Mutex
	ends   int
	last   time.Time
	polls  int
	vain   int
	asked  map[wire.JobID]*asker
	calmed time.Time // when all troubles were over
}

// asker is what a job's user was told.
type asker struct {
	answered time.Time // last
	longest  time.Duration
	after    time.Duration // the longest once troubles were over
	status   wire.Status
}

func newReturns(t *testing.T, seed uint64, back time.Duration) *returns {
	return newReturnsOf(t, seed, 3, back)
}

func newReturnsOf(t *testing.T, seed uint64, n int, back time.Duration) *returns {
	r := &returns{
		history: newHistoryOf(t, seed, n, nil),
		back:    back,
		most:    12,
		every:   400 * time.Millisecond,
		asked:   map[wire.JobID]*asker{},
	}
	r.quiet, r.copies, r.past = true, true, true
	for _, l := range r.links {
		l.Copies = true
	}
	r.balancer = emulator.NewBalancer(n, seed, func(i int) bool {
		c := r.core(i)
		return c != nil && c.Healthy()
	})
	r.also = func(ctx context.Context) {
		r.seen.Lock()
		r.ctx = ctx // steps come from now on
		r.seen.Unlock()
		r.group.Go(func() { r.balancer.Run(ctx) })
	}
	return r
}

// end ends a controller, which is back soon.
func (r *returns) end(i int) {
	r.seen.Lock()
	now := time.Now()
	if r.ends >= r.most || !r.calmed.IsZero() || now.Sub(r.last) < r.every || r.ctx == nil {
		r.seen.Unlock()
		return
	}
	r.ends++
	r.last = now
	r.seen.Unlock()
	// Not here: a step is a part of what ends.
	r.group.Go(func() {
		r.crash(i)
		wait.For(r.ctx, r.back)
		if r.ctx.Err() == nil && r.core(i) == nil {
			r.startCore(r.ctx, i)
		}
	})
}

// poll is a user's: every 5 s through the balancer, 2 s for the answer, as long as the job is
// neither done nor cancelled.
func (r *returns) poll(spec *wire.JobSpec) {
	r.world.Upload(spec)
	job := &asker{}
	submitted := false
	at := -1
	for r.ctx.Err() == nil {
		var st wire.JobStatus
		err := errors.New("no controller")
		i := at
		if i < 0 || !r.keeps || r.core(i) == nil || r.balancer.Resets(i) {
			i = r.balancer.Connect(func(i int) bool { return r.core(i) != nil })
			at = i
		}
		if c := r.coreAt(i); c != nil {
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
			if r.core(i) != c {
				err = errors.New("its process ended")
			}
		}
		now := time.Now()
		if errors.Is(err, server.ErrNoSuchJob) && submitted {
			r.t.Errorf("seed %d: forgotten %s", r.seed, spec.ID)
		}
		r.seen.Lock()
		if submitted {
			r.polls++
			if err != nil {
				r.vain++
			}
		}
		if err == nil {
			if !submitted {
				submitted = true
				job.answered = now
				r.asked[spec.ID] = job
			}
			r.answer(job, now)
			job.status = st.Status
		}
		r.seen.Unlock()
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

func (r *returns) coreAt(i int) *Controller {
	if i < 0 {
		return nil
	}
	return r.core(i)
}

// answer notes that a job's user has an answer now, or that time is over.
func (r *returns) answer(job *asker, now time.Time) {
	job.longest = max(job.longest, now.Sub(job.answered))
	if !r.calmed.IsZero() {
		from := job.answered
		if from.Before(r.calmed) {
			from = r.calmed
		}
		job.after = max(job.after, now.Sub(from))
	}
	job.answered = now
}

// allDone reports whether so many jobs were accepted, and all are done.
func (r *returns) allDone(jobs int) bool {
	r.seen.Lock()
	defer r.seen.Unlock()
	for _, job := range r.asked {
		if job.status != wire.Done {
			return false
		}
	}
	return len(r.asked) == jobs
}

// check has users come for a while, ends the troubles and looks at what became of the jobs.
func (r *returns) check(jobs int, troubles func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	r.begin(ctx, 4, 0.03)
	r.also(ctx)
	for i := range jobs {
		spec := r.spec(i)
		after := time.Millisecond + time.Duration(r.chance(90_000))*time.Millisecond
		r.group.Go(func() {
			wait.For(ctx, after)
			r.poll(spec)
		})
	}
	for range 120 {
		time.Sleep(time.Second)
		r.world.Check()
		if troubles != nil {
			troubles()
		}
	}
	r.seen.Lock()
	r.calmed = time.Now()
	r.seen.Unlock()
	for at := 0; at < 180 || at < 1200 && !r.allDone(jobs); at++ {
		time.Sleep(time.Second)
		r.world.Check()
	}
	now := time.Now()
	worst, after, done := time.Duration(0), time.Duration(0), 0
	r.seen.Lock()
	for id, job := range r.asked {
		if job.status == wire.Done {
			done++
		} else {
			r.answer(job, now)
		}
		worst, after = max(worst, job.longest), max(after, job.after)
		if job.after > forgottenAfter {
			r.t.Errorf("seed %d: nobody was told of %s for %v once troubles were over", r.seed, id, job.after)
		}
	}
	accepted := len(r.asked)
	ends, polls, vain := r.ends, r.polls, r.vain
	r.seen.Unlock()
	r.finish(cancel)
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
		r.back,
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

// TestReturnsAtEachStep: a controller ends at each step of an election, of a takeover, of a start,
// an exit, a mark and a rental, and is back after 50 ms to 1 s, twelve times within two minutes,
// while copies of reports, transactions and rentals arrive late. No rule is broken, and every job
// is answered about soon after.
func TestReturnsAtEachStep(t *testing.T) {
	ends := 0
	for n, kind := range []string{"leader", "token", "start", "exit", "mark", "rental record", "rental", "return"} {
		for m, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newReturns(t, uint64(3+n), []time.Duration{50 * time.Millisecond, time.Second}[(n+m)%2])
					r.at = func(i int, step string) {
						if step == kind+side {
							r.end(i)
						}
					}
					r.check(24, nil)
					ends += r.ends
				})
			})
		}
	}
	if ends < 60 { // not every step comes in every history
		t.Errorf("%d ends in all", ends)
	}
}

// TestReturnsWhileLoading: controllers end while they read the records, before the first page or
// between two, again and again, each and all at once.
func TestReturnsWhileLoading(t *testing.T) {
	for _, begins := range []bool{true, false} {
		t.Run(fmt.Sprint("first page ", begins), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReturns(t, 11, 300*time.Millisecond)
				for i, l := range r.links {
					l.Loads = func(b bool) {
						if b == begins {
							r.end(i)
						}
					}
				}
				r.most = 20
				at := 0
				r.check(24, func() {
					if at++; at%30 == 20 {
						r.end(at / 30 % 3)
					}
				})
			})
		})
	}
}

// TestReturnsInAnOutage: all controllers end several times in an outage of the state service. Before,
// each was removed by the balancer, since it refused probes until it had read the records, and
// users met nobody for long after the outage was over.
func TestReturnsInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReturns(t, 5, 300*time.Millisecond)
		r.every, r.most = 0, 60
		at := 0
		r.check(24, func() {
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
					r.end(i)
				}
			}
		})
		if r.balancer.Longest > 6*time.Second {
			t.Errorf("a controller was kept from users for %v", r.balancer.Longest)
		}
	})
}
