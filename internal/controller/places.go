package controller

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/mesh"
	"maddermill/internal/topology"
	"maddermill/internal/workers"
	"maddermill/wire"
)

// places is what a controller knows of where machines are and of how blocks of them
// fare, if operators have declared a topology. Each controller judges by what it and its
// peers hear, so that whoever leads next has watched all along. Nothing here is a proof:
// what is believed of a block only keeps new work away from it.
type places struct {
	tree    *topology.Tree // nil: no topology is declared
	health  *topology.Health
	settled time.Time // since when silence counts
	partedQ []parting // yet to be judged
	parted  []parting // told to peers for a while
	unknown int       // machines of unknown place
}

// parting is a gang that lost mates.
type parting struct {
	job      wire.JobID
	block    topology.Block // that all its machines were in
	machines []wire.MachineID
	at       time.Time
}

// SetTopology takes over a declared topology. What was judged of blocks before is
// forgotten; machines that are silent get nothing all the same.
func (c *Core) SetTopology(t *topology.Tree) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.places.tree, c.places.health = t, topology.NewHealth(t, c.silentAfter())
	c.places.settled, c.places.partedQ, c.places.parted = time.Now(), nil, nil
	c.seen = nil
}

// silentAfter is how long a machine that works may leave between two reports.
func (c *Core) silentAfter() time.Duration {
	return 2*c.set.Cluster.Workers.Report.Duration() + 2*time.Second
}

// locate is the block that a machine is in, and whether nothing is known against it.
func (c *Core) locate(id wire.MachineID, endpoint string, zone wire.Zone) (b topology.Block, up bool) {
	if c.places.tree == nil {
		return 0, true
	}
	b, _ = c.places.tree.Locate(id, endpoint, zone)
	return b, !c.places.health.Down(b)
}

// WatchTopology reads the topology's file again when it changes, or when told to by again,
// until ctx ends. A file that is wrong, or gone, leaves what was read last in force.
func (c *Core) WatchTopology(ctx context.Context, path string, again <-chan os.Signal) error {
	last := fileStamp(path)
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		told := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again:
			told = true
		case <-tick.C:
		}
		stamp := fileStamp(path)
		if stamp == last && !told {
			continue
		}
		last = stamp
		t, err := ReadTopology(path, c.set.Cluster.Zones)
		if err != nil {
			c.Stats.Add("topology_reloads_failed_total", 1)
			c.log.Error("topology not taken; the one before stays", "err", strings.ReplaceAll(err.Error(), "\n", "; "))
			continue
		}
		c.SetTopology(t)
		c.Stats.Add("topology_reloads_total", 1)
		c.log.Info("topology read", "file", path, "blocks", len(t.Blocks()))
	}
}

func fileStamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime(), info.Mode(), info.Size())
}

// watchPlaces judges blocks once a second.
func (c *Core) watchPlaces(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, time.Second)
		c.mu.Lock()
		if c.places.tree != nil && c.loaded {
			c.judgePlaces(time.Now())
		}
		c.mu.Unlock()
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
func (c *Core) heardAll(now time.Time) map[wire.MachineID]lastHeard {
	out := make(map[wire.MachineID]lastHeard, len(c.workers))
	note := func(id wire.MachineID, h lastHeard) {
		if c.led.Mark(id) == "" && !h.at.Before(out[id].at) {
			out[id] = h
		}
	}
	for id, w := range c.workers {
		note(id, lastHeard{w.Addr, w.Zone, w.Heard, !w.Recall.IsZero()})
	}
	for _, p := range c.peers {
		quiet := now.Sub(p.asked)
		looking := quiet > 4*time.Second && quiet < c.silentAfter()+c.set.ReportGrace()
		for i := range p.status.Machines {
			m := &p.status.Machines[i]
			at := p.asked.Add(-time.Duration(m.AgeMS) * time.Millisecond)
			if known, ok := out[m.ID]; looking && (!ok || !known.at.After(at)) {
				delete(out, m.ID)
				continue
			}
			note(m.ID, lastHeard{m.Endpoint, m.Zone, at, m.Recall != 0})
		}
	}
	return out
}

func (c *Core) judgePlaces(now time.Time) {
	p := &c.places
	if now.Sub(c.contact) > 3*time.Second {
		p.settled = now // out of touch, or all are: no silence counts
	}
	if since := c.awake(now); since.After(p.settled) {
		p.settled = since
	}
	all := c.heardAll(now)
	p.unknown = 0
	list := make([]topology.Heard, 0, len(all))
	for id, h := range all {
		b, known := p.tree.Locate(id, h.endpoint, h.zone)
		if !known {
			p.unknown++
		}
		list = append(list, topology.Heard{Block: b, At: h.at})
	}
	c.judgePartings(now, all)
	for _, v := range p.health.Judge(now, p.settled, list) {
		args := []any{"block", p.tree.Path(v.Block), "level", p.tree.Level(v.Block), "machines", v.Machines, "silent", v.Silent}
		switch {
		case v.Down && v.Gangs > 0:
			c.log.Warn("block avoided: gangs lose mates there", append(args, "gangs", v.Gangs)...)
		case v.Down:
			c.log.Warn("block failed: its machines fell silent together", args...)
		default:
			c.log.Info("block is used again", args...)
		}
		if v.Down {
			c.Stats.Add("blocks_failed_total", 1)
		}
		c.seen = nil
	}
}

