// Package controller puts a controller together from its parts: it makes them, tells each of
// the others that it may use, and registers their duties. docs/ARCHITECTURE.md is the map.
package controller

import (
	"crypto/ed25519"
	"log/slog"
	"math"
	"time"

	"maddermill/internal/leader"
	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/plugin"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/supervise"
	"maddermill/internal/workflow/runner"
	"maddermill/policy"
	"maddermill/wire"
)

// Controller is a controller. All that it knows is rebuilt from the state service and one round of
// reports after a restart.
type Controller struct {
	Stats           *metrics.Set
	Components      supervise.Group
	Jobs            *server.JobServer
	Heartbeats      *server.HeartbeatServer
	Workflows       *runner.Runner
	TopologyTracker *topologytracker.Tracker

	set          *settings.Settings
	store        kvstore.Store
	log          *slog.Logger
	boot         time.Time
	cache        *watchcache.Cache
	committer    *committer.Committer
	membership   *membership.Membership
	failures     *crashloop.Tracker
	runTimes     *estimate.RunTimes
	spotReclaims *estimate.SpotReclaims
	registry     *reconcile.Registry
	completions  *completion.Log
	exchange     *completion.Exchange
	recorder     *reconcile.Recorder
	scheduler    *scheduler.Scheduler
	leader       *leader.Leader
	archiver     *archiver.Archiver
	policies     *policymanager.Manager
	Deadlines    *deadlinetracker.Tracker
}

// New returns a controller that hasn't read anything yet.
func New(set *settings.Settings, store kvstore.Store, log *slog.Logger) *Controller {
	c := &Controller{set: set, store: store, log: log, Stats: metrics.New(), boot: time.Now()}
	svc, count, reads := set.Cluster.State, float64(
		set.Cluster.Count,
	), archiver.SupportedFormat(
		set.Operators.FormatUpTo,
	)
	c.cache = watchcache.New(
		watchcache.Options{Member: set.Member, Limits: Limits(set), Requests: svc.RPS / count, Reads: reads},
		store,
		follower{c},
		c.Stats,
		log,
	)
	c.committer = committer.New(
		committer.Options{Changes: svc.WriteRPS / count, TxnOps: svc.TxnOps},
		c.cache,
		store,
		c.Stats,
		log,
	)
	c.membership = membership.New(membersOptions(set), c.Stats, log)
	c.runTimes, c.spotReclaims = estimate.NewRunTimes(c.membership), &estimate.SpotReclaims{}
	c.failures = crashloop.New(c.runTimes, c.Stats, log)
	if q := set.Operators.Quarantine; q.On {
		c.failures.EnableQuarantine(quarantine.Priors{Faulty: q.Faulty, Wrong: q.Wrong})
	}
	c.completions = completion.New(completion.Capacity(set.MemoryBytes() / completionShare))
	c.exchange = completion.NewExchange(c.completions, c.boot, membersOptions(set).Others)
	c.registry = reconcile.NewRegistry(c.membership, c.completions)
	c.recorder = reconcile.NewRecorder(c.completions, c.cache, c.committer, Limits(set), c.Stats, log)
	c.policies = policymanager.New(host{c}, store, set.Member, c.Stats, log)
	c.archiver = archiver.New(host{c}, store, pastOptions(set), c.Stats, log)
	c.TopologyTracker = topologytracker.New(
		set,
		c.cache,
		c.membership,
		c.registry,
		c.failures,
		func() { c.scheduler.InvalidateSnapshot() },
		c.Stats,
		log,
	)
	c.Deadlines = deadlinetracker.New(
		set,
		deadlinetracker.Parts{
			Cache:      c.cache,
			Committer:  c.committer,
			RunTimes:   c.runTimes,
			Membership: c.membership,
			Registry:   c.registry,
		},
		c.Stats,
		log,
	)
	c.scheduler = scheduler.New(
		set,
		scheduler.Parts{
			Cache:        c.cache,
			Membership:   c.membership,
			Registry:     c.registry,
			Failures:     c.failures,
			RunTimes:     c.runTimes,
			SpotReclaims: c.spotReclaims,
			Topology:     c.TopologyTracker,
			Policies:     c.policies,
			Deadlines:    c.Deadlines,
		},
		c.Stats,
		log,
	)
	c.Heartbeats = server.NewHeartbeatServer(
		set,
		server.HeartbeatServerParts{
			Cache:       c.cache,
			Committer:   c.committer,
			Membership:  c.membership,
			Registry:    c.registry,
			Failures:    c.failures,
			Topology:    c.TopologyTracker,
			Scheduler:   c.scheduler,
			Completions: c.completions,
			Exchange:    c.exchange,
		},
		c.Stats,
		log,
	)
	c.Jobs = server.NewJobServer(
		set,
		server.JobServerParts{
			Cache:     c.cache,
			Committer: c.committer,
			Policies:  c.policies,
			Archiver:  c.archiver,
			Deadlines: c.Deadlines,
		},
		c.Stats,
		log,
	)
	c.leader = leader.New(
		set,
		store,
		leader.Parts{
			Cache:        c.cache,
			Committer:    c.committer,
			Membership:   c.membership,
			Registry:     c.registry,
			Failures:     c.failures,
			SpotReclaims: c.spotReclaims,
			Scheduler:    c.scheduler,
			Policies:     c.policies,
			Completions:  c.completions,
		},
		c.Stats,
		log,
	)
	c.Workflows = runner.New(
		set,
		store,
		runner.Parts{
			Cache:      c.cache,
			Committer:  c.committer,
			Membership: c.membership,
			Failures:   c.failures,
			Scheduler:  c.scheduler,
			Jobs:       c.Jobs,
			Archiver:   c.archiver,
			Deadlines:  c.Deadlines,
		},
		c.Stats,
		log,
	)
	c.gauges()
	return c
}

