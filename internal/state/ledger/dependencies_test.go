package ledger_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// newPipelineFixture returns a fixture whose records have PipelineFormat.
func newPipelineFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(limits)
	f.run(t, func(txn *ledger.Transaction) error { return txn.UpgradeFormat(ledger.PipelineFormat, 1) })
	return f
}

// dependentSpec returns an array of one task that depends on the given jobs.
func dependentSpec(id wire.JobID, dependencies ...wire.JobID) *wire.JobSpec {
	spec := arraySpec(id, 1)
	spec.Dependencies = dependencies
	return spec
}

// finish claims the only task of a job and completes it at time 1000.
func (f *fixture) finish(t *testing.T, id wire.JobID) {
	t.Helper()
	j := f.ledger.Job(id)
	f.claimAll(t, j, target(1, 1), 1)
	var claim ledger.Claim
	j.Claims(func(c ledger.Claim) bool { claim = c; return false })
	f.run(t, func(txn *ledger.Transaction) error {
		txn.SetTime(1000)
		_, err := txn.ReleaseTasks(j, claim, []wire.TaskIndex{0}, ledger.TaskCompleted)
		return err
	})
}

// TestClaimsWaitForDependencies guards the rule too_early: no transaction claims a task before all dependencies of
// its job are recorded as done, and the job's status stays queued until then.
func TestClaimsWaitForDependencies(t *testing.T) {
	f := newPipelineFixture(t)
	f.submit(t, dependentSpec("wk-000001"))
	f.submit(t, dependentSpec("wk-000002"))
	j := f.submit(t, dependentSpec("wk-000003", "wk-000001", "wk-000002"))
	for _, first := range []wire.JobID{"wk-000001", "wk-000002"} {
		got, err := f.ledger.NewTransaction().Claim(j, target(2, 1), 1, nil)
		if !errors.Is(err, ledger.ErrPreconditionFailed) {
			t.Errorf("claim before %s is done: got %d claimed, error %v, want ErrPreconditionFailed", first, got, err)
		}
		if j.Pending() != 0 || j.Status() != wire.Queued {
			t.Errorf("before %s is done: got %d pending, status %s, want 0 and queued", first, j.Pending(), j.Status())
		}
		f.finish(t, first)
	}
	if j.Pending() != 1 || j.EligibleSince() != 1000 {
		t.Errorf("after both are done: got %d pending, eligible since %d, want 1 and 1000", j.Pending(), j.EligibleSince())
	}
	f.finish(t, j.ID)
}

// TestSubmissionResolvesDependencies checks that a submission takes the state of its dependencies from the ledger,
// and from the archive for those that are archived.
func TestSubmissionResolvesDependencies(t *testing.T) {
	f := newPipelineFixture(t)
	f.submit(t, dependentSpec("wk-000001"))
	f.finish(t, "wk-000001")
	f.submit(t, dependentSpec("wk-000002"))
	f.run(t, func(txn *ledger.Transaction) error { _, err := txn.Cancel(f.ledger.Job("wk-000002")); return err })
	for _, tc := range []struct {
		name       string
		dependency wire.JobID
		archived   map[wire.JobID]ledger.FinalRecord
		want       wire.Status
		err        error
	}{
		{"done", "wk-000001", nil, wire.Queued, nil},
		{"cancelled", "wk-000002", nil, wire.Cancelled, nil},
		{"never accepted", "wk-000009", nil, "", ledger.ErrUnknownDependency},
		{"itself", "wk-000103", nil, "", ledger.ErrUnknownDependency},
		{
			"archived done", "wk-000008",
			map[wire.JobID]ledger.FinalRecord{"wk-000008": {State: ledger.Done}},
			wire.Queued, nil,
		},
		{
			"archived cancelled", "wk-000007",
			map[wire.JobID]ledger.FinalRecord{"wk-000007": {State: ledger.Cancelled}},
			wire.Cancelled, nil,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id := wire.JobID(fmt.Sprintf("wk-0001%02d", slices.Index([]string{
				"done", "cancelled", "never accepted", "itself", "archived done", "archived cancelled",
			}, tc.name)))
			txn := f.ledger.NewTransaction()
			err := txn.SubmitJob(ledger.Submission{Spec: dependentSpec(id, tc.dependency), At: 5, Archived: tc.archived})
			if !errors.Is(err, tc.err) {
				t.Fatalf("got error %v, want %v", err, tc.err)
			}
			if err != nil {
				return
			}
			f.commit(t, txn)
			if got := statusOf(f.ledger, id); got != tc.want {
				t.Errorf("got status %s, want %s", got, tc.want)
			}
		})
	}
	old := newFixture(limits)
	old.submit(t, dependentSpec("wk-000001"))
	err := old.ledger.NewTransaction().Submit(dependentSpec("wk-000002", "wk-000001"), 1)
	if !errors.Is(err, ledger.ErrOlderFormat) {
		t.Errorf("in an older format: got error %v, want ErrOlderFormat", err)
	}
	var many []wire.JobID
	for i := range 300 {
		id := wire.JobID(fmt.Sprintf("wk-002%03d", i))
		f.submit(t, dependentSpec(id))
		many = append(many, id)
	}
	err = f.ledger.NewTransaction().Submit(dependentSpec("wk-000500", many...), 1)
	if !errors.Is(err, ledger.ErrTooManyDependencies) {
		t.Errorf("with 300 dependencies: got error %v, want ErrTooManyDependencies", err)
	}
}

