// Package model is the slow, plain model that tests compare the real code with:
// what the rules allow to happen between two states of the records, and the
// placement path read straight from the design.
package model

import (
	"fmt"
	"maps"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Job is a job as it stands.
type Job struct {
	Spec   wire.JobSpec
	State  ledger.JobState
	Done   map[wire.TaskIndex]bool
	Count  int // tasks done, also when it is no longer known which
	Claims map[wire.TaskIndex]ledger.Claim
}

// State is everything that is on record, task by task.
type State struct {
	Jobs  map[wire.JobID]Job
	Final map[wire.JobID]ledger.FinalRecord // archived
	Marks map[wire.MachineID]ledger.MachinePhase
	// Passed holds the jobs that the ledger's filter lets pass as archived.
	Passed map[wire.JobID]bool
}

// Read spells a ledger out, beside the archive and what was known before.
func Read(l *ledger.Ledger, ids []wire.JobID, archive map[wire.JobID]ledger.FinalRecord, before State) State {
	s := State{
		Jobs:   map[wire.JobID]Job{},
		Final:  maps.Clone(archive),
		Marks:  map[wire.MachineID]ledger.MachinePhase{},
		Passed: map[wire.JobID]bool{},
	}
	for _, id := range ids {
		may, known := l.MayBeArchived(id)
		s.Passed[id] = may && known
		j := l.Job(id)
		if over, ok := l.ArchivedState(id); ok && j == nil {
			s.Jobs[id] = Job{Spec: before.Jobs[id].Spec, State: over.State, Count: over.Done}
		}
		if j == nil {
			continue
		}
		o := Job{
			Spec:   *j.Spec,
			State:  j.State,
			Count:  j.DoneTasks(),
			Done:   map[wire.TaskIndex]bool{},
			Claims: map[wire.TaskIndex]ledger.Claim{},
		}
		for i := range j.Spec.Tasks {
			if t := wire.TaskIndex(i); j.TaskDone(t) {
				o.Done[t] = true
			}
		}
		j.Claims(func(c ledger.Claim) bool {
			for i := range c.Count {
				one := c
				one.First, one.Count = c.First+wire.TaskIndex(i), 1
				o.Claims[one.First] = one
			}
			return true
		})
		s.Jobs[id] = o
	}
	for m := range before.Marks {
		s.Marks[m] = l.MachinePhase(m)
	}
	l.MachinePhases(func(m wire.MachineID, k ledger.MachinePhase) { s.Marks[m] = k })
	return s
}

// Check lists what is not allowed between two states. proven holds the claims
// whose tasks are known to be gone.
func Check(before, after State, limits map[wire.Team]float64, proven func(wire.TaskID, ledger.Claim) bool) []string {
	var bad []string
	complain := func(f string, a ...any) { bad = append(bad, fmt.Sprintf(f, a...)) }
	for id, old := range before.Jobs {
		now, ok := after.Jobs[id]
		final, archived := after.Final[id]
		switch {
		case ok && archived:
			complain("both on record and archived: %s", id)
		case archived:
			if old.State == ledger.Active || final.State != old.State || final.Done != old.Count {
				complain(
					"went_back: %s with %d tasks done is %q, archived %q with %d",
					id,
					old.Count,
					old.State,
					final.State,
					final.Done,
				)
			}
			if len(old.Claims) > 0 {
				complain("ran_twice: %s is archived with claims", id)
			}
			continue
		case !ok:
			complain("forgotten: %s", id)
			continue
		}
		if old.State != ledger.Active && now.State != old.State {
			complain("went_back: %s from %s to %q", id, old.State, now.State)
		}
		if now.Count < old.Count {
			complain("went_back: %s has %d tasks done, and had %d", id, now.Count, old.Count)
		}
		for t := range old.Done {
			if !now.Done[t] && now.State == ledger.Active {
				complain("went_back: %s/%d is no longer done", id, t)
			}
		}
		for t, c := range old.Claims {
			if now.Claims[t] != c && !takenOver(c, now.Claims[t], now.Spec.Shape) &&
				!proven(wire.TaskID{Job: id, Index: t}, c) {
				complain("ran_twice: the claim of %s/%d on %s went without proof", id, t, c.Machine)
			}
		}
	}
	for id, old := range before.Final {
		if now, ok := after.Final[id]; !ok || now != old {
			complain("forgotten: archived %s", id)
		}
		if _, ok := after.Jobs[id]; ok {
			complain("accepted anew: %s", id)
		}
	}
	for id := range after.Final {
		if !after.Passed[id] {
			complain("forgotten: the filter lacks %s", id)
		}
	}
	for m, k := range before.Marks {
		if now := after.Marks[m]; now != k && (k == ledger.Terminated || now == "") {
			complain("a mark went back: %s from %s to %q", m, k, now)
		}
	}
	used := map[wire.Team]float64{}
	for id, now := range after.Jobs {
		old := before.Jobs[id]
		if now.State == ledger.Done && now.Count != now.Spec.Tasks {
			complain("not_done: %s with %d of %d", id, now.Count, now.Spec.Tasks)
		}
		zones := map[wire.Zone]int{}
		started := false
		for t, c := range now.Claims {
			zones[c.Zone]++
			used[now.Spec.Team] += now.Spec.GPUs
			if old.Claims[t] == c {
				continue
			}
			started = true
			if now.Done[t] {
				complain("a done task starts: %s/%d", id, t)
			}
			if old.State != ledger.Active {
				complain("ran_cancelled: %s/%d starts", id, t)
			}
			if before.Marks[c.Machine] != "" {
				complain("a start on a leaving machine: %s/%d on %s", id, t, c.Machine)
			}
			if now.Spec.Zone != nil && *now.Spec.Zone != c.Zone {
				complain("wrong_place: %s/%d in %s", id, t, c.Zone)
			}
		}
		if started && now.Spec.OneZone && len(zones) > 1 {
			complain("wrong_place: %s is not together", id)
		}
		for z, n := range zones {
			if started && now.Spec.Spread && n > (now.Spec.Tasks+1)/2 {
				complain("wrong_place: %d of %s in %s", n, id, z)
			}
		}
		if started && now.Spec.Shape == wire.Gang && len(now.Claims)+len(now.Done) != now.Spec.Tasks {
			complain("a part of gang %s starts", id)
		}
	}
	for team, limit := range limits {
		if used[team] > limit {
			complain("quota: %s uses %g of %g", team, used[team], limit)
		}
	}
	return bad
}

// takenOver reports whether a claim of a gang's task stands as before but for a newer token.
func takenOver(old, now ledger.Claim, shape wire.Shape) bool {
	newer := now.Token > old.Token
	now.Token = old.Token
	return newer && now == old && shape == wire.Gang
}

// OnRoom is the design's placement path, one task at a time, without shortcuts:
// walk the jobs in order; of each, place task after task that has its image
// cached here, or being fetched here. Of the jobs of one priority and standing,
// the late ones come first, and what may then be fetched here comes after what needs no fetch.
func OnRoom(v *placement.Snapshot, m *placement.Machine) map[wire.JobID]int {
	given := map[wire.JobID]int{}
	if !m.Usable {
		return given
	}
	underWay := m.Images.Fetches(v.Now, v.Limits.FetchAssumed)
	free, cold := m.Free, v.FetchesInFlight
	taken := map[wire.Team]ledger.Resources{}
	before := map[wire.Image]int{} // tasks passed over
	left := func(e *placement.Entry) int {
		n := e.Job.Pending() - given[e.Job.ID]
		if e.StartsPlanned != nil {
			n -= *e.StartsPlanned
		}
		return n
	}
	takes := func(e *placement.Entry) bool {
		j := e.Job
		keep, kept := v.HeadReservations[m.ID]
		return !(kept && keep != j.ID) && !keptFrom(v, m, e) && !v.Now.Before(e.Retry) && left(e) > 0 && free.Fits(j.Need) && j.ZoneRoom(m.Zone) > given[j.ID] &&
			ledger.Allowed(j.Spec, m.Type, m.Zone, m.Spot) &&
			(e.Avoid == nil || !e.Avoid(m.ID)) &&
			v.TeamRoom(j, taken[j.Spec.Team].Add(e.Ahead, 1), 1) > 0
	}
	give := func(e *placement.Entry) {
		given[e.Job.ID]++
		free = free.Add(e.Job.Need, -1)
		taken[e.Job.Spec.Team] = taken[e.Job.Spec.Team].Add(e.Job.Need, 1)
	}
	for rank := range 4 {
		for turn := range 4 { // within the guarantee, the late first, then beyond it
			beyond, late := turn >= 2, turn%2 == 0
			var like []placement.Entry // of this priority and standing, in order
			for _, spot := range []bool{false, true} {
				for _, e := range v.Queue {
					// Off spot machines, work that may run nowhere else goes first.
					if s := e.Job.Spec; s.Priority.Rank() == rank && e.OverGuarantee == beyond && e.Overdue == late &&
						(m.Spot && spot || !m.Spot && s.Spot == spot) {
						like = append(like, e)
					}
				}
			}
			single := func(e *placement.Entry) bool {
				return e.Job.Spec.Shape != wire.Gang || e.Job.Spec.Tasks-e.Job.Done <= 1
			}
			for i := range like {
				e := &like[i]
				if !single(e) {
					for range v.Reserved[m.ID][e.Job.ID] {
						free = free.Add(e.Job.Need, -1)
					}
					continue
				}
				image := e.Job.Spec.Image
				for (m.Images.Has(image) || m.Images.IsFetching(image)) && takes(e) {
					give(e)
				}
			}
			for i := range like {
				e := &like[i]
				image := e.Job.Spec.Image
				if !single(e) || m.Images.Has(image) || m.Images.IsFetching(image) || !takes(e) {
					continue
				}
				if underWay > 0 || cold >= v.Limits.ColdStarts || soon(v, m, e) > before[image] ||
					e.Waiting <= v.Limits.DeferCold && elsewhere(v, m, e) {
					before[image] += left(e)
					continue
				}
				underWay++
				cold++
				for takes(e) {
					give(e)
				}
			}
		}
	}
	return given
}

// keptFrom tells whether a machine's room is kept for a late gang: from all but that gang, and
// what comes before it by its priority or by its guarantee.
func keptFrom(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	for _, g := range v.Queue {
		if k := v.GangReservations[m.ID]; k.Job == g.Job.ID && k.Job != e.Job.ID {
			a, b := e.Job.Spec.Priority.Rank(), g.Job.Spec.Priority.Rank()
			return a > b || a == b && (e.OverGuarantee || !g.OverGuarantee)
		}
	}
	return false
}

// others lists the other machines that take tasks of the job and cache its image.
func others(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) (out []*placement.Machine) {
	for _, o := range v.Machines {
		keep, kept := v.HeadReservations[o.ID]
		if o.ID != m.ID && o.Usable && (!kept || keep == e.Job.ID) && !keptFrom(v, o, e) && o.Images.Has(e.Job.Spec.Image) &&
			ledger.Allowed(e.Job.Spec, o.Type, o.Zone, o.Spot) &&
			(e.Avoid == nil || !e.Avoid(o.ID)) {
			out = append(out, o)
		}
	}
	return out
}

// elsewhere tells whether another machine has room beside the image now.
func elsewhere(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) bool {
	for _, o := range others(v, m, e) {
		if o.Free.Fits(e.Job.Need) && e.Job.ZoneRoom(o.Zone) > 0 {
			return true
		}
	}
	return false
}

// soon counts the tasks that will have room beside the image in time, when a fetch
// here would be late.
func soon(v *placement.Snapshot, m *placement.Machine, e *placement.Entry) int {
	fetched := v.Now.Add(time.Duration(e.Job.Spec.ImageGB / m.FetchGB * float64(time.Second)))
	if e.Overdue || !fetched.After(e.LatestStart) {
		return 0
	}
	left := e.Job.Pending()
	if e.StartsPlanned != nil {
		left -= *e.StartsPlanned
	}
	n := 0
	for _, o := range others(v, m, e) {
		there := o.Free
		for _, b := range o.Busy {
			if b.Until.Before(e.LatestStart) {
				there = there.Add(b.Room, 1)
			}
		}
		for k := 0; there.Fits(e.Job.Need) && k < e.Job.ZoneRoom(o.Zone) && k < left; k++ {
			there = there.Add(e.Job.Need, -1)
			n++
		}
	}
	return n
}
