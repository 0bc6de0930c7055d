package reconcile

import (
	"slices"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// ExitChanges makes one change a job out of what is over.
func ExitChanges(m *watchcache.Cache, exits []TaskExit) []*committer.Change {
	byJob := map[*ledger.Job][]TaskExit{}
	var order []*ledger.Job
	for _, e := range exits {
		if byJob[e.Held.Job] == nil {
			order = append(order, e.Held.Job)
		}
		byJob[e.Held.Job] = append(byJob[e.Held.Job], e)
	}
	var out []*committer.Change
	for _, j := range order {
		list := byJob[j]
		first := slices.ContainsFunc(list, func(e TaskExit) bool { return e.Recalled })
		out = append(
			out,
			&committer.Change{
				Urgent:     first,
				BestEffort: j.BestEffort() && !first,
				Priority:   j.Spec.Priority,
				Draft:      func(d *ledger.Transaction) error { return draftExits(m.Records(), d, j.ID, list) },
			},
		)
	}
	return out
}

// draftExits records what is over, together what was one claim and ended alike.
func draftExits(l *ledger.Ledger, d *ledger.Transaction, id wire.JobID, list []TaskExit) error {
	j := l.Job(id)
	if j == nil {
		return ledger.ErrPreconditionFailed
	}
	type group struct {
		claim ledger.Claim
		part  int
		done  bool
	}
	tasks := map[group][]wire.TaskIndex{}
	var order []group
	for _, e := range list {
		g := group{e.Held.Claim, e.Held.Range(), e.Cause == wire.CauseDone}
		g.claim.First, g.claim.Count = 0, 0 // pieces of one start go together
		if tasks[g] == nil {
			order = append(order, g)
		}
		tasks[g] = append(tasks[g], e.Task)
	}
	err := ledger.ErrPreconditionFailed
	for _, g := range order {
		if g.done && j.Spec.Shape == wire.Gang && j.Spec.Tasks > 1 {
			if _, er := d.CompleteGang(j, g.claim.Attempt); er == nil {
				err = nil
				continue
			} // else one by one: more may be on record than fits the batch
		}
		switch _, er := d.ReleaseTasks(j, g.claim, tasks[g], ledger.TaskEnd(g.done)); er {
		case nil:
			err = nil
			if !g.done && j.Spec.Shape == wire.Gang && j.Spec.Tasks > 1 && j.State == ledger.Active {
				// The gang has lost a member: its others stop and save if they
				// still can, and all start again together.
				_ = d.PreemptGang(j, g.claim.Attempt)
			}
		case ledger.ErrPreconditionFailed:
		default:
			return er
		}
	}
	return err
}
