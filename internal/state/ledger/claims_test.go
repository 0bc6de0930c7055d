package ledger_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// TestLargeJobsAreKeptInRanges checks a job that is stored in several records: its tasks are claimed and completed
// one by one, and the job is done when the last of them is.
func TestLargeJobsAreKeptInRanges(t *testing.T) {
	const tasks = 50
	f := newFixture(limits)
	j := f.submit(t, arraySpec("wk-000001", tasks))
	f.claimAll(t, j, target(1, 1), 20)
	for i := range tasks {
		if j.State != ledger.Active {
			t.Fatalf("got %s after %d of %d tasks", j.State, i, tasks)
		}
		f.run(t, func(txn *ledger.Transaction) error {
			var claim ledger.Claim
			j.Claims(func(c ledger.Claim) bool { claim = c; return false })
			_, err := txn.ReleaseTasks(j, claim, []wire.TaskIndex{claim.First}, ledger.TaskCompleted)
			return err
		})
	}
	if j.State != ledger.Done || j.Done != tasks || f.ledger.ClaimsOn("host-1") != nil {
		t.Errorf(
			"got state %q, %d done, %d claims, want %q, %d, 0",
			j.State, j.Done, len(f.ledger.ClaimsOn("host-1")), ledger.Done, tasks,
		)
	}
	if _, err := f.ledger.NewTransaction().Cancel(j); err != nil || j.Status() != wire.Done {
		t.Errorf("cancelling a done job: got %v and status %q, want no error and %q", err, j.Status(), wire.Done)
	}
}

// TestControllersClaimDifferentRangesFirst checks that the claims of a large job by one controller on several
// machines are in one record, and those by other controllers in other records. When the first range depended on
// the machine's name, ten starts took as many changes as the job has ranges.
func TestControllersClaimDifferentRangesFirst(t *testing.T) {
	for _, controllers := range []int{2, 3, 7} {
		for i := range 20 {
			spec := arraySpec(wire.JobID(fmt.Sprintf("wk-%06d", i)), controllers*8*(1+i%3))
			writers := map[string]int{} // the controller that writes a record, by key
			for n := range controllers {
				key := firstClaimedRecord(t, spec, n, controllers)
				if other, ok := writers[key]; ok {
					t.Errorf("controllers %d and %d of %d both write %s", other, n, controllers, key)
				}
				writers[key] = n
			}
		}
	}
}

// firstClaimedRecord claims eight tasks for a controller on four machines and returns the key of the single record
// that this writes.
func firstClaimedRecord(t *testing.T, spec *wire.JobSpec, controller, controllers int) string {
	t.Helper()
	controllerLimits := limits
	controllerLimits.ControllerIndex, controllerLimits.ControllerCount = controller, controllers
	f := newFixture(controllerLimits)
	j := f.submit(t, spec)
	txn := f.ledger.NewTransaction()
	for m := range 4 {
		if got, err := txn.Claim(j, target(m, 1), 2, nil); got != 2 || err != nil {
			t.Fatalf("got %d of 2 claimed: %v", got, err)
		}
	}
	request, err := txn.Request()
	if err != nil || len(request.Then) != 1 {
		t.Fatalf(
			"eight claims of %s by controller %d of %d: got %d changes, want 1: %v",
			spec.ID, controller, controllers, len(request.Then), err,
		)
	}
	return request.Then[0].Put
}

// TestTwoLastRanges guards against a job that is never done because two controllers concurrently record the last
// tasks of different ranges, and each sees the other's range unfinished.
func TestTwoLastRanges(t *testing.T) {
	f := newFixture(limits)
	size := limits.TasksPerRange()
	tasks := 3 * size
	j := f.submit(t, arraySpec("wk-000001", tasks))
	f.claimAll(t, j, target(0, 1), tasks)
	release := func(task int) *ledger.Transaction {
		txn := f.ledger.NewTransaction()
		index := wire.TaskIndex(task)
		j.Claims(func(c ledger.Claim) bool {
			if !c.Covers(index) {
				return true
			}
			_, err := txn.ReleaseTasks(j, c, []wire.TaskIndex{index}, ledger.TaskCompleted)
			if err != nil && !errors.Is(err, ledger.ErrPreconditionFailed) {
				t.Fatal(err)
			}
			return true
		})
		return txn
	}
	for i := range tasks - 1 {
		if i != 2*size-1 {
			f.commit(t, release(i))
		}
	}
	first, second := release(2*size-1), release(tasks-1)
	f.commit(t, first)
	f.commit(t, second)
	if j.Done != tasks {
		t.Fatalf("got %d tasks done, want %d", j.Done, tasks)
	}
	if j.State == ledger.Active {
		f.run(t, func(txn *ledger.Transaction) error { return txn.CompleteJob(j) })
	}
	if j.State != ledger.Done {
		t.Errorf("got state %q, want %q", j.State, ledger.Done)
	}
}

