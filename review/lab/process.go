package lab

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// node is one controller's process.
type node struct {
	index   int
	command *exec.Cmd
	stopped bool          // it was ended by the lab
	done    chan struct{} // closed when it has ended
}

// StartAll starts all controllers.
func (l *Lab) StartAll() error {
	for i := range Controllers {
		if err := l.start(i); err != nil {
			return err
		}
	}
	return nil
}

// start starts a controller. When it ends by itself, the platform starts it again after restartDelay.
func (l *Lab) start(i int) error {
	logFile := filepath.Join(l.Temp, member(i)+".log")
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := append(append([]string{}, l.run[1:]...), l.settings[i])
	command := exec.CommandContext(l.ctx, l.run[0], args...)
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.Stderr = out
	if err := command.Start(); err != nil {
		return err
	}
	n := &node{index: i, command: command, done: make(chan struct{})}
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	l.Record("%s started: %s", member(i), strings.Join(l.run, " "))
	l.group.Go(func() {
		err := command.Wait()
		_ = out.Close() // written by the process only
		close(n.done)
		l.ended(n, err, logFile)
	})
	return nil
}

// ended records the end of a process, and starts it again if it ended by itself.
func (l *Lab) ended(n *node, err error, logFile string) {
	l.mu.Lock()
	byItself := !n.stopped && !l.closing
	if byItself {
		l.ends++
	}
	l.mu.Unlock()
	if !byItself {
		return
	}
	l.Record("%s ENDED BY ITSELF: %v: %s", member(n.index), err, panicLine(logFile))
	select {
	case <-time.After(restartDelay):
	case <-l.ctx.Done():
		return
	}
	l.mu.Lock()
	closing := l.closing
	l.mu.Unlock()
	if !closing {
		if err := l.start(n.index); err != nil {
			l.Record("%s can't be started: %v", member(n.index), err)
		}
	}
}

// panicLine returns what a log says of the last crash: the message and the first line of the project's own code.
func panicLine(logFile string) string {
	text, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	at := max(bytes.LastIndex(text, []byte("\npanic: ")), bytes.LastIndex(text, []byte("\nfatal error: ")))
	if at < 0 {
		return "no panic in its log"
	}
	lines := strings.Split(string(text[at+1:]), "\n")
	for _, line := range lines {
		if strings.HasPrefix(line, "maddermill/") {
			return lines[0] + " in " + strings.SplitN(line, "(0x", 2)[0]
		}
	}
	return lines[0]
}

// stopAll ends all controllers.
func (l *Lab) stopAll() {
	l.mu.Lock()
	l.closing = true
	nodes := l.nodes
	l.mu.Unlock()
	for _, n := range nodes {
		l.kill(n)
	}
}

// KillAll ends all controllers, as an operator would before the records are restored.
func (l *Lab) KillAll() {
	l.mu.Lock()
	nodes := l.nodes
	l.nodes = nil
	l.mu.Unlock()
	for _, n := range nodes {
		l.kill(n)
	}
	l.Record("all controllers are ended")
}

// Command runs the program with the settings of the first controller and records what it prints.
func (l *Lab) Command(args ...string) error {
	args = append(args, "--config", l.settings[0])
	command := exec.CommandContext(l.ctx, l.run[0], args...)
	out, err := command.CombinedOutput()
	l.Record("command: %s: %v: %s", strings.Join(args, " "), err, bytes.TrimSpace(out))
	return err
}

// kill ends one process and waits for its end.
func (l *Lab) kill(n *node) {
	l.mu.Lock()
	n.stopped = true
	l.mu.Unlock()
	_ = n.command.Process.Kill() // it may have ended already
	<-n.done
}

// Ends returns how many times a controller ended by itself.
func (l *Lab) Ends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends
}
