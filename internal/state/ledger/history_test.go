package ledger_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/testing/model"
	"maddermill/wire"
)

// history is a random sequence of transactions by controllers whose ledgers lag behind. Every commit that
// the store takes is checked against the plain model of the rules.
type history struct {
	rng             *rand.Rand
	store           *emulator.Store
	unguardedPrefix string // the prefix of the keys on which the store ignores conditions, "" for none
	events          []ledger.Event
	ledgers         []*ledger.Ledger // of the controllers
	current         *ledger.Ledger   // sees every commit at once
	leader          wire.Revision    // of the leader's record

	ids        []wire.JobID
	specs      map[wire.JobID]*wire.JobSpec
	proven     map[wire.TaskID][]ledger.Claim // claims whose tasks are proven to run no more
	finals     map[wire.JobID]ledger.FinalRecord
	archivedAt map[wire.JobID]wire.Revision
	delayed    []wire.Txn // are committed some time later
	state      model.State

	violations []string
	commits    int
	conflicts  int
}

// newHistory returns a history with a leader and the format with an archive.
func newHistory(t *testing.T, seed uint64, blind string) *history {
	t.Helper()
	h := &history{
		rng:             rand.New(rand.NewPCG(seed, 7)),
		store:           emulator.NewStore(limits.TxnOps, limits.ValueBytes),
		unguardedPrefix: blind,
		ledgers:         []*ledger.Ledger{ledger.New(limits), ledger.New(limits), ledger.New(limits)},
		current:         ledger.New(limits),
		specs:           map[wire.JobID]*wire.JobSpec{},
		proven:          map[wire.TaskID][]ledger.Claim{},
		finals:          map[wire.JobID]ledger.FinalRecord{},
		archivedAt:      map[wire.JobID]wire.Revision{},
	}
	if blind != "" {
		h.store.Blind = map[string]bool{blind: true}
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

// runHistory returns a history after a number of steps.
func runHistory(t *testing.T, seed uint64, blind string, steps int) *history {
	t.Helper()
	h := newHistory(t, seed, blind)
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

// commit commits a request, if the store takes it, and checks the records after it against those before.
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
		h.current.DropFilterPage(string(id)) // what is stored counts, not what the ledger adds to it
	}
	readPages(h.current, h.store, h.ids...)
	after := model.Read(h.current, h.ids, h.finals, h.state)
	quotas := map[wire.Team]float64{"capped": 4}
	h.violations = append(h.violations, model.Check(h.state, after, quotas, func(t wire.TaskID, c ledger.Claim) bool {
		return slices.Contains(h.proven[t], c)
	})...)
	h.state = after
}

// observe records a committed change. The archive is no part of the events that ledgers see.
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
		if err := json.Unmarshal(c.Value, &r); err != nil {
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
			h.violations = append(h.violations, "forgotten: a page that was kept up lacks "+string(id))
		}
	}
	txn := l.NewTransaction()
	for range 1 + h.rng.IntN(3) {
		if len(h.ids) == 0 || h.rng.IntN(12) == 0 {
			spec := h.newSpec(step)
			h.ids = append(h.ids, spec.ID)
			h.specs[spec.ID] = spec
			_ = txn.Submit(spec, wire.UnixMillis(step)) // refusals are part of the history, here and below
			continue
		}
		j := l.Job(h.ids[h.rng.IntN(len(h.ids))])
		if j == nil {
			// Not accepted yet, or archived: a user submits a job once more.
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

// transition adds a random transition of a job or a machine, and returns the transaction with it: another
// one for the archive, which shares no transaction with starts and exits.
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
		if one := l.NewTransaction(); one.CompactTerminated(part, []wire.MachineID{name}) == nil {
			return one
		}
	case 14:
		// As in 1: phases are rare otherwise.
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

// archive returns a transaction that archives finished jobs or deletes ranges of one, txn if none can be.
func (h *history) archive(txn *ledger.Transaction, l *ledger.Ledger) *ledger.Transaction {
	var finished []wire.JobID
	l.EachFinished(func(id wire.JobID, _ wire.Revision) { finished = append(finished, id) })
	slices.Sort(finished)
	if h.rng.IntN(3) == 0 { // a controller that finds a conflict reads the page again
		for _, id := range finished {
			l.DropFilterPage(string(id))
		}
	}
	readPages(l, h.store, finished...)
	if len(finished) == 0 {
		return txn
	}
	one := l.NewTransaction()
	if h.rng.IntN(2) == 0 && one.DeleteTaskRanges(finished[0]) == nil {
		return one
	}
	if l.FilterPage(finished[0]) == l.FilterPage(finished[len(finished)-1]) {
		if _, err := one.Archive(finished[:1+h.rng.IntN(len(finished))]); err == nil {
			return one
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
	var parts []ledger.GangPart
	for left := j.Pending(); left > 0; {
		n := 1 + h.rng.IntN(left)
		parts = append(parts, ledger.GangPart{Target: target(h.rng.IntN(6), token), Count: n})
		left -= n
	}
	if parts != nil {
		_ = txn.ClaimGang(j, parts)
	}
}

// completeGang records that one task of a gang is done, which proves it of all.
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

// release releases a task of each of some claims.
func (h *history) release(txn *ledger.Transaction, j *ledger.Job) {
	j.Claims(func(c ledger.Claim) bool {
		task := c.First + wire.TaskIndex(h.rng.IntN(c.Count))
		if _, err := txn.ReleaseTasks(j, c, []wire.TaskIndex{task}, ledger.TaskEnd(h.rng.IntN(2) == 0)); err == nil {
			h.prove(j, c, task)
		}
		return h.rng.IntN(2) == 0
	})
}

// prove notes that a task no longer runs under a claim.
func (h *history) prove(j *ledger.Job, c ledger.Claim, task wire.TaskIndex) {
	id := wire.TaskID{Job: j.ID, Index: task}
	c.First, c.Count = task, 1
	h.proven[id] = append(h.proven[id], c)
}

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

// TestRemovedGuardsAreSeen shows that the checks above can fail: without the conditions on one kind of
// record, the rule that they guard is violated.
func TestRemovedGuardsAreSeen(t *testing.T) {
	for _, tc := range []struct{ blind, rule string }{
		{"mm1/j/", "ran_twice"},
		{"mm1/j/", "went_back"},
		{"mm1/j/", "ran_cancelled"},
		{"mm1/t/", "ran_twice"},
		{"mm1/u/", "quota"},
		{"mm1/m/", "a start on a leaving machine"},
		// The archive's own: an archived job is accepted again by a transaction that is committed late,
		// and two that archive jobs of one page at once lose each other's from the filter.
		{"mma1/j/", "accepted anew"},
		{"mma1/f/", "forgotten: the filter"},
	} {
		t.Run(tc.blind+" "+tc.rule, func(t *testing.T) {
			violated := false
			for seed := uint64(1); seed <= 60 && !violated; seed++ {
				h := runHistory(t, seed, tc.blind, 400)
				violated = slices.ContainsFunc(h.violations, func(s string) bool { return strings.HasPrefix(s, tc.rule) })
			}
			if !violated {
				t.Errorf("without conditions on %s nothing violated %q", tc.blind, tc.rule)
			}
		})
	}
}
