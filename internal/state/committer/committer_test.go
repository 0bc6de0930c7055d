package committer

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// fakeStore is a state service with a write budget that does not refill.
type fakeStore struct {
	kvstore.Store
	budget int
	sizes  []int // writes of each committed transaction
}

func (s *fakeStore) AvailableChanges() int { return s.budget }

func (s *fakeStore) Commit(_ context.Context, txn wire.Txn) (wire.Revision, error) {
	s.sizes = append(s.sizes, len(txn.Then))
	s.budget -= len(txn.Then)
	return 0, nil
}

// fixedRecords are records that never advance.
type fixedRecords struct{ *ledger.Ledger }

func (r fixedRecords) Read(f func(*ledger.Ledger)) { f(r.Ledger) }

func (r fixedRecords) WaitForRevision(context.Context, wire.Revision) error { return nil }

const txnOps = 12

// newCommitter returns a committer on a store whose transactions have at most ops writes, and the ledger
// that it reads.
func newCommitter(s *fakeStore, ops int) (*Committer, *ledger.Ledger) {
	l := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: ops, TxnBytes: kvstore.MaxTxnBytes})
	opt := Options{WriteRate: 40.0 / 3, TxnOps: ops}
	return New(opt, fixedRecords{l}, s, metrics.New(), slog.New(slog.DiscardHandler)), l
}

func jobID(i int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", i)) }

// addJob adds the record of a job. fields is JSON that follows the ID in the specification; rest is JSON
// that follows the specification.
func addJob(l *ledger.Ledger, i int, fields, rest string) {
	l.Apply(ledger.Event{
		Key:     "mm1/j/" + string(jobID(i)),
		Version: wire.Revision(i + 1),
		Value: fmt.Appendf(nil,
			`{"spec":{"id":%q,%s,"shape":"array","owner":"free"},"at":1,"a":1%s}`, jobID(i), fields, rest),
	})
}

// release returns a change that records the completion of a task claimed by host-1.
func release(l *ledger.Ledger, job, task int) *Change {
	return &Change{done: make(chan error, 1), Draft: func(txn *ledger.Transaction) error {
		claim := ledger.Claim{Attempt: 1, Machine: "host-1", Zone: "a", Epoch: 1, Token: 1}
		_, err := txn.ReleaseTasks(l.Job(jobID(job)), claim, []wire.TaskIndex{wire.TaskIndex(task)}, true)
		return err
	}}
}

// TestBatchKeepsToTheBudget checks that a batch has no more writes than the budget allows, leaves
// userWriteReserve, and still includes changes that only modify a record that it writes already. It guards
// against two failures: batches of a full transaction waited for the budget until they timed out, with all
// starts in them; and batches that stopped at the first change that did not fit wrote one job's record ten
// times a second.
func TestBatchKeepsToTheBudget(t *testing.T) {
	s := &fakeStore{budget: 10}
	c, l := newCommitter(s, txnOps)
	var queue []*Change
	for i := range 12 {
		addJob(l, i, `"pieces":20`, `,"c":[[0,20,1,"host-1","a",1,1]]`)
		queue = append(queue, release(l, i, 0))
	}
	for i := range 5 {
		queue = append(queue, release(l, 0, i+1)) // modifies a record that the batch writes already
	}
	left := c.commitBatch(t.Context(), queue)
	if want := 10 - userWriteReserve; len(s.sizes) != 1 || s.sizes[0] != want {
		t.Errorf("batches of %v writes, want one of %d", s.sizes, want)
	}
	if want := 12 - (10 - userWriteReserve); len(left) != want {
		t.Errorf("%d changes left, want %d", len(left), want)
	}
}

// TestSmallestBudget checks that a batch is committed when transactions are limited to two writes: the
// budget then never holds more, so the batch must not wait for more.
func TestSmallestBudget(t *testing.T) {
	s := &fakeStore{budget: 2}
	c, l := newCommitter(s, 2)
	addJob(l, 1, `"pieces":1`, `,"c":[[0,1,1,"host-1","a",1,1]]`)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.commitBatch(ctx, []*Change{release(l, 1, 0)})
	if len(s.sizes) != 1 || ctx.Err() != nil {
		t.Errorf("batches of %v writes, context %v; want one batch before the end of the context", s.sizes, ctx.Err())
	}
}

// numbers returns the numbers that numbered stored in the ExpiresAt of each change, in the order of a queue.
func numbers(queue []*Change) string {
	var out strings.Builder
	for _, ch := range queue {
		fmt.Fprint(&out, ch.ExpiresAt.Unix())
	}
	return out.String()
}

// numbered returns one change of each class. Their ExpiresAt holds their number, from 0.
func numbered(classes ...Class) []*Change {
	var queue []*Change
	for i, class := range classes {
		queue = append(queue, &Change{Class: class, ExpiresAt: time.Unix(int64(i), 0)})
	}
	return queue
}

// TestOrderByClass checks that starts are not delayed by a large number of records, and that both keep their
// own order.
func TestOrderByClass(t *testing.T) {
	const (
		record       = ClassRecord
		start        = ClassStart
		overdueStart = ClassOverdueStart
	)
	now := time.Unix(0, 0)
	for _, tc := range []struct {
		name    string
		classes []Class
		want    string
	}{
		{"records and starts", []Class{record, record, record, record, start, start}, "041523"},
		{"an overdue start", []Class{record, record, record, record, start, overdueStart}, "051423"},
		{"urgent first", []Class{record, start, overdueStart, ClassUrgent, ClassUrgent}, "34021"},
		{
			"best-effort last",
			[]Class{ClassBestEffortOverdueStart, ClassBestEffortStart, start, overdueStart, record, ClassUrgent},
			"543201",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := numbers(order(numbered(tc.classes...), now)); got != tc.want {
				t.Errorf("order %s, want %s", got, tc.want)
			}
		})
	}
	t.Run("best-effort records by age", func(t *testing.T) {
		queue := numbered(ClassBestEffortRecord, ClassBestEffortRecord, ClassRecord)
		queue[0].queuedAt, queue[1].queuedAt = now, now.Add(-bestEffortDelay)
		if got, want := numbers(order(queue, now)), "120"; got != want {
			t.Errorf("order %s, want %s", got, want)
		}
	})
}

