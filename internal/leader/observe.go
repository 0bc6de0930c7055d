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

// readMachineTypes reads the machine types and their prices from the cloud, and records those that are
// new or have changed in more than their price.
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

// isRecorded reports whether the records hold a machine type. Its prices, which change all the time, are
// not compared.
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
		return fmt.Errorf("leader: record machine type %s: %w", machineType.Name, err)
	}
	_, err = t.leader.Committer.Commit(ctx, wire.Txn{
		If:   []wire.Condition{t.whileLeader()},
		Then: []wire.Change{{Put: ledger.MachineTypeKey(machineType.Name), Value: value}},
	})
	return err
}

// readMachineList reads the list of rented machines from the cloud.
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

// observe merges the heartbeats that this controller and its peers have got, and the claims on record,
// into the state of the machines.
func (t *term) observe(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	t.updateSilenceCountsFrom(now)
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
	l.records().EachHolder(func(id wire.MachineID, held []ledger.HeldClaim) {
		if t.machines[id] == nil {
			// Claims on a machine that has reported to nobody in this term.
			t.machines[id] = &machine{
				ListedMachine: wire.ListedMachine{ID: id, Zone: held[0].Zone, State: wire.MachineRunning},
				requestedAt:   now,
				lastHeartbeat: t.startedAt,
			}
		}
	})
	t.observeUse(now)
}

// workerStatus returns the status of a worker that reports to this controller, in the form in which
// peers share theirs. The caller holds the cache's lock.
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

// observeHeartbeat merges a heartbeat that a controller got at a time, if it is the machine's latest.
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

// observeUse keeps the time since which each machine is idle, and counts the time of spot machines and
// their reclaims. The caller holds the cache's lock.
func (t *term) observeUse(now time.Time) {
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
	l.SpotReclaims.CountMachineTime(spotMachines, now)
}

// countReclaim counts a spot machine that the cloud reclaims, once.
func (t *term) countReclaim(m *machine) {
	if m.Spot && !m.reclaimCounted {
		m.reclaimCounted = true
		t.leader.SpotReclaims.Observe()
	}
}

// updateSilenceCountsFrom moves on the time from which silence of machines counts, after a pause of
// this process or a loss of sync with the store. The caller holds the cache's lock.
func (t *term) updateSilenceCountsFrom(now time.Time) {
	l := t.leader
	t.silenceCountsFrom = l.Membership.SilenceCountsFrom(t.silenceCountsFrom, l.Cache.SyncedAt(), now)
}
