// Package placement is the design's placement path: on a report of free room, jobs
// in policy order are each offered a task whose image the machine caches, else
// one being fetched there, else a capped cold start. It does no I/O and is told
// the time.
package placement

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// ImageSource a start gets its image.
type ImageSource string

// The ways, best first.
const (
	Cached   ImageSource = "cached"
	Fetching ImageSource = "underway"
	Cold     ImageSource = "cold"
)

// Start is a decision to start tasks of a job on the machine.
type Start struct {
	Job   *ledger.Job
	Count int
	How   ImageSource
	Late  bool // the job must be placed now to begin within the bound on waiting
}

// Snapshot is what decisions are made from. One view serves many of them: what is
// looked up in it by image, by machine or by job is indexed once, so that the
// cost of a decision follows what it can change and not the size of the whole.
type Snapshot struct {
	Now              time.Time
	Limits           Limits
	Queue            []Entry // in policy order
	TeamRoom         func(j *ledger.Job, extra ledger.Resources, most int) int
	Machines         []*Machine // all known, to see where images are cached
	FetchesInFlight  int        // fetches in flight at this controller's machines
	HeadReservations map[wire.MachineID]wire.JobID
	Victims          func(*Machine) []Victim // what may be stopped there; nil: nothing
	// Reserved is the room that gangs will be given in a moment, in tasks.
	Reserved map[wire.MachineID]map[wire.JobID]int

	// Gathered is the room that late gangs are kept until all of it is free (Gather).
	GangReservations map[wire.MachineID]Reservation

	// Prefer, if set, has a policy rank the machines that have room for gangs; nothing: by how
	// well a gang fills them.
	Prefer func(*policy.Machines) []uint32

	// Tree is the declared topology; nil: there is none.
	Tree *topology.Tree

	// Looked counts the entries and machines that decisions have looked at.
	Examined int

	caching  map[wire.Image][]*Machine
	byID     map[wire.MachineID]*Machine
	onOwn    []Entry // the order on machines that are not spot
	least    *ledger.Resources
	victims  map[wire.MachineID][]Victim
	evict    map[wire.JobID]*Eviction
	chosen   choices
	ranks    map[wire.MachineID]uint32 // that a policy gave machines
	entries  map[wire.JobID]*Entry
	reserved map[wire.JobID]bool // gangs that are about to be given room
	roomsAt  map[roomsOf][]time.Time
	worth    *[2]worth
	ideal    map[string]topology.Cost // the least cost of gangs that are alike
	whole    map[topology.Block]int   // empty machines
	broken   []*Machine               // partly used ones

	closerSoon map[wire.JobID]bool // gangs that have room and wait for a closer place
	beyond     map[kindInZone]int  // idle machines with accelerators beyond those left idle
}

// index sorts the machines by what they are looked up by.
func (v *Snapshot) index() {
	v.caching, v.byID = map[wire.Image][]*Machine{}, make(map[wire.MachineID]*Machine, len(v.Machines))
	for _, m := range v.Machines {
		v.Examined++
		v.byID[m.ID] = m
		for i := range m.Images.cached {
			name := m.Images.cached[i].name
			v.caching[name] = append(v.caching[name], m)
		}
	}
}

// cachedOn lists the machines that cache an image.
func (v *Snapshot) cachedOn(name wire.Image) []*Machine {
	if v.caching == nil {
		v.index()
	}
	v.Examined += len(v.caching[name])
	return v.caching[name]
}

// Machine returns a machine of the view, or nil.
func (v *Snapshot) Machine(id wire.MachineID) *Machine {
	if v.byID == nil {
		v.index()
	}
	return v.byID[id]
}

// UpdateMachine takes over what is now known of a machine. Images that it caches since are
// found by the next view.
func (v *Snapshot) UpdateMachine(m *Machine) *Machine {
	if old := v.Machine(m.ID); old != nil {
		*old = *m
		return old
	}
	v.Machines = append(v.Machines, m)
	v.byID[m.ID] = m
	for _, i := range m.Images.cached {
		v.caching[i.name] = append(v.caching[i.name], m)
	}
	return m
}

// order is the policy order as it is on the machine.
func (v *Snapshot) order(m *Machine) []Entry {
	if m.Spot {
		return v.Queue
	}
	if v.onOwn == nil {
		v.onOwn = boundFirst(v.Queue)
	}
	return v.onOwn
}

