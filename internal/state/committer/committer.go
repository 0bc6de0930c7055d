// Package committer makes a controller's decisions durable. Changes that reports and periodic duties
// ask for are committed in batches within the budget of changes, users' changes at once. Every change
// is drafted over the newest records, and its transaction is conditioned on them (docs/DESIGN.md,
// points 1 and 2).
//
// # Types
//
// A [Change] is one step to be made durable; its [Class] is its urgency, of which class.go has the
// order. A [Committer] queues changes, drafts batches of them, and commits transactions.
//
// # Locking
//
// A Committer has no lock. Drafts run in Records.Read, under the lock of the records, and must not
// wait; commits and the wait for their outcome run without it. A Change belongs to the committer from
// Enqueue on; only its Done and Pending may be used afterwards.
//
// # Goroutines
//
// The controller runs Run once and ends it by its context; it alone holds the queue and commits
// batches. CommitNow and Commit run in their callers' goroutines. The package starts none itself.
//
// # Invariants
//
//   - A change whose Done gives nil is durable, and the records show it.
//   - A batch leaves changesForUsers of the budget, and best-effort changes leave half a transaction's.
//   - A transaction whose outcome is unknown is drafted again over newer records, never sent again as
//     it was.
package committer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// ErrDropped is the outcome of a change that was given up before it was tried: it expired, or the
// queue was full.
var ErrDropped = errors.New("committer: change dropped before it was tried")

// Bounds of what is under way.
const (
	maxQueued      = 4096 // changes submitted and not yet taken in by Run
	maxUserCommits = 32   // users' transactions in flight
)

// Records is what the committer needs of the cache of the records.
type Records interface {
	// Read calls f with the records, under their lock.
	Read(f func(l *ledger.Ledger))
	// WaitForRevision waits until the records have advanced to a revision.
	WaitForRevision(ctx context.Context, r wire.Revision) error
}

// Change is one step to be made durable. Its fields are set before Enqueue and not changed after.
type Change struct {
	// Draft adds the step to a transaction. It may run several times, each time over newer records,
	// under their lock. An error other than ledger.ErrTransactionFull is the outcome of the change.
	Draft func(*ledger.Transaction) error
	// Class is how urgent the change is.
	Class Class
	// Priority is that of the work that the change is about, which orders changes of one class.
	// "": the change takes turns with those of the upper priorities.
	Priority wire.Priority
	// ExpiresAt is when a change of a class that expires is given up; others ignore it.
	ExpiresAt time.Time
	// OnCommit is called once the change is durable; nil: nothing is.
	OnCommit func()

	queuedAt time.Time
	done     chan error // gets one value
}

// Done returns a channel that gets one value: nil once the change is durable, or why it was not made.
func (ch *Change) Done() <-chan error { return ch.done }

// Pending reports whether the change has no outcome yet. It is for those who do not receive from Done:
// once the outcome was received, it reports true again.
func (ch *Change) Pending() bool { return len(ch.done) == 0 }

// expired reports whether the change is to be given up.
func (ch *Change) expired(now time.Time) bool { return ch.Class.expires() && now.After(ch.ExpiresAt) }

// Options are the settings of a Committer.
type Options struct {
	Changes float64 // this controller's share of the state service's changes a second
	TxnOps  int     // changes that a transaction may have
}

// Committer makes one controller's changes durable. Run runs once; all other methods may be called at
// any time.
type Committer struct {
	opt     Options
	records Records
	store   kvstore.Store
	stats   *metrics.Set
	log     *slog.Logger

	submitted   chan *Change
	userCommits chan struct{} // holds one value for each of users' transactions in flight
}

// New returns a committer that queues changes and commits none before Run.
func New(opt Options, records Records, store kvstore.Store, stats *metrics.Set, log *slog.Logger) *Committer {
	return &Committer{
		opt:         opt,
		records:     records,
		store:       store,
		stats:       stats,
		log:         log,
		submitted:   make(chan *Change, maxQueued),
		userCommits: make(chan struct{}, maxUserCommits),
	}
}

// Enqueue adds a change to the queue. It never waits: a change that finds the queue full is dropped,
// and the next report asks for it again.
func (c *Committer) Enqueue(ch *Change) {
	ch.done, ch.queuedAt = make(chan error, 1), time.Now()
	select {
	case c.submitted <- ch:
	default:
		ch.done <- ErrDropped
	}
}

// Run commits the queued changes, one batch at a time, until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	var queue []*Change
	for {
		if len(queue) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case ch := <-c.submitted:
				queue = append(queue, ch)
			}
			wait.For(ctx, c.batchInterval()/4)
		}
		queue = c.takeSubmitted(queue)
		if c.deferBatch(queue, time.Now()) {
			wait.For(ctx, c.batchInterval()/2)
			continue
		}
		start := time.Now()
		queue = c.commitBatch(ctx, queue)
		if rest := c.batchInterval() - time.Since(start); rest > 0 {
			wait.For(ctx, rest)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// takeSubmitted adds the changes submitted so far to a queue.
func (c *Committer) takeSubmitted(queue []*Change) []*Change {
	for {
		select {
		case ch := <-c.submitted:
			queue = append(queue, ch)
		default:
			return queue
		}
	}
}

// longQueue is how many changes may wait in the queue without that being a health problem.
const longQueue = maxQueued / 2

// HealthProblem returns in a few words what keeps changes from being made durable; "": nothing. It is
// a supervise.Component's check.
func (c *Committer) HealthProblem(time.Time) string {
	if n := len(c.submitted); n > longQueue {
		return fmt.Sprintf("%d changes wait", n)
	}
	return ""
}
