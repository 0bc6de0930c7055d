package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"maddermill/internal/cloud"
	"maddermill/internal/fleet"
	"maddermill/internal/ledger"
	"maddermill/internal/standin"
	"maddermill/wire"
)

func quietCore(t testing.TB, member int) *Core {
	t.Helper()
	set := testSettings(t, member)
	link := standin.NewLink(standin.NewStore(set.Cluster.State.TxnOps, set.ValueBytes()), uint64(member+1))
	return New(set, link, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// TestOwnSilenceIsNotTheirs: a leader that has stood still does not take machines for
// lost that it could not hear meanwhile, even if the first thing to run afterwards was
// a read of the state service that made it look in touch all along.
func TestOwnSilenceIsNotTheirs(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name  string
		ran   time.Duration // how long ago this process last ran
		since time.Duration // how long ago it went on after a standstill, 0: never stood still
		lost  bool
	}{
		{"listened all along", 0, 0, true},
		{"stood still until now", time.Minute, 0, false},
		{"stood still until 5 s ago", 0, 5 * time.Second, false},
		{"stood still a minute ago", 0, time.Minute, true},
	} {
		c := quietCore(t, 0)
		c.loaded, c.contact = true, now
		c.ranAt = now.Add(-tc.ran)
		if tc.since > 0 {
			c.awakeSince = now.Add(-tc.since)
		}
		l := &leader{c: c, boots: boots{}, began: now.Add(-time.Hour), settled: now.Add(-time.Hour), marking: map[markKey]*change{},
			units: map[wire.MachineID]*unit{"host-1": {ListedMachine: wire.ListedMachine{ID: "host-1", Zone: "a"}, heard: now.Add(-40 * time.Second), holder: "m-0"}}}
		l.markLost(now)
		if got := len(l.marking) > 0; got != tc.lost {
			t.Errorf("%s: given up %v, want %v", tc.name, got, tc.lost)
		}
	}
}

// TestReportsFromBeforeAStandstill: what waited at the door while the process stood
// still is refused; workers gave it up long ago and report elsewhere.
func TestReportsFromBeforeAStandstill(t *testing.T) {
	c := quietCore(t, 0)
	now := time.Now()
	c.loaded, c.token, c.contact, c.ranAt = true, 1, now, now.Add(-50*time.Second)
	r := &wire.Report{Machine: "host-1", Session: 1, Tally: 1}
	if a := c.Report(t.Context(), r); a.Status != 503 {
		t.Errorf("%d for a report from before", a.Status)
	}
	c.awakeSince = now.Add(-time.Second)
	if a := c.Report(t.Context(), r); a.Status != 200 {
		t.Errorf("%d for a report from after", a.Status)
	}
}

// askedCloud counts what it is asked.
type askedCloud struct {
	standin.Cloud
	asked []wire.HireName
	fail  error
}

func (a *askedCloud) Hire(_ context.Context, h wire.Hire) ([]wire.MachineID, error) {
	a.asked = append(a.asked, h.Request)
	if a.fail != nil {
		return nil, a.fail
	}
	var got []wire.MachineID
	for i := range h.Count {
		got = append(got, wire.MachineID(fmt.Sprintf("%s-%d", h.Request, i)))
	}
	return got, nil
}

// follow applies everything that the store holds to a core's ledger.
func follow(t *testing.T, c *Core) {
	t.Helper()
	at, err := c.load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	c.advance(at)
	c.mu.Unlock()
}

// TestRentingFollowsTheRecord: a rental is on record before the cloud is asked, only
// the leader's term can write it, and a successor asks what came of it, under the same
// name. A leader that stood still with a plan in hand would otherwise rent beside its
// successor, and a successor would rent again what no list shows yet.
func TestRentingFollowsTheRecord(t *testing.T) {
	c := quietCore(t, 0)
	leads := func(token wire.Token) wire.Revision {
		value, _ := json.Marshal(ledger.LeaderRecord{Member: c.set.Member, Token: token})
		rev, err := c.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: value}}})
		if err != nil {
			t.Fatal(err)
		}
		follow(t, c)
		return rev
	}
	need := []fleet.Need{{Option: fleet.Option{Type: "g2", Zone: "a"}, Count: 3}}
	term := func(cl Cloud, v wire.Revision) *leader {
		return &leader{c: c, cloud: cl, version: v, renewed: time.Now(), units: map[wire.MachineID]*unit{}, refused: map[fleet.Option]time.Time{}}
	}
	// commit waits for the ledger, which nothing follows here.
	rent := func(l *leader) error {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = c.mirror(ctx) }()
		return l.rent(ctx, need)
	}

	first := &askedCloud{fail: cloud.ErrRefused} // the answer is lost
	l := term(first, leads(7))
	if err := rent(l); err == nil || len(first.asked) != 1 {
		t.Fatalf("asked %v, %v", first.asked, err)
	}
	next := leads(8)
	stale := &askedCloud{}
	l.cloud = stale
	if err := rent(l); err == nil || len(stale.asked) > 0 {
		t.Errorf("a deposed leader asked for %v, %v", stale.asked, err)
	}

	second := &askedCloud{}
	s := term(second, next)
	s.recent = c.led.Hires()
	s.relearn = s.recent
	if err := s.askAgain(t.Context()); err != nil || len(second.asked) != 1 || second.asked[0] != first.asked[0] || len(s.units) != 3 {
		t.Errorf("the successor asked for %v (%v) and knows of %d machines, want %v again", second.asked, err, len(s.units), first.asked)
	}
	// A controller that leads again, under the token that it led under before, uses no
	// name again.
	third := &askedCloud{}
	if err := rent(term(third, leads(7))); err != nil || len(third.asked) != 1 || third.asked[0] == first.asked[0] {
		t.Errorf("leading again it asked for %v (%v), after %v", third.asked, err, first.asked)
	}
	s.version = leads(8)
	s.renewed = time.Now().Add(-time.Minute)
	if err := s.hire(t.Context(), s.recent[0]); err == nil || len(second.asked) != 1 {
		t.Errorf("a leader whose lease may be over asked for %v", second.asked[1:])
	}
}

