package controller

import (
	"context"
	"time"

	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// runWorker is the heartbeat loop of a worker. It reports to one controller, and to another one
// after an error or a missing response.
func (cluster *testCluster) runWorker(ctx context.Context, machine *emulator.Machine) {
	at, retry := cluster.randomInt(cluster.size), false
	for ctx.Err() == nil && !machine.Gone() {
		if !retry { // after an error the next controller is tried a second later
			interval := int(cluster.settings(0).Cluster.Workers.Report.Duration() / time.Millisecond)
			wait.For(ctx, time.Duration(interval*3/4+cluster.randomInt(interval/2))*time.Millisecond)
		}
		retry = false
		heartbeat, begun := machine.Heartbeat()
		if heartbeat == nil {
			continue
		}
		if cluster.onHeartbeat != nil {
			cluster.onHeartbeat(at, heartbeat)
		}
		cluster.captureHeartbeat(heartbeat)
		c := cluster.controller(at)
		if c == nil || !cluster.reaches(machine, at) {
			at, retry = (at+1)%cluster.size, true
			wait.For(ctx, time.Second)
			continue
		}
		if cluster.delayHeartbeat(ctx, c, at, heartbeat) {
			// The worker gives up waiting for the response and goes on elsewhere.
			at = (at + 1 + cluster.randomInt(cluster.size-1)) % cluster.size
			wait.For(ctx, 4*time.Second)
			continue
		}
		if cluster.duplicateMessages && cluster.randomInt(3) == 0 {
			cluster.duplicateHeartbeat(ctx, *heartbeat)
		}
		answer := c.Heartbeats.Heartbeat(ctx, heartbeat)
		switch {
		case answer.Status != 200:
			at, retry = (at+1)%cluster.size, true
			wait.For(ctx, time.Second)
		case cluster.responseIsLost(machine, at):
		default:
			machine.Answer(begun, heartbeat.Epoch, answer.Response)
		}
	}
}

// delayHeartbeat reports whether a heartbeat is delayed, and delivers it later if so: to a paused
// process when it runs again, else at random.
func (cluster *testCluster) delayHeartbeat(
	ctx context.Context,
	c *Controller,
	at int,
	heartbeat *wire.Heartbeat,
) bool {
	late := *heartbeat
	if d := cluster.links[at].Frozen(); d > 0 {
		cluster.group.Go(func() {
			wait.For(ctx, d+time.Duration(cluster.randomInt(900))*time.Millisecond)
			_ = c.Heartbeats.Heartbeat(ctx, &late)
		})
		return true
	}
	if cluster.reliableMessages || cluster.randomInt(12) != 0 {
		return false
	}
	delay := time.Duration(1+cluster.randomInt(40)) * time.Second
	cluster.group.Go(func() {
		wait.For(ctx, delay)
		if c := cluster.controller(at); c != nil {
			_ = c.Heartbeats.Heartbeat(ctx, &late)
		}
	})
	return true
}

// duplicateHeartbeat delivers a heartbeat once more, some time later, to any controller.
func (cluster *testCluster) duplicateHeartbeat(ctx context.Context, heartbeat wire.Heartbeat) {
	to := cluster.randomInt(cluster.size)
	delay := time.Duration(1+cluster.randomInt(45_000)) * time.Millisecond
	cluster.group.Go(func() {
		wait.For(ctx, delay)
		if c := cluster.controller(to); c != nil {
			_ = c.Heartbeats.Heartbeat(ctx, &heartbeat)
		}
	})
}

// responseIsLost reports whether the response of a controller to a machine's heartbeat is lost.
func (cluster *testCluster) responseIsLost(machine *emulator.Machine, at int) bool {
	cluster.mu.Lock()
	always := cluster.losesResponses[machine.Type.ID]
	cluster.mu.Unlock()
	return always ||
		!cluster.reliableMessages && cluster.randomInt(15) == 0 ||
		cluster.links[at].Frozen() > 0
}

// reaches reports whether a machine's heartbeats reach a controller.
func (cluster *testCluster) reaches(machine *emulator.Machine, at int) bool {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if inside, partitioned := cluster.partitionedZones[machine.Type.Zone]; partitioned && inside != at {
		return false
	}
	for zone, inside := range cluster.partitionedZones {
		if inside == at && machine.Type.Zone != zone {
			return false
		}
	}
	return !cluster.losesHeartbeats[machine.Type.ID]
}

// captureHeartbeat keeps a copy of a heartbeat while replayHeartbeats wants it.
func (cluster *testCluster) captureHeartbeat(heartbeat *wire.Heartbeat) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.capturing {
		cluster.captured = append(cluster.captured, *heartbeat)
	}
}

// replayHeartbeats copies all heartbeats for a while. All copies arrive at every controller so long
// after the next election of a leader.
func (cluster *testCluster) replayHeartbeats(ctx context.Context, length, after time.Duration) {
	cluster.mu.Lock()
	cluster.capturing, cluster.captured = true, nil
	cluster.mu.Unlock()
	wait.For(ctx, length)
	cluster.mu.Lock()
	cluster.capturing = false
	captured := cluster.captured
	cluster.mu.Unlock()
	for _, before := cluster.leadership(); ctx.Err() == nil; wait.For(ctx, 10*time.Millisecond) {
		if at, now := cluster.leadership(); at >= 0 && now > before {
			break
		}
	}
	wait.For(ctx, after)
	for _, heartbeat := range captured {
		for i := range cluster.size {
			if c := cluster.controller(i); c != nil {
				cluster.group.Go(func() {
					replayed := heartbeat
					_ = c.Heartbeats.Heartbeat(ctx, &replayed)
				})
			}
		}
		wait.For(ctx, time.Millisecond)
	}
}
