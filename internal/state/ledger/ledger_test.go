package ledger_test

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/testing/model"
	"maddermill/wire"
)

var limits = ledger.Limits{ValueBytes: 2048, TxnOps: 8, TxnBytes: kvstore.TxnBytes,
	TeamMax: map[wire.Team]ledger.Resources{"capped": ledger.NewResources(0, 4, 0)}}

func site(m int, token wire.FencingToken) ledger.ClaimTarget {
	return ledger.ClaimTarget{
		Machine: wire.MachineID(fmt.Sprintf("host-%d", m)),
		Type:    "g2",
		Zone:    []wire.Zone{"a", "b"}[m%2],
		Session: 1,
		Token:   token,
	}
}

func spec(rng *rand.Rand, i int) *wire.JobSpec {
	s := &wire.JobSpec{
		ID:       wire.JobID(fmt.Sprintf("wk-%06d", i)),
		Class:    "c",
		Team:     []wire.Team{"free", "capped"}[rng.IntN(2)],
		Shape:    wire.Array,
		Priority: wire.Normal,
		Tasks:    1 + rng.IntN(20),
		CPUs:     1,
		GPUs:     1,
		Image:    "i",
	}
	switch rng.IntN(5) {
	case 0:
		s.OneZone = true
	case 1:
		s.Spread = true
	case 2:
		s.Shape, s.Tasks = wire.Gang, 1+rng.IntN(4)
	}
	return s
}

// pageOf reads the page of the filter that a job is on.
func pageOf(store *emulator.Store, id wire.JobID) (*archive.Page, wire.Revision) {
	for _, it := range store.Items() {
		if strings.HasPrefix(it.Key, ledger.FilterPrefix) && it.Key > ledger.FilterKey(archive.Position(string(id))) {
			p := new(archive.Page)
			if err := json.Unmarshal(it.Value, p); err != nil {
				panic(err)
			}
			return p, it.Version
		}
	}
	return archive.FirstPage(), 0
}

// mirror brings a ledger up to some revision, as a watch that lags would: a revision's
// changes come together.
func mirror(l *ledger.Ledger, items *[]ledger.Event, upTo int) {
	for upTo > 0 && upTo < len(*items) && (*items)[upTo].Version == (*items)[upTo-1].Version {
		upTo++
	}
	had := l.Revision()
	for _, e := range (*items)[:upTo] {
		if e.Version > had {
			l.Apply(e)
			l.AdvanceRevision(e.Version)
		}
	}
}

