// Package topologytracker is the component of a controller that locates machines in the topology that operators
// declared, if any, and detects its failed blocks. Every controller evaluates the heartbeats that it and its peers
// received, so that a new leader has the health of the blocks at once. A failed block does not prove that its machines
// have ended: it only receives no new work.
//
// A Tracker has no lock of its own. Its methods are called under the watch cache's lock, except for WatchFile, Watch,
// SetTree and Topology, which take that lock.
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

// watchInterval is the time between two evaluations of the blocks.
const watchInterval = time.Second

// Tracker locates machines and tracks the health of their blocks.
type Tracker struct {
	settings   *settings.Settings
	cache      *watchcache.Cache
	membership *membership.Membership
	registry   *reconcile.Registry
	failures   *crashloop.Tracker
	stats      *metrics.Set
	log        *slog.Logger
	onChange   func() // invalidates placements computed with the previous topology or block health

	tree                 *topology.Tree // nil: no topology is declared
	health               *topology.Health
	silenceCountsFrom    time.Time       // silence of machines before then is not counted
	pendingPartitions    []gangPartition // not yet attributed
	attributedPartitions []gangPartition // attributed to a block, shared with peers for partitionShareDuration
	unlocatedMachines    int
}

// New returns a tracker without a topology. onChange is called, under the watch cache's lock, whenever blocks become
// usable or unusable.
func New(
	set *settings.Settings,
	cache *watchcache.Cache,
	members *membership.Membership,
	registry *reconcile.Registry,
	failures *crashloop.Tracker,
	onChange func(),
	stats *metrics.Set,
	log *slog.Logger,
) *Tracker {
	return &Tracker{
		settings:   set,
		cache:      cache,
		membership: members,
		registry:   registry,
		failures:   failures,
		onChange:   onChange,
		stats:      stats,
		log:        log,
	}
}

// Tree returns the declared topology, nil if there is none.
func (t *Tracker) Tree() *topology.Tree { return t.tree }

// CountFailedBlocks returns the number of failed blocks.
func (t *Tracker) CountFailedBlocks() int {
	if t.tree == nil {
		return 0
	}
	return len(t.health.DownBlocks())
}

// CountUnlocatedMachines returns the number of machines that the topology does not locate.
func (t *Tracker) CountUnlocatedMachines() int { return t.unlocatedMachines }

// SetTree replaces the topology and resets the health of its blocks. Silent machines still get no work in the meantime.
func (t *Tracker) SetTree(tree *topology.Tree) {
	t.cache.Lock()
	defer t.cache.Unlock()
	t.tree, t.health = tree, topology.NewHealth(tree, t.settings.HeartbeatTimeout())
	t.silenceCountsFrom, t.pendingPartitions, t.attributedPartitions = time.Now(), nil, nil
	t.onChange()
}

// Locate returns the block of a machine, and whether the block is up.
func (t *Tracker) Locate(id wire.MachineID, endpoint string, zone wire.Zone) (b topology.Block, up bool) {
	if t.tree == nil {
		return 0, true
	}
	b, _ = t.tree.Locate(id, endpoint, zone)
	return b, !t.health.Down(b)
}

// WatchFile reads the topology file whenever it changes or a signal arrives on reload, until ctx ends. If the file is
// invalid or missing, the last valid topology stays in force.
func (t *Tracker) WatchFile(ctx context.Context, path string, reload <-chan os.Signal) error {
	return configfile.Follow(ctx, path, reload, func() {
		tree, err := Read(path, t.settings.Cluster.Zones)
		if err != nil {
			t.stats.Add("topology_reloads_failed_total", 1)
			t.log.Error("topology not taken; the one before stays", "err", strings.ReplaceAll(err.Error(), "\n", "; "))
			return
		}
		t.SetTree(tree)
		t.stats.Add("topology_reloads_total", 1)
		t.log.Info("topology read", "file", path, "blocks", len(tree.Blocks()))
	})
}

// Watch evaluates the blocks every watchInterval, until ctx ends.
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

// DetectFailedBlocks evaluates the blocks by the heartbeats of their machines. The caller holds the watch cache's
// lock.
func (t *Tracker) DetectFailedBlocks(now time.Time) {
	t.silenceCountsFrom = t.membership.SilenceCountsFrom(t.silenceCountsFrom, t.cache.SyncedAt(), now)
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
	for _, change := range t.health.DetectFailedBlocks(now, t.silenceCountsFrom, located) {
		t.reportChange(change)
		t.onChange()
	}
}

// reportChange logs and counts a change of a block's state.
func (t *Tracker) reportChange(change topology.BlockStateChange) {
	attributes := []any{
		"block", t.tree.Path(change.Block), "level", t.tree.Level(change.Block),
		"machines", change.Machines, "silent", change.Silent,
	}
	switch {
	case change.Down && change.Gangs > 0:
		t.log.Warn("block avoided: gangs lose mates there", append(attributes, "gangs", change.Gangs)...)
	case change.Down:
		t.log.Warn("block failed: its machines fell silent together", attributes...)
	default:
		t.log.Info("block is used again", attributes...)
	}
	if change.Down {
		t.stats.Add("blocks_failed_total", 1)
	}
}

// BlockOf returns the path of the block of a registered worker's machine; "" without a topology.
func (t *Tracker) BlockOf(w *reconcile.Worker) string {
	if t.tree == nil {
		return ""
	}
	b, _ := t.tree.Locate(w.ID, w.Addr, w.Zone)
	return t.tree.Path(b)
}

// EndpointOf returns the endpoint of a worker, which peers need to locate its machine; "" without a topology.
func (t *Tracker) EndpointOf(w *reconcile.Worker) string {
	if t.tree == nil {
		return ""
	}
	return w.Addr
}

// Read reads and validates a topology file. Errors name file, line and reason.
func Read(path string, zones []wire.Zone) (*topology.Tree, error) {
	return configfile.Read(path, func(b []byte) (*topology.Tree, error) { return topology.Parse(b, zones) })
}
