package ledger_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// usualLimits are the limits of a state service as earlier versions know them; loweredLimits are those after the
// service lowered its limits, as the current version knows them.
var (
	usualLimits   = ledger.Limits{ValueBytes: 32 << 10, TxnOps: 40, TxnBytes: kvstore.MaxTxnBytes}
	loweredLimits = ledger.Limits{
		ValueBytes: 2048, CurrentValueBytes: 32 << 10, TxnOps: 4, TxnBytes: kvstore.MaxTxnBytes,
	}
)

// newLargeJobFixture returns a fixture with the usual limits and an array in which each task is claimed on a machine
// of its own. With many tasks its record is close to the usual value limit.
func newLargeJobFixture(t *testing.T, tasks int) *fixture {
	t.Helper()
	f := newFixture(usualLimits)
	j := f.submit(t, arraySpec("wk-000001", tasks))
	for machine := range tasks {
		f.run(t, func(txn *ledger.Transaction) error {
			_, err := txn.Claim(j, target(machine, 7), 1, nil)
			return err
		})
	}
	return f
}

// lowerLimits reloads the records with the lowered limits, upgrades their format, and then lowers the limits of the
// store.
func (f *fixture) lowerLimits(t *testing.T) {
	t.Helper()
	f.ledger = f.loadWith(loweredLimits)
	f.run(t, func(txn *ledger.Transaction) error { return txn.UpgradeFormat(ledger.PipelineFormat, 1) })
	f.store.TxnOps, f.store.Value = loweredLimits.TxnOps, loweredLimits.ValueBytes
}

// loadWith returns a ledger with the given limits that loaded all records.
func (f *fixture) loadWith(limits ledger.Limits) *ledger.Ledger {
	l := ledger.New(limits)
	for _, item := range f.store.Items() {
		l.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
	}
	return l
}

// releaseOneTask releases a random claimed task of a job, and reports whether there was one.
func (f *fixture) releaseOneTask(t *testing.T, j *ledger.Job, rng *rand.Rand, end ledger.TaskOutcome) bool {
	t.Helper()
	var claims []ledger.Claim
	j.Claims(func(c ledger.Claim) bool { claims = append(claims, c); return true })
	if len(claims) == 0 {
		return false
	}
	slices.SortFunc(claims, func(a, b ledger.Claim) int { return int(a.First) - int(b.First) })
	claim := claims[rng.IntN(len(claims))]
	task := claim.First + wire.TaskIndex(rng.IntN(claim.Count))
	f.run(t, func(txn *ledger.Transaction) error {
		_, err := txn.ReleaseTasks(j, claim, []wire.TaskIndex{task}, end)
		return err
	})
	return true
}

// TestLargeRecordsAfterTheLimitFalls guards against records that can no longer be written after the state service
// lowered its value limit. The tasks of a job whose record an earlier version wrote up to the old limit are claimed
// and released in random order under the new limit until the job is done, and a ledger that reloads the records must
// derive the same state.
func TestLargeRecordsAfterTheLimitFalls(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 2))
		tasks := 20 + rng.IntN(330)
		f := newLargeJobFixture(t, tasks)
		f.lowerLimits(t)
		j := f.ledger.Job("wk-000001")
		for step := 0; j.State == ledger.Active && step < 20*tasks; step++ {
			if j.Pending() > 0 && rng.IntN(2) == 0 {
				machine := rng.IntN(1000)
				txn := f.ledger.NewTransaction()
				if _, err := txn.Claim(j, target(machine, 8), 1+rng.IntN(12), nil); err == nil {
					f.commit(t, txn)
				}
				continue
			}
			end := ledger.TaskCompleted
			if rng.IntN(4) == 0 {
				end = ledger.TaskStopped
			}
			f.releaseOneTask(t, j, rng, end)
			if step%50 == 0 {
				compareWithReloaded(t, seed, f, j)
			}
		}
		if final, ended := f.ledger.FinalRecordOf("wk-000001"); !ended || final.State != ledger.Done || final.Done != tasks {
			t.Fatalf("seed %d: got %+v, finished %v, want done with %d tasks", seed, final, ended, tasks)
		}
		if len(f.store.Problems) > 0 {
			t.Errorf("seed %d: the store rejected %q", seed, f.store.Problems[0])
		}
		if _, problems := ledger.Verify(f.events(), loweredLimits); len(problems) > 0 {
			t.Errorf("seed %d: verification: got %v, want no problem", seed, problems)
		}
		f.archiveAll(t)
	}
}

// events returns all records except the archive, by key, with a token record that covers the tokens of all claims.
func (f *fixture) events() map[string]ledger.Event {
	all := map[string]ledger.Event{}
	for _, item := range f.store.Items() {
		if !ledger.IsFinalKey(item.Key) && !strings.HasPrefix(item.Key, ledger.FilterPrefix) {
			all[item.Key] = ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version}
		}
	}
	// Verify reports claims whose token is higher than the last one in this record.
	all[ledger.TokenKey] = ledger.Event{Key: ledger.TokenKey, Value: []byte(`{"n":100,"by":"m-0"}`), Version: 1}
	return all
}

// compareWithReloaded compares a job with the same job in a ledger that loads all records.
func compareWithReloaded(t *testing.T, seed uint64, f *fixture, j *ledger.Job) {
	t.Helper()
	reloaded := f.loadWith(loweredLimits).Job(j.ID)
	got, want := taskStates(reloaded), taskStates(j)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("seed %d: after reload: got %v, want %v", seed, got, want)
	}
}

