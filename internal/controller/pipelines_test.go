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

// pipelineShapes are the dependency graphs of pipelines: for each job the indexes of its dependencies.
var pipelineShapes = [][][]int{
	{nil, {0}, {1}, {2}},                    // chain
	{nil, {0}, {0}, {1, 2}},                 // diamond
	{nil, nil, nil, {0, 1, 2}},              // fan-in
	{nil, {0}, {0}, {0}},                    // fan-out
	{nil, {0}, {0, 1}, {1}, {2, 3}, {0, 4}}, // combination of all
}

// pipelineResult holds the final statuses of the jobs of a pipeline, as its user saw them.
type pipelineResult struct {
	ids         []wire.JobID
	statuses    []wire.Status
	cancelIndex int // index of the job that the user cancelled; -1: none
}

// runPipeline submits the jobs of a pipeline, each as soon as its dependencies are accepted, perhaps cancels
// one of them, and polls all until they end. With late the last job is submitted after the others have ended.
func (cluster *testCluster) runPipeline(ctx context.Context, number int, shape [][]int, late bool) pipelineResult {
	result := pipelineResult{cancelIndex: -1, statuses: make([]wire.Status, len(shape))}
	if cluster.randomInt(3) == 0 {
		result.cancelIndex = cluster.randomInt(len(shape))
	}
	cancelAfter := time.Duration(1+cluster.randomInt(60)) * time.Second
	var polls sync.WaitGroup
	for i, dependencies := range shape {
		spec := cluster.randomSpec(1000 + 10*number + i)
		spec.Tasks = min(spec.Tasks, 8)
		for _, dependency := range dependencies {
			spec.Dependencies = append(spec.Dependencies, result.ids[dependency])
		}
		result.ids = append(result.ids, spec.ID)
		if late && i == len(shape)-1 {
			polls.Wait()
		}
		cluster.world.Upload(spec)
		cluster.queryAny(ctx, spec.ID, submitRequest(spec))
		cluster.queryAll(ctx, spec)
		polls.Go(func() {
			if i == result.cancelIndex {
				wait.For(ctx, cancelAfter)
				cluster.queryAny(ctx, spec.ID, cancelRequest(spec.ID))
			}
			result.statuses[i] = cluster.pollUntilFinal(ctx, spec)
		})
	}
	polls.Wait()
	return result
}

// pollUntilFinal polls a job until its status is final, and then queries all controllers.
func (cluster *testCluster) pollUntilFinal(ctx context.Context, spec *wire.JobSpec) (status wire.Status) {
	for ctx.Err() == nil && rank(status) != 2 {
		wait.For(ctx, 5*time.Second)
		status = cluster.queryStatus(ctx, spec.ID)
	}
	cluster.queryAll(ctx, spec)
	return status
}

// checkPipeline checks that a job is cancelled if and only if its user cancelled it or one of its dependencies
// is cancelled. Cancelling a job that is already done has no effect.
func (cluster *testCluster) checkPipeline(shape [][]int, result pipelineResult) {
	for i, dependencies := range shape {
		if rank(result.statuses[i]) != 2 {
			continue // the run ended first
		}
		cancelled := i == result.cancelIndex && result.statuses[i] == wire.Cancelled
		for _, dependency := range dependencies {
			cancelled = cancelled || result.statuses[dependency] == wire.Cancelled
		}
		if (result.statuses[i] == wire.Cancelled) != cancelled {
			cluster.t.Errorf("seed %d: %s, which depends on jobs %v of %v: got %s, want cancelled %v",
				cluster.seed, result.ids[i], dependencies, result.statuses, result.statuses[i], cancelled)
		}
	}
}

// pipelineHistoryLength is the length of a pipeline history. Pipelines start in its first quarter and faults in
// its first two thirds, so that all pipelines have time to end.
const pipelineHistoryLength = 30 * time.Minute

// runPipelineHistory runs random pipelines alongside random jobs, with faults, and returns how many pipelines
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

// TestPipelineHistories runs seeded histories of pipelines with random faults, lost and delayed messages, and
// in two of three seeds an archive that takes finished jobs at once. No task may start before the dependencies
// of its job are done (too_early), no job may stay queued once an ancestor is cancelled (orphaned), no job may
// be cancelled unless it or an ancestor was, and no status that a user saw may be taken back.
func TestPipelineHistories(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= seedCount(); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, seed)
				cluster.archiving, cluster.duplicateMessages = seed%3 != 0, seed%2 == 0
				if ended := cluster.runPipelineHistory(pipelineHistoryLength, 10); ended < 10 {
					t.Errorf("got %d of 10 pipelines ended, want all", ended)
				}
			})
		})
	}
}

