package ledger

import (
	"encoding/json"
	"slices"
	"strconv"

	"maddermill/internal/exactjson"
	"maddermill/wire"
)

// The state service may be reconfigured to accept smaller values than before (settings.state.next). Records that
// were written up to the old limit can then still be read but no longer written. A job with such records is
// therefore divided in memory: each stored range into short ranges, each of which may get a record of its own,
// called its part. A part overrides what the stored range says of its tasks, and the stored range is not
// rewritten when a part is written. Once enough ranges have parts, the stored range fits the limit again. Parts
// are written from PipelineFormat on.

// dividedRangeTasks is the number of tasks in a range of a divided job. Stored parts depend on it, so it must not
// change. Claims for all of these tasks fit, together with a job's specification, into the smallest value limit
// that a state service may have.
const dividedRangeTasks = 8

// divided reports whether the ranges of the job are shorter than its stored ranges.
func (j *Job) divided() bool { return j.tasksPerRange < j.storedRange }

// rangesPerStored returns the number of ranges per stored range, which is 1 unless the job is divided.
func (j *Job) rangesPerStored() int { return (j.storedRange + j.tasksPerRange - 1) / j.tasksPerRange }

// storedIndex returns the index of the stored range that contains the n-th range.
func (j *Job) storedIndex(n int) int { return n / j.rangesPerStored() }

// rangeOf returns the index of the range that contains a task.
func (j *Job) rangeOf(t wire.TaskIndex) int {
	stored, rest := int(t)/j.storedRange, int(t)%j.storedRange
	return stored*j.rangesPerStored() + rest/j.tasksPerRange
}

// rangeCount returns the number of ranges of the job.
func (j *Job) rangeCount() int { return j.rangeOf(wire.TaskIndex(j.Spec.Tasks-1)) + 1 }

// rangeBounds are the bounds of a range, which contains tasks [first, first+length).
type rangeBounds struct{ first, length int }

// rangeBounds returns the bounds of the n-th range.
func (j *Job) rangeBounds(n int) rangeBounds {
	stored := j.storedIndex(n)
	offset := (n - stored*j.rangesPerStored()) * j.tasksPerRange
	first := stored*j.storedRange + offset
	return rangeBounds{first, min(j.tasksPerRange, j.storedRange-offset, j.Spec.Tasks-first)}
}

// storedBounds returns the bounds of the n-th stored range.
func (j *Job) storedBounds(n int) rangeBounds {
	first := n * j.storedRange
	return rangeBounds{first, min(j.storedRange, j.Spec.Tasks-first)}
}

// part returns the part of a record that covers a smaller range. bounds are the bounds of the record.
func (r *taskRangeRecord) part(bounds, partBounds rangeBounds) taskRangeRecord {
	part := taskRangeRecord{Attempt: r.Attempt}
	for i := range partBounds.length {
		if r.isDone(partBounds.first - bounds.first + i) {
			part.setDone(i)
		}
	}
	for _, c := range r.Claims {
		first := max(int(c.First), partBounds.first)
		end := min(int(c.First)+c.Count, partBounds.first+partBounds.length)
		if first < end {
			c.First, c.Count = wire.TaskIndex(first), end-first
			part.Claims = append(part.Claims, c)
		}
	}
	return part
}

