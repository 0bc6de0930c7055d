package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/leader/autoscale"
	"maddermill/internal/leader/cloud"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// hireName is a name for a rental that was never used before.
func (l *leader) hireName() wire.ScaleOutID {
	l.c.Cache.Lock()
	f, _ := l.c.led().Format()
	l.c.Cache.Unlock()
	if f.Era != "" {
		return wire.ScaleOutID(fmt.Sprintf("r-%s-%d-%d", f.Era, l.version, l.hires))
	}
	return wire.ScaleOutID(fmt.Sprintf("r-%d-%d", l.version, l.hires))
}

// plan rents and gives back.
func (l *leader) plan(ctx context.Context, now time.Time) error {
	if !l.listed {
		return nil
	}
	return l.rent(ctx, l.planned(now))
}

// planned decides what to rent, and marks what is to be given back.
func (l *leader) planned(now time.Time) []autoscale.ScaleOut {
	c := l.c
	settle := 2 * c.set.Cluster.Cloud.ListLag.Duration()
	c.Cache.Lock()
	defer c.Cache.Unlock()
	v := c.Scheduler.Snapshot(now)
	in := &autoscale.Input{
		Now:           now,
		Flavors:       l.flavors,
		Queue:         v.Queue,
		TeamRoom:      c.led().RemainingTeamQuota,
		Spot:          c.set.Operators.Spot,
		MaxMachines:   c.set.Operators.MostMachines,
		IdleBoots:     c.set.Operators.IdleBoots,
		Headroom:      c.set.Operators.Headroom,
		Close:         v.Tree != nil,
		OutOfCapacity: func(o autoscale.MachineOption) bool { return now.Before(l.refused[o]) || now.Before(l.dark[o.Zone]) },
	}
	awaited, overdue := 0, 0
	for id, u := range l.units {
		if c.led().MachinePhase(id) != "" {
			continue
		}
		f := l.flavors[u.Type]
		booting := u.heard.IsZero()
		n := autoscale.Machine{
			ID:        id,
			Type:      u.Type,
			Zone:      u.Zone,
			Spot:      u.Spot,
			Booting:   booting,
			IdleSince: u.idle,
			// One that is up but has yet to accept our token will take tasks in a
			// moment; not to count it would rent another in its place.
			Usable: booting && !now.Before(l.dark[u.Zone]) && !l.boots.Overdue(u.kind(), u.hired, f.Boot.Duration(), now) ||
				!booting && !u.recall && !u.faulty && now.Sub(u.heard) < c.set.Operators.LostAfter &&
					u.deaf < c.set.Operators.LostAfter,
		}
		if m := v.Machine(id); m != nil {
			n.Caches = m.Images.Has
			if under := m.Images.ListFetching(); len(under) > 0 {
				n.Fetching = under[0]
			}
		}
		if booting {
			awaited++
			if l.boots.Overdue(u.kind(), u.hired, f.Boot.Duration(), now) {
				overdue++
			}
		}
		n.Total = ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB)
		n.Busy = c.Scheduler.ExpectedReleases(id, now)
		if f.Name != "" {
			in.Units = append(in.Units, n)
		}
	}
	if overdue > c.overdue {
		c.log.Warn("machines overdue", "overdue", overdue, "awaited", awaited)
	}
	c.awaited, c.overdue = awaited, overdue
	plan := autoscale.ComputePlan(in)
	if c.Policies.Plans(c.led()) {
		plan = autoscale.ApplyPolicy(
			in,
			plan,
			func(f *policy.Fleet) []policy.Change { return c.Policies.Plan(c.led(), f, now) },
		)
	}
	if now.Sub(l.began) < settle {
		plan.Drain = nil
	}
	for _, id := range plan.Drain {
		// Nothing has been claimed there for a while. A start that comes at the very
		// same time is lost with the machine; two marks for every machine cost more.
		l.setMark(id, ledger.Terminating, "idle")
	}
	return plan.ScaleOut
}

// unlisted is how long the cloud's list may not show a machine.
func (l *leader) unlisted() time.Duration {
	return 3*l.c.set.Cluster.Cloud.ListLag.Duration() + 5*time.Second
}