// TestPipelinesUnderLoweredStateLimits runs pipelines while the state service lowers its limits on the size of
// values and transactions, at different times of the run.
func TestPipelinesUnderLoweredStateLimits(t *testing.T) {
	t.Parallel()
	valueKB, txnOps := 2.0, 4
	lower := func(set *settings.Settings) {
		set.Cluster.State.Next = &settings.NextStateLimits{ValueKB: &valueKB, TxnOps: &txnOps}
	}
	for seed, at := range []time.Duration{time.Second, 20 * time.Second, 2 * time.Minute} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestClusterOf(t, uint64(50+seed), 3, lower)
				initial := newTestSettings(t, 0).CurrentStateLimits()
				cluster.store.SetLimits(initial.TxnOps, initial.ValueBytes)
				time.AfterFunc(at, func() { cluster.store.SetLimits(txnOps, int(valueKB*1024)) })
				if ended := cluster.runPipelineHistory(pipelineHistoryLength, 8); ended < 8 {
					t.Errorf("got %d of 8 pipelines ended, want all", ended)
				}
			})
		})
	}
}

// newPipelineCluster starts a cluster without random faults in which each task takes the duration run, and
// waits until it can serve pipelines.
func newPipelineCluster(t *testing.T, run time.Duration) (*testCluster, context.Context, context.CancelFunc) {
	t.Helper()
	cluster := newQuietCluster(t, 5)
	cluster.archiving = true
	cluster.cloud.Run = func(wire.TaskID) time.Duration { return run }
	ctx, cancel := context.WithCancel(t.Context())
	cluster.start(ctx, 4, 0)
	cluster.advance(15 * time.Second)
	return cluster, ctx, cancel
}

// submitChain submits jobs of one task, each of which depends on the previous one.
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

// expectStatus fails the test unless all controllers answer with the wanted status of a job.
func (cluster *testCluster) expectStatus(ctx context.Context, id wire.JobID, want wire.Status) {
	cluster.t.Helper()
	for at := range cluster.size {
		if got, answered := cluster.queryController(ctx, id, at, statusRequest(id)); !answered || got != want {
			cluster.t.Errorf("%s at m-%d: got %q, answered %v, want %s", id, at, got, answered, want)
		}
	}
}

// TestDependencyDoneAsLeaderCrashes crashes the leader as soon as a dependency is done. The dependent job must
// start under the next leader, and not before the dependency is done.
func TestDependencyDoneAsLeaderCrashes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx, cancel := newPipelineCluster(t, 10*time.Second)
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

// TestCascadeDuringALongOutage cancels the first job of a chain, after which the state service is down for
// longer than cancel_s. Whichever controller answers, no job of the chain may be reported as queued after
// cancel_s, and afterwards each must be cancelled in its own record, also in the archive.
func TestCascadeDuringALongOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx, cancel := newPipelineCluster(t, 10*time.Minute)
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
				t.Errorf("%s: its own record is still active, want cancelled", id)
			}
		})
		cluster.shutDownAndCheck(cancel)
	})
}

// TestSubmissionNamesArchivedJobs submits jobs that depend on archived jobs as all controllers restart. A
// dependency that is done must not delay its dependent, and a cancelled one must cancel it. A submission with a
// dependency that was never accepted must be rejected by every controller.
func TestSubmissionNamesArchivedJobs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster, ctx, cancel := newPipelineCluster(t, 5*time.Second)
		cluster.submitChain(ctx, 0, 1)
		cluster.submitChain(ctx, 1, 1)
		cluster.queryAny(ctx, jobID(1), cancelRequest(jobID(1)))
		for n := 100; n < 120; n++ { // more finished jobs, so that the first two are archived
			cluster.submitChain(ctx, n, 1)
		}
		cluster.advance(90 * time.Second)
		cluster.controller(0).cache.Read(func(l *ledger.Ledger) {
			if _, onRecord := l.FinalRecordOf(jobID(0)); onRecord {
				t.Error("first job: got it on record, want it archived")
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
				t.Errorf("m-%d: job with an unknown dependency: got error %v, want ErrUnschedulable", i, err)
			}
		}
		cluster.advance(40 * time.Second)
		cluster.expectStatus(ctx, jobID(10), wire.Done)
		cluster.expectStatus(ctx, jobID(11), wire.Cancelled)
		cluster.shutDownAndCheck(cancel)
	})
}

// doneOnRecord reports whether a job is done according to the records or the archive cache of any controller
// that is up.
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
