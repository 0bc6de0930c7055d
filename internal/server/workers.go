// Package server is the two parts of a controller that others talk to: Workers answers workers'
// reports, Users users' requests. Both decide under the mirror's lock, and let go of it while
// they wait.
package server

import (
	"cmp"
	"context"
	"hash/fnv"
	"log/slog"
	"slices"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// How long a report may wait for its exits and starts to be made durable: longer where the next
// one comes later. The worker gives an answer up after 4 s and drops it if it comes later.
const (
	leastWait = 1500 * time.Millisecond
	mostWait  = 2400 * time.Millisecond
)

func (c *HeartbeatServer) reportWait() time.Duration {
	return min(mostWait, max(leastWait, c.set.Cluster.Workers.Report.Duration()*3/10))
}

// HeartbeatAnswer answers a report: a response, or a status and a hint where to go.
type HeartbeatAnswer struct {
	Status   int
	Response *wire.HeartbeatResponse
	Redirect wire.Redirect
}

var goElsewhere = HeartbeatAnswer{Status: 503}

// HeartbeatServerParts are what the server of workers works with.
type HeartbeatServerParts struct {
	Cache       *watchcache.Cache
	Committer   *committer.Committer
	Membership  *membership.Membership
	Registry    *reconcile.Registry
	Failures    *crashloop.Tracker
	Topology    *topologytracker.Tracker
	Scheduler   *scheduler.Scheduler
	Completions *completion.Log
	Exchange    *completion.Exchange
}

// HeartbeatServer serves workers' reports.
type HeartbeatServer struct {
	set *settings.Settings
	HeartbeatServerParts
	stats *metrics.Set
	log   *slog.Logger

	surplus  surplus // under the mirror's lock,
	measured int     // with which picture
}

// NewHeartbeatServer returns a server of workers' reports.
func NewHeartbeatServer(
	set *settings.Settings,
	p HeartbeatServerParts,
	stats *metrics.Set,
	log *slog.Logger,
) *HeartbeatServer {
	return &HeartbeatServer{set: set, HeartbeatServerParts: p, stats: stats, log: log}
}

func (c *HeartbeatServer) led() *ledger.Ledger { return c.Cache.Records() }

// reliedOn is the time up to which no cancellation can have been missed: the
// last contact with the state service or, while it is out, the time up to which
// every peer has said that it told none that this ledger lacks.
func (c *HeartbeatServer) reliedOn(now time.Time) time.Time {
	contact := c.Cache.SyncedAt()
	if contact.IsZero() {
		return contact
	}
	if peers, ok := c.Membership.CancellationsConfirmedUntil(c.led().Revision(), now); ok && peers.After(contact) {
		return peers
	}
	return contact
}

// Heartbeat takes in one report and answers it.
func (c *HeartbeatServer) Heartbeat(ctx context.Context, r *wire.Heartbeat) HeartbeatAnswer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.reportWait())
	defer cancel()
	c.stats.Add("reports_total", 1)
	c.Cache.Lock()
	defer c.Cache.Unlock()
	c.noteCompletions(r, began)
	if a, ok := c.entitled(r, began); !ok {
		return a
	}
	w := c.Registry.Worker(r.Machine)
	if w == nil {
		w = c.Registry.Register(r, began)
		c.log.Info("worker registered",
			"machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "epoch", r.Epoch)
	}
	if a, ok := c.sendToPeerInTouch(w, began); ok {
		return a
	}
	hold, ok := c.holdToken(ctx, w, r)
	if !ok || w.Stale(r) {
		return goElsewhere
	}
	findings := c.take(w, r, hold, began)
	if a, ok := c.passOn(w, &findings, began); ok {
		return a
	}
	if !c.record(ctx, w, r, &findings, began) {
		return goElsewhere // a newer report has been taken in meanwhile
	}
	return c.answer(w, r, began)
}

