package topologytracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"maddermill/internal/scheduler/placement"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// microsPerUnit converts resources, which are counted in millionths, to the units of the protocol.
const microsPerUnit = 1e6

// Topology returns the declared topology, its machines and the gangs on them, as this controller knows them; false
// while no topology is declared or the records are not loaded. snapshot is called under the watch cache's lock.
func (t *Tracker) Topology(
	now time.Time,
	snapshot func(now time.Time) *placement.Snapshot,
) (wire.TopologyView, bool) {
	t.cache.Lock()
	defer t.cache.Unlock()
	if t.tree == nil || !t.cache.Loaded() {
		return wire.TopologyView{}, false
	}
	v := viewBuilder{
		tree:       t.tree,
		records:    t.cache.Records(),
		heartbeats: t.collectHeartbeats(t.cache.Records(), now),
		blockIndex: map[topology.Block]int{},
	}
	v.addBlocks(t.health)
	for _, id := range slices.Sorted(maps.Keys(v.heartbeats)) {
		v.addMachine(id, snapshot(now).Machine(id))
	}
	v.records.EachActive(v.addGang)
	slices.SortFunc(v.view.Gangs, func(a, b wire.GangView) int { return cmp.Compare(a.Job, b.Job) })
	return v.view, true
}

// viewBuilder builds a wire.TopologyView.
type viewBuilder struct {
	tree       *topology.Tree
	records    *ledger.Ledger
	heartbeats heartbeats
	blockIndex map[topology.Block]int // indexes of blocks in view.Blocks
	view       wire.TopologyView
}

// addBlocks adds all blocks, without counts of machines.
func (v *viewBuilder) addBlocks(health *topology.Health) {
	for i, b := range v.tree.Blocks() {
		v.blockIndex[b] = i
		v.view.Blocks = append(v.view.Blocks, wire.BlockView{
			Path:  v.tree.Path(b),
			Level: v.tree.Level(b),
			Down:  health.Down(b),
		})
	}
}

// addMachine adds a machine and counts it in its block and the ancestors of that. placed is the machine in the
// scheduler's snapshot, nil if it is missing there.
func (v *viewBuilder) addMachine(id wire.MachineID, placed *placement.Machine) {
	block, known := v.tree.Locate(id, v.heartbeats[id].endpoint, v.heartbeats[id].zone)
	m := wire.MachineView{Machine: id}
	if known {
		m.Block = v.tree.Path(block)
	}
	if placed != nil {
		m.Usable = placed.Usable
		m.CPUs = float64(placed.Free.CPU) / microsPerUnit
		m.GPUs = float64(placed.Free.GPU) / microsPerUnit
		m.RAM = float64(placed.Free.Memory) / microsPerUnit
	}
	claims := v.records.ClaimsOn(id)
	for _, claim := range claims {
		if !slices.Contains(m.Jobs, claim.Job.ID) {
			m.Jobs = append(m.Jobs, claim.Job.ID)
		}
	}
	for ; block != 0; block = v.tree.Parent(block) {
		counts := &v.view.Blocks[v.blockIndex[block]]
		counts.Machines++
		if len(claims) == 0 {
			counts.Empty++
		}
	}
	v.view.Machines = append(v.view.Machines, m)
}

// addGang adds a job if it is a gang of several tasks that holds claims.
func (v *viewBuilder) addGang(j *ledger.Job) {
	if j.Spec.Shape != wire.Gang || j.Spec.Tasks < 2 || j.Claimed == 0 {
		return
	}
	g := wire.GangView{Job: j.ID, Tasks: j.Claimed}
	var blocks []topology.Block
	var counts []int
	j.Claims(func(claim ledger.Claim) bool {
		block, _ := v.tree.Locate(claim.Machine, v.heartbeats[claim.Machine].endpoint, claim.Zone)
		blocks, counts = append(blocks, block), append(counts, claim.Count)
		g.Machines = append(g.Machines, claim.Machine)
		return true
	})
	common := blocks[0]
	for _, b := range blocks {
		common = v.tree.Common(common, b)
	}
	g.Block, g.Cost = v.tree.Path(common), v.tree.PlacementCost(blocks, counts).FileUnits()
	v.view.Gangs = append(v.view.Gangs, g)
}
