package ledger

import (
	"slices"

	"maddermill/wire"
)

// ReleaseTasks removes tasks' claim on proof that they are gone, and with done records that
// they have completed. A claim other than the one proven gone is not touched; how many
// there were is told. All tasks are of one range: those of a Held are.
func (d *Transaction) ReleaseTasks(j *Job, claim Claim, tasks []wire.TaskIndex, done bool) (int, error) {
	n := int(tasks[0]) / j.chunkTasks
	gone := 0
	err := d.try(func() error {
		w := d.job(j)
		c := w.chunk(n)
		for _, task := range tasks {
			at := slices.IndexFunc(c.Claims, func(o Claim) bool { return o.Covers(task) && o.sameStart(&claim) })
			if at < 0 || int(task)/j.chunkTasks != n {
				continue
			}
			c.Claims = without(c.Claims, at, task)
			gone++
			if done && j.Spec.Shape != wire.Service {
				c.setDone(int(task) % j.chunkTasks)
			}
		}
		if gone == 0 {
			return ErrPreconditionFailed
		}
		d.usage[j.Spec.Team] = d.usage[j.Spec.Team].Add(j.Need, -gone)
		d.write(w, n)
		if done && w.state == Active && w.allDone() {
			d.done(w)
			d.write(w, 0)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return gone, nil
}

// CompleteGang records that a gang of several tasks is done: its tasks complete together, so that one
// that is done proves it of all of the attempt (PROTOCOL, "Gangs"), whoever holds their
// machines. It takes one change where the tasks' exits by themselves may take one each. How many
// claims went is told.
func (d *Transaction) CompleteGang(j *Job, attempt wire.Attempt) (gone int, err error) {
	err = d.try(func() error {
		gone = 0
		w := d.job(j)
		if w.state != Active || j.Spec.Shape != wire.Gang {
			return ErrPreconditionFailed
		}
		for n := range j.chunks {
			c := w.chunk(n)
			before := gone
			c.Claims = slices.DeleteFunc(slices.Clone(c.Claims), func(o Claim) bool {
				if o.Attempt != attempt {
					return false
				}
				for i := range o.Count {
					c.setDone((int(o.First) + i) % j.chunkTasks)
				}
				gone += o.Count
				return true
			})
			if gone > before {
				d.write(w, n)
			}
		}
		if gone == 0 {
			return ErrPreconditionFailed
		}
		d.usage[j.Spec.Team] = d.usage[j.Spec.Team].Add(j.Need, -gone)
		if w.allDone() {
			d.done(w)
			d.write(w, 0)
		}
		return nil
	})
	return gone, err
}

func (c *chunkRecord) setDone(i int) {
	for len(c.Done) <= i/8 {
		c.Done = append(c.Done, 0)
	}
	c.Done[i/8] |= 1 << (i % 8)
}

// without takes one task out of the claim at index i, splitting it if need be.
func without(claims []Claim, i int, task wire.TaskIndex) []Claim {
	c := claims[i]
	left, right := c, c
	left.Count = int(task - c.First)
	right.First, right.Count = task+1, c.Count-left.Count-1
	var parts []Claim
	for _, p := range []Claim{left, right} {
		if p.Count > 0 {
			parts = append(parts, p)
		}
	}
	return slices.Replace(claims, i, i+1, parts...)
}
