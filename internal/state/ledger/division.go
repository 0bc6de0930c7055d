package ledger

import (
	"encoding/json"
	"slices"
	"strconv"

	"maddermill/wire"
)

// Division of task ranges. A state service may come to take smaller values than before (settings.state.next).
// Records that were written up to the old limit can then be read but not written any more. So the job is
// divided in memory: each of its stored ranges into short ones, of which each may get a record of its own,
// its part. A part says all about its tasks, whatever the stored range, which is not rewritten for it, says
// of them; once enough is in parts the stored range fits again. Parts are written from PipelineFormat on.

// dividedRange is how many tasks a range of a divided job has. It is part of the records' meaning. Claims for
// all of them fit beside a job's specification into the smallest value that a state service may have.
const dividedRange = 8

// divided reports whether the ranges of the job are shorter than the stored ones.
func (j *Job) divided() bool { return j.tasksPerRange < j.storedRange }

// rangesPerStored returns how many ranges a stored one is divided into.
func (j *Job) rangesPerStored() int { return (j.storedRange + j.tasksPerRange - 1) / j.tasksPerRange }

// storedIndex returns the number of the stored range that the n-th range is a part of.
func (j *Job) storedIndex(n int) int { return n / j.rangesPerStored() }

// rangeOf returns the number of the range that a task is in.
func (j *Job) rangeOf(t wire.TaskIndex) int {
	stored, rest := int(t)/j.storedRange, int(t)%j.storedRange
	return stored*j.rangesPerStored() + rest/j.tasksPerRange
}

// rangeCount returns how many ranges the job's tasks fall into.
func (j *Job) rangeCount() int { return j.rangeOf(wire.TaskIndex(j.Spec.Tasks-1)) + 1 }

// rangeBounds are the tasks [first, first+length) of a job, which share a record.
type rangeBounds struct{ first, length int }

// rangeBounds returns the tasks of the n-th range.
func (j *Job) rangeBounds(n int) rangeBounds {
	stored := j.storedIndex(n)
	offset := (n - stored*j.rangesPerStored()) * j.tasksPerRange
	first := stored*j.storedRange + offset
	return rangeBounds{first, min(j.tasksPerRange, j.storedRange-offset, j.Spec.Tasks-first)}
}

// storedBounds returns the tasks of the n-th stored range.
func (j *Job) storedBounds(n int) rangeBounds {
	first := n * j.storedRange
	return rangeBounds{first, min(j.storedRange, j.Spec.Tasks-first)}
}

// part returns what a record says of some of its tasks. of are the tasks of the record.
func (r *taskRangeRecord) part(of, tasks rangeBounds) taskRangeRecord {
	part := taskRangeRecord{Attempt: r.Attempt}
	for i := range tasks.length {
		if r.isDone(tasks.first - of.first + i) {
			part.setDone(i)
		}
	}
	for _, c := range r.Claims {
		first := max(int(c.First), tasks.first)
		end := min(int(c.First)+c.Count, tasks.first+tasks.length)
		if first < end {
			c.First, c.Count = wire.TaskIndex(first), end-first
			part.Claims = append(part.Claims, c)
		}
	}
	return part
}

// merge adds what a record says of its tasks to one of more tasks.
func (r *taskRangeRecord) merge(of rangeBounds, part *taskRangeRecord, tasks rangeBounds) {
	r.Attempt = max(r.Attempt, part.Attempt)
	for i := range tasks.length {
		if part.isDone(i) {
			r.setDone(tasks.first - of.first + i)
		}
	}
	for _, c := range part.Claims {
		last := len(r.Claims) - 1
		if last >= 0 && r.Claims[last].sameStart(&c) && int(r.Claims[last].First)+r.Claims[last].Count == int(c.First) {
			r.Claims[last].Count += c.Count
			continue
		}
		r.Claims = append(r.Claims, c)
	}
}

// mayOutgrow reports whether a job is to be divided if its ranges are crowded: their records may come to be
// larger than what the store will take, and parts may be written.
func (l *Ledger) mayOutgrow(j *Job) bool {
	return l.writesParts() && l.lowered() && j.storedRange > dividedRange
}

// writesParts reports whether all controllers read parts.
func (l *Ledger) writesParts() bool { return l.archived.format.Format >= PipelineFormat }

