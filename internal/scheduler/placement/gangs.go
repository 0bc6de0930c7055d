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
	Parts []ledger.GangPart
}

// gangPass is the state of one call of PlaceGangs.
type gangPass struct {
	s         *Snapshot
	roomy     []*Machine                     // machines with room for some gang; nil until needed
	teamTaken map[wire.Team]ledger.Resources // given by this pass and not yet in the records
	fetches   map[wire.MachineID]wire.Image  // fetches that this pass begins
	starts    []GangStart
}

// PlaceGangs places the gangs of several tasks, in policy order and each whole or not at all, over
// all machines. As in PlaceOnMachine, the gangs of one group that need no fetch go before those
// that do. The room that a gang is given is taken from the machines of the snapshot.
func PlaceGangs(s *Snapshot) []GangStart {
	p := gangPass{s: s, teamTaken: map[wire.Team]ledger.Resources{}, fetches: map[wire.MachineID]wire.Image{}}
	for first := 0; first < len(s.Queue); {
		first = p.placeGroup(first)
	}
	return p.starts
}

// placeGroup places the gangs of the group that begins at index first of the queue. It returns the
// index after the group.
func (p *gangPass) placeGroup(first int) int {
	queue := p.s.Queue
	var absent []*Entry // could be placed, but only with a fetch
	end := first
	for ; end < len(queue) && queue[end].compareGroup(&queue[first]) == 0; end++ {
		p.s.Examined++
		if e := &queue[end]; e.wholeGang(p.s.Now) && !p.try(e, rankFetching) {
			absent = append(absent, e)
		}
	}
	for _, e := range absent {
		p.try(e, rankBusy)
	}
	return end
}

