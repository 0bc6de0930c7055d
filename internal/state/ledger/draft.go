package ledger

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// Errors of drafts.
var (
	// ErrFull: the change doesn't fit into this transaction any more.
	ErrTransactionFull = errors.New("ledger: transaction full")
	// ErrStale: what the change builds on is no longer so.
	ErrPreconditionFailed = errors.New("ledger: no longer so")
	// ErrTooLarge: the record would exceed what the state service takes.
	ErrTooLarge = errors.New("ledger: record too large")
)

// conditionsPerChange is how many conditions the state service takes for each
// change that a transaction may have.
const conditionsPerChange = 4

// Transaction collects changes to one transaction over the ledger as it is.
type Transaction struct {
	l     *Ledger
	jobs  map[wire.JobID]*draftJob
	marks map[wire.MachineID]MachinePhase
	usage map[wire.Team]Resources // difference to the ledger
	conds map[string]wire.Revision
	puts  map[string]any
	order []string
	sizes map[string]int  // of the values, once known; what is written anew is measured anew
	most  int             // changes
	pages []*archive.Page // of the filter, that are written,
	added uint64          // and what was archived before
	now   wire.UnixMillis // the time of day, if it was told
}

type draftJob struct {
	job   *Job
	state JobState
	stop  wire.Attempt
	spec  *wire.JobSpec
	at    wire.UnixMillis
	size  int // tasks a record; 0: the usual
	kept  int // tasks done of a job that is over

	gallery wire.GalleryName
	ended   wire.UnixMillis
	chunks  map[int]*chunkRecord
}

// NewTransaction starts an empty transaction.
func (l *Ledger) NewTransaction() *Transaction { return l.NewTransactionOf(l.limits.TxnOps) }

// NewTransactionOf starts an empty transaction of at most so many changes.
func (l *Ledger) NewTransactionOf(changes int) *Transaction {
	return &Transaction{
		l:     l,
		added: l.FilterAdditions(),
		most:  min(changes, l.limits.TxnOps),
		jobs:  map[wire.JobID]*draftJob{},
		marks: map[wire.MachineID]MachinePhase{},
		usage: map[wire.Team]Resources{},
		conds: map[string]wire.Revision{},
		puts:  map[string]any{},
		sizes: map[string]int{},
	}
}

// Limit leaves room for no more than so many changes, or as many as there are.
func (d *Transaction) Limit(changes int) { d.most = max(len(d.puts), min(d.most, changes)) }

// RemainingChanges is how many changes the transaction may have.
func (d *Transaction) RemainingChanges() int { return d.most }

func (d *Transaction) job(j *Job) *draftJob {
	w := d.jobs[j.ID]
	if w == nil {
		w = &draftJob{
			job:     j,
			state:   j.State,
			stop:    j.Stop,
			spec:    j.Spec,
			at:      j.Accepted,
			kept:    j.kept,
			gallery: j.Gallery,
			ended:   j.Ended,
			chunks:  map[int]*chunkRecord{},
		}
		if j.chunkTasks != d.l.limits.TasksPerRange() {
			w.size = j.chunkTasks
		}
		d.jobs[j.ID] = w
	}
	return w
}

// chunk returns a copy of a range's record that may be changed.
func (w *draftJob) chunk(n int) *chunkRecord {
	c := w.chunks[n]
	if c == nil {
		c = new(chunkRecord)
		if old := w.job.chunks[n]; old != nil {
			c.Attempt = old.Attempt
			c.Done = slices.Clone(old.chunkRecord.Done)
			c.Claims = slices.Clone(old.Claims)
		}
		w.chunks[n] = c
	}
	return c
}

// read conditions the transaction on a range's record as the ledger has it.
func (d *Transaction) read(j *Job, n int) {
	var v wire.Revision
	if c := j.chunks[n]; c != nil {
		v = c.Version
	}
	d.conds[chunkKey(j.ID, n)] = v
}

func (d *Transaction) write(w *draftJob, n int) {
	d.read(w.job, n)
	var v any = w.chunk(n)
	if n == 0 {
		v = w
	}
	d.put(chunkKey(w.job.ID, n), v)
}

