// Package server holds the two parts of a controller that the outside talks to: HeartbeatServer answers
// the heartbeats of workers, JobServer the requests of users. Package api serves both over HTTP.
//
// A heartbeat passes these steps (HeartbeatServer.Heartbeat): completions are noted, the controller checks
// that it is entitled to answer (admission.go), sends the worker to another controller where that serves it
// better (redirect.go, rebalance.go), chooses the fencing token, reconciles the heartbeat with the records
// (package reconcile), commits what follows from it and the starts that the machine is offered (starts.go,
// preemptions.go), and answers with commands that follow from the records as they are then.
//
// Locking: both servers decide under the lock of the watch cache (Cache.Lock) and release it while they
// wait for the state service. Whatever was read before such a wait must be checked again after it; the
// drafts of changes do so, as they run under the lock when the change is committed. Methods that need the
// lock say so.
//
// Invariants: a command goes out only under a token that this controller holds, and only while every
// cancellation that a user may have been answered is in the records (DESIGN, fencing). Nothing is kept here
// that another controller could not derive from the records and one round of heartbeats.
package server

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/wire"
)

// The HTTP statuses of answers to heartbeats (PROTOCOL).
const (
	statusOK          = 200
	statusMisdirected = 421 // another controller should be reported to
	statusUnavailable = 503 // this controller may not answer
)

// minCommitWait and maxCommitWait bound how long a heartbeat may wait for its exits and starts to be made
// durable: longer where the next heartbeat comes later. The worker gives up on an answer after 4 s and
// drops one that comes later.
const (
	minCommitWait = 1500 * time.Millisecond
	maxCommitWait = 2400 * time.Millisecond
)

// maxHeartbeatAge is the greatest age at which a heartbeat can arrive and its worker still accepts the answer.
const maxHeartbeatAge = 5 * time.Second

// HeartbeatAnswer is the answer to a heartbeat: a response, or a status and the controller to report to.
type HeartbeatAnswer struct {
	Status   int                     // HTTP status: 200, 421 or 503
	Response *wire.HeartbeatResponse // with status 200
	Redirect wire.Redirect           // with status 421
}

// unavailable is the answer of a controller that may not command the worker now.
var unavailable = HeartbeatAnswer{Status: statusUnavailable}

// HeartbeatServerParts are the components that a HeartbeatServer works with.
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

// HeartbeatServer answers the heartbeats of workers.
type HeartbeatServer struct {
	set *settings.Settings
	HeartbeatServerParts
	stats *metrics.Set
	log   *slog.Logger

	// The cache's lock guards the fields below.
	surplus         surplus // workers to pass on to a peer
	surplusSnapshot int     // number of the scheduler's snapshot that surplus was measured with
}

// NewHeartbeatServer returns a server of heartbeats.
func NewHeartbeatServer(
	set *settings.Settings,
	p HeartbeatServerParts,
	stats *metrics.Set,
	log *slog.Logger,
) *HeartbeatServer {
	return &HeartbeatServer{set: set, HeartbeatServerParts: p, stats: stats, log: log}
}

// records are the replicated records; the cache's lock must be held while they are used.
func (s *HeartbeatServer) records() *ledger.Ledger { return s.Cache.Records() }

// commitWait is how long a heartbeat may wait for its changes to be made durable.
func (s *HeartbeatServer) commitWait() time.Duration {
	return min(maxCommitWait, max(minCommitWait, s.set.Cluster.Workers.Report.Duration()*3/10))
}

// Heartbeat processes one heartbeat and answers it. It blocks for at most commitWait while changes are
// committed, less if ctx ends.
func (s *HeartbeatServer) Heartbeat(ctx context.Context, hb *wire.Heartbeat) HeartbeatAnswer {
	receivedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.commitWait())
	defer cancel()
	s.stats.Add("reports_total", 1)
	s.Cache.Lock()
	defer s.Cache.Unlock()
	s.addCompletions(hb, receivedAt)
	if refusal, ok := s.authorize(hb, receivedAt); !ok {
		return refusal
	}
	w := s.Registry.Worker(hb.Machine)
	if w == nil {
		w = s.Registry.Register(hb, receivedAt)
		s.log.Info("worker registered",
			"machine", hb.Machine, "type", hb.Type, "zone", hb.Zone, "spot", hb.Spot, "epoch", hb.Epoch)
	}
	if redirect, ok := s.redirectToSyncedPeer(w, receivedAt); ok {
		return redirect
	}
	token, ok := s.chooseToken(ctx, w, hb)
	if !ok || w.Stale(hb) {
		return unavailable
	}
	//nolint:contextcheck // a snapshot is taken under the lock and outlives the heartbeat that asks for it
	findings := s.reconcile(w, hb, token, receivedAt)
	if redirect, ok := s.rebalance(w, &findings, receivedAt); ok {
		return redirect
	}
	if !s.commit(ctx, w, hb, &findings, receivedAt) {
		return unavailable // a newer heartbeat has been processed meanwhile
	}
	return s.buildResponse(w, hb, receivedAt)
}

