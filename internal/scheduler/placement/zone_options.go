package placement

import (
	"maps"
	"slices"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// zoneOptions keeps the first options of each zone in an order. A gang needs no more machines of a
// zone than it has tasks, so that the rest need not be sorted.
type zoneOptions[T any] struct {
	perZone int // the options kept of a zone
	compare func(a, b T) int
	zones   map[wire.Zone][]T
}

// add offers an option in a zone.
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

// lists returns the lists of options that a gang may be placed by, each in order: one of each zone
// for a gang in one zone, else one of all zones together.
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

// allotment distributes the tasks of one gang to machines, within the gang's bound on tasks in a
// zone.
type allotment struct {
	left       int               // tasks without a machine
	maxPerZone int               // 0: no bound
	inZone     map[wire.Zone]int // tasks given to machines, by zone
}

// newAllotment returns the allotment of a gang none of whose tasks has a machine.
func newAllotment(j *ledger.Job) allotment {
	return allotment{left: j.GangSize(), maxPerZone: maxPerZone(j), inZone: map[wire.Zone]int{}}
}

// maxPerZone returns how many tasks of a gang may run in one zone; 0 if that is not bounded.
func maxPerZone(j *ledger.Job) int {
	if !j.Spec.Spread {
		return 0
	}
	return (j.Spec.Tasks + 1) / 2
}

// take gives up to room tasks to a machine in a zone and returns how many.
func (a *allotment) take(zone wire.Zone, room int) int {
	n := min(room, a.left)
	if a.maxPerZone > 0 {
		n = min(n, a.maxPerZone-a.inZone[zone])
	}
	if n <= 0 {
		return 0
	}
	a.inZone[zone] += n
	a.left -= n
	return n
}
