package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Each test here brings about a meeting of two troubles (docs/meetings.md) on several controllers.

// meeting is a quiet history whose troubles a test makes by itself.
func meeting(t *testing.T, seed uint64, n int) *history {
	h := newHistoryOf(t, seed, n, nil)
	h.quiet, h.calm = true, true
	return h
}

// pass lets time go by, with the rules checked all the while.
func (h *history) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		h.look()
	}
}

// submit has a job accepted by any controller.
func (h *history) submit(ctx context.Context, s *wire.JobSpec) {
	if s.Class == "" {
		s.Class, s.Team, s.Priority, s.CPUs, s.MemoryGB, s.Image, s.ImageGB, s.Spot, s.Estimate = "c", "free", wire.Normal, 1, 1, "img-0", 2, true, 60
	}
	h.world.Upload(s)
	h.askOne(ctx, s.ID, submission(s))
}

// ask asks about a job until it is answered.
func (h *history) ask(ctx context.Context, id wire.JobID) wire.Status {
	return h.askOne(ctx, id, status(id))
}

// attempt is the last attempt of a job's first tasks, and up to which it is to stop, as the
// records have it.
func (h *history) attempt(id wire.JobID) (last, stop wire.Attempt) {
	for i := range h.n {
		if c := h.core(i); c != nil {
			c.cache.Read(func(l *ledger.Ledger) {
				if j := l.Job(id); j != nil {
					last, stop = max(last, j.Attempt()), max(stop, j.Stop)
				}
			})
		}
	}
	return last, stop
}

// lastAttempt keeps note of the last attempt of any task that machines report.
func (h *history) lastAttempt() *wire.Attempt {
	last := new(wire.Attempt)
	h.reported = func(_ int, r *wire.Heartbeat) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for i := range r.Tasks {
			*last = max(*last, r.Tasks[i].Attempt)
		}
	}
	return last
}

// verdict ends a history and tells what was broken.
func (h *history) verdict(cancel context.CancelFunc) {
	h.t.Helper()
	h.finish(cancel)
	for _, b := range h.world.Broken {
		h.t.Errorf("broken: %s", b)
	}
	for _, p := range h.store.Problems {
		h.t.Errorf("state service: %s", p)
	}
}

// TestGangWaitsOnInOtherHands: one machine of a gang fetches for longer than the others wait, and
// the machines come to other controllers meanwhile: theirs end one after the other, or their
// reports are not answered in time. Whoever holds a machine that gave up takes the claim over, and
// the gang begins as one attempt; before, each such change made it begin anew, fetches and all.
func TestGangWaitsOnInOtherHands(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := meeting(t, seed, 3)
			gang := &wire.JobSpec{ID: "wk-000003", Shape: wire.Gang, Tasks: 3, GPUs: 2}
			h.world.Fetch = func(_ wire.MachineID, task wire.TaskID) time.Duration {
				return []time.Duration{80 * time.Second, 3 * time.Second, 20 * time.Second}[task.Index]
			}
			h.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
			ctx, cancel := context.WithCancel(t.Context())
			h.copies = seed%2 == 0
			last := h.lastAttempt()
			h.begin(ctx, 4, 0)
			h.submit(ctx, gang)
			for i := range 4 {
				h.pass(time.Duration(12+3*seed) * time.Second)
				h.crash(i % h.n)
				h.pass(300 * time.Millisecond)
				h.restart(ctx, i%h.n)
			}
			h.pass(100 * time.Second)
			st := h.ask(ctx, gang.ID)
			h.verdict(cancel)
			if st != wire.Done || *last != 1 {
				t.Errorf("seed %d: it is %s after attempt %d", seed, st, *last)
			}
		})
	}
}

