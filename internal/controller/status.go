package controller

import (
	"math"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

const (
	// maxSharedCancellations is the maximum number of cancellations listed in a status.
	maxSharedCancellations = 400
	// maxHeartbeatAge is how long after its last heartbeat a worker is still included in the status.
	maxHeartbeatAge = 2 * time.Minute
)

// Topology returns the declared topology with its machines and the gangs running on them, as known to
// this controller, and false if no topology is declared.
func (c *Controller) Topology(now time.Time) (wire.TopologyView, bool) {
	return c.TopologyTracker.Topology(now, c.scheduler.Snapshot)
}

// Judgements returns the quarantine verdicts, with their evidence, on the machines that report to this
// controller, and false if quarantine is disabled.
func (c *Controller) Judgements() (judgements []wire.Judgement, enabled bool) {
	c.cache.Read(func(*ledger.Ledger) {
		var machines []wire.MachineID
		c.registry.Each(func(w *reconcile.Worker) { machines = append(machines, w.ID) })
		judgements, enabled = c.failures.Judgements(machines), c.failures.QuarantineEnabled()
	})
	return judgements, enabled
}

// answerProbe returns the response to a probe from a peer: the status of this controller with the
// cancellations since the peer's revision and the completions that the peer requests.
func (c *Controller) answerProbe(probe peer.Status) peer.Status {
	c.membership.ObserveProbe(probe.Member, time.Now())
	status := c.status()
	c.cache.Read(func(l *ledger.Ledger) {
		c.completionExchange.FillResponse(probe, &status, time.Now())
		if status.LastCancellation <= probe.Revision {
			return
		}
		// The records may have advanced since the status was built. It must list every cancellation up
		// to the revision that it confirms, so both are read here under the same lock.
		missing, complete := l.CancelledSince(probe.Revision)
		status.CancelledSince, status.LastCancellation = probe.Revision, l.LastCancel()
		if missing.Len() <= maxSharedCancellations {
			status.CancelledJobs, status.CancelledWorkflows = missing.Jobs, missing.Workflows
			status.CancellationsComplete = complete
		}
	})
	return status
}

// probe returns the probe that this controller sends to a peer: its revision, and the completions that
// it requests from the peer.
func (c *Controller) probe(member wire.MemberID) peer.Status {
	probe := peer.Status{Member: c.set.Member}
	c.cache.Read(func(l *ledger.Ledger) {
		probe.Revision = l.Revision()
		c.completionExchange.FillProbe(member, &probe)
	})
	return probe
}

// publishedStatus returns the status that is published in the state service, for peers that can't be
// reached over the mesh, and false until the records are loaded.
func (c *Controller) publishedStatus() (status peer.Status, ok bool) {
	if !c.Jobs.Loaded() {
		return status, false
	}
	return c.status(), true
}

// status returns the status of this controller for its peers.
func (c *Controller) status() peer.Status {
	c.cache.Lock()
	defer c.cache.Unlock()
	records, now := c.cache.Records(), time.Now()
	status := peer.Status{
		Version:          peer.Version,
		Member:           c.set.Member,
		Boot:             c.startedAt.UnixMilli(),
		Revision:         records.Revision(),
		LastCancellation: records.LastCancel(),
		SyncAgeMS:        math.MaxInt32,
		Loaded:           c.cache.Loaded(),
		MaxFormat:        archiver.SupportedFormat(c.set.Operators.FormatUpTo),
	}
	if syncedAt := c.cache.SyncedAt(); !syncedAt.IsZero() {
		status.SyncAgeMS = now.Sub(syncedAt).Milliseconds()
	}
	status.Failures = c.failures.FailuresToShare(now)
	status.Classes = c.runTimes.Classes()
	status.Modules = c.policies.Modules(records)
	status.CrashLoops = c.failures.SuspectsToShare(now)
	status.PreemptionReservations = c.scheduler.PreemptionReservations(now)
	status.GangPartitions = c.TopologyTracker.Partitions(now)
	status.GangReservations = c.scheduler.GangReservations(now)
	status.RegisterEdition = c.Deadlines.RegisterRevision()
	c.registry.Each(func(w *reconcile.Worker) {
		if now.Sub(w.LastHeartbeat) <= maxHeartbeatAge {
			status.Machines = append(status.Machines, c.machineStatus(records, w, now))
		}
	})
	return status
}

// machineStatus returns the status of a machine whose worker reports to this controller. It must be called
// under the cache's lock, from within registry.Each.
func (c *Controller) machineStatus(records *ledger.Ledger, w *reconcile.Worker, now time.Time) peer.Machine {
	machine := peer.Machine{
		ID:             w.ID,
		Type:           w.Type,
		Zone:           w.Zone,
		Spot:           w.Spot,
		Epoch:          w.Epoch,
		Token:          w.CommandToken,
		Endpoint:       c.TopologyTracker.EndpointOf(w),
		HeartbeatAgeMS: now.Sub(w.LastHeartbeat).Milliseconds(),
		Usable:         c.scheduler.Usable(w, now),
		Faulty:         c.failures.Faulty(records, w.ID, now),
		Slow:           c.failures.Slow(w.ID),
		UnreachableMS:  w.UnreachableFor(now).Milliseconds(),
	}
	if machine.Faulty {
		machine.QuarantineReason = c.failures.QuarantineReason(w.ID)
	}
	if !w.ReclaimAt.IsZero() {
		machine.ReclaimMS = max(1, w.ReclaimAt.Sub(now).Milliseconds())
	}
	if images := c.registry.KnownImages(w); images != nil {
		images.ActiveFetches(now, c.set.Operators.FetchAssumed)
		machine.Images, machine.Fetching = images.Names(), images.ListFetching()
	}
	return machine
}

// cancellations returns the cancellations listed in a peer's status.
func cancellations(status *peer.Status) ledger.Cancellations {
	return ledger.Cancellations{Jobs: status.CancelledJobs, Workflows: status.CancelledWorkflows}
}

// mergePeerStatus passes a peer's response to a probe to the components that use it.
func (c *Controller) mergePeerStatus(answer peer.Response) {
	status, asOf := &answer.Status, answer.AsOf
	c.cache.Read(func(l *ledger.Ledger) {
		l.MarkCancelling(cancellations(status))
		now := time.Now()
		c.completionExchange.Merge(
			status,
			c.Heartbeats.MayLackCompletion,
			!c.cache.SyncedWithin(now, settings.MaxSyncAge),
			now,
		)
		// This must come after MarkCancelling: from here on the peer's status may confirm that these
		// records include all cancellations.
		c.membership.ObserveStatus(*status, asOf)
		c.failures.MergeSuspects(l, status.CrashLoops, asOf)
		c.failures.MergeFailures(status.Failures)
		c.TopologyTracker.MergePartitions(status.GangPartitions, asOf)
		c.scheduler.ObservePreemptionReservations(status.Member, status.PreemptionReservations, asOf, time.Now())
		c.scheduler.ObserveGangReservations(status.Member, status.GangReservations, asOf, time.Now())
	})
}
