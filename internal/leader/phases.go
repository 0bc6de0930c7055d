package leader

import (
	"maps"
	"time"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Reasons for phase changes of machines. They are stored in the records.
const (
	reasonFailed      = "failed"
	reasonReclaimed   = "taken back"
	reasonLost        = "lost"
	reasonBootTimeout = "never came up"
	reasonFaulty      = "faulty"
	reasonIdle        = "idle"
	reasonReturned    = "returned"
)

// faultyReturnWindow is the sliding window of the limit on machines of a kind that are terminated as
// faulty.
const faultyReturnWindow = 30 * time.Minute

// phaseKey identifies a phase change of a machine.
type phaseKey struct {
	machine wire.MachineID
	phase   ledger.MachinePhase
}

// terminateUnhealthy enqueues the phase Terminating for the machines that must be terminated even if tasks
// run on them: those that have failed, were reclaimed, are lost, did not boot in time, or are faulty.
func (t *term) terminateUnhealthy(now time.Time) {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	t.updateObservingSince(now)
	for id, m := range t.machines {
		if phase := l.records().MachinePhase(id); phase == ledger.Terminating || phase == ledger.Terminated {
			continue
		}
		reason := t.terminationReason(m, now)
		if reason == "" {
			continue
		}
		if reason == reasonLost && now.After(t.silentZonesUntil[m.Zone]) {
			t.countReclaim(m) // a lost spot machine counts as reclaimed without notice
		}
		t.setPhase(id, ledger.Terminating, reason)
	}
}

// terminationReason returns why a machine must be terminated even if tasks run on it, or "" if it need not
// be. A machine for which it returns reasonFaulty counts towards the limit of allowFaultyReturn. The caller
// holds the cache's lock.
func (t *term) terminationReason(m *machine, now time.Time) string {
	switch {
	case m.State == wire.MachineFailed:
		return reasonFailed
	case !m.booting() && m.reclaimNotice && t.silentFor(m, now) > 2*t.leader.set.Cluster.Workers.Report.Duration():
		return reasonReclaimed
	case !m.booting() && t.silentFor(m, now) > t.lostAfter(m, now):
		return reasonLost
	case m.booting() && t.bootTimedOut(m, now):
		return reasonBootTimeout
	case m.faulty && t.allowFaultyReturn(m, now):
		if m.quarantineReason != "" {
			return reasonFaulty + ": " + m.quarantineReason
		}
		return reasonFaulty
	}
	return ""
}

// silentFor returns for how long no heartbeat of a machine has been received, excluding times at which
// this process could not have received one.
func (t *term) silentFor(m *machine, now time.Time) time.Duration {
	return min(now.Sub(m.lastHeartbeat), now.Sub(t.observingSince))
}

// lostAfter returns how long a machine may send no heartbeat before it is considered lost. If it last
// reported to another controller that is itself silent, the heartbeat grace is added: that controller may
// be partitioned but still answer heartbeats, and the worker needs time to find another one. The caller
// holds the cache's lock.
func (t *term) lostAfter(m *machine, now time.Time) time.Duration {
	l := t.leader
	timeout := l.set.Operators.LostAfter
	if m.reportsTo != l.set.Member {
		if peer := l.Membership.Peer(m.reportsTo); peer == nil || now.Sub(peer.AsOf) > silentPeerAfter {
			timeout += l.set.HeartbeatGrace()
		}
	}
	return timeout
}

// silentPeerAfter is the age of a controller's last status above which the controller counts as silent.
const silentPeerAfter = 4 * time.Second

// bootTimedOut reports whether a booting machine has exceeded its boot timeout.
func (t *term) bootTimedOut(m *machine, now time.Time) bool {
	boot := t.machineTypes[m.Type].Boot.Duration()
	return boot > 0 && now.Sub(m.requestedAt) > t.bootTimes.BootTimeout(m.kind(), boot) &&
		now.Sub(t.observingSince) > t.leader.set.Operators.LostAfter
}

// allowFaultyReturn reports whether a faulty machine may be terminated and, if so, counts it as terminated.
// If quarantine is enabled, at most a fraction of a kind's machines is terminated as faulty within
// faultyReturnWindow, no matter how they were classified.
func (t *term) allowFaultyReturn(m *machine, now time.Time) bool {
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

// setPhase enqueues a phase change of a machine, conditional on this controller still being the leader in
// this term. A pending change is not enqueued again. The caller holds the cache's lock.
func (t *term) setPhase(id wire.MachineID, phase ledger.MachinePhase, reason string) {
	key := phaseKey{machine: id, phase: phase}
	if change := t.phaseChanges[key]; change != nil && change.Pending() {
		return
	}
	t.leader.log.Info("machine phase changed", "machine", id, "phase", phase, "why", reason)
	if !t.ownsLeaderRecord() {
		return
	}
	change := &committer.Change{
		Draft: func(txn *ledger.Transaction) error { return txn.SetMachinePhase(id, phase, reason, t.recordVersion) },
	}
	t.leader.Committer.Enqueue(change)
	t.phaseChanges[key] = change
}