// TestOldReportOfAWaitingGang: a gang's task gives up waiting and rejoins under its attempt. A
// copy of the report that showed it given up arrives later, at a controller that never held the
// machine, or at its holder's next life. The attempt that now runs must go on: before, its claim
// was released, and the gang stopped for nothing, or started once more beside it.
func TestOldReportOfAWaitingGang(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 12 * time.Second, 40 * time.Second} {
		for _, where := range []string{"another", "its next life"} {
			t.Run(fmt.Sprintf("%v, %s", after, where), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := meeting(t, 7, 3)
					gang := &wire.JobSpec{ID: "wk-000003", Shape: wire.Gang, Tasks: 2, GPUs: 2}
					h.world.Fetch = func(_ wire.MachineID, task wire.TaskID) time.Duration {
						if task.Index == 0 {
							return 45 * time.Second
						}
						return 3 * time.Second
					}
					h.cloud.Run = func(wire.TaskID) time.Duration { return 70 * time.Second }
					ctx, cancel := context.WithCancel(t.Context())
					copies := 0
					h.reported = func(at int, r *wire.Heartbeat) {
						for i := range r.Tasks {
							if r.Tasks[i].Cause != wire.CauseGangIncomplete || copies > 0 {
								continue
							}
							copies++
							copied := *r
							h.group.Go(func() {
								to := (at + 1) % h.n
								if where != "another" {
									wait.For(ctx, after/2)
									h.crash(at)
									wait.For(ctx, 200*time.Millisecond)
									h.restart(ctx, at)
									to = at
								}
								wait.For(ctx, after)
								if c := h.core(to); c != nil {
									_ = c.Heartbeats.Heartbeat(ctx, &copied)
								}
							})
						}
					}
					h.begin(ctx, 4, 0)
					h.submit(ctx, gang)
					h.pass(100 * time.Second)
					last, stop := h.attempt(gang.ID)
					h.pass(60 * time.Second)
					if st := h.ask(ctx, gang.ID); st != wire.Done || where == "another" && (last != 1 || stop != 0) {
						t.Errorf("it is %s after attempt %d, stopped up to %d", st, last, stop)
					}
					if copies != 1 {
						t.Errorf("%d reports of giving up", copies)
					}
					h.verdict(cancel)
				})
			})
		}
	}
}

// TestDeafMachine: the reports of a machine arrive, answers to it don't. Nothing is left claimed there
// for long, gangs start on the others, and it serves again when it hears. Before, it looked free and
// was given work again and again, and each gang placed there waited for a lease.
func TestDeafMachine(t *testing.T) {
	for _, shape := range []wire.Shape{wire.Array, wire.Gang} {
		t.Run(string(shape), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := meeting(t, 9, 3)
				h.cloud.Run = func(wire.TaskID) time.Duration { return 6 * time.Second }
				h.cloud.Most = 4
				ctx, cancel := context.WithCancel(t.Context())
				h.begin(ctx, 4, 0)
				tasks := 3 // of four machines, one of which is deaf
				if shape == wire.Array {
					tasks = 8
				}
				const every, jobs = 15 * time.Second, 8
				for i := range jobs {
					h.group.Go(func() {
						wait.For(ctx, time.Millisecond+time.Duration(i)*every)
						h.submit(ctx, &wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Shape: shape, Tasks: tasks, GPUs: 2})
					})
				}
				h.pass(20 * time.Second)
				deaf := h.cloud.Up()[0].Type.ID
				claimed := func() (n int) {
					h.core(0).cache.Read(func(l *ledger.Ledger) { n = len(l.ClaimsOn(deaf)) })
					return n
				}
				h.hears(deaf, false)
				h.pass(25 * time.Second)
				idle := 0
				for range 75 {
					h.pass(time.Second)
					if claimed() > 0 {
						idle++
					}
				}
				done := h.world.DoneTasks()
				h.hears(deaf, true)
				// A gang that needs all four shows that it serves again.
				all := &wire.JobSpec{ID: "wk-000099", Shape: wire.Gang, Tasks: 4, GPUs: 2}
				h.submit(ctx, all)
				h.pass(45 * time.Second)
				t.Logf("claimed there in %d of 75 s while deaf, %d tasks done while deaf", idle, done)
				if idle > 8 || done < 18 || h.world.Seen(all.ID) < 4 {
					t.Errorf(
						"claimed there in %d of 75 s while deaf, %d tasks done while deaf, %d of 4 tasks begun afterwards",
						idle,
						done,
						h.world.Seen(all.ID),
					)
				}
				h.verdict(cancel)
			})
		})
	}
}

