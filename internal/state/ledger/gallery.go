package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"maddermill/wire"
)

// GalleryState is the durable state of a gallery: a group of jobs with one promised date
// (docs/promises.md).
type GalleryState string

// The durable states of galleries. Kept, broken and withdrawn are final.
const (
	GalleryOpen      GalleryState = ""
	GalleryAtRisk    GalleryState = "at risk"
	GalleryKept      GalleryState = "kept"
	GalleryBroken    GalleryState = "broken"
	GalleryWithdrawn GalleryState = "withdrawn"
)

// galleryTransitions are the legal transitions. Final states have none.
var galleryTransitions = map[GalleryState][]GalleryState{
	GalleryOpen:   {GalleryAtRisk, GalleryKept, GalleryBroken, GalleryWithdrawn},
	GalleryAtRisk: {GalleryOpen, GalleryKept, GalleryBroken, GalleryWithdrawn},
}

// registerRecord is the newest edition of the operators' register that was acted on. Controllers with an
// older edition must not act on it.
type registerRecord struct {
	Revision int `json:"n"`
}

// Register returns the newest edition of the register that was acted on, 0 if none was.
func (l *Ledger) Register() int { return l.register.Revision }

// Promise is a promised date, when it was promised, and why it was changed.
type Promise struct {
	At   wire.UnixMillis `json:"at"`
	Date wire.UnixMillis `json:"date"`
	Why  string          `json:"why,omitempty"`
}

// GalleryRecord is the record of a gallery. Promises are only added: the last one is in force. Which jobs
// belong to the gallery is in the jobs' records, so that adding a job takes no change of this one and
// a gallery may have any number of jobs. They stay on record until the gallery has ended.
type GalleryRecord struct {
	Team     wire.Team       `json:"team"`
	Promises []Promise       `json:"dates"`
	State    GalleryState    `json:"state,omitempty"`
	Why      string          `json:"why,omitempty"`  // the reason of the state
	Since    wire.UnixMillis `json:"since"`          // when it came to the state
	Register int             `json:"reg"`            // the edition of the register that last changed it
	Jobs     *GalleryCount   `json:"jobs,omitempty"` // once it has ended
}

// GalleryCount counts the jobs of a gallery.
type GalleryCount struct {
	Jobs      int             `json:"n"`
	Done      int             `json:"done,omitempty"`
	Cancelled int             `json:"cancelled,omitempty"`
	Ended     wire.UnixMillis `json:"last,omitempty"` // when the last one was done
}

// Bounds of a gallery's record, so that it always fits a value.
const (
	maxPromises    = 20
	maxReasonBytes = 80 // of a reason as JSON
)

// Gallery is a gallery as last seen, with the jobs of it that are on record.
type Gallery struct {
	Name    wire.GalleryName
	Version wire.Revision // 0: the gallery itself is not on record
	GalleryRecord
	Count GalleryCount
	jobs  map[wire.JobID]JobState
}

// Date returns the promised date in force.
func (g *Gallery) Date() wire.UnixMillis { return g.Promises[len(g.Promises)-1].Date }

// Ended reports whether the gallery is in a final state.
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
		return nil // only jobs of it are on record
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
