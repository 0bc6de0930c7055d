// Command standin emulates the systems that maddermill depends on, for local demonstrations: a state
// service, a cloud and the workers on its machines, all on loopback. State is held in memory only and
// lost on exit. The command writes a settings file and example jobs and a workflow, and prints the
// commands that use them.
package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/testing/emulator"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// The limits and times of the emulated systems. They match example/settings.toml.tmpl.
const (
	stateTxnOps     = 20
	stateValueBytes = 16 << 10
	cloudListLag    = time.Second
	cloudMachines   = 8 // at most, at any time
	workerLease     = 15 * time.Second
	cancelTimeout   = 40 * time.Second // from the cancellation of a job to the end of its tasks

	taskRunTime = 5 * time.Second
	gangRunTime = time.Minute // long enough to inspect its placement
)

// addresses holds the listen addresses of maddermill and the emulated services, on consecutive ports.
type addresses struct {
	server, peers, cloud, state string
}

func main() {
	var listen, dir string
	cmd := &cobra.Command{
		Use:          "standin",
		Short:        "Emulate a state service, a cloud and workers on loopback",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(_ *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			return run(ctx, listen, dir)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "first of four loopback `ADDRESSES`")
	cmd.Flags().StringVar(&dir, "dir", os.TempDir(), "directory for the settings file and the example files")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

// run serves the emulated services until ctx is cancelled or a server fails.
func run(ctx context.Context, listen, dir string) error {
	addrs, err := parseListen(listen)
	if err != nil {
		return err
	}
	files := newExampleFiles(dir)
	world := emulator.NewWorld(cancelTimeout)
	store := emulator.NewStore(stateTxnOps, stateValueBytes)
	store.OnPut = func(c wire.Change) {
		if spec, ok := emulator.Spec(c); ok {
			world.Upload(spec)
		}
	}
	stepData := stepdata.Dir{Root: files.data}
	world.Finished = func(t wire.TaskID) {
		if err := emulator.RunStep(ctx, stepData, t.Job); err != nil {
			log.Printf("running workflow step %s failed: %v", t.Job, err)
		}
	}
	cloud := newCloud(world)
	cloud.Started = func(m *emulator.Machine) { go runWorker(ctx, m, addrs.server) }
	if err := files.write(addrs, cloud.Types[0].Zones); err != nil {
		return err
	}
	serveErrors := make(chan error, 2)
	for addr, handler := range map[string]http.Handler{
		addrs.cloud: emulator.CloudHandler(cloud),
		addrs.state: emulator.StateHandler(emulator.NewLink(store, 1)),
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler}
		defer func() { _ = server.Close() }() // the process exits
		go func() { serveErrors <- server.Serve(listener) }()
	}
	files.printUsage(addrs)
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
		return nil
	}
}

// parseListen returns four addresses with consecutive ports. listen is the first, which must be on loopback.
func parseListen(listen string) (addresses, error) {
	first, err := netip.ParseAddrPort(listen)
	if err != nil || !first.Addr().IsLoopback() {
		return addresses{}, fmt.Errorf("--listen: %q is not a loopback address and port", listen)
	}
	addr := func(i uint16) string { return netip.AddrPortFrom(first.Addr(), first.Port()+i).String() }
	return addresses{server: addr(0), peers: addr(1), cloud: addr(2), state: addr(3)}, nil
}

// newCloud returns an emulated cloud with one machine type in two zones.
func newCloud(world *emulator.World) *emulator.Cloud {
	return &emulator.Cloud{
		World: world,
		Lag:   cloudListLag,
		Lease: workerLease,
		Most:  cloudMachines,
		Run: func(t wire.TaskID) time.Duration {
			if t.Job == gangJob {
				return gangRunTime
			}
			return taskRunTime
		},
		Types: []wire.MachineType{{
			Name:      "small",
			CPUs:      8,
			MemoryGB:  32,
			CacheGB:   40,
			FetchGBps: 1,
			Price:     1,
			SpotPrice: 0.4,
			Boot:      3,
			Zones:     []wire.Zone{"here", "there"},
		}},
	}
}
