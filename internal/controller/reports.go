package controller

import (
	"context"
	"hash/fnv"
	"time"

	"maddermill/internal/ledger"
	"maddermill/internal/place"
	"maddermill/internal/workers"
	"maddermill/wire"
)

// How long a report may wait for its exits and starts to be made durable. The
// worker gives an answer up after 4 s and drops it if it comes later.
const reportWait = 1500 * time.Millisecond

// startContact bounds how long ago the last contact with the state service may
// be when a start is sent.
const startContact = 4 * time.Second

// ReportAnswer answers a report: a response, or a status and a hint where to go.
type ReportAnswer struct {
	Status   int
	Response *wire.ReportResponse
	Redirect wire.Redirect
}

var goElsewhere = ReportAnswer{Status: 503}

// Report takes in one report and answers it.
func (c *Core) Report(ctx context.Context, r *wire.Report) ReportAnswer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	c.Stats.Add("reports_total", 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || c.token == 0 {
		return goElsewhere
	}
	if c.justBack(began) {
		// The worker has given this report up long ago and reports elsewhere. To
		// place there and to wait for it would only take tasks from others.
		return goElsewhere
	}
	if began.Sub(c.reliedOn()) > c.set.ReportGrace() {
		// A cancellation may have been told meanwhile, and every answer renews
		// the lease of tasks that must then be gone.
		return c.redirect(r.Machine, began)
	}
	if c.led.Mark(r.Machine) == ledger.Gone {
		return goElsewhere // a report from before the machine's end
	}
	w := c.workers[r.Machine]
	if w == nil {
		w = workers.NewWorker(r, began)
		c.workers[r.Machine] = w
		c.log.Info("machine heard", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "session", r.Session)
	}
	if began.Sub(c.contact) > startContact && began.Sub(w.Sent) > redirectEvery {
		// Cut off from the state service, nothing can start or end here. A peer
		// in touch does better, if the worker reaches it; if not, it comes back
		// and is answered for as long as that is safe.
		if a := c.redirect(r.Machine, began); a.Status == 421 {
			w.Sent = began
			return a
		}
	}
	hold, ok := c.holdToken(ctx, w, r)
	if !ok || w.Stale(r) {
		return goElsewhere
	}
	if w.Session != 0 && r.Session > w.Session {
		c.log.Info("machine began a new session", "machine", r.Machine, "session", r.Session)
	}
	f := w.Take(r, c.led.HeldBy(r.Machine), hold, began)
	c.learn(w, &f, began)
	if a, ok := c.passOn(w, &f, began); ok {
		return a
	}
	var waits []*change
	for _, ch := range c.exitChanges(f.Exits) {
		c.enqueue(ch)
		waits = append(waits, ch)
	}
	if !w.Recall.IsZero() {
		for _, ch := range c.gangStops(r.Machine) {
			c.enqueue(ch)
			waits = append(waits, ch)
		}
	}
	current := func() bool { return w.Session == r.Session && w.Tally == r.Tally }
	now := began
	for tries := 0; tries < 3 && current(); tries++ {
		var starts []place.Start
		if c.usable(w, now) && now.Sub(c.contact) < startContact {
			v := c.view(now)
			starts = place.OnRoom(v, v.Put(c.machineOf(w, now)))
		}
		made := c.startChanges(w, starts, began.Add(reportWait))
		for _, ch := range made {
			c.enqueue(ch)
			waits = append(waits, ch)
		}
		dropped := c.await(ctx, waits)
		c.untake(starts)
		now = time.Now()
		if waits = nil; !dropped || len(starts) == 0 || now.Sub(began) > reportWait/2 {
			break
		}
	}
	if !current() {
		return goElsewhere // a newer report has been taken in meanwhile
	}
	cmds := w.Commands(r, c.led.HeldBy(r.Machine), c.total(w.Type), now.Sub(c.contact) < startContact && c.led.Mark(r.Machine) != ledger.Leaving)
	for _, cmd := range cmds {
		if cmd.Op != wire.OpForget {
			c.log.Info("command", "op", cmd.Op, "job", cmd.Task.Job, "task", cmd.Task.Index, "attempt", cmd.Attempt, "machine", r.Machine, "token", w.Hold)
		}
		if im := c.imagesOf(w); cmd.Op == wire.OpStart {
			if j := c.led.Job(cmd.Task.Job); j != nil && !im.Has(j.Spec.Image) {
				im.Fetching(j.Spec.Image, now)
			}
		}
	}
	c.Stats.Took("report_seconds", now.Sub(began))
	return ReportAnswer{Status: 200, Response: &wire.ReportResponse{Token: w.Hold, Commands: cmds}}
}

// redirectEvery is how often a worker is sent to another controller at most: one
// that can't reach the other must not lose its lease over it.
const redirectEvery = 12 * time.Second

// redirect names a peer that is in touch with the state service, if there is one.
func (c *Core) redirect(m wire.MachineID, now time.Time) ReportAnswer {
	fit := c.peersInTouch(now)
	if len(fit) == 0 {
		return goElsewhere
	}
	h := fnv.New32a()
	h.Write([]byte(m))
	return ReportAnswer{Status: 421, Redirect: wire.Redirect{ReportTo: fit[int(h.Sum32()%uint32(len(fit)))]}}
}

