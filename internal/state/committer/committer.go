// Package committer makes a controller's decisions durable. Changes that result from reports and periodic
// tasks are queued and committed in batches, within a budget of writes to the state service; users'
// changes are committed at once. Every change is drafted from the newest records, and its transaction is
// conditioned on their versions (docs/DESIGN.md, points 1 and 2).
//
// # Types
//
// A [Change] is one state transition to be made durable; its [Class] determines its place in the queue.
// A [Committer] queues changes, drafts transactions from them, and commits these. A write is a single
// put or delete in a transaction (wire.Change); the changes of a batch that modify the same record share
// a write.
//
// # Locking
//
// A Committer has no lock. Drafts run in Records.Read, under the lock of the records, and must not
// block; commits and the wait for their outcome run without it. A Change is owned by the committer from
// Enqueue on; only its Done and Pending may be used afterwards.
//
// # Goroutines
//
// The controller calls Run once and stops it by its context; only Run accesses the queue and commits
// batches. CommitNow and Commit run in their callers' goroutines. The package starts no goroutines.
//
// # Invariants
//
//   - A change whose Done yields nil is durable and contained in the local records.
//   - Batches leave userWriteReserve of the budget unused, and best-effort changes leave half of the
//     maximum size of a transaction.
//   - A transaction whose outcome is unknown is drafted again from newer records, never resent unchanged.
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

// ErrDropped is the outcome of a change that was dropped without an attempt to commit it, because it
// expired or the queue was full.
var ErrDropped = errors.New("committer: change dropped: expired or queue full")

// Limits of queued and concurrent work.
const (
	maxQueued      = 4096 // changes submitted and not yet taken up by Run
	maxUserCommits = 32   // concurrent calls of CommitNow
)

// Records is the interface of the record cache that the committer uses.
type Records interface {
	// Read calls f with the records while it holds their lock.
	Read(f func(l *ledger.Ledger))
	// WaitForRevision waits until the records have advanced to a revision.
	WaitForRevision(ctx context.Context, r wire.Revision) error
}

// Change is one state transition to be made durable. Its fields must not be modified after Enqueue.
type Change struct {
	// Draft adds the transition to a transaction. It runs under the lock of the records, possibly several
	// times, each time on newer records. An error other than ledger.ErrTransactionFull is final and
	// becomes the outcome of the change.
	Draft func(*ledger.Transaction) error
	// Class determines the place of the change in the queue and whether it expires.
	Class Class
	// Priority is the priority of the work that the change concerns; it interleaves the changes of a class
	// (byPriority). A change without a priority is treated like the upper priorities.
	Priority wire.Priority
	// ExpiresAt is the time after which a change of a class that expires is dropped. Others ignore it.
	ExpiresAt time.Time
	// OnCommit, if not nil, is called when the change is durable.
	OnCommit func()

	queuedAt time.Time
	done     chan error // buffered; receives one value, the outcome
}

// Done returns a channel that receives one value: nil once the change is durable, or the error that ended it.
func (ch *Change) Done() <-chan error { return ch.done }

// Pending reports whether the change has no outcome yet. It is for callers that do not receive from Done:
// after the outcome has been received, it reports true again.
func (ch *Change) Pending() bool { return len(ch.done) == 0 }

// expired reports whether the change has to be dropped.
func (ch *Change) expired(now time.Time) bool { return ch.Class.expires() && now.After(ch.ExpiresAt) }

// Options are the settings of a Committer.
type Options struct {
	WriteRate float64 // this controller's share of the state service's writes per second
	TxnOps    int     // maximum number of writes of a transaction
}

// Committer makes one controller's changes durable. Run must be called once; all other methods may be called
// concurrently at any time.
type Committer struct {
	opt     Options
	records Records
	store   kvstore.Store
	stats   *metrics.Set
	log     *slog.Logger

	submitted       chan *Change
	userCommitSlots chan struct{} // semaphore: one value per running CommitNow
}

// New returns a committer. Queued changes are not committed until Run is called.
func New(opt Options, records Records, store kvstore.Store, stats *metrics.Set, log *slog.Logger) *Committer {
	return &Committer{
		opt:             opt,
		records:         records,
		store:           store,
		stats:           stats,
		log:             log,
		submitted:       make(chan *Change, maxQueued),
		userCommitSlots: make(chan struct{}, maxUserCommits),
	}
}

// Enqueue adds a change to the queue. It never blocks: when the queue is full the change is dropped, and
// the next report triggers it again.
func (c *Committer) Enqueue(ch *Change) {
	ch.done, ch.queuedAt = make(chan error, 1), time.Now()
	select {
	case c.submitted <- ch:
	default:
		ch.done <- ErrDropped
	}
}

// Run commits the queued changes, one batch at a time, until ctx is done.
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

// takeSubmitted appends the changes submitted so far to a queue.
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

// unhealthyQueueLen is the number of submitted changes above which HealthProblem reports a problem.
const unhealthyQueueLen = maxQueued / 2

// HealthProblem returns a short description of a backlog of submitted changes, or "" if there is none. It is
// the health check of a supervise.Component.
func (c *Committer) HealthProblem(time.Time) string {
	if n := len(c.submitted); n > unhealthyQueueLen {
		return fmt.Sprintf("%d changes queued", n)
	}
	return ""
}
