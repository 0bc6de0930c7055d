// Package completion keeps the completions of tasks that workers reported and that the records do not
// hold yet. A worker whose lease ends forgets its tasks, so what it reported before, in an outage of the
// state service or to a controller that ended since, is known to controllers only. Each shares what it
// keeps with its peers (docs/meetings.md, "Completions outlive the session").
//
// # Types
//
// A [Log] is the completions that one controller knows of, in a bounded amount of memory. An [Exchange]
// shares them with the peers, each entry once with each run of a peer.
//
// # Locking and goroutines
//
// Neither type has a lock: both are used under the lock of the records (watchcache.Cache.Lock). The
// package starts no goroutines.
//
// # Invariants
//
//   - A completion proves how the task of that attempt on that machine in that session ended, and nothing
//     else.
//   - A completion is kept until records that are newer than it lack its claim, or there is no room.
package completion

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// shareAfter is how old a completion must be to be shared with peers. Nearly all are on record sooner,
// and a controller that ends before has a worker that reports them once more.
const shareAfter = 1500 * time.Millisecond

// Sizes of a Log.
const (
	entryBytes  = 400 // about what an entry takes of memory
	minCapacity = 256 // entries
)

// Capacity returns how many completions a Log may keep in a number of bytes of memory.
func Capacity(bytes int) int { return max(minCapacity, bytes/entryBytes) }

// entry is a completion in the order in which they were added.
type entry struct {
	peer.Completion
	number   uint64
	addedAt  time.Time
	unsynced bool // added while this controller was out of touch with the state service
}

// Log is the completions that one controller knows of and that the records may lack.
type Log struct {
	capacity int
	last     uint64 // number of the entry added last; the first one's is 1
	known    map[peer.Completion]struct{}
	entries  []entry // by number
	lost     int     // entries that were dropped for want of room
}

// New returns an empty log that keeps at most capacity completions.
func New(capacity int) *Log {
	return &Log{capacity: capacity, known: map[peer.Completion]struct{}{}}
}

// Len returns how many completions are kept.
func (l *Log) Len() int { return len(l.entries) }

// Lost returns how many completions were dropped because there was no room for them.
func (l *Log) Lost() int { return l.lost }

// Add adds a completion unless it is known. unsynced says that this controller is out of touch with the
// state service. A full log drops its oldest entry.
func (l *Log) Add(c peer.Completion, unsynced bool, now time.Time) {
	if _, ok := l.known[c]; ok {
		return
	}
	if len(l.entries) >= l.capacity {
		delete(l.known, l.entries[0].Completion)
		l.entries = l.entries[1:]
		l.lost++
	}
	l.last++
	l.known[c] = struct{}{}
	l.entries = append(l.entries, entry{c, l.last, now, unsynced})
}

// Cause returns how the task of a claim ended that no worker can report any more: wire.CauseDone if its
// completion is known, else "". A nil log knows of none.
func (l *Log) Cause(h *ledger.HeldClaim, task wire.TaskIndex) wire.Cause {
	if l == nil || len(l.known) == 0 {
		return ""
	}
	c := peer.Completion{Job: h.Job.ID, Task: task, Attempt: h.Attempt, Machine: h.Machine, Epoch: h.Epoch}
	if _, ok := l.known[c]; !ok {
		return ""
	}
	return wire.CauseDone
}

// Since returns at most limit completions after a number that are old enough to be shared, and the number
// of the last of them.
func (l *Log) Since(number uint64, limit int, now time.Time) ([]peer.Completion, uint64) {
	begin, _ := slices.BinarySearchFunc(l.entries, number+1, func(e entry, n uint64) int {
		return cmp.Compare(e.number, n)
	})
	var out []peer.Completion
	for _, e := range l.entries[begin:] {
		if len(out) == limit || now.Sub(e.addedAt) < shareAfter {
			break
		}
		out, number = append(out, e.Completion), e.number
	}
	return out, number
}

// EachUnrecorded calls f for the completions that were added while this controller was out of touch with
// the state service, in their order.
func (l *Log) EachUnrecorded(f func(peer.Completion)) {
	for _, e := range l.entries {
		if e.unsynced {
			f(e.Completion)
		}
	}
}

// Prune drops the completions that are on record: those added before syncedAt whose claim the records
// lack. The records must hold all that was committed before syncedAt.
func (l *Log) Prune(records *ledger.Ledger, syncedAt time.Time) {
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool {
		if !e.addedAt.Before(syncedAt) || Claimed(records, e.Completion) {
			return false
		}
		delete(l.known, e.Completion)
		return true
	})
}

// Claimed reports whether the records hold the claim of a completion.
func Claimed(records *ledger.Ledger, c peer.Completion) bool {
	_, ok := ClaimOf(records, c)
	return ok
}

// ClaimOf returns the claim of a completion; false: the records do not hold it.
func ClaimOf(records *ledger.Ledger, c peer.Completion) (ledger.HeldClaim, bool) {
	for _, h := range records.ClaimsOn(c.Machine) {
		if h.Job.ID == c.Job && h.Attempt == c.Attempt && h.Epoch == c.Epoch && h.Covers(c.Task) {
			return h, true
		}
	}
	return ledger.HeldClaim{}, false
}
