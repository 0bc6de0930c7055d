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

// patientBounds gives modules time enough on a clock that only runs when nothing else does.
var patientBounds = plugin.Bounds{Memory: 16 << 20, Call: time.Hour, Start: time.Hour}

func (cluster *testCluster) catalog() *plugin.Catalog {
	return &plugin.Catalog{Records: cluster.links[0], Limits: Limits(newTestSettings(cluster.t, 0)), Now: time.Now}
}

// TestPolicyReloadsUnderFaults changes the policy fifty times under load, to good modules, ones that trap,
// answer garbage or take all memory, and back, while controllers end and the state service is
// out: no job is lost, none runs twice, and all controllers end with the same policy.
func TestPolicyReloadsUnderFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 21)
		var mu sync.Mutex
		var last time.Time
		var gap time.Duration
		passes, used, given := 0, 0, 0
		cluster.configure = func(c *Controller) {
			c.SetPlugins(nil, patientBounds, 10*time.Minute, policymanager.Initial{})
			c.RecordPasses(func(p *policy.Pass) {
				if len(p.Jobs) == 0 {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if passes++; !last.IsZero() {
					gap = max(gap, time.Since(last))
				}
				last = time.Now()
			})
		}
		done := make(chan struct{})
		cluster.onStart = func(ctx context.Context) {
			cluster.group.Go(func() {
				defer close(done)
				kinds := []plugintest.Kind{
					plugintest.Identity,
					plugintest.Trap,
					plugintest.Zeros,
					plugintest.Bomb,
					plugintest.Reversed,
					plugintest.Outside,
				}
				cat := cluster.catalog()
				for n := 0; n < 50 && ctx.Err() == nil; {
					wait.For(ctx, 4*time.Second)
					var hash wire.ModuleHash
					var err error
					if n%7 < 6 {
						hash, err = cat.Load(ctx, plugintest.Module(kinds[n%6], fmt.Sprint(n)), fmt.Sprint("module ", n), nil)
					}
					if err == nil {
						err = cat.Use(ctx, hash)
					}
					if errors.Is(err, ledger.ErrSwapping) || err != nil {
						continue // an answer was lost, or the service is out
					}
					r, err := cat.Wait(ctx)
					switch {
					case err != nil:
						continue
					case r.Use == hash:
						used++
					default:
						given++
					}
					n++
				}
			})
			cluster.group.Go(func() {
				for i := range 12 {
					wait.For(ctx, 50*time.Second)
					switch i % 4 {
					case 0, 2:
						cluster.crash(i % 3)
						wait.For(ctx, 6*time.Second)
						cluster.startController(ctx, i%3)
					case 1:
						for _, l := range cluster.links {
							l.SetDown(true)
						}
						wait.For(ctx, 12*time.Second)
						cluster.store.Extend()
						for _, l := range cluster.links {
							l.SetDown(false)
						}
					}
				}
			})
		}
		cluster.noRandomFaults = true
		finished := cluster.run(22*time.Minute, 120, 0.02)
		select {
		case <-done:
		default:
			t.Error("not all changes were made")
		}
		for _, b := range cluster.world.Broken {
			t.Errorf("broken: %s", b)
		}
		for _, p := range cluster.store.Problems {
			t.Errorf("state service: %s", p)
		}
		if finished < 105 || used < 40 { // some are always under way at the end
			t.Errorf("%d of 120 jobs ended, %d changes completed and %d given up", finished, used, given)
		}
		t.Logf(
			"%d changes completed, %d given up; %d jobs ended; %d passes over jobs, %v between two at the most",
			used,
			given,
			finished,
			passes,
			gap,
		)
	})
}

