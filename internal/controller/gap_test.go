package controller

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// gap is a history in which the state service refuses the leader alone, other controllers tell
// users of cancellations, and then the state service is down for all for longer than a
// cancellation may take, while workers report to the old leader.
type gap struct {
	seed    uint64
	n       int             // controllers
	times   [3]wire.Seconds // between reports, of workers' leases, of cancellations
	mesh    string          // what of it works: "whole"; "cut": not to the old leader; "lost": with the state service
	outage  time.Duration   // after the refusal began
	refused time.Duration   // how long
	twice   bool            // all of it comes once more, 20 s after the state service is back
	then    string          // to who told: "", "restart" at once, "restart in it": in the outage, "reload": its records anew
	slow    time.Duration   // that answers of the state service take before the outage
}

func (g gap) String() string {
	return fmt.Sprintf(
		"%d controllers, times %v, mesh %s, outage after %v, refused for %v, twice %v, then %q, slow %v, seed %d",
		g.n,
		g.times,
		g.mesh,
		g.outage,
		g.refused,
		g.twice,
		g.then,
		g.slow,
		g.seed,
	)
}

// play plays the gap and returns how many cancellations were told.
func (g gap) play(t *testing.T) (told int) {
	h := newHistoryOf(t, g.seed, g.n, func(s *settings.Settings) {
		w := &s.Cluster.Workers
		w.Report, w.Lease, w.Cancel = g.times[0], g.times[1], g.times[2]
	})
	h.calm, h.past = true, g.seed%2 == 0
	h.cloud.Lease = time.Duration(float64(g.times[1].Duration()) * 1.0005) // by a clock that is late
	h.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Minute }
	ctx, cancel := context.WithCancel(t.Context())
	h.begin(ctx, 8, 0)
	var jobs []*wire.JobSpec
	for i := range 12 {
		s := &wire.JobSpec{
			ID:       wire.JobID(fmt.Sprintf("wk-%06d", i)),
			Class:    "c",
			Team:     "free",
			Shape:    wire.Array,
			Priority: wire.Normal,
			Tasks:    1 + i%2,
			CPUs:     1,
			GPUs:     1,
			MemoryGB: 1,
			Image:    "img-0",
			ImageGB:  2,
			Spot:     true,
			Estimate: 600,
		}
		if i%4 == 3 {
			s.Shape = wire.Gang
		}
		if i%3 == 1 {
			s.Checkpoint, s.Save = 5, 2
		}
		jobs = append(jobs, s)
		h.group.Go(func() { h.submit(ctx, s) })
	}
	h.pass(40 * time.Second)
	for round := range 2 {
		if round == 1 && !g.twice {
			break
		}
		old := h.leading()
		endAlone := h.alone(old, g.mesh == "cut")
		for _, l := range h.links {
			l.SetSlow(g.slow)
		}
		// Half of the jobs are cancelled, some just before the refusal, most within it.
		for k, s := range jobs[6*round : 6*round+6] {
			h.group.Go(func() {
				wait.For(ctx, time.Millisecond+time.Duration(k)*g.outage/5)
				by, ok := h.cancelAt(ctx, s.ID, old)
				if !ok {
					return
				}
				h.mu.Lock()
				told++
				h.mu.Unlock()
				switch g.then {
				case "restart":
					h.crash(by)
					wait.For(ctx, 300*time.Millisecond)
					h.restart(ctx, by)
				case "restart in it":
					wait.For(ctx, g.outage+10*time.Second)
					h.crash(by)
					wait.For(ctx, 300*time.Millisecond)
					h.restart(ctx, by)
				case "reload":
					h.store.Forget()
				}
			})
		}
		h.pass(g.outage)
		over := h.outage()
		endMesh := func() {}
		if g.mesh == "lost" {
			h.mu.Lock()
			for i := range h.cut {
				h.cut[i] = true
			}
			h.mu.Unlock()
			endMesh = func() {
				h.mu.Lock()
				clear(h.cut)
				h.mu.Unlock()
			}
		}
		h.pass(max(0, g.refused-g.outage))
		h.pass(h.world.CancelS + 12*time.Second - max(0, g.refused-g.outage))
		endAlone()
		endMesh()
		over()
		for _, l := range h.links {
			l.SetSlow(0)
		}
		h.pass(20 * time.Second)
	}
	h.finish(cancel)
	if g.mesh == "whole" && g.then == "" && h.world.Lapsed > 0 {
		t.Errorf("%v: %d tasks were lost with their leases, though peers could tell what is cancelled", g, h.world.Lapsed)
	}
	for _, b := range h.world.Broken {
		t.Errorf("%v: broken: %s", g, b)
	}
	return told
}