func (d *Transaction) put(key string, v any) {
	if _, ok := d.puts[key]; !ok {
		d.order = append(d.order, key)
	}
	d.puts[key] = v
	delete(d.sizes, key)
}

// MarshalJSON writes the job's record.
func (w *draftJob) MarshalJSON() ([]byte, error) {
	return json.Marshal(
		jobRecord{
			Spec:        w.spec,
			Accepted:    w.at,
			State:       w.state,
			Stop:        w.stop,
			Range:       w.size,
			Of:          w.job.Workflow,
			Kept:        w.kept,
			Gallery:     w.gallery,
			Ended:       w.ended,
			chunkRecord: *w.chunk(0),
		},
	)
}

// try runs a change and undoes it when the transaction would grow too large.
func (d *Transaction) try(change func() error) error {
	before := d.copy()
	err := change()
	if err == nil {
		err = d.checkSize()
	}
	if err != nil {
		*d = *before
	}
	return err
}

func (d *Transaction) copy() *Transaction {
	b := *d
	b.marks, b.usage, b.conds = maps.Clone(d.marks), maps.Clone(d.usage), maps.Clone(d.conds)
	b.order, b.sizes = slices.Clone(d.order), maps.Clone(d.sizes)
	b.jobs = make(map[wire.JobID]*draftJob, len(d.jobs))
	b.puts = maps.Clone(d.puts)
	for id, w := range d.jobs {
		k := *w
		k.chunks = make(map[int]*chunkRecord, len(w.chunks))
		for n, c := range w.chunks {
			k.chunks[n] = &chunkRecord{c.Attempt, slices.Clone(c.Done), slices.Clone(c.Claims)}
			if n > 0 && b.puts[chunkKey(id, n)] != nil {
				b.puts[chunkKey(id, n)] = k.chunks[n]
			}
		}
		b.jobs[id] = &k
		if b.puts[jobKey(id)] != nil {
			b.puts[jobKey(id)] = &k
		}
	}
	return &b
}

func (d *Transaction) checkSize() error {
	lim := &d.l.limits
	alone := len(d.jobs)+len(d.marks) <= 1
	if len(d.puts) > lim.TxnOps || len(d.conds) > conditionsPerChange*lim.TxnOps {
		if alone {
			return ErrTooLarge
		}
		return ErrTransactionFull
	}
	if len(d.puts) > d.most {
		return ErrTransactionFull
	}
	total := 64 * len(d.conds)
	for key, v := range d.puts {
		size, known := d.sizes[key]
		if !known {
			b, err := json.Marshal(v)
			if err != nil {
				return err
			}
			size = len(b)
			d.sizes[key] = size
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
func (d *Transaction) Request() (wire.Txn, error) {
	var t wire.Txn
	for k, v := range d.conds {
		t.If = append(t.If, wire.Condition{Key: k, Version: v})
	}
	slices.SortFunc(t.If, func(a, b wire.Condition) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	for _, k := range d.order {
		if d.puts[k] == (deleted{}) {
			t.Then = append(t.Then, wire.Change{Delete: k})
			continue
		}
		b, err := json.Marshal(d.puts[k])
		if err != nil {
			return t, err
		}
		t.Then = append(t.Then, wire.Change{Put: k, Value: b})
	}
	return t, nil
}

// SetMachinePhase moves a machine along its way out. by is the version of the leader's
// record under which the leader acts. Why a machine leaves stays on record once it is gone.
func (d *Transaction) SetMachinePhase(m wire.MachineID, mark MachinePhase, why string, by wire.Revision) error {
	return d.try(func() error {
		old := d.l.MachinePhase(m)
		order := func(k MachinePhase) int { return slices.Index([]MachinePhase{"", Terminating, Terminated}, k) }
		if d.l.leaderVer != by || order(mark) <= order(old) || mark == Terminated && old != Terminating {
			return ErrPreconditionFailed
		}
		d.marks[m] = mark
		d.conds[LeaderKey] = by
		d.conds[machineKey(m)] = d.l.markVer[m]
		d.readSeries(m)
		if mark == Terminated && d.l.leaving[m] != "" {
			why = d.l.leaving[m]
		}
		d.put(machineKey(m), machineRecord{mark, why})
		return nil
	})
}
