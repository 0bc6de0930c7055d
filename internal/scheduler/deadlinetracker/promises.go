// Package deadlinetracker is the part of a controller that keeps galleries: it ties jobs to them as they
// are accepted, and, while it leads or has a newer register than the leader, brings the records up to the operators' register, judges which
// promises are at risk, kept or broken, and tells of what is promised beyond what the fleet can do
// (docs/promises.md). All that lasts is in the records, each change conditioned on the one before:
// whoever leads next goes on where this one ended.
//
// It has no lock: but for its duties, it is used under the mirror's.
package deadlinetracker

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/settings/configfile"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Parts are what galleries are kept with.
type Parts struct {
	Cache      *watchcache.Cache
	Committer  *committer.Committer
	RunTimes   *estimate.RunTimes
	Membership *membership.Membership
	Registry   *reconcile.Registry
}

// Tracker is that part of a controller.
type Tracker struct {
	set *settings.Settings
	Parts
	stats *metrics.Set
	log   *slog.Logger

	register *deadline.Register // nil: no register is given
	needs    map[wire.GalleryName]need
	tiedAt   time.Time // when jobs were last looked through for ties
	refused  map[wire.GalleryName]int
	over     string // what was last told of promises beyond the fleet
	asked    map[wire.GalleryName]*committer.Change
}

// need is what is left of a gallery.
type need struct {
	longest time.Duration // of its jobs, each with its fetch
	waiting bool          // some tasks are not yet on a machine
	work    float64       // machines' time, in seconds
}

// New returns promises without a register.
func New(set *settings.Settings, p Parts, stats *metrics.Set, log *slog.Logger) *Tracker {
	return &Tracker{
		set:     set,
		Parts:   p,
		stats:   stats,
		log:     log,
		needs:   map[wire.GalleryName]need{},
		refused: map[wire.GalleryName]int{},
		asked:   map[wire.GalleryName]*committer.Change{},
	}
}

func (p *Tracker) led() *ledger.Ledger { return p.Cache.Records() }

// Set takes over a register.
func (p *Tracker) Set(r *deadline.Register) {
	p.Cache.Lock()
	defer p.Cache.Unlock()
	p.register, p.tiedAt = r, time.Time{}
	clear(p.refused)
}

// Read reads and checks a register's file. An error names file, line and reason.
func Read(path string, set *settings.Settings) (*deadline.Register, error) {
	var teams []wire.Team
	if set != nil {
		for _, t := range set.Cluster.Teams {
			teams = append(teams, t.Name)
		}
	}
	return configfile.Read(path, func(b []byte) (*deadline.Register, error) { return deadline.Parse(b, teams) })
}

// Reload reads the register's file again when it changes, until ctx ends. A file that is wrong, or
// gone, leaves what was read last in force.
func (p *Tracker) Reload(ctx context.Context, path string) error {
	return configfile.Follow(ctx, path, nil, func() {
		r, err := Read(path, p.set)
		if err != nil {
			p.stats.Add("registers_refused_total", 1)
			p.log.Error("register not taken; the one before stays", "err", strings.ReplaceAll(err.Error(), "\n", "; "))
			return
		}
		p.Set(r)
		p.log.Info("register read", "file", path, "register", r.String())
	})
}

// GalleryOf is the gallery that a job is to be tied to as it is accepted, nil if none: the first
// that names it and is on record and not over. The record decides: a register that differs from
// others' can't tie to what nobody opened.
func (p *Tracker) GalleryOf(s *wire.JobSpec, flow wire.WorkflowID) *ledger.Gallery {
	for _, n := range p.register.GalleriesOf(s, flow) {
		if g := p.led().Gallery(n); g != nil && !g.Ended() && g.Team == s.Team {
			return g
		}
	}
	return nil
}

