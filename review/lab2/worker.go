package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// machine is a rented machine with its worker (PROTOCOL, "Workers -> controller nodes"). world.mu guards it.
type machine struct {
	world    *world
	id       string
	yard     string
	spot     bool
	endpoint string

	shift, tally, warrant uint64
	renewed               time.Time
	tasks                 map[string]*task
	images                map[string]bool
	fetches               map[string]time.Time
	dead, hung, cut       bool
	recallAt              time.Time
	answeredAt            time.Time // when the last answer that counted arrived
	changed               chan struct{}
}

func newMachine(w *world, id, yard string, spot bool, endpoint string) *machine {
	return &machine{world: w, id: id, yard: yard, spot: spot, endpoint: endpoint, tasks: map[string]*task{},
		images: map[string]bool{}, fetches: map[string]time.Time{}, changed: make(chan struct{}, 1)}
}

// touch makes the worker report soon.
func (m *machine) touch() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// taskReport is a task in a report.
type taskReport struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
}

// order is a command of a controller.
type order struct {
	Verb   string   `json:"verb"`
	Piece  string   `json:"piece"`
	Try    uint64   `json:"try"`
	Leeway *float64 `json:"leeway_s"`
}

// reportAnswer is the answer to a report.
type reportAnswer struct {
	Warrant uint64  `json:"warrant"`
	Orders  []order `json:"orders"`
	Foreman string  `json:"foreman"`
}

// report builds the next report. It returns nil if the machine can't report.
func (m *machine) report() (body []byte, shift uint64) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	if m.dead || m.hung {
		return nil, 0
	}
	m.tally++
	pieces := []taskReport{}
	for _, t := range m.tasks {
		pieces = append(pieces, taskReport{t.piece, t.try, t.state, t.cause, t.saved})
	}
	var recall *float64
	if !m.recallAt.IsZero() {
		left := max(0, time.Until(m.recallAt).Seconds())
		recall = &left
	}
	body, _ = json.Marshal(map[string]any{"millstone": m.id, "endpoint": m.endpoint, "build": m.world.site.flavor.SKU,
		"yard": m.yard, "loaners": m.spot, "shift": m.shift, "tally": m.tally, "warrant": m.warrant, "recall_s": recall,
		"pieces": pieces}) // always encodes
	if len(body) > maxBodyBytes {
		m.world.longReports++
		m.world.rec.line("worker", "%s: report of %d bytes with %d tasks", m.id, len(body), len(pieces))
	}
	return body, m.shift
}

// accept handles the answer to a report.
func (m *machine) accept(sent time.Time, shift uint64, a *reportAnswer) {
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if m.dead || m.hung || shift != m.shift || a.Warrant < m.warrant || a.Warrant == 0 || now.Sub(sent) > 4*time.Second {
		return
	}
	m.renewed, m.answeredAt = sent, now
	if a.Warrant > m.warrant {
		m.warrant = a.Warrant
		m.touch()
	}
	for _, o := range a.Orders {
		w.rec.line("order", "%s %s try %d -> %s", o.Verb, o.Piece, o.Try, m.id)
		switch o.Verb {
		case "run":
			w.execute(m, &o, now)
		case "stop":
			w.halt(m, &o, now)
		case "clear":
			key := fmt.Sprintf("%s#%d", o.Piece, o.Try)
			if t := m.tasks[key]; t != nil && t.state == ended {
				delete(m.tasks, key)
			}
		}
	}
}

// execute carries out a run command. w.mu is held.
func (w *world) execute(m *machine, o *order, now time.Time) {
	key := fmt.Sprintf("%s#%d", o.Piece, o.Try)
	if m.tasks[key] != nil {
		return
	}
	job, index := splitPiece(o.Piece)
	s := w.specs[job]
	t := &task{spec: s, piece: o.Piece, index: index, try: o.Try, machine: m, state: fetching}
	if s == nil || index >= s.Pieces {
		t.spec = &spec{ID: job}
		m.tasks[key] = t
		w.violate("unsent %s: no user sent it", o.Piece)
		w.exit(t, "no_such", false)
		return
	}
	cores, accelerators, ram := w.site.flavor.Cores, w.site.flavor.Accelerators, w.site.flavor.RAM
	for _, other := range m.tasks {
		if other.state == ended {
			continue
		}
		if other.piece == o.Piece {
			m.tasks[key] = t
			w.exit(t, "busy", false)
			return
		}
		cores -= other.spec.Cores
		accelerators -= other.spec.Accelerators
		ram -= other.spec.RAM
	}
	m.tasks[key] = t
	if s.Cores > cores+1e-6 || s.Accelerators > accelerators+1e-6 || s.RAM > ram+1e-6 {
		w.exit(t, "full", false)
		return
	}
	w.tasks[job] = append(w.tasks[job], t)
	if _, ok := m.fetches[s.Bundle]; !ok && !m.images[s.Bundle] {
		m.fetches[s.Bundle] = now.Add(seconds(s.PullGB / w.site.flavor.FetchRate))
	}
	m.touch()
}

