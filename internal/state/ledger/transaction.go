package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// Transaction is a compare-and-swap on the store: changed records, and the versions of all records that
// the changes were decided from. Its methods add transitions; one that returns an error adds no change.
// It refers to the ledger as it is and must be completed before the ledger changes.
type Transaction struct {
	ledger     *Ledger
	jobs       map[wire.JobID]*jobUpdate
	phases     map[wire.MachineID]MachinePhase // that it sets
	teamUsage  map[wire.Team]Resources         // the difference to the ledger's
	conditions map[string]wire.Revision        // by key; 0: the key must not exist
	values     map[string]any                  // by key; a deletion deletes it
	keyOrder   []string                        // of values, in the order in which they were first put
	sizes      map[string]int                  // bytes of the values that were measured since they were put
	maxChanges int                             // at most Limits.TxnOps
	now        wire.UnixMillis                 // see SetTime

	filterPages     []*archive.Page // that it writes
	filterAdditions uint64          // the ledger's, when the transaction was started
}

// NewTransaction starts an empty transaction.
func (l *Ledger) NewTransaction() *Transaction { return l.NewTransactionOf(l.limits.TxnOps) }

// NewTransactionOf starts an empty transaction of at most this many changes.
func (l *Ledger) NewTransactionOf(changes int) *Transaction {
	return &Transaction{
		ledger:          l,
		filterAdditions: l.FilterAdditions(),
		maxChanges:      min(changes, l.limits.TxnOps),
		jobs:            map[wire.JobID]*jobUpdate{},
		phases:          map[wire.MachineID]MachinePhase{},
		teamUsage:       map[wire.Team]Resources{},
		conditions:      map[string]wire.Revision{},
		values:          map[string]any{},
		sizes:           map[string]int{},
	}
}

// Limit lowers the number of changes that the transaction may have, to no less than it has.
func (txn *Transaction) Limit(changes int) {
	txn.maxChanges = max(len(txn.values), min(txn.maxChanges, changes))
}

// RemainingChanges returns how many changes the transaction may have, with those that it has.
func (txn *Transaction) RemainingChanges() int { return txn.maxChanges }

// update returns the job as the transaction leaves it.
func (txn *Transaction) update(j *Job) *jobUpdate {
	update := txn.jobs[j.ID]
	if update == nil {
		update = &jobUpdate{
			job:       j,
			state:     j.State,
			stop:      j.Stop,
			spec:      j.Spec,
			accepted:  j.Accepted,
			finalDone: j.finalDone,
			gallery:   j.Gallery,
			ended:     j.Ended,
			ranges:    map[int]*taskRangeRecord{},
		}
		if j.storedRange != txn.ledger.usualRange() {
			update.longRange = j.storedRange
		}
		txn.jobs[j.ID] = update
	}
	return update
}

// requireJob adds the condition that a job's own record is as in the ledger: its state, zones and stop.
func (txn *Transaction) requireJob(j *Job) { txn.conditions[jobKey(j.ID)] = j.version }

// requireRange adds the condition that the record of a range is as in the ledger, and that a range of a
// divided job without a part has got none.
func (txn *Transaction) requireRange(j *Job, n int) {
	if r := j.ranges[n]; r != nil && r.hasPart {
		txn.conditions[partKey(j.ID, n)] = r.Version
		return
	}
	stored := j.storedIndex(n)
	txn.conditions[taskRangeKey(j.ID, stored)] = j.storedVersion(stored)
	if j.divided() {
		txn.conditions[partKey(j.ID, n)] = 0
	}
}

// put writes a record.
func (txn *Transaction) put(key string, v any) {
	if _, ok := txn.values[key]; !ok {
		txn.keyOrder = append(txn.keyOrder, key)
	}
	txn.values[key] = v
	delete(txn.sizes, key)
}

// deletion is the value of a key that the transaction deletes.
type deletion struct{}

