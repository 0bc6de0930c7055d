package completion

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/wire"
)

// mostTold is how many completions a peer is told of at once.
const mostTold = 500

// askFor is how long after its start a controller that has not heard all peers' logs takes it that
// a task ended in a way that nobody knows. Peers are asked every second.
const askFor = 2500 * time.Millisecond

// Exchange is what a controller and its peers tell each other of their logs: each entry once a
// peer, since who asks says what it was told last.
type Exchange struct {
	log   *Log
	boot  time.Time // of this run
	peers []wire.MemberID
	told  map[wire.MemberID]cursor
}

// cursor is how far a peer's log was read.
type cursor struct {
	boot   int64 // of the peer's run
	number uint64
	whole  bool // the peer had no more to tell then
}

// NewExchange returns an exchange of a log with peers, for a run that began at a boot time.
func NewExchange(log *Log, boot time.Time, peers []wire.MemberID) *Exchange {
	return &Exchange{log: log, boot: boot, peers: peers, told: map[wire.MemberID]cursor{}}
}

// Complete reports whether the log holds what the peers kept when this controller started, or they
// had time to tell.
func (x *Exchange) Complete(now time.Time) bool {
	return now.Sub(x.boot) > askFor ||
		!slices.ContainsFunc(x.peers, func(id wire.MemberID) bool { return !x.told[id].whole })
}

// Request puts into what is said to a peer how far its log was read.
func (x *Exchange) Request(to wire.MemberID, ask *peer.Status) {
	at := x.told[to]
	ask.CompletedBoot, ask.CompletedTo = at.boot, at.number
}

// Answer puts into the answer to a peer what it wasn't told yet.
func (x *Exchange) Answer(ask peer.Status, answer *peer.Status, now time.Time) {
	number := uint64(0)
	if ask.CompletedBoot == x.boot.UnixMilli() {
		number = ask.CompletedTo
	}
	answer.CompletedBoot = x.boot.UnixMilli()
	answer.Completed, answer.CompletedTo = x.log.Since(number, mostTold, now)
}

// Merge keeps what a peer told of, as far as it may still be lacking in the records; apart as in Note.
func (x *Exchange) Merge(s *peer.Status, lacking func(peer.Completion) bool, apart bool, now time.Time) {
	if s.CompletedBoot == 0 {
		return // an earlier version, or a published status
	}
	x.told[s.Member] = cursor{s.CompletedBoot, s.CompletedTo, len(s.Completed) < mostTold}
	for _, c := range s.Completed {
		if lacking(c) {
			x.log.Add(c, apart, now)
		}
	}
}
