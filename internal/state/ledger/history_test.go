package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/testing/model"
	"maddermill/wire"
)

// history is a random sequence of transactions by controllers whose ledgers lag behind the store. Every successful
// commit is checked against the reference model of the rules.
type history struct {
	rng             *rand.Rand
	store           *emulator.Store
	unguardedPrefix string // the prefix of the keys on which the store ignores conditions, "" for none
	events          []ledger.Event
	ledgers         []*ledger.Ledger // of the controllers
	current         *ledger.Ledger   // sees every commit immediately
	leader          wire.Revision    // the version of the leader record

	ids        []wire.JobID
	specs      map[wire.JobID]*wire.JobSpec
	proven     map[wire.TaskID][]ledger.Claim // claims of single tasks that are proven to run no longer
	finals     map[wire.JobID]ledger.FinalRecord
	archivedAt map[wire.JobID]wire.Revision
	delayed    []wire.Txn // to be committed later
	state      model.State

	violations []string
	commits    int
	conflicts  int
}

// newHistory returns a history with a leader record and ArchiveFormat.
func newHistory(t *testing.T, seed uint64, unguardedPrefix string) *history {
	t.Helper()
	h := &history{
		rng:             rand.New(rand.NewPCG(seed, 7)),
		store:           emulator.NewStore(limits.TxnOps, limits.ValueBytes),
		unguardedPrefix: unguardedPrefix,
		ledgers:         []*ledger.Ledger{ledger.New(limits), ledger.New(limits), ledger.New(limits)},
		current:         ledger.New(limits),
		specs:           map[wire.JobID]*wire.JobSpec{},
		proven:          map[wire.TaskID][]ledger.Claim{},
		finals:          map[wire.JobID]ledger.FinalRecord{},
		archivedAt:      map[wire.JobID]wire.Revision{},
	}
	if unguardedPrefix != "" {
		h.store.UncheckedPrefixes = map[string]bool{unguardedPrefix: true}
	}
	h.state = model.Read(h.current, h.ids, h.finals, model.State{})
	record := []byte(`{"by":"m-0","token":1}`)
	var err error
	if h.leader, err = h.store.Apply(wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: record}}}); err != nil {
		t.Fatal(err)
	}
	h.events = append(h.events, ledger.Event{Key: ledger.LeaderKey, Value: record, Version: h.leader})
	h.current.Apply(h.events[0])
	upgrade := h.current.NewTransaction()
	if err := upgrade.UpgradeFormat(ledger.ArchiveFormat, 0); err != nil {
		t.Fatal(err)
	}
	request, err := upgrade.Request()
	if err != nil {
		t.Fatal(err)
	}
	h.commit(request)
	return h
}

// runHistory returns a history after the given number of steps.
func runHistory(t *testing.T, seed uint64, unguardedPrefix string, steps int) *history {
	t.Helper()
	h := newHistory(t, seed, unguardedPrefix)
	for step := range steps {
		request, err := h.transaction(step).Request()
		if err != nil {
			t.Fatal(err)
		}
		if len(request.Then) == 0 {
			continue
		}
		if h.rng.IntN(8) == 0 {
			h.delayed = append(h.delayed, request)
			continue
		}
		h.commit(request)
		if len(h.delayed) > 0 && h.rng.IntN(4) == 0 {
			h.commit(h.delayed[0])
			h.delayed = h.delayed[1:]
		}
	}
	h.violations = append(h.violations, h.store.Problems...)
	return h
}

// commit sends a request to the store and, if it succeeds, checks the records after it against those before it.
func (h *history) commit(request wire.Txn) {
	revision, err := h.store.Apply(request)
	if err != nil {
		h.conflicts++
		return
	}
	h.commits++
	for _, c := range request.Then {
		h.observe(c, revision)
	}
	for _, id := range h.ids {
		h.current.DropFilterPage(string(id)) // so that the stored pages are checked, not the ledger's additions to them
	}
	readPages(h.current, h.store, h.ids...)
	after := model.Read(h.current, h.ids, h.finals, h.state)
	quotas := map[wire.Team]float64{"capped": 4}
	h.violations = append(h.violations, model.Check(h.state, after, quotas, func(t wire.TaskID, c ledger.Claim) bool {
		return slices.Contains(h.proven[t], c)
	})...)
	h.state = after
}