// TestPolicySwapNeedsAllControllers: a module is not used as long as a controller can't have it; the reason is
// on record. Nothing is removed that is needed, and what was used before comes back.
func TestPolicySwapNeedsAllControllers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		cluster.noRandomFaults, cluster.reliableMessages = true, true
		off := 2
		cluster.configure = func(c *Controller) {
			if c.set.Member != wire.MemberID(fmt.Sprintf("m-%d", off)) {
				c.SetPlugins(nil, patientBounds, 10*time.Minute, policymanager.Initial{})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cluster.start(ctx, 2, 0)
		wait.For(ctx, 10*time.Second)
		cat := cluster.catalog()
		load := func(name string) wire.ModuleHash {
			hash, err := cat.Load(ctx, plugintest.Module(plugintest.Identity, name), name, nil)
			if err != nil {
				t.Fatal(err)
			}
			return hash
		}
		use := func(hash wire.ModuleHash) ledger.PolicyRecord {
			if err := cat.Use(ctx, hash); err != nil {
				t.Fatal(err)
			}
			r, err := cat.Wait(ctx)
			if err != nil {
				t.Fatal(err)
			}
			return r
		}
		one, two := load("one"), load("two")
		if r := use(one); r.Use != "" || r.Why == "" {
			t.Errorf("used although a controller has plug-ins switched off: %+v", r)
		}
		cluster.crash(2)
		wait.For(ctx, 5*time.Second)
		if r := use(one); r.Use != "" || r.Why != "m-2 was not heard" {
			t.Errorf("used although a controller is silent: %+v", r)
		}
		off = -1
		cluster.startController(ctx, 2)
		wait.For(ctx, 5*time.Second)
		if r := use(one); r.Use != one {
			t.Errorf("not used although all have it: %+v", r)
		}
		if r := use(two); r.Use != two || r.Last != one {
			t.Errorf("second: %+v", r)
		}
		if err := cat.Remove(ctx, two); !errors.Is(err, ledger.ErrInUse) {
			t.Errorf("a module that is in use is removed: %v", err)
		}
		if err := cat.Rollback(ctx); err != nil {
			t.Fatal(err)
		}
		if r, err := cat.Wait(ctx); err != nil || r.Use != one {
			t.Errorf("not back: %+v, %v", r, err)
		}
		if r := use(""); r.Use != "" {
			t.Errorf("the built-in policy: %+v", r)
		}
		if r, _ := cat.Wait(ctx); r.Last != one {
			t.Errorf("%+v", r)
		}
		if err := cat.Remove(ctx, two); err != nil {
			t.Error(err)
		}
		if all, _, err := cat.List(ctx); err != nil || len(all) != 1 || all[0].Hash != one || all[0].Name != "one" {
			t.Errorf("%+v, %v", all, err)
		}
		if _, err := cat.Find(ctx, string(two)); !errors.Is(err, plugin.ErrUnknownModule) {
			t.Errorf("a removed module is found: %v", err)
		}
		// A module that refuses new jobs refuses no one who was accepted before.
		early := cluster.randomSpec(1)
		if _, created, err := cluster.controller(0).Jobs.Submit(ctx, early); err != nil || !created {
			t.Fatal(created, err)
		}
		refuser, err := cat.Load(ctx, plugintest.Module(plugintest.Refuser, ""), "refuser", nil)
		if err != nil {
			t.Fatal(err)
		}
		if r := use(refuser); r.Use != refuser {
			t.Errorf("%+v", r)
		}
		wait.For(ctx, 3*time.Second)
		for i := range 3 {
			if st, created, err := cluster.controller(i).Jobs.Submit(ctx, early); err != nil || created {
				t.Errorf("accepted before: %+v, %v, %v", st, created, err)
			}
			if _, _, err := cluster.controller(i).Jobs.Submit(ctx, cluster.randomSpec(100+i)); !errors.Is(err, server.ErrUnschedulable) {
				t.Errorf("new: %v", err)
			}
		}
		if r := use(""); r.Use != "" {
			t.Errorf("%+v", r)
		}
		wait.For(ctx, 3*time.Second)
		if _, created, err := cluster.controller(1).Jobs.Submit(ctx, cluster.randomSpec(200)); err != nil || !created {
			t.Errorf("with the built-in policy: %v, %v", created, err)
		}
		if err := cat.Remove(ctx, refuser); err != nil {
			t.Error(err)
		}
		// With operators' keys an unsigned module is not used, and one that is signed is.
		public, private, _ := ed25519.GenerateKey(rand.NewChaCha8([32]byte{1}))
		for i := range 3 {
			cluster.controller(i).SetPlugins([]ed25519.PublicKey{public}, patientBounds, 10*time.Minute, policymanager.Initial{})
		}
		wait.For(ctx, 5*time.Second)
		if r := use(load("unsigned")); r.Use != "" || !strings.Contains(r.Why, "not signed") {
			t.Errorf("unsigned: %+v", r)
		}
		code := plugintest.Module(plugintest.Identity, "signed")
		signed, err := cat.Load(ctx, code, "signed", plugin.Sign(private, plugin.HashOf(code)))
		if err != nil {
			t.Fatal(err)
		}
		if r := use(signed); r.Use != signed {
			t.Errorf("signed: %+v", r)
		}
		if r := use(""); r.Use != "" {
			t.Errorf("the built-in policy: %+v", r)
		}
		if err := cat.Remove(ctx, signed); err != nil {
			t.Error(err)
		}
		// The one to go back to may be removed, too; then there is no going back.
		if err := cat.Remove(ctx, one); err != nil {
			t.Error(err)
		}
		if r, err := cat.Wait(ctx); err != nil || r.Last != "" {
			t.Errorf("%+v, %v", r, err)
		}
		if err := cat.Rollback(ctx); !errors.Is(err, ledger.ErrNoPreviousPolicy) {
			t.Errorf("back to a removed module: %v", err)
		}
		cluster.shutDown(cancel)
	})
}

