// Package controllertest builds test fixtures from the components of a controller.
//
// [Settings] returns the settings of a small deployment. [New] wires up the components of one of its
// controllers, on an emulated state service and without starting any of them. [NewFleet] returns the
// records and heartbeats of a fleet of any size, for benchmarks.
//
// Tests that need running controllers use the emulated cluster of internal/controller instead.
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

// Parts holds the components of one controller, on a state service of its own. They log nothing, and none
// of them is running.
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

// New returns the components of one of three controllers; member is its index.
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
		callbacks{p},
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
	p.Policies = policymanager.New(callbacks{p}, p.Store, set.Member, p.Stats, p.Log)
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

// callbacks implements watchcache.Listener and policymanager.Host for a controller that never becomes the
// leader and has no peers.
type callbacks struct{ p *Parts }

// Loaded implements watchcache.Listener.
func (f callbacks) Loaded() { f.p.Scheduler.InvalidateSnapshot() }

// Advanced implements watchcache.Listener.
func (f callbacks) Advanced(now time.Time) { f.p.Scheduler.RefreshChangedMachines(now) }

// JobArchived implements watchcache.Listener.
func (callbacks) JobArchived(wire.JobID, ledger.FinalRecord) {}

// Read implements policymanager.Host.
func (f callbacks) Read(read func(l *ledger.Ledger)) { f.p.Cache.Read(read) }

// Term implements policymanager.Host.
func (callbacks) Term() (wire.Revision, bool) { return 0, false }

// Others implements policymanager.Host.
func (callbacks) Others() []policymanager.Controller { return nil }

// SpareCapacity implements policymanager.Host.
func (f callbacks) SpareCapacity() int { return f.p.Committer.SpareCapacity() }

// Commit implements policymanager.Host.
func (f callbacks) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	return f.p.Committer.Commit(ctx, t)
}
