package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/clock"
	"maddermill/internal/ledger"
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
		time.Sleep(200 * time.Millisecond)
		h.look()
	}
}

// submit has a job accepted by any controller.
func (h *history) submit(ctx context.Context, s *wire.JobSpec) {
	if s.Class == "" {
		s.Class, s.Team, s.Priority, s.CPUs, s.MemoryGB, s.Image, s.ImageGB, s.Spot, s.Estimate = "c", "free", wire.Normal, 1, 1, "img-0", 2, true, 60
	}
	h.world.Upload(s)
	_, _ = askAny(ctx, h, string(s.ID), func(ctx context.Context, c *Core) (wire.JobStatus, error) {
		st, _, err := c.Users.Submit(ctx, s)
		return st, err
	})
}

// ask asks about a job until it is answered.
func (h *history) ask(ctx context.Context, id wire.JobID) wire.Status {
	st, ok := askAny(ctx, h, string(id), func(ctx context.Context, c *Core) (wire.JobStatus, error) { return c.Users.Status(ctx, id) })
	if ok {
		h.world.Told(id, st.Status)
	}
	return st.Status
}

// attempt is the last attempt of a job's first tasks, and up to which it is to stop, as the
// records have it.
func (h *history) attempt(id wire.JobID) (last, stop wire.Attempt) {
	for i := range h.n {
		if c := h.core(i); c != nil {
			c.mirror.Read(func(l *ledger.Ledger) {
				if j := l.Job(id); j != nil {
					last, stop = max(last, j.Attempt()), max(stop, j.Stop)
				}
			})
		}
	}
	return last, stop
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
					h.reported = func(at int, r *wire.Report) {
						for i := range r.Tasks {
							if r.Tasks[i].Cause != wire.CauseAlone || copies > 0 {
								continue
							}
							copies++
							copied := *r
							h.group.Go(func() {
								to := (at + 1) % h.n
								if where != "another" {
									clock.Sleep(ctx, after/2)
									h.crash(at)
									clock.Sleep(ctx, 200*time.Millisecond)
									h.restart(ctx, at)
									to = at
								}
								clock.Sleep(ctx, after)
								if c := h.core(to); c != nil {
									_ = c.Workers.Report(ctx, &copied)
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
						clock.Sleep(ctx, time.Millisecond+time.Duration(i)*every)
						h.submit(ctx, &wire.JobSpec{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Shape: shape, Tasks: tasks, GPUs: 2})
					})
				}
				h.pass(20 * time.Second)
				deaf := h.cloud.Up()[0].Type.ID
				claimed := func() (n int) {
					h.core(0).mirror.Read(func(l *ledger.Ledger) { n = len(l.HeldBy(deaf)) })
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
					t.Errorf("claimed there in %d of 75 s while deaf, %d tasks done while deaf, %d of 4 tasks begun afterwards", idle, done, h.world.Seen(all.ID))
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
