package controller

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"maddermill/internal/leader/cloud"
	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// exhaustedCloud has no machine left.
type exhaustedCloud struct{ types []wire.MachineType }

func (f exhaustedCloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	return f.types, nil
}
func (exhaustedCloud) ScaleOut(context.Context, wire.ScaleOutRequest) ([]wire.MachineID, error) {
	return nil, cloud.ErrNoCapacity
}
func (exhaustedCloud) ScaleIn(context.Context, []wire.MachineID) error    { return nil }
func (exhaustedCloud) List(context.Context) ([]wire.ListedMachine, error) { return nil, nil }

// BenchmarkReportWaits plays half a minute of a controller that leads a fleet and holds a third
// of it, with all its duties: each machine reports every three seconds, at its own time whatever
// came of the reports before, and two peers ask and tell each second. It measures how long the
// reports of machines without room take, which is mostly waiting for the mirror's lock.
func BenchmarkReportWaits(b *testing.B) {
	for _, machines := range []int{4000, 16000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				runHeartbeats(b, machines, 30*time.Second)
			}
		})
	}
}

func runHeartbeats(b *testing.B, machines int, length time.Duration) {
	set := newTestSettings(b, 0)
	set.Cluster.State.RPS, set.Cluster.State.WriteRPS = 200, 60
	f := controllertest.NewFleet(machines)
	store := emulator.NewStore(set.Cluster.State.TxnOps, set.ValueBytes())
	for _, e := range f.Records {
		if _, err := store.Apply(wire.Txn{Then: []wire.Change{{Put: e.Key, Value: e.Value}}}); err != nil {
			b.Fatal(err)
		}
	}
	c := New(set, emulator.NewLink(store, 1), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(b.Context(), length)
	defer cancel()
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
	var running sync.WaitGroup
	defer running.Wait()
	c.registerComponents(exhaustedCloud{[]wire.MachineType{flavor}})
	running.Go(func() { _ = c.Components.Run(ctx) })
	every := func(period time.Duration, first time.Duration, do func()) {
		running.Go(func() {
			next := time.Now().Add(first)
			for ctx.Err() == nil {
				time.Sleep(time.Until(next))
				do()
				next = next.Add(period)
			}
		})
	}
	for _, s := range f.Peers {
		every(time.Second, 0, func() { c.mergeAnswer(peer.Answer{Status: s, AsOf: time.Now()}) })
		every(time.Second, 500*time.Millisecond, func() { _, _ = cbor.Marshal(c.answerProbe(s)) })
	}
	for ready := false; !ready; {
		c.cache.Read(func(*ledger.Ledger) { ready = c.cache.Token() != 0 })
		time.Sleep(10 * time.Millisecond)
	}
	var mu sync.Mutex
	took := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	settled := time.Now().Add(length / 5) // at first all machines are new
	period := set.Cluster.Workers.Report.Duration()
	for i, r := range f.Reports {
		due := time.Now().Add(period * time.Duration(i) / time.Duration(len(f.Reports)))
		every(period, time.Until(due), func() {
			asked := due
			due = due.Add(period)
			one := *r
			r.Sequence++
			c.Heartbeats.Heartbeat(ctx, &one)
			if len(r.Tasks) > 0 && asked.After(settled) && ctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()
				_ = took.RecordValue(time.Since(asked).Microseconds())
			}
		})
	}
	<-ctx.Done()
	running.Wait()
	b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99.9))/1000, "p99.9-ms")
	b.ReportMetric(float64(took.Max())/1000, "max-ms")
	b.ReportMetric(float64(took.TotalCount()), "reports")
}