// Reconcile works out what is left of every gallery, from the jobs that are not over.
func (p *Tracker) Reconcile(now time.Time) {
	clear(p.needs)
	p.led().EachActive(func(j *ledger.Job) {
		if j.Gallery == "" {
			return
		}
		f, pending := p.flavorOf(j), j.Pending()
		n := p.needs[j.Gallery]
		long := p.RunTimes.Expected(j) * 5 / 4
		if pending > 0 {
			long += placement.FetchTime(j.Spec.ImageGB, f.FetchGBps)
		}
		n.longest, n.waiting = max(n.longest, long), n.waiting || pending > 0
		if room := ledger.NewResources(f.CPUs, f.GPUs, f.MemoryGB).Times(j.Need, 1<<20); room > 0 {
			n.work += float64(pending+j.Claimed) / float64(room) * long.Seconds()
		}
		p.needs[j.Gallery] = n
	})
}

// flavorOf is a machine type that a job may run on.
func (p *Tracker) flavorOf(j *ledger.Job) (f wire.MachineType) {
	for name, o := range p.led().MachineTypes() {
		if j.Spec.Types == nil || slices.Contains(j.Spec.Types, name) {
			if f.Name == "" || name < f.Name {
				f = o
			}
		}
	}
	return f
}

// LatestStart is when a job must start for its gallery to be done by the promised date: all jobs of a
// gallery share the time that its longest one leaves. False if it is tied to none that is open.
func (p *Tracker) LatestStart(j *ledger.Job) (time.Time, bool) {
	g := p.led().Gallery(j.Gallery)
	if j.Gallery == "" || g == nil || g.Ended() {
		return time.Time{}, false
	}
	return g.Date().Time().Add(-p.needs[j.Gallery].longest), true
}

// CountGalleries counts the galleries that are not over, and those of them at risk.
func CountGalleries(l *ledger.Ledger) (open, risky int) {
	l.EachGallery(func(g *ledger.Gallery) {
		if !g.Ended() {
			open++
			if g.State == ledger.GalleryAtRisk {
				risky++
			}
		}
	})
	return open, risky
}

const (
	passEvery = time.Second
	tieEvery  = 5 * time.Second
	// mostAtOnce bounds the changes asked for in a pass: they share the budget with starts.
	mostAtOnce = 8
)

// RegisterEdition is that of the register that was given; 0: none.
func (p *Tracker) RegisterEdition() int {
	if p.register == nil {
		return 0
	}
	return p.register.Revision
}

// heardLately is how long ago a peer may have told its edition to count.
const heardLately = 5 * time.Second

// keeps reports whether this controller is the one to keep the records: the fleet's leader, or, if
// others have a newer edition of the register, the first of those by name. Two that both take
// themselves for it only conflict. A job accepted before the register came once stayed untied,
// since the only controller with the edition in force did not lead.
func (p *Tracker) keeps(now time.Time) bool {
	leads, _ := p.led().Leader()
	newest, keeper, leader := p.RegisterEdition(), p.set.Member, p.RegisterEdition()
	for _, o := range p.Membership.Peers() {
		if now.Sub(o.AsOf) > heardLately {
			continue
		}
		if e := o.Status.RegisterEdition; e > newest || e == newest && o.Status.Member < keeper {
			newest, keeper = e, o.Status.Member
		}
		if o.Status.Member == leads.Member {
			leader = o.Status.RegisterEdition
		}
	}
	if leader == newest {
		keeper = leads.Member
	}
	return keeper == p.set.Member
}

// Run keeps the records while it is for this controller to do, until ctx ends.
func (p *Tracker) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, passEvery)
		p.Cache.Lock()
		if now := time.Now(); p.Cache.SyncedWithin(now, settings.StartContact) && p.keeps(now) {
			p.pass(now)
		}
		p.Cache.Unlock()
	}
	return ctx.Err()
}