// halt carries out a stop command. w.mu is held.
func (w *world) halt(m *machine, o *order, now time.Time) {
	t := m.tasks[fmt.Sprintf("%s#%d", o.Piece, o.Try)]
	if t == nil || t.state == ended {
		return
	}
	leeway := 0.0
	if o.Leeway != nil {
		leeway = *o.Leeway
	}
	switch {
	case t.state == running && t.spec.SnapshotS > 0 && leeway >= t.spec.StashS:
		if !t.spec.gang() {
			w.progress[t.piece] += now.Sub(t.began).Seconds()
		}
		t.state, t.until = saving, now.Add(seconds(t.spec.StashS))
		m.touch()
	case t.state == saving && leeway > 0:
	default:
		if t.state == running && !t.spec.gang() {
			w.keep(t, t.spec.SnapshotS)
		}
		w.exit(t, "halted", false)
	}
}

// errLongLine is the error of an answer with a line above the limit of PROTOCOL.
var errLongLine = errors.New("a line of the answer is longer than 64 KiB")

// post sends a report to a node and returns the status and the answer.
func (m *machine) post(client *http.Client, addr string, body []byte) (int, *reportAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/report", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		if len(line) > maxBodyBytes {
			m.world.mu.Lock()
			m.world.longLines++
			m.world.mu.Unlock()
			m.world.rec.line("worker", "%s: answer with a line of %d bytes", m.id, len(line))
			return 0, nil, errLongLine
		}
	}
	a := &reportAnswer{}
	if len(text) > 0 && json.Unmarshal(text, a) != nil {
		return 0, nil, errLongLine
	}
	return response.StatusCode, a, nil
}

// isCut reports whether the machine's network is cut.
func (m *machine) isCut() bool {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.cut
}

// gone reports whether the machine was deleted.
func (m *machine) gone() bool {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.dead
}

// reporter is the connection of a worker to the controllers.
type reporter struct {
	machine   *machine
	fleet     *fleet
	transport *http.Transport
	client    *http.Client
	node      int           // that it reports to
	pause     time.Duration // until the next report
}

// work reports to the controllers until the machine is gone.
func (m *machine) work(f *fleet) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 60 * time.Second,
		DialContext: (&net.Dialer{Timeout: 4 * time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	r := &reporter{machine: m, fleet: f, transport: transport, client: &http.Client{Transport: transport},
		node: rand.IntN(len(f.members)), pause: seconds(rand.Float64() * m.world.site.reportS)}
	for !f.closed() && !m.gone() {
		timer := time.NewTimer(r.pause)
		select {
		case <-timer.C:
		case <-m.changed:
			time.Sleep(500 * time.Millisecond)
		}
		timer.Stop()
		r.pause = seconds(m.world.site.reportS * (0.75 + 0.5*rand.Float64()))
		r.report()
	}
}

// report sends a report and handles its answer.
func (r *reporter) report() {
	m, f := r.machine, r.fleet
	body, shift := m.report()
	if body == nil {
		return
	}
	sent := time.Now()
	if m.isCut() || !f.workerReaches(m, r.node) {
		r.tryNext()
		return
	}
	status, answer, err := m.post(r.client, f.members[r.node].bind, body)
	switch {
	case err != nil:
		r.tryNext()
	case status == 200:
		m.accept(sent, shift, answer)
	case status == 421 && f.indexOf(answer.Foreman) >= 0 && f.indexOf(answer.Foreman) != r.node:
		r.transport.CloseIdleConnections()
		r.node, r.pause = f.indexOf(answer.Foreman), 250*time.Millisecond
	default:
		if status != 503 && status != 421 {
			m.world.rec.line("worker", "%s: report answered with %d", m.id, status)
		}
		r.tryNext()
	}
}

// tryNext makes the worker try the next node in a second.
func (r *reporter) tryNext() {
	r.transport.CloseIdleConnections()
	r.node, r.pause = (r.node+1)%len(r.fleet.members), time.Second
}
