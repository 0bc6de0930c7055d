package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// readMachineTypes reads the machine types and their prices from the cloud, and records those that are new
// or have changed in anything but their prices.
func (t *term) readMachineTypes(ctx context.Context) error {
	list, err := t.cloud.MachineTypes(ctx)
	if err != nil {
		return err
	}
	t.machineTypesReadAt = time.Now()
	t.machineTypes = map[wire.MachineTypeName]wire.MachineType{}
	for _, machineType := range list {
		t.machineTypes[machineType.Name] = machineType
		if t.isRecorded(machineType) {
			continue
		}
		if err := t.recordMachineType(ctx, machineType); err != nil {
			t.machineTypesReadAt = time.Time{}
			return err
		}
	}
	return nil
}

// isRecorded reports whether the records hold this definition of a machine type. Prices are not compared,
// because they change frequently.
func (t *term) isRecorded(machineType wire.MachineType) bool {
	t.leader.Cache.Lock()
	recorded, found := t.leader.records().MachineType(machineType.Name)
	t.leader.Cache.Unlock()
	recorded.Price, recorded.SpotPrice = machineType.Price, machineType.SpotPrice
	return found && fmt.Sprint(recorded) == fmt.Sprint(machineType)
}

// recordMachineType writes a machine type to the records.
func (t *term) recordMachineType(ctx context.Context, machineType wire.MachineType) error {
	value, err := json.Marshal(machineType)
	if err != nil {
		return fmt.Errorf("leader: encode machine type %s: %w", machineType.Name, err)
	}
	_, err = t.leader.Committer.Commit(ctx, wire.Txn{
		If:   []wire.Condition{t.fencingCondition()},
		Then: []wire.Change{{Put: ledger.MachineTypeKey(machineType.Name), Value: value}},
	})
	return err
}

// readMachineList reads the list of provisioned machines from the cloud.
func (t *term) readMachineList(ctx context.Context) error {
	list, err := t.cloud.List(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	t.listReadAt, t.listRead = now, true
	for _, listed := range list {
		m := t.machines[listed.ID]
		if m == nil {
			m = &machine{requestedAt: now.Add(-listed.Age.Duration())}
			t.machines[listed.ID] = m
		}
		m.ListedMachine = listed
	}
	return nil
}

// observe merges the heartbeats received by this controller and its peers, and the recorded claims, into
// the state of the machines.
func (t *term) observe(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	t.updateObservingSince(now)
	l.Registry.Each(func(w *reconcile.Worker) {
		status := l.workerStatus(w, now)
		t.observeHeartbeat(&status, w.LastHeartbeat, l.set.Member)
	})
	for _, p := range l.Membership.Peers() {
		for i := range p.Status.Machines {
			status := &p.Status.Machines[i]
			t.observeHeartbeat(status, p.HeartbeatAt(status), p.Status.Member)
		}
	}
	l.records().EachClaimedMachine(func(id wire.MachineID, held []ledger.HeldClaim) {
		if t.machines[id] == nil {
			// The machine has claims but has not sent a heartbeat to any controller in this term.
			t.machines[id] = &machine{
				ListedMachine: wire.ListedMachine{ID: id, Zone: held[0].Zone, State: wire.MachineRunning},
				requestedAt:   now,
				lastHeartbeat: t.startedAt,
			}
		}
	})
	t.updateUsage(now)
}

// workerStatus returns the status of a worker that reports to this controller, in the format that peers
// use for theirs. The caller holds the cache's lock.
func (l *Leader) workerStatus(w *reconcile.Worker, now time.Time) peer.Machine {
	status := peer.Machine{
		ID:            w.ID,
		Type:          w.Type,
		Zone:          w.Zone,
		Spot:          w.Spot,
		Faulty:        l.Failures.Faulty(l.records(), w.ID, now),
		UnreachableMS: w.UnreachableFor(now).Milliseconds(),
	}
	if status.Faulty {
		status.QuarantineReason = l.Failures.QuarantineReason(w.ID)
	}
	if !w.ReclaimAt.IsZero() {
		status.ReclaimMS = 1
	}
	return status
}

// observeHeartbeat merges the status from a heartbeat that controller by received at a given time, if it is
// the machine's latest.
func (t *term) observeHeartbeat(status *peer.Machine, at time.Time, by wire.MemberID) {
	m := t.machines[status.ID]
	if m == nil {
		m = &machine{
			ListedMachine: wire.ListedMachine{ID: status.ID, Type: status.Type, Zone: status.Zone, Spot: status.Spot},
			requestedAt:   at,
		}
		t.machines[status.ID] = m
	}
	if m.booting() {
		t.bootTimes.Observe(m.kind(), m.requestedAt, at)
	}
	if !at.After(m.lastHeartbeat) {
		return
	}
	m.Type, m.Zone, m.Spot = status.Type, status.Zone, status.Spot
	m.lastHeartbeat = at
	m.reportsTo = by
	m.reclaimNotice = status.ReclaimMS != 0
	m.faulty = status.Faulty
	m.quarantineReason = status.QuarantineReason
	m.unreachableFor = time.Duration(status.UnreachableMS) * time.Millisecond
}

// updateUsage updates since when each machine is idle, and accumulates the running time and the reclaims of
// spot machines. The caller holds the cache's lock.
func (t *term) updateUsage(now time.Time) {
	l := t.leader
	spotMachines := 0
	for id, m := range t.machines {
		if m.Spot && !m.booting() && l.records().MachinePhase(id) == "" {
			spotMachines++
			if m.reclaimNotice {
				t.countReclaim(m)
			}
		}
		if len(l.records().ClaimsOn(id)) > 0 {
			m.idleSince = time.Time{}
		} else if m.idleSince.IsZero() {
			m.idleSince = now
		}
	}
	l.SpotReclaims.AddMachineTime(spotMachines, now)
}

// countReclaim counts the reclaim of a spot machine, once per machine.
func (t *term) countReclaim(m *machine) {
	if m.Spot && !m.reclaimCounted {
		m.reclaimCounted = true
		t.leader.SpotReclaims.RecordReclaim()
	}
}

// updateObservingSince advances observingSince after a pause of this process or a loss of sync with the
// store: heartbeats that were missed then say nothing about the machines. The caller holds the cache's lock.
func (t *term) updateObservingSince(now time.Time) {
	l := t.leader
	t.observingSince = l.Membership.SilenceCountsFrom(t.observingSince, l.Cache.SyncedAt(), now)
}
