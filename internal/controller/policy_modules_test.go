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

// patientBounds give modules enough time on a clock that only advances when nothing runs.
var patientBounds = plugin.Bounds{Memory: 16 << 20, Call: time.Hour, Start: time.Hour}

// maxStarvation is how long a module may leave a job waiting in these tests.
const maxStarvation = 10 * time.Minute

// catalog returns the catalog of modules as an operator's tool sees it.
func (cluster *testCluster) catalog() *plugin.Catalog {
	return &plugin.Catalog{Records: cluster.links[0], Limits: Limits(newTestSettings(cluster.t, 0)), Now: time.Now}
}

// policyReloads counts changes of the policy and passes over the queue.
type policyReloads struct {
	used, givenUp int

	mu         sync.Mutex // guards the fields below
	lastPass   time.Time
	longestGap time.Duration // between two passes over jobs
	passes     int
}

// recordPass counts a pass over the queue.
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

// change changes the policy fifty times: six modules of different kinds, then the built-in policy, and so on.
func (r *policyReloads) change(ctx context.Context, catalog *plugin.Catalog) {
	kinds := []plugintest.Kind{
		plugintest.Identity,
		plugintest.Trap,
		plugintest.Zeros,
		plugintest.Bomb,
		plugintest.Reversed,
		plugintest.Outside,
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
			err = catalog.Use(ctx, hash)
		}
		if err != nil {
			continue // an answer was lost, the service is down, or another change is not over
		}
		record, err := catalog.Wait(ctx)
		switch {
		case err != nil:
			continue
		case record.Current == hash:
			r.used++
		default:
			r.givenUp++
		}
		n++
	}
}

// crashesAndOutages has controllers crash and the state service fail in turn.
func (cluster *testCluster) crashesAndOutages(ctx context.Context) {
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

// TestPolicyReloadsUnderFaults changes the policy fifty times under load, to good modules, ones that trap, answer
// garbage or take all memory, and back, while controllers crash and the state service fails: no job
// is lost, none runs twice, and changes go on.
func TestPolicyReloadsUnderFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 21)
		cluster.noRandomFaults = true
		var reloads policyReloads
		cluster.configure = func(c *Controller) {
			c.SetPlugins(nil, patientBounds, maxStarvation, policymanager.Initial{})
			c.RecordPasses(reloads.recordPass)
		}
		done := make(chan struct{})
		cluster.onStart = func(ctx context.Context) {
			cluster.group.Go(func() {
				defer close(done)
				reloads.change(ctx, cluster.catalog())
			})
			cluster.group.Go(func() { cluster.crashesAndOutages(ctx) })
		}
		finished := cluster.run(22*time.Minute, 120, 0.02)
		select {
		case <-done:
		default:
			t.Error("got fewer than 50 changes of the policy, want 50")
		}
		cluster.reportViolations()
		if finished < 105 || reloads.used < 40 { // some jobs always run at the end
			t.Errorf(
				"got %d of 120 jobs finished, %d changes completed and %d given up; want >= 105, >= 40",
				finished,
				reloads.used,
				reloads.givenUp,
			)
		}
		t.Logf(
			"%d changes completed, %d given up; %d jobs finished; %d passes over jobs, at most %v between two",
			reloads.used,
			reloads.givenUp,
			finished,
			reloads.passes,
			reloads.longestGap,
		)
	})
}

// policyOperator changes the policy of a cluster as operators do.
type policyOperator struct {
	t       *testing.T
	ctx     context.Context
	cluster *testCluster
	catalog *plugin.Catalog
}

// load loads a module and returns its hash.
func (o *policyOperator) load(kind plugintest.Kind, name string) wire.ModuleHash {
	o.t.Helper()
	hash, err := o.catalog.Load(o.ctx, plugintest.Module(kind, name), name, nil)
	if err != nil {
		o.t.Fatal(err)
	}
	return hash
}

// use asks for a module and returns the policy's record when that is over.
func (o *policyOperator) use(hash wire.ModuleHash) ledger.PolicyRecord {
	o.t.Helper()
	if err := o.catalog.Use(o.ctx, hash); err != nil {
		o.t.Fatal(err)
	}
	record, err := o.catalog.Wait(o.ctx)
	if err != nil {
		o.t.Fatal(err)
	}
	return record
}

// mustUse asks for a module and checks that it is used.
func (o *policyOperator) mustUse(what string, hash wire.ModuleHash) ledger.PolicyRecord {
	o.t.Helper()
	record := o.use(hash)
	if record.Current != hash {
		o.t.Errorf("%s: got policy %+v, want it to use %q", what, record, hash)
	}
	return record
}

// mustRemove removes a module.
func (o *policyOperator) mustRemove(what string, hash wire.ModuleHash) {
	o.t.Helper()
	if err := o.catalog.Remove(o.ctx, hash); err != nil {
		o.t.Errorf("remove %s: got error %v, want none", what, err)
	}
}

