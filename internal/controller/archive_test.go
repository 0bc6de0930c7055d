package controller

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/watchcache"

	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// BenchmarkReload measures loading all records, as a controller does at startup: 2,000 active jobs, 1,000
// finished ones, and the records of a varying number of archived jobs and terminated machines.
// The case "old" keeps 101,000 finished jobs in the records instead, as before the archive was introduced.
func BenchmarkReload(b *testing.B) {
	for _, valueKB := range []int{4, 32} {
		for _, archived := range []int{0, 100_000, 1_000_000} {
			b.Run(fmt.Sprintf("%dKiB/%d", valueKB, archived), func(b *testing.B) {
				benchmarkReload(b, append(archivedRecords(b, archived, valueKB<<10), activeRecords(2000, 1000)...))
			})
		}
	}
	b.Run("old/100000", func(b *testing.B) { benchmarkReload(b, activeRecords(2000, 101_000)) })
}

// benchmarkReload loads the records repeatedly and reports the cost of one load.
func benchmarkReload(b *testing.B, items []wire.Item) {
	b.Helper()
	store := newStaticStore(items)
	c := newTestControllerOn(b, store)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		if _, err := c.cache.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
	b.ReportMetric(float64(store.lists)/float64(b.N), "requests/op")
	b.ReportMetric(float64(store.bytes)/float64(b.N)/1e6, "read-MB/op")
	runtime.KeepAlive(c)
}

// pollUntilAnswered polls a job's status, at most 50 times, until the controller no longer answers that the
// state service is unreachable.
func pollUntilAnswered(t *testing.T, c *Controller, id wire.JobID) (status wire.JobStatus, err error) {
	t.Helper()
	for range 50 {
		if status, err = c.Jobs.Status(t.Context(), id); !errors.Is(err, kvstore.ErrUnreachable) {
			return status, err
		}
		time.Sleep(time.Second)
	}
	return status, err
}

// pollArchived polls an archived job and checks its final state: cancelled, with three tasks done.
func pollArchived(t *testing.T, c *Controller, id wire.JobID) {
	t.Helper()
	status, err := pollUntilAnswered(t, c, id)
	if err != nil || status.Status != wire.Cancelled || *status.Done != 3 {
		t.Fatalf("archived job %s: got %+v, error %v; want cancelled with 3 tasks done", id, status, err)
	}
}

// TestArchiveReads counts the reads of the state service that polls cause: one per archived job, regardless
// of the number of users and polls, and almost none for unknown jobs, which the filter rules out. No poll is
// answered before the records are in sync.
func TestArchiveReads(t *testing.T) {
	t.Parallel()
	const archived = 60_000
	items := append(archivedRecords(t, archived, 4096), activeRecords(50, 10)...)
	for i := range 2000 {
		items = append(items, wire.Item{
			Key:     ledger.FinalKey(wire.JobID(fmt.Sprintf("wk-%08d", i))),
			Version: 1,
			Value:   []byte(`{"s":"cancelled","n":3}`),
		})
	}
	store := newStaticStore(items)
	synctest.Test(t, func(t *testing.T) {
		c := newTestControllerOn(t, store)
		if _, err := c.cache.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		loadReads := store.lists
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.cache.ServeReadIndex(ctx) }()
		defer func() { cancel(); synctest.Wait() }()
		for i := range 900 { // 300 jobs, three times each
			pollArchived(t, c, wire.JobID(fmt.Sprintf("wk-%08d", i/3)))
		}
		// Each job is read once, and each page of the filter is listed once.
		if pages := c.cache.Records().CountFilterPages(); store.gets != 300 || store.lists-loadReads != pages || pages > 300 {
			t.Errorf(
				"polls of 300 archived jobs, three each: got %d reads, and %d for %d pages; want 300, and one per page of <= 300",
				store.gets,
				store.lists-loadReads,
				pages,
			)
		}
		store.gets = 0
		for i := range 3000 {
			id := wire.JobID(fmt.Sprintf("wk-%08d", 50_000_000+i))
			if status, err := pollUntilAnswered(t, c, id); !errors.Is(err, server.ErrNoSuchJob) {
				t.Fatalf("unknown job %s: got %+v, error %v; want %v", id, status, err, server.ErrNoSuchJob)
			}
		}
		if store.gets > 10 {
			t.Errorf("reads for 3000 unknown jobs: got %d, want <= 10", store.gets)
		}
		if pages := c.cache.Records().CountFilterPages(); store.lists-loadReads > pages+3 {
			t.Errorf("reads of the %d filter pages: got %d, want <= %d", pages, store.lists-loadReads, pages+3)
		}
		t.Logf("%d reads for 3000 unknown jobs, with %d archived jobs", store.gets, archived)
		if status, err := pollUntilAnswered(t, c, "wk-900000055"); err != nil || status.Status != wire.Done {
			t.Errorf("finished job that is not archived: got %+v, error %v; want done", status, err)
		}
	})
}