// divideOutgrown divides the jobs whose records may be too large, once parts may be written.
func (l *Ledger) divideOutgrown() {
	for _, j := range l.jobs {
		if l.mayOutgrow(j) && l.crowded(j.Spec, j.storedRange) {
			l.divide(j)
		}
	}
}

// divide divides a job. What the records say does not change.
func (l *Ledger) divide(j *Job) {
	if j.divided() {
		return
	}
	whole := make(map[int]*TaskRange, len(j.ranges))
	j.storedVersions = map[int]wire.Revision{}
	for n, r := range j.ranges {
		whole[n] = r
		j.storedVersions[n] = r.Version
		l.replaceRange(j, n, &TaskRange{})
	}
	clear(j.ranges)
	j.tasksPerRange, j.long = dividedRange, false
	for n, r := range whole {
		l.replaceStored(j, n, r.Version, &r.taskRangeRecord)
	}
}

// replaceStored applies the record of the n-th stored range to the ranges that it is divided into and that
// have no part.
func (l *Ledger) replaceStored(j *Job, n int, version wire.Revision, record *taskRangeRecord) {
	if !j.divided() {
		l.replaceRange(j, n, &TaskRange{Version: version, taskRangeRecord: *record})
		return
	}
	j.storedVersions[n] = version
	of := j.storedBounds(n)
	for i := n * j.rangesPerStored(); i < min((n+1)*j.rangesPerStored(), j.rangeCount()); i++ {
		if old := j.ranges[i]; old == nil || !old.hasPart {
			l.replaceRange(j, i, &TaskRange{Version: version, taskRangeRecord: record.part(of, j.rangeBounds(i))})
		}
	}
}

// removeStored applies that the record of the n-th stored range, n > 0, was deleted.
func (l *Ledger) removeStored(j *Job, n int) {
	per := j.rangesPerStored()
	for i := n * per; i < min((n+1)*per, j.rangeCount()); i++ {
		if old := j.ranges[i]; old != nil && !old.hasPart {
			l.replaceRange(j, i, &TaskRange{})
			delete(j.ranges, i)
		}
	}
	delete(j.storedVersions, n)
}

// applyPart applies a change of a part of a divided job's tasks. It may arrive before its job.
func (l *Ledger) applyPart(name string, e Event) error {
	id, n, ok := parsePartKey(name)
	if !ok {
		return strconv.ErrSyntax
	}
	if j := l.jobs[id]; j != nil {
		return l.updatePart(j, n, e)
	}
	l.keepOrphan(e)
	return nil
}

// updatePart applies a change of the part of the n-th range. A part is deleted when its job is archived, after
// the stored range was rewritten without it.
func (l *Ledger) updatePart(j *Job, n int, e Event) error {
	l.divide(j)
	old := j.ranges[n]
	if old != nil && old.hasPart && e.Version < old.Version {
		return nil
	}
	if e.Value != nil {
		r := &TaskRange{Version: e.Version, hasPart: true}
		if err := json.Unmarshal(e.Value, &r.taskRangeRecord); err != nil {
			return err
		}
		l.replaceRange(j, n, r)
		return nil
	}
	if old == nil || !old.hasPart {
		return nil
	}
	l.replaceRange(j, n, &TaskRange{Version: j.storedVersions[j.storedIndex(n)]})
	if j.storedIndex(n) > 0 {
		delete(j.ranges, n)
	}
	return nil
}

// recordVersions returns the versions of the job's records besides its own, by key.
func (j *Job) recordVersions() map[string]wire.Revision {
	versions := map[string]wire.Revision{}
	for n, r := range j.ranges {
		switch {
		case r.hasPart:
			versions[partKey(j.ID, n)] = r.Version
		case j.storedIndex(n) > 0:
			versions[taskRangeKey(j.ID, j.storedIndex(n))] = r.Version
		}
	}
	for n, version := range j.storedVersions {
		if n > 0 {
			versions[taskRangeKey(j.ID, n)] = version
		}
	}
	return versions
}

// partValue is the value of the part of a range as a transaction leaves it.
type partValue struct {
	update *jobUpdate
	n      int
}

// MarshalJSON encodes the range.
func (v partValue) MarshalJSON() ([]byte, error) { return json.Marshal(v.update.taskRange(v.n)) }

