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
	return zoneRoom(j.Spec, zone, func(f func(*Claim)) {
		j.Claims(func(c Claim) bool { f(&c); return true })
	})
}

func zoneRoom(s *wire.JobSpec, zone wire.Zone, each func(func(*Claim))) int {
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

func (w *draftJob) eachClaim(f func(*Claim)) {
	for n, c := range w.job.chunks {
		if w.chunks[n] == nil {
			for i := range c.Claims {
				f(&c.Claims[i])
			}
		}
	}
	for _, c := range w.chunks {
		for i := range c.Claims {
			f(&c.Claims[i])
		}
	}
}

// Claim claims up to count pending tasks of an array or service for a site and
// returns how many it got. Tasks that rest, if it is given, are left out.
func (d *Transaction) Claim(j *Job, site ClaimTarget, count int, rests func(wire.TaskIndex) bool) (int, error) {
	got := 0
	err := d.try(func() error {
		w := d.job(j)
		if j.Spec.Shape == wire.Gang {
			return fmt.Errorf("ledger: %s is a gang", j.ID)
		}
		if err := d.checkSite(w, site); err != nil {
			return err
		}
		count = min(count, zoneRoom(j.Spec, site.Zone, w.eachClaim), d.teamRoom(j, count))
		size := j.chunkTasks
		ranges := (j.Spec.Tasks + size - 1) / size
		// Controllers begin at different ranges of a large job. Those that start tasks of it at the
		// same time seldom write the same record, and starts and ends that one records together are
		// in few.
		begin := d.l.limits.begin(j.ID, ranges)
		for k := 0; k < ranges && got < count; k++ {
			n := (begin + k) % ranges
			if c := j.chunks[n]; c != nil && w.chunks[n] == nil && c.done+c.held >= min(size, j.Spec.Tasks-n*size) {
				continue
			}
			old := w.chunks[n]
			c := w.chunk(n)
			free := pendingIn(c, n, size, j.Spec.Tasks, count-got, rests)
			free = free[:d.roomIn(w, n, free, site)]
			if len(free) == 0 {
				if old == nil {
					delete(w.chunks, n)
				}
				continue
			}
			if got > 0 && len(d.puts) >= d.most-1 {
				if old == nil {
					delete(w.chunks, n)
				}
				break // the rest goes into a later transaction
			}
			c.Attempt++
			claimRuns(c, free, c.Attempt, site)
			got += len(free)
			d.write(w, n)
			if n > 0 {
				// Cancellation and zones are read from the job's own record;
				// with a zone rule every start must also move it.
				d.read(j, 0)
				if j.Spec.OneZone || j.Spec.Spread {
					d.write(w, 0)
				}
			}
		}
		if got == 0 {
			return ErrPreconditionFailed
		}
		d.touchTeam(j, got, site.Token)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return got, nil
}

// begin is the range of a job's that this controller claims tasks of first.
func (l *Limits) begin(id wire.JobID, ranges int) int {
	if ranges == 1 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return (int(h.Sum32()%uint32(ranges)) + ranges*l.ControllerIndex/max(1, l.ControllerCount)) % ranges
}

// roomIn is how many of the tasks, as one start, a range's record has room for however
// its tasks end. A record that an exit would make too large could never be written.
func (d *Transaction) roomIn(w *draftJob, n int, tasks []wire.TaskIndex, site ClaimTarget) int {
	if w.size == 0 || len(tasks) == 0 {
		return len(tasks)
	}
	c := w.chunk(n)
	size := 64 + w.size/6 + 8 // the rest of the record, done tasks among it
	if n == 0 {
		size += specBytes
	}
	size += claimList(c.Claims).worstBytes() + claimBytes
	k := 0
	for i := 0; i < len(tasks); {
		end := i + 1
		for end < len(tasks) && tasks[end] == tasks[end-1]+1 {
			end++
		}
		for piece := end - i; piece > 0; piece-- {
			if size+(piece+1)/2*pairBytes <= d.l.limits.ValueBytes {
				size += (piece + 1) / 2 * pairBytes
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
func (d *Transaction) ClaimGang(j *Job, parts []GangPart) error {
	return d.try(func() error {
		w := d.job(j)
		if j.Spec.Shape != wire.Gang {
			return fmt.Errorf("ledger: %s is not a gang", j.ID)
		}
		standing := false
		w.eachClaim(func(*Claim) { standing = true })
		if standing {
			return ErrPreconditionFailed
		}
		size := j.chunkTasks
		attempt := w.chunk(0).Attempt + 1
		var todo []wire.TaskIndex
		for n := 0; n*size < j.Spec.Tasks; n++ {
			todo = append(todo, pendingIn(w.chunk(n), n, size, j.Spec.Tasks, size, nil)...)
		}
		total := len(todo)
		if total == 0 || d.teamRoom(j, total) < total {
			return ErrPreconditionFailed
		}
		w.chunk(0).Attempt = attempt
		d.write(w, 0)
		for _, p := range parts {
			if err := d.checkSite(w, p.Site); err != nil {
				return err
			}
			if p.Count > len(todo) || p.Count > zoneRoom(j.Spec, p.Site.Zone, w.eachClaim) {
				return ErrPreconditionFailed
			}
			for i := 0; i < p.Count; {
				n := int(todo[i]) / size
				k := i
				for k < p.Count && int(todo[k])/size == n {
					k++
				}
				claimRuns(w.chunk(n), todo[i:k], attempt, p.Site)
				d.write(w, n)
				i = k
			}
			todo = todo[p.Count:]
		}
		if len(todo) > 0 {
			return ErrPreconditionFailed // all or none
		}
		d.touchTeam(j, total, parts[0].Site.Token)
		return nil
	})
}

// TakeOver puts what a gang's attempt claims on a machine under the token of who holds the machine
// now, once the worker accepts no lower one: only under its own token may a controller have tasks
// that gave up waiting wait on. Nothing is claimed by it, and none of its claims goes.
func (d *Transaction) TakeOver(j *Job, attempt wire.Attempt, site ClaimTarget) error {
	return d.try(func() error {
		w := d.job(j)
		if j.Spec.Shape != wire.Gang || w.stop >= attempt {
			return ErrPreconditionFailed
		}
		if err := d.checkSite(w, site); err != nil {
			return err
		}
		// One that has lost a member is to begin anew; that, and its stop, any range may tell.
		for n := range j.chunks {
			d.read(j, n)
		}
		whole := w.doneTasks()
		w.eachClaim(func(c *Claim) { whole += c.Count })
		if whole != j.Spec.Tasks {
			return ErrPreconditionFailed
		}
		taken := false
		for n := range j.chunks {
			moved := false
			for i := range w.chunk(n).Claims {
				o := &w.chunk(n).Claims[i]
				if o.Attempt == attempt && o.Machine == site.Machine && o.Session == site.Session && o.Token < site.Token {
					o.Token, moved = site.Token, true
				}
			}
			if moved {
				d.write(w, n)
			}
			taken = taken || moved
		}
		if !taken {
			return ErrPreconditionFailed
		}
		return nil
	})
}

func (d *Transaction) checkSite(w *draftJob, site ClaimTarget) error {
	if w.state != Active || !Allowed(w.spec, site.Type, site.Zone, site.Spot) {
		return ErrPreconditionFailed
	}
	if d.l.MachinePhase(site.Machine) != "" || d.marks[site.Machine] != "" {
		return ErrPreconditionFailed
	}
	d.standing(site.Machine)
	return nil
}

func pendingIn(c *chunkRecord, n, size, tasks, most int, rests func(wire.TaskIndex) bool) []wire.TaskIndex {
	length := min(size, tasks-n*size)
	taken := make([]bool, length)
	for _, cl := range c.Claims {
		for i := range cl.Count {
			taken[int(cl.First)+i-n*size] = true
		}
	}
	var free []wire.TaskIndex
	for i := 0; i < length && len(free) < most; i++ {
		if t := wire.TaskIndex(n*size + i); !taken[i] && !c.isDone(i) && (rests == nil || !rests(t)) {
			free = append(free, t)
		}
	}
	return free
}

// claimRuns adds claims for tasks in ascending order, one a run.
func claimRuns(c *chunkRecord, tasks []wire.TaskIndex, a wire.Attempt, s ClaimTarget) {
	for i, t := range tasks {
		if i > 0 && tasks[i-1] == t-1 {
			c.Claims[len(c.Claims)-1].Count++
			continue
		}
		c.Claims = append(c.Claims, Claim{t, 1, a, s.Machine, s.Zone, s.Session, s.Token})
	}
}