// pass asks for what the records lack, under the mirror's lock.
func (p *Tracker) pass(now time.Time) {
	left := mostAtOnce
	ask := func(n wire.GalleryName, made func(), draft func(d *ledger.Transaction) error) {
		if ch := p.asked[n]; ch != nil && len(ch.Done()) == 0 {
			return // on its way
		}
		left--
		ch := &committer.Change{
			Class:     committer.ClassStart,
			ExpiresAt: now.Add(5 * time.Second),
			OnCommit:  made,
			Draft:     draft,
		}
		p.asked[n] = ch
		p.Committer.Enqueue(ch)
	}
	for n, ch := range p.asked {
		if len(ch.Done()) > 0 {
			delete(p.asked, n)
		}
	}
	f, _ := p.led().Format()
	if f.Format < ledger.GalleryFormat {
		return
	}
	p.Reconcile(now)
	inForce := p.register != nil && p.register.Revision == p.led().Register()
	if p.register != nil && p.register.Revision > p.led().Register() {
		revision := p.register.Revision
		ask(
			"",
			func() { p.log.Info("register in force", "revision", revision) },
			func(d *ledger.Transaction) error { return d.UpgradeRegister(revision) },
		)
	}
	if inForce {
		p.reconcile(now, &left, ask)
		p.tie(now, &left)
	}
	var loads []deadline.Load
	p.led().EachGallery(func(g *ledger.Gallery) {
		if left <= 0 {
			return
		}
		if g.Ended() {
			p.archive(g, ask)
			return
		}
		loads = append(loads, deadline.Load{Name: g.Name, Date: g.Date().Time(), Work: p.needs[g.Name].work})
		p.judge(g, inForce, now, ask)
	})
	p.tellOvercommitment(loads, now)
}

// reconcile opens galleries and changes dates as the register in force has them. Withdrawn ones
// are judged with the rest.
func (p *Tracker) reconcile(
	now time.Time,
	left *int,
	ask func(wire.GalleryName, func(), func(*ledger.Transaction) error),
) {
	revision, at := p.register.Revision, wire.UnixMillis(now.UnixMilli())
	for i := range p.register.Entries {
		if *left <= 0 {
			return
		}
		e := &p.register.Entries[i]
		date := wire.UnixMillis(e.Promised.UnixMilli())
		g := p.led().Gallery(e.Name)
		switch {
		case p.refused[e.Name] == revision:
		case g == nil && e.Promised.Before(now):
			p.refused[e.Name] = revision
			p.log.Warn("gallery not opened: its date is over", "gallery", e.Name, "promised", e.Promised)
		case g == nil:
			ask(
				e.Name,
				func() { p.log.Info("gallery opened", "gallery", e.Name, "team", e.Team, "promised", e.Promised) },
				func(d *ledger.Transaction) error {
					return d.OpenGallery(e.Name, e.Team, ledger.Promise{At: at, Date: date, Why: e.Why}, revision)
				},
			)
		case !g.Ended() && g.Date() != date:
			ask(
				e.Name,
				func() { p.log.Info("date changed", "gallery", e.Name, "promised", e.Promised, "why", e.Why) },
				func(d *ledger.Transaction) error {
					g := p.led().Gallery(e.Name)
					if g == nil {
						return ledger.ErrPreconditionFailed
					}
					err := d.ChangeDate(g, ledger.Promise{At: at, Date: date, Why: e.Why}, revision)
					if errors.Is(err, ledger.ErrManyDates) && p.refused[e.Name] != revision {
						p.refused[e.Name] = revision
						p.log.Warn("date not changed", "gallery", e.Name, "err", err)
					}
					return err
				},
			)
		}
	}
}

// tie ties jobs that were accepted before the register named them.
func (p *Tracker) tie(now time.Time, left *int) {
	if now.Sub(p.tiedAt) < tieEvery {
		return
	}
	p.tiedAt = now
	p.led().EachActive(func(j *ledger.Job) {
		if j.Gallery != "" || *left <= 0 {
			return
		}
		g := p.GalleryOf(j.Spec, j.Workflow)
		if g == nil {
			return
		}
		*left--
		id, name := j.ID, g.Name
		p.Committer.Enqueue(
			&committer.Change{
				Class:     committer.ClassStart,
				ExpiresAt: now.Add(tieEvery),
				Draft: func(d *ledger.Transaction) error {
					j, g := p.led().Job(id), p.led().Gallery(name)
					if j == nil || g == nil {
						return ledger.ErrPreconditionFailed
					}
					return d.AssignGallery(j, g)
				},
			},
		)
	})
	if *left <= 0 {
		p.tiedAt = time.Time{} // there are more
	}
}

