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
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// pipelineShapes are the dependencies of the jobs of a pipeline, by their places in it.
var pipelineShapes = [][][]int{
	{nil, {0}, {1}, {2}},                    // chain
	{nil, {0}, {0}, {1, 2}},                 // diamond
	{nil, nil, nil, {0, 1, 2}},              // fan-in
	{nil, {0}, {0}, {0}},                    // fan-out
	{nil, {0}, {0, 1}, {1}, {2, 3}, {0, 4}}, // all together
}

// pipelineResult is how the jobs of a pipeline ended for its user.
type pipelineResult struct {
	ids      []wire.JobID
	statuses []wire.Status
	cancels  int // which job was cancelled; -1: none
}

// runPipeline submits the jobs of a pipeline, each as soon as those that it needs are accepted, perhaps cancels
// one of them, and follows all to their ends.
func (cluster *testCluster) runPipeline(ctx context.Context, number int, shape [][]int, late bool) pipelineResult {
	result := pipelineResult{cancels: -1, statuses: make([]wire.Status, len(shape))}
	if cluster.randomInt(3) == 0 {
		result.cancels = cluster.randomInt(len(shape))
	}
	cancelAfter := time.Duration(1+cluster.randomInt(60)) * time.Second
	var following sync.WaitGroup
	for i, needs := range shape {
		spec := cluster.randomSpec(1000 + 10*number + i)
		spec.Tasks = min(spec.Tasks, 8)
		for _, need := range needs {
			spec.Dependencies = append(spec.Dependencies, result.ids[need])
		}
		result.ids = append(result.ids, spec.ID)
		if late && i == len(shape)-1 {
			following.Wait() // the last is submitted when the others are over
		}
		cluster.world.Upload(spec)
		cluster.queryAny(ctx, spec.ID, submitRequest(spec))
		cluster.queryAll(ctx, spec)
		following.Go(func() {
			if i == result.cancels {
				wait.For(ctx, cancelAfter)
				cluster.queryAny(ctx, spec.ID, cancelRequest(spec.ID))
			}
			result.statuses[i] = cluster.followJob(ctx, spec)
		})
	}
	following.Wait()
	return result
}

// followJob polls a job until it is over, and once more at all controllers.
func (cluster *testCluster) followJob(ctx context.Context, spec *wire.JobSpec) (status wire.Status) {
	for ctx.Err() == nil && rank(status) != 2 {
		wait.For(ctx, 5*time.Second)
		status = cluster.queryStatus(ctx, spec.ID)
	}
	cluster.queryAll(ctx, spec)
	return status
}

// checkPipeline checks that a job is cancelled if and only if it or one that it needs was told to be: a
// cancellation that found its job done changes nothing.
func (cluster *testCluster) checkPipeline(shape [][]int, result pipelineResult) {
	for i, needs := range shape {
		if rank(result.statuses[i]) != 2 {
			continue // the run ended before
		}
		cancelled := i == result.cancels && result.statuses[i] == wire.Cancelled
		for _, need := range needs {
			cancelled = cancelled || result.statuses[need] == wire.Cancelled
		}
		if (result.statuses[i] == wire.Cancelled) != cancelled {
			cluster.t.Errorf("seed %d: %s, which needs %v of %v: got %s, want cancelled %v",
				cluster.seed, result.ids[i], needs, result.statuses, result.statuses[i], cancelled)
		}
	}
}

// pipelineHistory is how long a history takes. Pipelines begin in its first quarter and faults in the first two,
// so that all are to end.
const pipelineHistory = 30 * time.Minute

// runPipelineHistory plays random pipelines beside random jobs, with faults, and returns how many pipelines
// ended.
func (cluster *testCluster) runPipelineHistory(length time.Duration, pipelines int) (ended int) {
	cluster.onStart = func(ctx context.Context) {
		for number := range pipelines {
			shape := pipelineShapes[cluster.randomInt(len(pipelineShapes))]
			late := cluster.randomInt(4) == 0
			after := time.Duration(cluster.randomInt(int(length/time.Second)/4)) * time.Second
			cluster.group.Go(func() {
				wait.For(ctx, time.Millisecond+after)
				result := cluster.runPipeline(ctx, number, shape, late)
				cluster.checkPipeline(shape, result)
				cluster.mu.Lock()
				defer cluster.mu.Unlock()
				if ctx.Err() == nil {
					ended++
				}
			})
		}
	}
	cluster.run(length, 10, 0.03)
	cluster.checkArchive()
	cluster.reportViolations()
	return ended
}

