package placement

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Bounds of ReserveForOverdueGangs.
const (
	// maxReservingGangs bounds the gangs that room is reserved for at once, and maxReservingExamined
	// the machines examined for them, which is what a pass costs. For minReservingGangs it always is.
	maxReservingGangs, minReservingGangs = 24, 4
	maxReservingExamined                 = 100_000
	// soonWithin is how soon all of a gang's room must be free for the gang to have machines
	// reserved although it is not overdue.
	soonWithin = 8 * time.Second
	// reservedShare is the part of all machines that may be reserved, if the first gang does not
	// need more.
	reservedShare = 8
	// keepReservedFor is how much sooner room elsewhere must be free for a gang to have that
	// reserved in place of its present machines.
	keepReservedFor = 4 * time.Second
	// maxForecastTasks is for how many tasks of a gang room is forecast on one machine.
	maxForecastTasks = 32
)

// maxTeamReservations bounds the overdue gangs of a team that part of its limit is reserved for.
const maxTeamReservations = 4

// Reservation is a gang that a machine's room is reserved for.
type Reservation struct {
	Job      wire.JobID
	standing uint32
}

// ReserveMachine reserves a machine's room for a job; it does nothing if the job does not wait.
func (s *Snapshot) ReserveMachine(m wire.MachineID, job wire.JobID) {
	if e := s.entry(job); e != nil {
		if s.GangReservations == nil {
			s.GangReservations = map[wire.MachineID]Reservation{}
		}
		s.GangReservations[m] = Reservation{job, e.standing()}
	}
}

// waitsWhole reports whether an entry is a gang of several tasks that could start now and is not
// crash-looping.
func (e *Entry) waitsWhole(now time.Time) bool { return !e.CrashLooping && e.wholeGang(now) }

// ReserveTeamLimits reserves room within its team's limit for a team's first overdue gangs, which
// smaller jobs of the team would otherwise take as soon as some is free. It does so only for gangs
// that have room, or that only the limit keeps from starting: a gang that no machines can be had
// for must not keep the rest of its team from working.
func (s *Snapshot) ReserveTeamLimits() {
	sum, count := map[wire.Team]ledger.Resources{}, map[wire.Team]int{}
	hasMachines := map[wire.JobID]bool{}
	for _, r := range s.GangReservations {
		hasMachines[r.Job] = true
	}
	for i := range s.Queue {
		e := &s.Queue[i]
		team, need := e.Job.Spec.Team, e.Job.GangSize()
		e.Ahead = sum[team]
		e.reservesLimit = e.Overdue && e.waitsWhole(s.Now) && count[team] < maxTeamReservations &&
			(hasMachines[e.Job.ID] || s.gangsWithRoom[e.Job.ID] || s.TeamRoom(e.Job, e.Ahead, need) < need)
		if e.reservesLimit {
			count[team]++
			sum[team] = sum[team].Add(e.Job.Need, need)
		}
	}
}

// reservationPass is the state of one call of ReserveForOverdueGangs.
type reservationPass struct {
	s         *Snapshot
	previous  map[wire.MachineID]Reservation // before the pass
	reserved  map[wire.MachineID]Reservation // by the pass
	forecasts map[forecastKey][]time.Time
}

// ReserveForOverdueGangs chooses, in policy order, machines for gangs that there is no room for at
// present: those that will soonest have room and the image. Their room stays reserved until all of
// the gang's room is free. The more machines a gang takes, the longer it would otherwise wait for
// as many to be free at one moment. Only an overdue gang has room reserved for longer than
// soonWithin.
func ReserveForOverdueGangs(s *Snapshot) map[wire.MachineID]Reservation {
	p := reservationPass{s: s, previous: s.GangReservations, reserved: map[wire.MachineID]Reservation{}}
	s.GangReservations = nil // what was reserved before is available again
	defer func() { s.GangReservations = p.previous }()
	maxMachines, gangs := len(s.Machines)/reservedShare, 0
	maxGangs := min(maxReservingGangs, max(minReservingGangs, maxReservingExamined/max(1, len(s.Machines))))
	for i := range s.Queue {
		e := &s.Queue[i]
		if !s.needsReservation(e) {
			continue
		}
		if gangs++; gangs > maxGangs {
			break
		}
		if need := e.Job.GangSize(); s.TeamRoom(e.Job, e.Ahead, need) < need {
			continue
		}
		room := p.soonestRoom(e)
		if !e.Overdue && room.free.Sub(s.Now) > soonWithin {
			continue
		}
		chosen := map[*Machine]bool{}
		for _, r := range room.slots {
			chosen[r.m] = true
		}
		if gangs > 1 && len(p.reserved)+len(chosen) > maxMachines {
			break
		}
		for m := range chosen {
			p.reserved[m.ID] = Reservation{e.Job.ID, e.standing()}
		}
	}
	return p.reserved
}

