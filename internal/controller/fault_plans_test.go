package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/settings"
	"maddermill/wire"
)

// setTaskDuration returns a change of a cluster that makes all tasks run for the time d.
func setTaskDuration(d time.Duration) func(cluster *testCluster) {
	return func(cluster *testCluster) { cluster.cloud.Run = func(wire.TaskID) time.Duration { return d } }
}

// singleTaskJob returns an array job of one task.
func singleTaskJob(*rand.Rand, int) *wire.JobSpec { return &wire.JobSpec{} }

// mixedJob returns an array of 1 to 4 tasks, or for every third job a gang of 1 to 3.
func mixedJob(rng *rand.Rand, i int) *wire.JobSpec {
	s := &wire.JobSpec{Tasks: 1 + rng.IntN(4)}
	if i%3 == 0 {
		s.Shape, s.Priority, s.Tasks = wire.Gang, wire.High, 1+rng.IntN(3)
	}
	return s
}

// teamJob returns a mixedJob of at most 3 tasks, alternately of the teams free and capped.
func teamJob(rng *rand.Rand, i int) *wire.JobSpec {
	s := mixedJob(rng, i)
	s.Team = []wire.Team{"free", "capped"}[i%2]
	s.Tasks = min(s.Tasks, 3)
	return s
}

// limitEveryTeam limits every team to the given number of GPUs.
func limitEveryTeam(gpus float64) func(*settings.Settings) {
	return func(s *settings.Settings) {
		for i := range s.Cluster.Teams {
			s.Cluster.Teams[i].GPUsMax = gpus
		}
	}
}

// randomBetween returns a function that returns random times in [from, to).
func randomBetween(from, to time.Duration) func(*rand.Rand, int) time.Duration {
	return func(rng *rand.Rand, _ int) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
}

// cancelOneInFour returns a cancelAfter function that cancels every fourth job after the time that f returns.
func cancelOneInFour(f func(*rand.Rand, int) time.Duration) func(*rand.Rand, int) time.Duration {
	return func(rng *rand.Rand, i int) time.Duration {
		if i%4 != 1 {
			return 0
		}
		return f(rng, i)
	}
}

// faultPlans returns all plans.
func faultPlans() []*faultPlan {
	return slices.Concat(
		submissionPlans(),
		lifeCyclePlans(),
		cancellationPlans(),
		teamLimitPlans(),
		failoverPlans(),
		partitionPlans(),
		lostMessagePlans(),
		replayPlans(),
	)
}

// submissionPlans returns plans that test the submission of jobs.
func submissionPlans() []*faultPlan {
	return []*faultPlan{
		{
			name:           "answers of transactions are lost while users ask all controllers",
			machines:       6,
			jobs:           16,
			submitInterval: 700 * time.Millisecond,
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(0, 8*time.Second)),
			events:         []faultEvent{during(time.Second, 40*time.Second, delayWrites(2, afterOneMillisecond))},
			faultsUntil:    45 * time.Second,
			settleWithin:   3 * time.Minute,
		},
		{
			name:           "more work than room at several priorities, slow state service",
			machines:       3,
			maxMachines:    4,
			jobs:           24,
			submitInterval: 300 * time.Millisecond,
			spec: func(rng *rand.Rand, i int) *wire.JobSpec {
				s := mixedJob(rng, i)
				s.Priority = []wire.Priority{wire.High, wire.Normal, wire.BestEffort}[i%3]
				return s
			},
			cancelAfter: cancelOneInFour(randomBetween(10*time.Second, 40*time.Second)),
			events: []faultEvent{
				during(5*time.Second, 60*time.Second, slowStore(700*time.Millisecond)),
				crashAt(30*time.Second, currentLeader, restartDelay),
			},
			faultsUntil:  70 * time.Second,
			settleWithin: 12 * time.Minute,
		},
		{
			name:           "four one-task jobs a second, a quarter cancelled",
			machines:       8,
			maxMachines:    8,
			jobs:           240,
			submitInterval: 250 * time.Millisecond,
			prepare:        setTaskDuration(2 * time.Second),
			spec:           singleTaskJob,
			cancelAfter:    cancelOneInFour(randomBetween(0, 4*time.Second)),
			events:         []faultEvent{crashAt(30*time.Second, currentLeader, restartDelay)},
			faultsUntil:    66 * time.Second,
			settleWithin:   4 * time.Minute,
			check:          limitChangesPerStart(4.6, 7.5),
		},
	}
}