// judge moves a gallery to the state that it is in by what is on record.
func (p *Tracker) judge(
	g *ledger.Gallery,
	inForce bool,
	now time.Time,
	ask func(wire.GalleryName, func(), func(*ledger.Transaction) error),
) {
	e := p.register.Entry(g.Name)
	to, why := deadline.Evaluate(p.facts(g, inForce, e), p.margin(), p.skew(), now)
	if to == g.State {
		return
	}
	name, at, revision := g.Name, wire.UnixMillis(now.UnixMilli()), p.led().Register()
	made := func() {
		p.stats.Add("galleries_"+strings.ReplaceAll(string(to), " ", "_")+"_total", 1)
		switch to {
		case ledger.GalleryAtRisk, ledger.GalleryBroken:
			p.log.Warn("gallery "+string(to), "gallery", name, "why", why)
		case ledger.GalleryOpen:
			p.log.Info("gallery no longer at risk", "gallery", name, "why", why)
		default:
			p.log.Info("gallery "+string(to), "gallery", name, "why", why)
		}
	}
	ask(name, made, func(d *ledger.Transaction) error {
		g := p.led().Gallery(name)
		if g == nil {
			return ledger.ErrPreconditionFailed
		}
		// What was decided may no longer hold by what is on record now.
		if now, _ := deadline.Evaluate(p.facts(g, inForce, e), p.margin(), p.skew(), now); now != to {
			return ledger.ErrPreconditionFailed
		}
		if to == ledger.GalleryWithdrawn {
			return d.WithdrawGallery(g, why, at, revision)
		}
		return d.MoveGallery(g, to, why, at)
	})
}

func (p *Tracker) facts(g *ledger.Gallery, inForce bool, e *deadline.Entry) *deadline.Facts {
	n := p.needs[g.Name]
	f := &deadline.Facts{Date: g.Date().Time(), State: g.State, Count: g.Count, Need: n.longest,
		Complete: e != nil && e.Complete, Withdrawn: inForce && e == nil}
	if n.waiting {
		for _, o := range p.led().MachineTypes() {
			f.Machines = max(f.Machines, o.Boot.Duration())
		}
	}
	return f
}

func (p *Tracker) margin() time.Duration {
	if p.register == nil {
		return time.Minute
	}
	return p.register.Margin
}

func (p *Tracker) skew() time.Duration {
	return time.Duration(p.set.Cluster.SkewMillis * float64(time.Millisecond))
}

// archive moves a gallery that is over out of the records once its jobs have left them.
func (p *Tracker) archive(g *ledger.Gallery, ask func(wire.GalleryName, func(), func(*ledger.Transaction) error)) {
	if g.HasJobs() || !p.set.Operators.Archive {
		return
	}
	name := g.Name
	ask(name, nil, func(d *ledger.Transaction) error {
		if g := p.led().Gallery(name); g != nil {
			return d.ArchiveGallery(g)
		}
		return ledger.ErrPreconditionFailed
	})
}

// tellOvercommitment warns once of galleries that the fleet, as it is now, can't all keep.
func (p *Tracker) tellOvercommitment(loads []deadline.Load, now time.Time) {
	machines := p.Registry.Len()
	for _, o := range p.Membership.Peers() {
		machines += len(o.Status.Machines)
	}
	if machines == 0 || len(loads) == 0 {
		return
	}
	for i := range loads {
		loads[i].Work /= float64(machines)
	}
	list := deadline.Overcommitted(loads, now)
	if text := fmt.Sprint(list); text != p.over {
		if p.over = text; len(list) > 0 {
			p.log.Warn("more is promised than the fleet can do as it is",
				"galleries", list[:min(len(list), 20)], "of", len(list), "machines", machines)
		}
	}
}