// TestInitialPolicyModule: the module that the settings name is loaded and used where no policy was ever
// chosen, also when the leader ends half way; what operators choose later stands, whoever starts.
func TestInitialPolicyModule(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 5)
		cluster.noRandomFaults, cluster.reliableMessages = true, true
		rng := rand.NewChaCha8([32]byte{7})
		long := make([]byte, 300<<10) // some hundred pieces that do not pack
		_, _ = rng.Read(long)
		code := plugintest.Module(plugintest.Identity, string(long))
		cluster.configure = func(c *Controller) {
			c.SetPlugins(nil, patientBounds, 10*time.Minute, policymanager.Initial{Name: "first", Code: code})
		}
		ctx, cancel := context.WithCancel(t.Context())
		cluster.start(ctx, 2, 0)
		leader := func() int {
			for i := range 3 {
				if _, leads := (host{cluster.controller(i)}).Term(); leads {
					return i
				}
			}
			return -1
		}
		cat := cluster.catalog()
		for leader() < 0 {
			wait.For(ctx, 100*time.Millisecond)
		}
		begun := func() bool {
			return slices.ContainsFunc(
				cluster.store.Items(),
				func(it wire.Item) bool { return it.Key == ledger.CodeKey(plugin.HashOf(code), 0) },
			)
		}
		for !begun() {
			wait.For(ctx, time.Millisecond)
		}
		first := leader()
		cluster.crash(first)
		if _, err := cluster.links[0].Get(ctx, ledger.PolicyKey); !errors.Is(err, kvstore.ErrNotFound) {
			t.Errorf("a policy was chosen before the leader ended: %v", err)
		}
		// One is away for so long that the change is given up; it is begun again.
		wait.For(ctx, 100*time.Second)
		if r, err := cat.Wait(ctx); err != nil || r.Use != "" || r.Why == "" {
			t.Errorf("while a controller is away: %+v, %v", r, err)
		}
		cluster.startController(ctx, first)
		wait.For(ctx, 6*time.Minute)
		if r, err := cat.Wait(ctx); err != nil || r.Use != plugin.HashOf(code) {
			t.Errorf("after all are back: %+v, %v", r, err)
		}
		if err := cat.Use(ctx, ""); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			cluster.crash(i)
			cluster.startController(ctx, i)
		}
		wait.For(ctx, time.Minute)
		if r, err := cat.Wait(ctx); err != nil || r.Use != "" {
			t.Errorf("what was chosen does not stand: %+v, %v", r, err)
		}
		cluster.shutDown(cancel)
		for _, b := range cluster.world.Broken {
			t.Errorf("broken: %s", b)
		}
	})
}
