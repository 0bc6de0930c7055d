package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"maddermill/wire"
)

// A gallery is work with one promised date (docs/promises.md). Its record holds the date and all
// that became of it; which jobs are its own is in the jobs' records, so that a tie costs no change
// of its own and a gallery may have as many jobs as there are. Jobs of a gallery that is not over
// stay on record: what is over of it follows from them.

// GalleryPrefix is where galleries that are not archived are.
const GalleryPrefix = Prefix + "p/"

func galleryKey(n wire.GalleryName) string { return GalleryPrefix + string(n) }

// FinalGalleryKey is where the record of a gallery that is over is kept for ever.
func FinalGalleryKey(n wire.GalleryName) string { return finalGalleryPrefix + string(n) }

// GalleryState is a gallery's durable state.
type GalleryState string

// The durable states. Kept, broken and withdrawn are for ever.
const (
	GalleryOpen      GalleryState = ""
	GalleryAtRisk    GalleryState = "at risk"
	GalleryKept      GalleryState = "kept"
	GalleryBroken    GalleryState = "broken"
	GalleryWithdrawn GalleryState = "withdrawn"
)

// galleryTransitions are the states that a gallery may go to from each.
var galleryTransitions = map[GalleryState][]GalleryState{
	GalleryOpen:   {GalleryAtRisk, GalleryKept, GalleryBroken, GalleryWithdrawn},
	GalleryAtRisk: {GalleryOpen, GalleryKept, GalleryBroken, GalleryWithdrawn},
}

// RegisterKey holds the newest edition of the operators' register that was acted on. Controllers
// with an older one have no say.
const RegisterKey = Prefix + "register"

type registerRecord struct {
	Revision int `json:"n"`
}

// Register is the newest edition of the register that was acted on; 0: none.
func (l *Ledger) Register() int { return l.register.Revision }

// UpgradeRegister puts a newer edition of the register in force.
func (txn *Transaction) UpgradeRegister(revision int) error {
	if revision <= txn.ledger.register.Revision || txn.ledger.archived.format.Format < GalleryFormat {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		txn.conditions[RegisterKey] = txn.ledger.registerVersion
		txn.put(RegisterKey, registerRecord{revision})
		return nil
	})
}

// requireRegister conditions a transaction on an edition of the register being in force.
func (txn *Transaction) requireRegister(revision int) error {
	if txn.ledger.register.Revision != revision {
		return ErrPreconditionFailed
	}
	txn.conditions[RegisterKey] = txn.ledger.registerVersion
	return nil
}

// Promise is a date as it was promised, or changed to, at a time, and why.
type Promise struct {
	At   wire.UnixMillis `json:"at"`
	Date wire.UnixMillis `json:"date"`
	Why  string          `json:"why,omitempty"`
}

// GalleryRecord is the durable part of a gallery. Dates are never overwritten: the last of the
// promises is in force.
type GalleryRecord struct {
	Team     wire.Team       `json:"team"`
	Promises []Promise       `json:"dates"`
	State    GalleryState    `json:"state,omitempty"`
	Why      string          `json:"why,omitempty"`  // it is in that state
	Since    wire.UnixMillis `json:"since"`          // it is in that state
	Register int             `json:"reg"`            // the newest register that had a say
	Jobs     *GalleryCount   `json:"jobs,omitempty"` // once it is over
}

// GalleryCount is what there is of a gallery's jobs.
type GalleryCount struct {
	Jobs      int             `json:"n"`
	Done      int             `json:"done,omitempty"`
	Cancelled int             `json:"cancelled,omitempty"`
	Ended     wire.UnixMillis `json:"last,omitempty"` // when the last one was done
}

// Bounds of a gallery's record, so that it always fits a value.
const (
	maxPromises    = 20
	maxReasonBytes = 80 // bytes
)

// ErrManyDates: a gallery's date was changed as often as its record holds.
var ErrManyDates = errors.New("ledger: the date was changed too often")

// Gallery is a gallery as last seen. Its counts are of the jobs on record.
type Gallery struct {
	Name    wire.GalleryName
	Version wire.Revision
	GalleryRecord
	Count GalleryCount
	jobs  map[wire.JobID]galleryJob
}

type galleryJob struct {
	state JobState
	ended wire.UnixMillis
}

// Date is the promised date in force.
func (g *Gallery) Date() wire.UnixMillis { return g.Promises[len(g.Promises)-1].Date }