// holdToken chooses the token to command a worker under: the one it is held
// under already while the worker has seen no higher one, else a newer one of
// ours. It may wait for that with the lock released.
func (c *Core) holdToken(ctx context.Context, w *workers.Worker, r *wire.Report) (wire.Token, bool) {
	if w.Hold != 0 && r.Token <= w.Hold {
		return w.Hold, true
	}
	for r.Token > c.token {
		select {
		case c.wantToken <- r.Token:
		default:
		}
		c.mu.Unlock()
		sleep(ctx, 20*time.Millisecond)
		c.mu.Lock()
		if ctx.Err() != nil {
			return 0, false
		}
	}
	return c.token, true
}

func (c *Core) imagesOf(w *workers.Worker) *place.Images {
	im := c.images[w.ID]
	if im == nil || im.session != w.Session {
		f, _ := c.led.Flavor(w.Type)
		fresh := &imageState{w.Session, place.NewImages(f.CacheGB)}
		if im == nil {
			// Another controller may have held it in this session.
			for _, p := range c.peers {
				for i := range p.status.Machines {
					if m := &p.status.Machines[i]; m.ID == w.ID && m.Session == w.Session {
						for _, name := range m.Images {
							fresh.images.Used(name, 0)
						}
					}
				}
			}
		}
		c.images[w.ID] = fresh
		im = fresh
	}
	return im.images
}

// learn notes what a report tells of images and faults.
func (c *Core) learn(w *workers.Worker, f *workers.Findings, now time.Time) {
	im := c.imagesOf(w)
	for _, s := range f.Seen {
		spec := s.Held.Job.Spec
		if s.State == wire.TaskFetching {
			im.Fetching(spec.Image, now)
		} else {
			im.Used(spec.Image, spec.ImageGB)
		}
	}
	for _, e := range f.Exits {
		j := e.Held.Job
		n := c.notes(j.ID)
		c.log.Info("task over", "job", j.ID, "task", e.Task, "attempt", e.Held.Attempt, "machine", w.ID,
			"cause", e.Cause, "saved", e.Saved, "session", w.Session)
		c.Stats.Add("exits_total", 1)
		switch e.Cause {
		case wire.CauseDone:
			clear(w.Errors) // a machine that completes work is not the one at fault
			if e.Ran > 0 && j.Spec.Estimate > 0 {
				c.classes.note(j.Spec.Class, e.Ran, j.Spec.Estimate.Duration())
			}
			im.Used(j.Spec.Image, j.Spec.ImageGB)
		case wire.CauseError:
			c.failed(w, &e, now)
		case wire.CauseNoRoom:
			w.NoPlace = now.Add(2 * c.set.Cluster.Workers.Report.Duration())
		case wire.CauseBusy:
			n.avoid[w.ID] = now
		case wire.CauseUnknown:
			n.retry = now.Add(5 * time.Second)
		case wire.CausePeers:
			c.parts(j, e.Held.Attempt, now)
		case wire.CauseAlone:
			n.retry = now.Add(2 * time.Second)
		}
	}
}

func (c *Core) notes(id wire.JobID) *jobNotes {
	n := c.jobs[id]
	if n == nil {
		n = &jobNotes{avoid: map[wire.MachineID]time.Time{}}
		c.jobs[id] = n
	}
	return n
}

// usable reports whether a machine may be given tasks. A worker just taken over
// must first report under our token.
func (c *Core) usable(w *workers.Worker, now time.Time) bool {
	_, known := c.led.Flavor(w.Type)
	return known && w.Fresh && w.Recall.IsZero() && c.led.Mark(w.ID) == "" && !now.Before(w.NoPlace) && !c.faulty(w, now)
}

// isSpare reports whether a job only takes what others leave, also of the budget of
// changes.
func isSpare(j *ledger.Job) bool { return j.Spec.Priority == wire.Low }

// exitChanges makes one change a job out of what is over.
func (c *Core) exitChanges(exits []workers.Exit) []*change {
	byJob := map[*ledger.Job][]workers.Exit{}
	var order []*ledger.Job
	for _, e := range exits {
		if byJob[e.Held.Job] == nil {
			order = append(order, e.Held.Job)
		}
		byJob[e.Held.Job] = append(byJob[e.Held.Job], e)
	}
	var out []*change
	for _, j := range order {
		list := byJob[j]
		out = append(out, &change{spare: isSpare(j), draft: func(d *ledger.Draft) error { return c.draftExits(d, j.ID, list) }})
	}
	return out
}

