package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Each test in this file combines two overlapping faults on several controllers. docs/meetings.md lists the pairs.

// recordedAttempts returns the latest attempt of a job and the latest attempt that is to be stopped,
// as recorded by any controller.
func (cluster *testCluster) recordedAttempts(id wire.JobID) (last, stop wire.Attempt) {
	for i := range cluster.size {
		if c := cluster.controller(i); c != nil {
			c.cache.Read(func(l *ledger.Ledger) {
				if job := l.Job(id); job != nil {
					last, stop = max(last, job.Attempt()), max(stop, job.Stop)
				}
			})
		}
	}
	return last, stop
}

// trackLastAttempt sets an onHeartbeat hook and returns a pointer to the highest attempt of any task that
// machines have reported.
func (cluster *testCluster) trackLastAttempt() *wire.Attempt {
	last := new(wire.Attempt)
	cluster.onHeartbeat = func(_ int, heartbeat *wire.Heartbeat) {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		for i := range heartbeat.Tasks {
			*last = max(*last, heartbeat.Tasks[i].Attempt)
		}
	}
	return last
}

// checkDone checks that jobs are done.
func (cluster *testCluster) checkDone(ctx context.Context, jobs []wire.JobID) {
	cluster.t.Helper()
	for _, id := range jobs {
		if got := cluster.queryStatus(ctx, id); got != wire.Done {
			cluster.t.Errorf("seed %d: status of %s: got %q, want %q", cluster.seed, id, got, wire.Done)
		}
	}
}

// restartAll starts all controllers that are down.
func (cluster *testCluster) restartAll(ctx context.Context) {
	for i := range cluster.size {
		cluster.restart(ctx, i)
	}
}

// TestWaitingGangSurvivesFailover checks a gang in which one machine fetches for longer than the others wait,
// while controllers crash one after another, so that machines get no response in time and report to other
// controllers. The controller that a machine reports to when its task has timed out waiting must adopt the
// claim, so that the gang starts as one attempt. It guards against failovers that made the gang start again,
// with all fetches.
func TestWaitingGangSurvivesFailover(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newQuietCluster(t, seed)
				gang := &wire.JobSpec{ID: "wk-000003", Shape: wire.Gang, Tasks: 3, GPUs: 2}
				cluster.world.Fetch = func(_ wire.MachineID, task wire.TaskID) time.Duration {
					return []time.Duration{80 * time.Second, 3 * time.Second, 20 * time.Second}[task.Index]
				}
				cluster.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
				ctx, cancel := context.WithCancel(t.Context())
				cluster.duplicateMessages = seed%2 == 0
				lastAttempt := cluster.trackLastAttempt()
				cluster.start(ctx, 4, 0)
				cluster.submit(ctx, gang)
				for i := range 4 {
					cluster.advance(time.Duration(12+3*seed) * time.Second)
					cluster.crash(i % cluster.size)
					cluster.advance(300 * time.Millisecond)
					cluster.restart(ctx, i%cluster.size)
				}
				cluster.advance(100 * time.Second)
				status := cluster.queryStatus(ctx, gang.ID)
				cluster.shutDownAndCheck(cancel)
				if status != wire.Done || *lastAttempt != 1 {
					t.Errorf("got status %q after attempt %d, want %q after 1", status, *lastAttempt, wire.Done)
				}
			})
		})
	}
}

// TestStaleHeartbeatOfWaitingGang checks a gang's task that times out waiting and rejoins under the same
// attempt. A duplicate of the heartbeat that reported the timeout arrives later, at a controller that the
// machine never reported to, or at its own controller after a restart. The running attempt must continue. It
// guards against a release of its claim, after which the gang stopped needlessly or a second attempt started
// concurrently.
func TestStaleHeartbeatOfWaitingGang(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 12 * time.Second, 40 * time.Second} {
		for _, toAnother := range []bool{true, false} {
			where := "another controller"
			if !toAnother {
				where = "same controller restarted"
			}
			t.Run(fmt.Sprintf("%v, %s", after, where), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runStaleHeartbeatOfWaitingGang(t, after, toAnother) })
			})
		}
	}
}

