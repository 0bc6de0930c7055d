package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/leader/cloud"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

func quiet(t testing.TB) *Leader {
	p := controllertest.New(t, 0)
	return New(
		p.Set,
		p.Store,
		Parts{
			Cache:        p.Cache,
			Committer:    p.Committer,
			Membership:   p.Membership,
			Registry:     p.Registry,
			Failures:     p.Failures,
			SpotReclaims: &estimate.SpotReclaims{},
			Scheduler:    p.Scheduler,
			Policies:     p.Policies,
		},
		p.Stats,
		p.Log,
	)
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
		c := quiet(t)
		c.Cache.SetForTest(0, now)
		c.Membership.SetRunningForTest(now.Add(-tc.ran))
		if tc.since > 0 {
			c.Membership.SetRunningForTest(now.Add(-tc.since - time.Minute))
			for at := now.Add(-tc.since); at.Before(now); at = at.Add(time.Second) {
				c.Membership.RunningSince(at)
			}
		}
		l := &leader{
			c:       c,
			began:   now.Add(-time.Hour),
			settled: now.Add(-time.Hour),
			marking: map[markKey]*committer.Change{},
			units: map[wire.MachineID]*unit{
				"host-1": {
					ListedMachine: wire.ListedMachine{ID: "host-1", Zone: "a"},
					heard:         now.Add(-40 * time.Second),
					holder:        "m-0",
				},
			},
		}
		l.markLost(now)
		if got := len(l.marking) > 0; got != tc.lost {
			t.Errorf("%s: given up %v, want %v", tc.name, got, tc.lost)
		}
	}
}

// askedCloud counts what it is asked.
type askedCloud struct {
	emulator.Cloud
	asked []wire.ScaleOutID
	fail  error
}