// Ended reports whether nothing will ever change of the gallery any more.
func (g *Gallery) Ended() bool { return len(galleryTransitions[g.State]) == 0 }

// HasJobs reports whether any of the gallery's jobs is on record.
func (g *Gallery) HasJobs() bool { return len(g.jobs) > 0 }

// check tells what is against a record's invariants, "" if nothing is.
func (g *Gallery) check(valueBytes int) string {
	b, err := json.Marshal(g.GalleryRecord)
	_, open := galleryTransitions[g.State]
	switch {
	case err != nil:
		return err.Error()
	case g.Version == 0:
		return "" // of jobs whose gallery is archived
	case len(g.Promises) == 0 || len(g.Promises) > maxPromises:
		return fmt.Sprintf("has %d dates", len(g.Promises))
	case !open && !slices.Contains([]GalleryState{GalleryKept, GalleryBroken, GalleryWithdrawn}, g.State):
		return fmt.Sprintf("state %q", g.State)
	case open == (g.Jobs != nil):
		return "is over without counts, or has them before it is"
	case valueBytes > 0 && len(b) > valueBytes:
		return fmt.Sprintf("takes %d bytes", len(b))
	}
	return ""
}

// Gallery returns a gallery on record, or nil.
func (l *Ledger) Gallery(n wire.GalleryName) *Gallery {
	if g := l.galleries[n]; g != nil && g.Version != 0 {
		return g
	}
	return nil
}

// EachGallery calls f for every gallery on record.
func (l *Ledger) EachGallery(f func(*Gallery)) {
	for _, g := range l.galleries {
		if g.Version != 0 {
			f(g)
		}
	}
}

// galleryOpen reports whether a gallery is on record and not over.
func (l *Ledger) galleryOpen(n wire.GalleryName) bool {
	if n == "" {
		return false
	}
	g := l.Gallery(n)
	return g != nil && !g.Ended()
}

// gallery returns a gallery to be written on, known or not.
func (l *Ledger) gallery(n wire.GalleryName) *Gallery {
	g := l.galleries[n]
	if g == nil {
		g = &Gallery{Name: n, jobs: map[wire.JobID]galleryJob{}}
		l.galleries[n] = g
	}
	return g
}

func (l *Ledger) applyGallery(n wire.GalleryName, e Event) error {
	g := l.gallery(n)
	switch {
	case e.Value == nil && e.Version >= g.Version:
		g.Version, g.GalleryRecord = 0, GalleryRecord{}
		if len(g.jobs) == 0 {
			delete(l.galleries, n)
		}
		return nil
	case e.Value == nil || e.Version <= g.Version:
		return nil
	}
	var r GalleryRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	if len(r.Promises) == 0 {
		return errors.New("ledger: a gallery without a date")
	}
	g.Version, g.GalleryRecord = e.Version, r
	return nil
}

// linkGallery notes that a job is tied to a gallery. A tie is for ever.
func (l *Ledger) linkGallery(j *Job, n wire.GalleryName) {
	if j.Gallery = n; n != "" {
		g := l.gallery(n)
		if _, known := g.jobs[j.ID]; !known {
			g.jobs[j.ID] = galleryJob{}
			g.Count.Jobs++
		}
	}
}

// updateGalleryCount brings the counts of a job's gallery up to the job's state.
func (l *Ledger) updateGalleryCount(j *Job) {
	if j.Gallery == "" {
		return
	}
	g := l.gallery(j.Gallery)
	switch old := g.jobs[j.ID].state; {
	case j.State == old:
	case j.State == Done:
		g.Count.Done++
	case j.State == Cancelled:
		g.Count.Cancelled++
	}
	g.jobs[j.ID] = galleryJob{j.State, j.Ended}
	g.Count.Ended = max(g.Count.Ended, j.Ended)
}

// unlinkGallery notes that a job is no longer on record.
func (l *Ledger) unlinkGallery(id wire.JobID, n wire.GalleryName) {
	g := l.galleries[n]
	if n == "" || g == nil {
		return
	}
	if delete(g.jobs, id); len(g.jobs) == 0 && g.Version == 0 {
		delete(l.galleries, n)
	}
}

// SetTime tells a draft the time of day, for what notes when it came to be.
func (txn *Transaction) SetTime(now wire.UnixMillis) { txn.now = now }

// completeJob makes a job done, and notes when if it is tied to a gallery.
func (txn *Transaction) completeJob(update *jobUpdate) {
	update.state = Done
	if update.gallery != "" {
		update.ended = txn.now
	}
}

