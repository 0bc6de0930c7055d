package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// The lease is long enough to survive a few slow responses of the store, and short enough that a dead
// leader is replaced before jobs have to wait for machines.
const (
	leaseTTL           = 6 * time.Second
	leaseRenewInterval = 1500 * time.Millisecond
)

// Intervals of the leader's loops.
const (
	stepInterval             = 500 * time.Millisecond
	gangPlacementInterval    = 300 * time.Millisecond
	machineTypesReadInterval = 20 * time.Second
	machineListReadInterval  = 4 * time.Second
)

// errOtherLeader ends a term whose leader record has been replaced or deleted.
var errOtherLeader = errors.New("leader record replaced or deleted")

// term is the state of one leadership term, from the creation of the leader record to its deletion.
//
// The goroutine of runTerm owns all fields except those marked as guarded by the cache's lock and those of
// gang placement, which are owned by the goroutine of runGangPlacement.
type term struct {
	leader        *Leader
	cloud         Cloud
	lease         wire.LeaseID  // the lease that the leader record is attached to
	recordVersion wire.Revision // revision of the leader record; the term's fencing token
	startedAt     time.Time
	renewedAt     time.Time // send time of the last successful lease renewal; guarded by the cache's lock

	// Machines, and state about them that is not in their own fields.
	machines         map[wire.MachineID]*machine
	bootTimes        estimate.BootTimes
	silentZonesUntil map[wire.Zone]time.Time                               // zones that are not scaled out into until then
	observingSince   time.Time                                             // missing heartbeats count from then on
	returnedFaulty   map[estimate.MachineKind]map[wire.MachineID]time.Time // when machines were terminated as faulty
	phaseChanges     map[phaseKey]*committer.Change                        // enqueued, and possibly not yet in the records
	returnConfirmed  map[wire.MachineID]bool                               // termination confirmed by the cloud
	claimReleases    map[wire.MachineID][]*committer.Change                // releases of the claims on terminated machines
	machineTypes     map[wire.MachineTypeName]wire.MachineType             // with current prices

	// Scale-out.
	requestCount      int                                   // number of requests so far, part of their IDs
	noCapacityUntil   map[autoscale.MachineOption]time.Time // options without capacity, not requested until then
	recentIntents     []ledger.ScaleOutIntent               // of all terms, while the cloud's list may lack their machines
	unresolvedIntents []ledger.ScaleOutIntent               // of earlier terms, with unknown outcome

	// Reads from the cloud.
	machineTypesReadAt time.Time
	listReadAt         time.Time
	listRead           bool // the list has been read in this term

	// Gang placement; owned by its goroutine.
	gangStarts               map[wire.JobID]gangStart // decided, and not yet known to be in the records
	gangCapacityPlannedAt    time.Time                // when capacity for gangs was last planned
	gangCapacityPlanDuration time.Duration            // how long the last planning took
}

// runTerm campaigns once and, if elected, acts as leader until the term or ctx ends. It returns the reason
// why the term did not begin or has ended.
func (l *Leader) runTerm(ctx context.Context, cloud Cloud) error {
	t, err := l.acquire(ctx, cloud)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go t.renewLease(ctx, cancel)
	// Gang placement must not wait for the cloud, which is slow, rate-limited and sometimes unavailable.
	placementDone := make(chan struct{})
	go func() {
		defer close(placementDone)
		t.runGangPlacement(ctx)
	}()
	defer func() {
		cancel(nil)
		<-placementDone
		l.Cache.Lock()
		l.boots = bootCounts{}
		l.Cache.Unlock()
	}()
	t.loadIntents()
	for ctx.Err() == nil {
		if err := t.step(ctx); err != nil && ctx.Err() == nil {
			l.log.Debug("autoscaling step failed", "err", err)
		}
		wait.For(ctx, stepInterval)
	}
	return context.Cause(ctx)
}

// acquire creates the leader record under a new lease and waits until the cache holds it. It fails if
// another controller has created the record first.
func (l *Leader) acquire(ctx context.Context, cloud Cloud) (*term, error) {
	requestedAt := time.Now()
	lease, err := l.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	l.Cache.Lock()
	token := l.Cache.Token()
	l.Cache.Unlock()
	value, err := json.Marshal(ledger.LeaderRecord{Member: l.set.Member, Token: token})
	if err != nil {
		return nil, err
	}
	version, err := l.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: ledger.LeaderKey, Version: 0}},
		Then: []wire.Change{{Put: ledger.LeaderKey, Value: value, Lease: lease}},
	})
	if err != nil {
		return nil, err
	}
	if err := l.Cache.WaitForRevision(ctx, version); err != nil {
		return nil, err
	}
	l.log.Info("leadership acquired", "token", token)
	t := newTerm(l, cloud, version)
	t.lease, t.renewedAt = lease, requestedAt
	return t, nil
}

