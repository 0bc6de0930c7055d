package completion

import (
	"testing"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// at returns the time s seconds after the start of a test.
func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

// completed returns the completion of a task of job wk-000001 on host-1 in session (epoch) 3.
func completed(task int, attempt wire.Attempt) peer.Completion {
	return peer.Completion{
		Job:     "wk-000001",
		Task:    wire.TaskIndex(task),
		Attempt: attempt,
		Machine: "host-1",
		Epoch:   3,
	}
}

// TestCompletionOfAnotherAttempt checks that a completion proves the outcome of its own claim only, not of
// another attempt, task, machine, session or job.
func TestCompletionOfAnotherAttempt(t *testing.T) {
	l := New(4)
	l.Add(completed(2, 5), false, at(0))
	claim := ledger.Claim{First: 0, Count: 4, Attempt: 5, Machine: "host-1", Epoch: 3, Token: 9}
	for _, tc := range []struct {
		name   string
		change func(h *ledger.HeldClaim)
		task   wire.TaskIndex
		want   wire.Cause
	}{
		{"the same", func(*ledger.HeldClaim) {}, 2, wire.CauseDone},
		// A new fencing token does not invalidate the completion.
		{"another token", func(h *ledger.HeldClaim) { h.Token = 8 }, 2, wire.CauseDone},
		{"another task", func(*ledger.HeldClaim) {}, 1, ""},
		{"another attempt", func(h *ledger.HeldClaim) { h.Attempt = 6 }, 2, ""},
		{"another session", func(h *ledger.HeldClaim) { h.Epoch = 4 }, 2, ""},
		{"another machine", func(h *ledger.HeldClaim) { h.Machine = "host-2" }, 2, ""},
		{"another job", func(h *ledger.HeldClaim) { h.Job = &ledger.Job{ID: "wk-000002"} }, 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := ledger.HeldClaim{Job: &ledger.Job{ID: "wk-000001"}, Claim: claim}
			tc.change(&h)
			if got := l.Cause(&h, tc.task); got != tc.want {
				t.Errorf("cause of task %d of %+v: %q, want %q", tc.task, h.Claim, got, tc.want)
			}
		})
	}
	if (*Log)(nil).Cause(&ledger.HeldClaim{Job: &ledger.Job{}}, 0) != "" {
		t.Error("a nil log knows of a completion")
	}
}

// TestLogIsBounded checks that a full log drops the oldest completion and counts it.
func TestLogIsBounded(t *testing.T) {
	l := New(3)
	for i := range 5 {
		l.Add(completed(i, 1), false, at(float64(i)))
		l.Add(completed(i, 1), false, at(float64(i))) // duplicate
	}
	if l.Len() != 3 || l.Dropped() != 2 {
		t.Errorf("%d kept, %d dropped; want 3 and 2", l.Len(), l.Dropped())
	}
	shared, number := l.Since(0, 10, at(60))
	if number != 5 || len(shared) != 3 || shared[0].Task != 2 {
		t.Errorf("shared %v up to number %d, want tasks 2 to 4 up to number 5", shared, number)
	}
}

// run is one run of a controller: its log and the exchange of that log with its only peer.
type run struct {
	id       wire.MemberID
	log      *Log
	exchange *Exchange
}

func newRun(id, other wire.MemberID, boot time.Time) *run {
	l := New(2000)
	return &run{id, l, NewExchange(l, boot, []wire.MemberID{other})}
}

// probe sends a probe to another run, merges the response, and returns how many completions it contained.
func (r *run) probe(to *run, now time.Time) int {
	probe, response := peer.Status{Member: r.id}, peer.Status{Member: to.id}
	r.exchange.FillProbe(to.id, &probe)
	to.exchange.FillResponse(probe, &response, now)
	r.exchange.Merge(&response, all, false, now)
	return len(response.Completions)
}

func all(peer.Completion) bool { return true }

// TestExchange checks that each completion is sent once to each run of a peer and not before it is
// minShareAge old. After a restart, the new run starts empty and receives all completions again.
func TestExchange(t *testing.T) {
	a, b := newRun("a", "b", at(0)), newRun("b", "a", at(0))
	for i := range maxPerResponse + 20 {
		a.log.Add(completed(i, 1), false, at(10))
	}
	for _, tc := range []struct {
		at       float64
		shared   int
		complete bool
	}{
		{10.5, 0, true}, // none is minShareAge old
		{12, maxPerResponse, false},
		{13, 20, true},
		{14, 0, true},
	} {
		if got := b.probe(a, at(tc.at)); got != tc.shared {
			t.Errorf("at %v s: %d completions shared, want %d", tc.at, got, tc.shared)
		}
		if got := b.exchange.Complete(at(0.1)); got != tc.complete {
			t.Errorf("at %v s: complete %v, want %v", tc.at, got, tc.complete)
		}
	}
	if b.log.Len() != a.log.Len() {
		t.Errorf("%d completions arrived, want %d", b.log.Len(), a.log.Len())
	}

	a = newRun("a", "b", at(20)) // after a restart: an empty log
	a.probe(b, at(21))
	if a.log.Len() != maxPerResponse {
		t.Errorf("%d completions shared with a new run, want %d", a.log.Len(), maxPerResponse)
	}
}

// TestPeerWithoutCompletions checks that a status without completions, sent by an earlier version or
// published in the state service, does not mark the peer's log as read.
func TestPeerWithoutCompletions(t *testing.T) {
	x := newRun("a", "c", at(20)).exchange
	x.Merge(&peer.Status{Member: "c"}, all, false, at(22))
	if x.cursors["c"].complete {
		t.Error("a peer without completions counts as read")
	}
	if x.Complete(at(22)) {
		t.Error("the exchange is complete without the peer's log")
	}
	if now := at(20).Add(exchangeTimeout + 1); !x.Complete(now) {
		t.Error("the exchange is not complete after its timeout")
	}
}

// TestPrune checks that completions without a claim are dropped once the records are newer than they are.
func TestPrune(t *testing.T) {
	records := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 1 << 16})
	records.Apply(ledger.Event{
		Key:     "mm1/j/wk-000001",
		Version: 1,
		Value: []byte(`{"spec":{"id":"wk-000001","pieces":8,"shape":"array","owner":"free","cores":1},` +
			`"at":1,"a":5,"c":[[5,"host-1","a",3,9,0,2]]}`),
	})
	l := New(8)
	l.Add(completed(0, 5), false, at(1)) // claimed
	l.Add(completed(3, 5), false, at(1)) // not claimed
	l.Prune(records, at(0.5))
	if l.Len() != 2 {
		t.Errorf("%d kept by records from before, want 2", l.Len())
	}
	l.Prune(records, at(2))
	if l.Len() != 1 || !HasClaim(records, completed(0, 5)) {
		t.Errorf("%d kept by newer records, want 1, which is claimed", l.Len())
	}
}
