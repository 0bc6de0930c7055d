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

// recordedAttempts is the last attempt of a job's first tasks, and up to which it is to stop, as the
// records have it.
func (cluster *testCluster) recordedAttempts(id wire.JobID) (last, stop wire.Attempt) {
	for i := range cluster.size {
		if c := cluster.controller(i); c != nil {
			c.cache.Read(func(l *ledger.Ledger) {
				if j := l.Job(id); j != nil {
					last, stop = max(last, j.Attempt()), max(stop, j.Stop)
				}
			})
		}
	}
	return last, stop
}

// trackLastAttempt keeps note of the last attempt of any task that machines report.
func (cluster *testCluster) trackLastAttempt() *wire.Attempt {
	last := new(wire.Attempt)
	cluster.onHeartbeat = func(_ int, r *wire.Heartbeat) {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		for i := range r.Tasks {
			*last = max(*last, r.Tasks[i].Attempt)
		}
	}
	return last
}

// TestWaitingGangSurvivesFailover: one machine of a gang fetches for longer than the others wait, and
// the machines come to other controllers meanwhile: theirs end one after the other, or their
// reports are not answered in time. Whoever holds a machine that gave up takes the claim over, and
// the gang begins as one attempt; before, each such change made it begin anew, fetches and all.
func TestWaitingGangSurvivesFailover(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 4; seed++ {
		synctest.Test(t, func(t *testing.T) {
			cluster := newQuietCluster(t, seed, 3)
			gang := &wire.JobSpec{ID: "wk-000003", Shape: wire.Gang, Tasks: 3, GPUs: 2}
			cluster.world.Fetch = func(_ wire.MachineID, task wire.TaskID) time.Duration {
				return []time.Duration{80 * time.Second, 3 * time.Second, 20 * time.Second}[task.Index]
			}
			cluster.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
			ctx, cancel := context.WithCancel(t.Context())
			cluster.duplicateMessages = seed%2 == 0
			last := cluster.trackLastAttempt()
			cluster.start(ctx, 4, 0)
			cluster.submit(ctx, gang)
			for i := range 4 {
				cluster.advance(time.Duration(12+3*seed) * time.Second)
				cluster.crash(i % cluster.size)
				cluster.advance(300 * time.Millisecond)
				cluster.restart(ctx, i%cluster.size)
			}
			cluster.advance(100 * time.Second)
			st := cluster.queryStatus(ctx, gang.ID)
			cluster.shutDownAndCheck(cancel)
			if st != wire.Done || *last != 1 {
				t.Errorf("seed %d: it is %s after attempt %d", seed, st, *last)
			}
		})
	}
}

// TestStaleHeartbeatOfWaitingGang: a gang's task gives up waiting and rejoins under its attempt. A
// copy of the report that showed it given up arrives later, at a controller that never held the
// machine, or at its holder's next life. The attempt that now runs must go on: before, its claim
// was released, and the gang stopped for nothing, or started once more beside it.
func TestStaleHeartbeatOfWaitingGang(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 12 * time.Second, 40 * time.Second} {
		for _, where := range []string{"another", "its next life"} {
			t.Run(fmt.Sprintf("%v, %s", after, where), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newQuietCluster(t, 7, 3)
					gang := &wire.JobSpec{ID: "wk-000003", Shape: wire.Gang, Tasks: 2, GPUs: 2}
					cluster.world.Fetch = func(_ wire.MachineID, task wire.TaskID) time.Duration {
						if task.Index == 0 {
							return 45 * time.Second
						}
						return 3 * time.Second
					}
					cluster.cloud.Run = func(wire.TaskID) time.Duration { return 70 * time.Second }
					ctx, cancel := context.WithCancel(t.Context())
					copies := 0
					cluster.onHeartbeat = func(at int, r *wire.Heartbeat) {
						for i := range r.Tasks {
							if r.Tasks[i].Cause != wire.CauseGangIncomplete || copies > 0 {
								continue
							}
							copies++
							copied := *r
							cluster.group.Go(func() {
								to := (at + 1) % cluster.size
								if where != "another" {
									wait.For(ctx, after/2)
									cluster.crash(at)
									wait.For(ctx, 200*time.Millisecond)
									cluster.restart(ctx, at)
									to = at
								}
								wait.For(ctx, after)
								if c := cluster.controller(to); c != nil {
									_ = c.Heartbeats.Heartbeat(ctx, &copied)
								}
							})
						}
					}
					cluster.start(ctx, 4, 0)
					cluster.submit(ctx, gang)
					cluster.advance(100 * time.Second)
					last, stop := cluster.recordedAttempts(gang.ID)
					cluster.advance(60 * time.Second)
					if st := cluster.queryStatus(ctx, gang.ID); st != wire.Done || where == "another" && (last != 1 || stop != 0) {
						t.Errorf("it is %s after attempt %d, stopped up to %d", st, last, stop)
					}
					if copies != 1 {
						t.Errorf("%d reports of giving up", copies)
					}
					cluster.shutDownAndCheck(cancel)
				})
			})
		}
	}
}

