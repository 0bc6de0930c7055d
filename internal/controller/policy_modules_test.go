package controller

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/plugin"
	"maddermill/internal/plugin/plugintest"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/policy"
	"maddermill/wire"
)

// relaxedBounds keeps modules from timing out on the fake clock, which advances only while all goroutines are blocked.
var relaxedBounds = plugin.Bounds{MemoryBytes: 16 << 20, CallTimeout: time.Hour, StartTimeout: time.Hour}

// maxStarvation is the time for which a module may leave a job waiting in these tests.
const maxStarvation = 10 * time.Minute

// catalog returns a catalog of modules like that of the operators' command-line tool.
func (cluster *testCluster) catalog() *plugin.Catalog {
	return &plugin.Catalog{Records: cluster.links[0], Limits: Limits(newTestSettings(cluster.t, 0)), Now: time.Now}
}

// policyReloads changes the policy repeatedly and counts the changes and the scheduling passes meanwhile.
type policyReloads struct {
	completed, abandoned int

	mu         sync.Mutex // guards the fields below
	lastPass   time.Time
	longestGap time.Duration // between two passes with jobs
	passes     int
}

// recordPass records a scheduling pass, unless its queue is empty.
func (r *policyReloads) recordPass(p *policy.Pass) {
	if len(p.Jobs) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.passes++; !r.lastPass.IsZero() {
		r.longestGap = max(r.longestGap, time.Since(r.lastPass))
	}
	r.lastPass = time.Now()
}

// changeRepeatedly changes the policy fifty times, cycling through six kinds of modules and the built-in policy.
func (r *policyReloads) changeRepeatedly(ctx context.Context, catalog *plugin.Catalog) {
	kinds := []plugintest.Kind{
		plugintest.Identity,
		plugintest.Trap,
		plugintest.RepeatedIndex,
		plugintest.MemoryExhaustion,
		plugintest.Reversed,
		plugintest.AnswerOutOfBounds,
	}
	for n := 0; n < 50 && ctx.Err() == nil; {
		wait.For(ctx, 4*time.Second)
		var hash wire.ModuleHash
		var err error
		if n%7 < 6 {
			code := plugintest.Module(kinds[n%6], fmt.Sprint(n))
			hash, err = catalog.Load(ctx, code, fmt.Sprint("module ", n), nil)
		}
		if err == nil {
			err = catalog.RequestSwap(ctx, hash)
		}
		if err != nil {
			continue // the response was lost, the service is down, or another change is in progress
		}
		record, err := catalog.WaitForSwap(ctx)
		switch {
		case err != nil:
			continue
		case record.Current == hash:
			r.completed++
		default:
			r.abandoned++
		}
		n++
	}
}

// injectCrashesAndOutages alternates between restarts of a controller and outages of the state service.
func (cluster *testCluster) injectCrashesAndOutages(ctx context.Context) {
	for i := range 12 {
		wait.For(ctx, 50*time.Second)
		switch i % 4 {
		case 0, 2:
			cluster.crash(i % 3)
			wait.For(ctx, 6*time.Second)
			cluster.startController(ctx, i%3)
		case 1:
			end := cluster.storeOutage()
			wait.For(ctx, 12*time.Second)
			end()
		}
	}
}