// Limits are what a deployment's state service takes, and the rules of its teams.
func Limits(set *settings.Settings) ledger.Limits {
	l := ledger.Limits{ValueBytes: set.ValueBytes(), TxnOps: set.Cluster.State.TxnOps,
		TxnBytes: kvstore.TxnBytes, TeamMax: map[wire.Team]ledger.Resources{}, ControllerCount: 1 + len(set.Peers)}
	for _, p := range set.Peers {
		if p.Member < set.Member {
			l.ControllerIndex++
		}
	}
	for _, t := range set.Cluster.Teams {
		if t.Capped() {
			l.TeamMax[t.Name] = ledger.NewResources(t.CPUsMax, t.GPUsMax, 0)
		}
	}
	return l
}

func membersOptions(set *settings.Settings) membership.Options {
	o := membership.Options{
		Self:       set.Member,
		Count:      set.Cluster.Count,
		Contact:    settings.StartContact,
		ValueBytes: set.ValueBytes(),
	}
	for _, p := range set.Peers {
		o.Others = append(o.Others, p.Member)
	}
	return o
}

func pastOptions(set *settings.Settings) archiver.Options {
	o, s := set.Operators, set.Cluster.State
	return archiver.Options{
		Archive:    o.Archive,
		Kept:       o.KeptJobs,
		Settle:     o.Settle,
		FormatUpTo: o.FormatUpTo,
		TxnOps:     s.TxnOps,
		Requests:   s.RPS / float64(set.Cluster.Count),
		Changes:    s.WriteRPS,
	}
}

// completionShare is the part of a controller's memory that completions may take: one in so many.
const completionShare = 50

// gauges registers what is read under the mirror's lock when metrics are asked for.
func (c *Controller) gauges() {
	gauge := func(name string, read func(l *ledger.Ledger) float64) {
		c.Stats.Gauge(name, func() (v float64) {
			c.cache.Read(func(l *ledger.Ledger) { v = read(l) })
			return v
		})
	}
	gauge("jobs_active", func(l *ledger.Ledger) float64 { _, n := l.Counts(); return float64(n) })
	gauge("jobs_finished", func(l *ledger.Ledger) float64 { k, n := l.Counts(); return float64(k - n) })
	gauge("machines_gone_swept", func(l *ledger.Ledger) float64 { return float64(l.CountTerminated()) })
	gauge("archive_filter_pages", func(l *ledger.Ledger) float64 { return float64(l.CountFilterPages()) })
	gauge("records_format", func(l *ledger.Ledger) float64 { f, _ := l.Format(); return float64(f.Format) })
	gauge("ledger_revision", func(l *ledger.Ledger) float64 { return float64(l.Revision()) })
	gauge("policy_suspended", func(l *ledger.Ledger) float64 {
		if c.policies.Suspended(l, time.Now()) {
			return 1
		}
		return 0
	})
	gauge(
		"galleries_open",
		func(l *ledger.Ledger) float64 { open, _ := deadlinetracker.CountGalleries(l); return float64(open) },
	)
	gauge(
		"galleries_at_risk",
		func(l *ledger.Ledger) float64 { _, risky := deadlinetracker.CountGalleries(l); return float64(risky) },
	)
	gauge("completions_kept", func(*ledger.Ledger) float64 { return float64(c.completions.Len()) })
	gauge("completions_lost", func(*ledger.Ledger) float64 { return float64(c.completions.Lost()) })
	gauge("jobs_suspect", func(*ledger.Ledger) float64 { return float64(c.failures.CountCrashLooping()) })
	count := func(name string, is func(l *ledger.Ledger, w *reconcile.Worker) bool) {
		gauge(name, func(l *ledger.Ledger) (k float64) {
			c.registry.Each(func(w *reconcile.Worker) {
				if is(l, w) {
					k++
				}
			})
			return k
		})
	}
	count(
		"machines_faulty",
		func(l *ledger.Ledger, w *reconcile.Worker) bool { return c.failures.Faulty(l, w.ID, time.Now()) },
	)
	count("machines_slow", func(_ *ledger.Ledger, w *reconcile.Worker) bool { return c.failures.Slow(w.ID) })
	count("machines_deaf", func(_ *ledger.Ledger, w *reconcile.Worker) bool { return w.Unreachable() })
	gauge("machines_awaited", func(*ledger.Ledger) float64 { k, _ := c.leader.BootingMachines(); return float64(k) })
	gauge("machines_overdue", func(*ledger.Ledger) float64 { _, k := c.leader.BootingMachines(); return float64(k) })
	gauge("machines_held", func(*ledger.Ledger) float64 { return float64(c.registry.Len()) })
	gauge("blocks_down", func(*ledger.Ledger) float64 { return float64(c.TopologyTracker.CountDown()) })
	gauge("machines_of_unknown_place", func(*ledger.Ledger) float64 { return float64(c.TopologyTracker.CountUnknown()) })
	gauge("contact_age_seconds", func(*ledger.Ledger) float64 { return time.Since(c.cache.SyncedAt()).Seconds() })
	c.Stats.Gauge("duties_amiss", func() float64 {
		k := 0
		for _, s := range c.Components.Status(time.Now()) {
			if s.Amiss != "" {
				k++
			}
		}
		return float64(k)
	})
}

