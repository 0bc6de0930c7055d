// Package reconcile reconciles workers' reports with the ledger: by level, so that
// whatever was lost on the way is made up for by the next report.
package reconcile

import (
	"cmp"
	"slices"
	"time"

	"maddermill/internal/membership/completion"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

type claimID struct {
	task    wire.TaskID
	attempt wire.Attempt
}

// Worker is what a controller knows of a worker that reports to it. Nothing of
// it is durable: another controller starts from the ledger and one report round.
type Worker struct {
	ID             wire.MachineID
	Addr           string // its endpoint
	Type           wire.MachineTypeName
	Zone           wire.Zone
	Spot           bool
	Session        wire.AgentEpoch
	Sequence       wire.HeartbeatSequence
	CommandToken   wire.FencingToken // the token that this controller commands it under
	Fresh          bool              // its last report was sent after it had accepted Hold
	LastHeartbeat  time.Time         // when its last report came
	ReclaimAt      time.Time         // when the cloud takes it, zero if unknown
	FirstHeartbeat time.Time         // when it was first heard

	RedirectedAt  time.Time                          // when it was last sent to another controller
	CordonedUntil time.Time                          // nothing is placed there until then
	stop          map[claimID]bool                   // tasks told to leave
	sent          map[claimID]wire.HeartbeatSequence // by which report's answer a start went out
	dropped       map[claimID]bool                   // claimed beside others that fill the machine, never sent
	running       map[claimID]wire.TaskState         // as last reported
	since         map[claimID]time.Time              // when a task was first seen running
	tokens        []wire.FencingToken                // that it was held under in this session, before Hold
	hears         hearing

	completed *completion.Log
}

// NewWorker returns a worker first heard now. Completions tell how tasks ended that it has forgotten.
func NewWorker(r *wire.Heartbeat, completed *completion.Log, now time.Time) *Worker {
	return &Worker{
		completed:      completed,
		ID:             r.Machine,
		Addr:           r.Addr,
		Type:           r.Type,
		Zone:           r.Zone,
		Spot:           r.Spot,
		FirstHeartbeat: now,
		stop:           map[claimID]bool{},
		sent:           map[claimID]wire.HeartbeatSequence{},
		dropped:        map[claimID]bool{},
		running:        map[claimID]wire.TaskState{},
		since:          map[claimID]time.Time{},
	}
}

// Stale reports whether a report is older than one already taken. A network
// that was cut may deliver reports minutes late.
func (w *Worker) Stale(r *wire.Heartbeat) bool {
	return r.Epoch < w.Session || r.Epoch == w.Session && r.Sequence <= w.Sequence
}

// TaskExit is a claim proven to be over.
type TaskExit struct {
	Held  ledger.HeldClaim
	Task  wire.TaskIndex
	Cause wire.Cause // "" when the task is just not there
	Saved bool
	Ran   time.Duration // how long it was seen running, 0 if unknown
	// Recalled: the worker has forgotten it and can't tell of it again.
	Recalled bool
}

// ExitOfLostClaim is the end of a claim's task that no worker can show any more: done if that was reported,
// else nothing is known of it.
func ExitOfLostClaim(completed *completion.Log, h ledger.HeldClaim, task wire.TaskIndex) TaskExit {
	cause := completed.Cause(&h, task)
	return TaskExit{Held: h, Task: task, Cause: cause, Recalled: cause == wire.CauseDone}
}

// ObservedTask is a task seen on the machine, in some state, with its claim.
type ObservedTask struct {
	Held  ledger.HeldClaim
	Task  wire.TaskIndex
	State wire.TaskState
}

// Reconciliation is what a report tells.
type Reconciliation struct {
	Exits []TaskExit
	Seen  []ObservedTask
	// TakeOver are claims under a lower token of gangs' tasks that are to wait on: before that they must
	// come under ours.
	TakeOver []ledger.HeldClaim
	// Unsent are tasks of gangs, claimed under a lower token, that can't begin under it any more: they
	// are proven not to be there, and may be taken over and sent all the same.
	Unsent []TaskExit
}

// ResolveUnsent decides what becomes of tasks that were not sent: those of gangs whose machines all report are
// taken over, those of others are over, so that the gang begins anew elsewhere.
func (f *Reconciliation) ResolveUnsent(allReport func(*ledger.Job) bool) {
	for _, e := range f.Unsent {
		if allReport(e.Held.Job) {
			f.TakeOver = addAttempt(f.TakeOver, e.Held)
		} else {
			f.Exits = append(f.Exits, e)
		}
	}
	f.Unsent = nil
}

// addAttempt adds a claim to a list that has one of each attempt.
func addAttempt(list []ledger.HeldClaim, h ledger.HeldClaim) []ledger.HeldClaim {
	if slices.ContainsFunc(list, func(o ledger.HeldClaim) bool { return o.Job == h.Job && o.Attempt == h.Attempt }) {
		return list
	}
	return append(list, h)
}

// Reconcile takes in a report that is not stale and tells which claims it proves to
// be over.
//
// A claim is over when the report shows its attempt ended; when its session has
// passed; or when the task is not there in a report that was sent under our
// token, if the start can't be under way: it was claimed under a lower token,
// whose holder's answers the worker now drops, or we never sent it, or the
// report was begun after the answer that carried it. Of a start that only we could
// have sent, and will not send any more, the last two prove it under any token.
func (w *Worker) Reconcile(
	r *wire.Heartbeat,
	held []ledger.HeldClaim,
	hold wire.FencingToken,
	now time.Time,
) Reconciliation {
	if r.Epoch != w.Session {
		clear(w.stop)
		clear(w.sent)
		clear(w.dropped)
		clear(w.running)
		clear(w.since)
		w.tokens, w.hears.tally = nil, 0
	} else if hold != w.CommandToken {
		w.tokens = append(w.tokens, w.CommandToken)
	}
	w.Session, w.Sequence, w.LastHeartbeat, w.CommandToken = r.Epoch, r.Sequence, now, hold
	w.Addr, w.Type, w.Zone, w.Spot = r.Addr, r.Type, r.Zone, r.Spot
	w.Fresh = r.FencingToken == hold
	w.ReclaimAt = time.Time{}
	if r.ReclaimNotice != nil {
		w.ReclaimAt = now.Add(r.ReclaimNotice.Duration())
	}
	there := make(map[claimID]*wire.TaskStatus, len(r.Tasks))
	clear(w.running)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id := claimID{t.Task, t.Attempt}
		there[id] = t
		w.running[id] = t.State
		if _, ok := w.since[id]; t.State == wire.TaskRunning && !ok {
			w.since[id] = now
		}
	}
	w.listens(r, held, there, now)
	var f Reconciliation
	dropped := w.dropped
	w.dropped = map[claimID]bool{}
	for _, h := range held {
		for i := range h.Count {
			task := h.First + wire.TaskIndex(i)
			id := claimID{wire.TaskID{Job: h.Job.ID, Index: task}, h.Attempt}
			switch t := there[id]; {
			case h.Session < r.Epoch:
				// The worker has forgotten how it ended, which may be known all the same.
				f.Exits = append(f.Exits, ExitOfLostClaim(w.completed, h, task))
			case h.Session > r.Epoch:
				// The report is from before the claim's session.
			case t != nil && w.rejoins(h, t):
				// It is sent again under its claim.
			case t != nil && w.ReclaimAt.IsZero() && h.Token < hold && w.gaveUp(h, t):
				f.Seen = append(f.Seen, ObservedTask{h, task, t.State})
				f.TakeOver = addAttempt(f.TakeOver, h)
			case t != nil && t.State == wire.TaskExited && t.Cause == wire.CauseGangIncomplete && (!w.Fresh || h.Token > hold):
				// Whoever holds the machine may have it wait on under the same attempt: an old
				// report of its giving up, taken by another controller, proves nothing. Once the
				// worker has accepted our token nobody else can.
				f.Seen = append(f.Seen, ObservedTask{h, task, t.State})
			case t != nil && t.State == wire.TaskExited:
				e := TaskExit{Held: h, Task: task, Cause: t.Cause, Saved: t.Saved}
				if since, ok := w.since[id]; ok {
					e.Ran = now.Sub(since)
				}
				f.Exits = append(f.Exits, e)
			case t != nil:
				f.Seen = append(f.Seen, ObservedTask{h, task, t.State})
			case w.Fresh && h.Token < hold && w.mayBegin(h):
				// Its holder ended before it was sent, or the answer did not arrive. To release it would
				// cost the whole gang its start.
				f.Unsent = append(f.Unsent, TaskExit{Held: h, Task: task})
			case w.Fresh && h.Token < hold:
				f.Exits = append(f.Exits, TaskExit{Held: h, Task: task})
			case h.Token == hold && (w.Fresh && !w.wanted(h) || dropped[id] || w.hears.deaf) || slices.Contains(w.tokens, h.Token):
				w.dropped[id] = dropped[id] || w.hears.deaf
				if sent, ok := w.sent[id]; !ok || r.Sequence > sent {
					f.Exits = append(f.Exits, TaskExit{Held: h, Task: task})
				}
			}
		}
	}
	for id := range w.since {
		if there[id] == nil {
			delete(w.since, id)
		}
	}
	for id := range w.stop {
		if there[id] == nil {
			delete(w.stop, id)
		}
	}
	return f
}

