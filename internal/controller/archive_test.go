package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// summary makes what the records hold of so many archived jobs and machines that are gone.
func summary(tb testing.TB, over int, valueBytes int) (items []wire.Item) {
	tb.Helper()
	put := func(key string, v any) {
		b, err := json.Marshal(v)
		if err != nil || len(b) > valueBytes {
			tb.Fatalf("%s: %d bytes, %v", key, len(b), err)
		}
		items = append(items, wire.Item{Key: key, Value: b, Version: 1})
	}
	put(ledger.FormatKey, ledger.FormatRecord{Format: ledger.ArchiveFormat, Fresh: true})
	if over == 0 {
		return items
	}
	ids := make([]string, over)
	for i := range ids {
		ids[i] = fmt.Sprintf("wk-%08d", i)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(archive.Position(a), archive.Position(b)) })
	left := []*archive.Page{archive.FirstPage()}
	for len(left) > 0 { // the first page takes all that are its own, and is split
		p := left[0]
		n := 0
		for n < min(len(ids), valueBytes/3) && p.Covers(ids[n]) {
			n++
		}
		if n == 0 {
			put(ledger.FilterPrefix+p.Name(), p)
			left = left[1:]
			continue
		}
		pages, _ := p.With(ids[:n], valueBytes)
		left, ids = append(pages, left[1:]...), ids[n:]
	}
	g := archive.NewTerminatedMachines()
	for from := 0; from < over; from += archive.Span {
		var names []string
		for i := from; i < min(over, from+archive.Span); i++ {
			if i%997 != 0 || i < over/2 { // some of the newer ones are still there
				names = append(names, fmt.Sprintf("host-%07d", i))
			}
		}
		id, _ := archive.PartOfMachine(names[0])
		head, part := g.With(id, names)
		g.SetHead(id.Series, head)
		g.SetPart(id, part)
		if part.Len() > 0 {
			put(ledger.Prefix+"h/"+id.String(), part)
		}
	}
	id, _ := archive.PartOfMachine("host-0000000")
	put(ledger.Prefix+"g/"+id.Series.String(), g.Head(id.Series))
	return items
}

// shelf is a state service that only holds what it was given, and counts what is asked of it.
type shelf struct {
	kvstore.Store
	items       []wire.Item // in order
	lists, gets int
	bytes       int
}

func newShelf(items []wire.Item) *shelf {
	slices.SortFunc(items, func(a, b wire.Item) int { return strings.Compare(a.Key, b.Key) })
	return &shelf{items: items}
}

func (s *shelf) Revision(context.Context) (wire.Revision, error) { return 1, nil }

func (s *shelf) Get(_ context.Context, key string) (wire.Item, error) {
	s.gets++
	at, ok := slices.BinarySearchFunc(
		s.items,
		key,
		func(it wire.Item, k string) int { return strings.Compare(it.Key, k) },
	)
	if !ok {
		return wire.Item{}, kvstore.ErrNotFound
	}
	return s.items[at], nil
}

// List answers as the protocol says: at most 1,000 items and 512 KiB.
func (s *shelf) List(_ context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	s.lists++
	at, found := slices.BinarySearchFunc(
		s.items,
		max(prefix, after),
		func(it wire.Item, k string) int { return strings.Compare(it.Key, k) },
	)
	if found && after != "" {
		at++
	}
	p := wire.ItemPage{Revision: 1}
	size := 0
	for ; at < len(s.items) && strings.HasPrefix(s.items[at].Key, prefix); at++ {
		if size += len(s.items[at].Value) + 100; len(p.Items) == limit || size > 512<<10 {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[at])
	}
	s.bytes += size
	return p, nil
}

// active makes records of jobs that are not over and of those that are and stay.
func active(jobs, over int) (items []wire.Item) {
	for i := range jobs + over {
		id := fmt.Sprintf("wk-9%08d", i)
		end := `,"a":3,"c":[[3,"host-9999999","a",1,1,0,1]]`
		if i >= jobs {
			end = `,"a":3,"d":"Aw==","state":"done"`
		}
		items = append(
			items,
			wire.Item{
				Key:     ledger.Prefix + "j/" + id,
				Version: 1,
				Value: fmt.Appendf(
					nil,
					`{"spec":{"id":"%s","workclass":"c","owner":"free","shape":"array","urgency":"normal","pieces":2,"cores":1,"accelerators":1,"ram_gb":8,"bundle":"img-1","pull_gb":4,"loaners":true,"expect_s":60},"at":%d%s}`,
					id,
					i,
					end,
				),
			},
		)
	}
	return items
}