// reconcile compares a heartbeat with the records and notes what it shows of reachability, images and
// failures. It needs the cache's lock.
func (s *HeartbeatServer) reconcile(
	w *reconcile.Worker,
	hb *wire.Heartbeat,
	token wire.FencingToken,
	now time.Time,
) reconcile.Reconciliation {
	if w.Epoch != 0 && hb.Epoch > w.Epoch {
		s.log.Info("worker started a new epoch", "machine", hb.Machine, "epoch", hb.Epoch)
	}
	wasUnreachable := w.Unreachable()
	w.ObserveEpoch(hb, now, s.set.Cluster.Workers.Lease.Duration()-maxHeartbeatAge)
	findings := w.Reconcile(hb, s.records().ClaimsOn(hb.Machine), token, now)
	findings.ResolveUnsent(func(job *ledger.Job) bool { return s.allMachinesReport(job, now) })
	if w.Unreachable() != wasUnreachable {
		if wasUnreachable {
			s.log.Info("worker reachable", "machine", hb.Machine)
		} else {
			s.log.Warn("worker unreachable", "machine", hb.Machine)
			s.stats.Add("machines_deaf_total", 1)
		}
	}
	if !s.Exchange.Complete(now) {
		// A peer may have the completions of tasks whose epoch is over; the next heartbeat shows them again.
		findings.Exits = slices.DeleteFunc(findings.Exits, func(exit reconcile.TaskExit) bool {
			return exit.Held.Epoch < hb.Epoch && exit.Cause == ""
		})
	}
	s.observeImages(w, findings.Reported, now)
	s.observeExits(w, findings.Exits, now)
	return findings
}

// allMachinesReport reports whether every machine that a job claims has lately sent a heartbeat to some
// controller. A gang with a machine that is silent would wait until that machine is found to be lost.
// It needs the cache's lock.
func (s *HeartbeatServer) allMachinesReport(job *ledger.Job, now time.Time) bool {
	snapshot := s.Scheduler.Snapshot(now)
	all := true
	job.Claims(func(claim ledger.Claim) bool {
		m := snapshot.Machine(claim.Machine)
		all = m != nil && !m.Overdue
		return all
	})
	return all
}

// maxPlacementAttempts is how many times per heartbeat the starts of a machine are decided.
const maxPlacementAttempts = 3

// commit has the findings of a heartbeat and the starts of its machine made durable, and waits for that
// until ctx ends. It reports false if a newer heartbeat of the worker has been processed meanwhile. It
// needs the cache's lock and releases it while it waits.
func (s *HeartbeatServer) commit(
	ctx context.Context,
	w *reconcile.Worker,
	hb *wire.Heartbeat,
	findings *reconcile.Reconciliation,
	receivedAt time.Time,
) bool {
	waits := s.enqueueFindings(w, findings, receivedAt)
	current := func() bool { return w.Epoch == hb.Epoch && w.Sequence == hb.Sequence }
	now := receivedAt
	for try := 0; try < maxPlacementAttempts && current(); try++ {
		offer := s.offerStarts(w, now) //nolint:contextcheck // as above: the snapshot outlives the heartbeat
		for _, change := range s.startChanges(w, offer.starts, receivedAt.Add(s.commitWait())) {
			s.Committer.Enqueue(change)
			waits = append(waits, change)
		}
		roomFreed := offer.canReuseFreed && try == 0 && len(findings.Exits) > 0
		dropped := s.waitForChanges(ctx, waits)
		s.uncountStarts(offer.starts)
		waits = nil
		now = time.Now()
		// Starts that were dropped are decided again, and so is the use of room that the recorded exits
		// freed: else the machine would be idle until its next heartbeat. Where a gang of several tasks
		// wants the machine (mayOfferFreed is false), the gang is to be placed first.
		again := dropped && len(offer.starts) > 0 || roomFreed && ctx.Err() == nil
		if !again || now.Sub(receivedAt) > s.commitWait()/2 {
			break
		}
	}
	return current()
}

// enqueueFindings enqueues the changes that follow from what a heartbeat proves and returns them. It needs
// the cache's lock.
func (s *HeartbeatServer) enqueueFindings(
	w *reconcile.Worker,
	findings *reconcile.Reconciliation,
	receivedAt time.Time,
) []*committer.Change {
	changes := reconcile.ExitChanges(s.Cache, findings.Exits)
	for _, claim := range findings.TakeOver {
		changes = append(changes, s.takeOver(w, claim, receivedAt.Add(s.commitWait())))
	}
	if !w.ReclaimAt.IsZero() {
		changes = append(changes, s.preemptGangs(w.ID)...)
	}
	for _, change := range changes {
		s.Committer.Enqueue(change)
	}
	return changes
}

// waitForChanges waits, with the cache's lock released, until all changes are durable or dropped, and reports
// whether any was dropped. When ctx ends first it returns false.
func (s *HeartbeatServer) waitForChanges(ctx context.Context, changes []*committer.Change) (dropped bool) {
	if len(changes) == 0 {
		return false
	}
	s.Cache.Unlock()
	defer s.Cache.Lock()
	for _, change := range changes {
		select {
		case err := <-change.Done():
			dropped = dropped || err != nil
		case <-ctx.Done():
			return false
		}
	}
	return dropped
}

// buildResponse returns the commands for a worker that follow from the records as they are now. It needs the
// cache's lock.
func (s *HeartbeatServer) buildResponse(w *reconcile.Worker, hb *wire.Heartbeat, receivedAt time.Time) HeartbeatAnswer {
	now := time.Now()
	mayStart := now.Sub(s.Cache.SyncedAt()) < settings.StartContact &&
		s.records().MachinePhase(hb.Machine) != ledger.Terminating
	commands := w.Commands(hb, s.records().ClaimsOn(hb.Machine), s.records().Total(w.Type), mayStart)
	for _, command := range commands {
		if command.Op != wire.OpForget {
			s.log.Info("command",
				"op", command.Op, "job", command.Task.Job, "task", command.Task.Index, "attempt", command.Attempt,
				"machine", hb.Machine, "token", w.CommandToken)
		}
		if command.Op == wire.OpStart {
			s.markFetching(w, command.Task.Job, now)
		}
	}
	w.ObserveAnswered(receivedAt)
	s.stats.Observe("report_seconds", now.Sub(receivedAt))
	return HeartbeatAnswer{
		Status:   statusOK,
		Response: &wire.HeartbeatResponse{FencingToken: w.CommandToken, Commands: commands},
	}
}