// lifeCyclePlans returns plans that test requests at the end of jobs, and invalid requests.
func lifeCyclePlans() []*faultPlan {
	return []*faultPlan{
		{
			name:           "cancelled, polled and resubmitted when the last task exits",
			machines:       8,
			maxMachines:    8,
			jobs:           24,
			submitInterval: 700 * time.Millisecond,
			prepare:        func(cluster *testCluster) { setTaskDuration(4 * time.Second)(cluster) },
			spec:           mixedJob,
			cancelAfter:    randomBetween(5*time.Second, 14*time.Second),
			faultsUntil:    30 * time.Second,
			settleWithin:   3 * time.Minute,
		},
		{
			name:           "invalid requests while controllers crash",
			machines:       6,
			maxMachines:    8,
			jobs:           10,
			submitInterval: 2 * time.Second,
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(2*time.Second, 20*time.Second)),
			events: append(
				repeated(
					8,
					9*time.Second,
					5*time.Second,
					func(at time.Duration) faultEvent { return faultEvent{at, sendInvalidRequests} },
				),
				crashAt(20*time.Second, currentLeader, restartDelay),
				crashAllAt(35*time.Second, time.Second),
			),
			faultsUntil:  55 * time.Second,
			settleWithin: 4 * time.Minute,
		},
	}
}

// cancellationPlans returns plans that test cancellations during a failover.
func cancellationPlans() []*faultPlan {
	return []*faultPlan{
		{
			name:           "cancelled during a failover of one controller's workers",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: 50 * time.Millisecond,
			prepare:        setTaskDuration(4 * time.Minute),
			spec:           mixedJob,
			cancelAfter:    randomBetween(28*time.Second, 36*time.Second),
			events: []faultEvent{
				crashAt(36*time.Second, controllerAt(1), 4*time.Second),
				crashAt(38*time.Second, currentLeader, restartDelay),
			},
			faultsUntil:  50 * time.Second,
			settleWithin: 2 * time.Minute,
		},
		{
			name:           "cancelled at the moment when the leader alone loses the state service, then an outage",
			machines:       8,
			maxMachines:    8,
			jobs:           12,
			submitInterval: 50 * time.Millisecond,
			prepare:        setTaskDuration(5 * time.Minute),
			spec:           mixedJob,
			cancelAfter: func(_ *rand.Rand, i int) time.Duration {
				return 30*time.Second - time.Duration(i)*50*time.Millisecond + time.Duration(i%5-2)*10*time.Millisecond
			},
			events: []faultEvent{
				during(36*time.Second, 70*time.Second, isolateLeader(false)),
				during(37*time.Second, 75*time.Second, storeDown)},
			faultsUntil:  113 * time.Second,
			settleWithin: 2 * time.Minute,
		},
	}
}