// TestOneWayPartition: the reports of a machine arrive, answers to it don't. Nothing is left claimed there
// for long, gangs start on the others, and it serves again when it hears. Before, it looked free and
// was given work again and again, and each gang placed there waited for a lease.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	for _, shape := range []wire.Shape{wire.Array, wire.Gang} {
		t.Run(string(shape), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newQuietCluster(t, 9, 3)
				cluster.cloud.Run = func(wire.TaskID) time.Duration { return 6 * time.Second }
				cluster.cloud.Most = 4
				ctx, cancel := context.WithCancel(t.Context())
				cluster.start(ctx, 4, 0)
				tasks := 3 // of four machines, one of which is deaf
				if shape == wire.Array {
					tasks = 8
				}
				const every, jobs = 15 * time.Second, 8
				for i := range jobs {
					cluster.group.Go(func() {
						wait.For(ctx, time.Millisecond+time.Duration(i)*every)
						cluster.submit(ctx, &wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Shape: shape, Tasks: tasks, GPUs: 2})
					})
				}
				cluster.advance(20 * time.Second)
				deaf := cluster.cloud.Up()[0].Type.ID
				claimed := func() (n int) {
					cluster.controller(0).cache.Read(func(l *ledger.Ledger) { n = len(l.ClaimsOn(deaf)) })
					return n
				}
				cluster.deliverResponses(deaf, false)
				cluster.advance(25 * time.Second)
				idle := 0
				for range 75 {
					cluster.advance(time.Second)
					if claimed() > 0 {
						idle++
					}
				}
				done := cluster.world.DoneTasks()
				cluster.deliverResponses(deaf, true)
				// A gang that needs all four shows that it serves again.
				all := &wire.JobSpec{ID: "wk-000099", Shape: wire.Gang, Tasks: 4, GPUs: 2}
				cluster.submit(ctx, all)
				cluster.advance(45 * time.Second)
				t.Logf("claimed there in %d of 75 s while deaf, %d tasks done while deaf", idle, done)
				if idle > 8 || done < 18 || cluster.world.Seen(all.ID) < 4 {
					t.Errorf(
						"claimed there in %d of 75 s while deaf, %d tasks done while deaf, %d of 4 tasks begun afterwards",
						idle,
						done,
						cluster.world.Seen(all.ID),
					)
				}
				cluster.shutDownAndCheck(cancel)
			})
		})
	}
}

// TestLeaderIsolatedFromStoreAndPeers: the leader loses the state service and the other controllers for longer
// than a job may be unanswered about; workers and users still reach it. Users that keep their
// connections are answered by others soon, and what others cancel ends in time. Before, it told the
// balancer that it was healthy, since it knew of nobody better off, and users that had connected to it
// were refused for as long as the cut lasted.
func TestLeaderIsolatedFromStoreAndPeers(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRestartScenarioOf(t, 13, n, 0)
				r.keepAlive, r.reliableMessages = true, true
				r.maxCrashes = 0
				at, old, end := 0, 0, func() {}
				r.runAndCheck(24, func() {
					switch at++; at {
					case 10:
						old = r.leader()
						end = r.isolate(old, true)
					case 115:
						end()
					}
					if c := r.controller(old); at > 30 && at < 115 && c.Healthy() {
						t.Errorf("healthy %d s after it was cut off", at-10)
					}
				})
				for id, job := range r.users {
					if job.longestWait > 30*time.Second {
						t.Errorf("nobody was told of %s for %v", id, job.longestWait)
					}
				}
			})
		})
	}
}

