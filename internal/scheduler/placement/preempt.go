package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Victim is a claim that may be preempted, with the cost of doing so.
type Victim struct {
	// Protected is set if the claim's own start is an objective, or if its job could meet no
	// objective after a restart. Protected claims are preempted only for almost overdue jobs.
	Protected     bool
	Held          ledger.HeldClaim
	OverGuarantee bool          // the job exceeds its team's guarantee
	SavesProgress bool          // the job saves its progress when it is stopped
	RunTime       time.Duration // how long it has been running
}

// mayPreempt reports whether the preemption rules allow a victim to be stopped for a job: the
// victim has a lower priority, or it belongs to another team and exceeds that team's guarantee
// while the job is within its own.
func mayPreempt(e *Entry, x *Victim) bool {
	job, victim := e.Job, x.Held.Job
	if x.Protected && !e.AlmostOverdue {
		return false
	}
	if victim.Priority().Rank() > job.Priority().Rank() {
		return true
	}
	return job.Spec.Team != victim.Spec.Team && x.OverGuarantee && !e.OverGuarantee
}

// maxUnsavedWork is the maximum amount of unsaved work that one preempted claim may lose.
const maxUnsavedWork = 10 * time.Second

// lossTooHigh reports whether preempting the victim would lose more than maxUnsavedWork.
func (x *Victim) lossTooHigh() bool { return !x.SavesProgress && x.RunTime > maxUnsavedWork }

// loss returns the run time lost by preempting the victim, over all of its tasks.
func (x *Victim) loss() time.Duration {
	if x.SavesProgress {
		return x.Held.Job.Spec.Save.Duration() * time.Duration(x.Held.Count)
	}
	return x.RunTime * time.Duration(x.Held.Count)
}

// totalLoss returns the run time lost by preempting all of the victims.
func totalLoss(victims []Victim) time.Duration {
	sum := time.Duration(0)
	for k := range victims {
		sum += victims[k].loss()
	}
	return sum
}

// Eviction is a decision to preempt victims on a machine to make capacity for an entry.
type Eviction struct {
	Machine *Machine
	Entry   *Entry
	Victims []Victim
}

// preemptionCache caches data about preemption that is derived from a snapshot.
type preemptionCache struct {
	victims     map[wire.MachineID][]Victim
	evictions   map[wire.JobID]*Eviction
	memo        evictionMemo
	preemptable *preemptableWork
}

// preemptableWork summarizes the claims on all machines that may be preempted, by default and by
// almost overdue jobs, which may also preempt protected claims.
type preemptableWork struct {
	byDefault       workSummary
	byAlmostOverdue workSummary
}

// workSummary summarizes claims: the rank of the lowest priority among them, and whether any of
// them exceeds its team's guarantee.
type workSummary struct {
	lowestRank    int
	overGuarantee bool
}

// add includes a claim in the summary.
func (w *workSummary) add(x *Victim) {
	w.lowestRank = max(w.lowestRank, x.Held.Job.Priority().Rank())
	w.overGuarantee = w.overGuarantee || x.OverGuarantee
}

// maxEvictions limits the jobs for which claims are preempted in one pass.
const maxEvictions = 8

