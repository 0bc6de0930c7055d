package place

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/ledger"
	"maddermill/wire"
)

// Victim is a claim that may be stopped, with what that costs.
type Victim struct {
	Held   ledger.Held
	Beyond bool          // its job is beyond its team's guarantee
	Saves  bool          // its progress is saved when it is stopped
	Ran    time.Duration // how long it has run
}

// mayStop reports whether the rules of preemption let a job's start stop the
// victim: lower priority, or another team's work beyond its guarantee for work
// within one.
func mayStop(e *Entry, v *Victim) bool {
	a, b := e.Job.Spec, v.Held.Job.Spec
	return b.Priority.Rank() > a.Priority.Rank() || a.Team != b.Team && v.Beyond && !e.Beyond
}

// wasteful is how much unsaved work one victim may lose.
const wasteful = 10 * time.Second

// Eviction makes room for a job on a machine.
type Eviction struct {
	Machine *Machine
	Entry   *Entry
	Victims []Victim
}

// Evict looks for the first job in order that no machine can start at once and
// that stopping lower work would truly make room for. All controllers come to
// the same machine; the one that holds it acts.
func Evict(v *View) *Eviction {
	for i := range v.Queue {
		if x := v.evictFor(&v.Queue[i]); x != nil {
			return x
		}
	}
	return nil
}

// evictFor chooses, once in a view, the machine to make room on for one job.
func (v *View) evictFor(e *Entry) *Eviction {
	x, known := v.evict[e.Job.ID]
	if !known {
		if v.evict == nil {
			v.evict, v.victims = map[wire.JobID]*Eviction{}, map[wire.MachineID][]Victim{}
		}
		x = v.chooseEviction(e)
		v.evict[e.Job.ID] = x
	}
	return x
}

// victimsOn lists, once in a view, what may be stopped on a machine.
func (v *View) victimsOn(m *Machine) []Victim {
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
func (v *View) chooseEviction(e *Entry) *Eviction {
	j := e.Job
	if v.Victims == nil || e.Suspect || j.Together() > 1 || e.pending() == 0 || v.Now.Before(e.Retry) || v.TeamRoom(j, ledger.Resources{}, 1) < 1 {
		return nil
	}
	type option struct {
		Eviction
		fetch int
		loss  time.Duration
	}
	worst := rankAbsent // how far from its image a machine may be
	var best *option
	for _, m := range v.Machines {
		v.Looked++
		if keep, kept := v.Withheld[m.ID]; kept && keep == j.ID {
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
		list := slices.DeleteFunc(slices.Clone(all), func(x Victim) bool {
			return !mayStop(e, &x) || !x.Saves && x.Ran > wasteful
		})
		slices.SortStableFunc(list, func(a, b Victim) int { return cmp.Compare(loss(&a), loss(&b)) })
		for k := range list {
			if free.Fits(j.Need) {
				break
			}
			free = free.Add(list[k].Held.Job.Need, list[k].Held.Count)
			o.Victims = append(o.Victims, list[k])
			o.loss += loss(&list[k])
		}
		if !free.Fits(j.Need) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(o.fetch, best.fetch), cmp.Compare(o.loss, best.loss), cmp.Compare(m.ID, best.Machine.ID)) < 0 {
			best = &o
		}
	}
	if best == nil || best.fetch > worst {
		return nil
	}
	return &best.Eviction
}

// loss is the work that stopping a victim costs.
func loss(v *Victim) time.Duration {
	if v.Saves {
		return v.Held.Job.Spec.Save.Duration() * time.Duration(v.Held.Count)
	}
	return v.Ran * time.Duration(v.Held.Count)
}