// TestCutFromStateAndPeers: the leader loses the state service and the other controllers for longer
// than a job may be unanswered about; workers and users still reach it. Users that keep their
// connections are answered by others soon, and what others cancel ends in time. Before, it told the
// balancer that it was healthy, since it knew of nobody better off, and users that had connected to it
// were refused for as long as the cut lasted.
func TestCutFromStateAndPeers(t *testing.T) {
	for _, n := range []int{3, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReturnsOf(t, 13, n, 0)
				r.keeps, r.calm = true, true
				r.most = 0
				at, old, end := 0, 0, func() {}
				r.check(24, func() {
					switch at++; at {
					case 10:
						old = r.leading()
						end = r.alone(old, true)
					case 115:
						end()
					}
					if c := r.core(old); at > 30 && at < 115 && c.Healthy() {
						t.Errorf("healthy %d s after it was cut off", at-10)
					}
				})
				for id, job := range r.asked {
					if job.longest > 30*time.Second {
						t.Errorf("nobody was told of %s for %v", id, job.longest)
					}
				}
			})
		})
	}
}

// TestLateWrites: of each kind of transaction that a controller makes, those at the beginning get no
// answer and are carried out 2 to 12 s later, after newer ones of the same controller, also after its
// end and return. No rule is broken, and all jobs are done.
func TestLateWrites(t *testing.T) {
	late := 0
	for n, kind := range []string{"start", "exit", "mark", "leader", "token", "rental record", "machines swept", "move", ""} {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ends %v", kind, ends), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newReturns(t, uint64(41+n), 300*time.Millisecond)
					r.copies, r.most, r.every = false, 6, 5*time.Second
					var mu sync.Mutex
					seen := 0
					for i, l := range r.links {
						l.Copies = false
						l.Late = func(txn wire.Txn) time.Duration {
							if stepOf(txn, false) != kind+" sent" || len(txn.Then) == 0 {
								return 0
							}
							mu.Lock()
							defer mu.Unlock()
							if seen++; seen > 16 || seen%3 == 0 {
								return 0
							}
							late++
							if ends {
								r.end(i)
							}
							return 2*time.Second + time.Duration(seen*7%11)*time.Second
						}
					}
					r.check(24, nil)
				})
			})
		}
	}
	if late < 100 { // not every kind comes that often
		t.Errorf("%d transactions were late", late)
	}
}

// TestSlowState: the state service answers seconds late for a minute, so that a read is old when it
// arrives. What counts from a contact counts from when the read began: no rule is broken, users are told
// nothing from before they asked, and all jobs are done.
func TestSlowState(t *testing.T) {
	for _, slow := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(slow.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReturns(t, 17, 300*time.Millisecond)
				r.most, r.every = 3, 10*time.Second
				at := 0
				r.check(24, func() {
					switch at++; {
					case at == 20 || at == 80:
						for _, l := range r.links {
							l.SetSlow(map[bool]time.Duration{true: slow}[at == 20])
						}
					case at > 20 && at%17 == 0:
						r.end(at % 3)
					}
				})
			})
		})
	}
}

// TestTasksFarApart: jobs of two or three tasks, one of which ends early and another long after, while
// the leader ends, is cut off, or is refused at every moment around the first exit. A job is called done
// when all of its tasks are, and soon: an exit that was reported to the old leader and not recorded is
// recorded once by whoever holds the machine then.
func TestTasksFarApart(t *testing.T) {
	for _, trouble := range []string{"ends", "cut", "refused", "all end"} {
		for k, when := range []time.Duration{2 * time.Second, 6 * time.Second, 8 * time.Second, 9 * time.Second, 10 * time.Second, 12 * time.Second, 14 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%s after %v", trouble, when), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := meeting(t, uint64(51+k), 3)
					h.past = true
					h.cloud.Run = func(id wire.TaskID) time.Duration {
						if id.Index == 0 {
							return 5 * time.Second
						}
						return 55 * time.Second
					}
					ctx, cancel := context.WithCancel(t.Context())
					h.begin(ctx, 6, 0)
					h.pass(10 * time.Second)
					var jobs []wire.JobID
					for i := range 6 {
						s := &wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Shape: wire.Array, Tasks: 2 + i%2, GPUs: 1}
						jobs = append(jobs, s.ID)
						h.submit(ctx, s)
					}
					h.pass(when)
					old, end := h.leading(), func() {}
					switch trouble {
					case "ends":
						h.crash(old)
					case "all end":
						for i := range h.n {
							h.crash(i)
						}
					default:
						end = h.alone(old, trouble == "cut")
					}
					h.pass(300 * time.Millisecond)
					for i := range h.n {
						h.restart(ctx, i)
					}
					for range 20 {
						h.pass(time.Second)
						for _, id := range jobs {
							h.ask(ctx, id) // told too early it breaks a rule
						}
					}
					end()
					h.pass(60 * time.Second)
					for _, id := range jobs {
						if st := h.ask(ctx, id); st != wire.Done {
							t.Errorf("%s is %s", id, st)
						}
					}
					h.verdict(cancel)
				})
			})
		}
	}
}

