package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

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
)

// Shares of the socket quota. Users get no more than theirs, so that workers, other controllers, the
// state service and the cloud can always be reached.
const (
	listenShare = 0.9
	userShare   = 0.6
	// assumedSockets is the socket quota where none is stated.
	assumedSockets = 10_000
)

const (
	// heapShare is the part of the memory quota that the Go runtime may use before it collects more.
	heapShare = 0.7
	// assumedBodyBytes bounds what answers may hold of memory where no memory quota is stated; with a
	// quota it is a sixth of it.
	assumedBodyBytes = 16 << 20
	// cloudBodyBytes bounds an answer of the cloud.
	cloudBodyBytes = 4 << 20
)

// The files in which a queue is recorded.
const (
	queueFileMB  = 50
	queueBackups = 3
)

// serveOptions are the flags of the serve command.
type serveOptions struct {
	config    string // the platform's settings file
	operators string // the operators' settings file; "": defaults
	topology  string // the topology's file; "": none
	register  string // the file of galleries and their deadlines; "": none
	queue     string // the file to record the queue in; "": not recorded
	workflows string // the folder of workflows' data; "": workflows are off
}

// newLogger returns the controller's log, on standard error, at the level of LOG_LEVEL.
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

// serve runs a controller until ctx ends or the process gets SIGINT or SIGTERM.
func serve(ctx context.Context, opt serveOptions) error {
	set, err := settings.Load(opt.config, opt.operators)
	if err != nil {
		return err
	}
	log, err := newLogger(string(set.Member))
	if err != nil {
		return err
	}
	slog.SetDefault(log)
	applyQuota(set)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	bodyBytes := maxBodyBytes(set)
	dialer, err := transport.NewDialer(bodyBytes)
	if err != nil {
		return err
	}
	defer dialer.Stop()
	core := controller.New(set, newStore(set, dialer, bodyBytes), log)
	if err := setWorkflows(core, opt.workflows); err != nil {
		return err
	}
	if err := setPlugins(core, set, opt.operators); err != nil {
		return err
	}
	if opt.queue != "" {
		out := &lumberjack.Logger{Filename: opt.queue, MaxSize: queueFileMB, MaxBackups: queueBackups}
		defer func() { _ = out.Close() }() // lines are written whole, without a buffer
		core.RecordPasses(recordQueue(out, log))
	}
	if err := setDeadlines(core, set, opt.register); err != nil {
		return err
	}
	reload, err := setTopology(core, set, opt.topology)
	if err != nil {
		return err
	}
	if reload != nil {
		defer signal.Stop(reload)
	}
	cloudClient := cloud.NewClient(
		&http1.Client{Dialer: dialer, Addr: set.Outside.Cloud, MaxIdle: 1, MaxBody: cloudBodyBytes},
		set.Cluster.Cloud.RPS,
	)
	sockets := set.Cluster.Quota.Sockets
	if sockets == 0 {
		sockets = assumedSockets
	}
	server := newServer(core, set, log, sockets)
	log.Info("starting",
		"version", version, "bind", set.Bind, "mesh", set.MeshAddr, "objectives", len(set.Cluster.Objectives))
	addReloads(core, opt, reload)

	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return core.Run(ctx, dialer, cloudClient) })
	g.Go(func() error { return transport.Serve(ctx, set.Bind, int(listenShare*float64(sockets)), server.Serve) })
	err = g.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	log.Info("stopped", "err", err, "objectives", len(set.Cluster.Objectives))
	return err
}

// applyQuota fits the Go runtime into the process's quota.
func applyQuota(set *settings.Settings) {
	quota := set.Cluster.Quota
	if quota.CPUShare > 0 && quota.CPUShare <= 1 {
		runtime.GOMAXPROCS(1)
	}
	if quota.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(quota.MemoryMB * heapShare * (1 << 20)))
	}
}

// maxBodyBytes returns how much memory answers of the state service may take.
func maxBodyBytes(set *settings.Settings) int {
	if memory := set.Cluster.Quota.MemoryMB; memory > 0 {
		return int(memory*(1<<20)) / 6
	}
	return assumedBodyBytes
}

