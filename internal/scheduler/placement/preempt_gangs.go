package placement

import (
	"cmp"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// PreemptionReservation is a machine on which claims are to be preempted for tasks of a gang.
type PreemptionReservation struct {
	Machine *Machine
	Job     wire.JobID
	Tasks   int
}

// maxPreemptingGangs limits the gangs that PlanPreemption examines in one pass.
const maxPreemptingGangs = 8

// PlanPreemption looks, in policy order, for gangs of several tasks that do not fit now but would
// fit after preempting claims of lower precedence. It does not use capacity planned for earlier
// gangs. As for single tasks, it prefers machines with the gang's image and then those with the
// least lost work.
func PlanPreemption(s *Snapshot) []PreemptionReservation {
	if s.Victims == nil {
		return nil
	}
	reserved := map[wire.JobID]bool{}
	for _, id := range s.HeadReservations {
		reserved[id] = true
	}
	var out []PreemptionReservation
	taken := map[wire.MachineID]bool{}
	examined := 0
	for i := range s.Queue {
		e := &s.Queue[i]
		j := e.Job
		if !e.reservable(s.Now) || s.placeableGangs[j.ID] {
			continue
		}
		if examined++; examined > maxPreemptingGangs {
			break
		}
		if reserved[j.ID] || s.packing.waitingForCloser[j.ID] {
			continue // it waits for preemption in progress or for a closer placement
		}
		if need := j.GangSize(); s.RemainingTeamQuota(j, e.ReservedQuota, need) < need {
			continue
		}
		for _, x := range s.preemptForGang(e, taken) {
			taken[x.Machine.ID] = true
			out = append(out, x)
		}
	}
	return out
}

// preemptionOption is a machine on which preemption could make capacity for some of a gang's tasks.
type preemptionOption struct {
	m    *Machine
	room int // number of tasks that would fit
	rank int // rank of the gang's image on the machine
	loss time.Duration
}

// comparePreemptionOptions orders machines for preemption: lowest image rank first, then least
// loss, then most capacity.
func comparePreemptionOptions(a, b preemptionOption) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.loss, b.loss),
		cmp.Compare(b.room, a.room),
		cmp.Compare(a.m.ID, b.m.ID),
	)
}

// preemptForGang chooses the machines on which to preempt claims for one gang, or none if the whole
// gang would not fit. taken are the machines already used for earlier gangs.
func (s *Snapshot) preemptForGang(e *Entry, taken map[wire.MachineID]bool) []PreemptionReservation {
	j := e.Job
	var all []preemptionOption // used only with a topology
	byZone := zoneOptions[preemptionOption]{perZone: j.GangSize(), compare: comparePreemptionOptions}
	for _, m := range s.Machines {
		s.Examined++
		if taken[m.ID] || len(s.PlannedGangTasks[m.ID]) > 0 || !s.available(e, m) || !m.Total.Fits(j.Need) {
			continue
		}
		victims, room := SelectVictims(e, m.Free, j.GangSize(), s.victimsOn(m))
		if room == 0 {
			continue
		}
		o := preemptionOption{m: m, room: room, rank: m.Images.rank(j.Spec.Image), loss: totalLoss(victims)}
		byZone.add(m.Zone, o)
		if s.Tree != nil {
			all = append(all, o)
		}
	}
	var best preemptionPlan
	for _, options := range byZone.lists(j.Spec.OneZone) {
		if p := allotPreemption(j, options); p.machines != nil && (best.machines == nil || p.loss < best.loss) {
			best = p
		}
	}
	if s.Tree != nil && best.machines != nil {
		if list := s.packPreemption(j, all, best.maxRank, best.maxLoss); list != nil {
			return list
		}
	}
	return best.machines
}

// preemptionPlan is a set of machines on which to preempt claims for a whole gang.
type preemptionPlan struct {
	machines []PreemptionReservation // nil: the gang would not fit
	loss     time.Duration           // total over all machines
	maxRank  int                     // highest rank of any machine
	maxLoss  time.Duration           // highest loss on any machine
}

// allotPreemption assigns a gang's tasks to machines in the given order. The result has no machines
// if the whole gang would not fit.
func allotPreemption(j *ledger.Job, options []preemptionOption) preemptionPlan {
	tasks := newAllotment(j)
	var p preemptionPlan
	for _, o := range options {
		n := tasks.assign(o.m.Zone, o.room)
		if n == 0 {
			continue
		}
		p.loss += o.loss
		p.maxRank, p.maxLoss = max(p.maxRank, o.rank), max(p.maxLoss, o.loss)
		p.machines = append(p.machines, PreemptionReservation{o.m, j.ID, n})
	}
	if tasks.unassigned > 0 {
		return preemptionPlan{}
	}
	return p
}
