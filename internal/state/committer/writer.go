// Package committer is the part of a controller that makes its decisions durable: changes of
// reports and duties in batches that keep to the budget of changes, users' at once. Every
// step is drafted over the newest records and conditioned on them (docs/DESIGN.md, points 1
// and 2).
package committer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// ErrDropped: a start was given up before it was tried, or the queue is full.
var ErrDropped = errors.New("writer: start dropped")

// Records is what the writer needs of the mirror of the records.
type Records interface {
	Read(f func(l *ledger.Ledger))
	WaitForRevision(ctx context.Context, r wire.Revision) error
}

// Change is one step to be made durable. Its draft function may run several times, each time
// over newer records, under the mirror's lock.
type Change struct {
	Draft      func(*ledger.Transaction) error
	Expires    bool // a start: given up after Until
	ExpiresAt  time.Time
	Urgent     bool          // of what nobody can tell once this process ends: before all others
	Overdue    bool          // of work that has waited for too long: before other starts
	Priority   wire.Priority // of what it is about; "": it comes with the highest
	BestEffort bool          // of work that only takes what others leave
	OnCommit   func()        // called once it is durable, if given

	asked time.Time
	done  chan error // gets one value
}

// Done gets one value: nil once the change is durable, or why it was not made.
func (ch *Change) Done() <-chan error { return ch.done }

// Pending reports whether the change is neither made nor dropped yet, as far as nobody has taken from Done.
func (ch *Change) Pending() bool { return len(ch.done) == 0 }

// Options are the settings of a writer.
type Options struct {
	Changes float64 // a second, this controller's share
	TxnOps  int     // changes that a transaction may have
}

// Committer is that part of a controller. Run runs once; all else may be called at any time.
type Committer struct {
	opt    Options
	mirror Records
	store  kvstore.Store
	stats  *metrics.Set
	log    *slog.Logger

	submitted chan *Change
	users     chan struct{} // bounds users' transactions in flight
}

// Bounds of what is under way.
const (
	mostQueued = 4096
	mostUsers  = 32
)

// New returns a writer that takes changes and writes none before Run.
func New(opt Options, mirror Records, store kvstore.Store, stats *metrics.Set, log *slog.Logger) *Committer {
	return &Committer{opt: opt, mirror: mirror, store: store, stats: stats, log: log,
		submitted: make(chan *Change, mostQueued), users: make(chan struct{}, mostUsers)}
}

// Enqueue adds a change to the next batch. It never waits.
func (w *Committer) Enqueue(ch *Change) {
	ch.done, ch.asked = make(chan error, 1), time.Now()
	select {
	case w.submitted <- ch:
	default:
		ch.done <- ErrDropped // the queue is full: the next report asks again
	}
}

// batchEvery is how long changes of reports are gathered: about as long as this
// controller's share of changes takes to grow by one.
func (w *Committer) batchEvery() time.Duration {
	return time.Duration(float64(time.Second) / min(10, max(2, w.opt.Changes)))
}

// mostTried bounds how much of a long queue a full batch is tried on.
const mostTried = 200

// changesForUsers is what batches leave of the budget for users' requests.
const changesForUsers = 2

