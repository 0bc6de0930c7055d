package placement

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// A job whose aims are all missed once came behind every newcomer, and of the rest the smaller
// gangs first: what was late waited without a bound, and the largest gangs the longest. A late
// job comes first of its priority and standing, is given room before others that have its image
// beside them, and a gang is kept the room that becomes free for it.

const (
	// gatherGangs bounds for how many gangs room is gathered at once, and gatherLooks how many
	// machines are looked at for them, which is what a pass costs; for a few it always is.
	gatherGangs, fewGathered = 24, 4
	gatherLooks              = 100_000
	// gatherWithin is how soon all of a gang's room must be free for it to be kept what is free
	// before, unless the gang is late.
	gatherWithin = 8 * time.Second
	// gatherShare is the part of all machines whose room may be kept for late gangs, if the first
	// of them does not need more.
	gatherShare = 8
	// keepsOfTeam bounds how many late gangs of a team are kept some of its limit.
	keepsOfTeam = 4
	// holdOn is how much sooner room elsewhere must be free for a gang to be kept that instead.
	holdOn = 4 * time.Second
)

// LatestStart is when a job must be placed at the latest to begin within a bound on waiting:
// fetching its image may take a third longer than stated, and for a third of the bound room
// may have to be found. fetchGB is what a machine fetches a second, 0 if unknown.
func LatestStart(accepted time.Time, bound time.Duration, imageGB, fetchGB float64) time.Time {
	fetch := min(bound/2, FetchTime(imageGB, fetchGB)*4/3)
	return accepted.Add(bound - bound/3 - fetch)
}

// steadyAt is how many of a gang's machines may be expected to be taken back before it is done
// for spot machines to do for it, and steadyAgain how many of one that is late or was started
// before. Each of them costs the whole gang its start.
const (
	steadyAt    = 1.0
	steadyAgain = 0.3
)

// KeepLargeGangsOffSpot has large gangs keep off spot machines while so many of those are taken back, an
// hour and a machine, that one of the gang's most likely would be. It is for as many as there
// are other machines, not all of which such gangs take.
func KeepLargeGangsOffSpot(queue []Entry, machines []*Machine, takings float64) {
	if len(machines) == 0 {
		return
	}
	own, rate := map[wire.MachineTypeName]int{}, machines[0].FetchGB
	for _, m := range machines {
		if m.Usable && !m.Spot {
			own[m.Type]++
		}
	}
	for i := range queue {
		e := &queue[i]
		s := e.Job.Spec
		n := e.Job.GangSize()
		if n < 2 || !s.Spot {
			continue
		}
		held := 0
		for t, count := range own {
			if s.Types == nil || slices.Contains(s.Types, t) {
				held += count
			}
		}
		most := steadyAt
		if e.Overdue || e.Job.Attempt() > 0 {
			most = steadyAgain
		}
		e.AvoidSpot = held >= 4*n && float64(n)*takings*(FetchTime(s.ImageGB, rate)+e.Expected).Hours() > most
	}
}

// FetchTime is how long an image is fetched for, at GB a second; 0 if that is unknown.
func FetchTime(gb, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(gb / rate * float64(time.Second))
}

// AlmostOverdue reports whether a job has been late for a while and has hardly any time left to begin
// within the bound.
func AlmostOverdue(latest time.Time, bound time.Duration, now time.Time) bool {
	return !now.Before(latest.Add(bound / 5))
}

// Reservation is a machine whose room a gang is kept.
type Reservation struct {
	Job      wire.JobID
	standing uint32
}

// ReserveMachine notes that a job is kept a machine's room; it does nothing for a job that does not wait.
func (v *Snapshot) ReserveMachine(m wire.MachineID, job wire.JobID) {
	if e := v.entry(job); e != nil {
		if v.GangReservations == nil {
			v.GangReservations = map[wire.MachineID]Reservation{}
		}
		v.GangReservations[m] = Reservation{job, e.standing()}
	}
}

// entry returns the entry of a job that waits, or nil.
func (v *Snapshot) entry(id wire.JobID) *Entry {
	if v.entries == nil {
		v.entries = make(map[wire.JobID]*Entry, len(v.Queue))
		for i := range v.Queue {
			v.entries[v.Queue[i].Job.ID] = &v.Queue[i]
		}
	}
	return v.entries[id]
}

// gathered reports whether a machine's room is kept for a late gang from the job: one of a higher
// priority, or within its guarantee where the gang is beyond, is kept nothing from.
func (v *Snapshot) gathered(e *Entry, m *Machine) bool {
	k, kept := v.GangReservations[m.ID]
	return kept && k.Job != e.Job.ID && e.standing() >= k.standing
}

// waitsWhole reports whether an entry is a gang of several tasks that could start.
func (e *Entry) waitsWhole(now time.Time) bool {
	return !e.CrashLooping && e.Job.GangSize() > 1 && startsWhole(e) && !now.Before(e.Retry)
}

// ReserveTeamLimits has what comes after a team's first late gangs leave them room within the team's
// limit, which smaller jobs would else take as soon as some of it is free. It is for those that
// only the limit keeps from starting: one that no machines can be had for must not keep the rest
// of its team from working.
func (v *Snapshot) ReserveTeamLimits() {
	sum, count := map[wire.Team]ledger.Resources{}, map[wire.Team]int{}
	gathered := map[wire.JobID]bool{}
	for _, k := range v.GangReservations {
		gathered[k.Job] = true
	}
	for i := range v.Queue {
		e := &v.Queue[i]
		team := e.Job.Spec.Team
		e.Ahead = sum[team]
		e.keeps = e.Overdue && e.waitsWhole(v.Now) && count[team] < keepsOfTeam &&
			(gathered[e.Job.ID] || v.reserved[e.Job.ID] || v.TeamRoom(e.Job, e.Ahead, e.Job.GangSize()) < e.Job.GangSize())
		if e.keeps {
			count[team]++
			sum[team] = sum[team].Add(e.Job.Need, e.Job.GangSize())
		}
	}
}

