package ledger

import (
	"errors"

	"maddermill/internal/exactjson"
	"maddermill/wire"
)

// Gallery returns a gallery, or nil if it is not on record.
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

// galleryOpen reports whether a gallery is on record and has not ended. It is false for "", which stands for
// no gallery.
func (l *Ledger) galleryOpen(n wire.GalleryName) bool {
	if n == "" {
		return false
	}
	g := l.Gallery(n)
	return g != nil && !g.Ended()
}

// gallery returns a gallery's entry in the index, and adds it if there is none.
func (l *Ledger) gallery(n wire.GalleryName) *Gallery {
	g := l.galleries[n]
	if g == nil {
		g = &Gallery{Name: n, jobs: map[wire.JobID]JobState{}}
		l.galleries[n] = g
	}
	return g
}

// applyGallery applies a change of a gallery's record.
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
	if err := exactjson.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	if len(r.Promises) == 0 {
		return errors.New("ledger: gallery record has no promised date")
	}
	g.Version, g.GalleryRecord = e.Version, r
	return nil
}

// linkGallery adds a job to a gallery; "" means none. A job never leaves its gallery.
func (l *Ledger) linkGallery(j *Job, n wire.GalleryName) {
	if j.Gallery = n; n != "" {
		g := l.gallery(n)
		if _, known := g.jobs[j.ID]; !known {
			g.jobs[j.ID] = Active
			g.Count.Jobs++
		}
	}
}

// updateGalleryCount updates the counts of a job's gallery after a change of the job's state.
func (l *Ledger) updateGalleryCount(j *Job) {
	if j.Gallery == "" {
		return
	}
	g := l.gallery(j.Gallery)
	if j.State != g.jobs[j.ID] {
		switch j.State {
		case Done:
			g.Count.Done++
		case Cancelled:
			g.Count.Cancelled++
		}
	}
	g.jobs[j.ID] = j.State
	g.Count.Ended = max(g.Count.Ended, j.Ended)
}

// unlinkGallery removes a job that is no longer on record from its gallery. The counts still include it.
func (l *Ledger) unlinkGallery(id wire.JobID, n wire.GalleryName) {
	g := l.galleries[n]
	if n == "" || g == nil {
		return
	}
	if delete(g.jobs, id); len(g.jobs) == 0 && g.Version == 0 {
		delete(l.galleries, n)
	}
}