// parts notes that a gang's task lost its mates, unless the gang was told to stop, or one
// of its tasks failed: then that is why.
func (c *Core) parts(j *ledger.Job, attempt wire.Attempt, now time.Time) {
	p := &c.places
	if p.tree == nil || j.Stop >= attempt || len(c.notes(j.ID).failures.on) > 0 ||
		slices.ContainsFunc(p.partedQ, func(o parting) bool { return o.job == j.ID }) || len(p.partedQ) >= mostTold {
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
func (c *Core) judgePartings(now time.Time, all map[wire.MachineID]lastHeard) {
	p := &c.places
	p.partedQ = slices.DeleteFunc(p.partedQ, func(g parting) bool {
		if now.Sub(g.at) < 2*c.silentAfter() {
			return false
		}
		first := true
		for _, id := range g.machines {
			h, ok := all[id]
			if !ok || h.recall || h.at.Before(g.at.Add(c.silentAfter()/2)) {
				return true // this machine is why
			}
			b, _ := p.tree.Locate(id, h.endpoint, h.zone)
			if first {
				g.block, first = b, false
			}
			g.block = p.tree.Common(g.block, b)
		}
		if !first && g.block != 0 && len(c.notes(g.job).failures.on) == 0 {
			p.health.Parted(g.block, g.job, g.at)
			p.parted = append(p.parted, g)
		}
		return true
	})
	p.parted = slices.DeleteFunc(p.parted, func(g parting) bool { return now.Sub(g.at) > 2*time.Minute })
}

// partings are told to peers.
func (c *Core) partings(now time.Time) []mesh.Parting {
	var out []mesh.Parting
	for _, g := range c.places.parted {
		out = append(out, mesh.Parting{Job: g.job, Block: c.places.tree.Path(g.block), AgeMS: now.Sub(g.at).Milliseconds()})
	}
	return out
}

func (c *Core) hearPartings(list []mesh.Parting, asked time.Time) {
	if c.places.tree == nil {
		return
	}
	for _, x := range list {
		if b, ok := c.places.tree.ByPath(x.Block); ok {
			c.places.health.Parted(b, x.Job, asked.Add(-time.Duration(x.AgeMS)*time.Millisecond))
		}
	}
}

// endpointOf is what peers are told of a worker's endpoint: nothing while no topology
// asks for it.
func (c *Core) endpointOf(w *workers.Worker) string {
	if c.places.tree == nil {
		return ""
	}
	return w.Addr
}

// ReadTopology reads and checks a topology's file. An error names file, line and reason.
func ReadTopology(path string, zones []wire.Zone) (*topology.Tree, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	t, err := topology.Parse(b, zones)
	if err != nil {
		return nil, &fileError{path, err}
	}
	return t, nil
}

type fileError struct {
	path string
	err  error
}

func (e *fileError) Error() string {
	return e.path + ": " + strings.ReplaceAll(e.err.Error(), "\n", "\n"+e.path+": ")
}
func (e *fileError) Unwrap() error { return e.err }

// Topology tells of the declared topology, its machines and the gangs on them, as this
// controller sees them. It tells false while there is none.
func (c *Core) Topology(now time.Time) (wire.TopologyView, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.places.tree
	if t == nil || !c.loaded {
		return wire.TopologyView{}, false
	}
	var v wire.TopologyView
	at := map[topology.Block]int{}
	for i, b := range t.Blocks() {
		at[b] = i
		v.Blocks = append(v.Blocks, wire.BlockView{Path: t.Path(b), Level: t.Level(b), Down: c.places.health.Down(b)})
	}
	all := c.heardAll(now)
	for _, id := range slices.Sorted(maps.Keys(all)) {
		b, known := t.Locate(id, all[id].endpoint, all[id].zone)
		m := wire.MachineView{Machine: id}
		if known {
			m.Block = t.Path(b)
		}
		if p := c.view(now).Machine(id); p != nil {
			m.Usable, m.CPUs, m.GPUs, m.RAM = p.Usable, float64(p.Free.CPU)/1e6, float64(p.Free.GPU)/1e6, float64(p.Free.Memory)/1e6
		}
		held := c.led.HeldBy(id)
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
	c.led.Active(func(j *ledger.Job) {
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
