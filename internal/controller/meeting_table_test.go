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
func runsFor(d time.Duration) func(h *history) {
	return func(h *history) { h.cloud.Run = func(wire.TaskID) time.Duration { return d } }
}

func oneTask(*rand.Rand, int) *wire.JobSpec { return &wire.JobSpec{} }

// mixed are arrays and gangs of some tasks.
func mixed(rng *rand.Rand, i int) *wire.JobSpec {
	s := &wire.JobSpec{Tasks: 1 + rng.IntN(4)}
	if i%3 == 0 {
		s.Shape, s.Priority, s.Tasks = wire.Gang, wire.High, 1+rng.IntN(3)
	}
	return s
}

// inTeams are jobs of two teams.
func inTeams(rng *rand.Rand, i int) *wire.JobSpec {
	s := mixed(rng, i)
	s.Team = []wire.Team{"free", "capped"}[i%2]
	s.Tasks = min(s.Tasks, 3)
	return s
}

// limitAll gives every team a limit of so many accelerators.
func limitAll(gpus float64) func(*settings.Settings) {
	return func(s *settings.Settings) {
		for i := range s.Cluster.Teams {
			s.Cluster.Teams[i].GPUsMax = gpus
		}
	}
}

func between(from, to time.Duration) func(*rand.Rand, int) time.Duration {
	return func(rng *rand.Rand, _ int) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
}

// aQuarter cancels one job in four, at a time as of f.
func aQuarter(f func(*rand.Rand, int) time.Duration) func(*rand.Rand, int) time.Duration {
	return func(rng *rand.Rand, i int) time.Duration {
		if i%4 != 1 {
			return 0
		}
		return f(rng, i)
	}
}

const back = 300 * time.Millisecond // how soon an ended controller is back