// leading is the fleet's leader, or the first controller if there is none.
func (h *history) leading() int {
	at, _ := h.leadership()
	return max(0, at)
}

// leadership is the fleet's leader and the revision of its record, as the newest records that a
// controller has tell; -1: nobody leads.
func (h *history) leadership() (at int, since wire.Revision) {
	at = -1
	for i := range h.n {
		if c := h.core(i); c != nil {
			c.cache.Read(func(l *ledger.Ledger) {
				if r, v := l.Leader(); v > since {
					since = v
					fmt.Sscanf(string(r.Member), "m-%d", &at)
				}
			})
		}
	}
	return at, since
}

// restart starts a controller unless it runs.
func (h *history) restart(ctx context.Context, i int) {
	if ctx.Err() == nil && h.core(i) == nil {
		h.startCore(ctx, i)
	}
}

// cancelAt asks controllers other than one to cancel a job, each in turn, until one tells that it
// is cancelled, and which.
func (h *history) cancelAt(ctx context.Context, id wire.JobID, except int) (by int, ok bool) {
	for ctx.Err() == nil {
		for k := range h.n {
			c := h.core(k)
			if k == except || c == nil {
				continue
			}
			one, end := context.WithTimeout(ctx, 4*time.Second)
			st, err := c.Jobs.Cancel(one, id)
			end()
			if err == nil && st.Status == wire.Cancelled && h.core(k) == c {
				h.world.Told(id, wire.Cancelled)
				return k, true
			}
			if err != nil && errors.Is(err, context.Canceled) {
				return 0, false
			}
		}
		wait.For(ctx, 300*time.Millisecond)
	}
	return 0, false
}

// deployments are the times of reports, leases and cancellations that operators have stated.
var deployments = [][3]wire.Seconds{{3, 30, 60}, {3, 36, 61}, {5, 30, 60}, {5, 36, 61}, {8, 45, 65}}

// TestCancellationsInTheGap sweeps the gap over what the mesh does, when the outage begins, what
// becomes of who told, and the times of all deployments. Whoever answers the workers, a cancelled
// job's tasks are gone within the time of a cancellation, and where the old leader still reaches
// those who told, all else goes on. Without the bound on answering out of touch
// (settings.ReportGrace) it fails, and without noting what peers list as cancelled. With HISTORY_SEEDS above the usual all of the sweep is
// played, else a part that takes in each value.
func TestCancellationsInTheGap(t *testing.T) {
	var all []gap
	for _, n := range []int{3, 7} {
		for _, times := range deployments {
			for _, mesh := range []string{"whole", "cut", "lost"} {
				for _, outage := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 9 * time.Second, 25 * time.Second} {
					for _, then := range []string{"", "restart", "restart in it", "reload"} {
						k := len(all)
						slow := time.Duration(0)
						if k%5 == 4 {
							slow = time.Duration(k%7) * 100 * time.Millisecond
						}
						all = append(
							all,
							gap{
								seed:    uint64(k + 1),
								n:       n,
								times:   times,
								mesh:    mesh,
								outage:  outage,
								refused: 14 * time.Second,
								twice:   k%3 == 0,
								then:    then,
								slow:    slow,
							},
						)
					}
				}
			}
		}
	}
	told, step := 0, 17 // prime to all of the sweep's lengths
	if os.Getenv("HISTORY_SEEDS") != "" {
		step = 1
	}
	played := 0
	for k := 0; k < len(all); k += step {
		synctest.Test(t, func(t *testing.T) { told += all[k].play(t) })
		played++
	}
	t.Logf("%d gaps, %d cancellations told", played, told)
	if told < 4*played {
		t.Errorf("%d cancellations told in %d gaps", told, played)
	}
}
