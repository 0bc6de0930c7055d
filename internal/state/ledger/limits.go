package ledger

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"

	"maddermill/wire"
)

// Limits are the limits of the key-value store and of teams, and this controller's place among all.
type Limits struct {
	ValueBytes int // the largest value that is written
	// UsualValueBytes is the largest value that versions write which do not know that the store will take
	// only smaller ones, and by which the usual length of a range is reckoned; 0: ValueBytes.
	UsualValueBytes int
	TxnOps          int                     // the most changes in a transaction
	TxnBytes        int                     // the largest transaction
	TeamMax         map[wire.Team]Resources // of the teams that have a limit; an amount of 0 is unlimited

	ControllerIndex int // 0 to ControllerCount-1
	ControllerCount int // 0: there is only this one
}

// caps reports whether a team's limit is on a resource that a task needs.
func (limits *Limits) caps(t wire.Team, need Resources) bool {
	limit := limits.TeamMax[t]
	return limit.CPU > 0 && need.CPU > 0 || limit.GPU > 0 && need.GPU > 0
}

// The most bytes that parts of a record take as JSON.
const (
	maxClaimBytes = 96   // a claim, names included
	maxSpecBytes  = 1200 // a job's specification
	maxPairBytes  = 10   // a further piece of a claim: first task and count
	recordBytes   = 200  // the rest of a job's record: times, state, names of what it belongs to
)

// Bounds of the usual length of a range, in tasks.
const (
	minUsualRange = 4
	maxUsualRange = 400
)

// Bounds of the ranges of a large array.
const (
	maxLongRange = 256 // tasks that share a record, at the most
	// minStartsPerRange is how many starts a record must at least have room for, counted in machines
	// that are filled with the array's tasks.
	minStartsPerRange = 12
)

// TasksPerRange returns how many tasks usually share a record: in the worst case each has a claim of its
// own, and all must fit beside the job's specification.
func (limits *Limits) TasksPerRange() int {
	return rangeFor(max(limits.ValueBytes, limits.UsualValueBytes), maxSpecBytes)
}

// rangeFor returns how many tasks may share a record beside so many other bytes.
func rangeFor(valueBytes, otherBytes int) int {
	return min(maxUsualRange, max(minUsualRange, (valueBytes-otherBytes)/maxClaimBytes))
}

// shortRange returns how many of a job's tasks may share a record where values are to become smaller.
func (limits *Limits) shortRange(s *wire.JobSpec) int {
	b, err := json.Marshal(s)
	if err != nil {
		return minUsualRange
	}
	return rangeFor(limits.ValueBytes, len(b)+recordBytes)
}

// usualRange returns how many tasks share a record that does not say. It is on record since the settings by
// which it is reckoned may change.
func (l *Ledger) usualRange() int { return cmp.Or(l.archived.format.Range, l.limits.TasksPerRange()) }

// lowered reports whether records of the usual length may be larger than what is written.
func (l *Ledger) lowered() bool { return l.usualRange() > rangeFor(l.limits.ValueBytes, maxSpecBytes) }

// valueLimit returns how large a value may be. Until ranges can be divided, records of earlier versions are
// written as these do.
func (l *Ledger) valueLimit() int {
	if l.writesParts() {
		return l.limits.ValueBytes
	}
	return max(l.limits.ValueBytes, l.limits.UsualValueBytes)
}

// isLong reports whether a range has more tasks than its record has room for, with a claim for each.
func (l *Ledger) isLong(s *wire.JobSpec, tasksPerRange int) bool {
	if tasksPerRange == l.usualRange() {
		return false // it has room within the usual limit, and is divided once that is too much
	}
	return l.crowded(s, tasksPerRange)
}

// crowded reports whether a range of so many tasks has more of them than a record within the limit has room
// for, with a claim for each.
func (l *Ledger) crowded(s *wire.JobSpec, tasksPerRange int) bool {
	return min(s.Tasks, tasksPerRange) > l.limits.shortRange(s)
}

// newRange returns how many tasks of a new job share a record.
func (l *Ledger) newRange(s *wire.JobSpec) int {
	if long := l.longRangeTasks(s); long > 0 {
		return long
	}
	if l.lowered() {
		return l.limits.shortRange(s)
	}
	return l.usualRange()
}

// longRangeTasks returns how many tasks of a huge array share a record, 0 for any other job. They start
// and end many at a time, so that longer ranges save changes; but a record then has room for a
// limited number of starts, which Claim respects. A gang's tasks must all find room at once, so that
// a gang has the usual ranges.
func (l *Ledger) longRangeTasks(s *wire.JobSpec) int {
	if s.Shape != wire.Array {
		return 0
	}
	// Where a machine type takes only a few of them, a record would be full of starts with most of its
	// tasks still pending, and the machines of that type idle. So the smallest type counts.
	need, each := NewResources(s.CPUs, s.GPUs, s.MemoryGB), 0
	for _, t := range l.machineTypes {
		k := NewResources(t.CPUs, t.GPUs, t.MemoryGB).Times(need, s.Tasks)
		if k > 0 && (each == 0 || k < each) && (s.Types == nil || slices.Contains(s.Types, t.Name)) {
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

// firstRange returns the range of a job of which this controller claims tasks first.
func (limits *Limits) firstRange(id wire.JobID, ranges int) int {
	if ranges == 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never returns an error
	return (int(h.Sum32()%uint32(ranges)) + ranges*limits.ControllerIndex/max(1, limits.ControllerCount)) % ranges
}