// rejoins reports whether a gang's task that gave up waiting for the others is to
// wait on under the same attempt. Otherwise a gang of which some machines have to
// fetch its image for longer than a task waits would be stopped, fetches and all,
// and begin anew for ever. Only who claimed it, or has taken the claim over, may: of all others
// the worker's end of it is proof.
func (w *Worker) rejoins(h ledger.HeldClaim, t *wire.TaskStatus) bool {
	return h.Token == w.CommandToken && w.gaveUp(h, t)
}

// gaveUp reports whether a task gave up waiting for a gang that is still wanted and has all its tasks,
// by a report that nobody else can have overtaken. One that lacks a task would wait for ever.
func (w *Worker) gaveUp(h ledger.HeldClaim, t *wire.TaskStatus) bool {
	return t.State == wire.TaskExited && t.Cause == wire.CauseGangIncomplete && w.Fresh && w.wanted(h) &&
		h.Job.RunsWholeMachines()
}

// mayBegin reports whether a task that is not on the machine is a gang's that may begin there all the
// same, whoever claimed it: the gang has all its tasks.
func (w *Worker) mayBegin(h ledger.HeldClaim) bool {
	return h.Job.GangSize() > 1 && w.ReclaimAt.IsZero() && w.wanted(h) && h.Job.RunsWholeMachines()
}

