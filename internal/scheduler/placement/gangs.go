package placement

import (
	"cmp"
	"maps"
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// GangStart is a decision to start a whole gang.
type GangStart struct {
	Entry *Entry
	Parts []ledger.GangPart
}

// PlaceGangs places the gangs of several tasks, in policy order and each whole or not
// at all, over all machines. As on the path of single tasks, of the gangs of one
// priority and standing those that need no fetch go before those that do. What is
// given to one is taken from the view.
func PlaceGangs(v *Snapshot) []GangStart {
	var out []GangStart
	var roomy []*Machine // with room for a task of the least of the gangs
	taken := map[wire.Team]ledger.Resources{}
	fetches := map[wire.MachineID]wire.Image{} // that this pass begins
	try := func(e *Entry, worst int) bool {
		j := e.Job
		if need := j.GangSize(); v.TeamRoom(j, taken[j.Spec.Team].Add(e.Ahead, 1), need) < need {
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
			taken[j.Spec.Team] = taken[j.Spec.Team].Add(j.Need, j.GangSize())
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
			v.Examined++
			e := &v.Queue[end]
			if e.Job.GangSize() > 1 && startsWhole(e) && !v.Now.Before(e.Retry) && !try(e, rankUnderway) {
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
func startsWhole(e *Entry) bool { return e.Job.Claimed == 0 && e.pending() == e.Job.GangSize() }

// Reserve notes where the gangs that there is room for now will be placed. Without
// it lower jobs take that room task by task, with the first report, and a gang finds
// none until many machines happen to be free at once.
func (v *Snapshot) Reserve() {
	free := make(map[wire.MachineID]ledger.Resources, len(v.Machines))
	v.Reserved, v.reserved = map[wire.MachineID]map[wire.JobID]int{}, map[wire.JobID]bool{}
	for _, g := range PlaceGangs(v) {
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
func (v *Snapshot) roomyForGangs() []*Machine {
	const most = 1 << 60
	least := ledger.Resources{CPU: most, GPU: most, Memory: most}
	for i := range v.Queue {
		if j := v.Queue[i].Job; j.GangSize() > 1 && j.Claimed == 0 {
			least = ledger.Resources{
				CPU:    min(least.CPU, j.Need.CPU),
				GPU:    min(least.GPU, j.Need.GPU),
				Memory: min(least.Memory, j.Need.Memory),
			}
		}
	}
	roomy := []*Machine{}
	for _, m := range v.Machines {
		v.Examined++
		if m.Usable && m.Free.Fits(least) {
			m.Images.Fetches(v.Now, v.Limits.FetchAssumed)
			roomy = append(roomy, m)
		}
	}
	v.rank(roomy)
	return roomy
}

// overdue puts machines whose next report should have come after all others: one that has stopped
// costs a whole gang its start.
func overdue(m *Machine) int {
	if m.Overdue {
		return 1
	}
	return 0
}

// rankBusy is the rank of an image on a machine that would have to fetch it while
// it fetches another: the two share the rate.
const rankBusy = rankAbsent + 1

// gang places one gang. Its tasks start together, so the machine furthest from
// having the image decides when: of the zones that it may be in, the one goes first
// where that one is nearest; how near is told. Machines that report in time and are nearest to the image go first, among them cheap
// ones, which not all work may use, and then those that the gang fills best.
func (v *Snapshot) gang(
	e *Entry,
	roomy []*Machine,
	fetches map[wire.MachineID]wire.Image,
) (best []ledger.GangPart, bestRank int) {
	j := e.Job
	need := j.GangSize()
	found := nearest[gangOption]{most: need, order: func(a, b gangOption) int {
		return cmp.Or(
			cmp.Compare(overdue(a.m), overdue(b.m)),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(own(a.m), own(b.m)),
			cmp.Compare(a.left, b.left),
			cmp.Compare(b.room, a.room),
			cmp.Compare(a.m.ID, b.m.ID),
		)
	}}
	var all []gangOption // with a topology
	total := 0
	for _, m := range roomy {
		v.Examined++
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
		var out []ledger.GangPart
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
			rank = max(rank, o.rank)
			out = append(out, ledger.GangPart{Site: o.m.ClaimTarget(), Count: n})
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
