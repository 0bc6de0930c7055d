package completion

import (
	"fmt"
	"testing"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

func done(job string, task int, attempt wire.Attempt) peer.Completion {
	return peer.Completion{
		Job:     wire.JobID(job),
		Task:    wire.TaskIndex(task),
		Attempt: attempt,
		Machine: "host-1",
		Session: 3,
	}
}

// TestCompletionOfAnotherAttempt: a completion proves the claim that it is of, and nothing of another
// attempt, task, machine or session.
func TestCompletionOfAnotherAttempt(t *testing.T) {
	l := New(4)
	l.Add(done("wk-000001", 2, 5), false, at(0))
	claim := ledger.Claim{First: 0, Count: 4, Attempt: 5, Machine: "host-1", Session: 3, Token: 9}
	for _, tc := range []struct {
		change func(h *ledger.HeldClaim)
		task   wire.TaskIndex
		want   wire.Cause
	}{
		{func(*ledger.HeldClaim) {}, 2, wire.CauseDone},
		{func(h *ledger.HeldClaim) { h.Token = 8 }, 2, wire.CauseDone}, // who held the machine does not matter
		{func(*ledger.HeldClaim) {}, 1, ""},
		{func(h *ledger.HeldClaim) { h.Attempt = 6 }, 2, ""},
		{func(h *ledger.HeldClaim) { h.Session = 4 }, 2, ""},
		{func(h *ledger.HeldClaim) { h.Machine = "host-2" }, 2, ""},
		{func(h *ledger.HeldClaim) { h.Job = &ledger.Job{ID: "wk-000002"} }, 2, ""},
	} {
		h := ledger.HeldClaim{Job: &ledger.Job{ID: "wk-000001"}, Claim: claim}
		tc.change(&h)
		if got := l.Cause(&h, tc.task); got != tc.want {
			t.Errorf("task %d of %+v: %q, want %q", tc.task, h.Claim, got, tc.want)
		}
	}
	if (*Log)(nil).Cause(&ledger.HeldClaim{Job: &ledger.Job{}}, 0) != "" {
		t.Error("a nil log knows of a completion")
	}
}

// TestLogIsBounded: a full log drops the oldest completion and counts it.
func TestLogIsBounded(t *testing.T) {
	l := New(3)
	for i := range 5 {
		l.Add(done("wk-000001", i, 1), false, at(float64(i)))
		l.Add(done("wk-000001", i, 1), false, at(float64(i))) // once more
	}
	told, number := l.Since(0, 10, at(60))
	if l.Len() != 3 || l.Lost() != 2 || number != 5 || len(told) != 3 || told[0].Task != 2 {
		t.Errorf("%d kept, %d lost, told %v up to %d", l.Len(), l.Lost(), told, number)
	}
}

// TestExchange: each completion is told once to each run of a peer, none before it is old enough,
// and all of them again to and by a new run.
func TestExchange(t *testing.T) {
	everything := func(peer.Completion) bool { return true }
	side := func(boot float64, peer wire.MemberID) (*Log, *Exchange) {
		l := New(2000)
		return l, NewExchange(l, at(boot), []wire.MemberID{peer})
	}
	a, askedA := side(0, "b")
	b, askedB := side(0, "a")
	for i := range mostTold + 20 {
		a.Add(done("wk-000001", i, 1), false, at(10))
	}
	round := func(s float64) int {
		ask := peer.Status{Member: "b"}
		askedB.Request("a", &ask)
		answer := peer.Status{Member: "a"}
		askedA.Answer(ask, &answer, at(s))
		askedB.Merge(&answer, everything, false, at(s))
		return len(answer.Completed)
	}
	for k, want := range []int{0, mostTold, 20, 0} {
		if got := round([]float64{10.5, 12, 13, 14}[k]); got != want {
			t.Errorf("round %d told %d completions, want %d", k, got, want)
		}
		if complete := askedB.Complete(at(0.1)); complete != (k != 1) {
			t.Errorf("after round %d the log is complete: %v", k, complete)
		}
	}
	if b.Len() != a.Len() {
		t.Errorf("%d arrived of %d", b.Len(), a.Len())
	}
	a, askedA = side(20, "b") // its next run knows nothing, and asks
	ask, answer := peer.Status{Member: "a"}, peer.Status{Member: "b"}
	askedA.Request("b", &ask)
	askedB.Answer(ask, &answer, at(21))
	askedA.Merge(&answer, everything, false, at(21))
	if a.Len() != mostTold {
		t.Errorf("a new run was told %d completions", a.Len())
	}
	askedA.Merge(&peer.Status{Member: "c"}, everything, false, at(22)) // an earlier version, or a published status
	if askedA.told["c"].whole {
		t.Error("a peer that tells of no completions counts as heard")
	}
}

// TestPrune: what is on record goes once the records are as new as the completion.
func TestPrune(t *testing.T) {
	records := ledger.New(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: 1 << 16})
	records.Apply(ledger.Event{Key: "mm1/j/wk-000001", Version: 1, Value: fmt.Appendf(
		nil,
		`{"spec":{"id":"wk-000001","pieces":8,"shape":"array","owner":"free","cores":1},"at":1,"a":5,"c":[[5,"host-1","a",3,9,0,2]]}`,
	)})
	l := New(8)
	l.Add(done("wk-000001", 0, 5), false, at(1)) // claimed
	l.Add(done("wk-000001", 3, 5), false, at(1)) // not, or not yet
	l.Prune(records, at(0.5))
	if l.Len() != 2 {
		t.Errorf("%d kept by records from before", l.Len())
	}
	if l.Prune(records, at(2)); l.Len() != 1 || !Claimed(records, done("wk-000001", 0, 5)) {
		t.Errorf("%d kept by newer records", l.Len())
	}
}
