package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Victim is a claim that may be stopped, with what that costs.
type Victim struct {
	// Promised: its own start is an aim, or it could meet none any more once it is started again.
	// It is only stopped for what would else never have begun within the bound on waiting.
	Promised bool
	Held     ledger.HeldClaim
	Beyond   bool          // its job is beyond its team's guarantee
	Saves    bool          // its progress is saved when it is stopped
	Ran      time.Duration // how long it has run
}

// mayStop reports whether the rules of preemption let a job's start stop the
// victim: lower priority, or another team's work beyond its guarantee for work
// within one.
func mayStop(e *Entry, v *Victim) bool {
	a, b := e.Job.Spec, v.Held.Job.Spec
	if v.Promised && !e.AlmostOverdue {
		return false
	}
	return b.Priority.Rank() > a.Priority.Rank() || a.Team != b.Team && v.Beyond && !e.OverGuarantee
}

// wasteful is how much unsaved work one victim may lose.
const wasteful = 10 * time.Second

// Eviction makes room for a job on a machine.
type Eviction struct {
	Machine *Machine
	Entry   *Entry
	Victims []Victim
}

// evictionsAtOnce bounds for how many jobs machines are emptied in one pass.
const evictionsAtOnce = 8

// Evict looks for the first jobs in order that no machine can start at once and that
// stopping lower work would truly make room for. All controllers come to the same
// machines, and keep them for those jobs; the one that holds a machine acts.
func Evict(v *Snapshot) []*Eviction {
	var out []*Eviction
	for i := range v.Queue {
		if x := v.evictFor(&v.Queue[i]); x != nil {
			if _, taken := v.HeadReservations[x.Machine.ID]; taken {
				continue // by a job before it, since it was chosen
			}
			if v.HeadReservations == nil {
				v.HeadReservations = map[wire.MachineID]wire.JobID{}
			}
			v.HeadReservations[x.Machine.ID] = x.Entry.Job.ID
			if out = append(out, x); len(out) == evictionsAtOnce {
				break
			}
		}
	}
	return out
}

// evictFor chooses, once in a view, the machine to make room on for one job.
func (v *Snapshot) evictFor(e *Entry) *Eviction {
	x, known := v.evict[e.Job.ID]
	if !known {
		if v.evict == nil {
			v.evict, v.victims = map[wire.JobID]*Eviction{}, map[wire.MachineID][]Victim{}
		}
		x = v.shareEviction(e)
		v.evict[e.Job.ID] = x
	}
	return x
}

// kind is all of an entry that the choice of a machine to make room on depends on.
type kind struct {
	priority wire.Priority
	team     wire.Team
	beyond   bool
	pressed  bool
	need     ledger.Resources
	image    wire.Image
	types    string
	zone     wire.Zone
	spot     bool
}

// choices are what was chosen for kinds of entries, for as long as nothing has changed.
type choices struct {
	now  time.Time
	kept int // machines withheld
	of   map[kind]*Eviction
}

// shareEviction chooses like chooseEviction, once for all entries that are alike: a queue of
// hundreds of urgent jobs beside thousands of machines once held all reports up for a second.
func (v *Snapshot) shareEviction(e *Entry) *Eviction {
	s := e.Job.Spec
	if !v.mayEvict(e) {
		return nil
	}
	if e.Avoid != nil || s.Spread || s.OneZone {
		return v.chooseEviction(e)
	}
	for id, job := range v.HeadReservations {
		if job == e.Job.ID && v.Machine(id) != nil {
			return nil // one is being emptied already
		}
	}
	k := kind{s.Priority, s.Team, e.OverGuarantee, e.AlmostOverdue, e.Job.Need, s.Image, fmt.Sprint(s.Types), "", s.Spot}
	if s.Zone != nil {
		k.zone = *s.Zone
	}
	if s.Types == nil {
		k.types = "" // any; an empty list is none
	}
	c := &v.chosen
	if c.of == nil || !c.now.Equal(v.Now) || c.kept != len(v.HeadReservations) {
		*c = choices{now: v.Now, kept: len(v.HeadReservations), of: map[kind]*Eviction{}}
	}
	x, known := c.of[k]
	if !known {
		x = v.chooseEviction(e)
		c.of[k] = x
	}
	if x == nil {
		return nil
	}
	return &Eviction{Machine: x.Machine, Entry: e, Victims: x.Victims}
}

