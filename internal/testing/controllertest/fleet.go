package controllertest

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/peer"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// Fleet is the state of a deployment of three controllers, each of which receives the heartbeats of a third of
// the machines. Every hundredth machine is idle and the others are full; 500 gangs and 500 arrays are pending.
type Fleet struct {
	Records []ledger.Event
	Reports []*wire.Heartbeat // from the machines that report to the first controller
	Peers   [2]peer.Status    // as the other two controllers publish it
}

// Templates of the fleet's records, in their stored form.
const (
	machineTypeRecord = `{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"disk_gb":50,"fetch_gb_per_s":1,` +
		`"hourly_price":4,"startup_s":20,"yards":["a","b","c"]}`
	jobRecord = `{"spec":{"id":"%s","workclass":"c","owner":"free","shape":"%s","urgency":"%s","pieces":%d,"cores":4,` +
		`"accelerators":1,"ram_gb":8,"bundle":"img-%d","pull_gb":4,"loaners":true,"expect_s":60},"at":%d%s}`
	claimFields = `,"a":1,"c":[[1,"%s","%s",1,1,0,2]]`
)

// Zone returns the zone of the ith machine of a fleet.
func Zone(i int) wire.Zone { return []wire.Zone{"a", "b", "c"}[i%3] }

// NewFleet returns a fleet with the given number of machines.
func NewFleet(machines int) *Fleet {
	f := new(Fleet)
	add := func(key, value string) {
		f.Records = append(
			f.Records,
			ledger.Event{Key: key, Value: []byte(value), Version: wire.Revision(len(f.Records) + 1)},
		)
	}
	add(
		ledger.MachineTypeKey("g2"),
		machineTypeRecord,
	)
	name := func(i int) wire.MachineID { return wire.MachineID(fmt.Sprintf("host-%06d", i)) }
	job := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	for i := range machines {
		if i%100 != 0 {
			add(
				"mm1/j/"+job(i),
				fmt.Sprintf(
					jobRecord,
					job(i),
					"array",
					"normal",
					2,
					i%20,
					i,
					fmt.Sprintf(claimFields, name(i), Zone(i)),
				),
			)
		}
	}
	for i := range 1000 {
		id, shape, tasks := machines+i, "array", 20
		if i%2 == 0 {
			shape, tasks = "gang", 8
		}
		add("mm1/j/"+job(id), fmt.Sprintf(jobRecord, job(id), shape, "high", tasks, i%20, id, ""))
	}
	for i := range machines {
		r := &wire.Heartbeat{Machine: name(i), Type: "g2", Zone: Zone(i), Epoch: 1, Sequence: 1, FencingToken: 1}
		if i%100 != 0 {
			for k := range 2 {
				r.Tasks = append(
					r.Tasks,
					wire.TaskStatus{
						Task:    wire.TaskID{Job: wire.JobID(job(i)), Index: wire.TaskIndex(k)},
						Attempt: 1,
						State:   wire.TaskRunning,
					},
				)
			}
		}
		if k := i % 3; k > 0 {
			f.Peers[k-1].Machines = append(
				f.Peers[k-1].Machines,
				peer.Machine{ID: r.Machine, Type: r.Type, Zone: r.Zone, Epoch: 1, Token: 1, Usable: true,
					Images: []wire.Image{"img-1", "img-2", "img-3", wire.Image(fmt.Sprintf("img-%d", i%20))}},
			)
			continue
		}
		f.Reports = append(f.Reports, r)
	}
	for i := range f.Peers {
		f.Peers[i].Version, f.Peers[i].Member, f.Peers[i].Loaded = peer.Version, wire.MemberID(fmt.Sprint("m-", i+1)), true
	}
	return f
}

// Join loads the fleet into the first controller: its records into the watch cache, the heartbeats of its
// workers into the registry, and the status of the other controllers into the membership.
func (f *Fleet) Join(
	tb testing.TB,
	cache *watchcache.Cache,
	members *membership.Membership,
	registry *reconcile.Registry,
) {
	tb.Helper()
	now := time.Now()
	cache.Read(func(l *ledger.Ledger) {
		for _, e := range f.Records {
			l.Apply(e)
		}
		watchcache.SetStateForTest(tb, cache, 1, now)
		l.AdvanceRevision(wire.Revision(len(f.Records)))
		for _, report := range f.Reports {
			registry.Register(report, now).Reconcile(report, l.ClaimsOn(report.Machine), 1, now)
		}
	})
	for _, s := range f.Peers {
		members.ObserveStatus(s, now)
	}
}
