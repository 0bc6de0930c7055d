// Package place is the design's placement path: on a report of free room, jobs
// in policy order are each offered a task whose image the machine caches, else
// one being fetched there, else a capped cold start. It does no I/O and is told
// the time.
package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/topology"
	"maddermill/policy"
	"maddermill/wire"
)

// Limits of placement, from the settings.
type Limits struct {
	ColdStarts    int           // fetches in flight at a controller's machines
	FetchMark     time.Duration // how long a start counts as fetching unseen
	WithholdAfter time.Duration // how long a gang heads the order before room is kept
	Starts        int           // jobs that a machine is given tasks of at once, 0: no bound
	DeferCold     time.Duration // how long a task waits for a machine that caches its image
}

// Machine is a machine as placement sees it.
type Machine struct {
	ID      wire.MachineID
	Type    wire.MachineSKU
	Zone    wire.Zone
	Spot    bool
	Session wire.Session
	Token   wire.Token // the holding controller's
	Total   ledger.Resources
	Free    ledger.Resources
	Images  *Images
	Usable  bool // may be given tasks
	Mine    bool // reports to this controller
	Busy    []Busy
	FetchGB float64        // a second
	Block   topology.Block // where it is, if a topology is declared
	Slow    bool           // its tasks take longer than others'
	Faulty  bool           // it is judged to fail tasks that others would not
}

// Busy is room that tasks take, and until when as far as can be foreseen.
type Busy struct {
	Until time.Time
	Room  ledger.Resources
}

// Site is the machine as claims name it.
func (m *Machine) Site() ledger.Site {
	return ledger.Site{Machine: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Session: m.Session, Token: m.Token}
}

// Images is the estimate of one machine's image cache, least recently used
// first, and of the fetches under way there.
type Images struct {
	capacity float64
	cached   []cachedImage
	fetching map[wire.Image]time.Time // when last known to be under way
}

type cachedImage struct {
	name wire.Image
	gb   float64
}

// NewImages returns the estimate of an empty cache.
func NewImages(capacityGB float64) *Images {
	return &Images{capacity: capacityGB, fetching: map[wire.Image]time.Time{}}
}

// Has reports whether the image is believed to be cached.
func (c *Images) Has(name wire.Image) bool {
	return slices.ContainsFunc(c.cached, func(i cachedImage) bool { return i.name == name })
}

// Used notes that a task with the image is past its fetch.
func (c *Images) Used(name wire.Image, gb float64) {
	delete(c.fetching, name)
	c.cached = slices.DeleteFunc(c.cached, func(i cachedImage) bool { return i.name == name })
	c.cached = append(c.cached, cachedImage{name, gb})
	sum := 0.0
	for _, i := range c.cached {
		sum += i.gb
	}
	for sum > c.capacity && len(c.cached) > 1 {
		sum -= c.cached[0].gb
		c.cached = c.cached[1:]
	}
}

// Fetching notes that the image is being fetched.
func (c *Images) Fetching(name wire.Image, now time.Time) { c.fetching[name] = now }

// Underway reports whether the image is being fetched, as far as known.
func (c *Images) Underway(name wire.Image) bool { _, ok := c.fetching[name]; return ok }

// Under lists the images being fetched.
func (c *Images) Under() []wire.Image { return slices.Sorted(maps.Keys(c.fetching)) }

// Ranks of images on a machine.
const (
	rankCached = iota
	rankUnderway
	rankAbsent
)

func (c *Images) rank(name wire.Image) int {
	switch {
	case c.Has(name):
		return rankCached
	case c.Underway(name):
		return rankUnderway
	}
	return rankAbsent
}

// Fetches counts the fetches under way after dropping marks older than age.
func (c *Images) Fetches(now time.Time, age time.Duration) int {
	for name, since := range c.fetching {
		if now.Sub(since) > age {
			delete(c.fetching, name)
		}
	}
	return len(c.fetching)
}

// Names lists the cached images, most recently used last.
func (c *Images) Names() []wire.Image {
	names := make([]wire.Image, len(c.cached))
	for i, im := range c.cached {
		names[i] = im.name
	}
	return names
}

