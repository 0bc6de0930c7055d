package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

func (l *leader) readFlavors(ctx context.Context) error {
	list, err := l.cloud.MachineTypes(ctx)
	if err != nil {
		return err
	}
	l.flavorsAt = time.Now()
	l.flavors = map[wire.MachineTypeName]wire.MachineType{}
	for _, f := range list {
		l.flavors[f.Name] = f
		l.c.Cache.Lock()
		known, ok := l.c.led().MachineType(f.Name)
		l.c.Cache.Unlock()
		// Prices move all the time; what machines are does not.
		same := known
		same.Price, same.SpotPrice = f.Price, f.SpotPrice
		if ok && fmt.Sprint(same) == fmt.Sprint(f) {
			continue
		}
		b, err := json.Marshal(f)
		if err != nil {
			return err
		}
		if _, err := l.c.Committer.Commit(ctx, wire.Txn{If: []wire.Condition{{Key: ledger.LeaderKey, Version: l.version}},
			Then: []wire.Change{{Put: ledger.MachineTypeKey(f.Name), Value: b}}}); err != nil {
			l.flavorsAt = time.Time{}
			return err
		}
	}
	return nil
}

func (l *leader) readList(ctx context.Context) error {
	list, err := l.cloud.List(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	l.listAt, l.listed = now, true
	for _, m := range list {
		u := l.units[m.ID]
		if u == nil {
			u = &unit{hired: now.Add(-m.Age.Duration())}
			l.units[m.ID] = u
		}
		u.ListedMachine = m
	}
	return nil
}

// observe brings together what this controller and its peers hear.
func (l *leader) observe(now time.Time) {
	c := l.c
	c.Cache.Lock()
	defer c.Cache.Unlock()
	l.listen(now)
	note := func(m *peer.Machine, at time.Time, by wire.MemberID) {
		u := l.units[m.ID]
		if u == nil {
			u = &unit{ListedMachine: wire.ListedMachine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}, hired: at}
			l.units[m.ID] = u
		}
		if u.heard.IsZero() {
			l.boots.Observe(u.kind(), u.hired, at)
		}
		if at.After(u.heard) {
			u.Type, u.Zone, u.Spot = m.Type, m.Zone, m.Spot
			u.heard, u.holder, u.recall, u.faulty, u.evidence = at, by, m.ReclaimMS != 0, m.Faulty, m.QuarantineReason
			u.deaf = time.Duration(m.UnreachableMS) * time.Millisecond
		}
	}
	c.Registry.Each(func(w *reconcile.Worker) {
		m := peer.Machine{
			ID:            w.ID,
			Type:          w.Type,
			Zone:          w.Zone,
			Spot:          w.Spot,
			Faulty:        c.Failures.Faulty(c.led(), w.ID, now),
			UnreachableMS: w.UnreachableFor(now).Milliseconds(),
		}
		if m.Faulty {
			m.QuarantineReason = c.Failures.QuarantineReason(w.ID)
		}
		if !w.ReclaimAt.IsZero() {
			m.ReclaimMS = 1
		}
		note(&m, w.LastHeartbeat, c.set.Member)
	})
	for _, p := range c.Membership.Peers() {
		for i := range p.Status.Machines {
			m := &p.Status.Machines[i]
			note(m, p.HeartbeatAt(m), p.Status.Member)
		}
	}
	c.led().EachHolder(func(id wire.MachineID, h []ledger.HeldClaim) {
		if l.units[id] == nil {
			// Claims on a machine that nobody has heard in this term.
			l.units[id] = &unit{
				ListedMachine: wire.ListedMachine{ID: id, Zone: h[0].Zone, State: wire.MachineRunning},
				hired:         now,
				heard:         l.began,
			}
		}
	})
	spot := 0
	for id, u := range l.units {
		if u.Spot && !u.heard.IsZero() && c.led().MachinePhase(id) == "" {
			spot++
			if u.recall {
				l.takenBack(u)
			}
		}
		if len(c.led().ClaimsOn(id)) > 0 {
			u.idle = time.Time{}
		} else if u.idle.IsZero() {
			u.idle = now
		}
	}
	c.SpotReclaims.CountMachineTime(spot, now)
}

// takenBack counts a spot machine that the cloud takes back, once.
func (l *leader) takenBack(u *unit) {
	if u.Spot && !u.taken {
		u.taken = true
		l.c.SpotReclaims.Observe()
	}
}

// listen keeps up since when silence of machines counts.
func (l *leader) listen(now time.Time) {
	l.settled = l.c.Membership.SilenceCountsFrom(l.settled, l.c.Cache.SyncedAt(), now)
}

// lostAfter is how long a machine may be silent. One last heard by a controller
// that is itself silent gets the time that its worker needs to find another, and
// as long as the controller may go on answering alone.
func (l *leader) lostAfter(u *unit, now time.Time) time.Duration {
	d := l.c.set.Operators.LostAfter
	if u.holder != l.c.set.Member {
		if p := l.c.Membership.Peer(u.holder); p == nil || now.Sub(p.AsOf) > 4*time.Second {
			d += l.c.set.HeartbeatGrace()
		}
	}
	return d
}

// watchZones notes the zones that are cut off: several machines have been heard
// there, and all of them have fallen silent, while others have not. What is rented
// in such a zone is paid for and can't report, and counting on it leaves work
// waiting. A zone is tried again after two leases, or when one is heard there.
func (l *leader) watchZones(now time.Time) {
	c := l.c
	c.Cache.Lock()
	defer c.Cache.Unlock()
	l.listen(now)
	silent := c.set.SilentAfter()
	known, heard, total := map[wire.Zone]int{}, map[wire.Zone]int{}, 0
	for _, u := range l.units {
		if u.heard.After(l.began) {
			known[u.Zone]++
			if now.Sub(u.heard) < silent {
				heard[u.Zone]++
				total++
			}
		}
	}
	for z, n := range known {
		switch {
		case heard[z] > 0:
			delete(l.dark, z)
		case n >= fewToJudge && total >= fewToJudge && now.Sub(l.settled) > silent:
			if l.dark[z].IsZero() {
				c.log.Info("zone is silent", "zone", z, "machines", n)
			}
			l.dark[z] = now.Add(2 * c.set.Cluster.Workers.Lease.Duration())
		}
	}
}

// fewToJudge is how many machines it takes to judge a zone by.
const fewToJudge = 3
