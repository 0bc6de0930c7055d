// Package leader is the elected leader of the cluster: the one controller that observes all
// machines, scales the cluster out and in, records the phases of lost and returned machines, and
// places gangs over all machines (docs/DESIGN.md, points 5 and 8).
//
// # Election and fencing
//
// A controller becomes leader by creating the leader's record (ledger.LeaderKey) under a lease of
// its own; the record exists only while that lease is renewed. The record's revision is unique to
// the term and is its fencing token towards the store: every write of a term is conditioned on it,
// so that what a deposed leader still sends conflicts and changes nothing.
//
// The cloud knows no such condition. Therefore a request for machines
//   - is recorded as an intent in the store before it is sent, under a request ID that no other term
//     uses; a successor repeats the recorded intents under the same IDs to learn their outcome, and
//   - is sent only while the lease certainly holds by this process's own clock.
//
// Machines are returned only after their phase Terminating is on record, and claims on them are
// released only after the cloud has confirmed the return.
//
// # What holds the leader back
//
// Nothing is scaled before the cloud's list has been read in the term, and no idle machine is
// returned before the list is certain to be complete. Silence of machines counts only from the time
// that this process runs and is in sync with the store (Membership.SilenceCountsFrom); zones that
// have fallen silent as a whole are not scaled out into; and of the machines of a kind no more than
// a share is returned as faulty within faultyReturnWindow.
//
// # Main types and locking
//
// Leader is the component, which lives as long as its controller. term is the state of one time as
// leader and starts anew from the records, the heartbeats and the cloud's list. The lock of
// Parts.Cache guards the records, the members' state and the fields that are marked as guarded by
// it. It must not be held during a request to the store or the cloud.
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

// Cloud is the part of the cloud's interface that the leader uses.
type Cloud interface {
	// MachineTypes returns the machine types at current prices.
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	// ScaleOut rents machines. A request ID that was used before returns the machines of that
	// request and rents nothing.
	ScaleOut(ctx context.Context, h wire.ScaleOutRequest) ([]wire.MachineID, error)
	// ScaleIn returns machines. When it succeeds, they and all tasks on them have ended.
	ScaleIn(ctx context.Context, names []wire.MachineID) error
	// List returns all machines that are rented. It lags behind.
	List(ctx context.Context) ([]wire.ListedMachine, error)
}

const (
	// campaignInterval is the time between two checks of whether the cluster has a leader.
	campaignInterval = 500 * time.Millisecond
	// resignPause is for how long a controller that has resigned leaves the election to others, which
	// know where the machines report.
	resignPause = 4 * campaignInterval
	// retryPause is the time between the loss of a term and the next campaign.
	retryPause = time.Second
)

// Parts are the components that the leader works with.
type Parts struct {
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

// Leader is the component of a controller that campaigns for leadership and acts as leader while it
// is elected.
type Leader struct {
	set   *settings.Settings
	store kvstore.Store
	Parts
	stats     *metrics.Set
	log       *slog.Logger
	startedAt time.Time

	boots bootCounts // what BootingMachines returns; guarded by the cache's lock
}

// New returns a component that does not campaign before Run.
func New(set *settings.Settings, store kvstore.Store, p Parts, stats *metrics.Set, log *slog.Logger) *Leader {
	return &Leader{set: set, store: store, Parts: p, stats: stats, log: log, startedAt: time.Now()}
}

// BootingMachines returns how many machines have been rented and have sent no heartbeat yet, and how
// many of them are overdue; 0 while this controller is not the leader. The caller holds the cache's
// lock.
func (l *Leader) BootingMachines() (booting, overdue int) { return l.boots.booting, l.boots.overdue }

// records returns the cached records. The caller holds the cache's lock while it uses them.
func (l *Leader) records() *ledger.Ledger { return l.Cache.Records() }

// Run campaigns for leadership, and acts as leader while this controller is elected, until ctx ends.
func (l *Leader) Run(ctx context.Context, cl Cloud) error {
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
		if err := l.runTerm(ctx, cl); err != nil && ctx.Err() == nil {
			l.log.Info("leadership lost", "err", err)
			wait.For(ctx, retryPause)
		}
	}
	return ctx.Err()
}

// resign deletes the leader's record of an earlier term of this controller, for instance of one
// before a restart. Otherwise nobody could lead until that term's lease has expired. What that term
// still sends is conditioned on the record and conflicts.
func (l *Leader) resign(ctx context.Context, version wire.Revision) {
	_, err := l.Committer.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: ledger.LeaderKey, Version: version}},
		Then: []wire.Change{{Delete: ledger.LeaderKey}},
	})
	l.log.Info("stale leadership resigned", "version", version, "err", err)
	wait.For(ctx, resignPause)
}
