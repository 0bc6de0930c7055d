// Package leader is the part of a controller that leads the fleet while it holds the leader's
// lease: it rents and returns machines, marks those that are lost, and places gangs over all
// machines (docs/DESIGN.md, points 5 and 8). One controller leads at a time; a term that has
// ended changes nothing any more, since what it writes is conditioned on its record.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"maddermill/internal/leader/autoscale"
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

// Cloud is what the fleet's leader needs of the cloud.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	ScaleOut(ctx context.Context, h wire.ScaleOutRequest) ([]wire.MachineID, error)
	ScaleIn(ctx context.Context, names []wire.MachineID) error
	List(ctx context.Context) ([]wire.ListedMachine, error)
}

// The leader's lease. It is long enough to survive a few slow answers, short
// enough that a dead leader is replaced before machines are missed.
const (
	leaderTTL   = 6 * time.Second
	leaderRenew = 1500 * time.Millisecond
)

// Parts are what the leader works with.
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

// Leader is that part of a controller.
type Leader struct {
	set   *settings.Settings
	store kvstore.Store
	Parts
	stats *metrics.Set
	log   *slog.Logger
	boot  time.Time

	awaited, overdue int // as the leader: machines rented and not yet up; under the mirror's lock
}

// New returns a part that doesn't lead before Run.
func New(set *settings.Settings, store kvstore.Store, p Parts, stats *metrics.Set, log *slog.Logger) *Leader {
	return &Leader{set: set, store: store, Parts: p, stats: stats, log: log, boot: time.Now()}
}

// BootingMachines counts, under the mirror's lock, the machines rented in this controller's term that
// are not yet up, and those of them that are overdue.
func (c *Leader) BootingMachines() (awaited, overdue int) { return c.awaited, c.overdue }

func (c *Leader) led() *ledger.Ledger { return c.Cache.Records() }

// Run tries to become the fleet's leader and does its work while it is, until ctx ends.
func (c *Leader) Run(ctx context.Context, cl Cloud) error {
	for ctx.Err() == nil {
		c.Cache.Lock()
		ready := c.Cache.Loaded() && c.Cache.Token() != 0
		record, version := c.led().Leader()
		c.Cache.Unlock()
		switch {
		case ready && version != 0 && record.Member == c.set.Member:
			c.resign(ctx, version)
			continue
		case !ready || version != 0:
			wait.For(ctx, campaignEvery)
			continue
		}
		if err := c.term(ctx, cl); err != nil && ctx.Err() == nil {
			c.log.Info("leadership lost", "err", err)
			wait.For(ctx, time.Second)
		}
	}
	return ctx.Err()
}

// campaignEvery is how often it is looked whether somebody leads.
const campaignEvery = 500 * time.Millisecond

// standBack is how long a controller that has resigned leaves the lead to others, who know where the
// machines report.
const standBack = 4 * campaignEvery

// resign takes away the leader's record of a term of this controller that is over, as one of its
// earlier life is: nobody would else lead until its lease has run out. What that term still sends is
// conditioned on the record, and conflicts.
func (c *Leader) resign(ctx context.Context, version wire.Revision) {
	_, err := c.Committer.Commit(ctx, wire.Txn{If: []wire.Condition{{Key: ledger.LeaderKey, Version: version}},
		Then: []wire.Change{{Delete: ledger.LeaderKey}}})
	c.log.Info("stale leadership resigned", "version", version, "err", err)
	wait.For(ctx, standBack)
}

