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

// The leader's lease is long enough to survive a few slow answers of the store, and short enough that
// a dead leader is replaced before machines are missed.
const (
	leaseTTL           = 6 * time.Second
	leaseRenewInterval = 1500 * time.Millisecond
)

// Intervals of the work of a term.
const (
	stepInterval             = 500 * time.Millisecond
	gangPlacementInterval    = 300 * time.Millisecond
	machineTypesReadInterval = 20 * time.Second
	machineListReadInterval  = 4 * time.Second
)

// errOtherLeader ends a term whose record has been replaced or deleted.
var errOtherLeader = errors.New("another leads")

// term is the state of one time as leader, from the creation of the leader's record to its end.
//
// The goroutine of runTerm owns all fields but those that are marked as guarded by the cache's lock
// and those of gang placement, which belong to the goroutine of placeGangsUntilDone.
type term struct {
	leader        *Leader
	cloud         Cloud
	lease         wire.LeaseID  // under which the leader's record stands
	recordVersion wire.Revision // of the leader's record: the term's fencing token
	startedAt     time.Time
	renewedAt     time.Time // when the last successful renewal of the lease was sent; guarded by the cache's lock

	// State of the machines, and what is known of them beside their own fields.
	machines          map[wire.MachineID]*machine
	bootTimes         estimate.BootTimes
	silentZonesUntil  map[wire.Zone]time.Time                        // not to be scaled out into until then
	silenceCountsFrom time.Time                                      // silence of machines before it is our own
	returnedFaulty    map[estimate.Kind]map[wire.MachineID]time.Time // machines returned as faulty, and when
	phaseChanges      map[phaseKey]*committer.Change                 // enqueued, perhaps not yet in the records
	scaledIn          map[wire.MachineID]bool                        // the cloud has confirmed the return
	claimReleases     map[wire.MachineID][]*committer.Change         // of the claims on machines that are gone
	machineTypes      map[wire.MachineTypeName]wire.MachineType      // at current prices

	// Scale-out.
	requestCount      int                                   // for the next request's ID
	noCapacityUntil   map[autoscale.MachineOption]time.Time // the cloud had no capacity; not requested until then
	recentIntents     []ledger.ScaleOutIntent               // that the cloud's list may not show yet, of all terms
	unresolvedIntents []ledger.ScaleOutIntent               // of earlier terms, whose outcome is not known yet

	// What was last read from the cloud.
	machineTypesReadAt time.Time
	listReadAt         time.Time
	listRead           bool // the list has been read in this term

	// Gang placement; owned by its goroutine.
	gangStarts        map[wire.JobID]gangStart // decided and not known to be in the records yet
	gangRoomPlannedAt time.Time                // when room for gangs was last planned
	gangRoomPlanTime  time.Duration            // how long that took
}

// runTerm campaigns once and, if elected, acts as leader until the term or ctx ends. It returns why
// the term did not begin or has ended.
func (l *Leader) runTerm(ctx context.Context, cl Cloud) error {
	t, err := l.acquire(ctx, cl)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go t.renewLease(ctx, cancel)
	// Gangs must not wait for the cloud, which is slow, limited, and at times unavailable.
	placementDone := make(chan struct{})
	go func() {
		defer close(placementDone)
		t.placeGangsUntilDone(ctx)
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

// acquire creates the leader's record under a new lease and waits until the cache holds it. It fails
// if another controller has been faster.
func (l *Leader) acquire(ctx context.Context, cl Cloud) (*term, error) {
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
	t := newTerm(l, cl, version)
	t.lease, t.renewedAt = lease, requestedAt
	return t, nil
}

// newTerm returns the state of a term that begins now under the leader's record of a version.
func newTerm(l *Leader, cl Cloud, recordVersion wire.Revision) *term {
	now := time.Now()
	return &term{
		leader:            l,
		cloud:             cl,
		recordVersion:     recordVersion,
		startedAt:         now,
		renewedAt:         now,
		silenceCountsFrom: now,
		machines:          map[wire.MachineID]*machine{},
		silentZonesUntil:  map[wire.Zone]time.Time{},
		returnedFaulty:    map[estimate.Kind]map[wire.MachineID]time.Time{},
		phaseChanges:      map[phaseKey]*committer.Change{},
		scaledIn:          map[wire.MachineID]bool{},
		claimReleases:     map[wire.MachineID][]*committer.Change{},
		noCapacityUntil:   map[autoscale.MachineOption]time.Time{},
		gangStarts:        map[wire.JobID]gangStart{},
	}
}

// renewLease renews the term's lease until ctx ends, and ends the term when its lease has expired or
// its record is no longer the leader's.
func (t *term) renewLease(ctx context.Context, end context.CancelCauseFunc) {
	l := t.leader
	for ctx.Err() == nil {
		wait.For(ctx, leaseRenewInterval)
		sentAt := time.Now()
		err := l.store.RenewLease(ctx, t.lease)
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			end(err)
		}
		l.Cache.Lock()
		if err == nil {
			t.renewedAt = sentAt
		}
		_, version := l.records().Leader()
		l.Cache.Unlock()
		if version != t.recordVersion {
			end(errOtherLeader)
		}
	}
}

// certainlyLeads reports whether this term certainly goes on. It is called right before each request
// to the cloud: the process may be paused between a plan and its last request.
func (t *term) certainlyLeads(now time.Time) bool {
	t.leader.Cache.Lock()
	defer t.leader.Cache.Unlock()
	return t.recordStands() && now.Sub(t.renewedAt) < leaseTTL
}

// recordStands reports whether the leader's record in the cache is this term's. The caller holds the
// cache's lock.
func (t *term) recordStands() bool {
	_, version := t.leader.records().Leader()
	return version == t.recordVersion
}

// whileLeader is the condition of each of the term's writes: its record is still the leader's.
func (t *term) whileLeader() wire.Condition {
	return wire.Condition{Key: ledger.LeaderKey, Version: t.recordVersion}
}

// loadIntents takes over the recorded requests of earlier terms.
func (t *term) loadIntents() {
	t.leader.Cache.Lock()
	defer t.leader.Cache.Unlock()
	recorded, _ := t.leader.records().ScaleOutIntents()
	t.recentIntents = slices.Clone(recorded)
	t.pruneIntents(time.Now())
	t.unresolvedIntents = slices.Clone(t.recentIntents)
}

// step does one round of the leader's work: it reads the cloud where that is due, resolves the
// requests of earlier terms, observes the machines, and scales in and out. It stops at the first
// request that fails; the next step begins anew.
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
	t.terminateLost(time.Now())
	if err := t.advanceScaleIn(ctx); err != nil {
		return err
	}
	if !t.listRead {
		return nil
	}
	needs := t.computePlan(time.Now()) //nolint:contextcheck // policies, called under the lock, have their own deadlines
	return t.scaleOut(ctx, needs)
}
