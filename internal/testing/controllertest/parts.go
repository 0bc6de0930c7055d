// Package controllertest assembles the parts of a controller for tests of packages that build on them.
//
// [Settings] returns the settings of a small deployment. [New] returns the [Parts] of one of its
// controllers, on an emulated state service and without any component running. [NewFleet] returns the
// records and heartbeats of a fleet of any size, for benchmarks.
//
// Tests that need whole controllers use the emulated cluster of internal/controller instead.
package controllertest

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
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

// Parts are the parts of one controller, on a state service of its own. They log nothing, and none of
// their components runs.
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

// New returns the parts of one of three controllers.
func New(tb testing.TB, member int) *Parts {
	tb.Helper()
	set := Settings(tb, member)
	p := &Parts{
		Set:   set,
		Store: emulator.NewLink(emulator.NewStore(set.StateLimits().TxnOps, set.StateLimits().ValueBytes), uint64(member+1)),
		Stats: metrics.New(),
		Log:   slog.New(slog.DiscardHandler),
	}
	state := set.StateLimits()
	limits := ledger.Limits{ValueBytes: state.ValueBytes, TxnOps: state.TxnOps, TxnBytes: kvstore.MaxTxnBytes}
	p.Cache = watchcache.New(
		watchcache.Options{Member: set.Member, Limits: limits, RequestRate: 60, NewestFormat: ledger.NewestFormat},
		p.Store,
		follower{p},
		p.Stats,
		p.Log,
	)
	p.Committer = committer.New(committer.Options{WriteRate: 13, TxnOps: limits.TxnOps}, p.Cache, p.Store, p.Stats, p.Log)
	others := []wire.MemberID{}
	for _, o := range set.Peers {
		others = append(others, o.Member)
	}
	p.Membership = membership.New(
		membership.Options{
			Self:            set.Member,
			Others:          others,
			ControllerCount: 3,
			MaxSyncAge:      settings.MaxSyncAge,
			MaxValueBytes:   limits.ValueBytes,
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
		scheduler.Dependencies{
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

// follower is the parts as the watch cache and the manager of policy modules see them. This controller never
// leads, and there are no others.
type follower struct{ p *Parts }

// Loaded implements watchcache.Listener.
func (f follower) Loaded() { f.p.Scheduler.InvalidateSnapshot() }

// Advanced implements watchcache.Listener.
func (f follower) Advanced(now time.Time) { f.p.Scheduler.RefreshChangedMachines(now) }

// JobArchived implements watchcache.Listener.
func (follower) JobArchived(wire.JobID, ledger.FinalRecord) {}

// Read implements policymanager.Host.
func (f follower) Read(read func(l *ledger.Ledger)) { f.p.Cache.Read(read) }

// Term implements policymanager.Host.
func (follower) Term() (wire.Revision, bool) { return 0, false }

// Others implements policymanager.Host.
func (follower) Others() []policymanager.Controller { return nil }

// SpareCapacity implements policymanager.Host.
func (f follower) SpareCapacity() int { return f.p.Committer.SpareCapacity() }

// Commit implements policymanager.Host.
func (f follower) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	return f.p.Committer.Commit(ctx, t)
}
