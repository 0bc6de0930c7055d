// Command lab2 plays the cases of the second review: it serves stand-ins of the state service, the cloud, the
// workers and the users on loopback, starts controllers as processes of their own with the command of the deploy
// file, brings a trouble about and checks a rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	unfit  = 2
)

// scenario plays a case and returns an exit status and what was seen.
type scenario struct {
	site func() *site
	play func(f *fleet, u *users, trouble bool) (int, string)
}

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "the case to play")
	command := flag.String("run", "", "the run command of the deploy file")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	keep := flag.String("logs", "", "directory to keep the logs of the controllers in")
	flag.Parse()
	os.Exit(run(*name, *command, *record, *keep, os.Getenv("TROUBLE") != "0"))
}

// run plays a case.
func run(name, command, record, keep string, trouble bool) int {
	c, ok := scenarios[name]
	if !ok || command == "" {
		fmt.Fprintln(os.Stderr, "no such case, or no run command")
		return unfit
	}
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unfit
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unfit
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 117*time.Second)
	defer cancel()
	rec.line("case", "%s, trouble %v", name, trouble)
	f, err := newFleet(ctx, c.site(), rec, dir, command)
	if err != nil {
		rec.line("case", "can't run: %v", err)
		return unfit
	}
	go func() { // a run that is ended from outside ends its processes too
		<-ctx.Done()
		f.stopAll()
	}()
	status, seen := c.play(f, newUsers(f.world, f), trouble)
	if ctx.Err() != nil {
		status, seen = unfit, "the time ran out: "+seen
	}
	cancel()
	f.stopAll()
	rec.line("case", "%s: exit %d", seen, status)
	fmt.Println(seen)
	if keep != "" {
		keepLogs(f, keep)
	}
	return status
}

// keepLogs copies the logs of the controllers.
func keepLogs(f *fleet, dir string) {
	for _, m := range f.members {
		if b, err := os.ReadFile(m.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(dir, m.name+".log"), b, 0o600)
		}
	}
}

// startAll starts all controllers and waits until one leads and all are healthy.
func (f *fleet) startAll() error {
	for i := range f.members {
		if err := f.start(i); err != nil {
			return err
		}
	}
	for range 200 {
		if len(f.healthyNodes()) == len(f.members) && f.leader() >= 0 {
			f.rec.line("fleet", "%s leads", f.members[f.leader()].name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the controllers were not healthy within 20 s")
}

// waitFor waits until a condition holds and reports whether it did within a time.
func (f *fleet) waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && !f.closed(); {
		if holds() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return holds()
}

// up returns how many machines are up.
func (f *fleet) up() int {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return len(f.world.machines)
}
