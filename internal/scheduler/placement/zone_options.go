package placement

import (
	"maps"
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// zoneOptions keeps the first options of each zone in sorted order. A gang needs at most as many
// machines of a zone as it has tasks, so the rest need not be kept.
type zoneOptions[T any] struct {
	perZone int // maximum options kept per zone
	compare func(a, b T) int
	zones   map[wire.Zone][]T
}

// add adds an option in a zone, and drops the last one of the zone if there are too many.
func (z *zoneOptions[T]) add(zone wire.Zone, option T) {
	if z.zones == nil {
		z.zones = map[wire.Zone][]T{}
	}
	list := z.zones[zone]
	if len(list) == z.perZone {
		if z.compare(option, list[len(list)-1]) >= 0 {
			return
		}
		list = list[:len(list)-1]
	}
	at, _ := slices.BinarySearchFunc(list, option, z.compare)
	z.zones[zone] = slices.Insert(list, at, option)
}

// lists returns the sorted lists of options in which a gang may be placed: one list per zone for a
// gang confined to one zone, otherwise one list of all zones.
func (z *zoneOptions[T]) lists(oneZone bool) [][]T {
	var out [][]T
	var all []T
	for _, zone := range slices.Sorted(maps.Keys(z.zones)) {
		out = append(out, z.zones[zone])
		all = append(all, z.zones[zone]...)
	}
	if oneZone {
		return out
	}
	slices.SortFunc(all, z.compare)
	return [][]T{all}
}

// allotment assigns the tasks of one gang to machines, within the gang's limit of tasks per zone.
type allotment struct {
	unassigned     int               // tasks without a machine
	maxPerZone     int               // 0: unlimited
	assignedByZone map[wire.Zone]int // tasks assigned to machines, by zone
}

// newAllotment returns an allotment with all tasks of a gang unassigned.
func newAllotment(j *ledger.Job) allotment {
	return allotment{unassigned: j.GangSize(), maxPerZone: maxPerZone(j), assignedByZone: map[wire.Zone]int{}}
}

// maxPerZone returns the maximum number of tasks of a gang in one zone, or 0 if it is unlimited.
func maxPerZone(j *ledger.Job) int {
	if !j.Spec.Spread {
		return 0
	}
	return (j.Spec.Tasks + 1) / 2
}

// assign assigns up to room tasks to a machine in a zone and returns how many.
func (a *allotment) assign(zone wire.Zone, room int) int {
	n := min(room, a.unassigned)
	if a.maxPerZone > 0 {
		n = min(n, a.maxPerZone-a.assignedByZone[zone])
	}
	if n <= 0 {
		return 0
	}
	a.assignedByZone[zone] += n
	a.unassigned -= n
	return n
}
