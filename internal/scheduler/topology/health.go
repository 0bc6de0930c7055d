package topology

import (
	"maps"
	"slices"
	"time"

	"maddermill/wire"
)

// Judging a block takes some machines: a block of two that are silent may as well be two
// machines that failed.
const (
	fewToJudge = 3
	mostSilent = 0.8 // of a block's machines, for the block to be at fault
	otherHeard = 0.5 // of all other machines, for the silence not to be the observer's own
	fewParted  = 3   // gangs that lost mates in a block whose machines answer
	partedFor  = 2 * time.Minute
	longestBad = 5 * time.Minute
	steadyFor  = 10 * time.Minute // without a fault until earlier ones are forgotten
)

// MachineHeartbeat is a machine as its silence is judged by.
type MachineHeartbeat struct {
	Block Block
	At    time.Time // its last report
}

// Verdict is a change of a block's standing.
type Verdict struct {
	Block    Block
	Down     bool
	Machines int // in the block, by which it was judged
	Silent   int
	Gangs    int // that lost mates there, if that was the reason
}

// Health judges blocks by what their machines have in common. It is not safe for
// concurrent use. Nothing that it says is a proof about a machine.
type Health struct {
	t      *Tree
	silent time.Duration // after which a machine counts as silent
	state  map[Block]*standing
	parted map[Block]map[wire.JobID]time.Time
	doubt  map[Block]time.Time // since when blocks look as if they had failed
}

type standing struct {
	down  bool
	since time.Time // down or up since
	back  time.Time // its machines are heard again since; zero: they are not
	until time.Time // not up before, for lost mates
	gangs int
	falls int // faults since it was last steady
}

// NewHealth returns a judge to whom all blocks are up. silent is how long a machine that
// works may leave between two reports, at the most.
func NewHealth(t *Tree, silent time.Duration) *Health {
	return &Health{
		t:      t,
		silent: silent,
		state:  map[Block]*standing{},
		parted: map[Block]map[wire.JobID]time.Time{},
		doubt:  map[Block]time.Time{},
	}
}

// Down reports whether a block, or one that it is in, has failed as far as is known.
func (h *Health) Down(b Block) bool {
	for ; b != 0; b = h.t.blocks[b].parent {
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

// ObservePartition notes that a gang in a block lost mates although all its machines answer.
func (h *Health) ObservePartition(b Block, gang wire.JobID, at time.Time) {
	if b == 0 {
		return
	}
	if h.parted[b] == nil {
		h.parted[b] = map[wire.JobID]time.Time{}
	}
	if at.After(h.parted[b][gang]) {
		h.parted[b][gang] = at
	}
}

type tally struct {
	known, silent int
	first, last   time.Time // of the silent ones' last reports
}

// DetectFailedBlocks looks at all machines and tells which blocks' standing changes. settled is since
// when the observer itself has been in touch without a break: a silence that began
// before is its own.
//
// A block has failed if most of its machines fell silent within about two reports of
// each other while most other machines are heard, and that has been so for a report; of
// nested blocks the outermost that this is true of. It is up again once at least half of its machines have been heard for
// a while, which doubles with each fault. Machines that have left say nothing any more.
func (h *Health) DetectFailedBlocks(now, settled time.Time, machines []MachineHeartbeat) []Verdict {
	tallies := map[Block]*tally{}
	var all tally
	for _, m := range machines {
		quiet := now.Sub(m.At) > h.silent
		all.note(m.At, quiet)
		for b := m.Block; b != 0; b = h.t.blocks[b].parent {
			if tallies[b] == nil {
				tallies[b] = new(tally)
			}
			tallies[b].note(m.At, quiet)
		}
	}
	var out []Verdict
	own := now.Sub(settled) <= h.silent
	for _, b := range slices.Sorted(maps.Keys(tallies)) { // outer blocks come first
		s, c := h.state[b], tallies[b]
		if own || s != nil && s.down || h.Down(b) {
			continue
		}
		if gangs := h.gangsParted(b, now); gangs >= fewParted {
			out = append(out, h.fall(b, now, c, gangs))
			continue
		}
		others := all.known - c.known
		heard := others - (all.silent - c.silent)
		if c.known < fewToJudge || float64(c.silent) < mostSilent*float64(c.known) ||
			heard < fewToJudge || float64(heard) < otherHeard*float64(others) || c.last.Sub(c.first) > 2*h.silent {
			delete(h.doubt, b)
			continue
		}
		if h.doubt[b].IsZero() {
			h.doubt[b] = now
		}
		// The first of its racks falls silent a report before the last one of a switch.
		if !h.doubted(h.t.blocks[b].parent) && now.Sub(h.doubt[b]) >= h.silent*3/4 {
			out = append(out, h.fall(b, now, c, 0))
		}
	}
	if own {
		clear(h.doubt)
	}
	for _, b := range slices.Sorted(maps.Keys(h.state)) {
		if v, changed := h.recover(b, now, tallies[b], own); changed {
			out = append(out, v)
		}
	}
	return out
}

// doubted reports whether a block, or one that it is in, looks as if it had failed.
func (h *Health) doubted(b Block) bool {
	for ; b != 0; b = h.t.blocks[b].parent {
		if !h.doubt[b].IsZero() {
			return true
		}
	}
	return false
}

func (c *tally) note(at time.Time, quiet bool) {
	c.known++
	if !quiet {
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

// gangsParted counts the gangs that lost mates in a block lately.
func (h *Health) gangsParted(b Block, now time.Time) int {
	for gang, at := range h.parted[b] {
		if now.Sub(at) > partedFor {
			delete(h.parted[b], gang)
		}
	}
	return len(h.parted[b])
}

func (h *Health) fall(b Block, now time.Time, c *tally, gangs int) Verdict {
	s := h.state[b]
	if s == nil {
		s = new(standing)
		h.state[b] = s
	}
	s.down, s.since, s.back, s.gangs = true, now, time.Time{}, gangs
	s.falls++
	delete(h.doubt, b)
	if gangs > 0 {
		s.until = now.Add(min(longestBad, partedFor<<min(s.falls-1, 4)))
		delete(h.parted, b)
	}
	return Verdict{Block: b, Down: true, Machines: c.known, Silent: c.silent, Gangs: gangs}
}

// rest is how long machines of a block that failed must be heard before it is used.
func (h *Health) rest(s *standing) time.Duration {
	return min(longestBad, h.silent<<min(s.falls-1, 8))
}

func (h *Health) recover(b Block, now time.Time, c *tally, own bool) (Verdict, bool) {
	s := h.state[b]
	if !s.down {
		if now.Sub(s.since) > steadyFor {
			delete(h.state, b)
		}
		return Verdict{}, false
	}
	if c == nil {
		// All its machines have left. What comes up there next is looked at anew.
		if now.Sub(s.since) > steadyFor {
			delete(h.state, b)
			return Verdict{Block: b}, true
		}
		return Verdict{}, false
	}
	if 2*c.silent > c.known {
		if !own {
			s.back = time.Time{}
		}
		return Verdict{}, false
	}
	if s.back.IsZero() {
		s.back = now
	}
	if now.Sub(s.back) < h.rest(s) || now.Before(s.until) {
		return Verdict{}, false
	}
	s.down, s.since, s.gangs = false, now, 0
	return Verdict{Block: b, Machines: c.known, Silent: c.silent}, true
}
