package committer

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// scarce is a state service with a budget of changes that does not refill.
type scarce struct {
	kvstore.Store
	budget int
	sizes  []int
}

// records are a mirror that nothing follows.
type records struct{ *ledger.Ledger }

func (r records) Read(f func(*ledger.Ledger)) { f(r.Ledger) }

func (r records) WaitForRevision(context.Context, wire.Revision) error { return nil }

const txnOps = 12

func writerOn(s kvstore.Store, ops int) (*Committer, *ledger.Ledger) {
	led := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: ops, TxnBytes: kvstore.TxnBytes})
	return New(
		Options{Changes: 40.0 / 3, TxnOps: ops},
		records{led},
		s,
		metrics.New(),
		slog.New(slog.DiscardHandler),
	), led
}

func addJob(led *ledger.Ledger, i int) {
	led.Apply(ledger.Event{
		Key:     fmt.Sprintf("mm1/j/wk-%06d", i),
		Version: wire.Revision(i + 1),
		Value: fmt.Appendf(
			nil,
			`{"spec":{"id":"wk-%06d","pieces":1,"shape":"array","owner":"free","cores":1},"at":1,"a":1}`,
			i,
		),
	})
}

func (s *scarce) AvailableChanges() int { return s.budget }

func (s *scarce) Commit(_ context.Context, t wire.Txn) (wire.Revision, error) {
	s.sizes = append(s.sizes, len(t.Then))
	s.budget -= len(t.Then)
	return 0, nil
}