// entitled reports whether this controller may act on a report at all, and else what it answers.
func (c *HeartbeatServer) entitled(r *wire.Heartbeat, began time.Time) (HeartbeatAnswer, bool) {
	if !c.Cache.Loaded() || c.Cache.Token() == 0 {
		return goElsewhere, false
	}
	if c.Membership.RecentlyPaused(began) {
		// The worker has given this report up long ago and reports elsewhere. To
		// place there and to wait for it would only take tasks from others.
		return goElsewhere, false
	}
	if began.Sub(c.reliedOn(time.Now())) > c.set.HeartbeatGrace() {
		// A cancellation may have been told meanwhile, and every answer renews
		// the lease of tasks that must then be gone.
		return c.redirect(r.Machine, began), false
	}
	if c.led().MachinePhase(r.Machine) == ledger.Terminated {
		return goElsewhere, false // a report from before the machine's end
	}
	return HeartbeatAnswer{}, true
}

// sendToPeerInTouch sends a worker to a peer while this controller alone is cut off from the state
// service: nothing can start or end here. A peer in touch does better, if the worker reaches it; if
// not, it comes back and is answered for as long as that is safe.
func (c *HeartbeatServer) sendToPeerInTouch(w *reconcile.Worker, began time.Time) (HeartbeatAnswer, bool) {
	if began.Sub(c.Cache.SyncedAt()) <= settings.StartContact || began.Sub(w.RedirectedAt) <= redirectEvery {
		return HeartbeatAnswer{}, false
	}
	a := c.redirect(w.ID, began)
	if a.Status != 421 {
		return HeartbeatAnswer{}, false
	}
	w.RedirectedAt = began
	return a, true
}

// take compares a report with the records and notes what it tells.
func (c *HeartbeatServer) take(
	w *reconcile.Worker,
	r *wire.Heartbeat,
	hold wire.FencingToken,
	began time.Time,
) reconcile.Reconciliation {
	if w.Session != 0 && r.Epoch > w.Session {
		c.log.Info("worker started a new epoch", "machine", r.Machine, "epoch", r.Epoch)
	}
	deaf := w.Unreachable()
	w.LeaseExpired(r, began, c.set.Cluster.Workers.Lease.Duration()-lateReport)
	f := w.Reconcile(r, c.led().ClaimsOn(r.Machine), hold, began)
	f.ResolveUnsent(func(j *ledger.Job) bool { return c.machinesReport(j, began) })
	if w.Unreachable() != deaf {
		if deaf {
			c.log.Info("worker reachable", "machine", r.Machine)
		} else {
			c.log.Warn("worker unreachable", "machine", r.Machine)
			c.stats.Add("machines_deaf_total", 1)
		}
	}
	if !c.Exchange.Complete(began) {
		// A peer may know that they are done; the next report shows them again.
		f.Exits = slices.DeleteFunc(
			f.Exits,
			func(e reconcile.TaskExit) bool { return e.Held.Session < r.Epoch && e.Cause == "" },
		)
	}
	c.learn(w, &f, began)
	return f
}

// machinesReport reports whether all machines that a job claims were heard lately by some controller. A
// gang that waits for one that has stopped would wait until that is found to be lost.
func (c *HeartbeatServer) machinesReport(j *ledger.Job, now time.Time) (all bool) {
	v := c.Scheduler.Snapshot(now)
	all = true
	j.Claims(func(claim ledger.Claim) bool {
		m := v.Machine(claim.Machine)
		all = m != nil && !m.Overdue
		return all
	})
	return all
}

