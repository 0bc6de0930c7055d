// Package completion keeps task completions that workers have reported but that may not be in the records
// yet. A worker discards its tasks when its lease ends. What it reported before then, during an outage of
// the state service or to a controller that has since exited, is known to controllers only, so each
// controller shares its completions with its peers (docs/meetings.md, "Completions outlive the session").
//
// # Types
//
// A [Log] holds the completions that one controller knows, in bounded memory. An [Exchange] sends them to
// the peers, each entry once to each run of a peer.
//
// # Locking and goroutines
//
// Neither type is safe for concurrent use: the caller holds the lock of the records
// (watchcache.Cache.Lock). The package starts no goroutines.
//
// # Invariants
//
//   - A completion proves the outcome of one attempt of a task on one machine in one session (epoch), and
//     nothing else.
//   - A completion is kept until records newer than it no longer contain its claim, or until the log is
//     full.
package completion

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// minShareAge is the minimum age of a completion before it is sent to peers. Nearly all completions are
// recorded earlier than that. If the controller exits before, the worker reports them again.
const minShareAge = 1500 * time.Millisecond

// Sizes of a Log.
const (
	entryBytes  = 400 // approximate memory per entry
	minCapacity = 256 // entries
)

// Capacity returns how many completions fit in the given number of bytes of memory, at least minCapacity.
func Capacity(bytes int) int { return max(minCapacity, bytes/entryBytes) }

// entry is a completion in the log.
type entry struct {
	peer.Completion
	number   uint64 // sequence number, in the order of additions
	addedAt  time.Time
	unsynced bool // added while this controller had lost contact with the state service
}

// Log holds the completions that one controller knows and that the records may not contain yet.
type Log struct {
	capacity   int
	lastNumber uint64 // number of the newest entry; numbers start at 1
	known      map[peer.Completion]struct{}
	entries    []entry // ordered by number
	dropped    int     // entries dropped because the log was full
}

// New returns an empty log that keeps at most capacity completions.
func New(capacity int) *Log {
	return &Log{capacity: capacity, known: map[peer.Completion]struct{}{}}
}

// Len returns the number of completions in the log.
func (l *Log) Len() int { return len(l.entries) }

// Dropped returns how many completions were dropped because the log was full.
func (l *Log) Dropped() int { return l.dropped }

// Add adds a completion unless the log already has it. unsynced means that this controller has lost
// contact with the state service. A full log drops its oldest entry.
func (l *Log) Add(c peer.Completion, unsynced bool, now time.Time) {
	if _, ok := l.known[c]; ok {
		return
	}
	if len(l.entries) >= l.capacity {
		delete(l.known, l.entries[0].Completion)
		l.entries = l.entries[1:]
		l.dropped++
	}
	l.lastNumber++
	l.known[c] = struct{}{}
	l.entries = append(l.entries, entry{c, l.lastNumber, now, unsynced})
}

// Cause returns the outcome of a claimed task that no worker can report any more: wire.CauseDone if the log
// has its completion, else "". A nil log is empty.
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

// Since returns at most limit completions that follow the entry with the given number and are at least
// minShareAge old, and the number of the last of them.
func (l *Log) Since(number uint64, limit int, now time.Time) ([]peer.Completion, uint64) {
	begin, _ := slices.BinarySearchFunc(l.entries, number+1, func(e entry, n uint64) int {
		return cmp.Compare(e.number, n)
	})
	var out []peer.Completion
	for _, e := range l.entries[begin:] {
		if len(out) == limit || now.Sub(e.addedAt) < minShareAge {
			break
		}
		out, number = append(out, e.Completion), e.number
	}
	return out, number
}

// EachUnrecorded calls f, in order, for the completions that were added while this controller had lost
// contact with the state service.
func (l *Log) EachUnrecorded(f func(peer.Completion)) {
	for _, e := range l.entries {
		if e.unsynced {
			f(e.Completion)
		}
	}
}

// Prune drops the completions that are already recorded: those added before syncedAt whose claim is no
// longer in the records. The records must contain everything committed before syncedAt.
func (l *Log) Prune(records *ledger.Ledger, syncedAt time.Time) {
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool {
		if !e.addedAt.Before(syncedAt) || HasClaim(records, e.Completion) {
			return false
		}
		delete(l.known, e.Completion)
		return true
	})
}

// HasClaim reports whether the records contain the claim of a completion.
func HasClaim(records *ledger.Ledger, c peer.Completion) bool {
	_, ok := ClaimOf(records, c)
	return ok
}

// ClaimOf returns the claim of a completion, and false if the records do not contain it.
func ClaimOf(records *ledger.Ledger, c peer.Completion) (ledger.HeldClaim, bool) {
	for _, h := range records.ClaimsOn(c.Machine) {
		if h.Job.ID == c.Job && h.Attempt == c.Attempt && h.Epoch == c.Epoch && h.Covers(c.Task) {
			return h, true
		}
	}
	return ledger.HeldClaim{}, false
}
