// Package lead is the part of a controller that leads the fleet while it holds the leader's
// lease: it rents and returns machines, marks those that are lost, and places gangs over all
// machines (docs/DESIGN.md, points 5 and 8). One controller leads at a time; a term that has
// ended changes nothing any more, since what it writes is conditioned on its record.
package lead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"maddermill/internal/clock"
	"maddermill/internal/cloud"
	"maddermill/internal/completion"
	"maddermill/internal/evidence"
	"maddermill/internal/fleet"
	"maddermill/internal/ledger"
	"maddermill/internal/members"
	"maddermill/internal/mesh"
	"maddermill/internal/metrics"
	"maddermill/internal/mirror"
	"maddermill/internal/place"
	"maddermill/internal/policies"
	"maddermill/internal/schedule"
	"maddermill/internal/settings"
	"maddermill/internal/state"
	"maddermill/internal/workers"
	"maddermill/internal/writer"
	"maddermill/policy"
	"maddermill/wire"
)

// Cloud is what the fleet's leader needs of the cloud.
type Cloud interface {
	Flavors(ctx context.Context) ([]wire.Flavor, error)
	Hire(ctx context.Context, h wire.Hire) ([]wire.MachineID, error)
	Return(ctx context.Context, names []wire.MachineID) error
	List(ctx context.Context) ([]wire.ListedMachine, error)
}

// The leader's lease. It is long enough to survive a few slow answers, short
// enough that a dead leader is replaced before machines are missed.
const (
	leaderTTL   = 6 * time.Second
	leaderRenew = 1500 * time.Millisecond
)

// Parts are what the leader works with.
type Parts struct {
	Mirror    *mirror.Mirror
	Writer    *writer.Writer
	Members   *members.Members
	Roster    *workers.Roster
	Book      *evidence.Book
	Schedule  *schedule.Scheduler
	Policies  *policies.Keeper
	Completed *completion.Log
}

// Lead is that part of a controller.
type Lead struct {
	set   *settings.Settings
	store state.Store
	Parts
	stats *metrics.Set
	log   *slog.Logger
	boot  time.Time

	awaited, overdue int // as the leader: machines rented and not yet up; under the mirror's lock
}

// New returns a part that doesn't lead before Run.
func New(set *settings.Settings, store state.Store, p Parts, stats *metrics.Set, log *slog.Logger) *Lead {
	return &Lead{set: set, store: store, Parts: p, stats: stats, log: log, boot: time.Now()}
}

// Awaited counts, under the mirror's lock, the machines rented in this controller's term that
// are not yet up, and those of them that are overdue.
func (c *Lead) Awaited() (awaited, overdue int) { return c.awaited, c.overdue }

func (c *Lead) led() *ledger.Ledger { return c.Mirror.Records() }

// Run tries to become the fleet's leader and does its work while it is, until ctx ends.
func (c *Lead) Run(ctx context.Context, cl Cloud) error {
	for ctx.Err() == nil {
		c.Mirror.Lock()
		ready := c.Mirror.Loaded() && c.Mirror.Token() != 0
		_, version := c.led().Leader()
		c.Mirror.Unlock()
		if !ready || version != 0 {
			clock.Sleep(ctx, 500*time.Millisecond)
			continue
		}
		if err := c.term(ctx, cl); err != nil && ctx.Err() == nil {
			c.log.Info("not leading", "err", err)
			clock.Sleep(ctx, time.Second)
		}
	}
	return ctx.Err()
}

