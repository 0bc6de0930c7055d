package model

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// machinePlan holds the tasks that PlaceOnMachine has placed on a machine so far.
type machinePlan struct {
	snapshot *placement.Snapshot
	machine  *placement.Machine

	starts       map[wire.JobID]int
	free         ledger.Resources
	teamUsage    map[wire.Team]ledger.Resources // by the tasks placed on this machine
	fetches      int                            // fetches in flight on this machine
	totalFetches int                            // fetches in flight on all machines
	deferred     map[wire.Image]int             // tasks that were not placed but wait for a machine with their image
}

// PlaceOnMachine is the reference implementation of the placement on one machine with free capacity. It
// returns the number of tasks of each job to start there, and places one task at a time.
//
// It goes through the jobs by priority, within a priority first through those of teams within their
// guarantee, and among these first through the overdue ones. In each of these groups it first places the
// tasks whose image is cached or being fetched on the machine, and then those whose image may be fetched.
func PlaceOnMachine(v *placement.Snapshot, m *placement.Machine) map[wire.JobID]int {
	p := &machinePlan{
		snapshot:     v,
		machine:      m,
		starts:       map[wire.JobID]int{},
		free:         m.Free,
		teamUsage:    map[wire.Team]ledger.Resources{},
		totalFetches: v.FetchesInFlight,
		deferred:     map[wire.Image]int{},
	}
	if !m.Usable {
		return p.starts
	}
	p.fetches = m.Images.ActiveFetches(v.Now, v.Limits.AssumedFetchTime)
	for rank := range 4 {
		for _, overGuarantee := range []bool{false, true} {
			for _, overdue := range []bool{true, false} {
				entries := p.entries(rank, overGuarantee, overdue)
				p.placeWithoutFetch(entries)
				p.placeWithFetch(entries)
			}
		}
	}
	return p.starts
}

// entries returns the queue's entries of one group in the order of placement. On a machine that is
// not a spot machine, jobs that may not run on spot machines come first.
func (p *machinePlan) entries(rank int, overGuarantee, overdue bool) (out []placement.Entry) {
	for _, spot := range []bool{false, true} {
		for _, e := range p.snapshot.Queue {
			spec := e.Job.Spec
			if spec.Priority.Rank() != rank || e.OverGuarantee != overGuarantee || e.Overdue != overdue {
				continue
			}
			if p.machine.Spot && spot || !p.machine.Spot && spec.Spot == spot {
				out = append(out, e)
			}
		}
	}
	return out
}

// placeWithoutFetch places the tasks whose image is cached or being fetched, and sets aside the
// capacity that is reserved for gangs.
func (p *machinePlan) placeWithoutFetch(entries []placement.Entry) {
	for i := range entries {
		e := &entries[i]
		if !placedSingly(e) {
			for range p.snapshot.PlannedGangTasks[p.machine.ID][e.Job.ID] {
				p.free = p.free.Add(e.Job.Need, -1)
			}
			continue
		}
		for p.imageAvailable(e) && p.fits(e) {
			p.place(e)
		}
	}
}

// placeWithFetch places the tasks whose image must be fetched, unless a fetch is in flight on the
// machine, too many are in flight in total, or waiting for another machine is better.
func (p *machinePlan) placeWithFetch(entries []placement.Entry) {
	v, m := p.snapshot, p.machine
	for i := range entries {
		e := &entries[i]
		image := e.Job.Spec.Image
		if !placedSingly(e) || p.imageAvailable(e) || !p.fits(e) {
			continue
		}
		if p.fetches > 0 || p.totalFetches >= v.Limits.MaxColdStarts ||
			fitsElsewhereByDeadline(v, m, e) > p.deferred[image] ||
			e.Waiting <= v.Limits.MaxColdStartDelay && fitsElsewhereNow(v, m, e) {
			p.deferred[image] += p.remaining(e)
			continue
		}
		p.fetches++
		p.totalFetches++
		for p.fits(e) {
			p.place(e)
		}
	}
}

// placedSingly reports whether the tasks of a job are placed one by one. All are, except those of gangs
// with more than one unfinished task.
func placedSingly(e *placement.Entry) bool {
	return e.Job.Spec.Shape != wire.Gang || e.Job.Spec.Tasks-e.Job.Done <= 1
}

