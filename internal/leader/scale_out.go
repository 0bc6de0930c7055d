package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/leader/cloud"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// noCapacityPause is for how long a kind of machine is not requested after the cloud had no capacity.
const noCapacityPause = 20 * time.Second

// errLeaseUncertain refuses a request to the cloud that could come from a deposed leader.
var errLeaseUncertain = errors.New("leader: the leader's lease may have expired")

// bootCounts counts the machines that boot, and those of them that are overdue.
type bootCounts struct {
	booting, overdue int
}

// computePlan returns what is to be scaled out, and sets the phase of the machines that are to be
// scaled in.
func (t *term) computePlan(now time.Time) []autoscale.ScaleOut {
	l := t.leader
	l.Cache.Lock()
	defer l.Cache.Unlock()
	in, boots := t.planInput(now)
	if boots.overdue > l.boots.overdue {
		l.log.Warn("machines overdue", "overdue", boots.overdue, "awaited", boots.booting)
	}
	l.boots = boots
	plan := autoscale.ComputePlan(in)
	if l.Policies.Plans(l.records()) {
		plan = autoscale.ApplyPolicy(in, plan, func(fleet *policy.Fleet) []policy.Change {
			return l.Policies.Plan(l.records(), fleet, now)
		})
	}
	if now.Sub(t.startedAt) < 2*l.set.Cluster.Cloud.ListLag.Duration() {
		plan.Drain = nil // the list may still lack machines
	}
	for _, id := range plan.Drain {
		// Nothing has been claimed there for a while. A task that starts at the very same time is lost
		// with the machine; two changes of phase for every machine would cost more.
		t.setPhase(id, ledger.Terminating, reasonIdle)
	}
	return plan.ScaleOut
}

// planInput returns the input of a plan, and counts the machines that boot. The caller holds the cache's
// lock.
func (t *term) planInput(now time.Time) (*autoscale.Input, bootCounts) {
	l := t.leader
	snapshot := l.Scheduler.Snapshot(now)
	in := &autoscale.Input{
		Now:                now,
		MachineTypes:       t.machineTypes,
		Queue:              snapshot.Queue,
		RemainingTeamQuota: l.records().RemainingTeamQuota,
		Spot:               l.set.Operators.Spot,
		MaxMachines:        l.set.Operators.MostMachines,
		IdleBoots:          l.set.Operators.IdleBoots,
		Headroom:           l.set.Operators.Headroom,
		PreferOneZone:      snapshot.Tree != nil,
		OutOfCapacity: func(option autoscale.MachineOption) bool {
			return now.Before(t.noCapacityUntil[option]) || now.Before(t.silentZonesUntil[option.Zone])
		},
	}
	var boots bootCounts
	for id, m := range t.machines {
		if l.records().MachinePhase(id) != "" {
			continue
		}
		machineType := t.machineTypes[m.Type]
		overdue := m.booting() && t.bootTimes.Overdue(m.kind(), m.requestedAt, machineType.Boot.Duration(), now)
		if m.booting() {
			boots.booting++
		}
		if overdue {
			boots.overdue++
		}
		if machineType.Name == "" {
			continue // it can't be planned with while its size is unknown
		}
		planned := autoscale.Machine{
			ID:        id,
			Type:      m.Type,
			Zone:      m.Zone,
			Spot:      m.Spot,
			Booting:   m.booting(),
			Usable:    t.isUsable(m, overdue, now),
			Total:     ledger.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB),
			Busy:      l.Scheduler.ExpectedReleases(id, now),
			IdleSince: m.idleSince,
		}
		addImages(&planned, snapshot.Machine(id))
		in.Machines = append(in.Machines, planned)
	}
	return in, boots
}

// isUsable reports whether a machine takes tasks, or will when it is up. One that is up and has yet to
// accept the controller's fencing token will take tasks in a moment; not to count it would rent another
// in its place.
func (t *term) isUsable(m *machine, overdue bool, now time.Time) bool {
	if m.booting() {
		return !overdue && !now.Before(t.silentZonesUntil[m.Zone])
	}
	lostAfter := t.leader.set.Operators.LostAfter
	return !m.reclaimNotice && !m.faulty && now.Sub(m.lastHeartbeat) < lostAfter && m.unreachableFor < lostAfter
}

// addImages adds to a machine of a plan which images it has cached and which it fetches, as the
// scheduler's snapshot has them; known is nil if the machine is not part of the snapshot.
func addImages(planned *autoscale.Machine, known *placement.Machine) {
	if known == nil {
		return
	}
	planned.Caches = known.Images.Has
	if fetching := known.Images.ListFetching(); len(fetching) > 0 {
		planned.Fetching = fetching[0]
	}
}

// maxUnlisted is for how long the cloud's list may not show a machine that it has rented out.
func (t *term) maxUnlisted() time.Duration {
	return 3*t.leader.set.Cluster.Cloud.ListLag.Duration() + 5*time.Second
}

// maxIntents is how many intents the record of recent intents holds.
func (t *term) maxIntents() int { return t.leader.set.StateLimits().ValueBytes / ledger.HireBytes }

// pruneIntents drops the intents whose machines the cloud's list shows by now, and the oldest ones beyond
// what their record holds.
func (t *term) pruneIntents(now time.Time) {
	t.recentIntents = slices.DeleteFunc(t.recentIntents, func(intent ledger.ScaleOutIntent) bool {
		return now.Sub(intent.At.Time()) > t.maxUnlisted()
	})
	if excess := len(t.recentIntents) - t.maxIntents(); excess > 0 {
		t.recentIntents = t.recentIntents[excess:]
	}
}