// mayEvict reports whether room may be made for a job at all, before any machine is looked at.
func (v *Snapshot) mayEvict(e *Entry) bool {
	j := e.Job
	if v.Victims == nil || e.CrashLooping || j.GangSize() > 1 || e.pending() == 0 || v.Now.Before(e.Retry) ||
		v.TeamRoom(j, e.Ahead, 1) < 1 {
		return false
	}
	if v.worth == nil {
		v.worth = new([2]worth)
		for _, m := range v.Machines {
			v.Examined++
			for _, x := range v.victimsOn(m) {
				if x.wasted() {
					continue
				}
				for whom, w := range v.worth {
					if x.Promised && whom == forOthers {
						continue
					}
					v.worth[whom] = worth{max(w.rank, x.Held.Job.Spec.Priority.Rank()), w.beyond || x.Beyond}
				}
			}
		}
	}
	w := v.worth[forOthers]
	if e.AlmostOverdue {
		w = v.worth[forPressed]
	}
	return w.rank > j.Spec.Priority.Rank() || w.beyond && !e.OverGuarantee
}

// worth is what may be stopped anywhere: of which rank at the lowest, and whether any of it is
// beyond a guarantee.
type worth struct {
	rank   int
	beyond bool
}

// For whom it may be stopped.
const (
	forOthers = iota
	forPressed
)

// wasted reports whether to stop the victim would lose too much.
func (x *Victim) wasted() bool { return !x.Saves && x.Ran > wasteful }

// victimsOn lists, once in a view, what may be stopped on a machine.
func (v *Snapshot) victimsOn(m *Machine) []Victim {
	list, known := v.victims[m.ID]
	if !known {
		list = v.Victims(m)
		v.victims[m.ID] = list
	}
	return list
}

// chooseEviction prefers a machine that caches the job's image, then the one where
// the least is lost. While there is room that only lacks the image, only a machine
// that caches it is worth emptying.
func (v *Snapshot) chooseEviction(e *Entry) *Eviction {
	j := e.Job
	type option struct {
		Eviction
		fetch int
		loss  time.Duration
	}
	worst := rankAbsent // how far from its image a machine may be
	var best *option
	for _, m := range v.Machines {
		v.Examined++
		if keep, kept := v.HeadReservations[m.ID]; kept && keep == j.ID {
			return nil // one is being emptied already
		}
		if !v.open(e, m) || j.ZoneRoom(m.Zone) < 1 {
			continue
		}
		o := option{Eviction: Eviction{Machine: m, Entry: e}, fetch: m.Images.rank(j.Spec.Image)}
		free := m.Free
		if free.Fits(j.Need) {
			if o.fetch < rankAbsent {
				return nil // it starts there with the next report
			}
			worst = rankCached
			continue
		}
		all := v.victimsOn(m)
		if len(all) == 0 {
			continue
		}
		var room int
		if o.Victims, room = SelectVictims(e, free, 1, all); room < 1 {
			continue
		}
		for k := range o.Victims {
			o.loss += loss(&o.Victims[k])
		}
		if best == nil ||
			cmp.Or(cmp.Compare(o.fetch, best.fetch), cmp.Compare(o.loss, best.loss), cmp.Compare(m.ID, best.Machine.ID)) < 0 {
			best = &o
		}
	}
	if best == nil || best.fetch > worst {
		return nil
	}
	return &best.Eviction
}

// SelectVictims chooses what to stop on a machine with some room free, the least loss first,
// so that up to most tasks of a job have room, and tells for how many there then is.
// What would make no more room is not stopped.
func SelectVictims(e *Entry, free ledger.Resources, most int, all []Victim) (stop []Victim, room int) {
	need := e.Job.Need
	if len(all) == 0 {
		return nil, free.Times(need, most)
	}
	list := slices.DeleteFunc(slices.Clone(all), func(x Victim) bool {
		return !mayStop(e, &x) || x.wasted()
	})
	slices.SortStableFunc(list, func(a, b Victim) int { return cmp.Compare(loss(&a), loss(&b)) })
	room = free.Times(need, most)
	useful := 0
	for k := range list {
		if room >= most {
			break
		}
		free = free.Add(list[k].Held.Job.Need, list[k].Held.Count)
		stop = append(stop, list[k])
		if n := free.Times(need, most); n > room {
			room, useful = n, len(stop)
		}
	}
	return stop[:useful], room
}

