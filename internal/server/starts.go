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
	// canReuseFreed reports whether room that becomes free on the machine may be offered again at once:
	// false where a gang of several tasks has the machine reserved.
	canReuseFreed bool
}

// offerStarts places tasks on a machine, none if it is not usable or the records may be too old. It needs
// the cache's lock.
func (s *HeartbeatServer) offerStarts(w *reconcile.Worker, now time.Time) startOffer {
	if !s.Scheduler.Usable(w, now) || now.Sub(s.Cache.SyncedAt()) >= settings.StartContact {
		return startOffer{canReuseFreed: true}
	}
	snapshot := s.Scheduler.Snapshot(now)
	machine := snapshot.UpdateMachine(s.Scheduler.MachineSnapshot(w, now))
	starts := placement.PlaceOnMachine(snapshot, machine)
	return startOffer{starts: starts, canReuseFreed: !snapshot.WantedByGang(machine)}
}

// startChanges returns the changes that claim the starts offered to a machine, at most two: those of
// best-effort jobs are a change of their own. The starts count as started until uncountStarts. It needs the
// cache's lock.
func (s *HeartbeatServer) startChanges(
	w *reconcile.Worker,
	starts []placement.Start,
	expiresAt time.Time,
) []*committer.Change {
	var regular, bestEffort []placement.Start
	for _, start := range starts {
		// Heartbeats of other machines that come meanwhile must not be offered the same tasks.
		s.Scheduler.CountStarted(start.Job.ID, start.Count)
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

// uncountStarts ends what startChanges counted: the starts are in the records now, or were dropped. It
// needs the cache's lock.
func (s *HeartbeatServer) uncountStarts(starts []placement.Start) {
	for _, start := range starts {
		s.Scheduler.CountStarted(start.Job.ID, -start.Count)
	}
}

// startChange returns the change that claims some of the starts offered to a machine; starts must not be
// empty. Its draft claims those that are still possible when it runs.
func (s *HeartbeatServer) startChange(
	w *reconcile.Worker,
	starts []placement.Start,
	expiresAt time.Time,
) *committer.Change {
	target := claimTarget(w)
	var claimed []placement.Start // by the latest run of the draft
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

// claimStarts adds claims for those of the starts that are still possible to a transaction and returns
// them. The error is ErrPreconditionFailed if there are none, ErrTransactionFull if the first did not fit
// into the transaction. It needs the cache's lock.
func (s *HeartbeatServer) claimStarts(
	txn *ledger.Transaction,
	target ledger.ClaimTarget,
	starts []placement.Start,
) (claimed []placement.Start, err error) {
	// A gang may have been placed on the machine meanwhile. The worker would refuse what no longer fits.
	free := s.records().Free(target)
	err = ledger.ErrPreconditionFailed
	for _, start := range starts {
		job := s.records().Job(start.Job.ID)
		if job == nil || free.Times(job.Need, start.Count) < start.Count {
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

// claimStart adds a claim for count tasks of a job to a transaction. It needs the cache's lock.
func (s *HeartbeatServer) claimStart(
	txn *ledger.Transaction,
	job *ledger.Job,
	target ledger.ClaimTarget,
	count int,
) error {
	if job.Spec.Shape == wire.Gang {
		return txn.ClaimGang(job, []ledger.GangPart{{Target: target, Count: count}})
	}
	_, err := txn.Claim(job, target, count, s.Failures.BackedOff(job.ID))
	return err
}

// takeOver returns the change that brings a claim of a gang, made by another controller, under this
// controller's token, so that the answer can start its tasks: those that gave up waiting for the gang wait
// on, those that were never sent begin. Without it a gang whose machines change their controller while one
// of them fetches the image would begin again each time.
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

// claimTarget is a machine as claims name it, under the token that it is commanded under now.
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

// isCurrent reports whether a worker still reports here, in the epoch and under the token that something
// was decided for. It needs the cache's lock.
func (s *HeartbeatServer) isCurrent(w *reconcile.Worker, target ledger.ClaimTarget) bool {
	return s.Registry.Worker(w.ID) == w && w.Epoch == target.Epoch && w.CommandToken == target.Token
}
