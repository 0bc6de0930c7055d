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

// noCapacityBackoff is how long a machine option is not requested again after the cloud had no capacity.
const noCapacityBackoff = 20 * time.Second

// errLeaseUncertain means that a request to the cloud was not sent because this controller may no longer be
// the leader.
var errLeaseUncertain = errors.New("leader: lease may have expired, request not sent")

// bootCounts holds the number of booting machines and how many of them are overdue.
type bootCounts struct {
	booting, overdue int
}

// computePlan returns the machines to provision, and enqueues the phase Terminating for the machines to
// scale in.
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
		plan.Drain = nil // the list may still be incomplete
	}
	for _, id := range plan.Drain {
		// The machine has had no claims for a while. A task that starts there at this very moment is lost
		// with it; a two-step phase change for every drained machine would cost more.
		t.setPhase(id, ledger.Terminating, reasonIdle)
	}
	return plan.ScaleOut
}

// planInput returns the input for a plan and the counts of booting machines. The caller holds the cache's
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
		MaxMachines:        l.set.Operators.MaxMachines,
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
			continue // can't be included in the plan while its resources are unknown
		}
		planned := autoscale.Machine{
			ID:               id,
			Type:             m.Type,
			Zone:             m.Zone,
			Spot:             m.Spot,
			Booting:          m.booting(),
			Usable:           t.isUsable(m, overdue, now),
			Total:            ledger.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB),
			ExpectedReleases: l.Scheduler.ExpectedReleases(id, now),
			IdleSince:        m.idleSince,
		}
		addImages(&planned, snapshot.Machine(id))
		in.Machines = append(in.Machines, planned)
	}
	return in, boots
}

// isUsable reports whether a machine accepts tasks, or will once it is up. It includes a machine that is up
// but has not accepted the controller's fencing token yet: it will in a moment, and excluding it would
// provision a replacement.
func (t *term) isUsable(m *machine, overdue bool, now time.Time) bool {
	if m.booting() {
		return !overdue && !now.Before(t.silentZonesUntil[m.Zone])
	}
	lostAfter := t.leader.set.Operators.LostAfter
	return !m.reclaimNotice && !m.faulty && now.Sub(m.lastHeartbeat) < lostAfter && m.unreachableFor < lostAfter
}

// addImages copies the cached images of a machine and the image that it is fetching from the scheduler's
// snapshot to the plan; known is nil if the machine is not in the snapshot.
func addImages(planned *autoscale.Machine, known *placement.Machine) {
	if known == nil {
		return
	}
	planned.Caches = known.Images.Has
	if fetching := known.Images.ListFetching(); len(fetching) > 0 {
		planned.Fetching = fetching[0]
	}
}

// maxListDelay returns how long a provisioned machine may be missing from the cloud's list.
func (t *term) maxListDelay() time.Duration {
	return 3*t.leader.set.Cluster.Cloud.ListLag.Duration() + 5*time.Second
}

// maxIntents returns how many intents fit in the record of recent intents.
func (t *term) maxIntents() int { return t.leader.set.StateLimits().ValueBytes / ledger.IntentBytes }

// pruneIntents removes the intents whose machines must be in the cloud's list by now, and the oldest ones if
// there are more than fit in the record.
func (t *term) pruneIntents(now time.Time) {
	t.recentIntents = slices.DeleteFunc(t.recentIntents, func(intent ledger.ScaleOutIntent) bool {
		return now.Sub(intent.At.Time()) > t.maxListDelay()
	})
	if excess := len(t.recentIntents) - t.maxIntents(); excess > 0 {
		t.recentIntents = t.recentIntents[excess:]
	}
}

// resolveIntents repeats the requests of earlier terms whose machines may still be missing from the cloud's
// list, with the same IDs, to learn which machines they provisioned. A plan that does not know these would
// provision them a second time.
func (t *term) resolveIntents(ctx context.Context) error {
	for len(t.unresolvedIntents) > 0 {
		if err := t.requestMachines(ctx, t.unresolvedIntents[0]); err != nil {
			return err
		}
		t.unresolvedIntents = t.unresolvedIntents[1:]
	}
	return nil
}