// try starts a gang if it can be placed on machines of at most the rank worst. It returns false if
// the gang can be placed only on machines of a higher rank.
func (p *gangPass) try(e *Entry, worst int) bool {
	s, j := p.s, e.Job
	if need := j.GangSize(); s.TeamRoom(j, p.teamTaken[j.Spec.Team].Add(e.Ahead, 1), need) < need {
		return true // the team's limit, and not room, keeps it from starting
	}
	if p.roomy == nil {
		p.roomy = s.roomyForGangs()
	}
	placed := s.placeGang(e, p.roomy, p.fetches)
	if placed.parts == nil || placed.rank > worst {
		return placed.parts == nil
	}
	if !e.reservesLimit { // else it is counted in Ahead of the others already
		p.teamTaken[j.Spec.Team] = p.teamTaken[j.Spec.Team].Add(j.Need, j.GangSize())
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

// startsWhole reports whether all of a gang's unfinished tasks wait: while an earlier attempt is
// still on its machines the gang can't start.
func startsWhole(e *Entry) bool { return e.Job.Claimed == 0 && e.pending() == e.Job.GangSize() }

// wholeGang reports whether an entry is a gang of several tasks that could start now.
func (e *Entry) wholeGang(now time.Time) bool {
	return e.Job.GangSize() > 1 && startsWhole(e) && !now.Before(e.Retry)
}

// Reserve reserves, in Reserved, the places of the gangs that there is room for now, until
// PlaceGangs starts them. Without it lower jobs would take that room task by task, with the first
// heartbeat, and a gang would find none until many machines happened to be free at once.
func (s *Snapshot) Reserve() {
	placed := make(map[wire.MachineID]ledger.Resources, len(s.Machines))
	s.Reserved, s.gangsWithRoom = map[wire.MachineID]map[wire.JobID]int{}, map[wire.JobID]bool{}
	for _, g := range PlaceGangs(s) {
		s.gangsWithRoom[g.Entry.Job.ID] = true
		for _, p := range g.Parts {
			m := s.Machine(p.Target.Machine)
			placed[m.ID] = placed[m.ID].Add(g.Entry.Job.Need, p.Count)
			if s.Reserved[m.ID] == nil {
				s.Reserved[m.ID] = map[wire.JobID]int{}
			}
			s.Reserved[m.ID][g.Entry.Job.ID] += p.Count
		}
	}
	for id, r := range placed { // it stays free until the gangs start
		m := s.Machine(id)
		m.Free = m.Free.Add(r, 1)
	}
}

// roomyForGangs lists the usable machines with room for a task of the smallest waiting gang, so
// that each gang examines only those.
func (s *Snapshot) roomyForGangs() []*Machine {
	least := unboundedNeed
	for i := range s.Queue {
		if j := s.Queue[i].Job; j.GangSize() > 1 && j.Claimed == 0 {
			least = minResources(least, j.Need)
		}
	}
	roomy := []*Machine{}
	for _, m := range s.Machines {
		s.Examined++
		if m.Usable && m.Free.Fits(least) {
			m.Images.Fetches(s.Now, s.Limits.FetchAssumed)
			roomy = append(roomy, m)
		}
	}
	s.rankMachines(roomy)
	return roomy
}

// gangOption is a machine with room for some of a gang's tasks.
type gangOption struct {
	m    *Machine
	room int   // tasks
	rank int   // of the gang's image there, see Images.rank
	left int64 // see fit
}

// compareGangOptions orders machines for gangs: those whose heartbeat is not overdue, nearest to
// the image, spot, best filled, with the most room.
func compareGangOptions(a, b gangOption) int {
	return cmp.Or(
		cmp.Compare(overdueLast(a.m), overdueLast(b.m)),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(onDemandLast(a.m), onDemandLast(b.m)),
		cmp.Compare(a.left, b.left),
		cmp.Compare(b.room, a.room),
		cmp.Compare(a.m.ID, b.m.ID),
	)
}

// overdueLast puts machines whose next heartbeat is overdue after all others: one that has stopped
// costs a whole gang its start.
func overdueLast(m *Machine) int {
	if m.Overdue {
		return 1
	}
	return 0
}

// onDemandLast puts spot machines, which not all work may use, before others.
func onDemandLast(m *Machine) int {
	if m.Spot {
		return 0
	}
	return 1
}

// gangPlacement is a choice of machines for a whole gang.
type gangPlacement struct {
	parts []ledger.GangPart // nil: there is no room
	// rank is the highest of the machines: the one furthest from the image decides when the gang runs.
	rank int
}

// placeGang places one gang on the machines in roomy, with the lowest rank that it can have: of
// the zones that it may be in, it takes the one whose furthest machine is nearest to the image.
// fetches are those that are decided and not yet known to the machines.
func (s *Snapshot) placeGang(e *Entry, roomy []*Machine, fetches map[wire.MachineID]wire.Image) gangPlacement {
	j := e.Job
	need := j.GangSize()
	byZone := zoneOptions[gangOption]{perZone: need, compare: compareGangOptions}
	var all []gangOption // with a topology
	total := 0
	for _, m := range roomy {
		s.Examined++
		room := m.Free.Times(j.Need, need)
		if room == 0 || !s.open(e, m) {
			continue
		}
		free := m.Free.Add(j.Need, -room)
		o := gangOption{m, room, rankWithFetches(m, j.Spec.Image, fetches), s.fit(m, free)}
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

// rankWithFetches returns the rank of an image on a machine, with the fetches that the pass begins.
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
	return rankBusy
}

// allotGang gives a gang's tasks to machines in their order; the result has no parts if they have
// no room for all of them.
func allotGang(j *ledger.Job, options []gangOption) gangPlacement {
	tasks := newAllotment(j)
	var p gangPlacement
	for _, o := range options {
		if n := tasks.take(o.m.Zone, o.room); n > 0 {
			p.rank = max(p.rank, o.rank)
			p.parts = append(p.parts, ledger.GangPart{Target: o.m.ClaimTarget(), Count: n})
		}
	}
	if tasks.left > 0 {
		return gangPlacement{}
	}
	return p
}