// Entry is a job in policy order.
type Entry struct {
	Job     *ledger.Job
	Beyond  bool // beyond its team's guarantee
	Retry   time.Time
	Avoid   func(wire.MachineID) bool
	Waiting time.Duration // how long it has been pending
	Taken   *int          // tasks whose start is decided but not yet in the ledger
	Resting int           // tasks that are not to be tried now
	Suspect bool          // it fails wherever it runs, as far as known
	Late    bool          // it must be placed now to begin within the bound on waiting
	Pressed bool          // it is late, has never begun, and there is hardly time left
	Steady  bool          // it is not to run on spot machines now, though it may
	Plain   bool          // it needs no accelerator, and may run on machines without any

	// Ahead is what late gangs of its team that come before it are kept of the team's limit.
	Ahead ledger.Resources
	keeps bool // it is counted in Ahead of others

	Expected time.Duration // how long a task is expected to run
	StartBy  time.Time     // when tasks must start for the job to meet its aims
}

// pending is how many tasks there are to place.
func (e *Entry) pending() int {
	n := e.Job.Pending() - e.Resting
	taken := 0
	if e.Taken != nil {
		taken = *e.Taken
	}
	if e.Suspect && e.Job.Spec.Shape != wire.Gang {
		// One task is enough to find out whether it still fails.
		n = min(n, 1-e.Job.Claimed)
	}
	return max(0, n-taken)
}

// Order sorts entries by the job policy: priority, work within a guarantee before work beyond
// one, then the time by which it must start to meet an aim that it can still meet, then the
// fewest tasks that must start together, as the same room serves more such jobs, then arrival
// (policy.Builtin). Of a priority and standing, what is late comes first (late.go).
func Order(entries []Entry) { OrderBy(entries, time.Time{}, policy.Builtin) }

// OrderBy sorts entries as a policy says, which gets them in one pass and answers with an
// order that keeps to the groups.
func OrderBy(entries []Entry, now time.Time, decide func(*policy.Pass) []uint32) {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.group(), b.group()), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	in := slices.Clone(entries)
	for i, n := range decide(passOf(in, now)) {
		entries[i] = in[n]
	}
}

// JobOf is what a policy sees of a job's description.
func JobOf(s *wire.JobSpec, need ledger.Resources, accepted wire.UnixMillis) policy.Job {
	j := policy.Job{Due: policy.Never, Accepted: int64(accepted), Tasks: uint32(s.Tasks), Pending: uint32(s.Tasks), Together: 1,
		CPU: need.CPU, GPU: need.GPU, Memory: need.Memory}
	if s.Shape == wire.Gang {
		j.Together = uint32(s.Tasks)
	}
	if s.Deadline != nil {
		j.Due = s.Deadline.Duration().Milliseconds()
	}
	for bit, set := range [...]bool{false, s.Shape == wire.Gang, s.Shape == wire.Service, s.Spot, s.OneZone, s.Spread} {
		if set {
			j.Flags |= 1 << bit // in the order of the flags' declaration, the first is not the job's own
		}
	}
	return j
}

// group is what no policy may change: priority, standing towards a guarantee, that of these a
// late job comes first, and that a job that is believed to fail wherever it runs comes after all
// others, as it must not cost them a machine. Placement takes jobs group by group.
func (e *Entry) group() uint32 {
	g := e.standing() << 1
	if !e.Late {
		g++
	}
	if e.Suspect {
		g += 32
	}
	return g
}

// standing is the priority, and whether the job is beyond its team's guarantee.
func (e *Entry) standing() uint32 {
	g := uint32(e.Job.Spec.Priority.Rank()+1) << 1 // 0: none that is known
	if e.Beyond {
		g++
	}
	return g
}

