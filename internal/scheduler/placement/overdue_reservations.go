package placement

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Limits of ReserveForOverdueGangs.
const (
	// maxReservingGangs limits the gangs with reservations at any time, and maxReservationScans
	// limits the machines examined for them, which determine the cost of a pass. minReservingGangs
	// gangs are always considered.
	maxReservingGangs, minReservingGangs = 24, 4
	maxReservationScans                  = 100_000
	// maxEarlyReservation is how soon all of a gang's capacity must be free for the gang to get
	// reservations before it is overdue.
	maxEarlyReservation = 8 * time.Second
	// maxReservedDivisor limits reservations to this fraction (one in maxReservedDivisor) of all
	// machines, unless the first gang alone needs more.
	maxReservedDivisor = 8
	// reservationHysteresis is how much sooner capacity elsewhere must be free for a gang's
	// reservations to move there.
	reservationHysteresis = 4 * time.Second
	// maxForecastTasks limits the tasks of a gang for which the free capacity of one machine is
	// forecast.
	maxForecastTasks = 32
)

// maxTeamReservations limits how many overdue gangs of one team reserve part of its quota.
const maxTeamReservations = 4

// Reservation identifies the gang that a machine is reserved for.
type Reservation struct {
	Job        wire.JobID
	precedence uint32
}

// ReserveMachine reserves a machine for a job; it has no effect if the job is not in the queue.
func (s *Snapshot) ReserveMachine(m wire.MachineID, job wire.JobID) {
	if e := s.entry(job); e != nil {
		if s.GangReservations == nil {
			s.GangReservations = map[wire.MachineID]Reservation{}
		}
		s.GangReservations[m] = Reservation{job, e.precedence()}
	}
}

// reservable reports whether an entry is a gang of several tasks that could start now and is not
// crash-looping, so that capacity may be reserved or preempted for it.
func (e *Entry) reservable(now time.Time) bool { return !e.CrashLooping && e.startableGang(now) }

// ReserveTeamQuota reserves part of each team's quota for the team's first overdue gangs; otherwise
// smaller jobs of the team would use up the quota as soon as some becomes free. Quota is reserved
// only for gangs that fit on machines or that are blocked by the quota alone: a gang that no
// machines can be found for must not block the other jobs of its team.
func (s *Snapshot) ReserveTeamQuota() {
	sum, count := map[wire.Team]ledger.Resources{}, map[wire.Team]int{}
	hasMachines := map[wire.JobID]bool{}
	for _, r := range s.GangReservations {
		hasMachines[r.Job] = true
	}
	for i := range s.Queue {
		e := &s.Queue[i]
		team, need := e.Job.Spec.Team, e.Job.GangSize()
		e.ReservedQuota = sum[team]
		e.reservesQuota = e.Overdue && e.reservable(s.Now) && count[team] < maxTeamReservations &&
			(hasMachines[e.Job.ID] || s.placeableGangs[e.Job.ID] || s.RemainingTeamQuota(e.Job, e.ReservedQuota, need) < need)
		if e.reservesQuota {
			count[team]++
			sum[team] = sum[team].Add(e.Job.Need, need)
		}
	}
}

// reservationPass is the state of one call of ReserveForOverdueGangs.
type reservationPass struct {
	s         *Snapshot
	previous  map[wire.MachineID]Reservation // reservations before the pass
	reserved  map[wire.MachineID]Reservation // reservations made by the pass
	forecasts map[forecastKey][]time.Time
}

// ReserveForOverdueGangs chooses, in policy order, machines for gangs that do not fit at present:
// those that will have free capacity and the image soonest. The machines stay reserved until all of
// the gang's capacity is free. Without reservations, the more machines a gang needs, the longer it
// waits for enough of them to be free at the same time. Only an overdue gang may hold reservations
// for longer than maxEarlyReservation.
func ReserveForOverdueGangs(s *Snapshot) map[wire.MachineID]Reservation {
	p := reservationPass{s: s, previous: s.GangReservations, reserved: map[wire.MachineID]Reservation{}}
	s.GangReservations = nil // release previous reservations
	defer func() { s.GangReservations = p.previous }()
	maxMachines, gangs := len(s.Machines)/maxReservedDivisor, 0
	maxGangs := min(maxReservingGangs, max(minReservingGangs, maxReservationScans/max(1, len(s.Machines))))
	for i := range s.Queue {
		e := &s.Queue[i]
		if !s.needsReservation(e) {
			continue
		}
		if gangs++; gangs > maxGangs {
			break
		}
		if need := e.Job.GangSize(); s.RemainingTeamQuota(e.Job, e.ReservedQuota, need) < need {
			continue
		}
		room := p.earliestCapacity(e)
		if !e.Overdue && room.free.Sub(s.Now) > maxEarlyReservation {
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
			p.reserved[m.ID] = Reservation{e.Job.ID, e.precedence()}
		}
	}
	return p.reserved
}

