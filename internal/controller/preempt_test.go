package controller

import (
	"testing"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/mesh"
	"maddermill/internal/workers"
	"maddermill/wire"
)

// TestEmptyingIsAskedOfTheHolder: a holder empties a machine that the fleet's leader asks
// for, once, and keeps the room; what another asks for, or what was asked for before a
// standstill, is passed over.
func TestEmptyingIsAskedOfTheHolder(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name  string
		from  wire.MemberID
		asked time.Time
		kept  bool
	}{
		{"by the leader", "m-1", now, true},
		{"by another", "m-2", now, false},
		{"long ago", "m-1", now.Add(-time.Minute), false},
	} {
		c := quietCore(t, 0)
		c.contact = now
		c.led.Apply(ledger.Event{Key: ledger.LeaderKey, Version: 1, Value: []byte(`{"by":"m-1","token":5}`)})
		c.workers["host-1"] = workers.NewWorker(&wire.Report{Machine: "host-1"}, now)
		j := addJob(c, 2, wire.Gang, 4, "")
		ask := mesh.Answer{Asked: tc.asked, Status: mesh.Status{Member: tc.from, Emptying: []mesh.Emptying{{Machine: "host-1", Job: j.ID, Tasks: 2, LeftMS: 5000}, {Machine: "host-elsewhere", Job: j.ID, Tasks: 2, LeftMS: 5000}}}}
		c.heardPeer(ask)
		c.heardPeer(ask)
		if r, ok := c.making["host-1"]; ok != tc.kept || ok && r.job != j.ID || len(c.making) > 1 {
			t.Errorf("%s: kept %v for %q", tc.name, ok, r.job)
		}
	}
}
