package model

import (
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// roomPlan is the tasks that OnRoom has placed on a machine so far.
type roomPlan struct {
	snapshot *placement.Snapshot
	machine  *placement.Machine

	starts    map[wire.JobID]int
	free      ledger.Resources
	teamUsage map[wire.Team]ledger.Resources // of the tasks placed here
	fetches   int                            // of the machine, in flight
	allCold   int                            // of all machines
	deferred  map[wire.Image]int             // tasks that were not placed because they wait for an image
}

// OnRoom is the design's placement path for one machine with room, one task at a time and
// without shortcuts. It returns how many tasks of each job start there: it walks the jobs in
// order, and of each it places task after task whose image is cached or being fetched here.
// Of the jobs of one priority within (then beyond) their guarantee, the overdue ones come first,
// and after all that need no fetch come those whose image may then be fetched here.
func OnRoom(v *placement.Snapshot, m *placement.Machine) map[wire.JobID]int {
	p := &roomPlan{
		snapshot:  v,
		machine:   m,
		starts:    map[wire.JobID]int{},
		free:      m.Free,
		teamUsage: map[wire.Team]ledger.Resources{},
		allCold:   v.FetchesInFlight,
		deferred:  map[wire.Image]int{},
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

// entries returns the queue's entries of a priority and standing in the order in which they are
// placed: off spot machines, those that may not run on spot machines come first.
func (p *roomPlan) entries(rank int, overGuarantee, overdue bool) (out []placement.Entry) {
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

// placeWithoutFetch places the tasks whose image is here or being fetched, and sets the room
// aside that is reserved for gangs.
func (p *roomPlan) placeWithoutFetch(entries []placement.Entry) {
	for i := range entries {
		e := &entries[i]
		if !single(e) {
			for range p.snapshot.PlannedGangTasks[p.machine.ID][e.Job.ID] {
				p.free = p.free.Add(e.Job.Need, -1)
			}
			continue
		}
		for p.imageHere(e) && p.fits(e) {
			p.place(e)
		}
	}
}

// placeWithFetch places the tasks whose image would have to be fetched, unless a fetch is in
// flight, too many are cold, or they had better wait for another machine.
func (p *roomPlan) placeWithFetch(entries []placement.Entry) {
	v, m := p.snapshot, p.machine
	for i := range entries {
		e := &entries[i]
		image := e.Job.Spec.Image
		if !single(e) || p.imageHere(e) || !p.fits(e) {
			continue
		}
		if p.fetches > 0 || p.allCold >= v.Limits.MaxColdStarts || roomInTime(v, m, e) > p.deferred[image] ||
			e.Waiting <= v.Limits.MaxColdStartDelay && roomElsewhere(v, m, e) {
			p.deferred[image] += p.remaining(e)
			continue
		}
		p.fetches++
		p.allCold++
		for p.fits(e) {
			p.place(e)
		}
	}
}

// single reports whether a job's tasks are placed one by one: all but those of gangs of several.
func single(e *placement.Entry) bool {
	return e.Job.Spec.Shape != wire.Gang || e.Job.Spec.Tasks-e.Job.Done <= 1
}

// imageHere reports whether a job's image is cached or being fetched on the machine.
func (p *roomPlan) imageHere(e *placement.Entry) bool {
	image := e.Job.Spec.Image
	return p.machine.Images.Has(image) || p.machine.Images.IsFetching(image)
}

// remaining returns the number of a job's tasks that are still to be placed.
func (p *roomPlan) remaining(e *placement.Entry) int { return unplanned(e) - p.starts[e.Job.ID] }

// unplanned returns the number of a job's pending tasks without a planned start.
func unplanned(e *placement.Entry) int {
	n := e.Job.Pending()
	if e.StartsPlanned != nil {
		n -= *e.StartsPlanned
	}
	return n
}

// fits reports whether one more task of a job may start on the machine.
func (p *roomPlan) fits(e *placement.Entry) bool {
	v, m, j := p.snapshot, p.machine, e.Job
	return mayUse(v, m, e) &&
		!v.Now.Before(e.RetryAt) &&
		p.remaining(e) > 0 &&
		p.free.Fits(j.Need) &&
		j.ZoneRoom(m.Zone) > p.starts[j.ID] &&
		v.RemainingTeamQuota(j, p.teamUsage[j.Spec.Team].Add(e.ReservedQuota, 1), 1) > 0
}

// place starts one more task of a job on the machine.
func (p *roomPlan) place(e *placement.Entry) {
	p.starts[e.Job.ID]++
	p.free = p.free.Add(e.Job.Need, -1)
	p.teamUsage[e.Job.Spec.Team] = p.teamUsage[e.Job.Spec.Team].Add(e.Job.Need, 1)
}

// mayUse reports whether a machine may run a job's tasks: it is not reserved for another job,
// the job's constraints allow it, and the job does not avoid it.
func mayUse(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	head, reserved := v.HeadReservations[m.ID]
	return (!reserved || head == e.Job.ID) &&
		!reservedForGang(v, m, e) &&
		ledger.PlacementAllowed(e.Job.Spec, m.Type, m.Zone, m.Spot) &&
		(e.Avoid == nil || !e.Avoid(m.ID))
}

// reservedForGang reports whether a machine is reserved for an overdue gang, against a job that
// does not precede the gang by its priority or its guarantee.
func reservedForGang(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	for _, gang := range v.Queue {
		if r := v.GangReservations[m.ID]; r.Job == gang.Job.ID && r.Job != e.Job.ID {
			rank, gangRank := e.Job.Spec.Priority.Rank(), gang.Job.Spec.Priority.Rank()
			return rank > gangRank || rank == gangRank && (e.OverGuarantee || !gang.OverGuarantee)
		}
	}
	return false
}

// alternatives returns the other machines that may run a job's tasks and have its image cached.
func alternatives(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) (out []*placement.Machine) {
	for _, other := range v.Machines {
		if other.ID != m.ID && other.Usable && other.Images.Has(e.Job.Spec.Image) && mayUse(v, other, e) {
			out = append(out, other)
		}
	}
	return out
}

// roomElsewhere reports whether another machine with the image has room now.
func roomElsewhere(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	for _, other := range alternatives(v, m, e) {
		if other.Free.Fits(e.Job.Need) && e.Job.ZoneRoom(other.Zone) > 0 {
			return true
		}
	}
	return false
}

// roomInTime returns how many of a job's tasks will have room on other machines with the image
// by the job's latest start, if a fetch here would end after that; 0 otherwise.
func roomInTime(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) int {
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