// TestPolicyReloadsUnderFaults changes the policy fifty times under load while controllers crash and the state
// service fails. The policies are valid modules, modules that trap, return invalid answers or exhaust their memory,
// and the built-in policy. No job may be lost or run twice, and policy changes must keep completing.
func TestPolicyReloadsUnderFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 21)
		cluster.noRandomFaults = true
		var reloads policyReloads
		cluster.configure = func(c *Controller) {
			c.SetPlugins(nil, relaxedBounds, maxStarvation, policymanager.Initial{})
			c.RecordPasses(reloads.recordPass)
		}
		done := make(chan struct{})
		cluster.onStart = func(ctx context.Context) {
			cluster.group.Go(func() {
				defer close(done)
				reloads.changeRepeatedly(ctx, cluster.catalog())
			})
			cluster.group.Go(func() { cluster.injectCrashesAndOutages(ctx) })
		}
		finished := cluster.run(22*time.Minute, 120, 0.02)
		select {
		case <-done:
		default:
			t.Error("got fewer than 50 policy changes, want 50")
		}
		cluster.reportViolations()
		if finished < 105 || reloads.completed < 40 { // some jobs are still running at the end
			t.Errorf(
				"got %d of 120 jobs finished, %d policy changes completed, %d abandoned; want >= 105 jobs, >= 40 changes",
				finished,
				reloads.completed,
				reloads.abandoned,
			)
		}
		t.Logf(
			"%d policy changes completed, %d abandoned; %d jobs finished; %d scheduling passes with jobs, longest gap %v",
			reloads.completed,
			reloads.abandoned,
			finished,
			reloads.passes,
			reloads.longestGap,
		)
	})
}

// policyOperator manages policy modules through the catalog, as operators do.
type policyOperator struct {
	t       *testing.T
	ctx     context.Context
	cluster *testCluster
	catalog *plugin.Catalog
}

// load adds a module to the catalog and returns its hash.
func (o *policyOperator) load(kind plugintest.Kind, name string) wire.ModuleHash {
	o.t.Helper()
	hash, err := o.catalog.Load(o.ctx, plugintest.Module(kind, name), name, nil)
	if err != nil {
		o.t.Fatal(err)
	}
	return hash
}

// use requests a change to a module and returns the policy record once the change is completed or abandoned.
func (o *policyOperator) use(hash wire.ModuleHash) ledger.PolicyRecord {
	o.t.Helper()
	if err := o.catalog.RequestSwap(o.ctx, hash); err != nil {
		o.t.Fatal(err)
	}
	record, err := o.catalog.WaitForSwap(o.ctx)
	if err != nil {
		o.t.Fatal(err)
	}
	return record
}

// mustUse requests a change to a module and checks that it completes.
func (o *policyOperator) mustUse(what string, hash wire.ModuleHash) ledger.PolicyRecord {
	o.t.Helper()
	record := o.use(hash)
	if record.Current != hash {
		o.t.Errorf("%s: got policy %+v, want module %q in use", what, record, hash)
	}
	return record
}

// mustRemove removes a module from the catalog.
func (o *policyOperator) mustRemove(what string, hash wire.ModuleHash) {
	o.t.Helper()
	if err := o.catalog.Remove(o.ctx, hash); err != nil {
		o.t.Errorf("remove %s: got error %v, want none", what, err)
	}
}

// TestPolicySwapNeedsAllControllers checks that a change to a module is abandoned while any controller can't load
// it, and that the reason is recorded. The module in use can't be removed, and a rollback to the previous module
// works until that is removed.
func TestPolicySwapNeedsAllControllers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newQuietCluster(t, 3)
		memberWithoutPlugins := wire.MemberID("m-2")
		cluster.configure = func(c *Controller) {
			if c.set.Member != memberWithoutPlugins {
				c.SetPlugins(nil, relaxedBounds, maxStarvation, policymanager.Initial{})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cluster.start(ctx, 2, 0)
		wait.For(ctx, 10*time.Second)
		o := &policyOperator{t, ctx, cluster, cluster.catalog()}
		one, two := o.load(plugintest.Identity, "one"), o.load(plugintest.Identity, "two")
		if r := o.use(one); r.Current != "" || r.Reason == "" {
			t.Errorf("plug-ins disabled on m-2: got policy %+v, want the built-in policy and a reason", r)
		}
		cluster.crash(2)
		wait.For(ctx, 5*time.Second)
		if r := o.use(one); r.Current != "" || r.Reason != "m-2 was not heard" {
			t.Errorf(`m-2 is down: got policy %+v, want the built-in policy, reason "m-2 was not heard"`, r)
		}
		memberWithoutPlugins = ""
		cluster.startController(ctx, 2)
		wait.For(ctx, 5*time.Second)
		o.mustUse("all controllers up with plug-ins enabled", one)
		if r := o.mustUse("second module", two); r.Previous != one {
			t.Errorf("second module: got previous %q, want %q", r.Previous, one)
		}
		o.checkRollbackAndRemoval(one, two)
		o.checkSubmissionRejection()
		o.checkSignatures()
		// The previous module can be removed as well. Afterwards a rollback fails.
		o.mustRemove("the previous module", one)
		if r, err := o.catalog.WaitForSwap(ctx); err != nil || r.Previous != "" {
			t.Errorf("previous module removed: got policy %+v, error %v; want no previous module", r, err)
		}
		if err := o.catalog.Rollback(ctx); !errors.Is(err, ledger.ErrNoPreviousPolicy) {
			t.Errorf("rollback to a removed module: got error %v, want %v", err, ledger.ErrNoPreviousPolicy)
		}
		cluster.shutDown(cancel)
	})
}

