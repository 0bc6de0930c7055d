// Package lab runs the project's controllers as separate processes on loopback, beside stand-ins of the state
// service, the cloud, the workers and the platform, for the cases of the review. The state service, the cloud and
// the machines are those of internal/testing/emulator; what speaks HTTP to the controllers is here.
package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// Times and limits of the deployment hollinsend-galleries (BRIEF, DEPLOY), and its number of controllers.
const (
	Controllers  = 3
	reportS      = 3.0
	leaseS       = 30.0
	cancelS      = 60.0
	txnOps       = 40
	valueKB      = 32
	restartDelay = 4 * time.Second // "back about 4 s after an end"

	exitNotRun = 2 // exit status of a case that couldn't run
)

// Team is the team of most jobs, with its guarantee and its limit in accelerators. Guest is "a guest team without a
// guarantee" (kit/more/LATER.md).
const (
	Team      = "proofdesk-00"
	TeamGPUs  = 8.0
	TeamLimit = 12.0
	Guest     = "printroom"
)

// MachineType is the only machine type; it has MachineGPUs accelerators.
const (
	MachineType = "darkroom16"
	MachineGPUs = 2.0
)

// zones are the zones of the deployment.
var zones = []wire.Zone{"soar", "trent", "tame", "wreake"}

// Options describe one run.
type Options struct {
	DeployFile string                                                // below the repository's root, with the run line
	Dir        string                                                // of record.txt
	Machines   int                                                   // machines that are up at the start
	RunTime    func(wire.TaskID) time.Duration                       // how long a task runs
	Finished   func(ctx context.Context, data string, t wire.TaskID) // called before a task is done
	StateProxy func(http.Handler) http.Handler                       // between the controllers and the state service
}

// Lab is a running deployment.
type Lab struct {
	World *emulator.World
	Store *emulator.Store
	Cloud *emulator.Cloud
	// Temp is the temporary folder of the run.
	Temp string
	// StateAddr is the address of the state service.
	StateAddr string

	opt       Options
	ctx       context.Context
	cancel    context.CancelFunc
	begun     time.Time
	run       []string // the run line of the deploy file, as arguments
	cloudAddr string
	bind      []string // addresses of the controllers
	mesh      []string
	settings  []string
	servers   []*http.Server
	group     sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	record  *os.File
	longest int // the longest line in a response to a worker
	refused int // reports that were refused with 413
	ends    int // controllers that ended by themselves
	nodes   []*node
	closing bool
}

// New creates the stand-ins and the settings files. It starts no controller.
func New(opt Options) (*Lab, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lab{opt: opt, ctx: ctx, cancel: cancel, begun: time.Now(), World: emulator.NewWorld(cancelS * time.Second)}
	var err error
	if l.record, err = os.Create(filepath.Join(opt.Dir, "record.txt")); err != nil {
		return nil, err
	}
	if l.Temp, err = os.MkdirTemp("", "maddermill-review-"); err != nil {
		return nil, err
	}
	if l.run, err = l.runLine(); err != nil {
		return nil, err
	}
	l.Store = emulator.NewStore(txnOps, valueKB<<10)
	l.Store.OnPut = func(c wire.Change) {
		if spec, ok := emulator.Spec(c); ok {
			uploaded := *spec
			uploaded.GPUs = max(0, uploaded.GPUs) // a task can't add accelerators to its machine
			l.World.Upload(&uploaded)
		}
	}
	l.World.TeamMax[Team] = TeamLimit
	if opt.Finished != nil {
		l.World.Finished = func(t wire.TaskID) { opt.Finished(ctx, l.DataDir(), t) }
	}
	l.newCloud()
	link := emulator.NewLink(l.Store, 1)
	link.Pages = 1000
	state := emulator.StateHandler(link)
	if opt.StateProxy != nil {
		state = opt.StateProxy(state)
	}
	if l.StateAddr, err = l.serve(state); err != nil {
		return nil, err
	}
	if l.cloudAddr, err = l.serve(emulator.CloudHandler(l.Cloud)); err != nil {
		return nil, err
	}
	if err := l.chooseAddresses(); err != nil {
		return nil, err
	}
	go l.closeOnSignal()
	return l, l.writeAllSettings()
}

// closeOnSignal ends all processes when the script's time is over, as a case that couldn't run.
func (l *Lab) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
		l.Record("the time is over")
		l.Close()
		os.Exit(exitNotRun)
	case <-l.ctx.Done():
	}
}

// runLine returns the run line of the deploy file. The folder that workflows keep data in is replaced by one in
// the temporary folder of the run.
func (l *Lab) runLine() ([]string, error) {
	text, err := os.ReadFile(l.opt.DeployFile)
	if err != nil {
		return nil, err
	}
	var service struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &service); err != nil {
		return nil, err
	}
	args := strings.Fields(service.Run)
	for i := range args {
		if i > 0 && args[i-1] == "--workflows" {
			args[i] = l.DataDir()
		}
	}
	if len(args) < 2 {
		return nil, errors.New("the deploy file has no run line")
	}
	return args, nil
}

// DataDir returns the folder that workflows keep their data in.
func (l *Lab) DataDir() string { return filepath.Join(l.Temp, "data") }

