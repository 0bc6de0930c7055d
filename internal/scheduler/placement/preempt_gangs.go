package placement

import (
	"cmp"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// PreemptionReservation is a machine that is to be emptied for tasks of a gang.
type PreemptionReservation struct {
	Machine *Machine
	Job     wire.JobID
	Tasks   int
}

// maxPreemptingGangs bounds the gangs that PlanPreemption examines in one pass.
const maxPreemptingGangs = 8

// PlanPreemption looks for gangs of several tasks, in policy order, that no room is found for and
// that preempting lower work would truly make room for. The room that gangs before them are about
// to be given is not taken. Like a single task's, a gang's room is made where its image is nearest
// and the least is lost.
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
		if !e.waitsWhole(s.Now) || s.gangsWithRoom[j.ID] {
			continue
		}
		if examined++; examined > maxPreemptingGangs {
			break
		}
		if reserved[j.ID] || s.packing.waiting[j.ID] {
			continue // it waits for room that is being made, or for a closer place
		}
		if need := j.GangSize(); s.TeamRoom(j, e.Ahead, need) < need {
			continue
		}
		for _, x := range s.preemptForGang(e, taken) {
			taken[x.Machine.ID] = true
			out = append(out, x)
		}
	}
	return out
}

// preemptionOption is a machine on which room could be made for some of a gang's tasks.
type preemptionOption struct {
	m    *Machine
	room int // tasks
	rank int // of the gang's image there
	loss time.Duration
}

// comparePreemptionOptions orders machines to empty for gangs: nearest to the image, the least
// loss, the most room.
func comparePreemptionOptions(a, b preemptionOption) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.loss, b.loss),
		cmp.Compare(b.room, a.room),
		cmp.Compare(a.m.ID, b.m.ID),
	)
}

// preemptForGang chooses the machines to empty for one gang, none if that can't be enough. taken are
// the machines that are emptied for gangs before it.
func (s *Snapshot) preemptForGang(e *Entry, taken map[wire.MachineID]bool) []PreemptionReservation {
	j := e.Job
	var all []preemptionOption // with a topology
	byZone := zoneOptions[preemptionOption]{perZone: j.GangSize(), compare: comparePreemptionOptions}
	for _, m := range s.Machines {
		s.Examined++
		if taken[m.ID] || len(s.Reserved[m.ID]) > 0 || !s.open(e, m) || !m.Total.Fits(j.Need) {
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

// preemptionPlan is a choice of machines to empty for a whole gang.
type preemptionPlan struct {
	machines []PreemptionReservation // nil: there is no room to be made
	loss     time.Duration           // on all of them
	maxRank  int                     // of any of them
	maxLoss  time.Duration           // on any of them
}

// allotPreemption gives a gang's tasks to machines in their order; the result has no machines if
// room for all of them can't be made.
func allotPreemption(j *ledger.Job, options []preemptionOption) preemptionPlan {
	tasks := newAllotment(j)
	var p preemptionPlan
	for _, o := range options {
		n := tasks.take(o.m.Zone, o.room)
		if n == 0 {
			continue
		}
		p.loss += o.loss
		p.maxRank, p.maxLoss = max(p.maxRank, o.rank), max(p.maxLoss, o.loss)
		p.machines = append(p.machines, PreemptionReservation{o.m, j.ID, n})
	}
	if tasks.left > 0 {
		return preemptionPlan{}
	}
	return p
}