// PlanEvictions looks for the first jobs in queue order that no machine can start immediately and
// that would fit after preempting claims of lower precedence, and reserves the machines for them
// (HeadReservations). All controllers compute the same machines; the controller that a machine
// reports to carries out the preemption.
func PlanEvictions(s *Snapshot) []*Eviction {
	var out []*Eviction
	for i := range s.Queue {
		x := s.evictionFor(&s.Queue[i])
		if x == nil {
			continue
		}
		if _, reserved := s.HeadReservations[x.Machine.ID]; reserved {
			continue // reserved for an earlier job after this eviction was chosen
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

// evictionFor returns the eviction for one job, or nil if there is none. It is computed once per
// snapshot.
func (s *Snapshot) evictionFor(e *Entry) *Eviction {
	x, known := s.preemption.evictions[e.Job.ID]
	if !known {
		if s.preemption.evictions == nil {
			s.preemption.evictions = map[wire.JobID]*Eviction{}
		}
		x = s.memoizedEviction(e)
		s.preemption.evictions[e.Job.ID] = x
	}
	return x
}

// evictionKey contains all properties of an entry that the choice of an eviction depends on.
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
	if spec.Types != nil { // nil allows any type; an empty list allows none
		k.types = fmt.Sprint(spec.Types)
	}
	return k
}

// evictionMemo caches evictions for entries with equal keys. The cache is valid only for one time
// and one number of reserved machines.
type evictionMemo struct {
	now      time.Time
	reserved int // number of machines in HeadReservations
	byKey    map[evictionKey]*Eviction
}

// memoizedEviction returns the result of chooseEviction, computed once for all entries with equal
// keys. Without memoization, hundreds of urgent jobs and thousands of machines delayed all
// heartbeats by a second.
func (s *Snapshot) memoizedEviction(e *Entry) *Eviction {
	if !s.mayEvictFor(e) {
		return nil
	}
	if e.Avoid != nil || e.Job.Spec.Spread || e.Job.Spec.OneZone {
		return s.chooseEviction(e)
	}
	for id, job := range s.HeadReservations {
		if job == e.Job.ID && s.Machine(id) != nil {
			return nil // a machine is already being freed for the job
		}
	}
	memo := &s.preemption.memo
	if memo.byKey == nil || !memo.now.Equal(s.Now) || memo.reserved != len(s.HeadReservations) {
		*memo = evictionMemo{now: s.Now, reserved: len(s.HeadReservations), byKey: map[evictionKey]*Eviction{}}
	}
	k := newEvictionKey(e)
	x, known := memo.byKey[k]
	if !known {
		x = s.chooseEviction(e)
		memo.byKey[k] = x
	}
	if x == nil {
		return nil
	}
	return &Eviction{Machine: x.Machine, Entry: e, Victims: x.Victims}
}

// mayEvictFor reports whether preemption for a job is possible at all, without examining machines
// for it.
func (s *Snapshot) mayEvictFor(e *Entry) bool {
	j := e.Job
	if s.Victims == nil || e.CrashLooping || j.GangSize() > 1 || e.pending() == 0 || s.Now.Before(e.RetryAt) ||
		s.RemainingTeamQuota(j, e.ReservedQuota, 1) < 1 {
		return false
	}
	if s.preemption.preemptable == nil {
		s.preemption.preemptable = s.summarizePreemptable()
	}
	w := s.preemption.preemptable.byDefault
	if e.AlmostOverdue {
		w = s.preemption.preemptable.byAlmostOverdue
	}
	return w.lowestRank > j.Priority().Rank() || w.overGuarantee && !e.OverGuarantee
}

// summarizePreemptable summarizes the preemptable claims on all machines.
func (s *Snapshot) summarizePreemptable() *preemptableWork {
	out := new(preemptableWork)
	for _, m := range s.Machines {
		s.Examined++
		victims := s.victimsOn(m)
		for k := range victims {
			x := &victims[k]
			if x.lossTooHigh() {
				continue
			}
			out.byAlmostOverdue.add(x)
			if !x.Protected {
				out.byDefault.add(x)
			}
		}
	}
	return out
}

// victimsOn lists the claims on a machine that may be preempted. It is computed once per snapshot.
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

// evictionOption is a possible eviction with its cost.
type evictionOption struct {
	Eviction
	rank int // rank of the job's image on the machine
	loss time.Duration
}

// compare orders options from best to worst.
func (o *evictionOption) compare(p *evictionOption) int {
	return cmp.Or(
		cmp.Compare(o.rank, p.rank),
		cmp.Compare(o.loss, p.loss),
		cmp.Compare(o.Machine.ID, p.Machine.ID),
	)
}

// chooseEviction prefers machines that have the job's image cached, then the one with the least
// lost work. If another machine has capacity but lacks the image, evicting is only worthwhile on a
// machine that has the image cached.
func (s *Snapshot) chooseEviction(e *Entry) *Eviction {
	j := e.Job
	worst := rankAbsent // highest acceptable rank
	var best *evictionOption
	for _, m := range s.Machines {
		s.Examined++
		if job, reserved := s.HeadReservations[m.ID]; reserved && job == j.ID {
			return nil // a machine is already being freed for the job
		}
		if !s.available(e, m) || j.ZoneRoom(m.Zone) < 1 {
			continue
		}
		rank := m.Images.rank(j.Spec.Image)
		if m.Free.Fits(j.Need) {
			if rank < rankAbsent {
				return nil // the job starts there with the next heartbeat
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

// SelectVictims chooses the claims to preempt on a machine with the given free resources, least
// loss first, so that up to limit tasks of a job fit. It also returns the number of tasks that then
// fit. Claims whose preemption would not make more tasks fit are not selected.
func SelectVictims(e *Entry, free ledger.Resources, limit int, all []Victim) (victims []Victim, room int) {
	need := e.Job.Need
	if len(all) == 0 {
		return nil, free.CountFitting(need, limit)
	}
	list := slices.DeleteFunc(slices.Clone(all), func(x Victim) bool {
		return !mayPreempt(e, &x) || x.lossTooHigh()
	})
	slices.SortStableFunc(list, func(a, b Victim) int { return cmp.Compare(a.loss(), b.loss()) })
	room = free.CountFitting(need, limit)
	useful := 0
	for k := range list {
		if room >= limit {
			break
		}
		free = free.Add(list[k].Held.Job.Need, list[k].Held.Count)
		victims = append(victims, list[k])
		if n := free.CountFitting(need, limit); n > room {
			room, useful = n, len(victims)
		}
	}
	return victims[:useful], room
}
