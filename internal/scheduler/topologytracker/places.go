// Package topologytracker is the part of a controller that knows where machines are, if operators have
// declared a topology, and how blocks of them fare. Each controller judges by what it and its
// peers hear, so that whoever leads next has watched all along. Nothing here is a proof: what
// is believed of a block only keeps new work away from it.
//
// It has no lock: but for its duties, it is used under the mirror's.
package topologytracker

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/settings/configfile"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Tracker is that part of a controller.
type Tracker struct {
	set     *settings.Settings
	mirror  *watchcache.Cache
	members *membership.Membership
	roster  *reconcile.Registry
	book    *crashloop.Tracker
	stats   *metrics.Set
	log     *slog.Logger
	changed func() // what is placed by this is to be looked at anew

	tree    *topology.Tree // nil: no topology is declared
	health  *topology.Health
	settled time.Time // since when silence counts
	partedQ []parting // yet to be judged
	parted  []parting // told to peers for a while
	unknown int       // machines of unknown place
}

// New returns places without a topology. changed is called, under the mirror's lock, whenever
// other places may be used than before.
func New(
	set *settings.Settings,
	mir *watchcache.Cache,
	m *membership.Membership,
	r *reconcile.Registry,
	b *crashloop.Tracker,
	changed func(),
	stats *metrics.Set,
	log *slog.Logger,
) *Tracker {
	return &Tracker{set: set, mirror: mir, members: m, roster: r, book: b, changed: changed, stats: stats, log: log}
}

// mostParted bounds the partings that wait to be judged.
const mostParted = 100

// Tree is the declared topology; nil: there is none.
func (p *Tracker) Tree() *topology.Tree { return p.tree }

// CountDown counts the blocks that are avoided, and Unknown the machines of unknown place.
func (p *Tracker) CountDown() int {
	if p.tree == nil {
		return 0
	}
	return len(p.health.DownBlocks())
}

// CountUnknown counts the machines whose place the topology doesn't tell.
func (p *Tracker) CountUnknown() int { return p.unknown }

// parting is a gang that lost mates.
type parting struct {
	job      wire.JobID
	block    topology.Block // that all its machines were in
	machines []wire.MachineID
	at       time.Time
}

// Set takes over a declared topology. What was judged of blocks before is
// forgotten; machines that are silent get nothing all the same.
func (p *Tracker) Set(t *topology.Tree) {
	p.mirror.Lock()
	defer p.mirror.Unlock()
	p.tree, p.health = t, topology.NewHealth(t, p.set.SilentAfter())
	p.settled, p.partedQ, p.parted = time.Now(), nil, nil
	p.changed()
}

// Locate is the block that a machine is in, and whether nothing is known against it.
func (p *Tracker) Locate(id wire.MachineID, endpoint string, zone wire.Zone) (b topology.Block, up bool) {
	if p.tree == nil {
		return 0, true
	}
	b, _ = p.tree.Locate(id, endpoint, zone)
	return b, !p.health.Down(b)
}

// Reload reads the topology's file again when it changes, or when told to by again,
// until ctx ends. A file that is wrong, or gone, leaves what was read last in force.
func (p *Tracker) Reload(ctx context.Context, path string, again <-chan os.Signal) error {
	return configfile.Follow(ctx, path, again, func() {
		t, err := Read(path, p.set.Cluster.Zones)
		if err != nil {
			p.stats.Add("topology_reloads_failed_total", 1)
			p.log.Error("topology not taken; the one before stays", "err", strings.ReplaceAll(err.Error(), "\n", "; "))
			return
		}
		p.Set(t)
		p.stats.Add("topology_reloads_total", 1)
		p.log.Info("topology read", "file", path, "blocks", len(t.Blocks()))
	})
}

// Watch judges blocks once a second.
func (p *Tracker) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		p.mirror.Lock()
		if p.tree != nil && p.mirror.Loaded() {
			p.DetectFailedBlocks(time.Now())
		}
		p.mirror.Unlock()
	}
	return ctx.Err()
}

// lastHeard is a machine's last report, by whichever controller heard it.
type lastHeard struct {
	endpoint string
	zone     wire.Zone
	at       time.Time
	recall   bool
}