// term is one time as the leader, from the lease's grant to its end.
func (c *Lead) term(ctx context.Context, cl Cloud) error {
	asked := time.Now()
	lease, err := c.store.Grant(ctx, leaderTTL)
	if err != nil {
		return err
	}
	c.Mirror.Lock()
	token := c.Mirror.Token()
	c.Mirror.Unlock()
	value, err := json.Marshal(ledger.LeaderRecord{Member: c.set.Member, Token: token})
	if err != nil {
		return err
	}
	version, err := c.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: ledger.LeaderKey, Version: 0}},
		Then: []wire.Change{{Put: ledger.LeaderKey, Value: value, Lease: lease}}})
	if err != nil {
		return err
	}
	if err := c.Mirror.Reach(ctx, version); err != nil {
		return err
	}
	c.log.Info("leading the fleet", "token", token)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := &leader{c: c, cloud: cl, version: version, began: time.Now(),
		units: map[wire.MachineID]*unit{}, placing: map[wire.JobID]gangStart{}, marking: map[markKey]*writer.Change{}, dark: map[wire.Zone]time.Time{}, returned: map[wire.MachineID]bool{}, releasing: map[wire.MachineID][]*writer.Change{}, refused: map[fleet.Option]time.Time{}, settled: time.Now(), renewed: asked, judged: map[evidence.Kind]map[wire.MachineID]time.Time{}}
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, leaderRenew)
			asked := time.Now()
			err := c.store.Renew(ctx, lease)
			if errors.Is(err, state.ErrNoLease) {
				cancel(err)
			}
			c.Mirror.Lock()
			if err == nil {
				l.renewed = asked
			}
			_, now := c.led().Leader()
			c.Mirror.Unlock()
			if now != version {
				cancel(errors.New("another leads"))
			}
		}
	}()
	// Gangs must not wait for the cloud, which is slow, limited, and at times out.
	placing := make(chan struct{})
	go func() {
		defer close(placing)
		for ctx.Err() == nil {
			l.placeGangs(time.Now())
			clock.Sleep(ctx, 300*time.Millisecond)
		}
		l.forgetPlacing()
	}()
	defer func() {
		cancel(nil)
		<-placing
		c.Mirror.Lock()
		c.awaited, c.overdue = 0, 0
		c.Mirror.Unlock()
	}()
	c.Mirror.Lock()
	recent, _ := c.led().Hires()
	l.recent = slices.Clone(recent)
	l.forgetHires(time.Now())
	l.relearn = slices.Clone(l.recent)
	c.Mirror.Unlock()
	for ctx.Err() == nil {
		if err := l.step(ctx); err != nil && ctx.Err() == nil {
			c.log.Debug("fleet step", "err", err)
		}
		clock.Sleep(ctx, 500*time.Millisecond)
	}
	return context.Cause(ctx)
}

type unit struct {
	wire.ListedMachine
	hired  time.Time // or first seen
	heard  time.Time // by any controller
	holder wire.MemberID
	recall bool
	taken  bool // back, and counted
	faulty bool
	// evidence is why, in a few words, where machines are judged by it.
	evidence string
	deaf     time.Duration // for which answers to its reports have not arrived
	idle     time.Time
}

func (u *unit) kind() evidence.Kind { return evidence.Kind{Type: u.Type, Zone: u.Zone} }

type markKey struct {
	machine wire.MachineID
	mark    ledger.MachineMark
}

// gangStart is a gang's start on its way to the ledger.
type gangStart struct {
	change *writer.Change
	tasks  int
}

// leader is the state of one term. A new one starts from the cloud's list.
type leader struct {
	c         *Lead
	cloud     Cloud
	version   wire.Revision
	began     time.Time
	hires     int
	units     map[wire.MachineID]*unit
	marking   map[markKey]*writer.Change // asked for, perhaps not yet in the ledger
	placing   map[wire.JobID]gangStart   // decided, and not yet known to be in the ledger
	refused   map[fleet.Option]time.Time // no capacity until
	recent    []ledger.HireIntent        // asked for lately, by predecessors too
	relearn   []ledger.HireIntent        // whose outcome is not known in this term
	boots     evidence.Boots
	madeRoom  time.Time                           // when room for gangs was last looked for,
	roomTook  time.Duration                       // and how long that took
	dark      map[wire.Zone]time.Time             // cut off, to be left alone until
	returned  map[wire.MachineID]bool             // the cloud has confirmed it
	releasing map[wire.MachineID][]*writer.Change // its claims, perhaps still on record
	flavors   map[wire.MachineSKU]wire.Flavor
	judged    map[evidence.Kind]map[wire.MachineID]time.Time // returned as faulty
	settled   time.Time                                      // since when silence of machines counts
	renewed   time.Time                                      // when the last renewal of the lease was asked for that succeeded

	flavorsAt, listAt time.Time
	listed            bool
}

