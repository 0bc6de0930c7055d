package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/settings"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// runsFor has all tasks run for a time.
func runsFor(d time.Duration) func(cluster *testCluster) {
	return func(cluster *testCluster) { cluster.cloud.Run = func(wire.TaskID) time.Duration { return d } }
}

func singleTaskJob(*rand.Rand, int) *wire.JobSpec { return &wire.JobSpec{} }

// mixedJob are arrays and gangs of some tasks.
func mixedJob(rng *rand.Rand, i int) *wire.JobSpec {
	s := &wire.JobSpec{Tasks: 1 + rng.IntN(4)}
	if i%3 == 0 {
		s.Shape, s.Priority, s.Tasks = wire.Gang, wire.High, 1+rng.IntN(3)
	}
	return s
}

// teamJob are jobs of two teams.
func teamJob(rng *rand.Rand, i int) *wire.JobSpec {
	s := mixedJob(rng, i)
	s.Team = []wire.Team{"free", "capped"}[i%2]
	s.Tasks = min(s.Tasks, 3)
	return s
}

// limitEveryTeam gives every team a limit of so many accelerators.
func limitEveryTeam(gpus float64) func(*settings.Settings) {
	return func(s *settings.Settings) {
		for i := range s.Cluster.Teams {
			s.Cluster.Teams[i].GPUsMax = gpus
		}
	}
}

func randomBetween(from, to time.Duration) func(*rand.Rand, int) time.Duration {
	return func(rng *rand.Rand, _ int) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
}

// oneInFour cancels one job in four, at a time as of f.
func oneInFour(f func(*rand.Rand, int) time.Duration) func(*rand.Rand, int) time.Duration {
	return func(rng *rand.Rand, i int) time.Duration {
		if i%4 != 1 {
			return 0
		}
		return f(rng, i)
	}
}

const restartDelay = 300 * time.Millisecond // how soon an ended controller is back

