// Package membership knows the other controllers: the status that each shared last over the mesh, when
// that was, and what may be concluded from it. It also knows when this process itself was paused,
// since silence is then its own and not the others'.
//
// # Types
//
// A [Membership] holds a [Peer] for each controller that was ever observed and a detector of this
// process's pauses. Statuses come from the mesh (ObserveStatus) or, where the mesh does not reach, from
// the state service (Publish, ReadPublished).
//
// # Locking
//
// A Membership has a lock of its own, under which it calls no other part but the log and the metrics.
// It may be taken under the lock of the records, never the other way round: Publish and ReadPublished
// read the records without it. A Peer and the list of them do not change once they are handed out.
//
// # Goroutines
//
// The controller runs three, once each, and ends them by their context: DetectPauses, Publish and
// ReadPublished. The package starts none itself.
//
// # Invariants
//
//   - A peer's AsOf is never later than the time at which its status was asked for.
//   - A published status confirms nothing about cancellations: it is taken as one whose records are not
//     loaded.
//   - Silence counts only for times in which this process ran and was in touch with the state service.
package membership

import (
	"log/slog"
	"sync"
	"time"

	"maddermill/internal/metrics"
	"maddermill/wire"
)

// Options are the settings of a Membership.
type Options struct {
	Self       wire.MemberID
	Others     []wire.MemberID // the other controllers as configured
	Count      int             // of controllers in the deployment
	Contact    time.Duration   // how long ago the last sync may be for a controller to start work
	ValueBytes int             // that a stored value may have
}

// Membership is what one controller knows of the others. All methods may be called at any time.
type Membership struct {
	opt   Options
	stats *metrics.Set
	log   *slog.Logger

	mu        sync.Mutex // guards the fields below
	peers     map[wire.MemberID]*Peer
	sorted    []*Peer                     // of peers, by name; replaced, never changed
	lastProbe map[wire.MemberID]time.Time // when each peer last asked for the status over the mesh
	pauses    pauseDetector
}

// New returns a membership that has observed no peer.
func New(opt Options, stats *metrics.Set, log *slog.Logger) *Membership {
	return &Membership{
		opt:       opt,
		stats:     stats,
		log:       log,
		peers:     map[wire.MemberID]*Peer{},
		lastProbe: map[wire.MemberID]time.Time{},
	}
}