// meetingPlans is one plan a meeting, or several where what comes first matters.
func meetingPlans() []*meetingPlan {
	plans := []*meetingPlan{
		{
			name: "users look closely, answers of transactions are lost", machines: 6, jobs: 16, every: 700 * time.Millisecond,
			spec: mixed, cancel: aQuarter(between(0, 8*time.Second)),
			events:   []meetingEvent{during(time.Second, 40*time.Second, lateWrites(2, atOnce))},
			troubled: 45 * time.Second, settled: 3 * time.Minute,
		},
		{
			name:     "more work than room, urgent and not, over slow links",
			machines: 3,
			most:     4,
			jobs:     24,
			every:    300 * time.Millisecond,
			spec: func(rng *rand.Rand, i int) *wire.JobSpec {
				s := mixed(rng, i)
				s.Priority = []wire.Priority{wire.High, wire.Normal, wire.BestEffort}[i%3]
				return s
			},
			cancel: aQuarter(between(10*time.Second, 40*time.Second)),
			events: []meetingEvent{
				during(5*time.Second, 60*time.Second, slowState(700*time.Millisecond)),
				ending(30*time.Second, theLeader, back),
			},
			troubled: 70 * time.Second,
			settled:  12 * time.Minute,
		},
		{
			name:     "one-task jobs four a second, a quarter cancelled",
			machines: 8,
			most:     8,
			jobs:     240,
			every:    250 * time.Millisecond,
			world:    runsFor(2 * time.Second),
			spec:     oneTask,
			cancel:   aQuarter(between(0, 4*time.Second)),
			events:   []meetingEvent{ending(30*time.Second, theLeader, back)},
			troubled: 66 * time.Second,
			settled:  4 * time.Minute,
			holds:    fewChanges(4.6, 7.5),
		},
		{
			name:     "cancelled while one controller's work changes hands",
			machines: 8,
			most:     8,
			jobs:     14,
			every:    50 * time.Millisecond,
			world:    runsFor(4 * time.Minute),
			spec:     mixed,
			cancel:   between(28*time.Second, 36*time.Second),
			events: []meetingEvent{
				ending(36*time.Second, controller(1), 4*time.Second),
				ending(38*time.Second, theLeader, back),
			},
			troubled: 50 * time.Second,
			settled:  2 * time.Minute,
		},
		{
			name:     "cancelled at the moment at which the leader alone is refused, then an outage",
			machines: 8,
			most:     8,
			jobs:     12,
			every:    50 * time.Millisecond,
			world:    runsFor(5 * time.Minute),
			spec:     mixed,
			cancel: func(_ *rand.Rand, i int) time.Duration {
				return 30*time.Second - time.Duration(i)*50*time.Millisecond + time.Duration(i%5-2)*10*time.Millisecond
			},
			events: []meetingEvent{
				during(36*time.Second, 70*time.Second, leaderAlone(false)),
				during(37*time.Second, 75*time.Second, stateOut)},
			troubled: 113 * time.Second,
			settled:  2 * time.Minute,
		},
		{
			name:     "team at its limit, machines mute, leader ends, cancellations",
			machines: 8,
			most:     8,
			jobs:     14,
			every:    100 * time.Millisecond,
			world:    runsFor(25 * time.Second),
			spec:     inTeams,
			cancel:   aQuarter(between(25*time.Second, 50*time.Second)),
			events: []meetingEvent{
				during(24*time.Second, 45*time.Second, someMachines(3, mute)),
				ending(30*time.Second, theLeader, back), ending(38*time.Second, theLeader, 3*time.Second)},
			troubled: 70 * time.Second,
			settled:  10 * time.Minute,
		},
		{
			name:     "every team at its limit, machines hang or are cut off, the leader changes",
			machines: 8,
			most:     8,
			jobs:     16,
			every:    100 * time.Millisecond,
			tune:     limitAll(4),
			spec:     inTeams,
			cancel:   aQuarter(between(20*time.Second, 50*time.Second)),
			world: func(h *history) {
				runsFor(25 * time.Second)(h)
				h.world.TeamMax["free"] = 4
			},
			events: []meetingEvent{
				during(
					22*time.Second,
					40*time.Second,
					someMachines(4, hung),
				),
				during(24*time.Second, 40*time.Second, someMachines(3, mute)),
				ending(30*time.Second, theLeader, back),
				ending(40*time.Second, theLeader, back),
			},
			troubled: 70 * time.Second,
			settled:  12 * time.Minute,
		},
		{
			name:     "ten leaders in two minutes, also in an outage",
			machines: 6,
			jobs:     16,
			every:    6 * time.Second,
			spec:     mixed,
			cancel:   aQuarter(between(2*time.Second, 30*time.Second)),
			events: append(
				repeated(
					10,
					20*time.Second,
					12*time.Second,
					func(at time.Duration) meetingEvent { return ending(at, theLeader, back) },
				),
				during(75*time.Second, 40*time.Second, stateOut),
			),
			troubled: 145 * time.Second,
			settled:  5 * time.Minute,
		},
		{
			name: "all controllers away for longer than a lease", machines: 6, jobs: 14, every: time.Second,
			world: runsFor(25 * time.Second), spec: mixed, cancel: aQuarter(between(5*time.Second, 60*time.Second)),
			events:   []meetingEvent{endingAll(24*time.Second, 38*time.Second)},
			troubled: 65 * time.Second, settled: 5 * time.Minute,
		},
		{
			name:     "new machines at once, late writes, the leader ends",
			machines: 0,
			most:     10,
			jobs:     14,
			every:    2 * time.Second,
			world:    func(h *history) { h.cloud.Types[0].Boot = 1.5 },
			spec:     mixed,
			events: append(
				repeated(
					5,
					12*time.Second,
					9*time.Second,
					func(at time.Duration) meetingEvent { return ending(at, theLeader, back) },
				),
				during(4*time.Second, 50*time.Second, lateWrites(3, seconds)),
			),
			troubled: 70 * time.Second,
			settled:  6 * time.Minute,
		},
		{
			name: "a leader ends as it rents, new machines at once", machines: 0, most: 10, jobs: 14, every: 2 * time.Second,
			world: func(h *history) {
				h.cloud.Types[0].Boot = 1.5
				h.at = endsAt("rental answered", 4)(h)
			}, spec: mixed,
			troubled: 70 * time.Second, settled: 6 * time.Minute,
		},
		{
			name:     "cancelled, asked and repeated at the end of the last task",
			machines: 8,
			most:     8,
			jobs:     24,
			every:    700 * time.Millisecond,
			world:    func(h *history) { runsFor(4 * time.Second)(h) },
			spec:     mixed,
			cancel:   between(5*time.Second, 14*time.Second),
			troubled: 30 * time.Second,
			settled:  3 * time.Minute,
		},
		{
			name: "jobs of one zone lose machines", machines: 8, most: 10, jobs: 12, every: time.Second,
			world: runsFor(20 * time.Second),
			spec: func(rng *rand.Rand, i int) *wire.JobSpec {
				s := mixed(rng, i)
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
			events: append(repeated(4, 20*time.Second, 8*time.Second, func(at time.Duration) meetingEvent {
				return meetingEvent{at, func(m *meetingRun) { m.cloud.Take(1) }}
			}), during(30*time.Second, 50*time.Second, someMachines(3, hung)), ending(34*time.Second, theLeader, back)),
			troubled: 85 * time.Second, settled: 12 * time.Minute,
		},
		{
			name:     "a zone with workers and a controller is cut off for longer than a lease",
			machines: 8,
			most:     8,
			jobs:     14,
			every:    time.Second,
			world:    runsFor(20 * time.Second),
			spec:     mixed,
			cancel:   aQuarter(between(15*time.Second, 50*time.Second)),
			events: []meetingEvent{
				during(25*time.Second, 50*time.Second, func(m *meetingRun) func() { return m.cutZone("b", 1) }),
				ending(40*time.Second, theLeader, back),
			},
			troubled: 80 * time.Second,
			settled:  6 * time.Minute,
		},
		{
			name:     "machines hear nobody while the leader changes",
			machines: 8,
			most:     8,
			jobs:     14,
			every:    time.Second,
			world:    runsFor(15 * time.Second),
			spec:     mixed,
			cancel:   aQuarter(between(15*time.Second, 50*time.Second)),
			events: []meetingEvent{
				during(20*time.Second, 36*time.Second, someMachines(2, deaf)),
				ending(25*time.Second, theLeader, back),
				endingAll(50*time.Second, back),
			},
			troubled: 65 * time.Second,
			settled:  6 * time.Minute,
		},
		{
			name:     "machines reach no controller while the leader changes",
			machines: 8,
			most:     8,
			jobs:     14,
			every:    time.Second,
			world:    runsFor(15 * time.Second),
			spec:     mixed,
			cancel:   aQuarter(between(15*time.Second, 50*time.Second)),
			events: []meetingEvent{
				during(20*time.Second, 36*time.Second, someMachines(2, mute)),
				ending(25*time.Second, theLeader, back),
				endingAll(50*time.Second, back),
			},
			troubled: 65 * time.Second,
			settled:  6 * time.Minute,
		},
		{
			name:     "odd requests while controllers end",
			machines: 6,
			most:     8,
			jobs:     10,
			every:    2 * time.Second,
			spec:     mixed,
			cancel:   aQuarter(between(2*time.Second, 20*time.Second)),
			events: append(
				repeated(
					8,
					9*time.Second,
					5*time.Second,
					func(at time.Duration) meetingEvent { return meetingEvent{at, oddRequests} },
				),
				ending(20*time.Second, theLeader, back),
				endingAll(35*time.Second, time.Second),
			),
			troubled: 55 * time.Second,
			settled:  4 * time.Minute,
		},
	}
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 8 * time.Second, 45 * time.Second} {
		plans = append(plans, &meetingPlan{
			name: fmt.Sprintf(
				"reports are held until a new leader begins, and %v more",
				after,
			),
			machines: 8,
			most:     8,
			jobs:     16,
			every:    1200 * time.Millisecond,
			world:    runsFor(7 * time.Second),
			spec:     mixed,
			cancel:   aQuarter(between(5*time.Second, 30*time.Second)),
			events: []meetingEvent{
				heldReports(8*time.Second, 25*time.Second, after),
				ending(32*time.Second, theLeader, back),
			},
			troubled: 95 * time.Second,
			settled:  4 * time.Minute,
		})
	}
	return plans
}

