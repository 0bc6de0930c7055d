package completion

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/wire"
)

// maxPerResponse limits the completions in one probe response.
const maxPerResponse = 500

// exchangeTimeout is how long after startup a controller waits to read all peers' logs. After that it assumes
// that a task without a known completion ended without one. Peers are probed every second.
const exchangeTimeout = 2500 * time.Millisecond

// Exchange sends the entries of a log to the peers and merges theirs. A probe carries the position up to
// which the sender has read the peer's log, so each run of a peer receives each entry once.
type Exchange struct {
	log       *Log
	startedAt time.Time // start of this process
	peers     []wire.MemberID
	cursors   map[wire.MemberID]cursor // read position in each peer's log
}

// cursor is the read position in a peer's log.
type cursor struct {
	boot     int64  // identifies the peer's run; see peer.Status
	number   uint64 // sequence number of the last entry read
	complete bool   // the last response contained all remaining entries
}

// NewExchange returns an exchange of log with peers, for a process that started at startedAt.
func NewExchange(log *Log, startedAt time.Time, peers []wire.MemberID) *Exchange {
	return &Exchange{log: log, startedAt: startedAt, peers: peers, cursors: map[wire.MemberID]cursor{}}
}

// Complete reports whether the log holds all completions that the peers knew when this controller started,
// or exchangeTimeout has passed since.
func (x *Exchange) Complete(now time.Time) bool {
	return now.Sub(x.startedAt) > exchangeTimeout ||
		!slices.ContainsFunc(x.peers, func(id wire.MemberID) bool { return !x.cursors[id].complete })
}

// FillProbe sets the read position in the peer's log in a probe.
func (x *Exchange) FillProbe(to wire.MemberID, probe *peer.Status) {
	read := x.cursors[to]
	probe.CompletionsBoot, probe.LastCompletion = read.boot, read.number
}

// FillResponse adds the log entries that the peer has not read yet to the response to its probe.
func (x *Exchange) FillResponse(probe peer.Status, response *peer.Status, now time.Time) {
	number := uint64(0)
	if probe.CompletionsBoot == x.startedAt.UnixMilli() {
		number = probe.LastCompletion
	}
	response.CompletionsBoot = x.startedAt.UnixMilli()
	response.Completions, response.LastCompletion = x.log.Since(number, maxPerResponse, now)
}

// Merge adds those completions of a peer's response to the log for which maybeUnrecorded returns true.
// unsynced has the same meaning as in Log.Add.
func (x *Exchange) Merge(s *peer.Status, maybeUnrecorded func(peer.Completion) bool, unsynced bool, now time.Time) {
	if s.CompletionsBoot == 0 {
		return // sent by an earlier version, or read from the state service
	}
	x.cursors[s.Member] = cursor{s.CompletionsBoot, s.LastCompletion, len(s.Completions) < maxPerResponse}
	for _, c := range s.Completions {
		if maybeUnrecorded(c) {
			x.log.Add(c, unsynced, now)
		}
	}
}