// heardAll lists all machines that were heard lately and are not on their way out. Those
// held by a peer that is itself silent are left out while they may yet be looking for
// another controller: their silence is not theirs.
func (p *Tracker) heardAll(l *ledger.Ledger, now time.Time) map[wire.MachineID]lastHeard {
	out := make(map[wire.MachineID]lastHeard, p.roster.Len())
	note := func(id wire.MachineID, h lastHeard) {
		if l.MachinePhase(id) == "" && !h.at.Before(out[id].at) {
			out[id] = h
		}
	}
	p.roster.Each(func(w *reconcile.Worker) {
		note(w.ID, lastHeard{w.Addr, w.Zone, w.LastHeartbeat, !w.ReclaimAt.IsZero()})
	})
	for _, o := range p.members.Peers() {
		quiet := now.Sub(o.AsOf)
		looking := quiet > 4*time.Second && quiet < p.set.SilentAfter()+p.set.HeartbeatGrace()
		for i := range o.Status.Machines {
			m := &o.Status.Machines[i]
			at := o.HeartbeatAt(m)
			if known, ok := out[m.ID]; looking && (!ok || !known.at.After(at)) {
				delete(out, m.ID)
				continue
			}
			note(m.ID, lastHeard{m.Endpoint, m.Zone, at, m.ReclaimMS != 0})
		}
	}
	return out
}

// DetectFailedBlocks judges blocks by what was heard of their machines, under the mirror's lock. Watch does
// so once a second.
func (p *Tracker) DetectFailedBlocks(now time.Time) {
	l := p.mirror.Records()
	p.settled = p.members.SilenceCountsFrom(p.settled, p.mirror.SyncedAt(), now)
	all := p.heardAll(l, now)
	p.unknown = 0
	list := make([]topology.MachineHeartbeat, 0, len(all))
	for id, h := range all {
		b, known := p.tree.Locate(id, h.endpoint, h.zone)
		if !known {
			p.unknown++
		}
		list = append(list, topology.MachineHeartbeat{Block: b, At: h.at})
	}
	p.judgePartings(now, all)
	for _, v := range p.health.DetectFailedBlocks(now, p.settled, list) {
		args := []any{
			"block",
			p.tree.Path(v.Block),
			"level",
			p.tree.Level(v.Block),
			"machines",
			v.Machines,
			"silent",
			v.Silent,
		}
		switch {
		case v.Down && v.Gangs > 0:
			p.log.Warn("block avoided: gangs lose mates there", append(args, "gangs", v.Gangs)...)
		case v.Down:
			p.log.Warn("block failed: its machines fell silent together", args...)
		default:
			p.log.Info("block is used again", args...)
		}
		if v.Down {
			p.stats.Add("blocks_failed_total", 1)
		}
		p.changed()
	}
}

// ObservePartition notes that a gang's task lost its mates, unless the gang was told to stop, or one
// of its tasks failed: then that is why.
func (p *Tracker) ObservePartition(j *ledger.Job, attempt wire.Attempt, now time.Time) {
	if p.tree == nil || j.Stop >= attempt || p.book.Failing(j.ID) ||
		slices.ContainsFunc(p.partedQ, func(o parting) bool { return o.job == j.ID }) || len(p.partedQ) >= mostParted {
		return
	}
	g := parting{job: j.ID, at: now}
	j.Claims(func(cl ledger.Claim) bool {
		g.machines = append(g.machines, cl.Machine)
		return cl.Attempt == attempt
	})
	p.partedQ = append(p.partedQ, g)
}

// judgePartings tells partings that a block is to blame for from those that the end of a
// machine explains, once that would have shown.
func (p *Tracker) judgePartings(now time.Time, all map[wire.MachineID]lastHeard) {
	p.partedQ = slices.DeleteFunc(p.partedQ, func(g parting) bool {
		if now.Sub(g.at) < 2*p.set.SilentAfter() {
			return false
		}
		first := true
		for _, id := range g.machines {
			h, ok := all[id]
			if !ok || h.recall || h.at.Before(g.at.Add(p.set.SilentAfter()/2)) {
				return true // this machine is why
			}
			b, _ := p.tree.Locate(id, h.endpoint, h.zone)
			if first {
				g.block, first = b, false
			}
			g.block = p.tree.Common(g.block, b)
		}
		if !first && g.block != 0 && !p.book.Failing(g.job) {
			p.health.ObservePartition(g.block, g.job, g.at)
			p.parted = append(p.parted, g)
		}
		return true
	})
	p.parted = slices.DeleteFunc(p.parted, func(g parting) bool { return now.Sub(g.at) > 2*time.Minute })
}

