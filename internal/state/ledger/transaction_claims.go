package ledger

import (
	"fmt"
	"hash/fnv"
	"slices"

	"maddermill/wire"
)

// ClaimTarget is the machine that a start is claimed on.
type ClaimTarget struct {
	Machine wire.MachineID
	Type    wire.MachineTypeName
	Zone    wire.Zone
	Spot    bool
	Session wire.AgentEpoch
	Token   wire.FencingToken // of the controller that holds the machine
}

// Allowed reports whether the job may run on a machine at all.
func Allowed(s *wire.JobSpec, typ wire.MachineTypeName, zone wire.Zone, spot bool) bool {
	return (s.Types == nil || slices.Contains(s.Types, typ)) &&
		(s.Zone == nil || *s.Zone == zone) && (s.Spot || !spot)
}

// ZoneRoom returns how many more of the job's tasks may be claimed in a zone.
func (j *Job) ZoneRoom(zone wire.Zone) int {
	return zoneCapacity(j.Spec, zone, func(f func(*Claim)) {
		j.Claims(func(c Claim) bool { f(&c); return true })
	})
}

func zoneCapacity(s *wire.JobSpec, zone wire.Zone, each func(func(*Claim))) int {
	room := s.Tasks
	if !s.Spread && !s.OneZone {
		return room // the claims of a huge array are not walked for nothing
	}
	if s.Spread {
		room = (s.Tasks + 1) / 2
	}
	here, elsewhere := 0, 0
	each(func(c *Claim) {
		if c.Zone == zone {
			here += c.Count
		} else {
			elsewhere += c.Count
		}
	})
	if s.OneZone && elsewhere > 0 {
		return 0
	}
	return max(0, room-here)
}

func (u *jobUpdate) eachClaim(f func(*Claim)) {
	for n, c := range u.job.ranges {
		if u.ranges[n] == nil {
			for i := range c.Claims {
				f(&c.Claims[i])
			}
		}
	}
	for _, c := range u.ranges {
		for i := range c.Claims {
			f(&c.Claims[i])
		}
	}
}

// Claim claims up to count pending tasks of an array or service for a site and
// returns how many it got. Tasks that rest, if it is given, are left out.
func (txn *Transaction) Claim(j *Job, target ClaimTarget, count int, backedOff func(wire.TaskIndex) bool) (int, error) {
	claimed := 0
	err := txn.atomically(func() error {
		update := txn.update(j)
		if j.Spec.Shape == wire.Gang {
			return fmt.Errorf("ledger: %s is a gang", j.ID)
		}
		if err := txn.requireTarget(update, target); err != nil {
			return err
		}
		count = min(count, zoneCapacity(j.Spec, target.Zone, update.eachClaim), txn.teamCapacity(j, count))
		tasksPerRange := j.tasksPerRange
		ranges := (j.Spec.Tasks + tasksPerRange - 1) / tasksPerRange
		// Controllers begin at different ranges of a large job. Those that start tasks of it at the
		// same time seldom write the same record, and starts and ends that one records together are
		// in few.
		first := txn.ledger.limits.firstRange(j.ID, ranges)
		for k := 0; k < ranges && claimed < count; k++ {
			n := (first + k) % ranges
			if c := j.ranges[n]; c != nil && update.ranges[n] == nil && c.doneTasks+c.claimedTasks >= min(tasksPerRange, j.Spec.Tasks-n*tasksPerRange) {
				continue
			}
			known := update.ranges[n]
			c := update.taskRange(n)
			free := pendingTasks(c, n, tasksPerRange, j.Spec.Tasks, count-claimed, backedOff)
			free = free[:txn.recordCapacity(update, n, free, target)]
			if len(free) == 0 {
				if known == nil {
					delete(update.ranges, n)
				}
				continue
			}
			if claimed > 0 && len(txn.values) >= txn.maxChanges-1 {
				if known == nil {
					delete(update.ranges, n)
				}
				break // the rest goes into a later transaction
			}
			c.Attempt++
			appendClaims(c, free, c.Attempt, target)
			claimed += len(free)
			txn.putRange(update, n)
			if n > 0 {
				// Cancellation and zones are read from the job's own record;
				// with a zone rule every start must also move it.
				txn.requireRange(j, 0)
				if j.Spec.OneZone || j.Spec.Spread {
					txn.putRange(update, 0)
				}
			}
		}
		if claimed == 0 {
			return ErrPreconditionFailed
		}
		txn.addTeamUse(j, claimed, target.Token)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return claimed, nil
}

// firstRange is the range of a job's that this controller claims tasks of first.
func (limits *Limits) firstRange(id wire.JobID, ranges int) int {
	if ranges == 1 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return (int(h.Sum32()%uint32(ranges)) + ranges*limits.ControllerIndex/max(1, limits.ControllerCount)) % ranges
}

// recordCapacity is how many of the tasks, as one start, a range's record has room for however
// its tasks end. A record that an exit would make too large could never be written.
func (txn *Transaction) recordCapacity(update *jobUpdate, n int, tasks []wire.TaskIndex, site ClaimTarget) int {
	if update.tasksPerRange == 0 || len(tasks) == 0 {
		return len(tasks)
	}
	c := update.taskRange(n)
	size := 64 + update.tasksPerRange/6 + 8 // the rest of the record, done tasks among it
	if n == 0 {
		size += maxSpecBytes
	}
	size += claimList(c.Claims).worstBytes() + maxClaimBytes
	k := 0
	for i := 0; i < len(tasks); {
		end := i + 1
		for end < len(tasks) && tasks[end] == tasks[end-1]+1 {
			end++
		}
		for piece := end - i; piece > 0; piece-- {
			if size+(piece+1)/2*maxPairBytes <= txn.ledger.limits.ValueBytes {
				size += (piece + 1) / 2 * maxPairBytes
				k = i + piece
				break
			}
		}
		if k < end {
			break
		}
		i = end
	}
	return k
}

// GangPart is one machine's part of a gang.
type GangPart struct {
	Site  ClaimTarget
	Count int
}

// ClaimGang claims every unfinished task of a gang at once, as a new attempt.
// It refuses while any claim of an earlier attempt stands.
func (txn *Transaction) ClaimGang(j *Job, parts []GangPart) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if j.Spec.Shape != wire.Gang {
			return fmt.Errorf("ledger: %s is not a gang", j.ID)
		}
		standing := false
		update.eachClaim(func(*Claim) { standing = true })
		if standing {
			return ErrPreconditionFailed
		}
		size := j.tasksPerRange
		attempt := update.taskRange(0).Attempt + 1
		var remaining []wire.TaskIndex
		for n := 0; n*size < j.Spec.Tasks; n++ {
			remaining = append(remaining, pendingTasks(update.taskRange(n), n, size, j.Spec.Tasks, size, nil)...)
		}
		total := len(remaining)
		if total == 0 || txn.teamCapacity(j, total) < total {
			return ErrPreconditionFailed
		}
		update.taskRange(0).Attempt = attempt
		txn.putRange(update, 0)
		for _, p := range parts {
			if err := txn.requireTarget(update, p.Site); err != nil {
				return err
			}
			if p.Count > len(remaining) || p.Count > zoneCapacity(j.Spec, p.Site.Zone, update.eachClaim) {
				return ErrPreconditionFailed
			}
			for i := 0; i < p.Count; {
				n := int(remaining[i]) / size
				k := i
				for k < p.Count && int(remaining[k])/size == n {
					k++
				}
				appendClaims(update.taskRange(n), remaining[i:k], attempt, p.Site)
				txn.putRange(update, n)
				i = k
			}
			remaining = remaining[p.Count:]
		}
		if len(remaining) > 0 {
			return ErrPreconditionFailed // all or none
		}
		txn.addTeamUse(j, total, parts[0].Site.Token)
		return nil
	})
}