// scaleOut records the machines to provision as intents, conditional on still being the leader, and then
// requests them from the cloud. If the process is paused before the write and another controller becomes
// leader meanwhile, the write fails and nothing is requested; if it is paused after the write, the new
// leader repeats the requests. The write is also conditional on the record's own version, so that a delayed
// write does not replace a newer record.
func (t *term) scaleOut(ctx context.Context, scaleOuts []autoscale.ScaleOut) error {
	if len(scaleOuts) == 0 {
		return nil
	}
	now := time.Now()
	t.pruneIntents(now)
	intents := t.newIntents(scaleOuts, now)
	before := t.recentIntents
	t.recentIntents = slices.Concat(before, intents)
	t.pruneIntents(now)
	if err := t.recordIntents(ctx); err != nil {
		t.recentIntents = before // nothing was requested; if the write succeeded after all, a successor may request it
		return err
	}
	for _, intent := range intents {
		if err := t.requestMachines(ctx, intent); err != nil {
			return err
		}
	}
	return nil
}

// newIntents returns the requests for the machines to provision, as many as fit in the record of intents.
func (t *term) newIntents(scaleOuts []autoscale.ScaleOut, now time.Time) []ledger.ScaleOutIntent {
	var intents []ledger.ScaleOutIntent
	for _, requested := range scaleOuts {
		t.requestCount++
		intents = append(intents, ledger.ScaleOutIntent{
			At: wire.UnixMillis(now.UnixMilli()),
			ScaleOutRequest: wire.ScaleOutRequest{
				Request: t.requestID(),
				Type:    requested.Type,
				Zone:    requested.Zone,
				Spot:    requested.Spot,
				Count:   min(requested.Count, cloud.MaxScaleOut),
			},
		})
	}
	return intents[:min(len(intents), max(1, t.maxIntents()))]
}

// requestID returns the globally unique ID of request number requestCount of this term: the revision of the
// leader record is unique to the term. The fencing token of the controller is not, since a controller may be
// elected twice with the same token. A reused ID would return the machines of the earlier request and
// provision none.
func (t *term) requestID() wire.ScaleOutID {
	t.leader.Cache.Lock()
	format, _ := t.leader.records().Format()
	t.leader.Cache.Unlock()
	if format.Era != "" {
		return wire.ScaleOutID(fmt.Sprintf("r-%s-%d-%d", format.Era, t.recordVersion, t.requestCount))
	}
	return wire.ScaleOutID(fmt.Sprintf("r-%d-%d", t.recordVersion, t.requestCount))
}

// recordIntents writes the recent intents to the store.
func (t *term) recordIntents(ctx context.Context) error {
	value, err := json.Marshal(ledger.ScaleOutRecord{Recent: t.recentIntents})
	if err != nil {
		return fmt.Errorf("leader: encode scale-out intents: %w", err)
	}
	t.leader.Cache.Lock()
	_, version := t.leader.records().ScaleOutIntents()
	t.leader.Cache.Unlock()
	_, err = t.leader.Committer.Commit(ctx, wire.Txn{
		If:   []wire.Condition{t.fencingCondition(), {Key: ledger.ScaleOutKey, Version: version}},
		Then: []wire.Change{{Put: ledger.ScaleOutKey, Value: value}},
	})
	return err
}

// requestMachines sends a recorded request to the cloud and adds the provisioned machines to the term's
// state. Getting fewer machines than requested is not an error: the machine option is excluded from plans
// for noCapacityBackoff. If the term may be over, it sends nothing and returns errLeaseUncertain.
func (t *term) requestMachines(ctx context.Context, intent ledger.ScaleOutIntent) error {
	now := time.Now()
	if !t.holdsLease(now) {
		return errLeaseUncertain
	}
	ids, err := t.cloud.ScaleOut(ctx, intent.ScaleOutRequest)
	t.leader.log.Info("scale-out requested",
		"request", intent.Request, "type", intent.Type, "zone", intent.Zone, "spot", intent.Spot,
		"count", intent.Count, "got", len(ids), "err", err)
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(ids) < intent.Count {
		option := autoscale.MachineOption{Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot}
		t.noCapacityUntil[option] = time.Now().Add(noCapacityBackoff)
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
			continue // its first heartbeat arrived before the cloud's response
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