// slot is room for a task on a machine, from a time on.
type slot struct {
	m     *Machine
	at    time.Time
	ready time.Time // with the fetch that comes first
}

// ReserveForOverdueGangs chooses for gangs that there is no room for at once, in order, the machines on which
// there will soonest be, with the image: their room is kept until all of it is free. The more of
// a fleet's machines a gang takes, the longer it would else wait for as many to be free in one
// moment. Only a late gang is kept room for longer than a few seconds.
func ReserveForOverdueGangs(v *Snapshot) map[wire.MachineID]Reservation {
	out := map[wire.MachineID]Reservation{}
	before := v.GangReservations
	v.GangReservations, v.roomsAt = nil, nil // what was kept before is to be had again
	defer func() { v.GangReservations = before }()
	most, gangs := len(v.Machines)/gatherShare, 0
	bound := min(gatherGangs, max(fewGathered, gatherLooks/max(1, len(v.Machines))))
	for i := range v.Queue {
		e := &v.Queue[i]
		if !e.waitsWhole(v.Now) || e.Waiting < v.Limits.ReserveAfter || e.Job.BestEffort() || v.reserved[e.Job.ID] {
			continue
		}
		if gangs++; gangs > bound {
			break
		}
		j := e.Job
		if need := j.GangSize(); v.TeamRoom(j, e.Ahead, need) < need {
			continue
		}
		chosen := map[*Machine]bool{}
		slots, at := v.soonest(e, before, out)
		if !e.Overdue && at.Sub(v.Now) > gatherWithin {
			continue
		}
		for _, s := range slots {
			chosen[s.m] = true
		}
		if gangs > 1 && len(out)+len(chosen) > most {
			break
		}
		for m := range chosen {
			out[m.ID] = Reservation{j.ID, e.standing()}
		}
	}
	return out
}

// roomsOf is a machine and what a task takes: gangs that are alike share what is foreseen.
type roomsOf struct {
	m    *Machine
	need ledger.Resources
}

// mostAtOnce is for how many tasks of a gang room is foreseen on one machine.
const mostAtOnce = 32

// soonest chooses room for all of a gang's tasks, that which is free the soonest, within the
// bounds on zones, and when all of it is. before is what was kept until now, taken what is kept
// for others.
func (v *Snapshot) soonest(e *Entry, before, taken map[wire.MachineID]Reservation) (best []slot, free time.Time) {
	j := e.Job
	need := j.GangSize()
	found := nearest[slot]{
		most:  need,
		order: func(a, b slot) int { return cmp.Or(a.ready.Compare(b.ready), cmp.Compare(a.m.ID, b.m.ID)) },
	}
	for _, m := range v.Machines {
		v.Examined++
		if _, kept := taken[m.ID]; kept || len(v.Reserved[m.ID]) > 0 || !v.open(e, m) || !m.Total.Fits(j.Need) {
			continue
		}
		later := time.Duration(0)
		if m.Images.rank(j.Spec.Image) != rankCached {
			later = FetchTime(j.Spec.ImageGB, m.FetchGB)
		}
		if before[m.ID].Job == j.ID {
			later -= holdOn
		}
		rooms, known := v.roomsAt[roomsOf{m, j.Need}]
		if !known {
			rooms = m.roomAt(j.Need, mostAtOnce, v.Now)
			if v.roomsAt == nil {
				v.roomsAt = map[roomsOf][]time.Time{}
			}
			v.roomsAt[roomsOf{m, j.Need}] = rooms
		}
		for _, at := range rooms[:min(len(rooms), need)] {
			found.add(m.Zone, slot{m, at, at.Add(later)})
		}
	}
	var bestAt time.Time
	for _, options := range found.places(j.Spec.OneZone) {
		perZone := map[wire.Zone]int{}
		var list []slot
		for _, s := range options {
			if len(list) == need || j.Spec.Spread && perZone[s.m.Zone] == (j.Spec.Tasks+1)/2 {
				continue
			}
			perZone[s.m.Zone]++
			list = append(list, s)
		}
		if len(list) < need {
			continue
		}
		if at := list[need-1].ready; best == nil || at.Before(bestAt) {
			best, bestAt = list, at
		}
	}
	for _, s := range best {
		if s.at.After(free) {
			free = s.at
		}
	}
	return best, free
}

// roomAt lists when there is room on the machine for one task, for two and so on, up to most, as
// far as can be foreseen.
func (m *Machine) roomAt(need ledger.Resources, most int, now time.Time) (out []time.Time) {
	free := m.Free
	add := func(at time.Time) {
		for n := free.Times(need, most); len(out) < n; {
			out = append(out, at)
		}
	}
	add(now)
	if len(out) >= most || len(m.Busy) == 0 {
		return out
	}
	// A machine has few claims.
	over := slices.SortedFunc(slices.Values(m.Busy), func(a, b ExpectedRelease) int { return a.Until.Compare(b.Until) })
	for _, b := range over {
		free = free.Add(b.Room, 1)
		if at := b.Until; at.After(now) {
			add(at)
		} else {
			add(now)
		}
	}
	return out
}