// TestHeartbeatsDuringReload checks that heartbeats are answered from the previous records while all records
// are reloaded, which happens when the watch falls behind and takes several seconds here.
func TestHeartbeatsDuringReload(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := newStaticStore(append(archivedRecords(t, 1000, 4096), activeRecords(400, 200)...))
		c := newTestControllerOn(t, slowStaticStore{store})
		if _, err := c.cache.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		watchcache.SetStateForTest(t, c.cache, 1, time.Time{})
		reloaded := make(chan error, 1)
		go func() { _, err := c.cache.Load(t.Context()); reloaded <- err }()
		answered := 0
		var tasks []wire.TaskStatus // the tasks started so far; a worker that starts none counts as unreachable
		for n := 1; ; n++ {
			time.Sleep(500 * time.Millisecond)
			c.cache.Lock()
			watchcache.SetStateForTest(t, c.cache, c.cache.Token(), time.Now()) // the records may be a few seconds old
			c.cache.Unlock()
			answer := c.Heartbeats.Heartbeat(t.Context(), &wire.Heartbeat{
				Machine:      "host-9999999",
				Type:         "g2",
				Zone:         "a",
				Epoch:        1,
				Sequence:     wire.HeartbeatSequence(n),
				FencingToken: 1,
				Tasks:        tasks,
			})
			if answer.Status == 200 {
				answered++
				tasks = append(tasks, startedTasks(answer.Response)...)
			}
			select {
			case err := <-reloaded:
				if err != nil || answered != n || n < 5 {
					t.Errorf("got %d of %d heartbeats answered, reload error %v; want all of >= 5, nil", answered, n, err)
				}
				return
			default:
			}
		}
	})
}

// startedTasks returns the status to report for the tasks that a heartbeat response tells the worker to start.
func startedTasks(response *wire.HeartbeatResponse) (tasks []wire.TaskStatus) {
	for _, command := range response.Commands {
		if command.Op == wire.OpStart {
			tasks = append(tasks, wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching})
		}
	}
	return tasks
}

// format returns the format record in the state service; the zero value if there is none.
func (cluster *testCluster) format(ctx context.Context) (f ledger.FormatRecord) {
	cluster.t.Helper()
	item, err := cluster.links[0].Get(ctx, ledger.FormatKey)
	if err == nil {
		err = exactjson.Unmarshal(item.Value, &f)
	}
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		cluster.t.Error(err)
	}
	return f
}

// countItems returns the number of items in the state service whose keys match.
func (cluster *testCluster) countItems(match func(key string) bool) (n int) {
	for _, item := range cluster.store.Items() {
		if match(item.Key) {
			n++
		}
	}
	return n
}

// TestRollingUpgrade replaces controllers that support only the older record format one by one, with one
// rollback, while jobs run. Nothing may be archived before all controllers support the new format and the
// settle period is over, within which delayed writes of the old ones can still arrive. Afterwards jobs are
// archived, and none is lost.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 11)
		cluster.noRandomFaults, cluster.archiving = true, true
		cluster.formatUpTo = []int{1, 1, 1}
		const newest = 0
		archived := func() int { return cluster.countItems(ledger.IsFinalKey) }
		upgrade := func(ctx context.Context) {
			replace := func(i, formatUpTo int) {
				cluster.crash(i)
				cluster.formatUpTo[i] = formatUpTo
				wait.For(ctx, 5*time.Second)
				cluster.startController(ctx, i)
				wait.For(ctx, 25*time.Second)
			}
			replace(0, newest)
			replace(1, newest)
			replace(1, 1) // roll back
			replace(1, newest)
			if f, n := cluster.format(ctx), archived(); f.Format != 0 || n != 0 {
				t.Errorf("with one controller on the old format: got %+v and %d jobs archived, want format 0 and 0", f, n)
			}
			replace(2, newest)
			if f, n := cluster.format(ctx), archived(); f.Format != ledger.NewestFormat || f.NoOlderWriters || n != 0 {
				t.Errorf(
					"with all controllers on the new format: got %+v and %d jobs archived, want format %d, not fresh, and 0",
					f,
					n,
					ledger.NewestFormat,
				)
			}
			wait.For(ctx, settlePeriod)
			wait.For(ctx, time.Minute)
			if archived() == 0 {
				t.Error("after the settle period: got no jobs archived, want some")
			}
		}
		cluster.onStart = func(ctx context.Context) { cluster.group.Go(func() { upgrade(ctx) }) }
		finished := cluster.run(12*time.Minute, 40, 0.03)
		cluster.checkArchive()
		cluster.reportViolations()
		if finished < 35 {
			t.Errorf("got %d of 40 jobs finished, want >= 35", finished)
		}
	})
}