// Run commits what reports and duties ask for, gathered into one
// transaction at a time.
func (w *Committer) Run(ctx context.Context) error {
	var queue []*Change
	for {
		if len(queue) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case ch := <-w.submitted:
				queue = append(queue, ch)
			}
			wait.For(ctx, w.batchEvery()/4)
		}
	gather:
		for {
			select {
			case ch := <-w.submitted:
				queue = append(queue, ch)
			default:
				break gather
			}
		}
		if w.waits(queue, time.Now()) {
			wait.For(ctx, w.batchEvery()/2)
			continue
		}
		began := time.Now()
		queue = w.writeBatch(ctx, queue)
		if rest := w.batchEvery() - time.Since(began); rest > 0 {
			wait.For(ctx, rest)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// leastBatch is how many changes a batch waits for when the budget is short: an eighth of a second's
// share. With few changes to spare queues are long, and so batches gather enough for each record that
// they write; to wait for more only keeps machines idle.
func (w *Committer) leastBatch() int { return w.shareOf(8) }

// leastPlenty is how many more changes than what they are to leave spare changes wait for.
func (w *Committer) leastPlenty() int { return w.shareOf(2) }

// shareOf is a part of the changes of a second, as a transaction may have them.
func (w *Committer) shareOf(second float64) int {
	return max(2, min(w.opt.TxnOps, int(w.opt.Changes/second)))
}

// urgentTurns is how many changes of production's and high priority come before one of less.
const urgentTurns = 3

// alternate orders a queue so that starts, which are given up after a while, and all else take
// turns: in a flood of exits no start would ever be in time otherwise. Starts of what is late come
// before other starts. What nobody could tell again comes first: there is little of it, and only
// after an outage.
func alternate(queue []*Change) []*Change {
	var first, others, late, starts []*Change
	for _, ch := range queue {
		switch {
		case ch.Urgent:
			first = append(first, ch)
		case !ch.Expires:
			others = append(others, ch)
		case ch.Overdue:
			late = append(late, ch)
		default:
			starts = append(starts, ch)
		}
	}
	return append(first, turns(byPriority(others), append(late, byPriority(starts)...))...)
}

// byPriority has changes of all priorities take turns, the upper two more often, each in its own
// order. In a flood of one priority, also the highest, the few starts of another would be given up
// one report after the other; and where a zone is lost, its services can begin elsewhere only once
// their claims there are released, among those of thousands of other tasks.
func byPriority(queue []*Change) []*Change {
	var of [5][]*Change
	for _, ch := range queue {
		n := ch.Priority.Rank() + 1 // 0: none is told
		of[n] = append(of[n], ch)
	}
	urgent, rest := turns(of[:3]...), turns(of[3:]...)
	out := make([]*Change, 0, len(queue))
	for len(urgent) > 0 && len(rest) > 0 {
		n := min(urgentTurns, len(urgent))
		out = append(append(out, urgent[:n]...), rest[0])
		urgent, rest = urgent[n:], rest[1:]
	}
	return append(append(out, urgent...), rest...)
}

// turns takes one of each list at a time, in the lists' order.
func turns(lists ...[]*Change) (out []*Change) {
	for i, more := 0, true; more; i++ {
		more = false
		for _, l := range lists {
			if i < len(l) {
				out, more = append(out, l[i]), true
			}
		}
	}
	return out
}

// spareAfter is how long changes of work that takes what others leave, other than its
// starts, come after all others.
const spareAfter = 10 * time.Second

// leastSpare is how many changes a start needs: its job's record and its team's.
const leastSpare = 2

// isSpare reports whether a change is to leave room in the budget for others.
func (ch *Change) isSpare(now time.Time) bool {
	return ch.BestEffort && (ch.Expires || now.Sub(ch.asked) < spareAfter)
}

// reserve is the part of the budget that spare changes leave: a start of other work
// that comes the next moment must not wait for it to grow back.
func (w *Committer) reserve() int { return w.opt.TxnOps / 2 }

// plenty reports whether the budget has room for a batch beside what spare changes are
// to leave, or for all that it may ever have: where transactions are small that is less.
func (w *Committer) plenty() bool {
	return w.store.AvailableChanges() >= min(w.reserve()+w.leastPlenty()+changesForUsers, w.opt.TxnOps)
}

// waits reports whether a queue holds spare changes only, and the budget little more
// than what they are to leave.
func (w *Committer) waits(queue []*Change, now time.Time) bool {
	return !w.plenty() &&
		!slices.ContainsFunc(
			queue,
			func(ch *Change) bool { return !ch.isSpare(now) || ch.Expires && now.After(ch.ExpiresAt) },
		)
}

// writeBatch commits as many changes as fit and returns those left. A batch larger
// than what the budget has left would wait for it, be given up, and be drafted anew
// for ever; one that leaves nothing would keep users waiting. Changes after the one
// that fills the batch are still tried: many of them only add to a record in it.
func (w *Committer) writeBatch(ctx context.Context, queue []*Change) []*Change {
	// No more than a transaction's changes may be waited for: the budget may never
	// hold more.
	least := min(w.leastBatch()+changesForUsers, w.opt.TxnOps)
	for w.store.AvailableChanges() < least && ctx.Err() == nil {
		wait.For(ctx, w.batchEvery()/2)
	}
	changes := max(2, w.store.AvailableChanges()-changesForUsers)
	in, left, txn, err := w.draft(queue, changes)
	if len(txn.Then) == 0 {
		for _, ch := range in {
			ch.done <- nil
		}
		return left
	}
	if err == nil {
		_, err = w.Commit(ctx, txn)
	}
	if err == nil {
		for _, ch := range in {
			if ch.OnCommit != nil {
				ch.OnCommit()
			}
			ch.done <- nil
		}
		return left
	}
	w.stats.Add("transactions_failed_total", 1)
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		// Refused or unknown: if unknown it may still land, which then shows in
		// the ledger; what is tried again is conditioned on the same versions.
		w.log.Debug("batch failed", "changes", len(txn.Then), "err", err)
		wait.For(ctx, 100*time.Millisecond)
	}
	// After a conflict all of the batch is drafted anew over the newer ledger: what
	// no longer holds is refused there, and the rest is not lost to a neighbour in
	// the batch. Starts of a capped team conflict with each other all the time.
	return append(in, left...)
}

