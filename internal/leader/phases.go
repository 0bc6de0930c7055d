package leader

import (
	"maps"
	"time"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Reasons for the phase of a machine, as they are recorded.
const (
	reasonFailed    = "failed"
	reasonReclaimed = "taken back"
	reasonLost      = "lost"
	reasonNeverUp   = "never came up"
	reasonFaulty    = "faulty"
	reasonIdle      = "idle"
	reasonReturned  = "returned"
)

// faultyReturnWindow is for how long a machine that was returned as faulty counts against others of
// its kind.
const faultyReturnWindow = 30 * time.Minute

// phaseKey names a change of a machine's phase.
type phaseKey struct {
	machine wire.MachineID
	phase   ledger.MachinePhase
}

// terminateLost sets the phase of the machines that are to be returned whatever runs on them: failed,
// reclaimed, lost, never up, or faulty.
func (t *term) terminateLost(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	t.updateSilenceCountsFrom(now)
	for id, m := range t.machines {
		if phase := l.records().MachinePhase(id); phase == ledger.Terminating || phase == ledger.Terminated {
			continue
		}
		reason := t.terminationReason(m, now)
		if reason == "" {
			continue
		}
		if reason == reasonLost && now.After(t.silentZonesUntil[m.Zone]) {
			t.countReclaim(m) // without notice
		}
		t.setPhase(id, ledger.Terminating, reason)
	}
}

// terminationReason returns why a machine is to be returned whatever runs on it, "" if it is not. A
// machine for which it returns reasonFaulty counts as returned. The caller holds the cache's lock.
func (t *term) terminationReason(m *machine, now time.Time) string {
	switch {
	case m.State == wire.MachineFailed:
		return reasonFailed
	case !m.booting() && m.reclaimNotice && t.silentFor(m, now) > 2*t.leader.set.Cluster.Workers.Report.Duration():
		return reasonReclaimed
	case !m.booting() && t.silentFor(m, now) > t.lostAfter(m, now):
		return reasonLost
	case m.booting() && t.neverCameUp(m, now):
		return reasonNeverUp
	case m.faulty && t.mayReturnFaulty(m, now):
		if m.quarantineReason != "" {
			return reasonFaulty + ": " + m.quarantineReason
		}
		return reasonFaulty
	}
	return ""
}

// silentFor returns for how long a machine has sent no heartbeat, as far as it could have been
// received.
func (t *term) silentFor(m *machine, now time.Time) time.Duration {
	return min(now.Sub(m.lastHeartbeat), now.Sub(t.silenceCountsFrom))
}

// lostAfter returns for how long a machine may be silent. One that last reported to another controller
// that is itself silent gets the time that its worker needs to find another one, and for which that
// controller may go on answering alone. The caller holds the cache's lock.
func (t *term) lostAfter(m *machine, now time.Time) time.Duration {
	l := t.leader
	d := l.set.Operators.LostAfter
	if m.reportsTo != l.set.Member {
		if peer := l.Membership.Peer(m.reportsTo); peer == nil || now.Sub(peer.AsOf) > silentPeerAfter {
			d += l.set.HeartbeatGrace()
		}
	}
	return d
}

// silentPeerAfter is the age of a controller's last status from which on it counts as silent.
const silentPeerAfter = 4 * time.Second

// neverCameUp reports whether a booting machine has had more than the time that its boot may take.
func (t *term) neverCameUp(m *machine, now time.Time) bool {
	boot := t.machineTypes[m.Type].Boot.Duration()
	return boot > 0 && now.Sub(m.requestedAt) > t.bootTimes.BootTimeout(m.kind(), boot) &&
		now.Sub(t.silenceCountsFrom) > t.leader.set.Operators.LostAfter
}

// mayReturnFaulty reports whether a machine that is judged faulty may be returned, and counts it as
// returned if so. Where machines are quarantined by evidence, no more than a share of a kind's machines
// is returned within faultyReturnWindow, whatever they were judged by.
func (t *term) mayReturnFaulty(m *machine, now time.Time) bool {
	quarantine := t.leader.set.Operators.Quarantine
	if !quarantine.On {
		return true
	}
	kind, total := m.kind(), 0
	for _, other := range t.machines {
		if other.kind() == kind {
			total++
		}
	}
	returned := t.returnedFaulty[kind]
	if returned == nil {
		returned = map[wire.MachineID]time.Time{}
		t.returnedFaulty[kind] = returned
	}
	maps.DeleteFunc(returned, func(_ wire.MachineID, at time.Time) bool { return now.Sub(at) > faultyReturnWindow })
	if _, counted := returned[m.ID]; !counted && len(returned) >= quarantine.MaxQuarantined(total) {
		return false
	}
	returned[m.ID] = now
	return true
}

// setPhase enqueues a change of a machine's phase, on the condition that this term still leads. A change
// that is under way is not repeated. The caller holds the cache's lock.
func (t *term) setPhase(id wire.MachineID, phase ledger.MachinePhase, reason string) {
	key := phaseKey{machine: id, phase: phase}
	if change := t.phaseChanges[key]; change != nil && change.Pending() {
		return
	}
	t.leader.log.Info("machine phase changed", "machine", id, "phase", phase, "why", reason)
	if !t.recordStands() {
		return
	}
	change := &committer.Change{
		Draft: func(txn *ledger.Transaction) error { return txn.SetMachinePhase(id, phase, reason, t.recordVersion) },
	}
	t.leader.Committer.Enqueue(change)
	t.phaseChanges[key] = change
}
