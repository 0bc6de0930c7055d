package topologytracker

import (
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/scheduler/topology"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

const (
	// maxPendingPartitions bounds the partitions that are not attributed yet.
	maxPendingPartitions = 100
	// partitionShareDuration is how long an attributed partition is reported to peers.
	partitionShareDuration = 2 * time.Minute
)

// gangPartition is the loss of connections within a gang none of whose tasks ended.
type gangPartition struct {
	job      wire.JobID
	block    topology.Block // the innermost block with all its machines, once attributed
	machines []wire.MachineID
	at       time.Time
}

// ObservePartition records that a gang's task lost its peers, unless the gang was preempted or one of its tasks
// failed, either of which explains the loss.
func (t *Tracker) ObservePartition(j *ledger.Job, attempt wire.Attempt, now time.Time) {
	if t.tree == nil || j.Stop >= attempt || t.failures.HasFailures(j.ID) {
		return
	}
	isPending := func(g gangPartition) bool { return g.job == j.ID }
	if len(t.pendingPartitions) >= maxPendingPartitions || slices.ContainsFunc(t.pendingPartitions, isPending) {
		return
	}
	g := gangPartition{job: j.ID, at: now}
	j.Claims(func(cl ledger.Claim) bool {
		g.machines = append(g.machines, cl.Machine)
		return cl.Attempt == attempt
	})
	t.pendingPartitions = append(t.pendingPartitions, g)
}

// attributePartitions attributes each pending partition to the innermost block that contains all machines of the gang.
// It waits until a failed machine would have been noticed, and drops partitions that such a failure explains.
func (t *Tracker) attributePartitions(now time.Time, all heartbeats) {
	t.pendingPartitions = slices.DeleteFunc(t.pendingPartitions, func(g gangPartition) bool {
		if now.Sub(g.at) < 2*t.settings.HeartbeatTimeout() {
			return false
		}
		if block, ok := t.commonBlock(&g, all); ok && block != 0 && !t.failures.HasFailures(g.job) {
			g.block = block
			t.health.ObservePartition(g.block, g.job, g.at)
			t.attributedPartitions = append(t.attributedPartitions, g)
		}
		return true
	})
	t.attributedPartitions = slices.DeleteFunc(t.attributedPartitions, func(g gangPartition) bool {
		return now.Sub(g.at) > partitionShareDuration
	})
}

// commonBlock returns the innermost block that contains all machines of the gang. ok is false if the gang has no
// machines, or if one of them has ended, is being reclaimed or has fallen silent, which explains the partition.
func (t *Tracker) commonBlock(g *gangPartition, all heartbeats) (common topology.Block, ok bool) {
	for i, id := range g.machines {
		h, known := all[id]
		if !known || h.reclaimed || h.at.Before(g.at.Add(t.settings.HeartbeatTimeout()/2)) {
			return 0, false
		}
		block, _ := t.tree.Locate(id, h.endpoint, h.zone)
		if i == 0 {
			common = block
		}
		common = t.tree.Common(common, block)
	}
	return common, len(g.machines) > 0
}

// Partitions lists the recently attributed partitions, for sharing with peers.
func (t *Tracker) Partitions(now time.Time) []peer.GangPartition {
	var out []peer.GangPartition
	for _, g := range t.attributedPartitions {
		out = append(out, peer.GangPartition{
			Job:   g.job,
			Block: t.tree.Path(g.block),
			AgeMS: now.Sub(g.at).Milliseconds(),
		})
	}
	return out
}

// MergePartitions records the partitions that a peer shared. asOf is when the peer was queried.
func (t *Tracker) MergePartitions(list []peer.GangPartition, asOf time.Time) {
	if t.tree == nil {
		return
	}
	for _, x := range list {
		if b, ok := t.tree.ByPath(x.Block); ok {
			t.health.ObservePartition(b, x.Job, asOf.Add(-time.Duration(x.AgeMS)*time.Millisecond))
		}
	}
}
