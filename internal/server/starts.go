package server

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// startOffer is what the scheduler places on a machine that has just sent a heartbeat.
type startOffer struct {
	starts []placement.Start
	// canReuseFreed reports whether resources that are freed on the machine may be offered again immediately.
	// It is false while a gang of several tasks has the machine reserved.
	canReuseFreed bool
}

// offerStarts places tasks on a machine. It places none if the machine is not usable or the records may be too
// old. The caller must hold the cache lock.
func (s *HeartbeatServer) offerStarts(w *reconcile.Worker, now time.Time) startOffer {
	if !s.Scheduler.Usable(w, now) || now.Sub(s.Cache.SyncedAt()) >= settings.MaxSyncAge {
		return startOffer{canReuseFreed: true}
	}
	snapshot := s.Scheduler.Snapshot(now)
	machine := snapshot.UpdateMachine(s.Scheduler.MachineSnapshot(w, now))
	starts := placement.PlaceOnMachine(snapshot, machine)
	return startOffer{starts: starts, canReuseFreed: !snapshot.WantedByGang(machine)}
}

// startChanges returns the changes, at most two, that claim the starts offered to a machine; starts of
// best-effort jobs form a separate change. The starts count as started until uncountStarts is called. The
// caller must hold the cache lock.
func (s *HeartbeatServer) startChanges(
	w *reconcile.Worker,
	starts []placement.Start,
	expiresAt time.Time,
) []*committer.Change {
	var regular, bestEffort []placement.Start
	for _, start := range starts {
		// Concurrent heartbeats of other machines must not be offered the same tasks.
		s.Scheduler.AdjustPlannedStarts(start.Job.ID, start.Count)
		if start.Job.BestEffort() {
			bestEffort = append(bestEffort, start)
		} else {
			regular = append(regular, start)
		}
	}
	var changes []*committer.Change
	if len(regular) > 0 {
		changes = append(changes, s.startChange(w, regular, expiresAt))
	}
	if len(bestEffort) > 0 {
		change := s.startChange(w, bestEffort, expiresAt)
		change.Class = change.Class.AsBestEffort()
		changes = append(changes, change)
	}
	return changes
}

// uncountStarts reverts the counting by startChanges, once the starts are in the records or were dropped. The
// caller must hold the cache lock.
func (s *HeartbeatServer) uncountStarts(starts []placement.Start) {
	for _, start := range starts {
		s.Scheduler.AdjustPlannedStarts(start.Job.ID, -start.Count)
	}
}

// startChange returns the change that claims some of the starts offered to a machine; starts must not be empty.
// Its draft claims those that are still possible when it runs.
func (s *HeartbeatServer) startChange(
	w *reconcile.Worker,
	starts []placement.Start,
	expiresAt time.Time,
) *committer.Change {
	target := claimTarget(w)
	var claimed []placement.Start // by the most recent run of the draft
	overdue := slices.ContainsFunc(starts, func(start placement.Start) bool { return start.Overdue })
	mostUrgent := slices.MinFunc(starts, func(a, b placement.Start) int {
		return cmp.Compare(a.Job.Priority().Rank(), b.Job.Priority().Rank())
	})
	return &committer.Change{
		Class:     committer.StartClass(overdue),
		ExpiresAt: expiresAt,
		Priority:  mostUrgent.Job.Priority(),
		OnCommit: func() {
			for _, start := range claimed {
				s.log.Info("task started",
					"job", start.Job.ID, "tasks", start.Count, "machine", w.ID, "image", start.Source)
				s.stats.Add("starts_"+string(start.Source)+"_total", 1)
			}
		},
		Draft: func(txn *ledger.Transaction) (err error) {
			claimed = nil
			if !s.isCurrent(w, target) {
				return ledger.ErrPreconditionFailed
			}
			claimed, err = s.claimStarts(txn, target, starts)
			return err
		},
	}
}

// claimStarts adds claims to a transaction for those starts that are still possible, and returns these. The
// error is ErrPreconditionFailed if there are none, ErrTransactionFull if the first one did not fit into the
// transaction. The caller must hold the cache lock.
func (s *HeartbeatServer) claimStarts(
	txn *ledger.Transaction,
	target ledger.ClaimTarget,
	starts []placement.Start,
) (claimed []placement.Start, err error) {
	// A gang may have been placed on the machine in the meantime. The worker would refuse tasks that no longer
	// fit.
	free := s.records().FreeResources(target)
	err = ledger.ErrPreconditionFailed
	for _, start := range starts {
		job := s.records().Job(start.Job.ID)
		if job == nil || free.CountFitting(job.Need, start.Count) < start.Count {
			continue
		}
		free = free.Add(job.Need, -start.Count)
		claimErr := s.claimStart(txn, job, target, start.Count)
		if claimErr == nil {
			claimed = append(claimed, start)
			err = nil
		} else if errors.Is(claimErr, ledger.ErrTransactionFull) && err != nil {
			return nil, claimErr
		}
	}
	return claimed, err
}

// claimStart adds a claim for count tasks of a job to a transaction. The caller must hold the cache lock.
func (s *HeartbeatServer) claimStart(
	txn *ledger.Transaction,
	job *ledger.Job,
	target ledger.ClaimTarget,
	count int,
) error {
	if job.Spec.Shape == wire.Gang {
		return txn.ClaimGang(job, []ledger.GangAllocation{{Target: target, Count: count}})
	}
	_, err := txn.Claim(job, target, count, s.Failures.BackedOff(job.ID))
	return err
}

// takeOver returns the change that moves another controller's claim of a gang to this controller's token, so
// that the response can start its tasks: tasks that timed out waiting for the gang resume waiting, tasks that
// were never sent start. Without it, a gang whose machines change controllers while one of them fetches the
// image would restart each time.
func (s *HeartbeatServer) takeOver(
	w *reconcile.Worker,
	claim ledger.HeldClaim,
	expiresAt time.Time,
) *committer.Change {
	id, attempt, target := claim.Job.ID, claim.Attempt, claimTarget(w)
	return &committer.Change{
		Class:     committer.ClassStart,
		ExpiresAt: expiresAt,
		Draft: func(txn *ledger.Transaction) error {
			if job := s.records().Job(id); job != nil && s.isCurrent(w, target) {
				return txn.TakeOver(job, attempt, target)
			}
			return ledger.ErrPreconditionFailed
		},
	}
}

// claimTarget returns a machine as claims refer to it, with the token under which it is currently commanded.
func claimTarget(w *reconcile.Worker) ledger.ClaimTarget {
	m := placement.Machine{
		ID:    w.ID,
		Type:  w.Type,
		Zone:  w.Zone,
		Spot:  w.Spot,
		Epoch: w.Epoch,
		Token: w.CommandToken,
	}
	return m.ClaimTarget()
}

// isCurrent reports whether a worker still reports here, in the epoch and under the token of target. The caller
// must hold the cache lock.
func (s *HeartbeatServer) isCurrent(w *reconcile.Worker, target ledger.ClaimTarget) bool {
	return s.Registry.Worker(w.ID) == w && w.Epoch == target.Epoch && w.CommandToken == target.Token
}
