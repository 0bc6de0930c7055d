package topology

import (
	"maps"
	"slices"
	"time"

	"maddermill/wire"
)

// A block of two silent machines may as well be two machines that failed: judging a block takes some.
const (
	minMachinesToJudge      = 3
	minSilentShare          = 0.8 // of a block's machines, for the block to have failed
	minOthersReachableShare = 0.5 // of all other machines, or the silence is the observer's own
	minPartitionedGangs     = 3   // gangs that lost peers in a block whose machines send heartbeats
	partitionMemory         = 2 * time.Minute
	maxBackoff              = 5 * time.Minute
	forgetFaultsAfter       = 10 * time.Minute // without a fault
)

// MachineHeartbeat is the last heartbeat of a machine in a block.
type MachineHeartbeat struct {
	Block Block
	At    time.Time
}

// Verdict is a change of a block's state.
type Verdict struct {
	Block    Block
	Down     bool
	Machines int // in the block, by which it was judged
	Silent   int
	Gangs    int // that lost peers there, if that was the reason
}

// Health detects failed blocks by what their machines have in common. It is not safe for concurrent use.
// A verdict is no proof of a machine's end.
type Health struct {
	tree           *Tree
	silentAfter    time.Duration // after which a machine counts as silent
	state          map[Block]*blockState
	partitions     map[Block]map[wire.JobID]time.Time
	suspectedSince map[Block]time.Time // since when blocks look as if they had failed
}

// blockState is the state of a block that has failed lately.
type blockState struct {
	down           bool
	since          time.Time // down or up since
	reachableSince time.Time // its machines send heartbeats again since; zero: they do not
	downUntil      time.Time // for partitioned gangs: not up before
	gangs          int
	faults         int // since forgetFaultsAfter last passed without one
}

// NewHealth returns the health of a tree all blocks of which are up. silentAfter is the longest time
// between two heartbeats of a machine that works.
func NewHealth(t *Tree, silentAfter time.Duration) *Health {
	return &Health{
		tree:           t,
		silentAfter:    silentAfter,
		state:          map[Block]*blockState{},
		partitions:     map[Block]map[wire.JobID]time.Time{},
		suspectedSince: map[Block]time.Time{},
	}
}

// Down reports whether a block, or one that it is in, is known to have failed.
func (h *Health) Down(b Block) bool {
	for ; b != 0; b = h.tree.blocks[b].parent {
		if s := h.state[b]; s != nil && s.down {
			return true
		}
	}
	return false
}

// DownBlocks lists the blocks that have failed by themselves.
func (h *Health) DownBlocks() []Block {
	var out []Block
	for b, s := range h.state {
		if s.down {
			out = append(out, b)
		}
	}
	slices.Sort(out)
	return out
}

// ObservePartition records that a gang in a block lost peers although all its machines send heartbeats.
func (h *Health) ObservePartition(b Block, gang wire.JobID, at time.Time) {
	if b == 0 {
		return
	}
	if h.partitions[b] == nil {
		h.partitions[b] = map[wire.JobID]time.Time{}
	}
	if at.After(h.partitions[b][gang]) {
		h.partitions[b][gang] = at
	}
}

// silenceCount counts the silent machines of a block.
type silenceCount struct {
	known, silent int
	first, last   time.Time // of the silent ones' last heartbeats
}

// DetectFailedBlocks returns the blocks whose state changes, by the last heartbeats of all machines.
// silenceFrom is since when the observer itself has been connected without a break: a silence that began
// before is its own.
//
// A block has failed if most of its machines fell silent within about two heartbeats of each other while
// most other machines are reachable, and that has been so for about a heartbeat; of nested blocks the
// outermost that this is true of. It is up again once at least half of its machines have been reachable
// for a while, which doubles with each fault. Machines that have left don't count.
func (h *Health) DetectFailedBlocks(now, silenceFrom time.Time, machines []MachineHeartbeat) []Verdict {
	counts, all := h.countSilence(now, machines)
	observerSilent := now.Sub(silenceFrom) <= h.silentAfter
	var out []Verdict
	for _, b := range slices.Sorted(maps.Keys(counts)) { // outer blocks come first
		if observerSilent || h.Down(b) {
			continue
		}
		if gangs := h.countPartitionedGangs(b, now); gangs >= minPartitionedGangs {
			out = append(out, h.markFailed(b, now, counts[b], gangs))
		} else if h.silentForLong(b, now, counts[b], all) {
			out = append(out, h.markFailed(b, now, counts[b], 0))
		}
	}
	if observerSilent {
		clear(h.suspectedSince)
	}
	for _, b := range slices.Sorted(maps.Keys(h.state)) {
		if v, changed := h.tryRecover(b, now, counts[b], observerSilent); changed {
			out = append(out, v)
		}
	}
	return out
}