// taskStates returns a description of each task of a job: done, claimed (by machine and attempt) or pending ("").
func taskStates(j *ledger.Job) (states []string) {
	states = make([]string, j.Spec.Tasks)
	for i := range states {
		if j.TaskDone(wire.TaskIndex(i)) {
			states[i] = "done"
		}
	}
	j.Claims(func(c ledger.Claim) bool {
		for i := range c.Count {
			states[int(c.First)+i] += fmt.Sprintf("%s attempt %d", c.Machine, c.Attempt)
		}
		return true
	})
	return states
}

// archiveAll archives the finished job, after deleting task ranges in several transactions if there are too many
// for one, and checks that none of its live records is left.
func (f *fixture) archiveAll(t *testing.T) {
	t.Helper()
	readPages(f.ledger, f.store, "wk-000001")
	for range 200 {
		txn := f.ledger.NewTransaction()
		if _, err := txn.ArchiveJobs([]wire.JobID{"wk-000001"}); err == nil {
			f.commit(t, txn)
			break
		}
		txn = f.ledger.NewTransaction()
		if err := txn.DeleteTaskRanges("wk-000001"); err != nil {
			t.Fatalf("delete ranges: %v", err)
		}
		f.commit(t, txn)
	}
	for _, item := range f.store.Items() {
		if strings.Contains(item.Key, "wk-000001") && !ledger.IsFinalKey(item.Key) {
			t.Errorf("archived: got record %s left", item.Key)
		}
	}
}

// TestCancelLargeJobAfterTheLimitFalls checks that a large job can be cancelled under the lowered limit, if necessary
// after some of its ranges were moved to parts, and that its tasks can be released afterwards.
func TestCancelLargeJobAfterTheLimitFalls(t *testing.T) {
	for _, tasks := range []int{9, 40, 120, 320} {
		f := newLargeJobFixture(t, tasks)
		f.lowerLimits(t)
		j := f.ledger.Job("wk-000001")
		for range tasks {
			txn := f.ledger.NewTransaction()
			_, err := txn.Cancel(j)
			if err == nil {
				f.commit(t, txn)
				break
			}
			if !errors.Is(err, ledger.ErrTooLarge) {
				t.Fatalf("%d tasks: cancel: got error %v, want ErrTooLarge", tasks, err)
			}
			f.run(t, func(txn *ledger.Transaction) error { return txn.WriteParts(j) })
		}
		if j.State != ledger.Cancelled {
			t.Fatalf("%d tasks: got state %q, want cancelled", tasks, j.State)
		}
		rng := rand.New(rand.NewPCG(1, uint64(tasks)))
		for f.ledger.Job("wk-000001") != nil && f.releaseOneTask(t, j, rng, ledger.TaskStopped) {
			continue
		}
		if j.Claimed != 0 || len(f.store.Problems) > 0 {
			t.Errorf("%d tasks: got %d claims left, rejected %v, want none", tasks, j.Claimed, f.store.Problems)
		}
	}
}

// TestNoPartsBeforeTheFormat checks that, while controllers may run a version that does not read parts, no parts are
// written, and that records may still be as large as the old limit.
func TestNoPartsBeforeTheFormat(t *testing.T) {
	f := newLargeJobFixture(t, 100)
	f.ledger = f.loadWith(loweredLimits)
	j := f.ledger.Job("wk-000001")
	rng := rand.New(rand.NewPCG(1, 1))
	failed := 0
	for range 30 {
		txn := f.ledger.NewTransaction()
		var claim ledger.Claim
		j.Claims(func(c ledger.Claim) bool { claim = c; return rng.IntN(5) > 0 })
		if _, err := txn.ReleaseTasks(j, claim, []wire.TaskIndex{claim.First}, ledger.TaskCompleted); err != nil {
			failed++
			continue
		}
		f.commit(t, txn)
	}
	for _, item := range f.store.Items() {
		if strings.HasPrefix(item.Key, "mm1/s/") {
			t.Fatalf("got part %s in format 3", item.Key)
		}
	}
	if failed > 0 {
		t.Errorf("got %d failed releases while the old limit is in force, want 0", failed)
	}
}

// TestNewJobsFitTheLoweredLimit checks that the records of jobs that are accepted after the software upgrade, but
// before the format upgrade, fit the lowered limit however their tasks are claimed, and that ledgers with the usual
// and with the lowered limits can both claim their tasks.
func TestNewJobsFitTheLoweredLimit(t *testing.T) {
	f := newFixture(usualLimits)
	f.ledger = ledger.New(loweredLimits)
	f.store.Value = loweredLimits.ValueBytes
	j := f.submit(t, arraySpec("wk-000001", 100))
	old := f.loadWith(usualLimits)
	for machine := range 100 {
		l := f.ledger
		if machine%2 == 1 {
			l = old
		}
		txn := l.NewTransaction()
		if _, err := txn.Claim(l.Job(j.ID), target(machine, 7), 1, nil); err != nil {
			t.Fatal(err)
		}
		request, err := txn.Request()
		if err != nil {
			t.Fatal(err)
		}
		revision, err := f.store.Apply(request)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range request.Then {
			for _, l := range []*ledger.Ledger{f.ledger, old} {
				l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: revision})
			}
		}
	}
	if j.Claimed != 100 || len(f.store.Problems) > 0 {
		t.Errorf("got %d claimed, rejected %v, want 100 and none", j.Claimed, f.store.Problems)
	}
}