// runStaleHeartbeatOfWaitingGang runs one case of TestStaleHeartbeatOfWaitingGang.
func runStaleHeartbeatOfWaitingGang(t *testing.T, after time.Duration, toAnother bool) {
	t.Helper()
	cluster := newQuietCluster(t, 7)
	gang := &wire.JobSpec{ID: "wk-000003", Shape: wire.Gang, Tasks: 2, GPUs: 2}
	cluster.world.Fetch = func(_ wire.MachineID, task wire.TaskID) time.Duration {
		if task.Index == 0 {
			return 45 * time.Second
		}
		return 3 * time.Second
	}
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 70 * time.Second }
	ctx, cancel := context.WithCancel(t.Context())
	duplicates := 0
	deliverDuplicate := func(at int, duplicate wire.Heartbeat) {
		to := (at + 1) % cluster.size
		if !toAnother {
			wait.For(ctx, after/2)
			cluster.crash(at)
			wait.For(ctx, 200*time.Millisecond)
			cluster.restart(ctx, at)
			to = at
		}
		wait.For(ctx, after)
		if c := cluster.controller(to); c != nil {
			_ = c.Heartbeats.Heartbeat(ctx, &duplicate)
		}
	}
	cluster.onHeartbeat = func(at int, heartbeat *wire.Heartbeat) {
		for i := range heartbeat.Tasks {
			if heartbeat.Tasks[i].Cause == wire.CauseGangIncomplete && duplicates == 0 {
				duplicates++
				duplicate := *heartbeat
				cluster.group.Go(func() { deliverDuplicate(at, duplicate) })
			}
		}
	}
	cluster.start(ctx, 4, 0)
	cluster.submit(ctx, gang)
	cluster.advance(100 * time.Second)
	last, stop := cluster.recordedAttempts(gang.ID)
	cluster.advance(60 * time.Second)
	status := cluster.queryStatus(ctx, gang.ID)
	if status != wire.Done || toAnother && (last != 1 || stop != 0) {
		t.Errorf("got status %q after attempt %d, stopped up to %d; want %q after 1, 0", status, last, stop, wire.Done)
	}
	if duplicates != 1 {
		t.Errorf("heartbeats that reported a task as timed out waiting: got %d, want 1", duplicates)
	}
	cluster.shutDownAndCheck(cancel)
}

// TestOneWayPartition checks a machine whose heartbeats arrive but whose responses are lost. Claims on it must
// not last long, gangs must start on the other machines, and it must be used again once it is reachable. It
// guards against a failure in which the machine appeared to be free and was assigned tasks repeatedly, and
// each gang placed on it waited for the length of a lease.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	for _, shape := range []wire.Shape{wire.Array, wire.Gang} {
		t.Run(string(shape), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newQuietCluster(t, 9)
				cluster.cloud.Run = func(wire.TaskID) time.Duration { return 6 * time.Second }
				cluster.cloud.Most = 4
				ctx, cancel := context.WithCancel(t.Context())
				cluster.start(ctx, 4, 0)
				tasks := 3 // of four machines, one of which is unreachable
				if shape == wire.Array {
					tasks = 8
				}
				const interval, jobs = 15 * time.Second, 8
				for i := range jobs {
					cluster.group.Go(func() {
						wait.For(ctx, time.Millisecond+time.Duration(i)*interval)
						cluster.submit(ctx, &wire.JobSpec{ID: jobID(i), Shape: shape, Tasks: tasks, GPUs: 2})
					})
				}
				cluster.advance(20 * time.Second)
				unreachable := cluster.cloud.Up()[0].Type.ID
				cluster.deliverResponses(unreachable, false)
				cluster.advance(25 * time.Second)
				secondsClaimed := 0
				for range 75 {
					cluster.advance(time.Second)
					cluster.controller(0).cache.Read(func(l *ledger.Ledger) {
						if len(l.ClaimsOn(unreachable)) > 0 {
							secondsClaimed++
						}
					})
				}
				done := cluster.world.DoneTasks()
				cluster.deliverResponses(unreachable, true)
				// A gang that needs all four machines can only start if the machine is used again.
				all := &wire.JobSpec{ID: "wk-000099", Shape: wire.Gang, Tasks: 4, GPUs: 2}
				cluster.submit(ctx, all)
				cluster.advance(45 * time.Second)
				started := cluster.world.Seen(all.ID)
				t.Logf("claimed there in %d of 75 s while unreachable, %d tasks done", secondsClaimed, done)
				if secondsClaimed > 8 || done < 18 || started < 4 {
					t.Errorf(
						"got claims there in %d of 75 s while unreachable, %d tasks done, %d tasks started afterwards; "+
							"want <= 8, >= 18, >= 4",
						secondsClaimed,
						done,
						started,
					)
				}
				cluster.shutDownAndCheck(cancel)
			})
		})
	}
}