// TestDelayedTransactions: of each kind of transaction that a controller makes, those at the beginning get no
// answer and are carried out 2 to 12 s later, after newer ones of the same controller, also after its
// end and return. No rule is broken, and all jobs are done.
func TestDelayedTransactions(t *testing.T) {
	t.Parallel()
	late := 0
	for n, kind := range []string{"start", "exit", "machine phase", "leader", "token", "scale-out record", "machines pruned", "archive", ""} {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ends %v", kind, ends), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRestartScenario(t, uint64(41+n), 300*time.Millisecond)
					r.duplicateMessages, r.maxCrashes, r.minInterval = false, 6, 5*time.Second
					var mu sync.Mutex
					seen := 0
					for i, l := range r.links {
						l.Copies = false
						l.Late = func(txn wire.Txn) time.Duration {
							if transactionStep(txn, false) != kind+" sent" || len(txn.Then) == 0 {
								return 0
							}
							mu.Lock()
							defer mu.Unlock()
							if seen++; seen > 16 || seen%3 == 0 {
								return 0
							}
							late++
							if ends {
								r.crashAndRestart(i)
							}
							return 2*time.Second + time.Duration(seen*7%11)*time.Second
						}
					}
					r.runAndCheck(24, nil)
				})
			})
		}
	}
	if late < 100 { // not every kind comes that often
		t.Errorf("%d transactions were late", late)
	}
}

// TestSlowStore: the state service answers seconds late for a minute, so that a read is old when it
// arrives. What counts from a contact counts from when the read began: no rule is broken, users are told
// nothing from before they asked, and all jobs are done.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	for _, slow := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(slow.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRestartScenario(t, 17, 300*time.Millisecond)
				r.maxCrashes, r.minInterval = 3, 10*time.Second
				at := 0
				r.runAndCheck(24, func() {
					switch at++; {
					case at == 20 || at == 80:
						for _, l := range r.links {
							l.SetSlow(map[bool]time.Duration{true: slow}[at == 20])
						}
					case at > 20 && at%17 == 0:
						r.crashAndRestart(at % 3)
					}
				})
			})
		})
	}
}