// TestPipelineHistories plays seeded histories of pipelines with random faults, lost and late messages, and
// an archive that takes finished jobs at once. No task starts before what its job needs is done (too_early),
// no job stays queued once its ancestor is cancelled (orphaned), none is cancelled without, and what users
// were told stays.
func TestPipelineHistories(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= seedCount(); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, seed)
				cluster.archiving, cluster.duplicateMessages = seed%3 != 0, seed%2 == 0
				if ended := cluster.runPipelineHistory(pipelineHistory, 10); ended < 10 {
					t.Errorf("got %d of 10 pipelines ended, want all", ended)
				}
			})
		})
	}
}

// TestPipelinesWhileTheLimitsFall plays pipelines while the state service comes to take smaller values and
// transactions, at several moments.
func TestPipelinesWhileTheLimitsFall(t *testing.T) {
	t.Parallel()
	valueKB, txnOps := 2.0, 4
	lower := func(set *settings.Settings) {
		set.Cluster.State.Next = &settings.NextStateLimits{ValueKB: &valueKB, TxnOps: &txnOps}
	}
	for seed, at := range []time.Duration{time.Second, 20 * time.Second, 2 * time.Minute} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestClusterOf(t, uint64(50+seed), 3, lower)
				usual := newTestSettings(t, 0).CurrentStateLimits()
				cluster.store.SetLimits(usual.TxnOps, usual.ValueBytes)
				time.AfterFunc(at, func() { cluster.store.SetLimits(txnOps, int(valueKB*1024)) })
				if ended := cluster.runPipelineHistory(pipelineHistory, 8); ended < 8 {
					t.Errorf("got %d of 8 pipelines ended, want all", ended)
				}
			})
		})
	}
}

// pipelineCluster starts a quiet cluster in which tasks run for run, and waits until it serves pipelines.
func pipelineCluster(t *testing.T, run time.Duration) (*testCluster, context.Context, context.CancelFunc) {
	t.Helper()
	cluster := newQuietCluster(t, 5)
	cluster.archiving = true
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return run }
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 4, 0)
	cluster.advance(15 * time.Second)
	return cluster, ctx, cancel
}

// submitChain submits jobs of one task, each of which needs the one before.
func (cluster *testCluster) submitChain(ctx context.Context, from, length int) (specs []*wire.JobSpec) {
	for i := range length {
		spec := &wire.JobSpec{ID: jobID(from + i), Shape: wire.Array, Tasks: 1}
		if i > 0 {
			spec.Dependencies = []wire.JobID{jobID(from + i - 1)}
		}
		cluster.submit(ctx, spec)
		specs = append(specs, spec)
	}
	return specs
}

// expectStatus reports a job that has another status at any controller.
func (cluster *testCluster) expectStatus(ctx context.Context, id wire.JobID, want wire.Status) {
	cluster.t.Helper()
	for at := range cluster.size {
		if got, answered := cluster.queryController(ctx, id, at, statusRequest(id)); !answered || got != want {
			cluster.t.Errorf("%s at m-%d: got %q, answered %v, want %s", id, at, got, answered, want)
		}
	}
}

// TestDependencyDoneAsTheLeaderEnds: the last job that another needs is done in the moments in which the leader
// ends. The dependent starts under the next one, and not before.
func TestDependencyDoneAsTheLeaderEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx, cancel := pipelineCluster(t, 10*time.Second)
		specs := cluster.submitChain(ctx, 0, 3)
		for i := range specs {
			for !cluster.doneOnRecord(specs[i].ID) {
				cluster.advance(100 * time.Millisecond)
			}
			at := cluster.leader()
			cluster.crash(at)
			cluster.advance(200 * time.Millisecond)
			cluster.startController(ctx, at)
			cluster.advance(20 * time.Second)
		}
		cluster.advance(40 * time.Second)
		for _, spec := range specs {
			cluster.expectStatus(ctx, spec.ID, wire.Done)
		}
		cluster.shutDownAndCheck(cancel)
	})
}

