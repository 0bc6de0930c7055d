package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"maddermill/wire"
)

// GalleryState is the durable state of a gallery: a group of jobs with a common deadline, the promised
// date (docs/promises.md).
type GalleryState string

// The durable states of galleries. Kept, broken and withdrawn are final.
const (
	GalleryOpen      GalleryState = ""
	GalleryAtRisk    GalleryState = "at risk"
	GalleryKept      GalleryState = "kept"
	GalleryBroken    GalleryState = "broken"
	GalleryWithdrawn GalleryState = "withdrawn"
)

// galleryTransitions are the allowed transitions by state. Final states have none.
var galleryTransitions = map[GalleryState][]GalleryState{
	GalleryOpen:   {GalleryAtRisk, GalleryKept, GalleryBroken, GalleryWithdrawn},
	GalleryAtRisk: {GalleryOpen, GalleryKept, GalleryBroken, GalleryWithdrawn},
}

// registerRecord holds the newest edition of the operators' register of galleries that was applied.
// Controllers that have an older edition must not apply it.
type registerRecord struct {
	Revision int `json:"n"`
}

// Register returns the newest edition of the register that was applied, 0 if none was.
func (l *Ledger) Register() int { return l.register.Revision }

// Promise is a promised date, when it was set, and why it was changed.
type Promise struct {
	At     wire.UnixMillis `json:"at"`
	Date   wire.UnixMillis `json:"date"`
	Reason string          `json:"why,omitempty"`
}

// GalleryRecord is the record of a gallery. Promises are only appended, and the last one is in force. The
// jobs' records name the gallery that they belong to, so that adding a job does not change this record and
// a gallery may have any number of jobs. The jobs stay on record until the gallery has ended.
type GalleryRecord struct {
	Team     wire.Team       `json:"team"`
	Promises []Promise       `json:"dates"`
	State    GalleryState    `json:"state,omitempty"`
	Reason   string          `json:"why,omitempty"`  // the reason for the state
	Since    wire.UnixMillis `json:"since"`          // when it entered the state
	Register int             `json:"reg"`            // the edition of the register that last changed it
	Jobs     *GalleryCount   `json:"jobs,omitempty"` // set once it has ended
}

// GalleryCount counts the jobs of a gallery.
type GalleryCount struct {
	Jobs      int             `json:"n"`
	Done      int             `json:"done,omitempty"`
	Cancelled int             `json:"cancelled,omitempty"`
	Ended     wire.UnixMillis `json:"last,omitempty"` // when the last job was done
}

// Bounds of a gallery's record, so that it always fits the store's value size limit.
const (
	maxPromises    = 20
	maxReasonBytes = 80 // of a reason encoded as JSON
)

// Gallery is a gallery as last seen, with those of its jobs that are on record.
type Gallery struct {
	Name    wire.GalleryName
	Version wire.Revision // 0: the gallery itself is not on record
	GalleryRecord
	Count GalleryCount
	jobs  map[wire.JobID]JobState
}

// Date returns the promised date that is in force.
func (g *Gallery) Date() wire.UnixMillis { return g.Promises[len(g.Promises)-1].Date }

// Ended reports whether the gallery is in a final state.
func (g *Gallery) Ended() bool { return len(galleryTransitions[g.State]) == 0 }

// HasJobs reports whether any of the gallery's jobs is on record.
func (g *Gallery) HasJobs() bool { return len(g.jobs) > 0 }

// check returns an error that describes the violated invariant of a gallery's record, nil if none is.
func (g *Gallery) check(valueBytes int) error {
	b, err := json.Marshal(g.GalleryRecord)
	_, open := galleryTransitions[g.State]
	switch {
	case err != nil:
		return err
	case g.Version == 0:
		return nil // only jobs of it are on record
	case len(g.Promises) == 0 || len(g.Promises) > maxPromises:
		return fmt.Errorf("has %d promised dates", len(g.Promises))
	case !open && !slices.Contains([]GalleryState{GalleryKept, GalleryBroken, GalleryWithdrawn}, g.State):
		return fmt.Errorf("unknown state %q", g.State)
	case open == (g.Jobs != nil):
		return errors.New("job counts must be present exactly if the gallery has ended")
	case valueBytes > 0 && len(b) > valueBytes:
		return fmt.Errorf("record of %d bytes exceeds the value size limit", len(b))
	}
	return nil
}