// needsReservation reports whether an entry is a gang, not best-effort, that has waited for
// Limits.ReserveAfter and does not fit at present.
func (s *Snapshot) needsReservation(e *Entry) bool {
	return e.reservable(s.Now) && e.Waiting >= s.Limits.ReserveAfter && !e.Job.BestEffort() &&
		!s.placeableGangs[e.Job.ID]
}

// slot is capacity for one task on a machine.
type slot struct {
	m     *Machine
	at    time.Time // when the capacity is free
	ready time.Time // when the task could run, after any image fetch
}

// gangCapacity is capacity for all tasks of a gang.
type gangCapacity struct {
	slots []slot    // nil: none is expected
	free  time.Time // when all of it is free
}

// compareSlots orders slots by when a task could run in them.
func compareSlots(a, b slot) int {
	return cmp.Or(a.ready.Compare(b.ready), cmp.Compare(a.m.ID, b.m.ID))
}

// earliestCapacity chooses the slots for all tasks of a gang, within its zone constraints, that are
// ready soonest.
func (p *reservationPass) earliestCapacity(e *Entry) gangCapacity {
	j := e.Job
	need := j.GangSize()
	byZone := zoneOptions[slot]{perZone: need, compare: compareSlots}
	for _, m := range p.s.Machines {
		p.s.Examined++
		if _, reserved := p.reserved[m.ID]; reserved || len(p.s.PlannedGangTasks[m.ID]) > 0 || !p.s.available(e, m) ||
			!m.Total.Fits(j.Need) {
			continue
		}
		delay := p.startDelay(j, m)
		rooms := p.forecast(m, j.Need)
		for _, at := range rooms[:min(len(rooms), need)] {
			byZone.add(m.Zone, slot{m, at, at.Add(delay)})
		}
	}
	var best gangCapacity
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

// allotSlots assigns all tasks of a gang to the first slots allowed by its limit of tasks per zone.
// It returns nil if there are not enough.
func allotSlots(j *ledger.Job, options []slot) []slot {
	tasks := newAllotment(j)
	var out []slot
	for _, r := range options {
		if tasks.assign(r.m.Zone, 1) > 0 {
			out = append(out, r)
		}
	}
	if tasks.unassigned > 0 {
		return nil
	}
	return out
}

// startDelay returns the time from when capacity is free until a task could run on a machine. It is
// reduced, and may be negative, if the machine is already reserved for the job.
func (p *reservationPass) startDelay(j *ledger.Job, m *Machine) time.Duration {
	delay := time.Duration(0)
	if m.Images.rank(j.Spec.Image) != rankCached {
		delay = FetchTime(j.Spec.ImageGB, m.FetchGBps)
	}
	if p.previous[m.ID].Job == j.ID {
		delay -= reservationHysteresis
	}
	return delay
}

// forecastKey identifies a forecast by machine and resources per task. Gangs with the same request
// share forecasts.
type forecastKey struct {
	m    *Machine
	need ledger.Resources
}

// forecast returns when a machine will have capacity for one task, for two and so on, up to
// maxForecastTasks.
func (p *reservationPass) forecast(m *Machine, need ledger.Resources) []time.Time {
	k := forecastKey{m, need}
	rooms, known := p.forecasts[k]
	if !known {
		rooms = m.capacityForecast(need, maxForecastTasks, p.s.Now)
		if p.forecasts == nil {
			p.forecasts = map[forecastKey][]time.Time{}
		}
		p.forecasts[k] = rooms
	}
	return rooms
}

// capacityForecast lists when the machine will have capacity for one task, for two and so on, up to
// limit, based on the expected releases of its claims.
func (m *Machine) capacityForecast(need ledger.Resources, limit int, now time.Time) (out []time.Time) {
	free := m.Free
	add := func(at time.Time) {
		for n := free.CountFitting(need, limit); len(out) < n; {
			out = append(out, at)
		}
	}
	add(now)
	if len(out) >= limit || len(m.ExpectedReleases) == 0 {
		return out
	}
	// Sorting is cheap: a machine has few claims.
	ends := slices.SortedFunc(
		slices.Values(m.ExpectedReleases),
		func(a, b ExpectedRelease) int { return a.At.Compare(b.At) },
	)
	for _, b := range ends {
		free = free.Add(b.Resources, 1)
		if at := b.At; at.After(now) {
			add(at)
		} else {
			add(now)
		}
	}
	return out
}
