package ledger

import (
	"encoding/json"
	"errors"

	"maddermill/wire"
)

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