// history lets stale controllers draft against what they last saw, and checks
// every commit that the store takes against the plain model.
func history(seed uint64, blind string, steps int) (bad []string, commits, conflicts int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	store := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
	if blind != "" {
		store.Blind = map[string]bool{blind: true}
	}
	var events []ledger.Event
	ledgers := []*ledger.Ledger{ledger.New(limits), ledger.New(limits), ledger.New(limits)}
	truth := ledger.New(limits)
	var ids []wire.JobID
	proven := map[wire.TaskID][]ledger.Claim{}
	var late []wire.Txn
	finals, movedAt := map[wire.JobID]ledger.FinalRecord{}, map[wire.JobID]wire.Revision{}
	before := model.Read(truth, ids, finals, model.State{})
	// read has a ledger know the pages of the filter that it needs.
	read := func(l *ledger.Ledger, ids ...wire.JobID) {
		for _, id := range ids {
			if !l.FilterPageKnown(string(id)) {
				page, version := pageOf(store, id)
				l.PutFilterPage(page, version, l.FilterAdditions())
			}
		}
	}
	commit := func(t wire.Txn) error {
		rev, err := store.Apply(t)
		if err != nil {
			conflicts++
			return err
		}
		for _, c := range t.Then {
			e := ledger.Event{Key: c.Put, Value: c.Value, Version: rev}
			if c.Delete != "" {
				e.Key = c.Delete
			}
			if strings.HasPrefix(e.Key, ledger.FilterPrefix) {
				continue // not mirrored
			}
			if id, ok := strings.CutPrefix(c.Put, ledger.FinalKey("")); ok {
				var r ledger.FinalRecord
				if err := json.Unmarshal(c.Value, &r); err != nil {
					bad = append(bad, err.Error())
				}
				finals[wire.JobID(id)], movedAt[wire.JobID(id)] = r, rev
				continue // not mirrored
			}
			events = append(events, e)
			truth.Apply(e)
		}
		commits++
		for _, id := range ids {
			truth.DropFilterPage(string(id)) // what is stored counts, not what is kept up from what is seen
		}
		read(truth, ids...)
		after := model.Read(truth, ids, finals, before)
		caps := map[wire.Team]float64{"capped": 4}
		bad = append(bad, model.Check(before, after, caps, func(t wire.TaskID, c ledger.Claim) bool {
			return slices.Contains(proven[t], c)
		})...)
		before = after
		return nil
	}
	leader, _ := store.Apply(
		wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: []byte(`{"by":"m-0","token":1}`)}}},
	)
	events = append(
		events,
		ledger.Event{Key: ledger.LeaderKey, Value: []byte(`{"by":"m-0","token":1}`), Version: leader},
	)
	truth.Apply(events[0])
	raise := truth.NewTransaction()
	if err := raise.UpgradeFormat(ledger.ArchiveFormat, 0); err != nil {
		return []string{err.Error()}, 0, 0
	}
	raised, _ := raise.Request()
	_ = commit(raised)
	specs := map[wire.JobID]*wire.JobSpec{}
	for step := range steps {
		who := rng.IntN(len(ledgers))
		l := ledgers[who]
		mirror(l, &events, len(events)-rng.IntN(min(len(events), 6)+1))
		for id, at := range movedAt {
			if may, known := l.MayBeArchived(id); known && !may && at <= l.Revision() && blind == "" {
				bad = append(bad, "forgotten: a page that was kept up lacks "+string(id))
			}
		}
		d := l.NewTransaction()
		for range 1 + rng.IntN(3) {
			if len(ids) == 0 || rng.IntN(12) == 0 {
				s := spec(rng, step)
				ids = append(ids, s.ID)
				specs[s.ID] = s
				_ = d.Submit(s, wire.UnixMillis(step))
				continue
			}
			j := l.Job(ids[rng.IntN(len(ids))])
			if j == nil {
				// Not accepted yet, or archived: a user asks once more.
				_ = d.Submit(specs[ids[rng.IntN(len(ids))]], wire.UnixMillis(step))
				continue
			}
			machine := rng.IntN(6)
			switch rng.IntN(15) {
			case 0:
				_, _ = d.Cancel(j)
			case 1:
				if rng.IntN(4) == 0 {
					_ = d.SetMachinePhase(site(machine, 0).Machine, ledger.Terminating, "test", leader)
				} else {
					_ = d.SetMachinePhase(site(machine, 0).Machine, ledger.Terminated, "test", leader)
				}
			case 12:
				var over []wire.JobID
				l.EachFinished(func(id wire.JobID, _ wire.Revision) { over = append(over, id) })
				slices.Sort(over)
				if rng.IntN(3) == 0 { // a controller that finds a conflict reads the page anew
					for _, id := range over {
						l.DropFilterPage(string(id))
					}
				}
				read(l, over...)
				if len(over) > 0 {
					one := l.NewTransaction() // what is moved shares no transaction with starts and exits
					if rng.IntN(2) == 0 && one.DeleteTaskRanges(over[0]) == nil {
						d = one
					} else if page := l.FilterPage(over[0]); page == l.FilterPage(over[len(over)-1]) {
						if _, err := one.Archive(over[:1+rng.IntN(len(over))]); err == nil {
							d = one
						}
					}
				}
			case 13:
				part, _ := archive.PartOfMachine(string(site(machine, 0).Machine))
				if one := l.NewTransaction(); one.CompactTerminated(part, []wire.MachineID{site(machine, 0).Machine}) == nil {
					d = one
				}
			case 14:
				// As in 1: marks are rare otherwise.
				_ = d.SetMachinePhase(site(machine, 0).Machine, ledger.Terminated, "test", leader)
			case 2, 3, 4, 5, 6:
				if j.Spec.Shape == wire.Gang {
					left, parts := j.Pending(), []ledger.GangPart(nil)
					for left > 0 {
						n := 1 + rng.IntN(left)
						parts = append(parts, ledger.GangPart{Site: site(rng.IntN(6), wire.FencingToken(who+1)), Count: n})
						left -= n
					}
					if parts != nil {
						_ = d.ClaimGang(j, parts)
					}
				} else {
					_, _ = d.Claim(j, site(machine, wire.FencingToken(who+1)), 1+rng.IntN(5), nil)
				}
			case 7:
				_ = d.TakeOver(j, j.Attempt(), site(machine, wire.FencingToken(who+1)))
			default:
				if j.Spec.Shape == wire.Gang && j.Spec.Tasks > 1 && rng.IntN(2) == 0 {
					// One of its tasks is done, which proves it of all.
					attempt := j.Attempt()
					if _, err := d.CompleteGang(j, attempt); err == nil {
						j.Claims(func(c ledger.Claim) bool {
							for i := range c.Count {
								one := c
								one.First, one.Count = c.First+wire.TaskIndex(i), 1
								id := wire.TaskID{Job: j.ID, Index: one.First}
								proven[id] = append(proven[id], one)
							}
							return true
						})
					}
					break
				}
				j.Claims(func(c ledger.Claim) bool {
					t := c.First + wire.TaskIndex(rng.IntN(c.Count))
					one := c
					one.First, one.Count = t, 1
					if _, err := d.ReleaseTasks(j, c, []wire.TaskIndex{t}, rng.IntN(2) == 0); err == nil {
						id := wire.TaskID{Job: j.ID, Index: t}
						proven[id] = append(proven[id], one)
					}
					return rng.IntN(2) == 0
				})
			}
		}
		t, err := d.Request()
		if err != nil {
			return append(bad, err.Error()), commits, conflicts
		}
		if len(t.Then) == 0 {
			continue
		}
		if rng.IntN(8) == 0 {
			late = append(late, t) // held back: applied some time later
			continue
		}
		_ = commit(t)
		if len(late) > 0 && rng.IntN(4) == 0 {
			_ = commit(late[0])
			late = late[1:]
		}
	}
	return append(bad, store.Problems...), commits, conflicts
}

func TestStaleControllersKeepTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		bad, commits, conflicts := history(seed, "", 400)
		if len(bad) > 0 {
			t.Fatalf("seed %d: %v", seed, bad[0])
		}
		if commits < 50 || conflicts < 5 {
			t.Errorf("seed %d: only %d commits and %d conflicts", seed, commits, conflicts)
		}
	}
}

// TestRemovedGuardsAreSeen shows that the checks above can fail: without the
// conditions on one kind of record, the rule that they hold breaks.
func TestRemovedGuardsAreSeen(t *testing.T) {
	for _, tc := range []struct{ blind, rule string }{
		{"mm1/j/", "ran_twice"},
		{"mm1/j/", "went_back"},
		{"mm1/j/", "ran_cancelled"},
		{"mm1/t/", "ran_twice"},
		{"mm1/u/", "quota"},
		{"mm1/m/", "a start on a leaving machine"},
		// The archive's own: an archived job is accepted anew by a transaction that lands late,
		// and two that move jobs of one page at once lose each other's from the filter.
		{"mma1/j/", "accepted anew"},
		{"mma1/f/", "forgotten: the filter"},
	} {
		seen := false
		for seed := uint64(1); seed <= 60 && !seen; seed++ {
			bad, _, _ := history(seed, tc.blind, 400)
			seen = slices.ContainsFunc(bad, func(s string) bool { return strings.HasPrefix(s, tc.rule) })
		}
		if !seen {
			t.Errorf("without conditions on %s nothing broke %q", tc.blind, tc.rule)
		}
	}
}

func TestLargeJobsAreKeptInRanges(t *testing.T) {
	l := ledger.New(limits)
	store := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
	run := func(f func(*ledger.Transaction) error) {
		t.Helper()
		d := l.NewTransaction()
		if err := f(d); err != nil {
			t.Fatal(err)
		}
		txn, err := d.Request()
		if err != nil {
			t.Fatal(err)
		}
		rev, err := store.Apply(txn)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range txn.Then {
			l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: rev})
		}
	}
	s := &wire.JobSpec{
		ID:       "wk-000001",
		Class:    "c",
		Team:     "free",
		Shape:    wire.Array,
		Priority: wire.Normal,
		Tasks:    50,
		CPUs:     1,
		Image:    "i",
	}
	run(func(d *ledger.Transaction) error { return d.Submit(s, 1) })
	j := l.Job(s.ID)
	for j.Pending() > 0 {
		run(func(d *ledger.Transaction) error { _, err := d.Claim(j, site(1, 1), 20, nil); return err })
	}
	for i := range 50 {
		if j.State != ledger.Active {
			t.Fatalf("%s after %d of 50 tasks", j.State, i)
		}
		run(func(d *ledger.Transaction) error {
			var claim ledger.Claim
			j.Claims(func(c ledger.Claim) bool { claim = c; return false })
			_, err := d.ReleaseTasks(j, claim, []wire.TaskIndex{claim.First}, true)
			return err
		})
	}
	if j.State != ledger.Done || j.Done != 50 || l.ClaimsOn("host-1") != nil {
		t.Errorf("state %q, %d done, %d held", j.State, j.Done, len(l.ClaimsOn("host-1")))
	}
	if _, err := l.NewTransaction().Cancel(j); err != nil || j.Status() != wire.Done {
		t.Errorf("a done job can be cancelled: %v", err)
	}
}

