package committer

import (
	"slices"
	"time"
)

// bestEffortDelay is how long a best-effort record comes after all other changes.
const bestEffortDelay = 10 * time.Second

// yields reports whether the change comes after all others and leaves room in the budget for them: a
// best-effort start always does, a best-effort record until it has waited for bestEffortDelay.
func (ch *Change) yields(now time.Time) bool {
	return ch.Class.bestEffort() && (ch.Class.expires() || now.Sub(ch.queuedAt) < bestEffortDelay)
}

// order returns a queue in the order that Class documents.
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

// byClass orders a queue by class, without moving best-effort changes to its end.
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

// upperTurns is how many changes of the upper priorities, production and high, come before one of the
// lower ones.
const upperTurns = 3

// upperRanks is how many of the lists of byPriority are of the upper priorities.
const upperRanks = 3

// byPriority has changes of all priorities take turns, the upper ones more often; changes of one
// priority keep their order. In a flood of one priority, also the highest, the few starts of another
// would otherwise expire one report after the other; and where a zone is lost, its services can start
// elsewhere only once their claims there are released, among those of thousands of other tasks.
func byPriority(queue []*Change) []*Change {
	var ranked [5][]*Change // by wire.Priority.Rank, plus one: 0 is of those without a priority
	for _, ch := range queue {
		n := ch.Priority.Rank() + 1
		ranked[n] = append(ranked[n], ch)
	}
	upper, lower := interleave(ranked[:upperRanks]...), interleave(ranked[upperRanks:]...)
	out := make([]*Change, 0, len(queue))
	for len(upper) > 0 && len(lower) > 0 {
		n := min(upperTurns, len(upper))
		out = append(append(out, upper[:n]...), lower[0])
		upper, lower = upper[n:], lower[1:]
	}
	return append(append(out, upper...), lower...)
}

// interleave takes one change of each list at a time, in the order of the lists.
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
