// Package controllertest puts the parts of a controller together for tests of the parts that build
// on them.
package controllertest

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// Settings are those of one of three members of a small deployment.
func Settings(t testing.TB, member int) *settings.Settings { return SettingsOf(t, member, 3) }

// SettingsOf are those of one of so many members.
func SettingsOf(t testing.TB, member, count int) *settings.Settings {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "member = \"m-%d\"\nzone = \"a\"\nbind = \"127.0.0.1:1\"\nmesh_addr = \"127.0.0.1:2\"\n", member)
	for i := range count {
		if i != member {
			fmt.Fprintf(&b, "[[seeds]]\nmember = \"m-%d\"\nzone = \"a\"\naddress = \"127.0.0.1:3\"\n", i)
		}
	}
	fmt.Fprintf(&b, `
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[settings]
count = %d
zones = ["a", "b"]
[[settings.teams]]
name = "free"
[[settings.teams]]
name = "capped"
gpus = 2.0
gpus_max = 4.0
[settings.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 60.0
[settings.state]
rps = 200.0
write_rps = 40.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 2.0
list_lag_s = 4.0
`, count)
	s, err := settings.Parse([]byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Parts are those of one controller, on a state service of its own, and say nothing. No duty of
// theirs runs.
type Parts struct {
	Set          *settings.Settings
	Store        kvstore.Store
	Stats        *metrics.Set
	Log          *slog.Logger
	Cache        *watchcache.Cache
	Committer    *committer.Committer
	Membership   *membership.Membership
	Failures     *crashloop.Tracker
	RunTimes     *estimate.RunTimes
	SpotReclaims *estimate.SpotReclaims
	Registry     *reconcile.Registry
	Policies     *policymanager.Manager
	Topology     *topologytracker.Tracker
	Deadlines    *deadlinetracker.Tracker
	Scheduler    *scheduler.Scheduler
	Completions  *completion.Log
	Exchange     *completion.Exchange
}

// New returns the parts of a member.
func New(t testing.TB, member int) *Parts {
	set := Settings(t, member)
	p := &Parts{
		Set:   set,
		Store: emulator.NewLink(emulator.NewStore(set.Cluster.State.TxnOps, set.ValueBytes()), uint64(member+1)),
		Stats: metrics.New(),
		Log:   slog.New(slog.DiscardHandler),
	}
	limits := ledger.Limits{ValueBytes: set.ValueBytes(), TxnOps: set.Cluster.State.TxnOps, TxnBytes: kvstore.TxnBytes}
	p.Cache = watchcache.New(
		watchcache.Options{Member: set.Member, Limits: limits, Requests: 60, Reads: ledger.NewestFormat},
		p.Store,
		follower{p},
		p.Stats,
		p.Log,
	)
	p.Committer = committer.New(committer.Options{Changes: 13, TxnOps: limits.TxnOps}, p.Cache, p.Store, p.Stats, p.Log)
	others := []wire.MemberID{}
	for _, o := range set.Peers {
		others = append(others, o.Member)
	}
	p.Membership = membership.New(
		membership.Options{
			Self:       set.Member,
			Others:     others,
			Count:      3,
			Contact:    settings.StartContact,
			ValueBytes: limits.ValueBytes,
		},
		p.Stats,
		p.Log,
	)
	p.RunTimes, p.SpotReclaims = estimate.NewRunTimes(p.Membership), &estimate.SpotReclaims{}
	p.Failures = crashloop.New(p.RunTimes, p.Stats, p.Log)
	p.Completions = completion.New(64)
	p.Exchange = completion.NewExchange(p.Completions, time.Now(), others)
	p.Registry = reconcile.NewRegistry(p.Membership, p.Completions)
	p.Policies = policymanager.New(follower{p}, p.Store, set.Member, p.Stats, p.Log)
	p.Topology = topologytracker.New(set, p.Cache, p.Membership, p.Registry, p.Failures, func() {}, p.Stats, p.Log)
	p.Deadlines = deadlinetracker.New(
		set,
		deadlinetracker.Parts{
			Cache:      p.Cache,
			Committer:  p.Committer,
			RunTimes:   p.RunTimes,
			Membership: p.Membership,
			Registry:   p.Registry,
		},
		p.Stats,
		p.Log,
	)
	p.Scheduler = scheduler.New(
		set,
		scheduler.Parts{
			Cache:        p.Cache,
			Membership:   p.Membership,
			Registry:     p.Registry,
			Failures:     p.Failures,
			RunTimes:     p.RunTimes,
			SpotReclaims: p.SpotReclaims,
			Topology:     p.Topology,
			Policies:     p.Policies,
			Deadlines:    p.Deadlines,
		},
		p.Stats,
		p.Log,
	)
	return p
}

// follower is the parts as the mirror and the policies see them.
type follower struct{ p *Parts }

func (f follower) Loaded()                                  { f.p.Scheduler.InvalidateSnapshot() }
func (f follower) Advanced(now time.Time)                   { f.p.Scheduler.RefreshChangedMachines(now) }
func (follower) JobArchived(wire.JobID, ledger.FinalRecord) {}
func (f follower) Read(read func(l *ledger.Ledger))         { f.p.Cache.Read(read) }
func (follower) Term() (wire.Revision, bool)                { return 0, false }
func (follower) Others() []policymanager.Other              { return nil }
func (f follower) Spare() int                               { return f.p.Committer.SpareCapacity() }
func (f follower) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	return f.p.Committer.Commit(ctx, t)
}

