package placement

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// ImageSource is where a task that starts gets its image from.
type ImageSource string

// The image sources, best first. The values are part of log lines and metric names.
const (
	Cached   ImageSource = "cached"   // the machine caches it
	Fetching ImageSource = "underway" // the machine is fetching it already
	Cold     ImageSource = "cold"     // the machine has to fetch it for this start
)

// Start is a decision to start tasks of a job on the machine that was asked for.
type Start struct {
	Job     *ledger.Job
	Count   int // tasks
	Source  ImageSource
	Overdue bool // the job is overdue: it must start now to begin within the bound on waiting
}

// machinePass is the state of one call of PlaceOnMachine.
type machinePass struct {
	s          *Snapshot
	m          *Machine
	free       ledger.Resources // of the machine, less what this pass has given
	minNeed    ledger.Resources // see Snapshot.minNeed
	fetches    int              // at the machine, with those that this pass begins
	coldStarts int              // at the controller's machines, with those that this pass begins
	starts     []Start
}

// passTotals are sums over one call of PlaceOnMachine. They are apart from machinePass, which leads
// to the heap through its snapshot and its result, so that these maps stay on the stack.
type passTotals struct {
	teamTaken  map[wire.Team]ledger.Resources // given by this pass and not yet in the records
	passedOver map[wire.Image]int             // tasks that this pass denied a cold start, by image
}

// PlaceOnMachine decides which tasks a machine that reports free room starts. Gangs of several
// tasks are left to PlaceGangs. The package comment has the order.
func PlaceOnMachine(s *Snapshot, m *Machine) []Start {
	if !m.Usable {
		return nil
	}
	p := machinePass{
		s:          s,
		m:          m,
		free:       m.Free,
		fetches:    m.Images.Fetches(s.Now, s.Limits.FetchAssumed),
		coldStarts: s.FetchesInFlight,
	}
	totals := passTotals{teamTaken: map[wire.Team]ledger.Resources{}, passedOver: map[wire.Image]int{}}
	queue := s.order(m)
	p.minNeed = s.minNeed()
	for first := 0; first < len(queue) && p.hasRoom(); {
		first = p.placeGroup(&totals, queue, first)
	}
	s.FetchesInFlight = p.coldStarts
	return p.starts
}

// hasRoom reports whether the pass may go on: the machine has room for the smallest task, and the
// starts fit in one transaction. Of many tiny jobs a machine could take hundreds, which could not
// be recorded at once.
func (p *machinePass) hasRoom() bool {
	return p.free.Fits(p.minNeed) && (p.s.Limits.Starts == 0 || len(p.starts) < p.s.Limits.Starts)
}

// placeGroup serves the entries of one group, which begins at index first: those that need no
// fetch, then those that need one. It returns the index after the last entry it has examined.
func (p *machinePass) placeGroup(totals *passTotals, queue []Entry, first int) int {
	var absent []*Entry // without their image here
	end := first
	for ; end < len(queue) && queue[end].compareGroup(&queue[first]) == 0 && p.hasRoom(); end++ {
		p.s.Examined++
		e := &queue[end]
		switch {
		case e.Job.GangSize() > 1:
			p.deductGang(e)
		case p.placeWithImage(totals, e):
		default:
			absent = append(absent, e)
		}
	}
	for _, e := range absent {
		p.placeCold(totals, e)
	}
	return end
}

// deductGang takes the room that a gang is about to be given here out of what is free.
func (p *machinePass) deductGang(e *Entry) {
	if n := p.s.Reserved[p.m.ID][e.Job.ID]; n > 0 && startsWhole(e) {
		p.free = p.free.Add(e.Job.Need, -n)
	}
}

// placeWithImage starts the tasks of an entry that need no fetch. It returns false if there is room
// for the entry but its image is neither cached nor being fetched.
func (p *machinePass) placeWithImage(totals *passTotals, e *Entry) bool {
	if !p.s.open(e, p.m) || p.s.leftToGangs(e, p.m) {
		return true
	}
	n := p.room(totals, e)
	switch image := e.Job.Spec.Image; {
	case n <= 0:
	case p.m.Images.Has(image):
		p.give(totals, e, n, Cached)
	case p.m.Images.IsFetching(image):
		p.give(totals, e, n, Fetching)
	default:
		return false
	}
	return true
}