// TestUnreachableMachines: the leader ends while machines with long tasks can't be reached, or don't
// hear the new leader's answer. They are fenced by a durable mark, returned, and released, by the
// successor once more; a machine that comes back at any moment in between neither keeps its task beside
// another nor gets it twice.
func TestUnreachableMachines(t *testing.T) {
	for _, how := range []string{"hang", "deaf"} {
		for k, back := range []time.Duration{5 * time.Second, 20 * time.Second, 28 * time.Second, 33 * time.Second, 40 * time.Second, 55 * time.Second, 3 * time.Minute} {
			t.Run(fmt.Sprintf("%s, back after %v", how, back), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := meeting(t, uint64(61+k), 3)
					h.cloud.Run = func(wire.TaskID) time.Duration { return 80 * time.Second }
					h.cloud.Most = 8
					ctx, cancel := context.WithCancel(t.Context())
					h.begin(ctx, 6, 0)
					h.pass(10 * time.Second)
					var jobs []wire.JobID
					for i := range 4 {
						s := &wire.JobSpec{
							ID:    wire.JobID(fmt.Sprintf("wk-%06d", i)),
							Shape: []wire.Shape{wire.Array, wire.Gang}[i%2],
							Tasks: 2,
							GPUs:  1,
						}
						jobs = append(jobs, s.ID)
						h.submit(ctx, s)
					}
					h.pass(15 * time.Second)
					gone := h.cloud.Up()[:3]
					for _, m := range gone {
						if how == "hang" {
							m.Hang(true)
						} else {
							h.hears(m.Type.ID, false)
						}
					}
					h.pass(time.Duration(k) * time.Second)
					h.crash(h.leading())
					h.pass(300 * time.Millisecond)
					for i := range h.n {
						h.restart(ctx, i)
					}
					if k%2 == 0 { // the successor ends, too, at about the time of marks and returns
						h.group.Go(func() {
							wait.For(ctx, 34*time.Second)
							at := h.leading()
							h.crash(at)
							wait.For(ctx, 300*time.Millisecond)
							h.restart(ctx, at)
						})
					}
					h.pass(back)
					for _, m := range gone {
						m.Hang(false)
						h.hears(m.Type.ID, true)
					}
					h.pass(6 * time.Minute)
					for _, id := range jobs {
						if st := h.ask(ctx, id); st != wire.Done {
							t.Errorf("%s is %s", id, st)
						}
					}
					h.verdict(cancel)
				})
			})
		}
	}
}