// TestLeaderIsolatedFromStoreAndPeers checks a leader that is disconnected from the state service and from the
// other controllers for longer than a user may be without an answer, while workers and users still reach it.
// Users with persistent connections must soon get answers from other controllers, and jobs cancelled there
// must end in time. It guards against a failure in which the leader reported itself as healthy to the load
// balancer, since it knew of no peer in a better state, and rejected the requests of connected users until the
// partition ended.
func TestLeaderIsolatedFromStoreAndPeers(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRestartScenarioOf(t, 13, size, 0)
				r.keepAlive, r.reliableMessages = true, true
				r.maxCrashes = 0
				second, leader, end := 0, 0, func() {}
				r.runAndCheck(func() {
					switch second++; second {
					case 10:
						leader = r.leader()
						end = r.isolate(leader, true)
					case 115:
						end()
					}
					if c := r.controller(leader); second > 30 && second < 115 && c.Healthy() {
						t.Errorf("%d s after the partition: got healthy, want unhealthy", second-10)
					}
				})
				for id, user := range r.users {
					if user.longestWait > 30*time.Second {
						t.Errorf("longest wait for an answer about %s: got %v, want <= 30s", id, user.longestWait)
					}
				}
			})
		})
	}
}

// TestDelayedTransactions checks each kind of transaction when its first ones get no response and are applied
// 2 to 12 s later, after newer ones of the same controller, also after its crash and restart. No invariant
// may be violated, and all jobs must be done.
func TestDelayedTransactions(t *testing.T) {
	t.Parallel()
	delayed := 0
	for n, kind := range []string{
		"start", "exit", "machine phase", "leader", "token", "scale-out record", "machines pruned", "archive", "",
	} {
		for _, crashes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, crashes %v", kind, crashes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRestartScenario(t, uint64(41+n), 300*time.Millisecond)
					r.duplicateMessages, r.maxCrashes, r.minInterval = false, 6, 5*time.Second
					delayed += r.delayTransactionsOf(kind, crashes)
				})
			})
		}
	}
	if delayed < 100 { // some kinds of transactions are rare
		t.Errorf("delayed transactions: got %d, want >= 100", delayed)
	}
}

// delayTransactionsOf runs the scenario and delays two of three of the first 16 transactions of a kind. With
// crashes, each of them also crashes its controller. It returns the number of delayed transactions.
func (r *restartScenario) delayTransactionsOf(kind string, crashes bool) (delayed int) {
	r.t.Helper()
	var mu sync.Mutex
	seen := 0
	for i, link := range r.links {
		link.Copies = false
		link.Late = func(txn wire.Txn) time.Duration {
			if transactionStep(txn, false) != kind+" sent" || len(txn.Then) == 0 {
				return 0
			}
			mu.Lock()
			defer mu.Unlock()
			if seen++; seen > 16 || seen%3 == 0 {
				return 0
			}
			delayed++
			if crashes {
				r.crashAndRestart(i)
			}
			return 2*time.Second + time.Duration(seen*7%11)*time.Second
		}
	}
	r.runAndCheck(nil)
	return delayed
}

// TestSlowStore checks a state service whose answers are delayed by up to 3 s for a minute, so that the result
// of a read is stale on arrival. The age of a sync must be measured from the start of the read: no invariant
// may be violated, users must not see a state from before their request, and all jobs must be done.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRestartScenario(t, 17, 300*time.Millisecond)
				r.maxCrashes, r.minInterval = 3, 10*time.Second
				second := 0
				r.runAndCheck(func() {
					switch second++; {
					case second == 20:
						r.slowStore(delay)
					case second == 80:
						r.slowStore(0)
					case second > 20 && second%17 == 0:
						r.crashAndRestart(second % 3)
					}
				})
			})
		})
	}
}