// placeCold starts the tasks of an entry with a fetch of their image, unless the fetch would
// exceed a limit or is put off (see the package comment).
func (p *machinePass) placeCold(totals *passTotals, e *Entry) {
	n := p.room(totals, e)
	if n <= 0 || !p.hasRoom() {
		return
	}
	image := e.Job.Spec.Image
	if p.fetches == 0 && p.coldStarts < p.s.Limits.ColdStarts &&
		!p.s.waitsForCached(e, p.m) && !p.s.waitsForPreemption(e) && p.s.roomInTime(e, p.m) <= totals.passedOver[image] {
		p.fetches++
		p.coldStarts++
		p.give(totals, e, n, Cold)
		return
	}
	totals.passedOver[image] += e.pending()
}

// room returns how many tasks of an entry the machine, the zone and the team's limit admit.
func (p *machinePass) room(totals *passTotals, e *Entry) int {
	j := e.Job
	n := min(p.free.Times(j.Need, e.pending()), j.ZoneRoom(p.m.Zone))
	if n <= 0 {
		return 0
	}
	return p.s.TeamRoom(j, totals.teamTaken[j.Spec.Team].Add(e.Ahead, 1), n)
}

// give starts n tasks of an entry on the machine.
func (p *machinePass) give(totals *passTotals, e *Entry, n int, source ImageSource) {
	j := e.Job
	if e.Plain && p.m.Total.GPU > 0 && p.free == p.m.Total {
		p.s.spareAccelerated()[typeInZone{p.m.Type, p.m.Zone}]-- // no longer idle
	}
	p.free = p.free.Add(j.Need, -n)
	totals.teamTaken[j.Spec.Team] = totals.teamTaken[j.Spec.Team].Add(j.Need, n)
	p.starts = append(p.starts, Start{j, n, source, e.Overdue})
}

// waitsForCached reports whether another machine caches the image and has room: it will report
// within a round and take the task without a fetch.
func (s *Snapshot) waitsForCached(e *Entry, here *Machine) bool {
	if e.Waiting > s.Limits.DeferCold {
		return false
	}
	for _, m := range s.cachedOn(e.Job.Spec.Image) {
		if m.ID != here.ID && s.open(e, m) && m.Free.Fits(e.Job.Need) && e.Job.ZoneRoom(m.Zone) > 0 {
			return true
		}
	}
	return false
}

// waitsForPreemption reports whether a machine is about to be emptied for the job, which is
// quicker than a fetch.
func (s *Snapshot) waitsForPreemption(e *Entry) bool {
	return e.Waiting <= s.Limits.DeferCold/2 && s.evictionFor(e) != nil
}

// roomInTime returns how many of the job's tasks other machines that cache the image will have
// room for before the job's latest start, if a fetch here would end after it: a cold start would
// then miss the objective for certain. It returns 0 if a fetch would be in time, if there is no
// latest start, and for an overdue job, which has waited for forecasts long enough.
func (s *Snapshot) roomInTime(e *Entry, here *Machine) int {
	if here.FetchGB <= 0 || e.LatestStart.IsZero() || e.Overdue {
		return 0
	}
	if fetch := FetchTime(e.Job.Spec.ImageGB, here.FetchGB); !s.Now.Add(fetch).After(e.LatestStart) {
		return 0
	}
	room := 0
	for _, m := range s.cachedOn(e.Job.Spec.Image) {
		if m.ID == here.ID || !s.open(e, m) {
			continue
		}
		free := m.Free
		for _, b := range m.Busy {
			if b.Until.Before(e.LatestStart) {
				free = free.Add(b.Room, 1)
			}
		}
		room += min(free.Times(e.Job.Need, e.pending()), e.Job.ZoneRoom(m.Zone))
	}
	return room
}

// FetchTime returns how long fetching an image of gb gigabytes takes at rate GB a second; 0 if the
// rate is unknown.
func FetchTime(gb, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(gb / rate * float64(time.Second))
}