// TestCompletionsOutliveTheSession: tasks complete in an outage of the state service that lasts longer
// than a lease, while all controllers end one after the other, so that none may answer for long and
// the workers begin new sessions. What any controller heard is recorded when the claims go: nothing
// that completed and was heard runs again. Before, all that was not on record did.
func TestCompletionsOutliveTheSession(t *testing.T) {
	for _, shape := range []wire.Shape{wire.Array, wire.Gang} {
		for _, rolls := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d rolls", shape, rolls), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := meeting(t, 71, 3)
					h.copies = true // late completions too
					h.cloud.Most = 8
					h.cloud.Run = func(id wire.TaskID) time.Duration {
						return 20*time.Second + time.Duration(id.Job[len(id.Job)-1]-'0')*3*time.Second
					}
					ctx, cancel := context.WithCancel(t.Context())
					h.begin(ctx, 8, 0)
					h.pass(8 * time.Second)
					var jobs []wire.JobID
					for i := range 6 {
						s := &wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Shape: shape, Tasks: 2, GPUs: 1}
						jobs = append(jobs, s.ID)
						h.submit(ctx, s)
					}
					h.pass(16 * time.Second)
					over := h.outage()
					h.pass(24 * time.Second)
					done := h.world.DoneTasks()
					for range rolls { // in the second only peers can tell what was heard
						for i := range h.n {
							h.crash(i)
							h.pass(300 * time.Millisecond)
							h.restart(ctx, i)
							h.pass(5 * time.Second)
						}
						h.pass(60 * time.Second)
					}
					lapsed := h.world.Lapsed
					if rolls == 2 { // those that just started know nothing until they have asked
						h.crash(0)
						h.crash(1)
						h.pass(300 * time.Millisecond)
						h.restart(ctx, 0)
						h.restart(ctx, 1)
					}
					if rolls == 1 {
						for _, m := range h.cloud.Up() {
							h.speaks(m.Type.ID, false)
						}
					}
					over()
					if rolls == 1 { // what was kept is on record soon, though no machine reports
						h.pass(2500 * time.Millisecond)
						for i := range h.n {
							h.crash(i)
						}
						h.pass(300 * time.Millisecond)
						for _, m := range h.cloud.Up() {
							h.speaks(m.Type.ID, true)
						}
						for i := range h.n {
							h.restart(ctx, i)
						}
					}
					h.pass(100 * time.Second)
					for _, id := range jobs {
						if st := h.ask(ctx, id); st != wire.Done {
							t.Errorf("%s is %s", id, st)
						}
					}
					t.Logf(
						"%d tasks had completed before controllers ended, %d were lost with a lease, %d ran again",
						done,
						lapsed,
						h.world.Again,
					)
					if done == 0 || lapsed == 0 || h.world.Again > 0 {
						t.Errorf("%d completed in the outage, %d lost with a lease, %d ran again", done, lapsed, h.world.Again)
					}
					h.verdict(cancel)
				})
			})
		}
	}
}

// TestSlowAcceptance: the answer to a submission's transaction is slow; meanwhile the user repeats the
// submission at another controller and cancels there. The first controller tells what the job is by
// the time that it answers; before, it said queued.
func TestSlowAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := meeting(t, 81, 3)
		spec := &wire.JobSpec{Tasks: 1}
		fill(spec, 1)
		committed := make(chan struct{})
		var once sync.Once
		h.at = func(i int, step string) {
			if i == 0 && step == " answered" && h.core(0) != nil {
				held := false
				once.Do(func() { held = true })
				if held {
					close(committed)
					time.Sleep(3 * time.Second)
				}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		h.begin(ctx, 2, 0)
		h.pass(10 * time.Second)
		h.world.Upload(spec)
		first := make(chan wire.JobStatus, 1)
		h.group.Go(func() {
			st, _, err := h.core(0).Jobs.Submit(ctx, spec)
			if err != nil {
				t.Error(err)
			}
			first <- st
		})
		<-committed
		for _, r := range []request{submission(spec), cancellation(spec.ID)} {
			if _, err := r(ctx, h.core(1)); err != nil {
				t.Error(err)
			}
		}
		if st := <-first; st.Status != wire.Cancelled {
			t.Errorf("told %q after it was cancelled", st.Status)
		}
		h.verdict(cancel)
	})
}

// TestGangBeginsInOtherHands: a controller that holds some of a gang's machines ends just after the gang is
// claimed, before it has sent its start. Whoever holds the machines next takes the claims over and sends it:
// the gang begins as its first attempt. Before, each end cost such a gang its start, fetches and all.
func TestGangBeginsInOtherHands(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := meeting(t, seed, 3)
			gang := &wire.JobSpec{Shape: wire.Gang, Tasks: 3, GPUs: 2}
			fill(gang, 3)
			h.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
			ctx, cancel := context.WithCancel(t.Context())
			var once sync.Once
			last := h.lastAttempt()
			h.at = func(i int, step string) {
				if step != "start answered" {
					return
				}
				once.Do(func() { // not here: a step is a part of what ends
					h.group.Go(func() {
						other := (i + 1 + int(seed)%2) % h.n
						h.crash(other)
						wait.For(ctx, 6*time.Second)
						h.restart(ctx, other)
					})
				})
			}
			h.begin(ctx, 4, 0)
			h.pass(12 * time.Second)
			h.submit(ctx, gang)
			h.pass(90 * time.Second)
			if st := h.ask(ctx, gang.ID); st != wire.Done || *last != 1 {
				t.Errorf("seed %d: it is %s after attempt %d", seed, st, *last)
			}
			h.verdict(cancel)
		})
	}
}
