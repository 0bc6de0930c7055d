package completion

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/wire"
)

// maxShared is how many completions one answer has.
const maxShared = 500

// exchangeTimeout is how long after its start a controller that has not read all peers' logs takes a task
// without a known completion to have ended without one. Peers are asked every second.
const exchangeTimeout = 2500 * time.Millisecond

// Exchange shares the entries of a log with the peers, and adds theirs. Each entry is shared once with
// each run of a peer, since the asker names the last one that it has read.
type Exchange struct {
	log   *Log
	boot  time.Time // when this run began
	peers []wire.MemberID
	read  map[wire.MemberID]cursor // how far each peer's log was read
}

// cursor is how far a peer's log was read.
type cursor struct {
	boot     int64  // of the peer's run
	number   uint64 // of the last entry read
	complete bool   // the peer had no further entries then
}

// NewExchange returns an exchange of a log with peers, for a run that began at boot.
func NewExchange(log *Log, boot time.Time, peers []wire.MemberID) *Exchange {
	return &Exchange{log: log, boot: boot, peers: peers, read: map[wire.MemberID]cursor{}}
}

// Complete reports whether the log holds what the peers kept when this controller started, or they had
// time enough to share it.
func (x *Exchange) Complete(now time.Time) bool {
	return now.Sub(x.boot) > exchangeTimeout ||
		!slices.ContainsFunc(x.peers, func(id wire.MemberID) bool { return !x.read[id].complete })
}

// Request sets in a question to a peer how far its log was read.
func (x *Exchange) Request(to wire.MemberID, ask *peer.Status) {
	at := x.read[to]
	ask.CompletedBoot, ask.CompletedTo = at.boot, at.number
}

// Answer sets in the answer to a peer's question the entries that the peer has not read yet.
func (x *Exchange) Answer(ask peer.Status, answer *peer.Status, now time.Time) {
	number := uint64(0)
	if ask.CompletedBoot == x.boot.UnixMilli() {
		number = ask.CompletedTo
	}
	answer.CompletedBoot = x.boot.UnixMilli()
	answer.Completed, answer.CompletedTo = x.log.Since(number, maxShared, now)
}

// Merge adds the completions in a peer's answer that the records may lack, which lacking reports, to the
// log; unsynced as in Log.Add.
func (x *Exchange) Merge(s *peer.Status, lacking func(peer.Completion) bool, unsynced bool, now time.Time) {
	if s.CompletedBoot == 0 {
		return // an earlier version, or a published status
	}
	x.read[s.Member] = cursor{s.CompletedBoot, s.CompletedTo, len(s.Completed) < maxShared}
	for _, c := range s.Completed {
		if lacking(c) {
			x.log.Add(c, unsynced, now)
		}
	}
}