// TestFailoverBetweenTaskExits: jobs of two or three tasks, one of which ends early and another long after, while
// the leader ends, is cut off, or is refused at every moment around the first exit. A job is called done
// when all of its tasks are, and soon: an exit that was reported to the old leader and not recorded is
// recorded once by whoever holds the machine then.
func TestFailoverBetweenTaskExits(t *testing.T) {
	t.Parallel()
	for _, trouble := range []string{"ends", "cut", "refused", "all end"} {
		for k, when := range []time.Duration{2 * time.Second, 6 * time.Second, 8 * time.Second, 9 * time.Second, 10 * time.Second, 12 * time.Second, 14 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%s after %v", trouble, when), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newQuietCluster(t, uint64(51+k), 3)
					cluster.archiving = true
					cluster.cloud.Run = func(id wire.TaskID) time.Duration {
						if id.Index == 0 {
							return 5 * time.Second
						}
						return 55 * time.Second
					}
					ctx, cancel := context.WithCancel(t.Context())
					cluster.start(ctx, 6, 0)
					cluster.advance(10 * time.Second)
					var jobs []wire.JobID
					for i := range 6 {
						s := &wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Shape: wire.Array, Tasks: 2 + i%2, GPUs: 1}
						jobs = append(jobs, s.ID)
						cluster.submit(ctx, s)
					}
					cluster.advance(when)
					old, end := cluster.leader(), func() {}
					switch trouble {
					case "ends":
						cluster.crash(old)
					case "all end":
						for i := range cluster.size {
							cluster.crash(i)
						}
					default:
						end = cluster.isolate(old, trouble == "cut")
					}
					cluster.advance(300 * time.Millisecond)
					for i := range cluster.size {
						cluster.restart(ctx, i)
					}
					for range 20 {
						cluster.advance(time.Second)
						for _, id := range jobs {
							cluster.queryStatus(ctx, id) // told too early it breaks a rule
						}
					}
					end()
					cluster.advance(60 * time.Second)
					for _, id := range jobs {
						if st := cluster.queryStatus(ctx, id); st != wire.Done {
							t.Errorf("%s is %s", id, st)
						}
					}
					cluster.shutDownAndCheck(cancel)
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
	t.Parallel()
	for _, how := range []string{"hang", "deaf"} {
		for k, back := range []time.Duration{5 * time.Second, 20 * time.Second, 28 * time.Second, 33 * time.Second, 40 * time.Second, 55 * time.Second, 3 * time.Minute} {
			t.Run(fmt.Sprintf("%s, back after %v", how, back), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newQuietCluster(t, uint64(61+k), 3)
					cluster.cloud.Run = func(wire.TaskID) time.Duration { return 80 * time.Second }
					cluster.cloud.Most = 8
					ctx, cancel := context.WithCancel(t.Context())
					cluster.start(ctx, 6, 0)
					cluster.advance(10 * time.Second)
					var jobs []wire.JobID
					for i := range 4 {
						s := &wire.JobSpec{
							ID:    wire.JobID(fmt.Sprintf("wk-%06d", i)),
							Shape: []wire.Shape{wire.Array, wire.Gang}[i%2],
							Tasks: 2,
							GPUs:  1,
						}
						jobs = append(jobs, s.ID)
						cluster.submit(ctx, s)
					}
					cluster.advance(15 * time.Second)
					gone := cluster.cloud.Up()[:3]
					for _, m := range gone {
						if how == "hang" {
							m.Hang(true)
						} else {
							cluster.deliverResponses(m.Type.ID, false)
						}
					}
					cluster.advance(time.Duration(k) * time.Second)
					cluster.crash(cluster.leader())
					cluster.advance(300 * time.Millisecond)
					for i := range cluster.size {
						cluster.restart(ctx, i)
					}
					if k%2 == 0 { // the successor ends, too, at about the time of marks and returns
						cluster.group.Go(func() {
							wait.For(ctx, 34*time.Second)
							at := cluster.leader()
							cluster.crash(at)
							wait.For(ctx, 300*time.Millisecond)
							cluster.restart(ctx, at)
						})
					}
					cluster.advance(back)
					for _, m := range gone {
						m.Hang(false)
						cluster.deliverResponses(m.Type.ID, true)
					}
					cluster.advance(6 * time.Minute)
					for _, id := range jobs {
						if st := cluster.queryStatus(ctx, id); st != wire.Done {
							t.Errorf("%s is %s", id, st)
						}
					}
					cluster.shutDownAndCheck(cancel)
				})
			})
		}
	}
}

// TestCompletionsSurviveNewEpoch: tasks complete in an outage of the state service that lasts longer
// than a lease, while all controllers end one after the other, so that none may answer for long and
// the workers begin new sessions. What any controller heard is recorded when the claims go: nothing
// that completed and was heard runs again. Before, all that was not on record did.
func TestCompletionsSurviveNewEpoch(t *testing.T) {
	t.Parallel()
	for _, shape := range []wire.Shape{wire.Array, wire.Gang} {
		for _, rolls := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d rolls", shape, rolls), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newQuietCluster(t, 71, 3)
					cluster.duplicateMessages = true // late completions too
					cluster.cloud.Most = 8
					cluster.cloud.Run = func(id wire.TaskID) time.Duration {
						return 20*time.Second + time.Duration(id.Job[len(id.Job)-1]-'0')*3*time.Second
					}
					ctx, cancel := context.WithCancel(t.Context())
					cluster.start(ctx, 8, 0)
					cluster.advance(8 * time.Second)
					var jobs []wire.JobID
					for i := range 6 {
						s := &wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Shape: shape, Tasks: 2, GPUs: 1}
						jobs = append(jobs, s.ID)
						cluster.submit(ctx, s)
					}
					cluster.advance(16 * time.Second)
					over := cluster.storeOutage()
					cluster.advance(24 * time.Second)
					done := cluster.world.DoneTasks()
					for range rolls { // in the second only peers can tell what was heard
						for i := range cluster.size {
							cluster.crash(i)
							cluster.advance(300 * time.Millisecond)
							cluster.restart(ctx, i)
							cluster.advance(5 * time.Second)
						}
						cluster.advance(60 * time.Second)
					}
					lapsed := cluster.world.Lapsed
					if rolls == 2 { // those that just started know nothing until they have asked
						cluster.crash(0)
						cluster.crash(1)
						cluster.advance(300 * time.Millisecond)
						cluster.restart(ctx, 0)
						cluster.restart(ctx, 1)
					}
					if rolls == 1 {
						for _, m := range cluster.cloud.Up() {
							cluster.deliverHeartbeats(m.Type.ID, false)
						}
					}
					over()
					if rolls == 1 { // what was kept is on record soon, though no machine reports
						cluster.advance(2500 * time.Millisecond)
						for i := range cluster.size {
							cluster.crash(i)
						}
						cluster.advance(300 * time.Millisecond)
						for _, m := range cluster.cloud.Up() {
							cluster.deliverHeartbeats(m.Type.ID, true)
						}
						for i := range cluster.size {
							cluster.restart(ctx, i)
						}
					}
					cluster.advance(100 * time.Second)
					for _, id := range jobs {
						if st := cluster.queryStatus(ctx, id); st != wire.Done {
							t.Errorf("%s is %s", id, st)
						}
					}
					t.Logf(
						"%d tasks had completed before controllers ended, %d were lost with a lease, %d ran again",
						done,
						lapsed,
						cluster.world.Again,
					)
					if done == 0 || lapsed == 0 || cluster.world.Again > 0 {
						t.Errorf("%d completed in the outage, %d lost with a lease, %d ran again", done, lapsed, cluster.world.Again)
					}
					cluster.shutDownAndCheck(cancel)
				})
			})
		}
	}
}