// AddJob adds the record of a job that waits.
func AddJob(l *ledger.Ledger, i int, shape wire.Shape, tasks int) *ledger.Job {
	id := wire.JobID(fmt.Sprintf("wk-%06d", i))
	l.Apply(ledger.Event{
		Key:     "mm1/j/" + string(id),
		Version: wire.Revision(i + 1),
		Value: fmt.Appendf(
			nil,
			`{"spec":{"id":"%s","pieces":%d,"shape":"%s","owner":"free","cores":1},"at":1,"a":1}`,
			id,
			tasks,
			shape,
		),
	})
	return l.Job(id)
}

// Answer is what a peer tells that was asked at a time.
func Answer(
	member wire.MemberID,
	asked time.Time,
	cancelled wire.Revision,
	loaded bool,
	contact time.Duration,
) peer.Answer {
	return peer.Answer{AsOf: asked, Status: peer.Status{Version: peer.Version, Member: member, Loaded: loaded,
		Cancelled: cancelled, ContactMS: contact.Milliseconds()}}
}

// Fleet is one of machines, a third of which report to the first member. Each machine but one in
// a hundred is full; 500 gangs and 500 arrays wait.
type Fleet struct {
	Records []ledger.Event
	Reports []*wire.Heartbeat // of the machines that report to the first member
	Peers   [2]peer.Status    // what the others tell
}

// Zone is the zone of a machine of a fleet.
func Zone(i int) wire.Zone { return []wire.Zone{"a", "b", "c"}[i%3] }

// NewFleet returns a fleet of so many machines.
func NewFleet(machines int) *Fleet {
	g := new(Fleet)
	add := func(key, value string) {
		g.Records = append(
			g.Records,
			ledger.Event{Key: key, Value: []byte(value), Version: wire.Revision(len(g.Records) + 1)},
		)
	}
	add(
		ledger.MachineTypeKey("g2"),
		`{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"disk_gb":50,"fetch_gb_per_s":1,"hourly_price":4,"startup_s":20,"yards":["a","b","c"]}`,
	)
	name := func(i int) wire.MachineID { return wire.MachineID(fmt.Sprintf("host-%06d", i)) }
	job := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	spec := `{"spec":{"id":"%s","workclass":"c","owner":"free","shape":"%s","urgency":"%s","pieces":%d,"cores":4,"accelerators":1,"ram_gb":8,"bundle":"img-%d","pull_gb":4,"loaners":true,"expect_s":60},"at":%d%s}`
	for i := range machines {
		if i%100 != 0 {
			add(
				"mm1/j/"+job(i),
				fmt.Sprintf(
					spec,
					job(i),
					"array",
					"normal",
					2,
					i%20,
					i,
					fmt.Sprintf(`,"a":1,"c":[[1,"%s","%s",1,1,0,2]]`, name(i), Zone(i)),
				),
			)
		}
	}
	for i := range 1000 {
		id, shape, tasks := machines+i, "array", 20
		if i%2 == 0 {
			shape, tasks = "gang", 8
		}
		add("mm1/j/"+job(id), fmt.Sprintf(spec, job(id), shape, "high", tasks, i%20, id, ""))
	}
	for i := range machines {
		r := &wire.Heartbeat{Machine: name(i), Type: "g2", Zone: Zone(i), Epoch: 1, Sequence: 1, FencingToken: 1}
		if i%100 != 0 {
			for k := range 2 {
				r.Tasks = append(
					r.Tasks,
					wire.TaskStatus{
						Task:    wire.TaskID{Job: wire.JobID(job(i)), Index: wire.TaskIndex(k)},
						Attempt: 1,
						State:   wire.TaskRunning,
					},
				)
			}
		}
		if k := i % 3; k > 0 {
			g.Peers[k-1].Machines = append(
				g.Peers[k-1].Machines,
				peer.Machine{ID: r.Machine, Type: r.Type, Zone: r.Zone, Session: 1, Token: 1, Usable: true,
					Images: []wire.Image{"img-1", "img-2", "img-3", wire.Image(fmt.Sprintf("img-%d", i%20))}},
			)
			continue
		}
		g.Reports = append(g.Reports, r)
	}
	for i := range g.Peers {
		g.Peers[i].Version, g.Peers[i].Member, g.Peers[i].Loaded = peer.Version, wire.MemberID(fmt.Sprint("m-", i+1)), true
	}
	return g
}

// Join has the records read, and the machines held and heard, by parts of the first member.
func (g *Fleet) Join(m *watchcache.Cache, others *membership.Membership, r *reconcile.Registry) {
	now := time.Now()
	m.Read(func(l *ledger.Ledger) {
		for _, e := range g.Records {
			l.Apply(e)
		}
		m.SetForTest(1, now)
		l.AdvanceRevision(wire.Revision(len(g.Records)))
		for _, report := range g.Reports {
			r.Register(report, now).Reconcile(report, l.ClaimsOn(report.Machine), 1, now)
		}
	})
	for _, s := range g.Peers {
		others.ObserveStatus(s, now)
	}
}
