package controller

import (
	"context"
	"fmt"
	"time"

	"maddermill/internal/leader"
	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/supervise"
	"maddermill/internal/transport"
)

// Run carries out the controller's duties until ctx ends or one of them fails.
func (c *Controller) Run(ctx context.Context, dialer *transport.Dialer, cl leader.Cloud) error {
	c.register(cl)
	c.Components.Add(supervise.Component{Name: "mesh", Run: func(ctx context.Context) error {
		return transport.Serve(ctx, c.set.MeshAddr, 8*len(c.set.Peers)+16, func(_ context.Context, conn *transport.Conn) {
			peer.Serve(conn, c.statusFor)
		})
	}})
	for _, p := range c.set.Peers {
		c.Components.Add(supervise.Component{Name: "peer " + string(p.Member), Run: func(ctx context.Context) error {
			peer.Ask(ctx, dialer, p.Addr, func() peer.Status { return c.questionTo(p.Member) }, time.Second, c.heardPeer)
			return ctx.Err()
		}, Amiss: func(now time.Time) string {
			peer := c.membership.Peer(p.Member)
			switch {
			case peer == nil:
				return "was never heard"
			case now.Sub(peer.AsOf) > longSilent:
				return fmt.Sprintf("not heard for %v", now.Sub(peer.AsOf).Round(time.Second))
			}
			return ""
		}})
	}
	return c.Components.Run(ctx)
}

// longSilent is after what time a silence is worth telling of.
const longSilent = 10 * time.Second

// register adds the duties that need no network of their own.
func (c *Controller) register(cl leader.Cloud) {
	c.Components.Add(
		supervise.Component{Name: "attention", Run: c.membership.DetectPauses},
		supervise.Component{Name: "mirror", Run: c.cache.Watch, Amiss: func(time.Time) (why string) {
			c.cache.Read(func(*ledger.Ledger) {
				if !c.cache.Loaded() {
					why = "the records are yet to be read"
				}
			})
			return why
		}},
		supervise.Component{Name: "contact", Run: c.cache.ServeReadIndex, Amiss: func(now time.Time) (why string) {
			c.cache.Read(func(*ledger.Ledger) {
				if contact := c.cache.SyncedAt(); contact.IsZero() {
					why = "the state service was never reached"
				} else if age := now.Sub(contact); age > longSilent {
					why = fmt.Sprintf("the state service was last reached %v ago", age.Round(time.Second))
				}
			})
			return why
		}},
		supervise.Component{Name: "tokens", Run: c.cache.AcquireTokens, Amiss: func(time.Time) (why string) {
			c.cache.Read(func(*ledger.Ledger) {
				if c.cache.Token() == 0 {
					why = "no token is taken yet"
				}
			})
			return why
		}},
		supervise.Component{Name: "writer", Run: c.committer.Run, Amiss: c.committer.HealthProblem},
		supervise.Component{Name: "completions", Run: c.recorder.Run},
		supervise.Component{Name: "sweeper", Run: c.Heartbeats.RemoveSilentWorkers},
		supervise.Component{
			Name: "publisher",
			Run:  func(ctx context.Context) error { return c.membership.Publish(ctx, c.store, c.published) },
		},
		supervise.Component{
			Name: "reader of publications",
			Run:  func(ctx context.Context) error { return c.membership.ReadPublished(ctx, c.cache) },
		},
		supervise.Component{Name: "preemption", Run: c.scheduler.Preempt},
		supervise.Component{Name: "places", Run: c.TopologyTracker.Watch},
		supervise.Component{Name: "workflows", Run: c.Workflows.Run},
		supervise.Component{Name: "archive", Run: c.archiver.Run},
		supervise.Component{Name: "promises", Run: c.Deadlines.Run},
		supervise.Component{Name: "policies", Run: c.policies.Run, Amiss: func(now time.Time) (why string) {
			c.cache.Read(func(l *ledger.Ledger) {
				if c.policies.Suspended(l, now) {
					why = "the module in use is suspended"
				}
			})
			return why
		}},
		supervise.Component{Name: "leader", Run: func(ctx context.Context) error { return c.leader.Run(ctx, cl) }},
	)
}

// published is what peers find in the state service that the mesh does not reach.
func (c *Controller) published() (s peer.Status, ok bool) {
	if !c.Jobs.Loaded() {
		return s, false
	}
	return c.status(), true
}
