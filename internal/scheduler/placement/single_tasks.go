package placement

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// ImageSource is where a starting task gets its image from.
type ImageSource string

// Image sources, best first. The values are part of log lines and metric names.
const (
	Cached   ImageSource = "cached"   // the machine has it cached
	Fetching ImageSource = "underway" // the machine is already fetching it
	Cold     ImageSource = "cold"     // the machine has to fetch it for this start
)

// Start is a decision to start tasks of a job on the machine passed to PlaceOnMachine.
type Start struct {
	Job     *ledger.Job
	Count   int // tasks
	Source  ImageSource
	Overdue bool // the job must start now to start within the waiting bound
}

// machinePass is the state of one call of PlaceOnMachine.
type machinePass struct {
	s          *Snapshot
	m          *Machine
	free       ledger.Resources // free resources of the machine, less those assigned in this pass
	minNeed    ledger.Resources // see Snapshot.minNeed
	fetches    int              // fetches on the machine, including those started by this pass
	coldStarts int              // fetches on the controller's machines, including those started by this pass
	starts     []Start
}

// passTotals are sums over one call of PlaceOnMachine. They are separate from machinePass, which
// escapes to the heap through its snapshot and result, so that these maps stay on the stack.
type passTotals struct {
	teamUsage          map[wire.Team]ledger.Resources // resources claimed in this pass and not yet recorded
	deferredColdStarts map[wire.Image]int             // tasks denied a cold start in this pass, by image
}

// PlaceOnMachine decides which tasks to start on a machine that reports free capacity. Gangs of
// several tasks are left to PlaceGangs. The order is described in the package comment.
func PlaceOnMachine(s *Snapshot, m *Machine) []Start {
	if !m.Usable {
		return nil
	}
	p := machinePass{
		s:          s,
		m:          m,
		free:       m.Free,
		fetches:    m.Images.ActiveFetches(s.Now, s.Limits.AssumedFetchTime),
		coldStarts: s.FetchesInFlight,
	}
	totals := passTotals{teamUsage: map[wire.Team]ledger.Resources{}, deferredColdStarts: map[wire.Image]int{}}
	queue := s.order(m)
	p.minNeed = s.minNeed()
	for first := 0; first < len(queue) && p.hasCapacity(); {
		first = p.placeGroup(&totals, queue, first)
	}
	s.FetchesInFlight = p.coldStarts
	return p.starts
}

// hasCapacity reports whether the pass may continue: the smallest task still fits on the machine,
// and the starts fit in one transaction. A machine could take hundreds of tiny jobs, which could
// not all be recorded in one transaction.
func (p *machinePass) hasCapacity() bool {
	return p.free.Fits(p.minNeed) && (p.s.Limits.MaxJobs == 0 || len(p.starts) < p.s.Limits.MaxJobs)
}

