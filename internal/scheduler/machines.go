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

// Usable reports whether a machine that reports to this controller may be given tasks. A worker
// that has just moved here must first report under this controller's token, and one that does not
// receive its answers would start nothing.
func (s *Scheduler) Usable(w *reconcile.Worker, now time.Time) bool {
	_, known := s.records().MachineType(w.Type)
	return known && w.Fresh && !w.Unreachable() && w.ReclaimAt.IsZero() && s.records().MachinePhase(w.ID) == "" &&
		!now.Before(w.CordonedUntil) &&
		(s.quarantineSuspended[estimate.Kind{Type: w.Type, Zone: w.Zone}] || !s.failures.Faulty(s.records(), w.ID, now))
}

// MachineSnapshot returns a machine that reports to this controller in the form that placement
// decides from.
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
	s.setRoom(m, now)
	return m
}

// peerMachine returns a machine that reports to a peer, as of heartbeatAt, in the form that
// placement decides from.
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
		Images: placement.NewImages(machineType.CacheGB),
		Usable: up && o.Usable,
		Slow:   o.Slow,
		Faulty: o.Faulty,
	}
	for _, name := range o.Images {
		m.Images.Use(name, 0)
	}
	for _, name := range o.Fetching {
		m.Images.StartFetch(name, heartbeatAt)
	}
	s.setRoom(m, now)
	return m
}

// setRoom sets what the records say of a machine's room.
func (s *Scheduler) setRoom(m *placement.Machine, now time.Time) {
	machineType, _ := s.records().MachineType(m.Type)
	m.FetchGB, m.Busy = machineType.FetchGBps, s.ExpectedReleases(m.ID, now)
	m.Total = s.records().Total(m.Type)
	m.Free = s.records().Free(m.ClaimTarget())
}

// ExpectedReleases returns what the claims on a machine take and when they are expected to end.
func (s *Scheduler) ExpectedReleases(id wire.MachineID, now time.Time) []placement.ExpectedRelease {
	var out []placement.ExpectedRelease
	for _, h := range s.records().ClaimsOn(id) {
		out = append(out, placement.ExpectedRelease{
			Until: s.runTimes.Until(h, now),
			Room:  ledger.Resources{}.Add(h.Job.Need, h.Count),
		})
	}
	return out
}

// maxPeerStatusAge is how old a peer's status may be for its machines' silence to count as theirs
// and not as the peer's.
const maxPeerStatusAge = 2500 * time.Millisecond

// overdueAfter returns after what silence a machine's next heartbeat is overdue: heartbeats are up to
// a quarter of their interval late.
func (s *Scheduler) overdueAfter() time.Duration {
	return s.set.Cluster.Workers.Report.Duration()*5/4 + time.Second
}

// machines lists every machine with a recent heartbeat at some controller, as the controller with
// the latest one has it.
func (s *Scheduler) machines(now time.Time) []*placement.Machine {
	silent, overdue := s.set.SilentAfter(), s.overdueAfter()
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
				// Of a peer that does not answer, or that is known only by its published status, the
				// silence of its machines says nothing.
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

// judgedMachines counts machines of one kind, and those of them that are judged slow or faulty.
type judgedMachines struct{ all, slow, faulty int }

// limitQuarantine drops the judgement that machines are slow or faulty where it concerns more of a
// type's machines in a zone than the settings allow: then either the judgement is wrong or too
// little is left to choose from. Faulty machines become usable with the next snapshot.
func (s *Scheduler) limitQuarantine(machines []*placement.Machine) {
	q := s.set.Operators.Quarantine
	if !q.On {
		return
	}
	kinds := map[estimate.Kind]*judgedMachines{}
	for _, m := range machines {
		k := estimate.Kind{Type: m.Type, Zone: m.Zone}
		n := kinds[k]
		if n == nil {
			n = new(judgedMachines)
			kinds[k] = n
		}
		n.all++
		if m.Slow {
			n.slow++
		}
		if m.Faulty {
			n.faulty++
		}
	}
	s.suspendQuarantine(kinds)
	for _, m := range machines {
		n := kinds[estimate.Kind{Type: m.Type, Zone: m.Zone}]
		m.Slow = m.Slow && n.slow <= q.MaxQuarantined(n.all)
	}
}

// suspendQuarantine suspends the quarantine of the kinds with too many faulty machines, and resumes
// that of the others.
func (s *Scheduler) suspendQuarantine(kinds map[estimate.Kind]*judgedMachines) {
	for k, n := range kinds {
		if n.faulty == 0 {
			continue
		}
		suspended := n.faulty > s.set.Operators.Quarantine.MaxQuarantined(n.all)
		if suspended && !s.quarantineSuspended[k] {
			s.log.Warn("quarantine suspended: too many machines judged faulty",
				"type", k.Type, "zone", k.Zone, "faulty", n.faulty, "machines", n.all)
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