// checkRollbackAndRemoval rolls back from the second module to the first, and removes the second.
func (o *policyOperator) checkRollbackAndRemoval(one, two wire.ModuleHash) {
	o.t.Helper()
	if err := o.catalog.Remove(o.ctx, two); !errors.Is(err, ledger.ErrModuleInUse) {
		o.t.Errorf("remove the module in use: got error %v, want %v", err, ledger.ErrModuleInUse)
	}
	if err := o.catalog.Rollback(o.ctx); err != nil {
		o.t.Fatal(err)
	}
	if r, err := o.catalog.WaitForSwap(o.ctx); err != nil || r.Current != one {
		o.t.Errorf("rollback: got policy %+v, error %v; want module %q in use", r, err, one)
	}
	o.mustUse("the built-in policy", "")
	if r, _ := o.catalog.WaitForSwap(o.ctx); r.Previous != one {
		o.t.Errorf("the built-in policy: got previous %q, want %q", r.Previous, one)
	}
	o.mustRemove("the second module", two)
	if all, _, err := o.catalog.List(o.ctx); err != nil || len(all) != 1 || all[0].Hash != one || all[0].Name != "one" {
		o.t.Errorf("list: got %+v, error %v; want only the first module", all, err)
	}
	if _, err := o.catalog.Find(o.ctx, string(two)); !errors.Is(err, plugin.ErrUnknownModule) {
		o.t.Errorf("find a removed module: got error %v, want %v", err, plugin.ErrUnknownModule)
	}
}

// checkSubmissionRejection checks that a module that rejects submissions does so for new jobs only: a job accepted
// before may be submitted again.
func (o *policyOperator) checkSubmissionRejection() {
	o.t.Helper()
	cluster := o.cluster
	accepted := cluster.randomSpec(1)
	if _, created, err := cluster.controller(0).Jobs.Submit(o.ctx, accepted); err != nil || !created {
		o.t.Fatalf("submit: got created %v, error %v; want true, nil", created, err)
	}
	rejecting, err := o.catalog.Load(o.ctx, plugintest.Module(plugintest.Refuser, ""), "refuser", nil)
	if err != nil {
		o.t.Fatal(err)
	}
	o.mustUse("rejecting module", rejecting)
	wait.For(o.ctx, 3*time.Second)
	for i := range 3 {
		jobs := cluster.controller(i).Jobs
		if status, created, err := jobs.Submit(o.ctx, accepted); err != nil || created {
			o.t.Errorf("resubmit an accepted job: got %+v, created %v, error %v; want false, nil", status, created, err)
		}
		if _, _, err := jobs.Submit(o.ctx, cluster.randomSpec(100+i)); !errors.Is(err, server.ErrUnschedulable) {
			o.t.Errorf("submit a new job: got error %v, want %v", err, server.ErrUnschedulable)
		}
	}
	o.mustUse("the built-in policy", "")
	wait.For(o.ctx, 3*time.Second)
	_, created, err := cluster.controller(1).Jobs.Submit(o.ctx, cluster.randomSpec(200))
	if err != nil || !created {
		o.t.Errorf("submit with the built-in policy: got created %v, error %v; want true, nil", created, err)
	}
	o.mustRemove("rejecting module", rejecting)
}

