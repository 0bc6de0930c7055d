package scheduler

import (
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// pictureFor is how long a picture of the queue and of all machines serves. Making
// one costs as much as there is; each report, claim and start in between only
// changes the machine that it concerns.
const (
	pictureFor  = time.Second
	longPicture = 5 * time.Second // however large the fleet is
)

// passShare is the part of a controller's share of a processor that a pass over all
// machines may take.
const passShare = 0.25

// SnapshotInterval is how long a pass over all machines that took so long is not repeated. In a
// fleet of ten thousands pictures alone would otherwise take all of a small share.
func (s *Scheduler) SnapshotInterval(took time.Duration) time.Duration {
	share := s.set.Cluster.Quota.CPUShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return min(longPicture, max(pictureFor, time.Duration(float64(took)/(share*passShare))))
}

// Snapshot is what placement decides from.
func (s *Scheduler) Snapshot(now time.Time) *placement.Snapshot {
	if s.seen == nil || now.Sub(s.seenAt) > s.SnapshotInterval(s.seenTook) {
		s.seenAt = now
		s.seen = s.look(now)
		s.seenTook = time.Since(now)
	}
	s.seen.Now = now
	return s.seen
}

// look makes a new picture.
func (s *Scheduler) look(now time.Time) *placement.Snapshot {
	s.led().DrainChangedMachines(func(wire.MachineID) {}) // all are read anew
	v := &placement.Snapshot{
		Now:      now,
		Queue:    s.order(now),
		TeamRoom: s.led().RemainingTeamQuota,
		Machines: s.machines(now),
		Tree:     s.topology.Tree(),
		Limits: placement.Limits{
			Starts:       s.set.Cluster.State.TxnOps,
			ColdStarts:   s.set.Operators.ColdStarts,
			FetchAssumed: s.set.Operators.FetchMark,
			ReserveAfter: s.set.Operators.WithholdAfter,
			DeferCold:    3 * s.set.Cluster.Workers.Report.Duration(),
		},
	}
	if s.set.Operators.Preempt {
		v.Victims = func(m *placement.Machine) []placement.Victim { return s.victims(m, v.Now) }
	}
	if s.policies.Prefers(s.led()) {
		v.Prefer = func(m *policy.Machines) []uint32 { return s.policies.Prefer(s.led(), m, v.Now) }
	}
	for _, m := range v.Machines {
		if m.Owned {
			v.FetchesInFlight += m.Images.Fetches(now, s.set.Operators.FetchMark)
		}
	}
	s.believe(v.Machines)
	placement.KeepLargeGangsOffSpot(v.Queue, v.Machines, s.spotReclaims.PerHour())
	s.withheld = placement.ReserveForHead(v, s.withheld)
	v.HeadReservations = s.keptFor(now)
	s.gathered(v, now)
	v.Reserve()
	v.ReserveTeamLimits()
	s.made++
	return v
}

// believe takes it back that machines are slow, or faulty, where more of a type's machines in a
// zone are than may be: then the judgement is wrong, or there is nothing left to choose from. The
// next picture uses those that are not believed to be faulty.
func (s *Scheduler) believe(machines []*placement.Machine) {
	q := s.set.Operators.Quarantine
	if !q.On {
		return
	}
	all, slow, faulty := map[estimate.Kind]int{}, map[estimate.Kind]int{}, map[estimate.Kind]int{}
	for _, m := range machines {
		k := estimate.Kind{Type: m.Type, Zone: m.Zone}
		all[k]++
		if m.Slow {
			slow[k]++
		}
		if m.Faulty {
			faulty[k]++
		}
	}
	for k, n := range faulty {
		doubted := n > q.MaxQuarantined(all[k])
		if doubted && !s.doubted[k] {
			s.log.Warn("quarantine suspended: too many machines judged faulty",
				"type", k.Type, "zone", k.Zone, "faulty", n, "machines", all[k])
			s.stats.Add("judgements_doubted_total", 1)
		}
		s.doubted[k] = doubted
	}
	for k := range s.doubted {
		if faulty[k] == 0 {
			delete(s.doubted, k)
		}
	}
	for _, m := range machines {
		k := estimate.Kind{Type: m.Type, Zone: m.Zone}
		m.Slow = m.Slow && slow[k] <= q.MaxQuarantined(all[k])
	}
}

// RefreshChangedMachines brings the picture up to the ledger, machine by machine.
func (s *Scheduler) RefreshChangedMachines(now time.Time) {
	if s.seen == nil {
		return
	}
	s.led().DrainChangedMachines(func(id wire.MachineID) {
		if m := s.seen.Machine(id); m != nil {
			s.setRoom(m, now)
			m.Usable = m.Usable && s.led().MachinePhase(id) == ""
		}
	})
}

// MachineSnapshot is a machine held here, as placement sees it.
func (s *Scheduler) MachineSnapshot(w *reconcile.Worker, now time.Time) *placement.Machine {
	block, up := s.topology.Locate(w.ID, w.Addr, w.Zone)
	m := &placement.Machine{
		ID:      w.ID,
		Type:    w.Type,
		Zone:    w.Zone,
		Spot:    w.Spot,
		Session: w.Session,
		Token:   w.CommandToken,
		Block:   block,
		Images:  s.registry.Images(s.led(), w),
		Usable:  up && s.Usable(w, now),
		Owned:   true,
		Slow:    s.failures.Slow(w.ID),
		Faulty:  s.failures.Faulty(s.led(), w.ID, now),
	}
	s.setRoom(m, now)
	return m
}

// machineOfPeer is a machine that a peer holds, as it was at a time.
func (s *Scheduler) machineOfPeer(o *peer.Machine, at, now time.Time) *placement.Machine {
	f, _ := s.led().MachineType(o.Type)
	block, up := s.topology.Locate(o.ID, o.Endpoint, o.Zone)
	m := &placement.Machine{
		ID:      o.ID,
		Type:    o.Type,
		Zone:    o.Zone,
		Spot:    o.Spot,
		Session: o.Session,
		Token:   o.Token,
		Block:   block,
		Images:  placement.NewImages(f.CacheGB),
		Usable:  up && o.Usable,
		Slow:    o.Slow,
		Faulty:  o.Faulty,
	}
	for _, name := range o.Images {
		m.Images.Use(name, 0)
	}
	for _, name := range o.Fetching {
		m.Images.StartFetch(name, at)
	}
	s.setRoom(m, now)
	return m
}

func (s *Scheduler) setRoom(m *placement.Machine, now time.Time) {
	f, _ := s.led().MachineType(m.Type)
	m.FetchGB, m.Busy = f.FetchGBps, s.ExpectedReleases(m.ID, now)
	m.Total = s.led().Total(m.Type)
	m.Free = s.led().Free(m.ClaimTarget())
}

// tellsOfSilence is how long ago a peer may have been asked for its machines' silence to be theirs.
const tellsOfSilence = 2500 * time.Millisecond

// overdueAfter is after what silence a machine's next report should have come: reports are up to a
// quarter late.
func (s *Scheduler) overdueAfter() time.Duration {
	return s.set.Cluster.Workers.Report.Duration()*5/4 + time.Second
}

// machines lists every machine that some controller has heard lately.
func (s *Scheduler) machines(now time.Time) []*placement.Machine {
	silent, overdue := s.set.SilentAfter(), s.overdueAfter()
	byID := map[wire.MachineID]*placement.Machine{}
	heard := map[wire.MachineID]time.Time{}
	s.registry.Each(func(w *reconcile.Worker) {
		if now.Sub(w.LastHeartbeat) < silent {
			m := s.MachineSnapshot(w, now)
			m.Overdue = now.Sub(w.LastHeartbeat) > overdue
			byID[w.ID], heard[w.ID] = m, w.LastHeartbeat
		}
	})
	for _, p := range s.membership.Peers() {
		for i := range p.Status.Machines {
			o := &p.Status.Machines[i]
			at := p.HeartbeatAt(o)
			if now.Sub(at) < silent && at.After(heard[o.ID]) && s.led().MachinePhase(o.ID) == "" {
				m := s.machineOfPeer(o, at, now)
				// Of one that is not heard itself, or only by what it published, nothing is told.
				m.Overdue = p.Status.Loaded && now.Sub(p.AsOf) < tellsOfSilence && now.Sub(at) > overdue
				byID[o.ID], heard[o.ID] = m, at
			}
		}
	}
	out := make([]*placement.Machine, 0, len(byID))
	for _, m := range byID {
		out = append(out, m)
	}
	return out
}

// order puts the jobs that have something to place into policy order.
func (s *Scheduler) order(now time.Time) []placement.Entry {
	var entries []placement.Entry
	s.led().EachActive(func(j *ledger.Job) {
		n := s.notes(j.ID)
		standing := s.failures.RetryState(j, now)
		if j.Pending() == 0 {
			n.since = time.Time{}
			return
		}
		if n.since.IsZero() {
			n.since = now
		}
		e := placement.Entry{
			Job:           j,
			Retry:         standing.Retry,
			Waiting:       now.Sub(n.since),
			StartsPlanned: &n.taken,
			BackedOff:     standing.BackedOff,
			Avoid:         standing.Avoid,
			CrashLooping:  standing.CrashLooping,
		}
		entries = append(entries, e)
	})
	for id := range s.jobs {
		if j := s.led().Job(id); j == nil || j.State != ledger.Active {
			delete(s.jobs, id)
		}
	}
	s.failures.Prune(s.led(), now)
	s.runTimes.Prune(s.led())
	for _, id := range s.registry.Forget(s.led(), now) {
		s.failures.ForgetMachine(id)
	}
	s.deadlines.Reconcile(now)
	s.markBeyond(entries)
	for i := range entries {
		e := &entries[i]
		e.Expected = s.runTimes.Expected(e.Job)
		e.LatestStart, e.Overdue, e.AlmostOverdue = s.startBy(e, now)
		e.Plain = !e.Overdue && placement.RunsWithoutAccelerator(e.Job, s.led().MachineTypes())
	}
	placement.OrderBy(entries, now, s.policies.Decide(s.led(), now))
	return entries
}

// markBeyond marks the jobs that do not fit into their team's guarantee
// together with the team's earlier unfinished jobs.
func (s *Scheduler) markBeyond(entries []placement.Entry) {
	sum := map[wire.Team]ledger.Resources{}
	s.led().EachActive(func(j *ledger.Job) {
		sum[j.Spec.Team] = sum[j.Spec.Team].Add(j.Need, j.Claimed)
	})
	placement.Order(entries)
	for i := range entries {
		e := &entries[i]
		t := s.set.FindTeam(e.Job.Spec.Team)
		if t == nil {
			continue
		}
		used := sum[t.Name].Add(e.Job.Need, e.Job.Pending())
		if e.OverGuarantee = OverGuarantee(t, used); !e.OverGuarantee {
			sum[t.Name] = used
		}
	}
}
