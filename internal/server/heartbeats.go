// Package server implements the two services of a controller: HeartbeatServer answers the heartbeats of
// workers, JobServer the requests of users. Package api serves both over HTTP.
//
// A heartbeat passes through these steps (HeartbeatServer.Heartbeat): reported completions are logged, the
// controller checks that it may answer (admission.go), redirects the worker to another controller where that is
// better (redirect.go, rebalance.go), chooses the fencing token, reconciles the heartbeat with the records
// (package reconcile), commits the resulting changes and the starts offered to the machine (starts.go,
// preemptions.go), and responds with commands derived from the records as they are then.
//
// Locking: both servers make decisions under the lock of the watch cache (Cache.Lock) and release it while they
// wait for the state service. Whatever was read before such a wait must be checked again afterwards. The drafts
// of changes do so, as they run under the lock when the change is committed. Methods that need the lock say so.
//
// Invariants: a command is sent only under a token that this controller holds, and only while the records
// contain every cancellation that may have been confirmed to a user (DESIGN, fencing). All state kept here can
// be derived by another controller from the records and one round of heartbeats.
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

// HTTP statuses of the answers to heartbeats (PROTOCOL).
const (
	statusOK          = 200
	statusMisdirected = 421 // the worker should report to another controller
	statusUnavailable = 503 // this controller may not command the worker
)

// minCommitWait and maxCommitWait bound how long a heartbeat waits for its exits and starts to become durable.
// The wait grows with the interval between heartbeats. The worker times out after 4 s and drops a response that
// arrives later.
const (
	minCommitWait = 1500 * time.Millisecond
	maxCommitWait = 2400 * time.Millisecond
)

// maxHeartbeatAge is the maximum age of a heartbeat on arrival for which its worker still accepts the response.
const maxHeartbeatAge = 5 * time.Second

// HeartbeatAnswer is the answer to a heartbeat: a response, or a status and the controller to report to.
type HeartbeatAnswer struct {
	Status   int                     // HTTP status: 200, 421 or 503
	Response *wire.HeartbeatResponse // with status 200
	Redirect wire.Redirect           // with status 421
}

// unavailable is the answer of a controller that may not command the worker now.
var unavailable = HeartbeatAnswer{Status: statusUnavailable}

// HeartbeatServerDependencies are the components that a HeartbeatServer uses.
type HeartbeatServerDependencies struct {
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
	HeartbeatServerDependencies
	stats *metrics.Set
	log   *slog.Logger

	// The cache's lock guards the fields below.
	surplus         surplus // workers to redirect to a peer
	surplusSnapshot int     // number of the scheduler's snapshot with which surplus was measured
}

// NewHeartbeatServer returns a server for workers' heartbeats.
func NewHeartbeatServer(
	set *settings.Settings,
	p HeartbeatServerDependencies,
	stats *metrics.Set,
	log *slog.Logger,
) *HeartbeatServer {
	return &HeartbeatServer{set: set, HeartbeatServerDependencies: p, stats: stats, log: log}
}

// records returns the replicated records. The caller must hold the cache lock while using them.
func (s *HeartbeatServer) records() *ledger.Ledger { return s.Cache.Records() }

// commitWait returns how long a heartbeat may wait for its changes to become durable.
func (s *HeartbeatServer) commitWait() time.Duration {
	return min(maxCommitWait, max(minCommitWait, s.set.Cluster.Workers.Report.Duration()*3/10))
}

// Heartbeat processes one heartbeat and answers it. It blocks for at most commitWait while changes are
// committed, or until ctx ends.
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
	//nolint:contextcheck // a snapshot is taken under the lock and outlives the heartbeat that requests it
	findings := s.reconcile(w, hb, token, receivedAt)
	if redirect, ok := s.rebalance(w, &findings, receivedAt); ok {
		return redirect
	}
	if !s.commit(ctx, w, hb, &findings, receivedAt) {
		return unavailable // a newer heartbeat has been processed in the meantime
	}
	return s.buildResponse(w, hb, receivedAt)
}

// reconcile compares a heartbeat with the records and updates reachability, images and failures from it. The
// caller must hold the cache lock.
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
		// A peer may hold completions of tasks whose epoch is over. The next heartbeat yields these exits
		// again.
		findings.Exits = slices.DeleteFunc(findings.Exits, func(exit reconcile.TaskExit) bool {
			return exit.Held.Epoch < hb.Epoch && exit.Cause == ""
		})
	}
	s.observeImages(w, findings.Reported, now)
	s.observeExits(w, findings.Exits, now)
	return findings
}

// allMachinesReport reports whether every machine claimed by a job has recently sent a heartbeat to some
// controller. A gang with a silent machine would wait until that machine is declared lost. The caller must hold
// the cache lock.
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

// maxPlacementAttempts is how many times per heartbeat the starts for a machine are decided.
const maxPlacementAttempts = 3

// commit makes the exits proven by a heartbeat and the starts for its machine durable, waiting until ctx ends.
// It returns false if a newer heartbeat of the worker has been processed in the meantime. The caller must hold
// the cache lock, which is released during the wait.
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
		resourcesFreed := offer.canReuseFreed && try == 0 && len(findings.Exits) > 0
		dropped := s.waitForChanges(ctx, waits)
		s.uncountStarts(offer.starts)
		waits = nil
		now = time.Now()
		// Decide again if starts were dropped, or if recorded exits have freed resources; otherwise the machine
		// would be idle until its next heartbeat. Where a gang of several tasks has reserved the machine
		// (canReuseFreed is false), the gang must be placed first.
		again := dropped && len(offer.starts) > 0 || resourcesFreed && ctx.Err() == nil
		if !again || now.Sub(receivedAt) > s.commitWait()/2 {
			break
		}
	}
	return current()
}

// enqueueFindings enqueues and returns the changes that follow from what a heartbeat proves. The caller must
// hold the cache lock.
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

// waitForChanges waits, with the cache lock released, until all changes are durable or dropped, and reports
// whether any was dropped. If ctx ends first it returns false.
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

// buildResponse returns the commands for a worker that follow from the current records. The caller must hold
// the cache lock.
func (s *HeartbeatServer) buildResponse(w *reconcile.Worker, hb *wire.Heartbeat, receivedAt time.Time) HeartbeatAnswer {
	now := time.Now()
	mayStart := now.Sub(s.Cache.SyncedAt()) < settings.MaxSyncAge &&
		s.records().MachinePhase(hb.Machine) != ledger.Terminating
	commands := w.Commands(hb, s.records().ClaimsOn(hb.Machine), s.records().MachineTypeResources(w.Type), mayStart)
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