// placeGroup serves the entries of one group, which starts at index first: first those that need no
// image fetch, then those that do. It returns the index after the last entry examined.
func (p *machinePass) placeGroup(totals *passTotals, queue []Entry, first int) int {
	var absent []*Entry // entries whose image is not on the machine
	end := first
	for ; end < len(queue) && queue[end].compareGroup(&queue[first]) == 0 && p.hasCapacity(); end++ {
		p.s.Examined++
		e := &queue[end]
		switch {
		case e.Job.GangSize() > 1:
			p.deductGangReservation(e)
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

// deductGangReservation deducts the capacity planned for a gang on this machine from its free
// resources.
func (p *machinePass) deductGangReservation(e *Entry) {
	if n := p.s.PlannedGangTasks[p.m.ID][e.Job.ID]; n > 0 && allTasksPending(e) {
		p.free = p.free.Add(e.Job.Need, -n)
	}
}

// placeWithImage starts the tasks of an entry that need no image fetch. It returns false if the
// entry fits but its image is neither cached nor being fetched.
func (p *machinePass) placeWithImage(totals *passTotals, e *Entry) bool {
	if !p.s.available(e, p.m) || p.s.keepEmptyForGangs(e, p.m) {
		return true
	}
	n := p.startableTasks(totals, e)
	switch image := e.Job.Spec.Image; {
	case n <= 0:
	case p.m.Images.Has(image):
		p.startTasks(totals, e, n, Cached)
	case p.m.Images.IsFetching(image):
		p.startTasks(totals, e, n, Fetching)
	default:
		return false
	}
	return true
}

// placeCold starts tasks of an entry that need an image fetch, unless the fetch would exceed a
// limit or is deferred (see the package comment).
func (p *machinePass) placeCold(totals *passTotals, e *Entry) {
	n := p.startableTasks(totals, e)
	if n <= 0 || !p.hasCapacity() {
		return
	}
	image := e.Job.Spec.Image
	if p.fetches == 0 && p.coldStarts < p.s.Limits.MaxColdStarts &&
		!p.s.deferToCachedMachine(e, p.m) && !p.s.deferToPreemption(e) &&
		p.s.cachedCapacityInTime(e, p.m) <= totals.deferredColdStarts[image] {
		p.fetches++
		p.coldStarts++
		p.startTasks(totals, e, n, Cold)
		return
	}
	totals.deferredColdStarts[image] += e.pending()
}

// startableTasks returns how many tasks of an entry the machine's capacity, the zone and the team's
// quota allow.
func (p *machinePass) startableTasks(totals *passTotals, e *Entry) int {
	j := e.Job
	n := min(p.free.CountFitting(j.Need, e.pending()), j.ZoneRoom(p.m.Zone))
	if n <= 0 {
		return 0
	}
	return p.s.RemainingTeamQuota(j, totals.teamUsage[j.Spec.Team].Add(e.ReservedQuota, 1), n)
}

// startTasks adds a start of n tasks of an entry on the machine.
func (p *machinePass) startTasks(totals *passTotals, e *Entry, n int, source ImageSource) {
	j := e.Job
	if e.NeedsNoAccelerator && p.m.Total.GPU > 0 && p.free == p.m.Total {
		p.s.idleSurplus()[typeInZone{p.m.Type, p.m.Zone}]-- // the machine is no longer idle
	}
	p.free = p.free.Add(j.Need, -n)
	totals.teamUsage[j.Spec.Team] = totals.teamUsage[j.Spec.Team].Add(j.Need, n)
	p.starts = append(p.starts, Start{j, n, source, e.Overdue})
}

// deferToCachedMachine reports whether another machine with the image cached has free capacity.
// That machine takes the task without a fetch at its next heartbeat.
func (s *Snapshot) deferToCachedMachine(e *Entry, here *Machine) bool {
	if e.Waiting > s.Limits.MaxColdStartDelay {
		return false
	}
	for _, m := range s.machinesCaching(e.Job.Spec.Image) {
		if m.ID != here.ID && s.available(e, m) && m.Free.Fits(e.Job.Need) && e.Job.ZoneRoom(m.Zone) > 0 {
			return true
		}
	}
	return false
}

// deferToPreemption reports whether preemption is about to free a machine for the job, which is
// faster than an image fetch.
func (s *Snapshot) deferToPreemption(e *Entry) bool {
	return e.Waiting <= s.Limits.MaxColdStartDelay/2 && s.evictionFor(e) != nil
}

// cachedCapacityInTime returns how many of the job's tasks will fit, before the job's latest start,
// on other machines that have the image cached, if a fetch here would end after the latest start: a
// cold start would then certainly miss the objective. It returns 0 if a fetch would be in time, if
// there is no latest start, and for overdue jobs, which must not be delayed further for a forecast.
func (s *Snapshot) cachedCapacityInTime(e *Entry, here *Machine) int {
	if here.FetchGBps <= 0 || e.LatestStart.IsZero() || e.Overdue {
		return 0
	}
	if fetch := FetchTime(e.Job.Spec.ImageGB, here.FetchGBps); !s.Now.Add(fetch).After(e.LatestStart) {
		return 0
	}
	room := 0
	for _, m := range s.machinesCaching(e.Job.Spec.Image) {
		if m.ID == here.ID || !s.available(e, m) {
			continue
		}
		free := m.Free
		for _, b := range m.ExpectedReleases {
			if b.At.Before(e.LatestStart) {
				free = free.Add(b.Resources, 1)
			}
		}
		room += min(free.CountFitting(e.Job.Need, e.pending()), e.Job.ZoneRoom(m.Zone))
	}
	return room
}

// FetchTime returns how long it takes to fetch an image of gb gigabytes at rate GB/s, or 0 if the
// rate is unknown.
func FetchTime(gb, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(gb / rate * float64(time.Second))
}
