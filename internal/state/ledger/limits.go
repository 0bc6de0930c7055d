package ledger

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"

	"maddermill/wire"
)

// Limits are the limits of the key-value store, the quotas of teams, and this controller's index.
type Limits struct {
	ValueBytes int // the largest value that is written
	// CurrentValueBytes is the store's value size limit until it is lowered to ValueBytes. Versions that do
	// not know the lower limit write values up to this size, and the default number of tasks per range is
	// computed from it; 0 means ValueBytes.
	CurrentValueBytes int
	TxnOps            int                     // the maximum number of changes in a transaction
	TxnBytes          int                     // the maximum size of a transaction
	TeamMax           map[wire.Team]Resources // quotas, by team; an amount of 0 is unlimited

	ControllerIndex int // 0 to ControllerCount-1
	ControllerCount int // 0 means that there is only this one
}

// constrains reports whether a team's quota limits a resource that a task needs.
func (limits *Limits) constrains(t wire.Team, need Resources) bool {
	limit := limits.TeamMax[t]
	return limit.CPU > 0 && need.CPU > 0 || limit.GPU > 0 && need.GPU > 0
}

// Upper bounds for the size of parts of a record, encoded as JSON.
const (
	maxClaimBytes       = 96   // a claim with its names
	maxSpecBytes        = 1200 // a job's specification
	maxPairBytes        = 10   // another piece of a claim: first task and count
	recordOverheadBytes = 200  // the rest of a job's record: times, state, names of its gallery and workflow
)

// Bounds of the default number of tasks in a range.
const (
	minRangeSize = 4
	maxRangeSize = 400
)

// Bounds of the ranges of a large array.
const (
	maxLongRangeSize = 256 // the maximum number of tasks that share a record
	// minStartsPerRange is the minimum number of starts that a record must have room for. Each start fills
	// a machine with tasks of the array.
	minStartsPerRange = 12
)

// TasksPerRange returns how many tasks share a record by default. In the worst case each task has its own
// claim, and all claims must fit into the record together with the job's specification.
func (limits *Limits) TasksPerRange() int {
	return rangeSize(max(limits.ValueBytes, limits.CurrentValueBytes), maxSpecBytes)
}

// rangeSize returns how many tasks may share a record of valueBytes that holds otherBytes of other data.
func rangeSize(valueBytes, otherBytes int) int {
	return min(maxRangeSize, max(minRangeSize, (valueBytes-otherBytes)/maxClaimBytes))
}

// shortRangeSize returns how many of a job's tasks may share a record if the value size limit will be lowered.
func (limits *Limits) shortRangeSize(s *wire.JobSpec) int {
	b, err := json.Marshal(s)
	if err != nil {
		return minRangeSize
	}
	return rangeSize(limits.ValueBytes, len(b)+recordOverheadBytes)
}

// usualRange returns how many tasks share a record that does not specify it. The number is stored with the
// format, because the settings that it is computed from may change.
func (l *Ledger) usualRange() int { return cmp.Or(l.archived.format.Range, l.limits.TasksPerRange()) }

// lowered reports whether records with the default number of tasks may exceed the value size limit.
func (l *Ledger) lowered() bool { return l.usualRange() > rangeSize(l.limits.ValueBytes, maxSpecBytes) }

// valueLimit returns the maximum size of a value. Until the format supports the division of ranges, records are
// written up to the limit of earlier versions.
func (l *Ledger) valueLimit() int {
	if l.partsEnabled() {
		return l.limits.ValueBytes
	}
	return max(l.limits.ValueBytes, l.limits.CurrentValueBytes)
}

// isLongRange reports whether a range has more tasks than its record has room for if each has its own claim.
func (l *Ledger) isLongRange(s *wire.JobSpec, tasksPerRange int) bool {
	if tasksPerRange == l.usualRange() {
		return false // it fits within the current limit, and is divided once the limit is lowered
	}
	return l.rangeMayOverflow(s, tasksPerRange)
}

// rangeMayOverflow reports whether a range of tasksPerRange tasks has more of them than a record within the value size
// limit has room for if each has its own claim.
func (l *Ledger) rangeMayOverflow(s *wire.JobSpec, tasksPerRange int) bool {
	return min(s.Tasks, tasksPerRange) > l.limits.shortRangeSize(s)
}

// newRangeSize returns how many tasks of a new job share a record.
func (l *Ledger) newRangeSize(s *wire.JobSpec) int {
	if long := l.longRangeSize(s); long > 0 {
		return long
	}
	if l.lowered() {
		return l.limits.shortRangeSize(s)
	}
	return l.usualRange()
}

// longRangeSize returns how many tasks of a large array share a record, 0 for any other job. Many tasks of
// such an array start and end at a time, so longer ranges save writes; but their records then have room for
// a limited number of starts only, which Claim respects. All tasks of a gang must have room at once, so gangs
// use ranges of the default size.
func (l *Ledger) longRangeSize(s *wire.JobSpec) int {
	if s.Shape != wire.Array {
		return 0
	}
	// On a machine type that fits only a few tasks, a record would run out of room for starts while most of
	// its tasks are pending and machines of that type are idle. So the smallest type decides.
	need, each := NewResources(s.CPUs, s.GPUs, s.MemoryGB), 0
	for _, t := range l.machineTypes {
		k := NewResources(t.CPUs, t.GPUs, t.MemoryGB).CountFitting(need, s.Tasks)
		if k > 0 && (each == 0 || k < each) && (s.Types == nil || slices.Contains(s.Types, t.Name)) {
			each = k
		}
	}
	n := min(maxLongRangeSize, minStartsPerRange*each)
	if usual := l.limits.TasksPerRange(); s.Tasks <= 2*usual || n < 2*usual ||
		l.limits.ValueBytes < maxSpecBytes+n/6+minStartsPerRange*maxClaimBytes+n*maxPairBytes/2 {
		return 0
	}
	return n
}

// startingRange returns the range of a job in which this controller starts to claim tasks. It differs between
// controllers, so that they seldom write the same record.
func (limits *Limits) startingRange(id wire.JobID, ranges int) int {
	if ranges == 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash.Hash never returns an error
	return (int(h.Sum32()%uint32(ranges)) + ranges*limits.ControllerIndex/max(1, limits.ControllerCount)) % ranges
}