// leastNeed is the least that any task in the queue takes.
func (v *Snapshot) leastNeed() ledger.Resources {
	if v.least == nil {
		const most = 1 << 60
		least := ledger.Resources{CPU: most, GPU: most, Memory: most}
		for i := range v.Queue {
			n := v.Queue[i].Job.Need
			least = ledger.Resources{
				CPU:    min(least.CPU, n.CPU),
				GPU:    min(least.GPU, n.GPU),
				Memory: min(least.Memory, n.Memory),
			}
		}
		v.least = &least
	}
	return *v.least
}

// PlaceOnMachine decides what a machine that reports free room is given.
func PlaceOnMachine(v *Snapshot, m *Machine) []Start {
	if !m.Usable {
		return nil
	}
	var starts []Start
	free, cold := m.Free, v.FetchesInFlight
	fetches := m.Images.Fetches(v.Now, v.Limits.FetchAssumed)
	teamTaken := map[wire.Team]ledger.Resources{}
	ahead := map[wire.Image]int{} // tasks passed over here, by image
	queue, least := v.order(m), v.leastNeed()
	give := func(e *Entry, n int, how ImageSource) {
		j := e.Job
		if e.Plain && m.Total.GPU > 0 && free == m.Total {
			v.idleBeyond()[kindInZone{m.Type, m.Zone}]--
		}
		free = free.Add(j.Need, -n)
		teamTaken[j.Spec.Team] = teamTaken[j.Spec.Team].Add(j.Need, n)
		starts = append(starts, Start{j, n, how, e.Overdue})
	}
	room := func(e *Entry) int {
		j := e.Job
		n := min(free.Times(j.Need, e.pending()), j.ZoneRoom(m.Zone))
		if n <= 0 {
			return 0
		}
		// What this pass has given the team isn't in the ledger yet.
		return v.TeamRoom(j, teamTaken[j.Spec.Team].Add(e.Ahead, 1), n)
	}
	// What can't be recorded in one transaction need not be decided: of a swarm of tiny
	// jobs a machine could take hundreds.
	more := func() bool { return free.Fits(least) && (v.Limits.Starts == 0 || len(starts) < v.Limits.Starts) }
	for first, end := 0, 0; first < len(queue) && more(); first = end {
		var absent []*Entry // of the same priority and standing, for want of the image
		for end = first; end < len(queue) && queue[end].class(&queue[first]) == 0 && more(); end++ {
			v.Examined++
			e := &queue[end]
			j := e.Job
			if j.GangSize() > 1 {
				if n := v.Reserved[m.ID][j.ID]; n > 0 && startsWhole(e) {
					free = free.Add(j.Need, -n)
				}
				continue
			}
			if !v.open(e, m) || v.leftWhole(e, m) {
				continue
			}
			n := room(e)
			switch {
			case n <= 0:
			case m.Images.Has(j.Spec.Image):
				give(e, n, Cached)
			case m.Images.IsFetching(j.Spec.Image):
				give(e, n, Fetching)
			default:
				absent = append(absent, e)
			}
		}
		for _, e := range absent {
			n := room(e)
			if n <= 0 || !more() {
				continue
			}
			if fetches == 0 && cold < v.Limits.ColdStarts && !v.waitsForCached(e, m) && !v.waitsForRoom(e) &&
				v.roomInTime(e, m) <= ahead[e.Job.Spec.Image] {
				fetches++
				cold++
				give(e, n, Cold)
				continue
			}
			ahead[e.Job.Spec.Image] += e.pending()
		}
	}
	v.FetchesInFlight = cold
	return starts
}

// boundFirst is the order on a machine that is not spot: of the same priority and
// standing towards a guarantee, work that may run nowhere else goes first.
func boundFirst(queue []Entry) []Entry {
	out := slices.Clone(queue)
	bound := func(e *Entry) int {
		if e.Job.Spec.Spot {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b Entry) int {
		return cmp.Or(a.class(&b), cmp.Compare(bound(&a), bound(&b)))
	})
	return out
}

// ReservedWhole reports whether a gang of several tasks waits that may use a machine.
func (v *Snapshot) ReservedWhole(m *Machine) bool {
	return slices.ContainsFunc(v.Queue, func(e Entry) bool {
		return e.Job.GangSize() > 1 && e.pending() > 0 && m.Total.Fits(e.Job.Need) &&
			ledger.Allowed(e.Job.Spec, m.Type, m.Zone, m.Spot)
	})
}

