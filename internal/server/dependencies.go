package server

import (
	"context"
	"errors"
	"fmt"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Reasons to reject a job because of its dependencies, joined to ErrUnschedulable.
var (
	errUnknownDependency = errors.New("awaits a job that was never accepted")
	errServiceDependency = errors.New("awaits a service, which is never done")
)

// dependencies holds what is known about the dependencies of a submission.
type dependencies struct {
	missing  []wire.JobID // not in the records
	archived map[wire.JobID]ledger.FinalRecord
}

// resolveDependencies looks up the dependencies of a submission. Those in the records were accepted. The others
// are looked up in the archive, once the records are of a revision later than the call, so that a job found in
// neither was never accepted. The error is ErrUnschedulable joined with the reason, or wraps
// kvstore.ErrUnreachable if the lookup is not possible now.
func (s *JobServer) resolveDependencies(ctx context.Context, spec *wire.JobSpec) (dependencies, error) {
	if len(spec.Dependencies) == 0 {
		return dependencies{}, nil
	}
	known, err := s.dependenciesOnRecord(spec)
	if err != nil || len(known.missing) == 0 {
		return known, err
	}
	if err := s.Cache.ReadIndex(ctx); err != nil {
		return known, err
	}
	if known, err = s.dependenciesOnRecord(spec); err != nil {
		return known, err
	}
	known.archived = map[wire.JobID]ledger.FinalRecord{}
	for _, id := range known.missing {
		status, err := s.ArchivedStatus(ctx, id)
		switch {
		case errors.Is(err, ErrNoSuchJob):
			return known, errors.Join(ErrUnschedulable, fmt.Errorf("%w: %s", errUnknownDependency, id))
		case err != nil:
			return known, err
		}
		known.archived[id] = finalRecordOf(status)
	}
	return known, nil
}

// finalRecordOf returns the final record that corresponds to the status of an archived job.
func finalRecordOf(status wire.JobStatus) ledger.FinalRecord {
	if status.Status == wire.Cancelled {
		return ledger.FinalRecord{State: ledger.Cancelled}
	}
	return ledger.FinalRecord{State: ledger.Done}
}

// dependenciesOnRecord returns the dependencies of a submission that are not in the records. The errors are
// those of resolveDependencies.
func (s *JobServer) dependenciesOnRecord(spec *wire.JobSpec) (known dependencies, err error) {
	s.Cache.Lock()
	defer s.Cache.Unlock()
	if format, _ := s.records().Format(); format.Format < ledger.PipelineFormat {
		return known, errors.Join(kvstore.ErrUnreachable, ledger.ErrOlderFormat)
	}
	for _, id := range spec.Dependencies {
		if _, over := s.records().FinalRecordOf(id); over {
			continue
		}
		job := s.records().Job(id)
		switch {
		case job == nil:
			known.missing = append(known.missing, id)
		case job.Spec.Shape == wire.Service:
			return known, errors.Join(ErrUnschedulable, fmt.Errorf("%w: %s", errServiceDependency, id))
		}
	}
	return known, nil
}