// passOf is what a policy sees of entries, which are in the order of groups and ids.
func passOf(entries []Entry, now time.Time) *policy.Pass {
	p := &policy.Pass{Now: now.UnixMilli(), Jobs: make([]policy.Job, len(entries))}
	var names policy.Namer
	for i := range entries {
		e := &entries[i]
		s := e.Job.Spec
		j := JobOf(s, e.Job.Need, e.Job.Accepted)
		j.Group, j.StartBy, j.Waiting, j.Expected = e.group(), policy.Never, e.Waiting.Milliseconds(), e.Expected.Milliseconds()
		j.Pending, j.Together, j.Running = uint32(e.pending()), uint32(max(0, e.Job.Together())), uint32(e.Job.Claimed)
		j.Team, j.Class, j.Image = names.Number(string(s.Team)), names.Number(string(s.Class)), names.Number(string(s.Image))
		if !e.StartBy.IsZero() {
			j.StartBy = e.StartBy.UnixMilli()
		}
		if e.Beyond {
			j.Flags |= policy.Beyond
		}
		p.Jobs[i] = j
	}
	p.Names = names.Names
	return p
}

// class compares the groups of two entries.
func (e *Entry) class(o *Entry) int { return cmp.Compare(e.group(), o.group()) }

// How a start gets its image.
type How string

// The ways, best first.
const (
	Cached   How = "cached"
	Underway How = "underway"
	Cold     How = "cold"
)

// Start is a decision to start tasks of a job on the machine.
type Start struct {
	Job   *ledger.Job
	Count int
	How   How
	Late  bool // the job must be placed now to begin within the bound on waiting
}

