// Package controller assembles a controller process.
//
// [New] constructs the objects of the process layer by layer and injects their dependencies:
//
//   - state: the watch cache of the records in the state service, the committer that batches
//     transactions, the archiver, and the manager of the policy modules stored there;
//   - membership: the status of the other controllers, and the log of completed tasks that is
//     shared with them;
//   - scheduling: run-time estimates, crash-loop and fault detection, topology, deadlines and
//     the scheduler;
//   - servers: the APIs for worker heartbeats and for user jobs;
//   - leader: the autoscaling loop and the workflow runner.
//
// [Controller.Run] registers their components (long-running loops) and runs them until the context
// ends or one of them fails. The other files of the package connect packages that must not import
// each other: adapters.go implements the interfaces that they declare, status.go exchanges member
// status with peers, gauges.go exports metrics, and health.go answers health checks.
//
// The package keeps no state of its own. After a restart, all state is rebuilt from the records and
// from one round of heartbeats.
//
// Locking: the lock of the watch cache (Cache.Read, Cache.Lock) is acquired first. A component may
// acquire its own lock while holding it, so no component may acquire the cache's lock while holding a
// lock that is also acquired under it. docs/ARCHITECTURE.md lists the packages and their allowed imports.
package controller

import (
	"crypto/ed25519"
	"log/slog"
	"time"

	"maddermill/internal/leader"
	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/metrics"
	"maddermill/internal/plugin"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/scheduler/quarantine"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/supervise"
	"maddermill/internal/workflow/runner"
	"maddermill/policy"
	"maddermill/wire"
)

// completionMemoryDivisor limits the completion log to 1/completionMemoryDivisor of the controller's
// memory.
const completionMemoryDivisor = 50

// Controller is one of the controllers of a deployment. The exported fields are those that the process
// serves (APIs, metrics) or configures by command-line flags.
type Controller struct {
	Stats           *metrics.Set
	Components      supervise.Group
	Jobs            *server.JobServer
	Heartbeats      *server.HeartbeatServer
	Workflows       *runner.Runner
	TopologyTracker *topologytracker.Tracker
	Deadlines       *deadlinetracker.Tracker

	set       *settings.Settings
	store     kvstore.Store
	log       *slog.Logger
	startedAt time.Time // when the process started

	// State.
	cache     *watchcache.Cache
	committer *committer.Committer
	archiver  *archiver.Archiver
	policies  *policymanager.Manager

	// Membership.
	membership         *membership.Membership
	completions        *completion.Log
	completionExchange *completion.Exchange
	registry           *reconcile.Registry
	completionRecorder *reconcile.Recorder

	// Scheduling.
	runTimes     *estimate.RunTimes
	spotReclaims *estimate.SpotReclaims
	failures     *crashloop.Tracker
	scheduler    *scheduler.Scheduler

	leader *leader.Leader
}

// New returns a controller. It reads no records and runs no components before Run.
func New(set *settings.Settings, store kvstore.Store, log *slog.Logger) *Controller {
	c := &Controller{set: set, store: store, log: log, Stats: metrics.New(), startedAt: time.Now()}
	c.newState()
	c.newMembership()
	c.newFailureTracking()
	c.newCompletions()
	c.newPoliciesAndArchiver()
	c.newScheduling()
	c.newServers()
	c.newLeader()
	c.newWorkflows()
	c.registerGauges()
	return c
}

// newState creates the watch cache of the records and the committer that changes them.
func (c *Controller) newState() {
	service, count := c.set.Cluster.State, float64(c.set.Cluster.Count)
	c.cache = watchcache.New(
		watchcache.Options{
			Member:       c.set.Member,
			Limits:       Limits(c.set),
			RequestRate:  service.RPS / count,
			NewestFormat: archiver.SupportedFormat(c.set.Operators.FormatUpTo),
		},
		c.store,
		cacheFollower{c},
		c.Stats,
		c.log,
	)
	c.committer = committer.New(
		committer.Options{WriteRate: service.WriteRPS / count, TxnOps: service.TxnOps},
		c.cache,
		c.store,
		c.Stats,
		c.log,
	)
}