// TestControllersBeginApart: starts of a large job that one controller makes on several machines
// are in one record, and those of others in other records, whichever of its jobs it is. They once
// began where the machine's name led, and ten starts took as many changes as there were ranges.
func TestControllersBeginApart(t *testing.T) {
	for _, controllers := range []int{2, 3, 7} {
		for i := range 20 {
			s := &wire.JobSpec{
				ID:       wire.JobID(fmt.Sprintf("wk-%06d", i)),
				Class:    "c",
				Team:     "free",
				Shape:    wire.Array,
				Priority: wire.Normal,
				Tasks:    controllers * 8 * (1 + i%3),
				CPUs:     1,
				Image:    "i",
			}
			by := map[string]int{} // which controller wrote a record of the job
			for n := range controllers {
				lim := limits
				lim.ControllerIndex, lim.ControllerCount = n, controllers
				l := ledger.New(lim)
				submit := l.NewTransaction()
				if err := submit.Submit(s, 1); err != nil {
					t.Fatal(err)
				}
				accepted, _ := submit.Request()
				l.Apply(ledger.Event{Key: accepted.Then[0].Put, Value: accepted.Then[0].Value, Version: 1})
				d := l.NewTransaction()
				for m := range 4 {
					if got, err := d.Claim(l.Job(s.ID), site(m, 1), 2, nil); got != 2 || err != nil {
						t.Fatalf("%d of 2 claimed: %v", got, err)
					}
				}
				txn, err := d.Request()
				if err != nil || len(txn.Then) != 1 {
					t.Fatalf(
						"eight starts of %s by controller %d of %d take %d changes: %v",
						s.ID,
						n,
						controllers,
						len(txn.Then),
						err,
					)
				}
				if o, ok := by[txn.Then[0].Put]; ok {
					t.Errorf("controllers %d and %d of %d both write %s", o, n, controllers, txn.Then[0].Put)
				}
				by[txn.Then[0].Put] = n
			}
		}
	}
}

// TestTwoLastRanges: two controllers that record the last tasks of different
// ranges at once both see the other's open. The job must still end.
func TestTwoLastRanges(t *testing.T) {
	l := ledger.New(limits)
	store := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
	apply := func(d *ledger.Transaction) {
		txn, _ := d.Request()
		rev, err := store.Apply(txn)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range txn.Then {
			l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: rev})
		}
	}
	size := limits.TasksPerRange()
	s := &wire.JobSpec{
		ID:       "wk-000001",
		Class:    "c",
		Team:     "free",
		Shape:    wire.Array,
		Priority: wire.Normal,
		Tasks:    3 * size,
		CPUs:     1,
		Image:    "i",
	}
	d := l.NewTransaction()
	_ = d.Submit(s, 1)
	apply(d)
	j := l.Job(s.ID)
	for j.Pending() > 0 {
		d = l.NewTransaction()
		if _, err := d.Claim(j, site(0, 1), 3*size, nil); err != nil {
			t.Fatal(err)
		}
		apply(d)
	}
	exit := func(task int) *ledger.Transaction {
		d := l.NewTransaction()
		j.Claims(func(c ledger.Claim) bool {
			if int(c.First) <= task && task < int(c.First)+c.Count {
				if _, err := d.ReleaseTasks(
					j,
					c,
					[]wire.TaskIndex{wire.TaskIndex(task)},
					true,
				); err != nil &&
					!errors.Is(err, ledger.ErrPreconditionFailed) {
					t.Fatal(err)
				}
			}
			return true
		})
		return d
	}
	for i := range 3*size - 1 {
		if i != 2*size-1 {
			apply(exit(i))
		}
	}
	one, other := exit(2*size-1), exit(3*size-1)
	apply(one)
	apply(other)
	if j.Done != 3*size {
		t.Fatalf("%d of %d done", j.Done, 3*size)
	}
	if j.State == ledger.Active {
		d = l.NewTransaction()
		if err := d.CompleteJob(j); err != nil {
			t.Fatal(err)
		}
		apply(d)
	}
	if j.State != ledger.Done {
		t.Errorf("the job is %q", j.State)
	}
}

