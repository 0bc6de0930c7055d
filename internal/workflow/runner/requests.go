package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// Submit accepts a workflow that Check has found right, or tells of one that is
// known. Its documents are written first, under their hash, and only then the record.
func (c *Runner) Submit(
	ctx context.Context,
	spec *wire.WorkflowSpec,
) (st wire.WorkflowStatus, created bool, err error) {
	if c.store == nil {
		return st, false, ErrNoWorkflows
	}
	if !c.Jobs.Loaded() {
		return st, false, kvstore.ErrUnreachable
	}
	c.Cache.Lock()
	known := c.led().Workflow(spec.ID) != nil
	c.Cache.Unlock()
	if !known && c.set.FindTeam(spec.Team) == nil {
		if st, err = c.Status(ctx, spec.ID); errors.Is(err, server.ErrNoSuchJob) {
			err = errors.Join(server.ErrUnschedulable, errors.New("unknown team"))
		}
		return st, false, err
	}
	if !known {
		hash, pieces, err := c.pack(&workflow.Documents{Bundle: spec.Bundle, Inputs: spec.Inputs})
		if err != nil {
			return st, false, err
		}
		if err := c.writePieces(ctx, hash, pieces); err != nil {
			return st, false, errors.Join(kvstore.ErrUnreachable, err)
		}
		short := *spec
		short.Bundle, short.Inputs = nil, nil
		at := wire.UnixMillis(time.Now().UnixMilli())
		err = c.Committer.CommitNow(ctx, func(d *ledger.Transaction) error {
			return d.SubmitWorkflow(
				spec.ID,
				ledger.WorkflowRecord{Spec: &short, Hash: hash, Pieces: len(pieces), Accepted: at},
			)
		})
		switch {
		case err == nil:
			c.log.Info("workflow accepted", "workflow", spec.ID, "class", spec.Class, "team", spec.Team, "pieces", len(pieces))
			c.stats.Add("workflows_accepted_total", 1)
			return wire.WorkflowStatus{ID: spec.ID, Status: wire.Queued}, true, nil
		case errors.Is(err, ledger.ErrTooLarge):
			return st, false, errors.Join(server.ErrUnschedulable, err)
		case !errors.Is(err, ledger.ErrPreconditionFailed):
			return st, false, err
		}
	}
	st, err = c.Status(ctx, spec.ID)
	return st, false, err
}

// writePieces writes documents under their hash: writing them twice changes nothing.
func (c *Runner) writePieces(ctx context.Context, hash string, pieces []string) error {
	limits := ledger.Limits{TxnOps: c.set.Cluster.State.TxnOps, TxnBytes: kvstore.TxnBytes}
	batch := ledger.Batch{Limits: limits, Commit: func(changes []wire.Change) error {
		_, err := c.records.Commit(ctx, wire.Txn{Then: changes})
		return err
	}}
	for n, p := range pieces {
		v, err := json.Marshal(p)
		if err != nil {
			return err
		}
		if err := batch.Put(ledger.DocumentKey(hash, n), v); err != nil {
			return err
		}
	}
	return batch.Flush()
}

// Status tells a workflow's state, at least as new as the call. The controller that
// drives it tells of its steps, too.
func (c *Runner) Status(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	if c.store == nil {
		return wire.WorkflowStatus{}, ErrNoWorkflows
	}
	if err := c.Cache.ReadIndex(ctx); err != nil {
		return wire.WorkflowStatus{}, err
	}
	c.Cache.Lock()
	w := c.led().Workflow(id)
	st := wire.WorkflowStatus{ID: id}
	// What was driven here tells nothing of the end that another gave the workflow.
	d := c.driven[id]
	if d != nil && w != nil && d.at == w.Version {
		st.Steps = d.steps
	} else {
		d = nil
	}
	c.Cache.Unlock()
	if w == nil {
		var err error
		if w, err = c.Archiver.Workflow(ctx, id); err != nil {
			return st, errors.Join(kvstore.ErrUnreachable, err)
		}
	}
	if w == nil {
		return st, server.ErrNoSuchJob
	}
	st.Reason = w.Why
	if d == nil {
		st.Steps = c.lookAt(ctx, w)
	}
	switch w.State {
	case ledger.WorkflowActive:
		st.Status = wire.Running
	case ledger.WorkflowCancelled:
		st.Status = wire.Cancelled
	case ledger.WorkflowFailed:
		st.Status = wire.Failed
	case ledger.WorkflowDone:
		st.Status = wire.Done
	}
	if st.Status == wire.Done || st.Status == wire.Failed {
		if b, _, err := c.store.Get(ctx, workflow.OutputsName(id)); err == nil && len(b) < 48<<10 {
			st.Outputs = b
		}
	}
	return st, nil
}

