package committer

import (
	"slices"
	"time"
)

// bestEffortDelay is how long a best-effort record stays behind all other changes.
const bestEffortDelay = 10 * time.Second

// yields reports whether the change comes after all others and leaves part of the budget to them: a
// best-effort start always does, a best-effort record until it has been queued for bestEffortDelay.
func (ch *Change) yields(now time.Time) bool {
	return ch.Class.bestEffort() && (ch.Class.expires() || now.Sub(ch.queuedAt) < bestEffortDelay)
}

// order returns the changes of a queue in the order documented at Class.
func order(queue []*Change, now time.Time) []*Change {
	queue = byClass(queue)
	slices.SortStableFunc(queue, func(a, b *Change) int {
		switch x, y := a.yields(now), b.yields(now); {
		case x == y:
			return 0
		case y:
			return -1
		}
		return 1
	})
	return queue
}

// byClass orders a queue by class, sorting best-effort classes like those that they derive from.
func byClass(queue []*Change) []*Change {
	var urgent, records, overdue, starts []*Change
	for _, ch := range queue {
		switch {
		case ch.Class == ClassUrgent:
			urgent = append(urgent, ch)
		case !ch.Class.expires():
			records = append(records, ch)
		case ch.Class.overdue():
			overdue = append(overdue, ch)
		default:
			starts = append(starts, ch)
		}
	}
	return append(urgent, interleave(byPriority(records), append(overdue, byPriority(starts)...))...)
}

// upperWeight is how many changes of the upper priorities (production, high, and none) are taken for each
// change of the lower ones.
const upperWeight = 3

// upperRanks is the number of lists in byPriority that hold upper priorities.
const upperRanks = 3

// byPriority orders changes by weighted round-robin over their priorities; changes of one priority keep
// their order. With a strict order, many changes of one priority, even the highest, would let the few
// starts of another expire after every report. And when a zone is lost, its services can restart elsewhere
// only once their claims are released, which must not wait for the claims of thousands of other tasks.
func byPriority(queue []*Change) []*Change {
	var ranked [5][]*Change // by wire.Priority.Rank + 1; 0 is for changes without a priority
	for _, ch := range queue {
		n := ch.Priority.Rank() + 1
		ranked[n] = append(ranked[n], ch)
	}
	upper, lower := interleave(ranked[:upperRanks]...), interleave(ranked[upperRanks:]...)
	out := make([]*Change, 0, len(queue))
	for len(upper) > 0 && len(lower) > 0 {
		n := min(upperWeight, len(upper))
		out = append(append(out, upper[:n]...), lower[0])
		upper, lower = upper[n:], lower[1:]
	}
	return append(append(out, upper...), lower...)
}

// interleave merges lists round-robin: one change of each list at a time, in the order of the lists.
func interleave(lists ...[]*Change) []*Change {
	var out []*Change
	for i, more := 0, true; more; i++ {
		more = false
		for _, list := range lists {
			if i < len(list) {
				out, more = append(out, list[i]), true
			}
		}
	}
	return out
}