// BenchmarkReload reads all records as a controller does at its start: 2,000 jobs that are not
// over, 1,000 that are, and beside them the summary of so many jobs and machines of the past.
// "old" has that many records in the mirrored form instead, as before the archive.
func BenchmarkReload(b *testing.B) {
	for _, valueKB := range []int{4, 32} {
		for _, over := range []int{0, 100_000, 1_000_000} {
			b.Run(fmt.Sprintf("%dKiB/%d", valueKB, over), func(b *testing.B) {
				reload(b, append(summary(b, over, valueKB<<10), active(2000, 1000)...))
			})
		}
	}
	b.Run("old/100000", func(b *testing.B) { reload(b, active(2000, 101_000)) })
}

func reload(b *testing.B, items []wire.Item) {
	s := newShelf(items)
	c := coreOn(b, s)
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
	b.ReportMetric(float64(s.lists)/float64(b.N), "requests/op")
	b.ReportMetric(float64(s.bytes)/float64(b.N)/1e6, "read-MB/op")
	runtime.KeepAlive(c)
}

// TestReadsOfTheArchive counts what polls cost: of a job in the archive one read, however many
// ask and however often; of an unknown one hardly ever any. Neither is told before the ledger
// is fresh, unless it was told before.
func TestReadsOfTheArchive(t *testing.T) {
	const over = 60_000
	items := append(summary(t, over, 4096), active(50, 10)...)
	for i := range 2000 {
		items = append(
			items,
			wire.Item{
				Key:     ledger.FinalKey(wire.JobID(fmt.Sprintf("wk-%08d", i))),
				Version: 1,
				Value:   []byte(`{"s":"cancelled","n":3}`),
			},
		)
	}
	s := newShelf(items)
	synctest.Test(t, func(t *testing.T) {
		c := coreOn(t, s)
		if _, err := c.cache.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		loaded := s.lists
		ctx, cancel := context.WithCancel(t.Context())
		go c.cache.ServeReadIndex(ctx)
		defer func() { cancel(); synctest.Wait() }()
		poll := func(id wire.JobID) (st wire.JobStatus, err error) {
			for range 50 {
				if st, err = c.Jobs.Status(t.Context(), id); !errors.Is(err, kvstore.ErrUnreachable) {
					return st, err
				}
				time.Sleep(time.Second) // put off
			}
			return st, err
		}
		for i := range 300 {
			for range 3 {
				if st, err := poll(
					wire.JobID(fmt.Sprintf("wk-%08d", i)),
				); err != nil || st.Status != wire.Cancelled ||
					*st.Done != 3 {
					t.Fatalf("%+v, %v", st, err)
				}
			}
		}
		// Beside the one of a job there is one of each page of the filter.
		if pages := c.cache.Records().CountFilterPages(); s.gets != 300 || s.lists-loaded != pages || pages > 300 {
			t.Errorf("%d reads for 300 jobs asked about three times each, and %d for %d pages", s.gets, s.lists-loaded, pages)
		}
		s.gets = 0
		for i := range 3000 {
			if st, err := poll(wire.JobID(fmt.Sprintf("wk-%08d", 50_000_000+i))); !errors.Is(err, server.ErrNoSuchJob) {
				t.Fatalf("%+v, %v", st, err)
			}
		}
		if s.gets > 10 {
			t.Errorf("%d reads for 3000 unknown jobs", s.gets)
		}
		if pages := c.cache.Records().CountFilterPages(); s.lists-loaded > pages+3 {
			t.Errorf("%d reads of %d pages", s.lists-loaded, pages)
		}
		t.Logf("%d reads for 3000 unknown jobs beside %d archived", s.gets, over)
		if st, err := poll("wk-900000055"); err != nil || st.Status != wire.Done {
			t.Errorf("a job that is over and on record: %+v, %v", st, err)
		}
	})
}

// slowShelf takes its time over each page.
type slowShelf struct{ *shelf }

func (s slowShelf) List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	time.Sleep(300 * time.Millisecond)
	return s.shelf.List(ctx, prefix, after, min(limit, 50))
}