// TestHugeArray: the tasks of a huge array that many machines take at once end in the
// worst order there is, every other one first, and some of them fail. Every value stays
// within the store's limit, nothing is stuck, and the changes are a small part of the
// tasks. An array whose claims fell into pieces of a hundred bytes each once needed
// records of thirty tasks, and nine changes for a machine's start alone.
func TestHugeArray(t *testing.T) {
	lim := ledger.Limits{ValueBytes: 4096, TxnOps: 12, TxnBytes: kvstore.TxnBytes}
	l := ledger.New(lim)
	store := emulator.NewStore(lim.TxnOps, lim.ValueBytes)
	changes := 0
	apply := func(d *ledger.Transaction) {
		t.Helper()
		txn, err := d.Request()
		if err != nil {
			t.Fatal(err)
		}
		rev, err := store.Apply(txn)
		if err != nil {
			t.Fatal(err, store.Problems)
		}
		changes += len(txn.Then)
		for _, c := range txn.Then {
			l.Apply(ledger.Event{Key: c.Put, Value: c.Value, Version: rev})
		}
	}
	l.Apply(ledger.Event{Key: ledger.MachineTypeKey("g4"), Version: 1,
		Value: []byte(`{"sku":"g4","cores":48,"accelerators":4,"ram_gb":288,"yards":["a","b"]}`)})
	const tasks = 5000
	s := &wire.JobSpec{
		ID:       "wk-000001",
		Class:    "c",
		Team:     "free",
		Shape:    wire.Array,
		Priority: wire.BestEffort,
		Tasks:    tasks,
		CPUs:     0.25,
		Image:    "i",
	}
	d := l.NewTransaction()
	if err := d.Submit(s, 1); err != nil {
		t.Fatal(err)
	}
	apply(d)
	j := l.Job(s.ID)
	rng := rand.New(rand.NewPCG(1, 2))
	starts, exits := 0, 0
	for round := 0; j.State == ledger.Active; round++ {
		if round > 2000 {
			t.Fatalf("%d of %d done after %d rounds", j.Done, tasks, round)
		}
		m := site(rng.IntN(40), 1)
		if len(l.ClaimsOn(m.Machine)) == 0 {
			d := l.NewTransaction()
			if _, err := d.Claim(j, m, 192, nil); err == nil {
				apply(d)
				starts++
			}
			continue
		}
		// One report: every other task that is there is over.
		over := map[int]map[ledger.Claim][]wire.TaskIndex{}
		for _, h := range l.ClaimsOn(m.Machine) {
			one := h.Claim
			one.First, one.Count = 0, 0
			if over[h.Range()] == nil {
				over[h.Range()] = map[ledger.Claim][]wire.TaskIndex{}
			}
			for i := 0; i < h.Count; i += 2 {
				over[h.Range()][one] = append(over[h.Range()][one], h.First+wire.TaskIndex(i))
			}
		}
		for _, claims := range over {
			for claim, list := range claims {
				d := l.NewTransaction()
				if n, err := d.ReleaseTasks(j, claim, list, rng.IntN(20) > 0); err != nil || n != len(list) {
					t.Fatalf("%d of %d exits: %v", n, len(list), err)
				}
				apply(d)
				exits++
			}
		}
	}
	if j.Done != tasks || j.Claimed != 0 {
		t.Errorf("%d done, %d claimed", j.Done, j.Claimed)
	}
	if changes > tasks/2 {
		t.Errorf("%d changes for %d tasks (%d starts, %d exits)", changes, tasks, starts, exits)
	}
	t.Logf("%d changes for %d tasks: %d starts, %d exits", changes, tasks, starts, exits)
}

