package ledger

import (
	"fmt"
	"slices"

	"maddermill/wire"
)

// ClaimTarget is the machine on which tasks are claimed, as seen by the controller that holds it.
type ClaimTarget struct {
	Machine wire.MachineID
	Type    wire.MachineTypeName
	Zone    wire.Zone
	Spot    bool
	Epoch   wire.AgentEpoch   // of its worker; an expired lease begins a new epoch
	Token   wire.FencingToken // under which the controller holds the machine
}

// PlacementAllowed reports whether a job's constraints allow a machine of a type in a zone. spot says whether it is a
// spot machine.
func PlacementAllowed(s *wire.JobSpec, typ wire.MachineTypeName, zone wire.Zone, spot bool) bool {
	return (s.Types == nil || slices.Contains(s.Types, typ)) &&
		(s.Zone == nil || *s.Zone == zone) && (s.Spot || !spot)
}

// zoneCapacity returns how many more tasks of a job may be claimed in a zone. eachClaim calls its argument for
// every claim of the job. A job with Spread may have at most half of its tasks, rounded up, in one zone.
func zoneCapacity(s *wire.JobSpec, zone wire.Zone, eachClaim func(func(*Claim))) int {
	capacity := s.Tasks
	if !s.Spread && !s.OneZone {
		return capacity // avoids reading all claims, of which there may be many
	}
	if s.Spread {
		capacity = (s.Tasks + 1) / 2
	}
	here, elsewhere := 0, 0
	eachClaim(func(c *Claim) {
		if c.Zone == zone {
			here += c.Count
		} else {
			elsewhere += c.Count
		}
	})
	if s.OneZone && elsewhere > 0 {
		return 0
	}
	return max(0, capacity-here)
}

