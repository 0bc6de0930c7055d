package controller

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// BenchmarkFirstAnswer measures what passes from a controller's start, with nothing in memory, to
// its first answer to a user who asks about a job, at a fleet's size: 2,000 jobs that wait beside
// the jobs on the machines, a third of which report at once. cpu-ms is what it takes of a whole
// processor; a controller with a share of one takes that much longer, at least.
func BenchmarkFirstAnswer(b *testing.B) {
	for _, machines := range []int{1840, 16000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			f := controllertest.NewFleet(machines)
			set := newTestSettings(b, 0)
			store := emulator.NewStore(set.Cluster.State.TxnOps, set.ValueBytes())
			for _, e := range f.Records {
				if _, err := store.Apply(wire.Txn{Then: []wire.Change{{Put: e.Key, Value: e.Value}}}); err != nil {
					b.Fatal(err)
				}
			}
			for i := range 2000 {
				id := fmt.Sprintf("wk-9%05d", i)
				v := fmt.Sprintf(
					`{"spec":{"id":%q,"workclass":"c","pieces":4,"shape":"array","urgency":"normal","owner":"free","cores":1,"bundle":"img-1"},"at":1}`,
					id,
				)
				if _, err := store.Apply(
					wire.Txn{Then: []wire.Change{{Put: ledger.Prefix + "j/" + id, Value: []byte(v)}}},
				); err != nil {
					b.Fatal(err)
				}
			}
			link := emulator.NewLink(store, 1)
			link.Pages = 1000
			flavor := wire.MachineType{
				Name:      "g2",
				CPUs:      8,
				GPUs:      2,
				MemoryGB:  32,
				CacheGB:   50,
				FetchGBps: 1,
				Price:     4,
				Boot:      20,
				Zones:     []wire.Zone{"a", "b", "c"},
			}
			var wall, cpu time.Duration
			for b.Loop() {
				ctx, cancel := context.WithCancel(b.Context())
				began, used := time.Now(), cpuUsed()
				c := New(newTestSettings(b, 0), link, slog.New(slog.DiscardHandler))
				c.registerComponents(exhaustedCloud{[]wire.MachineType{flavor}})
				var running sync.WaitGroup
				running.Go(func() { _ = c.Components.Run(ctx) })
				for _, r := range f.Reports {
					running.Go(func() { c.Heartbeats.Heartbeat(ctx, r) })
				}
				for answered := false; !answered; {
					one, stop := context.WithTimeout(ctx, 2*time.Second)
					_, err := c.Jobs.Status(one, "wk-900000")
					stop()
					answered = err == nil
				}
				wall, cpu = wall+time.Since(began), cpu+cpuUsed()-used
				cancel()
				running.Wait()
			}
			b.ReportMetric(float64(wall.Milliseconds())/float64(b.N), "first-answer-ms")
			b.ReportMetric(float64(cpu.Milliseconds())/float64(b.N), "cpu-ms")
		})
	}
}

func cpuUsed() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