// TakeOver puts what a gang's attempt claims on a machine under the token of who holds the machine
// now, once the worker accepts no lower one: only under its own token may a controller have tasks
// that gave up waiting wait on. Nothing is claimed by it, and none of its claims goes.
func (txn *Transaction) TakeOver(j *Job, attempt wire.Attempt, target ClaimTarget) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if j.Spec.Shape != wire.Gang || update.stop >= attempt {
			return ErrPreconditionFailed
		}
		if err := txn.requireTarget(update, target); err != nil {
			return err
		}
		// One that has lost a member is to begin anew; that, and its stop, any range may tell.
		for n := range j.ranges {
			txn.requireRange(j, n)
		}
		whole := update.doneTasks()
		update.eachClaim(func(c *Claim) { whole += c.Count })
		if whole != j.Spec.Tasks {
			return ErrPreconditionFailed
		}
		taken := false
		for n := range j.ranges {
			moved := false
			for i := range update.taskRange(n).Claims {
				o := &update.taskRange(n).Claims[i]
				if o.Attempt == attempt && o.Machine == target.Machine && o.Session == target.Session && o.Token < target.Token {
					o.Token, moved = target.Token, true
				}
			}
			if moved {
				txn.putRange(update, n)
			}
			taken = taken || moved
		}
		if !taken {
			return ErrPreconditionFailed
		}
		return nil
	})
}

func (txn *Transaction) requireTarget(update *jobUpdate, target ClaimTarget) error {
	if update.state != Active || !Allowed(update.spec, target.Type, target.Zone, target.Spot) {
		return ErrPreconditionFailed
	}
	if txn.ledger.MachinePhase(target.Machine) != "" || txn.phases[target.Machine] != "" {
		return ErrPreconditionFailed
	}
	txn.requireMachine(target.Machine)
	return nil
}

func pendingTasks(c *taskRangeRecord, n, tasksPerRange, tasks, limit int, backedOff func(wire.TaskIndex) bool) []wire.TaskIndex {
	length := min(tasksPerRange, tasks-n*tasksPerRange)
	taken := make([]bool, length)
	for _, cl := range c.Claims {
		for i := range cl.Count {
			taken[int(cl.First)+i-n*tasksPerRange] = true
		}
	}
	var free []wire.TaskIndex
	for i := 0; i < length && len(free) < limit; i++ {
		if t := wire.TaskIndex(n*tasksPerRange + i); !taken[i] && !c.isDone(i) && (backedOff == nil || !backedOff(t)) {
			free = append(free, t)
		}
	}
	return free
}

// appendClaims adds claims for tasks in ascending order, one a run.
func appendClaims(c *taskRangeRecord, tasks []wire.TaskIndex, a wire.Attempt, s ClaimTarget) {
	for i, t := range tasks {
		if i > 0 && tasks[i-1] == t-1 {
			c.Claims[len(c.Claims)-1].Count++
			continue
		}
		c.Claims = append(c.Claims, Claim{t, 1, a, s.Machine, s.Zone, s.Session, s.Token})
	}
}