// forgetHires drops rentals that the list shows by now, and the oldest when there
// are more than a value holds.
func (l *leader) forgetHires(now time.Time) {
	l.recent = slices.DeleteFunc(
		l.recent,
		func(h ledger.ScaleOutIntent) bool { return now.Sub(h.At.Time()) > l.unlisted() },
	)
	if over := len(l.recent) - l.c.set.ValueBytes()/ledger.HireBytes; over > 0 {
		l.recent = l.recent[over:]
	}
}

// askAgain finds out what predecessors rented that the list may not show yet. To
// plan without it would rent the same again.
func (l *leader) askAgain(ctx context.Context) error {
	for len(l.relearn) > 0 {
		h := l.relearn[0]
		if err := l.hire(ctx, h); err != nil {
			return err
		}
		l.relearn = l.relearn[1:]
	}
	return nil
}

// rent records what is to be rented, on the condition that this is still the
// leader's term, and then asks the cloud. A leader that has stood still meanwhile
// finds that another leads and rents nothing; one that stands still in between is
// asked after by its successor. The record is also conditioned on its own version: one
// carried out late does not take later rentals off it.
func (l *leader) rent(ctx context.Context, needs []autoscale.ScaleOut) error {
	if len(needs) == 0 {
		return nil
	}
	now := time.Now()
	l.forgetHires(now)
	var asked []ledger.ScaleOutIntent
	for _, n := range needs {
		l.hires++
		// The revision of the leader's record is that of no other term, ever. A token
		// is not enough: a controller may lead twice under one, and the cloud answers a
		// name used again with the old machines and rents nothing.
		name := l.hireName()
		asked = append(asked, ledger.ScaleOutIntent{
			At: wire.UnixMillis(now.UnixMilli()),
			ScaleOutRequest: wire.ScaleOutRequest{
				Request: name,
				Type:    n.Type,
				Zone:    n.Zone,
				Spot:    n.Spot,
				Count:   min(n.Count, cloud.MaxHire),
			},
		})
	}
	asked = asked[:min(len(asked), max(1, l.c.set.ValueBytes()/ledger.HireBytes))]
	before := l.recent
	l.recent = slices.Concat(before, asked)
	l.forgetHires(now)
	value, err := json.Marshal(ledger.ScaleOutRecord{Recent: l.recent})
	if err != nil {
		return err
	}
	l.c.Cache.Lock()
	_, version := l.c.led().ScaleOutIntents()
	l.c.Cache.Unlock()
	if _, err := l.c.Committer.Commit(
		ctx,
		wire.Txn{
			If:   []wire.Condition{{Key: ledger.LeaderKey, Version: l.version}, {Key: ledger.ScaleOutKey, Version: version}},
			Then: []wire.Change{{Put: ledger.ScaleOutKey, Value: value}},
		},
	); err != nil {
		l.recent = before // nothing of it is asked for; should the record land after all, a successor may
		return err
	}
	for _, h := range asked {
		if err := l.hire(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// entitled reports whether this is certainly still the leader. It is asked at the
// moment of sending: between a plan and its last request the process may stand still.
func (l *leader) entitled(now time.Time) bool {
	l.c.Cache.Lock()
	defer l.c.Cache.Unlock()
	_, version := l.c.led().Leader()
	return version == l.version && now.Sub(l.renewed) < leaderTTL
}

var errNotEntitled = errors.New("lead: the leader's lease may be over")

func (l *leader) hire(ctx context.Context, h ledger.ScaleOutIntent) error {
	now := time.Now()
	if !l.entitled(now) {
		return errNotEntitled
	}
	got, err := l.cloud.ScaleOut(ctx, h.ScaleOutRequest)
	l.c.log.Info("scale-out requested",
		"request", h.Request, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "got", len(got),
		"err", err)
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(got) < h.Count {
		l.refused[autoscale.MachineOption{Type: h.Type, Zone: h.Zone, Spot: h.Spot}] = time.Now().Add(20 * time.Second)
	}
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		return err
	}
	if hired := h.At.Time(); hired.Before(now) {
		now = hired
	}
	for _, id := range got {
		if l.units[id] == nil {
			l.units[id] = &unit{
				ListedMachine: wire.ListedMachine{ID: id, Type: h.Type, Zone: h.Zone, Spot: h.Spot, State: wire.MachineBooting},
				hired:         now,
			}
		}
	}
	return nil
}
