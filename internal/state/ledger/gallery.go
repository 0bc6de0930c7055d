package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"maddermill/wire"
)

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

type registerRecord struct {
	Revision int `json:"n"`
}

// Register is the newest edition of the register that was acted on; 0: none.
func (l *Ledger) Register() int { return l.register.Revision }

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

// check returns the invariant of a gallery's record that is violated, nil if none is.
func (g *Gallery) check(valueBytes int) error {
	b, err := json.Marshal(g.GalleryRecord)
	_, open := galleryTransitions[g.State]
	switch {
	case err != nil:
		return err
	case g.Version == 0:
		return nil // of jobs whose gallery is archived
	case len(g.Promises) == 0 || len(g.Promises) > maxPromises:
		return fmt.Errorf("has %d dates", len(g.Promises))
	case !open && !slices.Contains([]GalleryState{GalleryKept, GalleryBroken, GalleryWithdrawn}, g.State):
		return fmt.Errorf("state %q", g.State)
	case open == (g.Jobs != nil):
		return errors.New("is over without counts, or has them before it is")
	case valueBytes > 0 && len(b) > valueBytes:
		return fmt.Errorf("takes %d bytes", len(b))
	}
	return nil
}