// observe records a committed change. Changes of the archive are not among the events that ledgers see.
func (h *history) observe(c wire.Change, revision wire.Revision) {
	e := ledger.Event{Key: c.Put, Value: c.Value, Version: revision}
	if c.Delete != "" {
		e.Key = c.Delete
	}
	if strings.HasPrefix(e.Key, ledger.FilterPrefix) {
		return
	}
	if id, ok := strings.CutPrefix(c.Put, ledger.FinalKey("")); ok {
		var r ledger.FinalRecord
		if err := exactjson.Unmarshal(c.Value, &r); err != nil {
			h.violations = append(h.violations, err.Error())
		}
		h.finals[wire.JobID(id)], h.archivedAt[wire.JobID(id)] = r, revision
		return
	}
	h.events = append(h.events, e)
	h.current.Apply(e)
}

// transaction returns the next transaction of a random controller, which may be empty.
func (h *history) transaction(step int) *ledger.Transaction {
	controller := h.rng.IntN(len(h.ledgers))
	l := h.ledgers[controller]
	catchUp(l, h.events, len(h.events)-h.rng.IntN(min(len(h.events), 6)+1))
	for id, at := range h.archivedAt {
		if may, known := l.MayBeArchived(id); known && !may && at <= l.Revision() && h.unguardedPrefix == "" {
			h.violations = append(h.violations, "forgotten: an up-to-date filter page lacks "+string(id))
		}
	}
	txn := l.NewTransaction()
	for range 1 + h.rng.IntN(3) {
		if len(h.ids) == 0 || h.rng.IntN(12) == 0 {
			spec := h.newSpec(step)
			h.ids = append(h.ids, spec.ID)
			h.specs[spec.ID] = spec
			_ = txn.Submit(spec, wire.UnixMillis(step)) // here and below, failed transitions are part of the history
			continue
		}
		j := l.Job(h.ids[h.rng.IntN(len(h.ids))])
		if j == nil {
			// Not accepted yet, or archived: submits a known job again, as a user may.
			_ = txn.Submit(h.specs[h.ids[h.rng.IntN(len(h.ids))]], wire.UnixMillis(step))
			continue
		}
		txn = h.transition(txn, l, j, wire.FencingToken(controller+1))
	}
	return txn
}

// newSpec returns a random job.
func (h *history) newSpec(i int) *wire.JobSpec {
	s := &wire.JobSpec{
		ID:       wire.JobID(fmt.Sprintf("wk-%06d", i)),
		Class:    "c",
		Team:     []wire.Team{"free", "capped"}[h.rng.IntN(2)],
		Shape:    wire.Array,
		Priority: wire.Normal,
		Tasks:    1 + h.rng.IntN(20),
		CPUs:     1,
		GPUs:     1,
		Image:    "i",
	}
	switch h.rng.IntN(5) {
	case 0:
		s.OneZone = true
	case 1:
		s.Spread = true
	case 2:
		s.Shape, s.Tasks = wire.Gang, 1+h.rng.IntN(4)
	}
	return s
}

// transition adds a random transition of a job or a machine, and returns the transaction that contains it. Archive
// transitions get a transaction of their own, because they never share one with claims and releases.
func (h *history) transition(
	txn *ledger.Transaction, l *ledger.Ledger, j *ledger.Job, token wire.FencingToken,
) *ledger.Transaction {
	machine := h.rng.IntN(6)
	name := target(machine, 0).Machine
	switch h.rng.IntN(15) {
	case 0:
		_, _ = txn.Cancel(j)
	case 1:
		phase := ledger.Terminated
		if h.rng.IntN(4) == 0 {
			phase = ledger.Terminating
		}
		_ = txn.SetMachinePhase(name, phase, "test", h.leader)
	case 12:
		return h.archive(txn, l)
	case 13:
		part, _ := archive.PartOfMachine(string(name))
		if separate := l.NewTransaction(); separate.CompactTerminated(part, []wire.MachineID{name}) == nil {
			return separate
		}
	case 14:
		// A second chance besides case 1, without which machines are rarely terminated.
		_ = txn.SetMachinePhase(name, ledger.Terminated, "test", h.leader)
	case 2, 3, 4, 5, 6:
		h.claim(txn, j, machine, token)
	case 7:
		_ = txn.TakeOver(j, j.Attempt(), target(machine, token))
	default:
		if j.Spec.Shape == wire.Gang && j.Spec.Tasks > 1 && h.rng.IntN(2) == 0 {
			h.completeGang(txn, j)
		} else {
			h.release(txn, j)
		}
	}
	return txn
}

