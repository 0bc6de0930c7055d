package server

import (
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/wire"
)

// A controller's share of the change budget, of the processor and of the sockets
// pays for the workers that report to it. Workers only ever leave a controller that
// fails, so after some ends one would hold nearly all of them.

// surplus is how many workers a controller should pass on, and to whom. It is
// measured with each picture.
type surplus struct {
	count int
	to    wire.MemberID
}

// measureSurplus compares the workers heard here with those of peers that are in
// touch. A fifth more than the mean is left alone: moving costs a report.
func (c *HeartbeatServer) measureSurplus(now time.Time) surplus {
	lately := 2*c.set.Cluster.Workers.Report.Duration() + time.Second
	mine := 0
	c.Registry.Each(func(w *reconcile.Worker) {
		if now.Sub(w.LastHeartbeat) < lately {
			mine++
		}
	})
	sum, members, fewest := mine, 1, mine
	var to wire.MemberID
	for _, id := range c.Membership.ReachablePeers(now) {
		n := 0
		p := c.Membership.Peer(id)
		for i := range p.Status.Machines {
			if p.Status.Machines[i].AgeMS < lately.Milliseconds() {
				n++
			}
		}
		sum += n
		members++
		if n < fewest {
			fewest, to = n, id
		}
	}
	over := mine - sum*6/(5*members) - 2
	if to == "" || over <= 0 {
		return surplus{}
	}
	return surplus{count: max(1, over/5), to: to} // a few at a time: the next picture tells what came of it
}

// passOn tells whether a worker is to be sent to another controller: one with
// nothing under way, so that no start or exit is delayed by it.
func (c *HeartbeatServer) passOn(
	w *reconcile.Worker,
	f *reconcile.Reconciliation,
	now time.Time,
) (HeartbeatAnswer, bool) {
	if made := c.Scheduler.SnapshotsTaken(); made != c.measured {
		c.surplus, c.measured = c.measureSurplus(now), made
	}
	tasks := 0
	for _, h := range c.led().ClaimsOn(w.ID) {
		tasks += h.Count
	}
	if c.surplus.count <= 0 || now.Sub(w.RedirectedAt) < redirectEvery || len(f.Exits)+len(f.TakeOver) > 0 ||
		len(f.Seen) != tasks ||
		!w.ReclaimAt.IsZero() {
		return HeartbeatAnswer{}, false
	}
	c.surplus.count--
	w.RedirectedAt = now
	return HeartbeatAnswer{Status: 421, Redirect: wire.Redirect{ReportTo: c.surplus.to}}, true
}