// term is one time as the leader, from the lease's grant to its end.
func (c *Leader) term(ctx context.Context, cl Cloud) error {
	asked := time.Now()
	lease, err := c.store.GrantLease(ctx, leaderTTL)
	if err != nil {
		return err
	}
	c.Cache.Lock()
	token := c.Cache.Token()
	c.Cache.Unlock()
	value, err := json.Marshal(ledger.LeaderRecord{Member: c.set.Member, Token: token})
	if err != nil {
		return err
	}
	version, err := c.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: ledger.LeaderKey, Version: 0}},
		Then: []wire.Change{{Put: ledger.LeaderKey, Value: value, Lease: lease}}})
	if err != nil {
		return err
	}
	if err := c.Cache.WaitForRevision(ctx, version); err != nil {
		return err
	}
	c.log.Info("leadership acquired", "token", token)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := &leader{
		c:         c,
		cloud:     cl,
		version:   version,
		began:     time.Now(),
		units:     map[wire.MachineID]*unit{},
		placing:   map[wire.JobID]gangStart{},
		marking:   map[markKey]*committer.Change{},
		dark:      map[wire.Zone]time.Time{},
		returned:  map[wire.MachineID]bool{},
		releasing: map[wire.MachineID][]*committer.Change{},
		refused:   map[autoscale.MachineOption]time.Time{},
		settled:   time.Now(),
		renewed:   asked,
		judged:    map[estimate.Kind]map[wire.MachineID]time.Time{},
	}
	go func() {
		for ctx.Err() == nil {
			wait.For(ctx, leaderRenew)
			asked := time.Now()
			err := c.store.RenewLease(ctx, lease)
			if errors.Is(err, kvstore.ErrLeaseNotFound) {
				cancel(err)
			}
			c.Cache.Lock()
			if err == nil {
				l.renewed = asked
			}
			_, now := c.led().Leader()
			c.Cache.Unlock()
			if now != version {
				cancel(errors.New("another leads"))
			}
		}
	}()
	// Gangs must not wait for the cloud, which is slow, limited, and at times out.
	placing := make(chan struct{})
	go func() {
		defer close(placing)
		for ctx.Err() == nil {
			l.placeGangs(time.Now())
			wait.For(ctx, 300*time.Millisecond)
		}
		l.forgetPlacing()
	}()
	defer func() {
		cancel(nil)
		<-placing
		c.Cache.Lock()
		c.awaited, c.overdue = 0, 0
		c.Cache.Unlock()
	}()
	c.Cache.Lock()
	recent, _ := c.led().ScaleOutIntents()
	l.recent = slices.Clone(recent)
	l.forgetHires(time.Now())
	l.relearn = slices.Clone(l.recent)
	c.Cache.Unlock()
	for ctx.Err() == nil {
		if err := l.step(ctx); err != nil && ctx.Err() == nil {
			c.log.Debug("autoscaling step failed", "err", err)
		}
		wait.For(ctx, 500*time.Millisecond)
	}
	return context.Cause(ctx)
}

type unit struct {
	wire.ListedMachine
	hired  time.Time // or first seen
	heard  time.Time // by any controller
	holder wire.MemberID
	recall bool
	taken  bool // back, and counted
	faulty bool
	// evidence is why, in a few words, where machines are judged by it.
	evidence string
	deaf     time.Duration // for which answers to its reports have not arrived
	idle     time.Time
}

func (u *unit) kind() estimate.Kind { return estimate.Kind{Type: u.Type, Zone: u.Zone} }

type markKey struct {
	machine wire.MachineID
	mark    ledger.MachinePhase
}

// leader is the state of one term. A new one starts from the cloud's list.
type leader struct {
	c         *Leader
	cloud     Cloud
	version   wire.Revision
	began     time.Time
	hires     int
	units     map[wire.MachineID]*unit
	marking   map[markKey]*committer.Change         // asked for, perhaps not yet in the ledger
	placing   map[wire.JobID]gangStart              // decided, and not yet known to be in the ledger
	refused   map[autoscale.MachineOption]time.Time // no capacity until
	recent    []ledger.ScaleOutIntent               // asked for lately, by predecessors too
	relearn   []ledger.ScaleOutIntent               // whose outcome is not known in this term
	boots     estimate.BootTimes
	madeRoom  time.Time                              // when room for gangs was last looked for,
	roomTook  time.Duration                          // and how long that took
	dark      map[wire.Zone]time.Time                // cut off, to be left alone until
	returned  map[wire.MachineID]bool                // the cloud has confirmed it
	releasing map[wire.MachineID][]*committer.Change // its claims, perhaps still on record
	flavors   map[wire.MachineTypeName]wire.MachineType
	judged    map[estimate.Kind]map[wire.MachineID]time.Time // returned as faulty
	settled   time.Time                                      // since when silence of machines counts
	renewed   time.Time                                      // when the last renewal of the lease was asked for that succeeded

	flavorsAt, listAt time.Time
	listed            bool
}

func (l *leader) step(ctx context.Context) error {
	now := time.Now()
	if now.Sub(l.flavorsAt) > 20*time.Second {
		if err := l.readFlavors(ctx); err != nil {
			return err
		}
	}
	if now.Sub(l.listAt) > 4*time.Second {
		if err := l.readList(ctx); err != nil {
			return err
		}
	}
	if err := l.askAgain(ctx); err != nil {
		return err
	}
	l.observe(time.Now())
	l.watchZones(time.Now())
	l.markLost(time.Now())
	if err := l.finishReturns(ctx); err != nil {
		return err
	}
	return l.plan(ctx, time.Now())
}
