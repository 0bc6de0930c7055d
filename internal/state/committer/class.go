package committer

// Class is the scheduling class of a change. The queue, which queue.go sorts, has this order:
//
//  1. ClassUrgent, in the order of submission.
//  2. ClassRecord and the starts, which alternate one by one, a record first: otherwise no start would
//     be committed before it expires when there are many records. Among the starts, ClassOverdueStart
//     comes first, in the order of submission, then ClassStart. Records, and the changes of ClassStart,
//     are interleaved by priority (byPriority).
//  3. Best-effort changes, after all others and in the same relative order: a best-effort class is
//     sorted like the class that it derives from and then moved to the end. A best-effort record is
//     moved only during its first bestEffortDelay in the queue, a best-effort start always.
//
// Changes of a class that expires are dropped after Change.ExpiresAt; all others are retried until they
// are durable or fail.
type Class uint8

// The classes of changes.
const (
	// ClassRecord records something that has happened, or is any other change without a deadline.
	ClassRecord Class = iota
	// ClassBestEffortRecord is ClassRecord for best-effort work.
	ClassBestEffortRecord
	// ClassUrgent records information that would be lost with this process, since nobody can report it
	// again. It is rare and occurs only after an outage.
	ClassUrgent
	// ClassStart starts work, or is any other decision that the next report triggers again. It expires.
	ClassStart
	// ClassBestEffortStart is ClassStart for best-effort work.
	ClassBestEffortStart
	// ClassOverdueStart starts work that has waited for too long. It expires.
	ClassOverdueStart
	// ClassBestEffortOverdueStart is ClassOverdueStart for best-effort work.
	ClassBestEffortOverdueStart
)

// StartClass returns the class of a start.
func StartClass(overdue bool) Class {
	if overdue {
		return ClassOverdueStart
	}
	return ClassStart
}

// AsBestEffort returns the best-effort variant of a class. ClassUrgent has none and is returned as it is.
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

// bestEffort reports whether the class is for best-effort work.
func (c Class) bestEffort() bool {
	switch c {
	case ClassBestEffortRecord, ClassBestEffortStart, ClassBestEffortOverdueStart:
		return true
	default:
		return false
	}
}

// expires reports whether changes of the class are dropped after their Change.ExpiresAt.
func (c Class) expires() bool {
	switch c {
	case ClassStart, ClassBestEffortStart, ClassOverdueStart, ClassBestEffortOverdueStart:
		return true
	default:
		return false
	}
}

// overdue reports whether changes of the class come before other starts.
func (c Class) overdue() bool { return c == ClassOverdueStart || c == ClassBestEffortOverdueStart }