// TestReadingAnewAnswersWorkers: the watch fell behind, and all records are read again, which
// takes a while. Workers are answered from the ledger before until that is done.
func TestReadingAnewAnswersWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := coreOn(t, slowShelf{newShelf(append(summary(t, 1000, 4096), active(400, 200)...))})
		if _, err := c.cache.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.cache.SetForTest(1, time.Time{})
		done := make(chan error, 1)
		go func() { _, err := c.cache.Load(t.Context()); done <- err }()
		answered := 0
		var tasks []wire.TaskStatus // that it was told to start: one on which nothing begins is deaf
		for n := 1; ; n++ {
			time.Sleep(500 * time.Millisecond)
			c.cache.Lock()
			c.cache.SetForTest(c.cache.Token(), time.Now()) // a few seconds are within what safety allows without
			c.cache.Unlock()
			r := &wire.Heartbeat{
				Machine:      "host-9999999",
				Type:         "g2",
				Zone:         "a",
				Epoch:        1,
				Sequence:     wire.HeartbeatSequence(n),
				FencingToken: 1,
				Tasks:        tasks,
			}
			if a := c.Heartbeats.Heartbeat(t.Context(), r); a.Status == 200 {
				answered++
				for _, cmd := range a.Response.Commands {
					if cmd.Op == wire.OpStart {
						tasks = append(tasks, wire.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskFetching})
					}
				}
			}
			select {
			case err := <-done:
				if err != nil || answered != n || n < 5 {
					t.Errorf("%d of %d reports were answered, %v", answered, n, err)
				}
				return
			default:
			}
		}
	})
}

// TestRoll: controllers of the version before, as far as their records go, are replaced one by
// one and back again while jobs run. Nothing is moved before all read the new format and what
// the old ones sent can no longer land late; afterwards it is, and nothing is lost.
func TestRoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 11)
		h.quiet, h.past = true, true
		h.upTo = []int{1, 1, 1}
		format := func() (f ledger.FormatRecord) {
			it, err := h.links[0].Get(t.Context(), ledger.FormatKey)
			if err == nil {
				err = json.Unmarshal(it.Value, &f)
			}
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				t.Error(err)
			}
			return f
		}
		archived := func() (n int) {
			for _, it := range h.store.Items() {
				if ledger.IsFinalKey(it.Key) {
					n++
				}
			}
			return n
		}
		h.also = func(ctx context.Context) {
			h.group.Go(func() {
				roll := func(i, to int) {
					h.crash(i)
					h.upTo[i] = to
					wait.For(ctx, 5*time.Second)
					h.startCore(ctx, i)
					wait.For(ctx, 25*time.Second)
				}
				roll(0, 0)
				roll(1, 0)
				roll(1, 1) // back
				roll(1, 0)
				if format().Format != 0 || archived() != 0 {
					t.Errorf("format %+v and %d archived while one controller doesn't read it", format(), archived())
				}
				roll(2, 0)
				f := format()
				if f.Format != ledger.NewestFormat || f.Fresh || archived() != 0 {
					t.Errorf("format %+v and %d archived when all read it", f, archived())
				}
				wait.For(ctx, h.settle())
				wait.For(ctx, time.Minute)
				if archived() == 0 {
					t.Error("nothing is archived afterwards")
				}
			})
		}
		finished := h.play(12*time.Minute, 40, 0.03)
		h.checkPast()
		if len(h.world.Broken) > 0 || len(h.store.Problems) > 0 || finished < 35 {
			t.Errorf("%d of 40 jobs ended, %v, %v", finished, h.world.Broken, h.store.Problems)
		}
	})
}