// SetPlugins switches plug-ins on. With keys only modules signed by one of them are used; the
// initial one is, where no policy was ever chosen.
func (c *Controller) SetPlugins(
	keys []ed25519.PublicKey,
	bounds plugin.Bounds,
	starve time.Duration,
	initial policymanager.Initial,
) {
	c.policies.Set(func(o *policymanager.Options) {
		o.On, o.Keys, o.Bounds, o.Starve, o.Initial, o.Limits = true, keys, bounds, starve, initial, Limits(c.set)
	})
}

// RecordPasses gives every pass over the queue to f, which must not keep it.
func (c *Controller) RecordPasses(f func(*policy.Pass)) {
	c.policies.Set(func(o *policymanager.Options) { o.Record = f })
}

// Healthy reports whether users should be sent here: the ledger is read and the state service
// answers, or at least no other controller is known to be better off. Commanding workers takes
// a token as well, users' requests don't.
//
// A controller that has just started is thus healthy while it reads the records, for which
// requests wait: one that is removed comes back after 3 s at the earliest, and after a minute if
// it ended again and again. One that starts in an outage that all have is not removed either,
// or nobody would be there to answer when it is over. One that for a while reaches neither the state
// service nor any other controller can't tell whether it alone is cut off: users that keep their
// connections to it would never be answered, so it sends them away.
func (c *Controller) Healthy() bool {
	now := time.Now()
	c.cache.Lock()
	ready, contact := c.cache.Loaded(), c.cache.SyncedAt()
	c.cache.Unlock()
	if ready && now.Sub(contact) < 2500*time.Millisecond {
		return true
	}
	// If another is answered it is only this controller that is refused.
	if c.membership.PeersReachStore(now) {
		return false
	}
	last := c.boot
	for _, at := range []time.Time{contact, c.membership.LastHeard()} {
		if at.After(last) {
			last = at
		}
	}
	return len(c.set.Peers) == 0 || now.Sub(last) < cutOff
}

// cutOff is how long a controller is healthy that reaches nobody.
const cutOff = 8 * time.Second

// Topology tells of the declared topology, its machines and the gangs on them, as this
// controller sees them. It tells false while there is none.
func (c *Controller) Topology(now time.Time) (wire.TopologyView, bool) {
	return c.TopologyTracker.Topology(now, c.scheduler.Snapshot)
}

// Judgements tells what is believed of the machines that report here, and why; false if machines
// are not judged by evidence.
func (c *Controller) Judgements() (out []wire.Judgement, judged bool) {
	c.cache.Read(func(*ledger.Ledger) {
		var held []wire.MachineID
		c.registry.Each(func(w *reconcile.Worker) { held = append(held, w.ID) })
		out, judged = c.failures.Judgements(held), c.failures.QuarantineEnabled()
	})
	return out, judged
}

