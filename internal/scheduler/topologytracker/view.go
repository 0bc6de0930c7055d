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

// microsPerUnit converts resources, which are counted in millionths, to the protocol's decimals.
const microsPerUnit = 1e6

// Topology describes the declared topology, its machines and the gangs on them, as this controller
// knows them; false while no topology is declared or the records are not loaded. snapshot is called under
// the watch cache's lock.
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
		tree:    t.tree,
		records: t.cache.Records(),
		last:    t.collectHeartbeats(t.cache.Records(), now),
		index:   map[topology.Block]int{},
	}
	v.addBlocks(t.health)
	for _, id := range slices.Sorted(maps.Keys(v.last)) {
		v.addMachine(id, snapshot(now).Machine(id))
	}
	v.records.EachActive(v.addGang)
	slices.SortFunc(v.out.Gangs, func(a, b wire.GangView) int { return cmp.Compare(a.Job, b.Job) })
	return v.out, true
}

// viewBuilder collects the description of a topology.
type viewBuilder struct {
	tree    *topology.Tree
	records *ledger.Ledger
	last    heartbeats
	index   map[topology.Block]int // of blocks in the description
	out     wire.TopologyView
}

func (v *viewBuilder) addBlocks(health *topology.Health) {
	for i, b := range v.tree.Blocks() {
		v.index[b] = i
		v.out.Blocks = append(v.out.Blocks, wire.BlockView{
			Path:  v.tree.Path(b),
			Level: v.tree.Level(b),
			Down:  health.Down(b),
		})
	}
}

// addMachine adds a machine, and counts it in the blocks that it is in. placed is the machine in the
// scheduler's snapshot; nil: it is not there.
func (v *viewBuilder) addMachine(id wire.MachineID, placed *placement.Machine) {
	block, known := v.tree.Locate(id, v.last[id].endpoint, v.last[id].zone)
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
		counts := &v.out.Blocks[v.index[block]]
		counts.Machines++
		if len(claims) == 0 {
			counts.Empty++
		}
	}
	v.out.Machines = append(v.out.Machines, m)
}

// addGang adds a job if it is a gang of several tasks that has claims.
func (v *viewBuilder) addGang(j *ledger.Job) {
	if j.Spec.Shape != wire.Gang || j.Spec.Tasks < 2 || j.Claimed == 0 {
		return
	}
	g := wire.GangView{Job: j.ID, Tasks: j.Claimed}
	var blocks []topology.Block
	var counts []int
	j.Claims(func(claim ledger.Claim) bool {
		block, _ := v.tree.Locate(claim.Machine, v.last[claim.Machine].endpoint, claim.Zone)
		blocks, counts = append(blocks, block), append(counts, claim.Count)
		g.Machines = append(g.Machines, claim.Machine)
		return true
	})
	common := blocks[0]
	for _, b := range blocks {
		common = v.tree.Common(common, b)
	}
	g.Block, g.Cost = v.tree.Path(common), v.tree.CostOf(blocks, counts).Stated()
	v.out.Gangs = append(v.out.Gangs, g)
}
