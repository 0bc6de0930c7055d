package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Victim is a claim that may be preempted, with what that costs.
type Victim struct {
	// Promised says that the claim's own start is an objective, or that the job could meet none any
	// more once it is started again. It is preempted only for almost overdue jobs.
	Promised bool
	Held     ledger.HeldClaim
	Beyond   bool          // its job exceeds its team's guarantee
	Saves    bool          // its progress is saved when it is stopped
	Ran      time.Duration // how long it has run
}

// mayPreempt reports whether the rules of preemption let a job's start stop the victim: it is of a
// lower priority, or another team's work over its guarantee while the job is within its own.
func mayPreempt(e *Entry, x *Victim) bool {
	job, victim := e.Job, x.Held.Job
	if x.Promised && !e.AlmostOverdue {
		return false
	}
	if victim.Priority().Rank() > job.Priority().Rank() {
		return true
	}
	return job.Spec.Team != victim.Spec.Team && x.Beyond && !e.OverGuarantee
}

// maxUnsavedWork is how much unsaved work one victim may lose.
const maxUnsavedWork = 10 * time.Second

// losesTooMuch reports whether preempting the victim would lose too much unsaved work.
func (x *Victim) losesTooMuch() bool { return !x.Saves && x.Ran > maxUnsavedWork }

// loss returns the work that preempting the victim costs.
func (x *Victim) loss() time.Duration {
	if x.Saves {
		return x.Held.Job.Spec.Save.Duration() * time.Duration(x.Held.Count)
	}
	return x.Ran * time.Duration(x.Held.Count)
}

// totalLoss returns the work that preempting all of the victims costs.
func totalLoss(victims []Victim) time.Duration {
	sum := time.Duration(0)
	for k := range victims {
		sum += victims[k].loss()
	}
	return sum
}

// Eviction makes room for a job on a machine.
type Eviction struct {
	Machine *Machine
	Entry   *Entry
	Victims []Victim
}

// preemptionCache is what preemption derives from a snapshot.
type preemptionCache struct {
	victims     map[wire.MachineID][]Victim
	evictions   map[wire.JobID]*Eviction
	shared      sharedEvictions
	preemptable *preemptableWork
}

// preemptableWork is what may be preempted anywhere: by most jobs, and by almost overdue ones, for
// which promised claims may be stopped too.
type preemptableWork struct {
	byMost          workSummary
	byAlmostOverdue workSummary
}

// workSummary sums up claims: the rank of the lowest priority among them, and whether any of them
// is over its team's guarantee.
type workSummary struct {
	lowestRank    int
	overGuarantee bool
}

// add adds a claim.
func (w *workSummary) add(x *Victim) {
	w.lowestRank = max(w.lowestRank, x.Held.Job.Priority().Rank())
	w.overGuarantee = w.overGuarantee || x.Beyond
}

// maxEvictions bounds the jobs for which machines are emptied in one pass.
const maxEvictions = 8

// Evict looks for the first jobs in order that no machine can start at once and that preempting
// lower work would truly make room for, and reserves the machines for them (HeadReservations). All
// controllers come to the same machines; the one that a machine reports to acts.
func Evict(s *Snapshot) []*Eviction {
	var out []*Eviction
	for i := range s.Queue {
		x := s.evictionFor(&s.Queue[i])
		if x == nil {
			continue
		}
		if _, reserved := s.HeadReservations[x.Machine.ID]; reserved {
			continue // for a job before it, since it was chosen
		}
		if s.HeadReservations == nil {
			s.HeadReservations = map[wire.MachineID]wire.JobID{}
		}
		s.HeadReservations[x.Machine.ID] = x.Entry.Job.ID
		if out = append(out, x); len(out) == maxEvictions {
			break
		}
	}
	return out
}

// evictionFor chooses, once in a snapshot, the machine to make room on for one job; nil: none.
func (s *Snapshot) evictionFor(e *Entry) *Eviction {
	x, known := s.preemption.evictions[e.Job.ID]
	if !known {
		if s.preemption.evictions == nil {
			s.preemption.evictions = map[wire.JobID]*Eviction{}
		}
		x = s.sharedEviction(e)
		s.preemption.evictions[e.Job.ID] = x
	}
	return x
}

// evictionKey is all of an entry that the choice of a machine to make room on depends on.
type evictionKey struct {
	priority      wire.Priority
	team          wire.Team
	overGuarantee bool
	almostOverdue bool
	need          ledger.Resources
	image         wire.Image
	types         string
	zone          wire.Zone
	spot          bool
}

// newEvictionKey returns the key of an entry.
func newEvictionKey(e *Entry) evictionKey {
	spec := e.Job.Spec
	k := evictionKey{
		priority:      e.Job.Priority(),
		team:          spec.Team,
		overGuarantee: e.OverGuarantee,
		almostOverdue: e.AlmostOverdue,
		need:          e.Job.Need,
		image:         spec.Image,
		spot:          spec.Spot,
	}
	if spec.Zone != nil {
		k.zone = *spec.Zone
	}
	if spec.Types != nil { // nil: any; an empty list is none
		k.types = fmt.Sprint(spec.Types)
	}
	return k
}

// sharedEvictions are the choices for entries that are alike. They hold as long as the time and the
// number of reserved machines stay.
type sharedEvictions struct {
	now      time.Time
	reserved int // machines in HeadReservations
	byKey    map[evictionKey]*Eviction
}