// checkSignatures gives the controllers the public key of an operator and checks that they use a signed module but
// no unsigned one.
func (o *policyOperator) checkSignatures() {
	o.t.Helper()
	public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{1}))
	if err != nil {
		o.t.Fatal(err)
	}
	for i := range 3 {
		c := o.cluster.controller(i)
		c.SetPlugins([]ed25519.PublicKey{public}, relaxedBounds, maxStarvation, policymanager.Initial{})
	}
	wait.For(o.ctx, 5*time.Second)
	if r := o.use(o.load(plugintest.Identity, "unsigned")); r.Current != "" || !strings.Contains(r.Reason, "not signed") {
		o.t.Errorf(`unsigned module: got policy %+v, want the built-in policy, reason "not signed"`, r)
	}
	code := plugintest.Module(plugintest.Identity, "signed")
	signed, err := o.catalog.Load(o.ctx, code, "signed", plugin.Sign(private, plugin.HashOf(code)))
	if err != nil {
		o.t.Fatal(err)
	}
	o.mustUse("signed module", signed)
	o.mustUse("the built-in policy", "")
	o.mustRemove("signed module", signed)
}

// waitForLeader waits until a controller is the leader and returns its index.
func (cluster *testCluster) waitForLeader(ctx context.Context) int {
	for {
		for i := range cluster.size {
			if (hostAdapter{cluster.controller(i)}).Leading() {
				return i
			}
		}
		wait.For(ctx, 100*time.Millisecond)
	}
}

// TestInitialPolicyModule checks that the module given in the settings is loaded and used if no policy was ever
// chosen, even if the leader crashes while it loads the module. A later choice by operators survives restarts of
// the controllers.
func TestInitialPolicyModule(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newQuietCluster(t, 5)
		incompressible := make([]byte, 300<<10) // about a hundred pieces
		_, _ = rand.NewChaCha8([32]byte{7}).Read(incompressible)
		code := plugintest.Module(plugintest.Identity, string(incompressible))
		cluster.configure = func(c *Controller) {
			c.SetPlugins(nil, relaxedBounds, maxStarvation, policymanager.Initial{Name: "first", Code: code})
		}
		ctx, cancel := context.WithCancel(t.Context())
		cluster.start(ctx, 2, 0)
		catalog := cluster.catalog()
		cluster.waitForLeader(ctx)
		firstPiece := func(item wire.Item) bool { return item.Key == ledger.CodeKey(plugin.HashOf(code), 0) }
		for !slices.ContainsFunc(cluster.store.Items(), firstPiece) {
			wait.For(ctx, time.Millisecond)
		}
		leader := cluster.waitForLeader(ctx)
		cluster.crash(leader)
		if _, err := cluster.links[0].Get(ctx, ledger.PolicyKey); !errors.Is(err, kvstore.ErrNotFound) {
			t.Errorf("policy record when the leader crashes during loading: got error %v, want %v", err, kvstore.ErrNotFound)
		}
		// One controller is down for so long that the change is abandoned. It is attempted again later.
		wait.For(ctx, 100*time.Second)
		if r, err := catalog.WaitForSwap(ctx); err != nil || r.Current != "" || r.Reason == "" {
			t.Errorf("one controller down: got policy %+v, error %v; want the built-in policy and a reason", r, err)
		}
		cluster.startController(ctx, leader)
		wait.For(ctx, 6*time.Minute)
		if r, err := catalog.WaitForSwap(ctx); err != nil || r.Current != plugin.HashOf(code) {
			t.Errorf("all controllers up: got policy %+v, error %v; want the initial module", r, err)
		}
		if err := catalog.RequestSwap(ctx, ""); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			cluster.crash(i)
			cluster.startController(ctx, i)
		}
		wait.For(ctx, time.Minute)
		if r, err := catalog.WaitForSwap(ctx); err != nil || r.Current != "" {
			t.Errorf("built-in policy chosen, then restarts: got policy %+v, error %v; want the built-in policy", r, err)
		}
		cluster.shutDown(cancel)
		cluster.reportBrokenRules()
	})
}
