package placement_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/model"
	"maddermill/wire"
)

// TestPlaceOnMachineMatchesModel compares PlaceOnMachine with the reference model, which places
// task by task without indexes, on random queues and machines.
func TestPlaceOnMachineMatchesModel(t *testing.T) {
	nonEmpty, reserved := 0, 0
	for seed := uint64(1); seed <= 3000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 60000,
			TeamMax: map[wire.Team]ledger.Resources{"capped": ledger.NewResources(5, 3, 0)}})
		v := &placement.Snapshot{
			Now:                start,
			Queue:              jobs(t, rng, l, 1+rng.IntN(8)),
			RemainingTeamQuota: l.RemainingTeamQuota,
			FetchesInFlight:    rng.IntN(3),
			Limits: placement.Limits{
				MaxColdStarts:     2,
				AssumedFetchTime:  time.Minute,
				MaxColdStartDelay: 9 * time.Second,
			},
			HeadReservations: map[wire.MachineID]wire.JobID{},
		}
		for i := range 3 {
			v.Machines = append(v.Machines, machine(rng, i))
		}
		if rng.IntN(3) == 0 {
			v.HeadReservations[v.Machines[rng.IntN(3)].ID] = v.Queue[0].Job.ID
		}
		v.ReserveForPlaceableGangs()
		if len(v.PlannedGangTasks) > 0 {
			reserved++
		}
		v.ReserveTeamQuota()
		if rng.IntN(3) == 0 {
			v.ReserveMachine(v.Machines[rng.IntN(3)].ID, v.Queue[rng.IntN(len(v.Queue))].Job.ID)
		}
		m := v.Machines[0]
		want := model.PlaceOnMachine(v, m)
		got := map[wire.JobID]int{}
		for _, s := range placement.PlaceOnMachine(v, m) {
			got[s.Job.ID] += s.Count
		}
		if !maps.Equal(got, want) {
			t.Fatalf("seed %d: placed %v, model placed %v", seed, got, want)
		}
		if len(got) > 0 {
			nonEmpty++
		}
	}
	if nonEmpty < 500 || reserved < 200 {
		t.Errorf("of 3000 cases, only %d place tasks and %d reserve capacity", nonEmpty, reserved)
	}
}