// storedValue is the value of a stored range, other than the first, as a transaction leaves it.
type storedValue struct {
	update *jobUpdate
	n      int
}

// MarshalJSON encodes what of the range is in no part.
func (v storedValue) MarshalJSON() ([]byte, error) { return json.Marshal(v.update.storedRange(v.n)) }

// storedValue returns the value of the record of a stored range; the first is in the job's own.
func (u *jobUpdate) storedValue(n int) any {
	if n == 0 {
		return u
	}
	return storedValue{u, n}
}

// storedRange returns the record of a stored range as the transaction leaves it.
func (u *jobUpdate) storedRange(n int) *taskRangeRecord {
	if !u.job.divided() {
		return u.taskRange(n)
	}
	merged, of := new(taskRangeRecord), u.job.storedBounds(n)
	per := u.job.rangesPerStored()
	for i := n * per; i < min((n+1)*per, u.job.rangeCount()); i++ {
		if !u.hasPart(i) {
			merged.merge(of, u.currentRange(i), u.job.rangeBounds(i))
		}
	}
	return merged
}

// currentRange returns a range as the transaction leaves it, which must not be changed.
func (u *jobUpdate) currentRange(n int) *taskRangeRecord {
	if r := u.ranges[n]; r != nil {
		return r
	}
	if old := u.job.ranges[n]; old != nil {
		return &old.taskRangeRecord
	}
	return new(taskRangeRecord)
}

// hasPart reports whether a range has a record of its own, or gets one from the transaction.
func (u *jobUpdate) hasPart(n int) bool {
	old := u.job.ranges[n]
	return old != nil && old.hasPart || slices.Contains(u.newParts, n)
}

// putRange writes the record of a range, on the condition that it is as in the ledger. A range of a divided
// job whose stored range has become too large gets a part.
func (txn *Transaction) putRange(update *jobUpdate, n int) {
	j := update.job
	txn.requireRange(j, n)
	stored := j.storedIndex(n)
	if j.divided() && (update.hasPart(n) || !txn.fits(update, stored)) {
		txn.putPart(update, n)
		return
	}
	txn.put(taskRangeKey(j.ID, stored), update.storedValue(stored))
}

// putPart writes the part of a range.
func (txn *Transaction) putPart(update *jobUpdate, n int) {
	if !update.hasPart(n) {
		update.newParts = append(update.newParts, n)
	}
	txn.put(partKey(update.job.ID, n), partValue{update, n})
}

// movePart gives a range a part if it has none and claims that a part would take out of the stored range, and
// reports whether it did.
func (txn *Transaction) movePart(update *jobUpdate, n int) bool {
	if update.hasPart(n) || len(update.currentRange(n).Claims) == 0 {
		return false
	}
	txn.requireRange(update.job, n)
	txn.putPart(update, n)
	return true
}

// fits reports whether the record of a stored range is within the limit of values.
func (txn *Transaction) fits(update *jobUpdate, n int) bool {
	b, err := json.Marshal(update.storedValue(n))
	return err == nil && len(b) <= txn.ledger.limits.ValueBytes
}

// putJob writes a job's own record, on the condition that it is as in the ledger. Of a divided job as many
// ranges get a part as the record is too large.
func (txn *Transaction) putJob(update *jobUpdate) {
	j := update.job
	txn.requireJob(j)
	if j.divided() {
		for n := min(j.rangesPerStored(), j.rangeCount()) - 1; n >= 0 && !txn.fits(update, 0); n-- {
			txn.movePart(update, n)
		}
	}
	txn.put(jobKey(j.ID), update)
}

// WriteParts gives ranges of a divided job whose own record is too large to be written a part, as many as the
// transaction has room for. It returns ErrPreconditionFailed if there are none.
func (txn *Transaction) WriteParts(j *Job) error {
	if !j.divided() {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		update := txn.update(j)
		written := 0
		for n := range min(j.rangesPerStored(), j.rangeCount()) {
			full := len(txn.values) >= txn.maxChanges || len(txn.conditions)+2 > conditionsPerChange*txn.maxChanges
			if full || txn.fits(update, 0) {
				break
			}
			if txn.movePart(update, n) {
				written++
			}
		}
		if written == 0 {
			return ErrPreconditionFailed
		}
		return nil
	})
}
