package ledger

import (
	"hash/fnv"
	"slices"

	"maddermill/wire"
)

// Limits are what the state service takes, and the rules of teams.
type Limits struct {
	ValueBytes                       int
	TxnOps                           int
	TxnBytes                         int
	TeamMax                          map[wire.Team]Resources // capped teams only; 0 in an amount: none
	ControllerIndex, ControllerCount int                     // this controller's among all; 0 of 0: it is alone
}

// caps reports whether a team's limit is on something that a task needs.
func (limits *Limits) caps(t wire.Team, need Resources) bool {
	limit := limits.TeamMax[t]
	return limit.CPU > 0 && need.CPU > 0 || limit.GPU > 0 && need.GPU > 0
}

// maxClaimBytes is what a claim takes of a value at the most, names included.
const maxClaimBytes = 96

// maxSpecBytes is what a job's description takes of its record at the most.
const maxSpecBytes = 1200

// TasksPerRange is how many tasks share a record: in the worst case each has a
// claim of its own, and all must fit beside the job's description.
func (limits *Limits) TasksPerRange() int {
	return min(400, max(4, (limits.ValueBytes-maxSpecBytes)/maxClaimBytes))
}

// maxLongRange is how many tasks of a large array share a record, at the most.
const maxLongRange = 256

// minStartsPerRange is how many starts a record of a large array must at least have room
// for, counted in machines that are filled with its tasks.
const minStartsPerRange = 12

// longRangeTasks is how many tasks of a job share a record; 0: so few that each may have a
// claim of its own. Tasks of a huge array end many at a time and its machines take many
// at a time, so longer ranges save changes; but then only so many starts have room in a
// record, which a claim that finds none respects. A gang's tasks must all find room.
func (l *Ledger) longRangeTasks(s *wire.JobSpec) int {
	if s.Shape != wire.Array {
		return 0
	}
	// Where a type of machine takes but a few of them, a record would be full of starts with most
	// of its tasks yet to begin, and the machines of that type idle.
	need, each := NewResources(s.CPUs, s.GPUs, s.MemoryGB), 0
	for _, f := range l.machineTypes {
		k := NewResources(f.CPUs, f.GPUs, f.MemoryGB).Times(need, s.Tasks)
		if k > 0 && (each == 0 || k < each) && (s.Types == nil || slices.Contains(s.Types, f.Name)) {
			each = k
		}
	}
	n := min(maxLongRange, minStartsPerRange*each)
	if usual := l.limits.TasksPerRange(); s.Tasks <= 2*usual || n < 2*usual ||
		l.limits.ValueBytes < maxSpecBytes+n/6+minStartsPerRange*maxClaimBytes+n*maxPairBytes/2 {
		return 0
	}
	return n
}

// firstRange is the range of a job's that this controller claims tasks of first.
func (limits *Limits) firstRange(id wire.JobID, ranges int) int {
	if ranges == 1 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return (int(h.Sum32()%uint32(ranges)) + ranges*limits.ControllerIndex/max(1, limits.ControllerCount)) % ranges
}
