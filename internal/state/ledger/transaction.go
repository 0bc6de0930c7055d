package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// Transaction is a compare-and-swap on the store: the changed records, and as conditions the versions of all
// records that the changes depend on. Its methods add transitions; one that returns an error adds no change.
// It reads the current state of the ledger and must be completed before the ledger changes.
type Transaction struct {
	ledger     *Ledger
	jobs       map[wire.JobID]*jobUpdate
	phases     map[wire.MachineID]MachinePhase // set by the transaction
	teamUsage  map[wire.Team]Resources         // added by the transaction to the ledger's usage
	conditions map[string]wire.Revision        // by key; 0: the key must not exist
	values     map[string]any                  // by key; a value of type deletion deletes the key
	keyOrder   []string                        // the keys of values, in the order in which they were first put
	sizes      map[string]int                  // encoded sizes of values by key, cached until the next put
	maxChanges int                             // at most Limits.TxnOps
	now        wire.UnixMillis                 // see SetTime

	filterPages     []*archive.Page // written by the transaction
	filterAdditions uint64          // Ledger.FilterAdditions when the transaction was created
}

// NewTransaction returns an empty transaction.
func (l *Ledger) NewTransaction() *Transaction { return l.NewLimitedTransaction(l.limits.TxnOps) }

// NewLimitedTransaction returns an empty transaction with a maximum number of changes.
func (l *Ledger) NewLimitedTransaction(changes int) *Transaction {
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

// LimitChanges lowers the maximum number of changes, but not below the number that the transaction already has.
func (txn *Transaction) LimitChanges(changes int) {
	txn.maxChanges = max(len(txn.values), min(txn.maxChanges, changes))
}

// MaxChanges returns the maximum number of changes, including those that the transaction already has.
func (txn *Transaction) MaxChanges() int { return txn.maxChanges }

// update returns the transaction's update of a job, which it creates if there is none.
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
			update.customRange = j.storedRange
		}
		txn.jobs[j.ID] = update
	}
	return update
}

// requireJob adds the condition that a job's own record is unchanged since the ledger read it. The condition
// covers the state, the stopped attempt and the zones: each claim of a job with a zone rule rewrites the record.
func (txn *Transaction) requireJob(j *Job) { txn.conditions[jobKey(j.ID)] = j.version }

// requireRange adds the condition that the record of a range is unchanged since the ledger read it, and, for a
// range of a divided job that has no part, that no part was written meanwhile.
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

// put adds a write of a record.
func (txn *Transaction) put(key string, v any) {
	if _, ok := txn.values[key]; !ok {
		txn.keyOrder = append(txn.keyOrder, key)
	}
	txn.values[key] = v
	delete(txn.sizes, key)
}

// deletion marks a key in Transaction.values as deleted.
type deletion struct{}

// remove adds the deletion of a record.
func (txn *Transaction) remove(key string) { txn.put(key, deletion{}) }

// atomically runs a change and rolls it back if it returns an error or makes the transaction too large.
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

// clone returns a deep copy, from which the transaction can be restored.
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
	// conditionsPerChange is how many conditions the store accepts for each change that a transaction
	// may have.
	conditionsPerChange = 4
	// conditionBytes is the approximate size of a condition in a transaction.
	conditionBytes = 64
)

// checkSize returns ErrTransactionFull if the transaction exceeds a limit, and ErrTooLarge if it does so with a
// single job or machine, or if a value alone is too large.
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
		total += size + changeOverheadBytes
	}
	if total > limits.TxnBytes {
		if alone {
			return ErrTooLarge
		}
		return ErrTransactionFull
	}
	return nil
}

// Request encodes the transaction for the store, with the conditions sorted by key and the changes in the
// order in which they were added.
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
