package controller

import (
	"context"
	"errors"
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

// countingLink counts the requests to the state service, and the changes and value bytes that it commits.
type countingLink struct {
	*emulator.Link
	reads, commits, changes, bytes atomic.Int64
}

// Revision implements kvstore.Store.
func (c *countingLink) Revision(ctx context.Context) (wire.Revision, error) {
	c.reads.Add(1)
	return c.Link.Revision(ctx)
}

// Commit implements kvstore.Store.
func (c *countingLink) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	c.commits.Add(1)
	c.changes.Add(int64(len(t.Then)))
	for _, change := range t.Then {
		c.bytes.Add(int64(len(change.Value)))
	}
	return c.Link.Commit(ctx, t)
}

// floodedController is a controller whose requests to the state service are counted. It runs only the
// components that keep it in sync.
type floodedController struct {
	*Controller
	store *countingLink
	ctx   context.Context
}

// newFloodedController starts a controller that runs until stop is called.
func newFloodedController(t *testing.T) (f *floodedController, stop func()) {
	t.Helper()
	set := newTestSettings(t, 0)
	limits := set.StateLimits()
	store := &countingLink{Link: emulator.NewLink(emulator.NewStore(limits.TxnOps, limits.ValueBytes), 3)}
	c := New(set, store, slog.New(slog.DiscardHandler))
	machineType := ledger.Event{
		Key:     ledger.MachineTypeKey("g2"),
		Version: 1,
		Value:   []byte(`{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"yards":["a","b"]}`),
	}
	c.cache.Records().Apply(machineType)
	ctx, cancel := context.WithCancel(t.Context())
	var components sync.WaitGroup
	for _, run := range []func(context.Context) error{c.cache.Watch, c.cache.ServeReadIndex, c.cache.AcquireTokens} {
		components.Go(func() { _ = run(ctx) })
	}
	time.Sleep(time.Second)
	c.cache.Lock()
	c.cache.Records().Apply(machineType) // apply it again: loading the records has dropped it
	c.cache.Unlock()
	return &floodedController{c, store, ctx}, func() { cancel(); components.Wait() }
}

// submitAll submits jobs concurrently.
func (f *floodedController) submitAll(t *testing.T, jobs int) {
	t.Helper()
	var all sync.WaitGroup
	for i := range jobs {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
			defer cancel()
			spec := &wire.JobSpec{
				ID:       jobID(i),
				Class:    "c",
				Team:     "free",
				Shape:    wire.Array,
				Priority: wire.Normal,
				Tasks:    1,
				CPUs:     1,
				Image:    "i",
			}
			if _, _, err := f.Jobs.Submit(ctx, spec); err != nil {
				t.Errorf("submit %s: got error %v, want none", spec.ID, err)
			}
		})
	}
	all.Wait()
}

// poll polls the jobs with indexes in [from, to) concurrently, each of them each times, and returns the number
// of reads of the state service that this caused. Jobs with an index of known or above were never submitted.
func (f *floodedController) poll(t *testing.T, from, to, each, known int) (reads int64) {
	t.Helper()
	before := f.store.reads.Load()
	var all sync.WaitGroup
	for i := from; i < to; i++ {
		for range each {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(f.ctx, 1900*time.Millisecond)
				defer cancel()
				_, err := f.Jobs.Status(ctx, jobID(i))
				if i < known && err != nil {
					t.Errorf("status of %s: got error %v, want none", jobID(i), err)
				}
				if i >= known && !errors.Is(err, server.ErrNoSuchJob) {
					t.Errorf("status of %s: got error %v, want %v", jobID(i), err, server.ErrNoSuchJob)
				}
			})
		}
	}
	all.Wait()
	return f.store.reads.Load() - before
}

// TestRequestFloods bounds the requests to the state service that floods of user requests cause. Concurrent
// polls of active or unknown jobs share a few reads, and polls of finished jobs need at most one. A submission
// makes one change of a few hundred bytes, and a repeated submission makes none.
func TestRequestFloods(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, stop := newFloodedController(t)
		defer stop()
		const jobs = 60
		f.store.changes.Store(0)
		f.submitAll(t, jobs)
		f.submitAll(t, jobs)
		if changes, bytes := f.store.changes.Load(), f.store.bytes.Load(); changes != jobs || bytes > jobs*600 {
			t.Errorf("%d jobs submitted twice: got %d changes, %d bytes; want %d, <= %d", jobs, changes, bytes, jobs, jobs*600)
		}
		for i := range jobs / 3 {
			if _, err := f.Jobs.Cancel(f.ctx, jobID(i)); err != nil {
				t.Fatal(err)
			}
		}
		if reads := f.poll(t, 0, jobs/3, 20, jobs); reads > 1 {
			t.Errorf("polls of finished jobs: got %d reads, want <= 1", reads)
		}
		if reads := f.poll(t, jobs/3, 2*jobs, 20, jobs); reads > 4 {
			t.Errorf("2000 polls at once, half of them of unknown jobs: got %d reads, want <= 4", reads)
		}
	})
}
