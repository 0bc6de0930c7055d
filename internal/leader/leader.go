// Package leader implements the elected leader of the cluster: the one controller that observes all
// machines, scales the cluster out and in, records the phases of lost and terminated machines, and
// places gangs on the machines of all controllers (docs/DESIGN.md, points 5 and 8).
//
// # Election and fencing
//
// A controller becomes leader by creating the leader record (ledger.LeaderKey) under its own lease; the
// record exists only while the lease is renewed. The record's revision is unique to the term and serves
// as the term's fencing token: every write of a term is conditional on it, so that late writes of a
// deposed leader conflict and have no effect.
//
// The cloud's API does not support such conditions. Therefore a request for machines
//   - is recorded as an intent in the store before it is sent, with a request ID that no other term
//     uses; a new leader repeats the recorded intents with the same IDs to learn their outcome, and
//   - is sent only while the lease certainly has not expired by this process's own clock.
//
// Machines are terminated only after their phase Terminating is recorded, and claims on them are released
// only after the cloud has confirmed the termination.
//
// # Safeguards
//
//   - Nothing is scaled before the cloud's machine list has been read in the term, and no idle machine is
//     terminated before the list is certain to be complete.
//   - Missing heartbeats count only from the time since which this process has been running and in sync
//     with the store without interruption.
//   - Zones in which all machines have stopped sending heartbeats are not scaled out into.
//   - At most a fraction of the machines of a kind is terminated as faulty within faultyReturnWindow.
//
// # Main types and locking
//
// Leader is the component, which lives as long as its controller. term is the state of one leadership
// term; it is rebuilt from the records, the heartbeats and the cloud's list. The lock of Dependencies.Cache
// guards the records, the state of the members, and the fields marked as guarded by it. It must not be
// held during a request to the store or the cloud.
package leader

import (
	"context"
	"log/slog"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/metrics"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Cloud is the part of the cloud's API that the leader uses.
type Cloud interface {
	// MachineTypes returns the machine types with their current prices.
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	// ScaleOut provisions machines. It is idempotent: a request ID that was used before returns the
	// machines of that request and provisions none.
	ScaleOut(ctx context.Context, request wire.ScaleOutRequest) ([]wire.MachineID, error)
	// ScaleIn terminates machines. When it succeeds, they and all tasks on them have ended.
	ScaleIn(ctx context.Context, ids []wire.MachineID) error
	// List returns all provisioned machines. It lags behind.
	List(ctx context.Context) ([]wire.ListedMachine, error)
}

const (
	// campaignInterval is the interval between checks of whether the cluster has a leader.
	campaignInterval = 500 * time.Millisecond
	// resignBackoff is how long a controller that has resigned does not campaign, so that another
	// controller, which already receives heartbeats, can win the election.
	resignBackoff = 4 * campaignInterval
	// campaignRetryDelay is the delay between the end of a term and the next campaign.
	campaignRetryDelay = time.Second
)

// Dependencies holds the components that the leader depends on.
type Dependencies struct {
	Cache        *watchcache.Cache
	Committer    *committer.Committer
	Membership   *membership.Membership
	Registry     *reconcile.Registry
	Failures     *crashloop.Tracker
	SpotReclaims *estimate.SpotReclaims
	Scheduler    *scheduler.Scheduler
	Policies     *policymanager.Manager
	Completions  *completion.Log
}

// Leader is the component of a controller that campaigns for leadership and acts as leader while
// elected.
type Leader struct {
	set   *settings.Settings
	store kvstore.Store
	Dependencies
	stats     *metrics.Set
	log       *slog.Logger
	startedAt time.Time

	boots bootCounts // result of BootingMachines; guarded by the cache's lock
}

// New returns a Leader, which starts to campaign in Run.
func New(
	set *settings.Settings, store kvstore.Store, parts Dependencies, stats *metrics.Set, log *slog.Logger,
) *Leader {
	return &Leader{set: set, store: store, Dependencies: parts, stats: stats, log: log, startedAt: time.Now()}
}

// BootingMachines returns how many provisioned machines have not sent a heartbeat yet, and how many of
// them are overdue. Both are 0 while this controller is not the leader. The caller holds the cache's
// lock.
func (l *Leader) BootingMachines() (booting, overdue int) { return l.boots.booting, l.boots.overdue }

// records returns the cached records. The caller holds the cache's lock while using them.
func (l *Leader) records() *ledger.Ledger { return l.Cache.Records() }

// Run campaigns for leadership, and acts as leader while elected, until ctx ends.
func (l *Leader) Run(ctx context.Context, cloud Cloud) error {
	for ctx.Err() == nil {
		l.Cache.Lock()
		ready := l.Cache.Loaded() && l.Cache.Token() != 0
		record, version := l.records().Leader()
		l.Cache.Unlock()
		switch {
		case ready && version != 0 && record.Member == l.set.Member:
			l.resign(ctx, version)
			continue
		case !ready || version != 0:
			wait.For(ctx, campaignInterval)
			continue
		}
		if err := l.runTerm(ctx, cloud); err != nil && ctx.Err() == nil {
			l.log.Info("leadership lost", "err", err)
			wait.For(ctx, campaignRetryDelay)
		}
	}
	return ctx.Err()
}

// resign deletes the leader record of an earlier term of this controller, for instance from before a
// restart. Without it, no controller could become leader until the lease of that term expires. Late
// writes of that term are conditional on the record and conflict.
func (l *Leader) resign(ctx context.Context, version wire.Revision) {
	_, err := l.Committer.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: ledger.LeaderKey, Version: version}},
		Then: []wire.Change{{Delete: ledger.LeaderKey}},
	})
	l.log.Info("stale leadership resigned", "version", version, "err", err)
	wait.For(ctx, resignBackoff)
}