// sharedEviction chooses like chooseEviction, once for all entries that are alike: a queue of
// hundreds of urgent jobs beside thousands of machines would otherwise hold up all heartbeats for
// a second.
func (s *Snapshot) sharedEviction(e *Entry) *Eviction {
	if !s.mayEvictFor(e) {
		return nil
	}
	if e.Avoid != nil || e.Job.Spec.Spread || e.Job.Spec.OneZone {
		return s.chooseEviction(e)
	}
	for id, job := range s.HeadReservations {
		if job == e.Job.ID && s.Machine(id) != nil {
			return nil // one is being emptied already
		}
	}
	shared := &s.preemption.shared
	if shared.byKey == nil || !shared.now.Equal(s.Now) || shared.reserved != len(s.HeadReservations) {
		*shared = sharedEvictions{now: s.Now, reserved: len(s.HeadReservations), byKey: map[evictionKey]*Eviction{}}
	}
	k := newEvictionKey(e)
	x, known := shared.byKey[k]
	if !known {
		x = s.chooseEviction(e)
		shared.byKey[k] = x
	}
	if x == nil {
		return nil
	}
	return &Eviction{Machine: x.Machine, Entry: e, Victims: x.Victims}
}

// mayEvictFor reports whether room may be made for a job at all, before any machine is examined
// for it.
func (s *Snapshot) mayEvictFor(e *Entry) bool {
	j := e.Job
	if s.Victims == nil || e.CrashLooping || j.GangSize() > 1 || e.pending() == 0 || s.Now.Before(e.Retry) ||
		s.TeamRoom(j, e.Ahead, 1) < 1 {
		return false
	}
	if s.preemption.preemptable == nil {
		s.preemption.preemptable = s.summarizePreemptable()
	}
	w := s.preemption.preemptable.byMost
	if e.AlmostOverdue {
		w = s.preemption.preemptable.byAlmostOverdue
	}
	return w.lowestRank > j.Priority().Rank() || w.overGuarantee && !e.OverGuarantee
}

// summarizePreemptable sums up what may be preempted on all machines.
func (s *Snapshot) summarizePreemptable() *preemptableWork {
	out := new(preemptableWork)
	for _, m := range s.Machines {
		s.Examined++
		victims := s.victimsOn(m)
		for k := range victims {
			x := &victims[k]
			if x.losesTooMuch() {
				continue
			}
			out.byAlmostOverdue.add(x)
			if !x.Promised {
				out.byMost.add(x)
			}
		}
	}
	return out
}

// victimsOn lists, once in a snapshot, what may be preempted on a machine.
func (s *Snapshot) victimsOn(m *Machine) []Victim {
	list, known := s.preemption.victims[m.ID]
	if !known {
		if s.preemption.victims == nil {
			s.preemption.victims = map[wire.MachineID][]Victim{}
		}
		list = s.Victims(m)
		s.preemption.victims[m.ID] = list
	}
	return list
}

// evictionOption is an eviction with what it costs.
type evictionOption struct {
	Eviction
	rank int // of the job's image on the machine
	loss time.Duration
}

// compare orders options, the best first.
func (o *evictionOption) compare(p *evictionOption) int {
	return cmp.Or(
		cmp.Compare(o.rank, p.rank),
		cmp.Compare(o.loss, p.loss),
		cmp.Compare(o.Machine.ID, p.Machine.ID),
	)
}

// chooseEviction prefers a machine that caches the job's image, then the one where the least is
// lost. While there is room that only lacks the image, only a machine that caches it is worth
// emptying.
func (s *Snapshot) chooseEviction(e *Entry) *Eviction {
	j := e.Job
	worst := rankAbsent // the highest rank that a machine may have
	var best *evictionOption
	for _, m := range s.Machines {
		s.Examined++
		if job, reserved := s.HeadReservations[m.ID]; reserved && job == j.ID {
			return nil // one is being emptied already
		}
		if !s.open(e, m) || j.ZoneRoom(m.Zone) < 1 {
			continue
		}
		rank := m.Images.rank(j.Spec.Image)
		if m.Free.Fits(j.Need) {
			if rank < rankAbsent {
				return nil // it starts there with the next heartbeat
			}
			worst = rankCached
			continue
		}
		all := s.victimsOn(m)
		if len(all) == 0 {
			continue
		}
		victims, room := SelectVictims(e, m.Free, 1, all)
		if room < 1 {
			continue
		}
		o := evictionOption{Eviction{m, e, victims}, rank, totalLoss(victims)}
		if best == nil || o.compare(best) < 0 {
			best = &o
		}
	}
	if best == nil || best.rank > worst {
		return nil
	}
	return &best.Eviction
}

// SelectVictims chooses what to preempt on a machine with some room free, the least loss first, so
// that up to limit tasks of a job have room, and returns for how many there then is room. What
// would make no more room is not preempted.
func SelectVictims(e *Entry, free ledger.Resources, limit int, all []Victim) (victims []Victim, room int) {
	need := e.Job.Need
	if len(all) == 0 {
		return nil, free.Times(need, limit)
	}
	list := slices.DeleteFunc(slices.Clone(all), func(x Victim) bool {
		return !mayPreempt(e, &x) || x.losesTooMuch()
	})
	slices.SortStableFunc(list, func(a, b Victim) int { return cmp.Compare(a.loss(), b.loss()) })
	room = free.Times(need, limit)
	useful := 0
	for k := range list {
		if room >= limit {
			break
		}
		free = free.Add(list[k].Held.Job.Need, list[k].Held.Count)
		victims = append(victims, list[k])
		if n := free.Times(need, limit); n > room {
			room, useful = n, len(victims)
		}
	}
	return victims[:useful], room
}