// gangStops asks all holders of the gangs on a machine that is being taken back
// to stop them. A gang saves only if all its tasks are told nearly at once.
func (c *Core) gangStops(m wire.MachineID) []*change {
	var out []*change
	for _, h := range c.led.HeldBy(m) {
		if h.Job.Spec.Shape != wire.Gang || h.Job.Spec.Tasks < 2 || h.Job.Stop >= h.Attempt || h.Job.State != ledger.Active {
			continue
		}
		id, attempt := h.Job.ID, h.Attempt
		out = append(out, &change{drop: true, until: time.Now().Add(reportWait), draft: func(d *ledger.Draft) error {
			if j := c.led.Job(id); j != nil {
				return d.StopGang(j, attempt)
			}
			return ledger.ErrStale
		}})
	}
	return out
}

// draftExits records what is over, together what was one claim and ended alike.
func (c *Core) draftExits(d *ledger.Draft, id wire.JobID, list []workers.Exit) error {
	j := c.led.Job(id)
	if j == nil {
		return ledger.ErrStale
	}
	type group struct {
		claim ledger.Claim
		part  int
		done  bool
	}
	tasks := map[group][]wire.TaskIndex{}
	var order []group
	for _, e := range list {
		g := group{e.Held.Claim, e.Held.Range(), e.Cause == wire.CauseDone}
		g.claim.First, g.claim.Count = 0, 0 // pieces of one start go together
		if tasks[g] == nil {
			order = append(order, g)
		}
		tasks[g] = append(tasks[g], e.Task)
	}
	err := ledger.ErrStale
	for _, g := range order {
		switch _, er := d.Exit(j, g.claim, tasks[g], g.done); er {
		case nil:
			err = nil
			if !g.done && j.Spec.Shape == wire.Gang && j.Spec.Tasks > 1 && j.State == ledger.Active {
				// The gang has lost a member: its others stop and save if they
				// still can, and all start again together.
				_ = d.StopGang(j, g.claim.Attempt)
			}
		case ledger.ErrStale:
		default:
			return er
		}
	}
	return err
}

// await waits, with the lock released, until changes are durable or dropped and
// reports whether any was not made. When ctx ends first it gives up.
func (c *Core) await(ctx context.Context, waits []*change) (dropped bool) {
	if len(waits) == 0 {
		return false
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	for _, ch := range waits {
		select {
		case err := <-ch.done:
			dropped = dropped || err != nil
		case <-ctx.Done():
			return false
		}
	}
	return dropped
}

func (c *Core) untake(starts []place.Start) {
	for _, s := range starts {
		c.notes(s.Job.ID).taken -= s.Count
	}
}

// startChanges returns the claims to commit for what a machine is given: those of
// work that takes what others leave by themselves.
func (c *Core) startChanges(w *workers.Worker, starts []place.Start, until time.Time) []*change {
	var first, spare []place.Start
	for _, s := range starts {
		// Other reports that come meanwhile must not be given the same tasks.
		c.notes(s.Job.ID).taken += s.Count
		if isSpare(s.Job) {
			spare = append(spare, s)
		} else {
			first = append(first, s)
		}
	}
	var out []*change
	if len(first) > 0 {
		out = append(out, c.startChange(w, first, until))
	}
	if len(spare) > 0 {
		ch := c.startChange(w, spare, until)
		ch.spare = true
		out = append(out, ch)
	}
	return out
}

// startChange returns the claim to commit for some of what a machine is given.
func (c *Core) startChange(w *workers.Worker, starts []place.Start, until time.Time) *change {
	m := place.Machine{ID: w.ID, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Session: w.Session, Token: w.Hold}
	site := m.Site()
	var claimed []place.Start // by the draft made last
	made := func() {
		for _, s := range claimed {
			c.log.Info("start", "job", s.Job.ID, "tasks", s.Count, "machine", w.ID, "image", s.How)
			c.Stats.Add("starts_"+string(s.How)+"_total", 1)
		}
	}
	return &change{drop: true, until: until, made: made, draft: func(d *ledger.Draft) error {
		claimed = nil
		if c.workers[w.ID] != w || w.Session != site.Session || w.Hold != site.Token {
			return ledger.ErrStale
		}
		// A gang may have been placed there meanwhile; what does not fit any more
		// would be refused by the worker.
		free := c.free(site)
		err := ledger.ErrStale
		for _, s := range starts {
			j := c.led.Job(s.Job.ID)
			if j == nil || free.Times(j.Need, s.Count) < s.Count {
				continue
			}
			free = free.Add(j.Need, -s.Count)
			var er error
			if j.Spec.Shape == wire.Gang {
				er = d.ClaimGang(j, []ledger.Placed{{Site: site, Count: s.Count}})
			} else {
				n := c.notes(j.ID)
				_, er = d.Claim(j, site, s.Count, func(t wire.TaskIndex) bool { return n.resting(t, time.Now()) })
			}
			if er == nil {
				claimed = append(claimed, s)
				err = nil
			} else if er == ledger.ErrFull && err != nil {
				return er
			}
		}
		return err
	}}
}

// forgetWorkers drops machines that are long silent or gone.
func (c *Core) forgetWorkers(now time.Time) {
	for id, w := range c.workers {
		if now.Sub(w.Heard) > 10*time.Minute || c.led.Mark(id) == ledger.Gone && now.Sub(w.Heard) > time.Minute {
			delete(c.workers, id)
			delete(c.images, id)
		}
	}
}
