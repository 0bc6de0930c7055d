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
func FinalGalleryKey(n wire.GalleryName) string { return finalBookPrefix + string(n) }

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

// galleryMoves are the states that a gallery may go to from each.
var galleryMoves = map[GalleryState][]GalleryState{
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
func (d *Transaction) UpgradeRegister(revision int) error {
	if revision <= d.l.register.Revision || d.l.past.format.Format < GalleryFormat {
		return ErrPreconditionFailed
	}
	return d.try(func() error {
		d.conds[RegisterKey] = d.l.registerVer
		d.put(RegisterKey, registerRecord{revision})
		return nil
	})
}

// under conditions a transaction on an edition of the register being in force.
func (d *Transaction) under(revision int) error {
	if d.l.register.Revision != revision {
		return ErrPreconditionFailed
	}
	d.conds[RegisterKey] = d.l.registerVer
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
	mostPromises = 20
	mostWhy      = 80 // bytes
)

// ErrManyDates: a gallery's date was changed as often as its record holds.
var ErrManyDates = errors.New("ledger: the date was changed too often")

// Gallery is a gallery as last seen. Its counts are of the jobs on record.
type Gallery struct {
	Name    wire.GalleryName
	Version wire.Revision
	GalleryRecord
	Count GalleryCount
	jobs  map[wire.JobID]jobInGallery
}

type jobInGallery struct {
	state JobState
	ended wire.UnixMillis
}

// Date is the promised date in force.
func (g *Gallery) Date() wire.UnixMillis { return g.Promises[len(g.Promises)-1].Date }

// Ended reports whether nothing will ever change of the gallery any more.
func (g *Gallery) Ended() bool { return len(galleryMoves[g.State]) == 0 }

// HasJobs reports whether any of the gallery's jobs is on record.
func (g *Gallery) HasJobs() bool { return len(g.jobs) > 0 }

// wrong tells what is against a record's invariants, "" if nothing is.
func (g *Gallery) wrong(valueBytes int) string {
	b, err := json.Marshal(g.GalleryRecord)
	_, open := galleryMoves[g.State]
	switch {
	case err != nil:
		return err.Error()
	case g.Version == 0:
		return "" // of jobs whose gallery is archived
	case len(g.Promises) == 0 || len(g.Promises) > mostPromises:
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
		g = &Gallery{Name: n, jobs: map[wire.JobID]jobInGallery{}}
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

// inGalleryOf notes that a job is tied to a gallery. A tie is for ever.
func (l *Ledger) inGalleryOf(j *Job, n wire.GalleryName) {
	if j.Gallery = n; n != "" {
		g := l.gallery(n)
		if _, known := g.jobs[j.ID]; !known {
			g.jobs[j.ID] = jobInGallery{}
			g.Count.Jobs++
		}
	}
}

// countInGallery brings the counts of a job's gallery up to the job's state.
func (l *Ledger) countInGallery(j *Job) {
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
	g.jobs[j.ID] = jobInGallery{j.State, j.Ended}
	g.Count.Ended = max(g.Count.Ended, j.Ended)
}

// leaveGallery notes that a job is no longer on record.
func (l *Ledger) leaveGallery(id wire.JobID, n wire.GalleryName) {
	g := l.galleries[n]
	if n == "" || g == nil {
		return
	}
	if delete(g.jobs, id); len(g.jobs) == 0 && g.Version == 0 {
		delete(l.galleries, n)
	}
}

// SetTime tells a draft the time of day, for what notes when it came to be.
func (d *Transaction) SetTime(now wire.UnixMillis) { d.now = now }

// done makes a job done, and notes when if it is tied to a gallery.
func (d *Transaction) done(w *draftJob) {
	w.state = Done
	if w.gallery != "" {
		w.ended = d.now
	}
}

// tie ties a job that is tied to none to a gallery that is not over.
func (d *Transaction) tie(w *draftJob, g *Gallery) bool {
	if w.gallery != "" || g.Version == 0 || g.Ended() || d.l.past.format.Format < GalleryFormat {
		return false
	}
	w.gallery = g.Name
	d.conds[galleryKey(g.Name)] = g.Version
	return true
}

// SubmitToGallery accepts a job that isn't known yet and ties it to a gallery in the same step; nil
// ties it to none. ErrStale: it is known, or the gallery is over.
func (d *Transaction) SubmitToGallery(spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	return d.submit(spec, at, "", g)
}

// AssignGallery ties a job that was accepted before its gallery was known.
func (d *Transaction) AssignGallery(j *Job, g *Gallery) error {
	return d.try(func() error {
		w := d.job(j)
		if w.state != Active || !d.tie(w, g) {
			return ErrPreconditionFailed
		}
		d.write(w, 0)
		return nil
	})
}

// OpenGallery puts a gallery with its first promise on record. A name that was ever used is
// never used again.
func (d *Transaction) OpenGallery(n wire.GalleryName, team wire.Team, p Promise, register int) error {
	if !n.Valid() || d.l.Gallery(n) != nil || d.l.past.format.Format < GalleryFormat {
		return ErrPreconditionFailed
	}
	if err := d.under(register); err != nil {
		return err
	}
	return d.try(func() error {
		d.conds[galleryKey(n)], d.conds[FinalGalleryKey(n)] = 0, 0
		d.put(galleryKey(n), GalleryRecord{Team: team, Promises: []Promise{p.cut()}, Since: p.At, Register: register})
		return nil
	})
}

func (p Promise) cut() Promise {
	p.Why = brief(p.Why)
	return p
}

// brief cuts a reason to what it may take of a record, as it is written there.
func brief(why string) string {
	why = strings.ToValidUTF8(why, "?")
	for {
		b, _ := json.Marshal(why)
		if len(b) <= mostWhy+2 {
			return why
		}
		_, last := utf8.DecodeLastRuneInString(why)
		why = why[:len(why)-last]
	}
}

// ChangeDate adds a promise, as an edition of the register has it.
func (d *Transaction) ChangeDate(g *Gallery, p Promise, register int) error {
	switch {
	case g.Ended() || p.Date == g.Date():
		return ErrPreconditionFailed
	case len(g.Promises) >= mostPromises:
		return ErrManyDates
	}
	if err := d.under(register); err != nil {
		return err
	}
	r := g.GalleryRecord
	r.Promises = append(slices.Clone(r.Promises), p.cut())
	r.Register = register
	return d.writeGallery(g, r)
}

// WithdrawGallery ends a gallery that an edition of the register no longer has.
func (d *Transaction) WithdrawGallery(g *Gallery, why string, at wire.UnixMillis, register int) error {
	if err := d.under(register); err != nil {
		return err
	}
	return d.MoveGallery(g, GalleryWithdrawn, why, at)
}

// MoveGallery moves a gallery to another state. One that is over has its counts on record.
func (d *Transaction) MoveGallery(g *Gallery, to GalleryState, why string, at wire.UnixMillis) error {
	if !slices.Contains(galleryMoves[g.State], to) {
		return ErrPreconditionFailed
	}
	r := g.GalleryRecord
	r.State, r.Why, r.Since = to, brief(why), at
	if len(galleryMoves[to]) == 0 {
		count := g.Count
		r.Jobs = &count
	}
	return d.writeGallery(g, r)
}

func (d *Transaction) writeGallery(g *Gallery, r GalleryRecord) error {
	return d.try(func() error {
		d.conds[galleryKey(g.Name)] = g.Version
		d.put(galleryKey(g.Name), r)
		return nil
	})
}

// ArchiveGallery moves a gallery that is over, and none of whose jobs is on record, into the
// archive.
func (d *Transaction) ArchiveGallery(g *Gallery) error {
	if !g.Ended() || g.HasJobs() || !d.mayArchive() {
		return ErrPreconditionFailed
	}
	return d.try(func() error {
		d.conds[galleryKey(g.Name)] = g.Version
		d.del(galleryKey(g.Name))
		d.conds[FinalGalleryKey(g.Name)] = 0
		d.put(FinalGalleryKey(g.Name), g.GalleryRecord)
		return nil
	})
}
