// Package fleet decides which machines to rent and which to give back. The
// leader carries it out; this part does no I/O.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/place"
	"maddermill/wire"
)

// Unit is a machine as the fleet's leader sees it.
type Unit struct {
	ID        wire.MachineID
	Type      wire.MachineSKU
	Zone      wire.Zone
	Spot      bool
	Booting   bool
	Usable    bool // takes tasks, or will when it is up
	Total     ledger.Resources
	Busy      []place.Busy          // what its tasks take, and until when
	Caches    func(wire.Image) bool // nil: nothing is known to be cached
	Fetching  wire.Image            // under way there, "" if none
	IdleSince time.Time             // zero while it has claims
}

// room returns what is free at a time, as far as can be foreseen.
func (u *Unit) room(at time.Time) ledger.Resources {
	free := u.Total
	for _, b := range u.Busy {
		if b.Until.After(at) {
			free = free.Add(b.Room, -1)
		}
	}
	return free
}

func (u *Unit) caches(name wire.Image) bool { return u.Caches != nil && u.Caches(name) }

// take puts n tasks on the machine until some time.
func (u *Unit) take(need ledger.Resources, n int, until time.Time) {
	u.Busy = append(u.Busy, place.Busy{Until: until, Room: ledger.Resources{}.Add(need, n)})
}

// Option is a kind of machine to rent.
type Option struct {
	Type wire.MachineSKU
	Zone wire.Zone
	Spot bool
}

// Need is a number of machines of a kind.
type Need struct {
	Option
	Count int
}

// Input is what a plan is made from.
type Input struct {
	Now       time.Time
	Flavors   map[wire.MachineSKU]wire.Flavor // at current prices
	Units     []Unit
	Queue     []place.Entry // in policy order
	TeamRoom  func(j *ledger.Job, extra ledger.Resources, most int) int
	Refused   func(Option) bool // lately without capacity
	Spot      bool
	Most      int // machines at once, 0: no bound
	IdleBoots float64
	Headroom  float64
	Close     bool // a topology is declared: a gang's machines are wanted in one zone

	Looked int // machines looked at: what a plan costs
}

// Plan is what to do.
type Plan struct {
	Hire  []Need
	Drain []wire.MachineID
}

type slot struct {
	unit Unit
	used bool
	new  bool
}