// teamLimitPlans returns plans that test the limits of teams.
func teamLimitPlans() []*faultPlan {
	return []*faultPlan{
		{
			name:           "team at its limit, heartbeats lost, leader crashes, cancellations",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: 100 * time.Millisecond,
			prepare:        setTaskDuration(25 * time.Second),
			spec:           teamJob,
			cancelAfter:    cancelOneInFour(randomBetween(25*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(24*time.Second, 45*time.Second, everyNthMachine(3, loseHeartbeats)),
				crashAt(30*time.Second, currentLeader, restartDelay), crashAt(38*time.Second, currentLeader, 3*time.Second)},
			faultsUntil:  70 * time.Second,
			settleWithin: 10 * time.Minute,
		},
		{
			name:           "every team at its limit, machines hang or are cut off, leader crashes",
			machines:       8,
			maxMachines:    8,
			jobs:           16,
			submitInterval: 100 * time.Millisecond,
			adjustSettings: limitEveryTeam(4),
			spec:           teamJob,
			cancelAfter:    cancelOneInFour(randomBetween(20*time.Second, 50*time.Second)),
			prepare: func(cluster *testCluster) {
				setTaskDuration(25 * time.Second)(cluster)
				cluster.world.TeamMax["free"] = 4
			},
			events: []faultEvent{
				during(
					22*time.Second,
					40*time.Second,
					everyNthMachine(4, hangMachine),
				),
				during(24*time.Second, 40*time.Second, everyNthMachine(3, loseHeartbeats)),
				crashAt(30*time.Second, currentLeader, restartDelay),
				crashAt(40*time.Second, currentLeader, restartDelay),
			},
			faultsUntil:  70 * time.Second,
			settleWithin: 12 * time.Minute,
		},
	}
}

// failoverPlans returns plans in which leaders or all controllers crash.
func failoverPlans() []*faultPlan {
	return []*faultPlan{
		{
			name:           "ten leaders in two minutes, also in an outage",
			machines:       6,
			jobs:           16,
			submitInterval: 6 * time.Second,
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(2*time.Second, 30*time.Second)),
			events: append(
				repeated(
					10,
					20*time.Second,
					12*time.Second,
					func(at time.Duration) faultEvent { return crashAt(at, currentLeader, restartDelay) },
				),
				during(75*time.Second, 40*time.Second, storeDown),
			),
			faultsUntil:  145 * time.Second,
			settleWithin: 5 * time.Minute,
		},
		{
			name:           "all controllers down for longer than a lease",
			machines:       6,
			jobs:           14,
			submitInterval: time.Second,
			prepare:        setTaskDuration(25 * time.Second),
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(5*time.Second, 60*time.Second)),
			events:         []faultEvent{crashAllAt(24*time.Second, 38*time.Second)},
			faultsUntil:    65 * time.Second,
			settleWithin:   5 * time.Minute,
		},
		{
			name:           "new machines, delayed transactions, leader crashes",
			machines:       0,
			maxMachines:    10,
			jobs:           14,
			submitInterval: 2 * time.Second,
			prepare:        func(cluster *testCluster) { cluster.cloud.Types[0].Boot = 1.5 },
			spec:           mixedJob,
			events: append(
				repeated(
					5,
					12*time.Second,
					9*time.Second,
					func(at time.Duration) faultEvent { return crashAt(at, currentLeader, restartDelay) },
				),
				during(4*time.Second, 50*time.Second, delayWrites(3, afterSeveralSeconds)),
			),
			faultsUntil:  70 * time.Second,
			settleWithin: 6 * time.Minute,
		},
		{
			name:           "leader crashes during a scale-out, new machines",
			machines:       0,
			maxMachines:    10,
			jobs:           14,
			submitInterval: 2 * time.Second,
			prepare: func(cluster *testCluster) {
				cluster.cloud.Types[0].Boot = 1.5
				cluster.onStep = crashAtStep("scale-out answered", 4)(cluster)
			},
			spec:         mixedJob,
			faultsUntil:  70 * time.Second,
			settleWithin: 6 * time.Minute,
		},
	}
}

// partitionPlans returns plans in which machines or zones are lost or partitioned.
func partitionPlans() []*faultPlan {
	return []*faultPlan{
		{
			name:           "jobs of one zone lose machines",
			machines:       8,
			maxMachines:    10,
			jobs:           12,
			submitInterval: time.Second,
			prepare:        setTaskDuration(20 * time.Second),
			spec: func(rng *rand.Rand, i int) *wire.JobSpec {
				s := mixedJob(rng, i)
				zone := wire.Zone([]string{"a", "b"}[i%2])
				switch i % 4 {
				case 0, 1:
					s.OneZone = true
				case 2:
					s.Zone = &zone
				default:
					s.Spread = true
				}
				return s
			},
			events: append(repeated(4, 20*time.Second, 8*time.Second, func(at time.Duration) faultEvent {
				return faultEvent{at, func(run *faultRun) { run.cloud.Take(1) }}
			}),
				during(30*time.Second, 50*time.Second, everyNthMachine(3, hangMachine)),
				crashAt(34*time.Second, currentLeader, restartDelay),
			),
			faultsUntil:  85 * time.Second,
			settleWithin: 12 * time.Minute,
		},
		{
			name:           "partitioned zone with workers and a controller for longer than a lease",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: time.Second,
			prepare:        setTaskDuration(20 * time.Second),
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(15*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(25*time.Second, 50*time.Second, func(run *faultRun) func() { return run.partitionZone("b", 1) }),
				crashAt(40*time.Second, currentLeader, restartDelay),
			},
			faultsUntil:  80 * time.Second,
			settleWithin: 6 * time.Minute,
		},
	}
}