// archive returns a transaction that archives finished jobs or deletes task ranges of one, or txn if that is not
// possible.
func (h *history) archive(txn *ledger.Transaction, l *ledger.Ledger) *ledger.Transaction {
	var finished []wire.JobID
	l.EachArchivable(func(id wire.JobID, _ wire.Revision) { finished = append(finished, id) })
	slices.Sort(finished)
	if h.rng.IntN(3) == 0 { // as a controller does after a conflict, to read the page again
		for _, id := range finished {
			l.DropFilterPage(string(id))
		}
	}
	readPages(l, h.store, finished...)
	if len(finished) == 0 {
		return txn
	}
	separate := l.NewTransaction()
	if h.rng.IntN(2) == 0 && separate.DeleteTaskRanges(finished[0]) == nil {
		return separate
	}
	if l.FilterPage(finished[0]) == l.FilterPage(finished[len(finished)-1]) {
		if _, err := separate.ArchiveJobs(finished[:1+h.rng.IntN(len(finished))]); err == nil {
			return separate
		}
	}
	return txn
}

// claim claims some tasks of an array on a machine, or all of a gang on random machines.
func (h *history) claim(txn *ledger.Transaction, j *ledger.Job, machine int, token wire.FencingToken) {
	if j.Spec.Shape != wire.Gang {
		_, _ = txn.Claim(j, target(machine, token), 1+h.rng.IntN(5), nil)
		return
	}
	var parts []ledger.GangAllocation
	for left := j.Pending(); left > 0; {
		n := 1 + h.rng.IntN(left)
		parts = append(parts, ledger.GangAllocation{Target: target(h.rng.IntN(6), token), Count: n})
		left -= n
	}
	if parts != nil {
		_ = txn.ClaimGang(j, parts)
	}
}

// completeGang completes a gang. The completion of one of its tasks proves that of all.
func (h *history) completeGang(txn *ledger.Transaction, j *ledger.Job) {
	if _, err := txn.CompleteGang(j, j.Attempt()); err != nil {
		return
	}
	j.Claims(func(c ledger.Claim) bool {
		for i := range c.Count {
			h.prove(j, c, c.First+wire.TaskIndex(i))
		}
		return true
	})
}

// release releases one task from each of some claims.
func (h *history) release(txn *ledger.Transaction, j *ledger.Job) {
	j.Claims(func(c ledger.Claim) bool {
		task := c.First + wire.TaskIndex(h.rng.IntN(c.Count))
		if _, err := txn.ReleaseTasks(j, c, []wire.TaskIndex{task}, ledger.TaskOutcome(h.rng.IntN(2) == 0)); err == nil {
			h.prove(j, c, task)
		}
		return h.rng.IntN(2) == 0
	})
}

// prove records the proof that a task no longer runs under a claim.
func (h *history) prove(j *ledger.Job, c ledger.Claim, task wire.TaskIndex) {
	id := wire.TaskID{Job: j.ID, Index: task}
	c.First, c.Count = task, 1
	h.proven[id] = append(h.proven[id], c)
}

// TestStaleControllersKeepTheRules checks that transactions decided from stale ledgers, some of them committed late,
// violate no rule of the model.
func TestStaleControllersKeepTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		h := runHistory(t, seed, "", 400)
		if len(h.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, h.violations[0])
		}
		if h.commits < 50 || h.conflicts < 5 {
			t.Errorf("seed %d: got %d commits and %d conflicts, want at least 50 and 5", seed, h.commits, h.conflicts)
		}
	}
}

// TestRemovedConditionsAreDetected checks that TestStaleControllersKeepTheRules can fail: without the conditions on
// one kind of record, the model reports a violation of the rule that they guard.
func TestRemovedConditionsAreDetected(t *testing.T) {
	for _, tc := range []struct{ unguardedPrefix, rule string }{
		{"mm1/j/", "ran_twice"},
		{"mm1/j/", "went_back"},
		{"mm1/j/", "ran_cancelled"},
		{"mm1/t/", "ran_twice"},
		{"mm1/u/", "quota"},
		{"mm1/m/", "a start on a leaving machine"},
		// Rules of the archive: a transaction that is committed late accepts an archived job again, and two
		// transactions that concurrently archive jobs of one page lose each other's jobs from the filter.
		{"mma1/j/", "accepted anew"},
		{"mma1/f/", "forgotten: the filter"},
	} {
		t.Run(tc.unguardedPrefix+" "+tc.rule, func(t *testing.T) {
			violated := false
			for seed := uint64(1); seed <= 60 && !violated; seed++ {
				h := runHistory(t, seed, tc.unguardedPrefix, 400)
				violated = slices.ContainsFunc(h.violations, func(s string) bool { return strings.HasPrefix(s, tc.rule) })
			}
			if !violated {
				t.Errorf("without conditions on %s nothing violated %q", tc.unguardedPrefix, tc.rule)
			}
		})
	}
}