// statusOf returns the status of a job in the ledger, "" if it is not there.
func statusOf(l *ledger.Ledger, id wire.JobID) wire.Status {
	if final, finished := l.FinalRecordOf(id); finished {
		return final.Status(id).Status
	}
	if j := l.Job(id); j != nil {
		return j.Status()
	}
	return ""
}

// TestDependenciesOfActiveJobsAreNotArchived guards against archiving a job whose dependents still need to know
// that it is done.
func TestDependenciesOfActiveJobsAreNotArchived(t *testing.T) {
	f := newPipelineFixture(t)
	f.submit(t, dependentSpec("wk-000001"))
	f.submit(t, dependentSpec("wk-000003"))
	f.submit(t, dependentSpec("wk-000002", "wk-000001", "wk-000003"))
	f.finish(t, "wk-000001")
	if f.ledger.Archivable("wk-000001") {
		t.Error("wk-000001: got archivable while an active job depends on it, want not archivable")
	}
	f.finish(t, "wk-000003")
	f.finish(t, "wk-000002")
	for _, id := range []wire.JobID{"wk-000001", "wk-000002", "wk-000003"} {
		if !f.ledger.Archivable(id) {
			t.Errorf("%s: got not archivable after all jobs are done, want archivable", id)
		}
	}
}

// TestMissingDependencyIsResolved covers a job that is archived just as another job that depends on it is accepted.
// The dependent must wait until the final record was read from the archive, and then follow it.
func TestMissingDependencyIsResolved(t *testing.T) {
	for _, state := range []ledger.JobState{ledger.Done, ledger.Cancelled} {
		f := newPipelineFixture(t)
		f.submit(t, dependentSpec("wk-000001"))
		f.submit(t, dependentSpec("wk-000002", "wk-000001"))
		loaded := ledger.New(limits)
		for _, item := range f.store.Items() {
			if item.Key != "mm1/j/wk-000001" {
				loaded.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
			}
		}
		j, missing := loaded.Job("wk-000002"), slices.Collect(loaded.MissingDependencies())
		if j.Ready() || !slices.Contains(missing, "wk-000001") {
			t.Fatal("got a job ready or its dependency not missing although the dependency is not in the ledger")
		}
		loaded.ResolveDependency("wk-000001", ledger.FinalRecord{State: state})
		want := wire.Queued
		if state == ledger.Cancelled {
			want = wire.Cancelled
		}
		if j.Status() != want || j.Ready() != (state == ledger.Done) {
			t.Errorf("archived as %s: got status %s, ready %v, want %s", state, j.Status(), j.Ready(), want)
		}
	}
}

// modelJob is a job in the reference model of dependencies.
type modelJob struct {
	spec  *wire.JobSpec
	state ledger.JobState
}

// cancelled reports whether a job or one of its ancestors is cancelled.
func (m pipelineModel) cancelled(id wire.JobID) bool {
	job := m[id]
	if job.state == ledger.Active {
		return slices.ContainsFunc(job.spec.Dependencies, m.cancelled)
	}
	return job.state == ledger.Cancelled
}