// needsReservation reports whether an entry is a gang that has waited for a while and has no room.
func (s *Snapshot) needsReservation(e *Entry) bool {
	return e.waitsWhole(s.Now) && e.Waiting >= s.Limits.ReserveAfter && !e.Job.BestEffort() &&
		!s.gangsWithRoom[e.Job.ID]
}

// slot is room for one task on a machine.
type slot struct {
	m     *Machine
	at    time.Time // when the room is free
	ready time.Time // when the task could run, after the fetch that comes first
}

// gangRoom is room for all tasks of a gang.
type gangRoom struct {
	slots []slot    // nil: there will be none
	free  time.Time // when all of it is free
}

// compareSlots orders slots by when a task could run there.
func compareSlots(a, b slot) int {
	return cmp.Or(a.ready.Compare(b.ready), cmp.Compare(a.m.ID, b.m.ID))
}

// soonestRoom chooses the room for all of a gang's tasks, within its bounds on zones, that is ready
// the soonest.
func (p *reservationPass) soonestRoom(e *Entry) gangRoom {
	j := e.Job
	need := j.GangSize()
	byZone := zoneOptions[slot]{perZone: need, compare: compareSlots}
	for _, m := range p.s.Machines {
		p.s.Examined++
		if _, reserved := p.reserved[m.ID]; reserved || len(p.s.Reserved[m.ID]) > 0 || !p.s.open(e, m) ||
			!m.Total.Fits(j.Need) {
			continue
		}
		delay := p.delay(j, m)
		rooms := p.forecast(m, j.Need)
		for _, at := range rooms[:min(len(rooms), need)] {
			byZone.add(m.Zone, slot{m, at, at.Add(delay)})
		}
	}
	var best gangRoom
	var bestReady time.Time
	for _, options := range byZone.lists(j.Spec.OneZone) {
		slots := allotSlots(j, options)
		if slots == nil {
			continue
		}
		if ready := slots[need-1].ready; best.slots == nil || ready.Before(bestReady) {
			best.slots, bestReady = slots, ready
		}
	}
	for _, r := range best.slots {
		if r.at.After(best.free) {
			best.free = r.at
		}
	}
	return best
}

// allotSlots returns the first slots that all tasks of a gang may use, within its bound on tasks in
// a zone; nil if there are not enough.
func allotSlots(j *ledger.Job, options []slot) []slot {
	tasks := newAllotment(j)
	var out []slot
	for _, r := range options {
		if tasks.take(r.m.Zone, 1) > 0 {
			out = append(out, r)
		}
	}
	if tasks.left > 0 {
		return nil
	}
	return out
}

// delay returns how much later than there is room a task could run on a machine. It is lower, and
// may be below zero, where the machine is reserved for the job already.
func (p *reservationPass) delay(j *ledger.Job, m *Machine) time.Duration {
	delay := time.Duration(0)
	if m.Images.rank(j.Spec.Image) != rankCached {
		delay = FetchTime(j.Spec.ImageGB, m.FetchGB)
	}
	if p.previous[m.ID].Job == j.ID {
		delay -= keepReservedFor
	}
	return delay
}

// forecastKey is a machine and what a task needs: gangs that are alike share a forecast.
type forecastKey struct {
	m    *Machine
	need ledger.Resources
}

// forecast returns when a machine has room for one task, for two and so on, up to maxForecastTasks.
func (p *reservationPass) forecast(m *Machine, need ledger.Resources) []time.Time {
	k := forecastKey{m, need}
	rooms, known := p.forecasts[k]
	if !known {
		rooms = m.roomForecast(need, maxForecastTasks, p.s.Now)
		if p.forecasts == nil {
			p.forecasts = map[forecastKey][]time.Time{}
		}
		p.forecasts[k] = rooms
	}
	return rooms
}

// roomForecast lists when there is room on the machine for one task, for two and so on, up to
// limit, as far as its claims' expected ends tell.
func (m *Machine) roomForecast(need ledger.Resources, limit int, now time.Time) (out []time.Time) {
	free := m.Free
	add := func(at time.Time) {
		for n := free.Times(need, limit); len(out) < n; {
			out = append(out, at)
		}
	}
	add(now)
	if len(out) >= limit || len(m.Busy) == 0 {
		return out
	}
	// A machine has few claims.
	ends := slices.SortedFunc(slices.Values(m.Busy), func(a, b ExpectedRelease) int { return a.Until.Compare(b.Until) })
	for _, b := range ends {
		free = free.Add(b.Room, 1)
		if at := b.Until; at.After(now) {
			add(at)
		} else {
			add(now)
		}
	}
	return out
}
