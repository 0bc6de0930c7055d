// Package completion keeps the completions of tasks that workers reported and that the records do
// not hold yet. A worker whose lease ends forgets its tasks, so what it reported before, in an
// outage of the state service or to a controller that ended since, is known to controllers only.
// Each tells its peers what it keeps (docs/meetings.md, "Completions outlive the session").
//
// A Log has no lock: it is used under the mirror's.
package completion

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// tellAfter is how old a completion must be to be told to peers. Nearly all are on record sooner,
// and a controller that ends before has a worker that reports them once more.
const tellAfter = 1500 * time.Millisecond

// entryBytes is about what an entry takes of memory, by which the bound of a Log is chosen.
const entryBytes = 400

// Capacity is how many completions may be kept in a number of bytes of memory.
func Capacity(bytes int) int { return max(256, bytes/entryBytes) }

// entry is a completion in the order in which it came.
type entry struct {
	peer.Completion
	number uint64
	noted  time.Time
	apart  bool // noted while out of touch with the state service
}

// Log is the completions that one controller knows of.
type Log struct {
	most  int
	last  uint64 // number of the entry noted last
	known map[peer.Completion]struct{}
	order []entry // by number
	lost  int     // entries that there was no room for
}

// New returns an empty log that holds at most so many completions.
func New(most int) *Log {
	return &Log{most: most, known: map[peer.Completion]struct{}{}}
}

// Len is how many completions are kept.
func (l *Log) Len() int { return len(l.order) }

// Lost counts the completions that were dropped since there was no room for them.
func (l *Log) Lost() int { return l.lost }

// Add keeps a completion; apart: while this controller is out of touch with the state service.
// Where the log is full the oldest one goes.
func (l *Log) Add(c peer.Completion, apart bool, now time.Time) {
	if _, ok := l.known[c]; ok {
		return
	}
	if len(l.order) >= l.most {
		delete(l.known, l.order[0].Completion)
		l.order = l.order[1:]
		l.lost++
	}
	l.last++
	l.known[c] = struct{}{}
	l.order = append(l.order, entry{c, l.last, now, apart})
}

// Cause is how a claim's task ended that no worker can show any more: done if that was reported,
// else nothing is known. A completion proves nothing of another attempt, machine or session. A nil
// log knows of none.
func (l *Log) Cause(h *ledger.HeldClaim, task wire.TaskIndex) wire.Cause {
	if l == nil || len(l.known) == 0 {
		return ""
	}
	c := peer.Completion{Job: h.Job.ID, Task: task, Attempt: h.Attempt, Machine: h.Machine, Session: h.Session}
	if _, ok := l.known[c]; !ok {
		return ""
	}
	return wire.CauseDone
}

// Since returns the completions after a number, at most so many, that are old enough to be told,
// and the number of the last of them.
func (l *Log) Since(number uint64, most int, now time.Time) ([]peer.Completion, uint64) {
	begin, _ := slices.BinarySearchFunc(l.order, number+1, func(e entry, n uint64) int {
		switch {
		case e.number < n:
			return -1
		case e.number > n:
			return 1
		}
		return 0
	})
	var out []peer.Completion
	for _, e := range l.order[begin:] {
		if len(out) == most || now.Sub(e.noted) < tellAfter {
			break
		}
		out, number = append(out, e.Completion), e.number
	}
	return out, number
}

// EachUnrecorded gives f the completions that were noted while out of touch, in their order.
func (l *Log) EachUnrecorded(f func(peer.Completion)) {
	for _, e := range l.order {
		if e.apart {
			f(e.Completion)
		}
	}
}

// Prune drops what is on record, given records that hold all that was committed before contact: a
// completion whose claim they lack.
func (l *Log) Prune(records *ledger.Ledger, contact time.Time) {
	l.order = slices.DeleteFunc(l.order, func(e entry) bool {
		if !e.noted.Before(contact) || Claimed(records, e.Completion) {
			return false
		}
		delete(l.known, e.Completion)
		return true
	})
}

// Claimed reports whether the records hold the claim that a completion is of.
func Claimed(records *ledger.Ledger, c peer.Completion) bool {
	_, ok := ClaimOf(records, c)
	return ok
}

// ClaimOf is the claim that a completion is of, if the records hold it.
func ClaimOf(records *ledger.Ledger, c peer.Completion) (ledger.HeldClaim, bool) {
	for _, h := range records.ClaimsOn(c.Machine) {
		if h.Job.ID == c.Job && h.Attempt == c.Attempt && h.Session == c.Session && h.Covers(c.Task) {
			return h, true
		}
	}
	return ledger.HeldClaim{}, false
}
