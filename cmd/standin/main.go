// Command standin runs emulations of the systems around maddermill on loopback: a state service,
// a cloud and the workers of its machines. It is for trying maddermill out and keeps nothing: all
// state is lost when it ends. It writes a settings file and examples of jobs and a workflow, and
// prints the commands that use them.
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

// The limits and times of the emulated systems, as in example/settings.toml.tmpl.
const (
	stateTxnOps     = 20
	stateValueBytes = 16 << 10
	cloudListLag    = time.Second
	cloudMachines   = 8 // at a time
	workerLease     = 15 * time.Second
	cancelTimeout   = 40 * time.Second // from a cancellation to the end of the job's tasks

	taskRunTime = 5 * time.Second
	gangRunTime = time.Minute // long enough to see where it runs
)

// addresses are where maddermill and the emulations listen: consecutive ports.
type addresses struct {
	server, peers, cloud, state string
}

func main() {
	var listen, dir string
	cmd := &cobra.Command{
		Use:          "standin",
		Short:        "Stand-ins of state service, cloud and workers on loopback",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(_ *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			return run(ctx, listen, dir)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "first of four loopback `ADDRESSES`")
	cmd.Flags().StringVar(&dir, "dir", os.TempDir(), "where the settings file and an example job are written")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

// run serves the emulations until ctx ends or a server fails.
func run(ctx context.Context, listen, dir string) error {
	addrs, err := parseListen(listen)
	if err != nil {
		return err
	}
	files := newExampleFiles(dir)
	world := emulator.NewWorld(cancelTimeout)
	store := emulator.NewStore(stateTxnOps, stateValueBytes)
	store.Seen = func(c wire.Change) {
		if spec, ok := emulator.Spec(c); ok {
			world.Upload(spec)
		}
	}
	steps := stepdata.Dir{Root: files.data}
	world.Finished = func(t wire.TaskID) {
		if err := emulator.RunStep(ctx, steps, t.Job); err != nil {
			log.Printf("step %s: %v", t.Job, err)
		}
	}
	cloud := newCloud(world)
	cloud.Started = func(m *emulator.Machine) { go runWorker(ctx, m, addrs.server) }
	if err := files.write(addrs, cloud.Types[0].Zones); err != nil {
		return err
	}
	failed := make(chan error, 2)
	for addr, handler := range map[string]http.Handler{
		addrs.cloud: emulator.CloudHandler(cloud),
		addrs.state: emulator.StateHandler(emulator.NewLink(store, 1)),
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler}
		defer func() { _ = server.Close() }() // the process ends
		go func() { failed <- server.Serve(listener) }()
	}
	files.printUsage(addrs)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// parseListen returns the four addresses from the first one, which must be on loopback.
func parseListen(listen string) (addresses, error) {
	first, err := netip.ParseAddrPort(listen)
	if err != nil || !first.Addr().IsLoopback() {
		return addresses{}, fmt.Errorf("--listen: %q is not a loopback address and port", listen)
	}
	addr := func(i uint16) string { return netip.AddrPortFrom(first.Addr(), first.Port()+i).String() }
	return addresses{server: addr(0), peers: addr(1), cloud: addr(2), state: addr(3)}, nil
}

// newCloud returns a cloud with one type of machines in two zones.
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