// TestBoots: a machine is overdue once those rented with it are up, not while all are
// late; one that never comes is given up.
func TestBoots(t *testing.T) {
	now := time.Now()
	const stated = 40 * time.Second
	rent := func(ago time.Duration) *unit {
		return &unit{ListedMachine: wire.ListedMachine{Type: "g2", Zone: "a"}, hired: now.Add(-ago)}
	}
	for _, tc := range []struct {
		name    string
		others  []time.Duration // how long ago others were rented, each up after took
		took    time.Duration
		age     time.Duration
		overdue bool
		givenUp bool
	}{
		{"alone", nil, 0, 100 * time.Second, false, false},
		{"alone, far too long", nil, 0, 130 * time.Second, false, true},
		{"the others are up", []time.Duration{90 * time.Second, 90 * time.Second, 90 * time.Second, 90 * time.Second}, stated, 90 * time.Second, true, false},
		{"the others are up, and it is young", []time.Duration{50 * time.Second, 50 * time.Second, 50 * time.Second, 50 * time.Second}, stated, 50 * time.Second, false, false},
		{"only earlier ones are up", []time.Duration{300 * time.Second, 300 * time.Second, 300 * time.Second, 300 * time.Second}, stated, 100 * time.Second, false, false},
		{"all took three times as long", []time.Duration{130 * time.Second, 130 * time.Second, 130 * time.Second, 130 * time.Second}, 3 * stated, 130 * time.Second, false, false},
		{"all are up at once: the stated time still holds", []time.Duration{50 * time.Second, 50 * time.Second, 50 * time.Second, 50 * time.Second}, time.Second, 50 * time.Second, false, false},
	} {
		b := boots{}
		for _, ago := range tc.others {
			u := rent(ago)
			b.up(u, u.hired.Add(tc.took))
		}
		u := rent(tc.age)
		if got := b.overdue(u, stated, now); got != tc.overdue {
			t.Errorf("%s: overdue %v", tc.name, got)
		}
		if got := tc.age > b.patience(u, stated); got != tc.givenUp {
			t.Errorf("%s: given up %v", tc.name, got)
		}
	}
}

// TestEarlyMachine: a machine may report before the cloud has answered its rental, and
// before any list names it. It is used from its first report on, and neither the answer
// nor the list makes it one that is awaited.
func TestEarlyMachine(t *testing.T) {
	c := quietCore(t, 0)
	value, _ := json.Marshal(ledger.LeaderRecord{Member: c.set.Member, Token: 7})
	version, err := c.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	follow(t, c)
	now := time.Now()
	c.token, c.contact = 7, now
	early := wire.MachineID("r-7-1-0")
	if a := c.Report(t.Context(), &wire.Report{Machine: early, Type: "g2", Zone: "a", Session: 1, Tally: 1}); a.Status != 200 {
		t.Fatalf("its first report got %d", a.Status)
	}
	l := &leader{c: c, cloud: &askedCloud{}, version: version, began: now, renewed: now, boots: boots{}, units: map[wire.MachineID]*unit{}, refused: map[fleet.Option]time.Time{}}
	l.observe(now)
	heard := l.units[early]
	if heard == nil || heard.heard.IsZero() {
		t.Fatal("the leader does not count on a machine that reports")
	}
	hire := ledger.HireIntent{Hire: wire.Hire{Request: "r-7-1", Type: "g2", Zone: "a", Count: 2}, At: wire.UnixMillis(now.UnixMilli())}
	if err := l.hire(t.Context(), hire); err != nil {
		t.Fatal(err)
	}
	if l.units[early] != heard || heard.heard.IsZero() || len(l.units) != 2 || !l.units["r-7-1-1"].heard.IsZero() {
		t.Errorf("after the rental's answer: %+v", l.units)
	}
	l.observe(now.Add(time.Second))
	if l.units[early].heard.IsZero() || !l.units["r-7-1-1"].heard.IsZero() {
		t.Error("one that reports is awaited, or one that does not is taken for up")
	}
}