// TestBatchKeepsToTheBudget: a batch has no more changes than the budget has room for,
// leaves some for users, and still takes in what only adds to a record that it writes
// already. Batches of a whole transaction's size once waited for the budget until they
// were given up, with all starts in them; batches that stopped at the first change that
// did not fit wrote one job's record ten times a second.
func TestBatchKeepsToTheBudget(t *testing.T) {
	s := &scarce{budget: 10}
	c, led := writerOn(s, txnOps)
	id := func(i int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", i)) }
	for i := range 12 {
		value := fmt.Sprintf(
			`{"spec":{"id":"%s","pieces":20,"shape":"array","owner":"free"},"at":1,"a":1,"c":[[0,20,1,"host-1","a",1,1]]}`,
			id(i),
		)
		led.Apply(ledger.Event{Key: "mm1/j/" + string(id(i)), Value: []byte(value), Version: wire.Revision(i + 1)})
	}
	exit := func(job, task int) *Change {
		return &Change{done: make(chan error, 1), Draft: func(d *ledger.Transaction) error {
			j := led.Job(id(job))
			_, err := d.ReleaseTasks(
				j,
				ledger.Claim{Attempt: 1, Machine: "host-1", Zone: "a", Session: 1, Token: 1},
				[]wire.TaskIndex{wire.TaskIndex(task)},
				true,
			)
			return err
		}}
	}
	var queue []*Change
	for i := range 12 {
		queue = append(queue, exit(i, 0))
	}
	for i := range 5 {
		queue = append(queue, exit(0, i+1)) // to a record that the batch writes already
	}
	left := c.writeBatch(t.Context(), queue)
	if len(s.sizes) != 1 || s.sizes[0] != 10-changesForUsers {
		t.Errorf("batches of %v changes with room for 10", s.sizes)
	}
	if want := 12 - (10 - changesForUsers); len(left) != want {
		t.Errorf("%d changes left, want %d", len(left), want)
	}
}

// TestSmallestBudget: where a transaction takes only two changes the budget never holds
// more, and batches must not wait for it to.
func TestSmallestBudget(t *testing.T) {
	s := &scarce{budget: 2}
	c, led := writerOn(s, 2)
	led.Apply(ledger.Event{
		Key:     "mm1/j/wk-000001",
		Version: 1,
		Value: []byte(
			`{"spec":{"id":"wk-000001","pieces":1,"shape":"array","owner":"free"},"at":1,"a":1,"c":[[0,1,1,"host-1","a",1,1]]}`,
		),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.writeBatch(ctx, []*Change{{done: make(chan error, 1), Draft: func(d *ledger.Transaction) error {
		_, err := d.ReleaseTasks(
			led.Job("wk-000001"),
			ledger.Claim{Attempt: 1, Machine: "host-1", Zone: "a", Session: 1, Token: 1},
			[]wire.TaskIndex{0},
			true,
		)
		return err
	}}})
	if len(s.sizes) != 1 || ctx.Err() != nil {
		t.Errorf("batches of %v changes with a budget of two", s.sizes)
	}
}

// TestStartsAndExitsTakeTurns: in a flood of exits starts are still tried, and neither
// kind changes its own order.
func TestStartsAndExitsTakeTurns(t *testing.T) {
	var queue []*Change
	for i := range 6 {
		queue = append(queue, &Change{Expires: i >= 4, ExpiresAt: time.Unix(int64(i), 0)})
	}
	got := ""
	for _, ch := range alternate(queue) {
		got += fmt.Sprint(ch.ExpiresAt.Unix())
	}
	if got != "041523" {
		t.Errorf("order %s", got)
	}
	// Starts of what has waited for too long come before others.
	queue[5].Overdue = true
	got = ""
	for _, ch := range alternate(queue) {
		got += fmt.Sprint(ch.ExpiresAt.Unix())
	}
	if got != "051423" {
		t.Errorf("order %s with a late start", got)
	}
	// Changes of all priorities take turns, upper ones more often. Gangs that came with 2,000 tasks of
	// services once waited for two reports, since their starts were given up in the queue behind the
	// services'; and when a zone was lost, claims of its services were released among thousands of
	// others, over a minute and more.
	for _, drop := range []bool{true, false} {
		queue = nil
		for i, work := range []wire.Priority{wire.Normal, wire.Normal, wire.Production, wire.Production, wire.Production, wire.Production, wire.Production, wire.High, wire.High} {
			queue = append(queue, &Change{Expires: drop, Priority: work, ExpiresAt: time.Unix(int64(i), 0)})
		}
		got = ""
		for _, ch := range alternate(queue) {
			got += fmt.Sprint(ch.ExpiresAt.Unix())
		}
		if got != "273084516" {
			t.Errorf("order %s of several priorities, starts %v", got, drop)
		}
	}
}

// TestSpareChangesLeaveRoom: changes of work that only takes what others leave come
// after all others and leave half of a transaction's changes of the budget, but do not
// wait for ever, except starts, which expire. A guest's huge array once took all changes,
// and urgent starts waited for the budget to grow back.
func TestSpareChangesLeaveRoom(t *testing.T) {
	now := time.Now()
	mark := func(led *ledger.Ledger, i int, spare bool, age time.Duration) *Change {
		return &Change{
			done:       make(chan error, 1),
			BestEffort: spare,
			asked:      now.Add(-age),
			Draft: func(d *ledger.Transaction) error {
				_, err := d.Cancel(led.Job(wire.JobID(fmt.Sprintf("wk-%06d", i))))
				return err
			},
		}
	}
	for _, tc := range []struct {
		name     string
		budget   int
		others   int
		spare    int
		age      time.Duration
		waits    bool
		made     int
		lastKind bool // what is last in the transaction is spare
	}{
		{"others only", 10, 12, 0, 0, false, 8, false},
		{"others first", 12, 3, 9, 0, false, 4, true},
		{"spare alone, plenty of budget", 16, 0, 9, 0, false, 8, true},
		{"spare alone, little budget", 10, 0, 9, 0, true, 0, false},
		{"spare alone for long", 10, 0, 9, time.Minute, false, 8, false},
	} {
		s := &scarce{budget: tc.budget}
		c, led := writerOn(s, txnOps)
		var queue []*Change
		for i := range tc.spare + tc.others {
			addJob(led, i)
			queue = append(queue, mark(led, i, i < tc.spare, tc.age))
		}
		if got := c.waits(queue, now); got != tc.waits {
			t.Errorf("%s: waits %v", tc.name, got)
		}
		if tc.waits {
			continue
		}
		left := c.writeBatch(t.Context(), queue)
		if len(s.sizes) != 1 || s.sizes[0] != tc.made {
			t.Errorf("%s: batches of %v changes, want %d", tc.name, s.sizes, tc.made)
		}
		for _, ch := range left {
			if !ch.BestEffort && tc.lastKind {
				t.Errorf("%s: others are left behind", tc.name)
			}
		}
	}
}

// TestSpareChangesWithTheSmallestTransactions: where a transaction takes few changes, and
// the budget never holds more, best-effort starts are still made.
func TestSpareChangesWithTheSmallestTransactions(t *testing.T) {
	for _, ops := range []int{2, 4, 8} {
		s := &scarce{budget: ops}
		c, led := writerOn(s, ops)
		addJob(led, 1)
		now := time.Now()
		queue := []*Change{
			{
				done:       make(chan error, 1),
				Expires:    true,
				ExpiresAt:  now.Add(time.Minute),
				BestEffort: true,
				asked:      now,
				Draft: func(d *ledger.Transaction) error {
					_, err := d.Claim(
						led.Job("wk-000001"),
						ledger.ClaimTarget{Machine: "host-1", Zone: "a", Session: 1, Token: 1},
						1,
						nil,
					)
					return err
				},
			},
		}
		if c.waits(queue, now) {
			t.Errorf("%d changes a transaction: waits with all of the budget there", ops)
			continue
		}
		if left := c.writeBatch(t.Context(), queue); len(left) > 0 || len(s.sizes) != 1 {
			t.Errorf("%d changes a transaction: %d left, batches of %v", ops, len(left), s.sizes)
		}
	}
}