// TestFailoverBetweenTaskExits checks jobs of two or three tasks, the first of which runs for 50 s less than the
// others. At various times around the first exit the leader crashes, is isolated, or loses the state service, or
// all controllers crash. A job must be done soon after all of its tasks, and not earlier: an exit that was
// reported to the old leader but not recorded must be recorded once, by the controller that the machine
// reports to next.
func TestFailoverBetweenTaskExits(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"crash", "isolated", "store lost", "all crash"} {
		for k, when := range []time.Duration{
			2 * time.Second, 6 * time.Second, 8 * time.Second, 9 * time.Second,
			10 * time.Second, 12 * time.Second, 14 * time.Second, 20 * time.Second,
		} {
			t.Run(fmt.Sprintf("%s after %v", fault, when), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runFailoverBetweenTaskExits(t, uint64(51+k), fault, when) })
			})
		}
	}
}

// runFailoverBetweenTaskExits runs one case of TestFailoverBetweenTaskExits.
func runFailoverBetweenTaskExits(t *testing.T, seed uint64, fault string, when time.Duration) {
	t.Helper()
	cluster := newQuietCluster(t, seed)
	cluster.archiving = true
	cluster.cloud.Run = func(task wire.TaskID) time.Duration {
		if task.Index == 0 {
			return 5 * time.Second
		}
		return 55 * time.Second
	}
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 6, 0)
	cluster.advance(10 * time.Second)
	var jobs []wire.JobID
	for i := range 6 {
		spec := &wire.JobSpec{ID: jobID(i), Shape: wire.Array, Tasks: 2 + i%2, GPUs: 1}
		jobs = append(jobs, spec.ID)
		cluster.submit(ctx, spec)
	}
	cluster.advance(when)
	leader, end := cluster.leader(), func() {}
	switch fault {
	case "crash":
		cluster.crash(leader)
	case "all crash":
		for i := range cluster.size {
			cluster.crash(i)
		}
	default:
		end = cluster.isolate(leader, fault == "isolated")
	}
	cluster.advance(300 * time.Millisecond)
	cluster.restartAll(ctx)
	for range 20 {
		cluster.advance(time.Second)
		for _, id := range jobs {
			cluster.queryStatus(ctx, id) // a job that is reported as done too early violates an invariant
		}
	}
	end()
	cluster.advance(60 * time.Second)
	cluster.checkDone(ctx, jobs)
	cluster.shutDownAndCheck(cancel)
}

// TestUnreachableMachines checks a crash of the leader while machines with long tasks hang or get no responses.
// The machines are fenced by a phase on record and returned to the cloud, and their claims are released; the
// successor repeats this. A machine that recovers at any time in between must neither continue its task
// alongside another attempt nor receive the task twice.
func TestUnreachableMachines(t *testing.T) {
	t.Parallel()
	for _, hang := range []bool{true, false} {
		how := "responses lost"
		if hang {
			how = "hang"
		}
		for k, length := range []time.Duration{
			5 * time.Second, 20 * time.Second, 28 * time.Second, 33 * time.Second,
			40 * time.Second, 55 * time.Second, 3 * time.Minute,
		} {
			t.Run(fmt.Sprintf("%s for %v", how, length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runUnreachableMachines(t, k, hang, length) })
			})
		}
	}
}