// record has what a report proves and what the machine is given made durable, and waits for it for
// as long as the report may wait. It tells false if a newer report has been taken in meanwhile.
func (c *HeartbeatServer) record(
	ctx context.Context,
	w *reconcile.Worker,
	r *wire.Heartbeat,
	f *reconcile.Reconciliation,
	began time.Time,
) bool {
	waits := c.enqueueFindings(w, f, began)
	current := func() bool { return w.Session == r.Epoch && w.Sequence == r.Sequence }
	now := began
	for tries := 0; tries < mostTries && current(); tries++ {
		starts, anew := c.startsFor(w, now)
		for _, ch := range c.startChanges(w, starts, began.Add(c.reportWait())) {
			c.Committer.Enqueue(ch)
			waits = append(waits, ch)
		}
		ended := anew && tries == 0 && len(f.Exits) > 0
		dropped := c.await(ctx, waits)
		c.untake(starts)
		now = time.Now()
		// What was dropped is decided anew, and so is what the room of tasks whose end is now on
		// record is for: the machine would else be idle until it reports again. Where gangs of
		// several tasks want such a machine, they are to be placed first.
		if waits = nil; !(dropped && len(starts) > 0 || ended && ctx.Err() == nil) || now.Sub(began) > c.reportWait()/2 {
			break
		}
	}
	return current()
}

// mostTries is how often what a machine is given is decided for one report.
const mostTries = 3

// enqueueFindings asks for the changes that follow from what a report proves.
func (c *HeartbeatServer) enqueueFindings(
	w *reconcile.Worker,
	f *reconcile.Reconciliation,
	began time.Time,
) []*committer.Change {
	changes := reconcile.ExitChanges(c.Cache, f.Exits)
	for _, h := range f.TakeOver {
		changes = append(changes, c.takeOver(w, h, began.Add(c.reportWait())))
	}
	if !w.ReclaimAt.IsZero() {
		changes = append(changes, c.gangStops(w.ID)...)
	}
	for _, ch := range changes {
		c.Committer.Enqueue(ch)
	}
	return changes
}

// startsFor is what a machine is given now, and whether room that becomes free may be given away
// at once: not where gangs of several tasks want the machine.
func (c *HeartbeatServer) startsFor(w *reconcile.Worker, now time.Time) (starts []placement.Start, anew bool) {
	if !c.Scheduler.Usable(w, now) || now.Sub(c.Cache.SyncedAt()) >= settings.StartContact {
		return nil, true
	}
	v := c.Scheduler.Snapshot(now)
	m := v.UpdateMachine(c.Scheduler.MachineSnapshot(w, now))
	starts = placement.PlaceOnMachine(v, m)
	return starts, !v.ReservedWhole(m)
}

// answer is what a worker is told to do, by the records as they are now.
func (c *HeartbeatServer) answer(w *reconcile.Worker, r *wire.Heartbeat, began time.Time) HeartbeatAnswer {
	now := time.Now()
	mayStart := now.Sub(c.Cache.SyncedAt()) < settings.StartContact &&
		c.led().MachinePhase(r.Machine) != ledger.Terminating
	commands := w.Commands(r, c.led().ClaimsOn(r.Machine), c.led().Total(w.Type), mayStart)
	for _, command := range commands {
		if command.Op != wire.OpForget {
			c.log.Info("command",
				"op", command.Op, "job", command.Task.Job, "task", command.Task.Index, "attempt", command.Attempt,
				"machine", r.Machine, "token", w.CommandToken)
		}
		if command.Op == wire.OpStart {
			c.noteFetch(w, command.Task.Job, now)
		}
	}
	w.ObserveReachable(began)
	c.stats.Observe("report_seconds", now.Sub(began))
	return HeartbeatAnswer{Status: 200, Response: &wire.HeartbeatResponse{FencingToken: w.CommandToken, Commands: commands}}
}

// noteFetch notes that a machine fetches a job's image, unless it is believed to have it.
func (c *HeartbeatServer) noteFetch(w *reconcile.Worker, id wire.JobID, now time.Time) {
	images := c.Registry.Images(c.led(), w)
	if j := c.led().Job(id); j != nil && !images.Has(j.Spec.Image) {
		images.StartFetch(j.Spec.Image, now)
	}
}