// open reports whether a machine takes tasks of the job at all, and isn't kept for
// another.
func (v *Snapshot) open(e *Entry, m *Machine) bool {
	keep, kept := v.HeadReservations[m.ID]
	return m.Usable && (!kept || keep == e.Job.ID) && !v.gathered(e, m) && !v.leaves(e, m) && eligible(e, v.Now, m)
}

func eligible(e *Entry, now time.Time, m *Machine) bool {
	j := e.Job
	if m.Slow && (j.GangSize() > 1 || j.Spec.Deadline != nil) {
		return false // a gang runs as fast as its slowest, and a deadline would be missed
	}
	if m.Spot && e.AvoidSpot {
		return false
	}
	return e.pending() > 0 && !now.Before(e.Retry) && ledger.Allowed(j.Spec, m.Type, m.Zone, m.Spot) &&
		(e.Avoid == nil || !e.Avoid(m.ID))
}

// waitsForCached reports whether another machine caches the image and has room:
// it will report within a round and take the task without a fetch.
func (v *Snapshot) waitsForCached(e *Entry, here *Machine) bool {
	if e.Waiting > v.Limits.DeferCold {
		return false
	}
	for _, m := range v.cachedOn(e.Job.Spec.Image) {
		if m.ID != here.ID && v.open(e, m) && m.Free.Fits(e.Job.Need) && e.Job.ZoneRoom(m.Zone) > 0 {
			return true
		}
	}
	return false
}

// waitsForRoom reports whether a machine that caches the image is about to be
// emptied for the job, which is quicker than a fetch.
func (v *Snapshot) waitsForRoom(e *Entry) bool {
	return e.Waiting <= v.Limits.DeferCold/2 && v.evictFor(e) != nil
}

// roomInTime is how many of the job's tasks other machines that cache the image
// will have room for by the time the job must start, if a fetch here would end
// after that time: a cold start would then miss the aim for certain. It is 0 if
// a fetch would be in time or there is no aim to miss.
func (v *Snapshot) roomInTime(e *Entry, here *Machine) int {
	if here.FetchGB <= 0 || e.LatestStart.IsZero() || e.Overdue {
		return 0 // what is late has waited for forecasts long enough
	}
	if fetch := FetchTime(e.Job.Spec.ImageGB, here.FetchGB); !v.Now.Add(fetch).After(e.LatestStart) {
		return 0
	}
	room := 0
	for _, m := range v.cachedOn(e.Job.Spec.Image) {
		if m.ID == here.ID || !v.open(e, m) {
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

// ReserveForHead chooses the machines whose freed room is kept for gangs that have
// headed the order for too long: as many as could hold them, those with the
// least on them first. kept is the choice so far; it is held on to.
func ReserveForHead(v *Snapshot, kept map[wire.MachineID]wire.JobID) map[wire.MachineID]wire.JobID {
	out := map[wire.MachineID]wire.JobID{}
	for i := range v.Queue {
		e := &v.Queue[i]
		j := e.Job
		if j.Spec.Shape != wire.Gang || j.Pending() == 0 || e.CrashLooping || e.Waiting < v.Limits.ReserveAfter ||
			v.Now.Before(e.Retry) {
			continue
		}
		need := min(j.GangSize(), v.TeamRoom(j, ledger.Resources{}, j.GangSize()))
		if need < j.GangSize() {
			continue
		}
		var options []*Machine
		for _, m := range v.Machines {
			if _, taken := out[m.ID]; !taken && m.Usable && eligible(e, v.Now, m) && m.Total.Fits(j.Need) {
				options = append(options, m)
			}
		}
		score := func(m *Machine) int64 {
			s := m.Total.CPU - m.Free.CPU
			if kept[m.ID] == j.ID {
				s -= m.Total.CPU
			}
			return s
		}
		slices.SortFunc(options, func(a, b *Machine) int {
			return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.ID, b.ID))
		})
		for _, m := range options {
			if need <= 0 {
				break
			}
			out[m.ID] = j.ID
			need -= m.Total.Times(j.Need, need)
		}
		return out // only the head of the order is worth idle machines
	}
	return out
}
