// Package membership tracks the other controllers (peers): the last status that each sent over the mesh,
// its age, and what can be concluded from it. It also detects pauses of this process, because after a
// pause missing messages do not mean that the senders were down.
//
// # Types
//
// A [Membership] holds a [Peer] for each controller that was ever observed, and a detector for pauses of
// this process. Statuses arrive over the mesh (ObserveStatus) or, where the mesh is unreachable, through
// the state service (Publish, ReadPublished).
//
// # Locking
//
// A Membership has its own lock. While holding it, it calls nothing but the log and the metrics. The lock
// may be acquired while the lock of the records is held, never the reverse: Publish and ReadPublished
// read the records without it. A Peer and the list of peers are immutable once returned.
//
// # Goroutines
//
// The controller runs DetectPauses, Publish and ReadPublished in one goroutine each, until their context
// is canceled. The package starts no goroutines itself.
//
// # Invariants
//
//   - A peer's AsOf is never later than the time at which its status was requested.
//   - A published status confirms nothing about cancellations: it is treated as if the peer's records were
//     not loaded.
//   - Silence counts only while this process was running and in contact with the state service.
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
	Self            wire.MemberID
	Others          []wire.MemberID // the other configured controllers
	ControllerCount int             // number of controllers in the deployment
	MaxSyncAge      time.Duration   // maximum age of the last sync for a controller to start work
	MaxValueBytes   int             // maximum size of a stored value
}

// Membership holds what one controller knows about the others. It is safe for concurrent use.
type Membership struct {
	opt   Options
	stats *metrics.Set
	log   *slog.Logger

	mu        sync.Mutex // guards the fields below
	peers     map[wire.MemberID]*Peer
	sorted    []*Peer                     // peers ordered by name; replaced, never modified
	lastProbe map[wire.MemberID]time.Time // when each peer last probed this controller over the mesh
	pauses    pauseDetector
}

// New returns a Membership that has not observed any peer.
func New(opt Options, stats *metrics.Set, log *slog.Logger) *Membership {
	return &Membership{
		opt:       opt,
		stats:     stats,
		log:       log,
		peers:     map[wire.MemberID]*Peer{},
		lastProbe: map[wire.MemberID]time.Time{},
	}
}