// newTerm returns the state of a term that begins now, with the given version of the leader record.
func newTerm(l *Leader, cloud Cloud, recordVersion wire.Revision) *term {
	now := time.Now()
	return &term{
		leader:           l,
		cloud:            cloud,
		recordVersion:    recordVersion,
		startedAt:        now,
		renewedAt:        now,
		observingSince:   now,
		machines:         map[wire.MachineID]*machine{},
		silentZonesUntil: map[wire.Zone]time.Time{},
		returnedFaulty:   map[estimate.MachineKind]map[wire.MachineID]time.Time{},
		phaseChanges:     map[phaseKey]*committer.Change{},
		returnConfirmed:  map[wire.MachineID]bool{},
		claimReleases:    map[wire.MachineID][]*committer.Change{},
		noCapacityUntil:  map[autoscale.MachineOption]time.Time{},
		gangStarts:       map[wire.JobID]gangStart{},
	}
}

// renewLease renews the term's lease until ctx ends. It ends the term by calling cancel when the lease has
// expired or the leader record is no longer this term's.
func (t *term) renewLease(ctx context.Context, cancel context.CancelCauseFunc) {
	l := t.leader
	for ctx.Err() == nil {
		wait.For(ctx, leaseRenewInterval)
		sentAt := time.Now()
		err := l.store.RenewLease(ctx, t.lease)
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			cancel(err)
		}
		l.Cache.Lock()
		if err == nil {
			t.renewedAt = sentAt
		}
		_, version := l.records().Leader()
		l.Cache.Unlock()
		if version != t.recordVersion {
			cancel(errOtherLeader)
		}
	}
}

// holdsLease reports whether this controller certainly still is the leader. It is called right before each
// scale-out request to the cloud, since the process may be paused between a plan and its last request.
func (t *term) holdsLease(now time.Time) bool {
	t.leader.Cache.Lock()
	defer t.leader.Cache.Unlock()
	return t.ownsLeaderRecord() && now.Sub(t.renewedAt) < leaseTTL
}

// ownsLeaderRecord reports whether the leader record in the cache is this term's. The caller holds the
// cache's lock.
func (t *term) ownsLeaderRecord() bool {
	_, version := t.leader.records().Leader()
	return version == t.recordVersion
}

// fencingCondition returns the condition of all writes of the term: the leader record is still this term's.
func (t *term) fencingCondition() wire.Condition {
	return wire.Condition{Key: ledger.LeaderKey, Version: t.recordVersion}
}

// loadIntents loads the recorded scale-out requests of earlier terms.
func (t *term) loadIntents() {
	t.leader.Cache.Lock()
	defer t.leader.Cache.Unlock()
	recorded, _ := t.leader.records().ScaleOutIntents()
	t.recentIntents = slices.Clone(recorded)
	t.pruneIntents(time.Now())
	t.unresolvedIntents = slices.Clone(t.recentIntents)
}

// step runs one iteration of the leader's loop: it reads from the cloud if that is due, resolves the
// requests of earlier terms, observes the machines, and scales in and out. It stops at the first request
// that fails; the next step starts over.
func (t *term) step(ctx context.Context) error {
	now := time.Now()
	if now.Sub(t.machineTypesReadAt) > machineTypesReadInterval {
		if err := t.readMachineTypes(ctx); err != nil {
			return err
		}
	}
	if now.Sub(t.listReadAt) > machineListReadInterval {
		if err := t.readMachineList(ctx); err != nil {
			return err
		}
	}
	if err := t.resolveIntents(ctx); err != nil {
		return err
	}
	t.observe(time.Now())
	t.updateSilentZones(time.Now())
	t.terminateUnhealthy(time.Now())
	if err := t.advanceScaleIn(ctx); err != nil {
		return err
	}
	if !t.listRead {
		return nil
	}
	scaleOuts := t.computePlan(time.Now()) //nolint:contextcheck // policies, called under the lock, have own deadlines
	return t.scaleOut(ctx, scaleOuts)
}