// pipelineModel is the reference model: it computes each property from all jobs, without an index.
type pipelineModel map[wire.JobID]*modelJob

// ready reports whether all dependencies of a job are done.
func (m pipelineModel) ready(id wire.JobID) bool {
	return !slices.ContainsFunc(m[id].spec.Dependencies, func(d wire.JobID) bool { return m[d].state != ledger.Done })
}

// urgency returns the rank of a job's effective priority and its effective deadline, 0 if it has none.
func (m pipelineModel) urgency(id wire.JobID) (rank int, due int64) {
	spec := m[id].spec
	rank = spec.Priority.Rank()
	if spec.Deadline != nil {
		due = 1 + spec.Deadline.Duration().Milliseconds()
	}
	for other, o := range m {
		if o.state != ledger.Active || m.cancelled(other) || !slices.Contains(o.spec.Dependencies, id) {
			continue
		}
		otherRank, otherDue := m.urgency(other)
		rank = min(rank, otherRank)
		if otherDue != 0 {
			otherDue -= o.spec.Estimate.Duration().Milliseconds() + 10_000
			if due == 0 || otherDue < due {
				due = otherDue
			}
		}
	}
	return rank, due
}

// TestDependenciesFollowTheModel runs random pipelines (chains, fan-in, fan-out, diamonds) in which jobs are
// submitted, completed and cancelled, and compares the state that two ledgers derive with the reference model: a
// ledger that saw every change, and one that loads all records in a random order.
func TestDependenciesFollowTheModel(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f, m := newPipelineFixture(t), pipelineModel{}
		var ids []wire.JobID
		for range 60 {
			switch active := f.activeOf(ids); {
			case len(active) == 0 || rng.IntN(3) > 0:
				id := wire.JobID(fmt.Sprintf("wk-%06d", len(ids)))
				spec := randomPipelineJob(rng, id, active)
				f.submit(t, spec)
				ids = append(ids, id)
				m[id] = &modelJob{spec: spec}
			default:
				id := active[rng.IntN(len(active))]
				if rng.IntN(6) == 0 {
					f.run(t, func(txn *ledger.Transaction) error { _, err := txn.Cancel(f.ledger.Job(id)); return err })
					m[id].state = ledger.Cancelled
				} else if m.ready(id) && !m.cancelled(id) {
					f.finish(t, id)
					m[id].state = ledger.Done
				}
			}
			compareWithModel(t, seed, f.ledger, m)
			compareWithModel(t, seed, f.reload(rng), m)
			if t.Failed() {
				return
			}
		}
	}
}

// activeOf returns those of the jobs that are active in the ledger.
func (f *fixture) activeOf(ids []wire.JobID) (active []wire.JobID) {
	for _, id := range ids {
		if j := f.ledger.Job(id); j != nil && j.State == ledger.Active {
			active = append(active, id)
		}
	}
	return active
}

// reload returns a ledger that loaded all records in a random order.
func (f *fixture) reload(rng *rand.Rand) *ledger.Ledger {
	items := f.store.Items()
	rng.Shuffle(len(items), func(i, k int) { items[i], items[k] = items[k], items[i] })
	l := ledger.New(limits)
	for _, item := range items {
		l.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
	}
	return l
}

// randomPipelineJob returns a job that depends on up to three of the other jobs.
func randomPipelineJob(rng *rand.Rand, id wire.JobID, others []wire.JobID) *wire.JobSpec {
	spec := dependentSpec(id)
	spec.Priority = []wire.Priority{wire.BestEffort, wire.Normal, wire.High}[rng.IntN(3)]
	spec.Estimate = wire.Seconds(rng.IntN(50))
	if rng.IntN(3) == 0 {
		due := wire.Seconds(100 + rng.IntN(500))
		spec.Deadline = &due
	}
	for range min(len(others), rng.IntN(4)) {
		if id := others[rng.IntN(len(others))]; !slices.Contains(spec.Dependencies, id) {
			spec.Dependencies = append(spec.Dependencies, id)
		}
	}
	return spec
}