// Claim claims up to count pending tasks of an array or service for a target and returns how many it claimed.
// It skips tasks for which backedOff, which may be nil, returns true. It returns ErrPreconditionFailed if it
// claimed none.
func (txn *Transaction) Claim(
	j *Job, target ClaimTarget, count int, backedOff func(wire.TaskIndex) bool,
) (int, error) {
	claimed := 0
	err := txn.atomically(func() error {
		update := txn.update(j)
		if j.Spec.Shape == wire.Gang {
			return fmt.Errorf("ledger: job %s is a gang, whose tasks must be claimed together", j.ID)
		}
		if err := txn.requireTarget(update, target); err != nil {
			return err
		}
		count = min(count, zoneCapacity(j.Spec, target.Zone, update.eachClaim), txn.teamCapacity(j, count))
		ranges := j.rangeCount()
		// Each controller begins at a different range of a large job. Controllers that claim its tasks
		// concurrently then rarely conflict on a record, and the claims and releases of one controller
		// are concentrated in few records.
		first := txn.ledger.limits.startingRange(j.ID, ranges)
		for k := 0; k < ranges && claimed < count; k++ {
			n := (first + k) % ranges
			if update.rangeExhausted(n) {
				continue
			}
			_, changed := update.ranges[n]
			tasks := pendingTasks(update.taskRange(n), j.rangeBounds(n), count-claimed, backedOff)
			tasks = tasks[:txn.recordCapacity(update, n, tasks)]
			full := claimed > 0 && len(txn.values) >= txn.maxChanges-1 // leaves the rest to a later transaction
			if len(tasks) > 0 && !full {
				txn.claimInRange(update, n, tasks, target)
				claimed += len(tasks)
				continue
			}
			if !changed {
				delete(update.ranges, n)
			}
			if len(tasks) > 0 {
				break
			}
		}
		if claimed == 0 {
			return ErrPreconditionFailed
		}
		txn.addTeamUsage(j, claimed, target.Token)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return claimed, nil
}

// claimInRange claims pending tasks of the n-th range under a new attempt. tasks must be in ascending order.
func (txn *Transaction) claimInRange(update *jobUpdate, n int, tasks []wire.TaskIndex, target ClaimTarget) {
	r, j := update.taskRange(n), update.job
	r.Attempt++
	appendClaims(r, tasks, r.Attempt, target)
	txn.putRange(update, n)
	// The condition on the job's own record makes the claim conflict with a cancellation. With a zone rule
	// every claim also rewrites that record, so that concurrent claims conflict.
	txn.requireJob(j)
	if j.Spec.OneZone || j.Spec.Spread {
		txn.putJob(update)
	}
}

// recordCapacity returns how many of the tasks can be claimed together so that the record of the n-th range
// stays within the value limit in whatever order its tasks end. Otherwise the end of a task could make the
// record too large, and could never be written.
func (txn *Transaction) recordCapacity(update *jobUpdate, n int, tasks []wire.TaskIndex) int {
	if !update.job.long || len(tasks) == 0 {
		return len(tasks) // each task has room for a claim of its own
	}
	size := 64 + update.customRange/6 + 8 // the rest of the record, including the bitmap of done tasks
	if n == 0 {
		size += maxSpecBytes
	}
	size += update.taskRange(n).Claims.maxEncodedBytes() + maxClaimBytes
	capacity := 0
	for i := 0; i < len(tasks); {
		end := i + 1
		for end < len(tasks) && tasks[end] == tasks[end-1]+1 {
			end++
		}
		// Takes as much of this run of consecutive tasks as fits, as one piece of the claim.
		for piece := end - i; piece > 0; piece-- {
			if size+(piece+1)/2*maxPairBytes <= txn.ledger.valueLimit() {
				size += (piece + 1) / 2 * maxPairBytes
				capacity = i + piece
				break
			}
		}
		if capacity < end {
			break
		}
		i = end
	}
	return capacity
}

// GangAllocation is the number of a gang's tasks to claim on one machine.
type GangAllocation struct {
	Target ClaimTarget
	Count  int
}

// ClaimGang claims all unfinished tasks of a gang at once, under a new attempt. It returns
// ErrPreconditionFailed while claims of an earlier attempt are left, and if the counts of the parts don't add
// up to exactly the unfinished tasks.
func (txn *Transaction) ClaimGang(j *Job, parts []GangAllocation) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if j.Spec.Shape != wire.Gang {
			return fmt.Errorf("ledger: job %s is not a gang", j.ID)
		}
		claimed := false
		update.eachClaim(func(*Claim) { claimed = true })
		if claimed {
			return ErrPreconditionFailed
		}
		attempt := update.taskRange(0).Attempt + 1
		var remaining []wire.TaskIndex
		for n := range j.rangeCount() {
			remaining = append(remaining, pendingTasks(update.taskRange(n), j.rangeBounds(n), j.tasksPerRange, nil)...)
		}
		total := len(remaining)
		if total == 0 || txn.teamCapacity(j, total) < total {
			return ErrPreconditionFailed
		}
		update.taskRange(0).Attempt = attempt
		txn.putJob(update)
		txn.putRange(update, 0)
		for _, part := range parts {
			if err := txn.requireTarget(update, part.Target); err != nil {
				return err
			}
			if part.Count > len(remaining) || part.Count > zoneCapacity(j.Spec, part.Target.Zone, update.eachClaim) {
				return ErrPreconditionFailed
			}
			txn.claimGangPart(update, remaining[:part.Count], attempt, part.Target)
			remaining = remaining[part.Count:]
		}
		if len(remaining) > 0 {
			return ErrPreconditionFailed // a gang starts with all of its tasks or not at all
		}
		txn.addTeamUsage(j, total, parts[0].Target.Token)
		return nil
	})
}

// claimGangPart claims tasks of a gang on one machine. tasks must be in ascending order.
func (txn *Transaction) claimGangPart(
	update *jobUpdate, tasks []wire.TaskIndex, attempt wire.Attempt, target ClaimTarget,
) {
	for len(tasks) > 0 {
		n := update.job.rangeOf(tasks[0])
		k := 1
		for k < len(tasks) && update.job.rangeOf(tasks[k]) == n {
			k++
		}
		appendClaims(update.taskRange(n), tasks[:k], attempt, target)
		txn.putRange(update, n)
		tasks = tasks[k:]
	}
}

