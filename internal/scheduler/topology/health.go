package topology

import (
	"maps"
	"slices"
	"time"

	"maddermill/wire"
)

const (
	// minMachinesForDetection is the least number of machines in a block, and of reachable machines outside it. Two
	// silent machines may as well be two independent failures.
	minMachinesForDetection = 3
	minSilentShare          = 0.8             // of a block's machines, for the block to count as failed
	minOthersReachableShare = 0.5             // of all other machines; with fewer, the observer itself may be disconnected
	minPartitionedGangs     = 3               // gangs that lost peers in a block whose machines still send heartbeats
	partitionWindow         = 2 * time.Minute // how long a gang's loss of peers counts; also the initial backoff for it
	maxBackoff              = 5 * time.Minute
	forgetFaultsAfter       = 10 * time.Minute // of being up, or of being down without machines
)

// MachineHeartbeat is the block of a machine and the time of its last heartbeat.
type MachineHeartbeat struct {
	Block Block
	At    time.Time
}

// BlockStateChange is a change of a block's state.
type BlockStateChange struct {
	Block    Block
	Down     bool
	Machines int // in the block
	Silent   int
	Gangs    int // gangs that lost peers in the block, if that was the reason
}

// Health detects failed blocks from correlated failures of their machines. It is not safe for concurrent use.
// A failed block does not prove that its machines have ended.
type Health struct {
	tree           *Tree
	silentAfter    time.Duration // time without a heartbeat after which a machine counts as silent
	state          map[Block]*blockState
	partitions     map[Block]map[wire.JobID]time.Time // when gangs last lost peers in a block
	suspectedSince map[Block]time.Time                // when the machines of a block were first found silent together
}

// blockState is the state of a block that is down or was so recently.
type blockState struct {
	down           bool
	since          time.Time // time of the last change of down
	reachableSince time.Time // when its machines were found reachable again; zero: they are not
	downUntil      time.Time // the block stays down until then, if partitioned gangs were the reason
	gangs          int       // gangs that lost peers in the block, if that was the reason
	faults         int       // number of faults, reset after forgetFaultsAfter without one
}

// NewHealth returns a Health for a tree, with all blocks up. silentAfter is the longest time between two heartbeats
// of a working machine.
func NewHealth(t *Tree, silentAfter time.Duration) *Health {
	return &Health{
		tree:           t,
		silentAfter:    silentAfter,
		state:          map[Block]*blockState{},
		partitions:     map[Block]map[wire.JobID]time.Time{},
		suspectedSince: map[Block]time.Time{},
	}
}

// Down reports whether a block or one of its ancestors has failed.
func (h *Health) Down(b Block) bool {
	for ; b != 0; b = h.tree.blocks[b].parent {
		if s := h.state[b]; s != nil && s.down {
			return true
		}
	}
	return false
}

// DownBlocks lists the failed blocks, without those of which only an ancestor has failed.
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

// ObservePartition records that a gang in a block lost peers although all of its machines still send heartbeats.
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

// silenceCount counts the machines of a block and the silent ones among them.
type silenceCount struct {
	known, silent int
	first, last   time.Time // earliest and latest last heartbeat of the silent machines
}

// DetectFailedBlocks returns the blocks whose state changes, given the last heartbeats of all machines.
// connectedSince is the start of the observer's present uninterrupted connection: until silentAfter has passed since
// then, silence may be caused by the observer's own disconnection and is not evaluated.
//
// A block has failed if most of its machines fell silent within about two heartbeats of each other, most other
// machines are reachable, and both have been true for about one heartbeat. Of nested blocks that meet this, only the
// outermost one fails. A block also fails if minPartitionedGangs gangs lost peers in it (ObservePartition). It is up
// again once at least half of its machines have been reachable for some time, which doubles with each fault. Machines
// that have left the cluster don't count.
func (h *Health) DetectFailedBlocks(now, connectedSince time.Time, machines []MachineHeartbeat) []BlockStateChange {
	counts, all := h.countSilence(now, machines)
	recentlyConnected := now.Sub(connectedSince) <= h.silentAfter
	var out []BlockStateChange
	for _, b := range slices.Sorted(maps.Keys(counts)) { // parents come before their children
		if recentlyConnected || h.Down(b) {
			continue
		}
		if gangs := h.countPartitionedGangs(b, now); gangs >= minPartitionedGangs {
			out = append(out, h.markFailed(b, now, counts[b], gangs))
		} else if h.failedBySilence(b, now, counts[b], all) {
			out = append(out, h.markFailed(b, now, counts[b], 0))
		}
	}
	if recentlyConnected {
		clear(h.suspectedSince)
	}
	for _, b := range slices.Sorted(maps.Keys(h.state)) {
		if change, changed := h.tryRecover(b, now, counts[b], recentlyConnected); changed {
			out = append(out, change)
		}
	}
	return out
}