// Bounds of looking at workflows that others drive.
const (
	mostLooked = 64
	lookedFor  = 30 * time.Second // after it was last asked about
)

// lookAt tells the steps of a workflow that another controller drives, from its documents
// and jobs as any driver would; nil if that can't be had, or too many are looked at.
func (c *Runner) lookAt(ctx context.Context, w *ledger.Workflow) []wire.StepStatus {
	now := time.Now()
	c.Cache.Lock()
	for id, l := range c.looked {
		if now.Sub(l.ask) > lookedFor {
			delete(c.looked, id)
		}
	}
	l := c.looked[w.ID]
	if l == nil && len(c.looked) < mostLooked {
		l = new(looked)
		c.looked[w.ID] = l
	}
	if l != nil {
		l.ask = now
	}
	c.Cache.Unlock()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.run == nil || l.at != w.Version {
		run, err := c.resume(context.WithoutCancel(ctx), w, &l.miss)
		if err != nil {
			return nil
		}
		run.Look()
		l.run, l.at = run, w.Version
	}
	for {
		l.miss.Store(false)
		if _, _, err := l.run.Step(ctx, now, 0); err != nil {
			c.log.Debug("workflow not looked at", "workflow", w.ID, "err", err)
		}
		// Of one that is over all is known, if not in one pass. The rest may change any time.
		if !w.Ended() || !l.run.Cut() && !l.miss.Load() || ctx.Err() != nil {
			break
		}
		wait.For(ctx, 50*time.Millisecond)
	}
	return l.run.Steps(c.whyWaits)
}

// whyWaits tells in a few words what a step's job waits for, "" if it runs.
func (c *Runner) whyWaits(id wire.JobID) string {
	c.Cache.Lock()
	defer c.Cache.Unlock()
	j := c.led().Job(id)
	switch {
	case j == nil:
		return "is about to be submitted"
	case j.State != ledger.Active || j.Claimed > 0:
		return ""
	case j.Cancelling:
		return "is being cancelled"
	}
	now := time.Now()
	v := c.Scheduler.Snapshot(now)
	at := slices.IndexFunc(v.Queue, func(e placement.Entry) bool { return e.Job.ID == id })
	switch {
	case at < 0:
		return "has just been accepted"
	case v.Queue[at].CrashLooping:
		return fmt.Sprintf(
			"failed on several machines and rests for %v",
			max(0, v.Queue[at].Retry.Sub(now)).Round(time.Second),
		)
	case v.TeamRoom(j, ledger.Resources{}, 1) < 1:
		return "its team is at its limit"
	}
	return fmt.Sprintf("waits for a machine, as number %d in the order", at+1)
}

// Cancel cancels a workflow and tells its final state. Its steps' jobs are
// cancelled by whoever drives it; none is submitted any more.
func (c *Runner) Cancel(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	return c.move(ctx, id, ledger.WorkflowCancelled)
}

// Resume lets a workflow that failed go on from the failure.
func (c *Runner) Resume(ctx context.Context, id wire.WorkflowID) (wire.WorkflowStatus, error) {
	return c.move(ctx, id, ledger.WorkflowActive)
}

func (c *Runner) move(ctx context.Context, id wire.WorkflowID, to ledger.WorkflowState) (wire.WorkflowStatus, error) {
	st, err := c.Status(ctx, id)
	if err != nil {
		return st, err
	}
	if st.Status == wire.Done || st.Status == wire.Cancelled { // and perhaps archived
		if to == ledger.WorkflowActive {
			err = ErrNotFailed
		}
		return st, err
	}
	got, err := c.endWorkflow(ctx, id, to, "")
	if err != nil {
		return wire.WorkflowStatus{}, err
	}
	if to == ledger.WorkflowActive && got != to {
		return wire.WorkflowStatus{}, ErrNotFailed
	}
	return c.Status(ctx, id)
}