// dated tells a draft the time of day.
func dated(d *ledger.Transaction) *ledger.Transaction {
	d.SetTime(wire.UnixMillis(time.Now().UnixMilli()))
	return d
}

// draft gathers what of a queue fits into a number of changes, and tells what is left.
func (w *Committer) draft(queue []*Change, changes int) (in, left []*Change, txn wire.Txn, err error) {
	w.mirror.Read(func(l *ledger.Ledger) {
		d := dated(l.NewTransactionOf(changes))
		now := time.Now()
		add := func(d *ledger.Transaction, ch *Change) {
			switch err := ch.Draft(d); {
			case err == nil:
				in = append(in, ch)
			case errors.Is(err, ledger.ErrTransactionFull):
				left = append(left, ch)
			default:
				ch.done <- err
			}
		}
		queue = alternate(queue)
		slices.SortStableFunc(queue, func(a, b *Change) int {
			switch x, y := a.isSpare(now), b.isSpare(now); {
			case x == y:
				return 0
			case y:
				return -1
			}
			return 1
		})
		spare := false
		for i, ch := range queue {
			if !spare && ch.isSpare(now) {
				spare = true
				least := 0
				if w.plenty() {
					least = leastSpare
				}
				d.Limit(max(least, changes-w.reserve()))
			}
			switch {
			case ch.Expires && now.After(ch.ExpiresAt):
				ch.done <- ErrDropped
			case i > mostTried && len(left) > 0:
				left = append(left, ch)
			default:
				add(d, ch)
			}
		}
		if len(in) == 0 && len(left) > 0 && !left[0].isSpare(now) {
			// The first alone is more than the budget has room for: let it wait.
			first := left[0]
			left = left[1:]
			d = dated(l.NewTransaction())
			add(d, first)
		}
		txn, err = d.Request()
	})
	return in, left, txn, err
}

// Commit runs a transaction, waits until the mirror shows its outcome, and tells the revision.
func (w *Committer) Commit(ctx context.Context, txn wire.Txn) (wire.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	w.stats.Add("transactions_total", 1)
	rev, err := w.store.Commit(ctx, txn)
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		w.stats.Add("conflicts_total", 1)
		w.log.Debug("conflict", "keys", conflict.Failed)
		rev = conflict.Revision
	} else if err != nil {
		return 0, err
	}
	if e := w.mirror.WaitForRevision(ctx, rev); e != nil {
		return 0, e
	}
	return rev, err
}

// CommitNow commits one user's change at once, trying again on conflicts. An
// error other than the draft's own leaves the outcome open.
func (w *Committer) CommitNow(ctx context.Context, draft func(*ledger.Transaction) error) error {
	select {
	case w.users <- struct{}{}:
		defer func() { <-w.users }()
	case <-ctx.Done():
		return kvstore.ErrUnreachable
	}
	for ctx.Err() == nil {
		var txn wire.Txn
		var err error
		w.mirror.Read(func(l *ledger.Ledger) {
			d := dated(l.NewTransaction())
			err = draft(d)
			var e error
			txn, e = d.Request()
			err = errors.Join(err, e)
		})
		if err != nil {
			return err
		}
		if len(txn.Then) == 0 {
			return nil
		}
		_, err = w.Commit(ctx, txn)
		var conflict *kvstore.ConflictError
		if errors.As(err, &conflict) {
			if slices.ContainsFunc(conflict.Failed, ledger.IsFinalKey) {
				return ledger.ErrPreconditionFailed // the job is archived, which the ledger can't tell
			}
			continue
		}
		if errors.Is(err, kvstore.ErrRefused) {
			wait.For(ctx, 100*time.Millisecond)
			continue
		}
		if err != nil {
			return errors.Join(kvstore.ErrUnreachable, err)
		}
		return nil
	}
	return kvstore.ErrUnreachable
}

// SpareCapacity is how many changes a transaction may have now that is in nobody's way: none while
// changes of reports wait, and otherwise what leaves room for a start that comes the next
// moment.
func (w *Committer) SpareCapacity() int {
	if len(w.submitted) > 0 || !w.plenty() {
		return 0
	}
	return max(5, w.store.AvailableChanges()-w.reserve())
}

// HasSpareCapacity reports whether the budget has more than what spare changes leave.
func (w *Committer) HasSpareCapacity() bool { return w.store.AvailableChanges() > w.reserve() }

// longQueue is how much of the queue may wait without that being worth telling of.
const longQueue = mostQueued / 2

// HealthProblem tells what keeps changes from being made durable; "": nothing.
func (w *Committer) HealthProblem(time.Time) string {
	if n := len(w.submitted); n > longQueue {
		return fmt.Sprintf("%d changes wait", n)
	}
	return ""
}