// newMembership creates the view of the other controllers.
func (c *Controller) newMembership() {
	c.membership = membership.New(membershipOptions(c.set), c.Stats, c.log)
}

// newFailureTracking creates the estimators of run times and spot reclaims, and the detector of crash
// loops and faulty machines, which uses them.
func (c *Controller) newFailureTracking() {
	c.runTimes = estimate.NewRunTimes(c.membership)
	c.spotReclaims = &estimate.SpotReclaims{}
	c.failures = crashloop.New(c.runTimes, c.Stats, c.log)
	if q := c.set.Operators.Quarantine; q.On {
		c.failures.EnableQuarantine(quarantine.Priors{FaultyFraction: q.FaultyShare, FalseDiscoveryRate: q.WrongShare})
	}
}

// newCompletions creates the log of completed tasks, its exchange with peers, the registry of the
// workers that report to this controller, and the recorder that commits their completions.
func (c *Controller) newCompletions() {
	c.completions = completion.New(completion.Capacity(c.set.MemoryBytes() / completionMemoryDivisor))
	c.completionExchange = completion.NewExchange(c.completions, c.startedAt, membershipOptions(c.set).Others)
	c.registry = reconcile.NewRegistry(c.membership, c.completions)
	c.completionRecorder = reconcile.NewRecorder(c.completions, c.cache, c.committer, Limits(c.set), c.Stats, c.log)
}

// newPoliciesAndArchiver creates the manager of policy modules and the archiver of finished jobs.
func (c *Controller) newPoliciesAndArchiver() {
	c.policies = policymanager.New(hostAdapter{c}, c.store, c.set.Member, c.Stats, c.log)
	c.archiver = archiver.New(hostAdapter{c}, c.store, archiverOptions(c.set), c.Stats, c.log)
}

// newScheduling creates the topology tracker, the deadline tracker and the scheduler.
func (c *Controller) newScheduling() {
	c.TopologyTracker = topologytracker.New(
		c.set,
		c.cache,
		c.membership,
		c.registry,
		c.failures,
		func() { c.scheduler.InvalidateSnapshot() }, // the scheduler is created below
		c.Stats,
		c.log,
	)
	c.Deadlines = deadlinetracker.New(
		c.set,
		deadlinetracker.Parts{
			Cache:      c.cache,
			Committer:  c.committer,
			RunTimes:   c.runTimes,
			Membership: c.membership,
			Registry:   c.registry,
		},
		c.Stats,
		c.log,
	)
	c.scheduler = scheduler.New(
		c.set,
		scheduler.Dependencies{
			Cache:        c.cache,
			Membership:   c.membership,
			Registry:     c.registry,
			Failures:     c.failures,
			RunTimes:     c.runTimes,
			SpotReclaims: c.spotReclaims,
			Topology:     c.TopologyTracker,
			Policies:     c.policies,
			Deadlines:    c.Deadlines,
		},
		c.Stats,
		c.log,
	)
}

// newServers creates the servers for worker heartbeats and for user jobs.
func (c *Controller) newServers() {
	c.Heartbeats = server.NewHeartbeatServer(
		c.set,
		server.HeartbeatServerDependencies{
			Cache:       c.cache,
			Committer:   c.committer,
			Membership:  c.membership,
			Registry:    c.registry,
			Failures:    c.failures,
			Topology:    c.TopologyTracker,
			Scheduler:   c.scheduler,
			Completions: c.completions,
			Exchange:    c.completionExchange,
		},
		c.Stats,
		c.log,
	)
	c.Jobs = server.NewJobServer(
		c.set,
		server.JobServerDependencies{
			Cache:     c.cache,
			Committer: c.committer,
			Policies:  c.policies,
			Archiver:  c.archiver,
			Deadlines: c.Deadlines,
		},
		c.Stats,
		c.log,
	)
}