// noteCompletions keeps what a report shows as completed, however old it is and whether or not it
// may be answered: a completion stays proof of its claim.
func (c *HeartbeatServer) noteCompletions(r *wire.Heartbeat, now time.Time) {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != wire.TaskExited || t.Cause != wire.CauseDone {
			continue
		}
		done := peer.Completion{
			Job:     t.Task.Job,
			Task:    t.Task.Index,
			Attempt: t.Attempt,
			Machine: r.Machine,
			Session: r.Epoch,
		}
		if c.CompletionUnrecorded(done) {
			c.Completions.Add(done, !c.Cache.SyncedWithin(now, settings.StartContact), now)
		}
	}
}

// CompletionUnrecorded reports, under the mirror's lock, whether the records may lack a completion: they hold the
// claim that it is of, or they are not read yet, or may be too old to show that claim.
func (c *HeartbeatServer) CompletionUnrecorded(done peer.Completion) bool {
	return !c.Cache.SyncedWithin(time.Now(), settings.StartContact) || completion.Claimed(c.led(), done)
}

// lateReport is how old a report may be when it comes, for its worker to take the answer.
const lateReport = 5 * time.Second

// redirectEvery is how often a worker is sent to another controller at most: one
// that can't reach the other must not lose its lease over it.
const redirectEvery = 12 * time.Second

// redirect names a peer that is in touch with the state service, if there is one.
func (c *HeartbeatServer) redirect(m wire.MachineID, now time.Time) HeartbeatAnswer {
	fit := c.Membership.ReachablePeers(now)
	if len(fit) == 0 {
		return goElsewhere
	}
	h := fnv.New32a()
	h.Write([]byte(m))
	return HeartbeatAnswer{Status: 421, Redirect: wire.Redirect{ReportTo: fit[int(h.Sum32()%uint32(len(fit)))]}}
}

// holdToken chooses the token to command a worker under: the one it is held
// under already while the worker has seen no higher one, else a newer one of
// ours. It may wait for that with the lock released. One that seems deaf is to show a
// token that it has not seen before, which is not waited for.
func (c *HeartbeatServer) holdToken(
	ctx context.Context,
	w *reconcile.Worker,
	r *wire.Heartbeat,
) (wire.FencingToken, bool) {
	if w.CommandToken != 0 && r.FencingToken <= w.CommandToken {
		switch t := c.Cache.Token(); {
		case w.ProvesAbsence(w.CommandToken):
		case w.ProvesAbsence(t):
			return t, true
		default:
			c.Cache.RequestToken(t)
		}
		return w.CommandToken, true
	}
	for r.FencingToken > c.Cache.Token() {
		c.Cache.RequestToken(r.FencingToken)
		c.Cache.Unlock()
		wait.For(ctx, 20*time.Millisecond)
		c.Cache.Lock()
		if ctx.Err() != nil {
			return 0, false
		}
	}
	return c.Cache.Token(), true
}

// learn notes what a report tells of images and faults.
func (c *HeartbeatServer) learn(w *reconcile.Worker, f *reconcile.Reconciliation, now time.Time) {
	im := c.Registry.Images(c.led(), w)
	for _, s := range f.Seen {
		spec := s.Held.Job.Spec
		if s.State == wire.TaskFetching {
			im.StartFetch(spec.Image, now)
		} else {
			im.Use(spec.Image, spec.ImageGB)
		}
	}
	for _, e := range f.Exits {
		j := e.Held.Job
		c.log.Info("task exited", "job", j.ID, "task", e.Task, "attempt", e.Held.Attempt, "machine", w.ID,
			"cause", e.Cause, "saved", e.Saved, "session", w.Session)
		c.stats.Add("exits_total", 1)
		switch e.Cause {
		case wire.CauseDone:
			c.Failures.Completed(j, e.Task, w.ID, c.Topology.BlockOf(w), e.Ran, now)
			if e.Held.Session == w.Session {
				im.Use(j.Spec.Image, j.Spec.ImageGB)
			} else {
				c.stats.Add("completions_recalled_total", 1)
			}
		case wire.CauseError:
			c.Failures.Failed(j, e.Task, w.ID, c.Topology.BlockOf(w), now)
		case wire.CauseInsufficientRoom:
			w.CordonedUntil = now.Add(2 * c.set.Cluster.Workers.Report.Duration())
		case wire.CauseBusy:
			c.Failures.Avoid(j.ID, w.ID, now)
		case wire.CauseNotFound:
			c.Failures.Retry(j.ID, now.Add(5*time.Second))
		case wire.CauseGangPeerLost:
			c.Topology.ObservePartition(j, e.Held.Attempt, now)
		case wire.CauseGangIncomplete:
			c.Failures.Retry(j.ID, now.Add(2*time.Second))
		}
	}
}