// Make packs the pending work, in policy order, into the machines there are or
// that are booting, rents what the rest needs, and gives back machines idle for
// longer than it would take to boot them again.
func Make(in *Input) Plan {
	var slots []*slot
	inUse := 0
	for _, u := range in.Units {
		if u.Usable {
			slots = append(slots, &slot{unit: u})
		}
		if u.IdleSince.IsZero() && !u.Booting {
			inUse++
		}
	}
	// Machines that are up come first, then those that boot; cheap ones before
	// dear ones, which are kept for work that may run nowhere else.
	slices.SortStableFunc(slots, func(a, b *slot) int {
		boot := func(s *slot) int {
			if s.unit.Booting {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(boot(a), boot(b)), cmp.Compare(in.price(a.unit.option()), in.price(b.unit.option())), cmp.Compare(a.unit.ID, b.unit.ID))
	})
	var plan Plan
	hired := map[Option]int{}
	total := len(in.Units)
	perZone := map[wire.Zone]int{}
	for i := range in.Units {
		perZone[in.Units[i].Zone]++
	}
	extra := map[wire.Team]ledger.Resources{}
	// Machines without room for a task of any job are not looked at for each.
	least, latest := in.least()
	full := func(s *slot) bool { return !s.unit.room(latest).Fits(least) }
	open := slices.DeleteFunc(slices.Clone(slots), full)
	for i := range in.Queue {
		j := in.Queue[i].Job
		if in.Queue[i].Suspect {
			continue // nothing is rented for what fails everywhere
		}
		left := in.TeamRoom(j, extra[j.Spec.Team], j.Pending())
		if left <= 0 || in.Now.Before(in.Queue[i].Retry) {
			continue
		}
		extra[j.Spec.Team] = extra[j.Spec.Team].Add(j.Need, left)
		var zone wire.Zone // the one zone of a job that must stay together
		if j.Spec.OneZone {
			j.Claims(func(c ledger.Claim) bool { zone = c.Zone; return false })
		}
		e := &in.Queue[i]
		// A machine rented now is up a boot time from now. For work with time
		// for one more boot after that, what is free by then does as well. With
		// less, forecasts that keep being wrong would let it wait for ever.
		by, pressing := in.Now, true
		if boot := in.boot(j); e.StartBy.After(by.Add(2 * boot)) {
			by, pressing = by.Add(boot), false
		}
		until := by.Add(e.Expected)
		put := map[wire.Zone]int{} // tasks of the job by this plan
		fits := func(s *slot) int {
			u := &s.unit
			if !ledger.Allowed(j.Spec, u.Type, u.Zone, u.Spot) || e.Steady && u.Spot || e.Plain && u.Total.GPU > 0 || zone != "" && u.Zone != zone {
				return 0
			}
			// One fetch at a time: a machine that has to fetch another image
			// first is of no use to work that can't wait.
			if pressing && !u.caches(j.Spec.Image) && u.Fetching != "" && u.Fetching != j.Spec.Image {
				return 0
			}
			n := u.room(by).Times(j.Need, left)
			if j.Spec.Spread {
				n = max(0, min(n, j.ZoneRoom(u.Zone)-put[u.Zone]))
			}
			return n
		}
		filled := false
		use := func(s *slot, n int) {
			s.unit.take(j.Need, n, until)
			s.used = true
			if !s.unit.caches(j.Spec.Image) {
				s.unit.Fetching = j.Spec.Image
			}
			left -= n
			put[s.unit.Zone] += n
			filled = filled || full(s)
		}
		// The one zone of a gang that is only wanted close gives way where nothing is to
		// be had, or only for more money than elsewhere.
		near := in.Close && j.Together() > 1 && !j.Spec.OneZone && !j.Spec.Spread
		if near {
			zone = roomiest(open, fits)
		}
		taken := map[*slot]bool{}
		fill := func() {
			for _, s := range open {
				if left == 0 {
					break
				}
				in.Looked++
				if n := fits(s); n > 0 && !taken[s] {
					use(s, n)
					taken[s] = true
					if j.Spec.OneZone {
						zone = s.unit.Zone
					}
				}
			}
		}
		fill()
		for left > 0 && (in.Most == 0 || total < in.Most) {
			o, price, ok := cheapest(in, e, zone, put, perZone)
			if near && zone != "" {
				if _, elsewhere, found := cheapest(in, e, "", put, perZone); found && (!ok || elsewhere < price) {
					near, zone = false, ""
					fill()
					continue
				}
			}
			if !ok {
				break
			}
			f := in.Flavors[o.Type]
			s := &slot{unit: Unit{Type: o.Type, Zone: o.Zone, Spot: o.Spot,
				Total: ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB)}, used: true, new: true}
			n := fits(s)
			if n == 0 {
				break
			}
			use(s, n)
			slots, open = append(slots, s), append(open, s)
			hired[o]++
			perZone[o.Zone]++
			total++
			if j.Spec.OneZone || near {
				zone = o.Zone
			}
		}
		if filled {
			open = slices.DeleteFunc(open, full)
		}
	}
	left := in.left()
	for _, k := range slices.SortedFunc(maps.Keys(left), func(a, b Option) int { return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone)) }) {
		for n := in.missing(k, left[k], slots); n > 0 && (in.Most == 0 || total < in.Most); n-- {
			hired[k]++
			total++
		}
	}
	for o, n := range hired {
		plan.Hire = append(plan.Hire, Need{o, n})
	}
	slices.SortFunc(plan.Hire, func(a, b Need) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	})
	spare := int(in.Headroom * float64(inUse))
	var idle []Unit
	for _, s := range slots {
		if !s.new && !s.used && !s.unit.Booting && !s.unit.IdleSince.IsZero() {
			idle = append(idle, s.unit)
		}
	}
	// The dearest idle machines go first, and those idle for the longest.
	slices.SortFunc(idle, func(a, b Unit) int {
		return cmp.Or(cmp.Compare(in.price(b.option()), in.price(a.option())), a.IdleSince.Compare(b.IdleSince))
	})
	for _, u := range idle[:max(0, len(idle)-spare)] {
		f := in.Flavors[u.Type]
		if k := (Option{Type: u.Type, Zone: u.Zone}); left[k] > 0 {
			left[k]--
			continue
		}
		keep := in.IdleBoots * float64(f.Boot.Duration())
		if p := in.price(u.option()); p > 0 && f.Price > p {
			keep *= f.Price / p // a cheap machine is worth keeping, with its cache, for longer
		}
		if in.Now.Sub(u.IdleSince) > time.Duration(keep) {
			plan.Drain = append(plan.Drain, u.ID)
		}
	}
	return plan
}

