// Package model is the slow, plain model that tests compare the real code with. Check lists
// which transitions between two states of the records the rules forbid; OnRoom is the placement
// path read straight from the design, without the real code's shortcuts. It is written for being
// read, takes no locks, and must not share code with what it checks beyond the records' types.
package model

import (
	"maps"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Job is a job as it is on record.
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
	// Marks holds the phase of every machine that ever had one; "" for one that has none now.
	Marks map[wire.MachineID]ledger.MachinePhase
	// Passed holds the jobs that the ledger's filter lets pass as archived.
	Passed map[wire.JobID]bool
}

// Read returns the state of some jobs and of all machines in a ledger. The archive is not part of
// the ledger. before is the state that was read last: the specs of jobs that are archived but
// still on record come from it, and the machines to look up.
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
		if job := l.Job(id); job != nil {
			s.Jobs[id] = readJob(job)
		} else if final, ok := l.FinalRecordOf(id); ok {
			s.Jobs[id] = Job{Spec: before.Jobs[id].Spec, State: final.State, Count: final.Done}
		}
	}
	for m := range before.Marks {
		s.Marks[m] = l.MachinePhase(m)
	}
	l.MachinePhases(func(m wire.MachineID, phase ledger.MachinePhase) { s.Marks[m] = phase })
	return s
}

// readJob returns a job with its task ranges split into tasks.
func readJob(j *ledger.Job) Job {
	out := Job{
		Spec:   *j.Spec,
		State:  j.State,
		Count:  j.DoneTasks(),
		Done:   map[wire.TaskIndex]bool{},
		Claims: map[wire.TaskIndex]ledger.Claim{},
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