// TestMigrationToArchive starts with finished jobs that were recorded before the archive was introduced. They
// must be archived while jobs run, controllers crash and pause, and the state service fails, and each must
// keep its final status.
func TestMigrationToArchive(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 17)
		cluster.archiving = true
		const old = 400
		records := activeRecords(0, old)
		for from := 0; from < old; from += 10 {
			var txn wire.Txn
			for _, item := range records[from : from+10] {
				txn.Then = append(txn.Then, wire.Change{Put: item.Key, Value: item.Value})
			}
			if _, err := cluster.store.Apply(txn); err != nil {
				t.Fatal(err)
			}
		}
		done := 0
		cluster.onStart = func(ctx context.Context) {
			cluster.group.Go(func() {
				wait.For(ctx, 10*time.Minute)
				for i := range old {
					id := wire.JobID(fmt.Sprintf("wk-9%08d", i))
					status, ok := retryUntilAnswered(ctx, cluster, string(id), statusRequest(id))
					if ok && status.Status == wire.Done && *status.Done == 2 {
						done++
					}
				}
			})
		}
		cluster.run(14*time.Minute, 30, 0.03)
		cluster.checkArchive()
		cluster.reportBrokenRules()
		left := cluster.countItems(func(key string) bool { return strings.HasPrefix(key, ledger.Prefix+"j/wk-9") })
		if left > 0 || done != old {
			t.Errorf("jobs from before the archive: got %d not archived and %d done, want 0 and %d", left, done, old)
		}
	})
}

// TestNewerFormatIsRefused checks that a controller waits while records are imported, and that its watch fails
// with ledger.ErrNewerFormat when the records have a format that it does not support.
func TestNewerFormatIsRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 1)
		apply := func(change wire.Change) {
			t.Helper()
			if _, err := cluster.store.Apply(wire.Txn{Then: []wire.Change{change}}); err != nil {
				t.Fatal(err)
			}
		}
		apply(wire.Change{Put: ledger.ImportKey, Value: []byte(`{}`)})
		c := newTestControllerOn(t, cluster.links[0])
		ended := make(chan error, 1)
		go func() { ended <- c.cache.Watch(t.Context()) }()
		time.Sleep(30 * time.Second)
		if c.Jobs.Loaded() {
			t.Error("during the import: got records loaded, want not loaded")
		}
		apply(wire.Change{Delete: ledger.ImportKey})
		time.Sleep(30 * time.Second)
		if !c.Jobs.Loaded() {
			t.Error("after the import: got records not loaded, want loaded")
		}
		apply(wire.Change{Put: ledger.FormatKey, Value: []byte(`{"n":99}`)})
		select {
		case err := <-ended:
			if !errors.Is(err, ledger.ErrNewerFormat) {
				t.Errorf("watch of newer records: got error %v, want %v", err, ledger.ErrNewerFormat)
			}
		case <-time.After(time.Minute):
			t.Error("watch of newer records: still running after a minute, want an error")
		}
	})
}

// storeUsage is the number and total size of the records in the state service, and its number of archived
// jobs.
type storeUsage struct{ keys, bytes, archived int }

// storeUsage measures the records and the archived jobs in the state service.
func (cluster *testCluster) storeUsage() (w storeUsage) {
	for _, item := range cluster.store.Items() {
		if strings.HasPrefix(item.Key, ledger.Prefix) {
			w.keys++
			w.bytes += len(item.Key) + len(item.Value)
		} else if ledger.IsFinalKey(item.Key) {
			w.archived++
		}
	}
	return w
}

// TestSoak runs a cluster for a long time at a reduced job rate with random faults, and checks that the number
// of records stays bounded while the archive grows. SOAK_DAYS sets a longer run than CI has time for, SOAK_SEED
// another seed.
func TestSoak(t *testing.T) {
	t.Parallel()
	length, seed := 100*time.Minute, uint64(1)
	if days, err := strconv.ParseFloat(os.Getenv("SOAK_DAYS"), 64); err == nil {
		length = time.Duration(days * 24 * float64(time.Hour))
	}
	if n, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 32); err == nil {
		seed = n
	}
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, seed)
		cluster.archiving = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cluster.start(ctx, 4, 0.02)
		finished, startedAt, early := 0, time.Now(), storeUsage{}
		for n := 0; time.Since(startedAt) < length; n++ {
			spec, cancelAfter := cluster.randomSpec(n), time.Duration(0)
			if n%4 == 0 {
				cancelAfter = 30 * time.Second
			}
			cluster.group.Go(func() { cluster.runUser(ctx, spec, cancelAfter, &finished) })
			wait.For(ctx, 90*time.Second)
			if n%3 == 2 {
				cluster.group.Go(func() { cluster.injectFault(ctx) })
			}
			cluster.world.Check()
			if early.keys == 0 && time.Since(startedAt) > length/5 {
				early = cluster.storeUsage()
			}
			if n%960 == 959 {
				t.Logf("after %v: %+v", time.Since(startedAt), cluster.storeUsage())
			}
		}
		wait.For(ctx, 5*time.Minute) // let the last jobs finish
		late := cluster.storeUsage()
		cluster.shutDown(cancel)
		cluster.checkArchive()
		cluster.reportViolations()
		t.Logf("%d jobs finished; usage early %+v, late %+v", finished, early, late)
		if limit := early.keys + early.keys/2 + 20; late.keys > limit || late.archived < early.archived*2 {
			t.Errorf("usage at the end: got %+v, want <= %d keys and >= %d archived", late, limit, early.archived*2)
		}
	})
}
