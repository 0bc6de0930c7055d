package controller

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/settings"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// outageOverlap is a history in which the state service refuses the leader alone, other controllers tell
// users of cancellations, and then the state service is down for all for longer than a
// cancellation may take, while workers report to the old leader.
type outageOverlap struct {
	seed        uint64
	controllers int             // controllers
	timing      [3]wire.Seconds // between reports, of workers' leases, of cancellations
	mesh        string          // what of it works: "whole"; "cut": not to the old leader; "lost": with the state service
	outageAfter time.Duration   // after the refusal began
	refusedFor  time.Duration   // how long
	repeat      bool            // all of it comes once more, 20 s after the state service is back
	afterCancel string          // to who told: "", "restart" at once, "restart in it": in the outage, "reload": its records anew
	storeDelay  time.Duration   // that answers of the state service take before the outage
}

func (g outageOverlap) String() string {
	return fmt.Sprintf(
		"%d controllers, times %v, mesh %s, outage after %v, refused for %v, twice %v, then %q, slow %v, seed %d",
		g.controllers,
		g.timing,
		g.mesh,
		g.outageAfter,
		g.refusedFor,
		g.repeat,
		g.afterCancel,
		g.storeDelay,
		g.seed,
	)
}

// run plays the gap and returns how many cancellations were told.
func (g outageOverlap) run(t *testing.T) (told int) {
	cluster := newTestClusterOf(t, g.seed, g.controllers, func(s *settings.Settings) {
		w := &s.Cluster.Workers
		w.Report, w.Lease, w.Cancel = g.timing[0], g.timing[1], g.timing[2]
	})
	cluster.reliableMessages, cluster.archiving = true, g.seed%2 == 0
	cluster.cloud.Lease = time.Duration(float64(g.timing[1].Duration()) * 1.0005) // by a clock that is late
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return 10 * time.Minute }
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 8, 0)
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
		cluster.group.Go(func() { cluster.submit(ctx, s) })
	}
	cluster.advance(40 * time.Second)
	for round := range 2 {
		if round == 1 && !g.repeat {
			break
		}
		old := cluster.leader()
		endAlone := cluster.isolate(old, g.mesh == "cut")
		for _, l := range cluster.links {
			l.SetSlow(g.storeDelay)
		}
		// Half of the jobs are cancelled, some just before the refusal, most within it.
		for k, s := range jobs[6*round : 6*round+6] {
			cluster.group.Go(func() {
				wait.For(ctx, time.Millisecond+time.Duration(k)*g.outageAfter/5)
				by, ok := cluster.cancelElsewhere(ctx, s.ID, old)
				if !ok {
					return
				}
				cluster.mu.Lock()
				told++
				cluster.mu.Unlock()
				switch g.afterCancel {
				case "restart":
					cluster.crash(by)
					wait.For(ctx, 300*time.Millisecond)
					cluster.restart(ctx, by)
				case "restart in it":
					wait.For(ctx, g.outageAfter+10*time.Second)
					cluster.crash(by)
					wait.For(ctx, 300*time.Millisecond)
					cluster.restart(ctx, by)
				case "reload":
					cluster.store.Forget()
				}
			})
		}
		cluster.advance(g.outageAfter)
		over := cluster.storeOutage()
		endMesh := func() {}
		if g.mesh == "lost" {
			cluster.mu.Lock()
			for i := range cluster.meshCut {
				cluster.meshCut[i] = true
			}
			cluster.mu.Unlock()
			endMesh = func() {
				cluster.mu.Lock()
				clear(cluster.meshCut)
				cluster.mu.Unlock()
			}
		}
		cluster.advance(max(0, g.refusedFor-g.outageAfter))
		cluster.advance(cluster.world.CancelS + 12*time.Second - max(0, g.refusedFor-g.outageAfter))
		endAlone()
		endMesh()
		over()
		for _, l := range cluster.links {
			l.SetSlow(0)
		}
		cluster.advance(20 * time.Second)
	}
	cluster.shutDown(cancel)
	if g.mesh == "whole" && g.afterCancel == "" && cluster.world.Lapsed > 0 {
		t.Errorf("%v: %d tasks were lost with their leases, though peers could tell what is cancelled", g, cluster.world.Lapsed)
	}
	for _, b := range cluster.world.Broken {
		t.Errorf("%v: broken: %s", g, b)
	}
	return told
}

// deploymentTimings are the times of reports, leases and cancellations that operators have stated.
var deploymentTimings = [][3]wire.Seconds{{3, 30, 60}, {3, 36, 61}, {5, 30, 60}, {5, 36, 61}, {8, 45, 65}}

// TestCancellationsAcrossOverlappingOutages sweeps the gap over what the mesh does, when the outage begins, what
// becomes of who told, and the times of all deployments. Whoever answers the workers, a cancelled
// job's tasks are gone within the time of a cancellation, and where the old leader still reaches
// those who told, all else goes on. Without the bound on answering out of touch
// (settings.ReportGrace) it fails, and without noting what peers list as cancelled. With HISTORY_SEEDS above the usual all of the sweep is
// played, else a part that takes in each value.
func TestCancellationsAcrossOverlappingOutages(t *testing.T) {
	var all []outageOverlap
	for _, n := range []int{3, 7} {
		for _, times := range deploymentTimings {
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
							outageOverlap{
								seed:        uint64(k + 1),
								controllers: n,
								timing:      times,
								mesh:        mesh,
								outageAfter: outage,
								refusedFor:  14 * time.Second,
								repeat:      k%3 == 0,
								afterCancel: then,
								storeDelay:  slow,
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
		synctest.Test(t, func(t *testing.T) { told += all[k].run(t) })
		played++
	}
	t.Logf("%d gaps, %d cancellations told", played, told)
	if told < 4*played {
		t.Errorf("%d cancellations told in %d gaps", told, played)
	}
}