// faultPlans is one plan a meeting, or several where what comes first matters.
func faultPlans() []*faultPlan {
	plans := []*faultPlan{
		{
			name: "users look closely, answers of transactions are lost", machines: 6, jobs: 16, submitInterval: 700 * time.Millisecond,
			spec: mixedJob, cancelAfter: oneInFour(randomBetween(0, 8*time.Second)),
			events:      []faultEvent{during(time.Second, 40*time.Second, delayWrites(2, afterOneMillisecond))},
			faultsUntil: 45 * time.Second, settleWithin: 3 * time.Minute,
		},
		{
			name:           "more work than room, urgent and not, over slow links",
			machines:       3,
			maxMachines:    4,
			jobs:           24,
			submitInterval: 300 * time.Millisecond,
			spec: func(rng *rand.Rand, i int) *wire.JobSpec {
				s := mixedJob(rng, i)
				s.Priority = []wire.Priority{wire.High, wire.Normal, wire.BestEffort}[i%3]
				return s
			},
			cancelAfter: oneInFour(randomBetween(10*time.Second, 40*time.Second)),
			events: []faultEvent{
				during(5*time.Second, 60*time.Second, slowStore(700*time.Millisecond)),
				crashAt(30*time.Second, currentLeader, restartDelay),
			},
			faultsUntil:  70 * time.Second,
			settleWithin: 12 * time.Minute,
		},
		{
			name:           "one-task jobs four a second, a quarter cancelled",
			machines:       8,
			maxMachines:    8,
			jobs:           240,
			submitInterval: 250 * time.Millisecond,
			prepare:        runsFor(2 * time.Second),
			spec:           singleTaskJob,
			cancelAfter:    oneInFour(randomBetween(0, 4*time.Second)),
			events:         []faultEvent{crashAt(30*time.Second, currentLeader, restartDelay)},
			faultsUntil:    66 * time.Second,
			settleWithin:   4 * time.Minute,
			check:          limitChangesPerStart(4.6, 7.5),
		},
		{
			name:           "cancelled while one controller's work changes hands",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: 50 * time.Millisecond,
			prepare:        runsFor(4 * time.Minute),
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
			name:           "cancelled at the moment at which the leader alone is refused, then an outage",
			machines:       8,
			maxMachines:    8,
			jobs:           12,
			submitInterval: 50 * time.Millisecond,
			prepare:        runsFor(5 * time.Minute),
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
		{
			name:           "team at its limit, machines mute, leader ends, cancellations",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: 100 * time.Millisecond,
			prepare:        runsFor(25 * time.Second),
			spec:           teamJob,
			cancelAfter:    oneInFour(randomBetween(25*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(24*time.Second, 45*time.Second, everyNthMachine(3, loseHeartbeats)),
				crashAt(30*time.Second, currentLeader, restartDelay), crashAt(38*time.Second, currentLeader, 3*time.Second)},
			faultsUntil:  70 * time.Second,
			settleWithin: 10 * time.Minute,
		},
		{
			name:           "every team at its limit, machines hang or are cut off, the leader changes",
			machines:       8,
			maxMachines:    8,
			jobs:           16,
			submitInterval: 100 * time.Millisecond,
			adjustSettings: limitEveryTeam(4),
			spec:           teamJob,
			cancelAfter:    oneInFour(randomBetween(20*time.Second, 50*time.Second)),
			prepare: func(cluster *testCluster) {
				runsFor(25 * time.Second)(cluster)
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
		{
			name:           "ten leaders in two minutes, also in an outage",
			machines:       6,
			jobs:           16,
			submitInterval: 6 * time.Second,
			spec:           mixedJob,
			cancelAfter:    oneInFour(randomBetween(2*time.Second, 30*time.Second)),
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
			name: "all controllers away for longer than a lease", machines: 6, jobs: 14, submitInterval: time.Second,
			prepare: runsFor(25 * time.Second), spec: mixedJob, cancelAfter: oneInFour(randomBetween(5*time.Second, 60*time.Second)),
			events:      []faultEvent{crashAllAt(24*time.Second, 38*time.Second)},
			faultsUntil: 65 * time.Second, settleWithin: 5 * time.Minute,
		},
		{
			name:           "new machines at once, late writes, the leader ends",
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
			name: "a leader ends as it rents, new machines at once", machines: 0, maxMachines: 10, jobs: 14, submitInterval: 2 * time.Second,
			prepare: func(cluster *testCluster) {
				cluster.cloud.Types[0].Boot = 1.5
				cluster.onStep = crashAtStep("scale-out answered", 4)(cluster)
			}, spec: mixedJob,
			faultsUntil: 70 * time.Second, settleWithin: 6 * time.Minute,
		},
		{
			name:           "cancelled, asked and repeated at the end of the last task",
			machines:       8,
			maxMachines:    8,
			jobs:           24,
			submitInterval: 700 * time.Millisecond,
			prepare:        func(cluster *testCluster) { runsFor(4 * time.Second)(cluster) },
			spec:           mixedJob,
			cancelAfter:    randomBetween(5*time.Second, 14*time.Second),
			faultsUntil:    30 * time.Second,
			settleWithin:   3 * time.Minute,
		},
		{
			name: "jobs of one zone lose machines", machines: 8, maxMachines: 10, jobs: 12, submitInterval: time.Second,
			prepare: runsFor(20 * time.Second),
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
			}), during(30*time.Second, 50*time.Second, everyNthMachine(3, hangMachine)), crashAt(34*time.Second, currentLeader, restartDelay)),
			faultsUntil: 85 * time.Second, settleWithin: 12 * time.Minute,
		},
		{
			name:           "a zone with workers and a controller is cut off for longer than a lease",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: time.Second,
			prepare:        runsFor(20 * time.Second),
			spec:           mixedJob,
			cancelAfter:    oneInFour(randomBetween(15*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(25*time.Second, 50*time.Second, func(run *faultRun) func() { return run.partitionZone("b", 1) }),
				crashAt(40*time.Second, currentLeader, restartDelay),
			},
			faultsUntil:  80 * time.Second,
			settleWithin: 6 * time.Minute,
		},
		{
			name:           "machines hear nobody while the leader changes",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: time.Second,
			prepare:        runsFor(15 * time.Second),
			spec:           mixedJob,
			cancelAfter:    oneInFour(randomBetween(15*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(20*time.Second, 36*time.Second, everyNthMachine(2, loseResponses)),
				crashAt(25*time.Second, currentLeader, restartDelay),
				crashAllAt(50*time.Second, restartDelay),
			},
			faultsUntil:  65 * time.Second,
			settleWithin: 6 * time.Minute,
		},
		{
			name:           "machines reach no controller while the leader changes",
			machines:       8,
			maxMachines:    8,
			jobs:           14,
			submitInterval: time.Second,
			prepare:        runsFor(15 * time.Second),
			spec:           mixedJob,
			cancelAfter:    oneInFour(randomBetween(15*time.Second, 50*time.Second)),
			events: []faultEvent{
				during(20*time.Second, 36*time.Second, everyNthMachine(2, loseHeartbeats)),
				crashAt(25*time.Second, currentLeader, restartDelay),
				crashAllAt(50*time.Second, restartDelay),
			},
			faultsUntil:  65 * time.Second,
			settleWithin: 6 * time.Minute,
		},
		{
			name:           "odd requests while controllers end",
			machines:       6,
			maxMachines:    8,
			jobs:           10,
			submitInterval: 2 * time.Second,
			spec:           mixedJob,
			cancelAfter:    oneInFour(randomBetween(2*time.Second, 20*time.Second)),
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
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 8 * time.Second, 45 * time.Second} {
		plans = append(plans, &faultPlan{
			name: fmt.Sprintf(
				"reports are held until a new leader begins, and %v more",
				after,
			),
			machines:       8,
			maxMachines:    8,
			jobs:           16,
			submitInterval: 1200 * time.Millisecond,
			prepare:        runsFor(7 * time.Second),
			spec:           mixedJob,
			cancelAfter:    oneInFour(randomBetween(5*time.Second, 30*time.Second)),
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

// repeated is an event so many times.
func repeated(times int, first, every time.Duration, event func(at time.Duration) faultEvent) (out []faultEvent) {
	for i := range times {
		out = append(out, event(first+time.Duration(i)*every))
	}
	return out
}

// crashAtStep ends a controller at a step, and has it back soon, so many times.
func crashAtStep(step string, times int) func(cluster *testCluster) func(i int, step string) {
	return func(cluster *testCluster) func(int, string) {
		return func(i int, now string) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			if now != step || times == 0 || cluster.stopped {
				return
			}
			times--
			ctx := cluster.t.Context()
			cluster.group.Go(func() { // a step is a part of what ends
				cluster.crash(i)
				wait.For(ctx, restartDelay)
				cluster.restart(ctx, i)
			})
		}
	}
}

// sendInvalidRequests asks about jobs that nobody submitted, submits some that can never run, and cancels
// what is done.
func sendInvalidRequests(run *faultRun) {
	never := &wire.JobSpec{Tasks: 1, GPUs: 16}
	fillSpec(never, 900_000)
	nobodys := &wire.JobSpec{Team: "nobody"}
	fillSpec(nobodys, 900_001)
	tooMany := &wire.JobSpec{Team: "capped", Shape: wire.Gang, Tasks: 5}
	fillSpec(tooMany, 900_002)
	for i := range run.size {
		c := run.controller(i)
		if c == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(run.ctx, 5*time.Second)
		for _, spec := range []*wire.JobSpec{never, nobodys, tooMany} {
			if _, _, err := c.Jobs.Submit(ctx, spec); err == nil {
				run.t.Errorf("%s is accepted", spec.ID)
			}
			if _, err := c.Jobs.Status(ctx, spec.ID); err == nil {
				run.t.Errorf("%s is known", spec.ID)
			}
			if _, err := c.Jobs.Cancel(ctx, spec.ID); err == nil || errors.Is(err, server.ErrUnschedulable) {
				run.t.Errorf("%s can be cancelled: %v", spec.ID, err)
			}
		}
		cancel()
		for k := range run.plan.jobs {
			if st := run.finalStatus(jobID(k)); st == wire.Done {
				run.queryController(run.ctx, jobID(k), i, cancelRequest(jobID(k)))
			}
		}
	}
}

// limitChangesPerStart checks how many changes of the state service a started task took, also where what is
// over is moved to the archive at once.
func limitChangesPerStart(most, archived float64) func(run *faultRun) {
	return func(run *faultRun) {
		most := most
		if run.archiving {
			most = archived
		}
		per := float64(run.store.Changed()) / float64(run.world.Starts)
		run.t.Logf("%d changes, %d starts: %.2f each", run.store.Changed(), run.world.Starts, per)
		if per > most {
			run.t.Errorf("%.2f changes for each started task, at most %.2f wanted", per, most)
		}
	}
}

// TestFaultPlans plays each plan by a few seeds, more with HISTORY_SEEDS. No rule is broken, no
// controller ever answers something older than any did before it was asked, and all jobs are over
// soon after the troubles.
func TestFaultPlans(t *testing.T) {
	for _, p := range faultPlans() {
		t.Run(p.name, func(t *testing.T) {
			for seed := range max(2, seedCount()-6) {
				synctest.Test(t, func(t *testing.T) { p.run(t, seed+1) })
			}
		})
	}
}