// TestHugeArray runs a huge array on many machines whose tasks end in the worst order for the encoding, every other
// one first, and some of them fail. Every value must stay within the store's limit, the job must complete, and it
// must take fewer changes than half of its tasks. When each piece of a claim took a hundred bytes, records had room
// for only thirty tasks, and claiming tasks for one machine took nine changes.
func TestHugeArray(t *testing.T) {
	const tasks = 5000
	f := newFixture(ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: kvstore.MaxTxnBytes})
	f.ledger.Apply(ledger.Event{Key: ledger.MachineTypeKey("g4"), Version: 1,
		Value: []byte(`{"sku":"g4","cores":48,"accelerators":4,"ram_gb":288,"yards":["a","b"]}`)})
	spec := arraySpec("wk-000001", tasks)
	spec.Priority, spec.CPUs = wire.BestEffort, 0.25
	j := f.submit(t, spec)
	rng := rand.New(rand.NewPCG(1, 2))
	starts, exits := 0, 0
	for round := 0; j.State == ledger.Active; round++ {
		if round > 2000 {
			t.Fatalf("got %d of %d tasks done after %d rounds", j.Done, tasks, round)
		}
		machine := target(rng.IntN(40), 1)
		if len(f.ledger.ClaimsOn(machine.Machine)) > 0 {
			exits += releaseEveryOther(t, f, j, machine.Machine, rng)
			continue
		}
		txn := f.ledger.NewTransaction()
		if _, err := txn.Claim(j, machine, 192, nil); err == nil {
			f.commit(t, txn)
			starts++
		}
	}
	if j.Done != tasks || j.Claimed != 0 {
		t.Errorf("got %d done and %d claimed, want %d and 0", j.Done, j.Claimed, tasks)
	}
	if f.changes > tasks/2 {
		t.Errorf("got %d changes for %d tasks (%d starts, %d exits), want half", f.changes, tasks, starts, exits)
	}
	t.Logf("%d changes for %d tasks: %d starts, %d exits", f.changes, tasks, starts, exits)
}

// releaseEveryOther releases every other task of each claim on a machine, some of them as failed, in one
// transaction for each start and range, and returns the number of transactions.
func releaseEveryOther(
	t *testing.T, f *fixture, j *ledger.Job, machine wire.MachineID, rng *rand.Rand,
) (transactions int) {
	t.Helper()
	type start struct {
		rangeIndex int
		claim      ledger.Claim // First and Count are 0
	}
	ended := map[start][]wire.TaskIndex{}
	for _, held := range f.ledger.ClaimsOn(machine) {
		key := start{held.Range(), held.Claim}
		key.claim.First, key.claim.Count = 0, 0
		for i := 0; i < held.Count; i += 2 {
			ended[key] = append(ended[key], held.First+wire.TaskIndex(i))
		}
	}
	for key, tasks := range ended {
		txn := f.ledger.NewTransaction()
		if n, err := txn.ReleaseTasks(
			j, key.claim, tasks, ledger.TaskOutcome(rng.IntN(20) > 0),
		); err != nil || n != len(tasks) {
			t.Fatalf("got %d of %d tasks released: %v", n, len(tasks), err)
		}
		f.commit(t, txn)
	}
	return len(ended)
}

// TestEarlierFormOfClaims checks that claims in the encoding of earlier versions are decoded.
func TestEarlierFormOfClaims(t *testing.T) {
	l := ledger.New(limits)
	l.Apply(ledger.Event{
		Key:     "mm1/j/wk-000001",
		Version: 1,
		Value: []byte(
			`{"spec":{"id":"wk-000001","pieces":9,"shape":"array","owner":"free"},"at":1,"a":2,` +
				`"c":[[0,2,1,"host-1","a",1,1],[4,3,2,"host-2","b",5,6]]}`,
		),
	})
	var got []ledger.Claim
	l.Job("wk-000001").Claims(func(c ledger.Claim) bool { got = append(got, c); return true })
	want := []ledger.Claim{
		{First: 0, Count: 2, Attempt: 1, Machine: "host-1", Zone: "a", Epoch: 1, Token: 1},
		{First: 4, Count: 3, Attempt: 2, Machine: "host-2", Zone: "b", Epoch: 5, Token: 6},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
