// Package model is a reference model that tests compare the production code with. Check finds the
// violations in a transition between two states of the records. PlaceOnMachine implements the placement
// algorithm directly from the design, without the optimizations of the production code. The package
// favors readability over speed, takes no locks, and must not share code with what it checks beyond
// the types of the records.
package model

import (
	"maps"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Job is a recorded job.
type Job struct {
	Spec      wire.JobSpec
	State     ledger.JobState
	Done      map[wire.TaskIndex]bool
	DoneCount int // number of completed tasks, also when it is no longer known which
	Claims    map[wire.TaskIndex]ledger.Claim
}

// State is the content of the records, with one entry per task.
type State struct {
	Jobs     map[wire.JobID]Job
	Archived map[wire.JobID]ledger.FinalRecord
	// MachinePhases holds the phase of every machine that has had one; "" if it has none now.
	MachinePhases map[wire.MachineID]ledger.MachinePhase
	// InFilter holds the jobs that the ledger's filter of archived jobs contains.
	InFilter map[wire.JobID]bool
}

// Read returns the state of the given jobs and of all machines in a ledger. The archive is passed
// separately, as it is not part of the ledger. before is the previously read state, from which Read takes
// the specs of jobs that the ledger only has a final record of, and the machines that had a phase.
func Read(l *ledger.Ledger, ids []wire.JobID, archive map[wire.JobID]ledger.FinalRecord, before State) State {
	s := State{
		Jobs:          map[wire.JobID]Job{},
		Archived:      maps.Clone(archive),
		MachinePhases: map[wire.MachineID]ledger.MachinePhase{},
		InFilter:      map[wire.JobID]bool{},
	}
	for _, id := range ids {
		may, known := l.MayBeArchived(id)
		s.InFilter[id] = may && known
		if job := l.Job(id); job != nil {
			s.Jobs[id] = readJob(job)
		} else if final, ok := l.FinalRecordOf(id); ok {
			s.Jobs[id] = Job{Spec: before.Jobs[id].Spec, State: final.State, DoneCount: final.Done}
		}
	}
	for m := range before.MachinePhases {
		s.MachinePhases[m] = l.MachinePhase(m)
	}
	l.MachinePhases(func(m wire.MachineID, phase ledger.MachinePhase) { s.MachinePhases[m] = phase })
	return s
}

// readJob converts a job, with its claims of task ranges split into one claim per task.
func readJob(j *ledger.Job) Job {
	out := Job{
		Spec:      *j.Spec,
		State:     j.State,
		DoneCount: j.DoneTasks(),
		Done:      map[wire.TaskIndex]bool{},
		Claims:    map[wire.TaskIndex]ledger.Claim{},
	}
	for i := range j.Spec.Tasks {
		if index := wire.TaskIndex(i); j.TaskDone(index) {
			out.Done[index] = true
		}
	}
	j.Claims(func(c ledger.Claim) bool {
		for i := range c.Count {
			one := c
			one.First, one.Count = c.First+wire.TaskIndex(i), 1
			out.Claims[one.First] = one
		}
		return true
	})
	return out
}