// TestSlowSubmission: the answer to a submission's transaction is slow; meanwhile the user repeats the
// submission at another controller and cancels there. The first controller tells what the job is by
// the time that it answers; before, it said queued.
func TestSlowSubmission(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newQuietCluster(t, 81, 3)
		spec := &wire.JobSpec{Tasks: 1}
		fillSpec(spec, 1)
		committed := make(chan struct{})
		var once sync.Once
		cluster.onStep = func(i int, step string) {
			if i == 0 && step == " answered" && cluster.controller(0) != nil {
				held := false
				once.Do(func() { held = true })
				if held {
					close(committed)
					time.Sleep(3 * time.Second)
				}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cluster.start(ctx, 2, 0)
		cluster.advance(10 * time.Second)
		cluster.world.Upload(spec)
		first := make(chan wire.JobStatus, 1)
		cluster.group.Go(func() {
			st, _, err := cluster.controller(0).Jobs.Submit(ctx, spec)
			if err != nil {
				t.Error(err)
			}
			first <- st
		})
		<-committed
		for _, r := range []request{submitRequest(spec), cancelRequest(spec.ID)} {
			if _, err := r(ctx, cluster.controller(1)); err != nil {
				t.Error(err)
			}
		}
		if st := <-first; st.Status != wire.Cancelled {
			t.Errorf("told %q after it was cancelled", st.Status)
		}
		cluster.shutDownAndCheck(cancel)
	})
}

// TestGangStartsAfterFailover: a controller that holds some of a gang's machines ends just after the gang is
// claimed, before it has sent its start. Whoever holds the machines next takes the claims over and sends it:
// the gang begins as its first attempt. Before, each end cost such a gang its start, fetches and all.
func TestGangStartsAfterFailover(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			cluster := newQuietCluster(t, seed, 3)
			gang := &wire.JobSpec{Shape: wire.Gang, Tasks: 3, GPUs: 2}
			fillSpec(gang, 3)
			cluster.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
			ctx, cancel := context.WithCancel(t.Context())
			var once sync.Once
			last := cluster.trackLastAttempt()
			cluster.onStep = func(i int, step string) {
				if step != "start answered" {
					return
				}
				once.Do(func() { // not here: a step is a part of what ends
					cluster.group.Go(func() {
						other := (i + 1 + int(seed)%2) % cluster.size
						cluster.crash(other)
						wait.For(ctx, 6*time.Second)
						cluster.restart(ctx, other)
					})
				})
			}
			cluster.start(ctx, 4, 0)
			cluster.advance(12 * time.Second)
			cluster.submit(ctx, gang)
			cluster.advance(90 * time.Second)
			if st := cluster.queryStatus(ctx, gang.ID); st != wire.Done || *last != 1 {
				t.Errorf("seed %d: it is %s after attempt %d", seed, st, *last)
			}
			cluster.shutDownAndCheck(cancel)
		})
	}
}