// lostMessagePlans returns plans in which messages to or from machines are lost.
func lostMessagePlans() []*faultPlan {
	return []*faultPlan{
		{
			name:           "responses lost while the leader changes",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: time.Second,
			prepare:        setTaskDuration(15 * time.Second),
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(15*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(20*time.Second, 36*time.Second, everyNthMachine(2, loseResponses)),
				crashAt(25*time.Second, currentLeader, restartDelay),
				crashAllAt(50*time.Second, restartDelay),
			},
			faultsUntil:  65 * time.Second,
			settleWithin: 6 * time.Minute,
		},
		{
			name:           "heartbeats lost while the leader changes",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: time.Second,
			prepare:        setTaskDuration(15 * time.Second),
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(15*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(20*time.Second, 36*time.Second, everyNthMachine(2, loseHeartbeats)),
				crashAt(25*time.Second, currentLeader, restartDelay),
				crashAllAt(50*time.Second, restartDelay),
			},
			faultsUntil:  65 * time.Second,
			settleWithin: 6 * time.Minute,
		},
	}
}

// replayPlans returns plans in which old heartbeats are delivered again after a failover.
func replayPlans() (plans []*faultPlan) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 8 * time.Second, 45 * time.Second} {
		plans = append(plans, &faultPlan{
			name:           fmt.Sprintf("heartbeats arrive again %v after an election", after),
			machines:       8,
			maxMachines:    8,
			jobs:           16,
			submitInterval: 1200 * time.Millisecond,
			prepare:        setTaskDuration(7 * time.Second),
			spec:           mixedJob,
			cancelAfter:    cancelOneInFour(randomBetween(5*time.Second, 30*time.Second)),
			events: []faultEvent{
				replayAt(8*time.Second, 25*time.Second, after),
				crashAt(32*time.Second, currentLeader, restartDelay),
			},
			faultsUntil:  95 * time.Second,
			settleWithin: 4 * time.Minute,
		})
	}
	return plans
}

// sendInvalidRequests submits jobs that can never run, which must be rejected, then queries and cancels
// them, and cancels jobs that are done.
func sendInvalidRequests(run *faultRun) {
	tooLarge := &wire.JobSpec{Tasks: 1, GPUs: 16}
	fillSpec(tooLarge, 900_000)
	unknownTeam := &wire.JobSpec{Team: "nobody"}
	fillSpec(unknownTeam, 900_001)
	overLimit := &wire.JobSpec{Team: "capped", Shape: wire.Gang, Tasks: 5}
	fillSpec(overLimit, 900_002)
	for i := range run.size {
		c := run.controller(i)
		if c == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(run.ctx, 5*time.Second)
		for _, spec := range []*wire.JobSpec{tooLarge, unknownTeam, overLimit} {
			if _, _, err := c.Jobs.Submit(ctx, spec); err == nil {
				run.t.Errorf("seed %d: submit %s: got no error, want one", run.seed, spec.ID)
			}
			if _, err := c.Jobs.Status(ctx, spec.ID); err == nil {
				run.t.Errorf("seed %d: status of %s: got no error, want one", run.seed, spec.ID)
			}
			if _, err := c.Jobs.Cancel(ctx, spec.ID); err == nil || errors.Is(err, server.ErrUnschedulable) {
				run.t.Errorf("seed %d: cancel %s: got error %v, want one that the job is unknown", run.seed, spec.ID, err)
			}
		}
		cancel()
		for k := range run.plan.jobs {
			if run.finalStatus(jobID(k)) == wire.Done {
				run.queryController(run.ctx, jobID(k), i, cancelRequest(jobID(k)))
			}
		}
	}
}

// limitChangesPerStart checks the average number of changes in the state service per started task. It is at
// most limit, or limitArchiving if finished jobs are archived immediately.
func limitChangesPerStart(limit, limitArchiving float64) func(run *faultRun) {
	return func(run *faultRun) {
		want := limit
		if run.archiving {
			want = limitArchiving
		}
		got := float64(run.store.Changed()) / float64(run.world.Starts)
		run.t.Logf("%d changes, %d starts: %.2f changes per start", run.store.Changed(), run.world.Starts, got)
		if got > want {
			run.t.Errorf("seed %d: changes per started task: got %.2f, want <= %.2f", run.seed, got, want)
		}
	}
}

// TestFaultPlans runs each plan with two seeds, or more if HISTORY_SEEDS is above 8. No invariant may be
// violated, no controller may answer with a state older than one that was reported before the request, and
// all jobs must be final within the plan's limit after the faults.
func TestFaultPlans(t *testing.T) {
	t.Parallel()
	for _, p := range faultPlans() {
		t.Run(p.name, func(t *testing.T) {
			for seed := range max(2, seedCount()-6) {
				synctest.Test(t, func(t *testing.T) { p.run(t, seed+1) })
			}
		})
	}
}