// gangStops asks all holders of the gangs on a machine that is being taken back
// to stop them. A gang saves only if all its tasks are told nearly at once.
func (c *HeartbeatServer) gangStops(m wire.MachineID) []*committer.Change {
	var out []*committer.Change
	for _, h := range c.led().ClaimsOn(m) {
		if h.Job.Spec.Shape != wire.Gang || h.Job.Spec.Tasks < 2 || h.Job.Stop >= h.Attempt ||
			h.Job.State != ledger.Active {
			continue
		}
		id, attempt := h.Job.ID, h.Attempt
		out = append(
			out,
			&committer.Change{
				Expires:   true,
				ExpiresAt: time.Now().Add(c.reportWait()),
				Draft: func(d *ledger.Transaction) error {
					if j := c.led().Job(id); j != nil {
						return d.PreemptGang(j, attempt)
					}
					return ledger.ErrPreconditionFailed
				},
			},
		)
	}
	return out
}

// takeOver has a gang's tasks that gave up waiting wait on, or those that were never sent begin, though
// another controller claimed them: the claim comes under our token, and the answer starts them. A gang
// whose machines change hands while one of them fetches would else begin anew each time.
func (c *HeartbeatServer) takeOver(w *reconcile.Worker, h ledger.HeldClaim, until time.Time) *committer.Change {
	id, attempt, site := h.Job.ID, h.Attempt, c.siteOf(w)
	return &committer.Change{Expires: true, ExpiresAt: until, Draft: func(d *ledger.Transaction) error {
		if j := c.led().Job(id); j != nil && c.holds(w, site) {
			return d.TakeOver(j, attempt, site)
		}
		return ledger.ErrPreconditionFailed
	}}
}

// siteOf is a machine as claims name it, under the token that it is held under now.
func (c *HeartbeatServer) siteOf(w *reconcile.Worker) ledger.ClaimTarget {
	m := placement.Machine{ID: w.ID, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Session: w.Session, Token: w.CommandToken}
	return m.ClaimTarget()
}

// holds reports whether a machine is still heard and held as when something was decided for it.
func (c *HeartbeatServer) holds(w *reconcile.Worker, site ledger.ClaimTarget) bool {
	return c.Registry.Worker(w.ID) == w && w.Session == site.Session && w.CommandToken == site.Token
}

// await waits, with the lock released, until changes are durable or dropped and
// reports whether any was not made. When ctx ends first it gives up.
func (c *HeartbeatServer) await(ctx context.Context, waits []*committer.Change) (dropped bool) {
	if len(waits) == 0 {
		return false
	}
	c.Cache.Unlock()
	defer c.Cache.Lock()
	for _, ch := range waits {
		select {
		case err := <-ch.Done():
			dropped = dropped || err != nil
		case <-ctx.Done():
			return false
		}
	}
	return dropped
}

func (c *HeartbeatServer) untake(starts []placement.Start) {
	for _, s := range starts {
		c.Scheduler.CountStarted(s.Job.ID, -s.Count)
	}
}