// newCloud makes the cloud, with the machines that are up at the start.
func (l *Lab) newCloud() {
	l.Cloud = &emulator.Cloud{
		World: l.World,
		Lag:   8 * time.Second,
		Lease: leaseS * time.Second,
		Most:  28,
		Run:   l.opt.RunTime,
		Types: []wire.MachineType{{
			Name: MachineType, CPUs: 16, GPUs: MachineGPUs, MemoryGB: 96, CacheGB: 200, FetchGBps: 1,
			Price: 6.41, SpotPrice: 1.86, Boot: 45, Zones: zones,
		}},
	}
	l.World.Fetch = func(wire.MachineID, wire.TaskID) time.Duration { return time.Second }
	l.Cloud.Started = func(m *emulator.Machine) { l.group.Go(func() { l.runWorker(m) }) }
}

// AddMachines adds the machines that are up at the start.
func (l *Lab) AddMachines() {
	for i := range l.opt.Machines {
		l.Cloud.Add(MachineType, zones[i%len(zones)], false)
	}
}

// serve serves a handler on a free loopback port.
func (l *Lab) serve(handler http.Handler) (addr string, err error) {
	listener, err := new(net.ListenConfig).Listen(l.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(listener) }() // it ends with Close
	return listener.Addr().String(), nil
}

// UseState makes the controllers that are started from now on use another state service, which is empty.
func (l *Lab) UseState(proxy func(http.Handler) http.Handler) (err error) {
	store := emulator.NewStore(txnOps, valueKB<<10)
	store.OnPut = l.Store.OnPut
	l.Store = store
	link := emulator.NewLink(store, 2)
	link.Pages = 1000
	if l.StateAddr, err = l.serve(proxy(emulator.StateHandler(link))); err != nil {
		return err
	}
	return l.writeAllSettings()
}

// Ports for the controllers. They lie below those that the system gives to outgoing connections, so that none is
// taken while its controller restarts.
const (
	firstPort = 20_000
	portCount = 12_000
	portTries = 100
)

// freeAddr returns a loopback address with a free port.
func (l *Lab) freeAddr() (string, error) {
	for range portTries {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount)))
		listener, err := new(net.ListenConfig).Listen(l.ctx, "tcp4", addr)
		if err == nil {
			return addr, listener.Close()
		}
	}
	return "", errors.New("no free port was found")
}

// chooseAddresses chooses the addresses of the controllers.
func (l *Lab) chooseAddresses() error {
	for range Controllers {
		bindAddr, err := l.freeAddr()
		if err != nil {
			return err
		}
		meshAddr, err := l.freeAddr()
		if err != nil {
			return err
		}
		l.bind, l.mesh = append(l.bind, bindAddr), append(l.mesh, meshAddr)
	}
	return nil
}

// writeAllSettings writes the settings files of the controllers.
func (l *Lab) writeAllSettings() error {
	l.settings = nil
	for i := range Controllers {
		file := filepath.Join(l.Temp, member(i)+".toml")
		if err := os.WriteFile(file, []byte(l.settingsText(i)), 0o600); err != nil {
			return err
		}
		l.settings = append(l.settings, file)
	}
	return nil
}

// member returns the name of a controller.
func member(i int) string { return fmt.Sprintf("millstone-%d", i) }

// settingsText returns the settings of a controller: those of DEPLOY, with loopback addresses.
func (l *Lab) settingsText(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\nzone = %q\nbind = %q\nmesh_addr = %q\n", member(i), zones[i], l.bind[i], l.mesh[i])
	for other := range Controllers {
		if other != i {
			fmt.Fprintf(&b, "[[seeds]]\nmember = %q\nzone = %q\naddress = %q\n", member(other), zones[other], l.mesh[other])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n[settings]\ncount = %d\n", l.cloudAddr, l.StateAddr, Controllers)
	fmt.Fprintf(&b, "zones = [\"soar\", \"tame\", \"trent\", \"wreake\"]\nskew_ms = 100.0\n")
	fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = %g\ngpus_max = %g\n",
		Team, TeamGPUs, TeamLimit)
	fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n", Guest)
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 50.0\ngang_peer_s = 5.0\n"+
		"cancel_s = %g\n", reportS, leaseS, cancelS)
	fmt.Fprintf(&b, "[settings.state]\nrps = 250.0\nwrite_rps = 50.0\nvalue_kb = %d.0\ntxn_ops = %d\n", valueKB, txnOps)
	fmt.Fprintf(&b, "[settings.cloud]\nrps = 2.0\nlist_lag_s = 8.0\n")
	return b.String()
}

// Record writes a line to record.txt, with the seconds since the start.
func (l *Lab) Record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A record that can't be written shows in its end.
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins, and removes the temporary folder.
func (l *Lab) Close() {
	l.stopAll()
	l.cancel()
	for _, server := range l.servers {
		_ = server.Close() // nobody uses it any more
	}
	l.group.Wait()
	l.Record("end")
	_ = l.record.Close()
	_ = os.RemoveAll(l.Temp)
}

// Elapsed returns the time since the start of the run.
func (l *Lab) Elapsed() time.Duration { return time.Since(l.begun) }
