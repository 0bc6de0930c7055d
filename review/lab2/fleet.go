package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// member is a controller and what belongs to it.
type member struct {
	name, zone, bind, mesh, stateAddr string
	state                             *statePort
	config                            string
	log                               *os.File

	mu       sync.Mutex // guards the fields below
	process  *exec.Cmd
	ended    chan struct{}
	stopped  bool // by the run
	platform bool // killed by the platform
	healthy  bool
	misses   int
}

// fleet is the controllers with the links between them and the outside.
type fleet struct {
	site       *site
	world      *world
	rec        *recorder
	dir        string
	command    []string
	members    []*member
	links      [][]*link // from a member to another
	cloudAddr  string
	store      *store
	cloud      *cloud
	ctx        context.Context
	crashes    atomic.Int64 // ends of controllers by themselves
	overMemory atomic.Int64 // kills of controllers for their memory

	mu      sync.Mutex
	cutFrom map[string]map[int]bool // zones whose workers can't reach a node
}

func (f *fleet) closed() bool { return f.ctx.Err() != nil }

// link is the way from a controller to the mesh address of another; it can be cut.
type link struct {
	addr, target string

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	conns    map[net.Conn]bool
}

// listen listens on a loopback address; port 0 is any free one.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(ctx, "tcp4", addr)
}

func newLink(ctx context.Context, target string) (*link, error) {
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{addr: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	l.serve(listener) //nolint:contextcheck // connections end with the link
	return l, nil
}

func (l *link) serve(listener net.Listener) {
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(in)
		}
	}()
}

