package placement

import (
	"cmp"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// GangStart is a decision to start a whole gang.
type GangStart struct {
	Entry *Entry
	Parts []ledger.GangAllocation
}

// gangPass is the state of one call of PlaceGangs.
type gangPass struct {
	s          *Snapshot
	candidates []*Machine                     // machines with capacity for a task of some gang; nil until computed
	teamUsage  map[wire.Team]ledger.Resources // resources claimed in this pass and not yet recorded
	fetches    map[wire.MachineID]wire.Image  // image fetches started by this pass
	starts     []GangStart
}

// PlaceGangs places gangs of several tasks on all machines, in policy order, each gang as a whole
// or not at all. As in PlaceOnMachine, gangs of one group that need no image fetch go before those
// that do. The resources given to a gang are deducted from the free resources of the machines in
// the snapshot.
func PlaceGangs(s *Snapshot) []GangStart {
	p := gangPass{s: s, teamUsage: map[wire.Team]ledger.Resources{}, fetches: map[wire.MachineID]wire.Image{}}
	for first := 0; first < len(s.Queue); {
		first = p.placeGroup(first)
	}
	return p.starts
}

// placeGroup places the gangs of the group that starts at index first of the queue. It returns the
// index after the group.
func (p *gangPass) placeGroup(first int) int {
	queue := p.s.Queue
	var absent []*Entry // gangs that fit, but only with an image fetch
	end := first
	for ; end < len(queue) && queue[end].compareGroup(&queue[first]) == 0; end++ {
		p.s.Examined++
		if e := &queue[end]; e.startableGang(p.s.Now) && !p.tryStart(e, rankFetching) {
			absent = append(absent, e)
		}
	}
	for _, e := range absent {
		p.tryStart(e, rankContended)
	}
	return end
}

// tryStart starts a gang if it can be placed on machines whose rank does not exceed worst. It
// returns false only if placing the gang requires machines of a higher rank.
func (p *gangPass) tryStart(e *Entry, worst int) bool {
	s, j := p.s, e.Job
	if need := j.GangSize(); s.RemainingTeamQuota(j, p.teamUsage[j.Spec.Team].Add(e.ReservedQuota, 1), need) < need {
		return true // blocked by the team's quota, not by machine capacity
	}
	if p.candidates == nil {
		p.candidates = s.gangCandidates()
	}
	placed := s.placeGang(e, p.candidates, p.fetches)
	if placed.parts == nil || placed.rank > worst {
		return placed.parts == nil
	}
	if !e.reservesQuota { // otherwise it is already included in other entries' ReservedQuota
		p.teamUsage[j.Spec.Team] = p.teamUsage[j.Spec.Team].Add(j.Need, j.GangSize())
	}
	for _, part := range placed.parts {
		m := s.Machine(part.Target.Machine)
		m.Free = m.Free.Add(j.Need, -part.Count)
		if m.Images.rank(j.Spec.Image) == rankAbsent {
			p.fetches[m.ID] = j.Spec.Image
		}
	}
	p.starts = append(p.starts, GangStart{e, placed.parts})
	return true
}

// allTasksPending reports whether all unfinished tasks of a gang are pending. A gang cannot start
// while tasks of an earlier attempt are still on their machines.
func allTasksPending(e *Entry) bool { return e.Job.Claimed == 0 && e.pending() == e.Job.GangSize() }

// startableGang reports whether an entry is a gang of several tasks that could start now.
func (e *Entry) startableGang(now time.Time) bool {
	return e.Job.GangSize() > 1 && allTasksPending(e) && !now.Before(e.RetryAt)
}

// ReserveForPlaceableGangs records in PlannedGangTasks the placements of the gangs that fit now, until PlaceGangs
// starts them. Without this, jobs of lower precedence would take the capacity task by task as
// heartbeats arrive, and a gang would have to wait until enough machines happen to be free at once.
func (s *Snapshot) ReserveForPlaceableGangs() {
	placed := make(map[wire.MachineID]ledger.Resources, len(s.Machines))
	s.PlannedGangTasks, s.placeableGangs = map[wire.MachineID]map[wire.JobID]int{}, map[wire.JobID]bool{}
	for _, g := range PlaceGangs(s) {
		s.placeableGangs[g.Entry.Job.ID] = true
		for _, p := range g.Parts {
			m := s.Machine(p.Target.Machine)
			placed[m.ID] = placed[m.ID].Add(g.Entry.Job.Need, p.Count)
			if s.PlannedGangTasks[m.ID] == nil {
				s.PlannedGangTasks[m.ID] = map[wire.JobID]int{}
			}
			s.PlannedGangTasks[m.ID][g.Entry.Job.ID] += p.Count
		}
	}
	for id, r := range placed { // the resources stay free until the gangs start
		m := s.Machine(id)
		m.Free = m.Free.Add(r, 1)
	}
}

// gangCandidates lists the usable machines with capacity for a task of the smallest waiting gang,
// so that placing a gang examines only those.
func (s *Snapshot) gangCandidates() []*Machine {
	least := unboundedNeed
	for i := range s.Queue {
		if j := s.Queue[i].Job; j.GangSize() > 1 && j.Claimed == 0 {
			least = minResources(least, j.Need)
		}
	}
	candidates := []*Machine{}
	for _, m := range s.Machines {
		s.Examined++
		if m.Usable && m.Free.Fits(least) {
			m.Images.ActiveFetches(s.Now, s.Limits.AssumedFetchTime)
			candidates = append(candidates, m)
		}
	}
	s.rankMachines(candidates)
	return candidates
}

// gangOption is a machine with capacity for some of a gang's tasks.
type gangOption struct {
	m        *Machine
	room     int   // number of tasks that fit
	rank     int   // rank of the gang's image on the machine, see ImageCache.rank
	leftover int64 // see fitScore
}

// compareGangOptions orders machines for gangs: machines with an overdue heartbeat last, then by
// image rank, spot machines first, then by best fit, then by most capacity.
func compareGangOptions(a, b gangOption) int {
	return cmp.Or(
		cmp.Compare(overdueLast(a.m), overdueLast(b.m)),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(onDemandLast(a.m), onDemandLast(b.m)),
		cmp.Compare(a.leftover, b.leftover),
		cmp.Compare(b.room, a.room),
		cmp.Compare(a.m.ID, b.m.ID),
	)
}

// overdueLast sorts machines with an overdue heartbeat after all others: a gang cannot start if one
// of its machines has failed.
func overdueLast(m *Machine) int {
	if m.Overdue {
		return 1
	}
	return 0
}

// onDemandLast sorts spot machines first, because not all jobs may use them.
func onDemandLast(m *Machine) int {
	if m.Spot {
		return 0
	}
	return 1
}

// gangPlacement assigns all tasks of a gang to machines.
type gangPlacement struct {
	parts []ledger.GangAllocation // nil: the gang does not fit
	// rank is the highest image rank among the machines: the slowest machine determines when the
	// gang runs.
	rank int
}

// placeGang places one gang on the given candidates with the lowest possible rank: among the zones
// it may use, it chooses the one whose worst machine has the lowest image rank. fetches are image
// fetches that are decided but not yet reflected in the machines' state.
func (s *Snapshot) placeGang(e *Entry, candidates []*Machine, fetches map[wire.MachineID]wire.Image) gangPlacement {
	j := e.Job
	need := j.GangSize()
	byZone := zoneOptions[gangOption]{perZone: need, compare: compareGangOptions}
	var all []gangOption // used only with a topology
	total := 0
	for _, m := range candidates {
		s.Examined++
		room := m.Free.CountFitting(j.Need, need)
		if room == 0 || !s.available(e, m) {
			continue
		}
		free := m.Free.Add(j.Need, -room)
		o := gangOption{m, room, rankWithFetches(m, j.Spec.Image, fetches), s.fitScore(m, free)}
		if s.Tree != nil {
			all = append(all, o)
		} else {
			byZone.add(m.Zone, o)
		}
		total += room
	}
	switch {
	case total < need:
		return gangPlacement{}
	case s.Tree != nil:
		return s.packGang(e, all)
	}
	var best gangPlacement
	for _, options := range byZone.lists(j.Spec.OneZone) {
		if p := allotGang(j, options); p.parts != nil && (best.parts == nil || p.rank < best.rank) {
			best = p
		}
	}
	return best
}

// rankWithFetches returns the rank of an image on a machine, taking into account the fetches that
// the pass starts.
func rankWithFetches(m *Machine, image wire.Image, fetches map[wire.MachineID]wire.Image) int {
	rank := m.Images.rank(image)
	if rank != rankAbsent {
		return rank
	}
	begun, ok := fetches[m.ID]
	switch {
	case !ok && len(m.Images.fetching) == 0:
		return rankAbsent
	case begun == image:
		return rankFetching
	}
	return rankContended
}

// allotGang assigns a gang's tasks to machines in the given order. The result has no parts if the
// gang does not fit.
func allotGang(j *ledger.Job, options []gangOption) gangPlacement {
	tasks := newAllotment(j)
	var p gangPlacement
	for _, o := range options {
		if n := tasks.assign(o.m.Zone, o.room); n > 0 {
			p.rank = max(p.rank, o.rank)
			p.parts = append(p.parts, ledger.GangAllocation{Target: o.m.ClaimTarget(), Count: n})
		}
	}
	if tasks.unassigned > 0 {
		return gangPlacement{}
	}
	return p
}
