package controller

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"maddermill/internal/leader/cloud"
	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// exhaustedCloud is a cloud without capacity for new machines.
type exhaustedCloud struct{ types []wire.MachineType }

// newExhaustedCloud returns an exhausted cloud that offers the machine type of controllertest.Fleet.
func newExhaustedCloud() exhaustedCloud {
	return exhaustedCloud{[]wire.MachineType{{
		Name:      "g2",
		CPUs:      8,
		GPUs:      2,
		MemoryGB:  32,
		CacheGB:   50,
		FetchGBps: 1,
		Price:     4,
		Boot:      20,
		Zones:     []wire.Zone{"a", "b", "c"},
	}}}
}

// MachineTypes implements leader.Cloud.
func (c exhaustedCloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	return c.types, nil
}

// ScaleOut implements leader.Cloud.
func (exhaustedCloud) ScaleOut(context.Context, wire.ScaleOutRequest) ([]wire.MachineID, error) {
	return nil, cloud.ErrNoCapacity
}

// ScaleIn implements leader.Cloud.
func (exhaustedCloud) ScaleIn(context.Context, []wire.MachineID) error { return nil }

// List implements leader.Cloud.
func (exhaustedCloud) List(context.Context) ([]wire.ListedMachine, error) { return nil, nil }

// newFleetStore returns a state service with the records of a fleet.
func newFleetStore(b *testing.B, set *settings.Settings, fleet *controllertest.Fleet) *emulator.Store {
	b.Helper()
	store := emulator.NewStore(set.StateLimits().TxnOps, set.StateLimits().ValueBytes)
	for _, record := range fleet.Records {
		mustPut(b, store, record.Key, record.Value)
	}
	return store
}

// mustPut stores a value in the state service and fails the benchmark on an error.
func mustPut(b *testing.B, store *emulator.Store, key string, value []byte) {
	b.Helper()
	if _, err := store.Apply(wire.Txn{Then: []wire.Change{{Put: key, Value: value}}}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkFirstAnswer measures the time from a controller's cold start to its first answer to a status
// request, by the size of the fleet. Besides the jobs of the fleet there are 2,000 pending ones, and a third of
// the machines send heartbeats at once. cpu-ms is CPU time; a controller limited to a fraction of a CPU takes
// at least cpu-ms divided by that fraction.
func BenchmarkFirstAnswer(b *testing.B) {
	const record = `{"spec":{"id":%q,"workclass":"c","pieces":4,"shape":"array","urgency":"normal","owner":"free",` +
		`"cores":1,"bundle":"img-1"},"at":1}`
	for _, machines := range []int{1840, 16000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			fleet := controllertest.NewFleet(machines)
			store := newFleetStore(b, newTestSettings(b, 0), fleet)
			for i := range 2000 {
				id := fmt.Sprintf("wk-9%05d", i)
				mustPut(b, store, ledger.Prefix+"j/"+id, fmt.Appendf(nil, record, id))
			}
			link := emulator.NewLink(store, 1)
			link.Pages = 1000
			var wall, cpu time.Duration
			for b.Loop() {
				startedAt, used := time.Now(), cpuUsed()
				stop := startUntilFirstAnswer(b, link, fleet)
				wall, cpu = wall+time.Since(startedAt), cpu+cpuUsed()-used
				stop()
			}
			b.ReportMetric(float64(wall.Milliseconds())/float64(b.N), "first-answer-ms")
			b.ReportMetric(float64(cpu.Milliseconds())/float64(b.N), "cpu-ms")
		})
	}
}

// startUntilFirstAnswer starts a controller, sends it the heartbeats of a fleet, and returns once it has
// answered a status request.
func startUntilFirstAnswer(b *testing.B, link *emulator.Link, fleet *controllertest.Fleet) (stop func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	c := newTestControllerOn(b, link)
	c.registerComponents(newExhaustedCloud())
	var running sync.WaitGroup
	running.Go(func() { _ = c.Components.Run(ctx) })
	for _, heartbeat := range fleet.Reports {
		running.Go(func() { c.Heartbeats.Heartbeat(ctx, heartbeat) })
	}
	for answered := false; !answered; {
		limited, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := c.Jobs.Status(limited, "wk-900000")
		cancel()
		answered = err == nil
	}
	return func() { cancel(); running.Wait() }
}

// cpuUsed returns the CPU time that this process has used; 0 if unknown.
func cpuUsed() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// growthBench is a controller that receives the heartbeats of a third of a fleet.
type growthBench struct {
	*Controller
	fleet *controllertest.Fleet
}

// newGrowthBench returns a controller with the records of a fleet and an uptime of an hour.
func newGrowthBench(b *testing.B, machines int) *growthBench {
	b.Helper()
	c, fleet := newTestController(b), controllertest.NewFleet(machines)
	fleet.Join(b, c.cache, c.membership, c.registry)
	c.startedAt = time.Now().Add(-time.Hour)
	return &growthBench{c, fleet}
}