// View is what decisions are made from. One view serves many of them: what is
// looked up in it by image, by machine or by job is indexed once, so that the
// cost of a decision follows what it can change and not the size of the whole.
type View struct {
	Now      time.Time
	Limits   Limits
	Queue    []Entry // in policy order
	TeamRoom func(j *ledger.Job, extra ledger.Resources, most int) int
	Machines []*Machine // all known, to see where images are cached
	Cold     int        // fetches in flight at this controller's machines
	Withheld map[wire.MachineID]wire.JobID
	Victims  func(*Machine) []Victim // what may be stopped there; nil: nothing
	// Reserved is the room that gangs will be given in a moment, in tasks.
	Reserved map[wire.MachineID]map[wire.JobID]int

	// Gathered is the room that late gangs are kept until all of it is free (Gather).
	Gathered map[wire.MachineID]Kept

	// Prefer, if set, has a policy rank the machines that have room for gangs; nothing: by how
	// well a gang fills them.
	Prefer func(*policy.Machines) []uint32

	// Tree is the declared topology; nil: there is none.
	Tree *topology.Tree

	// Looked counts the entries and machines that decisions have looked at.
	Looked int

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
func (v *View) index() {
	v.caching, v.byID = map[wire.Image][]*Machine{}, make(map[wire.MachineID]*Machine, len(v.Machines))
	for _, m := range v.Machines {
		v.Looked++
		v.byID[m.ID] = m
		for i := range m.Images.cached {
			name := m.Images.cached[i].name
			v.caching[name] = append(v.caching[name], m)
		}
	}
}

// cachedOn lists the machines that cache an image.
func (v *View) cachedOn(name wire.Image) []*Machine {
	if v.caching == nil {
		v.index()
	}
	v.Looked += len(v.caching[name])
	return v.caching[name]
}

// Machine returns a machine of the view, or nil.
func (v *View) Machine(id wire.MachineID) *Machine {
	if v.byID == nil {
		v.index()
	}
	return v.byID[id]
}

// Put takes over what is now known of a machine. Images that it caches since are
// found by the next view.
func (v *View) Put(m *Machine) *Machine {
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
func (v *View) order(m *Machine) []Entry {
	if m.Spot {
		return v.Queue
	}
	if v.onOwn == nil {
		v.onOwn = boundFirst(v.Queue)
	}
	return v.onOwn
}

// leastNeed is the least that any task in the queue takes.
func (v *View) leastNeed() ledger.Resources {
	if v.least == nil {
		const most = 1 << 60
		least := ledger.Resources{CPU: most, GPU: most, Memory: most}
		for i := range v.Queue {
			n := v.Queue[i].Job.Need
			least = ledger.Resources{CPU: min(least.CPU, n.CPU), GPU: min(least.GPU, n.GPU), Memory: min(least.Memory, n.Memory)}
		}
		v.least = &least
	}
	return *v.least
}

// OnRoom decides what a machine that reports free room is given.
func OnRoom(v *View, m *Machine) []Start {
	if !m.Usable {
		return nil
	}
	var starts []Start
	free, cold := m.Free, v.Cold
	fetches := m.Images.Fetches(v.Now, v.Limits.FetchMark)
	teamTaken := map[wire.Team]ledger.Resources{}
	ahead := map[wire.Image]int{} // tasks passed over here, by image
	queue, least := v.order(m), v.leastNeed()
	give := func(e *Entry, n int, how How) {
		j := e.Job
		if e.Plain && m.Total.GPU > 0 && free == m.Total {
			v.idleBeyond()[kindInZone{m.Type, m.Zone}]--
		}
		free = free.Add(j.Need, -n)
		teamTaken[j.Spec.Team] = teamTaken[j.Spec.Team].Add(j.Need, n)
		starts = append(starts, Start{j, n, how, e.Late})
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
			v.Looked++
			e := &queue[end]
			j := e.Job
			if j.Together() > 1 {
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
			case m.Images.Underway(j.Spec.Image):
				give(e, n, Underway)
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
	v.Cold = cold
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

// open reports whether a machine takes tasks of the job at all, and isn't kept for
// another.
func (v *View) open(e *Entry, m *Machine) bool {
	keep, kept := v.Withheld[m.ID]
	return m.Usable && (!kept || keep == e.Job.ID) && !v.gathered(e, m) && !v.leaves(e, m) && eligible(e, v.Now, m)
}

func eligible(e *Entry, now time.Time, m *Machine) bool {
	j := e.Job
	if m.Slow && (j.Together() > 1 || j.Spec.Deadline != nil) {
		return false // a gang runs as fast as its slowest, and a deadline would be missed
	}
	if m.Spot && e.Steady {
		return false
	}
	return e.pending() > 0 && !now.Before(e.Retry) && ledger.Allowed(j.Spec, m.Type, m.Zone, m.Spot) &&
		(e.Avoid == nil || !e.Avoid(m.ID))
}

// waitsForCached reports whether another machine caches the image and has room:
// it will report within a round and take the task without a fetch.
func (v *View) waitsForCached(e *Entry, here *Machine) bool {
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
func (v *View) waitsForRoom(e *Entry) bool {
	return e.Waiting <= v.Limits.DeferCold/2 && v.evictFor(e) != nil
}

// roomInTime is how many of the job's tasks other machines that cache the image
// will have room for by the time the job must start, if a fetch here would end
// after that time: a cold start would then miss the aim for certain. It is 0 if
// a fetch would be in time or there is no aim to miss.
func (v *View) roomInTime(e *Entry, here *Machine) int {
	if here.FetchGB <= 0 || e.StartBy.IsZero() || e.Late {
		return 0 // what is late has waited for forecasts long enough
	}
	if fetch := FetchTime(e.Job.Spec.ImageGB, here.FetchGB); !v.Now.Add(fetch).After(e.StartBy) {
		return 0
	}
	room := 0
	for _, m := range v.cachedOn(e.Job.Spec.Image) {
		if m.ID == here.ID || !v.open(e, m) {
			continue
		}
		free := m.Free
		for _, b := range m.Busy {
			if b.Until.Before(e.StartBy) {
				free = free.Add(b.Room, 1)
			}
		}
		room += min(free.Times(e.Job.Need, e.pending()), e.Job.ZoneRoom(m.Zone))
	}
	return room
}

// GangStart is a decision to start a whole gang.
type GangStart struct {
	Entry *Entry
	Parts []ledger.Placed
}

// Gangs places the gangs of several tasks, in policy order and each whole or not
// at all, over all machines. As on the path of single tasks, of the gangs of one
// priority and standing those that need no fetch go before those that do. What is
// given to one is taken from the view.
func Gangs(v *View) []GangStart {
	var out []GangStart
	var roomy []*Machine // with room for a task of the least of the gangs
	taken := map[wire.Team]ledger.Resources{}
	fetches := map[wire.MachineID]wire.Image{} // that this pass begins
	try := func(e *Entry, worst int) bool {
		j := e.Job
		if need := j.Together(); v.TeamRoom(j, taken[j.Spec.Team].Add(e.Ahead, 1), need) < need {
			return true // its team's limit, not room, is in the way
		}
		if roomy == nil {
			roomy = v.roomyForGangs()
		}
		placed, rank := v.gang(e, roomy, fetches)
		if placed == nil || rank > worst {
			return placed == nil
		}
		if !e.keeps { // else it is ahead of the others already
			taken[j.Spec.Team] = taken[j.Spec.Team].Add(j.Need, j.Together())
		}
		for _, p := range placed {
			m := v.Machine(p.Site.Machine)
			m.Free = m.Free.Add(j.Need, -p.Count)
			if m.Images.rank(j.Spec.Image) == rankAbsent {
				fetches[m.ID] = j.Spec.Image
			}
		}
		out = append(out, GangStart{e, placed})
		return true
	}
	for first, end := 0, 0; first < len(v.Queue); first = end {
		var absent []*Entry
		for end = first; end < len(v.Queue) && v.Queue[end].class(&v.Queue[first]) == 0; end++ {
			v.Looked++
			e := &v.Queue[end]
			if e.Job.Together() > 1 && startsWhole(e) && !v.Now.Before(e.Retry) && !try(e, rankUnderway) {
				absent = append(absent, e)
			}
		}
		for _, e := range absent {
			try(e, rankBusy)
		}
	}
	return out
}

// startsWhole reports whether all of a gang's unfinished tasks wait: while an earlier
// attempt is still on its machines they can't.
func startsWhole(e *Entry) bool { return e.Job.Claimed == 0 && e.pending() == e.Job.Together() }

// Reserve notes where the gangs that there is room for now will be placed. Without
// it lower jobs take that room task by task, with the first report, and a gang finds
// none until many machines happen to be free at once.
func (v *View) Reserve() {
	free := make(map[wire.MachineID]ledger.Resources, len(v.Machines))
	v.Reserved, v.reserved = map[wire.MachineID]map[wire.JobID]int{}, map[wire.JobID]bool{}
	for _, g := range Gangs(v) {
		v.reserved[g.Entry.Job.ID] = true
		for _, p := range g.Parts {
			m := v.Machine(p.Site.Machine)
			free[m.ID] = free[m.ID].Add(g.Entry.Job.Need, p.Count)
			if v.Reserved[m.ID] == nil {
				v.Reserved[m.ID] = map[wire.JobID]int{}
			}
			v.Reserved[m.ID][g.Entry.Job.ID] += p.Count
		}
	}
	for id, r := range free {
		m := v.Machine(id)
		m.Free = m.Free.Add(r, 1)
	}
}

// roomyForGangs lists the usable machines with room for a task of some gang that
// waits, so that each gang only looks at those.
func (v *View) roomyForGangs() []*Machine {
	const most = 1 << 60
	least := ledger.Resources{CPU: most, GPU: most, Memory: most}
	for i := range v.Queue {
		if j := v.Queue[i].Job; j.Together() > 1 && j.Claimed == 0 {
			least = ledger.Resources{CPU: min(least.CPU, j.Need.CPU), GPU: min(least.GPU, j.Need.GPU), Memory: min(least.Memory, j.Need.Memory)}
		}
	}
	roomy := []*Machine{}
	for _, m := range v.Machines {
		v.Looked++
		if m.Usable && m.Free.Fits(least) {
			m.Images.Fetches(v.Now, v.Limits.FetchMark)
			roomy = append(roomy, m)
		}
	}
	v.rank(roomy)
	return roomy
}

// rankBusy is the rank of an image on a machine that would have to fetch it while
// it fetches another: the two share the rate.
const rankBusy = rankAbsent + 1

// gang places one gang. Its tasks start together, so the machine furthest from
// having the image decides when: of the zones that it may be in, the one goes first
// where that one is nearest; how near is told. Machines nearest to the image go first, among them cheap
// ones, which not all work may use, and then those that the gang fills best.
func (v *View) gang(e *Entry, roomy []*Machine, fetches map[wire.MachineID]wire.Image) (best []ledger.Placed, bestRank int) {
	j := e.Job
	need := j.Together()
	found := nearest[gangOption]{most: need, order: func(a, b gangOption) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(own(a.m), own(b.m)), cmp.Compare(a.left, b.left),
			cmp.Compare(b.room, a.room), cmp.Compare(a.m.ID, b.m.ID))
	}}
	var all []gangOption // with a topology
	total := 0
	for _, m := range roomy {
		v.Looked++
		room := m.Free.Times(j.Need, need)
		if room == 0 || !v.open(e, m) {
			continue
		}
		free := m.Free.Add(j.Need, -room)
		o := gangOption{m, room, m.Images.rank(j.Spec.Image), v.fit(m, free)}
		if begun, also := fetches[m.ID]; o.rank == rankAbsent && (also || len(m.Images.fetching) > 0) {
			if o.rank = rankBusy; begun == j.Spec.Image {
				o.rank = rankUnderway
			}
		}
		if v.Tree != nil {
			all = append(all, o)
		} else {
			found.add(m.Zone, o)
		}
		total += room
	}
	if total < need {
		return nil, 0
	}
	if v.Tree != nil {
		return v.closest(e, all)
	}
	for _, options := range found.places(j.Spec.OneZone) {
		left, rank := need, 0
		taken := map[wire.Zone]int{}
		var out []ledger.Placed
		for _, o := range options {
			n := min(o.room, left)
			if j.Spec.Spread {
				n = min(n, (j.Spec.Tasks+1)/2-taken[o.m.Zone])
			}
			if n <= 0 {
				continue
			}
			taken[o.m.Zone] += n
			left -= n
			rank = o.rank
			out = append(out, ledger.Placed{Site: o.m.Site(), Count: n})
		}
		if left == 0 && (best == nil || rank < bestRank) {
			best, bestRank = out, rank
		}
	}
	return best, bestRank
}

// nearest keeps the first few options of each zone in an order. A gang needs no more
// machines of a zone than it has tasks, so the rest need not be sorted.
type nearest[T any] struct {
	most  int // of a zone
	order func(a, b T) int
	zones map[wire.Zone][]T
}

func (f *nearest[T]) add(z wire.Zone, o T) {
	if f.zones == nil {
		f.zones = map[wire.Zone][]T{}
	}
	list := f.zones[z]
	if len(list) == f.most {
		if f.order(o, list[len(list)-1]) >= 0 {
			return
		}
		list = list[:len(list)-1]
	}
	at, _ := slices.BinarySearchFunc(list, o, f.order)
	f.zones[z] = slices.Insert(list, at, o)
}

// places lists the options in order: of each zone by itself, or of all together.
func (f *nearest[T]) places(oneZone bool) [][]T {
	var out [][]T
	var all []T
	for _, z := range slices.Sorted(maps.Keys(f.zones)) {
		out = append(out, f.zones[z])
		all = append(all, f.zones[z]...)
	}
	if oneZone {
		return out
	}
	slices.SortFunc(all, f.order)
	return [][]T{all}
}

// Withhold chooses the machines whose freed room is kept for gangs that have
// headed the order for too long: as many as could hold them, those with the
// least on them first. kept is the choice so far; it is held on to.
func Withhold(v *View, kept map[wire.MachineID]wire.JobID) map[wire.MachineID]wire.JobID {
	out := map[wire.MachineID]wire.JobID{}
	for i := range v.Queue {
		e := &v.Queue[i]
		j := e.Job
		if j.Spec.Shape != wire.Gang || j.Pending() == 0 || e.Suspect || e.Waiting < v.Limits.WithholdAfter || v.Now.Before(e.Retry) {
			continue
		}
		need := min(j.Together(), v.TeamRoom(j, ledger.Resources{}, j.Together()))
		if need < j.Together() {
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