// TestCascadeDuringALongOutage: the first job of a chain is cancelled, and the state service is out for longer
// than cancel_s from then on. Whatever answers comes, no job of the chain is called queued after cancel_s, and
// all are cancelled in their own records afterwards, also in the archive.
func TestCascadeDuringALongOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx, cancel := pipelineCluster(t, 10*time.Minute)
		specs := cluster.submitChain(ctx, 0, 5)
		cluster.advance(10 * time.Second)
		if got := cluster.queryAny(ctx, specs[0].ID, cancelRequest(specs[0].ID)); got != wire.Cancelled {
			t.Fatalf("cancellation: got %s, want cancelled", got)
		}
		end := cluster.storeOutage()
		outage := cluster.settings(0).Cluster.Workers.Cancel.Duration() + 20*time.Second
		for until := time.Now().Add(outage); time.Now().Before(until); {
			for _, spec := range specs[1:] {
				cluster.queryController(ctx, spec.ID, cluster.randomInt(cluster.size), statusRequest(spec.ID))
			}
			cluster.advance(2 * time.Second)
		}
		end()
		cluster.advance(20 * time.Second)
		for _, spec := range specs {
			cluster.expectStatus(ctx, spec.ID, wire.Cancelled)
		}
		cluster.advance(time.Minute)
		cluster.controller(0).cache.Read(func(l *ledger.Ledger) {
			for id := range l.AncestorCancelledJobs() {
				t.Errorf("%s: got its own record still active, want cancelled", id)
			}
		})
		cluster.shutDownAndCheck(cancel)
	})
}

// TestSubmissionNamesArchivedJobs: jobs are archived and then named, by submissions to all controllers and
// while all of them start again. A done one is no reason to wait, a cancelled one cancels, and one that was
// never accepted is refused for good.
func TestSubmissionNamesArchivedJobs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx, cancel := pipelineCluster(t, 5*time.Second)
		cluster.submitChain(ctx, 0, 1)
		cluster.submitChain(ctx, 1, 1)
		cluster.queryAny(ctx, jobID(1), cancelRequest(jobID(1)))
		for n := 100; n < 120; n++ { // so that the first leave the records
			cluster.submitChain(ctx, n, 1)
		}
		cluster.advance(90 * time.Second)
		cluster.controller(0).cache.Read(func(l *ledger.Ledger) {
			if _, onRecord := l.FinalRecordOf(jobID(0)); onRecord {
				t.Error("got the first job still on record, want it archived")
			}
		})
		for i := range cluster.size {
			cluster.crash(i)
		}
		cluster.advance(time.Second)
		for i := range cluster.size {
			cluster.startController(ctx, i)
		}
		for n, dependency := range []wire.JobID{jobID(0), jobID(1)} {
			spec := &wire.JobSpec{ID: jobID(10 + n), Shape: wire.Array, Tasks: 1, Dependencies: []wire.JobID{dependency}}
			cluster.submit(ctx, spec)
		}
		unknown := &wire.JobSpec{ID: jobID(12), Shape: wire.Array, Tasks: 1, Dependencies: []wire.JobID{jobID(999)}}
		*unknown = cluster.filledIn(*unknown)
		for i := range cluster.size {
			if _, _, err := cluster.controller(i).Jobs.Submit(ctx, unknown); !errors.Is(err, server.ErrUnschedulable) {
				t.Errorf("m-%d: a job that names one never accepted: got error %v, want ErrUnschedulable", i, err)
			}
		}
		cluster.advance(40 * time.Second)
		cluster.expectStatus(ctx, jobID(10), wire.Done)
		cluster.expectStatus(ctx, jobID(11), wire.Cancelled)
		cluster.shutDownAndCheck(cancel)
	})
}

// doneOnRecord reports whether a job is done by the records of any controller that is up.
func (cluster *testCluster) doneOnRecord(id wire.JobID) (done bool) {
	for i := range cluster.size {
		if c := cluster.controller(i); c != nil {
			c.cache.Read(func(l *ledger.Ledger) {
				final, over := l.FinalRecordOf(id)
				done = done || over && final.State == ledger.Done
			})
			if _, archived := c.archiver.CachedFinal(id); archived {
				done = true
			}
		}
	}
	return done
}