// TestEarlierFormOfClaims: records that an earlier version wrote are read.
func TestEarlierFormOfClaims(t *testing.T) {
	l := ledger.New(limits)
	l.Apply(ledger.Event{
		Key:     "mm1/j/wk-000001",
		Version: 1,
		Value: []byte(
			`{"spec":{"id":"wk-000001","pieces":9,"shape":"array","owner":"free"},"at":1,"a":2,"c":[[0,2,1,"host-1","a",1,1],[4,3,2,"host-2","b",5,6]]}`,
		),
	})
	var got []ledger.Claim
	l.Job("wk-000001").Claims(func(c ledger.Claim) bool { got = append(got, c); return true })
	want := []ledger.Claim{{First: 0, Count: 2, Attempt: 1, Machine: "host-1", Zone: "a", Session: 1, Token: 1},
		{First: 4, Count: 3, Attempt: 2, Machine: "host-2", Zone: "b", Session: 5, Token: 6}}
	if !slices.Equal(got, want) {
		t.Errorf("read %+v", got)
	}
}

// TestLateStartOnASweptMachine: a start is decided, its transaction is held back, and lands
// after its machine was marked, returned and swept. Nothing of the machine's own is on record
// any more then; the head of its series is what the start fails by.
func TestLateStartOnASweptMachine(t *testing.T) {
	for _, blind := range []string{"", "mm1/g/"} {
		store, l := emulator.NewStore(limits.TxnOps, limits.ValueBytes), ledger.New(limits)
		if blind != "" {
			store.Blind = map[string]bool{blind: true}
		}
		land := func(txn wire.Txn, err error) error {
			t.Helper()
			if err != nil {
				t.Fatal(err)
			}
			rev, err := store.Apply(txn)
			for _, c := range txn.Then {
				if err == nil {
					l.Apply(ledger.Event{Key: cmp.Or(c.Put, c.Delete), Value: c.Value, Version: rev})
				}
			}
			return err
		}
		do := func(f func(d *ledger.Transaction) error) {
			t.Helper()
			d := l.NewTransaction()
			if err := f(d); err != nil {
				t.Fatal(err)
			}
			if err := land(d.Request()); err != nil {
				t.Fatal(err)
			}
		}
		_ = land(wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: []byte(`{"by":"m-0","token":1}`)}}}, nil)
		_, leader := l.Leader()
		job := &wire.JobSpec{
			ID:       "wk-000001",
			Class:    "c",
			Team:     "free",
			Shape:    wire.Array,
			Priority: wire.Normal,
			Tasks:    1,
			CPUs:     1,
			Image:    "i",
		}
		do(func(d *ledger.Transaction) error { return d.UpgradeFormat(ledger.ArchiveFormat, 0) })
		do(func(d *ledger.Transaction) error { return d.Submit(job, 1) })
		gone := func(machine int) {
			m := site(machine, 1).Machine
			part, _ := archive.PartOfMachine(string(m))
			do(func(d *ledger.Transaction) error { return d.SetMachinePhase(m, ledger.Terminating, "test", leader) })
			do(func(d *ledger.Transaction) error { return d.SetMachinePhase(m, ledger.Terminated, "test", leader) })
			do(func(d *ledger.Transaction) error { return d.CompactTerminated(part, []wire.MachineID{m}) })
		}
		gone(3)
		late := l.NewTransaction()
		if _, err := late.Claim(l.Job(job.ID), site(4, 1), 1, nil); err != nil {
			t.Fatal(err)
		}
		gone(4)
		if n := l.CountTerminated(); n != 2 || l.MachinePhase("host-4") != ledger.Terminated ||
			l.MachinePhase("host-5") != "" {
			t.Errorf("%d machines are gone", n)
		}
		before := model.Read(l, []wire.JobID{job.ID}, nil, model.State{})
		before.Marks["host-4"] = ledger.Terminated
		err := land(late.Request())
		after := model.Read(l, []wire.JobID{job.ID}, nil, before)
		bad := model.Check(before, after, nil, nil)
		if broken := blind != ""; (err == nil) != broken || (len(bad) > 0) != broken {
			t.Errorf("without conditions on %q: %v, %v", blind, err, bad)
		}
	}
}