// startChanges returns the claims to commit for what a machine is given: those of
// work that takes what others leave by themselves.
func (c *HeartbeatServer) startChanges(
	w *reconcile.Worker,
	starts []placement.Start,
	until time.Time,
) []*committer.Change {
	var first, spare []placement.Start
	for _, s := range starts {
		// Other reports that come meanwhile must not be given the same tasks.
		c.Scheduler.CountStarted(s.Job.ID, s.Count)
		if s.Job.BestEffort() {
			spare = append(spare, s)
		} else {
			first = append(first, s)
		}
	}
	var out []*committer.Change
	if len(first) > 0 {
		out = append(out, c.startChange(w, first, until))
	}
	if len(spare) > 0 {
		ch := c.startChange(w, spare, until)
		ch.BestEffort = true
		out = append(out, ch)
	}
	return out
}

// startChange returns the claim to commit for some of what a machine is given.
func (c *HeartbeatServer) startChange(
	w *reconcile.Worker,
	starts []placement.Start,
	until time.Time,
) *committer.Change {
	site := c.siteOf(w)
	var claimed []placement.Start // by the draft made last
	made := func() {
		for _, s := range claimed {
			c.log.Info("task started", "job", s.Job.ID, "tasks", s.Count, "machine", w.ID, "image", s.How)
			c.stats.Add("starts_"+string(s.How)+"_total", 1)
		}
	}
	late := slices.ContainsFunc(starts, func(s placement.Start) bool { return s.Late })
	first := slices.MinFunc(starts, func(a, b placement.Start) int {
		return cmp.Compare(a.Job.Spec.Priority.Rank(), b.Job.Spec.Priority.Rank())
	})
	return &committer.Change{
		Expires:   true,
		ExpiresAt: until,
		Overdue:   late,
		Priority:  first.Job.Spec.Priority,
		OnCommit:  made,
		Draft: func(d *ledger.Transaction) error {
			claimed = nil
			if !c.holds(w, site) {
				return ledger.ErrPreconditionFailed
			}
			// A gang may have been placed there meanwhile; what does not fit any more
			// would be refused by the worker.
			free := c.led().Free(site)
			err := ledger.ErrPreconditionFailed
			for _, s := range starts {
				j := c.led().Job(s.Job.ID)
				if j == nil || free.Times(j.Need, s.Count) < s.Count {
					continue
				}
				free = free.Add(j.Need, -s.Count)
				var er error
				if j.Spec.Shape == wire.Gang {
					er = d.ClaimGang(j, []ledger.GangPart{{Site: site, Count: s.Count}})
				} else {
					_, er = d.Claim(j, site, s.Count, c.Failures.BackedOff(j.ID))
				}
				if er == nil {
					claimed = append(claimed, s)
					err = nil
				} else if er == ledger.ErrTransactionFull && err != nil {
					return er
				}
			}
			return err
		},
	}
}

// sweepEvery is how often jobs are looked for that are to be ended.
const sweepEvery = 2 * time.Second

// RemoveSilentWorkers ends jobs whose last tasks were recorded by two controllers at once, until ctx ends.
func (c *HeartbeatServer) RemoveSilentWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, sweepEvery)
		c.Cache.Read(func(l *ledger.Ledger) {
			l.EachActive(func(j *ledger.Job) {
				if j.Spec.Shape != wire.Service && j.Done == j.Spec.Tasks {
					id := j.ID
					c.Committer.Enqueue(
						&committer.Change{
							Expires:   true,
							ExpiresAt: time.Now().Add(time.Second),
							Draft: func(d *ledger.Transaction) error {
								if j := c.led().Job(id); j != nil {
									return d.CompleteJob(j)
								}
								return ledger.ErrPreconditionFailed
							},
						},
					)
				}
			})
		})
	}
	return ctx.Err()
}
