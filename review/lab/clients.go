package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// Times of users and workers (PROTOCOL).
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryDelay    = time.Second
	reportTimeout = 4 * time.Second
	redirectDelay = 300 * time.Millisecond // "at once or after up to half a second"
	maxRecorded   = 20                     // commands of one response that are recorded
)

// Answer is the answer to a user's request; Code is 0 if there was none.
type Answer struct {
	Code int
	Body []byte
}

// Status returns the status in the answer, "" if there is none.
func (a Answer) Status() wire.Status {
	var st struct {
		Status wire.Status `json:"status"`
	}
	_ = json.Unmarshal(a.Body, &st) // the status stays empty
	return st.Status
}

// ask sends one request to one controller, on a connection of its own as a load balancer would.
func (l *Lab) ask(node int, method, path string, body []byte, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+l.bind[node]+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }() // only read from
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{response.StatusCode, text}
}

// Ask sends one request to one controller and records it.
func (l *Lab) Ask(node int, method, path string, body []byte) Answer {
	timeout := submitTimeout
	if method == http.MethodGet {
		timeout = pollTimeout
	}
	a := l.ask(node, method, path, body, timeout)
	l.Record("user: %s %s at %s -> %d %.200s", method, path, member(node), a.Code, a.Body)
	return a
}

// AskUntilAnswered repeats a request, at one controller after the other, until one answers with a status that is not
// to be retried, or for d. The last answer is returned.
func (l *Lab) AskUntilAnswered(method, path string, body []byte, d time.Duration) Answer {
	var a Answer
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		a = l.Ask(n%Controllers, method, path, body)
		if a.Code == 200 || a.Code == 201 || a.Code == 400 || a.Code == 404 || a.Code == 422 {
			return a
		}
		time.Sleep(retryDelay)
	}
	return a
}

// WaitHealthy waits until all controllers are healthy, for d at most.
func (l *Lab) WaitHealthy(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		healthy := 0
		for i := range Controllers {
			if l.ask(i, http.MethodGet, "/healthz", nil, time.Second).Code == 200 {
				healthy++
			}
		}
		if healthy == Controllers {
			l.Record("all controllers are healthy")
			return true
		}
	}
	return false
}

// runWorker sends the reports of a machine to one controller, and to the next if that one does not answer, until the
// machine is gone.
func (l *Lab) runWorker(m *emulator.Machine) {
	at := len(m.Type.ID) % Controllers
	if id := string(m.Type.ID); id != "" {
		at = int(id[len(id)-1]) % Controllers
	}
	for l.ctx.Err() == nil && !m.Gone() {
		heartbeat, begun := m.Heartbeat()
		if heartbeat == nil {
			l.sleep(time.Second)
			continue
		}
		body, err := json.Marshal(heartbeat)
		if err != nil {
			l.Record("worker %s: %v", m.Type.ID, err)
			return
		}
		answer := l.ask(at, http.MethodPost, "/v1/report", body, reportTimeout)
		l.observe(m.Type.ID, at, len(body), answer)
		var response wire.HeartbeatResponse
		if answer.Code == 200 && json.Unmarshal(answer.Body, &response) == nil {
			l.recordOrders(m.Type.ID, at, response.Commands)
			m.HandleResponse(begun, heartbeat.Epoch, &response)
			wait := time.Duration(reportS * float64(time.Second))
			if len(response.Commands) > 0 {
				wait = time.Second // what the commands changed is reported soon
			}
			l.sleep(wait)
			continue
		}
		var redirected bool
		if at, redirected = l.nextNode(at, answer); redirected {
			l.sleep(redirectDelay)
		} else {
			l.sleep(retryDelay)
		}
	}
}

// recordOrders records the commands that a worker got.
func (l *Lab) recordOrders(id wire.MachineID, from int, commands []wire.Command) {
	for i, c := range commands {
		if i == maxRecorded {
			l.Record("worker %s: and %d further commands from %s", id, len(commands)-i, member(from))
			return
		}
		if c.Op != wire.OpForget {
			l.Record("worker %s: %s %s try %d from %s", id, c.Op, c.Task, c.Attempt, member(from))
		}
	}
}

// nextNode returns the controller to report to after an answer that was not accepted, and whether the answer named it.
func (l *Lab) nextNode(at int, answer Answer) (next int, redirected bool) {
	var redirect wire.Redirect
	if answer.Code == http.StatusMisdirectedRequest && json.Unmarshal(answer.Body, &redirect) == nil {
		for i := range Controllers {
			if i != at && member(i) == string(redirect.ReportTo) {
				return i, true
			}
		}
	}
	return (at + 1) % Controllers, false
}

// sleep waits for d or for the end of the run.
func (l *Lab) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// observe records answers that the protocol's limits concern: a refused report, and a line of a response that is longer
// than all before.
func (l *Lab) observe(id wire.MachineID, from, reported int, answer Answer) {
	longest := 0
	for line := range bytes.Lines(answer.Body) {
		longest = max(longest, len(line))
	}
	l.mu.Lock()
	isLongest := longest > l.longest && longest > MaxLine
	l.longest = max(l.longest, longest)
	if answer.Code == http.StatusRequestEntityTooLarge {
		l.refused++
	}
	l.mu.Unlock()
	if isLongest {
		l.Record("worker %s: a line of %d bytes in the response from %s", id, longest, member(from))
	}
	if answer.Code == http.StatusRequestEntityTooLarge {
		l.Record("worker %s: report of %d bytes refused by %s: %d %s", id, reported, member(from), answer.Code, answer.Body)
	}
}

// MaxLine is the longest line that a response may have: "No line longer than 64 KiB".
const MaxLine = 64 << 10

// Limits returns the longest line in a response to a worker so far, and how many reports were refused with 413.
func (l *Lab) Limits() (longestLine, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.longest, l.refused
}
