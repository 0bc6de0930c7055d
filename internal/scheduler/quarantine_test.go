package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// TestQuarantineIsLimited verifies that a machine considered faulty gets no tasks, unless more of a
// type's machines in a zone are considered faulty than the settings allow. Then all of them get
// tasks, because the detection is more likely to be wrong than the machines.
func TestQuarantineIsLimited(t *testing.T) {
	for _, faulty := range []int{1, 2, 3} {
		p := controllertest.New(t, 0)
		p.Set.Operators.Quarantine = settings.Quarantine{On: true, MaxFaultyShare: 0.1}
		p.Failures.EnableQuarantine(quarantine.DefaultPriors)
		now := time.Now()
		records := p.Cache.Records()
		watchcache.SetStateForTest(t, p.Cache, 1, now)
		records.Apply(
			ledger.Event{
				Key:     ledger.MachineTypeKey("g2"),
				Version: 1,
				Value:   []byte(`{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"yards":["a"]}`),
			},
		)
		name := func(i int) wire.MachineID { return wire.MachineID(fmt.Sprint("host-", i)) }
		for i := range 20 {
			r := &wire.Heartbeat{Machine: name(i), Type: "g2", Zone: "a", Epoch: 1, Sequence: 1, FencingToken: 1}
			p.Registry.Register(r, now).Reconcile(r, nil, 1, now)
		}
		at := now.Add(-time.Hour)
		for n := range 200 { // each job fails on the faulty machines and completes elsewhere
			j := controllertest.AddJob(records, n, wire.Array, 1)
			at = at.Add(10 * time.Second)
			for i := range faulty {
				p.Failures.RecordFailure(j, 0, name(i), "", at)
			}
			for i := range 4 {
				p.Failures.RecordCompletion(j, 0, name(faulty+(4*n+i)%(20-faulty)), "", 0, at)
			}
			p.Failures.Faulty(records, name(0), at)
		}
		p.Scheduler.Snapshot(now)
		p.Scheduler.InvalidateSnapshot()
		usable := 0
		for _, m := range p.Scheduler.Snapshot(now).Machines {
			if m.Usable {
				usable++
			}
		}
		want := 20 - faulty
		if faulty > 2 {
			want = 20
		}
		if usable != want {
			t.Errorf("%d faulty machines: %d of 20 usable, want %d", faulty, usable, want)
		}
	}
}