// countSilence counts all machines and the silent ones, by block and in total.
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

// failedBySilence reports whether a block failed according to the silence of its machines. It tracks since when the
// block has been suspected. A block is not reported while one of its ancestors is suspected.
func (h *Health) failedBySilence(b Block, now time.Time, count *silenceCount, all silenceCount) bool {
	if !h.fellSilent(count, all) {
		delete(h.suspectedSince, b)
		return false
	}
	if h.suspectedSince[b].IsZero() {
		h.suspectedSince[b] = now
	}
	// Wait, since the machines of a failed switch fall silent up to one heartbeat apart: its first silent rack would
	// otherwise be reported in place of the switch.
	return !h.suspected(h.tree.blocks[b].parent) && now.Sub(h.suspectedSince[b]) >= h.silentAfter*3/4
}

// fellSilent reports whether most machines of a block fell silent within about two heartbeats of each other while
// most other machines are reachable.
func (h *Health) fellSilent(count *silenceCount, all silenceCount) bool {
	others := all.known - count.known
	reachable := others - (all.silent - count.silent)
	return count.known >= minMachinesForDetection && float64(count.silent) >= minSilentShare*float64(count.known) &&
		reachable >= minMachinesForDetection && float64(reachable) >= minOthersReachableShare*float64(others) &&
		count.last.Sub(count.first) <= 2*h.silentAfter
}

// suspected reports whether a block or one of its ancestors is suspected to have failed.
func (h *Health) suspected(b Block) bool {
	for ; b != 0; b = h.tree.blocks[b].parent {
		if !h.suspectedSince[b].IsZero() {
			return true
		}
	}
	return false
}

// observe counts a machine with its last heartbeat.
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

// countPartitionedGangs counts the gangs that lost peers in a block within partitionWindow and drops older ones.
func (h *Health) countPartitionedGangs(b Block, now time.Time) int {
	for gang, at := range h.partitions[b] {
		if now.Sub(at) > partitionWindow {
			delete(h.partitions[b], gang)
		}
	}
	return len(h.partitions[b])
}

// markFailed marks a block as failed. gangs is the number of gangs that lost peers in it, if that is the reason.
func (h *Health) markFailed(b Block, now time.Time, c *silenceCount, gangs int) BlockStateChange {
	s := h.state[b]
	if s == nil {
		s = new(blockState)
		h.state[b] = s
	}
	s.down, s.since, s.reachableSince, s.gangs = true, now, time.Time{}, gangs
	s.faults++
	delete(h.suspectedSince, b)
	if gangs > 0 {
		s.downUntil = now.Add(min(maxBackoff, partitionWindow<<min(s.faults-1, 4)))
		delete(h.partitions, b)
	}
	return BlockStateChange{Block: b, Down: true, Machines: c.known, Silent: c.silent, Gangs: gangs}
}

// recoveryTime returns how long the machines of a failed block must be reachable before it is up again.
func (h *Health) recoveryTime(s *blockState) time.Duration {
	return min(maxBackoff, h.silentAfter<<min(s.faults-1, 8))
}

// tryRecover marks a failed block as up again if it has recovered, and drops the state of blocks that have been up for
// forgetFaultsAfter. It returns the change, if any.
func (h *Health) tryRecover(b Block, now time.Time, c *silenceCount, recentlyConnected bool) (BlockStateChange, bool) {
	s := h.state[b]
	if !s.down {
		if now.Sub(s.since) > forgetFaultsAfter {
			delete(h.state, b)
		}
		return BlockStateChange{}, false
	}
	if c == nil {
		// All machines of the block have left. New ones start with a clean state.
		if now.Sub(s.since) > forgetFaultsAfter {
			delete(h.state, b)
			return BlockStateChange{Block: b}, true
		}
		return BlockStateChange{}, false
	}
	if 2*c.silent > c.known {
		if !recentlyConnected {
			s.reachableSince = time.Time{}
		}
		return BlockStateChange{}, false
	}
	if s.reachableSince.IsZero() {
		s.reachableSince = now
	}
	if now.Sub(s.reachableSince) < h.recoveryTime(s) || now.Before(s.downUntil) {
		return BlockStateChange{}, false
	}
	s.down, s.since, s.gangs = false, now, 0
	return BlockStateChange{Block: b, Machines: c.known, Silent: c.silent}, true
}