// repeated is an event so many times.
func repeated(times int, first, every time.Duration, event func(at time.Duration) meetingEvent) (out []meetingEvent) {
	for i := range times {
		out = append(out, event(first+time.Duration(i)*every))
	}
	return out
}

// endsAt ends a controller at a step, and has it back soon, so many times.
func endsAt(step string, times int) func(h *history) func(i int, step string) {
	return func(h *history) func(int, string) {
		return func(i int, now string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if now != step || times == 0 || h.over {
				return
			}
			times--
			ctx := h.t.Context()
			h.group.Go(func() { // a step is a part of what ends
				h.crash(i)
				wait.For(ctx, back)
				h.restart(ctx, i)
			})
		}
	}
}

// oddRequests asks about jobs that nobody submitted, submits some that can never run, and cancels
// what is done.
func oddRequests(m *meetingRun) {
	never := &wire.JobSpec{Tasks: 1, GPUs: 16}
	fill(never, 900_000)
	nobodys := &wire.JobSpec{Team: "nobody"}
	fill(nobodys, 900_001)
	tooMany := &wire.JobSpec{Team: "capped", Shape: wire.Gang, Tasks: 5}
	fill(tooMany, 900_002)
	for i := range m.n {
		c := m.core(i)
		if c == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, 5*time.Second)
		for _, spec := range []*wire.JobSpec{never, nobodys, tooMany} {
			if _, _, err := c.Jobs.Submit(ctx, spec); err == nil {
				m.t.Errorf("%s is accepted", spec.ID)
			}
			if _, err := c.Jobs.Status(ctx, spec.ID); err == nil {
				m.t.Errorf("%s is known", spec.ID)
			}
			if _, err := c.Jobs.Cancel(ctx, spec.ID); err == nil || errors.Is(err, server.ErrUnschedulable) {
				m.t.Errorf("%s can be cancelled: %v", spec.ID, err)
			}
		}
		cancel()
		for k := range m.plan.jobs {
			if st := m.finalOf(jobID(k)); st == wire.Done {
				m.askAt(m.ctx, jobID(k), i, cancellation(jobID(k)))
			}
		}
	}
}

// fewChanges checks how many changes of the state service a started task took, also where what is
// over is moved to the archive at once.
func fewChanges(most, archived float64) func(m *meetingRun) {
	return func(m *meetingRun) {
		most := most
		if m.past {
			most = archived
		}
		per := float64(m.store.Changed()) / float64(m.world.Starts)
		m.t.Logf("%d changes, %d starts: %.2f each", m.store.Changed(), m.world.Starts, per)
		if per > most {
			m.t.Errorf("%.2f changes for each started task, at most %.2f wanted", per, most)
		}
	}
}

// TestMeetings plays each plan by a few seeds, more with HISTORY_SEEDS. No rule is broken, no
// controller ever answers something older than any did before it was asked, and all jobs are over
// soon after the troubles.
func TestMeetings(t *testing.T) {
	for _, p := range meetingPlans() {
		t.Run(p.name, func(t *testing.T) {
			for seed := range max(2, seeds()-6) {
				synctest.Test(t, func(t *testing.T) { p.play(t, seed+1) })
			}
		})
	}
}
