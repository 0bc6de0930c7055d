package committer

// Class is the urgency of a change. The order of a queue, which order and its parts in queue.go make, is:
//
//  1. ClassUrgent, in the order of submission.
//  2. ClassRecord and the starts, which take turns one by one, a record first: in a flood of records
//     no start would otherwise be in time. The starts are ClassOverdueStart in the order of
//     submission, then ClassStart. Records among themselves, and ClassStart among themselves, take
//     turns by priority (byPriority).
//  3. Best-effort changes, after all others, in the order that they have among the others: a
//     best-effort class is placed as the class that it is made from and then moved to the end. A
//     best-effort record is moved only in its first bestEffortDelay, a best-effort start always.
//
// Classes that expire are dropped after Change.ExpiresAt; the others are kept until they are durable
// or refused.
type Class uint8

// The classes of changes.
const (
	// ClassRecord is a record of what has happened, or any change that has no deadline.
	ClassRecord Class = iota
	// ClassBestEffortRecord is ClassRecord, of work that only takes what others leave.
	ClassBestEffortRecord
	// ClassUrgent is a record of what nobody can report again once this process ends: there is little
	// of it, and only after an outage.
	ClassUrgent
	// ClassStart is a start of work, or any decision that the next report makes anew. It expires.
	ClassStart
	// ClassBestEffortStart is ClassStart, of work that only takes what others leave.
	ClassBestEffortStart
	// ClassOverdueStart is a start of work that has waited for too long. It expires.
	ClassOverdueStart
	// ClassBestEffortOverdueStart is ClassOverdueStart, of work that only takes what others leave.
	ClassBestEffortOverdueStart
)

// StartClass returns the class of a start.
func StartClass(overdue bool) Class {
	if overdue {
		return ClassOverdueStart
	}
	return ClassStart
}

// AsBestEffort returns the best-effort class of a class. An urgent change stays urgent.
func (c Class) AsBestEffort() Class {
	switch c {
	case ClassRecord:
		return ClassBestEffortRecord
	case ClassStart:
		return ClassBestEffortStart
	case ClassOverdueStart:
		return ClassBestEffortOverdueStart
	default:
		return c
	}
}

// bestEffort reports whether a change of the class is of work that only takes what others leave.
func (c Class) bestEffort() bool {
	switch c {
	case ClassBestEffortRecord, ClassBestEffortStart, ClassBestEffortOverdueStart:
		return true
	default:
		return false
	}
}

// expires reports whether a change of the class is dropped after its Change.ExpiresAt.
func (c Class) expires() bool {
	switch c {
	case ClassStart, ClassBestEffortStart, ClassOverdueStart, ClassBestEffortOverdueStart:
		return true
	default:
		return false
	}
}

// overdue reports whether a change of the class comes before other starts.
func (c Class) overdue() bool { return c == ClassOverdueStart || c == ClassBestEffortOverdueStart }