// remove deletes a record.
func (txn *Transaction) remove(key string) { txn.put(key, deletion{}) }

// atomically runs a change and undoes it if it returns an error or makes the transaction too large.
func (txn *Transaction) atomically(change func() error) error {
	before := txn.clone()
	err := change()
	if err == nil {
		err = txn.checkSize()
	}
	if err != nil {
		*txn = *before
	}
	return err
}

// clone returns a copy to which the transaction can be reset.
func (txn *Transaction) clone() *Transaction {
	saved := *txn
	saved.phases = maps.Clone(txn.phases)
	saved.teamUsage = maps.Clone(txn.teamUsage)
	saved.conditions = maps.Clone(txn.conditions)
	saved.values = maps.Clone(txn.values)
	saved.keyOrder = slices.Clone(txn.keyOrder)
	saved.sizes = maps.Clone(txn.sizes)
	saved.jobs = make(map[wire.JobID]*jobUpdate, len(txn.jobs))
	for id, update := range txn.jobs {
		savedUpdate := *update
		savedUpdate.ranges = make(map[int]*taskRangeRecord, len(update.ranges))
		for n, r := range update.ranges {
			savedUpdate.ranges[n] = &taskRangeRecord{r.Attempt, slices.Clone(r.Done), slices.Clone(r.Claims)}
		}
		savedUpdate.newParts = slices.Clone(update.newParts)
		saved.jobs[id] = &savedUpdate
	}
	for key, value := range saved.values {
		switch v := value.(type) {
		case *jobUpdate:
			saved.values[key] = saved.jobs[v.job.ID]
		case partValue:
			saved.values[key] = partValue{saved.jobs[v.update.job.ID], v.n}
		case storedValue:
			saved.values[key] = storedValue{saved.jobs[v.update.job.ID], v.n}
		}
	}
	return &saved
}

const (
	// conditionsPerChange is how many conditions the store takes for each change that a transaction
	// may have.
	conditionsPerChange = 4
	// conditionBytes is about how many bytes a condition takes of a transaction.
	conditionBytes = 64
)

// checkSize returns ErrTransactionFull if the transaction exceeds a limit, ErrTooLarge if it would also do
// so with its last change alone.
func (txn *Transaction) checkSize() error {
	limits := &txn.ledger.limits
	alone := len(txn.jobs)+len(txn.phases) <= 1
	if len(txn.values) > limits.TxnOps || len(txn.conditions) > conditionsPerChange*limits.TxnOps {
		if alone {
			return ErrTooLarge
		}
		return ErrTransactionFull
	}
	if len(txn.values) > txn.maxChanges {
		return ErrTransactionFull
	}
	total := conditionBytes * len(txn.conditions)
	for key, v := range txn.values {
		size, known := txn.sizes[key]
		if !known {
			b, err := json.Marshal(v)
			if err != nil {
				return err
			}
			size = len(b)
			txn.sizes[key] = size
		}
		if size > txn.ledger.valueLimit() {
			return ErrTooLarge
		}
		total += size + keyBytes
	}
	if total > limits.TxnBytes {
		if alone {
			return ErrTooLarge
		}
		return ErrTransactionFull
	}
	return nil
}

// Request returns the transaction as the store takes it: conditions by key, changes in the order in
// which they were added.
func (txn *Transaction) Request() (wire.Txn, error) {
	var request wire.Txn
	for k, v := range txn.conditions {
		request.If = append(request.If, wire.Condition{Key: k, Version: v})
	}
	slices.SortFunc(request.If, func(a, b wire.Condition) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	for _, k := range txn.keyOrder {
		if txn.values[k] == (deletion{}) {
			request.Then = append(request.Then, wire.Change{Delete: k})
			continue
		}
		b, err := json.Marshal(txn.values[k])
		if err != nil {
			return request, err
		}
		request.Then = append(request.Then, wire.Change{Put: k, Value: b})
	}
	return request, nil
}