// TestPagesAreSplitUnderRaces: two controllers that both believe to lead move jobs at once, with
// pages that the other has changed or split since, and with transactions that land late. In the
// end every job is archived and let pass by the pages as they are stored, which lie side by side.
func TestPagesAreSplitUnderRaces(t *testing.T) {
	for _, blind := range []string{"", "mma1/f/"} {
		rng := rand.New(rand.NewPCG(6, 6))
		store := emulator.NewStore(40, limits.ValueBytes)
		roomy := limits
		roomy.TxnOps = 40
		if blind != "" {
			store.Blind = map[string]bool{blind: true}
		}
		var events []ledger.Event
		land := func(txn wire.Txn) (wire.Revision, error) {
			rev, err := store.Apply(txn)
			for _, c := range txn.Then {
				if err == nil && strings.HasPrefix(c.Put+c.Delete, ledger.Prefix) {
					events = append(events, ledger.Event{Key: c.Put + c.Delete, Value: c.Value, Version: rev})
				}
			}
			return rev, err
		}
		var ids []wire.JobID
		var first wire.Txn
		f, _ := json.Marshal(ledger.FormatRecord{Format: ledger.ArchiveFormat})
		first.Then = append(first.Then, wire.Change{Put: ledger.FormatKey, Value: f})
		for i := range 900 {
			id := wire.JobID(fmt.Sprintf("wk-%06d", i))
			ids = append(ids, id)
			first.Then = append(
				first.Then,
				wire.Change{
					Put: "mm1/j/" + string(id),
					Value: fmt.Appendf(
						nil,
						`{"spec":{"id":"%s","owner":"free","shape":"array","pieces":1,"cores":1},"at":1,"state":"done","d":"AQ=="}`,
						id,
					),
				},
			)
			if len(first.Then) == 40 || i == 899 {
				if _, err := land(first); err != nil {
					t.Fatal(err)
				}
				first.Then = nil
			}
		}
		slices.SortFunc(ids, func(a, b wire.JobID) int {
			return cmp.Compare(archive.Position(string(a)), archive.Position(string(b)))
		})
		leaders := []*ledger.Ledger{ledger.New(roomy), ledger.New(roomy)}
		type draft struct {
			d   *ledger.Transaction
			txn wire.Txn
			l   *ledger.Ledger
			id  wire.JobID
		}
		var late []draft
		finish := func(m draft) {
			rev, err := land(m.txn)
			mirror(m.l, &events, len(events))
			if err != nil {
				m.l.DropFilterPage(string(m.id))
			} else {
				m.d.Committed(rev)
			}
		}
		conflicts := 0
		for step := 0; ; step++ {
			l := leaders[rng.IntN(2)]
			if rng.IntN(3) == 0 || step > 3000 {
				mirror(l, &events, len(events))
			}
			at := rng.IntN(len(ids))
			var group []wire.JobID
			for _, id := range append(slices.Clone(ids[at:]), ids[:at]...) {
				if l.Archivable(id) {
					if !l.FilterPageKnown(string(id)) {
						p, version := pageOf(store, id)
						l.PutFilterPage(p, version, l.FilterAdditions())
					}
					if len(group) > 0 && !l.FilterPage(group[0]).Covers(string(id)) || len(group) == 12 {
						break
					}
					group = append(group, id)
				}
			}
			if len(group) == 0 {
				if l == leaders[0] && step > 3000 {
					break
				}
				continue
			}
			d := l.NewTransaction()
			if _, err := d.Archive(group); err != nil {
				t.Fatal(err)
			}
			txn, err := d.Request()
			if err != nil {
				t.Fatal(err)
			}
			if late = append(late, draft{d, txn, l, group[0]}); rng.IntN(3) == 0 || step > 3000 {
				n := rng.IntN(len(late))
				before := len(events)
				finish(late[n])
				if len(events) == before {
					conflicts++
				}
				late = slices.Delete(late, n, n+1)
			}
		}
		lost, pages, low := 0, 0, uint32(0)
		for _, it := range store.Items() {
			if strings.HasPrefix(it.Key, ledger.FilterPrefix) {
				var p archive.Page
				if err := json.Unmarshal(it.Value, &p); err != nil {
					t.Fatal(err)
				}
				if pages++; p.Low != low && blind == "" {
					t.Errorf("a page begins at %x and the one before it ends before %x", p.Low, low)
				}
				low = p.High + 1
			}
		}
		for _, id := range ids {
			p, _ := pageOf(store, id)
			if !p.Covers(string(id)) || !p.MayHold(string(id)) {
				lost++
			}
		}
		if broken := blind != ""; (lost > 0) != broken || pages < 4 || conflicts < 20 {
			t.Errorf(
				"without conditions on %q: %d of %d are not let pass, %d pages, %d conflicts",
				blind,
				lost,
				len(ids),
				pages,
				conflicts,
			)
		}
	}
}