// imageAvailable reports whether a job's image is cached or being fetched on the machine.
func (p *machinePlan) imageAvailable(e *placement.Entry) bool {
	image := e.Job.Spec.Image
	return p.machine.Images.Has(image) || p.machine.Images.IsFetching(image)
}

// remaining returns the number of a job's tasks that are still to be placed.
func (p *machinePlan) remaining(e *placement.Entry) int { return unplanned(e) - p.starts[e.Job.ID] }

// unplanned returns the number of a job's pending tasks for which no start is planned.
func unplanned(e *placement.Entry) int {
	n := e.Job.Pending()
	if e.StartsPlanned != nil {
		n -= *e.StartsPlanned
	}
	return n
}

// fits reports whether one more task of a job can start on the machine now.
func (p *machinePlan) fits(e *placement.Entry) bool {
	v, m, j := p.snapshot, p.machine, e.Job
	return mayUse(v, m, e) &&
		!v.Now.Before(e.RetryAt) &&
		p.remaining(e) > 0 &&
		p.free.Fits(j.Need) &&
		j.ZoneRoom(m.Zone) > p.starts[j.ID] &&
		v.RemainingTeamQuota(j, p.teamUsage[j.Spec.Team].Add(e.ReservedQuota, 1), 1) > 0
}

// place adds one more task of a job to the plan.
func (p *machinePlan) place(e *placement.Entry) {
	p.starts[e.Job.ID]++
	p.free = p.free.Add(e.Job.Need, -1)
	p.teamUsage[e.Job.Spec.Team] = p.teamUsage[e.Job.Spec.Team].Add(e.Job.Need, 1)
}

// mayUse reports whether a job may use a machine: it is not reserved for another job, the job's
// constraints allow it, and the job does not avoid it.
func mayUse(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	head, reserved := v.HeadReservations[m.ID]
	return (!reserved || head == e.Job.ID) &&
		!reservedForGang(v, m, e) &&
		ledger.PlacementAllowed(e.Job.Spec, m.Type, m.Zone, m.Spot) &&
		(e.Avoid == nil || !e.Avoid(m.ID))
}

// reservedForGang reports whether a machine is reserved for an overdue gang against a job, which
// it is unless the job takes precedence over the gang by its priority or guarantee.
func reservedForGang(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	for _, gang := range v.Queue {
		if r := v.GangReservations[m.ID]; r.Job == gang.Job.ID && r.Job != e.Job.ID {
			rank, gangRank := e.Job.Spec.Priority.Rank(), gang.Job.Spec.Priority.Rank()
			return rank > gangRank || rank == gangRank && (e.OverGuarantee || !gang.OverGuarantee)
		}
	}
	return false
}

// alternatives returns the other machines that a job may use and that have its image cached.
func alternatives(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) (out []*placement.Machine) {
	for _, other := range v.Machines {
		if other.ID != m.ID && other.Usable && other.Images.Has(e.Job.Spec.Image) && mayUse(v, other, e) {
			out = append(out, other)
		}
	}
	return out
}

// fitsElsewhereNow reports whether another machine with the image has free capacity for a task now.
func fitsElsewhereNow(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	for _, other := range alternatives(v, m, e) {
		if other.Free.Fits(e.Job.Need) && e.Job.ZoneRoom(other.Zone) > 0 {
			return true
		}
	}
	return false
}

// fitsElsewhereByDeadline returns how many tasks of a job will fit on other machines with the image by the
// job's latest start if a fetch on this machine would end after that, and 0 otherwise.
func fitsElsewhereByDeadline(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) int {
	fetched := v.Now.Add(time.Duration(e.Job.Spec.ImageGB / m.FetchGBps * float64(time.Second)))
	if e.Overdue || !fetched.After(e.LatestStart) {
		return 0
	}
	tasks := unplanned(e)
	n := 0
	for _, other := range alternatives(v, m, e) {
		free := other.Free
		for _, b := range other.ExpectedReleases {
			if b.At.Before(e.LatestStart) {
				free = free.Add(b.Resources, 1)
			}
		}
		for k := 0; free.Fits(e.Job.Need) && k < e.Job.ZoneRoom(other.Zone) && k < tasks; k++ {
			free = free.Add(e.Job.Need, -1)
			n++
		}
	}
	return n
}
