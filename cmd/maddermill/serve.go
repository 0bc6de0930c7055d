package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/natefinch/lumberjack.v2"

	"maddermill/internal/controller"
	"maddermill/internal/leader/cloud"
	"maddermill/internal/plugin"
	"maddermill/internal/plugin/policymanager"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/scheduler/topologytracker"
	"maddermill/internal/server/api"
	"maddermill/internal/settings"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/supervise"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/internal/workflow/stepdata"
	"maddermill/policy"
)

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

func newLogger(member string) (*slog.Logger, error) {
	levels := map[string]slog.Level{
		"":      slog.LevelInfo,
		"error": slog.LevelError,
		"info":  slog.LevelInfo,
		"debug": slog.LevelDebug,
	}
	level, ok := levels[os.Getenv("LOG_LEVEL")]
	if !ok {
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", os.Getenv("LOG_LEVEL"))
	}
	h := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("member", member), nil
}

// recordEvery is how often a queue is recorded.
const recordEvery = 10 * time.Second

// recordQueue writes passes as lines, now and then, apart from the one who gives them.
func recordQueue(out io.Writer, log *slog.Logger) func(*policy.Pass) {
	lines := make(chan []byte, 1)
	go func() {
		for b := range lines {
			if _, err := out.Write(b); err != nil {
				log.Warn("queue not recorded", "err", err)
			}
		}
	}()
	var last time.Time
	return func(p *policy.Pass) {
		if now := time.Now(); len(p.Jobs) > 1 && now.Sub(last) >= recordEvery {
			last = now
			b, err := json.Marshal(recorded{p.Now, p.Append(nil)})
			if err != nil {
				return
			}
			select {
			case lines <- append(b, '\n'):
			default: // the disk is slow
			}
		}
	}
}

// Shares of the socket quota. Users get no more than theirs, so that workers,
// the mesh and the outside systems can always be reached.
const (
	listenShare = 0.9
	userShare   = 0.6
)

func serve(ctx context.Context, config, operators, topology, workflows, queue, register string) error {
	set, err := settings.Load(config, operators)
	if err != nil {
		return err
	}
	log, err := newLogger(string(set.Member))
	if err != nil {
		return err
	}
	slog.SetDefault(log)
	quota := set.Cluster.Quota
	if quota.CPUShare > 0 && quota.CPUShare <= 1 {
		runtime.GOMAXPROCS(1)
	}
	if quota.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(quota.MemoryMB * 0.7 * (1 << 20)))
	}
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	held := 16 << 20
	if quota.MemoryMB > 0 {
		held = int(quota.MemoryMB*(1<<20)) / 6
	}
	dialer, err := transport.NewDialer(held)
	if err != nil {
		return err
	}
	defer dialer.Stop()
	store := kvstore.NewClient(
		&http1.Client{Dialer: dialer, Addr: set.Outside.State, MaxIdle: 8, MaxBody: held},
		&http1.Client{Dialer: dialer, Addr: set.Outside.State, MaxIdle: 1, MaxBody: held},
		set.Cluster.State.RPS, set.Cluster.State.WriteRPS, set.Cluster.Count, set.Cluster.State.TxnOps)
	core := controller.New(set, store, log)
	if workflows != "" {
		if err := os.MkdirAll(workflows, 0o755); err != nil {
			return fmt.Errorf("--workflows: %w", err)
		}
		core.Workflows.Set(stepdata.Dir{Root: workflows})
	}
	if p := set.Operators.Plugins; p.On {
		bounds := plugin.DefaultBounds
		bounds.Memory, bounds.Call = p.MemoryMB<<20, p.Call
		initial := policymanager.Initial{
			Name:      strings.TrimSuffix(filepath.Base(p.Initial), ".wasm"),
			Signature: p.Signature,
		}
		if p.Initial != "" {
			if initial.Code, err = os.ReadFile(p.Initial); err != nil {
				return fmt.Errorf("%s: plugins.initial_module: %w", operators, err)
			}
			if err := plugin.Verify(p.Keys, plugin.HashOf(initial.Code), p.Signature); err != nil {
				return fmt.Errorf("%s: plugins.initial_signature: %w", operators, err)
			}
		}
		core.SetPlugins(p.Keys, bounds, p.Starve, initial)
	}
	if queue != "" {
		out := &lumberjack.Logger{Filename: queue, MaxSize: 50, MaxBackups: 3}
		defer out.Close()
		core.RecordPasses(recordQueue(out, log))
	}
	if register != "" {
		r, err := deadlinetracker.Read(register, set)
		if err != nil {
			return err
		}
		core.Deadlines.Set(r)
	}
	var reread chan os.Signal
	if topology != "" {
		t, err := topologytracker.Read(topology, set.Cluster.Zones)
		if err != nil {
			return err
		}
		core.TopologyTracker.Set(t)
		reread = make(chan os.Signal, 1)
		signal.Notify(reread, syscall.SIGHUP)
		defer signal.Stop(reread)
	}
	cl := cloud.NewClient(
		&http1.Client{Dialer: dialer, Addr: set.Outside.Cloud, MaxIdle: 1, MaxBody: 4 << 20},
		set.Cluster.Cloud.RPS,
	)

	sockets := quota.Sockets
	if sockets == 0 {
		sockets = 10_000
	}
	server := &api.Server{
		Users:      core.Jobs,
		Workers:    core.Heartbeats,
		Workflows:  core.Workflows,
		View:       core,
		Duties:     core.Components.Status,
		Metrics:    core.Stats.Text,
		RetryAfter: set.Operators.RetryAfter,
		Log:        log,
		Shed:       func(kind string) { core.Stats.Add("shed_"+kind+"_total", 1) },
		MaxUsers:   int(userShare * float64(sockets)),
		MaxBusy:    max(32, sockets/8),
	}
	log.Info("starting",
		"version", version, "bind", set.Bind, "mesh", set.MeshAddr, "objectives", len(set.Cluster.Objectives))
	if register != "" {
		core.Components.Add(
			supervise.Component{
				Name: "register",
				Run:  func(ctx context.Context) error { return core.Deadlines.Reload(ctx, register) },
			},
		)
	}
	if topology != "" {
		core.Components.Add(
			supervise.Component{
				Name: "topology",
				Run:  func(ctx context.Context) error { return core.TopologyTracker.Reload(ctx, topology, reread) },
			},
		)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return core.Run(ctx, dialer, cl) })
	g.Go(func() error { return transport.Serve(ctx, set.Bind, int(listenShare*float64(sockets)), server.Serve) })
	err = g.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	log.Info("stopped", "err", err, "objectives", len(set.Cluster.Objectives))
	return err
}