// Partitions are told to peers.
func (p *Tracker) Partitions(now time.Time) []peer.GangPartition {
	var out []peer.GangPartition
	for _, g := range p.parted {
		out = append(out, peer.GangPartition{Job: g.job, Block: p.tree.Path(g.block), AgeMS: now.Sub(g.at).Milliseconds()})
	}
	return out
}

func (p *Tracker) MergePartitions(list []peer.GangPartition, asked time.Time) {
	if p.tree == nil {
		return
	}
	for _, x := range list {
		if b, ok := p.tree.ByPath(x.Block); ok {
			p.health.ObservePartition(b, x.Job, asked.Add(-time.Duration(x.AgeMS)*time.Millisecond))
		}
	}
}

// BlockOf is the path of the block that a machine held here is in; "" without a topology.
func (p *Tracker) BlockOf(w *reconcile.Worker) string {
	if p.tree == nil {
		return ""
	}
	b, _ := p.tree.Locate(w.ID, w.Addr, w.Zone)
	return p.tree.Path(b)
}

// EndpointOf is what peers are told of a worker's endpoint: nothing while no topology
// asks for it.
func (p *Tracker) EndpointOf(w *reconcile.Worker) string {
	if p.tree == nil {
		return ""
	}
	return w.Addr
}

// Read reads and checks a topology's file. An error names file, line and reason.
func Read(path string, zones []wire.Zone) (*topology.Tree, error) {
	return configfile.Read(path, func(b []byte) (*topology.Tree, error) { return topology.Parse(b, zones) })
}

// Topology tells of the declared topology, its machines and the gangs on them, as this
// controller sees them. It tells false while there is none.
func (p *Tracker) Topology(now time.Time, view func(now time.Time) *placement.Snapshot) (wire.TopologyView, bool) {
	p.mirror.Lock()
	defer p.mirror.Unlock()
	l := p.mirror.Records()
	t := p.tree
	if t == nil || !p.mirror.Loaded() {
		return wire.TopologyView{}, false
	}
	var v wire.TopologyView
	at := map[topology.Block]int{}
	for i, b := range t.Blocks() {
		at[b] = i
		v.Blocks = append(v.Blocks, wire.BlockView{Path: t.Path(b), Level: t.Level(b), Down: p.health.Down(b)})
	}
	all := p.heardAll(l, now)
	for _, id := range slices.Sorted(maps.Keys(all)) {
		b, known := t.Locate(id, all[id].endpoint, all[id].zone)
		m := wire.MachineView{Machine: id}
		if known {
			m.Block = t.Path(b)
		}
		if seen := view(now).Machine(id); seen != nil {
			m.Usable, m.CPUs, m.GPUs, m.RAM = seen.Usable, float64(
				seen.Free.CPU,
			)/1e6, float64(
				seen.Free.GPU,
			)/1e6, float64(
				seen.Free.Memory,
			)/1e6
		}
		held := l.ClaimsOn(id)
		for _, h := range held {
			if !slices.Contains(m.Jobs, h.Job.ID) {
				m.Jobs = append(m.Jobs, h.Job.ID)
			}
		}
		for ; b != 0; b = t.Parent(b) {
			v.Blocks[at[b]].Machines++
			if len(held) == 0 {
				v.Blocks[at[b]].Empty++
			}
		}
		v.Machines = append(v.Machines, m)
	}
	l.EachActive(func(j *ledger.Job) {
		if j.Spec.Shape != wire.Gang || j.Spec.Tasks < 2 || j.Claimed == 0 {
			return
		}
		g := wire.GangView{Job: j.ID, Tasks: j.Claimed}
		var on []topology.Block
		var counts []int
		j.Claims(func(cl ledger.Claim) bool {
			h := all[cl.Machine]
			b, _ := t.Locate(cl.Machine, h.endpoint, cl.Zone)
			on, counts = append(on, b), append(counts, cl.Count)
			g.Machines = append(g.Machines, cl.Machine)
			return true
		})
		common := on[0]
		for _, b := range on {
			common = t.Common(common, b)
		}
		g.Block, g.Cost = t.Path(common), t.CostOf(on, counts).Stated()
		v.Gangs = append(v.Gangs, g)
	})
	slices.SortFunc(v.Gangs, func(a, b wire.GangView) int { return cmp.Compare(a.Job, b.Job) })
	return v, true
}
