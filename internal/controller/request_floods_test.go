package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// countingLink counts what is asked of the state service.
type countingLink struct {
	*emulator.Link
	reads, commits, changes, bytes atomic.Int64
}

func (c *countingLink) Revision(ctx context.Context) (wire.Revision, error) {
	c.reads.Add(1)
	return c.Link.Revision(ctx)
}

func (c *countingLink) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	c.commits.Add(1)
	c.changes.Add(int64(len(t.Then)))
	for _, p := range t.Then {
		c.bytes.Add(int64(len(p.Value)))
	}
	return c.Link.Commit(ctx, t)
}

// TestRequestFloods counts, not times, what floods cost: polls for jobs that run, are over or
// never were share the reads of a few requests; those of jobs that are over need none;
// a submission is one change of a few hundred bytes, and the same one again is none.
func TestRequestFloods(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		set := newTestSettings(t, 0)
		store := &countingLink{Link: emulator.NewLink(emulator.NewStore(set.Cluster.State.TxnOps, set.ValueBytes()), 3)}
		c := New(set, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
		c.cache.Records().Apply(
			ledger.Event{
				Key:     ledger.MachineTypeKey("g2"),
				Version: 1,
				Value:   []byte(`{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"yards":["a","b"]}`),
			},
		)
		ctx, cancel := context.WithCancel(t.Context())
		var duties sync.WaitGroup
		for _, duty := range []func(context.Context) error{c.cache.Watch, c.cache.ServeReadIndex, c.cache.AcquireTokens} {
			duties.Go(func() { _ = duty(ctx) })
		}
		defer func() { cancel(); duties.Wait() }()
		time.Sleep(time.Second)
		c.cache.Lock()
		c.cache.Records().Apply(
			ledger.Event{
				Key:     ledger.MachineTypeKey("g2"),
				Version: 1,
				Value:   []byte(`{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"yards":["a","b"]}`),
			},
		)
		c.cache.Unlock()

		const jobs = 60
		id := func(i int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", i)) }
		submit := func() {
			var all sync.WaitGroup
			for i := range jobs {
				all.Go(func() {
					one, done := context.WithTimeout(ctx, 20*time.Second)
					defer done()
					spec := &wire.JobSpec{
						ID:       id(i),
						Class:    "c",
						Team:     "free",
						Shape:    wire.Array,
						Priority: wire.Normal,
						Tasks:    1,
						CPUs:     1,
						Image:    "i",
					}
					if _, _, err := c.Jobs.Submit(one, spec); err != nil {
						t.Errorf("%s: %v", spec.ID, err)
					}
				})
			}
			all.Wait()
		}
		store.changes.Store(0)
		submit()
		submit()
		if n, b := store.changes.Load(), store.bytes.Load(); n != jobs || b > jobs*600 {
			t.Errorf("%d jobs submitted twice: %d changes, %d bytes", jobs, n, b)
		}
		for i := range jobs / 3 {
			if _, err := c.Jobs.Cancel(ctx, id(i)); err != nil {
				t.Fatal(err)
			}
		}
		poll := func(from, to, each int) int64 {
			before := store.reads.Load()
			var all sync.WaitGroup
			for i := from; i < to; i++ {
				for range each {
					all.Go(func() {
						one, done := context.WithTimeout(ctx, 1900*time.Millisecond)
						defer done()
						if _, err := c.Jobs.Status(
							one,
							id(i),
						); (i < jobs) != (err == nil) ||
							i >= jobs && !errors.Is(err, server.ErrNoSuchJob) {
							t.Errorf("%s: %v", id(i), err)
						}
					})
				}
			}
			all.Wait()
			return store.reads.Load() - before
		}
		if n := poll(0, jobs/3, 20); n > 1 {
			t.Errorf("polls of jobs that are over cost %d reads", n)
		}
		if n := poll(jobs/3, 2*jobs, 20); n > 4 {
			t.Errorf("2000 polls at once, half of them for unknown jobs, cost %d reads", n)
		}
	})
}