// runUnreachableMachines runs the kth case of TestUnreachableMachines.
func runUnreachableMachines(t *testing.T, k int, hang bool, length time.Duration) {
	t.Helper()
	cluster := newQuietCluster(t, uint64(61+k))
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 80 * time.Second }
	cluster.cloud.Most = 8
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 6, 0)
	cluster.advance(10 * time.Second)
	var jobs []wire.JobID
	for i := range 4 {
		spec := &wire.JobSpec{ID: jobID(i), Shape: []wire.Shape{wire.Array, wire.Gang}[i%2], Tasks: 2, GPUs: 1}
		jobs = append(jobs, spec.ID)
		cluster.submit(ctx, spec)
	}
	cluster.advance(15 * time.Second)
	unreachable := cluster.cloud.Up()[:3]
	for _, machine := range unreachable {
		if hang {
			machine.Hang(true)
		} else {
			cluster.deliverResponses(machine.Type.ID, false)
		}
	}
	cluster.advance(time.Duration(k) * time.Second)
	cluster.crash(cluster.leader())
	cluster.advance(300 * time.Millisecond)
	cluster.restartAll(ctx)
	if k%2 == 0 { // the successor crashes too, at about the time when machines are fenced and returned
		cluster.group.Go(func() {
			wait.For(ctx, 34*time.Second)
			at := cluster.leader()
			cluster.crash(at)
			wait.For(ctx, 300*time.Millisecond)
			cluster.restart(ctx, at)
		})
	}
	cluster.advance(length)
	for _, machine := range unreachable {
		machine.Hang(false)
		cluster.deliverResponses(machine.Type.ID, true)
	}
	cluster.advance(6 * time.Minute)
	cluster.checkDone(ctx, jobs)
	cluster.shutDownAndCheck(cancel)
}

// TestCompletionsSurviveNewEpoch checks tasks that complete during an outage of the state service that lasts
// longer than a lease. Meanwhile all controllers restart one after another, so that none may answer workers for
// a long time and the workers start new epochs. Completions that any controller has received must be recorded
// when the claims are released, so that no completed task runs again. It guards against a failure in which all
// completed tasks ran again that were not on record.
func TestCompletionsSurviveNewEpoch(t *testing.T) {
	t.Parallel()
	for _, shape := range []wire.Shape{wire.Array, wire.Gang} {
		for _, rollingRestarts := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d rolling restarts", shape, rollingRestarts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCompletionsSurviveNewEpoch(t, shape, rollingRestarts) })
			})
		}
	}
}

// runCompletionsSurviveNewEpoch runs one case of TestCompletionsSurviveNewEpoch. After two rolling restarts
// controllers know of the completions only from their peers.
func runCompletionsSurviveNewEpoch(t *testing.T, shape wire.Shape, rollingRestarts int) {
	t.Helper()
	cluster := newQuietCluster(t, 71)
	cluster.duplicateMessages = true // delivers completions late as well
	cluster.cloud.Most = 8
	cluster.cloud.Run = func(task wire.TaskID) time.Duration {
		return 20*time.Second + time.Duration(task.Job[len(task.Job)-1]-'0')*3*time.Second
	}
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 8, 0)
	cluster.advance(8 * time.Second)
	var jobs []wire.JobID
	for i := range 6 {
		spec := &wire.JobSpec{ID: jobID(i), Shape: shape, Tasks: 2, GPUs: 1}
		jobs = append(jobs, spec.ID)
		cluster.submit(ctx, spec)
	}
	cluster.advance(16 * time.Second)
	endOutage := cluster.storeOutage()
	cluster.advance(24 * time.Second)
	done := cluster.world.DoneTasks()
	for range rollingRestarts {
		cluster.rollingRestart(ctx)
	}
	lapsed := cluster.world.Lapsed
	if rollingRestarts == 1 {
		cluster.recordWithoutHeartbeats(ctx, endOutage)
	} else { // restarted controllers know of no completions before they have asked their peers
		cluster.crash(0)
		cluster.crash(1)
		cluster.advance(300 * time.Millisecond)
		cluster.restart(ctx, 0)
		cluster.restart(ctx, 1)
		endOutage()
	}
	cluster.advance(100 * time.Second)
	cluster.checkDone(ctx, jobs)
	t.Logf(
		"%d tasks had completed before the restarts, %d were lost with a lease, %d ran again",
		done,
		lapsed,
		cluster.world.Again,
	)
	if done == 0 || lapsed == 0 || cluster.world.Again > 0 {
		t.Errorf(
			"got %d tasks completed in the outage, %d lost with a lease, %d run again; want > 0, > 0, 0",
			done,
			lapsed,
			cluster.world.Again,
		)
	}
	cluster.shutDownAndCheck(cancel)
}