// PreemptionReservation is a machine that is to be emptied for tasks of a gang.
type PreemptionReservation struct {
	Machine *Machine
	Job     wire.JobID
	Tasks   int
}

// fewGangs bounds how many gangs are looked at in one pass.
const fewGangs = 8

// PlanPreemption looks for gangs of several tasks, in policy order, that no room is found for
// and that stopping lower work would truly make room for. The room that gangs before
// them are about to be given is theirs. Like a single task's, a gang's room is made
// where its image is nearest and the least is lost.
func PlanPreemption(v *Snapshot) []PreemptionReservation {
	if v.Victims == nil {
		return nil
	}
	if v.evict == nil {
		v.evict, v.victims = map[wire.JobID]*Eviction{}, map[wire.MachineID][]Victim{}
	}
	kept := map[wire.JobID]bool{}
	for _, id := range v.HeadReservations {
		kept[id] = true
	}
	var out []PreemptionReservation
	taken := map[wire.MachineID]bool{}
	looked := 0
	for i := range v.Queue {
		e := &v.Queue[i]
		j := e.Job
		if e.CrashLooping || j.GangSize() < 2 || !startsWhole(e) || v.Now.Before(e.Retry) || v.reserved[j.ID] {
			continue
		}
		if looked++; looked > fewGangs {
			break
		}
		if need := j.GangSize(); kept[j.ID] || v.closerSoon[j.ID] || v.TeamRoom(j, e.Ahead, need) < need {
			continue // it waits for room that is being made, or kept
		}
		for _, x := range v.roomFor(e, taken) {
			taken[x.Machine.ID] = true
			out = append(out, x)
		}
	}
	return out
}

// roomFor chooses the machines to empty for one gang, none if that can't be enough.
func (v *Snapshot) roomFor(e *Entry, taken map[wire.MachineID]bool) []PreemptionReservation {
	j := e.Job
	var all []roomOption // with a topology
	found := nearest[roomOption]{most: j.GangSize(), order: func(a, b roomOption) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.loss, b.loss),
			cmp.Compare(b.room, a.room),
			cmp.Compare(a.m.ID, b.m.ID),
		)
	}}
	for _, m := range v.Machines {
		v.Examined++
		if taken[m.ID] || len(v.Reserved[m.ID]) > 0 || !v.open(e, m) || !m.Total.Fits(j.Need) {
			continue
		}
		o := roomOption{m: m, rank: m.Images.rank(j.Spec.Image)}
		stop, room := SelectVictims(e, m.Free, j.GangSize(), v.victimsOn(m))
		if room == 0 {
			continue
		}
		o.room = room
		for k := range stop {
			o.loss += loss(&stop[k])
		}
		found.add(m.Zone, o)
		if v.Tree != nil {
			all = append(all, o)
		}
	}
	var best []PreemptionReservation
	var bestLoss time.Duration
	var furthest roomOption // of the best: its rank and loss
	for _, options := range found.places(j.Spec.OneZone) {
		left, sum, far := j.GangSize(), time.Duration(0), roomOption{}
		perZone := map[wire.Zone]int{}
		var list []PreemptionReservation
		for _, o := range options {
			n := min(o.room, left)
			if j.Spec.Spread {
				n = min(n, (j.Spec.Tasks+1)/2-perZone[o.m.Zone])
			}
			if n <= 0 {
				continue
			}
			perZone[o.m.Zone] += n
			left -= n
			sum += o.loss
			far.rank, far.loss = max(far.rank, o.rank), max(far.loss, o.loss)
			list = append(list, PreemptionReservation{o.m, j.ID, n})
		}
		if left == 0 && (best == nil || sum < bestLoss) {
			best, bestLoss, furthest = list, sum, far
		}
	}
	if v.Tree != nil && best != nil {
		if list := v.closer(j, all, furthest.rank, furthest.loss); list != nil {
			return list
		}
	}
	return best
}

// roomOption is a machine on which room could be made for some of a gang's tasks.
type roomOption struct {
	m    *Machine
	room int
	rank int
	loss time.Duration
}

// loss is the work that stopping a victim costs.
func loss(v *Victim) time.Duration {
	if v.Saves {
		return v.Held.Job.Spec.Save.Duration() * time.Duration(v.Held.Count)
	}
	return v.Ran * time.Duration(v.Held.Count)
}