// countSilence counts the machines and the silent ones, block by block and in all.
func (h *Health) countSilence(
	now time.Time,
	machines []MachineHeartbeat,
) (byBlock map[Block]*silenceCount, all silenceCount) {
	byBlock = map[Block]*silenceCount{}
	for _, m := range machines {
		silent := now.Sub(m.At) > h.silentAfter
		all.observe(m.At, silent)
		for b := m.Block; b != 0; b = h.tree.blocks[b].parent {
			if byBlock[b] == nil {
				byBlock[b] = new(silenceCount)
			}
			byBlock[b].observe(m.At, silent)
		}
	}
	return byBlock, all
}

// silentForLong reports whether a block's machines fell silent together, which no outer block explains,
// and remembers since when it is suspected.
func (h *Health) silentForLong(b Block, now time.Time, count *silenceCount, all silenceCount) bool {
	if !h.fellSilent(count, all) {
		delete(h.suspectedSince, b)
		return false
	}
	if h.suspectedSince[b].IsZero() {
		h.suspectedSince[b] = now
	}
	// The first rack of a switch falls silent a heartbeat before the last one.
	return !h.suspected(h.tree.blocks[b].parent) && now.Sub(h.suspectedSince[b]) >= h.silentAfter*3/4
}

// fellSilent reports whether most machines of a block fell silent within about two heartbeats of each
// other, while most others are reachable.
func (h *Health) fellSilent(count *silenceCount, all silenceCount) bool {
	others := all.known - count.known
	reachable := others - (all.silent - count.silent)
	return count.known >= minMachinesToJudge && float64(count.silent) >= minSilentShare*float64(count.known) &&
		reachable >= minMachinesToJudge && float64(reachable) >= minOthersReachableShare*float64(others) &&
		count.last.Sub(count.first) <= 2*h.silentAfter
}

// suspected reports whether a block, or one that it is in, is suspected to have failed.
func (h *Health) suspected(b Block) bool {
	for ; b != 0; b = h.tree.blocks[b].parent {
		if !h.suspectedSince[b].IsZero() {
			return true
		}
	}
	return false
}

// observe counts a machine by its last heartbeat.
func (c *silenceCount) observe(at time.Time, silent bool) {
	c.known++
	if !silent {
		return
	}
	c.silent++
	if c.first.IsZero() || at.Before(c.first) {
		c.first = at
	}
	if at.After(c.last) {
		c.last = at
	}
}

// countPartitionedGangs counts the gangs that lost peers in a block within partitionMemory.
func (h *Health) countPartitionedGangs(b Block, now time.Time) int {
	for gang, at := range h.partitions[b] {
		if now.Sub(at) > partitionMemory {
			delete(h.partitions[b], gang)
		}
	}
	return len(h.partitions[b])
}

// markFailed takes a block for failed; gangs is how many lost peers there, if that is the reason.
func (h *Health) markFailed(b Block, now time.Time, c *silenceCount, gangs int) Verdict {
	s := h.state[b]
	if s == nil {
		s = new(blockState)
		h.state[b] = s
	}
	s.down, s.since, s.reachableSince, s.gangs = true, now, time.Time{}, gangs
	s.faults++
	delete(h.suspectedSince, b)
	if gangs > 0 {
		s.downUntil = now.Add(min(maxBackoff, partitionMemory<<min(s.faults-1, 4)))
		delete(h.partitions, b)
	}
	return Verdict{Block: b, Down: true, Machines: c.known, Silent: c.silent, Gangs: gangs}
}

// recoveryTime returns how long the machines of a failed block must be reachable before it is used.
func (h *Health) recoveryTime(s *blockState) time.Duration {
	return min(maxBackoff, h.silentAfter<<min(s.faults-1, 8))
}

// tryRecover takes a failed block for up again if that is due, and forgets faults that are long past.
func (h *Health) tryRecover(b Block, now time.Time, c *silenceCount, observerSilent bool) (Verdict, bool) {
	s := h.state[b]
	if !s.down {
		if now.Sub(s.since) > forgetFaultsAfter {
			delete(h.state, b)
		}
		return Verdict{}, false
	}
	if c == nil {
		// All its machines have left. What boots there next is judged anew.
		if now.Sub(s.since) > forgetFaultsAfter {
			delete(h.state, b)
			return Verdict{Block: b}, true
		}
		return Verdict{}, false
	}
	if 2*c.silent > c.known {
		if !observerSilent {
			s.reachableSince = time.Time{}
		}
		return Verdict{}, false
	}
	if s.reachableSince.IsZero() {
		s.reachableSince = now
	}
	if now.Sub(s.reachableSince) < h.recoveryTime(s) || now.Before(s.downUntil) {
		return Verdict{}, false
	}
	s.down, s.since, s.gangs = false, now, 0
	return Verdict{Block: b, Machines: c.known, Silent: c.silent}, true
}
