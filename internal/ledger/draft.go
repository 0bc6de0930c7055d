package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"maddermill/internal/archive"
	"maddermill/wire"
)

// Errors of drafts.
var (
	// ErrFull: the change doesn't fit into this transaction any more.
	ErrFull = errors.New("ledger: transaction full")
	// ErrStale: what the change builds on is no longer so.
	ErrStale = errors.New("ledger: no longer so")
	// ErrTooLarge: the record would exceed what the state service takes.
	ErrTooLarge = errors.New("ledger: record too large")
)

// conditionsPerChange is how many conditions the state service takes for each
// change that a transaction may have.
const conditionsPerChange = 4

// Draft collects changes to one transaction over the ledger as it is.
type Draft struct {
	l     *Ledger
	jobs  map[wire.JobID]*draftJob
	marks map[wire.MachineID]MachineMark
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

// NewDraft starts an empty transaction.
func (l *Ledger) NewDraft() *Draft { return l.NewDraftOf(l.limits.TxnOps) }

// NewDraftOf starts an empty transaction of at most so many changes.
func (l *Ledger) NewDraftOf(changes int) *Draft {
	return &Draft{l: l, added: l.Added(), most: min(changes, l.limits.TxnOps), jobs: map[wire.JobID]*draftJob{}, marks: map[wire.MachineID]MachineMark{},
		usage: map[wire.Team]Resources{}, conds: map[string]wire.Revision{}, puts: map[string]any{}, sizes: map[string]int{}}
}

// Limit leaves room for no more than so many changes, or as many as there are.
func (d *Draft) Limit(changes int) { d.most = max(len(d.puts), min(d.most, changes)) }

// Room is how many changes the transaction may have.
func (d *Draft) Room() int { return d.most }

func (d *Draft) job(j *Job) *draftJob {
	w := d.jobs[j.ID]
	if w == nil {
		w = &draftJob{job: j, state: j.State, stop: j.Stop, spec: j.Spec, at: j.Accepted, kept: j.kept, gallery: j.Gallery, ended: j.Ended, chunks: map[int]*chunkRecord{}}
		if j.chunkTasks != d.l.limits.ChunkTasks() {
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
func (d *Draft) read(j *Job, n int) {
	var v wire.Revision
	if c := j.chunks[n]; c != nil {
		v = c.Version
	}
	d.conds[chunkKey(j.ID, n)] = v
}

func (d *Draft) write(w *draftJob, n int) {
	d.read(w.job, n)
	var v any = w.chunk(n)
	if n == 0 {
		v = w
	}
	d.put(chunkKey(w.job.ID, n), v)
}

func (d *Draft) put(key string, v any) {
	if _, ok := d.puts[key]; !ok {
		d.order = append(d.order, key)
	}
	d.puts[key] = v
	delete(d.sizes, key)
}

// MarshalJSON writes the job's record.
func (w *draftJob) MarshalJSON() ([]byte, error) {
	return json.Marshal(jobRecord{Spec: w.spec, Accepted: w.at, State: w.state, Stop: w.stop, Range: w.size, Of: w.job.Of, Kept: w.kept, Gallery: w.gallery, Ended: w.ended, chunkRecord: *w.chunk(0)})
}

// try runs a change and undoes it when the transaction would grow too large.
func (d *Draft) try(change func() error) error {
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

func (d *Draft) copy() *Draft {
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

func (d *Draft) checkSize() error {
	lim := &d.l.limits
	alone := len(d.jobs)+len(d.marks) <= 1
	if len(d.puts) > lim.TxnOps || len(d.conds) > conditionsPerChange*lim.TxnOps {
		if alone {
			return ErrTooLarge
		}
		return ErrFull
	}
	if len(d.puts) > d.most {
		return ErrFull
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
		return ErrFull
	}
	return nil
}

// Txn returns the transaction.
func (d *Draft) Txn() (wire.Txn, error) {
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

// Submit accepts a job that isn't known yet. That it is not in the archive either is a
// condition, and final states are never deleted: however late the transaction lands, a job
// that is over is not accepted anew.
func (d *Draft) Submit(spec *wire.JobSpec, at wire.UnixMillis) error {
	return d.submit(spec, at, "", nil)
}

func (d *Draft) submit(spec *wire.JobSpec, at wire.UnixMillis, of wire.WorkflowID, g *Gallery) error {
	if _, over := d.l.Over(spec.ID); over || d.l.jobs[spec.ID] != nil {
		return ErrStale
	}
	return d.try(func() error {
		if spec.Shape == wire.Gang && spec.Tasks > (d.l.limits.TxnOps-1)*d.l.limits.ChunkTasks() {
			return fmt.Errorf("%w: a gang starts in one transaction", ErrTooLarge)
		}
		j := &Job{ID: spec.ID, Spec: spec, Accepted: at, Of: of, chunkTasks: d.l.rangeFor(spec)}
		long := j.chunkTasks > 0
		if !long {
			j.chunkTasks = d.l.limits.ChunkTasks()
		}
		w := d.job(j)
		if g != nil {
			if !d.tie(w, g) {
				return ErrStale
			}
		}
		d.write(w, 0)
		d.conds[FinalKey(spec.ID)] = 0
		b, err := json.Marshal(w)
		if err != nil {
			return err
		}
		if long && len(b) > specBytes {
			return ErrTooLarge
		}
		// Every task may come to have a claim of its own in the record.
		if !long && len(b)+min(spec.Tasks, j.chunkTasks)*claimBytes > d.l.limits.ValueBytes {
			return ErrTooLarge
		}
		return nil
	})
}

// Cancel makes the job cancelled, unless it is done: the answer tells.
func (d *Draft) Cancel(j *Job) (JobState, error) {
	w := d.job(j)
	if w.state != Active {
		return w.state, nil
	}
	err := d.try(func() error {
		w := d.job(j)
		w.state = Cancelled
		d.write(w, 0)
		return nil
	})
	return Cancelled, err
}

// StopGang asks every holder to stop the gang's attempts up to the current one.
func (d *Draft) StopGang(j *Job, upTo wire.Attempt) error {
	return d.try(func() error {
		w := d.job(j)
		if w.state != Active || w.stop >= upTo || upTo > w.chunk(0).Attempt {
			return ErrStale
		}
		w.stop = upTo
		d.write(w, 0)
		return nil
	})
}

// Site is the machine that a start is claimed on.
type Site struct {
	Machine wire.MachineID
	Type    wire.MachineSKU
	Zone    wire.Zone
	Spot    bool
	Session wire.Session
	Token   wire.Token // of the controller that holds the machine
}

// Allowed reports whether the job may run on a machine at all.
func Allowed(s *wire.JobSpec, typ wire.MachineSKU, zone wire.Zone, spot bool) bool {
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
func (d *Draft) Claim(j *Job, site Site, count int, rests func(wire.TaskIndex) bool) (int, error) {
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
			return ErrStale
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
	return (int(h.Sum32()%uint32(ranges)) + ranges*l.Number/max(1, l.Of)) % ranges
}

// roomIn is how many of the tasks, as one start, a range's record has room for however
// its tasks end. A record that an exit would make too large could never be written.
func (d *Draft) roomIn(w *draftJob, n int, tasks []wire.TaskIndex, site Site) int {
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

// Placed is one machine's part of a gang.
type Placed struct {
	Site  Site
	Count int
}

// ClaimGang claims every unfinished task of a gang at once, as a new attempt.
// It refuses while any claim of an earlier attempt stands.
func (d *Draft) ClaimGang(j *Job, parts []Placed) error {
	return d.try(func() error {
		w := d.job(j)
		if j.Spec.Shape != wire.Gang {
			return fmt.Errorf("ledger: %s is not a gang", j.ID)
		}
		standing := false
		w.eachClaim(func(*Claim) { standing = true })
		if standing {
			return ErrStale
		}
		size := j.chunkTasks
		attempt := w.chunk(0).Attempt + 1
		var todo []wire.TaskIndex
		for n := 0; n*size < j.Spec.Tasks; n++ {
			todo = append(todo, pendingIn(w.chunk(n), n, size, j.Spec.Tasks, size, nil)...)
		}
		total := len(todo)
		if total == 0 || d.teamRoom(j, total) < total {
			return ErrStale
		}
		w.chunk(0).Attempt = attempt
		d.write(w, 0)
		for _, p := range parts {
			if err := d.checkSite(w, p.Site); err != nil {
				return err
			}
			if p.Count > len(todo) || p.Count > zoneRoom(j.Spec, p.Site.Zone, w.eachClaim) {
				return ErrStale
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
			return ErrStale // all or none
		}
		d.touchTeam(j, total, parts[0].Site.Token)
		return nil
	})
}

// TakeOver puts what a gang's attempt claims on a machine under the token of who holds the machine
// now, once the worker accepts no lower one: only under its own token may a controller have tasks
// that gave up waiting wait on. Nothing is claimed by it, and none of its claims goes.
func (d *Draft) TakeOver(j *Job, attempt wire.Attempt, site Site) error {
	return d.try(func() error {
		w := d.job(j)
		if j.Spec.Shape != wire.Gang || w.stop >= attempt {
			return ErrStale
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
			return ErrStale
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
			return ErrStale
		}
		return nil
	})
}

func (d *Draft) checkSite(w *draftJob, site Site) error {
	if w.state != Active || !Allowed(w.spec, site.Type, site.Zone, site.Spot) {
		return ErrStale
	}
	if d.l.Mark(site.Machine) != "" || d.marks[site.Machine] != "" {
		return ErrStale
	}
	d.standing(site.Machine)
	return nil
}

// teamRoom returns how many of the job's tasks, at most max, its team's limit
// leaves room for.
func (d *Draft) teamRoom(j *Job, max int) int {
	limit, capped := d.l.limits.TeamMax[j.Spec.Team]
	if !capped {
		return max
	}
	used := d.l.usage[j.Spec.Team].Add(d.usage[j.Spec.Team], 1)
	return teamRoom(limit, used, j.Need, max)
}

func teamRoom(limit, used, need Resources, most int) int {
	left := Resources{limit.CPU - used.CPU, limit.GPU - used.GPU, 0}
	need.Memory = 0
	if limit.CPU == 0 {
		need.CPU = 0
	}
	if limit.GPU == 0 {
		need.GPU = 0
	}
	return max(0, left.Times(need, most))
}

// TeamRoom returns how many of the job's tasks its team's limit leaves room
// for, beside its claims and extra.
func (l *Ledger) TeamRoom(j *Job, extra Resources, most int) int {
	limit, capped := l.limits.TeamMax[j.Spec.Team]
	if !capped {
		return most
	}
	return teamRoom(limit, l.usage[j.Spec.Team].Add(extra, 1), j.Need, most)
}

// touchTeam makes starts of a capped team exclude each other: what a team uses
// is the sum of its claims, which is complete up to the version of this record. Starts that need
// nothing of what is limited change no sum that a limit is held against.
func (d *Draft) touchTeam(j *Job, n int, by wire.Token) {
	team := j.Spec.Team
	d.usage[team] = d.usage[team].Add(j.Need, n)
	if d.l.limits.binds(team, j.Need) {
		d.conds[teamKey(team)] = d.l.teamVer[team]
		d.put(teamKey(team), teamRecord{by})
	}
}

// Exit removes tasks' claim on proof that they are gone, and with done records that
// they have completed. A claim other than the one proven gone is not touched; how many
// there were is told. All tasks are of one range: those of a Held are.
func (d *Draft) Exit(j *Job, claim Claim, tasks []wire.TaskIndex, done bool) (int, error) {
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
			return ErrStale
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

// ExitGang records that a gang of several tasks is done: its tasks complete together, so that one
// that is done proves it of all of the attempt (PROTOCOL, "Gangs"), whoever holds their
// machines. It takes one change where the tasks' exits by themselves may take one each. How many
// claims went is told.
func (d *Draft) ExitGang(j *Job, attempt wire.Attempt) (gone int, err error) {
	err = d.try(func() error {
		gone = 0
		w := d.job(j)
		if w.state != Active || j.Spec.Shape != wire.Gang {
			return ErrStale
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
			return ErrStale
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

func (w *draftJob) allDone() bool {
	return w.spec.Shape != wire.Service && w.doneTasks() == w.spec.Tasks
}

// doneTasks is how many of the job's tasks are done.
func (w *draftJob) doneTasks() int {
	total := w.job.Done
	for n, c := range w.chunks {
		if old := w.job.chunks[n]; old != nil {
			total -= old.done
		}
		total += c.doneCount()
	}
	return total
}

// SetMark moves a machine along its way out. by is the version of the leader's
// record under which the leader acts. Why a machine leaves stays on record once it is gone.
func (d *Draft) SetMark(m wire.MachineID, mark MachineMark, why string, by wire.Revision) error {
	return d.try(func() error {
		old := d.l.Mark(m)
		order := func(k MachineMark) int { return slices.Index([]MachineMark{"", Leaving, Gone}, k) }
		if d.l.leaderVer != by || order(mark) <= order(old) || mark == Gone && old != Leaving {
			return ErrStale
		}
		d.marks[m] = mark
		d.conds[LeaderKey] = by
		d.conds[machineKey(m)] = d.l.markVer[m]
		d.readSeries(m)
		if mark == Gone && d.l.leaving[m] != "" {
			why = d.l.leaving[m]
		}
		d.put(machineKey(m), machineRecord{mark, why})
		return nil
	})
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
func claimRuns(c *chunkRecord, tasks []wire.TaskIndex, a wire.Attempt, s Site) {
	for i, t := range tasks {
		if i > 0 && tasks[i-1] == t-1 {
			c.Claims[len(c.Claims)-1].Count++
			continue
		}
		c.Claims = append(c.Claims, Claim{t, 1, a, s.Machine, s.Zone, s.Session, s.Token})
	}
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

// Finish makes a job done whose tasks all are. Two controllers that each record
// the last task of a different range see the other's still open, and neither
// ends the job: this does.
func (d *Draft) Finish(j *Job) error {
	return d.try(func() error {
		w := d.job(j)
		if w.state != Active || !w.allDone() {
			return ErrStale
		}
		d.done(w)
		d.write(w, 0)
		return nil
	})
}
