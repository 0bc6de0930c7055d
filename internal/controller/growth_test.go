package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"maddermill/internal/ledger"
	"maddermill/internal/mesh"
	"maddermill/internal/place"
	"maddermill/internal/workers"
	"maddermill/wire"
)

// grown is a controller that leads a fleet of machines, a third of which report to it.
// Each machine but one in a hundred is full; 500 gangs and 500 arrays wait.
type grown struct {
	*Core
	l       *leader
	reports []*wire.Report
	records []ledger.Event
}

func growTo(b *testing.B, machines int) *grown {
	c := quietCore(b, 0)
	g := &grown{Core: c}
	c.led = ledger.New(c.limits())
	now := time.Now()
	add := func(key, value string) {
		e := ledger.Event{Key: key, Value: []byte(value), Version: wire.Revision(len(g.records) + 1)}
		g.records = append(g.records, e)
		c.led.Apply(e)
	}
	add(ledger.FlavorKey("g2"), `{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"disk_gb":50,"fetch_gb_per_s":1,"hourly_price":4,"startup_s":20,"yards":["a","b","c"]}`)
	name := func(i int) wire.MachineID { return wire.MachineID(fmt.Sprintf("host-%06d", i)) }
	job := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	spec := `{"spec":{"id":"%s","workclass":"c","owner":"free","shape":"%s","urgency":"%s","pieces":%d,"cores":4,"accelerators":1,"ram_gb":8,"bundle":"img-%d","pull_gb":4,"loaners":true,"expect_s":60},"at":%d%s}`
	for i := range machines {
		if i%100 != 0 {
			add("mm1/j/"+job(i), fmt.Sprintf(spec, job(i), "array", "normal", 2, i%20, i, fmt.Sprintf(`,"a":1,"c":[[1,"%s","%s",1,1,0,2]]`, name(i), zoneOf(i))))
		}
	}
	for i := range 1000 {
		id, shape, tasks := machines+i, "array", 20
		if i%2 == 0 {
			shape, tasks = "gang", 8
		}
		add("mm1/j/"+job(id), fmt.Sprintf(spec, job(id), shape, "high", tasks, i%20, id, ""))
	}
	c.loaded, c.token, c.contact, c.boot = true, 1, now, now.Add(-time.Hour)
	c.led.CaughtUp(wire.Revision(len(g.records)))
	peers := [2]mesh.Status{}
	for i := range machines {
		r := &wire.Report{Machine: name(i), Type: "g2", Zone: zoneOf(i), Session: 1, Tally: 1, Token: 1}
		if i%100 != 0 {
			for k := range 2 {
				r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskID{Job: wire.JobID(job(i)), Index: wire.TaskIndex(k)}, Attempt: 1, State: wire.TaskRunning})
			}
		}
		if k := i % 3; k > 0 {
			peers[k-1].Machines = append(peers[k-1].Machines, mesh.Machine{ID: r.Machine, Type: r.Type, Zone: r.Zone, Session: 1, Token: 1, Usable: true,
				Images: []wire.Image{"img-1", "img-2", "img-3", wire.Image(fmt.Sprintf("img-%d", i%20))}})
			continue
		}
		w := workers.NewWorker(r, now)
		c.workers[w.ID] = w
		w.Take(r, c.led.HeldBy(w.ID), 1, now)
		g.reports = append(g.reports, r)
	}
	for i := range peers {
		peers[i].Version, peers[i].Member, peers[i].Loaded = mesh.Version, wire.MemberID(fmt.Sprint("m-", i+1)), true
		c.heardPeer(mesh.Answer{Status: peers[i], Asked: now})
	}
	g.l = &leader{c: c, units: map[wire.MachineID]*unit{}, boots: boots{}, placing: map[wire.JobID]gangStart{}, marking: map[markKey]*change{}, dark: map[wire.Zone]time.Time{},
		returned: map[wire.MachineID]bool{}, released: map[wire.MachineID]time.Time{}, settled: now, renewed: now, began: now,
		flavors: c.led.Flavors(), listed: true}
	return g
}

func zoneOf(i int) wire.Zone { return []wire.Zone{"a", "b", "c"}[i%3] }

// BenchmarkGrowth is what a controller's duties cost by the size of the fleet: a report
// of a full machine (in between pictures), a new picture, the leader's passes, the status
// told to a peer, with its bytes, and a reload.
func BenchmarkGrowth(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		var g *grown
		run := func(name string, f func(b *testing.B)) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				if g == nil {
					g = growTo(b, n)
				}
				g.contact = time.Now()
				b.ReportAllocs()
				b.ResetTimer()
				f(b)
			})
		}
		run("report", func(b *testing.B) {
			g.view(time.Now())
			for i := range b.N {
				r := *g.reports[1+i%(len(g.reports)-1)]
				if len(r.Tasks) == 0 {
					r = *g.reports[1]
				}
				w := g.workers[r.Machine]
				r.Tally = w.Tally + 1
				g.seenAt, g.surplus = time.Now(), surplus{} // no new picture within
				g.Report(b.Context(), &r)
			}
		})
		run("picture", func(b *testing.B) {
			for range b.N {
				g.look(time.Now())
			}
		})
		run("gangs", func(b *testing.B) {
			v := g.look(time.Now())
			b.ResetTimer()
			for range b.N {
				v.Reserve()
				place.MakeRoom(v)
			}
		})
		run("leader", func(b *testing.B) {
			for range b.N {
				now := time.Now()
				g.l.observe(now)
				g.l.watchZones(now)
				g.l.markLost(now)
				_ = g.l.planned(now)
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
				led := ledger.New(g.limits())
				for _, e := range g.records {
					led.Apply(e)
				}
			}
		})
	}
}
