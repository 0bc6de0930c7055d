package scheduler

import (
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Usable reports whether a machine that reports to this controller may be assigned tasks. A worker
// that has just switched to this controller must first send a heartbeat with this controller's
// fencing token. A worker that does not receive the responses to its heartbeats would not start any
// task.
func (s *Scheduler) Usable(w *reconcile.Worker, now time.Time) bool {
	_, known := s.records().MachineType(w.Type)
	return known && w.TokenAccepted && !w.Unreachable() && w.ReclaimAt.IsZero() && s.records().MachinePhase(w.ID) == "" &&
		!now.Before(w.CordonedUntil) &&
		(s.quarantineSuspended[estimate.MachineKind{Type: w.Type, Zone: w.Zone}] ||
			!s.failures.Faulty(s.records(), w.ID, now))
}

// MachineSnapshot returns the placement snapshot of a machine that reports to this controller.
func (s *Scheduler) MachineSnapshot(w *reconcile.Worker, now time.Time) *placement.Machine {
	block, up := s.topology.Locate(w.ID, w.Addr, w.Zone)
	m := &placement.Machine{
		ID:     w.ID,
		Type:   w.Type,
		Zone:   w.Zone,
		Spot:   w.Spot,
		Epoch:  w.Epoch,
		Token:  w.CommandToken,
		Block:  block,
		Images: s.registry.Images(s.records(), w),
		Usable: up && s.Usable(w, now),
		Owned:  true,
		Slow:   s.failures.Slow(w.ID),
		Faulty: s.failures.Faulty(s.records(), w.ID, now),
	}
	s.refreshResources(m, now)
	return m
}

// peerMachine returns the placement snapshot of a machine that reports to a peer controller, as of
// its heartbeat at heartbeatAt.
func (s *Scheduler) peerMachine(o *peer.Machine, heartbeatAt, now time.Time) *placement.Machine {
	machineType, _ := s.records().MachineType(o.Type)
	block, up := s.topology.Locate(o.ID, o.Endpoint, o.Zone)
	m := &placement.Machine{
		ID:     o.ID,
		Type:   o.Type,
		Zone:   o.Zone,
		Spot:   o.Spot,
		Epoch:  o.Epoch,
		Token:  o.Token,
		Block:  block,
		Images: placement.NewImageCache(machineType.CacheGB),
		Usable: up && o.Usable,
		Slow:   o.Slow,
		Faulty: o.Faulty,
	}
	for _, name := range o.Images {
		m.Images.RecordUse(name, 0)
	}
	for _, name := range o.Fetching {
		m.Images.StartFetch(name, heartbeatAt)
	}
	s.refreshResources(m, now)
	return m
}

// refreshResources updates a machine's total and free resources and its expected releases from the
// records.
func (s *Scheduler) refreshResources(m *placement.Machine, now time.Time) {
	machineType, _ := s.records().MachineType(m.Type)
	m.FetchGBps, m.ExpectedReleases = machineType.FetchGBps, s.ExpectedReleases(m.ID, now)
	m.Total = s.records().MachineTypeResources(m.Type)
	m.Free = s.records().FreeResources(m.ClaimTarget())
}

// ExpectedReleases returns the resources held by the claims on a machine and when each is expected
// to be released.
func (s *Scheduler) ExpectedReleases(id wire.MachineID, now time.Time) []placement.ExpectedRelease {
	var out []placement.ExpectedRelease
	for _, h := range s.records().ClaimsOn(id) {
		out = append(out, placement.ExpectedRelease{
			At:        s.runTimes.ExpectedEnd(h, now),
			Resources: ledger.Resources{}.Add(h.Job.Need, h.Count),
		})
	}
	return out
}

// maxPeerStatusAge is the maximum age of a peer's status at which missing heartbeats in it are
// attributed to the machines rather than to the peer.
const maxPeerStatusAge = 2500 * time.Millisecond

// overdueAfter returns the time since the last heartbeat after which a machine's next heartbeat is
// overdue. Heartbeats may be late by up to a quarter of their interval.
func (s *Scheduler) overdueAfter() time.Duration {
	return s.set.Cluster.Workers.Report.Duration()*5/4 + time.Second
}

// machines lists every machine with a recent heartbeat at any controller, in the state known to the
// controller that received the latest one.
func (s *Scheduler) machines(now time.Time) []*placement.Machine {
	silent, overdue := s.set.HeartbeatTimeout(), s.overdueAfter()
	byID := map[wire.MachineID]*placement.Machine{}
	heartbeats := map[wire.MachineID]time.Time{}
	s.registry.Each(func(w *reconcile.Worker) {
		if now.Sub(w.LastHeartbeat) < silent {
			m := s.MachineSnapshot(w, now)
			m.Overdue = now.Sub(w.LastHeartbeat) > overdue
			byID[w.ID], heartbeats[w.ID] = m, w.LastHeartbeat
		}
	})
	for _, p := range s.membership.Peers() {
		for i := range p.Status.Machines {
			o := &p.Status.Machines[i]
			at := p.HeartbeatAt(o)
			if now.Sub(at) < silent && at.After(heartbeats[o.ID]) && s.records().MachinePhase(o.ID) == "" {
				m := s.peerMachine(o, at, now)
				// If a peer does not respond, or only its published status is known, missing
				// heartbeats say nothing about its machines.
				m.Overdue = p.Status.Loaded && now.Sub(p.AsOf) < maxPeerStatusAge && now.Sub(at) > overdue
				byID[o.ID], heartbeats[o.ID] = m, at
			}
		}
	}
	out := make([]*placement.Machine, 0, len(byID))
	for _, m := range byID {
		out = append(out, m)
	}
	return out
}

// machineCounts counts the machines of one type in one zone, and how many of them are marked slow
// or faulty.
type machineCounts struct{ total, slow, faulty int }

// limitQuarantine ignores slow or faulty marks where they affect more of a type's machines in a
// zone than the settings allow: either the detection is wrong, or too few machines would remain.
// Faulty machines become usable again with the next snapshot.
func (s *Scheduler) limitQuarantine(machines []*placement.Machine) {
	q := s.set.Operators.Quarantine
	if !q.On {
		return
	}
	kinds := map[estimate.MachineKind]*machineCounts{}
	for _, m := range machines {
		k := estimate.MachineKind{Type: m.Type, Zone: m.Zone}
		n := kinds[k]
		if n == nil {
			n = new(machineCounts)
			kinds[k] = n
		}
		n.total++
		if m.Slow {
			n.slow++
		}
		if m.Faulty {
			n.faulty++
		}
	}
	s.updateQuarantineSuspension(kinds)
	for _, m := range machines {
		n := kinds[estimate.MachineKind{Type: m.Type, Zone: m.Zone}]
		m.Slow = m.Slow && n.slow <= q.MaxQuarantined(n.total)
	}
}

// updateQuarantineSuspension suspends quarantine for each machine type and zone with too many
// faulty machines, and resumes it for the others.
func (s *Scheduler) updateQuarantineSuspension(kinds map[estimate.MachineKind]*machineCounts) {
	for k, n := range kinds {
		if n.faulty == 0 {
			continue
		}
		suspended := n.faulty > s.set.Operators.Quarantine.MaxQuarantined(n.total)
		if suspended && !s.quarantineSuspended[k] {
			s.log.Warn("quarantine suspended: too many machines judged faulty",
				"type", k.Type, "zone", k.Zone, "faulty", n.faulty, "machines", n.total)
			s.stats.Add("judgements_doubted_total", 1)
		}
		s.quarantineSuspended[k] = suspended
	}
	for k := range s.quarantineSuspended {
		if n := kinds[k]; n == nil || n.faulty == 0 {
			delete(s.quarantineSuspended, k)
		}
	}
}