// newStore returns the client of the state service. Watches have a connection of their own.
func newStore(set *settings.Settings, dialer *transport.Dialer, bodyBytes int) *kvstore.Client {
	limits := set.StateLimits()
	return kvstore.NewClient(
		&http1.Client{Dialer: dialer, Addr: set.Outside.State, MaxIdle: 8, MaxBody: bodyBytes},
		&http1.Client{Dialer: dialer, Addr: set.Outside.State, MaxIdle: 1, MaxBody: bodyBytes},
		limits.RPS,
		limits.WriteRPS,
		set.Cluster.Count,
		limits.TxnOps,
	)
}

// newServer returns the server of users' and workers' requests.
func newServer(core *controller.Controller, set *settings.Settings, log *slog.Logger, sockets int) *api.Server {
	return &api.Server{
		Jobs:            core.Jobs,
		Heartbeats:      core.Heartbeats,
		Workflows:       core.Workflows,
		Inspector:       core,
		ComponentStatus: core.Components.Status,
		Metrics:         core.Stats.Text,
		RetryAfter:      set.Operators.RetryAfter,
		Log:             log,
		OnShed:          func(kind string) { core.Stats.Add("shed_"+kind+"_total", 1) },
		MaxUserConns:    int(userShare * float64(sockets)),
		MaxUserRequests: max(32, sockets/8),
	}
}

// setWorkflows switches workflows on, with their data in a folder, unless its name is empty.
func setWorkflows(core *controller.Controller, folder string) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("--workflows: %w", err)
	}
	core.Workflows.Enable(stepdata.Dir{Root: folder})
	return nil
}

// setPlugins switches plug-ins on if the operators' settings, read from the file operators, say so. It
// reads and verifies the initial module.
func setPlugins(core *controller.Controller, set *settings.Settings, operators string) error {
	p := set.Operators.Plugins
	if !p.On {
		return nil
	}
	bounds := plugin.DefaultBounds
	bounds.Memory, bounds.Call = p.MemoryMB<<20, p.Call
	initial := policymanager.Initial{
		Name:      strings.TrimSuffix(filepath.Base(p.Initial), ".wasm"),
		Signature: p.Signature,
	}
	if p.Initial != "" {
		var err error
		if initial.Code, err = os.ReadFile(p.Initial); err != nil {
			return fmt.Errorf("%s: plugins.initial_module: %w", operators, err)
		}
		if err := plugin.Verify(p.Keys, plugin.HashOf(initial.Code), p.Signature); err != nil {
			return fmt.Errorf("%s: plugins.initial_signature: %w", operators, err)
		}
	}
	core.SetPlugins(p.Keys, bounds, p.Starve, initial)
	return nil
}

// setDeadlines reads the register of galleries unless its name is empty.
func setDeadlines(core *controller.Controller, set *settings.Settings, file string) error {
	if file == "" {
		return nil
	}
	register, err := deadlinetracker.Read(file, set)
	if err != nil {
		return err
	}
	core.Deadlines.SetRegister(register)
	return nil
}

// setTopology reads the topology unless its name is empty, and returns a channel that gets SIGHUP, or
// nil without a topology. The caller stops the signals.
func setTopology(core *controller.Controller, set *settings.Settings, file string) (chan os.Signal, error) {
	if file == "" {
		return nil, nil
	}
	tree, err := topologytracker.Read(file, set.Cluster.Zones)
	if err != nil {
		return nil, err
	}
	core.TopologyTracker.SetTree(tree)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload, nil
}

// addReloads adds the components that read the register and the topology again when they change.
func addReloads(core *controller.Controller, opt serveOptions, reload <-chan os.Signal) {
	if opt.register != "" {
		core.Components.Add(supervise.Component{
			Name: "register",
			Run:  func(ctx context.Context) error { return core.Deadlines.WatchFile(ctx, opt.register) },
		})
	}
	if opt.topology != "" {
		core.Components.Add(supervise.Component{
			Name: "topology",
			Run:  func(ctx context.Context) error { return core.TopologyTracker.WatchFile(ctx, opt.topology, reload) },
		})
	}
}