// TakeOver moves the claims of a gang's attempt on a machine to the fencing token of the controller that holds
// the machine now. The worker must already reject lower tokens. A controller may let tasks that gave up waiting
// for the other tasks of the gang rejoin only under its own token. No task is claimed or released.
func (txn *Transaction) TakeOver(j *Job, attempt wire.Attempt, target ClaimTarget) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if j.Spec.Shape != wire.Gang || update.stop >= attempt {
			return ErrPreconditionFailed
		}
		if err := txn.requireTarget(update, target); err != nil {
			return err
		}
		// A gang that has lost a task must start again, and any range may show that it has.
		for n := range j.ranges {
			txn.requireRange(j, n)
		}
		accounted := update.doneTasks()
		update.eachClaim(func(c *Claim) { accounted += c.Count })
		if accounted != j.Spec.Tasks {
			return ErrPreconditionFailed
		}
		taken := false
		for n := range j.ranges {
			if takeOverClaims(update.taskRange(n), attempt, target) {
				txn.putRange(update, n)
				taken = true
			}
		}
		if !taken {
			return ErrPreconditionFailed
		}
		return nil
	})
}

// takeOverClaims raises the token of an attempt's claims on a machine, in its current epoch, to that of target,
// and reports whether there were any with a lower token.
func takeOverClaims(r *taskRangeRecord, attempt wire.Attempt, target ClaimTarget) (changed bool) {
	for i := range r.Claims {
		claim := &r.Claims[i]
		onTarget := claim.Machine == target.Machine && claim.Epoch == target.Epoch
		if onTarget && claim.Attempt == attempt && claim.Token < target.Token {
			claim.Token, changed = target.Token, true
		}
	}
	return changed
}

// requireTarget returns ErrPreconditionFailed if a job must not start on a machine, and otherwise adds the
// condition that the machine is still in service. The dependencies of the job need no condition, because done
// is a final state.
func (txn *Transaction) requireTarget(update *jobUpdate, target ClaimTarget) error {
	if update.state != Active || !update.job.Ready() ||
		!PlacementAllowed(update.spec, target.Type, target.Zone, target.Spot) {
		return ErrPreconditionFailed
	}
	if txn.ledger.MachinePhase(target.Machine) != "" || txn.phases[target.Machine] != "" {
		return ErrPreconditionFailed
	}
	txn.requireMachine(target.Machine)
	return nil
}

// pendingTasks returns up to limit tasks of a range that are not done, claimed or backed off, in ascending
// order. backedOff may be nil.
func pendingTasks(
	r *taskRangeRecord, bounds rangeBounds, limit int, backedOff func(wire.TaskIndex) bool,
) []wire.TaskIndex {
	claimed := make([]bool, bounds.length)
	for _, c := range r.Claims {
		for i := range c.Count {
			claimed[int(c.First)+i-bounds.first] = true
		}
	}
	var pending []wire.TaskIndex
	for i := 0; i < bounds.length && len(pending) < limit; i++ {
		task := wire.TaskIndex(bounds.first + i)
		if !claimed[i] && !r.isDone(i) && (backedOff == nil || !backedOff(task)) {
			pending = append(pending, task)
		}
	}
	return pending
}

// appendClaims adds one claim for each run of consecutive tasks. tasks must be in ascending order.
func appendClaims(r *taskRangeRecord, tasks []wire.TaskIndex, attempt wire.Attempt, target ClaimTarget) {
	for i, t := range tasks {
		if i > 0 && tasks[i-1] == t-1 {
			r.Claims[len(r.Claims)-1].Count++
			continue
		}
		r.Claims = append(r.Claims, Claim{
			First:   t,
			Count:   1,
			Attempt: attempt,
			Machine: target.Machine,
			Zone:    target.Zone,
			Epoch:   target.Epoch,
			Token:   target.Token,
		})
	}
}