// TestOrderByPriority checks the weighted round-robin over priorities. It guards against two failures: gangs
// submitted together with 2,000 service tasks waited for two reports, since their starts expired in the
// queue behind those of the services; and when a zone was lost, the release of the claims of its services
// took over a minute, since it was queued among thousands of others.
func TestOrderByPriority(t *testing.T) {
	priorities := []wire.Priority{
		wire.Normal, wire.Normal,
		wire.Production, wire.Production, wire.Production, wire.Production, wire.Production,
		wire.High, wire.High,
	}
	for name, class := range map[string]Class{"starts": ClassStart, "records": ClassRecord} {
		t.Run(name, func(t *testing.T) {
			queue := numbered(slices.Repeat([]Class{class}, len(priorities))...)
			for i, p := range priorities {
				queue[i].Priority = p
			}
			if got, want := numbers(order(queue, time.Unix(0, 0))), "273084516"; got != want {
				t.Errorf("order %s, want %s", got, want)
			}
		})
	}
}

// TestAsBestEffort checks that a best-effort class expires and is overdue like the class that it derives from.
func TestAsBestEffort(t *testing.T) {
	for _, class := range []Class{ClassRecord, ClassStart, ClassOverdueStart} {
		got := class.AsBestEffort()
		if !got.bestEffort() || got.expires() != class.expires() || got.overdue() != class.overdue() {
			t.Errorf("best effort of class %d: class %d, best effort %v, expires %v, overdue %v",
				class, got, got.bestEffort(), got.expires(), got.overdue())
		}
		if class.bestEffort() {
			t.Errorf("class %d is best effort", class)
		}
	}
	if got := ClassUrgent.AsBestEffort(); got != ClassUrgent {
		t.Errorf("best effort of an urgent change: class %d, want %d", got, ClassUrgent)
	}
}