// BenchmarkGrowth measures how the cost of a controller's operations grows with the fleet: a heartbeat
// of a full machine (against an existing snapshot), a new snapshot, reservations with preemption, reservations
// for overdue gangs, the status shared with peers and its size, and a reload. The benchmarks of the leader's
// operations are in package leader.
func BenchmarkGrowth(b *testing.B) {
	for _, machines := range []int{1000, 4000, 16000} {
		var g *growthBench
		for _, bench := range []struct {
			name string
			run  func(*growthBench, *testing.B)
		}{
			{"report", (*growthBench).heartbeats},
			{"picture", (*growthBench).snapshots},
			{"gangs", (*growthBench).reservations},
			{"gather", (*growthBench).overdueGangs},
			{"status", (*growthBench).statuses},
			{"reload", (*growthBench).reloads},
		} {
			b.Run(fmt.Sprintf("%s/%d", bench.name, machines), func(b *testing.B) {
				if g == nil {
					g = newGrowthBench(b, machines)
				}
				watchcache.SetStateForTest(b, g.cache, 1, time.Now())
				b.ReportAllocs()
				b.ResetTimer()
				bench.run(g, b)
			})
		}
	}
}

func (g *growthBench) heartbeats(b *testing.B) {
	b.Helper()
	g.scheduler.Snapshot(time.Now())
	for i := range b.N {
		heartbeat := *g.fleet.Reports[1+i%(len(g.fleet.Reports)-1)]
		if len(heartbeat.Tasks) == 0 {
			heartbeat = *g.fleet.Reports[1]
		}
		heartbeat.Sequence = g.registry.Worker(heartbeat.Machine).Sequence + 1
		g.Heartbeats.Heartbeat(b.Context(), &heartbeat)
	}
}

func (g *growthBench) snapshots(b *testing.B) {
	b.Helper()
	for range b.N {
		g.scheduler.InvalidateSnapshot()
		g.scheduler.Snapshot(time.Now())
	}
}

func (g *growthBench) reservations(b *testing.B) {
	b.Helper()
	snapshot := g.scheduler.Snapshot(time.Now())
	b.ResetTimer()
	for range b.N {
		snapshot.ReserveForPlaceableGangs()
		placement.PlanPreemption(snapshot)
	}
}

func (g *growthBench) overdueGangs(b *testing.B) {
	b.Helper()
	snapshot := g.scheduler.Snapshot(time.Now())
	for i := range snapshot.Queue { // make all queued jobs overdue
		snapshot.Queue[i].Overdue, snapshot.Queue[i].Waiting = true, time.Minute
	}
	b.ResetTimer()
	for range b.N {
		placement.ReserveForOverdueGangs(snapshot)
	}
}

func (g *growthBench) statuses(b *testing.B) {
	b.Helper()
	size := 0
	for range b.N {
		encoded, err := cbor.Marshal(g.status())
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "frame-bytes")
}

func (g *growthBench) reloads(b *testing.B) {
	b.Helper()
	for range b.N {
		records := ledger.New(Limits(g.set))
		for _, record := range g.fleet.Records {
			records.Apply(record)
		}
	}
}

// BenchmarkReportWaits measures the latency of heartbeats of machines with tasks, most of which is spent
// waiting for the cache's lock. It runs a leading controller with all its components for half a minute. A third
// of the fleet sends heartbeats to it on a fixed schedule (an open-loop load), so that slow answers don't delay
// later heartbeats, and it exchanges status probes with two peers every second.
func BenchmarkReportWaits(b *testing.B) {
	for _, machines := range []int{4000, 16000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				runHeartbeats(b, machines, 30*time.Second)
			}
		})
	}
}

// runHeartbeats runs one iteration of BenchmarkReportWaits and reports the quantiles of the latency.
func runHeartbeats(b *testing.B, machines int, length time.Duration) {
	b.Helper()
	set := newTestSettings(b, 0)
	set.Cluster.State.RPS, set.Cluster.State.WriteRPS = 200, 60
	fleet := controllertest.NewFleet(machines)
	c := New(set, emulator.NewLink(newFleetStore(b, set, fleet), 1), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(b.Context(), length)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	c.registerComponents(newExhaustedCloud())
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
	for _, status := range fleet.Peers {
		every(time.Second, 0, func() { c.mergePeerStatus(peer.Response{Status: status, AsOf: time.Now()}) })
		every(time.Second, 500*time.Millisecond, func() { _, _ = cbor.Marshal(c.answerProbe(status)) })
	}
	for ready := false; !ready; {
		c.cache.Read(func(*ledger.Ledger) { ready = c.cache.Token() != 0 })
		time.Sleep(10 * time.Millisecond)
	}
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	settledAt := time.Now().Add(length / 5) // leave out the registration of the machines
	period := set.Cluster.Workers.Report.Duration()
	for i, heartbeat := range fleet.Reports {
		due := time.Now().Add(period * time.Duration(i) / time.Duration(len(fleet.Reports)))
		every(period, time.Until(due), func() {
			sentAt := due
			due = due.Add(period)
			sent := *heartbeat
			heartbeat.Sequence++
			c.Heartbeats.Heartbeat(ctx, &sent)
			if len(heartbeat.Tasks) > 0 && sentAt.After(settledAt) && ctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()
				_ = latencies.RecordValue(time.Since(sentAt).Microseconds()) // drops values out of range
			}
		})
	}
	<-ctx.Done()
	running.Wait()
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99.9))/1000, "p99.9-ms")
	b.ReportMetric(float64(latencies.Max())/1000, "max-ms")
	b.ReportMetric(float64(latencies.TotalCount()), "reports")
}