// statusFor answers a peer that asks over the mesh.
func (c *Controller) statusFor(ask peer.Status) peer.Status {
	c.membership.ObserveProbe(ask.Member, time.Now())
	s := c.status()
	c.cache.Read(func(l *ledger.Ledger) {
		c.exchange.Answer(ask, &s, time.Now())
		if s.Cancelled <= ask.Revision {
			return
		}
		// Read after the status: it may hold more, and vouches for no more than it lists.
		lacks, whole := l.CancelledSince(ask.Revision)
		if s.Since, s.Cancelled = ask.Revision, l.LastCancel(); lacks.Len() <= mostEnded {
			s.CancelledJobs, s.CancelledWorkflows, s.CancellationsComplete = lacks.Jobs, lacks.Workflows, whole
		}
	})
	return s
}

// mostEnded is how many cancellations a peer is told of at once: those of a refusal that lasts.
const mostEnded = 400

// questionTo is what this controller says of itself when it asks a peer.
func (c *Controller) questionTo(member wire.MemberID) peer.Status {
	s := peer.Status{Member: c.set.Member}
	c.cache.Read(func(l *ledger.Ledger) {
		s.Revision = l.Revision()
		c.exchange.Request(member, &s)
	})
	return s
}

// status is what this controller tells its peers.
func (c *Controller) status() peer.Status {
	c.cache.Lock()
	defer c.cache.Unlock()
	led, now := c.cache.Records(), time.Now()
	s := peer.Status{
		Version:   peer.Version,
		Member:    c.set.Member,
		Boot:      c.boot.UnixMilli(),
		Revision:  led.Revision(),
		Cancelled: led.LastCancel(),
		ContactMS: math.MaxInt32,
		Loaded:    c.cache.Loaded(),
		MaxFormat: archiver.SupportedFormat(c.set.Operators.FormatUpTo),
	}
	if contact := c.cache.SyncedAt(); !contact.IsZero() {
		s.ContactMS = now.Sub(contact).Milliseconds()
	}
	s.Failures = c.failures.FailuresToShare(now)
	s.Classes, s.Modules = c.runTimes.Classes(), c.policies.Modules(led)
	s.Suspects, s.PreemptionReservations, s.GangPartitions = c.failures.SuspectsToShare(
		now,
	), c.scheduler.PreemptionReservations(
		now,
	), c.TopologyTracker.Partitions(
		now,
	)
	s.GangReservations, s.RegisterEdition = c.scheduler.GangReservations(now), c.Deadlines.RegisterEdition()
	c.registry.Each(func(w *reconcile.Worker) {
		if now.Sub(w.LastHeartbeat) > 2*time.Minute {
			return
		}
		m := peer.Machine{
			ID:      w.ID,
			Type:    w.Type,
			Zone:    w.Zone,
			Spot:    w.Spot,
			Session: w.Session,
			Token:   w.CommandToken,
			Endpoint: c.TopologyTracker.EndpointOf(
				w,
			),
			AgeMS:         now.Sub(w.LastHeartbeat).Milliseconds(),
			Usable:        c.scheduler.Usable(w, now),
			Faulty:        c.failures.Faulty(led, w.ID, now),
			Slow:          c.failures.Slow(w.ID),
			UnreachableMS: w.UnreachableFor(now).Milliseconds(),
		}
		if m.Faulty {
			m.QuarantineReason = c.failures.QuarantineReason(w.ID)
		}
		if !w.ReclaimAt.IsZero() {
			m.ReclaimMS = max(1, w.ReclaimAt.Sub(now).Milliseconds())
		}
		if im := c.registry.KnownImages(w); im != nil {
			im.Fetches(now, c.set.Operators.FetchMark)
			m.Images, m.Fetching = im.Names(), im.ListFetching()
		}
		s.Machines = append(s.Machines, m)
	})
	return s
}

// listed is what a peer lists as cancelled.
func listed(s *peer.Status) ledger.Cancellations {
	return ledger.Cancellations{Jobs: s.CancelledJobs, Workflows: s.CancelledWorkflows}
}

// heardPeer takes in what a peer told.
func (c *Controller) heardPeer(a peer.Answer) {
	c.cache.Read(func(l *ledger.Ledger) {
		l.MarkCancelling(listed(&a.Status))
		now := time.Now()
		c.exchange.Merge(
			&a.Status,
			c.Heartbeats.CompletionUnrecorded,
			!c.cache.SyncedWithin(now, settings.StartContact),
			now,
		)
		c.membership.ObserveStatus(a.Status, a.AsOf) // it may vouch from now on, for this ledger
		c.failures.MergeSuspects(l, a.Status.Suspects, a.AsOf)
		c.failures.MergeFailures(a.Status.Failures)
		c.TopologyTracker.MergePartitions(a.Status.GangPartitions, a.AsOf)
		c.scheduler.ObservePreemptionReservations(a.Status.Member, a.Status.PreemptionReservations, a.AsOf, time.Now())
		c.scheduler.ObserveGangReservations(a.Status.Member, a.Status.GangReservations, a.AsOf, time.Now())
	})
}