// pass copies the bytes of a connection in both directions.
func (l *link) pass(in net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	out, err := dialer.DialContext(context.Background(), "tcp4", l.target)
	if err != nil {
		_ = in.Close()
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	end := func() { _, _ = in.Close(), out.Close() }
	go func() { _, _ = io.Copy(out, in); end() }()
	_, _ = io.Copy(in, out)
	end()
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}

// cut resets the connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

// heal lets connections through again.
func (l *link) heal() {
	if listener, err := listen(context.Background(), l.addr); err == nil {
		l.serve(listener)
	}
}

// freeAddress returns a loopback address with a port that is free now, and that no connection going out is given.
func freeAddress(ctx context.Context) (string, error) {
	for range 200 {
		l, err := listen(ctx, fmt.Sprintf("127.0.0.1:%d", 16_000+rand.IntN(16_000)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", fmt.Errorf("no port is free")
}

// serveHTTP serves a handler on a free loopback address.
func serveHTTP(ctx context.Context, h http.Handler) (string, error) {
	l, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// newFleet serves the stand-ins and writes the settings of the controllers.
func newFleet(ctx context.Context, s *site, rec *recorder, dir, command string) (*fleet, error) {
	w := newWorld(s, rec)
	f := &fleet{site: s, world: w, rec: rec, dir: dir, command: strings.Fields(command), ctx: ctx,
		store: newStore(s), cloud: newCloud(s, w), cutFrom: map[string]map[int]bool{}}
	w.booted = func(m *machine) { go m.work(f) } //nolint:contextcheck // the worker ends with the fleet
	var err error
	if f.cloudAddr, err = serveHTTP(ctx, f.cloud); err != nil {
		return nil, err
	}
	for i, zone := range s.nodeZones {
		m := &member{name: fmt.Sprintf("millstone-%d", i), zone: zone, state: &statePort{store: f.store}}
		if m.stateAddr, err = serveHTTP(ctx, m.state); err != nil {
			return nil, err
		}
		if m.bind, err = freeAddress(ctx); err != nil {
			return nil, err
		}
		if m.mesh, err = freeAddress(ctx); err != nil {
			return nil, err
		}
		f.members = append(f.members, m)
	}
	for i := range f.members {
		f.links = append(f.links, make([]*link, len(f.members)))
		for j, to := range f.members {
			if f.links[i][j], err = newLink(ctx, to.mesh); err != nil {
				return nil, err
			}
		}
	}
	for i, m := range f.members {
		m.config = filepath.Join(dir, m.name+".toml")
		if err := os.WriteFile(m.config, []byte(s.settings(f, i)), 0o600); err != nil {
			return nil, err
		}
		if m.log, err = os.Create(filepath.Join(dir, m.name+".log")); err != nil {
			return nil, err
		}
	}
	go f.stepWorld()
	go f.probe()
	return f, nil
}

func (f *fleet) stepWorld() {
	for !f.closed() {
		time.Sleep(100 * time.Millisecond)
		f.world.step()
	}
}

// start starts a controller.
func (f *fleet) start(i int) error {
	m := f.members[i]
	args := append(append([]string(nil), f.command[1:]...), m.config)
	cmd := exec.Command(f.command[0], args...) //nolint:noctx // ended by stopAll
	cmd.Stderr, cmd.Env = m.log, append(os.Environ(), "LOG_LEVEL=info")
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || f.closed() {
		return context.Canceled
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.rec.line("fleet", "%s starts, process %d", m.name, cmd.Process.Pid)
	m.process, m.ended = cmd, make(chan struct{})
	ended := m.ended
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		byRun, byPlatform := m.stopped, m.platform
		m.platform = false
		m.mu.Unlock()
		f.rec.line("fleet", "%s ended: %v", m.name, err)
		if !byRun && !byPlatform {
			f.crashes.Add(1)
		}
		if !byRun {
			time.AfterFunc(f.site.backAfter, func() { f.restart(i) })
		}
		close(ended)
	}()
	return nil
}

// restart starts a controller again that ended by itself, as the platform does.
func (f *fleet) restart(i int) {
	m := f.members[i]
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if stopped || f.closed() {
		return
	}
	if err := f.start(i); err != nil {
		f.rec.line("fleet", "%s does not start: %v", m.name, err)
	}
}

// kill ends a controller at once.
func (f *fleet) kill(i int) {
	m := f.members[i]
	m.mu.Lock()
	process, ended := m.process, m.ended
	m.stopped = true
	m.mu.Unlock()
	if process == nil {
		return
	}
	f.rec.line("fleet", "%s is killed", m.name)
	_ = process.Process.Kill()
	<-ended
}

// stopAll ends all controllers.
func (f *fleet) stopAll() {
	for i := range f.members {
		f.kill(i)
	}
}

// probe asks for the health of all controllers, as the load balancer does.
func (f *fleet) probe() {
	client := &http.Client{Timeout: time.Second}
	for !f.closed() {
		time.Sleep(time.Second)
		for _, m := range f.members {
			go m.probe(client)
		}
	}
}

func (m *member) probe(client *http.Client) {
	response, err := client.Get("http://" + m.bind + "/healthz") //nolint:noctx // the client has a time limit
	ok := err == nil && response.StatusCode == 200
	if err == nil {
		_ = response.Body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.healthy, m.misses = true, 0
	} else if m.misses++; m.misses >= 2 {
		m.healthy = false
	}
}

// healthyNodes lists the controllers that the load balancer uses.
func (f *fleet) healthyNodes() (nodes []int) {
	for i, m := range f.members {
		m.mu.Lock()
		if m.healthy {
			nodes = append(nodes, i)
		}
		m.mu.Unlock()
	}
	return nodes
}

// indexOf returns the index of a member, -1 if there is none of this name.
func (f *fleet) indexOf(name string) int {
	for i, m := range f.members {
		if m.name == name {
			return i
		}
	}
	return -1
}

// workerReaches reports whether a machine's reports reach a node.
func (f *fleet) workerReaches(m *machine, node int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cutFrom[m.yard][node]
}

// leader returns the index of the leading controller by the record of the state service, -1 if there is none.
func (f *fleet) leader() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for i, m := range f.members {
		if strings.Contains(string(f.store.pairs["mm1/leader"].Data), "\""+m.name+"\"") {
			return i
		}
	}
	return -1
}
