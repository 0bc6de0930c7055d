package runner

import (
	"context"
	"errors"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// Submit accepts a valid workflow, or returns the status of a known one: submissions are idempotent. The
// documents are written under their hash before the record that refers to them.
func (r *Runner) Submit(
	ctx context.Context,
	spec *wire.WorkflowSpec,
) (st wire.WorkflowStatus, created bool, err error) {
	if r.store == nil {
		return st, false, ErrDisabled
	}
	if !r.Jobs.Loaded() {
		return st, false, kvstore.ErrUnreachable
	}
	r.Cache.Lock()
	known := r.records().Workflow(spec.ID) != nil
	r.Cache.Unlock()
	if !known && r.settings.FindTeam(spec.Team) == nil {
		if st, err = r.Status(ctx, spec.ID); errors.Is(err, server.ErrNoSuchJob) {
			err = errors.Join(server.ErrUnschedulable, errors.New("unknown team"))
		}
		return st, false, err
	}
	if !known {
		err := r.create(ctx, spec)
		if err == nil {
			return wire.WorkflowStatus{ID: spec.ID, Status: wire.Queued}, true, nil
		}
		if !errors.Is(err, ledger.ErrPreconditionFailed) {
			return st, false, err
		}
	}
	st, err = r.Status(ctx, spec.ID)
	return st, false, err
}

// create writes a workflow's documents and its record. It returns ledger.ErrPreconditionFailed if the workflow
// is known by now.
func (r *Runner) create(ctx context.Context, spec *wire.WorkflowSpec) error {
	hash, chunks, err := r.pack(&workflow.Documents{Bundle: spec.Bundle, Inputs: spec.Inputs})
	if err != nil {
		return err
	}
	if err := r.writeChunks(ctx, hash, chunks); err != nil {
		return errors.Join(kvstore.ErrUnreachable, err)
	}
	stripped := *spec
	stripped.Bundle, stripped.Inputs = nil, nil
	record := ledger.WorkflowRecord{
		Spec:     &stripped,
		Hash:     hash,
		Pieces:   len(chunks),
		Accepted: wire.UnixMillis(time.Now().UnixMilli()),
	}
	err = r.Committer.CommitNow(ctx, func(txn *ledger.Transaction) error {
		return txn.SubmitWorkflow(spec.ID, record)
	})
	if errors.Is(err, ledger.ErrTooLarge) {
		return errors.Join(server.ErrUnschedulable, err)
	}
	if err == nil {
		r.log.Info("workflow accepted",
			"workflow", spec.ID, "class", spec.Class, "team", spec.Team, "pieces", len(chunks))
		r.stats.Add("workflows_accepted_total", 1)
	}
	return err
}
