package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
)

func newControllerWithFleet(b *testing.B, machines int) (*Controller, *controllertest.Fleet) {
	c, f := newTestController(b, 0), controllertest.NewFleet(machines)
	f.Join(c.cache, c.membership, c.registry)
	c.boot = time.Now().Add(-time.Hour)
	return c, f
}

// BenchmarkGrowth is what a controller's duties cost by the size of the fleet: a report
// of a full machine (in between pictures), a new picture, the status told to a peer, with its
// bytes, and a reload. What it costs the leader is in package lead.
func BenchmarkGrowth(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		var g *Controller
		var f *controllertest.Fleet
		run := func(name string, what func(b *testing.B)) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				if g == nil {
					g, f = newControllerWithFleet(b, n)
				}
				g.cache.SetForTest(1, time.Now())
				b.ReportAllocs()
				b.ResetTimer()
				what(b)
			})
		}
		run("report", func(b *testing.B) {
			g.scheduler.Snapshot(time.Now())
			for i := range b.N {
				r := *f.Reports[1+i%(len(f.Reports)-1)]
				if len(r.Tasks) == 0 {
					r = *f.Reports[1]
				}
				w := g.registry.Worker(r.Machine)
				r.Sequence = w.Sequence + 1
				g.Heartbeats.Heartbeat(b.Context(), &r)
			}
		})
		run("picture", func(b *testing.B) {
			for range b.N {
				g.scheduler.InvalidateSnapshot()
				g.scheduler.Snapshot(time.Now())
			}
		})
		run("gangs", func(b *testing.B) {
			v := g.scheduler.Snapshot(time.Now())
			b.ResetTimer()
			for range b.N {
				v.Reserve()
				placement.PlanPreemption(v)
			}
		})
		run("gather", func(b *testing.B) {
			v := g.scheduler.Snapshot(time.Now())
			for i := range v.Queue { // all have waited for long
				v.Queue[i].Overdue, v.Queue[i].Waiting = true, time.Minute
			}
			b.ResetTimer()
			for range b.N {
				placement.ReserveForOverdueGangs(v)
			}
		})
		run("status", func(b *testing.B) {
			size := 0
			for range b.N {
				buf, err := cbor.Marshal(g.status())
				if err != nil {
					b.Fatal(err)
				}
				size = len(buf)
			}
			b.ReportMetric(float64(size), "frame-bytes")
		})
		run("reload", func(b *testing.B) {
			for range b.N {
				led := ledger.New(Limits(g.set))
				for _, e := range f.Records {
					led.Apply(e)
				}
			}
		})
	}
}