func (a *askedCloud) ScaleOut(_ context.Context, h wire.ScaleOutRequest) ([]wire.MachineID, error) {
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
func follow(t *testing.T, c *Leader) {
	t.Helper()
	if _, err := c.Cache.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestRentingFollowsTheRecord: a rental is on record before the cloud is asked, only
// the leader's term can write it, and a successor asks what came of it, under the same
// name. A leader that stood still with a plan in hand would otherwise rent beside its
// successor, and a successor would rent again what no list shows yet.
func TestRentingFollowsTheRecord(t *testing.T) {
	c := quiet(t)
	leads := func(token wire.FencingToken) wire.Revision {
		value, _ := json.Marshal(ledger.LeaderRecord{Member: c.set.Member, Token: token})
		rev, err := c.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: value}}})
		if err != nil {
			t.Fatal(err)
		}
		follow(t, c)
		return rev
	}
	need := []autoscale.ScaleOut{{MachineOption: autoscale.MachineOption{Type: "g2", Zone: "a"}, Count: 3}}
	term := func(cl Cloud, v wire.Revision) *leader {
		return &leader{
			c:       c,
			cloud:   cl,
			version: v,
			renewed: time.Now(),
			units:   map[wire.MachineID]*unit{},
			refused: map[autoscale.MachineOption]time.Time{},
		}
	}
	// commit waits for the ledger, which nothing follows here.
	rent := func(l *leader) error {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = c.Cache.Watch(ctx) }()
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
	s.recent, _ = c.led().ScaleOutIntents()
	s.relearn = s.recent
	if err := s.askAgain(
		t.Context(),
	); err != nil || len(second.asked) != 1 || second.asked[0] != first.asked[0] ||
		len(s.units) != 3 {
		t.Errorf(
			"the successor asked for %v (%v) and knows of %d machines, want %v again",
			second.asked,
			err,
			len(s.units),
			first.asked,
		)
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

// TestEarlyMachine: a machine may report before the cloud has answered its rental, and
// before any list names it. It is used from its first report on, and neither the answer
// nor the list makes it one that is awaited.
func TestEarlyMachine(t *testing.T) {
	c := quiet(t)
	value, _ := json.Marshal(ledger.LeaderRecord{Member: c.set.Member, Token: 7})
	version, err := c.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	follow(t, c)
	now := time.Now()
	c.Cache.SetForTest(7, now)
	early := wire.MachineID("r-7-1-0")
	r := &wire.Heartbeat{Machine: early, Type: "g2", Zone: "a", Epoch: 1, Sequence: 1}
	c.Registry.Register(r, now).Reconcile(r, nil, 7, now)
	l := &leader{
		c:       c,
		cloud:   &askedCloud{},
		version: version,
		began:   now,
		renewed: now,
		units:   map[wire.MachineID]*unit{},
		refused: map[autoscale.MachineOption]time.Time{},
	}
	l.observe(now)
	heard := l.units[early]
	if heard == nil || heard.heard.IsZero() {
		t.Fatal("the leader does not count on a machine that reports")
	}
	hire := ledger.ScaleOutIntent{
		ScaleOutRequest: wire.ScaleOutRequest{Request: "r-7-1", Type: "g2", Zone: "a", Count: 2},
		At:              wire.UnixMillis(now.UnixMilli()),
	}
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

// TestFewAreReturnedAsFaulty: of a type's machines in a zone never more than a share is returned
// for being judged faulty within a while, however many are, and the same ones however often it is
// asked.
func TestFewAreReturnedAsFaulty(t *testing.T) {
	c := quiet(t)
	c.set.Operators.Quarantine = settings.Quarantine{On: true, Most: 0.1}
	now := time.Now()
	l := &leader{c: c, units: map[wire.MachineID]*unit{}, judged: map[estimate.Kind]map[wire.MachineID]time.Time{}}
	for i := range 30 {
		id := wire.MachineID(fmt.Sprint("host-", i))
		l.units[id] = &unit{ListedMachine: wire.ListedMachine{ID: id, Type: "g2", Zone: "a"}, faulty: i < 9}
	}
	returned := func(now time.Time) (n int) {
		for _, u := range l.units {
			if u.faulty && l.mayJudge(u, now) {
				n++
			}
		}
		return n
	}
	for range 3 {
		if n := returned(now); n != 3 {
			t.Errorf("%d of 30 are returned", n)
		}
	}
	if n := returned(now.Add(judgedFor + time.Minute)); n != 3 {
		t.Errorf("%d of 30 are returned later", n)
	}
}

// TestReleasesAreAskedForOnce: claims on machines that are gone are not asked to be released again
// while that is on its way, however long it takes, and are when it was dropped. Asked for every 3 s,
// those of a lost zone once filled the queue for minutes.
func TestReleasesAreAskedForOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quiet(t) // its writer writes nothing
		l := &leader{c: c, releasing: map[wire.MachineID][]*committer.Change{}}
		var held []ledger.HeldClaim
		for i := range 3 {
			j := &ledger.Job{ID: wire.JobID(fmt.Sprintf("wk-%06d", i)), Spec: &wire.JobSpec{Priority: wire.Normal}}
			held = append(
				held,
				ledger.HeldClaim{Job: j, Claim: ledger.Claim{Count: 2, Attempt: 1, Machine: "host-1", Session: 1, Token: 1}},
			)
		}
		l.releaseAll("host-1", held)
		first := l.releasing["host-1"]
		time.Sleep(time.Minute)
		l.releaseAll("host-1", held)
		if len(first) != 3 || !slices.Equal(first, l.releasing["host-1"]) {
			t.Errorf("%d changes, then others", len(first))
		}
		for dropped := false; !dropped; { // the queue fills up
			ch := &committer.Change{Draft: func(*ledger.Transaction) error { return nil }}
			c.Committer.Enqueue(ch)
			dropped = !ch.Pending()
		}
		l.releaseAll("host-2", held)
		dropped := l.releasing["host-2"]
		l.releaseAll("host-2", held)
		if len(dropped) != 3 || slices.Equal(dropped, l.releasing["host-2"]) {
			t.Errorf("%d changes were dropped and not asked for again", len(dropped))
		}
	})
}
