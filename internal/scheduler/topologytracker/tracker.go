// Package topologytracker is the part of a controller that locates machines in the declared topology, if
// operators declared one, and detects blocks of it that failed. Every controller judges by the heartbeats
// that it and its peers received, so that the next leader has watched all along. Nothing here is a
// proof of a machine's end: a failed block only keeps new work away.
//
// A Tracker has no lock of its own. Its methods are called under the watch cache's lock, but for
// Reload, Watch, Set and Topology, which take it.
package topologytracker

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/settings/configfile"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// watchInterval is how often blocks are judged.
const watchInterval = time.Second

// Tracker locates machines and keeps what is known of the health of their blocks.
type Tracker struct {
	settings   *settings.Settings
	cache      *watchcache.Cache
	membership *membership.Membership
	registry   *reconcile.Registry
	failures   *crashloop.Tracker
	stats      *metrics.Set
	log        *slog.Logger
	changed    func() // invalidates placements made with the topology as it was

	tree                 *topology.Tree // nil: no topology is declared
	health               *topology.Health
	silenceFrom          time.Time       // silence of machines counts from then on
	pendingPartitions    []gangPartition // not yet attributed
	attributedPartitions []gangPartition // attributed to a block, shared with peers for shareFor
	unlocatedMachines    int
}

// New returns a tracker without a topology. changed is called, under the watch cache's lock, whenever
// blocks become usable or unusable.
func New(
	set *settings.Settings,
	cache *watchcache.Cache,
	members *membership.Membership,
	registry *reconcile.Registry,
	failures *crashloop.Tracker,
	changed func(),
	stats *metrics.Set,
	log *slog.Logger,
) *Tracker {
	return &Tracker{
		settings:   set,
		cache:      cache,
		membership: members,
		registry:   registry,
		failures:   failures,
		changed:    changed,
		stats:      stats,
		log:        log,
	}
}

// Tree is the declared topology; nil: there is none.
func (t *Tracker) Tree() *topology.Tree { return t.tree }

// CountDown counts the blocks that are avoided.
func (t *Tracker) CountDown() int {
	if t.tree == nil {
		return 0
	}
	return len(t.health.DownBlocks())
}

// CountUnknown counts the machines that the topology does not locate.
func (t *Tracker) CountUnknown() int { return t.unlocatedMachines }

// Set puts a declared topology in force. The health of blocks starts anew; silent machines get no
// work all the same.
func (t *Tracker) Set(tree *topology.Tree) {
	t.cache.Lock()
	defer t.cache.Unlock()
	t.tree, t.health = tree, topology.NewHealth(tree, t.settings.SilentAfter())
	t.silenceFrom, t.pendingPartitions, t.attributedPartitions = time.Now(), nil, nil
	t.changed()
}

// Locate returns the block that a machine is in, and whether the block is up.
func (t *Tracker) Locate(id wire.MachineID, endpoint string, zone wire.Zone) (b topology.Block, up bool) {
	if t.tree == nil {
		return 0, true
	}
	b, _ = t.tree.Locate(id, endpoint, zone)
	return b, !t.health.Down(b)
}

// Reload reads the topology's file again when it changes or again receives, until ctx ends. A file that
// is invalid or missing leaves the topology that was read last in force.
func (t *Tracker) Reload(ctx context.Context, path string, again <-chan os.Signal) error {
	return configfile.Follow(ctx, path, again, func() {
		tree, err := Read(path, t.settings.Cluster.Zones)
		if err != nil {
			t.stats.Add("topology_reloads_failed_total", 1)
			t.log.Error("topology not taken; the one before stays", "err", strings.ReplaceAll(err.Error(), "\n", "; "))
			return
		}
		t.Set(tree)
		t.stats.Add("topology_reloads_total", 1)
		t.log.Info("topology read", "file", path, "blocks", len(tree.Blocks()))
	})
}

// Watch detects failed blocks every watchInterval, until ctx ends.
func (t *Tracker) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, watchInterval)
		t.cache.Lock()
		if t.tree != nil && t.cache.Loaded() {
			t.DetectFailedBlocks(time.Now())
		}
		t.cache.Unlock()
	}
	return ctx.Err()
}

// DetectFailedBlocks judges blocks by the heartbeats of their machines, under the watch cache's lock.
// Watch does so every watchInterval.
func (t *Tracker) DetectFailedBlocks(now time.Time) {
	t.silenceFrom = t.membership.SilenceCountsFrom(t.silenceFrom, t.cache.SyncedAt(), now)
	all := t.collectHeartbeats(t.cache.Records(), now)
	t.unlocatedMachines = 0
	located := make([]topology.MachineHeartbeat, 0, len(all))
	for id, h := range all {
		block, known := t.tree.Locate(id, h.endpoint, h.zone)
		if !known {
			t.unlocatedMachines++
		}
		located = append(located, topology.MachineHeartbeat{Block: block, At: h.at})
	}
	t.attributePartitions(now, all)
	for _, verdict := range t.health.DetectFailedBlocks(now, t.silenceFrom, located) {
		t.report(verdict)
		t.changed()
	}
}

// report logs and counts a change of a block's health.
func (t *Tracker) report(v topology.Verdict) {
	attributes := []any{
		"block", t.tree.Path(v.Block), "level", t.tree.Level(v.Block), "machines", v.Machines, "silent", v.Silent,
	}
	switch {
	case v.Down && v.Gangs > 0:
		t.log.Warn("block avoided: gangs lose mates there", append(attributes, "gangs", v.Gangs)...)
	case v.Down:
		t.log.Warn("block failed: its machines fell silent together", attributes...)
	default:
		t.log.Info("block is used again", attributes...)
	}
	if v.Down {
		t.stats.Add("blocks_failed_total", 1)
	}
}

// BlockOf returns the path of the block that a registered worker's machine is in; "" without a topology.
func (t *Tracker) BlockOf(w *reconcile.Worker) string {
	if t.tree == nil {
		return ""
	}
	b, _ := t.tree.Locate(w.ID, w.Addr, w.Zone)
	return t.tree.Path(b)
}

// EndpointOf returns the endpoint to share with peers, which they need to locate the machine; "" without
// a topology.
func (t *Tracker) EndpointOf(w *reconcile.Worker) string {
	if t.tree == nil {
		return ""
	}
	return w.Addr
}

// Read reads and checks a topology's file. Its errors name file, line and reason.
func Read(path string, zones []wire.Zone) (*topology.Tree, error) {
	return configfile.Read(path, func(b []byte) (*topology.Tree, error) { return topology.Parse(b, zones) })
}