// newLeader creates the component that scales the cluster while this controller is the leader.
func (c *Controller) newLeader() {
	c.leader = leader.New(
		c.set,
		c.store,
		leader.Dependencies{
			Cache:        c.cache,
			Committer:    c.committer,
			Membership:   c.membership,
			Registry:     c.registry,
			Failures:     c.failures,
			SpotReclaims: c.spotReclaims,
			Scheduler:    c.scheduler,
			Policies:     c.policies,
			Completions:  c.completions,
		},
		c.Stats,
		c.log,
	)
}

// newWorkflows creates the workflow runner, which submits workflow steps to the job server.
func (c *Controller) newWorkflows() {
	c.Workflows = runner.New(
		c.set,
		c.store,
		runner.Dependencies{
			Cache:      c.cache,
			Committer:  c.committer,
			Membership: c.membership,
			Failures:   c.failures,
			Scheduler:  c.scheduler,
			Jobs:       c.Jobs,
			Archiver:   c.archiver,
			Deadlines:  c.Deadlines,
		},
		c.Stats,
		c.log,
	)
}

// Limits returns the limits of the state service and the resource limits of the teams.
func Limits(set *settings.Settings) ledger.Limits {
	state := set.StateLimits()
	limits := ledger.Limits{
		ValueBytes:        state.ValueBytes,
		CurrentValueBytes: set.CurrentStateLimits().ValueBytes,
		TxnOps:            state.TxnOps,
		TxnBytes:          kvstore.MaxTxnBytes,
		TeamMax:           map[wire.Team]ledger.Resources{},
		ControllerCount:   1 + len(set.Peers),
	}
	for _, peer := range set.Peers {
		if peer.Member < set.Member {
			limits.ControllerIndex++
		}
	}
	for _, team := range set.Cluster.Teams {
		if team.Capped() {
			limits.TeamMax[team.Name] = ledger.NewResources(team.CPUsMax, team.GPUsMax, 0)
		}
	}
	return limits
}

// membershipOptions returns the options for the view of the other controllers.
func membershipOptions(set *settings.Settings) membership.Options {
	options := membership.Options{
		Self:            set.Member,
		ControllerCount: set.Cluster.Count,
		MaxSyncAge:      settings.MaxSyncAge,
		MaxValueBytes:   set.StateLimits().ValueBytes,
	}
	for _, peer := range set.Peers {
		options.Others = append(options.Others, peer.Member)
	}
	return options
}

// archiverOptions returns the options for the archiver of finished jobs.
func archiverOptions(set *settings.Settings) archiver.Options {
	operators, service := set.Operators, set.StateLimits()
	return archiver.Options{
		Enabled:      operators.Archive,
		KeptJobs:     operators.KeptJobs,
		SettlePeriod: operators.ArchiveDelay,
		FormatUpTo:   operators.FormatUpTo,
		TxnOps:       service.TxnOps,
		Requests:     service.RPS / float64(set.Cluster.Count),
		Changes:      service.WriteRPS,
	}
}

// SetPlugins enables policy modules. It must be called before Run. If keys is not empty, only modules
// signed with one of the keys are accepted. The initial module is used until a policy is chosen.
func (c *Controller) SetPlugins(
	keys []ed25519.PublicKey,
	bounds plugin.Bounds,
	starve time.Duration,
	initial policymanager.Initial,
) {
	c.policies.Set(func(o *policymanager.Options) {
		o.Enabled, o.Keys, o.Bounds, o.MaxStarvation, o.Initial, o.Limits = true, keys, bounds, starve, initial, Limits(c.set)
	})
}

// RecordPasses registers a function that is called with every scheduling pass over the queue. f must not
// retain the pass.
func (c *Controller) RecordPasses(f func(*policy.Pass)) {
	c.policies.Set(func(o *policymanager.Options) { o.Record = f })
}
