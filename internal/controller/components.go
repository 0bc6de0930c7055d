package controller

import (
	"context"
	"fmt"
	"time"

	"maddermill/internal/leader"
	"maddermill/internal/membership/peer"
	"maddermill/internal/settings"
	"maddermill/internal/state/ledger"
	"maddermill/internal/supervise"
	"maddermill/internal/transport"
)

const (
	// unresponsiveAfter is how long a peer or the state service may not respond before a component reports
	// a health problem.
	unresponsiveAfter = 10 * time.Second
	// probeInterval is the interval between probes of a peer.
	probeInterval = time.Second
	// connectionsPerPeer and spareConnections limit the connections that the mesh listener accepts.
	connectionsPerPeer, spareConnections = 8, 16
)

// Run runs all components of the controller until ctx ends or one of them fails.
func (c *Controller) Run(ctx context.Context, dialer *transport.Dialer, cloud leader.Cloud) error {
	c.registerComponents(cloud)
	c.Components.Add(c.meshComponent())
	for _, p := range c.set.Peers {
		c.Components.Add(c.peerComponent(dialer, p))
	}
	return c.Components.Run(ctx)
}

// meshComponent returns the component that answers probes from peers.
func (c *Controller) meshComponent() supervise.Component {
	connections := connectionsPerPeer*len(c.set.Peers) + spareConnections
	return supervise.Component{Name: "mesh", Run: func(ctx context.Context) error {
		return transport.Serve(ctx, c.set.MeshAddr, connections, func(_ context.Context, conn *transport.Conn) {
			peer.Serve(conn, c.answerProbe)
		})
	}}
}

// peerComponent returns the component that probes a peer.
func (c *Controller) peerComponent(dialer *transport.Dialer, p settings.Peer) supervise.Component {
	return supervise.Component{
		Name: "peer " + string(p.Member),
		Run: func(ctx context.Context) error {
			probe := func() peer.Status { return c.probe(p.Member) }
			peer.Probe(ctx, dialer, p.Addr, probe, probeInterval, c.mergePeerStatus)
			return ctx.Err()
		},
		HealthProblem: func(now time.Time) string {
			answer := c.membership.Peer(p.Member)
			switch {
			case answer == nil:
				return "peer has not responded yet"
			case now.Sub(answer.AsOf) > unresponsiveAfter:
				return fmt.Sprintf("no response from peer for %v", now.Sub(answer.AsOf).Round(time.Second))
			}
			return ""
		},
	}
}

// registerComponents adds all components except the mesh and the peer probes: those that need no network
// connections of their own.
func (c *Controller) registerComponents(cloud leader.Cloud) {
	c.Components.Add(
		supervise.Component{Name: "attention", Run: c.membership.DetectPauses},
		supervise.Component{Name: "mirror", Run: c.cache.Watch, HealthProblem: c.loadProblem},
		supervise.Component{Name: "contact", Run: c.cache.ServeReadIndex, HealthProblem: c.syncProblem},
		supervise.Component{Name: "tokens", Run: c.cache.AcquireTokens, HealthProblem: c.tokenProblem},
		supervise.Component{Name: "writer", Run: c.committer.Run, HealthProblem: c.committer.HealthProblem},
		supervise.Component{Name: "completions", Run: c.completionRecorder.Run},
		supervise.Component{Name: "sweeper", Run: c.Heartbeats.CompleteFinishedJobs},
		supervise.Component{Name: "dependencies", Run: func(ctx context.Context) error {
			return c.Jobs.MaintainDependencies(ctx, hostAdapter{c}.Leading)
		}},
		supervise.Component{Name: "publisher", Run: func(ctx context.Context) error {
			return c.membership.Publish(ctx, c.store, c.publishedStatus)
		}},
		supervise.Component{Name: "reader of publications", Run: func(ctx context.Context) error {
			return c.membership.ReadPublished(ctx, c.cache)
		}},
		supervise.Component{Name: "preemption", Run: c.scheduler.Preempt},
		supervise.Component{Name: "places", Run: c.TopologyTracker.Watch},
		supervise.Component{Name: "workflows", Run: c.Workflows.Run},
		supervise.Component{Name: "archive", Run: c.archiver.Run},
		supervise.Component{Name: "promises", Run: c.Deadlines.Run},
		supervise.Component{Name: "policies", Run: c.policies.Run, HealthProblem: c.policyProblem},
		supervise.Component{Name: "leader", Run: func(ctx context.Context) error {
			return c.leader.Run(ctx, cloud)
		}},
	)
}

// loadProblem returns the health problem of the watch cache, or "" if there is none.
func (c *Controller) loadProblem(time.Time) (problem string) {
	c.cache.Read(func(*ledger.Ledger) {
		if !c.cache.Loaded() {
			problem = "records not loaded yet"
		}
	})
	return problem
}

// syncProblem returns the health problem of the sync with the state service, or "" if there is none.
func (c *Controller) syncProblem(now time.Time) (problem string) {
	c.cache.Read(func(*ledger.Ledger) {
		syncedAt := c.cache.SyncedAt()
		if syncedAt.IsZero() {
			problem = "no sync with the state service yet"
		} else if age := now.Sub(syncedAt); age > unresponsiveAfter {
			problem = fmt.Sprintf("last sync with the state service %v ago", age.Round(time.Second))
		}
	})
	return problem
}

// tokenProblem returns the health problem of the fencing token, or "" if there is none.
func (c *Controller) tokenProblem(time.Time) (problem string) {
	c.cache.Read(func(*ledger.Ledger) {
		if c.cache.Token() == 0 {
			problem = "no fencing token acquired yet"
		}
	})
	return problem
}

// policyProblem returns the health problem of the active policy module, or "" if there is none.
func (c *Controller) policyProblem(now time.Time) (problem string) {
	c.cache.Read(func(l *ledger.Ledger) {
		if c.policies.Suspended(l, now) {
			problem = "active policy module suspended"
		}
	})
	return problem
}
