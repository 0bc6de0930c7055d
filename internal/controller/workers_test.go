package controller

import (
	"context"
	"time"

	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// runWorker runs the heartbeat loop of a worker. The worker reports to one controller, and switches to
// another after an error or a missing response.
func (cluster *testCluster) runWorker(ctx context.Context, machine *emulator.Machine) {
	at, retry := cluster.randomInt(cluster.size), false
	for ctx.Err() == nil && !machine.Gone() {
		if !retry { // after an error the next controller is tried after one second
			interval := int(cluster.settings(0).Cluster.Workers.Report.Duration() / time.Millisecond)
			wait.For(ctx, time.Duration(interval*3/4+cluster.randomInt(interval/2))*time.Millisecond)
		}
		retry = false
		heartbeat, sentAt := machine.Heartbeat()
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
			// The worker times out waiting for the response and switches to another controller.
			at = (at + 1 + cluster.randomInt(cluster.size-1)) % cluster.size
			wait.For(ctx, 4*time.Second)
			continue
		}
		if cluster.duplicateMessages && cluster.randomInt(3) == 0 {
			cluster.duplicateHeartbeat(ctx, *heartbeat)
		}
		result := c.Heartbeats.Heartbeat(ctx, heartbeat)
		switch {
		case result.Status != 200:
			at, retry = (at+1)%cluster.size, true
			wait.For(ctx, time.Second)
		case cluster.responseIsLost(machine, at):
		default:
			machine.HandleResponse(sentAt, heartbeat.Epoch, result.Response)
		}
	}
}

// delayHeartbeat reports whether a heartbeat is delayed, and if so delivers it later: to a paused
// controller after its pause, otherwise after a random delay if the controller is then up.
func (cluster *testCluster) delayHeartbeat(
	ctx context.Context,
	c *Controller,
	at int,
	heartbeat *wire.Heartbeat,
) bool {
	delayed := *heartbeat
	if d := cluster.links[at].Frozen(); d > 0 {
		cluster.group.Go(func() {
			wait.For(ctx, d+time.Duration(cluster.randomInt(900))*time.Millisecond)
			_ = c.Heartbeats.Heartbeat(ctx, &delayed)
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
			_ = c.Heartbeats.Heartbeat(ctx, &delayed)
		}
	})
	return true
}

// duplicateHeartbeat delivers a heartbeat again, to a random controller after up to 45 s.
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

// responseIsLost reports whether the response of controller at to a machine's heartbeat is lost.
func (cluster *testCluster) responseIsLost(machine *emulator.Machine, at int) bool {
	cluster.mu.Lock()
	unreachable := cluster.losesResponses[machine.Type.ID]
	cluster.mu.Unlock()
	return unreachable ||
		!cluster.reliableMessages && cluster.randomInt(15) == 0 ||
		cluster.links[at].Frozen() > 0
}

// reaches reports whether a machine's heartbeats reach controller at.
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

// captureHeartbeat stores a copy of a heartbeat while replayHeartbeats is capturing.
func (cluster *testCluster) captureHeartbeat(heartbeat *wire.Heartbeat) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.capturing {
		cluster.captured = append(cluster.captured, *heartbeat)
	}
}

// replayHeartbeats copies all heartbeats for the time length. All copies are delivered to every
// controller at the given time after the next leader election.
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