// wanted reports whether a claim's tasks should be on the machine.
func (w *Worker) wanted(h ledger.HeldClaim) bool {
	return h.Job.State == ledger.Active && !h.Job.Cancelling && (h.Job.Spec.Shape != wire.Gang || h.Job.Stop < h.Attempt)
}

// Stop marks a claim's tasks to be told to leave, saving first if they can.
func (w *Worker) Stop(h ledger.HeldClaim) {
	for i := range h.Count {
		w.stop[claimID{wire.TaskID{Job: h.Job.ID, Index: h.First + wire.TaskIndex(i)}, h.Attempt}] = true
	}
}

// Commands builds the answer to the report taken last, from the ledger as it is
// now. Starts go only for claims under the token that the answer carries;
// mayStart is false while the ledger may have missed a cancellation. total is what
// the machine has, zero if that isn't known.
func (w *Worker) Commands(
	r *wire.Heartbeat,
	held []ledger.HeldClaim,
	total ledger.Resources,
	mayStart bool,
) []wire.Command {
	cmds := []wire.Command{}
	claims := make(map[claimID]ledger.HeldClaim, len(held))
	for _, h := range held {
		if h.Session != r.Epoch {
			continue
		}
		for i := range h.Count {
			claims[claimID{wire.TaskID{Job: h.Job.ID, Index: h.First + wire.TaskIndex(i)}, h.Attempt}] = h
		}
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id := claimID{t.Task, t.Attempt}
		h, claimed := claims[id]
		if claimed {
			delete(claims, id)
		}
		switch {
		case claimed && mayStart && w.ReclaimAt.IsZero() && w.rejoins(h, t):
			w.sent[id] = r.Sequence
			cmds = append(cmds, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt},
				wire.Command{Op: wire.OpStart, Task: t.Task, Attempt: t.Attempt})
		case t.State == wire.TaskExited:
			// Without a claim its end is on record, if the ledger is at least as
			// new as our token; only a worker that has accepted the token can
			// have no newer claim by somebody else.
			if !claimed && w.Fresh {
				cmds = append(cmds, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		case !claimed:
			if w.Fresh {
				cmds = append(cmds, stop(t, 0))
			}
		case h.Job.State == ledger.Cancelled || h.Job.Cancelling:
			cmds = append(cmds, stop(t, 0)) // what it does is of no use to anyone
		case !w.wanted(h) || w.stop[id] || !w.ReclaimAt.IsZero():
			cmds = append(cmds, stop(t, h.Job.Spec.Save+1))
		}
	}
	if !mayStart || !w.ReclaimAt.IsZero() {
		return cmds
	}
	var starts []ledger.HeldClaim
	free := total
	for _, h := range held {
		if h.Session != r.Epoch {
			continue
		}
		absent := 0
		for i := range h.Count {
			if _, ok := claims[claimID{wire.TaskID{Job: h.Job.ID, Index: h.First + wire.TaskIndex(i)}, h.Attempt}]; ok {
				absent++
			}
		}
		free = free.Add(h.Job.Need, absent-h.Count)
		if absent > 0 && h.Token == w.CommandToken && w.wanted(h) {
			starts = append(starts, h)
		}
	}
	// Two controllers may have claimed the same room at once. The worker would refuse
	// the second; a single task gives way, since a gang would lose all its others.
	slices.SortStableFunc(
		starts,
		func(a, b ledger.HeldClaim) int { return cmp.Compare(b.Job.GangSize(), a.Job.GangSize()) },
	)
	for _, h := range starts {
		for i := range h.Count {
			id := claimID{wire.TaskID{Job: h.Job.ID, Index: h.First + wire.TaskIndex(i)}, h.Attempt}
			if _, absent := claims[id]; !absent || w.dropped[id] {
				continue
			}
			if _, sent := w.sent[id]; !sent && total != (ledger.Resources{}) && !free.Fits(h.Job.Need) {
				w.dropped[id] = true
				continue
			}
			free = free.Add(h.Job.Need, -1)
			w.sent[id] = r.Sequence
			cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: id.task, Attempt: id.attempt})
		}
	}
	return cmds
}

func stop(t *wire.TaskStatus, grace wire.Seconds) wire.Command {
	return wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, Grace: &grace}
}