// TestPolicySwapNeedsAllControllers: a module is not used as long as a controller can't have it, and the reason is
// on record. No module is removed that is needed, and the one before can be used again.
func TestPolicySwapNeedsAllControllers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newQuietCluster(t, 3)
		withoutPlugins := wire.MemberID("m-2")
		cluster.configure = func(c *Controller) {
			if c.set.Member != withoutPlugins {
				c.SetPlugins(nil, patientBounds, maxStarvation, policymanager.Initial{})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cluster.start(ctx, 2, 0)
		wait.For(ctx, 10*time.Second)
		o := &policyOperator{t, ctx, cluster, cluster.catalog()}
		one, two := o.load(plugintest.Identity, "one"), o.load(plugintest.Identity, "two")
		if r := o.use(one); r.Current != "" || r.Reason == "" {
			t.Errorf("a controller has plug-ins switched off: got policy %+v, want none and a reason", r)
		}
		cluster.crash(2)
		wait.For(ctx, 5*time.Second)
		if r := o.use(one); r.Current != "" || r.Reason != "m-2 was not heard" {
			t.Errorf(`a controller is down: got policy %+v, want none, "m-2 was not heard"`, r)
		}
		withoutPlugins = ""
		cluster.startController(ctx, 2)
		wait.For(ctx, 5*time.Second)
		o.mustUse("all controllers have it", one)
		if r := o.mustUse("second module", two); r.Previous != one {
			t.Errorf("second module: got previous %q, want %q", r.Previous, one)
		}
		o.checkRollbackAndRemoval(one, two)
		o.checkRefuser()
		o.checkSignatures()
		// The previous module may be removed, too; then there is none to roll back to.
		o.mustRemove("the previous module", one)
		if r, err := o.catalog.Wait(ctx); err != nil || r.Previous != "" {
			t.Errorf("previous module removed: got policy %+v, error %v; want no previous one", r, err)
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
	if r, err := o.catalog.Wait(o.ctx); err != nil || r.Current != one {
		o.t.Errorf("rollback: got policy %+v, error %v; want it to use %q", r, err, one)
	}
	o.mustUse("the built-in policy", "")
	if r, _ := o.catalog.Wait(o.ctx); r.Previous != one {
		o.t.Errorf("the built-in policy: got previous %q, want %q", r.Previous, one)
	}
	o.mustRemove("the second module", two)
	if all, _, err := o.catalog.List(o.ctx); err != nil || len(all) != 1 || all[0].Hash != one || all[0].Name != "one" {
		o.t.Errorf("list: got %+v, error %v; want the first module", all, err)
	}
	if _, err := o.catalog.Find(o.ctx, string(two)); !errors.Is(err, plugin.ErrUnknownModule) {
		o.t.Errorf("find a removed module: got error %v, want %v", err, plugin.ErrUnknownModule)
	}
}

// checkRefuser uses a module that refuses new jobs: it refuses none that was accepted before.
func (o *policyOperator) checkRefuser() {
	o.t.Helper()
	cluster := o.cluster
	accepted := cluster.randomSpec(1)
	if _, created, err := cluster.controller(0).Jobs.Submit(o.ctx, accepted); err != nil || !created {
		o.t.Fatalf("submit: got created %v, error %v; want true, nil", created, err)
	}
	refuser, err := o.catalog.Load(o.ctx, plugintest.Module(plugintest.Refuser, ""), "refuser", nil)
	if err != nil {
		o.t.Fatal(err)
	}
	o.mustUse("refuser", refuser)
	wait.For(o.ctx, 3*time.Second)
	for i := range 3 {
		jobs := cluster.controller(i).Jobs
		if status, created, err := jobs.Submit(o.ctx, accepted); err != nil || created {
			o.t.Errorf("submit a job accepted before: got %+v, created %v, error %v; want false, nil", status, created, err)
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
	o.mustRemove("refuser", refuser)
}

// checkSignatures gives the controllers operators' keys: an unsigned module is not used, and a signed one
// is.
func (o *policyOperator) checkSignatures() {
	o.t.Helper()
	public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{1}))
	if err != nil {
		o.t.Fatal(err)
	}
	for i := range 3 {
		c := o.cluster.controller(i)
		c.SetPlugins([]ed25519.PublicKey{public}, patientBounds, maxStarvation, policymanager.Initial{})
	}
	wait.For(o.ctx, 5*time.Second)
	if r := o.use(o.load(plugintest.Identity, "unsigned")); r.Current != "" || !strings.Contains(r.Reason, "not signed") {
		o.t.Errorf(`unsigned module: got policy %+v, want none, "not signed"`, r)
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

// waitForLeader waits until a controller leads, and returns it.
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

// TestInitialPolicyModule: the module that the settings name is loaded and used where no policy was ever
// chosen, also when the leader crashes half way. What operators choose later stays, whichever controller
// starts.
func TestInitialPolicyModule(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newQuietCluster(t, 5)
		incompressible := make([]byte, 300<<10) // some hundred pieces
		_, _ = rand.NewChaCha8([32]byte{7}).Read(incompressible)
		code := plugintest.Module(plugintest.Identity, string(incompressible))
		cluster.configure = func(c *Controller) {
			c.SetPlugins(nil, patientBounds, maxStarvation, policymanager.Initial{Name: "first", Code: code})
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
			t.Errorf("policy when the leader crashes: got error %v, want %v", err, kvstore.ErrNotFound)
		}
		// One controller is down for so long that the change is given up; it is begun again.
		wait.For(ctx, 100*time.Second)
		if r, err := catalog.Wait(ctx); err != nil || r.Current != "" || r.Reason == "" {
			t.Errorf("while a controller is down: got policy %+v, error %v; want none and a reason", r, err)
		}
		cluster.startController(ctx, leader)
		wait.For(ctx, 6*time.Minute)
		if r, err := catalog.Wait(ctx); err != nil || r.Current != plugin.HashOf(code) {
			t.Errorf("after all are up: got policy %+v, error %v; want the initial module", r, err)
		}
		if err := catalog.Use(ctx, ""); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			cluster.crash(i)
			cluster.startController(ctx, i)
		}
		wait.For(ctx, time.Minute)
		if r, err := catalog.Wait(ctx); err != nil || r.Current != "" {
			t.Errorf("after operators chose the built-in policy: got policy %+v, error %v; want it to stay", r, err)
		}
		cluster.shutDown(cancel)
		cluster.reportBrokenRules()
	})
}