// assignGallery ties a job that is tied to none to a gallery that is not over.
func (txn *Transaction) assignGallery(update *jobUpdate, g *Gallery) bool {
	if update.gallery != "" || g.Version == 0 || g.Ended() || txn.ledger.archived.format.Format < GalleryFormat {
		return false
	}
	update.gallery = g.Name
	txn.conditions[galleryKey(g.Name)] = g.Version
	return true
}

// SubmitToGallery accepts a job that isn't known yet and ties it to a gallery in the same step; nil
// ties it to none. ErrStale: it is known, or the gallery is over.
func (txn *Transaction) SubmitToGallery(spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	return txn.submit(spec, at, "", g)
}

// AssignGallery ties a job that was accepted before its gallery was known.
func (txn *Transaction) AssignGallery(j *Job, g *Gallery) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || !txn.assignGallery(update, g) {
			return ErrPreconditionFailed
		}
		txn.putRange(update, 0)
		return nil
	})
}

// OpenGallery puts a gallery with its first promise on record. A name that was ever used is
// never used again.
func (txn *Transaction) OpenGallery(n wire.GalleryName, team wire.Team, p Promise, register int) error {
	if !n.Valid() || txn.ledger.Gallery(n) != nil || txn.ledger.archived.format.Format < GalleryFormat {
		return ErrPreconditionFailed
	}
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	return txn.atomically(func() error {
		txn.conditions[galleryKey(n)], txn.conditions[FinalGalleryKey(n)] = 0, 0
		txn.put(galleryKey(n), GalleryRecord{Team: team, Promises: []Promise{p.truncated()}, Since: p.At, Register: register})
		return nil
	})
}

func (p Promise) truncated() Promise {
	p.Why = truncateReason(p.Why)
	return p
}

// truncateReason cuts a reason to what it may take of a record, as it is written there.
func truncateReason(why string) string {
	why = strings.ToValidUTF8(why, "?")
	for {
		b, _ := json.Marshal(why)
		if len(b) <= maxReasonBytes+2 {
			return why
		}
		_, last := utf8.DecodeLastRuneInString(why)
		why = why[:len(why)-last]
	}
}

// ChangeDate adds a promise, as an edition of the register has it.
func (txn *Transaction) ChangeDate(g *Gallery, p Promise, register int) error {
	switch {
	case g.Ended() || p.Date == g.Date():
		return ErrPreconditionFailed
	case len(g.Promises) >= maxPromises:
		return ErrManyDates
	}
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	r := g.GalleryRecord
	r.Promises = append(slices.Clone(r.Promises), p.truncated())
	r.Register = register
	return txn.writeGallery(g, r)
}

// WithdrawGallery ends a gallery that an edition of the register no longer has.
func (txn *Transaction) WithdrawGallery(g *Gallery, why string, at wire.UnixMillis, register int) error {
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	return txn.MoveGallery(g, GalleryWithdrawn, why, at)
}

// MoveGallery moves a gallery to another state. One that is over has its counts on record.
func (txn *Transaction) MoveGallery(g *Gallery, to GalleryState, why string, at wire.UnixMillis) error {
	if !slices.Contains(galleryTransitions[g.State], to) {
		return ErrPreconditionFailed
	}
	r := g.GalleryRecord
	r.State, r.Why, r.Since = to, truncateReason(why), at
	if len(galleryTransitions[to]) == 0 {
		count := g.Count
		r.Jobs = &count
	}
	return txn.writeGallery(g, r)
}

func (txn *Transaction) writeGallery(g *Gallery, r GalleryRecord) error {
	return txn.atomically(func() error {
		txn.conditions[galleryKey(g.Name)] = g.Version
		txn.put(galleryKey(g.Name), r)
		return nil
	})
}

// ArchiveGallery moves a gallery that is over, and none of whose jobs is on record, into the
// archive.
func (txn *Transaction) ArchiveGallery(g *Gallery) error {
	if !g.Ended() || g.HasJobs() || !txn.archiveEnabled() {
		return ErrPreconditionFailed
	}
	return txn.atomically(func() error {
		txn.conditions[galleryKey(g.Name)] = g.Version
		txn.remove(galleryKey(g.Name))
		txn.conditions[FinalGalleryKey(g.Name)] = 0
		txn.put(FinalGalleryKey(g.Name), g.GalleryRecord)
		return nil
	})
}