func (l *leader) step(ctx context.Context) error {
	now := time.Now()
	if now.Sub(l.flavorsAt) > 20*time.Second {
		if err := l.readFlavors(ctx); err != nil {
			return err
		}
	}
	if now.Sub(l.listAt) > 4*time.Second {
		if err := l.readList(ctx); err != nil {
			return err
		}
	}
	if err := l.askAgain(ctx); err != nil {
		return err
	}
	l.observe(time.Now())
	l.watchZones(time.Now())
	l.markLost(time.Now())
	if err := l.finishReturns(ctx); err != nil {
		return err
	}
	return l.plan(ctx, time.Now())
}

// hireName is a name for a rental that was never used before.
func (l *leader) hireName() wire.HireName {
	l.c.Mirror.Lock()
	f, _ := l.c.led().Format()
	l.c.Mirror.Unlock()
	if f.Era != "" {
		return wire.HireName(fmt.Sprintf("r-%s-%d-%d", f.Era, l.version, l.hires))
	}
	return wire.HireName(fmt.Sprintf("r-%d-%d", l.version, l.hires))
}

func (l *leader) readFlavors(ctx context.Context) error {
	list, err := l.cloud.Flavors(ctx)
	if err != nil {
		return err
	}
	l.flavorsAt = time.Now()
	l.flavors = map[wire.MachineSKU]wire.Flavor{}
	for _, f := range list {
		l.flavors[f.Name] = f
		l.c.Mirror.Lock()
		known, ok := l.c.led().Flavor(f.Name)
		l.c.Mirror.Unlock()
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
		if _, err := l.c.Writer.Commit(ctx, wire.Txn{If: []wire.Condition{{Key: ledger.LeaderKey, Version: l.version}},
			Then: []wire.Change{{Put: ledger.FlavorKey(f.Name), Value: b}}}); err != nil {
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
	c.Mirror.Lock()
	defer c.Mirror.Unlock()
	l.listen(now)
	note := func(m *mesh.Machine, at time.Time, by wire.MemberID) {
		u := l.units[m.ID]
		if u == nil {
			u = &unit{ListedMachine: wire.ListedMachine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}, hired: at}
			l.units[m.ID] = u
		}
		if u.heard.IsZero() {
			l.boots.Up(u.kind(), u.hired, at)
		}
		if at.After(u.heard) {
			u.Type, u.Zone, u.Spot = m.Type, m.Zone, m.Spot
			u.heard, u.holder, u.recall, u.faulty, u.evidence = at, by, m.Recall != 0, m.Faulty, m.Why
			u.deaf = time.Duration(m.DeafMS) * time.Millisecond
		}
	}
	c.Roster.Each(func(w *workers.Worker) {
		m := mesh.Machine{ID: w.ID, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Faulty: c.Book.Faulty(c.led(), w.ID, now), DeafMS: w.DeafFor(now).Milliseconds()}
		if m.Faulty {
			m.Why = c.Book.Why(w.ID)
		}
		if !w.Recall.IsZero() {
			m.Recall = 1
		}
		note(&m, w.Heard, c.set.Member)
	})
	for _, p := range c.Members.Peers() {
		for i := range p.Status.Machines {
			m := &p.Status.Machines[i]
			note(m, p.Heard(m), p.Status.Member)
		}
	}
	c.led().Holders(func(id wire.MachineID, h []ledger.Held) {
		if l.units[id] == nil {
			// Claims on a machine that nobody has heard in this term.
			l.units[id] = &unit{ListedMachine: wire.ListedMachine{ID: id, Zone: h[0].Zone, State: wire.MachineRunning}, hired: now, heard: l.began}
		}
	})
	spot := 0
	for id, u := range l.units {
		if u.Spot && !u.heard.IsZero() && c.led().Mark(id) == "" {
			spot++
			if u.recall {
				l.takenBack(u)
			}
		}
		if len(c.led().HeldBy(id)) > 0 {
			u.idle = time.Time{}
		} else if u.idle.IsZero() {
			u.idle = now
		}
	}
	c.Book.Takings.Watch(spot, now)
}

// takenBack counts a spot machine that the cloud takes back, once.
func (l *leader) takenBack(u *unit) {
	if u.Spot && !u.taken {
		u.taken = true
		l.c.Book.Takings.Taken()
	}
}

// listen keeps up since when silence of machines counts.
func (l *leader) listen(now time.Time) {
	l.settled = l.c.Members.Settled(l.settled, l.c.Mirror.Contact(), now)
}

// lostAfter is how long a machine may be silent. One last heard by a controller
// that is itself silent gets the time that its worker needs to find another, and
// as long as the controller may go on answering alone.
func (l *leader) lostAfter(u *unit, now time.Time) time.Duration {
	d := l.c.set.Operators.LostAfter
	if u.holder != l.c.set.Member {
		if p := l.c.Members.Peer(u.holder); p == nil || now.Sub(p.Asked) > 4*time.Second {
			d += l.c.set.ReportGrace()
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
	c.Mirror.Lock()
	defer c.Mirror.Unlock()
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

// markLost marks the machines that are to be returned whatever is on them:
// lost, failed, faulty, or never up.
func (l *leader) markLost(now time.Time) {
	c := l.c
	c.Mirror.Lock()
	defer c.Mirror.Unlock()
	l.listen(now)
	for id, u := range l.units {
		if k := c.led().Mark(id); k == ledger.Leaving || k == ledger.Gone {
			continue
		}
		silent := now.Sub(u.heard)
		if s := now.Sub(l.settled); s < silent {
			silent = s // our own silence is no sign of theirs
		}
		boot := l.flavors[u.Type].Boot.Duration()
		why := ""
		switch {
		case u.State == wire.MachineFailed:
			why = "failed"
		case !u.heard.IsZero() && u.recall && silent > 2*c.set.Cluster.Workers.Report.Duration():
			why = "taken back"
		case !u.heard.IsZero() && silent > l.lostAfter(u, now):
			why = "lost"
			if now.After(l.dark[u.Zone]) {
				l.takenBack(u) // without notice
			}
		case u.heard.IsZero() && boot > 0 && now.Sub(u.hired) > l.boots.Patience(u.kind(), boot) && now.Sub(l.settled) > l.c.set.Operators.LostAfter:
			why = "never came up"
		case u.faulty && l.mayJudge(u, now):
			if why = "faulty"; u.evidence != "" {
				why += ": " + u.evidence
			}
		default:
			continue
		}
		l.setMark(id, ledger.Leaving, why)
	}
}

// judgedFor is how long a machine that was returned as faulty counts against others of its kind.
const judgedFor = 30 * time.Minute

// mayJudge reports whether one more machine of a kind may be returned as faulty: where machines
// are judged by evidence never more than a share of them within a while, however they are judged.
func (l *leader) mayJudge(u *unit, now time.Time) bool {
	q := l.c.set.Operators.Quarantine
	if !q.On {
		return true
	}
	k, all := u.kind(), 0
	for _, o := range l.units {
		if o.kind() == k {
			all++
		}
	}
	list := l.judged[k]
	if list == nil {
		list = map[wire.MachineID]time.Time{}
		l.judged[k] = list
	}
	maps.DeleteFunc(list, func(_ wire.MachineID, at time.Time) bool { return now.Sub(at) > judgedFor })
	if _, known := list[u.ID]; !known && len(list) >= q.MostOf(all) {
		return false
	}
	list[u.ID] = now
	return true
}

func (l *leader) setMark(id wire.MachineID, mark ledger.MachineMark, why string) {
	key := markKey{id, mark}
	if ch := l.marking[key]; ch != nil && open(ch) {
		return // on its way
	}
	l.c.log.Info("machine leaves", "machine", id, "mark", mark, "why", why)
	ch := &writer.Change{Draft: func(d *ledger.Draft) error { return d.SetMark(id, mark, why, l.version) }}
	if _, v := l.c.led().Leader(); v != l.version {
		return // another leads
	}
	l.c.Writer.Enqueue(ch)
	l.marking[key] = ch
}

// finishReturns moves marked machines on: a leaving one is returned; what was claimed
// on one whose return the cloud has confirmed is released. That it is gone goes on
// record when there are changes to Spare: a new leader only returns it once more.
func (l *leader) finishReturns(ctx context.Context) error {
	c := l.c
	var leaving []wire.MachineID
	spare := c.Writer.Relaxed()
	c.Mirror.Lock()
	c.led().Outgoing(func(id wire.MachineID) {
		switch {
		case !l.returned[id]:
			leaving = append(leaving, id)
		case spare:
			l.setMark(id, ledger.Gone, "returned")
		}
	})
	c.Mirror.Unlock()
	slices.Sort(leaving)
	for batch := range slices.Chunk(leaving, cloud.MaxReturn) {
		if err := l.cloud.Return(ctx, batch); err != nil {
			return err
		}
		for _, id := range batch {
			l.returned[id] = true
		}
	}
	c.Mirror.Lock()
	defer c.Mirror.Unlock()
	maps.DeleteFunc(l.releasing, func(_ wire.MachineID, changes []*writer.Change) bool { return !slices.ContainsFunc(changes, open) })
	gone := func(id wire.MachineID) bool { return l.returned[id] || c.led().Mark(id) == ledger.Gone }
	c.led().Holders(func(id wire.MachineID, held []ledger.Held) {
		if gone(id) {
			l.releaseAll(id, held)
		}
	})
	for id := range l.units {
		if gone(id) {
			delete(l.units, id)
			delete(l.marking, markKey{id, ledger.Leaving})
		}
	}
	return nil
}

// open reports whether a change that was asked for is neither made nor dropped yet.
func open(ch *writer.Change) bool { return len(ch.Done()) == 0 }

// releaseAll releases the claims on a machine that the cloud has confirmed to be gone. What is
// still on its way is not asked for again: when a zone is lost, the releases of its hundreds of
// machines take longer than any time that could be waited for, and asked for again and again
// they once filled the queue, so that what was lost began nowhere else for minutes.
func (l *leader) releaseAll(id wire.MachineID, held []ledger.Held) {
	if slices.ContainsFunc(l.releasing[id], open) {
		return
	}
	var exits []workers.Exit
	for _, h := range held {
		for i := range h.Count {
			task := h.First + wire.TaskIndex(i)
			exits = append(exits, workers.Exit{Held: h, Task: task, Cause: l.c.Completed.Cause(&h, task)})
		}
	}
	l.releasing[id] = workers.ExitChanges(l.c.Mirror, exits)
	for _, ch := range l.releasing[id] {
		l.c.Writer.Enqueue(ch)
	}
}

// placeGangs places the gangs of several tasks over all machines.
func (l *leader) placeGangs(now time.Time) {
	c := l.c
	c.Mirror.Lock()
	defer c.Mirror.Unlock()
	// After the start of a controller, and often of all of them, workers have yet to
	// find one each; a gang placed before would be placed on a few of the machines.
	if settled := c.set.Cluster.Workers.Report.Duration()*5/4 + time.Second; now.Sub(c.Mirror.Contact()) > settings.StartContact || now.Sub(c.boot) < settled {
		return
	}
	for id, g := range l.placing {
		select {
		case <-g.change.Done():
			c.Schedule.Take(id, -g.tasks)
			delete(l.placing, id)
		default:
		}
	}
	for _, g := range place.Gangs(c.Schedule.View(now)) {
		j, parts := g.Entry.Job, g.Parts
		id, n := j.ID, j.Pending()
		made := func() { c.log.Info("start", "job", id, "tasks", n, "machines", len(parts)) }
		ch := &writer.Change{Drop: true, Until: now.Add(2 * time.Second), Late: g.Entry.Late, Work: j.Spec.Priority, Made: made, Draft: func(d *ledger.Draft) error {
			j := c.led().Job(id)
			if j == nil || slices.ContainsFunc(parts, func(p ledger.Placed) bool { return c.led().Free(p.Site).Times(j.Need, p.Count) < p.Count }) {
				return ledger.ErrStale // a holder has given the room away meanwhile
			}
			return d.ClaimGang(j, parts)
		}}
		c.Schedule.Take(id, n)
		l.placing[id] = gangStart{ch, n}
		c.Writer.Enqueue(ch)
	}
	if now.Sub(l.madeRoom) > c.Schedule.RestAfter(l.roomTook) {
		began := time.Now()
		l.madeRoom = now
		c.Schedule.Gather(now)
		c.Schedule.MakeRoomForGangs(now)
		l.roomTook = time.Since(began)
	}
}

// forgetPlacing ends a term: gangs on their way to the ledger are anyone's again.
// Should a start land after all, others for the same gang are refused.
func (l *leader) forgetPlacing() {
	l.c.Mirror.Lock()
	defer l.c.Mirror.Unlock()
	for id, g := range l.placing {
		l.c.Schedule.Take(id, -g.tasks)
	}
}

// plan rents and gives back.
func (l *leader) plan(ctx context.Context, now time.Time) error {
	if !l.listed {
		return nil
	}
	return l.rent(ctx, l.planned(now))
}

// planned decides what to rent, and marks what is to be given back.
func (l *leader) planned(now time.Time) []fleet.Need {
	c := l.c
	settle := 2 * c.set.Cluster.Cloud.ListLag.Duration()
	c.Mirror.Lock()
	defer c.Mirror.Unlock()
	v := c.Schedule.View(now)
	in := &fleet.Input{Now: now, Flavors: l.flavors, Queue: v.Queue, TeamRoom: c.led().TeamRoom,
		Spot: c.set.Operators.Spot, Most: c.set.Operators.MostMachines, IdleBoots: c.set.Operators.IdleBoots,
		Headroom: c.set.Operators.Headroom, Close: v.Tree != nil,
		Refused: func(o fleet.Option) bool { return now.Before(l.refused[o]) || now.Before(l.dark[o.Zone]) }}
	awaited, overdue := 0, 0
	for id, u := range l.units {
		if c.led().Mark(id) != "" {
			continue
		}
		f := l.flavors[u.Type]
		booting := u.heard.IsZero()
		n := fleet.Unit{ID: id, Type: u.Type, Zone: u.Zone, Spot: u.Spot, Booting: booting, IdleSince: u.idle,
			// One that is up but has yet to accept our token will take tasks in a
			// moment; not to count it would rent another in its place.
			Usable: booting && !now.Before(l.dark[u.Zone]) && !l.boots.Overdue(u.kind(), u.hired, f.Boot.Duration(), now) || !booting && !u.recall && !u.faulty && now.Sub(u.heard) < c.set.Operators.LostAfter && u.deaf < c.set.Operators.LostAfter}
		if m := v.Machine(id); m != nil {
			n.Caches = m.Images.Has
			if under := m.Images.Under(); len(under) > 0 {
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
		n.Busy = c.Schedule.Busy(id, now)
		if f.Name != "" {
			in.Units = append(in.Units, n)
		}
	}
	if overdue > c.overdue {
		c.log.Warn("machines overdue", "overdue", overdue, "awaited", awaited)
	}
	c.awaited, c.overdue = awaited, overdue
	plan := fleet.Make(in)
	if c.Policies.Plans(c.led()) {
		plan = fleet.Decide(in, plan, func(f *policy.Fleet) []policy.Change { return c.Policies.Plan(c.led(), f, now) })
	}
	if now.Sub(l.began) < settle {
		plan.Drain = nil
	}
	for _, id := range plan.Drain {
		// Nothing has been claimed there for a while. A start that comes at the very
		// same time is lost with the machine; two marks for every machine cost more.
		l.setMark(id, ledger.Leaving, "idle")
	}
	return plan.Hire
}

// unlisted is how long the cloud's list may not show a machine.
func (l *leader) unlisted() time.Duration {
	return 3*l.c.set.Cluster.Cloud.ListLag.Duration() + 5*time.Second
}

// forgetHires drops rentals that the list shows by now, and the oldest when there
// are more than a value holds.
func (l *leader) forgetHires(now time.Time) {
	l.recent = slices.DeleteFunc(l.recent, func(h ledger.HireIntent) bool { return now.Sub(h.At.Time()) > l.unlisted() })
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
func (l *leader) rent(ctx context.Context, needs []fleet.Need) error {
	if len(needs) == 0 {
		return nil
	}
	now := time.Now()
	l.forgetHires(now)
	var asked []ledger.HireIntent
	for _, n := range needs {
		l.hires++
		// The revision of the leader's record is that of no other term, ever. A token
		// is not enough: a controller may lead twice under one, and the cloud answers a
		// name used again with the old machines and rents nothing.
		name := l.hireName()
		asked = append(asked, ledger.HireIntent{At: wire.UnixMillis(now.UnixMilli()),
			Hire: wire.Hire{Request: name, Type: n.Type, Zone: n.Zone, Spot: n.Spot, Count: min(n.Count, cloud.MaxHire)}})
	}
	asked = asked[:min(len(asked), max(1, l.c.set.ValueBytes()/ledger.HireBytes))]
	before := l.recent
	l.recent = slices.Concat(before, asked)
	l.forgetHires(now)
	value, err := json.Marshal(ledger.HiresRecord{Recent: l.recent})
	if err != nil {
		return err
	}
	l.c.Mirror.Lock()
	_, version := l.c.led().Hires()
	l.c.Mirror.Unlock()
	if _, err := l.c.Writer.Commit(ctx, wire.Txn{If: []wire.Condition{{Key: ledger.LeaderKey, Version: l.version}, {Key: ledger.HiresKey, Version: version}},
		Then: []wire.Change{{Put: ledger.HiresKey, Value: value}}}); err != nil {
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
	l.c.Mirror.Lock()
	defer l.c.Mirror.Unlock()
	_, version := l.c.led().Leader()
	return version == l.version && now.Sub(l.renewed) < leaderTTL
}

var errNotEntitled = errors.New("lead: the leader's lease may be over")

func (l *leader) hire(ctx context.Context, h ledger.HireIntent) error {
	now := time.Now()
	if !l.entitled(now) {
		return errNotEntitled
	}
	got, err := l.cloud.Hire(ctx, h.Hire)
	l.c.log.Info("hire", "request", h.Request, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "got", len(got), "err", err)
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(got) < h.Count {
		l.refused[fleet.Option{Type: h.Type, Zone: h.Zone, Spot: h.Spot}] = time.Now().Add(20 * time.Second)
	}
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		return err
	}
	if hired := h.At.Time(); hired.Before(now) {
		now = hired
	}
	for _, id := range got {
		if l.units[id] == nil {
			l.units[id] = &unit{ListedMachine: wire.ListedMachine{ID: id, Type: h.Type, Zone: h.Zone, Spot: h.Spot, State: wire.MachineBooting}, hired: now}
		}
	}
	return nil
}