// TestMigration: the records hold what a version before has left of finished jobs. They move
// while jobs run, controllers end and stand still, and the state service fails; afterwards each
// is told as it ended.
func TestMigration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 17)
		h.past = true
		const old = 400
		for from := 0; from < old; from += 10 {
			var txn wire.Txn
			for _, it := range active(0, old)[from : from+10] {
				txn.Then = append(txn.Then, wire.Change{Put: it.Key, Value: it.Value})
			}
			if _, err := h.store.Apply(txn); err != nil {
				t.Fatal(err)
			}
		}
		var told int
		h.also = func(ctx context.Context) {
			h.group.Go(func() {
				wait.For(ctx, 10*time.Minute)
				for i := range old {
					id := wire.JobID(fmt.Sprintf("wk-9%08d", i))
					st, ok := askAny(
						ctx,
						h,
						string(id),
						func(ctx context.Context, c *Controller) (wire.JobStatus, error) { return c.Jobs.Status(ctx, id) },
					)
					if ok && st.Status == wire.Done && *st.Done == 2 {
						told++
					}
				}
			})
		}
		h.play(14*time.Minute, 30, 0.03)
		h.checkPast()
		left := 0
		for _, it := range h.store.Items() {
			if strings.HasPrefix(it.Key, ledger.Prefix+"j/wk-9") {
				left++
			}
		}
		if left > 0 || told != old || len(h.world.Broken) > 0 {
			t.Errorf("%d of %d are left, %d are told, %v", left, old, told, h.world.Broken)
		}
	})
}

// TestNewerRecordsAreRefused: a controller that doesn't read the records' format ends with the
// reason and serves nobody; while records are imported it waits.
func TestNewerRecordsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if _, err := h.store.Apply(
			wire.Txn{Then: []wire.Change{{Put: ledger.ImportKey, Value: []byte(`{}`)}}},
		); err != nil {
			t.Fatal(err)
		}
		c := New(testSettings(t, 0), h.links[0], quietCore(t, 0).log)
		ended := make(chan error, 1)
		go func() { ended <- c.cache.Watch(ctx) }()
		time.Sleep(30 * time.Second)
		if c.Jobs.Loaded() {
			t.Error("served from records that are not complete")
		}
		if _, err := h.store.Apply(wire.Txn{Then: []wire.Change{{Delete: ledger.ImportKey}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if !c.Jobs.Loaded() {
			t.Error("not served after the import")
		}
		if _, err := h.store.Apply(
			wire.Txn{Then: []wire.Change{{Put: ledger.FormatKey, Value: []byte(`{"n":99}`)}}},
		); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-ended:
			if !errors.Is(err, ledger.ErrNewerFormat) {
				t.Error(err)
			}
		case <-time.After(time.Minute):
			t.Error("goes on with records that it doesn't read")
		}
	})
}

// TestSoak plays days at a reduced rate with restarts, outages, rolls and late transactions
// again and again: what controllers hold at the end is what they held early on. SOAK_DAYS
// asks for longer ones than CI has time for.
func TestSoak(t *testing.T) {
	length, seed := 100*time.Minute, uint64(1)
	if days, err := strconv.ParseFloat(os.Getenv("SOAK_DAYS"), 64); err == nil {
		length = time.Duration(days * 24 * float64(time.Hour))
	}
	if n, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 32); err == nil {
		seed = n
	}
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, seed)
		h.past = true
		type weight struct{ keys, bytes, archived int }
		weigh := func() (w weight) {
			for _, it := range h.store.Items() {
				if strings.HasPrefix(it.Key, ledger.Prefix) {
					w.keys++
					w.bytes += len(it.Key) + len(it.Value)
				} else if ledger.IsFinalKey(it.Key) {
					w.archived++
				}
			}
			return w
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h.begin(ctx, 4, 0.02)
		finished, began, early := 0, time.Now(), weight{}
		for n := 0; time.Since(began) < length; n++ {
			spec, cancelAfter := h.spec(n), time.Duration(0)
			if n%4 == 0 {
				cancelAfter = 30 * time.Second
			}
			h.group.Go(func() { h.user(ctx, spec, cancelAfter, &finished) })
			wait.For(ctx, 90*time.Second)
			if n%3 == 2 {
				h.group.Go(func() { h.trouble(ctx) })
			}
			h.world.Check()
			if early.keys == 0 && time.Since(began) > length/5 {
				early = weigh()
			}
			if n%960 == 959 {
				t.Logf("after %v: %+v", time.Since(began), weigh())
			}
		}
		wait.For(ctx, 5*time.Minute) // for the last ones
		late := weigh()
		h.finish(cancel)
		h.checkPast()
		for _, b := range h.world.Broken {
			t.Errorf("broken: %s", b)
		}
		for _, p := range h.store.Problems {
			t.Errorf("state service: %s", p)
		}
		t.Logf("%d jobs ended; early %+v, late %+v", finished, early, late)
		if late.keys > early.keys+early.keys/2+20 || late.archived < early.archived*2 {
			t.Errorf("early %+v, late %+v", early, late)
		}
	})
}