// merge adds the content of a part to a record of a larger range. bounds are the bounds of the record.
func (r *taskRangeRecord) merge(bounds rangeBounds, part *taskRangeRecord, partBounds rangeBounds) {
	r.Attempt = max(r.Attempt, part.Attempt)
	for i := range partBounds.length {
		if part.isDone(i) {
			r.setDone(partBounds.first - bounds.first + i)
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

// mayDivide reports whether a job must be divided if its ranges are crowded: parts may be written, a record of
// the usual length may exceed the value limit, and the stored ranges are longer than those of a divided job.
func (l *Ledger) mayDivide(j *Job) bool {
	return l.partsEnabled() && l.lowered() && j.storedRange > dividedRangeTasks
}

// partsEnabled reports whether parts may be written, which requires that all controllers can read them.
func (l *Ledger) partsEnabled() bool { return l.archived.format.Format >= PipelineFormat }

// divideOversizedJobs divides the jobs whose records may be too large. It does nothing until parts may be written.
func (l *Ledger) divideOversizedJobs() {
	for _, j := range l.jobs {
		if l.mayDivide(j) && l.rangeMayOverflow(j.Spec, j.storedRange) {
			l.divide(j)
		}
	}
}

// divide divides a job in memory. The state of its tasks does not change.
func (l *Ledger) divide(j *Job) {
	if j.divided() {
		return
	}
	stored := make(map[int]*TaskRange, len(j.ranges))
	j.storedVersions = map[int]wire.Revision{}
	for n, r := range j.ranges {
		stored[n] = r
		j.storedVersions[n] = r.Version
		l.replaceRange(j, n, &TaskRange{})
	}
	clear(j.ranges)
	j.tasksPerRange, j.long = dividedRangeTasks, false
	for n, r := range stored {
		l.replaceStoredRange(j, n, r.Version, &r.taskRangeRecord)
	}
}

// replaceStoredRange applies the record of the n-th stored range. In a divided job it applies to the ranges in it
// that have no part.
func (l *Ledger) replaceStoredRange(j *Job, n int, version wire.Revision, record *taskRangeRecord) {
	if !j.divided() {
		l.replaceRange(j, n, &TaskRange{Version: version, taskRangeRecord: *record})
		return
	}
	j.storedVersions[n] = version
	bounds := j.storedBounds(n)
	for i := n * j.rangesPerStored(); i < min((n+1)*j.rangesPerStored(), j.rangeCount()); i++ {
		if old := j.ranges[i]; old == nil || !old.hasPart {
			l.replaceRange(j, i, &TaskRange{Version: version, taskRangeRecord: record.part(bounds, j.rangeBounds(i))})
		}
	}
}

// removeStoredRange applies the deletion of the record of the n-th stored range, n > 0.
func (l *Ledger) removeStoredRange(j *Job, n int) {
	per := j.rangesPerStored()
	for i := n * per; i < min((n+1)*per, j.rangeCount()); i++ {
		if old := j.ranges[i]; old != nil && !old.hasPart {
			l.replaceRange(j, i, &TaskRange{})
			delete(j.ranges, i)
		}
	}
	delete(j.storedVersions, n)
}

// applyPart applies a change to a part of a divided job. It may arrive before the job.
func (l *Ledger) applyPart(name string, e Event) error {
	id, n, ok := parsePartKey(name)
	if !ok {
		return strconv.ErrSyntax
	}
	if j := l.jobs[id]; j != nil {
		return l.updatePart(j, n, e)
	}
	l.bufferOrphanRange(e)
	return nil
}

// updatePart applies a change to the part of the n-th range. A part is deleted only when its job is archived,
// after the stored range was rewritten without its tasks.
func (l *Ledger) updatePart(j *Job, n int, e Event) error {
	l.divide(j)
	old := j.ranges[n]
	if old != nil && old.hasPart && e.Version < old.Version {
		return nil
	}
	if e.Value != nil {
		r := &TaskRange{Version: e.Version, hasPart: true}
		if err := exactjson.Unmarshal(e.Value, &r.taskRangeRecord); err != nil {
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

// recordVersions returns the versions of all records of the job except its own, by key.
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

// partValue is the value that a transaction writes for the part of a range.
type partValue struct {
	update *jobUpdate
	n      int
}

// MarshalJSON encodes the record of the range.
func (v partValue) MarshalJSON() ([]byte, error) { return json.Marshal(v.update.taskRange(v.n)) }

// storedValue is the value that a transaction writes for a stored range other than the first.
type storedValue struct {
	update *jobUpdate
	n      int
}

// MarshalJSON encodes the record of the stored range without the ranges that have a part.
func (v storedValue) MarshalJSON() ([]byte, error) { return json.Marshal(v.update.storedRange(v.n)) }

// storedValue returns the value of the record that holds the n-th stored range; the job's own record holds the
// first.
func (u *jobUpdate) storedValue(n int) any {
	if n == 0 {
		return u
	}
	return storedValue{u, n}
}

// storedRange returns the record of the n-th stored range with the changes of the transaction, without the ranges
// that have a part.
func (u *jobUpdate) storedRange(n int) *taskRangeRecord {
	if !u.job.divided() {
		return u.taskRange(n)
	}
	merged, bounds := new(taskRangeRecord), u.job.storedBounds(n)
	per := u.job.rangesPerStored()
	for i := n * per; i < min((n+1)*per, u.job.rangeCount()); i++ {
		if !u.hasPart(i) {
			merged.merge(bounds, u.currentRange(i), u.job.rangeBounds(i))
		}
	}
	return merged
}

// currentRange returns the n-th range with the changes of the transaction. The caller must not change it.
func (u *jobUpdate) currentRange(n int) *taskRangeRecord {
	if r := u.ranges[n]; r != nil {
		return r
	}
	if old := u.job.ranges[n]; old != nil {
		return &old.taskRangeRecord
	}
	return new(taskRangeRecord)
}

// hasPart reports whether the n-th range has a part or the transaction writes one.
func (u *jobUpdate) hasPart(n int) bool {
	old := u.job.ranges[n]
	return old != nil && old.hasPart || slices.Contains(u.newParts, n)
}

// putRange writes the record of the n-th range, conditioned on its version in the ledger. In a divided job, a
// range whose stored range would be too large gets a part.
func (txn *Transaction) putRange(update *jobUpdate, n int) {
	j := update.job
	txn.requireRange(j, n)
	stored := j.storedIndex(n)
	if j.divided() && (update.hasPart(n) || !txn.storedRangeFits(update, stored)) {
		txn.putPart(update, n)
		return
	}
	txn.put(taskRangeKey(j.ID, stored), update.storedValue(stored))
}

// putPart writes the part of the n-th range.
func (txn *Transaction) putPart(update *jobUpdate, n int) {
	if !update.hasPart(n) {
		update.newParts = append(update.newParts, n)
	}
	txn.put(partKey(update.job.ID, n), partValue{update, n})
}

// moveToPart moves the n-th range from its stored range to a new part if it has no part and has claims, and
// reports whether it did. A range without claims would take no claims out of the stored range.
func (txn *Transaction) moveToPart(update *jobUpdate, n int) bool {
	if update.hasPart(n) || len(update.currentRange(n).Claims) == 0 {
		return false
	}
	txn.requireRange(update.job, n)
	txn.putPart(update, n)
	return true
}

// storedRangeFits reports whether the record of the n-th stored range is within the value limit.
func (txn *Transaction) storedRangeFits(update *jobUpdate, n int) bool {
	b, err := json.Marshal(update.storedValue(n))
	return err == nil && len(b) <= txn.ledger.limits.ValueBytes
}

// putJob writes a job's own record, conditioned on its version in the ledger. In a divided job, ranges are moved
// to parts until the record fits the value limit.
func (txn *Transaction) putJob(update *jobUpdate) {
	j := update.job
	txn.requireJob(j)
	if j.divided() {
		for n := min(j.rangesPerStored(), j.rangeCount()) - 1; n >= 0 && !txn.storedRangeFits(update, 0); n-- {
			txn.moveToPart(update, n)
		}
	}
	txn.put(jobKey(j.ID), update)
}

// WriteParts moves ranges of a divided job to parts until the job's own record fits the value limit, or as many as
// fit into the transaction. It returns ErrPreconditionFailed if it moves none.
func (txn *Transaction) WriteParts(j *Job) error {
	if !j.divided() {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		update := txn.update(j)
		written := 0
		for n := range min(j.rangesPerStored(), j.rangeCount()) {
			full := len(txn.values) >= txn.maxChanges || len(txn.conditions)+2 > conditionsPerChange*txn.maxChanges
			if full || txn.storedRangeFits(update, 0) {
				break
			}
			if txn.moveToPart(update, n) {
				written++
			}
		}
		if written == 0 {
			return ErrPreconditionFailed
		}
		return nil
	})
}
