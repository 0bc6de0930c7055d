package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// Transaction collects changes to one transaction over the ledger as it is.
type Transaction struct {
	ledger          *Ledger
	jobs            map[wire.JobID]*jobUpdate
	phases          map[wire.MachineID]MachinePhase
	teamUsage       map[wire.Team]Resources // difference to the ledger
	conditions      map[string]wire.Revision
	values          map[string]any
	keyOrder        []string
	sizes           map[string]int  // of the values, once known; what is written anew is measured anew
	maxChanges      int             // changes
	filterPages     []*archive.Page // of the filter, that are written,
	filterAdditions uint64          // and what was archived before
	now             wire.UnixMillis // the time of day, if it was told
}

// NewTransaction starts an empty transaction.
func (l *Ledger) NewTransaction() *Transaction { return l.NewTransactionOf(l.limits.TxnOps) }

// NewTransactionOf starts an empty transaction of at most so many changes.
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

// Limit leaves room for no more than so many changes, or as many as there are.
func (txn *Transaction) Limit(changes int) {
	txn.maxChanges = max(len(txn.values), min(txn.maxChanges, changes))
}

// RemainingChanges is how many changes the transaction may have.
func (txn *Transaction) RemainingChanges() int { return txn.maxChanges }

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
		if j.tasksPerRange != txn.ledger.limits.TasksPerRange() {
			update.longRange = j.tasksPerRange
		}
		txn.jobs[j.ID] = update
	}
	return update
}

// requireRange conditions the transaction on a range's record as the ledger has it.
func (txn *Transaction) requireRange(j *Job, n int) {
	var v wire.Revision
	if c := j.ranges[n]; c != nil {
		v = c.Version
	}
	txn.conditions[taskRangeKey(j.ID, n)] = v
}

func (txn *Transaction) putRange(update *jobUpdate, n int) {
	txn.requireRange(update.job, n)
	var v any = update.taskRange(n)
	if n == 0 {
		v = update
	}
	txn.put(taskRangeKey(update.job.ID, n), v)
}

func (txn *Transaction) put(key string, v any) {
	if _, ok := txn.values[key]; !ok {
		txn.keyOrder = append(txn.keyOrder, key)
	}
	txn.values[key] = v
	delete(txn.sizes, key)
}

// deletion stands for a key that a draft deletes.
type deletion struct{}

func (txn *Transaction) remove(key string) { txn.put(key, deletion{}) }

// atomically runs a change and undoes it when the transaction would grow too large.
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

func (txn *Transaction) clone() *Transaction {
	b := *txn
	b.phases, b.teamUsage, b.conditions = maps.Clone(txn.phases), maps.Clone(txn.teamUsage), maps.Clone(txn.conditions)
	b.keyOrder, b.sizes = slices.Clone(txn.keyOrder), maps.Clone(txn.sizes)
	b.jobs = make(map[wire.JobID]*jobUpdate, len(txn.jobs))
	b.values = maps.Clone(txn.values)
	for id, update := range txn.jobs {
		k := *update
		k.ranges = make(map[int]*taskRangeRecord, len(update.ranges))
		for n, c := range update.ranges {
			k.ranges[n] = &taskRangeRecord{c.Attempt, slices.Clone(c.Done), slices.Clone(c.Claims)}
			if n > 0 && b.values[taskRangeKey(id, n)] != nil {
				b.values[taskRangeKey(id, n)] = k.ranges[n]
			}
		}
		b.jobs[id] = &k
		if b.values[jobKey(id)] != nil {
			b.values[jobKey(id)] = &k
		}
	}
	return &b
}

// conditionsPerChange is how many conditions the state service takes for each
// change that a transaction may have.
const conditionsPerChange = 4

func (txn *Transaction) checkSize() error {
	lim := &txn.ledger.limits
	alone := len(txn.jobs)+len(txn.phases) <= 1
	if len(txn.values) > lim.TxnOps || len(txn.conditions) > conditionsPerChange*lim.TxnOps {
		if alone {
			return ErrTooLarge
		}
		return ErrTransactionFull
	}
	if len(txn.values) > txn.maxChanges {
		return ErrTransactionFull
	}
	total := 64 * len(txn.conditions)
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
		if size > lim.ValueBytes {
			return ErrTooLarge
		}
		total += size + 280
	}
	if total > lim.TxnBytes {
		if alone {
			return ErrTooLarge
		}
		return ErrTransactionFull
	}
	return nil
}

// Request returns the transaction.
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