// rollingRestart restarts all controllers one after another, and then waits for a minute.
func (cluster *testCluster) rollingRestart(ctx context.Context) {
	for i := range cluster.size {
		cluster.crash(i)
		cluster.advance(300 * time.Millisecond)
		cluster.restart(ctx, i)
		cluster.advance(5 * time.Second)
	}
	cluster.advance(60 * time.Second)
}

// recordWithoutHeartbeats ends an outage while no heartbeats arrive, and restarts all controllers 2.5 s
// later. By then they must have recorded the completions that they know of.
func (cluster *testCluster) recordWithoutHeartbeats(ctx context.Context, endOutage func()) {
	deliver := func(machines []*emulator.Machine, delivered bool) {
		for _, machine := range machines {
			cluster.deliverHeartbeats(machine.Type.ID, delivered)
		}
	}
	deliver(cluster.cloud.Up(), false)
	endOutage()
	cluster.advance(2500 * time.Millisecond)
	for i := range cluster.size {
		cluster.crash(i)
	}
	cluster.advance(300 * time.Millisecond)
	deliver(cluster.cloud.Up(), true)
	cluster.restartAll(ctx)
}

// TestSlowSubmission checks a submission whose transaction is answered slowly, while the user repeats the
// submission at another controller and cancels the job there. The first controller must answer with the job's
// state at the time of its answer. It guards against an answer that the job was queued.
func TestSlowSubmission(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newQuietCluster(t, 81)
		spec := &wire.JobSpec{Tasks: 1}
		fillSpec(spec, 1)
		committed := make(chan struct{})
		var once sync.Once
		cluster.onStep = func(i int, step string) {
			if i == 0 && step == " answered" && cluster.controller(0) != nil {
				first := false
				once.Do(func() { first = true })
				if first {
					close(committed)
					time.Sleep(3 * time.Second)
				}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cluster.start(ctx, 2, 0)
		cluster.advance(10 * time.Second)
		cluster.world.Upload(spec)
		answer := make(chan wire.JobStatus, 1)
		cluster.group.Go(func() {
			status, _, err := cluster.controller(0).Jobs.Submit(ctx, spec)
			if err != nil {
				t.Error(err)
			}
			answer <- status
		})
		<-committed
		for _, r := range []request{submitRequest(spec), cancelRequest(spec.ID)} {
			if _, err := r(ctx, cluster.controller(1)); err != nil {
				t.Error(err)
			}
		}
		if got := <-answer; got.Status != wire.Cancelled {
			t.Errorf("answer to the slow submission: got %q, want %q", got.Status, wire.Cancelled)
		}
		cluster.shutDownAndCheck(cancel)
	})
}

// TestGangStartsAfterFailover checks the crash of a controller that some of a gang's machines report to, after the
// gang's claims are recorded and before the controller has sent the start commands. The controllers that the
// machines report to next must adopt the claims and send the commands, so that the gang starts as its first
// attempt. It guards against a failure in which each such crash cancelled the gang's start, with all fetches.
func TestGangStartsAfterFailover(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newQuietCluster(t, seed)
				gang := &wire.JobSpec{Shape: wire.Gang, Tasks: 3, GPUs: 2}
				fillSpec(gang, 3)
				cluster.cloud.Run = func(wire.TaskID) time.Duration { return 20 * time.Second }
				ctx, cancel := context.WithCancel(t.Context())
				var once sync.Once
				lastAttempt := cluster.trackLastAttempt()
				crash := func(i int) {
					cluster.crash(i)
					wait.For(ctx, 6*time.Second)
					cluster.restart(ctx, i)
				}
				cluster.onStep = func(i int, step string) {
					if step == "start answered" {
						other := (i + 1 + int(seed)%2) % cluster.size
						// In a new goroutine: the hook runs within a controller's step.
						once.Do(func() { cluster.group.Go(func() { crash(other) }) })
					}
				}
				cluster.start(ctx, 4, 0)
				cluster.advance(12 * time.Second)
				cluster.submit(ctx, gang)
				cluster.advance(90 * time.Second)
				status := cluster.queryStatus(ctx, gang.ID)
				if status != wire.Done || *lastAttempt != 1 {
					t.Errorf("got status %q after attempt %d, want %q after 1", status, *lastAttempt, wire.Done)
				}
				cluster.shutDownAndCheck(cancel)
			})
		})
	}
}
