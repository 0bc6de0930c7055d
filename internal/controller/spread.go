package controller

import (
	"slices"
	"time"

	"maddermill/internal/workers"
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
func (c *Core) measureSurplus(now time.Time) surplus {
	lately := 2*c.set.Cluster.Workers.Report.Duration() + time.Second
	mine := 0
	for _, w := range c.workers {
		if now.Sub(w.Heard) < lately {
			mine++
		}
	}
	sum, members, fewest := mine, 1, mine
	var to wire.MemberID
	for _, id := range c.peersInTouch(now) {
		n := 0
		for i := range c.peers[id].status.Machines {
			if c.peers[id].status.Machines[i].AgeMS < lately.Milliseconds() {
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

// peersInTouch lists the peers that can take workers, in the order of their names.
func (c *Core) peersInTouch(now time.Time) []wire.MemberID {
	var fit []wire.MemberID
	for id, p := range c.peers {
		if now.Sub(p.asked) < 3*time.Second && p.status.Loaded && p.status.ContactMS < startContact.Milliseconds()/2 {
			fit = append(fit, id)
		}
	}
	slices.Sort(fit)
	return fit
}

// passOn tells whether a worker is to be sent to another controller: one with
// nothing under way, so that no start or exit is delayed by it.
func (c *Core) passOn(w *workers.Worker, f *workers.Findings, now time.Time) (ReportAnswer, bool) {
	tasks := 0
	for _, h := range c.led.HeldBy(w.ID) {
		tasks += h.Count
	}
	if c.surplus.count <= 0 || now.Sub(w.Sent) < redirectEvery || len(f.Exits) > 0 || len(f.Seen) != tasks || !w.Recall.IsZero() {
		return ReportAnswer{}, false
	}
	c.surplus.count--
	w.Sent = now
	return ReportAnswer{Status: 421, Redirect: wire.Redirect{ReportTo: c.surplus.to}}, true
}