// cancellations adds jobs and returns the changes that cancel them, all queued at the same time: the
// best-effort ones first.
func cancellations(l *ledger.Ledger, bestEffort, others int, at time.Time) []*Change {
	var queue []*Change
	for i := range bestEffort + others {
		addJob(l, i, `"pieces":1,"cores":1`, "")
		class := ClassRecord
		if i < bestEffort {
			class = ClassBestEffortRecord
		}
		queue = append(queue, &Change{
			done:     make(chan error, 1),
			Class:    class,
			queuedAt: at,
			Draft: func(txn *ledger.Transaction) error {
				_, err := txn.Cancel(l.Job(jobID(i)))
				return err
			},
		})
	}
	return queue
}

// TestBestEffortLeavesRoom checks that best-effort changes come after all others and leave half of a
// transaction's writes in the budget, and that records do not wait forever (starts expire instead). It
// guards against a huge best-effort array using up the whole budget, so that urgent starts waited for it
// to refill.
func TestBestEffortLeavesRoom(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name       string
		budget     int
		others     int
		bestEffort int
		age        time.Duration
		deferred   bool
		size       int  // writes of the transaction
		lastYields bool // the last change of the transaction is best-effort
	}{
		{"others only", 10, 12, 0, 0, false, 8, false},
		{"others first", 12, 3, 9, 0, false, 4, true},
		{"best effort alone, plenty of budget", 16, 0, 9, 0, false, 8, true},
		{"best effort alone, little budget", 10, 0, 9, 0, true, 0, false},
		{"best effort alone for long", 10, 0, 9, time.Minute, false, 8, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &fakeStore{budget: tc.budget}
			c, l := newCommitter(s, txnOps)
			queue := cancellations(l, tc.bestEffort, tc.others, now.Add(-tc.age))
			if got := c.deferBatch(queue, now); got != tc.deferred {
				t.Errorf("deferred %v, want %v", got, tc.deferred)
			}
			if tc.deferred {
				return
			}
			left := c.commitBatch(t.Context(), queue)
			if len(s.sizes) != 1 || s.sizes[0] != tc.size {
				t.Errorf("batches of %v writes, want one of %d", s.sizes, tc.size)
			}
			for _, ch := range left {
				if !ch.Class.bestEffort() && tc.lastYields {
					t.Error("a best-effort change was committed before one that is not")
				}
			}
		})
	}
}

// TestBestEffortWithSmallTransactions checks that best-effort starts are still committed when transactions
// are limited to few writes, and the budget never holds more than that.
func TestBestEffortWithSmallTransactions(t *testing.T) {
	for _, ops := range []int{2, 4, 8} {
		t.Run(fmt.Sprint(ops), func(t *testing.T) {
			s := &fakeStore{budget: ops}
			c, l := newCommitter(s, ops)
			addJob(l, 1, `"pieces":1,"cores":1`, "")
			now := time.Now()
			queue := []*Change{{
				done:      make(chan error, 1),
				Class:     ClassBestEffortStart,
				ExpiresAt: now.Add(time.Minute),
				queuedAt:  now,
				Draft: func(txn *ledger.Transaction) error {
					target := ledger.ClaimTarget{Machine: "host-1", Zone: "a", Epoch: 1, Token: 1}
					_, err := txn.Claim(l.Job(jobID(1)), target, 1, nil)
					return err
				},
			}}
			if c.deferBatch(queue, now) {
				t.Fatal("deferred although the budget is full")
			}
			if left := c.commitBatch(t.Context(), queue); len(left) > 0 || len(s.sizes) != 1 {
				t.Errorf("%d changes left, batches of %v writes; want none left and one batch", len(left), s.sizes)
			}
		})
	}
}