// left is how many idle machines with accelerators, of each type in each zone, are kept for work
// that needs them, where there are types without any for other work.
func (in *Input) left() map[Option]int {
	left, plain := map[Option]int{}, false
	for _, f := range in.Flavors {
		plain = plain || f.GPUs == 0
	}
	if !plain {
		return left
	}
	for i := range in.Units {
		if u := &in.Units[i]; u.Usable && !u.Booting && u.Total.GPU > 0 {
			left[Option{Type: u.Type, Zone: u.Zone}]++
		}
	}
	for k, n := range left {
		left[k] = place.Left(n)
	}
	return left
}

// missing is how many machines of a type in a zone are to be rented so that some are left idle by
// this plan, no more than are in use: work that needs them begins without waiting for a boot.
func (in *Input) missing(k Option, left int, slots []*slot) int {
	inUse, idle := 0, 0
	for _, s := range slots {
		switch u := &s.unit; {
		case u.Type != k.Type || u.Zone != k.Zone || u.Spot:
		case s.used || len(u.Busy) > 0:
			inUse++
		default:
			idle++
		}
	}
	if in.Refused(k) {
		return 0
	}
	return max(0, min(left, inUse)-idle)
}

// roomiest is the zone whose machines have room for the most of a gang's tasks, "" if
// there is none.
func roomiest(open []*slot, fits func(*slot) int) (best wire.Zone) {
	room := map[wire.Zone]int{}
	for _, s := range open {
		z := s.unit.Zone
		if room[z] += fits(s); room[z] > room[best] || room[z] == room[best] && z < best {
			best = z
		}
	}
	return best
}

// least is the least that a task of any job takes, and the time by which a machine
// rented now would be up.
func (in *Input) least() (need ledger.Resources, by time.Time) {
	for i := range in.Queue {
		n := in.Queue[i].Job.Need
		if i == 0 {
			need = n
		}
		need = ledger.Resources{CPU: min(need.CPU, n.CPU), GPU: min(need.GPU, n.GPU), Memory: min(need.Memory, n.Memory)}
	}
	by = in.Now
	for _, f := range in.Flavors {
		if up := in.Now.Add(f.Boot.Duration()); up.After(by) {
			by = up
		}
	}
	return need, by
}

// boot is how soon a machine for the job could be up.
func (in *Input) boot(j *ledger.Job) time.Duration {
	var least time.Duration
	for _, f := range in.Flavors {
		if b := f.Boot.Duration(); (least == 0 || b < least) && ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB).Fits(j.Need) {
			least = b
		}
	}
	return least
}

func (u *Unit) option() Option { return Option{u.Type, u.Zone, u.Spot} }

func (in *Input) price(o Option) float64 {
	f := in.Flavors[o.Type]
	if o.Spot {
		return f.SpotPrice
	}
	return f.Price
}

// cheapest chooses what to rent for a job: the lowest price for the room that
// its tasks get, which it tells, then the zone with the fewest machines. put is how many of the
// job's tasks have a place by zone.
func cheapest(in *Input, e *place.Entry, zone wire.Zone, put, perZone map[wire.Zone]int) (best Option, bestPrice float64, found bool) {
	j := e.Job
	for _, f := range in.Flavors {
		room := ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB).Times(j.Need, j.Spec.Tasks)
		if room == 0 || e.Plain && f.GPUs > 0 {
			continue
		}
		for _, z := range f.Zones {
			if j.Spec.Spread && j.ZoneRoom(z) <= put[z] {
				continue // a job that is to be spread once waited for ever for a second zone
			}
			for _, spot := range []bool{true, false} {
				o := Option{f.Name, z, spot}
				if spot && (!in.Spot || f.SpotPrice <= 0 || e.Steady) || zone != "" && z != zone ||
					!ledger.Allowed(j.Spec, f.Name, z, spot) || in.Refused(o) {
					continue
				}
				price := in.price(o) / float64(room)
				better := cmp.Or(cmp.Compare(price, bestPrice), cmp.Compare(perZone[z], perZone[best.Zone]),
					cmp.Compare(o.Type, best.Type), cmp.Compare(z, best.Zone)) < 0
				if !found || better {
					best, bestPrice, found = o, price, true
				}
			}
		}
	}
	return best, bestPrice, found
}
