package server

import (
	"time"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// preemptGangs returns the changes that preempt the gangs with tasks on a machine that the cloud provider
// reclaims. The whole gang is stopped at once, as it can save a checkpoint only if all its tasks stop at nearly
// the same time. The caller must hold the cache lock.
func (s *HeartbeatServer) preemptGangs(machine wire.MachineID) []*committer.Change {
	var changes []*committer.Change
	for _, claim := range s.records().ClaimsOn(machine) {
		job := claim.Job
		if job.Spec.Shape != wire.Gang || job.Spec.Tasks < 2 || job.Stop >= claim.Attempt ||
			job.State != ledger.Active {
			continue
		}
		id, attempt := job.ID, claim.Attempt
		changes = append(changes, &committer.Change{
			Class:     committer.ClassStart,
			ExpiresAt: time.Now().Add(s.commitWait()),
			Draft: func(txn *ledger.Transaction) error {
				if job := s.records().Job(id); job != nil {
					return txn.PreemptGang(job, attempt)
				}
				return ledger.ErrPreconditionFailed
			},
		})
	}
	return changes
}