// resolveIntents repeats the requests of earlier terms that the cloud's list may not show yet, under
// their IDs, to learn which machines they got. A plan without them would rent the same again.
func (t *term) resolveIntents(ctx context.Context) error {
	for len(t.unresolvedIntents) > 0 {
		if err := t.requestMachines(ctx, t.unresolvedIntents[0]); err != nil {
			return err
		}
		t.unresolvedIntents = t.unresolvedIntents[1:]
	}
	return nil
}

// scaleOut records what is to be rented, on the condition that this term still leads, and then requests
// it from the cloud. A leader that was paused before the record is written finds that another leads, and
// rents nothing; the requests of one that is paused after it are repeated by its successor. The record is
// also conditioned on its own version: one that is written late does not replace a later one.
func (t *term) scaleOut(ctx context.Context, needs []autoscale.ScaleOut) error {
	if len(needs) == 0 {
		return nil
	}
	now := time.Now()
	t.pruneIntents(now)
	intents := t.newIntents(needs, now)
	before := t.recentIntents
	t.recentIntents = slices.Concat(before, intents)
	t.pruneIntents(now)
	if err := t.recordIntents(ctx); err != nil {
		t.recentIntents = before // nothing has been requested; if the record is written after all, a successor may
		return err
	}
	for _, intent := range intents {
		if err := t.requestMachines(ctx, intent); err != nil {
			return err
		}
	}
	return nil
}

// newIntents returns the requests for what is needed, as many as the record of intents holds.
func (t *term) newIntents(needs []autoscale.ScaleOut, now time.Time) []ledger.ScaleOutIntent {
	var intents []ledger.ScaleOutIntent
	for _, need := range needs {
		t.requestCount++
		intents = append(intents, ledger.ScaleOutIntent{
			At: wire.UnixMillis(now.UnixMilli()),
			ScaleOutRequest: wire.ScaleOutRequest{
				Request: t.requestID(),
				Type:    need.Type,
				Zone:    need.Zone,
				Spot:    need.Spot,
				Count:   min(need.Count, cloud.MaxScaleOut),
			},
		})
	}
	return intents[:min(len(intents), max(1, t.maxIntents()))]
}

// requestID returns the ID of request number requestCount of this term, which no other request ever has:
// the revision of the leader's record is unique to the term. The fencing token of the controller would
// not do, since a controller may lead twice under one, and the cloud answers a request under an ID that
// was used before with the old machines and rents nothing.
func (t *term) requestID() wire.ScaleOutID {
	t.leader.Cache.Lock()
	format, _ := t.leader.records().Format()
	t.leader.Cache.Unlock()
	if format.Era != "" {
		return wire.ScaleOutID(fmt.Sprintf("r-%s-%d-%d", format.Era, t.recordVersion, t.requestCount))
	}
	return wire.ScaleOutID(fmt.Sprintf("r-%d-%d", t.recordVersion, t.requestCount))
}

// recordIntents writes the recent intents to their record.
func (t *term) recordIntents(ctx context.Context) error {
	value, err := json.Marshal(ledger.ScaleOutRecord{Recent: t.recentIntents})
	if err != nil {
		return fmt.Errorf("leader: record scale-out intents: %w", err)
	}
	t.leader.Cache.Lock()
	_, version := t.leader.records().ScaleOutIntents()
	t.leader.Cache.Unlock()
	_, err = t.leader.Committer.Commit(ctx, wire.Txn{
		If:   []wire.Condition{t.whileLeader(), {Key: ledger.ScaleOutKey, Version: version}},
		Then: []wire.Change{{Put: ledger.ScaleOutKey, Value: value}},
	})
	return err
}

// requestMachines sends a recorded request to the cloud and adds the machines that it gets. Less capacity
// than requested is no error: the kind is left out of plans for a while. It returns errLeaseUncertain, and
// sends nothing, if the term may be over.
func (t *term) requestMachines(ctx context.Context, intent ledger.ScaleOutIntent) error {
	now := time.Now()
	if !t.certainlyLeads(now) {
		return errLeaseUncertain
	}
	ids, err := t.cloud.ScaleOut(ctx, intent.ScaleOutRequest)
	t.leader.log.Info("scale-out requested",
		"request", intent.Request, "type", intent.Type, "zone", intent.Zone, "spot", intent.Spot,
		"count", intent.Count, "got", len(ids), "err", err)
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(ids) < intent.Count {
		option := autoscale.MachineOption{Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot}
		t.noCapacityUntil[option] = time.Now().Add(noCapacityPause)
	}
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		return err
	}
	requestedAt := now
	if recordedAt := intent.At.Time(); recordedAt.Before(now) {
		requestedAt = recordedAt
	}
	for _, id := range ids {
		if t.machines[id] != nil {
			continue // it has reported before the cloud has answered
		}
		t.machines[id] = &machine{
			ListedMachine: wire.ListedMachine{
				ID:    id,
				Type:  intent.Type,
				Zone:  intent.Zone,
				Spot:  intent.Spot,
				State: wire.MachineBooting,
			},
			requestedAt: requestedAt,
		}
	}
	return nil
}