// compareWithModel compares everything that a ledger derives from dependencies with the model.
func compareWithModel(t *testing.T, seed uint64, l *ledger.Ledger, m pipelineModel) {
	t.Helper()
	for id, want := range m {
		j := l.Job(id)
		if j == nil || j.State != ledger.Active {
			continue
		}
		if got := j.Status() == wire.Cancelled; got != m.cancelled(id) {
			t.Errorf("seed %d: %s cancelled: got %v, want %v", seed, id, got, m.cancelled(id))
		}
		if m.cancelled(id) {
			continue
		}
		if j.Ready() != m.ready(id) {
			t.Errorf("seed %d: %s ready: got %v, want %v", seed, id, j.Ready(), m.ready(id))
		}
		rank, due := m.urgency(id)
		got := int64(0)
		if !j.DueBy().IsZero() {
			got = j.DueBy().UnixMilli()
		}
		if j.Priority().Rank() != rank || got != due {
			t.Errorf("seed %d: %s (%+v): got rank %d due %d, want %d and %d", seed, id, want.spec.Dependencies,
				j.Priority().Rank(), got, rank, due)
		}
	}
}

// TestPipelineRecordsRoundTrip checks that dependencies are stored under the protocol's key, and that the record of
// a job without dependencies omits the key, as before PipelineFormat.
func TestPipelineRecordsRoundTrip(t *testing.T) {
	f := newPipelineFixture(t)
	f.submit(t, dependentSpec("wk-000001"))
	f.submit(t, dependentSpec("wk-000002", "wk-000001"))
	for _, item := range f.store.Items() {
		var record struct {
			Spec map[string]any `json:"spec"`
		}
		if err := exactjson.Unmarshal(item.Value, &record); err != nil || record.Spec == nil {
			continue
		}
		_, has := record.Spec["awaits"]
		if want := record.Spec["id"] == "wk-000002"; has != want {
			t.Errorf("%s: got awaits %v, want %v", item.Value, has, want)
		}
	}
}

// TestVerifyFindsCycles checks that Verify reports dependency cycles, which no submission can create.
func TestVerifyFindsCycles(t *testing.T) {
	records := map[string]ledger.Event{}
	for i, spec := range []*wire.JobSpec{
		dependentSpec("wk-000001", "wk-000003"), dependentSpec("wk-000002", "wk-000001"),
		dependentSpec("wk-000003", "wk-000002"), dependentSpec("wk-000004", "wk-000001"),
	} {
		value, err := json.Marshal(map[string]any{"spec": spec, "at": 1})
		if err != nil {
			t.Fatal(err)
		}
		key := "mm1/j/" + string(spec.ID)
		records[key] = ledger.Event{Key: key, Value: value, Version: wire.Revision(i + 1)}
	}
	_, problems := ledger.Verify(records, limits)
	if len(problems) != 1 {
		t.Errorf("a cycle of three: got %v, want one problem", problems)
	}
	delete(records, "mm1/j/wk-000003")
	if _, problems := ledger.Verify(records, limits); len(problems) > 1 {
		t.Errorf("without the cycle: got %v, want at most the problem of the missing job", problems)
	}
}

// BenchmarkFinishDependency measures the end of a job with one dependent while many other jobs wait for their
// dependencies. Its cost must not grow with their number.
func BenchmarkFinishDependency(b *testing.B) {
	for _, waiting := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := ledger.New(limits)
			apply := func(version int, spec *wire.JobSpec, state string) {
				value, err := json.Marshal(map[string]any{"spec": spec, "at": 1, "state": state})
				if err != nil {
					b.Fatal(err)
				}
				l.Apply(ledger.Event{Key: "mm1/j/" + string(spec.ID), Value: value, Version: wire.Revision(version)})
			}
			for i := range waiting {
				id := wire.JobID(fmt.Sprintf("wk-%07d", 2*i))
				apply(1, dependentSpec(id), "")
				apply(1, dependentSpec(wire.JobID(fmt.Sprintf("wk-%07d", 2*i+1)), id), "")
			}
			first, second := dependentSpec("wk-9000000"), dependentSpec("wk-9000001", "wk-9000000")
			for n := 0; b.Loop(); n++ {
				first.ID = wire.JobID(fmt.Sprintf("wk-9%07d", 2*n))
				second.ID = wire.JobID(fmt.Sprintf("wk-9%07d", 2*n+1))
				second.Dependencies = []wire.JobID{first.ID}
				apply(2, first, "")
				apply(2, second, "")
				apply(3, first, "done")
				apply(3, second, "cancelled")
				l.DrainNewlyReady()
			}
		})
	}
}
