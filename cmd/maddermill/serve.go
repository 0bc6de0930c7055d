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

// Shares of the socket quota. The share of users' connections is limited, so that sockets remain for
// workers, other controllers, the state service and the cloud.
const (
	listenShare = 0.9
	userShare   = 0.6
	// defaultSockets is the socket quota if the settings have none.
	defaultSockets = 10_000
)

const (
	// heapShare is the share of the memory quota that is set as the Go runtime's soft memory limit.
	heapShare = 0.7
	// defaultBodyBytes limits the memory for response bodies if the settings have no memory quota; with a
	// quota the limit is a sixth of it.
	defaultBodyBytes = 16 << 20
	// maxCloudBodyBytes limits the body of a response of the cloud API.
	maxCloudBodyBytes = 4 << 20
)

// The rotation of the files in which the queue is recorded.
const (
	queueFileMB  = 50
	queueBackups = 3
)

// serveOptions holds the flags of the serve command.
type serveOptions struct {
	config    string // the platform's settings file
	operators string // the operators' settings file; "": defaults
	topology  string // the topology file; "": none
	register  string // the file of galleries and their deadlines; "": none
	queue     string // the file to record the queue in; "": not recorded
	workflows string // the directory of workflow data; "": workflows are disabled
}

// newLogger returns the controller's logger, which writes to standard error at the level that the
// environment variable LOG_LEVEL sets.
func newLogger(member string) (*slog.Logger, error) {
	levels := map[string]slog.Level{
		"":      slog.LevelInfo,
		"error": slog.LevelError,
		"info":  slog.LevelInfo,
		"debug": slog.LevelDebug,
	}
	level, ok := levels[os.Getenv("LOG_LEVEL")]
	if !ok {
		return nil, fmt.Errorf("LOG_LEVEL: %q must be error, info or debug", os.Getenv("LOG_LEVEL"))
	}
	h := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("member", member), nil
}

// serve runs a controller until ctx is cancelled or the process receives SIGINT or SIGTERM.
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
	if err := enableWorkflows(core, opt.workflows); err != nil {
		return err
	}
	if err := enablePlugins(core, set, opt.operators); err != nil {
		return err
	}
	if opt.queue != "" {
		out := &lumberjack.Logger{Filename: opt.queue, MaxSize: queueFileMB, MaxBackups: queueBackups}
		defer func() { _ = out.Close() }() // no data is lost: lines are written unbuffered
		core.RecordPasses(recordQueue(out, log))
	}
	if err := loadRegister(core, set, opt.register); err != nil {
		return err
	}
	hangups, err := loadTopology(core, set, opt.topology)
	if err != nil {
		return err
	}
	if hangups != nil {
		defer signal.Stop(hangups)
	}
	cloudClient := cloud.NewClient(
		&http1.Client{Dialer: dialer, Addr: set.Outside.Cloud, MaxIdle: 1, MaxBody: maxCloudBodyBytes},
		set.Cluster.Cloud.RPS,
	)
	sockets := set.Cluster.Quota.Sockets
	if sockets == 0 {
		sockets = defaultSockets
	}
	server := newServer(core, set, log, sockets)
	log.Info("starting",
		"version", version, "bind", set.Bind, "mesh", set.MeshAddr, "objectives", len(set.Cluster.Objectives))
	addReloaders(core, opt, hangups)

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

// applyQuota sets the Go runtime's limits from the process's CPU and memory quota.
func applyQuota(set *settings.Settings) {
	quota := set.Cluster.Quota
	if quota.CPUShare > 0 && quota.CPUShare <= 1 {
		runtime.GOMAXPROCS(1)
	}
	if quota.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(quota.MemoryMB * heapShare * (1 << 20)))
	}
}

// maxBodyBytes returns the limit of memory for response bodies of the state service.
func maxBodyBytes(set *settings.Settings) int {
	if memory := set.Cluster.Quota.MemoryMB; memory > 0 {
		return int(memory*(1<<20)) / 6
	}
	return defaultBodyBytes
}

// newStore returns the client of the state service. Watches use a separate connection.
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

// newServer returns the server that handles requests of users and workers.
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

// enableWorkflows enables workflows with their data in dir, unless dir is empty.
func enableWorkflows(core *controller.Controller, dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--workflows: %w", err)
	}
	core.Workflows.Enable(stepdata.Dir{Root: dir})
	return nil
}

// enablePlugins enables plug-ins if the operators' settings do. It reads the initial module and verifies
// its signature. operators is the operators' settings file, for error messages.
func enablePlugins(core *controller.Controller, set *settings.Settings, operators string) error {
	p := set.Operators.Plugins
	if !p.On {
		return nil
	}
	bounds := plugin.DefaultBounds
	bounds.MemoryBytes, bounds.CallTimeout = p.MemoryMB<<20, p.CallTimeout
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
	core.SetPlugins(p.Keys, bounds, p.StarvationTimeout, initial)
	return nil
}

// loadRegister reads the register of galleries, unless file is empty.
func loadRegister(core *controller.Controller, set *settings.Settings, file string) error {
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

// loadTopology reads the topology and returns a channel that receives SIGHUP, or nil if file is empty.
// The caller must call signal.Stop on the channel.
func loadTopology(core *controller.Controller, set *settings.Settings, file string) (chan os.Signal, error) {
	if file == "" {
		return nil, nil
	}
	tree, err := topologytracker.Read(file, set.Cluster.Zones)
	if err != nil {
		return nil, err
	}
	core.TopologyTracker.SetTree(tree)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups, nil
}

// addReloaders adds the components that reload the register and the topology when their files change.
func addReloaders(core *controller.Controller, opt serveOptions, hangups <-chan os.Signal) {
	if opt.register != "" {
		core.Components.Add(supervise.Component{
			Name: "register",
			Run:  func(ctx context.Context) error { return core.Deadlines.WatchFile(ctx, opt.register) },
		})
	}
	if opt.topology != "" {
		core.Components.Add(supervise.Component{
			Name: "topology",
			Run:  func(ctx context.Context) error { return core.TopologyTracker.WatchFile(ctx, opt.topology, hangups) },
		})
	}
}
